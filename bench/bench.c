#include "peridothill/bench/bench.h"

#include <time.h>

#include "peridothill/common/time.h"

void
PhBench_PrintRow(const PhBenchOptions *options, const char *metric,
                 const char *policy, double value, const char *unit)
{
    fprintf(options->out, "metric=%s policy=%s value=%.6g unit=%s\n", metric,
            policy, value, unit);
}

int64_t
PhBench_CpuTimeNs(void)
{
    struct timespec t;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (int64_t)t.tv_sec * PH_NS_PER_S + t.tv_nsec;
}
