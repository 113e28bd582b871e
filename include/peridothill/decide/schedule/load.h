/* The own load of the tasks of a step that serve: what their users ask of
 * them, without what tasks beside them add.  The tasks of one step share their
 * users, so that each of them tells of the same load.
 *
 * Such loads swing within seconds.  Several Kalman filters follow one, each as
 * a swing of another period around its mean, and one as a plain trend; who
 * knows which of them fits best chooses it (multiple-model estimation,
 * docs/RELATED.md).  Loads are shares of what a task can bear, 0 to 1. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_LOAD_H
#define PERIDOTHILL_DECIDE_SCHEDULE_LOAD_H

#include "peridothill/common/time.h"

enum {
    PH_SCHED_SWINGS = 9, /* periods that are tried; number 0 is the trend */
};

/* A load that swings with one period. */
typedef struct PhSchedLoadFilter {
    double mean;
    double level;
    double slope; /* a second */
    double level_variance;
    double slope_variance;
    double covariance;
} PhSchedLoadFilter;

typedef struct PhSchedLoad {
    PhTime at;  /* the swings are of this time */
    int chosen; /* number of the swing that is believed */
    PhSchedLoadFilter filters[PH_SCHED_SWINGS];
} PhSchedLoad;

/* How badly each swing explains what was seen; less is better. */
typedef struct PhSchedFits {
    double misfits[PH_SCHED_SWINGS];
} PhSchedFits;

/* Starts an estimate that knows nothing. */
PhSchedLoad *PhSchedLoad_Create(PhTime now);
void PhSchedLoad_Destroy(PhSchedLoad *load);
/* Moves the estimate on to `now`. */
void PhSchedLoad_Advance(PhSchedLoad *load, PhTime now);
/* Takes in the own load that one task shows, and its variance, and adds to the
 * fits how well each swing explains it. */
void PhSchedLoad_Observe(PhSchedLoad *load, double base_load, double variance,
                         PhSchedFits *fits);
/* The number of the swing that fits best. */
int PhSchedFits_Best(const PhSchedFits *fits);
/* Prefers a swing until others fit clearly better; one that is not known is
 * ignored. */
void PhSchedFits_Prefer(PhSchedFits *fits, int filter);
/* The load that is expected at a time not before the last observation; NULL
 * stands for one that was not observed. */
double PhSchedLoad_Expected(const PhSchedLoad *load, PhTime time);
/* The standard deviation of the level. */
double PhSchedLoad_Deviation(const PhSchedLoad *load);

#endif
