/* How fast tasks that fill may work beside tasks that serve: slowed as soon as
 * a tail comes near its target, sped up again step by step (multiplicative
 * decrease, additive increase). */
#include "scheduler_private.h"

/* Shares of the target, in percent, at which the pace falls and rises. */
static const int64_t TAIL_HIGH_PERCENT = 85;
static const int64_t TAIL_LOW_PERCENT = 60;
/* Figures cover the last half second; a change shows after that and the lag
 * of the order. */
static const PhTime FIGURE_SPAN = 500 * PH_NS_PER_MS;
enum {
    PERCENT = 100,
    FILL_STEP_UP = 10, /* percent at a time */
    FILL_LEAST = 5,    /* percent, below it the pace is 0 */
};

/* Gives the worst tail on a worker, in percent of its target; -1 when no task
 * serves there. */
static int64_t
worst_tail(const PhSchedWorker *w, PhTime now)
{
    int64_t worst = -1;
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        const PhSchedStep *step = PhSchedTask_Step(task);
        if (!PhSchedStep_Serves(step) || task->figure_at != now ||
            task->figure < 0) {
            continue;
        }
        int64_t target_ms = MAX(step->tail_target / PH_NS_PER_MS, 1);
        worst = MAX(worst, task->figure * PERCENT / target_ms);
    }
    return worst;
}

/* Orders the worker's pace for each task that fills. */
static void
pace_tasks(PhScheduler *s, PhSchedWorker *w)
{
    for (guint i = 0; i < w->tasks->len; i++) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        if (!PhSchedTask_Step(task)->fills) {
            continue;
        }
        task->percent = w->fill_percent;
        if (task->state == PH_SCHED_TASK_RUNNING &&
            task->percent != task->percent_told) {
            g_queue_push_tail(&s->paces, task);
        }
    }
}

/* Adjusts the pace on one worker after a look at it. */
void
PhScheduler_PaceWorker(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    int64_t worst = worst_tail(w, now);
    int8_t percent = w->fill_percent;
    PhTime settle = FIGURE_SPAN + s->options.pace_lag;
    bool settled = now - w->paced_at >= settle;
    if (worst < 0) {
        percent = PERCENT;
    }
    else if (worst >= PERCENT && settled) {
        percent = (int8_t)(percent * 40 / PERCENT);
    }
    else if (worst >= TAIL_HIGH_PERCENT && settled) {
        percent = (int8_t)(percent * 70 / PERCENT);
    }
    else if (worst < TAIL_LOW_PERCENT && now - w->paced_at >= 2 * settle) {
        percent = (int8_t)MIN(percent + FILL_STEP_UP, PERCENT);
    }
    if (percent < FILL_LEAST && percent < w->fill_percent) {
        percent = 0;
    }
    if (percent != w->fill_percent) {
        w->fill_percent = percent;
        w->paced_at = now;
    }
    pace_tasks(s, w);
}
