/* Who owns the jobs.  Owners append claims, renewals and releases to a topic
 * of the store, each under the condition that the topic ends where the
 * appender believes, so that all of them stand in one order.  The offset of a
 * claim, plus one, is the fence of its owner.
 *
 * A follower claims once the topic has been readable and without a new record
 * for CLAIM_AFTER, or since a release.  An instance that finds its earlier
 * life as the owner appends the release for it.  An owner whose renewals are
 * not confirmed for GIVE_UP_AFTER stops giving orders. */
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

/* A record of the topic.  `holder` names one life of an instance,
 * INSTANCE.START, `address` is where others reach it, empty for nowhere; both
 * are borrowed. */
typedef struct PhElectionEntry {
    uint64_t offset;
    PhElectionEntryKind kind;
    PhStr holder;
    PhStr address;
} PhElectionEntry;

typedef enum PhElectionActionTag {
    PH_ELECTION_NOTHING,
    PH_ELECTION_READ,
    PH_ELECTION_APPEND,
} PhElectionActionTag;

/* What to do next.  No more than one read and one append are on their way. */
typedef struct PhElectionAction {
    PhElectionActionTag tag;
    union {
        struct {
            uint64_t from;
            PhTime wait;
        } read;
        struct {
            PhElectionEntryKind kind;
            uint64_t at; /* the offset that the topic has to end at */
        } append;
    } as;
} PhElectionAction;

typedef enum PhElectionRole {
    PH_ELECTION_FOLLOWER,
    PH_ELECTION_OWNER,
} PhElectionRole;

typedef struct PhElection PhElection;

/* `delay` is added before a claim, so that stronger instances come first. */
PhElection *PhElection_Create(PhStr holder, PhStr address, PhTime delay);
/* Adds to that delay, 0 for nothing. */
void PhElection_SetReserve(PhElection *election, PhTime extra_delay);
void PhElection_Destroy(PhElection *election);
PhElectionRole PhElection_Role(const PhElection *election);
/* The fence of the own claim; only for an owner. */
uint64_t PhElection_Fence(const PhElection *election);
/* The fence of the newest claim, whose ever it is; 0 when none was seen. */
uint64_t PhElection_OwnerFence(const PhElection *election);
/* When this owner's newest record that took effect was sent. */
PhTime PhElection_ConfirmedAt(const PhElection *election);
/* Owners before that one, for as long as the election lasts. */
const PhPredecessors *PhElection_Predecessors(const PhElection *election);
/* An instance takes this one for the owner by the claim with a fence. */
void PhElection_OnGreeted(PhElection *election, PhStr instance, uint64_t fence,
                          PhTime now);
/* The holder of the newest record, empty for none. */
PhStr PhElection_Holder(const PhElection *election);
/* Tells whether a life of an instance wrote that record. */
bool PhElection_IsHeldBy(const PhElection *election, PhStr instance);
/* Where the owner is reached, empty when there is none or it is not known. */
PhStr PhElection_Address(const PhElection *election);
/* The owner was heard of in another way: the topic need not be read for a
 * while, and silence counts anew. */
void PhElection_Vouch(PhElection *election, PhTime now);
/* That may be wrong: the topic is read at once. */
void PhElection_Doubt(PhElection *election, PhTime now);
/* Gives the next thing to do at `now`. */
PhElectionAction PhElection_Next(PhElection *election, PhTime now);
/* Time of the next action that no answer brings. */
PhTime PhElection_Due(const PhElection *election);
/* A read succeeded: the records from the offset asked for, and the end. */
void PhElection_OnRead(PhElection *election, const PhElectionEntry *entries,
                       size_t count, uint64_t end, PhTime now);
/* A read failed; `first` is not 0 when the records asked for are gone. */
void PhElection_OnReadFailed(PhElection *election, uint64_t first, PhTime now);
/* The append took effect and ended at `end`. */
void PhElection_OnAppended(PhElection *election, uint64_t end, PhTime now);
/* The append did not take effect, or it is not known whether it did. */
void PhElection_OnAppendFailed(PhElection *election, bool conflict,
                               PhTime now);
/* Another owner's higher fence was met. */
void PhElection_OnDeposed(PhElection *election, PhTime now);
/* The instance stops: an owner releases, nobody claims any more. */
void PhElection_Stop(PhElection *election);

#endif
