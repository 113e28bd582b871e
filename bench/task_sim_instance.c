#include "peridothill/bench/bench.h"
#include "peridothill/codec/job_record.h"
#include "peridothill/codec/worker_command.h"
#include "task_sim_private.h"

/* Returns the encoded size of an entry, 0 if not measured. */
static uint64_t
entry_bytes(const PhTaskSim *w, const PhJobEntry *entry)
{
    return w->options.measured
               ? PhTaskSim_BodyBytes(w, PhJobEntry_Encode(entry))
               : 0;
}

/* The simulation owns the copy. */
static PhJobEntry *
entry_keep(PhTaskSim *w, const PhJobEntry *entry)
{
    PhJobEntry *copy = g_new(PhJobEntry, 1);
    *copy = PhJobEntry_Make(entry->instance, entry->sequence);
    for (guint i = 0; i < entry->records->len; i++) {
        PhJobRecord record =
            PhJobRecord_Copy(&g_array_index(entry->records, PhJobRecord, i));
        g_array_append_val(copy->records, record);
    }
    g_ptr_array_add(w->entries, copy);
    return copy;
}

/* The id of a worker is "w" and its number. */
static uint32_t
worker_index(PhStr id)
{
    uint64_t number = 0;
    PhStr_ParseU64(PhStr_Slice(id, 1, id.len - 1), &number);
    return (uint32_t)number;
}

static void
submit_count(PhTaskSim *w, const PhJobAction *action)
{
    gint64 token = (gint64)action->as.answer.token;
    PhStr *key = g_hash_table_lookup(w->tokens, &token);
    if (action->as.answer.cancel || key == NULL) {
        return;
    }
    PhStatus status = action->as.answer.result.status;
    if (status == PH_STATUS_OK || status == PH_STATUS_EXISTS) {
        w->counts.accepted += status == PH_STATUS_OK;
        w->counts.repeated += status == PH_STATUS_EXISTS;
        g_hash_table_add(w->keys, PhStr_KeyCreate(*key));
    }
    else if (status == PH_STATUS_UNKNOWN) {
        w->counts.unknown++;
    }
    else {
        w->counts.refused++;
    }
    g_hash_table_remove(w->tokens, &token);
}

static void
action_apply(PhTaskSim *w, uint32_t instance, const PhJobAction *action)
{
    PhSimInstance *in = &w->instances[instance];
    PhSimMessage message = {.generation = in->generation, .id = ++w->next_id};
    switch (action->kind) {
    case PH_ACTION_APPEND:
        message.kind = SIM_APPEND;
        message.entry = entry_keep(w, action->as.append);
        w->counts.log_bytes += entry_bytes(w, message.entry);
        in->append_id = message.id;
        in->append_at = PhFakeNet_Now(w->net);
        PhTaskSim_Send(w, instance, PhTaskSim_LogEndpoint(w), &message);
        break;
    case PH_ACTION_READ:
        message.kind = SIM_READ;
        message.from = action->as.read;
        in->read_id = message.id;
        in->read_at = PhFakeNet_Now(w->net);
        PhTaskSim_Send(w, instance, PhTaskSim_LogEndpoint(w), &message);
        break;
    case PH_ACTION_COMMAND:
        message.kind = SIM_COMMAND;
        message.command = action->as.command;
        uint32_t worker = worker_index(action->as.command.worker);
        w->counts.worker_bytes += PhTaskSim_BodyBytes(
            w, w->options.measured
                   ? PhWorkerCommand_Encode(&action->as.command)
                   : (PhStr){0});
        message.command.worker = w->workers[worker].id;
        PhTaskSim_Send(w, instance, PhTaskSim_WorkerEndpoint(w, worker),
                       &message);
        break;
    case PH_ACTION_ANSWER:
        submit_count(w, action);
        break;
    case PH_ACTION_NOTE:
        w->counts.notes[action->as.note.note]++;
        break;
    }
}

void
PhTaskSim_HandleEvent(PhTaskSim *w, uint32_t instance, const PhJobEvent *event)
{
    PhSimInstance *in = &w->instances[instance];
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(PhJobAction));
    int64_t spent = w->options.measured ? PhBench_CpuTimeNs() : 0;
    PhJobEngine_Handle(in->engine, event, PhTaskSim_InstanceClock(w, in),
                       actions);
    if (w->options.measured) {
        w->counts.engine_ns += (uint64_t)(PhBench_CpuTimeNs() - spent);
    }
    for (guint i = 0; i < actions->len; i++) {
        action_apply(w, instance, &g_array_index(actions, PhJobAction, i));
    }
    g_array_free(actions, TRUE);
}

