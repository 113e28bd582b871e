/* What the parts of the membership bench share. */
#ifndef PERIDOTHILL_BENCH_BENCH_CONTROL_MEMBERS_H
#define PERIDOTHILL_BENCH_BENCH_CONTROL_MEMBERS_H

#include "peridothill/bench/bench.h"
#include "peridothill/bench/members_cluster.h"

enum {
    CONTROL_SIZES = 3,
    CONTROL_REGIONS = 3,
};

/* Members of the sizes that are measured. */
extern const uint32_t PhControl_Sizes[CONTROL_SIZES];

/* Options of a cluster of the given size: 3 regions, 7 data centres (3 for
 * the smallest) and 2% loss. */
PhMembersClusterOptions PhControl_Options(const PhBenchOptions *options,
                                          uint32_t members);
/* Prints a row of one size; the metric ends in the number of members. */
void PhControl_Row(const PhBenchOptions *options, const char *metric,
                   uint32_t members, const char *policy, double value,
                   const char *unit);
/* Prints p50, p99 and the maximum of times, and how many there are. */
void PhControl_Times(const PhBenchOptions *options, const char *metric,
                     uint32_t members, const char *policy, GArray *times);
/* Bench of the baseline: every member sends a heartbeat to every other. */
void PhControl_Heartbeats(const PhBenchOptions *options, uint32_t members);
/* Bench of the loss and return of a data centre and of a region. */
void PhControl_Storms(const PhBenchOptions *options, uint32_t members);
/* Bench of the links: 8 instances over real sockets. */
PhResult PhControl_Links(const PhBenchOptions *options);

#endif
