/* Earlier owners of the jobs that may still act as owner.  Cut off from the
 * store, they grant leases until their ownership expires, or until it is known
 * that they gave up or died. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_PREDECESSORS_H
#define PERIDOTHILL_DECIDE_SCHEDULE_PREDECESSORS_H

#include <glib.h>

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef struct PhPredecessors PhPredecessors;

PhPredecessors *PhPredecessors_Create(void);
void PhPredecessors_Destroy(PhPredecessors *predecessors);
/* Another owner was found at `now`.  `holder` is the previous one, empty if
 * unknown; it was last confirmed at `confirmed` at the latest and gives no
 * orders after `until`. */
void PhPredecessors_Add(PhPredecessors *predecessors, PhStr holder, PhTime now,
                        PhTime confirmed, PhTime until);
/* No incarnation of the instance that is listed gives orders after `now`. */
void PhPredecessors_End(PhPredecessors *predecessors, PhStr instance,
                        PhTime now);
/* None of those added so far gives orders after `until`. */
void PhPredecessors_Limit(PhPredecessors *predecessors, PhTime until);
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
/* Returns the instance of a holder, INSTANCE.START; empty if it is malformed.
 */
PhStr PhHolder_Instance(PhStr holder);

#endif
