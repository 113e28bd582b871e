/* Delivery of the owners' orders to workers, and of the replies. */
#include "owners_sim_private.h"

#include "tests/table.h"

enum {
    DELAY_MAX_MS = 60,       /* of an order or its reply */
    REPLY_TIMEOUT_MS = 1200, /* of an order without a reply, at most */
    LATE_MIN_MS = 2000,
    LATE_SPREAD_MS = 10000,
    BIND_LIMIT_MS = 1200,      /* wait of an order for a connection */
    RELAY_DELAY_MAX_MS = 1500, /* of a start at its dispatcher */
    RELAY_BIND_MAX_MS = 1200,  /* longer, if it has no connection */
    RELAY_TIMEOUT_MS = 1600,
    LATE_HOLD_MS = 4000, /* replies to holds that are not later still count */
    LIGHT_ORDERS = 10, /* orders other than starts that take as long as one */
};

/* What happens to an order. */
typedef enum PhSimFate {
    PH_SIM_FATE_ANSWERED,
    PH_SIM_FATE_UNANSWERED, /* executed at once */
    PH_SIM_FATE_LATE,       /* executed later, without an answer */
    PH_SIM_FATE_NEVER,
} PhSimFate;

/* Passes the outcome of an order to its owner.  Returns false if the owner has
 * been replaced. */
static bool
order_complete(PhOwnersSim *w, PhSimInstance *m, const PhSimOrder *f,
               PhSimReply *reply)
{
    const PhSchedAction *a = &f->action;
    PhSchedRunReply run = {.task = a->as.run.task,
                           .run = a->as.run.run,
                           .born_ms = a->born_ms,
                           .outcome = reply->hold.outcome,
                           .clock_ms = reply->hold.clock_ms,
                           .connected_at = reply->hold.connected_at,
                           .late = f->late,
                           .relayed = f->relayed,
                           .silence = f->silence};
    PhTime now = w->now;
    reply->hold.silence = f->silence;
    if (reply->hold.outcome == PH_SCHED_OUTCOME_DONE &&
        (a->tag == PH_SCHED_ACTION_HOLD || a->tag == PH_SCHED_ACTION_START)) {
        PhSimWorker_NoteAnswer(&w->workers[f->worker], f->fence, f->sent_at,
                               now);
    }
    switch (a->tag) {
    case PH_SCHED_ACTION_HOLD:
        if (f->late && reply->hold.outcome != PH_SCHED_OUTCOME_UNKNOWN) {
            return PhScheduler_OnLateHold(m->scheduler, a->worker, a->born_ms,
                                          &reply->hold, now);
        }
        return f->late || PhScheduler_OnHold(m->scheduler, a->worker,
                                             a->born_ms, &reply->hold, now);
    case PH_SCHED_ACTION_START:
        return PhScheduler_OnStart(m->scheduler, &run, now);
    case PH_SCHED_ACTION_STOP:
        return PhScheduler_OnStop(m->scheduler, &run, now);
    case PH_SCHED_ACTION_PACE:
        return PhScheduler_OnPace(m->scheduler, &run.task, run.run,
                                  run.outcome, now);
    }
    return true;
}

/* Draws a delay below `max_ms`; 0 without delays. */
static PhTime
draw_delay(PhOwnersSim *w, int64_t max_ms)
{
    return w->delays == NULL
               ? 0
               : (PhTime)PhRandom_Below(w->delays, (uint64_t)max_ms) *
                     PH_NS_PER_MS;
}

/* Returns when the connection that an order uses was established.  The one to
 * an earlier incarnation has ended with it.  While orders are lost, an idle
 * one is taken, if there is one from before `connected_by` that one. */
static PhTime
connection_use(PhOwnersSim *w, int instance, int worker, PhTime connected_by)
{
    PhSimConnection *c = &w->connections[instance][worker];
    if (c->born_ms != w->workers[worker].born_ms) {
        *c = (PhSimConnection){.born_ms = w->workers[worker].born_ms,
                               .since = w->now};
    }
    if (!PhOwnersSim_LosesOrders(w)) {
        return c->since;
    }
    if (c->idle_count == 0) {
        return w->now;
    }
    unsigned used = c->idle_count - 1;
    for (unsigned i = c->idle_count; i-- > 0;) {
        if (c->idle[i] <= connected_by) {
            used = i;
            break;
        }
    }
    PhTime since = c->idle[used];
    c->idle[used] = c->idle[--c->idle_count];
    return since;
}

