/* Incarnations of workers that replace one another under the same id. */
#include "scheduler_private.h"

/* Reports whether the reply lists the newest run of a task, as running or
 * ended. */
static bool
reply_names(const PhSchedHoldReply *reply, const PhSchedTask *task)
{
    PhSchedTaskName name = PhSchedTask_Name(task);
    for (size_t i = 0; i < reply->run_count; i++) {
        if (reply->runs[i].run == task->run &&
            PhSchedTaskName_Equal(&reply->runs[i].task, &name)) {
            return true;
        }
    }
    for (size_t i = 0; i < reply->end_count; i++) {
        if (reply->ends[i].run == task->run &&
            PhSchedTaskName_Equal(&reply->ends[i].task, &name)) {
            return true;
        }
    }
    return false;
}

/* Moves a task to another incarnation, which may execute the starts that were
 * sent to the earlier one.  A stop that the earlier one accepted does not
 * count there. */
static void
task_move(PhScheduler *s, PhSchedTask *task, PhSchedWorker *next, bool stop)
{
    PhSchedTask held = *task;
    PhSchedTask_Unplace(task, PH_SCHED_TASK_WAITING);
    PhSchedTask_Place(task, next);
    task->start_in_flight = held.start_in_flight;
    task->start_unbound = held.start_unbound;
    task->start_unconfirmed =
        held.start_in_flight || held.unanswered_start_at != 0;
    task->start_connected_at = held.start_connected_at;
    task->confirmed_clock_ms = 0;
    PhSchedTask_ResetPace(task, PH_SCHED_PACE_UNKNOWN);
    PhScheduler_MarkStageDirty(s, task->stage);
    if (stop || held.stopping) {
        PhScheduler_StopTask(s, task);
    }
}

/* A later incarnation has replied, so the runs of this one have ended.  A
 * start that was not bound may have reached the later incarnation under the
 * same id, or may still do so.  Tasks with such starts move there, and are
 * stopped unless the reply lists their run: it may have taken place in the
 * earlier incarnation, and its number is not used again. */
static void
incarnation_end(PhScheduler *s, PhSchedWorker *w, PhSchedWorker *next,
                const PhSchedHoldReply *reply, PhTime now)
{
    for (guint i = w->tasks->len; i-- > 0;) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        bool named = reply_names(reply, task);
        if (named || PhSchedTask_StartMayArrive(task, now) ||
            PhSchedTask_StartIsUnbound(task)) {
            task_move(s, task, next, !named);
            continue;
        }
        PhScheduler_ReleaseRun(s, task, PH_SCHED_RELEASE_REPLACED, now);
    }
    w->listed = false;
    w->dead = true;
}

void
PhScheduler_EndEarlierIncarnations(PhScheduler *s, PhSchedWorker *w,
                                   const PhSchedHoldReply *reply, PhTime now)
{
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        PhSchedWorker *x = g_ptr_array_index(s->model->incarnations, i);
        if (x->entry.born_ms < w->entry.born_ms &&
            PhStr_Equal(x->entry.id, w->entry.id)) {
            incarnation_end(s, x, w, reply, now);
        }
    }
}

PhSchedWorker *
PhScheduler_SwitchIncarnation(PhScheduler *s, PhSchedWorker *w,
                              const PhSchedHoldReply *reply, PhTime now)
{
    int64_t born_ms = reply->born_ms;
    PhSchedWorker *next = PhSchedModel_Worker(s->model, w->entry.id, born_ms);
    if (next->entry.address.len == 0) {
        PhSchedWorkerEntry copy = {.id = PhStr_Dup(w->entry.id),
                                   .born_ms = born_ms,
                                   .address = PhStr_Dup(w->entry.address),
                                   .data_centre =
                                       PhStr_Dup(w->entry.data_centre),
                                   .service = PhStr_Dup(w->entry.service),
                                   .labels = PhStr_Dup(w->entry.labels),
                                   .rack = PhStr_Dup(w->entry.rack),
                                   .capacity = w->entry.capacity,
                                   .draining = w->entry.draining};
        PhSchedModel_SetEntry(s->model, next, &copy);
        next->listed = w->listed;
        next->entry_copied = true;
        PhScheduler_InheritLeases(s, next, w, now);
    }
    incarnation_end(s, w, next, reply, now);
    return next;
}
