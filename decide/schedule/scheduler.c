#include "scheduler_private.h"

#include "peridothill/common/invariant.h"
#include "peridothill/decide/schedule/claims.h"

/* Interference factors are recorded at most this often. */
static const PhTime PAIRS_INTERVAL = 2 * PH_NS_PER_S;
/* Upper bound between two plans: rounds come due and leases expire without an
 * event. */
static const PhTime PLAN_INTERVAL = 250 * PH_NS_PER_MS;
/* Before a release changes are noted for this long at most.  Two more appends
 * take the rest of the 0.3 s that a handover has for its records. */
static const PhTime CLOSE_DELAY = 150 * PH_NS_PER_MS;

static void
service_room_clear(gpointer value)
{
    PhStr_Clear(&((PhServiceRoom *)value)->service);
}

PhScheduler *
PhScheduler_Create(const PhSchedulerOptions *options)
{
    PhScheduler *s = g_new0(PhScheduler, 1);
    s->options = *options;
    PhOrderWindow_Init(&s->window, s->options.dispatch_delay);
    s->model = PhSchedModel_Create();
    s->open_batch = 1;
    s->interference = PhInterference_Create();
    s->events = g_array_new(FALSE, TRUE, sizeof(PhSchedEvent));
    s->removed_workers = g_ptr_array_new_with_free_func(PhSchedWorker_Destroy);
    s->reservations = g_ptr_array_new();
    s->rooms = g_array_new(FALSE, TRUE, sizeof(PhServiceRoom));
    g_array_set_clear_func(s->rooms, service_room_clear);
    s->expected_waits = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                              PhStr_KeyDestroy, g_free);
    s->admitted = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                        PhStr_KeyDestroy, PhAdmitted_Destroy);
    s->claims = g_ptr_array_new();
    s->claim_ends = g_array_new(FALSE, FALSE, sizeof(PhClaimEnd));
    s->dirty_stages = g_ptr_array_new();
    s->dirty_jobs = g_ptr_array_new();
    s->awaiting_durability = g_ptr_array_new();
    return s;
}

static void
orders_clear(PhScheduler *s)
{
    g_queue_clear(&s->restarts);
    g_queue_clear(&s->starts);
    g_queue_clear(&s->stops);
    g_queue_clear(&s->paces);
    g_queue_clear(&s->renewals);
    g_queue_clear(&s->looks);
    g_queue_clear_full(&s->orphans, PhOrphanRun_Destroy);
}

/* Accepts NULL. */
void
PhScheduler_Destroy(PhScheduler *s)
{
    if (s == NULL) {
        return;
    }
    orders_clear(s);
    g_ptr_array_free(s->reservations, TRUE);
    g_array_free(s->rooms, TRUE);
    g_hash_table_destroy(s->expected_waits);
    g_hash_table_destroy(s->admitted);
    g_ptr_array_free(s->claims, TRUE);
    g_array_free(s->claim_ends, TRUE);
    g_ptr_array_free(s->dirty_stages, TRUE);
    g_ptr_array_free(s->dirty_jobs, TRUE);
    g_ptr_array_free(s->awaiting_durability, TRUE);
    PhInterference_Destroy(s->interference);
    g_array_free(s->events, TRUE);
    g_ptr_array_free(s->removed_workers, TRUE);
    PhSchedModel_Destroy(s->model);
    g_free(s);
}

const PhSchedEvent *
PhScheduler_Events(const PhScheduler *s, size_t *count)
{
    *count = s->events->len;
    return (const PhSchedEvent *)s->events->data;
}

void
PhScheduler_ClearEvents(PhScheduler *s)
{
    g_array_set_size(s->events, 0);
    g_ptr_array_set_size(s->removed_workers, 0);
}

PhSchedModel *
PhScheduler_Model(PhScheduler *scheduler)
{
    return scheduler->model;
}

/* Reports whether only owners write records of this kind. */
static bool
is_owner_record(PhSchedRecordTag tag)
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

