#include "peridothill/decide/schedule/record.h"

#include <limits.h>

void
PhSchedRecord_Clear(PhSchedRecord *record)
{
    switch (record->tag) {
    case PH_SCHED_RECORD_JOB:
        PhSchedSpec_Clear(&record->as.job);
        break;
    case PH_SCHED_RECORD_CANCEL:
    case PH_SCHED_RECORD_STATE:
    case PH_SCHED_RECORD_WORKER:
        break;
    case PH_SCHED_RECORD_STAGE:
        for (uint32_t i = 0; i < record->as.stage.task_count; i++) {
            PhStr_Clear(&record->as.stage.tasks[i].worker);
            PhStr_Clear(&record->as.stage.tasks[i].last_checkpoint);
        }
        g_free(record->as.stage.tasks);
        record->as.stage.tasks = NULL;
        record->as.stage.task_count = 0;
        break;
    case PH_SCHED_RECORD_PAIRS:
        for (uint32_t i = 0; i < record->as.pairs.count; i++) {
            PhStr_Clear(&record->as.pairs.items[i].backfill);
            PhStr_Clear(&record->as.pairs.items[i].serving);
        }
        g_free(record->as.pairs.items);
        record->as.pairs.items = NULL;
        record->as.pairs.count = 0;
        break;
    }
    PhStr_Clear(&record->id);
}

/* The bit of a part in PhSchedStage.recorded_parts, by one of its tasks. */
static uint32_t
part_bit(uint32_t task)
{
    G_STATIC_ASSERT(PH_SCHED_TASKS_MAX / PH_SCHED_PART_TASKS <=
                    CHAR_BIT * sizeof(uint32_t));
    return (uint32_t)1 << task / PH_SCHED_PART_TASKS;
}

void
PhSchedTask_OutdateRecord(const PhSchedTask *task)
{
    task->stage->recorded_parts &= ~part_bit(task->index);
}

static uint32_t
part_count(const PhSchedStage *stage, uint32_t first)
{
    uint32_t all = stage->job->spec.steps[stage->number].count;
    return MIN(all - first, PH_SCHED_PART_TASKS);
}

PhSchedRecord
PhSchedRecord_OfStage(const PhSchedStage *stage, uint32_t first)
{
    uint32_t all = stage->job->spec.steps[stage->number].count;
    uint32_t count = part_count(stage, first);
    PhSchedRecord record = {.tag = PH_SCHED_RECORD_STAGE,
                            .id = PhStr_Dup(stage->job->spec.id),
                            .as.stage = {.round = stage->round,
                                         .step = stage->number,
                                         .first = first,
                                         .part_of = count < all ? all : 0,
                                         .task_count = count}};
    record.as.stage.tasks = g_new0(PhSchedTaskRecord, count);
    bool begun = stage->job->state != PH_SCHED_JOB_QUEUED;
    for (uint32_t i = 0; i < count; i++) {
        const PhSchedTask *task = &stage->tasks[first + i];
        PhSchedTaskRecord *r = &record.as.stage.tasks[i];
        r->state = task->state;
        if (task->state == PH_SCHED_TASK_RUNNING && !begun) {
            /* The worker knows the run, but has not begun it. */
            r->state = PH_SCHED_TASK_ASSIGNED;
        }
        r->run = task->run;
        r->failures = task->failures;
        if (task->state == PH_SCHED_TASK_DONE) {
            continue;
        }
        r->last_checkpoint = PhStr_Dup(task->last_checkpoint);
        if (task->worker != NULL) {
            r->worker = PhStr_Dup(task->worker->entry.id);
            r->worker_born_ms = task->worker->entry.born_ms;
        }
    }
    return record;
}

void
PhSchedStage_TakeRecords(PhSchedStage *stage, GArray *records)
{
    uint32_t all = stage->job->spec.steps[stage->number].count;
    bool continues = false;
    for (uint32_t first = 0; first < all; first += PH_SCHED_PART_TASKS) {
        if ((stage->recorded_parts & part_bit(first)) != 0) {
            continue;
        }
        PhSchedRecord record = PhSchedRecord_OfStage(stage, first);
        record.as.stage.continues = continues;
        g_array_append_val(records, record);
        stage->recorded_parts |= part_bit(first);
        continues = true;
    }
}

