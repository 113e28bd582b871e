#include "job_engine_private.h"

#include "peridothill/common/invariant.h"

enum {
    REPORT_AGAIN_MS = 10000,
    RETIRED_QUESTION_MS = 5000,
};

void
PhJobEngine_Report(PhJobEngine *e, uint32_t worker)
{
    PhContact *c = PhJobEngine_Contact(e, worker);
    if (e->log_down ||
        PhJobState_Worker(e->state, worker)->retired != PH_PLACE_NONE ||
        (c->reported_at > 0 &&
         e->now < c->reported_at + (REPORT_AGAIN_MS * PH_NS_PER_MS))) {
        return;
    }
    c->reported_at = e->now;
    PhJobEngine_Queue(e, (PhJobRecord){.kind = PH_RECORD_SUSPECT,
                                       .as.suspect = PhStr_Dup(c->id)});
}

void
PhJobEngine_WorkerChange(PhJobEngine *e, const PhJobChange *change)
{
    if (change->kind != PH_CHANGE_SUSPECTED &&
        change->kind != PH_CHANGE_RETIRED &&
        change->kind != PH_CHANGE_RESTORED) {
        return;
    }
    PhContact *c = PhJobEngine_Contact(e, change->worker);
    if (change->kind == PH_CHANGE_SUSPECTED) {
        if (e->owner && !c->suspected) {
            c->suspected = true;
            c->suspected_at = e->now;
            c->misses = 0;
            c->next_question = e->now;
        }
        return;
    }
    bool retired = change->kind == PH_CHANGE_RETIRED;
    c->lapse_from = PH_TIME_NEVER;
    c->suspected = false;
    c->misses = 0;
    c->next_question = e->now;
    if (retired) {
        /* Announces by the next KEEP that it no longer renews this worker. */
        e->next_keep = e->now;
    }
    if (e->owner) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_RETIRED, retired);
        PhJobEngine_Note(
            e, retired ? PH_NOTE_WORKER_RETIRED : PH_NOTE_WORKER_RESTORED,
            c->id, 0);
    }
    PhJobEngine_SetUsable(e, change->worker);
}

/* Queues a RETIRE or RESTORE record. */
static void
retire_queue(PhJobEngine *e, const PhContact *c, PhJobRecordKind kind)
{
    PhJobRecord record = {.kind = kind};
    record.as.retire.epoch = PhJobState_Epoch(e->state);
    record.as.retire.worker = PhStr_Dup(c->id);
    PhJobEngine_Queue(e, record);
}

/* Retires a suspected worker that does not answer the owner either. */
static void
suspect_tick(PhJobEngine *e, uint32_t worker)
{
    PhContact *c = PhJobEngine_Contact(e, worker);
    if (!c->suspected || c->misses == 0 ||
        e->now < c->suspected_at + (PH_SUSPECT_MS * PH_NS_PER_MS)) {
        return;
    }
    c->suspected = false;
    retire_queue(e, c, PH_RECORD_RETIRE);
}

/* True if no instance may renew a worker that was retired at log offset
 * `place`: each registered one has applied the record or lost its right to
 * renew. */
static bool
renewers_stopped(const PhJobEngine *e, uint64_t place)
{
    PhTime right = PhLease_Stretch(e->options.times.renew_right);
    for (uint32_t i = 0; i < PhJobState_RenewerCount(e->state); i++) {
        const PhJobRenewer *r = PhJobState_Renewer(e->state, i);
        const PhTime *seen = g_hash_table_lookup(e->kept_at, &r->id);
        bool own = PhStr_Equal(r->id, e->options.instance);
        if (r->registered && !own && r->through <= place &&
            (seen == NULL || e->now < *seen + right)) {
            return false;
        }
    }
    return true;
}

/* Ends the runs of a retired worker as lost once its leases must have
 * expired. */
static void
lapse_tick(PhJobEngine *e, uint32_t worker)
{
    PhContact *c = PhJobEngine_Contact(e, worker);
    const PhJobWorker *w = PhJobState_Worker(e->state, worker);
    if (w->retired == PH_PLACE_NONE || w->runs->len == 0) {
        return;
    }
    if (c->lapse_from == PH_TIME_NEVER) {
        if (renewers_stopped(e, w->retired)) {
            c->lapse_from = e->now;
        }
        return;
    }
    PhTime wait = PhLease_Stretch(e->options.times.lease) +
                  (PH_WORKER_STOP_MARGIN_MS * PH_NS_PER_MS);
    if (e->now < c->lapse_from + wait) {
        return;
    }
    c->lapse_from = e->now; /* allows time for the records */
    PhJobEngine_Count(e, PH_COUNTER_TASKS_LAPSED, 1);
    PhJobEngine_Note(e, PH_NOTE_WORKER_LAPSED, c->id, w->runs->len);
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
    PhJobEngine_QuestionsTick(e);
    if (!PhJobEngine_Owns(e, e->now)) {
        return;
    }
    for (guint i = 0; i < e->contacts->len; i++) {
        suspect_tick(e, i);
        lapse_tick(e, i);
    }
}

