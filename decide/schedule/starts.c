/* Whether the start of an assigned task may still be sent, and what settles a
 * start that may have been executed or may yet be. */
#include "scheduler_private.h"

/* The task is tried elsewhere after this many starts without an answer. */
static const unsigned STARTS_MAX = 5;

PhTime
PhSchedTask_UnansweredFor(const PhSchedTask *task, PhTime now)
{
    return task->unanswered_start_at == 0 ? -1
                                          : now - task->unanswered_start_at;
}

bool
PhSchedTask_StartMayArrive(const PhSchedTask *task, PhTime now)
{
    PhTime age = PhSchedTask_UnansweredFor(task, now);
    return task->start_unbound &&
           (task->start_in_flight ||
            (age >= 0 && age <= PH_LATE_ORDER_MS * PH_NS_PER_MS));
}

/* A process can execute only orders on connections that it accepted while it
 * ran. */
bool
PhSchedTask_StartIsUnbound(const PhSchedTask *task)
{
    return task->start_unbound &&
           (task->start_in_flight ||
            task->start_connected_at > task->worker->alive_at);
}

static PhStartObstacle
start_obstacle(const PhSchedTask *task)
{
    const PhSchedWorker *w = task->worker;
    if (PhSchedJob_IsOver(task->stage->job)) {
        return PH_START_JOB_ENDED;
    }
    if (w->entry.draining) {
        return PH_START_WORKER_LEAVES;
    }
    if (w->cordoned) {
        return PH_START_WORKER_CORDONED;
    }
    /* The entry of an incarnation that only records name has no address. */
    if (!PhStr_IsEmpty(w->entry.address) && !PhScheduler_IsEligible(w, task)) {
        return PH_START_WORKER_UNSUITABLE;
    }
    if ((w->suspended || w->failing_since > 0) && task->starts_sent == 0) {
        return PH_START_WORKER_SILENT;
    }
    if (task->start_unconfirmed && task->starts_sent >= STARTS_MAX) {
        return PH_START_UNANSWERED;
    }
    return PH_START_ALLOWED;
}

PhStartSettlement
PhScheduler_StartSettlement(const PhScheduler *s, const PhSchedTask *task)
{
    if (task->start_in_flight) {
        return PH_START_SETTLED_BY_ANSWER;
    }
    bool unsent = task->state == PH_SCHED_TASK_ASSIGNED &&
                  task->fence == s->fence && !task->start_unconfirmed;
    return unsent ? PH_START_SETTLED : PH_START_SETTLED_BY_STOP;
}

PhStartVerdict
PhScheduler_JudgeStart(const PhScheduler *s, const PhSchedTask *task,
                       PhTime now)
{
    const PhSchedWorker *w = task->worker;
    if (task->state != PH_SCHED_TASK_ASSIGNED || task->start_in_flight ||
        task->stopping || task->fence != s->fence) {
        return (PhStartVerdict){.tag = PH_START_DISCARD};
    }
    PhStartObstacle obstacle = start_obstacle(task);
    if (obstacle != PH_START_ALLOWED) {
        return (PhStartVerdict){.tag = PH_START_WITHDRAW,
                                .as.obstacle = obstacle};
    }
    PhStartVerdict wait = {.tag = PH_START_WAIT, .as.until = PH_TIME_NEVER};
    /* An order for an earlier incarnation would reach the newest one under the
     * same id. */
    if (!PhScheduler_MayGrant(s, w, now) ||
        !PhSchedModel_IsNewest(s->model, w) ||
        task->batch > s->durable_batch) {
        return wait;
    }
    if (task->retry_at > now) {
        wait.as.until = task->retry_at;
        return wait;
    }
    return (PhStartVerdict){.tag = PH_START_SEND};
}

/* Lasting tasks that have run before go first: they are down until they start,
 * and each owner that stops meanwhile has them wait anew. */
void
PhScheduler_QueueStart(PhScheduler *s, PhSchedTask *task)
{
    bool again = PhSchedTask_Step(task)->long_running && task->run > 1;
    g_queue_push_tail(again ? &s->restarts : &s->starts, task);
}
