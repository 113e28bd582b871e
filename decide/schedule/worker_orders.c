/* Orders to workers and the handling of their replies. */
#include "scheduler_private.h"

/* A worker waits this long for a run to end before it answers a hold.  Workers
 * that run serving and backfill tasks answer sooner, since pacing needs their
 * samples. */
static const PhTime HOLD_WAIT = 1500 * PH_NS_PER_MS;
static const PhTime HOLD_WAIT_SHARED = 500 * PH_NS_PER_MS;
/* Time between two holds while reported ends of runs are not yet recorded
 * durably, or belong to a job that is not known yet. */
static const PhTime HOLD_UNACKED_INTERVAL = 400 * PH_NS_PER_MS;
/* Time between two holds before a release, which do not wait. */
static const PhTime HOLD_QUIESCED_INTERVAL = 50 * PH_NS_PER_MS;
/* Time until an order without an answer is sent again. */
static const PhTime RETRY_INTERVAL = 300 * PH_NS_PER_MS;
/* After this many failed runs in a row a worker gets no starts for
 * FAILURES_COOLDOWN. */
static const uint32_t CONSECUTIVE_FAILURES_MAX = 2;
static const PhTime FAILURES_COOLDOWN = 6 * PH_NS_PER_S;
static const PhTime REFUSAL_COOLDOWN = 1 * PH_NS_PER_S;

static PhSchedAction
action_on(const PhSchedWorker *w, PhSchedActionTag tag)
{
    return (PhSchedAction){.tag = tag,
                           .worker = w->entry.id,
                           .born_ms = w->entry.born_ms,
                           .address = w->entry.address};
}

static bool
next_hold(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    PhSchedWorker *w = g_queue_pop_head(&s->holds);
    if (w == NULL) {
        return false;
    }
    *action = action_on(w, PH_SCHED_ACTION_HOLD);
    action->as.hold.last_seen = w->last_end_acked;
    if (!w->fenced || w->suspended || w->grant_batch > s->durable_batch) {
        return true;
    }
    if (PhScheduler_MayGrant(s, w, now)) {
        action->as.hold.deadline_ms = PhScheduler_Grant(s, w, now);
    }
    if (!s->quiesced && w->last_end_seen == w->last_end_acked &&
        w->tasks->len > 0) {
        bool shared = w->backfill_cpu_milli > 0 && w->serving_cpu_milli > 0;
        action->as.hold.wait = shared ? HOLD_WAIT_SHARED : HOLD_WAIT;
    }
    return true;
}

static void
run_order_init(const PhSchedTask *task, PhSchedActionTag tag,
               PhSchedAction *action)
{
    *action = action_on(task->worker, tag);
    action->as.run.task = PhSchedTask_Name(task);
    action->as.run.run = task->run;
}

/* Releases a task that must not start, or whose start was not executed.  If an
 * earlier start of the run may still be executed, a stop has to come first. */
static void
start_withdraw(PhScheduler *s, PhSchedTask *task, PhSchedRelease reason,
               PhTime now)
{
    switch (PhScheduler_StartSettlement(s, task)) {
    case PH_START_SETTLED_BY_ANSWER:
        break;
    case PH_START_SETTLED_BY_STOP:
        PhScheduler_StopTask(s, task);
        break;
    case PH_START_SETTLED:
        if (PhSchedTask_Step(task)->gang && !task->stopping) {
            PhScheduler_ReplaceMember(s, task, now);
            break;
        }
        PhScheduler_ReleaseRun(s, task, reason, now);
        break;
    }
}

static void
withdrawal_report(PhScheduler *s, const PhSchedTask *task,
                  PhStartObstacle obstacle, PhTime now)
{
    PhSchedEvent event = {.tag = PH_SCHED_EVENT_START_WITHDRAWN,
                          .worker = task->worker};
    event.as.withdrawn.task = PhSchedTask_Name(task);
    event.as.withdrawn.run = task->run;
    event.as.withdrawn.obstacle = obstacle;
    event.as.withdrawn.unanswered = PhSchedTask_UnansweredFor(task, now);
    g_array_append_val(s->events, event);
}

