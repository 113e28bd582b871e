#include "job_state_private.h"

#include <string.h>

#include "peridothill/common/invariant.h"

static gint
number_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    (void)unused;
    return (left > right) - (left < right);
}

static void
job_destroy(gpointer value)
{
    PhJob *job = value;
    PhJobSpec_Clear(&job->spec);
    g_free(job->tasks);
    g_free(job);
}

static void
worker_destroy(gpointer value)
{
    PhJobWorker *worker = value;
    PhStr_Clear(&worker->id);
    g_array_free(worker->runs, TRUE);
    g_free(worker);
}

static void
renewer_destroy(gpointer value)
{
    PhJobRenewer *renewer = value;
    PhStr_Clear(&renewer->id);
    g_free(renewer);
}

PhJobState *
PhJobState_Create(void)
{
    PhJobState *state = g_new0(PhJobState, 1);
    state->owner_offset = PH_OFFSET_NONE;
    state->jobs = g_tree_new_full(number_compare, NULL, NULL, job_destroy);
    state->keys = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    g_queue_init(&state->finished);
    state->workers = g_ptr_array_new_with_free_func(worker_destroy);
    state->by_id = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    state->renewers = g_ptr_array_new_with_free_func(renewer_destroy);
    return state;
}

void
PhJobState_Destroy(PhJobState *state)
{
    if (state == NULL) {
        return;
    }
    g_hash_table_destroy(state->keys);
    g_queue_clear(&state->finished);
    g_tree_destroy(state->jobs);
    g_hash_table_destroy(state->by_id);
    g_ptr_array_free(state->workers, TRUE);
    g_ptr_array_free(state->renewers, TRUE);
    PhStr_Clear(&state->owner);
    g_free(state);
}

PhJob *
PhJobState_AddJob(PhJobState *state, uint64_t number, PhJobSpec spec)
{
    PhJob *job = g_new0(PhJob, 1);
    job->number = number;
    job->spec = spec;
    job->waiting = spec.count;
    job->tasks = g_new0(PhJobTask, spec.count);
    for (uint32_t i = 0; i < spec.count; i++) {
        job->tasks[i].worker = PH_WORKER_NONE;
    }
    g_tree_insert(state->jobs, &job->number, job);
    g_hash_table_insert(state->keys, &job->spec.key, job);
    return job;
}

void
PhJobState_Finish(PhJobState *state, PhJob *job)
{
    if (job->waiting > 0 || job->placed > 0 || job->tasks == NULL) {
        return;
    }
    g_free(job->tasks);
    job->tasks = NULL;
    g_queue_push_tail(&state->finished, job);
    if (g_queue_get_length(&state->finished) > PH_JOBS_FINISHED_MAX) {
        PhJob *first = g_queue_pop_head(&state->finished);
        g_hash_table_remove(state->keys, &first->spec.key);
        g_tree_remove(state->jobs, &first->number);
    }
}

void
PhJobState_Commit(PhJobState *state, uint32_t worker, PhRun run,
                  PhJobSize size)
{
    PhJobWorker *w = g_ptr_array_index(state->workers, worker);
    w->committed = PhJobSize_Add(w->committed, size);
    g_array_append_val(w->runs, run);
    state->placed++;
}

void
PhJobState_Release(PhJobState *state, uint32_t worker, PhRun run,
                   PhJobSize size)
{
    PhJobWorker *w = g_ptr_array_index(state->workers, worker);
    guint i = 0;
    while (i < w->runs->len &&
           !PhRun_Equal(g_array_index(w->runs, PhRun, i), run)) {
        i++;
    }
    Ph_INVARIANT(PH_INVARIANT_ONE_PLACE, i < w->runs->len,
                 "job=%" G_GUINT64_FORMAT " index=%u incarnation=%u", run.job,
                 run.index, run.incarnation);
    g_array_remove_index_fast(w->runs, i);
    w->committed = PhJobSize_Subtract(w->committed, size);
    Ph_INVARIANT(PH_INVARIANT_CAPACITY,
                 w->committed.cpu_milli >= 0 && w->committed.memory_mb >= 0 &&
                     w->committed.accelerators >= 0,
                 "worker=%.*s", PhStr_ARG(w->id));
    state->placed--;
}

uint64_t
PhJobState_NextOffset(const PhJobState *state)
{
    return state->next;
}

uint64_t
PhJobState_Epoch(const PhJobState *state)
{
    return state->epoch;
}

