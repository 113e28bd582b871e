/* An instance's contact with the store, by the calls that it sends.  The store
 * is lost once a call has had no answer for the limit, or two in succession
 * could not be delivered, until a call is answered.
 *
 * Only time counts that was observed: a process that stood still, or runs
 * slowly, has not had the chance to receive an answer.  So time counts in
 * steps from one observation to the next, of a bounded length each. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_STORE_CONTACT_H
#define PERIDOTHILL_DECIDE_SCHEDULE_STORE_CONTACT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peridothill/common/time.h"

/* What the end of a call says of the store. */
typedef enum PhStoreSign {
    PH_STORE_ANSWERS,
    PH_STORE_IS_SILENT,   /* no answer in time */
    PH_STORE_UNREACHABLE, /* no connection, no complete answer, or the answer
                             that the store is not available */
} PhStoreSign;

typedef enum PhContactState {
    PH_CONTACT_UNPROVEN, /* no answer yet, or none for long */
    PH_CONTACT_REACHED,
    PH_CONTACT_LOST,
} PhContactState;

enum {
    PH_CONTACT_CALLS_MAX = 16, /* kinds of calls, one of each is tracked */
};

/* A call in flight. */
typedef struct PhContactCall {
    bool in_flight;
    uint64_t id;
    PhTime sent_at;
    PhTime due;      /* an answer is expected from then on */
    uint64_t number; /* in the order of sending */
} PhContactCall;

typedef struct PhStoreContact {
    PhTime limit;
    PhTime observed_at;
    PhTime ticked_at;
    PhTime silent_for; /* observed time that a call has been overdue */
    PhTime age;        /* observed time since the last answer */
    bool proven;       /* there was an answer */
    bool timed_out;    /* a call had no answer in time since the last answer */
    bool failed;       /* a call could not be delivered since then */
    bool unreachable;  /* nor could one that was sent after its failure */
    uint64_t sent;     /* number of the newest call */
    uint64_t sent_before_failure; /* the same at the first failure */
    PhContactCall calls[PH_CONTACT_CALLS_MAX];
} PhStoreContact;

void PhStoreContact_Init(PhStoreContact *contact, PhTime limit, PhTime now);
/* Takes in the time since the last observation. */
void PhStoreContact_Observe(PhStoreContact *contact, PhTime now);
/* The same, ten times a second; returns how much of the time since the last
 * tick counts.  Calls that are sent or end between two ticks do not lessen
 * it. */
PhTime PhStoreContact_Tick(PhStoreContact *contact, PhTime now);
/* A call was sent.  Its answer is expected after `wait`, which the store waits
 * on purpose, and the time that `bytes` take; after PH_TIME_NEVER its silence
 * says nothing.  A call of the same kind is not tracked any more. */
void PhStoreContact_OnSent(PhStoreContact *contact, unsigned kind, uint64_t id,
                           PhTime wait, size_t bytes, PhTime now);
/* A call has ended, also one that is not tracked any more. */
void PhStoreContact_OnEnd(PhStoreContact *contact, unsigned kind, uint64_t id,
                          PhStoreSign sign, PhTime now);
/* Without a limit, the store counts as reached. */
PhContactState PhStoreContact_State(const PhStoreContact *contact);

#endif
