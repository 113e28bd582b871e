/* Leases of workers: which ones are granted and recorded, and when all granted
 * leases have expired. */
#include "peridothill/decide/schedule/lease_time.h"
#include "scheduler_private.h"

static const PhTime LEASE_TIME = PH_LEASE_MS * PH_NS_PER_MS;
/* For workers that leave: their tasks are lost soon anyway, and start
 * elsewhere once the lease has ended.  Two renewals. */
static const PhTime LEAVING_LEASE_TIME = 3 * PH_NS_PER_S;
/* Such leases need an ownership that was confirmed this recently.  A successor
 * knows the time of that confirmation and need not wait for OLD_OWNER_LIMIT.
 * The bound allows for the successor's clock. */
static const PhTime LEAVING_CONFIRMED_AGE = 3 * PH_NS_PER_S;
static const PhTime LEAVING_CONFIRMED_AGE_BOUND = 3100 * PH_NS_PER_MS;
/* An owner without the store continues for at most this long, see
 * docs/PLATFORM-DESIGN.md. */
static const PhTime OLD_OWNER_LIMIT = 10 * PH_NS_PER_S;
/* A run needs longer than that to be worth its start. */
static const PhTime OWNED_TIME_MIN = 1 * PH_NS_PER_S;
/* A reader counts the bound of a record from when it reads it, so that of a
 * suspended worker is recorded again this often. */
static const PhTime BOUND_RECORD_INTERVAL = 1 * PH_NS_PER_S;
/* Smaller moves of a bound are not reported. */
static const PhTime REPORTED_MOVE_MIN = 100 * PH_NS_PER_MS;
/* A worker that has not answered a new owner for this long is suspended, also
 * if it cannot be asked because its entry is gone. */
static const PhTime FIRST_ANSWER_LIMIT = 1 * PH_NS_PER_S;
enum {
    /* An entry expires once it has not been written for three intervals.  One
     * that was deleted sooner was deleted by its worker. */
    REPORTS_UNTIL_SILENT = 2,
};

/* On the worker's clock. */
static PhTime
lease_length(const PhScheduler *s, bool leaving)
{
    return MIN(leaving ? LEAVING_LEASE_TIME : LEASE_TIME,
               s->options.lease_limit);
}

/* Longest duration of a lease on the owner's clock. */
static PhTime
lease_bound(const PhScheduler *s, bool leaving)
{
    return PhLeaseTime_Bound(lease_length(s, leaving));
}

/* When a lease has expired that a later incarnation was granted by an order
 * from up to `sent_at`.  The order may be executed late, and its deadline is
 * on the clock of the earlier incarnation, so the lease is bounded only by the
 * longest one that workers accept. */
static PhTime
late_lease_end(const PhScheduler *s, PhTime sent_at)
{
    return sent_at + PH_LATE_ORDER_MS * PH_NS_PER_MS +
           PhLeaseTime_Bound(s->options.lease_limit);
}

/* Orders that were not bound to the earlier incarnation may reach the new one
 * under the same id. */
void
PhScheduler_InheritLeases(const PhScheduler *s, PhSchedWorker *w,
                          const PhSchedWorker *earlier, PhTime now)
{
    if (earlier->unbound && w->inherited_leases_end_by == 0) {
        w->inherited_leases_end_by = late_lease_end(s, now);
    }
}

/* Once it is recorded that the worker leaves, owners grant short leases only:
 * the writer of the record knew it before, and a successor has read it.  Only
 * owners that had been replaced by then may not know it. */