static void
task_apply(PhSchedModel *model, PhSchedTask *task, PhSchedTaskRecord *r,
           PhTime now)
{
    bool waits_on = task->state == PH_SCHED_TASK_WAITING &&
                    r->state == PH_SCHED_TASK_WAITING && task->run == r->run;
    if (task->worker != NULL) {
        PhSchedTask_Unplace(task, PH_SCHED_TASK_WAITING);
    }
    if (task->state == PH_SCHED_TASK_DONE) {
        return;
    }
    task->run = r->run;
    task->failures = r->failures;
    task->since = waits_on && r->run > 0 ? task->since : now;
    task->fence = 0;
    task->percent = 100;
    PhSchedTask_ResetPace(task, PH_SCHED_PACE_UNKNOWN);
    PhStr_Clear(&task->last_checkpoint);
    task->last_checkpoint = r->last_checkpoint;
    r->last_checkpoint = (PhStr){0};
    switch (r->state) {
    case PH_SCHED_TASK_WAITING:
        break;
    case PH_SCHED_TASK_ASSIGNED:
    case PH_SCHED_TASK_RUNNING:
        PhSchedTask_Place(
            task, PhSchedModel_Worker(model, r->worker, r->worker_born_ms));
        break;
    case PH_SCHED_TASK_DONE:
        task->state = PH_SCHED_TASK_DONE;
        task->stage->waiting--;
        task->stage->done++;
        break;
    }
}

/* Reports whether a worker has begun a run of the recorded task. */
static bool
task_has_begun(const PhSchedTaskRecord *r)
{
    return r->state == PH_SCHED_TASK_RUNNING || r->state == PH_SCHED_TASK_DONE;
}

static bool
fits_stage(const PhSchedRecord *record, const PhSchedStage *stage)
{
    uint32_t all = stage->job->spec.steps[stage->number].count;
    uint32_t count = record->as.stage.task_count;
    uint32_t first = record->as.stage.first;
    if (record->as.stage.part_of == 0) {
        return first == 0 && count == all;
    }
    return record->as.stage.part_of == all && first <= all &&
           count <= all - first;
}

/* A wide stage that an earlier version has recorded as a whole is described by
 * no part, so that all of them have to replace that record. */
static void
part_note(PhSchedStage *stage, const PhSchedRecord *record)
{
    uint32_t first = record->as.stage.first;
    if (first % PH_SCHED_PART_TASKS == 0 &&
        record->as.stage.task_count == part_count(stage, first)) {
        stage->recorded_parts |= part_bit(first);
        return;
    }
    stage->recorded_parts = 0;
}

static PhStatus
stage_apply(PhSchedModel *model, PhSchedJob *job, PhSchedRecord *record,
            PhTime now)
{
    PhSchedJob_OpenRounds(job, record->as.stage.round + 1);
    job->rounds_due = MAX(job->rounds_due, record->as.stage.round + 1);
    PhSchedStage *stage =
        PhSchedJob_Stage(job, record->as.stage.round, record->as.stage.step);
    if (stage == NULL || !fits_stage(record, stage)) {
        return PH_STATUS_INVALID;
    }
    uint32_t all = job->spec.steps[stage->number].count;
    bool was_done = stage->done == all;
    bool begun = false;
    for (uint32_t i = 0; i < record->as.stage.task_count; i++) {
        PhSchedTaskRecord *r = &record->as.stage.tasks[i];
        begun |= task_has_begun(r);
        task_apply(model, &stage->tasks[record->as.stage.first + i], r, now);
    }
    part_note(stage, record);
    if (!was_done && stage->done == all) {
        PhSchedRound *round = &job->rounds[stage->round];
        round->done++;
        job->rounds_done += round->done == job->spec.step_count;
    }
    if (begun && job->state == PH_SCHED_JOB_QUEUED) {
        PhSchedModel_SetJobState(model, job, PH_SCHED_JOB_RUNNING);
        job->durable_state = PH_SCHED_JOB_RUNNING;
    }
    return PH_STATUS_OK;
}