static void
start_send(PhScheduler *s, PhSchedTask *task, PhTime now,
           PhSchedAction *action)
{
    task->start_in_flight = true;
    task->starts_sent++;
    task->start_sent_at = now;
    run_order_init(task, PH_SCHED_ACTION_START, action);
    action->as.run.deadline_ms = PhScheduler_Grant(s, task->worker, now);
    action->as.run.payload = task->stage->job->spec.payload;
    action->as.run.last_checkpoint = task->last_checkpoint;
}

/* Takes the next start that may be sent, and withdraws those that must not be
 * sent any more. */
static bool
next_start(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    for (guint left = s->starts.length; left > 0; left--) {
        PhSchedTask *task = g_queue_pop_head(&s->starts);
        PhStartVerdict verdict = PhScheduler_JudgeStart(s, task, now);
        switch (verdict.tag) {
        case PH_START_DISCARD:
            break;
        case PH_START_SEND:
            start_send(s, task, now, action);
            return true;
        case PH_START_WAIT:
            g_queue_push_tail(&s->starts, task);
            PhScheduler_WakeBy(s, verdict.as.until);
            break;
        case PH_START_WITHDRAW:
            withdrawal_report(s, task, verdict.as.obstacle, now);
            start_withdraw(s, task, PH_SCHED_RELEASE_NOT_SENT, now);
            break;
        }
    }
    return false;
}

/* Takes the next stop.  A stop waits until the start of the same run is
 * answered, since the two orders could overtake each other. */
static bool
next_stop(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    for (guint left = s->stops.length; left > 0; left--) {
        PhSchedTask *task = g_queue_pop_head(&s->stops);
        if (task->worker == NULL || !task->stopping || task->stop_in_flight) {
            continue;
        }
        PhStartSettlement settlement = PhScheduler_StartSettlement(s, task);
        if (settlement == PH_START_SETTLED) {
            PhScheduler_ReleaseRun(s, task, PH_SCHED_RELEASE_NOT_SENT, now);
            continue;
        }
        if (settlement == PH_START_SETTLED_BY_ANSWER || task->retry_at > now ||
            !PhSchedModel_IsNewest(s->model, task->worker) ||
            PhStr_IsEmpty(task->worker->entry.address)) {
            g_queue_push_tail(&s->stops, task);
            PhScheduler_WakeBy(s, MAX(task->retry_at, now + RETRY_INTERVAL));
            continue;
        }
        task->stop_in_flight = true;
        run_order_init(task, PH_SCHED_ACTION_STOP, action);
        return true;
    }
    return false;
}

void
PhOrphanRun_Destroy(gpointer value)
{
    PhOrphanRun *orphan = value;
    PhStr_Clear(&orphan->task.job);
    g_free(orphan);
}

/* Takes the next stop of an orphan run.  Runs of unknown jobs are left to end
 * with their lease. */
static bool
next_orphan(PhScheduler *s, PhSchedAction *action)
{
    PhOrphanRun *orphan;
    const PhSchedJob *job = NULL;
    while (job == NULL && (orphan = g_queue_pop_head(&s->orphans)) != NULL) {
        job = PhSchedModel_Job(s->model, orphan->task.job);
        if (job != NULL) {
            *action = action_on(orphan->worker, PH_SCHED_ACTION_STOP);
            action->as.run.task = orphan->task;
            action->as.run.task.job = job->spec.id;
            action->as.run.run = orphan->run;
        }
        PhOrphanRun_Destroy(orphan);
    }
    return job != NULL;
}

