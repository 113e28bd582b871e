#include "peridothill/decide/schedule/owner_link.h"

/* Interval of hellos; the owner answers within milliseconds. */
static const PhTime HELLO_INTERVAL = 500 * PH_NS_PER_MS;
/* After two unanswered hellos calls are no longer forwarded. */
static const PhTime STALE_AFTER = 1200 * PH_NS_PER_MS;
/* A successor is elected within 3 s (election.h); an instance without an
 * answer from one by then reads the store itself. */
static const PhTime READ_STORE_AFTER = 3500 * PH_NS_PER_MS;
/* A standby keeps reading the store this long after the owner's last answer.
 */
static const PhTime STANDBY_TIME = 15 * PH_NS_PER_S;

void
PhOwnerLink_Open(PhOwnerLink *x, bool enabled, PhTime now)
{
    *x = (PhOwnerLink){.enabled = enabled, .since = now, .next_hello_at = now};
}

void
PhOwnerLink_Clear(PhOwnerLink *x)
{
    PhStr_Clear(&x->address);
}

void
PhOwnerLink_OnNotOwner(PhOwnerLink *x, PhTime now)
{
    if (x->answered_at != 0) {
        x->since = now;
    }
    x->answered_at = 0;
}

void
PhOwnerLink_SetOwner(PhOwnerLink *x, PhStr address, PhTime now)
{
    if (PhStr_Equal(x->address, address)) {
        return;
    }
    PhStr_Clear(&x->address);
    x->address = PhStr_IsEmpty(address) ? (PhStr){0} : PhStr_Dup(address);
    PhOwnerLink_OnNotOwner(x, now);
    x->next_hello_at = now;
}

void
PhOwnerLink_OnWelcome(PhOwnerLink *x, bool standby, PhTime now)
{
    x->answered_at = now;
    x->standby_until = standby ? now + STANDBY_TIME : 0;
}

bool
PhOwnerLink_IsUp(const PhOwnerLink *x, PhTime now)
{
    return x->answered_at != 0 && now - x->answered_at < STALE_AFTER;
}

/* Time from which this instance reads the store although it is no standby. */
static PhTime
read_store_time(const PhOwnerLink *x)
{
    return MAX(x->answered_at, x->since) + READ_STORE_AFTER;
}

bool
PhOwnerLink_MustReadStore(const PhOwnerLink *x, PhTime now)
{
    return !x->enabled || now < x->standby_until || now >= read_store_time(x);
}

bool
PhOwnerLink_TakeHello(PhOwnerLink *x, PhTime now)
{
    if (!x->enabled || PhStr_IsEmpty(x->address) || now < x->next_hello_at) {
        return false;
    }
    x->next_hello_at = now + HELLO_INTERVAL;
    return true;
}

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
        due = MIN(due, x->answered_at + STALE_AFTER);
    }
    if (now < read_store_time(x)) {
        due = MIN(due, read_store_time(x));
    }
    return due;
}
