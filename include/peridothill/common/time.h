/* Points in time and durations, in nanoseconds.  A point counts from an
 * origin that the clock of the process chooses. */
#ifndef PERIDOTHILL_COMMON_TIME_H
#define PERIDOTHILL_COMMON_TIME_H

#include <stdint.h>

typedef int64_t PhTime;

#define PH_NS_PER_US INT64_C(1000)
#define PH_NS_PER_MS INT64_C(1000000)
#define PH_NS_PER_S INT64_C(1000000000)
#define PH_TIME_NEVER INT64_MAX

#endif
