#include "job_state_private.h"

/* Adds a job and, unless it is finished, its tasks. */
static void
snapshot_job(const PhJobState *state, const PhJob *job, GArray *records)
{
    PhJobRecord record = {.kind = PH_RECORD_SNAPSHOT_JOB};
    record.as.snapshot_job.number = job->number;
    record.as.snapshot_job.cancel_wanted = job->cancel_wanted;
    record.as.snapshot_job.finished = job->tasks == NULL;
    record.as.snapshot_job.evictions = job->evictions;
    record.as.snapshot_job.done = job->done;
    record.as.snapshot_job.cancelled = job->cancelled;
    record.as.snapshot_job.spec = PhJobSpec_Copy(&job->spec);
    g_array_append_val(records, record);
    if (job->tasks == NULL) {
        return;
    }
    for (uint32_t i = 0; i < job->spec.count; i += PH_SNAPSHOT_TASKS_MAX) {
        uint32_t n = MIN(job->spec.count - i, PH_SNAPSHOT_TASKS_MAX);
        PhJobRecord part = {.kind = PH_RECORD_SNAPSHOT_TASKS};
        part.as.snapshot_tasks.job = job->number;
        part.as.snapshot_tasks.first = i;
        part.as.snapshot_tasks.count = n;
        part.as.snapshot_tasks.tasks =
            g_memdup2(&job->tasks[i], n * sizeof(PhJobTask));
        part.as.snapshot_tasks.workers = g_new0(PhStr, n);
        for (uint32_t k = 0; k < n; k++) {
            uint32_t worker = job->tasks[i + k].worker;
            if (worker != PH_WORKER_NONE) {
                part.as.snapshot_tasks.workers[k] =
                    PhStr_Dup(PhJobState_Worker(state, worker)->id);
            }
        }
        g_array_append_val(records, part);
    }
}

/* Finished jobs come first, in order of completion, as they are evicted in
 * that order. */
static void
snapshot_jobs(const PhJobState *state, GArray *records)
{
    for (GList *l = state->finished.head; l != NULL; l = l->next) {
        snapshot_job(state, l->data, records);
    }
    for (GTreeNode *n = g_tree_node_first(state->jobs); n != NULL;
         n = g_tree_node_next(n)) {
        const PhJob *job = g_tree_node_value(n);
        if (job->tasks != NULL) {
            snapshot_job(state, job, records);
        }
    }
}

/* Adds the retired workers and the renewers. */
static void
snapshot_others(const PhJobState *state, GArray *records)
{
    for (guint i = 0; i < state->workers->len; i++) {
        const PhJobWorker *w = PhJobState_Worker(state, i);
        if (w->retired != PH_OFFSET_NONE) {
            PhJobRecord record = {.kind = PH_RECORD_SNAPSHOT_WORKER};
            record.as.snapshot_worker.worker = PhStr_Dup(w->id);
            record.as.snapshot_worker.offset = w->retired;
            g_array_append_val(records, record);
        }
    }
    for (guint i = 0; i < state->renewers->len; i++) {
        const PhJobRenewer *r = PhJobState_Renewer(state, i);
        PhJobRecord record = {.kind = PH_RECORD_SNAPSHOT_RENEWER};
        record.as.snapshot_renewer.instance = PhStr_Dup(r->id);
        record.as.snapshot_renewer.sequence = r->sequence;
        record.as.snapshot_renewer.through = r->through;
        record.as.snapshot_renewer.registered = r->registered;
        g_array_append_val(records, record);
    }
}

/* Adds a SNAPSHOT_BEGIN or SNAPSHOT_END record. */
static void
snapshot_bound(const PhJobState *state, PhJobRecordKind kind, uint64_t id,
               GArray *records)
{
    PhJobRecord record = {.kind = kind};
    record.as.snapshot.id = id;
    record.as.snapshot.epoch = state->epoch;
    record.as.snapshot.owner = PhStr_Dup(state->owner);
    record.as.snapshot.owner_offset = state->owner_offset;
    record.as.snapshot.through = state->next;
    g_array_append_val(records, record);
}

void
PhJobState_Snapshot(const PhJobState *state, uint64_t id, GArray *records)
{
    snapshot_bound(state, PH_RECORD_SNAPSHOT_BEGIN, id, records);
    snapshot_jobs(state, records);
    snapshot_others(state, records);
    snapshot_bound(state, PH_RECORD_SNAPSHOT_END, id, records);
}

/* Loads a job without its tasks. Returns false for a duplicate. */
static bool
load_job(PhJobState *state, const PhJobRecord *record)
{
    if (PhJobState_Job(state, record->as.snapshot_job.number) != NULL) {
        return false;
    }
    PhJobSpec spec = PhJobSpec_Copy(&record->as.snapshot_job.spec);
    PhJob *job =
        PhJobState_AddJob(state, record->as.snapshot_job.number, spec);
    job->cancel_wanted = record->as.snapshot_job.cancel_wanted;
    job->evictions = record->as.snapshot_job.evictions;
    if (record->as.snapshot_job.finished) {
        job->waiting = 0;
        job->done = record->as.snapshot_job.done;
        job->cancelled = record->as.snapshot_job.cancelled;
        PhJobState_Finish(state, job);
    }
    return true;
}

