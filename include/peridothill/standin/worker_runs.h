/* The tasks of a stand-in worker: what it holds under leases, and how it
 * answers commands.  It has no clock and no socket of its own. */
#ifndef PERIDOTHILL_STANDIN_WORKER_RUNS_H
#define PERIDOTHILL_STANDIN_WORKER_RUNS_H

#include "peridothill/decide/tasks/worker_command.h"

/* A run that the worker holds.  `checkpoint` counts milliseconds of work, as
 * does `progress_ms`. */
typedef struct PhWorkerRun {
    PhRun run;
    PhJobSize size;
    int64_t lease_until_ms;
    int64_t run_ms; /* 0 runs until it is stopped */
    int64_t progress_ms;
    int64_t advanced_ms; /* clock up to which progress was counted */
    uint64_t checkpoint;
    uint64_t resumed_from;
    uint32_t percent; /* of full speed */
} PhWorkerRun;

typedef struct PhWorkerTasks PhWorkerTasks;

/* `boot` differs at each start of the worker. */
PhWorkerTasks *PhWorkerTasks_Create(uint64_t boot, PhJobSize size);
void PhWorkerTasks_Destroy(PhWorkerTasks *tasks);
/* Makes every start fail, or no more. */
void PhWorkerTasks_SetFailing(PhWorkerTasks *tasks, bool failing);
/* Moves all runs to `now_ms`; ends those that are done or whose lease has
 * lapsed. */
void PhWorkerTasks_Advance(PhWorkerTasks *tasks, int64_t now_ms);
/* Carries out a command; the answer's lists are the caller's. */
PhWorkerAnswer PhWorkerTasks_Command(PhWorkerTasks *tasks,
                                     const PhWorkerCommand *command,
                                     int64_t now_ms);
/* The runs held, PhWorkerRun. */
const GArray *PhWorkerTasks_Runs(const PhWorkerTasks *tasks);
/* The ends not yet acked, PhWorkerEnd. */
const GArray *PhWorkerTasks_Ended(const PhWorkerTasks *tasks);

#endif
