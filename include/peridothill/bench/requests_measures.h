/* Measures of the decisions on requests, each for one variant of the policy;
 * docs/measures/requests.md has their figures. */
#ifndef PERIDOTHILL_BENCH_REQUESTS_MEASURES_H
#define PERIDOTHILL_BENCH_REQUESTS_MEASURES_H

#include "peridothill/bench/bench.h"
#include "peridothill/bench/requests_fleet.h"

/* A variant of the policy. */
typedef struct PhVariant {
    const char *name;
    PhRequestsTuning tuning;
} PhVariant;

/* One worker is five times slower at 70% load; deployment 0 has 50 workers and
 * deployment 1 has 65. */
void PhMeasure_SlowWorker(const PhBenchOptions *bench,
                          const PhVariant *variant, size_t deployment);
/* One class floods in with five times the capacity. */
void PhMeasure_Flood(const PhBenchOptions *bench, const PhVariant *variant,
                     int flood);
/* All workers fail for three seconds. */
void PhMeasure_AllFail(const PhBenchOptions *bench, const PhVariant *variant);
/* Three workers fail at once, or hang, for good. */
void PhMeasure_BadWorkers(const PhBenchOptions *bench,
                          const PhVariant *variant, PhFleetFault fault,
                          const char *suffix);
/* A tenth of the open connections goes silent, three times. */
void PhMeasure_Silent(const PhBenchOptions *bench, const PhVariant *variant);
/* Batch work arrives on the workers of a rack and slows their requests. */
void PhMeasure_Neighbour(const PhBenchOptions *bench,
                         const PhVariant *variant);

#endif
