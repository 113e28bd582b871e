/* Applies the planned paces of backfill tasks after a sample of their worker.
 */
#include "scheduler_private.h"

/* A task with this pace or less is stalled. */
static const int STALLED_PERCENT = 30;
/* Shorter stalls are waited out, since loads oscillate within seconds. */
static const PhTime MOVE_AFTER = 1000 * PH_NS_PER_MS;
/* A task without checkpoints is only moved before it has run this long. */
static const PhTime MOVE_LOSS_MAX = 2500 * PH_NS_PER_MS;
/* Time between orders of the same pace while an earlier one may overtake them.
 */
static const PhTime PACE_REPEAT_INTERVAL = 1 * PH_NS_PER_S;

bool
PhScheduler_IsPaceDue(const PhSchedTask *task, PhTime now)
{
    if (task->state != PH_SCHED_TASK_RUNNING || task->stopping) {
        return false;
    }
    if (task->percent != task->percent_sent) {
        return true;
    }
    return task->pace_overtakable && task->paces_in_flight == 0 &&
           now - task->pace_sent_at >= PACE_REPEAT_INTERVAL;
}

void
PhScheduler_SendPace(PhSchedTask *task, PhTime now)
{
    task->pace_overtakable =
        task->paces_in_flight > 0 || now < task->late_pace_until;
    task->percent_sent = task->percent;
    task->pace_sent_at = now;
    task->paces_in_flight++;
}

/* An order that failed is repeated after the next sample.  One without an
 * answer may also overtake those that are sent meanwhile. */
void
PhScheduler_CompletePace(PhSchedTask *task, PhSchedOutcome outcome, PhTime now)
{
    if (task->paces_in_flight > 0) {
        task->paces_in_flight--;
    }
    switch (outcome) {
    case PH_SCHED_OUTCOME_DONE:
        break;
    case PH_SCHED_OUTCOME_UNKNOWN:
    case PH_SCHED_OUTCOME_UNBOUND:
    case PH_SCHED_OUTCOME_COUNT:
        task->late_pace_until = now + PH_LATE_ORDER_MS * PH_NS_PER_MS;
        task->percent_sent = PH_SCHED_PACE_UNKNOWN;
        break;
    case PH_SCHED_OUTCOME_FENCED:
    case PH_SCHED_OUTCOME_STALE_RUN:
    case PH_SCHED_OUTCOME_DEADLINE_PASSED:
    case PH_SCHED_OUTCOME_NO_CAPACITY:
    case PH_SCHED_OUTCOME_REFUSED:
    case PH_SCHED_OUTCOME_OTHER_INCARNATION:
    case PH_SCHED_OUTCOME_NOT_SENT:
        task->percent_sent = PH_SCHED_PACE_UNKNOWN;
        break;
    }
}

static void
track_stall(PhSchedTask *task, PhTime now)
{
    if (task->percent > STALLED_PERCENT) {
        task->stalled_since = 0;
    }
    else if (task->stalled_since == 0) {
        task->stalled_since = now;
    }
}

/* Stops a stalled backfill task if another worker has capacity, so that it
 * starts there.  Its work since the last checkpoint is lost. */
static void
move_if_stalled(PhScheduler *s, PhSchedTask *task, PhTime now)
{
    bool cheap = PhSchedTask_Step(task)->saves_progress ||
                 now - task->since < MOVE_LOSS_MAX;
    if (task->stalled_since == 0 || now - task->stalled_since < MOVE_AFTER ||
        !cheap || PhSchedTask_Step(task)->gang || task->stopping ||
        task->state != PH_SCHED_TASK_RUNNING ||
        !PhScheduler_HasBetterWorker(s, task, now)) {
        return;
    }
    PhScheduler_StopTask(s, task);
}

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
        task->percent = PhInterference_PacePercent(w, step->image_number);
        if (PhScheduler_IsPaceDue(task, now)) {
            g_queue_push_tail(&s->paces, task);
        }
        track_stall(task, now);
        move_if_stalled(s, task, now);
    }
    PhInterference_Refresh(s->interference, w, now);
}
