#include "schedule_world_private.h"

#include "peridothill/codec/schedule_record.h"
#include "tests/table.h"

enum {
    TICK_MS = 5,
    APPEND_TIME_MS = 10,
    FAULT_INTERVAL_MS = 4000,
    FAULT_DURATION_MS = 3000,
    ROUND_INTERVAL_MS = 700, /* interval of repetitions */
    FAULT_FREE_MS = 30000,   /* time without faults at the end */
    STEPS = 2,
};

typedef enum PhEventTag {
    EVENT_ORDER, /* delivery of an order */
    EVENT_REPLY, /* delivery of its outcome */
    EVENT_DURABLE,
} PhEventTag;

typedef struct PhWorldEvent {
    PhEventTag tag;
    PhTime at;
    PhScheduler *owner;
    uint64_t fence;
    PhSchedAction action; /* strings are owned */
    PhSchedOutcome outcome;
    PhSchedHoldReply hold; /* rows are owned, names borrowed */
    int64_t clock_ms;
    uint64_t batch;
    int64_t born_ms; /* incarnation of the worker when the order was sent */
    bool replies;
} PhWorldEvent;

PhStr
PhWorld_Id(PhWorld *w, PhStr id)
{
    for (guint i = 0; i < w->ids->len; i++) {
        PhStr known = PhStr_FromC(g_ptr_array_index(w->ids, i));
        if (PhStr_Equal(known, id)) {
            return known;
        }
    }
    assert_true(false);
    return (PhStr){0};
}

bool
PhWorld_Chance(PhWorld *w, unsigned fault, double probability)
{
    return (w->options.faults & fault) != 0 &&
           PhRandom_Chance(w->random, probability);
}

static void
event_destroy(gpointer value)
{
    PhWorldEvent *e = value;
    PhStr_Clear(&e->action.worker);
    g_free(e->hold.runs);
    g_free(e->hold.ends);
    g_free(e);
}

/* Passes all worker entries to the owner. */
static void
send_worker_entries(PhWorld *w)
{
    for (guint i = 0; i < w->workers->len; i++) {
        const PhFakeWorker *f = g_ptr_array_index(w->workers, i);
        PhSchedWorkerEntry entry = {
            .id = PhStr_Dup(PhStr_FromC(f->id)),
            .born_ms = f->born_ms,
            .address = PhStr_Dup(PhStr_FromC(f->id)),
            .service = PhStr_Dup(PhStr_LITERAL("service")),
            .capacity = {.cpu_milli = PH_WORLD_CAPACITY_MILLI,
                         .mem_mb = 1024}};
        PhScheduler_SetWorker(w->owner, &entry, w->now);
    }
}

/* Creates the scheduler of a new owner from the durable records. */
static void
owner_create(PhWorld *w)
{
    w->owner = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    for (guint i = 0; i < w->log->len; i++) {
        const PhSchedEncoded *e = &g_array_index(w->log, PhSchedEncoded, i);
        PhSchedRecord record;
        PhResult r = PhSchedRecord_Decode(e->key, e->value, &record);
        assert_true(PhResult_IsOk(&r));
        assert_int_equal(PhScheduler_Apply(w->owner, &record, w->now),
                         PH_STATUS_OK);
    }
    send_worker_entries(w);
    PhScheduler_SetFence(w->owner, ++w->fence, w->now);
    w->pending_batch = 0;
}

static void
job_add(PhWorld *w)
{
    bool long_running = w->options.long_running;
    char *id = g_strdup_printf("%016x", ++w->added);
    g_ptr_array_add(w->ids, id);
    PhSchedSpec spec = {.id = PhStr_Dup(PhStr_FromC(id)),
                        .step_count = long_running ? 1 : STEPS,
                        .payload = PhStr_Dup(PhStr_LITERAL("payload"))};
    spec.terms.queue = PhStr_Dup(PhStr_LITERAL("queue"));
    spec.terms.service = PhStr_Dup(PhStr_LITERAL("service"));
    spec.terms.stretch = 2;
    spec.repetitions = w->options.rounds;
    spec.first_due_ms = w->now / PH_NS_PER_MS + ROUND_INTERVAL_MS;
    spec.interval_ms = ROUND_INTERVAL_MS;
    spec.steps = g_new0(PhSchedStep, STEPS);
    for (uint32_t i = 0; i < spec.step_count; i++) {
        spec.steps[i].count = PH_WORLD_TASKS;
        spec.steps[i].resources.cpu_milli = PH_WORLD_TASK_MILLI;
        spec.steps[i].estimate = PH_NS_PER_S;
        spec.steps[i].long_running = long_running;
        spec.steps[i].gang = w->options.gang;
        if (i > 0) {
            spec.steps[i].after = g_new0(uint32_t, 1);
            spec.steps[i].after[0] = i - 1;
            spec.steps[i].after_count = 1;
        }
    }
    PhSchedEncoded e = PhSchedRecord_EncodeJob(&spec);
    g_array_append_val(w->log, e);
    PhSchedModel_AddJob(PhScheduler_Model(w->owner), &spec, w->now);
}

