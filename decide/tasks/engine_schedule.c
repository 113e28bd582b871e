#include "job_engine_private.h"

#include "peridothill/common/invariant.h"

enum {
    STARTS_PER_TICK = 64,
    /* START records that may be queued or in flight. */
    STARTS_UNPLACED_MAX = 512,
    /* Jobs without a fitting worker that one pass may examine, to bound its
     * cost. */
    UNPLACEABLE_PER_PASS = 64,
};

void
PhJobEngine_SetUsable(PhJobEngine *e, uint32_t worker)
{
    const PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    bool usable =
        v->listed && !v->leaving && v->clock_known && v->missed_polls == 0 &&
        e->now >= v->quarantined_until &&
        PhJobState_Worker(e->state, worker)->retired == PH_OFFSET_NONE;
    PhPlacement_SetWorker(e->placement, worker, v->size, v->rack, usable);
    e->schedule_wanted = e->schedule_wanted || usable;
}

static void
commit(PhJobEngine *e, uint32_t worker, const PhJob *job, bool starting)
{
    PhPlacement_Commit(e->placement, worker, job->number, job->spec.size,
                       starting);
    PhQuotas_Commit(e->quotas, job->spec.team, job->number, job->spec.size);
}

/* Reverts commit(). */
static void
release(PhJobEngine *e, uint32_t worker, uint64_t job, PhJobSize size)
{
    PhPlacement_Release(e->placement, worker, job, size);
    PhQuotas_Release(e->quotas, job, size, e->now);
}

static void
stopping_add(PhJobEngine *e, const PhJob *job)
{
    if (job != NULL && job->cancel_wanted && job->placed > 0) {
        g_array_append_val(e->jobs_to_stop, job->number);
        e->next_stop = e->now;
    }
}

void
PhJobEngine_ScheduleReset(PhJobEngine *e)
{
    g_hash_table_remove_all(e->starts);
    g_array_set_size(e->jobs_to_stop, 0);
    PhJobQueue_Clear(e->jobs);
    PhPlacement_Reset(e->placement);
    PhQuotas_Reset(e->quotas);
    for (uint32_t i = 0; i < PhJobState_WorkerCount(e->state); i++) {
        const PhJobWorker *w = PhJobState_Worker(e->state, i);
        for (guint k = 0; k < w->runs->len; k++) {
            PhRun run = g_array_index(w->runs, PhRun, k);
            const PhJob *job = PhJobState_Job(e->state, run.job);
            commit(e, i, job, false);
        }
    }
    for (PhJob *job = PhJobState_JobFrom(e->state, 0); job != NULL;
         job = PhJobState_JobFrom(e->state, job->number + 1)) {
        PhJobQueue_AddJob(e->jobs, job);
        stopping_add(e, job);
    }
    e->schedule_wanted = true;
}

/* Sends the start command of a placed run, if this instance still may. */
static void
start_send(PhJobEngine *e, PhPendingStart *start)
{
    PhWorkerView *v = PhJobEngine_WorkerView(e, start->worker);
    const PhJobWorker *w = PhJobState_Worker(e->state, start->worker);
    const PhJobTask *task = PhJobState_Placed(e->state, start->run);
    if (start->sent || !PhJobEngine_Owns(e, e->now) ||
        w->retired != PH_OFFSET_NONE ||
        !PhWorkerView_ClockIsFresh(v, e->now)) {
        return;
    }
    Ph_INVARIANT(PH_INVARIANT_ONE_PLACE,
                 task != NULL && task->worker == start->worker,
                 "job=%" G_GUINT64_FORMAT " index=%u", start->run.job,
                 start->run.index);
    Ph_INVARIANT(PH_INVARIANT_LEASE, e->owner && e->now < e->ownership_until,
                 "now=%" G_GINT64_FORMAT, e->now);
    const PhJob *job = PhJobState_Job(e->state, start->run.job);
    start->sent = true;
    start->valid_until =
        MIN(e->now + (PH_START_VALID_MS * PH_NS_PER_MS), e->ownership_until);
    PhWorkerCommand command =
        PhJobEngine_Command(e, v, PH_WORKER_START, start->valid_until);
    command.as.start.run = start->run;
    command.as.start.size = start->size;
    command.as.start.run_ms = job->spec.run_ms;
    command.as.start.resume_from = task->checkpoint;
    command.as.start.lease_until_ms =
        PhWorkerView_ClockAt(v, e->now + e->options.times.lease);
    /* Poll soon after, to learn whether the start took effect. */
    v->next_poll = MIN(v->next_poll, start->valid_until + (PH_NS_PER_S / 4));
    PhJobEngine_Count(e, PH_COUNTER_TASKS_STARTS, 1);
    PhJobEngine_Emit(
        e, (PhJobAction){.kind = PH_ACTION_COMMAND, .as.command = command});
}

