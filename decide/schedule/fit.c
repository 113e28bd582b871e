/* Whether a task may start on a worker, and how well the worker suits it. */
#include "peridothill/decide/schedule/claims.h"

#include "scheduler_private.h"

/* Image match of a worker without serving tasks; 1 if all its serving tasks
 * have the image of the task. */
static const double NO_SERVING_MATCH = 0.5;
/* A failed task is placed on another worker, preferably one without recent
 * failures.  The penalties exceed every other part of the rating. */
static const double FAILED_HERE_PENALTY = 20;
static const double RECENT_FAILURE_PENALTY = 5;
static const double DOUBT_PENALTY = 10;
/* Backfill tasks are placed where they are expected to push fewer than this
 * many serving tasks over their target: one of those outweighs one and a half
 * backfill tasks (VIOLATION_WEIGHT in interference.c). */
static const double COST_MAX = 0.66;
/* Backfill tasks that disturb no serving task on a worker go where most other
 * backfill tasks would disturb one. */
static const double SENSITIVITY_WEIGHT = 0.5;
/* A task is only moved to a worker where it is expected to push fewer than
 * this many serving tasks over their target. */
static const double MOVE_COST_MAX = 0.06;
enum {
    PERCENT = 100,
    /* Tail latency rises steeply on a worker without idle CPU
     * (docs/measures/schedule.md). */
    BACKFILL_CPU_MAX_PERCENT = 94,
};

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

/* Whether a worker may be given starts at all. */
static PhFit
worker_judge(const PhSchedWorker *w, PhTime now)
{
    if (!w->listed || w->entry_copied || w->dead || !w->fenced ||
        w->suspended || w->failing_since != 0) {
        return PH_FIT_SILENT;
    }
    if (w->entry.draining) {
        return PH_FIT_LEAVES;
    }
    if (w->cordoned) {
        return PH_FIT_CORDONED;
    }
    return w->cooldown_until > now ? PH_FIT_COOLDOWN : PH_FIT_YES;
}

bool
PhScheduler_IsUsable(const PhSchedWorker *w, PhTime now)
{
    return worker_judge(w, now) == PH_FIT_YES;
}

/* CPU left for backfill tasks in milli-cores.  Plain tasks count with their
 * declared CPU, serving and backfill tasks with their estimated use. */
static int64_t
backfill_cpu_left(const PhSchedWorker *w)
{
    int64_t plain = w->used.cpu_milli - w->serving_cpu_milli;
    return w->entry.capacity.cpu_milli * BACKFILL_CPU_MAX_PERCENT / PERCENT -
           plain - w->shared_cpu_milli;
}

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

bool
PhSchedTask_IsAtWorkerLimit(const PhSchedTask *task, const PhSchedWorker *w)
{
    uint32_t most = PhSchedTask_Step(task)->max_per_worker;
    return most > 0 && stage_tasks_on(w, task->stage) >= most;
}

/* Whether the declared resources of a task fit. */
static PhFit
resources_judge(const PhSchedWorker *w, const PhSchedStep *step, PhTime now)
{
    const PhSchedResources *c = &w->entry.capacity;
    if (w->used.mem_mb + step->resources.mem_mb > c->mem_mb) {
        return PH_FIT_MEMORY;
    }
    if (w->used.gpu + step->resources.gpu > c->gpu) {
        return PH_FIT_GPU;
    }
    if (step->fills && w->backfill_blocked_until > now) {
        return PH_FIT_BLOCKED;
    }
    int64_t left =
        step->fills ? backfill_cpu_left(w) : c->cpu_milli - w->used.cpu_milli;
    return left >= step->resources.cpu_milli ? PH_FIT_YES : PH_FIT_CPU;
}

bool
PhScheduler_IsEligible(const PhSchedWorker *w, const PhSchedTask *task)
{
    const PhSchedStep *step = PhSchedTask_Step(task);
    return PhStr_Equal(w->entry.service,
                       task->stage->job->spec.terms.service) &&
           (step->requires.len == 0 || has_label(w, step->requires));
}

/* Whether a task fits on a usable worker. */
static PhFit
task_judge(const PhSchedWorker *w, const PhSchedTask *task, PhTime now)
{
    const PhSchedStep *step = PhSchedTask_Step(task);
    if (!PhScheduler_IsEligible(w, task)) {
        return PH_FIT_SERVICE;
    }
    if (PhScheduler_IsBarred(w, task, now)) {
        return PH_FIT_DOUBTED;
    }
    PhFit fit = resources_judge(w, step, now);
    if (fit != PH_FIT_YES) {
        return fit;
    }
    if (PhSchedTask_IsAtWorkerLimit(task, w)) {
        return PH_FIT_LIMIT;
    }
    return w->claim.stage == NULL || PhClaim_Admits(w, task, now)
               ? PH_FIT_YES
               : PH_FIT_CLAIMED;
}

/* Share of the worker's serving tasks with the step's image.  Serving tasks
 * are grouped by image, so that backfill tasks which would disturb one image
 * find free capacity beside others. */
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

/* Plain tasks use best fit, which keeps capacity free for large ones; serving
 * tasks are spread; backfill tasks go where their interference `cost` is
 * lowest.  Data locality has the highest weight of these. */
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
        score -= w->failures->len * RECENT_FAILURE_PENALTY;
    }
    return score;
}

bool
PhScheduler_RateWorker(const PhScheduler *s, const PhSchedWorker *w,
                       const PhSchedTask *task, PhTime now, double *score)
{
    const PhSchedStep *step = PhSchedTask_Step(task);
    if (task_judge(w, task, now) != PH_FIT_YES) {
        return false;
    }
    double cost =
        step->fills ? PhInterference_Cost(s->interference, w, step) : 0;
    *score = worker_score(w, task, cost);
    if (PhSchedWorker_Doubt(w, now) != PH_DOUBT_NONE) {
        *score -= DOUBT_PENALTY;
    }
    return cost <= COST_MAX;
}

bool
PhScheduler_IsInterferenceFree(const PhScheduler *s, const PhSchedWorker *w,
                               const PhSchedTask *task, PhTime now)
{
    return PhScheduler_IsUsable(w, now) &&
           task_judge(w, task, now) == PH_FIT_YES &&
           PhInterference_Cost(s->interference, w, PhSchedTask_Step(task)) <
               MOVE_COST_MAX;
}

PhFit
PhScheduler_JudgeFit(const PhScheduler *s, const PhSchedWorker *w,
                     const PhSchedTask *task, PhTime now)
{
    PhFit fit = worker_judge(w, now);
    double score;
    if (fit == PH_FIT_YES) {
        fit = task_judge(w, task, now);
    }
    if (fit == PH_FIT_YES &&
        !PhScheduler_RateWorker(s, w, task, now, &score)) {
        fit = PH_FIT_COST;
    }
    return fit;
}

void
PhScheduler_CountFits(const PhScheduler *s, const PhSchedTask *task,
                      PhTime now, uint32_t *workers)
{
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        const PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        workers[PhScheduler_JudgeFit(s, w, task, now)]++;
    }
}
