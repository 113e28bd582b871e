#include "peridothill/decide/tasks/lease.h"

PhLeaseTimes
PhLeaseTimes_Default(void)
{
    return (PhLeaseTimes){
        .lease = PH_LEASE_MS * PH_NS_PER_MS,
        .renew = PH_RENEW_MS * PH_NS_PER_MS,
        .registration_interval = PH_REGISTER_MS * PH_NS_PER_MS,
        .registration_validity = PH_REGISTRATION_VALID_MS * PH_NS_PER_MS,
        .snapshot = PH_SNAPSHOT_MS * PH_NS_PER_MS};
}

PhTime
PhLease_AddClockMargin(PhTime duration)
{
    return duration + (duration / 1000000 * PH_CLOCK_RATE_MARGIN_PPM) +
           (PH_CLOCK_MARGIN_MS * PH_NS_PER_MS);
}
