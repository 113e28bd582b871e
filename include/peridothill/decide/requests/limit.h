/* An adaptive limit of concurrency: a factor on the slots that are this
 * instance's part, lowered while latency rises above its baseline. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_LIMIT_H
#define PERIDOTHILL_DECIDE_REQUESTS_LIMIT_H

#include <stdint.h>

#include "peridothill/common/time.h"

typedef struct PhLimit {
    double factor;
    double baseline_ns;
    double window_sum_ns;
    uint32_t window_count;
    PhTime window_start;
} PhLimit;

PhLimit
PhLimit_Make(void);
/* Takes the latency of one answer into account. */
void
PhLimit_Observe(PhLimit *limit, PhTime latency, PhTime now);

#endif
