#include "schedule_sim_private.h"

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

#define CORDONED PhStr_LITERAL("bacolod")
#define OPEN PhStr_LITERAL("silay")

typedef enum PhEventTag {
    EVENT_ORDER, /* delivery of an order */
    EVENT_REPLY, /* delivery of its outcome */
    EVENT_DURABLE,
} PhEventTag;

typedef struct PhSchedSimEvent {
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
} PhSchedSimEvent;

PhStr
PhSchedSim_Id(PhSchedSim *sim, PhStr id)
{
    for (guint i = 0; i < sim->ids->len; i++) {
        PhStr known = PhStr_FromC(g_ptr_array_index(sim->ids, i));
        if (PhStr_Equal(known, id)) {
            return known;
        }
    }
    assert_true(false);
    return (PhStr){0};
}

bool
PhSchedSim_Chance(PhSchedSim *sim, unsigned fault, double probability)
{
    return (sim->options.faults & fault) != 0 &&
           PhRandom_Chance(sim->random, probability);
}

static void
event_destroy(gpointer value)
{
    PhSchedSimEvent *e = value;
    PhStr_Clear(&e->action.worker);
    g_free(e->hold.runs);
    g_free(e->hold.ends);
    g_free(e);
}

static PhStr
data_centre_of(const PhSchedSim *sim, PhStr worker)
{
    for (guint i = 0; i < sim->workers->len; i += 2) {
        const PhSchedSimWorker *w = g_ptr_array_index(sim->workers, i);
        if (PhStr_Equal(PhStr_FromC(w->id), worker)) {
            return CORDONED;
        }
    }
    return OPEN;
}

/* Passes all worker entries to the owner. */
static void
send_worker_entries(PhSchedSim *sim)
{
    for (guint i = 0; i < sim->workers->len; i++) {
        const PhSchedSimWorker *w = g_ptr_array_index(sim->workers, i);
        PhSchedWorkerEntry entry = {
            .id = PhStr_Dup(PhStr_FromC(w->id)),
            .born_ms = w->born_ms,
            .address = PhStr_Dup(PhStr_FromC(w->id)),
            .data_centre = PhStr_Dup(data_centre_of(sim, PhStr_FromC(w->id))),
            .service = PhStr_Dup(PhStr_LITERAL("service")),
            .capacity = {.cpu_milli = PH_SCHED_SIM_CAPACITY_MILLI,
                         .mem_mb = 1024}};
        PhScheduler_SetWorker(sim->owner, &entry, sim->now);
    }
}

/* Creates the scheduler of a new owner from the durable records. */
static void
owner_create(PhSchedSim *sim)
{
    sim->owner = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    for (guint i = 0; i < sim->log->len; i++) {
        const PhSchedEncoded *e = &g_array_index(sim->log, PhSchedEncoded, i);
        PhSchedRecord record;
        PhResult r = PhSchedRecord_Decode(e->key, e->value, &record);
        assert_true(PhResult_IsOk(&r));
        assert_int_equal(PhScheduler_Apply(sim->owner, &record, sim->now),
                         PH_STATUS_OK);
    }
    PhScheduler_SetCordon(sim->owner, CORDONED, sim->cordoned, sim->now);
    send_worker_entries(sim);
    PhScheduler_SetFence(sim->owner, ++sim->fence, sim->now);
    sim->pending_batch = 0;
}

static void
job_add(PhSchedSim *sim)
{
    bool long_running = sim->options.long_running;
    char *id = g_strdup_printf("%016x", ++sim->added);
    g_ptr_array_add(sim->ids, id);
    PhSchedSpec spec = {.id = PhStr_Dup(PhStr_FromC(id)),
                        .step_count = long_running ? 1 : STEPS,
                        .payload = PhStr_Dup(PhStr_LITERAL("payload"))};
    spec.terms.queue = PhStr_Dup(PhStr_LITERAL("queue"));
    spec.terms.service = PhStr_Dup(PhStr_LITERAL("service"));
    spec.terms.stretch = 2;
    spec.repetitions = sim->options.rounds;
    spec.first_due_ms = sim->now / PH_NS_PER_MS + ROUND_INTERVAL_MS;
    spec.interval_ms = ROUND_INTERVAL_MS;
    spec.steps = g_new0(PhSchedStep, STEPS);
    for (uint32_t i = 0; i < spec.step_count; i++) {
        spec.steps[i].count = PH_SCHED_SIM_TASKS;
        spec.steps[i].resources.cpu_milli = PH_SCHED_SIM_TASK_MILLI;
        spec.steps[i].estimate = PH_NS_PER_S;
        spec.steps[i].long_running = long_running;
        spec.steps[i].gang = sim->options.gang;
        if (i > 0) {
            spec.steps[i].after = g_new0(uint32_t, 1);
            spec.steps[i].after[0] = i - 1;
            spec.steps[i].after_count = 1;
        }
    }
    PhSchedEncoded e = PhSchedRecord_EncodeJob(&spec);
    g_array_append_val(sim->log, e);
    PhSchedModel_AddJob(PhScheduler_Model(sim->owner), &spec, sim->now);
}