static bool
next_pace(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    PhSchedTask *task;
    while ((task = g_queue_pop_head(&s->paces)) != NULL) {
        if (!PhScheduler_IsPaceDue(task, now)) {
            continue;
        }
        PhScheduler_SendPace(task, now);
        run_order_init(task, PH_SCHED_ACTION_PACE, action);
        action->as.run.percent = task->percent;
        return true;
    }
    return false;
}

bool
PhScheduler_NextAction(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    if (s->fence == 0 || PhScheduler_IsClosed(s, now)) {
        return false;
    }
    return next_pace(s, now, action) || next_stop(s, now, action) ||
           next_start(s, now, action) || next_hold(s, now, action) ||
           next_orphan(s, action);
}

/* Returns the task if it is placed with this run, or NULL if it was removed,
 * is not placed or has another run. */
static PhSchedTask *
placed_task(PhScheduler *s, const PhSchedTaskName *name, uint32_t run)
{
    PhSchedTask *task = PhSchedModel_Task(s->model, name);
    if (task == NULL || task->worker == NULL || task->run != run) {
        return NULL;
    }
    return task;
}

/* Notes that the worker knows the run, so that a late start of it has no
 * effect.  An assigned task becomes a running one, also after an executed
 * stop: end_missing_runs() ends a run of this owner only in that state. */
static void
run_confirm(PhSchedTask *task, int64_t clock_ms, PhTime now)
{
    if (task->state == PH_SCHED_TASK_ASSIGNED) {
        task->state = PH_SCHED_TASK_RUNNING;
        task->since = now;
    }
    task->start_unconfirmed = false;
    task->confirmed_at = now;
    task->confirmed_clock_ms = MAX(task->confirmed_clock_ms, clock_ms);
}

/* Notes that a worker has begun a run of this job.  An order that was not
 * answered, or a run that was stopped before it began, does not show that. */
static void
job_note_begin(PhScheduler *s, PhStr id)
{
    PhSchedJob *job = PhSchedModel_Job(s->model, id);
    if (job != NULL && job->state == PH_SCHED_JOB_QUEUED) {
        PhSchedModel_SetJobState(s->model, job, PH_SCHED_JOB_RUNNING);
        PhScheduler_MarkJobDirty(s, job);
    }
}

static void
start_requeue(PhScheduler *s, PhSchedTask *task, PhTime at)
{
    task->retry_at = at;
    g_queue_push_tail(&s->starts, task);
    PhScheduler_WakeBy(s, at);
}

/* Returns the outcome of a start for the incarnation that the task is placed
 * on.  An order for an earlier one may have been answered by either. */
static PhSchedOutcome
start_outcome(const PhSchedTask *task, const PhSchedRunReply *reply)
{
    bool sent = reply->outcome != PH_SCHED_OUTCOME_NOT_SENT;
    return sent && reply->born_ms != task->worker->entry.born_ms
               ? PH_SCHED_OUTCOME_UNKNOWN
               : reply->outcome;
}

