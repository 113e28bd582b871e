#include "peridothill/decide/requests/limit.h"

#include <glib.h>

enum {
    WINDOW_MS = 100,
    LIMIT_SAMPLES = 16,
    /* Enough that the lowest mean of many windows is not just luck. */
    BASELINE_SAMPLES = 100,
};

static const double START_FACTOR = 1.2;
static const double LEAST_FACTOR = 0.5;
static const double GREATEST_FACTOR = 1.3;
static const double TOLERANCE = 1.6;      /* latency over baseline */
static const double STEEPEST_CUT = 0.8;   /* in one window */
static const double STEP = 0.05;          /* regained in one window */
static const double BASELINE_RISE = 0.02; /* of the gap, in one window */

/* Adds a sample; true when the window is full, with its mean, and a new one
 * starts. */
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

/* Follows falling means at once and rising ones slowly. */
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
        baseline->value += BASELINE_RISE * (mean - baseline->value);
    }
}

/* Starts a little above the slots, so that none waits for a message. */
PhLimit
PhLimit_Make(void)
{
    return (PhLimit){.factor = START_FACTOR};
}

/* Moves the factor once in a window. */
bool
PhLimit_Observe(PhLimit *limit, double ratio, PhTime now)
{
    double mean;
    double before = limit->factor;
    if (!window_add(&limit->window, LIMIT_SAMPLES, ratio, now, &mean)) {
        return false;
    }
    if (mean > TOLERANCE) {
        limit->factor *= MAX(TOLERANCE / mean, STEEPEST_CUT);
    }
    else {
        limit->factor += STEP;
    }
    limit->factor = CLAMP(limit->factor, LEAST_FACTOR, GREATEST_FACTOR);
    return limit->factor != before;
}
