#include "scheduler_private.h"

#include "peridothill/common/invariant.h"

/* Leases are this long: a crash of the owner, its detection and the takeover
 * take under 4 s, and a renewal comes every 1.5 s at the latest. */
static const PhTime LEASE = 6 * PH_NS_PER_S;
/* An owner without the store goes on for at most this long, see
 * docs/PLATFORM-DESIGN.md; a successor waits for it and one lease. */
static const PhTime OLD_OWNER_LIMIT = 10 * PH_NS_PER_S;
/* A claim comes this long after the last word of the earlier owner; see
 * election.c. */
static const PhTime OWNER_SILENCE = 2200 * PH_NS_PER_MS;
/* Ends within this time share one hold. */
static const PhTime HOLD_GAP = 10 * PH_NS_PER_MS;
/* Clocks of workers may be 2% slow. */
static const int64_t CLOCK_SLOW_PERCENT = 102;
static const PhTime CLOCK_MARGIN = 100 * PH_NS_PER_MS;
/* What was learned of interference goes into the records this often. */
static const PhTime PAIRS_INTERVAL = 2 * PH_NS_PER_S;
/* Idle time of the planner: rounds that come due, leases that lapse. */
static const PhTime PLAN_INTERVAL = 250 * PH_NS_PER_MS;

/* Creates a scheduler that owns nothing yet. */
PhScheduler *
PhScheduler_Create(const PhSchedulerOptions *options)
{
    PhScheduler *s = g_new0(PhScheduler, 1);
    s->options = *options;
    s->model = PhSchedModel_Create();
    s->open_batch = 1;
    s->interference = PhInterference_Create();
    s->notes = g_array_new(FALSE, TRUE, sizeof(PhSchedNote));
    s->dirty_stages = g_ptr_array_new();
    s->dirty_jobs = g_ptr_array_new();
    return s;
}

/* Releases a stray run. */
static void
stray_destroy(gpointer value)
{
    PhStray *stray = value;
    PhStr_Clear(&stray->task.job);
    g_free(stray);
}

/* Empties the queues of orders. */
static void
orders_clear(PhScheduler *s)
{
    g_queue_clear(&s->starts);
    g_queue_clear(&s->stops);
    g_queue_clear(&s->paces);
    g_queue_clear(&s->holds);
    g_queue_clear_full(&s->strays, stray_destroy);
}

/* Releases the scheduler and its model; NULL is allowed. */
void
PhScheduler_Destroy(PhScheduler *s)
{
    if (s == NULL) {
        return;
    }
    orders_clear(s);
    g_ptr_array_free(s->dirty_stages, TRUE);
    g_ptr_array_free(s->dirty_jobs, TRUE);
    PhInterference_Destroy(s->interference);
    g_array_free(s->notes, TRUE);
    PhSchedModel_Destroy(s->model);
    g_free(s);
}

/* Gives the notes since the last clearing. */
const PhSchedNote *
PhScheduler_Notes(const PhScheduler *s, size_t *count)
{
    *count = s->notes->len;
    return (const PhSchedNote *)s->notes->data;
}

/* Forgets the notes. */
void
PhScheduler_ClearNotes(PhScheduler *s)
{
    g_array_set_size(s->notes, 0);
}

/* Gives the model. */
PhSchedModel *
PhScheduler_Model(PhScheduler *scheduler)
{
    return scheduler->model;
}

/* Tells whether only owners write records of this kind. */
static bool
is_owners(PhSchedRecordTag tag)
{
    switch (tag) {
    case PH_SCHED_RECORD_JOB:
    case PH_SCHED_RECORD_CANCEL:
        return false;
    case PH_SCHED_RECORD_STATE:
    case PH_SCHED_RECORD_STAGE:
    case PH_SCHED_RECORD_WORKER:
    case PH_SCHED_RECORD_PAIRS:
        break;
    }
    return true;
}

/* Applies a record that was read from the store.  An owner's model is ahead
 * of its records. */
