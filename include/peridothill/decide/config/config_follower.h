/* Follows the configuration of the log.  A few instances of each data centre
 * read the log and push new records down a tree of their peers; random
 * exchanges repair what a push did not reach.  The version in force never
 * goes back. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_CONFIG_FOLLOWER_H
#define PERIDOTHILL_DECIDE_CONFIG_CONFIG_FOLLOWER_H

#include "peridothill/common/random.h"
#include "peridothill/decide/config/config_action.h"

typedef struct PhConfigFollowerOptions {
    PhRandom *random;
    PhTime poll_interval;  /* of an instance that reads the log */
    PhTime hello_interval; /* between two exchanges with a peer */
    PhTime retention;      /* of the log */
    uint32_t readers;      /* for each data centre */
    PhTime now;
} PhConfigFollowerOptions;

/* How far a follower is. */
typedef enum PhConfigStanding {
    PH_CONFIG_STANDING_RECOVERING, /* nothing in force yet */
    PH_CONFIG_STANDING_LAGGING,    /* a later record is known to exist */
    PH_CONFIG_STANDING_STALE,      /* the end of the log is not known */
    PH_CONFIG_STANDING_IN_FORCE,
} PhConfigStanding;

/* What is known of a peer; borrowed from the follower. */
typedef struct PhConfigPeerView {
    PhStr member;
    bool local;
    uint64_t version;
    PhTime heard_at; /* negative: never */
} PhConfigPeerView;

typedef struct PhConfigFollower PhConfigFollower;

PhConfigFollower *
PhConfigFollower_Create(const PhConfigFollowerOptions *options);
void PhConfigFollower_Destroy(PhConfigFollower *follower);
/* Handles an event and appends to a list of PhConfigAction. */
void PhConfigFollower_Handle(PhConfigFollower *follower, PhTime now,
                             const PhConfigEvent *event, GArray *actions);
/* When the next TICK is due. */
PhTime PhConfigFollower_NextTick(const PhConfigFollower *follower);
const PhConfigLedger *
PhConfigFollower_Ledger(const PhConfigFollower *follower);
PhConfigStanding PhConfigFollower_Standing(const PhConfigFollower *follower,
                                           PhTime now);
const char *PhConfigStanding_Name(PhConfigStanding standing);
/* Tells whether this instance is one of the readers of its data centre. */
bool PhConfigFollower_ReadsLog(const PhConfigFollower *follower);
/* Tells whether records that were never seen here are past retention, so that
 * this instance waits for a peer, a snapshot, or an operator's BRIDGE. */
bool PhConfigFollower_HasGap(const PhConfigFollower *follower);
/* When what is held was last known to be all of the log; negative: never. */
PhTime PhConfigFollower_ConfirmedAt(const PhConfigFollower *follower);
/* The highest version that was heard of. */
uint64_t PhConfigFollower_HighestHeard(const PhConfigFollower *follower);
size_t PhConfigFollower_PeerCount(const PhConfigFollower *follower);
PhConfigPeerView PhConfigFollower_PeerAt(const PhConfigFollower *follower,
                                         size_t index);
/* Asks every peer that was not heard at `version` or later for a hello. */
void PhConfigFollower_AskPeers(PhConfigFollower *follower, PhTime now,
                               uint64_t version, GArray *actions);

#endif