PhSchedSim *
PhSchedSim_Create(const PhSchedSimOptions *options)
{
    PhSchedSim *sim = g_new0(PhSchedSim, 1);
    sim->options = *options;
    sim->random = PhRandom_Create(options->seed);
    sim->now = PH_NS_PER_S;
    sim->workers = g_ptr_array_new_with_free_func(PhSchedSimWorker_Destroy);
    sim->events = g_ptr_array_new_with_free_func(event_destroy);
    sim->ids = g_ptr_array_new_with_free_func(g_free);
    sim->log = g_array_new(FALSE, TRUE, sizeof(PhSchedEncoded));
    sim->started =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->used = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->next_fault = sim->now + FAULT_INTERVAL_MS * PH_NS_PER_MS;
    for (unsigned i = 0; i < options->workers; i++) {
        PhSchedSimWorker_Add(sim, i);
    }
    owner_create(sim);
    return sim;
}

void
PhSchedSim_Destroy(PhSchedSim *sim)
{
    PhScheduler_Destroy(sim->owner);
    g_ptr_array_free(sim->events, TRUE);
    g_ptr_array_free(sim->workers, TRUE);
    for (guint i = 0; i < sim->log->len; i++) {
        PhSchedEncoded_Clear(&g_array_index(sim->log, PhSchedEncoded, i));
    }
    g_array_free(sim->log, TRUE);
    g_ptr_array_free(sim->ids, TRUE);
    g_hash_table_destroy(sim->started);
    g_hash_table_destroy(sim->used);
    PhRandom_Destroy(sim->random);
    g_free(sim);
}

static PhSchedSimWorker *
worker_find(PhSchedSim *sim, PhStr id)
{
    for (guint i = 0; i < sim->workers->len; i++) {
        PhSchedSimWorker *w = g_ptr_array_index(sim->workers, i);
        if (PhStr_Equal(PhStr_FromC(w->id), id)) {
            return w;
        }
    }
    assert_true(false);
    return NULL;
}

/* Executes an order at its worker. */
static void
order_deliver(PhSchedSim *sim, PhSchedSimEvent *e)
{
    PhSchedSimWorker *w = worker_find(sim, e->action.worker);
    e->outcome = PH_SCHED_OUTCOME_DONE;
    if (e->born_ms != w->born_ms) {
        e->outcome = PH_SCHED_OUTCOME_UNKNOWN;
    }
    else if (e->fence < w->fence) {
        e->outcome = PH_SCHED_OUTCOME_FENCED;
    }
    else {
        w->fence = e->fence;
        switch (e->action.tag) {
        case PH_SCHED_ACTION_HOLD:
            PhSchedSimWorker_Hold(sim, w, &e->action, &e->hold);
            break;
        case PH_SCHED_ACTION_START:
            e->outcome = PhSchedSimWorker_Start(sim, w, &e->action);
            break;
        case PH_SCHED_ACTION_STOP:
            PhSchedSimWorker_Stop(sim, w, &e->action.as.run);
            break;
        case PH_SCHED_ACTION_PACE:
            break;
        }
    }
    e->clock_ms = PhSchedSimWorker_Clock(sim, w);
    e->hold.outcome = e->outcome;
    if (e->replies && w->unreachable_until > sim->now) {
        e->outcome = PH_SCHED_OUTCOME_UNKNOWN;
        e->hold.outcome = PH_SCHED_OUTCOME_UNKNOWN;
    }
}

/* Passes an outcome to the owner, unless the owner has changed since. */
static void
reply_deliver(PhSchedSim *sim, PhSchedSimEvent *e)
{
    if (e->owner != sim->owner || e->fence != sim->fence) {
        return;
    }
    const PhSchedRunOrder *order = &e->action.as.run;
    PhSchedRunReply run = {.task = order->task,
                           .run = order->run,
                           .born_ms = e->action.born_ms,
                           .outcome = e->outcome,
                           .clock_ms = e->clock_ms};
    bool is_owner = true;
    switch (e->action.tag) {
    case PH_SCHED_ACTION_HOLD:
        is_owner = PhScheduler_OnHold(sim->owner, e->action.worker,
                                      e->action.born_ms, &e->hold, sim->now);
        break;
    case PH_SCHED_ACTION_START:
        is_owner = PhScheduler_OnStart(sim->owner, &run, sim->now);
        break;
    case PH_SCHED_ACTION_STOP:
        is_owner = PhScheduler_OnStop(sim->owner, &run, sim->now);
        break;
    case PH_SCHED_ACTION_PACE:
        break;
    }
    assert_true(is_owner);
}

