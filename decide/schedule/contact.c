/* Orders to workers, and what their answers tell. */
#include "scheduler_private.h"

/* A hold waits this long for an end; where tasks fill beside tasks that serve,
 * the figures are needed more often. */
static const PhTime HOLD_WAIT = 1500 * PH_NS_PER_MS;
static const PhTime HOLD_WAIT_SHARED = 500 * PH_NS_PER_MS;
/* Time between two holds while ends wait for the store. */
static const PhTime HOLD_UNACKED_GAP = 400 * PH_NS_PER_MS;
/* Time until a hold or an order without an answer is tried again. */
static const PhTime RETRY = 300 * PH_NS_PER_MS;
/* Failures in a row after which a worker gets no starts for a while. */
static const uint32_t FAILURES_MAX = 2;
static const PhTime FAILURES_COOLDOWN = 6 * PH_NS_PER_S;
static const PhTime REFUSAL_COOLDOWN = 1 * PH_NS_PER_S;

/* Begins an action on a life of a worker. */
static PhSchedAction
action_on(const PhSchedWorker *w, PhSchedActionTag tag)
{
    return (PhSchedAction){.tag = tag,
                           .worker = w->entry.id,
                           .born_ms = w->entry.born_ms,
                           .address = w->entry.address};
}

/* Gives the next hold. */
static bool
next_hold(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    PhSchedWorker *w = g_queue_pop_head(&s->holds);
    if (w == NULL) {
        return false;
    }
    *action = action_on(w, PH_SCHED_ACTION_HOLD);
    action->as.hold.last_seen = w->acked;
    if (!w->fenced || w->suspended || w->grant_batch > s->durable_batch) {
        return true;
    }
    if (PhScheduler_MayGrant(s, w, now)) {
        action->as.hold.deadline_ms = PhScheduler_Grant(s, w, now);
    }
    if (!s->quiet && w->seen == w->acked && w->tasks->len > 0) {
        bool shared = w->fill_cpu_milli > 0 && w->serving_cpu_milli > 0;
        action->as.hold.wait = shared ? HOLD_WAIT_SHARED : HOLD_WAIT;
    }
    return true;
}

/* Fills in an order to a placed task. */
static void
run_order(const PhSchedTask *task, PhSchedActionTag tag, PhSchedAction *action)
{
    *action = action_on(task->worker, tag);
    action->as.run.task = PhSchedTask_Name(task);
    action->as.run.run = task->run;
}

/* Gives the next start whose record is durable.  Where a later life has the
 * worker's id, orders would reach that one, and wait. */
static bool
next_start(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    for (guint left = s->starts.length; left > 0; left--) {
        PhSchedTask *task = g_queue_pop_head(&s->starts);
        if (task->state != PH_SCHED_TASK_ASSIGNED || task->ordering ||
            task->stopping || task->fence != s->fence) {
            continue;
        }
        const PhSchedWorker *w = task->worker;
        if (!PhScheduler_MayGrant(s, w, now) ||
            !PhSchedModel_IsNewest(s->model, w)) {
            g_queue_push_tail(&s->starts, task);
            continue;
        }
        if (task->batch > s->durable_batch || task->retry_at > now) {
            g_queue_push_tail(&s->starts, task);
            if (task->batch <= s->durable_batch) {
                PhScheduler_WakeBy(s, task->retry_at);
            }
            continue;
        }
        task->ordering = true;
        run_order(task, PH_SCHED_ACTION_START, action);
        action->as.run.deadline_ms = PhScheduler_Grant(s, task->worker, now);
        action->as.run.payload = task->stage->job->spec.payload;
        action->as.run.saved = task->saved;
        return true;
    }
    return false;
}

/* Gives the next stop.  A stop of a run whose start is on its way waits for
 * that answer: the two could overtake each other. */
