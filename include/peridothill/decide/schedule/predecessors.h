/* Earlier owners of the jobs that may still take themselves for it: they are
 * cut off from the store, and go on granting leases until their right ends by
 * time, or until they are known to have given up or to have died. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_PREDECESSORS_H
#define PERIDOTHILL_DECIDE_SCHEDULE_PREDECESSORS_H

#include <glib.h>

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef struct PhPredecessors PhPredecessors;

PhPredecessors *PhPredecessors_Create(void);
void PhPredecessors_Destroy(PhPredecessors *predecessors);
/* Somebody else was found to be the owner at `now`; the holder, empty for one
 * that is not known, was last confirmed by then at `confirmed` and orders
 * nothing after `until`. */
void PhPredecessors_Add(PhPredecessors *predecessors, PhStr holder, PhTime now,
                        PhTime confirmed, PhTime until);
/* The lives of an instance that are known as holders order nothing after
 * `now`. */
void PhPredecessors_End(PhPredecessors *predecessors, PhStr instance,
                        PhTime now);
/* The time after which none of them orders anything; 0 for no time at all. */
PhTime PhPredecessors_LastOrder(const PhPredecessors *predecessors);
/* The same for those alone that another had replaced by a time: they know
 * nothing of what was recorded since. */
PhTime PhPredecessors_LastUnaware(const PhPredecessors *predecessors,
                                  PhTime recorded);
/* And for all others, of orders that need a confirmation no older than `age`.
 */
PhTime
PhPredecessors_LastOrderReplacedAfter(const PhPredecessors *predecessors,
                                      PhTime recorded, PhTime age);
/* Gives the instance of a holder, INSTANCE.START; empty when it names none. */
PhStr PhHolder_Instance(PhStr holder);

#endif
