/* Counters and latency histograms of one instance. */
#ifndef PERIDOTHILL_COMMON_COUNTER_H
#define PERIDOTHILL_COMMON_COUNTER_H

#include <stdint.h>

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

/* The lists hold PH_COUNTER(identifier, "metric", "labels", "help") rows; rows
 * of one metric must be adjacent, since HELP and TYPE are written once. */
typedef enum PhCounter {
#define PH_COUNTER(NAME, METRIC, LABELS, HELP) PH_COUNTER_##NAME,
#include "peridothill/common/counter_list.h"
#undef PH_COUNTER
    PH_COUNTER_COUNT,
} PhCounter;

typedef enum PhHistogram {
#define PH_HISTOGRAM(NAME, METRIC, LABELS, HELP) PH_HISTOGRAM_##NAME,
#include "peridothill/common/histogram_list.h"
#undef PH_HISTOGRAM
    PH_HISTOGRAM_COUNT,
} PhHistogram;

/* Bucket bounds double from 1 us; the last bucket is unbounded. */
enum {
    PH_HISTOGRAM_BUCKETS = 28
};

typedef struct PhCounters PhCounters;

/* All values start at zero. */
PhCounters *PhCounters_Create(void);
void PhCounters_Destroy(PhCounters *counters);
void PhCounters_Add(PhCounters *counters, PhCounter counter, uint64_t amount);
uint64_t PhCounters_Get(const PhCounters *counters, PhCounter counter);
void PhCounters_Observe(PhCounters *counters, PhHistogram histogram,
                        PhTime duration);
/* Returns the upper bound of the bucket that holds the quantile (0 to 1), or 0
 * without observations. */
PhTime PhCounters_Quantile(const PhCounters *counters, PhHistogram histogram,
                           double quantile);
/* Appends all counters and histograms in the Prometheus text format. */
void PhCounters_Render(const PhCounters *counters, PhBuf *out);

#endif
