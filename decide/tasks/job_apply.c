#include "job_state_private.h"

#include "peridothill/common/invariant.h"

/* Context in which a record is applied. */
typedef struct PhApplyContext {
    PhJobState *state;
    uint64_t offset;
    PhStr instance;
    uint32_t position;
} PhApplyContext;

static PhJobChange
change_none(const PhApplyContext *a)
{
    return (PhJobChange){.kind = PH_CHANGE_NONE,
                         .position = a->position,
                         .worker = PH_WORKER_NONE};
}

/* True if the entry's instance owns the data centre under `epoch`; then the
 * record shows that the owner is alive. */
static bool
owner_check(const PhApplyContext *a, uint64_t epoch)
{
    if (epoch == 0 || epoch != a->state->epoch ||
        !PhStr_Equal(a->instance, a->state->owner)) {
        return false;
    }
    a->state->owner_offset = a->offset;
    return true;
}

static PhJobChange
apply_job(const PhApplyContext *a, const PhJobSpec *spec)
{
    PhJobChange change = change_none(a);
    change.kind = PH_CHANGE_ACCEPTED;
    PhJob *known = PhJobState_FindJobByKey(a->state, spec->key);
    change.repeated = known != NULL;
    if (known == NULL) {
        uint64_t number = (a->offset * PH_ENTRY_RECORDS_MAX) + a->position + 1;
        known = PhJobState_AddJob(a->state, number, PhJobSpec_Copy(spec));
    }
    change.job = known->number;
    return change;
}

/* Cancels waiting tasks; the owner stops those that are placed. */
static PhJobChange
apply_cancel(const PhApplyContext *a, uint64_t number)
{
    PhJobChange change = change_none(a);
    PhJob *job = PhJobState_Job(a->state, number);
    change.kind = PH_CHANGE_CANCELLED;
    change.job = job == NULL ? 0 : number;
    if (job == NULL || job->tasks == NULL) {
        return change;
    }
    job->cancel_wanted = true;
    for (uint32_t i = 0; i < job->spec.count && job->waiting > 0; i++) {
        if (job->tasks[i].state == PH_JOB_TASK_WAITING) {
            job->tasks[i].state = PH_JOB_TASK_CANCELLED;
            job->waiting--;
            job->cancelled++;
        }
    }
    PhJobState_Finish(a->state, job);
    return change;
}

/* Grants the claim unless another claim or a record of the owner precedes
 * it. */
static PhJobChange
apply_claim(const PhApplyContext *a, const PhJobRecord *record)
{
    PhJobState *state = a->state;
    PhJobChange change = change_none(a);
    if (record->as.claim.epoch != state->epoch + 1 ||
        record->as.claim.after != state->owner_offset) {
        return change;
    }
    state->epoch = record->as.claim.epoch;
    state->owner_offset = a->offset;
    PhStr_Clear(&state->owner);
    state->owner = PhStr_Dup(a->instance);
    change.kind = PH_CHANGE_OWNER;
    return change;
}

/* Returns the task of a run that may be placed, or NULL. */
static PhJobTask *
task_find_startable(const PhJobState *state, PhRun run)
{
    const PhJob *job = PhJobState_Job(state, run.job);
    if (job == NULL || job->tasks == NULL || run.index >= job->spec.count) {
        return NULL;
    }
    PhJobTask *task = &job->tasks[run.index];
    return task->state == PH_JOB_TASK_WAITING &&
                   run.incarnation == task->incarnation + 1
               ? task
               : NULL;
}

static PhJobChange
apply_start(const PhApplyContext *a, const PhJobRecord *record)
{
    PhJobState *state = a->state;
    PhJobChange change = change_none(a);
    PhRun run = record->as.start.run;
    if (!owner_check(a, record->as.start.epoch)) {
        return change;
    }
    uint32_t worker = PhJobState_WorkerNumber(state, record->as.start.worker);
    PhJobTask *task = task_find_startable(state, run);
    if (task == NULL ||
        PhJobState_Worker(state, worker)->retired != PH_OFFSET_NONE) {
        return change;
    }
    PhJob *job = PhJobState_Job(state, run.job);
    task->state = PH_JOB_TASK_PLACED;
    task->incarnation = run.incarnation;
    task->worker = worker;
    job->waiting--;
    job->placed++;
    PhJobState_Commit(state, worker, run, job->spec.size);
    change.kind = PH_CHANGE_PLACED;
    change.size = job->spec.size;
    change.worker = worker;
    change.run = run;
    return change;
}

/* State of a task after its run ended with `outcome`. */
static PhJobTaskState
task_state_after(const PhJob *job, PhRunOutcome outcome)
{
    if (outcome == PH_RUN_DONE && job->spec.class != PH_JOB_STANDING) {
        return PH_JOB_TASK_DONE;
    }
    return job->cancel_wanted ? PH_JOB_TASK_CANCELLED : PH_JOB_TASK_WAITING;
}

static void
job_count(PhJob *job, PhJobTaskState state)
{
    switch (state) {
    case PH_JOB_TASK_WAITING:
        job->waiting++;
        break;
    case PH_JOB_TASK_PLACED:
        job->placed++;
        break;
    case PH_JOB_TASK_DONE:
        job->done++;
        break;
    case PH_JOB_TASK_CANCELLED:
        job->cancelled++;
        break;
    }
}

