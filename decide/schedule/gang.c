/* Gang scheduling: the tasks of a gang only work together.  They are placed
 * all or none, share one run number and one checkpoint, and end together. */
#include "scheduler_private.h"

/* Gives all members the newest checkpoint, a common run number, and the number
 * of the gang's failed runs.  Those that fail in a run each count it for
 * themselves, which the next owner learns from their records. */
static void
gang_align(PhSchedStage *stage, uint32_t count)
{
    const PhSchedTask *newest = NULL;
    uint32_t run = 0;
    uint32_t failures = 0;
    for (uint32_t i = 0; i < count; i++) {
        const PhSchedTask *task = &stage->tasks[i];
        run = MAX(run, task->run);
        failures = MAX(failures, task->failures);
        if (task->last_checkpoint.len > 0 &&
            (newest == NULL ||
             task->usage_sampled_at > newest->usage_sampled_at)) {
            newest = task;
        }
    }
    PhStr last_checkpoint =
        newest == NULL ? (PhStr){0} : PhStr_Dup(newest->last_checkpoint);
    for (uint32_t i = 0; i < count; i++) {
        stage->tasks[i].run = run;
        stage->tasks[i].failures = failures;
        PhStr_Clear(&stage->tasks[i].last_checkpoint);
        stage->tasks[i].last_checkpoint =
            last_checkpoint.len == 0 ? (PhStr){0} : PhStr_Dup(last_checkpoint);
    }
    PhStr_Clear(&last_checkpoint);
}

/* Finds a worker for every member, in `rack` unless that is empty; false if
 * not all of them fit.  The placements are undone before it returns. */
static bool
gang_pick(PhScheduler *s, PhSchedStage *stage, uint32_t count, PhStr rack,
          PhTime now, PhSchedWorker **picks)
{
    uint32_t placed = 0;
    for (; placed < count; placed++) {
        PhSchedTask *task = &stage->tasks[placed];
        picks[placed] = PhScheduler_PickWorker(s, task, rack, now);
        if (picks[placed] == NULL) {
            break;
        }
        PhSchedTask_Place(task, picks[placed]);
    }
    for (uint32_t i = 0; i < placed; i++) {
        PhSchedTask_Unplace(&stage->tasks[i], PH_SCHED_TASK_WAITING);
    }
    return placed == count;
}

/* Uses the first rack that has capacity for all members. */
static bool
gang_pick_rack(PhScheduler *s, PhSchedStage *stage, uint32_t count, PhTime now,
               PhSchedWorker **picks)
{
    GHashTable *tried = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    bool found = false;
    for (guint i = 0; i < s->model->incarnations->len && !found; i++) {
        const PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        if (w->entry.rack.len > 0 &&
            g_hash_table_add(tried, (gpointer)&w->entry.rack)) {
            found = gang_pick(s, stage, count, w->entry.rack, now, picks);
        }
    }
    g_hash_table_destroy(tried);
    return found;
}

bool
PhScheduler_PlaceGang(PhScheduler *s, PhSchedStage *stage, PhTime now)
{
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    if (stage->waiting != step->count) {
        return false;
    }
    PhSchedWorker **picks = g_new0(PhSchedWorker *, step->count);
    bool found = (step->same_rack &&
                  gang_pick_rack(s, stage, step->count, now, picks)) ||
                 gang_pick(s, stage, step->count, (PhStr){0}, now, picks);
    if (found) {
        gang_align(stage, step->count);
        for (uint32_t i = 0; i < step->count; i++) {
            PhScheduler_StartTask(s, &stage->tasks[i], picks[i], now);
        }
    }
    g_free(picks);
    return found;
}

static void
gang_stop(PhScheduler *s, PhSchedStage *stage, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        PhScheduler_StopTask(s, &stage->tasks[i]);
    }
}

/* The run number stays, since the other members wait for this run. */
void
PhScheduler_ReplaceMember(PhScheduler *s, PhSchedTask *task, PhTime now)
{
    PhSchedStage *stage = task->stage;
    const PhSchedStep *step = PhSchedTask_Step(task);
    PhSchedTask_Unplace(task, PH_SCHED_TASK_WAITING);
    PhScheduler_MarkStageDirty(s, stage);
    PhSchedWorker *w = PhSchedJob_IsOver(stage->job)
                           ? NULL
                           : PhScheduler_PickWorker(s, task, (PhStr){0}, now);
    if (w == NULL) {
        gang_stop(s, stage, step->count);
        return;
    }
    task->run--;
    PhScheduler_StartTask(s, task, w, now);
}

void
PhScheduler_EndGang(PhScheduler *s, PhSchedTask *task, PhSchedEndKind kind)
{
    PhSchedStage *stage = task->stage;
    const PhSchedStep *step = PhSchedTask_Step(task);
    if (kind != PH_SCHED_END_DONE || step->long_running) {
        gang_stop(s, stage, step->count);
        return;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        PhSchedTask *other = &stage->tasks[i];
        if (other->worker != NULL) {
            PhSchedTask_Unplace(other, PH_SCHED_TASK_DONE);
        }
        else if (other->state == PH_SCHED_TASK_WAITING) {
            other->state = PH_SCHED_TASK_DONE;
            PhSchedTask_OutdateRecord(other);
            stage->waiting--;
            stage->done++;
        }
    }
}
