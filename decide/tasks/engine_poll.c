#include "job_engine_private.h"

#include <string.h>
#include <xxhash.h>

enum {
    POLLS_PER_TICK = 64,
    /* The owner polls every worker at this interval to read its clock. */
    OWNER_POLL_MS = 20000,
    MISSES_TO_SUSPECT = 3,
};

PhWorkerView *
PhJobEngine_WorkerView(const PhJobEngine *e, uint32_t worker)
{
    return g_ptr_array_index(e->worker_views, worker);
}

void
PhWorkerView_Destroy(gpointer value)
{
    PhWorkerView *v = value;
    PhStr_Clear(&v->id);
    PhStr_Clear(&v->rack);
    g_free(v);
}

int64_t
PhWorkerView_ClockAt(const PhWorkerView *v, PhTime at)
{
    return v->clock_ms + ((at - v->clock_at) / PH_NS_PER_MS);
}

bool
PhWorkerView_ClockIsFresh(const PhWorkerView *v, PhTime now)
{
    return v->clock_known &&
           now < v->clock_at + (PH_WORKER_CLOCK_MS * PH_NS_PER_MS);
}

/* Strips the suffix that distinguishes the runs of an instance. */
static PhStr
instance_base(PhStr id)
{
    PhStr head = id;
    PhStr tail;
    return PhStr_Cut(id, '/', &head, &tail) ? head : id;
}

/* The local instance always counts as alive. */
static bool
instance_alive(const PhJobEngine *e, PhStr base)
{
    for (guint i = 0; i < e->alive->len; i++) {
        const PhStr *alive = g_ptr_array_index(e->alive, i);
        if (PhStr_Equal(*alive, base)) {
            return true;
        }
    }
    return PhStr_Equal(base, instance_base(e->options.instance));
}

/* True if a later run of the same instance is registered. */
static bool
renewer_replaced(const PhJobEngine *e, uint32_t renewer, PhStr base)
{
    for (uint32_t i = renewer + 1; i < PhJobState_RenewerCount(e->state);
         i++) {
        const PhJobRenewer *r = PhJobState_Renewer(e->state, i);
        if (r->registered && PhStr_Equal(instance_base(r->id), base)) {
            return true;
        }
    }
    return false;
}

/* Appends the ids of the live renewers, among which workers are shared. */
static void
renewers_list_live(const PhJobEngine *e, GArray *ids)
{
    for (uint32_t i = 0; i < PhJobState_RenewerCount(e->state); i++) {
        const PhJobRenewer *r = PhJobState_Renewer(e->state, i);
        PhStr base = instance_base(r->id);
        if (r->registered && instance_alive(e, base) &&
            !renewer_replaced(e, i, base)) {
            g_array_append_val(ids, r->id);
        }
    }
}

/* Rendezvous hash: the instance with the highest weight renews the leases of
 * the worker. */
static uint64_t
renewer_weight(PhStr worker, PhStr instance)
{
    return PhStr_Hash(worker, PhStr_Hash(instance, 0));
}

static bool
renewer_is_this(const PhJobEngine *e, const GArray *ids, PhStr worker)
{
    uint64_t own = renewer_weight(worker, e->options.instance);
    for (guint i = 0; i < ids->len; i++) {
        PhStr id = g_array_index(ids, PhStr, i);
        if (renewer_weight(worker, id) > own) {
            return false;
        }
    }
    return true;
}

/* Until membership is known, every instance renews the leases of every worker,
 * which is safe. */
void
PhJobEngine_AssignRenewals(PhJobEngine *e)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(PhStr));
    if (e->alive->len > 0) {
        renewers_list_live(e, ids);
    }
    for (guint i = 0; i < e->worker_views->len; i++) {
        PhWorkerView *v = PhJobEngine_WorkerView(e, i);
        bool assigned = renewer_is_this(e, ids, v->id);
        if (assigned && !v->assigned) {
            v->next_poll = e->now;
        }
        v->assigned = assigned;
    }
    g_array_free(ids, TRUE);
}

void
PhJobEngine_AddWorkerViews(PhJobEngine *e)
{
    if (e->worker_views->len == PhJobState_WorkerCount(e->state)) {
        return;
    }
    while (e->worker_views->len < PhJobState_WorkerCount(e->state)) {
        PhWorkerView *v = g_new0(PhWorkerView, 1);
        v->id =
            PhStr_Dup(PhJobState_Worker(e->state, e->worker_views->len)->id);
        v->unrenewed_since = PH_TIME_NEVER;
        v->next_poll = e->now;
        g_ptr_array_add(e->worker_views, v);
    }
    PhJobEngine_AssignRenewals(e);
}

void
PhJobEngine_RebuildWorkerViews(PhJobEngine *e)
{
    GPtrArray *old = e->worker_views;
    e->worker_views = g_ptr_array_new_with_free_func(PhWorkerView_Destroy);
    for (guint i = 0; i < old->len; i++) {
        const PhWorkerView *v = g_ptr_array_index(old, i);
        PhJobState_WorkerNumber(e->state, v->id);
    }
    PhJobEngine_AddWorkerViews(e);
    for (guint i = 0; i < old->len; i++) {
        PhWorkerView *v = g_ptr_array_index(old, i);
        uint32_t number = PhJobState_WorkerNumber(e->state, v->id);
        PhWorkerView *fresh = PhJobEngine_WorkerView(e, number);
        PhWorkerView swap = *fresh;
        *fresh = *v;
        *v = swap;
    }
    g_ptr_array_free(old, TRUE);
    for (uint32_t i = 0; i < PhJobState_RenewerCount(e->state); i++) {
        PhStr id = PhJobState_Renewer(e->state, i)->id;
        if (!g_hash_table_contains(e->last_seen, &id)) {
            g_hash_table_insert(e->last_seen, PhStr_KeyCreate(id),
                                g_memdup2(&e->now, sizeof(e->now)));
        }
    }
    PhJobEngine_AssignRenewals(e);
}