PhStatus
PhScheduler_Apply(PhScheduler *s, PhSchedRecord *record, PhTime now)
{
    if (s->fence != 0 && is_owner_record(record->tag)) {
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

static void
task_unreserve(gpointer task, gpointer data)
{
    (void)data;
    PhSchedTask_Unreserve(task);
}

void
PhScheduler_SetFence(PhScheduler *s, uint64_t fence, PhTime now)
{
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION, s->fence == 0 || fence == 0,
                 "fence=%llu", (unsigned long long)fence);
    orders_clear(s);
    for (guint i = 0; i < s->dirty_stages->len; i++) {
        ((PhSchedStage *)g_ptr_array_index(s->dirty_stages, i))->dirty = false;
    }
    for (guint i = 0; i < s->dirty_jobs->len; i++) {
        ((PhSchedJob *)g_ptr_array_index(s->dirty_jobs, i))->dirty = false;
    }
    for (guint i = 0; i < s->awaiting_durability->len; i++) {
        ((PhSchedJob *)g_ptr_array_index(s->awaiting_durability, i))
            ->awaiting_durability = false;
    }
    g_ptr_array_foreach(s->reservations, task_unreserve, NULL);
    g_ptr_array_set_size(s->reservations, 0);
    g_array_set_size(s->rooms, 0);
    g_hash_table_remove_all(s->expected_waits);
    g_hash_table_remove_all(s->admitted);
    s->closed_until = 0;
    s->rooms_due_at = now;
    PhScheduler_EndClaims(s);
    s->next_claim_at = now;
    g_ptr_array_set_size(s->dirty_stages, 0);
    g_ptr_array_set_size(s->dirty_jobs, 0);
    g_ptr_array_set_size(s->awaiting_durability, 0);
    s->dirty_workers = 0;
    if (s->fence != 0) {
        PhSchedModel_ClearRecords(s->model);
    }
    s->durable_batch = s->open_batch++;
    PhOrderWindow_Init(&s->window, s->options.dispatch_delay);
    s->backlog = 0;
    s->overloaded = false;
    s->fence = fence;
    s->quiesced = false;
    s->owner_since = now;
    s->due = now;
    s->placement_due = true;
    s->next_placement_at = now;
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        PhScheduler_ResetWorker(s, w, now);
        if (fence != 0 && w->entry.draining && w->leaving_at == 0 &&
            w->tasks->len > 0) {
            /* No owner has recorded yet that it leaves. */
            PhScheduler_MarkWorkerDirty(s, w);
        }
    }
}

void
PhScheduler_Confirm(PhScheduler *s, PhTime at, PhTime owned_until)
{
    s->confirmed_at = at;
    s->owned_until = owned_until;
}

/* Reports whether the open batch has records. */
static bool
has_changes(const PhScheduler *s)
{
    return s->dirty_stages->len > 0 || s->dirty_jobs->len > 0 ||
           s->dirty_workers > 0;
}

void
PhScheduler_Quiesce(PhScheduler *s, PhTime now)
{
    if (s->quiesced) {
        return;
    }
    if (s->fence != 0) {
        PhScheduler_RecordBounds(s, now);
    }
    s->quiesced = true;
    s->closes_at = now + CLOSE_DELAY;
}

bool
PhScheduler_IsClosed(const PhScheduler *s, PhTime now)
{
    return s->quiesced && now >= s->closes_at;
}

/* A worker that leaves may have gone before the next owner asks it. */
bool
PhScheduler_IsClosedFor(const PhScheduler *s, const PhSchedWorker *w,
                        PhTime now)
{
    return s->quiesced && (!w->entry.draining || now >= s->closes_at);
}

bool
PhScheduler_IsHandedOver(const PhScheduler *s)
{
    return s->fence == 0 ||
           (!has_changes(s) && s->durable_batch + 1 == s->open_batch);
}

void
PhScheduler_MarkStageDirty(PhScheduler *s, PhSchedStage *stage)
{
    if (!stage->dirty) {
        stage->dirty = true;
        g_ptr_array_add(s->dirty_stages, stage);
    }
}

void
PhScheduler_MarkJobDirty(PhScheduler *s, PhSchedJob *job)
{
    if (!job->dirty) {
        job->dirty = true;
        g_ptr_array_add(s->dirty_jobs, job);
    }
    if (!job->awaiting_durability) {
        job->awaiting_durability = true;
        g_ptr_array_add(s->awaiting_durability, job);
    }
    job->batch = s->open_batch;
}

void
PhScheduler_WakeBy(PhScheduler *s, PhTime at)
{
    s->due = MIN(s->due, at);
}

PhTime
PhScheduler_Due(const PhScheduler *s)
{
    return s->fence == 0 ? PH_TIME_NEVER : s->due;
}

void
PhScheduler_StopTask(PhScheduler *s, PhSchedTask *task)
{
    if (task->worker == NULL || task->stopping) {
        return;
    }
    task->stopping = true;
    g_queue_push_tail(&s->stops, task);
}

void
PhScheduler_EndJob(PhScheduler *s, PhSchedJob *job, PhSchedJobState state)
{
    PhSchedModel_SetJobState(s->model, job, state);
    PhScheduler_MarkJobDirty(s, job);
    for (uint32_t k = 0; k < job->round_count && job->tasks_placed > 0; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            PhSchedStage *stage = &job->rounds[k].stages[i];
            for (uint32_t j = 0; j < job->spec.steps[i].count; j++) {
                PhScheduler_StopTask(s, &stage->tasks[j]);
            }
        }
    }
}

