#include "job_engine_private.h"

#include <string.h>
#include <xxhash.h>

enum {
    QUESTIONS_PER_TICK = 64,
    /* The owner polls every worker at this interval to read its clock. */
    OWNER_QUESTION_MS = 20000,
    MISSES_TO_SUSPECT = 3,
};

PhContact *
PhJobEngine_Contact(const PhJobEngine *e, uint32_t worker)
{
    return g_ptr_array_index(e->contacts, worker);
}

void
PhJobEngine_ContactDestroy(gpointer value)
{
    PhContact *c = value;
    PhStr_Clear(&c->id);
    PhStr_Clear(&c->rack);
    g_free(c);
}

int64_t
PhContact_ClockAt(const PhContact *c, PhTime at)
{
    return c->clock_ms + ((at - c->clock_at) / PH_NS_PER_MS);
}

bool
PhContact_ClockFresh(const PhContact *c, PhTime now)
{
    return c->known && now < c->clock_at + (PH_WORKER_CLOCK_MS * PH_NS_PER_MS);
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
sharers_list(const PhJobEngine *e, GArray *ids)
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

/* Rendezvous hash: the instance with the highest weight renews the worker. */
static uint64_t
share_weight(PhStr worker, PhStr instance)
{
    return PhStr_Hash(worker, PhStr_Hash(instance, 0));
}

static bool
share_mine(const PhJobEngine *e, const GArray *ids, PhStr worker)
{
    uint64_t own = share_weight(worker, e->options.instance);
    for (guint i = 0; i < ids->len; i++) {
        PhStr id = g_array_index(ids, PhStr, i);
        if (share_weight(worker, id) > own) {
            return false;
        }
    }
    return true;
}

/* Until membership is known, every instance renews every worker, which is
 * safe. */
void
PhJobEngine_Share(PhJobEngine *e)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(PhStr));
    if (e->alive->len > 0) {
        sharers_list(e, ids);
    }
    for (guint i = 0; i < e->contacts->len; i++) {
        PhContact *c = PhJobEngine_Contact(e, i);
        bool mine = share_mine(e, ids, c->id);
        if (mine && !c->mine) {
            c->next_question = e->now;
        }
        c->mine = mine;
    }
    g_array_free(ids, TRUE);
}

void
PhJobEngine_Contacts(PhJobEngine *e)
{
    if (e->contacts->len == PhJobState_WorkerCount(e->state)) {
        return;
    }
    while (e->contacts->len < PhJobState_WorkerCount(e->state)) {
        PhContact *c = g_new0(PhContact, 1);
        c->id = PhStr_Dup(PhJobState_Worker(e->state, e->contacts->len)->id);
        c->lapse_from = PH_TIME_NEVER;
        c->next_question = e->now;
        g_ptr_array_add(e->contacts, c);
    }
    PhJobEngine_Share(e);
}

void
PhJobEngine_Renumber(PhJobEngine *e)
{
    GPtrArray *old = e->contacts;
    e->contacts = g_ptr_array_new_with_free_func(PhJobEngine_ContactDestroy);
    for (guint i = 0; i < old->len; i++) {
        const PhContact *c = g_ptr_array_index(old, i);
        PhJobState_WorkerOf(e->state, c->id);
    }
    PhJobEngine_Contacts(e);
    for (guint i = 0; i < old->len; i++) {
        PhContact *c = g_ptr_array_index(old, i);
        uint32_t number = PhJobState_WorkerOf(e->state, c->id);
        PhContact *fresh = PhJobEngine_Contact(e, number);
        PhContact swap = *fresh;
        *fresh = *c;
        *c = swap;
    }
    g_ptr_array_free(old, TRUE);
    for (uint32_t i = 0; i < PhJobState_RenewerCount(e->state); i++) {
        PhStr id = PhJobState_Renewer(e->state, i)->id;
        if (!g_hash_table_contains(e->kept_at, &id)) {
            g_hash_table_insert(e->kept_at, PhStr_KeyCreate(id),
                                g_memdup2(&e->now, sizeof(e->now)));
        }
    }
    PhJobEngine_Share(e);
}

void
PhJobEngine_OnMembers(PhJobEngine *e, const PhStr *ids, size_t count)
{
    g_ptr_array_set_size(e->alive, 0);
    for (size_t i = 0; i < count; i++) {
        g_ptr_array_add(e->alive, PhStr_KeyCreate(ids[i]));
    }
    if (e->state != NULL) {
        PhJobEngine_Share(e);
    }
}

