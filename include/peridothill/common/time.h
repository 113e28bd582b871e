/* Times and durations in nanoseconds.  The origin of a time is that of the
 * clock it was read from; see kernel/clock.h. */
#ifndef PERIDOTHILL_COMMON_TIME_H
#define PERIDOTHILL_COMMON_TIME_H

#include <stdint.h>

typedef int64_t PhTime;

#define PH_NS_PER_US INT64_C(1000)
#define PH_NS_PER_MS INT64_C(1000000)
#define PH_NS_PER_S INT64_C(1000000000)
#define PH_TIME_NEVER INT64_MAX

#endif