/* Marks later stages as ready from now, and ends the job after its last round.
 */
static void
stage_done(PhScheduler *s, PhSchedStage *stage, PhTime now)
{
    PhSchedJob *job = stage->job;
    PhSchedRound *round = &job->rounds[stage->round];
    round->done++;
    job->run_time += stage->longest_run;
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

void
PhScheduler_EndRun(PhScheduler *s, PhSchedTask *task, PhSchedEndKind kind,
                   PhStr last_checkpoint, PhTime now)
{
    PhSchedStage *stage = task->stage;
    const PhSchedStep *step = PhSchedTask_Step(task);
    PhSchedWorker *w = task->worker;
    bool done = kind == PH_SCHED_END_DONE && !step->long_running;
    if (task->state == PH_SCHED_TASK_RUNNING) {
        stage->longest_run = MAX(stage->longest_run, now - task->since);
        task->ran_until =
            kind == PH_SCHED_END_LEASE_EXPIRED ? task->confirmed_at : now;
    }
    PhSchedTask_Unplace(task,
                        done ? PH_SCHED_TASK_DONE : PH_SCHED_TASK_WAITING);
    task->since = now;
    s->placement_due = true;
    if (step->fills || PhSchedStep_Serves(step)) {
        PhInterference_Refresh(s->interference, w, now);
    }
    PhScheduler_MarkStageDirty(s, stage);
    if (last_checkpoint.len > 0) {
        PhStr_Clear(&task->last_checkpoint);
        task->last_checkpoint = PhStr_Dup(last_checkpoint);
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

static PhSchedEndKind
release_kind(PhSchedRelease reason)
{
    switch (reason) {
    case PH_SCHED_RELEASE_NOT_SENT:
    case PH_SCHED_RELEASE_REFUSED:
        return PH_SCHED_END_STOPPED;
    case PH_SCHED_RELEASE_MISSING:
    case PH_SCHED_RELEASE_LOST:
    case PH_SCHED_RELEASE_REPLACED:
        break;
    }
    return PH_SCHED_END_LEASE_EXPIRED;
}

void
PhScheduler_ReleaseRun(PhScheduler *s, PhSchedTask *task,
                       PhSchedRelease reason, PhTime now)
{
    PhSchedEvent event = {.tag = PH_SCHED_EVENT_RUN_RELEASED,
                          .worker = task->worker};
    event.as.released.task = PhSchedTask_Name(task);
    event.as.released.run = task->run;
    event.as.released.reason = reason;
    event.as.released.unanswered = PhSchedTask_UnansweredFor(task, now);
    event.as.released.lease_left = task->worker->leases.until - now;
    event.as.released.start_unbound = PhSchedTask_StartIsUnbound(task);
    g_array_append_val(s->events, event);
    PhScheduler_EndRun(s, task, release_kind(reason), (PhStr){0}, now);
    PhScheduler_WakeBy(s, now);
}

/* Opens the rounds that have come due. */
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
        s->placement_due = true;
    }
    PhSchedJob_OpenRounds(job, job->rounds_due);
}

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
        s->placement_due |=
            job->state == PH_SCHED_JOB_QUEUED && job->tasks_placed == 0;
        if (job->rounds_done == MAX(job->spec.repetitions, 1)) {
            PhScheduler_EndJob(s, job, PH_SCHED_JOB_COMPLETED);
        }
    }
}

void
PhScheduler_Plan(PhScheduler *s, PhTime now, int64_t wall_ms)
{
    if (s->fence == 0) {
        return;
    }
    if (PhScheduler_IsClosed(s, now)) {
        s->due = PH_TIME_NEVER;
        return;
    }
    s->due = now + PLAN_INTERVAL;
    if (now - s->pairs_recorded_at >= PAIRS_INTERVAL) {
        s->pairs_recorded_at = now;
        s->pairs_due = true;
    }
    plan_jobs(s, wall_ms);
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        PhScheduler_PlanWorker(s, g_ptr_array_index(s->model->incarnations, i),
                               now);
    }
    PhScheduler_Evacuate(s, now);
    if (s->placement_due && !s->quiesced) {
        PhScheduler_PlaceTasks(s, now);
    }
    PhScheduler_UpdateRoom(s, now);
    PhScheduler_ReportWaits(s, now);
    PhScheduler_ReportHeld(s, now);
}

