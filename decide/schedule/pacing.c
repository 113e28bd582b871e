/* Carries out the paces of tasks that fill after a look at their worker. */
#include "scheduler_private.h"

/* Gives the pace of an image on a worker. */
static int8_t
image_pace(const PhSchedWorker *w, uint32_t image)
{
    for (guint i = 0; i < w->fill_use->len; i++) {
        const PhSchedFillUse *u =
            &g_array_index(w->fill_use, PhSchedFillUse, i);
        if (u->image == image) {
            return u->percent;
        }
    }
    return 100;
}

/* Adjusts the pace on one worker after a look at it. */
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
        task->percent = image_pace(w, step->image_number);
        if (task->state == PH_SCHED_TASK_RUNNING &&
            task->percent != task->percent_told) {
            g_queue_push_tail(&s->paces, task);
        }
    }
    PhInterference_Refresh(s->interference, w);
}
