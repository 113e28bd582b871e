#include "peridothill/decide/schedule/model.h"

#include "peridothill/common/invariant.h"
#include "peridothill/decide/schedule/record.h"

static void
job_destroy(gpointer value)
{
    PhSchedJob *job = value;
    for (uint32_t k = 0; k < job->round_count; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            PhSchedStage *stage = &job->rounds[k].stages[i];
            for (uint32_t j = 0; j < job->spec.steps[i].count; j++) {
                PhStr_Clear(&stage->tasks[j].last_checkpoint);
            }
            g_free(stage->tasks);
            PhSchedLoad_Destroy(stage->load);
        }
        g_free(job->rounds[k].stages);
    }
    g_free(job->rounds);
    PhSchedSpec_Clear(&job->spec);
    g_free(job);
}

void
PhSchedWorkerEntry_Clear(PhSchedWorkerEntry *entry)
{
    PhStr_Clear(&entry->id);
    PhStr_Clear(&entry->address);
    PhStr_Clear(&entry->data_centre);
    PhStr_Clear(&entry->service);
    PhStr_Clear(&entry->labels);
    PhStr_Clear(&entry->rack);
}

void
PhSchedWorker_Destroy(gpointer value)
{
    PhSchedWorker *w = value;
    PhSchedWorkerEntry_Clear(&w->entry);
    g_ptr_array_free(w->tasks, TRUE);
    g_array_free(w->backfill_use, TRUE);
    g_array_free(w->serving, TRUE);
    g_array_free(w->failures, TRUE);
    g_free(w);
}

/* Returns an empty set of ids. */
static GHashTable *
ids_create(void)
{
    return g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                 PhStr_KeyDestroy, NULL);
}

PhSchedModel *
PhSchedModel_Create(void)
{
    PhSchedModel *m = g_new0(PhSchedModel, 1);
    m->jobs = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                    job_destroy);
    m->workers = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    m->incarnations = g_ptr_array_new_with_free_func(PhSchedWorker_Destroy);
    m->active = g_ptr_array_new();
    m->images = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                      PhStr_KeyDestroy, NULL);
    m->deferred =
        g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, PhStr_KeyDestroy,
                              PhSchedModel_DestroyDeferred);
    m->cancelled = ids_create();
    m->old_cancelled = ids_create();
    m->config = PhSchedConfig_Create();
    m->cordons = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                       PhStr_KeyDestroy, NULL);
    return m;
}

/* Accepts NULL. */
void
PhSchedModel_Destroy(PhSchedModel *m)
{
    if (m == NULL) {
        return;
    }
    g_hash_table_destroy(m->workers);
    g_ptr_array_free(m->incarnations, TRUE);
    g_ptr_array_free(m->active, TRUE);
    g_hash_table_destroy(m->images);
    g_hash_table_destroy(m->deferred);
    g_hash_table_destroy(m->cancelled);
    g_hash_table_destroy(m->old_cancelled);
    g_hash_table_destroy(m->jobs);
    PhSchedConfig_Destroy(m->config);
    g_hash_table_destroy(m->cordons);
    g_free(m);
}

static void
round_open(PhSchedJob *job, uint32_t k)
{
    PhSchedRound *round = &job->rounds[k];
    round->done = 0;
    round->stages = g_new0(PhSchedStage, job->spec.step_count);
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        PhSchedStage *stage = &round->stages[i];
        stage->job = job;
        stage->round = k;
        stage->number = i;
        stage->waiting = job->spec.steps[i].count;
        stage->tasks = g_new0(PhSchedTask, stage->waiting);
        for (uint32_t j = 0; j < stage->waiting; j++) {
            stage->tasks[j].stage = stage;
            stage->tasks[j].index = j;
        }
    }
}

void
PhSchedJob_OpenRounds(PhSchedJob *job, uint32_t count)
{
    uint32_t rounds = MAX(job->spec.repetitions, 1);
    count = MIN(count, rounds);
    if (job->rounds == NULL) {
        job->rounds = g_new0(PhSchedRound, rounds);
    }
    while (job->round_count < count) {
        round_open(job, job->round_count);
        job->round_count++;
    }
}