PhWorld *
PhWorld_Create(const PhWorldOptions *options)
{
    PhWorld *w = g_new0(PhWorld, 1);
    w->options = *options;
    w->random = PhRandom_Create(options->seed);
    w->now = PH_NS_PER_S;
    w->workers = g_ptr_array_new_with_free_func(PhFakeWorker_Destroy);
    w->events = g_ptr_array_new_with_free_func(event_destroy);
    w->ids = g_ptr_array_new_with_free_func(g_free);
    w->log = g_array_new(FALSE, TRUE, sizeof(PhSchedEncoded));
    w->started = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    w->used = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    w->next_fault = w->now + FAULT_INTERVAL_MS * PH_NS_PER_MS;
    for (unsigned i = 0; i < options->workers; i++) {
        PhFakeWorker_Add(w, i);
    }
    owner_create(w);
    return w;
}

void
PhWorld_Destroy(PhWorld *w)
{
    PhScheduler_Destroy(w->owner);
    g_ptr_array_free(w->events, TRUE);
    g_ptr_array_free(w->workers, TRUE);
    for (guint i = 0; i < w->log->len; i++) {
        PhSchedEncoded_Clear(&g_array_index(w->log, PhSchedEncoded, i));
    }
    g_array_free(w->log, TRUE);
    g_ptr_array_free(w->ids, TRUE);
    g_hash_table_destroy(w->started);
    g_hash_table_destroy(w->used);
    PhRandom_Destroy(w->random);
    g_free(w);
}

static PhFakeWorker *
worker_find(PhWorld *w, PhStr id)
{
    for (guint i = 0; i < w->workers->len; i++) {
        PhFakeWorker *f = g_ptr_array_index(w->workers, i);
        if (PhStr_Equal(PhStr_FromC(f->id), id)) {
            return f;
        }
    }
    assert_true(false);
    return NULL;
}

/* Executes an order at its worker. */
static void
order_deliver(PhWorld *w, PhWorldEvent *e)
{
    PhFakeWorker *f = worker_find(w, e->action.worker);
    e->outcome = PH_SCHED_OUTCOME_DONE;
    if (e->born_ms != f->born_ms) {
        e->outcome = PH_SCHED_OUTCOME_UNKNOWN;
    }
    else if (e->fence < f->fence) {
        e->outcome = PH_SCHED_OUTCOME_FENCED;
    }
    else {
        f->fence = e->fence;
        switch (e->action.tag) {
        case PH_SCHED_ACTION_HOLD:
            PhFakeWorker_Hold(w, f, &e->action, &e->hold);
            break;
        case PH_SCHED_ACTION_START:
            e->outcome = PhFakeWorker_Start(w, f, &e->action);
            break;
        case PH_SCHED_ACTION_STOP:
            PhFakeWorker_Stop(w, f, &e->action.as.run);
            break;
        case PH_SCHED_ACTION_PACE:
            break;
        }
    }
    e->clock_ms = PhFakeWorker_Clock(w, f);
    e->hold.outcome = e->outcome;
    if (e->replies && f->unreachable_until > w->now) {
        e->outcome = PH_SCHED_OUTCOME_UNKNOWN;
        e->hold.outcome = PH_SCHED_OUTCOME_UNKNOWN;
    }
}

/* Passes an outcome to the owner, unless the owner has changed since. */
static void
reply_deliver(PhWorld *w, PhWorldEvent *e)
{
    if (e->owner != w->owner || e->fence != w->fence) {
        return;
    }
    const PhSchedRunOrder *run = &e->action.as.run;
    bool is_owner = true;
    switch (e->action.tag) {
    case PH_SCHED_ACTION_HOLD:
        is_owner = PhScheduler_OnHold(w->owner, e->action.worker,
                                      e->action.born_ms, &e->hold, w->now);
        break;
    case PH_SCHED_ACTION_START:
        is_owner = PhScheduler_OnStart(w->owner, &run->task, run->run,
                                       e->outcome, e->clock_ms, w->now);
        break;
    case PH_SCHED_ACTION_STOP:
        is_owner = PhScheduler_OnStop(w->owner, &run->task, run->run,
                                      e->outcome, e->clock_ms, w->now);
        break;
    case PH_SCHED_ACTION_PACE:
        break;
    }
    assert_true(is_owner);
}

