#include "peridothill/decide/schedule/store_contact.h"

#include <glib.h>

/* Two of the intervals in which the contact is observed. */
static const PhTime STEP_MAX = 200 * PH_NS_PER_MS;
/* Twice the longest wait of a read, and the answer of a slow store.  The
 * readiness check uses the same time without a limit of silence. */
static const PhTime AGE_MAX = 2400 * PH_NS_PER_MS;
/* On a link of 1 Mbit/s. */
static const PhTime BYTE_TIME = 8 * PH_NS_PER_US;

void
PhStoreContact_Init(PhStoreContact *c, PhTime limit, PhTime now)
{
    *c =
        (PhStoreContact){.limit = limit, .observed_at = now, .ticked_at = now};
}

static PhTime
earliest_due(const PhStoreContact *c)
{
    PhTime due = PH_TIME_NEVER;
    for (size_t i = 0; i < G_N_ELEMENTS(c->calls); i++) {
        if (c->calls[i].in_flight) {
            due = MIN(due, c->calls[i].due);
        }
    }
    return due;
}

static PhTime
step_since(PhTime then, PhTime now)
{
    return MIN(MAX(now - then, 0), STEP_MAX);
}

void
PhStoreContact_Observe(PhStoreContact *c, PhTime now)
{
    PhTime step = step_since(c->observed_at, now);
    PhTime due = c->timed_out ? c->observed_at : earliest_due(c);
    if (due < now) {
        c->silent_for += MIN(step, now - due);
    }
    c->age += step;
    c->observed_at = now;
}

PhTime
PhStoreContact_Tick(PhStoreContact *c, PhTime now)
{
    PhTime step = step_since(c->ticked_at, now);
    PhStoreContact_Observe(c, now);
    c->ticked_at = now;
    return step;
}

void
PhStoreContact_OnSent(PhStoreContact *c, unsigned kind, uint64_t id,
                      PhTime wait, size_t bytes, PhTime now)
{
    PhStoreContact_Observe(c, now);
    c->calls[kind] = (PhContactCall){
        .in_flight = true,
        .id = id,
        .sent_at = now,
        .number = ++c->sent,
        .due = wait == PH_TIME_NEVER ? PH_TIME_NEVER
                                     : now + wait + (PhTime)bytes * BYTE_TIME};
}

/* What was sent before a call that has an answer, and is overdue, was lost
 * alone: its silence says nothing of the store. */
static void
forget_overdue(PhStoreContact *c, PhTime sent_at, PhTime now)
{
    for (size_t i = 0; i < G_N_ELEMENTS(c->calls); i++) {
        PhContactCall *x = &c->calls[i];
        if (x->in_flight && x->sent_at <= sent_at && x->due <= now) {
            x->in_flight = false;
        }
    }
}

/* One reset or refusal may concern one call alone, and all calls of a
 * connection fail with it.  So only a call that was sent after the first
 * failure shows that the store is out of reach. */
static void
on_failure(PhStoreContact *c, const PhContactCall *x)
{
    if (!c->failed) {
        c->failed = true;
        c->sent_before_failure = c->sent;
        return;
    }
    c->unreachable |= x->number > c->sent_before_failure;
}

void
PhStoreContact_OnEnd(PhStoreContact *c, unsigned kind, uint64_t id,
                     PhStoreSign sign, PhTime now)
{
    PhContactCall *x = &c->calls[kind];
    bool tracked = x->in_flight && x->id == id;
    PhStoreContact_Observe(c, now);
    switch (sign) {
    case PH_STORE_ANSWERS:
        if (tracked) {
            forget_overdue(c, x->sent_at, now);
        }
        c->silent_for = 0;
        c->age = 0;
        c->proven = true;
        c->timed_out = false;
        c->failed = false;
        c->unreachable = false;
        break;
    case PH_STORE_IS_SILENT:
        c->timed_out |= tracked;
        break;
    case PH_STORE_UNREACHABLE:
        if (tracked) {
            on_failure(c, x);
        }
        break;
    }
    if (tracked) {
        x->in_flight = false;
    }
}

PhContactState
PhStoreContact_State(const PhStoreContact *c)
{
    if (c->limit == 0) {
        return PH_CONTACT_REACHED;
    }
    if (c->unreachable || c->silent_for >= c->limit) {
        return PH_CONTACT_LOST;
    }
    return c->proven && c->age < AGE_MAX ? PH_CONTACT_REACHED
                                         : PH_CONTACT_UNPROVEN;
}