typedef enum PhStartDecision {
    START_DECIDED,
    START_OVER_QUOTA,
    START_NO_ROOM,
    START_NEVER_FITS,
} PhStartDecision;

/* Decides the start of one task of a job. With `lending`, its team may exceed
 * its quota. */
static PhStartDecision
start_decide(PhJobEngine *e, PhQueuedJob *queued, bool lending)
{
    const PhJob *job = PhJobState_Job(e->state, queued->number);
    if (!PhQuotas_IsWithin(e->quotas, job->spec.team, job->spec.size) &&
        !(lending && PhQuotas_CanLend(e->quotas, job->spec.size,
                                      PhPlacement_Total(e->placement)))) {
        queued->reason = "over the quota of the team, nothing to lend";
        return START_OVER_QUOTA;
    }
    uint32_t worker =
        PhPlacement_Choose(e->placement, job->number, job->spec.size);
    if (worker == PH_PLACEMENT_NONE) {
        bool ever = PhPlacement_FitsEmptyWorker(e->placement, job->spec.size);
        queued->reason =
            ever ? "no worker has room" : "larger than every worker";
        return ever ? START_NO_ROOM : START_NEVER_FITS;
    }
    uint32_t index = PhJobQueue_PopTask(e->jobs, queued);
    const PhJobTask *task = &job->tasks[index];
    Ph_INVARIANT(PH_INVARIANT_RESUME_ONCE, task->state == PH_JOB_TASK_WAITING,
                 "job=%" G_GUINT64_FORMAT " index=%u", job->number, index);
    PhPendingStart *start = g_new0(PhPendingStart, 1);
    start->run = (PhRun){job->number, index, task->incarnation + 1};
    start->worker = worker;
    start->size = job->spec.size;
    Ph_INVARIANT(PH_INVARIANT_RESUME_ONCE,
                 !g_hash_table_contains(e->starts, &start->run),
                 "job=%" G_GUINT64_FORMAT " index=%u", job->number, index);
    g_hash_table_insert(e->starts, &start->run, start);
    commit(e, worker, job, true);
    PhJobRecord record = {.kind = PH_RECORD_START};
    record.as.start.epoch = PhJobState_Epoch(e->state);
    record.as.start.run = start->run;
    record.as.start.worker =
        PhStr_Dup(PhJobState_Worker(e->state, worker)->id);
    PhJobEngine_Queue(e, record);
    return START_DECIDED;
}

typedef struct PhSchedulePass {
    bool lending;
    uint32_t starts_left; /* starts that may still be decided */
    uint32_t unplaceable; /* examined jobs without a fitting worker */
    bool capacity_short;  /* a job within its quota waits for capacity */
} PhSchedulePass;

