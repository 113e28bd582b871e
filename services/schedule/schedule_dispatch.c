/* Starts that another instance (a dispatcher) sends for the owner.  The owner
 * decides and records as before; a dispatcher only relays, and keeps nothing
 * but specifications of jobs.
 *
 * A dispatcher that stood still must not send what has become old meanwhile.
 * Clocks are not shared, so the owner names the newest hello that it has of
 * the dispatcher: a start that names it was sent later than that hello. */
#include "schedule_task.h"

/* A start without an outcome by then has an unknown one: the time-out of an
 * order, and the way there and back. */
static const PhTime RELAY_TIMEOUT = 1600 * PH_NS_PER_MS;
/* An order of a dispatcher without an answer by then has an unknown outcome.
 */
static const PhTime RELAYED_ORDER_TIMEOUT = 400 * PH_NS_PER_MS;
static const PhTime RELAY_AGE_MAX = PH_RELAY_AGE_MS * PH_NS_PER_MS;
/* Outcomes that come within this time share a message. */
static const PhTime OUTCOMES_DELAY = 5 * PH_NS_PER_MS;
static const PhTime LASTING_INTERVAL = 100 * PH_NS_PER_MS;
enum {
    BATCH_BYTES_MAX = 40 * 1024, /* fits into a frame of the peer protocol */
    ROW_BYTES = 160,             /* of an order without its specification */
    HELLOS = 16,                 /* whose times are remembered */
    PAYLOADS_MAX = 256,          /* of each generation */
    LASTING_STARTS_MAX = 4,      /* sent by the owner in LASTING_INTERVAL */
};

/* A start that a dispatcher was given; as owner. */
typedef struct PhRelayedStart {
    uint64_t number;
    PhStr instance;
    PhTime sent_at;
    PhOrder order; /* owned */
} PhRelayedStart;

/* Rows for one instance that are not sent yet: starts for a dispatcher, or
 * outcomes for an owner. */
typedef struct PhRowBatch {
    PhStr instance;
    GArray *rows; /* PhLinkOrder with strings borrowed from PhRelayedStart, or
                     PhLinkOutcome */
    uint64_t hello; /* starts: newest hello of the dispatcher */
    size_t bytes;   /* starts */
} PhRowBatch;

/* A start that this instance sends for an owner. */
typedef struct PhDispatchedStart {
    uint64_t relay;
    uint64_t number; /* the owner's */
    PhStr instance;
    PhTime received_at;
} PhDispatchedStart;

struct PhScheduleDispatch {
    /* As owner. */
    PhDispatchers *dispatchers;
    bool relays;            /* dispatchers send the starts */
    PhTime lasting_since;   /* of `lasting_count` */
    unsigned lasting_count; /* starts of tasks that are to last */
    uint64_t last_number;
    uint64_t oldest;     /* no relayed start has a lower number */
    GHashTable *relayed; /* PhRelayedStart by number */
    GHashTable *batches; /* PhRowBatch of starts, by instance */
    /* As dispatcher. */
    uint64_t hello;
    PhTime hello_sent_at[HELLOS];
    uint64_t last_relay;
    GHashTable *dispatched;   /* PhDispatchedStart by relay number */
    GHashTable *outcomes;     /* PhRowBatch of outcomes, by instance */
    GHashTable *payloads;     /* PhStr by job */
    GHashTable *old_payloads; /* the generation before */
};

static void
relayed_destroy(gpointer value)
{
    PhRelayedStart *r = value;
    PhOrder_Clear(&r->order);
    PhStr_Clear(&r->instance);
    g_free(r);
}

static void
batch_destroy(gpointer value)
{
    PhRowBatch *b = value;
    PhStr_Clear(&b->instance);
    g_array_free(b->rows, TRUE);
    g_free(b);
}

static void
dispatched_destroy(gpointer value)
{
    PhDispatchedStart *s = value;
    PhStr_Clear(&s->instance);
    g_free(s);
}

static GHashTable *
payloads_create(void)
{
    return g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                 PhStr_KeyDestroy, PhStr_KeyDestroy);
}

PhScheduleDispatch *
PhScheduleDispatch_Create(void)
{
    PhScheduleDispatch *d = g_new0(PhScheduleDispatch, 1);
    d->dispatchers = PhDispatchers_Create();
    d->last_number = PhScheduleLink_NumberOrigin();
    d->oldest = d->last_number + 1;
    d->hello = PhScheduleLink_NumberOrigin();
    d->relayed = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       relayed_destroy);
    d->batches = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                       batch_destroy);
    d->dispatched = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                          dispatched_destroy);
    d->outcomes = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                        batch_destroy);
    d->payloads = payloads_create();
    d->old_payloads = payloads_create();
    return d;
}

