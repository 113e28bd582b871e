/* HTTP interface to the tasks of a stand-in worker: commands under /tasks. */
#ifndef PERIDOTHILL_STANDIN_WORKER_TASKS_H
#define PERIDOTHILL_STANDIN_WORKER_TASKS_H

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"
#include "peridothill/fakes/fake_worker.h"
#include "peridothill/standin/worker_runs.h"

typedef struct PhStandinTasks PhStandinTasks;

PhStandinTasks *PhStandinTasks_Create(uint64_t seed, PhFakeSize capacity);
void PhStandinTasks_Destroy(PhStandinTasks *tasks);
/* Executes a command and appends the JSON answer.  Returns the HTTP status. */
int PhStandinTasks_Handle(PhStandinTasks *tasks, PhTime now, PhStr method,
                          PhStr path, PhStr body, PhBuf *answer);
/* The runs at `now` (PhWorkerRun), valid until the next call. */
const GArray *PhStandinTasks_Runs(PhStandinTasks *tasks, PhTime now);
PhJobSize PhStandinTasks_Size(const PhStandinTasks *tasks);
/* Simulates a restart of the worker: all runs and ends are lost. */
void PhStandinTasks_Restart(PhStandinTasks *tasks);

#endif
