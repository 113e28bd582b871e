#include "peridothill/decide/schedule/owner_link.h"

/* The owner is greeted this often; it answers within milliseconds. */
static const PhTime HELLO_EVERY = 500 * PH_NS_PER_MS;
/* Without an answer for two greetings calls are no longer given to it. */
static const PhTime STALE_AFTER = 1200 * PH_NS_PER_MS;
/* A successor is elected within 3 s (election.h); after that an instance that
 * hears of none reads the store itself. */
static const PhTime FOLLOW_AFTER = 3500 * PH_NS_PER_MS;
/* A standby goes on following this long after the owner's last word. */
static const PhTime STANDBY_TIME = 15 * PH_NS_PER_S;

/* Begins without an owner. */
void
PhOwnerLink_Open(PhOwnerLink *x, bool enabled, PhTime now)
{
    *x = (PhOwnerLink){.enabled = enabled, .since = now, .next_hello_at = now};
}

/* Releases what the view owns. */
void
PhOwnerLink_Clear(PhOwnerLink *x)
{
    PhStr_Clear(&x->address);
}

/* Takes in that this is not the owner. */
void
PhOwnerLink_OnDismiss(PhOwnerLink *x, PhTime now)
{
    if (x->heard_at != 0) {
        x->since = now;
    }
    x->heard_at = 0;
}

/* Names the owner. */
void
PhOwnerLink_SetOwner(PhOwnerLink *x, PhStr address, PhTime now)
{
    if (PhStr_Equal(x->address, address)) {
        return;
    }
    PhStr_Clear(&x->address);
    x->address = PhStr_IsEmpty(address) ? (PhStr){0} : PhStr_Dup(address);
    PhOwnerLink_OnDismiss(x, now);
    x->next_hello_at = now;
}

/* Takes in the owner's answer. */
void
PhOwnerLink_OnWelcome(PhOwnerLink *x, bool standby, PhTime now)
{
    x->heard_at = now;
    x->standby_until = standby ? now + STANDBY_TIME : 0;
}

/* Tells whether calls can be given to the owner. */
bool
PhOwnerLink_IsUp(const PhOwnerLink *x, PhTime now)
{
    return x->heard_at != 0 && now - x->heard_at < STALE_AFTER;
}

/* Gives the time from which this instance follows on its own. */
static PhTime
follow_time(const PhOwnerLink *x)
{
    return MAX(x->heard_at, x->since) + FOLLOW_AFTER;
}

/* Tells whether this instance has to follow the store. */
bool
PhOwnerLink_Follows(const PhOwnerLink *x, PhTime now)
{
    return !x->enabled || now < x->standby_until || now >= follow_time(x);
}

/* Tells whether a greeting is due. */
bool
PhOwnerLink_TakeHello(PhOwnerLink *x, PhTime now)
{
    if (!x->enabled || PhStr_IsEmpty(x->address) || now < x->next_hello_at) {
        return false;
    }
    x->next_hello_at = now + HELLO_EVERY;
    return true;
}

/* Gives the next time at which something is due. */
PhTime
PhOwnerLink_Due(const PhOwnerLink *x, PhTime now)
{
    PhTime due = PH_TIME_NEVER;
    if (!x->enabled) {
        return due;
    }
    if (!PhStr_IsEmpty(x->address)) {
        due = x->next_hello_at;
    }
    if (PhOwnerLink_IsUp(x, now)) {
        due = MIN(due, x->heard_at + STALE_AFTER);
    }
    if (now < follow_time(x)) {
        due = MIN(due, follow_time(x));
    }
    return due;
}