/* A connection is idle once its order has been answered. */
static void
connection_release(PhOwnersSim *w, const PhSimOrder *f)
{
    PhSimConnection *c = &w->connections[f->instance][f->worker];
    bool answered = f->reply.hold.outcome != PH_SCHED_OUTCOME_UNKNOWN &&
                    (f->late || f->late_by == 0);
    if (PhOwnersSim_LosesOrders(w) && answered && c->born_ms == f->born_ms &&
        c->idle_count < PH_OWNERS_IDLE_MAX) {
        c->idle[c->idle_count++] = f->connected_at;
    }
}

/* Returns the newest sign of life of the incarnation that an order names: it
 * may be sent on connections from before. */
static PhTime
connected_by(const PhOwnersSim *w, int instance, const PhSchedAction *a)
{
    return a->bound ? PhBindings_AliveAt(w->instances[instance].bindings,
                                         a->worker, a->born_ms)
                    : PH_TIME_NEVER;
}

/* Returns how long an order waits for the orders before it on the link of its
 * instance, and takes itself. */
static PhTime
link_use(PhOwnersSim *w, int instance, PhSchedActionTag tag)
{
    PhTime *free_at = &w->link_free_at[instance];
    PhTime cost = tag == PH_SCHED_ACTION_START ? w->start_cost
                                               : w->start_cost / LIGHT_ORDERS;
    *free_at = MAX(*free_at, w->now) + cost;
    return *free_at - w->now;
}

/* How long after the outcome was given as unknown a reply still counts. */
static PhTime
late_limit(const PhSimOrder *f)
{
    PhTime rest = f->action.timeout == 0
                      ? 0
                      : REPLY_TIMEOUT_MS * PH_NS_PER_MS - f->action.timeout;
    switch (f->action.tag) {
    case PH_SCHED_ACTION_HOLD:
        return f->query ? 0 : LATE_HOLD_MS * PH_NS_PER_MS;
    case PH_SCHED_ACTION_START:
    case PH_SCHED_ACTION_STOP:
        return f->relayed || f->query ? 0 : rest;
    case PH_SCHED_ACTION_PACE:
        break;
    }
    return 0;
}

/* The reply comes at `at`, after the outcome was given as unknown. */
static void
reply_delay(PhSimOrder *f, PhTime at)
{
    PhTime late_by = at - f->times_out_at;
    f->reply_at = f->times_out_at;
    if (late_by <= late_limit(f)) {
        f->late_by = late_by;
        return;
    }
    f->reply_lost = true;
}

/* A dispatcher without a connection sends a query first, and passes on the
 * ends in the answer. */
static void
relay_query(PhOwnersSim *w, PhSimOrder *f)
{
    PhSimOrder query = *f;
    f->deliver_at += draw_delay(w, RELAY_BIND_MAX_MS);
    query.deliver_at = f->deliver_at;
    query.reply_at = query.deliver_at + draw_delay(w, DELAY_MAX_MS);
    query.reply_lost = false;
    query.action =
        (PhSchedAction){.tag = PH_SCHED_ACTION_HOLD,
                        .worker = PhStr_FromC(w->workers[f->worker].id),
                        .born_ms = f->action.born_ms};
    g_array_append_val(w->orders, query);
}

/* Where the rule at rest is checked, dispatchers are slow until the calm
 * only. */
static bool
are_relays_slow(const PhOwnersSim *w)
{
    return w->rest == NULL ||
           PhOwnersSim_ElapsedMs(w) < PhOwnersSim_CalmFrom(w);
}

/* Has a dispatcher send a start: it is under way for longer, and a partition
 * of the owner from the worker does not matter. */