PhStatus
PhScheduler_Apply(PhScheduler *s, PhSchedRecord *record, PhTime now)
{
    if (s->fence != 0 && is_owners(record->tag)) {
        PhSchedRecord_Clear(record);
        return PH_STATUS_CONFLICT;
    }
    if (record->tag != PH_SCHED_RECORD_PAIRS) {
        return PhSchedModel_Apply(s->model, record, now);
    }
    PhInterference_Apply(s->interference, s->model, record);
    PhSchedRecord_Clear(record);
    return PH_STATUS_OK;
}

/* Gives the fence of this owner, 0 when it is not the owner. */
uint64_t
PhScheduler_Fence(const PhScheduler *scheduler)
{
    return scheduler->fence;
}

/* Gives for how long a lease may last by the owner's clock. */
static PhTime
lease_bound(const PhScheduler *s)
{
    return MIN(LEASE, s->options.lease_limit) / 100 * CLOCK_SLOW_PERCENT +
           CLOCK_MARGIN;
}

/* Ends the orders of an earlier ownership for one life. */
static void
worker_reset(const PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    w->fenced = false;
    w->holding = false;
    w->hold_after = now;
    w->seen = 0;
    w->acked = 0;
    w->seen_batch = 0;
    w->cooldown_until = 0;
    w->dirty = false;
    w->grant_batch = 0;
    w->lapse_by = w->suspended ? w->suspended_at + lease_bound(s)
                               : now + OLD_OWNER_LIMIT + lease_bound(s);
    w->failing_since = 0;
    for (guint i = 0; i < w->tasks->len; i++) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        task->fence = 0;
        task->ordering = false;
        task->stopping = false;
        task->stop_sent = false;
    }
}

/* Takes over, or gives up, the ownership. */
void
PhScheduler_SetFence(PhScheduler *s, uint64_t fence, PhTime now)
{
    orders_clear(s);
    for (guint i = 0; i < s->dirty_stages->len; i++) {
        ((PhSchedStage *)g_ptr_array_index(s->dirty_stages, i))->dirty = false;
    }
    for (guint i = 0; i < s->dirty_jobs->len; i++) {
        ((PhSchedJob *)g_ptr_array_index(s->dirty_jobs, i))->dirty = false;
    }
    g_ptr_array_set_size(s->dirty_stages, 0);
    g_ptr_array_set_size(s->dirty_jobs, 0);
    s->dirty_workers = 0;
    s->durable_batch = s->open_batch++;
    s->fence = fence;
    s->quiet = false;
    s->owner_since = now;
    s->due = now;
    s->place_due = true;
    for (guint i = 0; i < s->model->lives->len; i++) {
        worker_reset(s, g_ptr_array_index(s->model->lives, i), now);
    }
}

/* Ends new starts before a stop. */
void
PhScheduler_Quiesce(PhScheduler *s)
{
    s->quiet = true;
}

/* Marks a stage as changed. */
void
PhScheduler_TouchStage(PhScheduler *s, PhSchedStage *stage)
{
    if (!stage->dirty) {
        stage->dirty = true;
        g_ptr_array_add(s->dirty_stages, stage);
    }
}

/* Marks the state of a job as changed. */
void
PhScheduler_TouchJob(PhScheduler *s, PhSchedJob *job)
{
    if (!job->dirty) {
        job->dirty = true;
        g_ptr_array_add(s->dirty_jobs, job);
    }
    job->batch = s->open_batch;
}

/* Records whether leases are granted to a worker.  Before the first lease
 * that follows, the record has to be durable. */
void
PhScheduler_SetSuspended(PhScheduler *s, PhSchedWorker *w, bool suspended,
                         PhTime now)
{
    if (w->suspended == suspended) {
        return;
    }
    PhSchedNote note = {.tag = suspended ? PH_SCHED_NOTE_SUSPENDED
                                         : PH_SCHED_NOTE_RESUMED,
                        .worker = w};
    g_array_append_val(s->notes, note);
    w->suspended = suspended;
    w->suspended_at = now;
    w->grant_batch = s->open_batch;
    if (!w->dirty) {
        w->dirty = true;
        s->dirty_workers++;
    }
}

/* Brings the next decision forward. */
void
PhScheduler_WakeBy(PhScheduler *s, PhTime at)
{
    s->due = MIN(s->due, at);
}

/* Gives the time of the next decision. */
PhTime
PhScheduler_Due(const PhScheduler *s)
{
    return s->fence == 0 ? PH_TIME_NEVER : s->due;
}

