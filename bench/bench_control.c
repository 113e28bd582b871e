#include "peridothill/bench/bench.h"

/* Runs the parts of the bench of control traffic. */
PhResult
PhBench_Control(const PhBenchOptions *options)
{
    return PhBench_ControlMembers(options);
}
