#include "job_engine_private.h"

#include "peridothill/common/invariant.h"

enum {
    REPORT_REPEAT_MS = 10000,
    RETIRED_POLL_MS = 5000,
};

void
PhJobEngine_Report(PhJobEngine *e, uint32_t worker)
{
    PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    if (e->log_down ||
        PhJobState_Worker(e->state, worker)->retired != PH_OFFSET_NONE ||
        (v->reported_at > 0 &&
         e->now < v->reported_at + (REPORT_REPEAT_MS * PH_NS_PER_MS))) {
        return;
    }
    v->reported_at = e->now;
    PhJobEngine_Queue(e, (PhJobRecord){.kind = PH_RECORD_SUSPECT,
                                       .as.suspect = PhStr_Dup(v->id)});
}

void
PhJobEngine_WorkerChange(PhJobEngine *e, const PhJobChange *change)
{
    if (change->kind != PH_CHANGE_SUSPECTED &&
        change->kind != PH_CHANGE_RETIRED &&
        change->kind != PH_CHANGE_RESTORED) {
        return;
    }
    PhWorkerView *v = PhJobEngine_WorkerView(e, change->worker);
    if (change->kind == PH_CHANGE_SUSPECTED) {
        if (e->owner && !v->suspected) {
            v->suspected = true;
            v->suspected_at = e->now;
            v->missed_polls = 0;
            v->next_poll = e->now;
        }
        return;
    }
    bool retired = change->kind == PH_CHANGE_RETIRED;
    v->unrenewed_since = PH_TIME_NEVER;
    v->suspected = false;
    v->missed_polls = 0;
    v->next_poll = e->now;
    if (retired) {
        /* Makes the next KEEP record due: its `through` shows that this
         * instance has applied the RETIRE record and no longer renews the
         * worker's leases. */
        e->next_registration = e->now;
    }
    if (e->owner) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_RETIRED, retired);
        PhJobEngine_Note(
            e, retired ? PH_NOTE_WORKER_RETIRED : PH_NOTE_WORKER_RESTORED,
            v->id, 0);
    }
    PhJobEngine_SetUsable(e, change->worker);
}

/* Queues a RETIRE or RESTORE record. */
static void
retire_queue(PhJobEngine *e, const PhWorkerView *v, PhJobRecordKind kind)
{
    PhJobRecord record = {.kind = kind};
    record.as.retire.epoch = PhJobState_Epoch(e->state);
    record.as.retire.worker = PhStr_Dup(v->id);
    PhJobEngine_Queue(e, record);
}

/* Retires a suspected worker that does not answer the owner either. */
static void
suspect_tick(PhJobEngine *e, uint32_t worker)
{
    PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    if (!v->suspected || v->missed_polls == 0 ||
        e->now < v->suspected_at + (PH_SUSPECT_MS * PH_NS_PER_MS)) {
        return;
    }
    v->suspected = false;
    retire_queue(e, v, PH_RECORD_RETIRE);
}

/* True if no instance may renew a worker that was retired at log offset
 * `offset`: each registered one has applied the record or lost its right to
 * renew. */
static bool
renewers_stopped(const PhJobEngine *e, uint64_t offset)
{
    PhTime validity =
        PhLease_AddClockMargin(e->options.times.registration_validity);
    for (uint32_t i = 0; i < PhJobState_RenewerCount(e->state); i++) {
        const PhJobRenewer *r = PhJobState_Renewer(e->state, i);
        const PhTime *seen = g_hash_table_lookup(e->last_seen, &r->id);
        bool own = PhStr_Equal(r->id, e->options.instance);
        if (r->registered && !own && r->through <= offset &&
            (seen == NULL || e->now < *seen + validity)) {
            return false;
        }
    }
    return true;
}

/* Ends the runs of a retired worker as lost once its leases must have
 * expired. */