/* Estimates the worker's clock; slow clocks make it a lower bound only at the
 * reading itself, so 2% is taken off what has passed since. */
int64_t
PhSchedWorker_Clock(const PhSchedWorker *w, PhTime now)
{
    return w->clock_ms + (now - w->clock_at) / PH_NS_PER_MS;
}

/* Grants a lease from now on. */
int64_t
PhScheduler_Grant(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    PhTime lease = MIN(LEASE, s->options.lease_limit);
    int64_t end_ms = PhSchedWorker_Clock(w, now) + lease / PH_NS_PER_MS;
    PhTime left = (end_ms - w->clock_ms) * PH_NS_PER_MS;
    PhTime lapse =
        w->clock_at + left / 100 * CLOCK_SLOW_PERCENT + CLOCK_MARGIN;
    w->lapse_by = MAX(w->lapse_by, lapse);
    return end_ms;
}

/* Orders a stop of a placed task. */
void
PhScheduler_StopTask(PhScheduler *s, PhSchedTask *task)
{
    if (task->worker == NULL || task->stopping) {
        return;
    }
    task->stopping = true;
    g_queue_push_tail(&s->stops, task);
}

/* Ends a job and stops what runs of it. */
void
PhScheduler_EndJob(PhScheduler *s, PhSchedJob *job, PhSchedJobState state)
{
    PhSchedModel_SetJobState(s->model, job, state);
    PhScheduler_TouchJob(s, job);
    for (uint32_t k = 0; k < job->round_count && job->tasks_placed > 0; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            PhSchedStage *stage = &job->rounds[k].stages[i];
            for (uint32_t j = 0; j < job->spec.steps[i].count; j++) {
                PhScheduler_StopTask(s, &stage->tasks[j]);
            }
        }
    }
}

/* Ends the job when its last round is done. */
static void
stage_done(PhScheduler *s, PhSchedStage *stage, PhTime now)
{
    PhSchedJob *job = stage->job;
    PhSchedRound *round = &job->rounds[stage->round];
    round->done++;
    job->ran += stage->longest;
    for (uint32_t i = stage->number + 1; i < job->spec.step_count; i++) {
        for (uint32_t j = 0; j < job->spec.steps[i].count; j++) {
            PhSchedTask *next = &round->stages[i].tasks[j];
            next->since = next->run == 0 ? now : next->since;
        }
    }
    if (round->done < job->spec.step_count) {
        return;
    }
    job->rounds_done++;
    if (job->rounds_done == MAX(job->spec.repetitions, 1) &&
        !PhSchedJob_IsOver(job)) {
        PhScheduler_EndJob(s, job, PH_SCHED_JOB_COMPLETED);
    }
}

/* Ends the run of a task. */
void
PhScheduler_EndRun(PhScheduler *s, PhSchedTask *task, PhSchedEndKind kind,
                   PhStr saved, PhTime now)
{
    PhSchedStage *stage = task->stage;
    const PhSchedStep *step = PhSchedTask_Step(task);
    PhSchedWorker *w = task->worker;
    bool done = kind == PH_SCHED_END_DONE && !step->long_running;
    if (task->state == PH_SCHED_TASK_RUNNING) {
        stage->longest = MAX(stage->longest, now - task->since);
    }
    PhSchedTask_Unplace(task,
                        done ? PH_SCHED_TASK_DONE : PH_SCHED_TASK_WAITING);
    task->since = now;
    s->place_due = true;
    if (step->fills || PhSchedStep_Serves(step)) {
        PhInterference_Refresh(s->interference, w);
    }
    PhScheduler_TouchStage(s, stage);
    if (saved.len > 0) {
        PhStr_Clear(&task->saved);
        task->saved = PhStr_Dup(saved);
    }
    bool failed = kind == PH_SCHED_END_FAILED;
    task->failures += failed;
    if (step->gang) {
        PhScheduler_EndGang(s, task, kind);
    }
    if (done) {
        if (stage->done == step->count) {
            stage_done(s, stage, now);
        }
        return;
    }
    if (!failed) {
        return;
    }
    stage->job->failures++;
    task->failed_on = w;
    uint32_t limit = stage->job->spec.terms.max_attempts;
    if (!step->long_running && limit > 0 && task->failures >= limit &&
        !PhSchedJob_IsOver(stage->job)) {
        PhScheduler_EndJob(s, stage->job, PH_SCHED_JOB_FAILED);
    }
}

