#include "job_engine_private.h"

enum {
    WORKER_FAILURES_TO_QUARANTINE = 3,
    WORKER_QUARANTINE_S = 60,
    WORKER_QUARANTINE_DOUBLINGS_MAX = 4,
    TASK_FAILURES_TO_QUARANTINE = 3,
    TASK_BACKOFF_FIRST_S = 1,
    TASK_BACKOFF_DOUBLINGS_MAX = 9,
};

/* Whether another worker may be put into quarantine: half of them stay open,
 * since where most fail their tasks are more likely to be at fault. */
static bool
quarantine_has_room(PhJobEngine *e)
{
    uint32_t listed = 0;
    uint32_t quarantined = 0;
    for (uint32_t i = 0; i < PhJobState_WorkerCount(e->state); i++) {
        const PhWorkerView *v = PhJobEngine_WorkerView(e, i);
        bool counts = v->listed && !v->leaving;
        listed += counts;
        quarantined += counts && e->now < v->quarantined_until;
    }
    return quarantined + 1 <= listed / 2;
}

/* Counts a failure against the worker unless it is likely the job's own fault:
 * the job has completed tasks elsewhere, or a different job failed here
 * before. */
static void
worker_count_failure(PhJobEngine *e, const PhJobChange *change)
{
    PhWorkerView *v = PhJobEngine_WorkerView(e, change->worker);
    const PhJob *job = PhJobState_Job(e->state, change->run.job);
    bool elsewhere = job != NULL && job->done > 0;
    if (v->failures > 0 && v->last_failed_job == change->run.job &&
        !elsewhere) {
        return;
    }
    v->last_failed_job = change->run.job;
    v->failures++;
    if (v->failures < WORKER_FAILURES_TO_QUARANTINE) {
        return;
    }
    if (e->now >= v->quarantined_until && !quarantine_has_room(e)) {
        v->failures = WORKER_FAILURES_TO_QUARANTINE - 1;
        return;
    }
    uint32_t doublings = MIN(v->failures - WORKER_FAILURES_TO_QUARANTINE,
                             WORKER_QUARANTINE_DOUBLINGS_MAX);
    v->quarantined_until =
        e->now + (((PhTime)WORKER_QUARANTINE_S << doublings) * PH_NS_PER_S);
    PhJobEngine_Count(e, PH_COUNTER_TASKS_WORKER_QUARANTINED, 1);
    PhJobEngine_Note(e, PH_NOTE_WORKER_QUARANTINED, v->id, v->failures);
    PhJobEngine_SetUsable(e, change->worker);
}

/* Returns the delay before a failed task may start again. */
static PhTime
task_backoff(PhJobEngine *e, const PhJobChange *change)
{
    const PhWorkerView *v = PhJobEngine_WorkerView(e, change->worker);
    const PhJob *job = PhJobState_Job(e->state, change->run.job);
    if (job == NULL || job->tasks == NULL || e->now < v->quarantined_until) {
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
PhJobEngine_RecordOutcome(PhJobEngine *e, const PhJobChange *change)
{
    switch (change->outcome) {
    case PH_RUN_DONE:
        PhJobEngine_WorkerView(e, change->worker)->failures = 0;
        return 0;
    case PH_RUN_FAILED:
        worker_count_failure(e, change);
        return task_backoff(e, change);
    case PH_RUN_STOPPED:
    case PH_RUN_EVICTED:
    case PH_RUN_LOST:
        return 0;
    }
    return 0;
}
