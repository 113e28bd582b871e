/* Parts of the configuration benchmark. */
#ifndef PERIDOTHILL_BENCH_BENCH_CONTROL_CONFIG_H
#define PERIDOTHILL_BENCH_BENCH_CONTROL_CONFIG_H

#include "bench/bench_control_members.h"
#include "peridothill/bench/config_fleet.h"

/* Creates a fleet and starts all instances: 3 regions, 7 data centres (3 below
 * 50 instances) and 2% loss. */
PhConfigFleet *PhControlConfig_Fleet(const PhBenchOptions *options,
                                     uint32_t instances, uint32_t readers,
                                     uint32_t appends_per_second);
/* Benchmarks instance starts: with the log up, with it down, and all at
 * once. */
void PhControlConfig_Starts(const PhBenchOptions *options, uint32_t instances);
/* Benchmarks a log outage of two hours with 1000 operators waiting at its
 * end. */
void PhControlConfig_Outage(const PhBenchOptions *options, uint32_t instances,
                            const char *policy, uint32_t appends_per_second);

#endif
