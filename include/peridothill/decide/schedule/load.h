/* The base load of the serving tasks of a step: the load from their own users,
 * without the load that backfill tasks beside them add.  The tasks of one step
 * share their users, so every task is a sample of the same load.
 *
 * Base loads oscillate within seconds.  Several Kalman filters track a load,
 * one for each of a set of periods around a mean and one for a plain trend,
 * and the filter that fits the samples best is used (multiple-model
 * estimation, docs/RELATED.md).  Loads are shares of what a task can serve, 0
 * to 1. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_LOAD_H
#define PERIDOTHILL_DECIDE_SCHEDULE_LOAD_H

#include "peridothill/common/time.h"

enum {
    PH_SCHED_LOAD_FILTERS = 9, /* filters; number 0 tracks the trend */
};

/* State of one filter: an oscillation around `mean`, or a trend. */
typedef struct PhSchedLoadFilter {
    double mean;
    double level;
    double slope; /* per second */
    double level_variance;
    double slope_variance;
    double covariance;
} PhSchedLoadFilter;

typedef struct PhSchedLoad {
    PhTime at;  /* time of the filters' state */
    int chosen; /* number of the filter in use */
    PhSchedLoadFilter filters[PH_SCHED_LOAD_FILTERS];
} PhSchedLoad;

/* Negative log-likelihood of the samples under each filter, older samples
 * discounted.  Lower is better. */
typedef struct PhSchedFits {
    double losses[PH_SCHED_LOAD_FILTERS];
} PhSchedFits;

/* Starts with the prior, before any sample. */
PhSchedLoad *PhSchedLoad_Create(PhTime now);
void PhSchedLoad_Destroy(PhSchedLoad *load);
/* Advances the filters to `now`. */
void PhSchedLoad_Advance(PhSchedLoad *load, PhTime now);
/* Updates the filters with a sample of the base load and its variance, and
 * adds to `fits` how well each filter predicted it. */
void PhSchedLoad_Observe(PhSchedLoad *load, double base_load, double variance,
                         PhSchedFits *fits);
int PhSchedFits_Best(const PhSchedFits *fits);
/* Makes a filter of an oscillation the best one and discards the fits so far,
 * unless it is the best already.  Another oscillation then has to fit better
 * by PREFERRED_LEAD, the trend by PREFERRED_LEAD less OSCILLATION_MARGIN
 * (load.c).  Number 0 and unknown numbers are ignored. */
void PhSchedFits_Prefer(PhSchedFits *fits, int filter);
/* Predicts the load at a time not before the last sample; NULL gives the
 * prior. */
double PhSchedLoad_Expected(const PhSchedLoad *load, PhTime time);
/* Standard deviation of the current level; NULL gives the prior. */
double PhSchedLoad_Deviation(const PhSchedLoad *load);

#endif
