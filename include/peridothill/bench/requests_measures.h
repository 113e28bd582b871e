/* Measurements of request decisions, each for one policy variant; results are
 * in docs/measures/requests.md. */
#ifndef PERIDOTHILL_BENCH_REQUESTS_MEASURES_H
#define PERIDOTHILL_BENCH_REQUESTS_MEASURES_H

#include "peridothill/bench/bench.h"
#include "peridothill/bench/requests_fleet.h"

typedef struct PhPolicyVariant {
    const char *name;
    PhRequestsTuning tuning;
} PhPolicyVariant;

/* One worker is five times slower, at 70% load.  Deployment 0 has 50 workers,
 * deployment 1 has 65. */
void PhMeasure_SlowWorker(const PhBenchOptions *bench,
                          const PhPolicyVariant *variant, size_t deployment);
/* One service class floods the fleet with five times its capacity. */
void PhMeasure_Flood(const PhBenchOptions *bench,
                     const PhPolicyVariant *variant, int flood);
/* All workers fail for three seconds. */
void PhMeasure_AllFail(const PhBenchOptions *bench,
                       const PhPolicyVariant *variant);
/* Three workers answer with errors, or hang, permanently. */
void PhMeasure_BadWorkers(const PhBenchOptions *bench,
                          const PhPolicyVariant *variant, PhFleetFault fault,
                          const char *suffix);
/* A tenth of the open connections goes silent, three times over. */
void PhMeasure_SilentConnections(const PhBenchOptions *bench,
                                 const PhPolicyVariant *variant);
/* Batch work slows the workers of one rack (noisy neighbour). */
void PhMeasure_NoisyNeighbour(const PhBenchOptions *bench,
                              const PhPolicyVariant *variant);

#endif