static void
start_relay(PhOwnersSim *w, PhSimOrder *f)
{
    f->relayed = true;
    f->query = f->born_ms != f->action.born_ms;
    f->deliver_at +=
        draw_delay(w, are_relays_slow(w) ? RELAY_DELAY_MAX_MS : DELAY_MAX_MS);
    if (w->relays_query && !f->query) {
        relay_query(w, f);
    }
    f->times_out_at = w->now + RELAY_TIMEOUT_MS * PH_NS_PER_MS;
}

/* Returns a copy that stays valid. */
static PhStr
checkpoint_intern(PhStr last_checkpoint)
{
    char *text = PhStr_ToC(last_checkpoint);
    PhStr copy = PhStr_FromC(g_intern_string(text));
    g_free(text);
    return copy;
}

/* Draws only while orders are lost. */
static PhSimFate
order_fate(PhOwnersSim *w, const PhSimOrder *f)
{
    const PhOwnersLosses *l = &w->losses;
    PhSchedActionTag tag = f->query ? PH_SCHED_ACTION_HOLD : f->action.tag;
    if (!f->relayed && PhOwnersSim_IsUnreachable(w, f->instance, f->worker)) {
        return PH_SIM_FATE_NEVER;
    }
    if (PhOwnersSim_AreOrdersAffected(w, PH_OWNERS_ORDERS_LATE, f->instance,
                                      f->worker)) {
        return PH_SIM_FATE_LATE;
    }
    if (PhOwnersSim_AreOrdersAffected(w, PH_OWNERS_REPLIES_LOST, f->instance,
                                      f->worker)) {
        return PH_SIM_FATE_UNANSWERED;
    }
    if (PhOwnersSim_LosesOrders(w) && (l->orders >> tag & 1U) != 0 &&
        PhRandom_Chance(w->delays, l->share)) {
        return l->late ? PH_SIM_FATE_LATE : PH_SIM_FATE_NEVER;
    }
    return PH_SIM_FATE_ANSWERED;
}

/* `began_at`: the order was given, which has waited for a connection since,
 * for `silence` of that behind queries without an answer. */