/* Gives the time by which every lease of a life has ended.  A life that was
 * leaving, is no longer listed and has not answered this owner has left.  One
 * that was not leaving may be cut off together with the earlier owner, which
 * then goes on granting leases to it. */
static PhTime
lapse_time(const PhScheduler *s, const PhSchedWorker *w)
{
    if (w->listed || w->fenced || !w->entry.draining) {
        return w->lapse_by;
    }
    PhTime since = MAX(w->unlisted_at, s->owner_since);
    return MIN(w->lapse_by, since + lease_bound(s) - OWNER_SILENCE);
}

/* Treats every run of a life as ended: its leases have lapsed, or the worker
 * has started anew. */
static void
worker_lost(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    PhSchedNote note = {
        .tag = PH_SCHED_NOTE_LOST, .worker = w, .as.lost = w->tasks->len};
    g_array_append_val(s->notes, note);
    w->dead = true;
    while (w->tasks->len > 0) {
        PhScheduler_EndRun(s, g_ptr_array_index(w->tasks, 0),
                           PH_SCHED_END_LAPSED, (PhStr){0}, now);
    }
}

/* Plans the hold of one life, and notices when its leases have lapsed. */
static void
plan_worker(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    if (w->dead) {
        return;
    }
    bool newest = PhSchedModel_NewestLife(s->model, w->entry.id) == w;
    PhTime lapse = lapse_time(s, w);
    if (now >= lapse && w->tasks->len > 0 &&
        (!w->listed || !newest || w->failing_since > 0)) {
        worker_lost(s, w, now);
        w->dead = !w->listed || !newest;
        return;
    }
    if (!w->listed && w->tasks->len == 0) {
        w->dead = true;
        return;
    }
    if (w->tasks->len > 0) {
        PhScheduler_WakeBy(s, lapse);
    }
    if (!newest || w->holding || PhStr_IsEmpty(w->entry.address)) {
        return;
    }
    if (w->hold_after > now) {
        PhScheduler_WakeBy(s, w->hold_after);
        return;
    }
    w->holding = true;
    g_queue_push_tail(&s->holds, w);
}

/* Opens the rounds of a job that have come due. */
static void
plan_rounds(PhScheduler *s, PhSchedJob *job, int64_t wall_ms)
{
    uint32_t total = job->spec.repetitions;
    if (job->rounds_due >= MAX(total, 1)) {
        return;
    }
    while (job->rounds_due < total) {
        int64_t due = job->spec.first_due_ms +
                      (int64_t)job->rounds_due * job->spec.interval_ms;
        if (wall_ms < due) {
            break;
        }
        job->rounds_due++;
        s->place_due = true;
    }
    PhSchedJob_OpenRounds(job, job->rounds_due);
}

/* Carries out what clients asked and notices jobs that are over. */
static void
plan_jobs(PhScheduler *s, int64_t wall_ms)
{
    GPtrArray *active = s->model->active;
    for (guint i = active->len; i-- > 0;) {
        PhSchedJob *job = g_ptr_array_index(active, i);
        if (job->cancel) {
            PhScheduler_EndJob(s, job, PH_SCHED_JOB_CANCELLED);
            continue;
        }
        plan_rounds(s, job, wall_ms);
        s->place_due |= job->state == PH_SCHED_JOB_QUEUED;
        if (job->rounds_done == MAX(job->spec.repetitions, 1)) {
            PhScheduler_EndJob(s, job, PH_SCHED_JOB_COMPLETED);
        }
    }
}

/* Decides what is due. */
void
PhScheduler_Plan(PhScheduler *s, PhTime now, int64_t wall_ms)
{
    if (s->fence == 0) {
        return;
    }
    s->due = now + PLAN_INTERVAL;
    if (now - s->pairs_at >= PAIRS_INTERVAL) {
        s->pairs_at = now;
        s->pairs_due = true;
    }
    plan_jobs(s, wall_ms);
    for (guint i = 0; i < s->model->lives->len; i++) {
        plan_worker(s, g_ptr_array_index(s->model->lives, i), now);
    }
    if (s->place_due && !s->quiet) {
        s->place_due = false;
        PhScheduler_PlaceTasks(s, now);
    }
}