static void
lists_publish(PhTaskSim *w, uint32_t instance)
{
    PhListedWorker *listed = g_new0(PhListedWorker, w->options.workers);
    for (uint32_t i = 0; i < w->options.workers; i++) {
        listed[i].id = w->workers[i].id;
        listed[i].rack = w->workers[i].rack;
        listed[i].size = PhTaskSim_WorkerSize(w, i);
    }
    PhJobEvent workers = {.kind = PH_JOB_WORKERS,
                          .as.workers = {listed, w->options.workers}};
    PhTaskSim_HandleEvent(w, instance, &workers);
    g_free(listed);
    static const char *const names[PH_SIM_INSTANCES_MAX] = {
        "i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7"};
    PhStr ids[PH_SIM_INSTANCES_MAX];
    size_t count = 0;
    for (uint32_t i = 0; i < w->options.instances; i++) {
        if (w->instances[i].engine != NULL) {
            ids[count++] = PhStr_FromC(names[i]);
        }
    }
    PhJobEvent members = {.kind = PH_JOB_MEMBERS, .as.members = {ids, count}};
    PhTaskSim_HandleEvent(w, instance, &members);
}

/* Fails an append or a read that the log has left open for too long. */
static void
log_expire(PhTaskSim *w, uint32_t instance)
{
    PhSimInstance *in = &w->instances[instance];
    PhTime limit = PhFakeNet_Now(w->net) - (LOG_TIMEOUT_MS * PH_NS_PER_MS);
    if (in->append_id != 0 && in->append_at < limit) {
        in->append_id = 0;
        PhTaskSim_HandleEvent(w, instance,
                              &(PhJobEvent){.kind = PH_JOB_APPENDED,
                                            .as.appended = PH_STATUS_UNKNOWN});
    }
    if (in->read_id != 0 && in->read_at < limit) {
        in->read_id = 0;
        PhJobEvent event = {.kind = PH_JOB_READ};
        event.as.read.status = PH_STATUS_UNAVAILABLE;
        PhTaskSim_HandleEvent(w, instance, &event);
    }
}

void
PhTaskSim_InstanceTick(PhTaskSim *w, uint32_t instance)
{
    PhSimInstance *in = &w->instances[instance];
    PhTime now = PhFakeNet_Now(w->net);
    PhFakeNet_SetTimer(w->net, instance, TOKEN_TICK, now + w->options.tick);
    log_expire(w, instance);
    if (now >= in->listed_at + (LIST_EVERY_MS * PH_NS_PER_MS)) {
        in->listed_at = now;
        lists_publish(w, instance);
    }
    PhTaskSim_HandleEvent(w, instance, &(PhJobEvent){.kind = PH_JOB_TICK});
}

void
PhTaskSim_InstanceReceive(PhTaskSim *w, uint32_t instance,
                          const PhSimMessage *message)
{
    PhSimInstance *in = &w->instances[instance];
    if (in->engine == NULL || message->generation != in->generation) {
        return;
    }
    PhJobEvent event = {0};
    switch (message->kind) {
    case SIM_APPENDED:
        if (message->id != in->append_id) {
            return;
        }
        in->append_id = 0;
        event.kind = PH_JOB_APPENDED;
        event.as.appended = message->status;
        break;
    case SIM_RECORDS:
        if (message->id != in->read_id) {
            return;
        }
        in->read_id = 0;
        event.kind = PH_JOB_READ;
        event.as.read.status = message->status;
        event.as.read.entries =
            (const PhEntryAtOffset *)message->records->data;
        event.as.read.count = message->records->len;
        event.as.read.next = message->next;
        event.as.read.first = message->first;
        event.as.read.at_end = message->at_end;
        for (guint i = 0; i < message->records->len; i++) {
            w->counts.log_bytes += entry_bytes(
                w, g_array_index(message->records, PhEntryAtOffset, i).entry);
        }
        break;
    case SIM_ANSWER:
        event.kind = PH_JOB_WORKER_ANSWER;
        w->counts.worker_bytes += PhTaskSim_BodyBytes(
            w, w->options.measured ? PhWorkerAnswer_Encode(&message->answer)
                                   : (PhStr){0});
        event.as.answer = &message->answer;
        break;
    case SIM_APPEND:
    case SIM_READ:
    case SIM_COMMAND:
        return;
    }
    PhTaskSim_HandleEvent(w, instance, &event);
}