/* Moves a loaded task from the count of waiting tasks to that of its state,
 * and commits it to its worker if placed. */
static void
load_task(PhJobState *state, PhJob *job, uint32_t index, PhStr worker)
{
    PhJobTask *task = &job->tasks[index];
    PhRun run = {job->number, index, task->incarnation};
    switch (task->state) {
    case PH_JOB_TASK_WAITING:
        return;
    case PH_JOB_TASK_PLACED:
        task->worker = PhJobState_WorkerNumber(state, worker);
        PhJobState_Commit(state, task->worker, run, job->spec.size);
        job->placed++;
        break;
    case PH_JOB_TASK_DONE:
        job->done++;
        break;
    case PH_JOB_TASK_CANCELLED:
        job->cancelled++;
        break;
    }
    job->waiting--;
}

/* Returns false if the range does not fit a loaded, unfinished job. */
static bool
load_tasks(PhJobState *state, const PhJobRecord *record)
{
    PhJob *job = PhJobState_Job(state, record->as.snapshot_tasks.job);
    uint32_t first = record->as.snapshot_tasks.first;
    uint32_t count = record->as.snapshot_tasks.count;
    if (job == NULL || job->tasks == NULL || first > job->spec.count ||
        count > job->spec.count - first) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        job->tasks[first + i] = record->as.snapshot_tasks.tasks[i];
        job->tasks[first + i].worker = PH_WORKER_NONE;
        load_task(state, job, first + i, record->as.snapshot_tasks.workers[i]);
    }
    return true;
}

static void
load_renewer(PhJobState *state, const PhJobRecord *record)
{
    PhJobRenewer *r =
        PhJobState_AddRenewer(state, record->as.snapshot_renewer.instance);
    r->sequence = record->as.snapshot_renewer.sequence;
    r->through = record->as.snapshot_renewer.through;
    r->registered = record->as.snapshot_renewer.registered;
}

static void
load_worker(PhJobState *state, const PhJobRecord *record)
{
    uint32_t worker =
        PhJobState_WorkerNumber(state, record->as.snapshot_worker.worker);
    PhJobWorker *w = g_ptr_array_index(state->workers, worker);
    w->retired = record->as.snapshot_worker.offset;
}

/* Returns false for a record that is invalid in a snapshot. */
static bool
load_record(PhJobState *state, const PhJobRecord *record)
{
    switch (record->kind) {
    case PH_RECORD_SNAPSHOT_BEGIN:
        state->epoch = record->as.snapshot.epoch;
        state->owner = PhStr_Dup(record->as.snapshot.owner);
        state->owner_offset = record->as.snapshot.owner_offset;
        state->next = record->as.snapshot.through;
        return true;
    case PH_RECORD_SNAPSHOT_JOB:
        return load_job(state, record);
    case PH_RECORD_SNAPSHOT_TASKS:
        return load_tasks(state, record);
    case PH_RECORD_SNAPSHOT_WORKER:
        load_worker(state, record);
        return true;
    case PH_RECORD_SNAPSHOT_RENEWER:
        load_renewer(state, record);
        return true;
    case PH_RECORD_SNAPSHOT_END:
        return true;
    case PH_RECORD_JOB:
    case PH_RECORD_CANCEL:
    case PH_RECORD_CLAIM:
    case PH_RECORD_HOLD:
    case PH_RECORD_KEEP:
    case PH_RECORD_LEAVE:
    case PH_RECORD_START:
    case PH_RECORD_END:
    case PH_RECORD_SUSPECT:
    case PH_RECORD_RETIRE:
    case PH_RECORD_RESTORE:
        return false;
    }
    return false;
}

/* True if the records begin with a BEGIN and end with the END of the same
 * id. */
static bool
snapshot_whole(const GArray *records)
{
    if (records->len < 2) {
        return false;
    }
    const PhJobRecord *begin = &g_array_index(records, PhJobRecord, 0);
    const PhJobRecord *end =
        &g_array_index(records, PhJobRecord, records->len - 1);
    return begin->kind == PH_RECORD_SNAPSHOT_BEGIN &&
           end->kind == PH_RECORD_SNAPSHOT_END &&
           begin->as.snapshot.id == end->as.snapshot.id;
}

PhJobState *
PhJobState_Load(const GArray *records)
{
    if (!snapshot_whole(records)) {
        return NULL;
    }
    PhJobState *state = PhJobState_Create();
    for (guint i = 0; i < records->len; i++) {
        if (!load_record(state, &g_array_index(records, PhJobRecord, i))) {
            PhJobState_Destroy(state);
            return NULL;
        }
    }
    return state;
}
