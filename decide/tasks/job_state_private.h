#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_STATE_PRIVATE_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_STATE_PRIVATE_H

#include "peridothill/decide/tasks/job_state.h"

struct PhJobState {
    uint64_t next;
    uint64_t epoch;
    PhStr owner;
    uint64_t owner_offset;
    GTree *jobs;         /* number to PhJob, owned */
    GHashTable *keys;    /* &job->spec.key to PhJob */
    GQueue finished;     /* PhJob, in order of completion */
    GPtrArray *workers;  /* PhJobWorker, owned */
    GHashTable *by_id;   /* &worker->id to its number + 1 */
    GPtrArray *renewers; /* PhJobRenewer, owned */
    uint64_t placed;     /* runs on all workers */
};

/* Adds a job with all tasks waiting; takes ownership of `spec`. */
PhJob *PhJobState_AddJob(PhJobState *state, uint64_t number, PhJobSpec spec);
/* Frees the tasks of a job once none is waiting or placed, and evicts the
 * oldest finished job beyond PH_JOBS_FINISHED_MAX. */
void PhJobState_Finish(PhJobState *state, PhJob *job);
/* Adds a run to a worker. */
void PhJobState_Commit(PhJobState *state, uint32_t worker, PhRun run,
                       PhJobSize size);
/* Removes a run from the worker that must hold it. */
void PhJobState_Release(PhJobState *state, uint32_t worker, PhRun run,
                        PhJobSize size);
/* Finds or adds the renewer of an instance. */
PhJobRenewer *PhJobState_AddRenewer(PhJobState *state, PhStr instance);
/* Drops the oldest deregistered instance beyond PH_INSTANCES_LEFT_MAX. */
void PhJobState_PruneRenewers(PhJobState *state);

#endif
