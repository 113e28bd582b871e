#include "peridothill/decide/schedule/lease_time.h"

#include <glib.h>

static const PhTime CLOCK_MARGIN = 100 * PH_NS_PER_MS;
enum {
    PERCENT = 100,
    SLOW_PERCENT = 102, /* duration of a span on the slowest clock */
};

PhTime
PhLeaseTime_Bound(PhTime span)
{
    return span / PERCENT * SLOW_PERCENT + CLOCK_MARGIN;
}

PhTime
PhLeaseTime_Within(PhTime duration)
{
    return MAX(duration - CLOCK_MARGIN, 0) / SLOW_PERCENT * PERCENT;
}

PhTime
PhLeaseTime_Longest(void)
{
    return PhLeaseTime_Bound(PH_LEASE_MS * PH_NS_PER_MS);
}
