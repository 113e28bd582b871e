/* The owner's choice of instances that send starts for it (dispatchers): the
 * one with the fewest starts outstanding for its CPU (join the shortest
 * queue). All starts carry the specification of their job, so that those which
 * have it are preferred: the instance that received the job, and those that
 * were sent starts of it. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_DISPATCHERS_H
#define PERIDOTHILL_DECIDE_SCHEDULE_DISPATCHERS_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef struct PhDispatchers PhDispatchers;

enum {
    PH_DISPATCHERS_MAX = 16, /* each has connections to all workers */
    PH_RELAY_AGE_MS = 1500,  /* a dispatcher sends no start that is older */
};

PhDispatchers *PhDispatchers_Create(void);
/* Accepts NULL. */
void PhDispatchers_Destroy(PhDispatchers *dispatchers);
/* An instance has sent its hello with this number.  0 stands for an instance
 * that cannot dispatch. */
void PhDispatchers_OnHello(PhDispatchers *dispatchers, PhStr instance,
                           uint64_t number, uint64_t cpu_milli, bool leaving,
                           PhTime now);

typedef struct PhDispatch {
    PhStr instance;   /* borrowed until the next call; empty: none is usable */
    uint64_t hello;   /* number of its newest hello */
    bool has_payload; /* it was sent the specification of the job before */
} PhDispatch;

bool PhDispatchers_AreUsable(const PhDispatchers *dispatchers, PhTime now);
/* Chooses the dispatcher of a start, and counts it as outstanding. */
PhDispatch PhDispatchers_Take(PhDispatchers *dispatchers, PhStr job,
                              PhTime now);
/* The instance has the specification of the job. */
void PhDispatchers_OnPayload(PhDispatchers *dispatchers, PhStr job,
                             PhStr instance);
/* A start has an outcome. */
void PhDispatchers_OnOutcome(PhDispatchers *dispatchers, PhStr instance,
                             PhTime now);
/* A start has an outcome after its time-out. */
void PhDispatchers_OnLateOutcome(PhDispatchers *dispatchers, PhStr instance,
                                 PhTime now);
/* A start has none in time, which may be due to its worker.  The instance gets
 * no starts for a while if nothing has come from it since this one was sent,
 * or no outcome of any start several times in a row.  Returns whether it got
 * some until now. */
bool PhDispatchers_OnTimeout(PhDispatchers *dispatchers, PhStr instance,
                             PhTime sent_at, PhTime now);
/* A start was not sent.  If not for the silence of its worker, the dispatcher
 * may not have had the specification. */
void PhDispatchers_OnNotSent(PhDispatchers *dispatchers, PhStr job,
                             bool silent);
/* Forgets the outstanding starts and all jobs: the ownership has changed. */
void PhDispatchers_Reset(PhDispatchers *dispatchers);

#endif
