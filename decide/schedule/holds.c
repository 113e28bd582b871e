/* Holds: renewal of leases, and what workers report of their runs. */
#include "scheduler_private.h"

/* A worker waits this long for a run to end before it answers a hold.  Workers
 * that run serving and backfill tasks answer sooner, since pacing needs their
 * samples. */
static const PhTime HOLD_WAIT = 1500 * PH_NS_PER_MS;
static const PhTime HOLD_WAIT_SHARED = 500 * PH_NS_PER_MS;
/* A hold that leaves a shorter lease than this waits as briefly, so that the
 * lease is renewed soon after the ownership is confirmed anew. */
static const PhTime EXPIRING_LEASE = 3 * PH_NS_PER_S;
/* Time between two holds while reported ends of runs are not yet recorded
 * durably, or belong to a job that is not known yet. */
static const PhTime HOLD_UNACKED_INTERVAL = 400 * PH_NS_PER_MS;
/* Time between two holds before a release, which do not wait. */
static const PhTime HOLD_QUIESCED_INTERVAL = 50 * PH_NS_PER_MS;
/* Ends that become durable within this time share one hold. */
static const PhTime HOLD_GAP = 10 * PH_NS_PER_MS;
/* Time between two holds while a worker has no lease because its record is
 * not durable yet. */
static const PhTime HOLD_UNRECORDED_INTERVAL = 200 * PH_NS_PER_MS;
/* A worker that has left all orders without an answer for this long gets no
 * leases until it answers.  Workers leave single orders unanswered, too. */
static const PhTime SILENCE_LIMIT = 800 * PH_NS_PER_MS;
/* A worker that has answered an order this recently is likely to answer. */
static const PhTime ANSWER_AGE = 1200 * PH_NS_PER_MS;
/* The holds that follow an answer, until the new lease is answered, have this
 * share of the time-out: that lease may be the last one to come in time. */
static const int RENEWAL_TIMEOUT_SHARE = 3;
/* Time from a hold without an answer to the next one, while leases last and
 * afterwards, and least time between the two, which may fail at once. */
static const PhTime HOLD_RETRY = 50 * PH_NS_PER_MS;
static const PhTime HOLD_RETRY_LOST = 1 * PH_NS_PER_S;
static const PhTime HOLD_RETRY_APART = 400 * PH_NS_PER_MS;

/* The end of the lease that a hold carries, 0 for none.  Without a new one it
 * is the newest that was sent, which the worker may not have got. */
static int64_t
hold_lease(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    if (!w->fenced) {
        return 0;
    }
    return PhScheduler_MayGrant(s, w, now) ? PhScheduler_Grant(s, w, now)
                                           : PhScheduler_GrantedLease(w, now);
}

/* Adds what is to be granted and acknowledged.  Each incarnation has its own
 * clock and numbers its ends from 1, so that such a hold must not reach a
 * later one. */
static void
hold_fill(PhScheduler *s, PhSchedWorker *w, PhTime now, PhSchedAction *action)
{
    int64_t lease_end_ms = hold_lease(s, w, now);
    bool acks = w->last_end_acked > w->acks_answered;
    w->acks_in_flight = acks ? w->last_end_acked : 0;
    w->hold_lease_at = lease_end_ms > 0 ? w->granted_at : 0;
    action->as.hold.last_seen = w->acks_in_flight;
    action->as.hold.deadline_ms = lease_end_ms;
    action->bound = !w->unbound && (acks || lease_end_ms > 0);
}

/* Whether the worker has answered an order lately. */
static bool
likely_answers(const PhSchedWorker *w, PhTime now)
{
    return w->heard_at > 0 && now - w->heard_at <= ANSWER_AGE;
}

bool
PhScheduler_NextHold(PhScheduler *s, GQueue *due, PhTime now,
                     PhSchedAction *action)
{
    PhSchedWorker *w = g_queue_pop_head(due);
    if (w == NULL) {
        return false;
    }
    *action = PhSchedAction_For(w, PH_SCHED_ACTION_HOLD);
    action->timeout = PhOrderWindow_Timeout(&s->window);
    w->hold_sent_at = now;
    w->hold_due_at = now;
    hold_fill(s, w, now, action);
    if (!w->fenced || w->suspended || w->grant_batch > s->durable_batch) {
        return true;
    }
    /* The next grant may have no answer either: it is not to wait for one. */
    bool granted = w->hold_lease_at == now;
    bool recovers =
        w->failing_since > 0 || (granted && w->hold_failed_at > 0 &&
                                 w->renewed_at <= w->hold_failed_at);
    if (recovers) {
        action->timeout /= likely_answers(w, now) ? RENEWAL_TIMEOUT_SHARE : 1;
        return true;
    }
    if (!s->quiesced && w->last_end_seen == w->last_end_acked &&
        w->tasks->len > 0) {
        bool shared = w->backfill_cpu_milli > 0 && w->serving_cpu_milli > 0;
        bool expires = PhScheduler_LeaseLeft(w, now) < EXPIRING_LEASE;
        action->as.hold.wait =
            shared || expires ? HOLD_WAIT_SHARED : HOLD_WAIT;
        w->hold_due_at = now + action->as.hold.wait;
    }
    return true;
}

