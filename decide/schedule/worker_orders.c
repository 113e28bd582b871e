/* Orders to workers and the handling of their replies. */
#include "scheduler_private.h"

static const PhTime REFUSAL_COOLDOWN = 1 * PH_NS_PER_S;
/* The clock of an incarnation begins below this reading. */
static const int64_t FIRST_READING_MAX_MS = 5000;

PhSchedAction
PhSchedAction_For(const PhSchedWorker *w, PhSchedActionTag tag)
{
    return (PhSchedAction){.tag = tag,
                           .worker = w->entry.id,
                           .born_ms = w->entry.born_ms,
                           .address = w->entry.address};
}

static void
run_order_init(const PhSchedTask *task, PhSchedActionTag tag,
               PhSchedAction *action)
{
    *action = PhSchedAction_For(task->worker, tag);
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
    PhOrderWindow_OnSent(&s->window);
    task->start_in_flight = true;
    task->starts_sent++;
    task->start_sent_at = now;
    run_order_init(task, PH_SCHED_ACTION_START, action);
    action->timeout = PhOrderWindow_Timeout(&s->window);
    action->bound = !task->worker->unbound;
    task->start_unbound |= !action->bound;
    action->as.run.deadline_ms = PhScheduler_Grant(s, task->worker, now);
    action->as.run.payload = task->stage->job->spec.payload;
    action->as.run.last_checkpoint = task->last_checkpoint;
    action->as.run.long_running = PhSchedTask_Step(task)->long_running;
}

/* Takes the next start of a queue that may be sent, and withdraws those that
 * must not be sent any more. */