static PhJobChange
apply_end(const PhApplyContext *a, const PhRunEnd *end)
{
    PhJobChange change = change_none(a);
    PhJobTask *task = (PhJobTask *)PhJobState_Placed(a->state, end->run);
    if (task == NULL) {
        return change;
    }
    PhJob *job = PhJobState_Job(a->state, end->run.job);
    change.kind = PH_CHANGE_ENDED;
    change.worker = task->worker;
    change.run = end->run;
    change.outcome = end->outcome;
    change.size = job->spec.size;
    PhJobState_Release(a->state, task->worker, end->run, job->spec.size);
    job->placed--;
    task->worker = PH_WORKER_NONE;
    task->checkpoint = MAX(task->checkpoint, end->checkpoint);
    task->failures = end->outcome == PH_RUN_FAILED ? task->failures + 1
                     : end->outcome == PH_RUN_DONE ? 0
                                                   : task->failures;
    job->evictions += end->outcome == PH_RUN_EVICTED;
    task->state = task_state_after(job, end->outcome);
    job_count(job, task->state);
    Ph_INVARIANT(PH_INVARIANT_TASK_KEPT,
                 job->waiting + job->placed + job->done + job->cancelled ==
                     job->spec.count,
                 "job=%" G_GUINT64_FORMAT, job->number);
    PhJobState_Finish(a->state, job);
    return change;
}

static PhJobChange
apply_retire(const PhApplyContext *a, const PhJobRecord *record)
{
    PhJobChange change = change_none(a);
    bool retire = record->kind == PH_RECORD_RETIRE;
    if (!owner_check(a, record->as.retire.epoch)) {
        return change;
    }
    uint32_t worker =
        PhJobState_WorkerNumber(a->state, record->as.retire.worker);
    PhJobWorker *w = g_ptr_array_index(a->state->workers, worker);
    if ((w->retired != PH_OFFSET_NONE) == retire) {
        return change;
    }
    w->retired = retire ? a->offset : PH_OFFSET_NONE;
    change.kind = retire ? PH_CHANGE_RETIRED : PH_CHANGE_RESTORED;
    change.worker = worker;
    return change;
}

static PhJobChange
apply_keep(const PhApplyContext *a, uint64_t through)
{
    PhJobChange change = change_none(a);
    PhJobRenewer *renewer = PhJobState_AddRenewer(a->state, a->instance);
    renewer->registered = true;
    renewer->through = MAX(renewer->through, through);
    change.kind = PH_CHANGE_REGISTERED;
    return change;
}

/* Deregisters an instance on its own request, or on that of another that has
 * applied all its entries. */
static PhJobChange
apply_leave(const PhApplyContext *a, const PhJobRecord *record)
{
    PhJobChange change = change_none(a);
    PhJobRenewer *renewer =
        PhJobState_AddRenewer(a->state, record->as.leave.instance);
    if (!renewer->registered ||
        (!PhStr_Equal(a->instance, renewer->id) &&
         renewer->sequence != record->as.leave.sequence)) {
        return change;
    }
    renewer->registered = false;
    PhJobState_PruneRenewers(a->state);
    change.kind = PH_CHANGE_DEREGISTERED;
    return change;
}

static PhJobChange
record_apply(const PhApplyContext *a, const PhJobRecord *record)
{
    PhJobChange change = change_none(a);
    switch (record->kind) {
    case PH_RECORD_JOB:
        return apply_job(a, &record->as.job);
    case PH_RECORD_CANCEL:
        return apply_cancel(a, record->as.cancel);
    case PH_RECORD_CLAIM:
        return apply_claim(a, record);
    case PH_RECORD_HOLD:
        change.kind = owner_check(a, record->as.hold)
                          ? PH_CHANGE_OWNER_HEARTBEAT
                          : PH_CHANGE_NONE;
        return change;
    case PH_RECORD_KEEP:
        return apply_keep(a, record->as.through);
    case PH_RECORD_LEAVE:
        return apply_leave(a, record);
    case PH_RECORD_START:
        return apply_start(a, record);
    case PH_RECORD_END:
        return apply_end(a, &record->as.end);
    case PH_RECORD_SUSPECT:
        change.kind = PH_CHANGE_SUSPECTED;
        change.worker = PhJobState_WorkerNumber(a->state, record->as.suspect);
        return change;
    case PH_RECORD_RETIRE:
    case PH_RECORD_RESTORE:
        return apply_retire(a, record);
    case PH_RECORD_SNAPSHOT_END:
        change.kind = PH_CHANGE_SNAPSHOT;
        change.through = record->as.snapshot.through;
        return change;
    case PH_RECORD_SNAPSHOT_BEGIN:
    case PH_RECORD_SNAPSHOT_JOB:
    case PH_RECORD_SNAPSHOT_TASKS:
    case PH_RECORD_SNAPSHOT_WORKER:
    case PH_RECORD_SNAPSHOT_RENEWER:
        return change;
    }
    return change;
}

bool
PhJobState_BeginEntry(PhJobState *state, uint64_t offset,
                      const PhJobEntry *entry)
{
    Ph_INVARIANT(PH_INVARIANT_TASK_KEPT, offset >= state->next,
                 "place=%" G_GUINT64_FORMAT " next=%" G_GUINT64_FORMAT, offset,
                 state->next);
    state->next = offset + 1;
    PhJobRenewer *renewer = PhJobState_AddRenewer(state, entry->instance);
    if (entry->sequence <= renewer->sequence) {
        return false;
    }
    renewer->sequence = entry->sequence;
    return true;
}

PhJobChange
PhJobState_Apply(PhJobState *state, const PhJobEntry *entry, uint32_t position)
{
    PhApplyContext a = {.state = state,
                        .offset = state->next - 1,
                        .instance = entry->instance,
                        .position = position};
    return record_apply(&a,
                        &g_array_index(entry->records, PhJobRecord, position));
}
