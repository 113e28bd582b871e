/* The task part of a stand-in worker: commands under /tasks. */
#ifndef PERIDOTHILL_STANDIN_WORKER_TASKS_H
#define PERIDOTHILL_STANDIN_WORKER_TASKS_H

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"
#include "peridothill/fakes/fake_worker.h"

typedef struct PhStandinTasks PhStandinTasks;

PhStandinTasks *
PhStandinTasks_Create(uint64_t seed, PhFakeSize capacity);
void
PhStandinTasks_Destroy(PhStandinTasks *tasks);
/* Carries out one command at `now` and appends its answer in JSON; tells the
 * HTTP status. */
int
PhStandinTasks_Handle(PhStandinTasks *tasks, PhTime now, PhStr method,
                      PhStr path, PhStr body, PhBuf *answer);

#endif
