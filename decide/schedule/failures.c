/* Whose fault failed runs are: their step's, or their worker's.  A step that
 * fails on several workers and is done on none is likely to fail anywhere; a
 * worker on which several steps fail in a row is likely to fail all of them.
 */
#include "scheduler_private.h"

enum {
    FAILED_STAGES_MAX = 8, /* remembered of a worker, the newest */
};

/* Failed runs in a row that put a worker in doubt.  All runs of a step that
 * has failed elsewhere, too, count once. */
static const uint32_t DOUBTFUL_FAILURES = 2;
/* Failures are forgotten when no other has followed for this long. */
static const PhTime FAILURES_MEMORY = 30 * PH_NS_PER_S;
/* Pause of a worker in doubt after its newest failure. */
static const PhTime FAILURES_PAUSE = 6 * PH_NS_PER_S;
/* The same for lasting tasks, which have no limit of attempts and are down
 * while they wait, and where there is room to spare; also the time between two
 * starts that try the worker. */
static const PhTime TRIAL_INTERVAL = 1 * PH_NS_PER_S;
/* A run of a lasting task that was up for this long shows that its step can
 * run. */
static const PhTime LASTING_RUN_MIN = 6 * PH_NS_PER_S;

/* Whether the step has failed on several workers, and neither is nor may yet
 * be done on any. */
static bool
stage_fails(const PhSchedStage *stage)
{
    return stage->failed_on_count == PH_SCHED_FAILED_ON_MAX &&
           stage->done == 0 && stage->placed == 0;
}

/* Whether an earlier failure on the worker is of the same job and counts
 * already. */
static bool
is_counted(const GArray *failures, guint index)
{
    const PhSchedStage *stage =
        g_array_index(failures, PhSchedFailure, index).stage;
    for (guint i = 0; i < index; i++) {
        const PhSchedFailure *f = &g_array_index(failures, PhSchedFailure, i);
        if (f->stage->job == stage->job && stage_fails(f->stage)) {
            return true;
        }
    }
    return false;
}

PhDoubt
PhSchedWorker_Doubt(const PhSchedWorker *w, PhTime now)
{
    const GArray *failures = w->failures;
    uint32_t proven = 0;
    uint32_t all = 0;
    if (failures->len == 0 || now - w->failed_at >= FAILURES_MEMORY) {
        return PH_DOUBT_NONE;
    }
    for (guint i = 0; i < failures->len; i++) {
        const PhSchedFailure *f = &g_array_index(failures, PhSchedFailure, i);
        bool shared = stage_fails(f->stage);
        proven += f->stage->done > 0 ? f->runs : 0;
        all += !shared ? f->runs : !is_counted(failures, i);
    }
    return proven >= DOUBTFUL_FAILURES ? PH_DOUBT_PROVEN
           : all >= DOUBTFUL_FAILURES  ? PH_DOUBT_LIKELY
                                       : PH_DOUBT_NONE;
}

/* Notes on which workers a stage fails.  Failures on a worker in doubt say
 * little about it. */
static void
stage_note_failure(const PhSchedTask *task, PhTime now)
{
    PhSchedStage *stage = task->stage;
    const PhSchedWorker *w = task->worker;
    if (PhSchedTask_Step(task)->long_running &&
        now - task->since >= LASTING_RUN_MIN) {
        stage->failed_on_count = 0;
    }
    if (PhSchedWorker_Doubt(w, now) != PH_DOUBT_NONE) {
        return;
    }
    for (uint32_t i = 0; i < stage->failed_on_count; i++) {
        if (stage->failed_on[i] == w) {
            return;
        }
    }
    if (stage->failed_on_count < PH_SCHED_FAILED_ON_MAX) {
        stage->failed_on[stage->failed_on_count++] = w;
    }
}

/* Whether a failed run may be the fault of its worker: a task that has failed
 * elsewhere before is likely to fail anywhere.  One that is to last may have
 * run well in between. */
static bool
failure_blames(const PhSchedTask *task)
{
    return PhSchedTask_Step(task)->long_running || task->failures == 0 ||
           task->failed_on == task->worker;
}

