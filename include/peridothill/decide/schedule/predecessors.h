/* Earlier owners of the jobs that may still act as owner.  Cut off from the
 * store, they grant leases until their ownership expires, or until it is known
 * that they gave up or died. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_PREDECESSORS_H
#define PERIDOTHILL_DECIDE_SCHEDULE_PREDECESSORS_H

#include <glib.h>

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef struct PhPredecessors PhPredecessors;

/* What is known of an earlier owner. */
typedef struct PhPredecessor {
    PhStr holder;        /* empty if unknown */
    PhTime replaced_at;  /* another owner was found */
    PhTime confirmed_at; /* its last confirmation, at the latest */
    PhTime until;        /* it gives no orders afterwards */
    PhTime owned_until;  /* every lease that it has granted has expired by
                            then; PH_TIME_NEVER: each lasts a full lease from
                            its order */
} PhPredecessor;

PhPredecessors *PhPredecessors_Create(void);
void PhPredecessors_Destroy(PhPredecessors *predecessors);
/* Adds an owner that has just been replaced.  Its holder is copied. */
void PhPredecessors_Add(PhPredecessors *predecessors,
                        const PhPredecessor *replaced);
/* No incarnation of the instance that is listed gives orders after `now`. */
void PhPredecessors_End(PhPredecessors *predecessors, PhStr instance,
                        PhTime now);
/* None of those added so far gives orders after `until`. */
void PhPredecessors_Limit(PhPredecessors *predecessors, PhTime until);
/* No lease of those added so far lasts beyond `until`. */
void PhPredecessors_LimitLeases(PhPredecessors *predecessors, PhTime until);
/* Time of the last possible order of any of them, 0 for none. */
PhTime PhPredecessors_LastOrder(const PhPredecessors *predecessors);
/* The same for those that had been replaced by the time `recorded`: they do
 * not know what was recorded since. */
PhTime PhPredecessors_LastOrderReplacedBy(const PhPredecessors *predecessors,
                                          PhTime recorded);
/* The same for those that were replaced later, for orders that need a
 * confirmation no older than `age`. */
PhTime
PhPredecessors_LastOrderReplacedAfter(const PhPredecessors *predecessors,
                                      PhTime recorded, PhTime age);
/* The one whose leases of at most `lease`, granted by orders up to `limit`,
 * may expire last, and when; NULL for none. */
const PhPredecessor *
PhPredecessors_LastToExpire(const PhPredecessors *predecessors, PhTime limit,
                            PhTime lease, PhTime *expiry);
/* Returns the instance of a holder, INSTANCE.START; empty if it is malformed.
 */
PhStr PhHolder_Instance(PhStr holder);

#endif