uint32_t
PhSchedModel_ImageNumber(PhSchedModel *m, PhStr image)
{
    guint known = g_hash_table_size(m->images);
    if (image.len == 0) {
        return 0;
    }
    gpointer number = g_hash_table_lookup(m->images, &image);
    if (number == NULL && known + 1 < PH_SCHED_IMAGES_MAX) {
        number = GUINT_TO_POINTER(known + 1);
        g_hash_table_insert(m->images, PhStr_KeyCreate(image), number);
    }
    return GPOINTER_TO_UINT(number);
}

PhSchedJob *
PhSchedModel_AddJob(PhSchedModel *m, PhSchedSpec *spec, PhTime now)
{
    PhSchedJob *job = PhSchedModel_Job(m, spec->id);
    if (job != NULL) {
        PhSchedSpec_Clear(spec);
        return job;
    }
    job = g_new0(PhSchedJob, 1);
    job->spec = *spec;
    *spec = (PhSchedSpec){0};
    job->accepted_at = now;
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        PhSchedStep *step = &job->spec.steps[i];
        step->image_number = PhSchedModel_ImageNumber(m, step->image);
    }
    if (job->spec.repetitions == 0) {
        PhSchedJob_OpenRounds(job, 1);
        job->rounds_due = 1;
    }
    job->cancel = g_hash_table_contains(m->cancelled, &job->spec.id) ||
                  g_hash_table_contains(m->old_cancelled, &job->spec.id);
    g_hash_table_insert(m->jobs, &job->spec.id, job);
    g_ptr_array_add(m->active, job);
    m->active_tasks += PhSchedSpec_Weight(&job->spec);
    PhSchedModel_ApplyDeferred(m, job, now);
    return job;
}

void
PhSchedModel_Cancel(PhSchedModel *m, PhStr id)
{
    PhSchedJob *job = PhSchedModel_Job(m, id);
    if (job != NULL) {
        job->cancel = true;
        return;
    }
    if (g_hash_table_size(m->cancelled) >= PH_SCHED_CANCELLED_MAX) {
        g_hash_table_destroy(m->old_cancelled);
        m->old_cancelled = m->cancelled;
        m->cancelled = ids_create();
    }
    g_hash_table_add(m->cancelled, PhStr_KeyCreate(id));
}

PhSchedJob *
PhSchedModel_Job(const PhSchedModel *m, PhStr id)
{
    return g_hash_table_lookup(m->jobs, &id);
}

void
PhSchedModel_SetJobState(PhSchedModel *m, PhSchedJob *job,
                         PhSchedJobState state)
{
    bool was_over = PhSchedJob_IsOver(job);
    job->state = state;
    if (!was_over && PhSchedJob_IsOver(job)) {
        g_ptr_array_remove_fast(m->active, job);
        m->active_tasks -= PhSchedSpec_Weight(&job->spec);
        /* No start is sent any more, and the job itself stays. */
        PhStr_Clear(&job->spec.payload);
    }
}

/* The tasks and jobs are freed, so the workers' references to them go first.
 */
void
PhSchedModel_ClearRecords(PhSchedModel *m)
{
    for (guint i = 0; i < m->incarnations->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(m->incarnations, i);
        g_ptr_array_set_size(w->tasks, 0);
        g_array_set_size(w->failures, 0);
        w->used = (PhSchedResources){0};
        w->backfill_cpu_milli = 0;
        w->serving_cpu_milli = 0;
        w->claim = (PhSchedClaim){0};
        w->suspended = false;
        w->suspended_at = 0;
        w->dead = false;
        w->leaving_at = 0;
        w->unbound = false;
    }
    g_ptr_array_set_size(m->active, 0);
    m->active_tasks = 0;
    g_hash_table_remove_all(m->deferred);
    m->deferred_count = 0;
    g_hash_table_remove_all(m->cancelled);
    g_hash_table_remove_all(m->old_cancelled);
    g_hash_table_remove_all(m->jobs);
}

PhSchedStage *
PhSchedJob_Stage(const PhSchedJob *job, uint32_t round, uint32_t step)
{
    if (round >= job->round_count || step >= job->spec.step_count) {
        return NULL;
    }
    return &job->rounds[round].stages[step];
}

PhSchedTask *
PhSchedModel_Task(const PhSchedModel *m, const PhSchedTaskName *name)
{
    PhSchedJob *job = PhSchedModel_Job(m, name->job);
    if (job == NULL) {
        return NULL;
    }
    PhSchedStage *stage = PhSchedJob_Stage(job, name->round, name->step);
    if (stage == NULL || name->index >= job->spec.steps[name->step].count) {
        return NULL;
    }
    return &stage->tasks[name->index];
}

