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
    *c = (PhStoreContact){.limit = limit, .observed_at = now};
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

PhTime
PhStoreContact_Observe(PhStoreContact *c, PhTime now)
{
    PhTime step = MIN(MAX(now - c->observed_at, 0), STEP_MAX);
    PhTime due = c->timed_out ? c->observed_at : earliest_due(c);
    if (due < now) {
        c->silent_for += MIN(step, now - due);
    }
    c->age += step;
    c->observed_at = now;
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
        c->unreachable = false;
        break;
    case PH_STORE_IS_SILENT:
        c->timed_out |= tracked;
        break;
    case PH_STORE_UNREACHABLE:
        c->unreachable |= tracked;
        break;
    }
    if (tracked) {
        x->in_flight = false;
    }
}

PhContactState
PhStoreContact_State(const PhStoreContact *c)
{
    if (c->unreachable || c->silent_for >= c->limit) {
        return PH_CONTACT_LOST;
    }
    return c->proven && c->age < AGE_MAX ? PH_CONTACT_REACHED
                                         : PH_CONTACT_UNPROVEN;
}
