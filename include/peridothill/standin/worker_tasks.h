/* The task part of a stand-in worker: commands under /tasks. */
#ifndef PERIDOTHILL_STANDIN_WORKER_TASKS_H
#define PERIDOTHILL_STANDIN_WORKER_TASKS_H

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"
#include "peridothill/fakes/fake_worker.h"
#include "peridothill/standin/worker_runs.h"

typedef struct PhStandinTasks PhStandinTasks;

PhStandinTasks *PhStandinTasks_Create(uint64_t seed, PhFakeSize capacity);
void PhStandinTasks_Destroy(PhStandinTasks *tasks);
/* Carries out one command at `now` and appends its answer in JSON; tells the
 * HTTP status. */
int PhStandinTasks_Handle(PhStandinTasks *tasks, PhTime now, PhStr method,
                          PhStr path, PhStr body, PhBuf *answer);
/* The runs held at `now`, PhWorkerRun, until the next call. */
const GArray *PhStandinTasks_Runs(PhStandinTasks *tasks, PhTime now);
PhJobSize PhStandinTasks_Size(const PhStandinTasks *tasks);
/* Loses all runs and their ends, as a restart of the worker does. */
void PhStandinTasks_Restart(PhStandinTasks *tasks);

#endif