PhTime
PhScheduler_EarlierLeasesEnd(const PhScheduler *s, const PhSchedWorker *w,
                             PhTime limit)
{
    const PhPredecessors *p = s->options.predecessors;
    PhTime any_end = limit + lease_bound(s, false);
    if (p != NULL) {
        PhPredecessors_LastToExpire(p, limit, lease_bound(s, false), &any_end);
    }
    if (w->leaving_at == 0) {
        return any_end;
    }
    PhTime last = limit;
    PhTime last_unaware = 0;
    if (p != NULL) {
        last_unaware = PhPredecessors_LastOrderReplacedBy(p, w->leaving_at);
        last = PhPredecessors_LastOrderReplacedAfter(
            p, w->leaving_at, LEAVING_CONFIRMED_AGE_BOUND);
    }
    PhTime last_long_grant = MAX(w->leaving_at, MIN(last_unaware, limit));
    PhTime end = MAX(last_long_grant + lease_bound(s, false),
                     MIN(last, limit) + lease_bound(s, true));
    return MIN(end, any_end);
}

/* An entry does not tell why it was deleted.  A worker deletes it when it
 * leaves, which ends everything that runs there; otherwise it has expired, and
 * the worker may go on out of reach. */
void
PhScheduler_NoteDeparture(const PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    PhTime limit = REPORTS_UNTIL_SILENT * s->options.report_interval;
    bool expired =
        w->entry.written_after == 0 || now - w->entry.written_after >= limit;
    if (w->entry.draining && !expired) {
        w->left_at = now;
    }
}

bool
PhScheduler_MayGrant(const PhScheduler *s, const PhSchedWorker *w, PhTime now)
{
    if (w->suspended || w->grant_batch > s->durable_batch ||
        w->failing_since > 0) {
        return false;
    }
    if (s->owned_until > 0 && s->owned_until - now < OWNED_TIME_MIN) {
        return false;
    }
    return !w->leaving || s->confirmed_at == 0 ||
           now - s->confirmed_at <= LEAVING_CONFIRMED_AGE;
}

void
PhScheduler_ResetWorker(const PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    w->fenced = false;
    w->hold_in_flight = false;
    w->next_hold_at = now;
    w->last_end_seen = 0;
    w->last_end_acked = 0;
    w->acks_in_flight = 0;
    w->acks_answered = 0;
    w->last_end_batch = 0;
    w->cooldown_until = 0;
    g_array_set_size(w->failures, 0);
    w->dirty = false;
    w->grant_batch = 0;
    w->leases = (PhLeaseBound){
        .until = PhScheduler_EarlierLeasesEnd(s, w, now + OLD_OWNER_LIMIT),
        .evidence = PH_LEASE_EVIDENCE_EARLIER_OWNERS};
    if (w->suspended && w->lease_expiry_bound > 0) {
        w->leases =
            (PhLeaseBound){.until = w->bound_at + w->lease_expiry_bound,
                           .evidence = PH_LEASE_EVIDENCE_RECORD};
    }
    w->reported_until = 0;
    w->failing_since = 0;
    w->heard_at = 0;
    w->answered_other_at = 0;
    w->unanswered_holds = 0;
    w->hold_failed_at = 0;
    w->lease_end_ms = 0;
    w->renewed_at = 0;
    for (guint i = 0; i < w->tasks->len; i++) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        task->fence = 0;
        task->start_in_flight = false;
        task->stopping = false;
        task->stop_in_flight = false;
        task->stop_sent_at = 0;
        PhSchedTask_ResetPace(task, PH_SCHED_PACE_UNKNOWN);
    }
}

void
PhScheduler_MarkWorkerDirty(PhScheduler *s, PhSchedWorker *w)
{
    if (!w->dirty) {
        w->dirty = true;
        s->dirty_workers++;
    }
}

/* When every lease of an incarnation has expired.  Until the worker has
 * accepted this owner's fence, the bound shrinks as more becomes known of
 * earlier owners. */
static PhLeaseBound
leases_end(const PhScheduler *s, const PhSchedWorker *w)
{
    PhLeaseBound bound = w->leases;
    /* An answer that is under way may list ends. */
    if (w->left_at > 0 && !w->hold_in_flight) {
        return (PhLeaseBound){.until = w->left_at,
                              .evidence = PH_LEASE_EVIDENCE_LEFT};
    }
    if (!w->fenced) {
        PhTime limit = s->owner_since + OLD_OWNER_LIMIT;
        PhTime earlier = PhScheduler_EarlierLeasesEnd(s, w, limit);
        if (earlier < bound.until) {
            bound =
                (PhLeaseBound){.until = earlier,
                               .evidence = PH_LEASE_EVIDENCE_EARLIER_OWNERS};
        }
    }
    if (w->inherited_leases_end_by > bound.until) {
        bound =
            (PhLeaseBound){.until = w->inherited_leases_end_by,
                           .evidence = PH_LEASE_EVIDENCE_EARLIER_INCARNATION};
    }
    return bound;
}

