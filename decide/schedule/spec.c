#include "peridothill/decide/schedule/spec.h"

enum {
    ID_BYTES = 16,
    PAYLOAD_BYTES = 4000, /* clients send no longer specification */
    TASK_BYTES = 256,     /* about the size of a task in the model */
};

void
PhSchedSpec_Clear(PhSchedSpec *spec)
{
    for (uint32_t i = 0; i < spec->step_count; i++) {
        PhSchedStep *step = &spec->steps[i];
        g_free(step->after);
        PhStr_Clear(&step->requires);
        PhStr_Clear(&step->affinity);
        PhStr_Clear(&step->image);
    }
    g_free(spec->steps);
    PhStr_Clear(&spec->id);
    PhStr_Clear(&spec->terms.queue);
    PhStr_Clear(&spec->terms.service);
    PhStr_Clear(&spec->payload);
    *spec = (PhSchedSpec){0};
}

static PhResult
step_check(const PhSchedSpec *spec, uint32_t number)
{
    const PhSchedStep *step = &spec->steps[number];
    if (step->count == 0 || step->count > PH_SCHED_TASKS_MAX) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "step %u: task count %u out of range", number,
                             step->count);
    }
    if (step->resources.cpu_milli < 0 || step->resources.mem_mb < 0 ||
        step->resources.gpu < 0) {
        return PhResult_Make(PH_STATUS_INVALID, "step %u: negative resources",
                             number);
    }
    for (uint32_t i = 0; i < step->after_count; i++) {
        if (step->after[i] >= number) {
            return PhResult_Make(PH_STATUS_INVALID,
                                 "step %u depends on a later step or itself",
                                 number);
        }
    }
    return PhResult_Ok();
}

static bool
id_is_valid(PhStr id)
{
    for (size_t i = 0; i < id.len; i++) {
        if (!g_ascii_isxdigit(id.data[i])) {
            return false;
        }
    }
    return id.len == ID_BYTES;
}

PhResult
PhSchedSpec_Check(const PhSchedSpec *spec)
{
    if (!id_is_valid(spec->id)) {
        return PhResult_Make(PH_STATUS_INVALID, "malformed job id");
    }
    if (spec->step_count == 0 || spec->step_count > PH_SCHED_STEPS_MAX ||
        spec->repetitions > PH_SCHED_ROUNDS_MAX) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "out of range: %u steps, %u repetitions",
                             spec->step_count, spec->repetitions);
    }
    uint64_t tasks = 0;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        PhResult r = step_check(spec, i);
        if (!PhResult_IsOk(&r)) {
            return r;
        }
        tasks += spec->steps[i].count;
    }
    if (tasks * MAX(spec->repetitions, 1) > PH_SCHED_JOB_TASKS_MAX) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "too many tasks in all rounds");
    }
    return PhResult_Ok();
}

uint64_t
PhSchedSpec_TaskCount(const PhSchedSpec *spec)
{
    uint64_t count = 0;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        count += spec->steps[i].count;
    }
    return count * MAX(spec->repetitions, 1);
}

uint64_t
PhSchedSpec_Weight(const PhSchedSpec *spec)
{
    size_t excess = spec->payload.len > PAYLOAD_BYTES
                        ? spec->payload.len - PAYLOAD_BYTES
                        : 0;
    return PhSchedSpec_TaskCount(spec) + excess / TASK_BYTES;
}

PhTime
PhSchedSpec_CriticalPath(const PhSchedSpec *spec)
{
    PhTime ends[PH_SCHED_STEPS_MAX] = {0};
    PhTime longest = 0;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        const PhSchedStep *step = &spec->steps[i];
        PhTime begin = 0;
        for (uint32_t j = 0; j < step->after_count; j++) {
            begin = MAX(begin, ends[step->after[j]]);
        }
        ends[i] = begin + step->estimate;
        longest = MAX(longest, ends[i]);
    }
    return longest;
}

double
PhSchedSpec_LastingNeed(const PhSchedSpec *spec)
{
    double need = 0;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        const PhSchedStep *step = &spec->steps[i];
        if (step->long_running && !step->fills) {
            need += (double)step->count * (double)step->resources.cpu_milli;
        }
    }
    return need;
}
