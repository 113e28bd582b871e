/* Tells why tasks that are to last wait. */
#include "scheduler_private.h"

/* Shorter waits are not reported, and of all others one in each interval: the
 * longest of the tasks that have run before, else of all. */
static const PhTime REPORTED_WAIT = 3 * PH_NS_PER_S;
static const PhTime REPORT_INTERVAL = 1 * PH_NS_PER_S;

PhTime
PhSchedTask_WaitsSince(const PhSchedTask *task)
{
    return MAX(task->since, task->stage->job->accepted_at);
}

PhTime
PhScheduler_WaitsSince(const PhScheduler *s, const PhSchedTask *task)
{
    return MAX(PhSchedTask_WaitsSince(task), s->owner_since);
}

/* The waiting lasting task to report, and how many have waited long enough. */
typedef struct PhLongestWait {
    const PhSchedTask *task;
    PhTime since;
    uint32_t long_waits;
    uint32_t interrupted; /* of these, tasks that have run before */
} PhLongestWait;

static void
wait_add(PhLongestWait *longest, const PhSchedTask *task, PhTime since)
{
    bool interrupted = task->run > 0;
    bool first =
        longest->task == NULL || (interrupted && longest->interrupted == 0) ||
        (interrupted == (longest->interrupted > 0) && since < longest->since);
    longest->long_waits++;
    longest->interrupted += interrupted;
    if (first) {
        longest->task = task;
        longest->since = since;
    }
}

static void
stage_search(const PhScheduler *s, const PhSchedStage *stage, PhTime now,
             PhLongestWait *longest)
{
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    if (!step->long_running || stage->waiting == 0 ||
        !PhSchedStage_IsReady(stage)) {
        return;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        const PhSchedTask *task = &stage->tasks[i];
        PhTime since = PhScheduler_WaitsSince(s, task);
        if (task->state == PH_SCHED_TASK_WAITING &&
            now - since >= REPORTED_WAIT) {
            wait_add(longest, task, since);
        }
    }
}

static PhLongestWait
longest_wait(const PhScheduler *s, PhTime now)
{
    PhLongestWait longest = {0};
    for (guint i = 0; i < s->model->active->len; i++) {
        const PhSchedJob *job = g_ptr_array_index(s->model->active, i);
        for (uint32_t k = 0; k < job->round_count; k++) {
            for (uint32_t j = 0; j < job->spec.step_count; j++) {
                stage_search(s, &job->rounds[k].stages[j], now, &longest);
            }
        }
    }
    return longest;
}

/* Reports whether the task would fit if only lasting tasks were there. */
static bool
fits_beside_lasting(const PhSchedWorker *w, const PhSchedTask *task)
{
    const PhSchedResources *c = &w->entry.capacity;
    PhSchedResources sum = PhSchedTask_Step(task)->resources;
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedStep *step =
            PhSchedTask_Step(g_ptr_array_index(w->tasks, i));
        if (step->long_running) {
            sum.cpu_milli += step->fills ? 0 : step->resources.cpu_milli;
            sum.mem_mb += step->resources.mem_mb;
            sum.gpu += step->resources.gpu;
        }
    }
    return sum.cpu_milli <= c->cpu_milli && sum.mem_mb <= c->mem_mb &&
           sum.gpu <= c->gpu;
}

void
PhScheduler_ReportWaits(PhScheduler *s, PhTime now)
{
    if (now < s->waits_due_at) {
        return;
    }
    s->waits_due_at = now + REPORT_INTERVAL;
    PhLongestWait longest = longest_wait(s, now);
    if (longest.task == NULL) {
        return;
    }
    PhSchedEvent event = {.tag = PH_SCHED_EVENT_TASK_WAITS};
    event.as.waits.task = PhSchedTask_Name(longest.task);
    event.as.waits.run = longest.task->run;
    event.as.waits.failures = longest.task->failures;
    event.as.waits.waited = now - longest.since;
    event.as.waits.long_waits = longest.long_waits;
    event.as.waits.interrupted = longest.interrupted;
    event.as.waits.resources = PhSchedTask_Step(longest.task)->resources;
    PhScheduler_CountFits(s, longest.task, now, event.as.waits.workers);
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        const PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        event.as.waits.beside_lasting +=
            PhScheduler_IsUsable(w, now) &&
            PhScheduler_IsEligible(w, longest.task) &&
            fits_beside_lasting(w, longest.task);
    }
    g_array_append_val(s->events, event);
}
