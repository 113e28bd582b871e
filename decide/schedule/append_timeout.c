#include "peridothill/decide/schedule/append_timeout.h"

#include <glib.h>

static const PhTime TIMEOUT_MIN = 500 * PH_NS_PER_MS;
static const PhTime TIMEOUT_MAX = 1500 * PH_NS_PER_MS;
static const PhTime DELAY_FACTOR = 4;
/* Share of a shorter delay in the smoothed one, as a divisor. */
static const PhTime DELAY_DIVISOR = 8;
/* On a link of 1 Mbit/s. */
static const PhTime BYTE_TIME = 8 * PH_NS_PER_US;
enum {
    LOST_MAX =
        1, /* answers that are taken for lost before the time-out grows */
    BACKOFF_MAX = 2, /* reaches TIMEOUT_MAX */
};

PhTime
PhAppendTimeout_Get(const PhAppendTimeout *t, size_t bytes)
{
    PhTime base = MAX(TIMEOUT_MIN, DELAY_FACTOR * t->delay);
    unsigned backoff = MIN(MAX(t->silent, LOST_MAX) - LOST_MAX, BACKOFF_MAX);
    return MIN((base << backoff) + (PhTime)bytes * BYTE_TIME, TIMEOUT_MAX);
}

void
PhAppendTimeout_OnAnswer(PhAppendTimeout *t, PhTime delay)
{
    t->silent = 0;
    t->delay = delay > t->delay
                   ? MIN(delay, TIMEOUT_MAX)
                   : t->delay - (t->delay - delay) / DELAY_DIVISOR;
}

void
PhAppendTimeout_OnSilence(PhAppendTimeout *t)
{
    t->silent++;
}