static bool
next_start(PhScheduler *s, GQueue *queue, PhTime now, PhSchedAction *action)
{
    for (guint left = queue->length;
         left > 0 && PhOrderWindow_MaySend(&s->window); left--) {
        PhSchedTask *task = g_queue_pop_head(queue);
        PhStartVerdict verdict = PhScheduler_JudgeStart(s, task, now);
        switch (verdict.tag) {
        case PH_START_DISCARD:
            break;
        case PH_START_SEND:
            start_send(s, task, now, action);
            return true;
        case PH_START_WAIT:
            g_queue_push_tail(queue, task);
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
            PhScheduler_WakeBy(s, MAX(task->retry_at,
                                      now + PH_ORDER_RETRY_MS * PH_NS_PER_MS));
            continue;
        }
        task->stop_in_flight = true;
        task->stop_sent_at =
            task->stop_sent_at == 0 ? now : task->stop_sent_at;
        run_order_init(task, PH_SCHED_ACTION_STOP, action);
        action->timeout = PhOrderWindow_Timeout(&s->window);
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
            *action = PhSchedAction_For(orphan->worker, PH_SCHED_ACTION_STOP);
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

/* What keeps runs alive and makes ends durable goes first: all orders share
 * one link. */
bool
PhScheduler_NextAction(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    if (s->fence == 0 || PhScheduler_IsClosed(s, now)) {
        return false;
    }
    return PhScheduler_NextHold(s, &s->renewals, now, action) ||
           next_stop(s, now, action) ||
           next_start(s, &s->restarts, now, action) ||
           next_start(s, &s->starts, now, action) ||
           next_pace(s, now, action) || next_orphan(s, action) ||
           PhScheduler_NextHold(s, &s->looks, now, action);
}

/* Returns the task if it is placed with this run, or NULL if it was removed,
 * is not placed or has another run. */
PhSchedTask *
PhScheduler_PlacedTask(PhScheduler *s, const PhSchedTaskName *name,
                       uint32_t run)
{
    PhSchedTask *task = PhSchedModel_Task(s->model, name);
    if (task == NULL || task->worker == NULL || task->run != run) {
        return NULL;
    }
    return task;
}

/* Reports how long a task that is to last was without a run.  What was before
 * this ownership is not known. */
static void
resumption_report(PhScheduler *s, const PhSchedTask *task, PhTime now)
{
    if (task->run <= 1 || task->fence != s->fence ||
        !PhSchedTask_Step(task)->long_running) {
        return;
    }
    PhSchedEvent event = {.tag = PH_SCHED_EVENT_RUN_RESUMED,
                          .worker = task->worker};
    event.as.resumed.task = PhSchedTask_Name(task);
    event.as.resumed.run = task->run;
    event.as.resumed.gap = now - MAX(task->ran_until, s->owner_since);
    g_array_append_val(s->events, event);
}

/* Notes that the worker knows the run, so that a late start of it has no
 * effect.  An assigned task becomes a running one, also after an executed
 * stop: end_missing_runs() ends a run of this owner only in that state. */
void
PhScheduler_ConfirmRun(PhScheduler *s, PhSchedTask *task, int64_t clock_ms,
                       PhTime now)
{
    if (task->state == PH_SCHED_TASK_ASSIGNED) {
        resumption_report(s, task, now);
        task->state = PH_SCHED_TASK_RUNNING;
        task->since = now;
    }
    task->start_unconfirmed = false;
    task->confirmed_at = now;
    task->confirmed_clock_ms = MAX(task->confirmed_clock_ms, clock_ms);
}

/* Notes that a worker has begun a run of this job.  An order that was not
 * answered, or a run that was stopped before it began, does not show that. */
void
PhScheduler_NoteJobBegins(PhScheduler *s, PhStr id)
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
    PhScheduler_QueueStart(s, task);
    PhScheduler_WakeBy(s, at);
}

/* Returns the outcome of a start for the incarnation that the task is placed
 * on.  An order for an earlier one may have been answered by either. */
static PhSchedOutcome
start_outcome(const PhSchedTask *task, const PhSchedRunReply *reply)
{
    bool sent = reply->outcome != PH_SCHED_OUTCOME_NOT_SENT &&
                reply->outcome != PH_SCHED_OUTCOME_UNBOUND;
    return sent && reply->born_ms != task->worker->entry.born_ms
               ? PH_SCHED_OUTCOME_UNKNOWN
               : reply->outcome;
}

/* Whether the worker has answered an order that was meant for it. */
static bool
is_answer(PhSchedOutcome outcome)
{
    switch (outcome) {
    case PH_SCHED_OUTCOME_DONE:
    case PH_SCHED_OUTCOME_STALE_RUN:
    case PH_SCHED_OUTCOME_DEADLINE_PASSED:
    case PH_SCHED_OUTCOME_NO_CAPACITY:
    case PH_SCHED_OUTCOME_REFUSED:
        return true;
    case PH_SCHED_OUTCOME_FENCED:
    case PH_SCHED_OUTCOME_OTHER_INCARNATION:
    case PH_SCHED_OUTCOME_NOT_SENT:
    case PH_SCHED_OUTCOME_UNKNOWN:
    case PH_SCHED_OUTCOME_UNBOUND:
    case PH_SCHED_OUTCOME_COUNT:
        break;
    }
    return false;
}

/* Reports whether a reading is from the clock of this incarnation: the clock
 * of a later one has begun anew since the newest sign of life. */
static bool
reading_is_own(const PhSchedWorker *w, int64_t clock_ms, PhTime now)
{
    int64_t reachable_ms =
        (now - w->alive_at) / PH_NS_PER_MS + FIRST_READING_MAX_MS;
    return w->alive_at > 0 && clock_ms >= w->clock_ms &&
           w->clock_ms > reachable_ms;
}

/* Time from order to answer as far as this instance makes it, -1 if it is not
 * known. */
static PhTime
start_delay(const PhSchedTask *task, const PhSchedRunReply *reply, PhTime now)
{
    if (task == NULL || !task->start_in_flight) {
        return -1;
    }
    PhTime delay = now - task->start_sent_at;
    return reply->relayed
               ? PhOrderWindow_RelayedDelay(delay, reply->at_dispatcher)
               : MAX(delay - reply->silence, 0);
}

/* Whether the delay of a start is that of the order path.  One whose worker is
 * silent says nothing of it; one for which no connection was free waited
 * behind others. */
static bool
shows_delay(const PhSchedRunReply *reply)
{
    bool queued =
        reply->outcome == PH_SCHED_OUTCOME_NOT_SENT && reply->silence == 0;
    return queued || is_answer(reply->outcome) ||
           reply->outcome == PH_SCHED_OUTCOME_FENCED ||
           reply->outcome == PH_SCHED_OUTCOME_OTHER_INCARNATION;
}

/* Time before an order without an answer is repeated.  A worker that has
 * answered another one since is not silent. */
static PhTime
retry_delay(const PhSchedWorker *w, PhTime sent_at)
{
    int64_t ms = w->heard_at > sent_at ? PH_ORDER_RETRY_ANSWERING_MS
                                       : PH_ORDER_RETRY_MS;
    return ms * PH_NS_PER_MS;
}

/* Notes that the run of a start has begun, or had before. */
static void
start_confirm(PhScheduler *s, PhSchedTask *task, const PhSchedRunReply *reply,
              PhTime now)
{
    PhSchedWorker *w = task->worker;
    if (reply->outcome == PH_SCHED_OUTCOME_DONE) {
        PhScheduler_NoteJobBegins(s, reply->task.job);
    }
    PhScheduler_ConfirmRun(s, task, reply->clock_ms, now);
    w->next_hold_at = MIN(w->next_hold_at, now);
    PhScheduler_WakeBy(s, now);
}

/* Applies the answer to a start whose outcome was given as unknown.  Only that
 * the run has begun still counts: otherwise it is being repeated. */
static bool
late_start_apply(PhScheduler *s, PhSchedTask *task,
                 const PhSchedRunReply *reply, PhTime now)
{
    if (reply->outcome == PH_SCHED_OUTCOME_FENCED) {
        return false;
    }
    if (task == NULL || reply->born_ms != task->worker->entry.born_ms ||
        PhScheduler_IsClosedFor(s, task->worker, now)) {
        return true;
    }
    if (task->unanswered_start_at > 0 && is_answer(reply->outcome)) {
        PhTime delay = now - task->unanswered_start_at - reply->silence;
        PhOrderWindow_OnLateAnswer(&s->window, MAX(delay, 0), now);
        if (!task->start_unbound) {
            PhScheduler_NoteAnswer(s, task->worker, now);
        }
    }
    if (task->state == PH_SCHED_TASK_ASSIGNED &&
        (reply->outcome == PH_SCHED_OUTCOME_DONE ||
         reply->outcome == PH_SCHED_OUTCOME_STALE_RUN)) {
        start_confirm(s, task, reply, now);
    }
    return true;
}

/* Notes what the outcome of a start says of its worker. */
static void
start_note_worker(PhScheduler *s, PhSchedTask *task,
                  const PhSchedRunReply *reply, PhSchedOutcome outcome,
                  PhTime now)
{
    PhSchedWorker *w = task->worker;
    bool own = reading_is_own(w, reply->clock_ms, now);
    if (!reply->relayed && reply->born_ms == w->entry.born_ms && own) {
        w->alive_at = MAX(w->alive_at, reply->connected_at);
    }
    if (is_answer(outcome) && !reply->relayed &&
        (own || !task->start_unbound)) {
        PhScheduler_NoteAnswer(s, w, now);
    }
    if (outcome == PH_SCHED_OUTCOME_UNKNOWN) {
        task->unanswered_start_at = task->start_sent_at;
        if (w->heard_at < task->start_sent_at) {
            w->cooldown_until = now + REFUSAL_COOLDOWN;
        }
    }
}

bool
PhScheduler_OnStart(PhScheduler *s, const PhSchedRunReply *reply, PhTime now)
{
    PhSchedTask *task = PhScheduler_PlacedTask(s, &reply->task, reply->run);
    bool expected = task != NULL && task->start_in_flight;
    if (reply->late) {
        return late_start_apply(s, task, reply, now);
    }
    PhOrderWindow_OnAnswer(&s->window, start_delay(task, reply, now),
                           shows_delay(reply), now);
    if (s->backlog > 0) {
        s->placement_due = true;
        PhScheduler_WakeBy(s, now);
    }
    if (reply->outcome == PH_SCHED_OUTCOME_FENCED) {
        return false;
    }
    if (!expected || PhScheduler_IsClosedFor(s, task->worker, now)) {
        return true;
    }
    PhSchedWorker *w = task->worker;
    PhSchedOutcome outcome = start_outcome(task, reply);
    task->start_in_flight = false;
    task->start_connected_at =
        MAX(task->start_connected_at, reply->connected_at);
    start_note_worker(s, task, reply, outcome, now);
    if (task->state == PH_SCHED_TASK_RUNNING) {
        /* An earlier start began the run, and the worker has listed it since
         * this one was sent. */
        return true;
    }
    switch (outcome) {
    case PH_SCHED_OUTCOME_DONE:
    case PH_SCHED_OUTCOME_STALE_RUN:
        w->renewed_at = MAX(w->renewed_at, task->start_sent_at);
        start_confirm(s, task, reply, now);
        break;
    case PH_SCHED_OUTCOME_DEADLINE_PASSED:
    case PH_SCHED_OUTCOME_OTHER_INCARNATION:
        w->next_hold_at = now;
        start_requeue(s, task, now + PH_ORDER_RETRY_MS * PH_NS_PER_MS);
        break;
    case PH_SCHED_OUTCOME_NO_CAPACITY:
        w->cooldown_until = now + REFUSAL_COOLDOWN / 2;
        start_withdraw(s, task, PH_SCHED_RELEASE_REFUSED, now);
        break;
    case PH_SCHED_OUTCOME_REFUSED:
    case PH_SCHED_OUTCOME_NOT_SENT:
        if (outcome == PH_SCHED_OUTCOME_REFUSED ||
            w->heard_at < task->start_sent_at) {
            w->cooldown_until = now + REFUSAL_COOLDOWN;
        }
        start_withdraw(s, task, PH_SCHED_RELEASE_REFUSED, now);
        break;
    case PH_SCHED_OUTCOME_UNKNOWN:
        task->start_unconfirmed = true;
        start_requeue(s, task, now + retry_delay(w, task->start_sent_at));
        break;
    case PH_SCHED_OUTCOME_UNBOUND:
        PhScheduler_SetUnbound(s, w);
        start_requeue(s, task, now);
        break;
    case PH_SCHED_OUTCOME_FENCED:
    case PH_SCHED_OUTCOME_COUNT:
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
    PhSchedTask *task = PhScheduler_PlacedTask(s, &reply->task, reply->run);
    if (task == NULL || !task->stopping ||
        task->worker->entry.born_ms != reply->born_ms) {
        return true;
    }
    if (is_answer(reply->outcome) && !task->worker->unbound) {
        PhScheduler_NoteAnswer(s, task->worker, now);
    }
    switch (reply->outcome) {
    case PH_SCHED_OUTCOME_DONE:
    case PH_SCHED_OUTCOME_STALE_RUN:
        PhScheduler_ConfirmRun(s, task, reply->clock_ms, now);
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
    case PH_SCHED_OUTCOME_UNBOUND:
    case PH_SCHED_OUTCOME_COUNT:
        if (reply->late) {
            break;
        }
        task->stop_in_flight = false;
        task->retry_at = now + PH_ORDER_RETRY_MS * PH_NS_PER_MS;
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
    PhSchedTask *task = PhScheduler_PlacedTask(s, name, run);
    if (task != NULL) {
        PhScheduler_CompletePace(task, outcome, now);
    }
    return outcome != PH_SCHED_OUTCOME_FENCED;
}
