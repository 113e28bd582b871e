/* The parts of the bench of the configuration. */
#ifndef PERIDOTHILL_BENCH_BENCH_CONTROL_CONFIG_H
#define PERIDOTHILL_BENCH_BENCH_CONTROL_CONFIG_H

#include "bench/bench_control_members.h"
#include "peridothill/bench/config_fleet.h"

/* A fleet of a size, all started: 3 regions, 7 data centres (3 for the
 * smallest) and 2% loss. */
PhConfigFleet *PhControlConfig_Fleet(const PhBenchOptions *options,
                                     uint32_t instances, uint32_t readers,
                                     uint32_t appends_per_second);
/* Bench of starts: with the log up, with it down, and all at once. */
void PhControlConfig_Starts(const PhBenchOptions *options, uint32_t instances);
/* Bench of an outage of two hours with a thousand operators at its end. */
void PhControlConfig_Outage(const PhBenchOptions *options, uint32_t instances,
                            const char *policy, uint32_t appends_per_second);

#endif
