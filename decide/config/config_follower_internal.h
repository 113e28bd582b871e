/* State of a follower, shared by the files that make it up. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_FOLLOWER_INTERNAL_H
#define PERIDOTHILL_DECIDE_CONFIG_FOLLOWER_INTERNAL_H

#include "peridothill/decide/config/config_follower.h"

enum {
    RECENT_RECORDS = 1024, /* kept to be sent to peers */
    READ_RECORDS = 256,    /* asked of the log at once */
    PUSH_RECORDS = 256,    /* sent to a peer at once */
    TREE_FAN_OUT = 8,
    STATES_PER_SECOND = 4,
    SNAPSHOT_RECORDS = 512, /* between two snapshots, at most */
};

#define PEER_QUERY_NS (300 * PH_NS_PER_MS)
#define FETCH_TIMEOUT_NS (1000 * PH_NS_PER_MS)
#define STALE_AFTER_NS (15 * PH_NS_PER_S)
#define READ_BACKOFF_MAX_NS (10 * PH_NS_PER_S)
#define STALE_READ_MAX_NS (60 * PH_NS_PER_S)
#define SNAPSHOT_JITTER_NS (10 * PH_NS_PER_S)

/* A peer and what it last told. */
typedef struct PhPeerRow {
    PhStr member;
    bool local;
    bool recovering;
    bool fetch_pending; /* a fetch was sent and not answered */
    int digest_match; /* 1: agreed at a common version, -1: did not, 0: unknown
                       */
    uint64_t next;
    uint64_t version;
    PhTime heard_at;
} PhPeerRow;

struct PhConfigFollower {
    PhConfigFollowerOptions options;
    PhConfigLedger *ledger;
    GQueue recent; /* PhConfigRecord, the last before ledger's next */
    bool recovering;
    PhTime confirmed_at;

    GPtrArray *peers; /* PhPeerRow, local ones first, each part by name */
    GHashTable *by_member;
    size_t local_count;
    size_t rank; /* of this instance among those of its data centre */
    PhTime next_hello;
    PhTime peer_query_at; /* while recovering: when to ask all local peers */
    PhTime peer_query_until; /* PH_TIME_NEVER: they were not asked yet */
    PhTime fetch_until;      /* PH_TIME_NEVER: no answer is awaited */
    uint64_t state_second;
    uint32_t states_sent;

    bool reading;     /* an answer of the log is awaited */
    uint64_t log_end; /* as far as known */
    uint64_t gap_end; /* first kept record after those that are gone, or 0 */
    PhTime read_since;
    PhTime next_read;
    PhTime read_backoff;

    bool snapshots_reading;
    bool snapshot_wanted; /* to recover from */
    bool snapshot_gap;    /* the log has lost records that are needed */
    bool snapshot_writing;
    uint64_t snapshot_written; /* what the one being written covers */
    uint64_t snapshots_end;    /* of their stream, as far as known */
    uint64_t snapshot_covers;
    PhTime snapshot_at; /* when the latest known was written */
    bool snapshot_known;
    PhTime snapshot_check;
};

/* Appends an action whose member, if any, is copied. */
void PhFollower_Add(GArray *actions, PhConfigAction action);
void PhFollower_Note(GArray *actions, PhConfigNote note);
/* A random duration from half to one and a half times `mean`. */
PhTime PhFollower_Jitter(const PhConfigFollower *f, PhTime mean);
/* The highest offset that the log or a reachable peer is known to hold. */
uint64_t PhFollower_HighestNext(const PhConfigFollower *f);
uint64_t PhFollower_Next(const PhConfigFollower *f);
/* Applies what follows the ledger; tells how many records were new. */
size_t PhFollower_Apply(PhConfigFollower *f, PhConfigRecord *const *records,
                        size_t count, GArray *actions);
/* Replaces the ledger by a later snapshot; false when it is not one. */
bool PhFollower_Restore(PhConfigFollower *f, const PhConfigSnapshot *snapshot,
                        GArray *actions);
/* Ends the recovery and puts the state in force. */
void PhFollower_FinishRecovery(PhConfigFollower *f, GArray *actions);

/* The part that reads the log. */
PhTime PhFollowerLog_NextTick(const PhConfigFollower *f);
void PhFollowerLog_Tick(PhConfigFollower *f, PhTime now, GArray *actions);
void PhFollowerLog_StartRead(PhConfigFollower *f, PhTime now, GArray *actions);
void PhFollowerLog_Records(PhConfigFollower *f, PhTime now,
                           const PhConfigEvent *event, GArray *actions);
void PhFollowerLog_Snapshots(PhConfigFollower *f, PhTime now,
                             const PhConfigEvent *event, GArray *actions);
/* Writes a snapshot that passes over the records that are gone. */
void PhFollowerLog_Bridge(PhConfigFollower *f, GArray *actions);
void PhFollowerLog_Written(PhConfigFollower *f, PhTime now, PhStatus status,
                           GArray *actions);

/* The part that talks to peers. */
PhTime PhFollowerPeers_NextTick(const PhConfigFollower *f);
void PhFollowerPeers_Tick(PhConfigFollower *f, PhTime now, GArray *actions);
void PhFollowerPeers_Members(PhConfigFollower *f, PhTime now,
                             const PhConfigEvent *event, GArray *actions);
void PhFollowerPeers_Hello(PhConfigFollower *f, PhTime now,
                           const PhConfigEvent *event, GArray *actions);
void PhFollowerPeers_Fetch(PhConfigFollower *f, PhTime now,
                           const PhConfigEvent *event, GArray *actions);
void PhFollowerPeers_Push(PhConfigFollower *f, PhTime now,
                          const PhConfigEvent *event, GArray *actions);
void PhFollowerPeers_State(PhConfigFollower *f, PhTime now,
                           const PhConfigEvent *event, GArray *actions);
/* Sends the records from `from` on down the tree. */
void PhFollowerPeers_PushDown(PhConfigFollower *f, uint64_t from,
                              GArray *actions);
/* Tells the tops of the tree and some peers elsewhere of new records. */
void PhFollowerPeers_Announce(PhConfigFollower *f, PhTime now,
                              GArray *actions);
/* Asks the peer that is furthest ahead, unless an answer is awaited. */
bool PhFollowerPeers_CatchUp(PhConfigFollower *f, PhTime now, GArray *actions);
/* Tells whether a peer was heard that holds a state up to `next`. */
bool PhFollowerPeers_HasSource(const PhConfigFollower *f, uint64_t next);

/* The rows of the peers. */
void PhPeerRow_Destroy(gpointer row);
/* Finds the row of a member, or gives NULL. */
PhPeerRow *PhPeerRow_Find(const PhConfigFollower *f, PhStr member);
/* Picks one of the peers that are furthest ahead, or gives NULL. */
PhPeerRow *PhPeerRow_PickSource(const PhConfigFollower *f);

#endif
