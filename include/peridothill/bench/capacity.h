/* Parts of the capacity benchmark: the cost of each role at three sizes. */
#ifndef PERIDOTHILL_BENCH_CAPACITY_H
#define PERIDOTHILL_BENCH_CAPACITY_H

#include "peridothill/bench/bench.h"

enum {
    PH_CAPACITY_SIZES = 3
};

/* Values of a metric at several sizes; `scale` names what the sizes count. */
typedef struct PhCapacitySeries {
    const char *metric;
    const char *unit;
    const char *scale;
    uint32_t sizes[PH_CAPACITY_SIZES];
    double values[PH_CAPACITY_SIZES];
} PhCapacitySeries;

double PhCapacity_HeapBytes(void);
void PhCapacity_Print(const PhBenchOptions *options,
                      const PhCapacitySeries *series);
/* Request decisions and the router, by number of workers. */
void PhCapacity_Requests(const PhBenchOptions *options);
/* Decoding of the platform's worker list, by number of workers. */
void PhCapacity_List(const PhBenchOptions *options);
/* One placement decision, by number of workers. */
void PhCapacity_Placement(const PhBenchOptions *options);
/* Owner of a data centre that renews leases, by number of workers. */
void PhCapacity_Owner(const PhBenchOptions *options);
/* Data centre at its peak rate of task starts, by number of workers. */
void PhCapacity_Starts(const PhBenchOptions *options);

#endif
