#include "peridothill/decide/schedule/owner_link.h"

/* Interval of hellos; the owner answers within milliseconds. */
static const PhTime HELLO_INTERVAL = 500 * PH_NS_PER_MS;
/* After two unanswered hellos calls are no longer forwarded.  The first of
 * them was sent this long ago: an instance that stood still has sent none. */
static const PhTime STALE_AFTER = 1200 * PH_NS_PER_MS;
static const PhTime HELLO_TIMEOUT = 700 * PH_NS_PER_MS;
/* An answer that takes longer than this is overdue: regions are 0.1 s apart at
 * most, and a lost packet is sent again after 0.2 s. */
static const PhTime HELLO_LATE = 300 * PH_NS_PER_MS;
/* A successor is elected within about 3 s: CLAIM_AFTER (election.c), the delay
 * of its instance and an append.  An instance without an answer from one by
 * then reads the store itself. */
static const PhTime READ_STORE_AFTER = 3500 * PH_NS_PER_MS;
/* A standby keeps reading the store this long after the owner's last answer.
 */
static const PhTime STANDBY_TIME = 15 * PH_NS_PER_S;
/* For so long an instance without contact relies on a welcome that said that
 * long-running jobs are refused. */
static const PhTime CLOSED_TIME = 15 * PH_NS_PER_S;

void
PhOwnerLink_Init(PhOwnerLink *link, bool enabled, PhTime read_delay,
                 PhTime now)
{
    *link = (PhOwnerLink){.enabled = enabled,
                          .read_delay = read_delay,
                          .since = now,
                          .next_hello_at = now};
}

void
PhOwnerLink_Clear(PhOwnerLink *link)
{
    PhStr_Clear(&link->address);
}

void
PhOwnerLink_OnNotOwner(PhOwnerLink *link, PhTime now)
{
    if (link->answered_at != 0) {
        link->since = now;
    }
    link->answered_at = 0;
    link->hello_sent_at = 0;
    link->silent_for = 0;
}

void
PhOwnerLink_SetOwner(PhOwnerLink *link, PhStr address, PhTime now)
{
    if (PhStr_Equal(link->address, address)) {
        return;
    }
    PhStr_Clear(&link->address);
    link->address = PhStr_IsEmpty(address) ? (PhStr){0} : PhStr_Dup(address);
    PhOwnerLink_OnNotOwner(link, now);
    link->next_hello_at = now;
}

void
PhOwnerLink_OnWelcome(PhOwnerLink *link, const PhWelcome *welcome, PhTime now)
{
    link->answered_at = now;
    link->hello_sent_at = 0;
    link->silent_for = 0;
    link->standby_until = welcome->standby ? now + STANDBY_TIME : 0;
    PhOwnerLink_SetLastingClosed(link, welcome->lasting_closed, now);
}

void
PhOwnerLink_SetLastingClosed(PhOwnerLink *link, bool closed, PhTime now)
{
    link->lasting_closed_at = closed ? now : 0;
}

bool
PhOwnerLink_IsLastingClosed(const PhOwnerLink *link, PhTime now)
{
    return link->lasting_closed_at != 0 &&
           now - link->lasting_closed_at < CLOSED_TIME;
}

/* Time from which the owner is taken for silent. */
static PhTime
stale_time(const PhOwnerLink *link)
{
    PhTime hello = link->hello_sent_at;
    return hello == 0
               ? PH_TIME_NEVER
               : MAX(link->answered_at + STALE_AFTER, hello + HELLO_TIMEOUT);
}

bool
PhOwnerLink_IsUp(const PhOwnerLink *link, PhTime now)
{
    return link->answered_at != 0 && now < stale_time(link);
}

void
PhOwnerLink_Observe(PhOwnerLink *link, PhTime time)
{
    bool waits = link->answered_at != 0 && link->hello_sent_at != 0;
    link->silent_for = waits ? link->silent_for + time : 0;
}

bool
PhOwnerLink_IsSilent(const PhOwnerLink *link)
{
    return link->silent_for >= HELLO_TIMEOUT;
}

bool
PhOwnerLink_IsLate(const PhOwnerLink *link)
{
    return link->silent_for >= HELLO_LATE;
}

/* Time from which this instance reads the store although it is no standby. */
static PhTime
read_store_time(const PhOwnerLink *link)
{
    return MAX(link->answered_at, link->since) + READ_STORE_AFTER +
           link->read_delay;
}

bool
PhOwnerLink_MustReadStore(const PhOwnerLink *link, PhTime now)
{
    return !link->enabled || now < link->standby_until ||
           now >= read_store_time(link);
}

bool
PhOwnerLink_TakeHello(PhOwnerLink *link, PhTime now)
{
    if (!link->enabled || PhStr_IsEmpty(link->address) ||
        now < link->next_hello_at) {
        return false;
    }
    link->next_hello_at = now + HELLO_INTERVAL;
    link->hello_sent_at = link->hello_sent_at == 0 ? now : link->hello_sent_at;
    return true;
}

void
PhOwnerLink_HastenHello(PhOwnerLink *link, PhTime now)
{
    link->next_hello_at = MIN(link->next_hello_at, now);
}

PhTime
PhOwnerLink_Due(const PhOwnerLink *link, PhTime now)
{
    PhTime due = PH_TIME_NEVER;
    if (!link->enabled) {
        return due;
    }
    if (!PhStr_IsEmpty(link->address)) {
        due = link->next_hello_at;
    }
    if (PhOwnerLink_IsUp(link, now)) {
        due = MIN(due, stale_time(link));
    }
    if (now < read_store_time(link)) {
        due = MIN(due, read_store_time(link));
    }
    return due;
}
