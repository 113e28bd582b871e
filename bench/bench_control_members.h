/* Shared by the parts of the membership benchmark. */
#ifndef PERIDOTHILL_BENCH_BENCH_CONTROL_MEMBERS_H
#define PERIDOTHILL_BENCH_BENCH_CONTROL_MEMBERS_H

#include "peridothill/bench/bench.h"
#include "peridothill/bench/members_cluster.h"

enum {
    CONTROL_SIZES = 3,
    CONTROL_REGIONS = 3,
};

/* Cluster sizes that are measured, in members. */
extern const uint32_t PhControl_Sizes[CONTROL_SIZES];

/* Returns options for a cluster with 2% loss: 3 regions and 7 data centres, or
 * 1 and 3 up to 8 members. */
PhMembersClusterOptions PhControl_ClusterOptions(const PhBenchOptions *options,
                                                 uint32_t members);
/* Prints a row; the metric name gets the number of members as suffix. */
void PhControl_PrintRow(const PhBenchOptions *options, const char *metric,
                        uint32_t members, const char *policy, double value,
                        const char *unit);
/* Prints the count, p50, p99 and maximum of `times`, which it sorts. */
void PhControl_PrintTimes(const PhBenchOptions *options, const char *metric,
                          uint32_t members, const char *policy, GArray *times);
/* Benchmarks the baseline: every member sends a heartbeat to every other. */
void PhControl_Heartbeats(const PhBenchOptions *options, uint32_t members);
/* Benchmarks the loss and return of a data centre and of a region. */
void PhControl_Storms(const PhBenchOptions *options, uint32_t members);
/* Benchmarks membership of 8 instances over real sockets. */
PhResult PhControl_Links(const PhBenchOptions *options);

#endif
