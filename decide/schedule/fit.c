/* Where a task may start, and how well a worker suits it. */
#include "scheduler_private.h"

/* How well an unused worker suits a task that serves, where one on which all
 * serving tasks have its image has 1. */
static const double NO_SERVING_MATCH = 0.5;
/* A task that has failed goes elsewhere, and rather not to where another one
 * has just failed; the weights exceed every other part of the rating. */
static const double FAILED_HERE_PENALTY = 20;
static const double RECENT_FAILURE_PENALTY = 5;
/* Work fills where it brings less than this many serving tasks over their
 * target: a serving task that is over outweighs one and a half that fill
 * (HARM_WEIGHT in interference.c). */
static const double COST_MAX = 0.66;
/* Work that disturbs nobody on a worker goes to where most other work would
 * disturb somebody. */
static const double SENSITIVITY_WEIGHT = 0.5;
/* A task is moved only to where it does this little harm. */
static const double MOVE_COST_MAX = 0.06;
enum {
    PERCENT = 100,
    /* Tails grow fast on a worker whose whole CPU is in use
     * (docs/measures/schedule.md). */
    BACKFILL_CPU_MAX_PERCENT = 94,
};

/* Tells whether a label stands in the worker's list. */
static bool
has_label(const PhSchedWorker *w, PhStr label)
{
    PhStr rest = w->entry.labels;
    while (rest.len > 0) {
        PhStr head;
        PhStr_Cut(rest, ',', &head, &rest);
        if (PhStr_Equal(head, label)) {
            return true;
        }
    }
    return false;
}

/* Tells whether a worker may be given starts at all. */
bool
PhScheduler_IsUsable(const PhSchedWorker *w, PhTime now)
{
    return w->listed && !w->dead && w->fenced && !w->suspended &&
           !w->entry.draining && w->failing_since == 0 &&
           w->cooldown_until <= now;
}

/* Gives the CPU that tasks that fill may still take: plain tasks count with
 * what they declare, the others with what they are seen to use. */
static int64_t
backfill_cpu_left(const PhSchedWorker *w)
{
    int64_t plain = w->used.cpu_milli - w->serving_cpu_milli;
    return w->entry.capacity.cpu_milli * BACKFILL_CPU_MAX_PERCENT / PERCENT -
           plain - w->shared_cpu_milli;
}

/* Counts the tasks of a stage on a worker. */
static uint32_t
stage_tasks_on(const PhSchedWorker *w, const PhSchedStage *stage)
{
    uint32_t count = 0;
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        count += task->stage == stage;
    }
    return count;
}

/* Tells whether the declared room of a task fits. */
static bool
room_fits(const PhSchedWorker *w, const PhSchedStep *step, PhTime now)
{
    const PhSchedRoom *c = &w->entry.capacity;
    if (w->used.mem_mb + step->room.mem_mb > c->mem_mb ||
        w->used.gpu + step->room.gpu > c->gpu) {
        return false;
    }
    if (step->fills && w->fill_barred_until > now) {
        return false;
    }
    if (step->fills) {
        return backfill_cpu_left(w) >= step->room.cpu_milli;
    }
    return w->used.cpu_milli + step->room.cpu_milli <= c->cpu_milli;
}

/* Tells whether a task of the stage may start on the worker. */
static bool
worker_fits(const PhSchedWorker *w, const PhSchedTask *task, PhTime now)
{
    const PhSchedStage *stage = task->stage;
    const PhSchedStep *step = PhSchedTask_Step(task);
    if (!PhStr_Equal(w->entry.service, stage->job->spec.terms.service) ||
        (step->requires.len > 0 && !has_label(w, step->requires)) ||
        !room_fits(w, step, now)) {
        return false;
    }
    return step->max_per_worker == 0 ||
           stage_tasks_on(w, stage) < step->max_per_worker;
}

/* Tells which share of the tasks that serve on a worker have the step's
 * image: those that serve gather by image, so that work which would disturb
 * one image finds room beside others. */
static double
image_match(const PhSchedWorker *w, const PhSchedStep *step)
{
    guint same = 0;
    for (guint i = 0; i < w->serving->len; i++) {
        same += g_array_index(w->serving, PhSchedServing, i).image ==
                step->image_number;
    }
    return w->serving->len == 0 ? NO_SERVING_MATCH
                                : (double)same / w->serving->len;
}

/* Rates a worker for a task; `cost` is the harm of one that fills.  Tasks that
 * end go where least is free (best fit), so that room for large ones stays
 * whole; tasks that serve are spread; tasks that fill go where they do least
 * harm.  Where the data is counts most. */
static double
worker_score(const PhSchedWorker *w, const PhSchedTask *task, double cost)
{
    const PhSchedStep *step = PhSchedTask_Step(task);
    double capacity = (double)MAX(w->entry.capacity.cpu_milli, 1);
    double score =
        (double)(w->entry.capacity.cpu_milli - w->used.cpu_milli) / capacity;
    if (step->fills) {
        score = (double)backfill_cpu_left(w) / capacity / 4 - cost +
                SENSITIVITY_WEIGHT * PhInterference_Sensitivity(w);
    }
    else if (PhSchedStep_Serves(step)) {
        score = image_match(w, step) - score / 2;
    }
    else {
        score = -score;
    }
    if (step->affinity.len > 0 &&
        (PhStr_Equal(step->affinity, w->entry.rack) ||
         has_label(w, step->affinity))) {
        score += 2;
    }
    if (task->failures > 0) {
        score -= w == task->failed_on ? FAILED_HERE_PENALTY : 0;
        score -= w->consecutive_failures * RECENT_FAILURE_PENALTY;
    }
    return score;
}

/* Rates a worker for a task; false when it must not start there. */
bool
PhScheduler_RateWorker(const PhScheduler *s, const PhSchedWorker *w,
                       const PhSchedTask *task, PhTime now, double *score)
{
    const PhSchedStep *step = PhSchedTask_Step(task);
    if (!worker_fits(w, task, now)) {
        return false;
    }
    double cost =
        step->fills ? PhInterference_Cost(s->interference, w, step) : 0;
    *score = worker_score(w, task, cost);
    return cost <= COST_MAX;
}

/* Tells whether a worker would let a task that fills work undisturbed. */
bool
PhScheduler_IsInterferenceFree(const PhScheduler *s, const PhSchedWorker *w,
                               const PhSchedTask *task, PhTime now)
{
    return PhScheduler_IsUsable(w, now) && worker_fits(w, task, now) &&
           PhInterference_Cost(s->interference, w, PhSchedTask_Step(task)) <
               MOVE_COST_MAX;
}
