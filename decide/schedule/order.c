/* The order in which waiting tasks start. */
#include "scheduler_private.h"

enum {
    /* A job has value until this many times its objective. */
    LATE_OBJECTIVE_FACTOR = 3,
};

/* Sorts by priority.  Long-running tasks come next: they are few, and down
 * until they start.  Those of them that have run before come first, so that
 * the room of one that fails is not given to another, and the one that is down
 * for longest before the others.  Then come jobs that can meet their
 * objective, and among equals those with the least remaining work (shortest
 * remaining processing time first), which lets most jobs meet it during a
 * burst. */
static gint
candidate_compare(gconstpointer a, gconstpointer b)
{
    const PhCandidate *x = a;
    const PhCandidate *y = b;
    int64_t px = x->spec->terms.priority;
    int64_t py = y->spec->terms.priority;
    if (px != py) {
        return px < py ? -1 : 1;
    }
    if (x->tag != y->tag) {
        return x->tag < y->tag ? -1 : 1;
    }
    if (x->interrupted_at != y->interrupted_at) {
        return x->interrupted_at < y->interrupted_at ? -1 : 1;
    }
    if (x->objective_status != y->objective_status) {
        return x->objective_status < y->objective_status ? -1 : 1;
    }
    if (x->work != y->work) {
        return x->work < y->work ? -1 : 1;
    }
    return PhStr_Compare(x->spec->id, y->spec->id);
}

bool
PhCandidate_Precedes(const PhCandidate *a, const PhCandidate *b)
{
    return candidate_compare(a, b) < 0;
}

/* Returns the remaining critical path of a round by the estimates, and adds
 * the remaining work in time x milli-cores to `work`. */
static PhTime
round_remaining(const PhSchedJob *job, uint32_t k, double *work)
{
    PhTime ends[PH_SCHED_STEPS_MAX] = {0};
    PhTime longest = 0;
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        const PhSchedStep *step = &job->spec.steps[i];
        uint32_t left = step->count - job->rounds[k].stages[i].done;
        PhTime begin = 0;
        for (uint32_t j = 0; j < step->after_count; j++) {
            begin = MAX(begin, ends[step->after[j]]);
        }
        ends[i] = begin + (left > 0 ? step->estimate : 0);
        longest = MAX(longest, ends[i]);
        *work += (double)left * (double)step->estimate *
                 (double)step->resources.cpu_milli;
    }
    return longest;
}

static PhTime
objective(const PhSchedSpec *spec)
{
    return spec->terms.slack +
           (PhTime)(spec->terms.stretch *
                    (double)PhSchedSpec_CriticalPath(spec));
}

PhTime
PhSchedSpec_ValueLimit(const PhSchedSpec *spec)
{
    return LATE_OBJECTIVE_FACTOR * objective(spec);
}

static PhCandidate
job_rate(const PhSchedJob *job, uint32_t k, PhTime now)
{
    PhCandidate c = {.spec = &job->spec};
    PhTime limit = objective(&job->spec);
    PhTime age = now - job->accepted_at;
    PhTime rest = round_remaining(job, k, &c.work);
    if (age + rest <= limit || job->spec.repetitions > 0) {
        c.objective_status = PH_OBJECTIVE_ON_TIME;
    }
    else {
        c.objective_status = age + rest <= LATE_OBJECTIVE_FACTOR * limit
                                 ? PH_OBJECTIVE_LATE
                                 : PH_OBJECTIVE_MISSED;
    }
    return c;
}

PhObjectiveStatus
PhSchedJob_ObjectiveStatus(const PhSchedJob *job, uint32_t k, PhTime now)
{
    return job_rate(job, k, now).objective_status;
}

PhCandidate
PhCandidate_ForNew(const PhSchedSpec *spec)
{
    PhCandidate c = {.spec = spec,
                     .tag = PH_CANDIDATE_ENDING,
                     .objective_status = PH_OBJECTIVE_ON_TIME};
    for (uint32_t i = 0; i < spec->step_count; i++) {
        const PhSchedStep *step = &spec->steps[i];
        c.work += (double)step->count * (double)step->estimate *
                  (double)step->resources.cpu_milli;
    }
    return c;
}

/* Adds the tasks of a long-running stage that have run before and those that
 * have never run; a gang is one candidate. */
static void
lasting_collect(GArray *list, PhCandidate c)
{
    const PhSchedStep *step = &c.stage->job->spec.steps[c.stage->number];
    PhCandidate again = c;
    uint32_t interrupted = 0;
    again.tag = PH_CANDIDATE_INTERRUPTED;
    again.interrupted_at = PH_TIME_NEVER;
    for (uint32_t i = 0; i < step->count; i++) {
        const PhSchedTask *task = &c.stage->tasks[i];
        if (task->state == PH_SCHED_TASK_WAITING && task->run > 0) {
            again.interrupted_at =
                MIN(again.interrupted_at, PhSchedTask_WaitsSince(task));
            interrupted++;
        }
    }
    if (interrupted > 0) {
        g_array_append_val(list, again);
    }
    if (interrupted == 0 || (interrupted < c.stage->waiting && !step->gang)) {
        c.tag = PH_CANDIDATE_LASTING;
        g_array_append_val(list, c);
    }
}

static void
round_collect(GArray *list, PhSchedJob *job, uint32_t k, PhTime now)
{
    PhCandidate c = {0};
    for (uint32_t j = 0; j < job->spec.step_count; j++) {
        PhSchedStage *stage = &job->rounds[k].stages[j];
        if (stage->waiting == 0 || !PhSchedStage_IsReady(stage)) {
            continue;
        }
        if (c.stage == NULL) {
            c = job_rate(job, k, now);
        }
        c.stage = stage;
        c.tag = PH_CANDIDATE_ENDING;
        if (job->spec.steps[j].long_running) {
            lasting_collect(list, c);
        }
        else {
            g_array_append_val(list, c);
        }
    }
}

GArray *
PhScheduler_CollectUnsorted(const PhScheduler *s, PhTime now)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(PhCandidate));
    for (guint i = 0; i < s->model->active->len; i++) {
        PhSchedJob *job = g_ptr_array_index(s->model->active, i);
        for (uint32_t k = 0; k < job->round_count; k++) {
            if (job->rounds[k].done < job->spec.step_count) {
                round_collect(list, job, k, now);
            }
        }
    }
    return list;
}

GArray *
PhScheduler_CollectCandidates(const PhScheduler *s, PhTime now)
{
    GArray *list = PhScheduler_CollectUnsorted(s, now);
    g_array_sort(list, candidate_compare);
    return list;
}