/* Adds the records of workers to which leases are granted again or no
 * more. */
static void
take_workers(PhScheduler *s, GArray *records)
{
    for (guint i = 0; i < s->model->lives->len && s->dirty_workers > 0; i++) {
        PhSchedWorker *w = g_ptr_array_index(s->model->lives, i);
        if (!w->dirty) {
            continue;
        }
        PhSchedRecord record = {.tag = PH_SCHED_RECORD_WORKER,
                                .id = PhStr_Dup(w->entry.id),
                                .as.worker = {.born_ms = w->entry.born_ms,
                                              .suspended = w->suspended}};
        w->dirty = false;
        g_array_append_val(records, record);
    }
    s->dirty_workers = 0;
}

/* Closes the open batch. */
uint64_t
PhScheduler_TakeBatch(PhScheduler *s, GArray *records)
{
    if (s->dirty_stages->len == 0 && s->dirty_jobs->len == 0 &&
        s->dirty_workers == 0) {
        return 0;
    }
    take_workers(s, records);
    if (s->pairs_due) {
        PhSchedRecord record =
            PhInterference_Record(s->interference, s->model);
        s->pairs_due = false;
        g_array_append_val(records, record);
    }
    for (guint i = 0; i < s->dirty_stages->len; i++) {
        PhSchedStage *stage = g_ptr_array_index(s->dirty_stages, i);
        PhSchedRecord record = PhSchedRecord_OfStage(stage);
        stage->dirty = false;
        g_array_append_val(records, record);
    }
    for (guint i = 0; i < s->dirty_jobs->len; i++) {
        PhSchedJob *job = g_ptr_array_index(s->dirty_jobs, i);
        PhSchedRecord record = {.tag = PH_SCHED_RECORD_STATE,
                                .id = PhStr_Dup(job->spec.id),
                                .as.state = job->state};
        job->dirty = false;
        g_array_append_val(records, record);
    }
    g_ptr_array_set_size(s->dirty_stages, 0);
    g_ptr_array_set_size(s->dirty_jobs, 0);
    return s->open_batch++;
}

/* Notes which records are durable; ends may be acknowledged up to there. */
void
PhScheduler_OnDurable(PhScheduler *s, uint64_t batch)
{
    s->durable_batch = MAX(s->durable_batch, batch);
    for (guint i = 0; i < s->model->lives->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(s->model->lives, i);
        if (w->acked < w->seen && w->seen_batch <= s->durable_batch) {
            w->acked = w->seen;
            w->hold_after = MIN(w->hold_after, w->answered_at + HOLD_GAP);
        }
    }
}

/* Tells what the list says of a worker. */
void
PhScheduler_SetWorker(PhScheduler *s, PhSchedWorkerEntry *entry, PhTime now)
{
    PhSchedWorker *earlier = PhSchedModel_NewestLife(s->model, entry->id);
    if (earlier != NULL && earlier->entry.born_ms > entry->born_ms) {
        PhSchedWorkerEntry_Clear(entry);
        return;
    }
    PhSchedWorker *w =
        PhSchedModel_Worker(s->model, entry->id, entry->born_ms);
    if (earlier != NULL && earlier != w) {
        earlier->listed = false;
    }
    bool usable = w->listed && !w->entry.draining;
    if (!w->listed && w->tasks->len == 0 && !w->dead) {
        w->lapse_by = now;
    }
    w->listed = true;
    w->dead = false;
    PhSchedWorker_SetEntry(w, entry);
    if (s->fence != 0 && usable != !w->entry.draining) {
        s->place_due = true;
        PhScheduler_WakeBy(s, now);
    }
}

/* Notes that the entry of a worker has gone. */
void
PhScheduler_RemoveWorker(PhScheduler *s, PhStr id, PhTime now)
{
    PhSchedWorker *w = PhSchedModel_NewestLife(s->model, id);
    if (w != NULL && w->listed) {
        w->listed = false;
        w->unlisted_at = now;
        PhScheduler_WakeBy(s, now);
    }
}
