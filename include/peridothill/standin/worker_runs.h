/* Task state of a stand-in worker: runs under leases, and the execution of
 * commands.  Without clock and socket of its own. */
#ifndef PERIDOTHILL_STANDIN_WORKER_RUNS_H
#define PERIDOTHILL_STANDIN_WORKER_RUNS_H

#include "peridothill/decide/tasks/worker_command.h"

/* A run.  `checkpoint`, `resumed_from` and `progress_ms` count milliseconds of
 * work at full speed. */
typedef struct PhWorkerRun {
    PhRun run;
    PhJobSize size;
    int64_t lease_until_ms;
    int64_t run_ms; /* 0: until stopped */
    int64_t progress_ms;
    int64_t advanced_ms; /* time up to which progress is counted */
    uint64_t checkpoint;
    uint64_t resumed_from;
    uint32_t percent; /* of full speed, 0 to 100 */
} PhWorkerRun;

typedef struct PhWorkerTasks PhWorkerTasks;

/* `boot` is different at each start of the worker. */
PhWorkerTasks *PhWorkerTasks_Create(uint64_t boot, PhJobSize size);
void PhWorkerTasks_Destroy(PhWorkerTasks *tasks);
/* Sets whether every start fails. */
void PhWorkerTasks_SetFailing(PhWorkerTasks *tasks, bool failing);
/* Advances all runs to `now_ms`.  Ends those that are done or whose lease has
 * expired. */
void PhWorkerTasks_Advance(PhWorkerTasks *tasks, int64_t now_ms);
/* Executes a command.  The lists of the answer are owned by the caller. */
PhWorkerAnswer PhWorkerTasks_Command(PhWorkerTasks *tasks,
                                     const PhWorkerCommand *command,
                                     int64_t now_ms);
/* Current runs (PhWorkerRun); borrowed. */
const GArray *PhWorkerTasks_Runs(const PhWorkerTasks *tasks);
/* Ends that are not acknowledged yet (PhWorkerEnd); borrowed. */
const GArray *PhWorkerTasks_Ended(const PhWorkerTasks *tasks);

#endif