/* Sends an order with a random delay; its reply may be lost. */
static void
order_send(PhSchedSim *sim, const PhSchedAction *action)
{
    assert_false(action->tag == PH_SCHED_ACTION_START && sim->cordoned &&
                 PhStr_Equal(data_centre_of(sim, action->worker), CORDONED));
    PhSchedSimEvent *e = g_new0(PhSchedSimEvent, 1);
    PhSchedSimWorker *w = worker_find(sim, action->worker);
    e->tag = EVENT_ORDER;
    e->owner = sim->owner;
    e->fence = sim->fence;
    e->born_ms = w->born_ms;
    e->action = *action;
    e->action.worker = PhStr_Dup(action->worker);
    if (action->tag != PH_SCHED_ACTION_HOLD) {
        e->action.as.run.task.job =
            PhSchedSim_Id(sim, action->as.run.task.job);
    }
    e->replies = !PhSchedSim_Chance(sim, FAULT_REPLIES_LOST, 0.1);
    e->at = sim->now + (PhTime)PhRandom_Below(sim->random, 10) * PH_NS_PER_MS;
    if (PhSchedSim_Chance(sim, FAULT_ORDERS_LATE, 0.05)) {
        e->at +=
            (PhTime)(2000 + PhRandom_Below(sim->random, 4000)) * PH_NS_PER_MS;
        e->replies = false;
    }
    if (w->unreachable_until > sim->now) {
        e->replies = false;
        e->at = w->unreachable_until;
    }
    g_ptr_array_add(sim->events, e);
    if (!e->replies) {
        PhSchedSimEvent *lost = g_new0(PhSchedSimEvent, 1);
        *lost = *e;
        lost->tag = EVENT_REPLY;
        lost->action.worker = PhStr_Dup(action->worker);
        lost->at = sim->now + PH_NS_PER_S;
        lost->outcome = PH_SCHED_OUTCOME_UNKNOWN;
        lost->hold.outcome = PH_SCHED_OUTCOME_UNKNOWN;
        g_ptr_array_add(sim->events, lost);
    }
}

/* Applies an owner's record to its own model, as a read that was in flight at
 * the takeover may do.  It must not change anything. */
static void
reapply_record(PhSchedSim *sim, const PhSchedEncoded *encoded)
{
    PhSchedRecord record;
    PhResult r = PhSchedRecord_Decode(encoded->key, encoded->value, &record);
    assert_true(PhResult_IsOk(&r));
    PhScheduler_Apply(sim->owner, &record, sim->now);
}

/* Records the starts that become durable with a record. */
static void
collect_starts(PhSchedSim *sim, const PhSchedEncoded *encoded)
{
    PhSchedRecord record;
    PhResult r = PhSchedRecord_Decode(encoded->key, encoded->value, &record);
    assert_true(PhResult_IsOk(&r));
    if (record.tag == PH_SCHED_RECORD_STAGE) {
        for (uint32_t i = 0; i < record.as.stage.task_count; i++) {
            g_hash_table_add(
                sim->started,
                g_strdup_printf("%.*s.%u.%u.%u/%u", PhStr_ARG(record.id),
                                record.as.stage.round, record.as.stage.step,
                                record.as.stage.first + i,
                                record.as.stage.tasks[i].run));
        }
    }
    PhSchedRecord_Clear(&record);
}

/* Appends the owner's changes to the log.  An outage delays the append; if the
 * owner is replaced meanwhile, it is fenced off. */
static void
records_send(PhSchedSim *sim)
{
    if (sim->pending_batch != 0 || sim->outage_until > sim->now) {
        return;
    }
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    uint64_t batch = PhScheduler_TakeBatch(sim->owner, records);
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord *record = &g_array_index(records, PhSchedRecord, i);
        PhSchedEncoded e = PhSchedRecord_Encode(record);
        collect_starts(sim, &e);
        reapply_record(sim, &e);
        g_array_append_val(sim->log, e);
        PhSchedRecord_Clear(record);
    }
    g_array_free(records, TRUE);
    if (batch != 0) {
        PhSchedSimEvent *e = g_new0(PhSchedSimEvent, 1);
        e->tag = EVENT_DURABLE;
        e->owner = sim->owner;
        e->fence = sim->fence;
        e->batch = batch;
        e->at = sim->now + APPEND_TIME_MS * PH_NS_PER_MS;
        sim->pending_batch = batch;
        g_ptr_array_add(sim->events, e);
    }
}