/* Starts tasks of one job until a start is not possible. */
static void
job_schedule(PhJobEngine *e, PhQueuedJob *job, PhSchedulePass *pass)
{
    /* The job is freed with its last task, so `indices` is read only once. */
    for (guint tasks = job->indices->len; tasks > 0 && pass->starts_left > 0;
         tasks--) {
        switch (start_decide(e, job, pass->lending)) {
        case START_DECIDED:
            pass->starts_left--;
            break;
        case START_OVER_QUOTA:
            return;
        case START_NO_ROOM:
            pass->unplaceable++;
            pass->capacity_short = true;
            return;
        case START_NEVER_FITS:
            pass->unplaceable++;
            return;
        }
    }
}

static void
schedule_pass(PhJobEngine *e, PhSchedulePass *pass)
{
    PhQueuedJob *job = PhJobQueue_Next(e->jobs, NULL);
    pass->unplaceable = 0;
    while (job != NULL && pass->starts_left > 0 &&
           pass->unplaceable < UNPLACEABLE_PER_PASS) {
        PhQueuedJob *next = PhJobQueue_Next(e->jobs, job);
        job_schedule(e, job, pass);
        job = next;
    }
}

/* Starts what the teams are entitled to. Lends the remaining capacity, unless
 * a task within its team's quota waits for capacity. */
static void
schedule(PhJobEngine *e)
{
    PhSchedulePass pass = {.starts_left = STARTS_PER_TICK};
    e->schedule_wanted = false;
    PhQuotas_Expire(e->quotas, e->now);
    schedule_pass(e, &pass);
    if (!pass.capacity_short) {
        pass.lending = true;
        schedule_pass(e, &pass);
    }
    if (pass.starts_left == 0) {
        e->schedule_wanted = true;
    }
}

/* Retries start commands that could not be sent when their record was read.
 * Returns the number of starts whose record was not read back yet. */
static uint32_t
starts_send(PhJobEngine *e)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t unplaced = 0;
    g_hash_table_iter_init(&iter, e->starts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhPendingStart *start = value;
        if (!start->placed) {
            unplaced++;
        }
        else if (!start->sent) {
            start_send(e, start);
        }
    }
    return unplaced;
}

static void
job_stop(PhJobEngine *e, const PhJob *job)
{
    for (uint32_t i = 0; i < job->spec.count; i++) {
        const PhJobTask *task = &job->tasks[i];
        if (task->state != PH_JOB_TASK_PLACED) {
            continue;
        }
        PhWorkerView *v = PhJobEngine_WorkerView(e, task->worker);
        PhWorkerCommand stop = PhJobEngine_Command(
            e, v, PH_WORKER_STOP,
            e->now + (PH_WORKER_TIMEOUT_MS * PH_NS_PER_MS));
        stop.as.stop.run = (PhRun){job->number, i, task->incarnation};
        PhJobEngine_Count(e, PH_COUNTER_TASKS_STOPS, 1);
        PhJobEngine_Emit(
            e, (PhJobAction){.kind = PH_ACTION_COMMAND, .as.command = stop});
    }
}

/* Resends the stops of cancelled jobs until all their tasks have ended. */
static void
stop_tick(PhJobEngine *e)
{
    if (e->jobs_to_stop->len == 0 || e->now < e->next_stop) {
        return;
    }
    e->next_stop = e->now + (PH_STOP_RETRY_MS * PH_NS_PER_MS);
    for (guint i = e->jobs_to_stop->len; i > 0; i--) {
        uint64_t number = g_array_index(e->jobs_to_stop, uint64_t, i - 1);
        const PhJob *job = PhJobState_Job(e->state, number);
        if (job == NULL || job->placed == 0) {
            g_array_remove_index_fast(e->jobs_to_stop, i - 1);
            continue;
        }
        job_stop(e, job);
    }
}

void
PhJobEngine_ScheduleTick(PhJobEngine *e)
{
    if (e->state == NULL || !PhJobEngine_Owns(e, e->now)) {
        return;
    }
    if (PhJobQueue_QueueDue(e->jobs, e->state, e->now)) {
        e->schedule_wanted = true;
    }
    uint32_t unplaced = starts_send(e);
    stop_tick(e);
    if (e->schedule_wanted && unplaced < STARTS_UNPLACED_MAX && !e->log_down) {
        schedule(e);
    }
}