/* The last order of an earlier owner. */
static PhTime
earlier_order_limit(const PhScheduler *s)
{
    PhTime limit = s->owner_since + OLD_OWNER_LIMIT;
    const PhPredecessors *p = s->options.predecessors;
    return p == NULL ? limit : MIN(PhPredecessors_LastOrder(p), limit);
}

/* When the lease of a run has expired, given that of its worker's leases.  A
 * later incarnation may have executed a start of it, if this owner has sent
 * one that was not bound to the worker, or an earlier owner may have. */
static PhTime
run_lease_end(const PhScheduler *s, const PhSchedTask *task, PhTime until)
{
    const PhSchedWorker *w = task->worker;
    const PhSchedWorker *newest =
        PhSchedModel_NewestIncarnation(s->model, w->entry.id);
    bool own = task->fence == s->fence;
    if (own && !PhSchedTask_StartIsUnbound(task)) {
        return until;
    }
    if (own) {
        until = MAX(until, late_lease_end(s, w->granted_at));
    }
    else if (w->unbound) {
        until = MAX(until, late_lease_end(s, earlier_order_limit(s)));
    }
    if (newest != NULL && newest != w) {
        until = MAX(until, leases_end(s, newest).until);
    }
    return until;
}

PhLeaseBound
PhScheduler_RunLeaseBound(const PhScheduler *s, const PhSchedTask *task)
{
    PhLeaseBound bound = leases_end(s, task->worker);
    bound.until = run_lease_end(s, task, bound.until);
    return bound;
}

/* Records how much longer the leases of a worker may last. */
static void
bound_record(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    PhTime leases_until = leases_end(s, w).until;
    PhTime until = leases_until;
    for (guint i = 0; i < w->tasks->len; i++) {
        until = MAX(until, run_lease_end(s, g_ptr_array_index(w->tasks, i),
                                         leases_until));
    }
    w->bound_at = now;
    w->lease_expiry_bound = MAX(until - now, PH_NS_PER_MS);
    w->bound_inherited =
        until > leases_until || w->inherited_leases_end_by >= until;
    PhScheduler_MarkWorkerDirty(s, w);
}

/* Changes and records whether leases are granted.  The record has to be
 * durable before the next lease. */
static void
suspension_change(PhScheduler *s, PhSchedWorker *w, bool suspended, PhTime now)
{
    w->suspended = suspended;
    w->suspended_at = now;
    w->grant_batch = s->open_batch;
    bound_record(s, w, now);
}

void
PhScheduler_SetSuspended(PhScheduler *s, PhSchedWorker *w, bool suspended,
                         PhTime now)
{
    if (w->suspended == suspended) {
        return;
    }
    PhSchedEvent event = {.tag = suspended ? PH_SCHED_EVENT_WORKER_SUSPENDED
                                           : PH_SCHED_EVENT_WORKER_RESUMED,
                          .worker = w};
    PhLeaseBound bound = leases_end(s, w);
    event.as.suspended.lease_left = bound.until - now;
    event.as.suspended.evidence = bound.evidence;
    g_array_append_val(s->events, event);
    w->reported_until = bound.until;
    suspension_change(s, w, suspended, now);
}

void
PhScheduler_SetUnbound(PhScheduler *s, PhSchedWorker *w)
{
    if (!w->unbound) {
        w->unbound = true;
        w->grant_batch = s->open_batch;
        PhScheduler_MarkWorkerDirty(s, w);
    }
}

/* Reports that more has become known of when the leases of a suspended worker
 * expire, or what this owner knows of one that it took over as suspended. */
