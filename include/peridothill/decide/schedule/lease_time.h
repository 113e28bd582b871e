/* Spans on the clocks of workers, as the instances that grant leases and wait
 * for their end have to count them.  A worker's clock may be 2% slow. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_LEASE_TIME_H
#define PERIDOTHILL_DECIDE_SCHEDULE_LEASE_TIME_H

#include "peridothill/common/time.h"

enum {
    /* Longest lease that an owner grants, on the worker's clock.  Covers a
     * crash of the owner, its detection and the takeover, together under 4 s,
     * plus the longest renewal interval of 1.5 s. */
    PH_LEASE_MS = 6000,
};

/* Longest duration of a span on a worker's clock. */
PhTime PhLeaseTime_Bound(PhTime span);
/* Longest span on a worker's clock that is sure to be over after `duration`,
 * 0 for none. */
PhTime PhLeaseTime_Within(PhTime duration);
/* Longest duration of any lease. */
PhTime PhLeaseTime_Longest(void);

#endif
