/* Minimal scheduler fixture: a job with one step, one worker, and a
 * long-running task on it. */
#ifndef PERIDOTHILL_TESTS_SINGLE_TASK_H
#define PERIDOTHILL_TESTS_SINGLE_TASK_H

#include "peridothill/decide/schedule/scheduler.h"

#define PH_SINGLE_WORKER PhStr_LITERAL("worker")
#define PH_SINGLE_JOB PhStr_LITERAL("00000000000000aa")

/* The specification is owned by the caller and takes ownership of what the
 * step owns. */
PhSchedSpec PhSingle_Spec(PhStr id, PhSchedStep step);
/* The same with an id that is made from a number. */
PhSchedSpec PhSingle_NumberedSpec(uint64_t number, PhSchedStep step);
/* Adds a job with one step and returns its first task. */
PhSchedTask *PhSingle_AddJob(PhSchedModel *model, PhStr id, PhSchedStep step);
/* Passes the worker's entry to the scheduler. */
void PhSingle_ShowWorker(PhScheduler *scheduler, bool draining, PhTime now);
/* Passes a record of an incarnation of the worker that closes its
 * connections. */
void PhSingle_Unbind(PhScheduler *scheduler, int64_t born_ms, PhTime now);
/* Adds a job with a long-running task, whose run 1 is placed on the worker. */
PhSchedTask *PhSingle_AddRun(PhScheduler *scheduler);
/* Makes all pending changes durable. */
void PhSingle_RecordAll(PhScheduler *scheduler);
/* Adds an earlier owner that has just released; its leases may outlast its
 * ownership. */
void PhSingle_AddReleased(PhPredecessors *earlier, PhTime now);

#endif