bool
PhScheduler_OnStart(PhScheduler *s, const PhSchedRunReply *reply, PhTime now)
{
    PhSchedTask *task = placed_task(s, &reply->task, reply->run);
    if (reply->outcome == PH_SCHED_OUTCOME_FENCED) {
        return false;
    }
    if (task == NULL || !task->start_in_flight ||
        PhScheduler_IsClosedFor(s, task->worker, now)) {
        return true;
    }
    PhSchedWorker *w = task->worker;
    PhSchedOutcome outcome = start_outcome(task, reply);
    task->start_in_flight = false;
    if (outcome == PH_SCHED_OUTCOME_UNKNOWN) {
        task->unanswered_start_at = task->start_sent_at;
        w->cooldown_until = now + REFUSAL_COOLDOWN;
    }
    if (task->state == PH_SCHED_TASK_RUNNING) {
        /* An earlier start began the run, and the worker has listed it since
         * this one was sent. */
        return true;
    }
    switch (outcome) {
    case PH_SCHED_OUTCOME_DONE:
    case PH_SCHED_OUTCOME_STALE_RUN:
        if (outcome == PH_SCHED_OUTCOME_DONE) {
            job_note_begin(s, reply->task.job);
        }
        run_confirm(task, reply->clock_ms, now);
        w->next_hold_at = MIN(w->next_hold_at, now);
        PhScheduler_WakeBy(s, now);
        break;
    case PH_SCHED_OUTCOME_DEADLINE_PASSED:
    case PH_SCHED_OUTCOME_OTHER_INCARNATION:
        w->next_hold_at = now;
        start_requeue(s, task, now + RETRY_INTERVAL);
        break;
    case PH_SCHED_OUTCOME_NO_CAPACITY:
        w->cooldown_until = now + REFUSAL_COOLDOWN / 2;
        start_withdraw(s, task, PH_SCHED_RELEASE_REFUSED, now);
        break;
    case PH_SCHED_OUTCOME_REFUSED:
    case PH_SCHED_OUTCOME_NOT_SENT:
        w->cooldown_until = now + REFUSAL_COOLDOWN;
        start_withdraw(s, task, PH_SCHED_RELEASE_REFUSED, now);
        break;
    case PH_SCHED_OUTCOME_UNKNOWN:
        task->start_unconfirmed = true;
        start_requeue(s, task, now + RETRY_INTERVAL);
        break;
    case PH_SCHED_OUTCOME_FENCED:
        break;
    }
    return true;
}

/* An executed stop does not release the task: the reply to a later hold lists
 * the run as ended or omits it, and that releases the task. */
bool
PhScheduler_OnStop(PhScheduler *s, const PhSchedRunReply *reply, PhTime now)
{
    if (reply->outcome == PH_SCHED_OUTCOME_FENCED) {
        return false;
    }
    PhSchedTask *task = placed_task(s, &reply->task, reply->run);
    if (task == NULL || !task->stopping ||
        task->worker->entry.born_ms != reply->born_ms) {
        return true;
    }
    switch (reply->outcome) {
    case PH_SCHED_OUTCOME_DONE:
    case PH_SCHED_OUTCOME_STALE_RUN:
        run_confirm(task, reply->clock_ms, now);
        PhScheduler_WakeBy(s, now);
        break;
    case PH_SCHED_OUTCOME_FENCED:
        break;
    case PH_SCHED_OUTCOME_DEADLINE_PASSED:
    case PH_SCHED_OUTCOME_NO_CAPACITY:
    case PH_SCHED_OUTCOME_REFUSED:
    case PH_SCHED_OUTCOME_OTHER_INCARNATION:
    case PH_SCHED_OUTCOME_NOT_SENT:
    case PH_SCHED_OUTCOME_UNKNOWN:
        task->stop_in_flight = false;
        task->retry_at = now + RETRY_INTERVAL;
        g_queue_push_tail(&s->stops, task);
        PhScheduler_WakeBy(s, task->retry_at);
        break;
    }
    return true;
}

bool
PhScheduler_OnPace(PhScheduler *s, const PhSchedTaskName *name, uint32_t run,
                   PhSchedOutcome outcome, PhTime now)
{
    PhSchedTask *task = placed_task(s, name, run);
    if (task != NULL) {
        PhScheduler_CompletePace(task, outcome, now);
    }
    return outcome != PH_SCHED_OUTCOME_FENCED;
}

/* Counts consecutive failures, so that a broken worker gets no starts for a
 * while. */
static void
worker_count_end(PhSchedWorker *w, PhSchedEndKind kind, PhTime now)
{
    switch (kind) {
    case PH_SCHED_END_DONE:
        w->consecutive_failures = 0;
        break;
    case PH_SCHED_END_FAILED:
        w->consecutive_failures++;
        if (w->consecutive_failures >= CONSECUTIVE_FAILURES_MAX) {
            w->cooldown_until = now + FAILURES_COOLDOWN;
        }
        break;
    case PH_SCHED_END_STOPPED:
    case PH_SCHED_END_LEASE_EXPIRED:
    case PH_SCHED_END_GANG_BROKEN:
    case PH_SCHED_END_GANG_INCOMPLETE:
        break;
    }
}

