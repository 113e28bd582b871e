/* Benchmarks behind `peridothill bench NAME`.  Each prints its results as rows
 * of one format. */
#ifndef PERIDOTHILL_BENCH_BENCH_H
#define PERIDOTHILL_BENCH_BENCH_H

#include <stdint.h>
#include <stdio.h>

#include "peridothill/common/status.h"

/* `steps` of 0 selects the default of the benchmark. */
typedef struct PhBenchOptions {
    uint64_t seed;
    uint64_t steps;
    FILE *out;
} PhBenchOptions;

/* Prints a row: `metric=... policy=... value=... unit=...`. */
void PhBench_PrintRow(const PhBenchOptions *options, const char *metric,
                      const char *policy, double value, const char *unit);
/* Returns the CPU time that this process has used, in nanoseconds. */
int64_t PhBench_CpuTimeNs(void);

/* Benchmarks that the command looks up by name; see commands/bench.c. */
PhResult PhBench_Capacity(const PhBenchOptions *options);
PhResult PhBench_Control(const PhBenchOptions *options);
PhResult PhBench_Http(const PhBenchOptions *options);
PhResult PhBench_Kernel(const PhBenchOptions *options);
PhResult PhBench_Requests(const PhBenchOptions *options);
PhResult PhBench_Schedule(const PhBenchOptions *options);
PhResult PhBench_Soak(const PhBenchOptions *options);

/* Parts of the benchmark "control". */
PhResult PhBench_ControlConfig(const PhBenchOptions *options);
PhResult PhBench_ControlMembers(const PhBenchOptions *options);
PhResult PhBench_Tasks(const PhBenchOptions *options);

#endif
