#include "peridothill/decide/requests/limit.h"

#include <glib.h>

enum {
    WINDOW_MS = 100,
    LIMIT_SAMPLES = 16,
    /* Smaller windows make the lowest mean follow random variation. */
    BASELINE_SAMPLES = 100,
};

static const double INITIAL_FACTOR = 1.2;
static const double MIN_FACTOR = 0.5;
static const double MAX_FACTOR = 1.3;
static const double TOLERANCE =
    1.6; /* mean latency as a multiple of the baseline */
static const double MIN_MULTIPLIER = 0.8; /* lowest multiplier per window */
static const double INCREASE_STEP = 0.05; /* added per window */
static const double BASELINE_RISE_RATE =
    0.02; /* fraction of the difference, per window */

/* Returns true with the mean once the window has enough samples and has lasted
 * long enough; a new window starts then. */
static bool
window_add(PhWindow *window, uint32_t samples, double sample, PhTime now,
           double *mean)
{
    window->sum += sample;
    window->count++;
    if (window->count < samples ||
        now - window->start < WINDOW_MS * PH_NS_PER_MS) {
        return false;
    }
    *mean = window->sum / window->count;
    *window = (PhWindow){.start = now};
    return true;
}

/* Follows a falling mean at once and a rising one slowly. */
void
PhBaseline_Observe(PhBaseline *baseline, double sample, PhTime now)
{
    double mean;
    if (!window_add(&baseline->window, BASELINE_SAMPLES, sample, now, &mean)) {
        return;
    }
    if (baseline->value == 0.0 || mean < baseline->value) {
        baseline->value = mean;
    }
    else {
        baseline->value += BASELINE_RISE_RATE * (mean - baseline->value);
    }
}

/* Starts slightly above the slots, so that no slot idles for a network round
 * trip. */
PhLimit
PhLimit_Make(void)
{
    return (PhLimit){.factor = INITIAL_FACTOR};
}

bool
PhLimit_Observe(PhLimit *limit, double ratio, PhTime now)
{
    double mean;
    double before = limit->factor;
    if (!window_add(&limit->window, LIMIT_SAMPLES, ratio, now, &mean)) {
        return false;
    }
    if (mean > TOLERANCE) {
        limit->factor *= MAX(TOLERANCE / mean, MIN_MULTIPLIER);
    }
    else {
        limit->factor += INCREASE_STEP;
    }
    limit->factor = CLAMP(limit->factor, MIN_FACTOR, MAX_FACTOR);
    return limit->factor != before;
}
