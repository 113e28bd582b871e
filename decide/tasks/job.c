#include "peridothill/decide/tasks/job.h"

enum {
    JOB_TASKS_MAX = 100000,
    JOB_STRING_BYTES_MAX = 200,
    JOB_PRIORITY_MAX = 1000,
};

static const char *const class_names[] = {"urgent", "standing", "batch"};

const char *
PhJobClass_Name(PhJobClass class)
{
    return class_names[class];
}

bool
PhJobClass_Parse(PhStr name, PhJobClass *class)
{
    for (int i = 0; i <= PH_JOB_BATCH; i++) {
        if (PhStr_Equal(name, PhStr_FromC(class_names[i]))) {
            *class = (PhJobClass)i;
            return true;
        }
    }
    return false;
}

const char *
PhJobTaskState_Name(PhJobTaskState state)
{
    switch (state) {
    case PH_JOB_TASK_WAITING:
        return "waiting";
    case PH_JOB_TASK_PLACED:
        return "placed";
    case PH_JOB_TASK_DONE:
        return "done";
    case PH_JOB_TASK_CANCELLED:
        return "cancelled";
    }
    return "?";
}

const char *
PhRunOutcome_Name(PhRunOutcome outcome)
{
    switch (outcome) {
    case PH_RUN_DONE:
        return "done";
    case PH_RUN_FAILED:
        return "failed";
    case PH_RUN_STOPPED:
        return "stopped";
    case PH_RUN_EVICTED:
        return "evicted";
    case PH_RUN_LOST:
        return "lost";
    }
    return "?";
}

PhResult
PhJobSpec_Check(const PhJobSpec *spec)
{
    if (PhStr_IsEmpty(spec->key) || spec->key.len > JOB_STRING_BYTES_MAX) {
        return PhResult_Make(PH_STATUS_INVALID, "key must have 1 to %d bytes",
                             JOB_STRING_BYTES_MAX);
    }
    if (PhStr_IsEmpty(spec->team) || spec->team.len > JOB_STRING_BYTES_MAX ||
        spec->hint.len > JOB_STRING_BYTES_MAX) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "team or hint is empty or too long");
    }
    if (spec->count == 0 || spec->count > JOB_TASKS_MAX) {
        return PhResult_Make(PH_STATUS_INVALID, "count must be 1 to %d",
                             JOB_TASKS_MAX);
    }
    if (spec->size.cpu_milli <= 0 || spec->size.memory_mb <= 0 ||
        spec->size.accelerators < 0) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "cpu_milli and memory_mb must be above 0, "
                             "accelerators 0 or above");
    }
    if (spec->deadline_ms < 0 || spec->run_ms < 0 ||
        spec->priority > JOB_PRIORITY_MAX) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "deadline_ms, run_ms or priority out of bounds");
    }
    return PhResult_Ok();
}

PhJobSpec
PhJobSpec_Copy(const PhJobSpec *spec)
{
    PhJobSpec copy = *spec;
    copy.key = PhStr_Dup(spec->key);
    copy.team = PhStr_Dup(spec->team);
    copy.hint = PhStr_Dup(spec->hint);
    return copy;
}

void
PhJobSpec_Clear(PhJobSpec *spec)
{
    PhStr_Clear(&spec->key);
    PhStr_Clear(&spec->team);
    PhStr_Clear(&spec->hint);
}

bool
PhJobSize_Fits(PhJobSize size, PhJobSize room)
{
    return size.cpu_milli <= room.cpu_milli &&
           size.memory_mb <= room.memory_mb &&
           size.accelerators <= room.accelerators;
}

PhJobSize
PhJobSize_Add(PhJobSize a, PhJobSize b)
{
    return (PhJobSize){.cpu_milli = a.cpu_milli + b.cpu_milli,
                       .memory_mb = a.memory_mb + b.memory_mb,
                       .accelerators = a.accelerators + b.accelerators};
}

PhJobSize
PhJobSize_Subtract(PhJobSize a, PhJobSize b)
{
    return (PhJobSize){.cpu_milli = a.cpu_milli - b.cpu_milli,
                       .memory_mb = a.memory_mb - b.memory_mb,
                       .accelerators = a.accelerators - b.accelerators};
}

bool
PhRun_Equal(PhRun a, PhRun b)
{
    return a.job == b.job && a.index == b.index &&
           a.incarnation == b.incarnation;
}