static PhStatus
job_apply(PhSchedModel *model, PhSchedJob *job, PhSchedRecord *record,
          PhTime now)
{
    switch (record->tag) {
    case PH_SCHED_RECORD_JOB:
    case PH_SCHED_RECORD_CANCEL:
    case PH_SCHED_RECORD_WORKER:
    case PH_SCHED_RECORD_PAIRS:
        break;
    case PH_SCHED_RECORD_STATE:
        if (!PhSchedJob_IsOver(job)) {
            PhSchedModel_SetJobState(model, job, record->as.state);
        }
        job->durable_state = job->state;
        break;
    case PH_SCHED_RECORD_STAGE:
        return stage_apply(model, job, record, now);
    }
    return PH_STATUS_OK;
}

static void
worker_apply(PhSchedModel *model, const PhSchedRecord *record, PhTime now)
{
    PhSchedWorker *w =
        PhSchedModel_Worker(model, record->id, record->as.worker.born_ms);
    if (!w->suspended || !record->as.worker.suspended) {
        w->suspended_at = now;
    }
    w->suspended = record->as.worker.suspended;
    w->bound_at = now;
    w->lease_expiry_bound = record->as.worker.lease_expiry_bound;
    if (w->suspended && record->as.worker.inherited) {
        /* Whoever reads this may not know of the earlier incarnation. */
        w->inherited_leases_end_by =
            MAX(w->inherited_leases_end_by, now + w->lease_expiry_bound);
    }
    w->entry.draining |= record->as.worker.leaving;
    w->leaving |= record->as.worker.leaving;
    w->unbound = record->as.worker.unbound;
    if (record->as.worker.leaving && w->leaving_at == 0) {
        w->leaving_at = now;
    }
}

static void
deferred_destroy(gpointer record)
{
    PhSchedRecord_Clear(record);
    g_free(record);
}

void
PhSchedModel_DestroyDeferred(gpointer records)
{
    g_queue_free_full(records, deferred_destroy);
}

/* Takes over the record; it is left empty. */
static PhStatus
record_defer(PhSchedModel *model, PhSchedRecord *record)
{
    GQueue *records = g_hash_table_lookup(model->deferred, &record->id);
    if (model->deferred_count >= PH_SCHED_DEFERRED_MAX) {
        return PH_STATUS_FULL;
    }
    if (records == NULL) {
        records = g_queue_new();
        g_hash_table_insert(model->deferred, PhStr_KeyCreate(record->id),
                            records);
    }
    g_queue_push_tail(records, g_memdup2(record, sizeof(*record)));
    model->deferred_count++;
    *record = (PhSchedRecord){.tag = PH_SCHED_RECORD_CANCEL};
    return PH_STATUS_NOT_FOUND;
}

void
PhSchedModel_ApplyDeferred(PhSchedModel *model, PhSchedJob *job, PhTime now)
{
    GQueue *records = g_hash_table_lookup(model->deferred, &job->spec.id);
    PhSchedRecord *record;
    while (records != NULL && (record = g_queue_pop_head(records)) != NULL) {
        model->deferred_count--;
        job_apply(model, job, record, now);
        deferred_destroy(record);
    }
    g_hash_table_remove(model->deferred, &job->spec.id);
}

PhStatus
PhSchedModel_Apply(PhSchedModel *model, PhSchedRecord *record, PhTime now)
{
    PhStatus status = PH_STATUS_OK;
    if (record->tag == PH_SCHED_RECORD_JOB) {
        PhSchedModel_AddJob(model, &record->as.job, now);
    }
    else if (record->tag == PH_SCHED_RECORD_CANCEL) {
        PhSchedModel_Cancel(model, record->id);
    }
    else if (record->tag == PH_SCHED_RECORD_WORKER) {
        worker_apply(model, record, now);
    }
    else {
        PhSchedJob *job = PhSchedModel_Job(model, record->id);
        status = job != NULL ? job_apply(model, job, record, now)
                             : record_defer(model, record);
    }
    PhSchedRecord_Clear(record);
    return status;
}
