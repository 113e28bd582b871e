/* Applies the planned paces of backfill tasks after a sample of their worker.
 */
#include "scheduler_private.h"

/* A task with this pace or less is stalled. */
static const int STALLED_PERCENT = 30;
/* Shorter stalls are waited out, since loads oscillate within seconds. */
static const PhTime MOVE_AFTER = 1000 * PH_NS_PER_MS;
/* A task without checkpoints is only moved before it has run this long. */
static const PhTime MOVE_LOSS_MAX = 2500 * PH_NS_PER_MS;

static void
track_stall(PhSchedTask *task, PhTime now)
{
    if (task->percent > STALLED_PERCENT) {
        task->stalled_since = 0;
    }
    else if (task->stalled_since == 0) {
        task->stalled_since = now;
    }
}

/* Stops a stalled backfill task if another worker has capacity, so that it
 * starts there.  Its work since the last checkpoint is lost. */
static void
move_if_stalled(PhScheduler *s, PhSchedTask *task, PhTime now)
{
    bool cheap = PhSchedTask_Step(task)->saves_progress ||
                 now - task->since < MOVE_LOSS_MAX;
    if (task->stalled_since == 0 || now - task->stalled_since < MOVE_AFTER ||
        !cheap || PhSchedTask_Step(task)->gang || task->stopping ||
        task->state != PH_SCHED_TASK_RUNNING ||
        !PhScheduler_HasBetterWorker(s, task, now)) {
        return;
    }
    PhScheduler_StopTask(s, task);
}

void
PhScheduler_PaceWorker(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    PhInterference_Learn(s->interference, w, now);
    PhInterference_Pace(s->interference, w, now);
    for (guint i = 0; i < w->tasks->len; i++) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        const PhSchedStep *step = PhSchedTask_Step(task);
        if (!step->fills) {
            continue;
        }
        task->percent = PhInterference_PacePercent(w, step->image_number);
        if (task->state == PH_SCHED_TASK_RUNNING &&
            task->percent != task->percent_sent) {
            g_queue_push_tail(&s->paces, task);
        }
        track_stall(task, now);
        move_if_stalled(s, task, now);
    }
    PhInterference_Refresh(s->interference, w, now);
}
