/* Interference of backfill tasks with the serving tasks beside them, learned
 * per pair of images from the usage samples of the workers (as in Paragon and
 * Bubble-Up, docs/RELATED.md).
 *
 * The load of a serving task is a number from 0 to 1.  As in a queue, its tail
 * latency is that of an idle task divided by one minus the load.  Each share
 * of the worker's CPU that a backfill task uses adds to the load by a factor
 * of the pair of images; the rest is the task's base load.  Base loads
 * (load.h) and factors are estimated together: the difference between a sample
 * and its prediction is distributed among them by their variances. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_INTERFERENCE_H
#define PERIDOTHILL_DECIDE_SCHEDULE_INTERFERENCE_H

#include "peridothill/decide/schedule/record.h"

typedef struct PhInterference PhInterference;

PhInterference *PhInterference_Create(void);
void PhInterference_Destroy(PhInterference *interference);
/* Load that one share of CPU used by image `backfill` adds to a task of
 * `serving`.
 */
double PhInterference_Factor(const PhInterference *interference,
                             uint32_t backfill, uint32_t serving);
/* Describes every pair that was seen; the strings are copies. */
PhSchedRecord PhInterference_Record(const PhInterference *interference,
                                    const PhSchedModel *model);
/* Takes over the factors that another owner recorded. */
void PhInterference_Apply(PhInterference *interference, PhSchedModel *model,
                          const PhSchedRecord *record);
/* Learns from the samples that a worker reported at `now`. */
void PhInterference_Learn(PhInterference *interference, PhSchedWorker *worker,
                          PhTime now);
/* Recomputes the predicted loads of the serving tasks on a worker. */
void PhInterference_Refresh(const PhInterference *interference,
                            PhSchedWorker *worker, PhTime now);
/* Expected number of serving tasks that a backfill task of this step would
 * push over their target on a worker. */
double PhInterference_Cost(const PhInterference *interference,
                           const PhSchedWorker *worker,
                           const PhSchedStep *step);
/* Mean sensitivity of the serving tasks on a worker, 0 without any. */
double PhInterference_Sensitivity(const PhSchedWorker *worker);
/* overshoot.c: tracks since when a serving task is over its target. */
void PhSchedTask_TrackTailLatency(PhSchedTask *task, PhTime now);
/* Lowers the planned paces, one for each image in `backfill_use`, immediately
 * when a serving task is over its target. */
void PhInterference_ThrottleFor(const PhInterference *interference,
                                PhSchedWorker *worker, const PhSchedTask *task,
                                PhTime now, double *paces);
/* Sets the pace of each backfill image on a worker such that its serving tasks
 * are expected to stay within their targets. */
void PhInterference_Pace(const PhInterference *interference,
                         PhSchedWorker *worker, PhTime now);
/* The pace of a backfill image on a worker, in percent of full pace. */
int PhInterference_PacePercent(const PhSchedWorker *worker, uint32_t image);

#endif