static void
order_send_since(PhOwnersSim *w, int instance, const PhSchedAction *a,
                 PhTime began_at, PhTime silence)
{
    int worker = PhSimWorker_Number(a->worker);
    PhTime alive_at = connected_by(w, instance, a);
    PhTime connected_at = connection_use(w, instance, worker, alive_at);
    PhSimOrder f = {.instance = instance,
                    .worker = worker,
                    .fence = w->instances[instance].fence,
                    .action = *a,
                    .born_ms = w->workers[worker].born_ms,
                    .connected_at = connected_at,
                    .query = connected_at > alive_at,
                    .began_at = began_at,
                    .silence = silence,
                    .sent_at = w->now,
                    .deliver_at = w->now + link_use(w, instance, a->tag) +
                                  draw_delay(w, DELAY_MAX_MS),
                    .reply.hold.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    bool waits = a->tag == PH_SCHED_ACTION_HOLD && !f.query;
    PhTime wait = waits ? a->as.hold.wait : 0;
    f.times_out_at =
        w->now + wait +
        (a->timeout > 0 ? a->timeout : REPLY_TIMEOUT_MS * PH_NS_PER_MS);
    if (w->relays && a->tag == PH_SCHED_ACTION_START &&
        PhRandom_Below(w->delays, 2) == 0) {
        start_relay(w, &f);
    }
    PhSimFate fate = order_fate(w, &f);
    f.reply_lost = fate != PH_SIM_FATE_ANSWERED;
    f.reply_at = f.deliver_at + draw_delay(w, DELAY_MAX_MS);
    if (f.reply_lost && w->delays != NULL) {
        f.reply_at = f.times_out_at;
    }
    else if (w->delays != NULL && wait > 0) {
        f.reply_at = f.times_out_at;
        f.hold_until = f.deliver_at + wait;
    }
    if (f.reply_at > f.times_out_at) {
        reply_delay(&f, f.reply_at);
    }
    switch (fate) {
    case PH_SIM_FATE_ANSWERED:
    case PH_SIM_FATE_UNANSWERED:
        break;
    case PH_SIM_FATE_LATE:
        f.deliver_at = w->now + LATE_MIN_MS * PH_NS_PER_MS +
                       draw_delay(w, LATE_SPREAD_MS);
        break;
    case PH_SIM_FATE_NEVER:
        f.deliver_at = PH_TIME_NEVER;
        break;
    }
    f.action.worker = PhStr_FromC(w->workers[worker].id);
    if (a->tag != PH_SCHED_ACTION_HOLD) {
        f.action.as.run.task.job =
            PhSimTasks_JobId(&w->tasks, a->as.run.task.job);
        f.action.as.run.payload = (PhStr){0};
        f.action.as.run.last_checkpoint =
            checkpoint_intern(a->as.run.last_checkpoint);
    }
    g_array_append_val(w->orders, f);
}

static void
order_send(PhOwnersSim *w, int instance, const PhSchedAction *a)
{
    order_send_since(w, instance, a, w->now, 0);
}

/* Delivers an order to its worker.  An order to an earlier incarnation is
 * lost. */
static void
order_deliver(PhOwnersSim *w, PhSimOrder *f)
{
    PhSimWorker *h = &w->workers[f->worker];
    PhSimReply reply = {.hold.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    f->deliver_at = PH_TIME_NEVER;
    if (h->born_ms != f->born_ms || !h->alive) {
        if (f->reply_at != PH_TIME_NEVER) {
            f->reply_at = w->delays == NULL ? w->now : f->times_out_at;
        }
        f->hold_until = 0;
        return;
    }
    PhSchedAction action = f->action;
    if (f->query) {
        action = (PhSchedAction){.tag = PH_SCHED_ACTION_HOLD};
    }
    else if (action.tag == PH_SCHED_ACTION_HOLD && f->hold_until == 0) {
        action.as.hold.wait = 0; /* answered now */
    }
    PhSimWorker_Execute(h, &w->tasks, f->fence, &action, w->now, &reply);
    if (f->reply_lost) {
        PhSimReply_Clear(&reply);
        return;
    }
    f->reply = reply;
}

/* Completes a waiting hold once there is an end, or its wait is over. */
static void
hold_complete(PhOwnersSim *w, PhSimOrder *f)
{
    PhSimWorker *h = &w->workers[f->worker];
    bool running = h->alive && h->born_ms == f->born_ms;
    if (running && h->ends->len == 0 && w->now < f->hold_until) {
        return;
    }
    f->hold_until = 0;
    PhSimReply_Clear(&f->reply);
    f->reply = (PhSimReply){.hold.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    if (running && !PhOwnersSim_IsUnreachable(w, f->instance, f->worker)) {
        f->action.as.hold.deadline_ms = 0;
        f->action.as.hold.last_seen = 0;
        f->action.as.hold.wait = 0;
        PhSimWorker_Execute(h, &w->tasks, f->fence, &f->action, w->now,
                            &f->reply);
        PhTime at = w->now + draw_delay(w, DELAY_MAX_MS);
        if (f->late || at <= f->times_out_at) {
            f->reply_at = at;
            return;
        }
        reply_delay(f, at);
    }
}

/* Handles the outcome of a query: the order that waits for it is sent if the
 * incarnation that it names has answered.  Returns false if the owner has been
 * replaced.  What a dispatcher learns of a later incarnation stays there. */
static bool
query_complete(PhOwnersSim *w, PhSimInstance *m, const PhSimOrder *f)
{
    const PhSchedAction *a = &f->action;
    const PhSchedHoldReply *hold = &f->reply.hold;
    PhSimReply reply = {.hold.outcome = PH_SCHED_OUTCOME_NOT_SENT};
    if (!f->relayed && !PhScheduler_OnQuery(m->scheduler, a->worker,
                                            a->born_ms, hold, w->now)) {
        return false;
    }
    if (hold->outcome == PH_SCHED_OUTCOME_FENCED) {
        reply.hold.outcome = PH_SCHED_OUTCOME_FENCED;
    }
    else if (hold->outcome == PH_SCHED_OUTCOME_DONE) {
        if (hold->born_ms == a->born_ms) {
            order_send_since(w, f->instance, a, f->began_at, f->silence);
            return true;
        }
        reply.hold.outcome = PH_SCHED_OUTCOME_OTHER_INCARNATION;
    }
    else if (!f->relayed && a->timeout > 0 && w->delays != NULL &&
             w->now - f->began_at < BIND_LIMIT_MS * PH_NS_PER_MS) {
        order_send_since(w, f->instance, a, f->began_at, w->now - f->began_at);
        return true;
    }
    return order_complete(w, m, f, &reply);
}

/* Notes the sign of life in the answer to a hold. */
static void
answer_note(const PhSimInstance *m, const PhSimOrder *f)
{
    const PhSchedHoldReply *hold = &f->reply.hold;
    bool is_hold = f->query || f->action.tag == PH_SCHED_ACTION_HOLD;
    if (is_hold && !f->relayed && hold->outcome == PH_SCHED_OUTCOME_DONE) {
        PhBindings_OnAnswer(m->bindings, f->action.worker, hold->born_ms,
                            MAX(f->sent_at, f->connected_at));
    }
}

/* Delivers the reply, unless the owner has changed since. */
static void
reply_deliver(PhOwnersSim *w, PhSimOrder *f)
{
    PhSimInstance *m = &w->instances[f->instance];
    f->reply_at = PH_TIME_NEVER;
    f->reply.hold.connected_at = f->connected_at;
    bool current = m->active && m->fence == f->fence;
    if (f->relayed && f->action.tag == PH_SCHED_ACTION_HOLD) {
        if (current) {
            PhScheduler_OnRelayedEnds(
                m->scheduler, f->action.worker, f->reply.hold.born_ms,
                f->reply.hold.ends, f->reply.hold.end_count, w->now);
        }
        PhSimReply_Clear(&f->reply);
        f->reply = (PhSimReply){0};
        return;
    }
    if (current) {
        answer_note(m, f);
        connection_release(w, f);
    }
    if (f->query) {
        /* Another order may be added, which moves them. */
        PhSimOrder copy = *f;
        f->reply = (PhSimReply){0};
        if (current && !query_complete(w, m, &copy)) {
            PhElection_OnDeposed(m->election, w->now);
        }
        PhSimReply_Clear(&copy.reply);
        return;
    }
    if (f->late_by > 0 && !f->late) {
        PhSimReply unknown = {.hold.outcome = PH_SCHED_OUTCOME_UNKNOWN};
        f->reply_at = w->now + f->late_by;
        if (current) {
            order_complete(w, m, f, &unknown);
        }
        f->late = true;
        return;
    }
    if (current && !order_complete(w, m, f, &f->reply)) {
        PhElection_OnDeposed(m->election, w->now);
    }
    PhSimReply_Clear(&f->reply);
    f->reply = (PhSimReply){0};
}

void
PhOwnersSim_DeliverOrders(PhOwnersSim *w)
{
    for (guint i = 0; i < w->orders->len; i++) {
        PhSimOrder *f = &g_array_index(w->orders, PhSimOrder, i);
        if (f->deliver_at <= w->now) {
            order_deliver(w, f);
        }
        else if (f->deliver_at == PH_TIME_NEVER && f->hold_until != 0) {
            hold_complete(w, f);
        }
        if (f->reply_at <= w->now &&
            !PhOwnersSim_IsSuspended(w, f->instance)) {
            reply_deliver(w, f);
        }
    }
    for (guint i = w->orders->len; i-- > 0;) {
        const PhSimOrder *f = &g_array_index(w->orders, PhSimOrder, i);
        if (f->deliver_at == PH_TIME_NEVER && f->reply_at == PH_TIME_NEVER) {
            g_array_remove_index(w->orders, i);
        }
    }
}

void
PhOwnersSim_SendOrders(PhOwnersSim *w, int instance)
{
    PhSimInstance *m = &w->instances[instance];
    PhSchedAction a;
    PhScheduler_Confirm(m->scheduler, PhElection_ConfirmedAt(m->election),
                        PhElection_OwnedUntil(m->election));
    PhScheduler_Plan(m->scheduler, w->now, 0);
    while (PhScheduler_NextAction(m->scheduler, w->now, &a)) {
        order_send(w, instance, &a);
        if (w->delays == NULL) {
            PhOwnersSim_DeliverOrders(w);
        }
    }
    PhScheduler_RemoveDeadWorkers(m->scheduler);
    PhScheduler_ClearEvents(m->scheduler);
}
