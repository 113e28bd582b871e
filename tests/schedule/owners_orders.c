/* Delivery of the owners' orders to workers, and of the replies. */
#include "owners_world_private.h"

#include "tests/table.h"

enum {
    DELAY_MOST_MS = 60,       /* of an order or its reply */
    ANSWER_TIMEOUT_MS = 1200, /* of an order without a reply */
    LATE_LEAST_MS = 2000,
    LATE_SPREAD_MS = 10000,
};

/* Passes the outcome of an order to its owner.  Returns false if the owner has
 * been replaced. */
static bool
order_answer(PhOwnersWorld *w, PhMember *m, const PhSchedAction *a,
             PhHostReply *reply)
{
    const PhSchedRunOrder *run = &a->as.run;
    PhSchedOutcome outcome = reply->hold.outcome;
    PhTime now = w->now;
    switch (a->tag) {
    case PH_SCHED_ACTION_HOLD:
        return PhScheduler_OnHold(m->scheduler, a->worker, a->born_ms,
                                  &reply->hold, now);
    case PH_SCHED_ACTION_START:
        return PhScheduler_OnStart(m->scheduler, &run->task, run->run, outcome,
                                   reply->hold.clock_ms, now);
    case PH_SCHED_ACTION_STOP:
        return PhScheduler_OnStop(m->scheduler, &run->task, run->run, outcome,
                                  reply->hold.clock_ms, now);
    case PH_SCHED_ACTION_PACE:
        break;
    }
    return true;
}

/* Draws a delay below `max_ms`; 0 without delays. */
static PhTime
delay(PhOwnersWorld *w, int64_t most_ms)
{
    return w->delays == NULL
               ? 0
               : (PhTime)PhRandom_Below(w->delays, (uint64_t)most_ms) *
                     PH_NS_PER_MS;
}

static void
order_send(PhOwnersWorld *w, int member, const PhSchedAction *a)
{
    int host = PhHost_Number(a->worker);
    bool cut = PhOwnersWorld_IsCut(w, member, host);
    bool late = PhOwnersWorld_IsBetween(w, PH_OWNERS_LATE, member, host);
    bool mute = PhOwnersWorld_IsBetween(w, PH_OWNERS_NO_ANSWERS, member, host);
    PhFlight f = {.member = member,
                  .host = host,
                  .fence = w->members[member].fence,
                  .action = *a,
                  .born_ms = w->hosts[host].born_ms,
                  .run_at = w->now + delay(w, DELAY_MOST_MS),
                  .mute = cut || late || mute,
                  .reply.hold.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    PhTime wait = a->tag == PH_SCHED_ACTION_HOLD ? a->as.hold.wait : 0;
    f.answer_at = f.run_at + delay(w, DELAY_MOST_MS);
    f.given_up_at = w->now + wait + ANSWER_TIMEOUT_MS * PH_NS_PER_MS;
    if (f.mute && w->delays != NULL) {
        f.answer_at = f.given_up_at;
    }
    else if (w->delays != NULL && wait > 0) {
        f.answer_at = f.given_up_at;
        f.waits_until = f.run_at + wait;
    }
    if (cut) {
        f.run_at = PH_TIME_NEVER;
    }
    else if (late) {
        f.run_at =
            w->now + LATE_LEAST_MS * PH_NS_PER_MS + delay(w, LATE_SPREAD_MS);
    }
    f.action.worker = PhStr_FromC(w->hosts[host].id);
    if (a->tag != PH_SCHED_ACTION_HOLD) {
        f.action.as.run.task.job =
            PhHostTasks_JobId(&w->tasks, a->as.run.task.job);
        f.action.as.run.payload = (PhStr){0};
        f.action.as.run.saved = (PhStr){0};
    }
    g_array_append_val(w->flights, f);
}

/* Delivers an order to its worker.  An order to an earlier incarnation is
 * lost. */
static void
flight_run(PhOwnersWorld *w, PhFlight *f)
{
    PhHost *h = &w->hosts[f->host];
    PhHostReply reply = {.hold.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    f->run_at = PH_TIME_NEVER;
    if (h->born_ms != f->born_ms || !h->alive) {
        f->answer_at = w->delays == NULL ? w->now : f->given_up_at;
        f->waits_until = 0;
        return;
    }
    PhHost_Call(h, &w->tasks, f->fence, &f->action, w->now, &reply);
    if (f->mute) {
        PhHostReply_Clear(&reply);
        return;
    }
    f->reply = reply;
}

/* Completes a waiting hold once there is an end, or its wait is over. */
static void
flight_wait(PhOwnersWorld *w, PhFlight *f)
{
    PhHost *h = &w->hosts[f->host];
    bool there = h->alive && h->born_ms == f->born_ms;
    if (there && h->ends->len == 0 && w->now < f->waits_until) {
        return;
    }
    f->waits_until = 0;
    PhHostReply_Clear(&f->reply);
    f->reply = (PhHostReply){.hold.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    if (there && !PhOwnersWorld_IsCut(w, f->member, f->host)) {
        f->action.as.hold.deadline_ms = 0;
        f->action.as.hold.last_seen = 0;
        PhHost_Call(h, &w->tasks, f->fence, &f->action, w->now, &f->reply);
        f->answer_at = w->now + delay(w, DELAY_MOST_MS);
    }
}

/* Delivers the reply, unless the owner has changed since. */
static void
flight_answer(PhOwnersWorld *w, PhFlight *f)
{
    PhMember *m = &w->members[f->member];
    f->answer_at = PH_TIME_NEVER;
    if (m->active && m->fence == f->fence &&
        !order_answer(w, m, &f->action, &f->reply)) {
        PhElection_OnDeposed(m->election, w->now);
    }
    PhHostReply_Clear(&f->reply);
    f->reply = (PhHostReply){0};
}

void
PhOwnersWorld_TickOrders(PhOwnersWorld *w)
{
    for (guint i = 0; i < w->flights->len; i++) {
        PhFlight *f = &g_array_index(w->flights, PhFlight, i);
        if (f->run_at <= w->now) {
            flight_run(w, f);
        }
        else if (f->run_at == PH_TIME_NEVER && f->waits_until != 0) {
            flight_wait(w, f);
        }
        if (f->answer_at <= w->now && !PhOwnersWorld_IsFrozen(w, f->member)) {
            flight_answer(w, f);
        }
    }
    for (guint i = w->flights->len; i-- > 0;) {
        const PhFlight *f = &g_array_index(w->flights, PhFlight, i);
        if (f->run_at == PH_TIME_NEVER && f->answer_at == PH_TIME_NEVER) {
            g_array_remove_index(w->flights, i);
        }
    }
}

void
PhOwnersWorld_GiveOrders(PhOwnersWorld *w, int member)
{
    PhMember *m = &w->members[member];
    PhSchedAction a;
    PhScheduler_Confirm(m->scheduler, PhElection_ConfirmedAt(m->election));
    PhScheduler_Plan(m->scheduler, w->now, 0);
    while (PhScheduler_NextAction(m->scheduler, w->now, &a)) {
        order_send(w, member, &a);
        if (w->delays == NULL) {
            PhOwnersWorld_TickOrders(w);
        }
    }
    PhScheduler_ForgetWorkers(m->scheduler);
    PhScheduler_ClearNotes(m->scheduler);
}