PhSchedTaskName
PhSchedTask_Name(const PhSchedTask *task)
{
    return (PhSchedTaskName){.job = task->stage->job->spec.id,
                             .round = task->stage->round,
                             .step = task->stage->number,
                             .index = task->index};
}

bool
PhSchedTaskName_Equal(const PhSchedTaskName *a, const PhSchedTaskName *b)
{
    return a->index == b->index && a->step == b->step &&
           a->round == b->round && PhStr_Equal(a->job, b->job);
}

const PhSchedStep *
PhSchedTask_Step(const PhSchedTask *task)
{
    return &task->stage->job->spec.steps[task->stage->number];
}

bool
PhSchedJob_IsOver(const PhSchedJob *job)
{
    return job->state >= PH_SCHED_JOB_COMPLETED;
}

bool
PhSchedStage_IsReady(const PhSchedStage *stage)
{
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    const PhSchedRound *round = &stage->job->rounds[stage->round];
    for (uint32_t i = 0; i < step->after_count; i++) {
        uint32_t earlier = step->after[i];
        if (round->stages[earlier].done <
            stage->job->spec.steps[earlier].count) {
            return false;
        }
    }
    return true;
}

bool
PhSchedStep_Serves(const PhSchedStep *step)
{
    return step->tail_latency_target > 0;
}

static PhSchedWorker *
incarnation_find(const PhSchedModel *m, PhStr id, int64_t born_ms)
{
    for (guint i = 0; i < m->incarnations->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(m->incarnations, i);
        if (w->entry.born_ms == born_ms && PhStr_Equal(w->entry.id, id)) {
            return w;
        }
    }
    return NULL;
}

PhSchedWorker *
PhSchedModel_Worker(PhSchedModel *m, PhStr id, int64_t born_ms)
{
    PhSchedWorker *newest = PhSchedModel_NewestIncarnation(m, id);
    if (newest != NULL && newest->entry.born_ms == born_ms) {
        return newest;
    }
    PhSchedWorker *w = incarnation_find(m, id, born_ms);
    if (w != NULL) {
        return w;
    }
    w = g_new0(PhSchedWorker, 1);
    w->entry.id = PhStr_Dup(id);
    w->entry.born_ms = born_ms;
    w->tasks = g_ptr_array_new();
    w->backfill_use = g_array_new(FALSE, TRUE, sizeof(PhSchedBackfillUse));
    w->failures = g_array_new(FALSE, TRUE, sizeof(PhSchedFailure));
    w->serving = g_array_new(FALSE, TRUE, sizeof(PhSchedServing));
    g_ptr_array_add(m->incarnations, w);
    if (newest == NULL || newest->entry.born_ms < born_ms) {
        g_hash_table_replace(m->workers, &w->entry.id, w);
    }
    return w;
}

PhSchedWorker *
PhSchedModel_NewestIncarnation(const PhSchedModel *m, PhStr id)
{
    return g_hash_table_lookup(m->workers, &id);
}

bool
PhSchedModel_IsNewest(const PhSchedModel *m, const PhSchedWorker *w)
{
    return PhSchedModel_NewestIncarnation(m, w->entry.id) == w;
}

/* The id is not replaced: the table of workers refers to it as its key. */
void
PhSchedModel_SetEntry(const PhSchedModel *m, PhSchedWorker *w,
                      PhSchedWorkerEntry *entry)
{
    PhStr id = w->entry.id;
    w->entry.id = (PhStr){0};
    PhSchedWorkerEntry_Clear(&w->entry);
    PhStr_Clear(&entry->id);
    entry->id = id;
    w->entry = *entry;
    *entry = (PhSchedWorkerEntry){0};
    w->cordoned = g_hash_table_contains(m->cordons, &w->entry.data_centre);
}

void
PhSchedModel_SetCordon(PhSchedModel *m, PhStr data_centre, bool cordoned)
{
    if (cordoned) {
        g_hash_table_add(m->cordons, PhStr_KeyCreate(data_centre));
    }
    else {
        g_hash_table_remove(m->cordons, &data_centre);
    }
    for (guint i = 0; i < m->incarnations->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(m->incarnations, i);
        if (PhStr_Equal(w->entry.data_centre, data_centre)) {
            w->cordoned = cordoned;
        }
    }
}

