/* Tells what holds back tasks that may run, of whatever kind: an owner
 * believes that each of them waits for something that comes by itself. */
#include "scheduler_private.h"

#include <string.h>

/* A run is confirmed more often than that, and most starts take far less. */
static const PhTime REPORTED_TIME = 3 * PH_NS_PER_S;
static const PhTime REPORT_INTERVAL = 1 * PH_NS_PER_S;

/* Whether a worker answers this owner. */
static bool
answers(const PhScheduler *s, const PhSchedWorker *w)
{
    return w->listed && w->fenced && !w->suspended && w->failing_since == 0 &&
           PhSchedModel_IsNewest(s->model, w);
}

static PhTaskHold
placed_hold(const PhScheduler *s, const PhSchedTask *task)
{
    if (!answers(s, task->worker)) {
        return PH_TASK_HOLD_LEASE;
    }
    if (task->stopping) {
        return PH_TASK_HOLD_STOP;
    }
    if (task->state == PH_SCHED_TASK_RUNNING) {
        return PH_TASK_HOLD_REPORT;
    }
    return task->fence == s->fence && task->batch > s->durable_batch
               ? PH_TASK_HOLD_RECORD
               : PH_TASK_HOLD_START;
}

static PhTaskHold
task_hold(const PhScheduler *s, const PhSchedTask *task)
{
    switch (task->state) {
    case PH_SCHED_TASK_WAITING:
        return PH_TASK_HOLD_WORKER;
    case PH_SCHED_TASK_ASSIGNED:
    case PH_SCHED_TASK_RUNNING:
        return placed_hold(s, task);
    case PH_SCHED_TASK_DONE:
        break;
    }
    return PH_TASK_HOLD_NONE;
}

/* Since when the owner has known of no run of a task, or has not heard of the
 * one that it knows of. */
static PhTime
held_since(const PhScheduler *s, const PhSchedTask *task)
{
    PhTime known = task->state == PH_SCHED_TASK_RUNNING
                       ? task->confirmed_at
                       : PhSchedTask_WaitsSince(task);
    return MAX(known, s->owner_since);
}

/* The task that has been held for longest, and how many are. */
typedef struct PhHeldTasks {
    const PhSchedTask *task;
    PhTime since;
    uint32_t holds[PH_TASK_HOLD_COUNT];
} PhHeldTasks;

static void
stage_search(const PhScheduler *s, const PhSchedStage *stage, PhTime now,
             PhHeldTasks *held)
{
    uint32_t count = stage->job->spec.steps[stage->number].count;
    if (stage->done == count || !PhSchedStage_IsReady(stage)) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        const PhSchedTask *task = &stage->tasks[i];
        PhTime since = held_since(s, task);
        PhTaskHold hold = task_hold(s, task);
        if (hold == PH_TASK_HOLD_NONE || now - since < REPORTED_TIME) {
            continue;
        }
        held->holds[hold]++;
        if (held->task == NULL || since < held->since) {
            held->task = task;
            held->since = since;
        }
    }
}

static PhHeldTasks
held_search(const PhScheduler *s, PhTime now)
{
    PhHeldTasks held = {0};
    for (guint i = 0; i < s->model->active->len; i++) {
        const PhSchedJob *job = g_ptr_array_index(s->model->active, i);
        for (uint32_t k = 0; k < job->round_count; k++) {
            for (uint32_t j = 0; j < job->spec.step_count; j++) {
                stage_search(s, &job->rounds[k].stages[j], now, &held);
            }
        }
    }
    return held;
}

void
PhScheduler_ReportHeld(PhScheduler *s, PhTime now)
{
    if (now < s->held_due_at) {
        return;
    }
    s->held_due_at = now + REPORT_INTERVAL;
    PhHeldTasks held = held_search(s, now);
    const PhSchedTask *task = held.task;
    if (task == NULL) {
        return;
    }
    PhSchedEvent event = {.tag = PH_SCHED_EVENT_TASK_HELD,
                          .worker = task->worker};
    event.as.held.task = PhSchedTask_Name(task);
    event.as.held.run = task->run;
    event.as.held.long_running = PhSchedTask_Step(task)->long_running;
    event.as.held.held = now - held.since;
    event.as.held.hold = task_hold(s, task);
    memcpy(event.as.held.holds, held.holds, sizeof(held.holds));
    if (task->worker == NULL) {
        PhScheduler_CountFits(s, task, now, event.as.held.workers);
        event.as.held.order_room =
            PhScheduler_HasOrderRoom(s, event.as.held.long_running);
    }
    else {
        event.as.held.lease = PhScheduler_RunLeaseBound(s, task);
    }
    g_array_append_val(s->events, event);
}
