#include "single_task.h"

#include <inttypes.h>

PhSchedSpec
PhSingle_Spec(PhStr id, PhSchedStep step)
{
    PhSchedSpec spec = {.id = PhStr_Dup(id), .step_count = 1};
    spec.steps = g_new0(PhSchedStep, 1);
    spec.steps[0] = step;
    return spec;
}

PhSchedSpec
PhSingle_NumberedSpec(uint64_t number, PhSchedStep step)
{
    char id[17];
    g_snprintf(id, sizeof(id), "%016" PRIx64, number);
    return PhSingle_Spec(PhStr_FromC(id), step);
}

PhSchedTask *
PhSingle_AddJob(PhSchedModel *model, PhStr id, PhSchedStep step)
{
    PhSchedSpec spec = PhSingle_Spec(id, step);
    PhSchedJob *job = PhSchedModel_AddJob(model, &spec, 0);
    return &PhSchedJob_Stage(job, 0, 0)->tasks[0];
}

void
PhSingle_ShowWorker(PhScheduler *s, bool draining, PhTime now)
{
    PhSchedWorkerEntry entry = {.id = PhStr_Dup(PH_SINGLE_WORKER),
                                .born_ms = 1,
                                .address = PhStr_Dup(PhStr_LITERAL("a:1")),
                                .draining = draining};
    PhScheduler_SetWorker(s, &entry, now);
}

void
PhSingle_Unbind(PhScheduler *s, int64_t born_ms, PhTime now)
{
    PhSchedRecord record = {
        .tag = PH_SCHED_RECORD_WORKER,
        .id = PhStr_Dup(PH_SINGLE_WORKER),
        .as.worker = {.born_ms = born_ms, .unbound = true}};
    PhScheduler_Apply(s, &record, now);
}

PhSchedTask *
PhSingle_AddRun(PhScheduler *s)
{
    PhSchedModel *model = PhScheduler_Model(s);
    PhSchedTask *task = PhSingle_AddJob(
        model, PH_SINGLE_JOB, (PhSchedStep){.count = 1, .long_running = true});
    task->run = 1;
    PhSchedTask_Place(task, PhSchedModel_Worker(model, PH_SINGLE_WORKER, 1));
    return task;
}

void
PhSingle_RecordAll(PhScheduler *s)
{
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    uint64_t batch = PhScheduler_TakeBatch(s, records);
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord_Clear(&g_array_index(records, PhSchedRecord, i));
    }
    g_array_free(records, TRUE);
    PhScheduler_OnDurable(s, batch);
}

void
PhSingle_AddReleased(PhPredecessors *earlier, PhTime now)
{
    PhPredecessor released = {.holder = PhStr_LITERAL("owner.1"),
                              .replaced_at = now,
                              .confirmed_at = now,
                              .until = now,
                              .owned_until = PH_TIME_NEVER};
    PhPredecessors_Add(earlier, &released);
}
