#include "job_engine_private.h"

#include <xxhash.h>

guint
PhRun_KeyHash(gconstpointer key)
{
    return (guint)PhRun_Digest(*(const PhRun *)key);
}

gboolean
PhRun_KeyEqual(gconstpointer a, gconstpointer b)
{
    return PhRun_Equal(*(const PhRun *)a, *(const PhRun *)b);
}

static void
snapshot_buffer_destroy(gpointer value)
{
    PhSnapshotBuffer *buffer = value;
    g_array_free(buffer->records, TRUE);
    g_free(buffer);
}

PhJobEngine *
PhJobEngine_Create(const PhJobEngineOptions *options, PhTime now)
{
    PhJobEngine *e = g_new0(PhJobEngine, 1);
    e->options = *options;
    e->options.instance = PhStr_Dup(options->instance);
    e->random = PhRandom_Create(options->seed);
    e->snapshot_buffers =
        g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, PhStr_KeyDestroy,
                              snapshot_buffer_destroy);
    e->queue = PhJobRecords_Create();
    e->snapshot = PhJobRecords_Create();
    e->requests = g_array_new(FALSE, FALSE, sizeof(PhClientRequest));
    e->append.requests = g_array_new(FALSE, FALSE, sizeof(PhClientRequest));
    e->last_seen = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                         PhStr_KeyDestroy, g_free);
    e->alive = g_ptr_array_new_with_free_func(PhStr_KeyDestroy);
    e->worker_views = g_ptr_array_new_with_free_func(PhWorkerView_Destroy);
    e->pending_ends =
        g_hash_table_new_full(PhRun_KeyHash, PhRun_KeyEqual, g_free, NULL);
    e->placement = PhPlacement_Create(options->policy);
    e->quotas = PhQuotas_Create();
    e->jobs = PhJobQueue_Create();
    e->starts =
        g_hash_table_new_full(PhRun_KeyHash, PhRun_KeyEqual, NULL, g_free);
    e->jobs_to_stop = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    e->next_read = now;
    return e;
}

void
PhJobEngine_Destroy(PhJobEngine *e)
{
    if (e == NULL) {
        return;
    }
    PhJobEntry_Clear(&e->append.entry);
    g_array_free(e->append.requests, TRUE);
    g_array_free(e->requests, TRUE);
    g_array_free(e->queue, TRUE);
    g_array_free(e->snapshot, TRUE);
    g_array_free(e->jobs_to_stop, TRUE);
    g_hash_table_destroy(e->snapshot_buffers);
    g_hash_table_destroy(e->last_seen);
    g_hash_table_destroy(e->pending_ends);
    g_hash_table_destroy(e->starts);
    g_ptr_array_free(e->alive, TRUE);
    g_ptr_array_free(e->worker_views, TRUE);
    PhPlacement_Destroy(e->placement);
    PhQuotas_Destroy(e->quotas);
    PhJobQueue_Destroy(e->jobs);
    PhJobState_Destroy(e->state);
    PhRandom_Destroy(e->random);
    PhStr_Clear(&e->options.instance);
    g_free(e);
}

void
PhJobEngine_Count(PhJobEngine *e, PhCounter counter, uint64_t amount)
{
    if (e->options.counters != NULL) {
        PhCounters_Add(e->options.counters, counter, amount);
    }
}

void
PhJobEngine_Emit(PhJobEngine *e, PhJobAction action)
{
    g_array_append_val(e->actions, action);
}

void
PhJobEngine_Note(PhJobEngine *e, PhJobNote note, PhStr subject,
                 uint64_t number)
{
    PhJobAction action = {.kind = PH_ACTION_NOTE};
    action.as.note.note = note;
    action.as.note.subject = subject;
    action.as.note.number = number;
    PhJobEngine_Emit(e, action);
}

void
PhJobEngine_Queue(PhJobEngine *e, PhJobRecord record)
{
    g_array_append_val(e->queue, record);
}

void
PhJobEngine_QueueEnd(PhJobEngine *e, PhRunEnd end)
{
    if (g_hash_table_contains(e->pending_ends, &end.run)) {
        return;
    }
    g_hash_table_add(e->pending_ends, g_memdup2(&end.run, sizeof(end.run)));
    PhJobEngine_Queue(e, (PhJobRecord){.kind = PH_RECORD_END, .as.end = end});
}

/* Stops renewing leases, and deregisters as renewer. */
static void
engine_leave(PhJobEngine *e)
{
    if (e->leaving) {
        return;
    }
    e->leaving = true;
    PhJobRecord record = {.kind = PH_RECORD_LEAVE};
    record.as.leave.instance = PhStr_Dup(e->options.instance);
    PhJobEngine_Queue(e, record);
}

static void
engine_tick(PhJobEngine *e)
{
    PhJobEngine_LogTick(e);
    PhJobEngine_OwnerTick(e);
    PhJobEngine_WorkersTick(e);
    PhJobEngine_ScheduleTick(e);
}

void
PhJobEngine_Handle(PhJobEngine *e, const PhJobEvent *event, PhTime now,
                   GArray *actions)
{
    e->now = now;
    e->actions = actions;
    switch (event->kind) {
    case PH_JOB_TICK:
        engine_tick(e);
        break;
    case PH_JOB_READ:
        PhJobEngine_OnRead(e, event);
        break;
    case PH_JOB_APPENDED:
        PhJobEngine_OnAppended(e, event->as.appended);
        PhJobEngine_LogTick(e);
        break;
    case PH_JOB_WORKERS:
        PhJobEngine_OnWorkers(e, event->as.workers.workers,
                              event->as.workers.count);
        break;
    case PH_JOB_MEMBERS:
        PhJobEngine_OnMembers(e, event->as.members.ids,
                              event->as.members.count);
        break;
    case PH_JOB_QUOTAS:
        PhQuotas_Set(e->quotas, event->as.quotas.teams,
                     event->as.quotas.count);
        e->schedule_wanted = true;
        break;
    case PH_JOB_WORKER_ANSWER:
        PhJobEngine_OnAnswer(e, event->as.answer);
        break;
    case PH_JOB_SUBMIT:
        PhJobEngine_OnSubmit(e, event->as.submit.token, event->as.submit.spec);
        break;
    case PH_JOB_CANCEL:
        PhJobEngine_OnCancel(e, event->as.cancel.token, event->as.cancel.job);
        break;
    case PH_JOB_LEAVE:
        engine_leave(e);
        break;
    }
    PhJobEngine_Flush(e);
    e->actions = NULL;
}

const PhJobState *
PhJobEngine_State(const PhJobEngine *e)
{
    return e->state;
}

PhStr
PhJobEngine_Reason(const PhJobEngine *e, uint64_t job)
{
    const PhQueuedJob *queued = PhJobQueue_Find(e->jobs, job);
    return queued == NULL || queued->reason == NULL
               ? (PhStr){0}
               : PhStr_FromC(queued->reason);
}
