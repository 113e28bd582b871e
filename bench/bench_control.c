#include "peridothill/bench/bench.h"

/* Runs the parts of the bench of control traffic. */
PhResult
PhBench_Control(const PhBenchOptions *options)
{
    PhResult result = PhBench_ControlConfig(options);
    return PhResult_IsOk(&result) ? PhBench_ControlMembers(options) : result;
}