static bool
answer_names(const PhWorkerAnswer *a, PhRun run)
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
ends_take(PhJobEngine *e, PhContact *c, const PhWorkerAnswer *a)
{
    bool all_logged = true;
    for (guint i = 0; a->ended != NULL && i < a->ended->len; i++) {
        const PhWorkerEnd *end = &g_array_index(a->ended, PhWorkerEnd, i);
        if (PhJobState_Placed(e->state, end->end.run) != NULL) {
            PhJobEngine_QueueEnd(e, end->end);
            all_logged = false;
        }
        else if (!PhJobState_IsOver(e->state, end->end.run)) {
            /* This instance has not read the START record yet. */
            all_logged = false;
        }
        else if (all_logged) {
            c->acked = MAX(c->acked, end->number);
        }
    }
}

/* True if an answer without the run proves that it has ended: the worker was
 * polled after every start command of the run had expired. Starts by previous
 * owners expired before this owner's claim. */
static bool
absence_proves(const PhJobEngine *e, PhRun run, PhTime asked_at)
{
    const PhPendingStart *start = g_hash_table_lookup(e->starts, &run);
    if (start != NULL) {
        return start->sent &&
               asked_at >
                   start->valid_until + (PH_CLOCK_MARGIN_MS * PH_NS_PER_MS);
    }
    return asked_at > e->claimed_at;
}

/* Handles placed runs that the worker does not hold. */
static void
absent_take(PhJobEngine *e, uint32_t worker, const PhWorkerAnswer *a,
            PhTime asked_at)
{
    PhContact *c = PhJobEngine_Contact(e, worker);
    const PhJobWorker *w = PhJobState_Worker(e->state, worker);
    bool absent = false;
    for (guint i = 0; i < w->runs->len; i++) {
        PhRun run = g_array_index(w->runs, PhRun, i);
        if (answer_names(a, run)) {
            continue;
        }
        absent = true;
        if (!e->owner) {
            continue;
        }
        if (PhJobEngine_Owns(e, e->now) && absence_proves(e, run, asked_at)) {
            PhJobEngine_QueueEnd(e, (PhRunEnd){run, PH_RUN_LOST, 0});
        }
        else {
            c->next_question =
                MIN(c->next_question, e->now + (PH_NS_PER_S / 2));
        }
    }
    /* The first absence may be a start on its way, so it is not reported. */
    c->absences = absent ? c->absences + 1 : 0;
    if (!e->owner && c->absences > 1) {
        PhJobEngine_Report(e, worker);
    }
}

/* Stops runs that the log does not place on the worker. */
static void
strays_stop(PhJobEngine *e, uint32_t worker, const PhWorkerAnswer *a)
{
    PhContact *c = PhJobEngine_Contact(e, worker);
    for (guint i = 0; a->running != NULL && i < a->running->len; i++) {
        PhRun run = g_array_index(a->running, PhRun, i);
        const PhJobTask *task = PhJobState_Placed(e->state, run);
        if (task != NULL && task->worker == worker) {
            continue;
        }
        PhWorkerCommand stop = PhJobEngine_Command(
            e, c, PH_WORKER_STOP,
            e->now + (PH_WORKER_TIMEOUT_MS * PH_NS_PER_MS));
        stop.as.stop.run = run;
        PhJobEngine_Act(
            e, (PhJobAction){.kind = PH_ACTION_COMMAND, .as.command = stop});
    }
}

/* Updates boot id and clock of a worker. */
static void
clock_take(PhJobEngine *e, PhContact *c, const PhWorkerAnswer *a)
{
    if (c->boot != a->boot) {
        c->acked = 0;
    }
    bool first = !c->known || c->boot != a->boot;
    c->boot = a->boot;
    c->known = true;
    c->clock_ms = a->clock_ms;
    c->clock_at = e->now;
    if (first && c->mine) {
        c->next_question = e->now; /* a lease can be granted now */
    }
}

static void
question_answered(PhJobEngine *e, uint32_t worker, const PhWorkerAnswer *a)
{
    PhContact *c = PhJobEngine_Contact(e, worker);
    const PhJobWorker *w = PhJobState_Worker(e->state, worker);
    PhTime asked_at = c->asked_at;
    c->question = 0;
    c->misses = 0;
    c->suspected = false;
    if (w->retired != PH_PLACE_NONE) {
        c->next_question = e->now + (RETIRED_QUESTION_MS * PH_NS_PER_MS);
        if (PhJobEngine_Owns(e, e->now)) {
            retire_queue(e, c, PH_RECORD_RESTORE);
        }
        return;
    }
    if (!a->listed) {
        return;
    }
    absent_take(e, worker, a, asked_at);
    if (PhJobEngine_Owns(e, e->now)) {
        strays_stop(e, worker, a);
    }
}

void
PhJobEngine_OnAnswer(PhJobEngine *e, const PhWorkerAnswer *a)
{
    if (e->state == NULL) {
        return;
    }
    uint32_t worker = PhJobState_WorkerOf(e->state, a->worker);
    PhJobEngine_Contacts(e);
    PhContact *c = PhJobEngine_Contact(e, worker);
    bool question = c->question != 0 && c->question == a->token;
    if (a->status == PH_STATUS_UNKNOWN) {
        return; /* PhJobEngine_QuestionsTick() handles the timeout */
    }
    clock_take(e, c, a);
    ends_take(e, c, a);
    if (a->status != PH_STATUS_OK) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_COMMANDS_REFUSED, 1);
        c->next_question = MIN(c->next_question, e->now);
        if (question) {
            c->question = 0;
        }
    }
    else if (question) {
        question_answered(e, worker, a);
    }
    PhJobEngine_SetUsable(e, worker);
}