void
PhScheduleDispatch_Destroy(PhScheduleDispatch *d)
{
    if (d == NULL) {
        return;
    }
    PhDispatchers_Destroy(d->dispatchers);
    g_hash_table_destroy(d->batches);
    g_hash_table_destroy(d->relayed);
    g_hash_table_destroy(d->dispatched);
    g_hash_table_destroy(d->outcomes);
    g_hash_table_destroy(d->payloads);
    g_hash_table_destroy(d->old_payloads);
    g_free(d);
}

static void
batch_send(PhScheduleTask *t, PhRowBatch *b)
{
    PhLinkMessage m = {
        .tag = PH_LINK_ORDERS,
        .as.orders = {.fence = t->fence,
                      .hello = b->hello,
                      .rows = (PhLinkOrder *)(gpointer)b->rows->data,
                      .row_count = b->rows->len}};
    if (b->rows->len > 0) {
        PhScheduleLink_Send(t, b->instance, &m);
    }
    g_array_set_size(b->rows, 0);
    b->bytes = 0;
}

static PhRowBatch *
batch_find(GHashTable *batches, PhStr instance, guint row_bytes)
{
    PhRowBatch *b = g_hash_table_lookup(batches, &instance);
    if (b == NULL) {
        b = g_new0(PhRowBatch, 1);
        b->instance = PhStr_Dup(instance);
        b->rows = g_array_new(FALSE, TRUE, row_bytes);
        g_hash_table_insert(batches, &b->instance, b);
    }
    return b;
}

static PhLinkOrder
order_row(const PhRelayedStart *r, bool has_payload)
{
    const PhSchedAction *a = &r->order.action;
    const PhSchedRunOrder *run = &a->as.run;
    return (PhLinkOrder){.number = r->number,
                         .worker = a->worker,
                         .address = a->address,
                         .born_ms = a->born_ms,
                         .job = run->task.job,
                         .round = run->task.round,
                         .step = run->task.step,
                         .index = run->task.index,
                         .run = run->run,
                         .deadline_ms = run->deadline_ms,
                         .last_checkpoint = run->last_checkpoint,
                         .payload = has_payload ? (PhStr){0} : run->payload};
}

void
PhScheduleDispatch_Prepare(PhScheduleTask *t, PhTime now)
{
    PhScheduleDispatch *d = t->dispatch;
    d->relays = t->link.enabled && PhScheduler_IsPressed(t->scheduler, now) &&
                PhDispatchers_AreUsable(d->dispatchers, now);
    PhScheduler_SetRelays(t->scheduler, d->relays);
}

/* Reports whether the owner sends the start of a task that is to last, which
 * it does with a few at a time: one that a lost dispatcher was given has no
 * outcome for RELAY_TIMEOUT. */
static bool
lasting_start_is_own(PhScheduleDispatch *d, PhTime now)
{
    if (now - d->lasting_since >= LASTING_INTERVAL) {
        d->lasting_since = now;
        d->lasting_count = 0;
    }
    return d->lasting_count++ < LASTING_STARTS_MAX;
}

bool
PhScheduleDispatch_Send(PhScheduleTask *t, const PhSchedAction *a, PhTime now)
{
    PhScheduleDispatch *d = t->dispatch;
    if (a->tag != PH_SCHED_ACTION_START || !d->relays || !a->bound ||
        a->as.run.payload.len > BATCH_BYTES_MAX / 2 ||
        (a->as.run.long_running && lasting_start_is_own(d, now))) {
        return false;
    }
    PhDispatch to =
        PhDispatchers_Take(d->dispatchers, a->as.run.task.job, now);
    if (to.instance.len == 0) {
        return false;
    }
    PhRelayedStart *r = g_new0(PhRelayedStart, 1);
    r->number = ++d->last_number;
    r->instance = PhStr_Dup(to.instance);
    r->sent_at = now;
    r->order = (PhOrder){.fence = t->fence, .action = PhOrder_CopyAction(a)};
    g_hash_table_insert(d->relayed, &r->number, r);
    PhRowBatch *b = batch_find(d->batches, to.instance, sizeof(PhLinkOrder));
    PhLinkOrder row = order_row(r, to.has_payload);
    size_t bytes = ROW_BYTES + row.payload.len;
    if (b->bytes + bytes > BATCH_BYTES_MAX) {
        batch_send(t, b);
    }
    b->hello = to.hello;
    b->bytes += bytes;
    g_array_append_val(b->rows, row);
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_SCHEDULE_RELAYED, 1);
    return true;
}