PhSchedWorker *
PhSchedModel_DetachIncarnation(PhSchedModel *m, guint index)
{
    PhSchedWorker *w = g_ptr_array_steal_index_fast(m->incarnations, index);
    if (!PhSchedModel_IsNewest(m, w)) {
        return w;
    }
    g_hash_table_remove(m->workers, &w->entry.id);
    PhSchedWorker *newest = NULL;
    for (guint i = 0; i < m->incarnations->len; i++) {
        PhSchedWorker *x = g_ptr_array_index(m->incarnations, i);
        if (PhStr_Equal(x->entry.id, w->entry.id) &&
            (newest == NULL || x->entry.born_ms > newest->entry.born_ms)) {
            newest = x;
        }
    }
    if (newest != NULL) {
        g_hash_table_insert(m->workers, &newest->entry.id, newest);
    }
    return w;
}

/* Adds (sign 1) or removes (sign -1) the declared resources of a task.  The
 * CPU of backfill tasks is not counted against the capacity. */
static void
worker_account(PhSchedWorker *w, const PhSchedStep *step, int64_t sign)
{
    w->used.mem_mb += sign * step->resources.mem_mb;
    w->used.gpu += sign * step->resources.gpu;
    if (step->fills) {
        w->backfill_cpu_milli += sign * step->resources.cpu_milli;
    }
    else {
        w->used.cpu_milli += sign * step->resources.cpu_milli;
    }
    if (PhSchedStep_Serves(step)) {
        w->serving_cpu_milli += sign * step->resources.cpu_milli;
    }
}

void
PhSchedTask_Place(PhSchedTask *task, PhSchedWorker *worker)
{
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION,
                 task->worker == NULL && task->state == PH_SCHED_TASK_WAITING,
                 "state=%d", (int)task->state);
    PhSchedTask_OutdateRecord(task);
    task->worker = worker;
    task->state = PH_SCHED_TASK_ASSIGNED;
    task->stage->waiting--;
    task->stage->placed++;
    task->stage->job->tasks_placed++;
    g_ptr_array_add(worker->tasks, task);
    worker_account(worker, PhSchedTask_Step(task), 1);
}

void
PhSchedTask_Reserve(PhSchedTask *task, PhSchedWorker *worker, PhTime until)
{
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION, task->reserved == NULL, "run=%u",
                 (unsigned)task->run);
    task->reserved = worker;
    task->reserved_until = until;
    worker_account(worker, PhSchedTask_Step(task), 1);
}

void
PhSchedTask_Unreserve(PhSchedTask *task)
{
    worker_account(task->reserved, PhSchedTask_Step(task), -1);
    task->reserved = NULL;
}

void
PhSchedTask_ResetPace(PhSchedTask *task, int percent_sent)
{
    task->percent_sent = percent_sent;
    task->pace_sent_at = 0;
    task->late_pace_until = 0;
    task->paces_in_flight = 0;
    task->pace_overtakable = false;
}

void
PhSchedTask_Unplace(PhSchedTask *task, PhSchedTaskState state)
{
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION, task->worker != NULL, "state=%d",
                 (int)task->state);
    PhSchedTask_OutdateRecord(task);
    g_ptr_array_remove_fast(task->worker->tasks, task);
    worker_account(task->worker, PhSchedTask_Step(task), -1);
    task->worker = NULL;
    task->state = state;
    task->start_in_flight = false;
    task->start_unbound = false;
    task->start_unconfirmed = false;
    task->start_connected_at = 0;
    task->stalled_since = 0;
    task->stopping = false;
    task->stop_in_flight = false;
    task->stop_sent_at = 0;
    task->stage->placed--;
    task->stage->job->tasks_placed--;
    switch (state) {
    case PH_SCHED_TASK_WAITING:
        task->stage->waiting++;
        break;
    case PH_SCHED_TASK_DONE:
        task->stage->done++;
        break;
    case PH_SCHED_TASK_ASSIGNED:
    case PH_SCHED_TASK_RUNNING:
        Ph_INVARIANT(PH_INVARIANT_PRECONDITION, false, "state=%d", (int)state);
        break;
    }
}