static void
worker_add_failure(PhSchedWorker *w, const PhSchedTask *task)
{
    for (guint i = 0; i < w->failures->len; i++) {
        PhSchedFailure *f = &g_array_index(w->failures, PhSchedFailure, i);
        if (f->stage == task->stage) {
            f->runs++;
            return;
        }
    }
    if (w->failures->len == FAILED_STAGES_MAX) {
        g_array_remove_index(w->failures, 0);
    }
    PhSchedFailure f = {.stage = task->stage, .runs = 1};
    g_array_append_val(w->failures, f);
}

static void
failure_note(const PhSchedTask *task, PhTime now)
{
    PhSchedWorker *w = task->worker;
    bool doubted = PhSchedWorker_Doubt(w, now) != PH_DOUBT_NONE;
    stage_note_failure(task, now);
    if (!failure_blames(task)) {
        return;
    }
    if (now - w->failed_at >= FAILURES_MEMORY) {
        g_array_set_size(w->failures, 0);
    }
    if (w->failures->len == 0) {
        w->failing_from = task->since;
    }
    worker_add_failure(w, task);
    w->failed_at = now;
    if (!doubted && PhSchedWorker_Doubt(w, now) != PH_DOUBT_NONE) {
        w->doubted_at = now;
    }
}

void
PhScheduler_CountEnd(const PhSchedTask *task, PhSchedEndKind kind, PhTime now)
{
    PhSchedWorker *w = task->worker;
    switch (kind) {
    case PH_SCHED_END_DONE:
        /* Earlier runs say nothing of a worker that fails all it starts from
         * some time on. */
        if (task->since >= w->failing_from ||
            PhSchedWorker_Doubt(w, now) == PH_DOUBT_NONE) {
            g_array_set_size(w->failures, 0);
        }
        break;
    case PH_SCHED_END_FAILED:
        failure_note(task, now);
        break;
    case PH_SCHED_END_STOPPED:
    case PH_SCHED_END_LEASE_EXPIRED:
    case PH_SCHED_END_GANG_BROKEN:
    case PH_SCHED_END_GANG_INCOMPLETE:
        break;
    }
}

bool
PhScheduler_IsBarred(const PhSchedWorker *w, const PhSchedTask *task,
                     PhTime now)
{
    PhDoubt doubt = PhSchedWorker_Doubt(w, now);
    if (doubt == PH_DOUBT_NONE) {
        return false;
    }
    PhTime pause =
        PhSchedTask_Step(task)->long_running ? TRIAL_INTERVAL : FAILURES_PAUSE;
    switch (task->stage->trust) {
    case PH_TRUST_NORMAL:
        break;
    case PH_TRUST_SPARE_ROOM:
        pause = TRIAL_INTERVAL;
        break;
    case PH_TRUST_MOST_DOUBTED:
        if (doubt == PH_DOUBT_LIKELY) {
            return now - w->doubted_at < TRIAL_INTERVAL;
        }
        pause = TRIAL_INTERVAL;
        break;
    }
    return now - w->failed_at < pause ||
           (!PhSchedTask_Step(task)->long_running &&
            now - w->started_at < TRIAL_INTERVAL);
}

/* Whether a worker could run a task of the step if nothing else ran there. */
static bool
suits(const PhSchedWorker *w, const PhSchedTask *task)
{
    const PhSchedResources *c = &w->entry.capacity;
    const PhSchedResources *asked = &PhSchedTask_Step(task)->resources;
    return PhScheduler_IsEligible(w, task) &&
           asked->cpu_milli <= c->cpu_milli && asked->mem_mb <= c->mem_mb &&
           asked->gpu <= c->gpu;
}

void
PhScheduler_SetTrust(const PhScheduler *s, PhSchedStage *stage, PhTime now)
{
    uint32_t all = 0;
    uint32_t doubted = 0;
    int64_t capacity_milli = 0;
    int64_t used_milli = 0;
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        const PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        if (PhScheduler_IsUsable(w, now) && suits(w, &stage->tasks[0])) {
            all++;
            doubted += PhSchedWorker_Doubt(w, now) != PH_DOUBT_NONE;
            capacity_milli += w->entry.capacity.cpu_milli;
            used_milli += w->used.cpu_milli;
        }
    }
    stage->trust = doubted > all - doubted ? PH_TRUST_MOST_DOUBTED
                   : used_milli < capacity_milli - used_milli
                       ? PH_TRUST_SPARE_ROOM
                       : PH_TRUST_NORMAL;
}