void
PhScheduleDispatch_Flush(PhScheduleTask *t)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, t->dispatch->batches);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        batch_send(t, value);
    }
}

/* Reports the outcome of a relayed start, and forgets it. */
static void
relayed_finish(PhScheduleTask *t, PhRelayedStart *r, const PhOrderReply *known)
{
    PhOrderReply reply = *known;
    const PhSchedAction *a = &r->order.action;
    g_hash_table_steal(t->dispatch->relayed, &r->number);
    reply.fence = r->order.fence;
    reply.tag = a->tag;
    reply.worker = a->worker;
    reply.born_ms = a->born_ms;
    reply.job = a->as.run.task.job;
    reply.task = a->as.run.task;
    reply.run = a->as.run.run;
    reply.relayed = true;
    PhScheduleOwner_OnOrder(t, &reply);
    relayed_destroy(r);
}

/* The dispatcher has not sent it, for want of the specification or of a
 * connection to a worker that may be silent: this instance does. */
static void
relayed_send_here(PhScheduleTask *t, PhRelayedStart *r, bool silent)
{
    PhOrderMessage m = {.tag = PH_ORDER_SEND, .as.send = r->order};
    m.as.send.silence = silent ? PhTask_Now(t->self) - r->sent_at : 0;
    g_hash_table_steal(t->dispatch->relayed, &r->number);
    r->order = (PhOrder){0};
    PhTask_SendTo(t->self, PH_SERVICE_ORDERS, PhOrderMessage_Wrap(&m));
    relayed_destroy(r);
}

void
PhScheduleDispatch_Expire(PhScheduleTask *t)
{
    PhScheduleDispatch *d = t->dispatch;
    PhTime now = PhTask_Now(t->self);
    for (; d->oldest <= d->last_number; d->oldest++) {
        PhRelayedStart *r = g_hash_table_lookup(d->relayed, &d->oldest);
        if (r == NULL) {
            continue;
        }
        if (now - r->sent_at < RELAY_TIMEOUT) {
            return;
        }
        if (PhDispatchers_OnTimeout(d->dispatchers, r->instance, r->sent_at,
                                    now)) {
            PhTask_LOG(t->self, PH_EVENT_SCHEDULE_DISPATCHER_SILENT,
                       PhField_STR("instance", r->instance),
                       PhField_STR("job", r->order.action.as.run.task.job));
        }
        relayed_finish(t, r,
                       &(PhOrderReply){.outcome = PH_SCHED_OUTCOME_UNKNOWN});
    }
}

void
PhScheduleDispatch_Reset(PhScheduleTask *t)
{
    PhScheduleDispatch *d = t->dispatch;
    g_hash_table_remove_all(d->batches);
    g_hash_table_remove_all(d->relayed);
    d->oldest = d->last_number + 1;
    PhDispatchers_Reset(d->dispatchers);
}

void
PhScheduleDispatch_OnHello(PhScheduleTask *t, PhStr instance,
                           const PhLinkMessage *m)
{
    PhDispatchers_OnHello(t->dispatch->dispatchers, instance,
                          m->as.hello.number, m->as.hello.cpu_milli,
                          m->as.hello.leaving, PhTask_Now(t->self));
}

static void
outcome_take(PhScheduleTask *t, PhStr instance, const PhLinkOutcome *o)
{
    PhScheduleDispatch *d = t->dispatch;
    PhRelayedStart *r = g_hash_table_lookup(d->relayed, &o->number);
    PhTime now = PhTask_Now(t->self);
    if (r == NULL) {
        PhDispatchers_OnLateOutcome(d->dispatchers, instance, now);
        return;
    }
    if (!PhStr_Equal(r->instance, instance) ||
        o->outcome >= PH_SCHED_OUTCOME_COUNT) {
        return;
    }
    PhDispatchers_OnOutcome(d->dispatchers, instance, now);
    if (o->outcome == PH_SCHED_OUTCOME_NOT_SENT) {
        bool silent = o->took_ms > 0;
        PhDispatchers_OnNotSent(d->dispatchers,
                                r->order.action.as.run.task.job, silent);
        relayed_send_here(t, r, silent);
        return;
    }
    PhTime took = (PhTime)MIN(o->took_ms, INT32_MAX) * PH_NS_PER_MS;
    relayed_finish(t, r,
                   &(PhOrderReply){.outcome = (PhSchedOutcome)o->outcome,
                                   .clock_ms = o->clock_ms,
                                   .at_dispatcher = took});
}