/* Sends an order with a random delay; its reply may be lost. */
static void
order_send(PhWorld *w, const PhSchedAction *action)
{
    PhWorldEvent *e = g_new0(PhWorldEvent, 1);
    PhFakeWorker *f = worker_find(w, action->worker);
    e->tag = EVENT_ORDER;
    e->owner = w->owner;
    e->fence = w->fence;
    e->born_ms = f->born_ms;
    e->action = *action;
    e->action.worker = PhStr_Dup(action->worker);
    if (action->tag != PH_SCHED_ACTION_HOLD) {
        e->action.as.run.task.job = PhWorld_Id(w, action->as.run.task.job);
    }
    e->replies = !PhWorld_Chance(w, FAULT_REPLIES_LOST, 0.1);
    e->at = w->now + (PhTime)PhRandom_Below(w->random, 10) * PH_NS_PER_MS;
    if (PhWorld_Chance(w, FAULT_ORDERS_LATE, 0.05)) {
        e->at +=
            (PhTime)(2000 + PhRandom_Below(w->random, 4000)) * PH_NS_PER_MS;
        e->replies = false;
    }
    if (f->unreachable_until > w->now) {
        e->replies = false;
        e->at = f->unreachable_until;
    }
    g_ptr_array_add(w->events, e);
    if (!e->replies) {
        PhWorldEvent *lost = g_new0(PhWorldEvent, 1);
        *lost = *e;
        lost->tag = EVENT_REPLY;
        lost->action.worker = PhStr_Dup(action->worker);
        lost->at = w->now + PH_NS_PER_S;
        lost->outcome = PH_SCHED_OUTCOME_UNKNOWN;
        lost->hold.outcome = PH_SCHED_OUTCOME_UNKNOWN;
        g_ptr_array_add(w->events, lost);
    }
}

/* Applies an owner's record to its own model, as a read that was in flight at
 * the takeover may do.  It must not change anything. */
static void
reapply_record(PhWorld *w, const PhSchedEncoded *encoded)
{
    PhSchedRecord record;
    PhResult r = PhSchedRecord_Decode(encoded->key, encoded->value, &record);
    assert_true(PhResult_IsOk(&r));
    PhScheduler_Apply(w->owner, &record, w->now);
}

/* Records the starts that become durable with a record. */
static void
collect_starts(PhWorld *w, const PhSchedEncoded *encoded)
{
    PhSchedRecord record;
    PhResult r = PhSchedRecord_Decode(encoded->key, encoded->value, &record);
    assert_true(PhResult_IsOk(&r));
    if (record.tag == PH_SCHED_RECORD_STAGE) {
        for (uint32_t i = 0; i < record.as.stage.task_count; i++) {
            g_hash_table_add(
                w->started,
                g_strdup_printf("%.*s.%u.%u.%u/%u", PhStr_ARG(record.id),
                                record.as.stage.round, record.as.stage.step, i,
                                record.as.stage.tasks[i].run));
        }
    }
    PhSchedRecord_Clear(&record);
}

/* Appends the owner's changes to the log.  An outage delays the append; if the
 * owner is replaced meanwhile, it is fenced off. */
static void
records_send(PhWorld *w)
{
    if (w->pending_batch != 0 || w->outage_until > w->now) {
        return;
    }
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    uint64_t batch = PhScheduler_TakeBatch(w->owner, records);
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord *record = &g_array_index(records, PhSchedRecord, i);
        PhSchedEncoded e = PhSchedRecord_Encode(record);
        collect_starts(w, &e);
        reapply_record(w, &e);
        g_array_append_val(w->log, e);
        PhSchedRecord_Clear(record);
    }
    g_array_free(records, TRUE);
    if (batch != 0) {
        PhWorldEvent *e = g_new0(PhWorldEvent, 1);
        e->tag = EVENT_DURABLE;
        e->owner = w->owner;
        e->fence = w->fence;
        e->batch = batch;
        e->at = w->now + APPEND_TIME_MS * PH_NS_PER_MS;
        w->pending_batch = batch;
        g_ptr_array_add(w->events, e);
    }
}

