/* State of the follower, shared by its source files. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_FOLLOWER_INTERNAL_H
#define PERIDOTHILL_DECIDE_CONFIG_FOLLOWER_INTERNAL_H

#include "peridothill/decide/config/config_follower.h"

enum {
    RECENT_RECORDS = 1024, /* retained for peers that lag */
    READ_RECORDS = 256,    /* per read of the log */
    PUSH_RECORDS = 256,    /* per push to a peer */
    TREE_FAN_OUT = 8,
    STATES_PER_SECOND = 4,
    SNAPSHOT_RECORDS = 512, /* between two snapshots at most */
};

#define PEER_QUERY_NS (300 * PH_NS_PER_MS)
#define FETCH_TIMEOUT_NS (1000 * PH_NS_PER_MS)
#define STALE_AFTER_NS (15 * PH_NS_PER_S)
#define READ_BACKOFF_MAX_NS (10 * PH_NS_PER_S)
#define STALE_READ_MAX_NS (60 * PH_NS_PER_S)
#define SNAPSHOT_JITTER_NS (10 * PH_NS_PER_S)

/* A peer and its last report. */
typedef struct PhPeerRow {
    PhStr member;
    bool local;
    bool recovering;
    bool fetch_pending; /* a fetch is unanswered */
    int digest_match;   /* at a common version: 1 equal, -1 not, 0 unknown */
    uint64_t next;
    uint64_t version;
    PhTime last_contact_at;
} PhPeerRow;

struct PhConfigFollower {
    PhConfigFollowerOptions options;
    PhConfigLedger *ledger;
    GQueue recent; /* latest PhConfigRecords before the ledger's next */
    bool recovering;
    PhTime confirmed_at;

    GPtrArray *peers; /* PhPeerRow, local ones first, each group by name */
    GHashTable *by_member;
    size_t local_count;
    size_t rank; /* of this instance in its data centre, by name */
    PhTime next_hello;
    PhTime peer_query_at;    /* while recovering: when to query the peers */
    PhTime peer_query_until; /* PH_TIME_NEVER: no query under way */
    PhTime fetch_until;      /* PH_TIME_NEVER: no fetch under way */
    uint64_t state_second;
    uint32_t states_sent;

    bool reading;     /* a read of the log is under way */
    uint64_t log_end; /* highest end that is known */
    uint64_t gap_end; /* first retained offset after a gap, or 0 */
    PhTime read_since;
    PhTime next_read;
    PhTime read_backoff;

    bool snapshots_reading;
    bool snapshot_wanted; /* needed for recovery */
    bool snapshot_gap;    /* records needed here have expired */
    bool snapshot_writing;
    uint64_t snapshot_written; /* `covers` of the snapshot being written */
    uint64_t snapshots_end;    /* last known end of the snapshot stream */
    uint64_t snapshot_covers;
    PhTime snapshot_at; /* when the latest known one was written */
    bool snapshot_known;
    PhTime snapshot_check;
};

/* Appends an action; its member is copied. */
void PhFollower_Add(GArray *actions, PhConfigAction action);
void PhFollower_Note(GArray *actions, PhConfigNote note);
/* Uniform random duration in [mean/2, 3*mean/2]. */
PhTime PhFollower_Jitter(const PhConfigFollower *f, PhTime mean);
/* Highest next offset known from the log, the peers or the ledger. */
uint64_t PhFollower_HighestNext(const PhConfigFollower *f);
uint64_t PhFollower_Next(const PhConfigFollower *f);
/* Applies the records that follow the ledger and skips all others; returns how
 * many were applied. */
size_t PhFollower_Apply(PhConfigFollower *f, PhConfigRecord *const *records,
                        size_t count, GArray *actions);
/* Replaces the ledger by a later snapshot; false unless the snapshot is a
 * successor of the held state. */
bool PhFollower_Restore(PhConfigFollower *f, const PhConfigSnapshot *snapshot,
                        GArray *actions);
/* Ends the recovery and puts the held state in force. */
void PhFollower_FinishRecovery(PhConfigFollower *f, GArray *actions);

/* config_follower_log.c: reads of the log and of its snapshots. */
PhTime PhFollowerLog_NextTick(const PhConfigFollower *f);
void PhFollowerLog_Tick(PhConfigFollower *f, PhTime now, GArray *actions);
void PhFollowerLog_StartRead(PhConfigFollower *f, PhTime now, GArray *actions);
void PhFollowerLog_Records(PhConfigFollower *f, PhTime now,
                           const PhConfigEvent *event, GArray *actions);
void PhFollowerLog_Snapshots(PhConfigFollower *f, PhTime now,
                             const PhConfigEvent *event, GArray *actions);
/* Writes a snapshot that skips the expired records. */
void PhFollowerLog_Bridge(PhConfigFollower *f, GArray *actions);
void PhFollowerLog_Written(PhConfigFollower *f, PhTime now, PhStatus status,
                           GArray *actions);

/* config_follower_peers.c: exchange with peers. */
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
/* Pushes the records from offset `from` on to the children in the tree. */
void PhFollowerPeers_PushDown(PhConfigFollower *f, uint64_t from,
                              GArray *actions);
/* Announces new records to the local readers and some remote peers. */
void PhFollowerPeers_Announce(PhConfigFollower *f, PhTime now,
                              GArray *actions);
/* Sends a fetch to the most advanced peer unless one is under way; false if no
 * peer is ahead. */
bool PhFollowerPeers_CatchUp(PhConfigFollower *f, PhTime now, GArray *actions);
/* Whether a usable peer has reported records up to offset `next`. */
bool PhFollowerPeers_HasSource(const PhConfigFollower *f, uint64_t next);

/* config_follower_rows.c: the table of peers. */
void PhPeerRow_Destroy(gpointer row);
/* NULL if the member is unknown. */
PhPeerRow *PhPeerRow_Find(const PhConfigFollower *f, PhStr member);
/* Random one of the peers with the highest next offset; NULL if none is ahead
 * of this instance. */
PhPeerRow *PhPeerRow_PickSource(const PhConfigFollower *f);

#endif