static void
end_apply(PhScheduler *s, PhSchedWorker *w, const PhSchedEndRow *end,
          PhTime now)
{
    worker_count_end(w, end->kind, now);
    job_note_begin(s, end->task.job);
    PhSchedTask *task = placed_task(s, &end->task, end->run);
    if (task == NULL || task->worker != w) {
        return;
    }
    PhSchedEvent event = {.tag = PH_SCHED_EVENT_RUN_ENDED, .worker = w};
    event.as.ended.task = PhSchedTask_Name(task);
    event.as.ended.run = end->run;
    event.as.ended.kind = end->kind;
    event.as.ended.run_time = now - task->since;
    event.as.ended.failures = task->failures;
    event.as.ended.long_running = PhSchedTask_Step(task)->long_running;
    g_array_append_val(s->events, event);
    PhScheduler_EndRun(s, task, end->kind, end->last_checkpoint, now);
}

/* Applies the reported ends of runs that are new, up to the first one of an
 * unknown job: the worker reports that one and those after it again. */
static void
ends_apply(PhScheduler *s, PhSchedWorker *w, const PhSchedHoldReply *reply,
           PhTime now)
{
    uint64_t before = w->last_end_seen;
    w->ends_blocked = false;
    for (size_t i = 0; i < reply->end_count && !w->ends_blocked; i++) {
        const PhSchedEndRow *end = &reply->ends[i];
        if (end->number <= before) {
            continue;
        }
        if (PhSchedModel_Job(s->model, end->task.job) == NULL) {
            w->ends_blocked = true;
            continue;
        }
        w->last_end_seen = MAX(w->last_end_seen, end->number);
        end_apply(s, w, end, now);
    }
    if (w->last_end_seen > before) {
        w->last_end_batch = s->open_batch;
    }
}

static void
orphan_add(PhScheduler *s, PhSchedWorker *w, const PhSchedRunRow *row)
{
    PhOrphanRun *orphan = g_new0(PhOrphanRun, 1);
    orphan->worker = w;
    orphan->task = row->task;
    orphan->task.job = PhStr_Dup(row->task.job);
    orphan->run = row->run;
    g_queue_push_tail(&s->orphans, orphan);
}

static void
run_apply(PhScheduler *s, PhSchedWorker *w, const PhSchedRunRow *row,
          int64_t clock_ms, PhTime now)
{
    PhSchedTask *task = placed_task(s, &row->task, row->run);
    job_note_begin(s, row->task.job);
    if (task == NULL || task->worker != w) {
        orphan_add(s, w, row);
        return;
    }
    run_confirm(task, clock_ms, now);
    if (row->last_checkpoint.len > 0 &&
        !PhStr_Equal(row->last_checkpoint, task->last_checkpoint)) {
        PhStr_Clear(&task->last_checkpoint);
        task->last_checkpoint = PhStr_Dup(row->last_checkpoint);
    }
    task->usage_sample = row->usage_sample;
    task->usage_sampled_at = now;
    if (PhSchedJob_IsOver(task->stage->job)) {
        PhScheduler_StopTask(s, task);
    }
}

/* Ends the runs that the worker reports neither as running nor as ended.  Runs
 * with an order in flight are kept. */
static void
end_missing_runs(PhScheduler *s, PhSchedWorker *w, int64_t clock_ms,
                 PhTime now)
{
    for (guint i = w->tasks->len; i-- > 0;) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        bool settled =
            task->fence != s->fence || task->state == PH_SCHED_TASK_RUNNING;
        if (task->confirmed_at == now || task->start_in_flight ||
            task->start_unconfirmed || !settled ||
            task->confirmed_clock_ms >= clock_ms) {
            continue;
        }
        PhScheduler_ReleaseRun(s, task, PH_SCHED_RELEASE_MISSING, now);
    }
}