void
PhScheduleDispatch_OnOutcomes(PhScheduleTask *t, PhStr instance,
                              const PhLinkMessage *m)
{
    for (size_t i = 0;
         i < m->as.outcomes.row_count && t->stage == OWNER_ACTIVE; i++) {
        outcome_take(t, instance, &m->as.outcomes.rows[i]);
    }
}

void
PhScheduleDispatch_OnEnds(PhScheduleTask *t, const PhLinkMessage *m)
{
    if (t->stage != OWNER_ACTIVE) {
        return;
    }
    PhSchedEndRow *ends = g_new0(PhSchedEndRow, m->as.ends.row_count + 1);
    size_t count = 0;
    for (size_t i = 0; i < m->as.ends.row_count; i++) {
        const PhLinkEnd *e = &m->as.ends.rows[i];
        if (e->kind > PH_SCHED_END_GANG_INCOMPLETE) {
            break;
        }
        ends[count++] = (PhSchedEndRow){.number = e->number,
                                        .task = {.job = e->job,
                                                 .round = (uint32_t)e->round,
                                                 .step = (uint32_t)e->step,
                                                 .index = (uint32_t)e->index},
                                        .run = (uint32_t)e->run,
                                        .kind = (PhSchedEndKind)e->kind,
                                        .last_checkpoint = e->last_checkpoint};
    }
    PhScheduler_OnRelayedEnds(t->scheduler, m->as.ends.worker,
                              m->as.ends.born_ms, ends, count,
                              PhTask_Now(t->self));
    PhScheduleLog_Notes(t);
    PhScheduleTask_RequestUpdate(t);
    g_free(ends);
}

uint64_t
PhScheduleDispatch_NumberHello(PhScheduleTask *t)
{
    PhScheduleDispatch *d = t->dispatch;
    d->hello++;
    d->hello_sent_at[d->hello % HELLOS] = PhTask_Now(t->self);
    return d->hello;
}

/* Reports whether an order that names a hello of this instance may be old. */
static bool
is_stale(const PhScheduleDispatch *d, uint64_t hello, PhTime now)
{
    return hello == 0 || hello > d->hello || d->hello - hello >= HELLOS ||
           now - d->hello_sent_at[hello % HELLOS] > RELAY_AGE_MAX;
}

/* Returns the specification of a job, after taking it over if it is given.  It
 * is empty if it is not known. */
static PhStr
payload_of(PhScheduleDispatch *d, const PhLinkOrder *o)
{
    const PhStr *known = g_hash_table_lookup(d->payloads, &o->job);
    if (o->payload.len == 0) {
        known = known != NULL ? known
                              : g_hash_table_lookup(d->old_payloads, &o->job);
        return known == NULL ? (PhStr){0} : *known;
    }
    if (known == NULL) {
        if (g_hash_table_size(d->payloads) >= PAYLOADS_MAX) {
            g_hash_table_destroy(d->old_payloads);
            d->old_payloads = d->payloads;
            d->payloads = payloads_create();
        }
        g_hash_table_insert(d->payloads, PhStr_KeyCreate(o->job),
                            PhStr_KeyCreate(o->payload));
    }
    return o->payload;
}

void
PhScheduleDispatch_KeepPayload(PhScheduleTask *t, PhStr job, PhStr payload)
{
    payload_of(t->dispatch, &(PhLinkOrder){.job = job, .payload = payload});
}

void
PhScheduleDispatch_OnForwarded(PhScheduleTask *t, PhStr job, PhStr instance)
{
    PhDispatchers_OnPayload(t->dispatch->dispatchers, job, instance);
}

static void
outcome_add(PhScheduleTask *t, PhStr instance, const PhLinkOutcome *outcome)
{
    PhRowBatch *b =
        batch_find(t->dispatch->outcomes, instance, sizeof(PhLinkOutcome));
    if (b->rows->len == 0) {
        PhTask_SetTimer(t->self, TIMER_OUTCOMES,
                        PhTask_Now(t->self) + OUTCOMES_DELAY);
    }
    g_array_append_val(b->rows, *outcome);
}

