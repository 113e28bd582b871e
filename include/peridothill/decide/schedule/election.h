/* Election of the owner of the jobs.  Instances append claims, renewals and
 * releases to a topic of the store, each on the condition that the topic ends
 * at the offset the appender expects, so all entries are totally ordered.  The
 * offset of a claim plus one is the owner's fence.
 *
 * A follower claims when the topic has been readable and without a new entry
 * for CLAIM_AFTER, or after a release.  If that is enabled, a standby claims
 * after EARLY_CLAIM_AFTER if the owner does not answer its hellos either.  An
 * instance that finds an earlier incarnation of itself as the owner appends
 * the release for it.  An owner whose renewals are not confirmed for
 * GIVE_UP_AFTER stops giving orders. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_ELECTION_H
#define PERIDOTHILL_DECIDE_SCHEDULE_ELECTION_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/decide/schedule/predecessors.h"

typedef enum PhElectionEntryKind {
    PH_ELECTION_CLAIM,
    PH_ELECTION_RENEWAL,
    PH_ELECTION_RELEASE,
} PhElectionEntryKind;

/* An entry of the topic.  `holder` is one incarnation of an instance,
 * INSTANCE.START; `address` is where other instances reach it, empty for none.
 * A release may name the instance that shall claim first, `successor`.  They
 * are borrowed.  `earlier` is when the last order of all owners before
 * the holder is given at the latest, from the time at which the entry was
 * sent, negative if that has passed; `earlier_leases` is when the last lease
 * of theirs has expired.  A holder that states the latter grants no lease that
 * outlasts its ownership. */
typedef struct PhElectionEntry {
    uint64_t offset;
    PhElectionEntryKind kind;
    PhStr holder;
    PhStr address;
    PhStr successor;
    bool states_earlier;
    PhTime earlier;
    bool states_leases;
    PhTime earlier_leases;
} PhElectionEntry;

typedef enum PhElectionActionTag {
    PH_ELECTION_NOTHING,
    PH_ELECTION_READ,
    PH_ELECTION_APPEND,
} PhElectionActionTag;

/* The next action.  At most one read and one append are in flight. */
typedef struct PhElectionAction {
    PhElectionActionTag tag;
    union {
        struct {
            uint64_t from;
            PhTime wait;
        } read;
        struct {
            PhElectionEntryKind kind;
            uint64_t at;    /* offset at which the topic has to end */
            PhTime earlier; /* of the entry, as the next */
            PhTime earlier_leases;
            PhStr successor;
        } append;
    } as;
} PhElectionAction;

typedef enum PhElectionRole {
    PH_ELECTION_FOLLOWER,
    PH_ELECTION_OWNER,
} PhElectionRole;

typedef struct PhElection PhElection;

/* `delay` is added before a claim, so that instances with more CPU claim
 * first. */
PhElection *PhElection_Create(PhStr holder, PhStr address, PhTime delay);
/* Sets a further delay before a claim, 0 for none. */
void PhElection_SetExtraDelay(PhElection *election, PhTime extra_delay);
void PhElection_Destroy(PhElection *election);
PhElectionRole PhElection_Role(const PhElection *election);
/* The fence of this instance's claim; only valid for an owner. */
uint64_t PhElection_Fence(const PhElection *election);
/* The fence of the newest claim of any instance; 0 if none was seen. */
uint64_t PhElection_OwnerFence(const PhElection *election);
/* The time at which this owner sent its newest entry that took effect. */
PhTime PhElection_ConfirmedAt(const PhElection *election);
/* The time at which this ownership ends unless it is confirmed anew. */
PhTime PhElection_OwnedUntil(const PhElection *election);
/* Earlier owners; valid as long as the election exists. */
const PhPredecessors *PhElection_Predecessors(const PhElection *election);
/* An instance has reported the fence of the claim that it believes valid.  If
 * that is this owner's, the instance no longer owns under an earlier one. */
void PhElection_OnHello(PhElection *election, PhStr instance, uint64_t fence,
                        PhTime now);
/* The incarnation that wrote the newest entry seen, also if that is a release;
 * empty for none. */
PhStr PhElection_NewestWriter(const PhElection *election);
/* Reports whether any incarnation of an instance wrote that entry. */
bool PhElection_IsNewestWriter(const PhElection *election, PhStr instance);
/* Where the owner is reached, empty if there is none or it is unknown. */
PhStr PhElection_Address(const PhElection *election);
/* The owner sent something over another channel: the topic is not read for a
 * while, and the time until a claim starts again. */
void PhElection_OnOwnerContact(PhElection *election, PhTime now);
/* The owner may have changed: the topic is read immediately. */
void PhElection_OnOwnerSuspected(PhElection *election, PhTime now);
/* Two signs together make an earlier claim from now on. */
void PhElection_EnableEarlyClaims(PhElection *election);
/* Whether the owner leaves the hellos of this standby without an answer. */
void PhElection_SetOwnerSilent(PhElection *election, bool silent);
/* The offset after the newest entry seen. */
uint64_t PhElection_TopicEnd(const PhElection *election);
PhElectionAction PhElection_Next(PhElection *election, PhTime now);
/* Time of the next action if no reply comes earlier. */
PhTime PhElection_Due(const PhElection *election);
/* A read succeeded with the entries from the requested offset; `end` is the
 * end of the topic. */
void PhElection_OnRead(PhElection *election, const PhElectionEntry *entries,
                       size_t count, uint64_t end, PhTime now);
/* A read failed.  `first` is the first retained offset if the requested
 * entries have been deleted, else 0. */
void PhElection_OnReadFailed(PhElection *election, uint64_t first, PhTime now);
/* The append took effect; `end` is the end of the topic after it. */
void PhElection_OnAppended(PhElection *election, uint64_t end, PhTime now);
/* The append did not take effect, or its outcome is unknown. */
void PhElection_OnAppendFailed(PhElection *election, bool conflict,
                               PhTime now);
/* An order was rejected because of another owner's higher fence. */
void PhElection_OnDeposed(PhElection *election, PhTime now);
/* Before a shutdown: an owner releases, a follower does not claim any more.
 * `successor` is the instance that shall claim first, empty for any. */
void PhElection_Stop(PhElection *election, PhStr successor);

#endif