static void
hold_failed(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    if (w->failing_since == 0) {
        w->failing_since = now;
    }
    if (w->tasks->len > 0) {
        PhScheduler_SetSuspended(s, w, true, now);
    }
    w->next_hold_at = now + RETRY_INTERVAL;
    PhScheduler_WakeBy(s, w->next_hold_at);
}

static void
reply_apply(PhScheduler *s, PhSchedWorker *w, const PhSchedHoldReply *reply,
            PhTime now)
{
    if (reply->clock_ms < w->clock_ms) {
        return;
    }
    if (!w->fenced || w->failing_since > 0) {
        s->placement_due = true;
    }
    if (!w->fenced) {
        /* The worker now rejects leases from earlier owners. */
        w->leases = (PhLeaseBound){
            .until =
                MIN(w->leases.until, PhScheduler_EarlierLeasesEnd(s, w, now)),
            .evidence = PH_LEASE_EVIDENCE_GRANTS};
        PhScheduler_EndEarlierIncarnations(s, w, reply, now);
    }
    w->fenced = true;
    w->failing_since = 0;
    PhScheduler_SetSuspended(s, w, false, now);
    w->answered_at = now;
    w->clock_ms = reply->clock_ms;
    w->clock_at = now;
    ends_apply(s, w, reply, now);
    for (size_t i = 0; i < reply->run_count; i++) {
        run_apply(s, w, &reply->runs[i], reply->clock_ms, now);
    }
    if (!w->ends_blocked && !reply->more) {
        end_missing_runs(s, w, reply->clock_ms, now);
    }
    PhScheduler_PaceWorker(s, w, now);
    if (w->last_end_batch <= s->durable_batch) {
        w->last_end_acked = w->last_end_seen;
    }
    PhTime gap = 0;
    if (w->last_end_acked < w->last_end_seen || w->ends_blocked) {
        gap = HOLD_UNACKED_INTERVAL;
    }
    else if (w->tasks->len == 0) {
        gap = HOLD_WAIT;
    }
    else if (s->quiesced) {
        gap = HOLD_QUIESCED_INTERVAL;
    }
    w->next_hold_at = now + gap;
}

bool
PhScheduler_OnHold(PhScheduler *s, PhStr worker, int64_t born_ms,
                   const PhSchedHoldReply *reply, PhTime now)
{
    PhSchedWorker *w = PhSchedModel_Worker(s->model, worker, born_ms);
    if (PhScheduler_IsClosedFor(s, w, now)) {
        return reply->outcome != PH_SCHED_OUTCOME_FENCED;
    }
    w->hold_in_flight = false;
    PhScheduler_WakeBy(s, now);
    switch (reply->outcome) {
    case PH_SCHED_OUTCOME_FENCED:
        return false;
    case PH_SCHED_OUTCOME_DONE:
        if (reply->born_ms != 0 && born_ms != 0 && reply->born_ms != born_ms) {
            w = PhScheduler_SwitchIncarnation(s, w, reply, now);
        }
        reply_apply(s, w, reply, now);
        break;
    case PH_SCHED_OUTCOME_STALE_RUN:
    case PH_SCHED_OUTCOME_DEADLINE_PASSED:
    case PH_SCHED_OUTCOME_NO_CAPACITY:
    case PH_SCHED_OUTCOME_REFUSED:
    case PH_SCHED_OUTCOME_OTHER_INCARNATION:
    case PH_SCHED_OUTCOME_NOT_SENT:
    case PH_SCHED_OUTCOME_UNKNOWN:
        hold_failed(s, w, now);
        break;
    }
    return true;
}
