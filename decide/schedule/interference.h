/* What tasks that fill cost the tasks that serve beside them, learned by pair
 * of images from the workers' rough figures (as in Paragon and Bubble-Up,
 * docs/RELATED.md).
 *
 * The load of a serving task is a number from 0 to 1: its tail is that of an
 * idle task divided by what is left of 1, as in a queue.  Each share of the
 * worker's CPU that a filling task uses adds to it, by a factor for the pair
 * of images; the rest is the task's own.  Own loads (load.h) and factors are
 * estimated together: what a look shows beyond what was expected is shared out
 * among them by how uncertain each is. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_INTERFERENCE_H
#define PERIDOTHILL_DECIDE_SCHEDULE_INTERFERENCE_H

#include "peridothill/decide/schedule/record.h"

typedef struct PhInterference PhInterference;

PhInterference *PhInterference_Create(void);
void PhInterference_Destroy(PhInterference *interference);
/* The load that one CPU share of `fill` adds to a task of `serving`. */
double PhInterference_Factor(const PhInterference *interference, uint32_t fill,
                             uint32_t serving);
/* Describes every pair that was seen; the strings are copies. */
PhSchedRecord PhInterference_Record(const PhInterference *interference,
                                    const PhSchedModel *model);
/* Takes over what another owner has learned. */
void PhInterference_Apply(PhInterference *interference, PhSchedModel *model,
                          const PhSchedRecord *record);
/* Learns from the figures of a look at a worker at `now`. */
void PhInterference_Learn(PhInterference *interference, PhSchedWorker *worker,
                          PhTime now);
/* Works out anew what load the serving tasks on a worker bear. */
void PhInterference_Refresh(const PhInterference *interference,
                            PhSchedWorker *worker, PhTime now);
/* How many serving tasks a task of this step is expected to bring over their
 * target if it filled on a worker. */
double PhInterference_Cost(const PhInterference *interference,
                           const PhSchedWorker *worker,
                           const PhSchedStep *step);
/* How much filling images disturb the tasks on a worker, on average. */
double PhInterference_Sensitivity(const PhSchedWorker *worker);
/* overshoot.c: notes from a look since when a serving task is over its
 * target. */
void PhSchedTask_TrackTailLatency(PhSchedTask *task, PhTime now);
/* Lowers the planned paces, one for each image in `fill_use`, at once when a
 * serving task is over its target. */
void PhInterference_ThrottleFor(const PhInterference *interference,
                                PhSchedWorker *worker, const PhSchedTask *task,
                                PhTime now, double *paces);
/* Sets the pace of each filling image on a worker so that every serving task
 * stays within its target. */
void PhInterference_Pace(const PhInterference *interference,
                         PhSchedWorker *worker, PhTime now);
/* The pace of a filling image on a worker, in percent of full pace. */
int PhInterference_PacePercent(const PhSchedWorker *worker, uint32_t image);

#endif