static bool
next_stop(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    for (guint left = s->stops.length; left > 0; left--) {
        PhSchedTask *task = g_queue_pop_head(&s->stops);
        if (task->worker == NULL || !task->stopping || task->stop_sent) {
            continue;
        }
        bool never_sent = task->state == PH_SCHED_TASK_ASSIGNED &&
                          task->fence == s->fence && !task->ordering &&
                          !task->uncertain;
        if (never_sent) {
            PhScheduler_EndRun(s, task, PH_SCHED_END_STOPPED, (PhStr){0}, now);
            continue;
        }
        if (task->ordering || task->retry_at > now ||
            !PhSchedModel_IsNewest(s->model, task->worker) ||
            PhStr_IsEmpty(task->worker->entry.address)) {
            g_queue_push_tail(&s->stops, task);
            PhScheduler_WakeBy(s, MAX(task->retry_at, now + RETRY));
            continue;
        }
        task->stop_sent = true;
        run_order(task, PH_SCHED_ACTION_STOP, action);
        return true;
    }
    return false;
}

/* Releases a stray run. */
void
PhStray_Destroy(gpointer value)
{
    PhStray *stray = value;
    PhStr_Clear(&stray->task.job);
    g_free(stray);
}

/* Gives the next stop of a run that no task stands behind; a run of a job that
 * is not known is left to its lease. */
static bool
next_stray(PhScheduler *s, PhSchedAction *action)
{
    PhStray *stray;
    const PhSchedJob *job = NULL;
    while (job == NULL && (stray = g_queue_pop_head(&s->strays)) != NULL) {
        job = PhSchedModel_Job(s->model, stray->task.job);
        if (job != NULL) {
            *action = action_on(stray->worker, PH_SCHED_ACTION_STOP);
            action->as.run.task = stray->task;
            action->as.run.task.job = job->spec.id;
            action->as.run.run = stray->run;
        }
        PhStray_Destroy(stray);
    }
    return job != NULL;
}

/* Gives the next change of pace. */
static bool
next_pace(PhScheduler *s, PhSchedAction *action)
{
    PhSchedTask *task;
    while ((task = g_queue_pop_head(&s->paces)) != NULL) {
        if (task->state != PH_SCHED_TASK_RUNNING || task->stopping ||
            task->percent == task->percent_told) {
            continue;
        }
        task->percent_told = task->percent;
        run_order(task, PH_SCHED_ACTION_PACE, action);
        action->as.run.percent = task->percent;
        return true;
    }
    return false;
}

/* Takes the next order. */
bool
PhScheduler_NextAction(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    if (s->fence == 0) {
        return false;
    }
    return next_pace(s, action) || next_stop(s, now, action) ||
           next_start(s, now, action) || next_hold(s, now, action) ||
           next_stray(s, action);
}

/* Finds the placed task that an answer is about, or NULL. */
static PhSchedTask *
placed_task(PhScheduler *s, const PhSchedTaskName *name, uint32_t run)
{
    PhSchedTask *task = PhSchedModel_Task(s->model, name);
    if (task == NULL || task->worker == NULL || task->run != run) {
        return NULL;
    }
    return task;
}

/* Notes that the worker has confirmed a run. */
static void
task_confirm(PhSchedTask *task, int64_t clock_ms, PhTime now)
{
    if (task->state == PH_SCHED_TASK_ASSIGNED) {
        task->state = PH_SCHED_TASK_RUNNING;
        task->since = now;
    }
    task->uncertain = false;
    task->confirmed_at = now;
    task->confirmed_clock = MAX(task->confirmed_clock, clock_ms);
}

/* Gives up a start that the worker refused; if an earlier order of the run
 * may still arrive, a stop has to come first. */
static void
start_refused(PhScheduler *s, PhSchedTask *task, PhTime now)
{
    if (task->uncertain) {
        PhScheduler_StopTask(s, task);
        return;
    }
    if (PhSchedTask_Step(task)->gang && !task->stopping) {
        PhScheduler_ReplaceMember(s, task, now);
        return;
    }
    PhScheduler_EndRun(s, task, PH_SCHED_END_STOPPED, (PhStr){0}, now);
}