static void
bound_report(PhScheduler *s, PhSchedWorker *w, PhLeaseBound bound, PhTime now)
{
    bool first = w->reported_until == 0;
    PhTime moved = first ? 0 : bound.until - w->reported_until;
    if (!first && ABS(moved) < REPORTED_MOVE_MIN) {
        return;
    }
    PhSchedEvent event = {.tag = PH_SCHED_EVENT_BOUND_MOVED,
                          .worker = w,
                          .as.bound_moved = {.lease_left = bound.until - now,
                                             .moved = moved,
                                             .evidence = bound.evidence}};
    g_array_append_val(s->events, event);
    w->reported_until = bound.until;
}

/* Estimates the worker's clock in ms from its last reading.  A slow clock may
 * be behind the estimate, which PhLeaseTime_Bound() allows for. */
static int64_t
worker_clock(const PhSchedWorker *w, PhTime now)
{
    return w->clock_ms + (now - w->clock_at) / PH_NS_PER_MS;
}

/* The end of a lease that is granted now, on the worker's clock.  No lease
 * outlasts the ownership: a successor waits for the end of that alone, since
 * it can't tell an owner that has died from one that goes on without the
 * store. */
static int64_t
new_lease_end_ms(const PhScheduler *s, const PhSchedWorker *w, PhTime now)
{
    int64_t end_ms =
        worker_clock(w, now) + lease_length(s, w->leaving) / PH_NS_PER_MS;
    if (s->owned_until == 0) {
        return end_ms;
    }
    PhTime owned = PhLeaseTime_Within(s->owned_until - w->clock_at);
    return MIN(end_ms, w->clock_ms + owned / PH_NS_PER_MS);
}

int64_t
PhScheduler_Grant(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    int64_t end_ms = new_lease_end_ms(s, w, now);
    PhTime left = (end_ms - w->clock_ms) * PH_NS_PER_MS;
    w->granted_at = now;
    w->lease_end_ms = end_ms;
    w->leases.until =
        MAX(w->leases.until, w->clock_at + PhLeaseTime_Bound(left));
    return end_ms;
}

PhTime
PhScheduler_LeaseLeft(const PhSchedWorker *w, PhTime now)
{
    return MAX(w->lease_end_ms - worker_clock(w, now), 0) * PH_NS_PER_MS;
}

/* An order that is not bound counts as a new grant: a later incarnation may
 * execute it. */
int64_t
PhScheduler_GrantedLease(const PhSchedWorker *w, PhTime now)
{
    bool counts = !w->unbound && w->lease_end_ms > worker_clock(w, now);
    return counts ? w->lease_end_ms : 0;
}

/* Ends the runs of an incarnation whose leases have expired, all but those
 * that a later one may have. */
static void
worker_lost(PhScheduler *s, PhSchedWorker *w, PhLeaseBound bound, PhTime now)
{
    guint before = w->tasks->len;
    for (guint i = w->tasks->len; i-- > 0;) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        PhTime end = run_lease_end(s, task, bound.until);
        if (now >= end) {
            PhScheduler_ReleaseRun(s, task, PH_SCHED_RELEASE_LOST, now);
        }
        else {
            PhScheduler_WakeBy(s, end);
        }
    }
    if (w->tasks->len == before) {
        return;
    }
    PhSchedEvent event = {
        .tag = PH_SCHED_EVENT_WORKER_LOST,
        .worker = w,
        .as.lost = {.runs = before - w->tasks->len,
                    .suspended = w->suspended ? now - w->suspended_at : -1,
                    .evidence = bound.evidence}};
    g_array_append_val(s->events, event);
}