PhStr
PhJobState_Owner(const PhJobState *state)
{
    return state->owner;
}

uint64_t
PhJobState_OwnerOffset(const PhJobState *state)
{
    return state->owner_offset;
}

PhJob *
PhJobState_Job(const PhJobState *state, uint64_t number)
{
    return g_tree_lookup(state->jobs, &number);
}

PhJob *
PhJobState_FindJobByKey(const PhJobState *state, PhStr key)
{
    return g_hash_table_lookup(state->keys, &key);
}

PhJob *
PhJobState_JobFrom(const PhJobState *state, uint64_t number)
{
    GTreeNode *node = g_tree_lower_bound(state->jobs, &number);
    return node == NULL ? NULL : g_tree_node_value(node);
}

const PhJobTask *
PhJobState_Placed(const PhJobState *state, PhRun run)
{
    const PhJob *job = PhJobState_Job(state, run.job);
    if (job == NULL || job->tasks == NULL || run.index >= job->spec.count) {
        return NULL;
    }
    const PhJobTask *task = &job->tasks[run.index];
    return task->state == PH_JOB_TASK_PLACED &&
                   task->incarnation == run.incarnation
               ? task
               : NULL;
}

bool
PhJobState_HasEnded(const PhJobState *state, PhRun run)
{
    const PhJob *job = PhJobState_Job(state, run.job);
    if (job == NULL) {
        return run.job < PhJobState_NextOffset(state);
    }
    if (job->tasks == NULL) {
        return true;
    }
    if (run.index >= job->spec.count) {
        return false;
    }
    const PhJobTask *task = &job->tasks[run.index];
    return task->incarnation > run.incarnation ||
           (task->incarnation == run.incarnation &&
            task->state != PH_JOB_TASK_PLACED);
}

uint32_t
PhJobState_WorkerCount(const PhJobState *state)
{
    return state->workers->len;
}

const PhJobWorker *
PhJobState_Worker(const PhJobState *state, uint32_t worker)
{
    return g_ptr_array_index(state->workers, worker);
}

uint32_t
PhJobState_WorkerNumber(PhJobState *state, PhStr id)
{
    guint known = GPOINTER_TO_UINT(g_hash_table_lookup(state->by_id, &id));
    if (known > 0) {
        return known - 1;
    }
    PhJobWorker *worker = g_new0(PhJobWorker, 1);
    worker->id = PhStr_Dup(id);
    worker->retired = PH_OFFSET_NONE;
    worker->runs = g_array_new(FALSE, FALSE, sizeof(PhRun));
    g_ptr_array_add(state->workers, worker);
    g_hash_table_insert(state->by_id, &worker->id,
                        GUINT_TO_POINTER(state->workers->len));
    return state->workers->len - 1;
}

uint32_t
PhJobState_RenewerCount(const PhJobState *state)
{
    return state->renewers->len;
}

const PhJobRenewer *
PhJobState_Renewer(const PhJobState *state, uint32_t renewer)
{
    return g_ptr_array_index(state->renewers, renewer);
}

/* Linear search, as there are few renewers. */
const PhJobRenewer *
PhJobState_FindRenewer(const PhJobState *state, PhStr instance)
{
    for (guint i = 0; i < state->renewers->len; i++) {
        const PhJobRenewer *r = PhJobState_Renewer(state, i);
        if (PhStr_Equal(r->id, instance)) {
            return r;
        }
    }
    return NULL;
}

PhJobRenewer *
PhJobState_AddRenewer(PhJobState *state, PhStr instance)
{
    const PhJobRenewer *known = PhJobState_FindRenewer(state, instance);
    if (known != NULL) {
        return (PhJobRenewer *)known;
    }
    PhJobRenewer *renewer = g_new0(PhJobRenewer, 1);
    renewer->id = PhStr_Dup(instance);
    g_ptr_array_add(state->renewers, renewer);
    return renewer;
}

void
PhJobState_PruneRenewers(PhJobState *state)
{
    guint left = 0;
    guint first = 0;
    for (guint i = state->renewers->len; i > 0; i--) {
        if (!PhJobState_Renewer(state, i - 1)->registered) {
            left++;
            first = i - 1;
        }
    }
    if (left > PH_INSTANCES_LEFT_MAX) {
        g_ptr_array_remove_index(state->renewers, first);
    }
}

uint64_t
PhJobState_PlacedCount(const PhJobState *state)
{
    return state->placed;
}