/* Puts a start back into its queue. */
static void
start_again(PhScheduler *s, PhSchedTask *task, PhTime at)
{
    task->retry_at = at;
    g_queue_push_tail(&s->starts, task);
    PhScheduler_WakeBy(s, at);
}

/* Takes in the outcome of a start. */
bool
PhScheduler_OnStart(PhScheduler *s, const PhSchedTaskName *name, uint32_t run,
                    PhSchedOutcome outcome, int64_t clock_ms, PhTime now)
{
    PhSchedTask *task = placed_task(s, name, run);
    if (outcome == PH_SCHED_OUTCOME_FENCED) {
        return false;
    }
    if (task == NULL || !task->ordering) {
        return true;
    }
    PhSchedWorker *w = task->worker;
    task->ordering = false;
    switch (outcome) {
    case PH_SCHED_OUTCOME_DONE:
    case PH_SCHED_OUTCOME_OLD:
        task_confirm(task, clock_ms, now);
        w->hold_after = MIN(w->hold_after, now);
        PhScheduler_WakeBy(s, now);
        break;
    case PH_SCHED_OUTCOME_LATE:
    case PH_SCHED_OUTCOME_OTHER_LIFE:
        w->hold_after = now;
        start_again(s, task, now + RETRY);
        break;
    case PH_SCHED_OUTCOME_NO_ROOM:
        w->cooldown_until = now + REFUSAL_COOLDOWN / 2;
        start_refused(s, task, now);
        break;
    case PH_SCHED_OUTCOME_REFUSED:
    case PH_SCHED_OUTCOME_NOT_SENT:
        w->cooldown_until = now + REFUSAL_COOLDOWN;
        start_refused(s, task, now);
        break;
    case PH_SCHED_OUTCOME_UNKNOWN:
        task->uncertain = true;
        w->cooldown_until = now + REFUSAL_COOLDOWN;
        start_again(s, task, now + RETRY);
        break;
    case PH_SCHED_OUTCOME_FENCED:
        break;
    }
    return true;
}

/* Takes in the outcome of a stop: once it is done, no hold that is younger
 * lists the run, or it lists its end. */
bool
PhScheduler_OnStop(PhScheduler *s, const PhSchedTaskName *name, uint32_t run,
                   PhSchedOutcome outcome, int64_t clock_ms, PhTime now)
{
    if (outcome == PH_SCHED_OUTCOME_FENCED) {
        return false;
    }
    PhSchedTask *task = placed_task(s, name, run);
    if (task == NULL || !task->stopping) {
        return true;
    }
    switch (outcome) {
    case PH_SCHED_OUTCOME_DONE:
    case PH_SCHED_OUTCOME_OLD:
        task_confirm(task, clock_ms, now);
        PhScheduler_WakeBy(s, now);
        break;
    case PH_SCHED_OUTCOME_FENCED:
        break;
    case PH_SCHED_OUTCOME_LATE:
    case PH_SCHED_OUTCOME_NO_ROOM:
    case PH_SCHED_OUTCOME_REFUSED:
    case PH_SCHED_OUTCOME_OTHER_LIFE:
    case PH_SCHED_OUTCOME_NOT_SENT:
    case PH_SCHED_OUTCOME_UNKNOWN:
        task->stop_sent = false;
        task->retry_at = now + RETRY;
        g_queue_push_tail(&s->stops, task);
        PhScheduler_WakeBy(s, task->retry_at);
        break;
    }
    return true;
}