static void
end_apply(PhScheduler *s, PhSchedWorker *w, const PhSchedEndRow *end,
          PhTime now)
{
    PhScheduler_NoteJobBegins(s, end->task.job);
    PhSchedTask *task = PhScheduler_PlacedTask(s, &end->task, end->run);
    if (task == NULL || task->worker != w) {
        return;
    }
    PhScheduler_CountEnd(task, end->kind, now);
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
    PhSchedTask *task = PhScheduler_PlacedTask(s, &row->task, row->run);
    PhScheduler_NoteJobBegins(s, row->task.job);
    if (task == NULL || task->worker != w) {
        orphan_add(s, w, row);
        return;
    }
    PhScheduler_ConfirmRun(s, task, clock_ms, now);
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
            task->start_unconfirmed || PhSchedTask_StartIsUnbound(task) ||
            !settled || task->confirmed_clock_ms >= clock_ms) {
            continue;
        }
        PhScheduler_ReleaseRun(s, task, PH_SCHED_RELEASE_MISSING, now);
    }
}

static void
hold_failed(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    w->unanswered_holds++;
    w->hold_failed_at = now;
    bool answers =
        w->answered_other_at > 0 && now - w->answered_other_at <= ANSWER_AGE;
    if (w->failing_since == 0 && !answers) {
        w->failing_since = now;
    }
    PhTime silence = w->failing_since == 0 ? 0 : now - w->failing_since;
    if (w->tasks->len > 0 && silence >= SILENCE_LIMIT) {
        PhScheduler_SetSuspended(s, w, true, now);
    }
    PhTime apart = likely_answers(w, now)
                       ? HOLD_RETRY_APART / RENEWAL_TIMEOUT_SHARE
                       : HOLD_RETRY_APART;
    w->next_hold_at = now < w->leases.until
                          ? MAX(now + HOLD_RETRY, w->hold_sent_at + apart)
                          : now + HOLD_RETRY_LOST;
    PhScheduler_WakeBy(s, w->next_hold_at);
}

/* Notes an answer to an order other than a hold: a worker that answers it has
 * left the hold unanswered, and is not silent. */
void
PhScheduler_NoteAnswer(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    w->heard_at = now;
    w->answered_other_at = now;
    if (w->failing_since == 0) {
        return;
    }
    s->placement_due |= !w->suspended;
    w->failing_since = 0;
    w->next_hold_at = MIN(w->next_hold_at, now);
    PhScheduler_WakeBy(s, now);
}

/* The worker closes its connections, so that holds are sent on any.  A
 * successor has to know it before. */
static void
hold_unbind(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    PhScheduler_SetUnbound(s, w);
    w->next_hold_at = now;
    PhScheduler_WakeBy(s, now);
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
    w->unanswered_holds = 0;
    w->failing_since = 0;
    if (!s->quiesced || !w->entry.draining) {
        PhScheduler_SetSuspended(s, w, false, now);
    }
    w->answered_at = now;
    w->heard_at = now;
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
    else if (w->grant_batch > s->durable_batch) {
        gap = HOLD_UNRECORDED_INTERVAL;
    }
    w->next_hold_at = now + gap;
}

/* Reports whether another incarnation than the one addressed has replied. */
static bool
is_of_other(const PhSchedHoldReply *reply, int64_t born_ms)
{
    return reply->born_ms != 0 && born_ms != 0 && reply->born_ms != born_ms;
}