static void
lease_expiry_tick(PhJobEngine *e, uint32_t worker)
{
    PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    const PhJobWorker *w = PhJobState_Worker(e->state, worker);
    if (w->retired == PH_OFFSET_NONE || w->runs->len == 0) {
        return;
    }
    if (v->unrenewed_since == PH_TIME_NEVER) {
        if (renewers_stopped(e, w->retired)) {
            v->unrenewed_since = e->now;
        }
        return;
    }
    PhTime wait = PhLease_AddClockMargin(e->options.times.lease) +
                  (PH_WORKER_STOP_MARGIN_MS * PH_NS_PER_MS);
    if (e->now < v->unrenewed_since + wait) {
        return;
    }
    v->unrenewed_since = e->now; /* allows time for the records */
    PhJobEngine_Count(e, PH_COUNTER_TASKS_LAPSED, 1);
    PhJobEngine_Note(e, PH_NOTE_WORKER_LAPSED, v->id, w->runs->len);
    for (guint i = 0; i < w->runs->len; i++) {
        PhJobEngine_QueueEnd(
            e, (PhRunEnd){g_array_index(w->runs, PhRun, i), PH_RUN_LOST, 0});
    }
}

void
PhJobEngine_WorkersTick(PhJobEngine *e)
{
    if (e->state == NULL) {
        return;
    }
    PhJobEngine_PollTick(e);
    if (!PhJobEngine_Owns(e, e->now)) {
        return;
    }
    for (guint i = 0; i < e->worker_views->len; i++) {
        suspect_tick(e, i);
        lease_expiry_tick(e, i);
    }
}

static bool
answer_contains(const PhWorkerAnswer *a, PhRun run)
{
    for (guint i = 0; a->running != NULL && i < a->running->len; i++) {
        if (PhRun_Equal(g_array_index(a->running, PhRun, i), run)) {
            return true;
        }
    }
    for (guint i = 0; a->ended != NULL && i < a->ended->len; i++) {
        if (PhRun_Equal(g_array_index(a->ended, PhWorkerEnd, i).end.run,
                        run)) {
            return true;
        }
    }
    return false;
}

/* Queues the ends that a worker reports. Acknowledges those before which all
 * are in the log. */
static void
ends_process(PhJobEngine *e, PhWorkerView *v, const PhWorkerAnswer *a)
{
    bool all_logged = true;
    for (guint i = 0; a->ended != NULL && i < a->ended->len; i++) {
        const PhWorkerEnd *end = &g_array_index(a->ended, PhWorkerEnd, i);
        if (PhJobState_Placed(e->state, end->end.run) != NULL) {
            PhJobEngine_QueueEnd(e, end->end);
            all_logged = false;
        }
        else if (!PhJobState_HasEnded(e->state, end->end.run)) {
            /* This instance has not read the START record yet. */
            all_logged = false;
        }
        else if (all_logged) {
            v->acked = MAX(v->acked, end->number);
        }
    }
}

/* True if an answer without the run proves that it has ended: the worker was
 * polled after every start command of the run had expired. Starts by previous
 * owners expired before this owner's claim. */
static bool
absence_proves_end(const PhJobEngine *e, PhRun run, PhTime polled_at)
{
    const PhPendingStart *start = g_hash_table_lookup(e->starts, &run);
    if (start != NULL) {
        return start->sent &&
               polled_at >
                   start->valid_until + (PH_CLOCK_MARGIN_MS * PH_NS_PER_MS);
    }
    return polled_at > e->claimed_at;
}

