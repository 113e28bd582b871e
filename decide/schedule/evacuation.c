/* Moves lasting tasks off workers that leave, shortly before they do.  Room
 * for a task is reserved elsewhere before its run is stopped, so that the task
 * is down for a stop and a start instead of a lease. */
#include "scheduler_private.h"

/* Covers a stop, its end in the reply to a hold, and the record of the next
 * start. */
static const PhTime LEAD_TIME = 1200 * PH_NS_PER_MS;
/* Time between two attempts for tasks without room elsewhere. */
static const PhTime RETRY_INTERVAL = 100 * PH_NS_PER_MS;
/* A stop that has not ended the run by then does not, since its worker has
 * left. */
static const PhTime RESERVATION_TIME = 2 * PH_NS_PER_S;

/* Whether the run is one that a stop ends now. */
static bool
is_movable(const PhSchedTask *task)
{
    const PhSchedStep *step = PhSchedTask_Step(task);
    return step->long_running && !step->gang && !task->stopping &&
           task->state == PH_SCHED_TASK_RUNNING && task->reserved == NULL &&
           !PhSchedJob_IsOver(task->stage->job);
}

static void
reservation_end(PhScheduler *s, guint index)
{
    PhSchedTask_Unreserve(g_ptr_array_index(s->reservations, index));
    g_ptr_array_remove_index_fast(s->reservations, index);
    s->placement_due = true;
}

/* Ends the reservations that will not be used. */
static void
expire_reservations(PhScheduler *s, PhTime now)
{
    for (guint i = s->reservations->len; i-- > 0;) {
        const PhSchedTask *task = g_ptr_array_index(s->reservations, i);
        if (now >= task->reserved_until ||
            !PhScheduler_IsUsable(task->reserved, now) ||
            PhSchedJob_IsOver(task->stage->job)) {
            reservation_end(s, i);
        }
    }
}

/* Returns a lasting task of the stage that has run before and waits without
 * room reserved for it, or NULL.  Room for one member starts no gang. */
static const PhSchedTask *
stage_interrupted(const PhSchedStage *stage)
{
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    if (!step->long_running || step->gang || stage->waiting == 0) {
        return NULL;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        const PhSchedTask *task = &stage->tasks[i];
        if (task->state == PH_SCHED_TASK_WAITING && task->run > 0 &&
            task->reserved == NULL) {
            return task;
        }
    }
    return NULL;
}

/* Whether a lasting task that is down would fit on the worker.  It goes before
 * one that still runs. */
static bool
is_awaited(const PhScheduler *s, const PhSchedWorker *w, PhTime now)
{
    for (guint i = 0; i < s->model->active->len; i++) {
        const PhSchedJob *job = g_ptr_array_index(s->model->active, i);
        for (uint32_t k = 0; k < job->round_count; k++) {
            for (uint32_t j = 0; j < job->spec.step_count; j++) {
                const PhSchedTask *task =
                    stage_interrupted(&job->rounds[k].stages[j]);
                if (task != NULL &&
                    PhScheduler_JudgeFit(s, w, task, now) == PH_FIT_YES) {
                    return true;
                }
            }
        }
    }
    return false;
}

/* Returns false if some tasks have no room elsewhere. */
static bool
worker_evacuate(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    bool all = true;
    for (guint i = 0; i < w->tasks->len; i++) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        if (!is_movable(task)) {
            continue;
        }
        PhSchedWorker *next = PhScheduler_PickWorker(s, task, (PhStr){0}, now);
        if (next == NULL || is_awaited(s, next, now)) {
            all = false;
            continue;
        }
        PhSchedTask_Reserve(task, next, now + RESERVATION_TIME);
        g_ptr_array_add(s->reservations, task);
        PhScheduler_StopTask(s, task);
    }
    return all;
}

void
PhScheduler_Evacuate(PhScheduler *s, PhTime now)
{
    expire_reservations(s, now);
    for (guint i = 0; i < s->model->incarnations->len && !s->quiesced; i++) {
        PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        if (!w->listed || !w->entry.draining || !w->fenced || w->dead ||
            w->suspended || w->tasks->len == 0) {
            continue;
        }
        PhTime due = MAX(w->leaves_by - LEAD_TIME, w->evacuation_due);
        if (now < due) {
            PhScheduler_WakeBy(s, due);
        }
        else if (!worker_evacuate(s, w, now)) {
            w->evacuation_due = now + RETRY_INTERVAL;
            PhScheduler_WakeBy(s, w->evacuation_due);
        }
    }
}

void
PhScheduler_PlaceReserved(PhScheduler *s, PhSchedTask *task, PhTime now)
{
    PhSchedWorker *w = task->reserved;
    double score;
    for (guint i = 0; i < s->reservations->len; i++) {
        if (g_ptr_array_index(s->reservations, i) == task) {
            reservation_end(s, i);
            break;
        }
    }
    if (PhScheduler_IsUsable(w, now) &&
        PhScheduler_RateWorker(s, w, task, now, &score)) {
        PhScheduler_StartTask(s, task, w, now);
    }
}