static void
order_dispatch(PhScheduleTask *t, PhStr instance, uint64_t fence,
               const PhLinkOrder *o, PhStr payload)
{
    PhScheduleDispatch *d = t->dispatch;
    PhDispatchedStart *s = g_new0(PhDispatchedStart, 1);
    s->relay = ++d->last_relay;
    s->number = o->number;
    s->instance = PhStr_Dup(instance);
    s->received_at = PhTask_Now(t->self);
    g_hash_table_insert(d->dispatched, &s->relay, s);
    PhSchedAction a = {.tag = PH_SCHED_ACTION_START,
                       .worker = o->worker,
                       .born_ms = o->born_ms,
                       .address = o->address,
                       .bound = true,
                       .timeout = RELAYED_ORDER_TIMEOUT,
                       .as.run = {.task = {.job = o->job,
                                           .round = (uint32_t)o->round,
                                           .step = (uint32_t)o->step,
                                           .index = (uint32_t)o->index},
                                  .run = (uint32_t)o->run,
                                  .deadline_ms = o->deadline_ms,
                                  .payload = payload,
                                  .last_checkpoint = o->last_checkpoint}};
    PhOrderMessage m = {.tag = PH_ORDER_SEND,
                        .as.send = {.fence = fence,
                                    .relay = s->relay,
                                    .action = PhOrder_CopyAction(&a)}};
    PhTask_SendTo(t->self, PH_SERVICE_ORDERS, PhOrderMessage_Wrap(&m));
}

void
PhScheduleDispatch_OnOrders(PhScheduleTask *t, PhStr instance,
                            const PhLinkMessage *m)
{
    bool stale =
        is_stale(t->dispatch, m->as.orders.hello, PhTask_Now(t->self));
    for (size_t i = 0; i < m->as.orders.row_count; i++) {
        const PhLinkOrder *o = &m->as.orders.rows[i];
        PhStr payload = payload_of(t->dispatch, o);
        if (stale || payload.len == 0) {
            outcome_add(
                t, instance,
                &(PhLinkOutcome){.number = o->number,
                                 .outcome = PH_SCHED_OUTCOME_NOT_SENT});
            continue;
        }
        order_dispatch(t, instance, m->as.orders.fence, o, payload);
    }
}

void
PhScheduleDispatch_OnReply(PhScheduleTask *t, const PhOrderReply *reply)
{
    PhTime now = PhTask_Now(t->self);
    PhDispatchedStart *s =
        g_hash_table_lookup(t->dispatch->dispatched, &reply->relay);
    if (s == NULL) {
        return;
    }
    PhTime took = reply->outcome == PH_SCHED_OUTCOME_NOT_SENT
                      ? reply->silence
                      : now - s->received_at + OUTCOMES_DELAY;
    outcome_add(t, s->instance,
                &(PhLinkOutcome){.number = s->number,
                                 .outcome = (uint64_t)reply->outcome,
                                 .clock_ms = reply->clock_ms,
                                 .took_ms = (uint64_t)(took / PH_NS_PER_MS)});
    g_hash_table_remove(t->dispatch->dispatched, &reply->relay);
}

static PhLinkEnd
end_row(const PhSchedEndRow *e)
{
    return (PhLinkEnd){.number = e->number,
                       .job = e->task.job,
                       .round = e->task.round,
                       .step = e->task.step,
                       .index = e->task.index,
                       .run = e->run,
                       .kind = e->kind,
                       .last_checkpoint = e->last_checkpoint};
}

/* An end counts once it has been listed, to whomever.  The worker may leave
 * before the owner's next hold. */
void
PhScheduleDispatch_OnQuery(PhScheduleTask *t, const PhOrderReply *reply)
{
    const PhSchedHoldReply *hold = &reply->hold;
    const PhDispatchedStart *s =
        g_hash_table_lookup(t->dispatch->dispatched, &reply->relay);
    if (s == NULL || reply->outcome != PH_SCHED_OUTCOME_DONE ||
        hold->end_count == 0) {
        return;
    }
    PhLinkEnd *rows = g_new0(PhLinkEnd, hold->end_count);
    size_t count = 0;
    size_t bytes = 0;
    while (count < hold->end_count && bytes < BATCH_BYTES_MAX) {
        rows[count] = end_row(&hold->ends[count]);
        bytes += ROW_BYTES + rows[count].last_checkpoint.len;
        count++;
    }
    int64_t born_ms = hold->born_ms != 0 ? hold->born_ms : reply->born_ms;
    PhLinkMessage m = {.tag = PH_LINK_ENDS,
                       .as.ends = {.worker = reply->worker,
                                   .born_ms = born_ms,
                                   .rows = rows,
                                   .row_count = count}};
    PhScheduleLink_Send(t, s->instance, &m);
    g_free(rows);
}

void
PhScheduleDispatch_SendOutcomes(PhScheduleTask *t)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, t->dispatch->outcomes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhRowBatch *b = value;
        PhLinkMessage m = {
            .tag = PH_LINK_OUTCOMES,
            .as.outcomes = {.rows = (PhLinkOutcome *)(gpointer)b->rows->data,
                            .row_count = b->rows->len}};
        PhScheduleLink_Send(t, b->instance, &m);
    }
    g_hash_table_remove_all(t->dispatch->outcomes);
}