bool
PhScheduler_OnHold(PhScheduler *s, PhStr worker, int64_t born_ms,
                   const PhSchedHoldReply *reply, PhTime now)
{
    PhSchedWorker *w = PhSchedModel_Worker(s->model, worker, born_ms);
    if (PhScheduler_IsClosedFor(s, w, now)) {
        return reply->outcome != PH_SCHED_OUTCOME_FENCED;
    }
    PhTime alive_at = MAX(w->hold_sent_at, reply->connected_at);
    uint64_t acked = w->acks_in_flight;
    PhTime lease_at = w->hold_lease_at;
    w->hold_in_flight = false;
    w->acks_in_flight = 0;
    PhScheduler_WakeBy(s, now);
    switch (reply->outcome) {
    case PH_SCHED_OUTCOME_FENCED:
        return false;
    case PH_SCHED_OUTCOME_DONE:
        if (is_of_other(reply, born_ms)) {
            w = PhScheduler_SwitchIncarnation(s, w, reply, now);
            acked = 0;
            lease_at = 0;
        }
        w->alive_at = MAX(w->alive_at, alive_at);
        w->acks_answered = MAX(w->acks_answered, acked);
        if (now >= w->hold_due_at) {
            PhTime delay = now - w->hold_due_at - reply->silence;
            PhOrderWindow_OnHoldAnswer(&s->window, MAX(delay, 0));
        }
        w->renewed_at = MAX(w->renewed_at, lease_at);
        reply_apply(s, w, reply, now);
        break;
    case PH_SCHED_OUTCOME_UNBOUND:
        hold_unbind(s, w, now);
        break;
    case PH_SCHED_OUTCOME_NOT_SENT:
    case PH_SCHED_OUTCOME_STALE_RUN:
    case PH_SCHED_OUTCOME_DEADLINE_PASSED:
    case PH_SCHED_OUTCOME_NO_CAPACITY:
    case PH_SCHED_OUTCOME_REFUSED:
    case PH_SCHED_OUTCOME_OTHER_INCARNATION:
    case PH_SCHED_OUTCOME_UNKNOWN:
    case PH_SCHED_OUTCOME_COUNT:
        hold_failed(s, w, now);
        break;
    }
    return true;
}

/* Returns the incarnation that a hold beside the regular ones was sent to, if
 * the answer still counts; otherwise NULL. */
static PhSchedWorker *
extra_hold_worker(const PhScheduler *s, PhStr worker, int64_t born_ms,
                  const PhSchedHoldReply *reply, PhTime now)
{
    PhSchedWorker *w = PhSchedModel_NewestIncarnation(s->model, worker);
    bool counts = reply->outcome == PH_SCHED_OUTCOME_DONE && w != NULL &&
                  w->entry.born_ms == born_ms && !w->dead &&
                  !PhScheduler_IsClosedFor(s, w, now);
    return counts ? w : NULL;
}

bool
PhScheduler_OnLateHold(PhScheduler *s, PhStr worker, int64_t born_ms,
                       const PhSchedHoldReply *reply, PhTime now)
{
    PhSchedWorker *w = extra_hold_worker(s, worker, born_ms, reply, now);
    bool same = reply->born_ms == 0 || reply->born_ms == born_ms;
    if (w != NULL && same) {
        PhScheduler_WakeBy(s, now);
        /* The answer to this hold or an earlier one. */
        PhOrderWindow_OnHoldAnswer(&s->window,
                                   now - w->hold_failed_at +
                                       PhOrderWindow_Timeout(&s->window));
        w->answered_other_at = now;
        reply_apply(s, w, reply, now);
    }
    return reply->outcome != PH_SCHED_OUTCOME_FENCED;
}

bool
PhScheduler_OnQuery(PhScheduler *s, PhStr worker, int64_t born_ms,
                    const PhSchedHoldReply *reply, PhTime now)
{
    PhSchedWorker *w = extra_hold_worker(s, worker, born_ms, reply, now);
    if (w != NULL) {
        PhScheduler_WakeBy(s, now);
        if (is_of_other(reply, born_ms)) {
            w = PhScheduler_SwitchIncarnation(s, w, reply, now);
        }
        w->alive_at = MAX(w->alive_at, reply->connected_at);
        w->answered_other_at = now;
        reply_apply(s, w, reply, now);
    }
    return reply->outcome != PH_SCHED_OUTCOME_FENCED;
}

void
PhScheduler_OnRelayedEnds(PhScheduler *s, PhStr worker, int64_t born_ms,
                          PhSchedEndRow *ends, size_t end_count, PhTime now)
{
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .ends = ends,
                              .end_count = end_count};
    PhSchedWorker *w = extra_hold_worker(s, worker, born_ms, &reply, now);
    if (w != NULL && w->fenced) {
        ends_apply(s, w, &reply, now);
        PhScheduler_WakeBy(s, now);
    }
}

void
PhScheduler_OnWorkerDurable(const PhScheduler *s, PhSchedWorker *w,
                            uint64_t before)
{
    bool acks = w->last_end_acked < w->last_end_seen &&
                w->last_end_batch <= s->durable_batch;
    bool grants = w->grant_batch > before &&
                  w->grant_batch <= s->durable_batch && !w->suspended;
    if (acks) {
        w->last_end_acked = w->last_end_seen;
    }
    if (acks || grants) {
        w->next_hold_at = MIN(w->next_hold_at, w->answered_at + HOLD_GAP);
    }
}
