#include "job_engine_private.h"

enum {
    WORKER_FAILURES_TO_QUARANTINE = 3,
    WORKER_QUARANTINE_S = 60,
    WORKER_QUARANTINE_DOUBLINGS_MAX = 4,
    TASK_FAILURES_TO_QUARANTINE = 3,
    TASK_BACKOFF_FIRST_S = 1,
    TASK_BACKOFF_DOUBLINGS_MAX = 9,
};

/* Counts a failure against the worker unless it is likely the job's own fault:
 * the job has completed tasks elsewhere, or a different job failed here
 * before. */
static void
worker_blame(PhJobEngine *e, const PhJobChange *change)
{
    PhContact *c = PhJobEngine_Contact(e, change->worker);
    const PhJob *job = PhJobState_Job(e->state, change->run.job);
    bool elsewhere = job != NULL && job->done > 0;
    if (c->failures > 0 && c->failed_job == change->run.job && !elsewhere) {
        return;
    }
    c->failed_job = change->run.job;
    c->failures++;
    if (c->failures < WORKER_FAILURES_TO_QUARANTINE) {
        return;
    }
    uint32_t doublings = MIN(c->failures - WORKER_FAILURES_TO_QUARANTINE,
                             WORKER_QUARANTINE_DOUBLINGS_MAX);
    c->quarantined_until =
        e->now + (((PhTime)WORKER_QUARANTINE_S << doublings) * PH_NS_PER_S);
    PhJobEngine_Count(e, PH_COUNTER_TASKS_WORKER_QUARANTINED, 1);
    PhJobEngine_Note(e, PH_NOTE_WORKER_QUARANTINED, c->id, c->failures);
    PhJobEngine_SetUsable(e, change->worker);
}

/* Returns the delay before a failed task may start again. */
static PhTime
task_backoff(PhJobEngine *e, const PhJobChange *change)
{
    const PhContact *c = PhJobEngine_Contact(e, change->worker);
    const PhJob *job = PhJobState_Job(e->state, change->run.job);
    if (job == NULL || job->tasks == NULL || e->now < c->quarantined_until) {
        return 0; /* the worker is at fault */
    }
    uint32_t failures = job->tasks[change->run.index].failures;
    if (failures == TASK_FAILURES_TO_QUARANTINE) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_TASK_QUARANTINED, 1);
        PhJobEngine_Note(e, PH_NOTE_TASK_QUARANTINED, job->spec.key,
                         change->run.index);
    }
    uint32_t doublings = MIN(failures, TASK_BACKOFF_DOUBLINGS_MAX);
    return ((PhTime)TASK_BACKOFF_FIRST_S << doublings) * PH_NS_PER_S;
}

PhTime
PhJobEngine_Blame(PhJobEngine *e, const PhJobChange *change)
{
    switch (change->outcome) {
    case PH_RUN_DONE:
        PhJobEngine_Contact(e, change->worker)->failures = 0;
        return 0;
    case PH_RUN_FAILED:
        worker_blame(e, change);
        return task_backoff(e, change);
    case PH_RUN_STOPPED:
    case PH_RUN_EVICTED:
    case PH_RUN_LOST:
        return 0;
    }
    return 0;
}