/* Returns true if the event is finished. */
static bool
event_apply(PhSchedSim *sim, PhSchedSimEvent *e)
{
    switch (e->tag) {
    case EVENT_ORDER:
        order_deliver(sim, e);
        e->tag = EVENT_REPLY;
        e->at =
            sim->now + (PhTime)PhRandom_Below(sim->random, 10) * PH_NS_PER_MS;
        return !e->replies;
    case EVENT_REPLY:
        reply_deliver(sim, e);
        return true;
    case EVENT_DURABLE:
        if (e->owner == sim->owner && e->fence == sim->fence) {
            sim->pending_batch = 0;
            PhScheduler_OnDurable(sim->owner, e->batch);
        }
        return true;
    }
    return true;
}

static void
events_apply(PhSchedSim *sim)
{
    for (guint i = 0; i < sim->events->len;) {
        PhSchedSimEvent *e = g_ptr_array_index(sim->events, i);
        if (e->at > sim->now || !event_apply(sim, e)) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(sim->events, i);
    }
}

/* Applies random faults of the enabled kinds. */
static void
inject_faults(PhSchedSim *sim)
{
    PhTime duration = FAULT_DURATION_MS * PH_NS_PER_MS;
    PhSchedSimWorker *w = g_ptr_array_index(
        sim->workers, PhRandom_Below(sim->random, sim->workers->len));
    sim->next_fault = sim->now + FAULT_INTERVAL_MS * PH_NS_PER_MS;
    if (PhSchedSim_Chance(sim, FAULT_UNREACHABLE, 0.5)) {
        w->unreachable_until = sim->now + duration;
    }
    if (PhSchedSim_Chance(sim, FAULT_RESTARTS, 0.5)) {
        PhSchedSimWorker_Reset(sim, w);
        send_worker_entries(sim);
    }
    if (PhSchedSim_Chance(sim, FAULT_STORE_OUTAGE, 0.5)) {
        sim->outage_until = sim->now + duration;
    }
    bool cordoned = PhSchedSim_Chance(sim, FAULT_CORDONS, 0.5);
    if (cordoned != sim->cordoned) {
        sim->cordoned = cordoned;
        PhScheduler_SetCordon(sim->owner, CORDONED, cordoned, sim->now);
    }
    if (PhSchedSim_Chance(sim, FAULT_TAKEOVERS, 0.5)) {
        sim->takeovers++;
        PhScheduler_Destroy(sim->owner);
        owner_create(sim);
    }
}

/* Cancels long-running jobs at random, so that they end. */
static void
cancel_random(PhSchedSim *sim)
{
    if (!sim->options.long_running || !PhRandom_Chance(sim->random, 0.002)) {
        return;
    }
    GPtrArray *active = PhScheduler_Model(sim->owner)->active;
    if (active->len > 0) {
        PhSchedJob *job = g_ptr_array_index(active, 0);
        PhSchedRecord cancel = {.tag = PH_SCHED_RECORD_CANCEL,
                                .id = job->spec.id};
        PhSchedEncoded e = PhSchedRecord_Encode(&cancel);
        g_array_append_val(sim->log, e);
        job->cancel = true;
    }
}

static void
sim_tick(PhSchedSim *sim, bool faults)
{
    PhSchedAction action;
    sim->now += TICK_MS * PH_NS_PER_MS;
    if (!faults) {
        sim->options.faults = 0;
    }
    if (sim->now >= sim->next_fault) {
        inject_faults(sim);
    }
    sim->faulty |= sim->options.faults != 0;
    if (sim->options.gang) {
        PhSchedSimWorker_TickGangs(sim);
    }
    for (guint i = 0; i < sim->workers->len; i++) {
        PhSchedSimWorker_Tick(sim, g_ptr_array_index(sim->workers, i));
    }
    events_apply(sim);
    if (sim->added < sim->options.jobs && PhRandom_Chance(sim->random, 0.05)) {
        job_add(sim);
    }
    cancel_random(sim);
    PhScheduler_Plan(sim->owner, sim->now, sim->now / PH_NS_PER_MS);
    records_send(sim);
    while (PhScheduler_NextAction(sim->owner, sim->now, &action)) {
        order_send(sim, &action);
    }
}

bool
PhSchedSim_Run(PhSchedSim *sim, PhTime limit)
{
    PhTime end = sim->now + limit;
    while (sim->now < end) {
        sim_tick(sim, sim->now < end - FAULT_FREE_MS * PH_NS_PER_MS);
        if (sim->added == sim->options.jobs &&
            PhScheduler_Model(sim->owner)->active->len == 0) {
            return true;
        }
    }
    return false;
}

unsigned
PhSchedSim_Starts(const PhSchedSim *sim)
{
    return sim->starts;
}

unsigned
PhSchedSim_Takeovers(const PhSchedSim *sim)
{
    return sim->takeovers;
}