uint64_t
PhScheduler_TakeBatch(PhScheduler *s, GArray *records)
{
    if (!has_changes(s)) {
        return 0;
    }
    PhScheduler_TakeWorkerRecords(s, records);
    if (s->pairs_due) {
        PhSchedRecord record =
            PhInterference_Record(s->interference, s->model);
        s->pairs_due = false;
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
    for (guint i = 0; i < s->dirty_stages->len; i++) {
        PhSchedStage *stage = g_ptr_array_index(s->dirty_stages, i);
        stage->dirty = false;
        PhSchedStage_TakeRecords(stage, records);
    }
    g_ptr_array_set_size(s->dirty_stages, 0);
    g_ptr_array_set_size(s->dirty_jobs, 0);
    return s->open_batch++;
}

/* Makes the durable states of jobs visible to clients. */
static void
publish_states(PhScheduler *s)
{
    for (guint i = s->awaiting_durability->len; i-- > 0;) {
        PhSchedJob *job = g_ptr_array_index(s->awaiting_durability, i);
        if (job->batch > s->durable_batch) {
            continue;
        }
        job->awaiting_durability = false;
        job->durable_state = job->state;
        g_ptr_array_remove_index_fast(s->awaiting_durability, i);
        if (PhSchedJob_IsOver(job)) {
            PhSchedEvent event = {.tag = PH_SCHED_EVENT_JOB_ENDED,
                                  .as.over = job};
            g_array_append_val(s->events, event);
        }
    }
}

void
PhScheduler_OnDurable(PhScheduler *s, uint64_t batch)
{
    uint64_t before = s->durable_batch;
    s->durable_batch = MAX(s->durable_batch, batch);
    publish_states(s);
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        PhScheduler_OnWorkerDurable(s, w, before);
    }
}

/* Handles the first entry of an incarnation.  Records may have named it
 * before, so it may be the newest one already. */
static void
replace_earlier(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        PhSchedWorker *x = g_ptr_array_index(s->model->incarnations, i);
        if (x->entry.born_ms >= w->entry.born_ms ||
            !PhStr_Equal(x->entry.id, w->entry.id)) {
            continue;
        }
        x->listed = false;
        PhScheduler_InheritLeases(s, w, x, now);
    }
}

void
PhScheduler_SetWorker(PhScheduler *s, PhSchedWorkerEntry *entry, PhTime now)
{
    const PhSchedWorker *newest =
        PhSchedModel_NewestIncarnation(s->model, entry->id);
    if (newest != NULL && newest->entry.born_ms > entry->born_ms) {
        PhSchedWorkerEntry_Clear(entry);
        return;
    }
    PhSchedWorker *w =
        PhSchedModel_Worker(s->model, entry->id, entry->born_ms);
    if (!w->listed) {
        replace_earlier(s, w, now);
    }
    bool usable = w->listed && !w->entry_copied && !w->entry.draining;
    bool left = entry->draining && !w->entry.draining && w->tasks->len > 0;
    if (!w->listed && w->tasks->len == 0 && !w->dead) {
        w->leases = (PhLeaseBound){.until = now};
    }
    w->listed = true;
    w->dead = false;
    w->left_at = 0;
    if (entry->draining) {
        PhTime leaves_by = now + entry->remaining;
        w->leaves_by =
            w->leaves_by > 0 ? MIN(w->leaves_by, leaves_by) : leaves_by;
    }
    w->leaving |= entry->draining;
    PhSchedModel_SetEntry(s->model, w, entry);
    w->entry_copied = false;
    if (s->fence != 0 && left && !PhScheduler_IsClosed(s, now)) {
        PhScheduler_MarkWorkerDirty(s, w);
    }
    if (s->fence != 0 && usable != !w->entry.draining) {
        s->placement_due = true;
        PhScheduler_WakeBy(s, now);
    }
}

void
PhScheduler_RemoveWorker(PhScheduler *s, PhStr id, PhWorkerRemoval removal,
                         PhTime now)
{
    PhSchedWorker *w = PhSchedModel_NewestIncarnation(s->model, id);
    if (w == NULL || !w->listed) {
        return;
    }
    w->listed = false;
    PhScheduler_WakeBy(s, now);
    switch (removal) {
    case PH_REMOVAL_DELETED:
        PhScheduler_NoteDeparture(s, w, now);
        break;
    case PH_REMOVAL_UNREADABLE:
    case PH_REMOVAL_MISSING:
        break;
    }
}

void
PhScheduler_SetCordon(PhScheduler *s, PhStr data_centre, bool cordoned,
                      PhTime now)
{
    PhSchedModel_SetCordon(s->model, data_centre, cordoned);
    PhScheduler_WakeBy(s, now);
}
