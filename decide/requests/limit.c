#include "peridothill/decide/requests/limit.h"

#include <glib.h>

enum {
    WINDOW_MS = 100,
    WINDOW_SAMPLES = 10,
};

static const double START_FACTOR = 1.2;
static const double LEAST_FACTOR = 0.5;
static const double GREATEST_FACTOR = 1.3;
static const double TOLERANCE = 1.6;      /* latency over baseline */
static const double STEEPEST_CUT = 0.8;   /* in one window */
static const double STEP = 0.05;          /* regained in one window */
static const double BASELINE_RISE = 0.02; /* of the gap, in one window */

/* Starts without a baseline. */
PhLimit
PhLimit_Make(void)
{
    return (PhLimit){.factor = START_FACTOR};
}

/* Closes a window: follows the baseline and moves the factor. */
static void
window_close(PhLimit *limit, PhTime now)
{
    double mean = limit->window_sum_ns / limit->window_count;
    if (limit->baseline_ns == 0.0 || mean < limit->baseline_ns) {
        limit->baseline_ns = mean;
    }
    else {
        limit->baseline_ns += BASELINE_RISE * (mean - limit->baseline_ns);
    }
    double gradient = TOLERANCE * limit->baseline_ns / mean;
    if (gradient < 1.0) {
        limit->factor *= MAX(gradient, STEEPEST_CUT);
    }
    else {
        limit->factor += STEP;
    }
    limit->factor = CLAMP(limit->factor, LEAST_FACTOR, GREATEST_FACTOR);
    limit->window_sum_ns = 0.0;
    limit->window_count = 0;
    limit->window_start = now;
}

/* Adds one latency to the window. */
void
PhLimit_Observe(PhLimit *limit, PhTime latency, PhTime now)
{
    limit->window_sum_ns += (double)latency;
    limit->window_count++;
    if (limit->window_count >= WINDOW_SAMPLES &&
        now - limit->window_start >= WINDOW_MS * PH_NS_PER_MS) {
        window_close(limit, now);
    }
}