/* Takes in the outcome of a change of pace. */
bool
PhScheduler_OnPace(PhScheduler *s, const PhSchedTaskName *name, uint32_t run,
                   PhSchedOutcome outcome)
{
    PhSchedTask *task = placed_task(s, name, run);
    if (task != NULL && outcome != PH_SCHED_OUTCOME_DONE) {
        /* What it works at is not known: the next change is sent even if it
         * equals the one before. */
        task->percent_told = -1;
    }
    return outcome != PH_SCHED_OUTCOME_FENCED;
}

/* Counts failures in a row; a worker that fails what others run gets no
 * starts for a while. */
static void
worker_blame(PhSchedWorker *w, PhSchedEndKind kind, PhTime now)
{
    switch (kind) {
    case PH_SCHED_END_DONE:
        w->failures_in_a_row = 0;
        break;
    case PH_SCHED_END_FAILED:
        w->failures_in_a_row++;
        if (w->failures_in_a_row >= FAILURES_MAX) {
            w->cooldown_until = now + FAILURES_COOLDOWN;
        }
        break;
    case PH_SCHED_END_STOPPED:
    case PH_SCHED_END_LAPSED:
    case PH_SCHED_END_BROKEN:
    case PH_SCHED_END_ALONE:
        break;
    }
}

/* Takes in the end of a placed run. */
static void
take_end(PhScheduler *s, PhSchedWorker *w, const PhSchedEndRow *end,
         PhTime now)
{
    worker_blame(w, end->kind, now);
    PhSchedTask *task = placed_task(s, &end->task, end->run);
    if (task == NULL || task->worker != w) {
        return;
    }
    PhSchedNote note = {.tag = PH_SCHED_NOTE_ENDED, .worker = w};
    note.as.ended.task = PhSchedTask_Name(task);
    note.as.ended.run = end->run;
    note.as.ended.kind = end->kind;
    note.as.ended.ran = now - task->since;
    note.as.ended.failures = task->failures;
    g_array_append_val(s->notes, note);
    PhScheduler_EndRun(s, task, end->kind, end->saved, now);
}

/* Takes in the ends that were not known, up to one of a job that was not read
 * yet: the worker lists that one and those after it again. */
static void
take_ends(PhScheduler *s, PhSchedWorker *w, const PhSchedHoldReply *reply,
          PhTime now)
{
    uint64_t before = w->seen;
    w->ends_wait = false;
    for (size_t i = 0; i < reply->end_count && !w->ends_wait; i++) {
        const PhSchedEndRow *end = &reply->ends[i];
        if (end->number <= before) {
            continue;
        }
        if (PhSchedModel_Job(s->model, end->task.job) == NULL) {
            w->ends_wait = true;
            continue;
        }
        w->seen = MAX(w->seen, end->number);
        take_end(s, w, end, now);
    }
    if (w->seen > before) {
        w->seen_batch = s->open_batch;
    }
}

/* Orders the stop of a run that must not be there. */
static void
stray_add(PhScheduler *s, PhSchedWorker *w, const PhSchedRunRow *row)
{
    PhStray *stray = g_new0(PhStray, 1);
    stray->worker = w;
    stray->task = row->task;
    stray->task.job = PhStr_Dup(row->task.job);
    stray->run = row->run;
    g_queue_push_tail(&s->strays, stray);
}

/* Takes in one run that a worker lists. */
static void
take_run(PhScheduler *s, PhSchedWorker *w, const PhSchedRunRow *row,
         int64_t clock_ms, PhTime now)
{
    PhSchedTask *task = placed_task(s, &row->task, row->run);
    if (task == NULL || task->worker != w) {
        stray_add(s, w, row);
        return;
    }
    task_confirm(task, clock_ms, now);
    if (row->saved.len > 0 && !PhStr_Equal(row->saved, task->saved)) {
        PhStr_Clear(&task->saved);
        task->saved = PhStr_Dup(row->saved);
    }
    task->figure = row->figure;
    task->figure_at = now;
    if (PhSchedJob_IsOver(task->stage->job)) {
        PhScheduler_StopTask(s, task);
    }
}

