/* What teams keep of their quotas in a flood of tasks. */
#ifndef PERIDOTHILL_BENCH_BENCH_TASKS_QUOTA_H
#define PERIDOTHILL_BENCH_BENCH_TASKS_QUOTA_H

#include "peridothill/bench/bench.h"

/* Floods of batch and of urgent tasks, with and without quotas. */
void PhBenchTasks_Quotas(const PhBenchOptions *options);

#endif