/* Handles placed runs that the worker does not hold. */
static void
absent_runs_process(PhJobEngine *e, uint32_t worker, const PhWorkerAnswer *a,
                    PhTime polled_at)
{
    PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    const PhJobWorker *w = PhJobState_Worker(e->state, worker);
    bool absent = false;
    for (guint i = 0; i < w->runs->len; i++) {
        PhRun run = g_array_index(w->runs, PhRun, i);
        if (answer_contains(a, run)) {
            continue;
        }
        absent = true;
        if (!e->owner) {
            continue;
        }
        if (PhJobEngine_Owns(e, e->now) &&
            absence_proves_end(e, run, polled_at)) {
            PhJobEngine_QueueEnd(e, (PhRunEnd){run, PH_RUN_LOST, 0});
        }
        else {
            v->next_poll = MIN(v->next_poll, e->now + (PH_NS_PER_S / 2));
        }
    }
    /* The first absence is not reported, as a start may be in flight. */
    v->absent_run_answers = absent ? v->absent_run_answers + 1 : 0;
    if (!e->owner && v->absent_run_answers > 1) {
        PhJobEngine_Report(e, worker);
    }
}

/* Stops runs that the log does not place on the worker. */
static void
orphan_runs_stop(PhJobEngine *e, uint32_t worker, const PhWorkerAnswer *a)
{
    PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    for (guint i = 0; a->running != NULL && i < a->running->len; i++) {
        PhRun run = g_array_index(a->running, PhRun, i);
        const PhJobTask *task = PhJobState_Placed(e->state, run);
        if (task != NULL && task->worker == worker) {
            continue;
        }
        PhWorkerCommand stop = PhJobEngine_Command(
            e, v, PH_WORKER_STOP,
            e->now + (PH_WORKER_TIMEOUT_MS * PH_NS_PER_MS));
        stop.as.stop.run = run;
        PhJobEngine_Emit(
            e, (PhJobAction){.kind = PH_ACTION_COMMAND, .as.command = stop});
    }
}

/* Updates boot id and clock of a worker. */
static void
clock_update(PhJobEngine *e, PhWorkerView *v, const PhWorkerAnswer *a)
{
    if (v->boot != a->boot) {
        v->acked = 0;
    }
    bool first = !v->clock_known || v->boot != a->boot;
    v->boot = a->boot;
    v->clock_known = true;
    v->clock_ms = a->clock_ms;
    v->clock_at = e->now;
    if (first && v->assigned) {
        v->next_poll = e->now; /* a lease can be granted now */
    }
}

static void
poll_answered(PhJobEngine *e, uint32_t worker, const PhWorkerAnswer *a)
{
    PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    const PhJobWorker *w = PhJobState_Worker(e->state, worker);
    PhTime polled_at = v->polled_at;
    v->poll_token = 0;
    v->missed_polls = 0;
    v->suspected = false;
    if (w->retired != PH_OFFSET_NONE) {
        v->next_poll = e->now + (RETIRED_POLL_MS * PH_NS_PER_MS);
        if (PhJobEngine_Owns(e, e->now)) {
            retire_queue(e, v, PH_RECORD_RESTORE);
        }
        return;
    }
    if (!a->listed) {
        return;
    }
    absent_runs_process(e, worker, a, polled_at);
    if (PhJobEngine_Owns(e, e->now)) {
        orphan_runs_stop(e, worker, a);
    }
}

void
PhJobEngine_OnAnswer(PhJobEngine *e, const PhWorkerAnswer *a)
{
    if (e->state == NULL) {
        return;
    }
    uint32_t worker = PhJobState_WorkerNumber(e->state, a->worker);
    PhJobEngine_AddWorkerViews(e);
    PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    bool is_poll = v->poll_token != 0 && v->poll_token == a->token;
    if (a->status == PH_STATUS_UNKNOWN) {
        return; /* PhJobEngine_PollTick() handles the timeout */
    }
    clock_update(e, v, a);
    ends_process(e, v, a);
    if (a->status != PH_STATUS_OK) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_COMMANDS_REFUSED, 1);
        v->next_poll = MIN(v->next_poll, e->now);
        if (is_poll) {
            v->poll_token = 0;
        }
    }
    else if (is_poll) {
        poll_answered(e, worker, a);
    }
    PhJobEngine_SetUsable(e, worker);
}
