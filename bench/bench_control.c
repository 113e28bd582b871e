#include "peridothill/bench/bench.h"

PhResult
PhBench_Control(const PhBenchOptions *options)
{
    PhResult result = PhBench_ControlConfig(options);
    return PhResult_IsOk(&result) ? PhBench_ControlMembers(options) : result;
}