void
PhJobEngine_OnWorkers(PhJobEngine *e, const PhListedWorker *workers,
                      size_t count)
{
    if (e->state == NULL) {
        return;
    }
    for (guint i = 0; i < e->contacts->len; i++) {
        PhJobEngine_Contact(e, i)->listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        uint32_t number = PhJobState_WorkerOf(e->state, workers[i].id);
        PhJobEngine_Contacts(e);
        PhContact *c = PhJobEngine_Contact(e, number);
        c->listed = true;
        c->leaving = workers[i].leaving;
        c->size = workers[i].size;
        if (!PhStr_Equal(c->rack, workers[i].rack)) {
            PhStr_Clear(&c->rack);
            c->rack = PhStr_Dup(workers[i].rack);
        }
    }
    for (guint i = 0; i < e->contacts->len; i++) {
        PhJobEngine_SetUsable(e, i);
    }
}

PhWorkerCommand
PhJobEngine_Command(PhJobEngine *e, const PhContact *c,
                    PhWorkerCommandKind kind, PhTime valid_until)
{
    return (PhWorkerCommand){
        .kind = kind,
        .token = ++e->token,
        .worker = c->id,
        .boot = c->boot,
        .epoch = PhJobState_Epoch(e->state),
        .valid_until_ms = c->known ? PhContact_ClockAt(c, valid_until) : 0};
}

/* Polls a worker for its runs, and renews their leases if this is
 * permitted. */
void
PhJobEngine_Ask(PhJobEngine *e, uint32_t worker)
{
    PhContact *c = PhJobEngine_Contact(e, worker);
    const PhJobWorker *w = PhJobState_Worker(e->state, worker);
    PhTime timeout = PH_WORKER_TIMEOUT_MS * PH_NS_PER_MS;
    PhWorkerCommand command =
        PhJobEngine_Command(e, c, PH_WORKER_RENEW, e->now + timeout);
    if (PhJobEngine_MayRenew(e) && w->retired == PH_PLACE_NONE &&
        PhContact_ClockFresh(c, e->now)) {
        command.as.renew.lease_until_ms =
            PhContact_ClockAt(c, e->now + e->options.times.lease);
    }
    command.as.renew.digest = PhRuns_Digest(w->runs);
    command.as.renew.acked = c->acked;
    c->question = command.token;
    c->asked_at = e->now;
    c->next_question = e->now + (c->mine ? e->options.times.renew
                                         : OWNER_QUESTION_MS * PH_NS_PER_MS);
    if (!c->known && c->mine) {
        c->next_question = e->now + timeout;
    }
    PhJobEngine_Count(e, PH_COUNTER_TASKS_QUESTIONS, 1);
    PhJobEngine_Act(
        e, (PhJobAction){.kind = PH_ACTION_COMMAND, .as.command = command});
}

/* Handles a poll without an answer: polls again soon, and reports a worker
 * with runs after several misses. */
static void
question_missed(PhJobEngine *e, uint32_t worker)
{
    PhContact *c = PhJobEngine_Contact(e, worker);
    c->question = 0;
    c->misses++;
    c->next_question =
        MIN(c->next_question, e->now + (PH_WORKER_TIMEOUT_MS * PH_NS_PER_MS));
    PhJobEngine_Count(e, PH_COUNTER_TASKS_QUESTIONS_UNANSWERED, 1);
    PhJobEngine_SetUsable(e, worker);
    bool busy = PhJobState_Worker(e->state, worker)->runs->len > 0;
    if (c->misses >= MISSES_TO_SUSPECT && busy) {
        PhJobEngine_Report(e, worker);
    }
}

static bool
question_due(const PhJobEngine *e, uint32_t worker)
{
    const PhContact *c = PhJobEngine_Contact(e, worker);
    bool busy = PhJobState_Worker(e->state, worker)->runs->len > 0;
    bool wanted = e->owner || (c->mine && busy);
    return wanted && (c->listed || busy) && c->question == 0 &&
           e->now >= c->next_question;
}

void
PhJobEngine_QuestionsTick(PhJobEngine *e)
{
    uint32_t asked = 0;
    PhTime timeout = PH_WORKER_TIMEOUT_MS * PH_NS_PER_MS;
    for (guint i = 0; i < e->contacts->len; i++) {
        PhContact *c = PhJobEngine_Contact(e, i);
        if (c->question != 0 && e->now > c->asked_at + timeout) {
            question_missed(e, i);
        }
        if (asked < QUESTIONS_PER_TICK && question_due(e, i)) {
            PhJobEngine_Ask(e, i);
            asked++;
        }
    }
}
