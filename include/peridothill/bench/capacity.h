/* What the bench of capacity is made of. */
#ifndef PERIDOTHILL_BENCH_CAPACITY_H
#define PERIDOTHILL_BENCH_CAPACITY_H

#include "peridothill/bench/bench.h"

enum {
    PH_CAPACITY_SIZES = 3
};

/* A measure at several sizes; `scale` names what the sizes count. */
typedef struct PhCapacitySeries {
    const char *metric;
    const char *unit;
    const char *scale;
    uint32_t sizes[PH_CAPACITY_SIZES];
    double values[PH_CAPACITY_SIZES];
} PhCapacitySeries;

double PhCapacity_Heap(void);
void PhCapacity_Print(const PhBenchOptions *options,
                      const PhCapacitySeries *series);
/* The front door and the router, by the number of workers. */
void PhCapacity_Requests(const PhBenchOptions *options);
/* A reading of the platform's list, by the number of workers. */
void PhCapacity_List(const PhBenchOptions *options);
/* One placement, by the number of workers. */
void PhCapacity_Placement(const PhBenchOptions *options);
/* The owner of a data centre with its renewals, by the number of workers. */
void PhCapacity_Owner(const PhBenchOptions *options);
/* A data centre at the peak of starts, by the number of workers. */
void PhCapacity_Starts(const PhBenchOptions *options);

#endif
