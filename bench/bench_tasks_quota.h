/* Throughput that a team with a quota keeps while another team floods the data
 * centre with tasks. */
#ifndef PERIDOTHILL_BENCH_BENCH_TASKS_QUOTA_H
#define PERIDOTHILL_BENCH_BENCH_TASKS_QUOTA_H

#include "peridothill/bench/bench.h"

/* Runs floods of batch and of urgent tasks, with and without quotas. */
void PhBenchTasks_Quotas(const PhBenchOptions *options);

#endif