static void
task_requeue(PhJobEngine *e, PhRun run, PhTime delay)
{
    const PhJob *job = PhJobState_Job(e->state, run.job);
    if (job != NULL && job->tasks != NULL &&
        job->tasks[run.index].state == PH_JOB_TASK_WAITING) {
        PhJobQueue_Add(e->jobs, job, run.index,
                       delay > 0 ? e->now + delay : 0);
    }
}

void
PhJobEngine_StartVoid(PhJobEngine *e, PhRun run)
{
    const PhPendingStart *start = g_hash_table_lookup(e->starts, &run);
    PhJobEngine_Count(e, PH_COUNTER_TASKS_STARTS_VOID, 1);
    if (start == NULL) {
        return;
    }
    release(e, start->worker, run.job, start->size);
    g_hash_table_remove(e->starts, &run);
    task_requeue(e, run, 0);
    e->schedule_wanted = true;
}

static void
outcome_count(PhJobEngine *e, PhRunOutcome outcome)
{
    switch (outcome) {
    case PH_RUN_DONE:
        PhJobEngine_Count(e, PH_COUNTER_TASKS_ENDED_DONE, 1);
        break;
    case PH_RUN_FAILED:
        PhJobEngine_Count(e, PH_COUNTER_TASKS_ENDED_FAILED, 1);
        break;
    case PH_RUN_STOPPED:
        PhJobEngine_Count(e, PH_COUNTER_TASKS_ENDED_STOPPED, 1);
        break;
    case PH_RUN_EVICTED:
        PhJobEngine_Count(e, PH_COUNTER_TASKS_ENDED_EVICTED, 1);
        break;
    case PH_RUN_LOST:
        PhJobEngine_Count(e, PH_COUNTER_TASKS_ENDED_LOST, 1);
        break;
    }
}

static void
run_ended(PhJobEngine *e, const PhJobChange *change)
{
    outcome_count(e, change->outcome);
    PhTime delay = PhJobEngine_RecordOutcome(e, change);
    g_hash_table_remove(e->starts, &change->run);
    release(e, change->worker, change->run.job, change->size);
    task_requeue(e, change->run, delay);
    e->schedule_wanted = true;
}

void
PhJobEngine_ScheduleChange(PhJobEngine *e, const PhJobChange *change, bool own)
{
    if (!e->owner) {
        return;
    }
    switch (change->kind) {
    case PH_CHANGE_ACCEPTED:
        if (!change->repeated) {
            PhJobQueue_AddJob(e->jobs, PhJobState_Job(e->state, change->job));
            e->schedule_wanted = true;
        }
        break;
    case PH_CHANGE_CANCELLED:
        PhJobQueue_Remove(e->jobs, change->job);
        stopping_add(e, PhJobState_Job(e->state, change->job));
        break;
    case PH_CHANGE_PLACED: {
        PhPendingStart *start = g_hash_table_lookup(e->starts, &change->run);
        Ph_INVARIANT(PH_INVARIANT_ONE_PLACE, own && start != NULL,
                     "job=%" G_GUINT64_FORMAT " index=%u", change->run.job,
                     change->run.index);
        if (start != NULL) {
            start->placed = true;
            start_send(e, start);
        }
        break;
    }
    case PH_CHANGE_ENDED:
        run_ended(e, change);
        break;
    case PH_CHANGE_OWNER:
    case PH_CHANGE_OWNER_HEARTBEAT:
    case PH_CHANGE_SUSPECTED:
    case PH_CHANGE_RETIRED:
    case PH_CHANGE_RESTORED:
    case PH_CHANGE_REGISTERED:
    case PH_CHANGE_DEREGISTERED:
    case PH_CHANGE_SNAPSHOT:
    case PH_CHANGE_NONE:
        break;
    }
}
