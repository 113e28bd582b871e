/* An adaptive limit of concurrency: a factor on the slots of a worker, lowered
 * while latencies there stand above their baseline. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_LIMIT_H
#define PERIDOTHILL_DECIDE_REQUESTS_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/time.h"

/* Mean of samples over a window of time. */
typedef struct PhWindow {
    double sum;
    uint32_t count;
    PhTime start;
} PhWindow;

/* What latency a service has without a queue: the lowest mean of a window,
 * which rises slowly towards the later ones. */
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
/* Takes one latency into account, as a multiple of its baseline; tells whether
 * the factor moved. */
bool PhLimit_Observe(PhLimit *limit, double ratio, PhTime now);

#endif
