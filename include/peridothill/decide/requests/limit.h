/* Adaptive concurrency limit: a factor on the slots of a worker that decreases
 * while latencies are above their baseline. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_LIMIT_H
#define PERIDOTHILL_DECIDE_REQUESTS_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/time.h"

/* Accumulates samples over a time window. */
typedef struct PhWindow {
    double sum;
    uint32_t count;
    PhTime start;
} PhWindow;

/* Estimate of a service's latency without queueing: the lowest mean of any
 * window, rising slowly towards later means. */
typedef struct PhBaseline {
    double value; /* 0 before the first window */
    PhWindow window;
} PhBaseline;

typedef struct PhLimit {
    double factor;
    PhWindow window;
} PhLimit;

void PhBaseline_Observe(PhBaseline *baseline, double sample, PhTime now);
PhLimit PhLimit_Make(void);
/* Adds one latency as a multiple of its baseline. Returns true if the factor
 * changed. */
bool PhLimit_Observe(PhLimit *limit, double ratio, PhTime now);

#endif