void
PhJobEngine_OnMembers(PhJobEngine *e, const PhStr *ids, size_t count)
{
    g_ptr_array_set_size(e->alive, 0);
    for (size_t i = 0; i < count; i++) {
        g_ptr_array_add(e->alive, PhStr_KeyCreate(ids[i]));
    }
    if (e->state != NULL) {
        PhJobEngine_AssignRenewals(e);
    }
}

void
PhJobEngine_OnWorkers(PhJobEngine *e, const PhListedWorker *workers,
                      size_t count)
{
    if (e->state == NULL) {
        return;
    }
    for (guint i = 0; i < e->worker_views->len; i++) {
        PhJobEngine_WorkerView(e, i)->listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        uint32_t number = PhJobState_WorkerNumber(e->state, workers[i].id);
        PhJobEngine_AddWorkerViews(e);
        PhWorkerView *v = PhJobEngine_WorkerView(e, number);
        v->listed = true;
        v->leaving = workers[i].leaving;
        v->size = workers[i].size;
        if (!PhStr_Equal(v->rack, workers[i].rack)) {
            PhStr_Clear(&v->rack);
            v->rack = PhStr_Dup(workers[i].rack);
        }
    }
    for (guint i = 0; i < e->worker_views->len; i++) {
        PhJobEngine_SetUsable(e, i);
    }
}

PhWorkerCommand
PhJobEngine_Command(PhJobEngine *e, const PhWorkerView *v,
                    PhWorkerCommandKind kind, PhTime valid_until)
{
    return (PhWorkerCommand){
        .kind = kind,
        .token = ++e->token,
        .worker = v->id,
        .boot = v->boot,
        .epoch = PhJobState_Epoch(e->state),
        .valid_until_ms =
            v->clock_known ? PhWorkerView_ClockAt(v, valid_until) : 0};
}

/* Polls a worker for its runs, and renews their leases if this is
 * permitted. */
void
PhJobEngine_PollWorker(PhJobEngine *e, uint32_t worker)
{
    PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    const PhJobWorker *w = PhJobState_Worker(e->state, worker);
    PhTime timeout = PH_WORKER_TIMEOUT_MS * PH_NS_PER_MS;
    PhWorkerCommand command =
        PhJobEngine_Command(e, v, PH_WORKER_RENEW, e->now + timeout);
    if (PhJobEngine_MayRenew(e) && w->retired == PH_OFFSET_NONE &&
        PhWorkerView_ClockIsFresh(v, e->now)) {
        command.as.renew.lease_until_ms =
            PhWorkerView_ClockAt(v, e->now + e->options.times.lease);
    }
    command.as.renew.digest = PhRuns_Digest(w->runs);
    command.as.renew.acked = v->acked;
    v->poll_token = command.token;
    v->polled_at = e->now;
    v->next_poll = e->now + (v->assigned ? e->options.times.renew
                                         : OWNER_POLL_MS * PH_NS_PER_MS);
    if (!v->clock_known && v->assigned) {
        v->next_poll = e->now + timeout;
    }
    PhJobEngine_Count(e, PH_COUNTER_TASKS_QUESTIONS, 1);
    PhJobEngine_Emit(
        e, (PhJobAction){.kind = PH_ACTION_COMMAND, .as.command = command});
}

/* Handles a poll without an answer: polls again soon, and reports a worker
 * with runs after several misses. */
static void
poll_missed(PhJobEngine *e, uint32_t worker)
{
    PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    v->poll_token = 0;
    v->missed_polls++;
    v->next_poll =
        MIN(v->next_poll, e->now + (PH_WORKER_TIMEOUT_MS * PH_NS_PER_MS));
    PhJobEngine_Count(e, PH_COUNTER_TASKS_QUESTIONS_UNANSWERED, 1);
    PhJobEngine_SetUsable(e, worker);
    bool busy = PhJobState_Worker(e->state, worker)->runs->len > 0;
    if (v->missed_polls >= MISSES_TO_SUSPECT && busy) {
        PhJobEngine_Report(e, worker);
    }
}

static bool
poll_due(const PhJobEngine *e, uint32_t worker)
{
    const PhWorkerView *v = PhJobEngine_WorkerView(e, worker);
    bool busy = PhJobState_Worker(e->state, worker)->runs->len > 0;
    bool wanted = e->owner || (v->assigned && busy);
    return wanted && (v->listed || busy) && v->poll_token == 0 &&
           e->now >= v->next_poll;
}

void
PhJobEngine_PollTick(PhJobEngine *e)
{
    uint32_t asked = 0;
    PhTime timeout = PH_WORKER_TIMEOUT_MS * PH_NS_PER_MS;
    for (guint i = 0; i < e->worker_views->len; i++) {
        PhWorkerView *v = PhJobEngine_WorkerView(e, i);
        if (v->poll_token != 0 && e->now > v->polled_at + timeout) {
            poll_missed(e, i);
        }
        if (asked < POLLS_PER_TICK && poll_due(e, i)) {
            PhJobEngine_PollWorker(e, i);
            asked++;
        }
    }
}