/* Ends the runs that the worker neither runs nor lists as ended: their orders
 * are settled and left nothing. */
static void
drop_absent(PhScheduler *s, PhSchedWorker *w, int64_t clock_ms, PhTime now)
{
    for (guint i = w->tasks->len; i-- > 0;) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        bool settled =
            task->fence != s->fence || task->state == PH_SCHED_TASK_RUNNING;
        if (task->confirmed_at == now || task->ordering || task->uncertain ||
            !settled || task->confirmed_clock >= clock_ms) {
            continue;
        }
        PhScheduler_EndRun(s, task, PH_SCHED_END_LAPSED, (PhStr){0}, now);
    }
}

/* Notes a hold without an answer. */
static void
hold_failed(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    if (w->failing_since == 0) {
        w->failing_since = now;
    }
    if (w->tasks->len > 0) {
        PhScheduler_SetSuspended(s, w, true, now);
    }
    w->hold_after = now + RETRY;
    PhScheduler_WakeBy(s, w->hold_after);
}

/* Takes in what the worker runs and what has ended there. */
static void
take_lists(PhScheduler *s, PhSchedWorker *w, const PhSchedHoldReply *reply,
           PhTime now)
{
    if (reply->clock_ms < w->clock_ms) {
        return;
    }
    if (!w->fenced || w->failing_since > 0) {
        s->place_due = true;
    }
    if (!w->fenced) {
        /* From now on no earlier owner grants it a lease. */
        w->lapse_by = MIN(w->lapse_by, PhScheduler_GrantedBy(s, w, now));
        PhScheduler_EndEarlierLives(s, w, reply, now);
    }
    w->fenced = true;
    w->failing_since = 0;
    PhScheduler_SetSuspended(s, w, false, now);
    w->answered_at = now;
    w->clock_ms = reply->clock_ms;
    w->clock_at = now;
    take_ends(s, w, reply, now);
    for (size_t i = 0; i < reply->run_count; i++) {
        take_run(s, w, &reply->runs[i], reply->clock_ms, now);
    }
    if (!w->ends_wait && !reply->more) {
        drop_absent(s, w, reply->clock_ms, now);
    }
    PhScheduler_PaceWorker(s, w, now);
    if (w->seen_batch <= s->durable_batch) {
        w->acked = w->seen;
    }
    PhTime gap = 0;
    if (w->acked < w->seen || w->ends_wait) {
        gap = HOLD_UNACKED_GAP;
    }
    else if (w->tasks->len == 0) {
        gap = HOLD_WAIT;
    }
    w->hold_after = now + gap;
}

/* Takes in the answer to a hold. */
bool
PhScheduler_OnHold(PhScheduler *s, PhStr worker, int64_t born_ms,
                   const PhSchedHoldReply *reply, PhTime now)
{
    PhSchedWorker *w = PhSchedModel_Worker(s->model, worker, born_ms);
    w->holding = false;
    PhScheduler_WakeBy(s, now);
    switch (reply->outcome) {
    case PH_SCHED_OUTCOME_FENCED:
        return false;
    case PH_SCHED_OUTCOME_DONE:
        if (reply->born_ms != 0 && born_ms != 0 && reply->born_ms != born_ms) {
            w = PhScheduler_ChangeLife(s, w, reply, now);
        }
        take_lists(s, w, reply, now);
        break;
    case PH_SCHED_OUTCOME_OLD:
    case PH_SCHED_OUTCOME_LATE:
    case PH_SCHED_OUTCOME_NO_ROOM:
    case PH_SCHED_OUTCOME_REFUSED:
    case PH_SCHED_OUTCOME_OTHER_LIFE:
    case PH_SCHED_OUTCOME_NOT_SENT:
    case PH_SCHED_OUTCOME_UNKNOWN:
        hold_failed(s, w, now);
        break;
    }
    return true;
}
