#include <string.h>

#include "task_sim_private.h"

uint64_t
PhTaskSim_BodyBytes(const PhTaskSim *w, PhStr body)
{
    uint64_t bytes = w->options.measured ? body.len : 0;
    PhStr_Clear(&body);
    return bytes;
}

void
PhTaskSim_LogServe(PhTaskSim *w, uint32_t instance,
                   const PhSimMessage *message)
{
    PhTime now = PhFakeNet_Now(w->net);
    PhSimMessage reply = {.generation = message->generation,
                          .id = message->id};
    if (message->kind == SIM_APPEND) {
        /* The log stores the address; the simulation owns the entry. */
        uintptr_t address = (uintptr_t)message->entry;
        PhStr bytes = PhStr_FromBytes(&address, sizeof(address));
        PhFakeLogAnswer a = PhFakeLog_Append(w->log, now, SIM_STREAM, bytes);
        reply.kind = SIM_APPENDED;
        reply.status = a.status;
        if (a.status == PH_STATUS_UNKNOWN) {
            return; /* the requester learns it from its timeout */
        }
        PhTaskSim_Send(w, PhTaskSim_LogEndpoint(w), instance, &reply);
        return;
    }
    GArray *records = g_array_new(FALSE, FALSE, sizeof(PhFakeRecord));
    PhFakeLogAnswer a = PhFakeLog_Read(w->log, now, SIM_STREAM, message->from,
                                       READ_RECORDS_MAX, records);
    reply.kind = SIM_RECORDS;
    reply.status = a.status;
    reply.next = a.offset;
    reply.first = a.first;
    reply.at_end = records->len < READ_RECORDS_MAX;
    reply.records = g_array_new(FALSE, FALSE, sizeof(PhEntryAtOffset));
    for (guint i = 0; i < records->len; i++) {
        const PhFakeRecord *r = &g_array_index(records, PhFakeRecord, i);
        uintptr_t address = 0;
        memcpy(&address, r->data.data, sizeof(address));
        PhEntryAtOffset logged = {.offset = r->offset,
                                  .entry = (const PhJobEntry *)address};
        g_array_append_val(reply.records, logged);
    }
    g_array_free(records, TRUE);
    PhTaskSim_Send(w, PhTaskSim_LogEndpoint(w), instance, &reply);
}

/* Removes the runs that have ended on a worker. */
static void
held_remove_ended(PhTaskSim *w, uint32_t worker)
{
    const GArray *ended = PhWorkerTasks_Ended(w->workers[worker].tasks);
    for (guint i = 0; i < ended->len; i++) {
        const PhRunEnd *end = &g_array_index(ended, PhWorkerEnd, i).end;
        const PhSimHeldRun *held =
            g_hash_table_lookup(w->held_runs, &end->run);
        if (held != NULL && held->worker == worker &&
            PhRun_Equal(held->run, end->run)) {
            w->counts.lapsed += end->outcome == PH_RUN_LOST;
            g_hash_table_remove(w->held_runs, &end->run);
        }
    }
}

/* Records the time from the submission of a job to the first start of a
 * task. */
static void
start_time_add(PhTaskSim *w, uint64_t number)
{
    const PhJobEngine *engine = PhTaskSim_LatestEngine(w);
    const PhJob *job = engine == NULL
                           ? NULL
                           : PhJobState_Job(PhJobEngine_State(engine), number);
    const PhTime *at =
        job == NULL ? NULL : g_hash_table_lookup(w->submits, &job->spec.key);
    if (at != NULL) {
        PhTime waited = PhFakeNet_Now(w->net) - *at;
        g_array_append_val(w->start_times, waited);
    }
}

/* Records a run that a worker has started; it is a duplicate if its task is
 * still held, or if the same run started before. */
static void
held_add(PhTaskSim *w, uint32_t worker, const PhWorkerRun *r)
{
    const PhSimHeldRun *held = g_hash_table_lookup(w->held_runs, &r->run);
    if (held != NULL && held->worker == worker &&
        PhRun_Equal(held->run, r->run)) {
        return;
    }
    if (held != NULL && held->worker != worker) {
        /* A paused worker ends its lapsed runs before it resumes. */
        PhSimWorker *other = &w->workers[held->worker];
        PhWorkerTasks_Advance(other->tasks, PhTaskSim_WorkerClock(w, other));
        held_remove_ended(w, held->worker);
        held = g_hash_table_lookup(w->held_runs, &r->run);
    }
    w->counts.duplicate_runs +=
        held != NULL || g_hash_table_contains(w->started, &r->run);
    w->counts.starts++;
    w->counts.resumes += r->resumed_from > 0;
    if (r->run.incarnation == 1) {
        start_time_add(w, r->run.job);
    }
    g_hash_table_add(w->started, g_memdup2(&r->run, sizeof(r->run)));
    PhSimHeldRun *now_held = g_new(PhSimHeldRun, 1);
    *now_held = (PhSimHeldRun){.run = r->run, .worker = worker};
    g_hash_table_replace(w->held_runs, &now_held->run, now_held);
}

void
PhTaskSim_WorkerCheck(PhTaskSim *w, uint32_t worker)
{
    PhJobSize sum = {0};
    const GArray *runs = PhWorkerTasks_Runs(w->workers[worker].tasks);
    held_remove_ended(w, worker);
    for (guint i = 0; i < runs->len; i++) {
        const PhWorkerRun *r = &g_array_index(runs, PhWorkerRun, i);
        sum = PhJobSize_Add(sum, r->size);
        held_add(w, worker, r);
    }
    w->counts.overcommitted +=
        !PhJobSize_Fits(sum, PhTaskSim_WorkerSize(w, worker));
}

void
PhTaskSim_WorkerReceive(PhTaskSim *w, uint32_t worker, uint32_t instance,
                        const PhSimMessage *message)
{
    PhSimWorker *to = &w->workers[worker];
    PhSimMessage reply = {.kind = SIM_ANSWER,
                          .generation = message->generation};
    PhWorkerCommand command = message->command;
    if (command.kind == PH_WORKER_START && w->run_percent > 0) {
        command.as.start.run_ms =
            command.as.start.run_ms * w->run_percent / 100;
    }
    PhWorkerTasks_Advance(to->tasks, PhTaskSim_WorkerClock(w, to));
    held_remove_ended(w, worker);
    reply.answer = PhWorkerTasks_Command(to->tasks, &command,
                                         PhTaskSim_WorkerClock(w, to));
    PhTaskSim_WorkerCheck(w, worker);
    PhTaskSim_Send(w, PhTaskSim_WorkerEndpoint(w, worker), instance, &reply);
}
