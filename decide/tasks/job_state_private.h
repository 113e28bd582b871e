/* What the files of the state share. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_STATE_PRIVATE_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_STATE_PRIVATE_H

#include "peridothill/decide/tasks/job_state.h"

struct PhJobState {
    uint64_t next;
    uint64_t epoch;
    PhStr owner;
    uint64_t owner_place;
    GTree *jobs;         /* number to PhJob, owned */
    GHashTable *keys;    /* &job->spec.key to PhJob */
    GQueue finished;     /* PhJob, the first finished first */
    GPtrArray *workers;  /* PhJobWorker, owned */
    GHashTable *by_id;   /* &worker->id to its number + 1 */
    GPtrArray *renewers; /* PhJobRenewer, owned */
    uint64_t placed;
};

/* Adds a job with all its tasks waiting; takes over the spec. */
PhJob *PhJobState_AddJob(PhJobState *state, uint64_t number, PhJobSpec spec);
/* Drops the tasks of a job that has none waiting or placed, and the job that
 * finished first when there are too many. */
void PhJobState_Finish(PhJobState *state, PhJob *job);
/* Puts a run on a worker, or takes it off. */
void PhJobState_Commit(PhJobState *state, uint32_t worker, PhRun run,
                       PhJobSize size);
void PhJobState_Release(PhJobState *state, uint32_t worker, PhRun run,
                        PhJobSize size);
/* The renewer of an instance, added if it is new. */
PhJobRenewer *PhJobState_AddRenewer(PhJobState *state, PhStr instance);
/* Forgets the instance that left first when too many have left. */
void PhJobState_PruneRenewers(PhJobState *state);

#endif