void
PhScheduler_PlanWorker(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    bool newest = PhSchedModel_IsNewest(s->model, w);
    if (newest && w->suspended && w->tasks->len == 0) {
        /* The worker may be removed and get leases when it returns, so the
         * record of the suspension must not outlast it. */
        suspension_change(s, w, false, now);
    }
    if (w->unbound && !w->listed && w->tasks->len == 0 &&
        now >= late_lease_end(s, w->granted_at)) {
        w->unbound = false;
        w->grant_batch = s->open_batch;
        PhScheduler_MarkWorkerDirty(s, w);
    }
    if (w->dead) {
        return;
    }
    PhLeaseBound bound = leases_end(s, w);
    if (now >= bound.until && w->tasks->len > 0 &&
        (!w->listed || !newest || w->failing_since > 0)) {
        worker_lost(s, w, bound, now);
        w->dead = w->tasks->len == 0 && (!w->listed || !newest);
        if (w->tasks->len == 0) {
            return;
        }
    }
    if (!w->listed && w->tasks->len == 0) {
        w->dead = true;
        return;
    }
    if (w->tasks->len > 0) {
        if (now < bound.until) {
            PhScheduler_WakeBy(s, bound.until);
        }
        if (!w->fenced && now - s->owner_since >= FIRST_ANSWER_LIMIT) {
            PhScheduler_SetSuspended(s, w, true, now);
        }
        if (w->suspended && now - w->bound_at >= BOUND_RECORD_INTERVAL) {
            bound_record(s, w, now);
            bound_report(s, w, bound, now);
        }
    }
    if (!newest || w->hold_in_flight || PhStr_IsEmpty(w->entry.address)) {
        return;
    }
    if (w->next_hold_at > now) {
        PhScheduler_WakeBy(s, w->next_hold_at);
        return;
    }
    w->hold_in_flight = true;
    g_queue_push_tail(w->tasks->len > 0 ? &s->renewals : &s->looks, w);
}

/* A successor would count all leases from the release of this owner, also
 * those of workers that have not answered it for a while, or never, and longer
 * ones than it has granted to those that leave, unless it has known for a
 * while that they do. */
void
PhScheduler_RecordBounds(PhScheduler *s, PhTime now)
{
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        if (w->dead || w->tasks->len == 0) {
            continue;
        }
        if (w->suspended) {
            bound_record(s, w, now);
        }
        else if (!w->fenced || w->failing_since > 0) {
            PhScheduler_SetSuspended(s, w, true, now);
        }
        else if (w->entry.draining) {
            suspension_change(s, w, true, now);
        }
    }
}

void
PhScheduler_TakeWorkerRecords(PhScheduler *s, GArray *records)
{
    for (guint i = 0; i < s->model->incarnations->len && s->dirty_workers > 0;
         i++) {
        PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        if (!w->dirty) {
            continue;
        }
        PhSchedRecord record = {
            .tag = PH_SCHED_RECORD_WORKER,
            .id = PhStr_Dup(w->entry.id),
            .as.worker = {.born_ms = w->entry.born_ms,
                          .suspended = w->suspended,
                          .lease_expiry_bound = w->lease_expiry_bound,
                          .inherited = w->bound_inherited,
                          .leaving = w->entry.draining,
                          .unbound = w->unbound}};
        w->dirty = false;
        g_array_append_val(records, record);
    }
    s->dirty_workers = 0;
}

/* Reports whether an incarnation may be removed: it is dead, and its last
 * record equals the initial state of a new one.  A replaced incarnation never
 * returns. */
static bool
is_removable(const PhScheduler *s, const PhSchedWorker *w)
{
    if (w->tasks->len > 0 || w->hold_in_flight || !w->dead || w->listed) {
        return false;
    }
    return !PhSchedModel_IsNewest(s->model, w) ||
           (!w->suspended && !w->unbound && !w->dirty &&
            w->grant_batch <= s->durable_batch);
}

void
PhScheduler_RemoveDeadWorkers(PhScheduler *s)
{
    for (guint i = s->model->incarnations->len; i-- > 0;) {
        PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        if (!is_removable(s, w)) {
            continue;
        }
        PhScheduler_EndClaim(s, w);
        PhSchedEvent event = {.tag = PH_SCHED_EVENT_WORKER_REMOVED,
                              .worker = w};
        g_array_append_val(s->events, event);
        g_ptr_array_add(s->removed_workers,
                        PhSchedModel_DetachIncarnation(s->model, i));
    }
}