/* Returns true if the event is finished. */
static bool
event_apply(PhWorld *w, PhWorldEvent *e)
{
    switch (e->tag) {
    case EVENT_ORDER:
        order_deliver(w, e);
        e->tag = EVENT_REPLY;
        e->at = w->now + (PhTime)PhRandom_Below(w->random, 10) * PH_NS_PER_MS;
        return !e->replies;
    case EVENT_REPLY:
        reply_deliver(w, e);
        return true;
    case EVENT_DURABLE:
        if (e->owner == w->owner && e->fence == w->fence) {
            w->pending_batch = 0;
            PhScheduler_OnDurable(w->owner, e->batch);
        }
        return true;
    }
    return true;
}

static void
events_apply(PhWorld *w)
{
    for (guint i = 0; i < w->events->len;) {
        PhWorldEvent *e = g_ptr_array_index(w->events, i);
        if (e->at > w->now || !event_apply(w, e)) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(w->events, i);
    }
}

/* Applies random faults of the enabled kinds. */
static void
inject_faults(PhWorld *w)
{
    PhTime duration = FAULT_DURATION_MS * PH_NS_PER_MS;
    PhFakeWorker *f = g_ptr_array_index(
        w->workers, PhRandom_Below(w->random, w->workers->len));
    w->next_fault = w->now + FAULT_INTERVAL_MS * PH_NS_PER_MS;
    if (PhWorld_Chance(w, FAULT_UNREACHABLE, 0.5)) {
        f->unreachable_until = w->now + duration;
    }
    if (PhWorld_Chance(w, FAULT_RESTARTS, 0.5)) {
        PhFakeWorker_Reset(w, f);
        send_worker_entries(w);
    }
    if (PhWorld_Chance(w, FAULT_STORE_OUTAGE, 0.5)) {
        w->outage_until = w->now + duration;
    }
    if (PhWorld_Chance(w, FAULT_TAKEOVERS, 0.5)) {
        w->takeovers++;
        PhScheduler_Destroy(w->owner);
        owner_create(w);
    }
}

/* Cancels long-running jobs at random, so that they end. */
static void
cancel_random(PhWorld *w)
{
    if (!w->options.long_running || !PhRandom_Chance(w->random, 0.002)) {
        return;
    }
    GPtrArray *active = PhScheduler_Model(w->owner)->active;
    if (active->len > 0) {
        PhSchedJob *job = g_ptr_array_index(active, 0);
        PhSchedRecord cancel = {.tag = PH_SCHED_RECORD_CANCEL,
                                .id = job->spec.id};
        PhSchedEncoded e = PhSchedRecord_Encode(&cancel);
        g_array_append_val(w->log, e);
        job->cancel = true;
    }
}

static void
world_tick(PhWorld *w, bool faults)
{
    PhSchedAction action;
    w->now += TICK_MS * PH_NS_PER_MS;
    if (!faults) {
        w->options.faults = 0;
    }
    if (w->now >= w->next_fault) {
        inject_faults(w);
    }
    w->faulty |= w->options.faults != 0;
    if (w->options.gang) {
        PhFakeWorker_TickGangs(w);
    }
    for (guint i = 0; i < w->workers->len; i++) {
        PhFakeWorker_Tick(w, g_ptr_array_index(w->workers, i));
    }
    events_apply(w);
    if (w->added < w->options.jobs && PhRandom_Chance(w->random, 0.05)) {
        job_add(w);
    }
    cancel_random(w);
    PhScheduler_Plan(w->owner, w->now, w->now / PH_NS_PER_MS);
    records_send(w);
    while (PhScheduler_NextAction(w->owner, w->now, &action)) {
        order_send(w, &action);
    }
}

bool
PhWorld_Run(PhWorld *w, PhTime limit)
{
    PhTime end = w->now + limit;
    while (w->now < end) {
        world_tick(w, w->now < end - FAULT_FREE_MS * PH_NS_PER_MS);
        if (w->added == w->options.jobs &&
            PhScheduler_Model(w->owner)->active->len == 0) {
            return true;
        }
    }
    return false;
}

unsigned
PhWorld_Starts(const PhWorld *w)
{
    return w->starts;
}

unsigned
PhWorld_Takeovers(const PhWorld *w)
{
    return w->takeovers;
}
