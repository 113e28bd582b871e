#include "peridothill/decide/schedule/order_window.h"

#include <math.h>

#include <glib.h>

static const double LIMIT_FIRST = 8;
static const double LIMIT_MIN = 4;
static const double LIMIT_MAX = 8192;
/* Longest delay at which the limit does not shrink.  Renewals wait as long,
 * and have 1.2 s before they count as unanswered. */
static const PhTime DELAY_TARGET = 250 * PH_NS_PER_MS;
/* Time that a start may wait at its dispatcher. */
static const PhTime RELAY_QUEUE = 300 * PH_NS_PER_MS;
static const double SHRINK_FACTOR = 0.7;
static const PhTime PRESSED_TIME = 60 * PH_NS_PER_S;
/* For so long after the delay was too long, waiting tasks count as overload.
 */
static const PhTime CONGESTED_AGE = 10 * PH_NS_PER_S;
static const double FAST_GROWTH = 0.25;
/* Bounds of the time after which an order is repeated.  Workers answer within
 * milliseconds. */
static const PhTime TIMEOUT_MIN = 400 * PH_NS_PER_MS;
static const PhTime TIMEOUT_MAX = 1200 * PH_NS_PER_MS;
static const int TIMEOUT_FACTOR = 4; /* times the smoothed delay */
/* Weight of a new delay in the smoothed one. */
static const double DELAY_WEIGHT = 0.1;
/* A task had to wait this recently. */
static const PhTime LIMITED_AGE = 1 * PH_NS_PER_S;
/* Time constant of the rate of answers. */
static const double RATE_SPAN_S = 1;
/* Highest rate that is assumed without answers. */
static const double RATE_GUESS_MAX = 100;
enum {
    /* Starts are recorded while those before them are under way. */
    QUEUE_FACTOR = 3,
    LASTING_SHARE = 2, /* tasks that are to last have so many times the room */
};

void
PhOrderWindow_Init(PhOrderWindow *w, PhTime pressed_delay)
{
    *w = (PhOrderWindow){
        .limit = LIMIT_FIRST, .probing = true, .pressed_delay = pressed_delay};
}

void
PhOrderWindow_SetRelayed(PhOrderWindow *w, bool relayed)
{
    if (w->relayed && !relayed) {
        w->limit = MIN(w->limit, LIMIT_FIRST);
        w->probing = true;
    }
    w->relayed = relayed;
}

bool
PhOrderWindow_MaySend(const PhOrderWindow *w)
{
    return (double)w->outstanding < w->limit;
}

static uint32_t
room(const PhOrderWindow *w, double limit, uint32_t queued)
{
    double used = (double)w->outstanding + queued;
    return used >= limit ? 0 : (uint32_t)ceil(limit - used);
}

uint32_t
PhOrderWindow_Room(const PhOrderWindow *w, uint32_t queued)
{
    return room(w, QUEUE_FACTOR * w->limit, queued);
}

uint32_t
PhOrderWindow_LastingRoom(const PhOrderWindow *w, uint32_t queued)
{
    return room(w, LASTING_SHARE * QUEUE_FACTOR * w->limit, queued);
}

void
PhOrderWindow_OnLimited(PhOrderWindow *w, PhTime now)
{
    w->limited_at = now;
}

void
PhOrderWindow_OnSent(PhOrderWindow *w)
{
    w->outstanding++;
}

static double
seconds(PhTime span)
{
    return (double)span / (double)PH_NS_PER_S;
}

/* Decays the rate to `now`. */
static double
rate_at(const PhOrderWindow *w, PhTime now)
{
    return w->rate * exp(-seconds(MAX(now - w->rated_at, 0)) / RATE_SPAN_S);
}

/* Shrinks at most once in each delay, since the effect shows only then.  Grows
 * by a share of one for each answer while there is hardly a queue, else by one
 * for as many answers as it admits. */
static void
limit_adapt(PhOrderWindow *w, PhTime delay, PhTime now)
{
    w->congested_at = w->delay > DELAY_TARGET / 2 ? now : w->congested_at;
    if (w->delay > DELAY_TARGET) {
        if (now - w->shrunk_at > w->delay) {
            w->limit = MAX(LIMIT_MIN, w->limit * SHRINK_FACTOR);
            w->shrunk_at = now;
            w->probing = false;
        }
        return;
    }
    if (delay > DELAY_TARGET || now - w->limited_at > LIMITED_AGE ||
        w->limited_at == 0) {
        return;
    }
    double step = w->delay < DELAY_TARGET / 2 ? FAST_GROWTH : 1 / w->limit;
    w->limit = MIN(LIMIT_MAX, w->limit + (w->probing ? 1 : step));
}

static void
delay_sample(PhOrderWindow *w, PhTime delay, PhTime now)
{
    w->delay += (PhTime)(DELAY_WEIGHT * (double)(delay - w->delay));
    if (w->delay > w->pressed_delay && w->limited_at > 0 &&
        now - w->limited_at <= LIMITED_AGE) {
        w->pressed_at = now;
    }
    limit_adapt(w, delay, now);
}

void
PhOrderWindow_OnAnswer(PhOrderWindow *w, PhTime delay, bool answered,
                       PhTime now)
{
    w->outstanding -= w->outstanding > 0;
    if (!answered) {
        return;
    }
    w->rate = rate_at(w, now) + 1 / RATE_SPAN_S;
    w->rated_at = now;
    if (delay >= 0) {
        delay_sample(w, delay, now);
    }
}

void
PhOrderWindow_OnLateAnswer(PhOrderWindow *w, PhTime delay, PhTime now)
{
    delay_sample(w, delay, now);
}

PhTime
PhOrderWindow_Timeout(const PhOrderWindow *w)
{
    return CLAMP(TIMEOUT_FACTOR * w->delay, TIMEOUT_MIN, TIMEOUT_MAX);
}

PhTime
PhOrderWindow_RelayedDelay(PhTime delay, PhTime at_dispatcher)
{
    PhTime own = MAX(delay - at_dispatcher, 0);
    return MAX(own, at_dispatcher - RELAY_QUEUE);
}

bool
PhOrderWindow_IsOverloaded(const PhOrderWindow *w, PhTime now)
{
    return w->congested_at > 0 && now - w->congested_at <= CONGESTED_AGE &&
           now - w->limited_at <= LIMITED_AGE;
}

bool
PhOrderWindow_IsPressed(const PhOrderWindow *w, PhTime now)
{
    return w->pressed_delay == 0 ||
           (w->pressed_at > 0 && now - w->pressed_at <= PRESSED_TIME);
}

PhTime
PhOrderWindow_WaitFor(const PhOrderWindow *w, uint32_t tasks, PhTime now)
{
    if (!PhOrderWindow_IsOverloaded(w, now)) {
        return 0;
    }
    /* The rate lags after a takeover; by Little's law the queue has another
     * estimate. */
    double queue_rate = w->limit / seconds(MAX(w->delay, PH_NS_PER_MS));
    double rate = MAX(rate_at(w, now), MIN(queue_rate, RATE_GUESS_MAX));
    return (PhTime)(tasks / rate * (double)PH_NS_PER_S);
}
