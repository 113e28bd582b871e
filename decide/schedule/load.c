#include "peridothill/decide/schedule/load.h"

#include <glib.h>
#include <math.h>

/* Prior of a step without samples: mean and variance of typical loads
 * (docs/measures/schedule.md). */
static const double PRIOR_LEVEL = 0.43;
static const double PRIOR_LEVEL_VARIANCE = 0.03;
static const double PRIOR_SLOPE_VARIANCE = 0.01;
/* Process noise of the slope: of a trend, and of an oscillation whose period
 * differs from the filter's.  In squared load per second, per second. */
static const double TREND_NOISE = 0.003;
static const double OSCILLATION_NOISE = 0.001;
/* Time constant of the mean in seconds; longer than a typical oscillation. */
static const double MEAN_TIME_CONSTANT_S = 15;
/* Periods of the oscillations in seconds, 0 for the trend. */
static const double periods_s[PH_SCHED_LOAD_FILTERS] = {0,  6,  8,  10, 12,
                                                        14, 17, 20, 25};
static const double LOAD_MAX = 0.95;
/* Errors are clamped to this many standard deviations: larger ones come from
 * something that the model does not contain. */
static const double DEVIATIONS_MAX = 3;
/* Factor by which older samples are discounted at each new one; the weights
 * sum up to 5,000 samples, 1 / (1 - FIT_DECAY). */
static const double FIT_DECAY = 0.9998;
/* An oscillation must fit this much better than the trend, in log-likelihood.
 */
static const double OSCILLATION_MARGIN = 6;
/* Initial lead of a preferred filter, in log-likelihood. */
static const double PREFERRED_LEAD = 30;
static const double VARIANCE_MIN = 1e-7;

PhSchedLoad *
PhSchedLoad_Create(PhTime now)
{
    PhSchedLoad *x = g_new0(PhSchedLoad, 1);
    x->at = now;
    for (int i = 0; i < PH_SCHED_LOAD_FILTERS; i++) {
        x->filters[i] =
            (PhSchedLoadFilter){.mean = PRIOR_LEVEL,
                                .level = PRIOR_LEVEL,
                                .level_variance = PRIOR_LEVEL_VARIANCE,
                                .slope_variance = PRIOR_SLOPE_VARIANCE};
    }
    return x;
}

/* Accepts NULL. */
void
PhSchedLoad_Destroy(PhSchedLoad *x)
{
    g_free(x);
}

/* In radians per second. */
static double
frequency(int filter)
{
    return 2 * G_PI / periods_s[filter];
}

/* Predicts the level after `dt` seconds. */
static double
filter_level(const PhSchedLoadFilter *s, int filter, double dt)
{
    if (periods_s[filter] <= 0) {
        return s->level + s->slope * dt;
    }
    double f = frequency(filter);
    return s->mean + (s->level - s->mean) * cos(f * dt) +
           s->slope * sin(f * dt) / f;
}

static void
trend_advance(PhSchedLoadFilter *s, double dt)
{
    s->level += s->slope * dt;
    s->level_variance += 2 * dt * s->covariance + dt * dt * s->slope_variance +
                         TREND_NOISE * dt * dt * dt / 3;
    s->covariance += dt * s->slope_variance + TREND_NOISE * dt * dt / 2;
    s->slope_variance += TREND_NOISE * dt;
}

/* Rotates level and slope around the mean. */
static void
oscillation_advance(PhSchedLoadFilter *s, int filter, double dt)
{
    double f = frequency(filter);
    double c = cos(f * dt);
    double n = sin(f * dt);
    double level = s->level - s->mean;
    double slope = s->slope;
    double lv = s->level_variance;
    double cv = s->covariance;
    double sv = s->slope_variance;
    s->level = s->mean + c * level + n / f * slope;
    s->slope = -f * n * level + c * slope;
    s->level_variance = c * c * lv + 2 * c * n / f * cv + n * n / f / f * sv +
                        OSCILLATION_NOISE * dt * dt * dt / 3;
    s->covariance = -f * n * c * lv + (c * c - n * n) * cv + n * c / f * sv +
                    OSCILLATION_NOISE * dt * dt / 2;
    s->slope_variance = f * f * n * n * lv - 2 * f * n * c * cv + c * c * sv +
                        OSCILLATION_NOISE * dt;
}

void
PhSchedLoad_Advance(PhSchedLoad *x, PhTime now)
{
    double dt = (double)(now - x->at) / PH_NS_PER_S;
    x->at = now;
    if (dt <= 0) {
        return;
    }
    for (int i = 0; i < PH_SCHED_LOAD_FILTERS; i++) {
        PhSchedLoadFilter *s = &x->filters[i];
        if (periods_s[i] <= 0) {
            trend_advance(s, dt);
        }
        else {
            oscillation_advance(s, i, dt);
        }
        s->level = CLAMP(s->level, 0, LOAD_MAX);
        s->mean += (s->level - s->mean) * MIN(dt / MEAN_TIME_CONSTANT_S, 1);
    }
}

/* Updates one filter; returns the negative log-likelihood of the sample. */
static double
filter_observe(PhSchedLoadFilter *s, double base_load, double variance)
{
    double total = s->level_variance + variance;
    double most = DEVIATIONS_MAX * sqrt(total);
    double error = CLAMP(base_load - s->level, -most, most);
    double level_gain = s->level_variance / total;
    double slope_gain = s->covariance / total;
    s->level = CLAMP(s->level + level_gain * error, 0, LOAD_MAX);
    s->slope += slope_gain * error;
    s->slope_variance =
        MAX(s->slope_variance - slope_gain * s->covariance, VARIANCE_MIN);
    s->covariance -= slope_gain * s->level_variance;
    s->level_variance =
        MAX(s->level_variance - level_gain * s->level_variance, VARIANCE_MIN);
    return error * error / total + log(total);
}

void
PhSchedLoad_Observe(PhSchedLoad *x, double base_load, double variance,
                    PhSchedFits *fits)
{
    for (int i = 0; i < PH_SCHED_LOAD_FILTERS; i++) {
        double loss = filter_observe(&x->filters[i], base_load, variance);
        fits->losses[i] = FIT_DECAY * fits->losses[i] + loss;
    }
    x->chosen = PhSchedFits_Best(fits);
}

int
PhSchedFits_Best(const PhSchedFits *fits)
{
    int best = 0;
    double least = fits->losses[0] - OSCILLATION_MARGIN;
    for (int i = 1; i < PH_SCHED_LOAD_FILTERS; i++) {
        if (fits->losses[i] < least) {
            best = i;
            least = fits->losses[i];
        }
    }
    return best;
}

void
PhSchedFits_Prefer(PhSchedFits *fits, int filter)
{
    if (filter > 0 && filter < PH_SCHED_LOAD_FILTERS &&
        PhSchedFits_Best(fits) != filter) {
        *fits = (PhSchedFits){0};
        fits->losses[filter] = -PREFERRED_LEAD;
    }
}

double
PhSchedLoad_Expected(const PhSchedLoad *x, PhTime time)
{
    if (x == NULL) {
        return PRIOR_LEVEL;
    }
    double dt = (double)(time - x->at) / PH_NS_PER_S;
    double level = filter_level(&x->filters[x->chosen], x->chosen, dt);
    return CLAMP(level, 0, LOAD_MAX);
}

double
PhSchedLoad_Deviation(const PhSchedLoad *x)
{
    return sqrt(x == NULL ? PRIOR_LEVEL_VARIANCE
                          : x->filters[x->chosen].level_variance);
}
