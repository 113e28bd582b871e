/* Keeps an instance's configuration up to date with the log.  A few instances
 * of each data centre read the log and push new records down a tree of their
 * peers; random exchanges (gossip) repair missed pushes.  The version in force
 * never decreases. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_CONFIG_FOLLOWER_H
#define PERIDOTHILL_DECIDE_CONFIG_CONFIG_FOLLOWER_H

#include "peridothill/common/random.h"
#include "peridothill/decide/config/config_action.h"

typedef struct PhConfigFollowerOptions {
    PhRandom *random;
    PhTime poll_interval;  /* of instances that read the log */
    PhTime hello_interval; /* mean, between two hellos */
    PhTime retention;      /* of records in the log */
    uint32_t readers;      /* per data centre */
    PhTime now;
} PhConfigFollowerOptions;

/* How current the held configuration is. */
typedef enum PhConfigSyncState {
    PH_CONFIG_SYNC_RECOVERING, /* no version in force yet */
    PH_CONFIG_SYNC_LAGGING,    /* a later record is known to exist */
    PH_CONFIG_SYNC_STALE,      /* end of the log not confirmed recently */
    PH_CONFIG_SYNC_IN_FORCE,
} PhConfigSyncState;

/* State of a peer as last reported; borrowed from the follower. */
typedef struct PhConfigPeerStatus {
    PhStr member;
    bool local;
    uint64_t version;
    PhTime last_contact_at; /* negative: never */
} PhConfigPeerStatus;

typedef struct PhConfigFollower PhConfigFollower;

PhConfigFollower *
PhConfigFollower_Create(const PhConfigFollowerOptions *options);
void PhConfigFollower_Destroy(PhConfigFollower *follower);
/* Handles an event; appends PhConfigAction to `actions`. */
void PhConfigFollower_Handle(PhConfigFollower *follower, PhTime now,
                             const PhConfigEvent *event, GArray *actions);
/* When the next TICK is due. */
PhTime PhConfigFollower_NextTick(const PhConfigFollower *follower);
const PhConfigLedger *
PhConfigFollower_Ledger(const PhConfigFollower *follower);
PhConfigSyncState PhConfigFollower_SyncState(const PhConfigFollower *follower,
                                             PhTime now);
const char *PhConfigSyncState_Name(PhConfigSyncState standing);
bool PhConfigFollower_ReadsLog(const PhConfigFollower *follower);
/* Whether records that were never applied here have expired from the log.  The
 * instance then waits for a peer, a snapshot, or an operator's BRIDGE. */
bool PhConfigFollower_HasGap(const PhConfigFollower *follower);
/* When the held state was last known to be the end of the log; negative:
 * never. */
PhTime PhConfigFollower_ConfirmedAt(const PhConfigFollower *follower);
/* Highest version of this instance and of its peers' reports. */
uint64_t PhConfigFollower_HighestVersion(const PhConfigFollower *follower);
size_t PhConfigFollower_PeerCount(const PhConfigFollower *follower);
PhConfigPeerStatus PhConfigFollower_PeerAt(const PhConfigFollower *follower,
                                           size_t index);
/* Requests a hello from every peer that has not reported `version` or
 * later. */
void PhConfigFollower_RequestHellos(PhConfigFollower *follower, PhTime now,
                                    uint64_t version, GArray *actions);

#endif
