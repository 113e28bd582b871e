/* Limit of the tasks of all jobs that have not ended: each takes memory in
 * every instance.  The owner refuses for it, and an instance that has read the
 * jobs recently: else the job may have been accepted elsewhere. */
#include "scheduler_private.h"

enum {
    RETRY_SECONDS = 2, /* refused clients return spread over this time */
    MEMORY_SHARE = 8,  /* the tasks take at most this part of the memory */
};

uint64_t
PhScheduler_ActiveTasksMax(uint64_t active_tasks, uint64_t memory)
{
    uint64_t fit = memory / MEMORY_SHARE / sizeof(PhSchedTask);
    fit = MAX(fit, PH_SCHED_JOB_TASKS_MAX);
    return memory > 0 ? MIN(active_tasks, fit) : active_tasks;
}

void
PhScheduler_SetPendingTasks(PhScheduler *s, uint64_t count)
{
    s->pending_tasks = count;
}

PhAdmission
PhScheduler_AdmitTasks(const PhScheduler *s, const PhSchedSpec *spec)
{
    uint64_t max = s->options.active_tasks_max;
    uint64_t active = s->model->active_tasks + s->pending_tasks;
    if (max == 0 || active == 0 || active + PhSchedSpec_Weight(spec) <= max) {
        return (PhAdmission){.tag = PH_ADMISSION_ACCEPTED};
    }
    PhTime spread = (PhTime)(PhStr_Hash(spec->id, 0) % RETRY_SECONDS);
    return (PhAdmission){.tag = PH_ADMISSION_TASKS,
                         .retry_after = (1 + spread) * PH_NS_PER_S,
                         .as.active_tasks = active};
}
