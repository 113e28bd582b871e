#include "job_engine_private.h"

enum {
    RECORDS_PER_ENTRY_MAX = 256,
    SNAPSHOT_RECORDS_PER_ENTRY = 32,
    APPEND_RETRY_MS = 500,
    /* From the first sending of an entry until its submits and cancels that
     * have no answer yet are answered UNKNOWN. */
    ANSWER_LIMIT_MS = 5000,
};

static void
request_answer(PhJobEngine *e, const PhClientRequest *r, uint64_t job,
               PhResult result)
{
    PhJobAction action = {.kind = PH_ACTION_ANSWER};
    action.as.answer.token = r->token;
    action.as.answer.cancel = r->cancel;
    action.as.answer.job = job;
    action.as.answer.result = result;
    PhJobEngine_Emit(e, action);
}

/* Answers all pending requests of a list with one result, and empties it. */
static void
requests_answer(PhJobEngine *e, GArray *requests, PhStatus status,
                const char *message)
{
    for (guint i = 0; i < requests->len; i++) {
        request_answer(e, &g_array_index(requests, PhClientRequest, i), 0,
                       PhResult_Make(status, "%s", message));
    }
    g_array_set_size(requests, 0);
}

/* True for records that a client requested. */
static bool
is_client_record(const PhJobRecord *record)
{
    return record->kind == PH_RECORD_JOB || record->kind == PH_RECORD_CANCEL;
}

/* Drops client requests from a list of records and refuses them. Safe only for
 * records that were never sent, or that the log reported as not appended. */
static void
client_records_refuse(PhJobEngine *e, GArray *records, GArray *requests)
{
    for (guint i = records->len; i > 0; i--) {
        if (is_client_record(&g_array_index(records, PhJobRecord, i - 1))) {
            g_array_remove_index(records, i - 1);
        }
    }
    PhJobEngine_Count(e, PH_COUNTER_TASKS_REFUSED_LOG_DOWN, requests->len);
    requests_answer(e, requests, PH_STATUS_UNAVAILABLE,
                    "the log is down: not accepted, nothing will run");
}

static void
log_mark_down(PhJobEngine *e)
{
    e->log_down = true;
    if (e->requests->len > 0) {
        client_records_refuse(e, e->queue, e->requests);
    }
}

/* Refuses a request immediately if it cannot be appended now. */
static bool
request_refused(PhJobEngine *e, const PhClientRequest *r)
{
    if (e->state == NULL || e->log_down || e->leaving) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_REFUSED_LOG_DOWN, 1);
        request_answer(
            e, r, 0,
            PhResult_Make(PH_STATUS_UNAVAILABLE,
                          "the log cannot be reached: not accepted, "
                          "nothing will run"));
        return true;
    }
    if (e->requests->len >= PH_JOB_SUBMITS_MAX) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_REFUSED_FULL, 1);
        request_answer(e, r, 0,
                       PhResult_Make(PH_STATUS_FULL,
                                     "too many submits wait: not accepted"));
        return true;
    }
    return false;
}

void
PhJobEngine_OnSubmit(PhJobEngine *e, uint64_t token, const PhJobSpec *spec)
{
    PhClientRequest r = {.token = token, .position = e->queue->len};
    PhResult check = PhJobSpec_Check(spec);
    if (!PhResult_IsOk(&check)) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_REFUSED_INVALID, 1);
        request_answer(e, &r, 0, check);
        return;
    }
    if (request_refused(e, &r)) {
        return;
    }
    g_array_append_val(e->requests, r);
    PhJobRecord record = {.kind = PH_RECORD_JOB,
                          .as.job = PhJobSpec_Copy(spec)};
    PhJobEngine_Queue(e, record);
}

void
PhJobEngine_OnCancel(PhJobEngine *e, uint64_t token, uint64_t job)
{
    PhClientRequest r = {
        .token = token, .cancel = true, .position = e->queue->len};
    if (request_refused(e, &r)) {
        return;
    }
    g_array_append_val(e->requests, r);
    PhJobEngine_Queue(
        e, (PhJobRecord){.kind = PH_RECORD_CANCEL, .as.cancel = job});
}

/* Moves `n` records from position `first` on into an entry. */
static void
records_move(GArray *from, guint first, guint n, GArray *to)
{
    g_array_append_vals(to, &g_array_index(from, PhJobRecord, first), n);
    for (guint i = 0; i < n; i++) {
        /* Owned by the entry now; HOLD owns nothing. */
        g_array_index(from, PhJobRecord, first + i) =
            (PhJobRecord){.kind = PH_RECORD_HOLD};
    }
}

/* Moves the requests of the first `n` queued records to the entry in
 * flight. */
static void
requests_move(PhJobEngine *e, guint n)
{
    guint moved = 0;
    while (moved < e->requests->len &&
           g_array_index(e->requests, PhClientRequest, moved).position < n) {
        moved++;
    }
    if (moved > 0) {
        g_array_append_vals(e->append.requests, e->requests->data, moved);
        g_array_remove_range(e->requests, 0, moved);
    }
    for (guint i = 0; i < e->requests->len; i++) {
        g_array_index(e->requests, PhClientRequest, i).position -= n;
    }
}

static void
pending_append_send(PhJobEngine *e)
{
    e->append.outstanding = true;
    PhJobEngine_Count(e, PH_COUNTER_TASKS_APPENDS, 1);
    PhJobEngine_Emit(e, (PhJobAction){.kind = PH_ACTION_APPEND,
                                      .as.append = &e->append.entry});
}

/* Builds an entry from the queued records and sends it, unless an entry
 * is active. */
void
PhJobEngine_Flush(PhJobEngine *e)
{
    if (e->append.active || e->state == NULL) {
        return;
    }
    guint left = e->snapshot->len - e->snapshot_next;
    guint n = MIN(e->queue->len, RECORDS_PER_ENTRY_MAX);
    guint parts = MIN(left, SNAPSHOT_RECORDS_PER_ENTRY);
    if (n + parts == 0) {
        return;
    }
    e->append.entry = PhJobEntry_Make(e->options.instance, e->sequence + 1);
    if (n > 0) {
        records_move(e->queue, 0, n, e->append.entry.records);
        g_array_remove_range(e->queue, 0, n);
        requests_move(e, n);
    }
    if (parts > 0) {
        records_move(e->snapshot, e->snapshot_next, parts,
                     e->append.entry.records);
        e->snapshot_next += parts;
    }
    if (e->snapshot_next == e->snapshot->len) {
        g_array_set_size(e->snapshot, 0);
        e->snapshot_next = 0;
    }
    e->append.active = true;
    e->append.uncertain = false;
    e->append.confirmed = false;
    e->append.first_sent = e->now;
    pending_append_send(e);
}

static void
pending_append_clear(PhJobEngine *e)
{
    PhJobEntry_Clear(&e->append.entry);
    g_array_set_size(e->append.requests, 0);
    e->append.active = false;
}

void
PhJobEngine_OnAppended(PhJobEngine *e, PhStatus status)
{
    PhPendingAppend *a = &e->append;
    a->outstanding = false;
    a->retry_at = e->now + (APPEND_RETRY_MS * PH_NS_PER_MS);
    if (!a->active) {
        return; /* read back before the answer arrived */
    }
    if (status == PH_STATUS_OK) {
        a->confirmed = true;
        e->log_down = false;
        e->next_read = e->now;
        return;
    }
    PhJobEngine_Count(e, PH_COUNTER_TASKS_APPEND_RETRIES, 1);
    a->uncertain = a->uncertain || status != PH_STATUS_UNAVAILABLE;
    log_mark_down(e);
    if (!a->uncertain) {
        client_records_refuse(e, a->entry.records, a->requests);
        if (a->entry.records->len == 0) {
            pending_append_clear(e);
        }
    }
}

/* Answers a request by the change that its record caused. */
static void
request_complete(PhJobEngine *e, const PhClientRequest *r,
                 const PhJobChange *change)
{
    PhResult result = PhResult_Ok();
    if (r->cancel && change->job == 0) {
        result = PhResult_Make(PH_STATUS_NOT_FOUND, "no such job");
    }
    else if (change->repeated) {
        result = PhResult_Make(PH_STATUS_EXISTS, "the key was accepted");
    }
    else if (!r->cancel) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_ACCEPTED, 1);
    }
    request_answer(e, r, change->job, result);
}

/* Handles the active entry being read back: answers its requests. */
static void
pending_append_complete(PhJobEngine *e, const GArray *changes)
{
    PhPendingAppend *a = &e->append;
    e->sequence = a->entry.sequence;
    e->log_down = false;
    for (guint i = 0; i < a->requests->len; i++) {
        const PhClientRequest *r =
            &g_array_index(a->requests, PhClientRequest, i);
        for (guint k = 0; k < changes->len; k++) {
            const PhJobChange *c = &g_array_index(changes, PhJobChange, k);
            if (c->position == r->position) {
                request_complete(e, r, c);
            }
        }
    }
    pending_append_clear(e);
}

/* Passes a change to the other parts of the engine. `sent` is when this
 * instance first sent the record, 0 if another instance did. */
static void
change_dispatch(PhJobEngine *e, const PhJobRecord *record,
                const PhJobChange *change, PhTime sent)
{
    bool own = sent > 0;
    PhJobEngine_AddWorkerViews(e);
    if (own && record->kind == PH_RECORD_END) {
        g_hash_table_remove(e->pending_ends, &record->as.end.run);
    }
    if (own && record->kind == PH_RECORD_START &&
        change->kind == PH_CHANGE_NONE) {
        PhJobEngine_StartVoid(e, record->as.start.run);
    }
    PhJobEngine_OwnerChange(e, change, own, sent);
    PhJobEngine_WorkerChange(e, change);
    PhJobEngine_ScheduleChange(e, change, own);
}

static void
instance_seen(PhJobEngine *e, PhStr instance)
{
    g_hash_table_replace(e->last_seen, PhStr_KeyCreate(instance),
                         g_memdup2(&e->now, sizeof(e->now)));
}

static void
entry_apply(PhJobEngine *e, const PhEntryAtOffset *logged)
{
    const PhJobEntry *entry = logged->entry;
    if (!PhJobState_BeginEntry(e->state, logged->offset, entry)) {
        return;
    }
    instance_seen(e, entry->instance);
    /* Other entries of this instance may be read again after a snapshot. */
    bool own = PhStr_Equal(entry->instance, e->options.instance) &&
               e->append.active && e->append.entry.sequence == entry->sequence;
    PhTime sent = own ? MAX(e->append.first_sent, 1) : 0;
    GArray *changes = g_array_new(FALSE, FALSE, sizeof(PhJobChange));
    for (guint i = 0; i < entry->records->len; i++) {
        /* Each change is handled before the next record is applied, because a
         * claim builds the queue from the state. */
        PhJobChange change = PhJobState_Apply(e->state, entry, i);
        change_dispatch(e, &g_array_index(entry->records, PhJobRecord, i),
                        &change, sent);
        g_array_append_val(changes, change);
    }
    if (own) {
        pending_append_complete(e, changes);
    }
    g_array_free(changes, TRUE);
}

static PhSnapshotBuffer *
snapshot_buffer_of(PhJobEngine *e, PhStr instance)
{
    PhSnapshotBuffer *buffer =
        g_hash_table_lookup(e->snapshot_buffers, &instance);
    if (buffer == NULL) {
        buffer = g_new0(PhSnapshotBuffer, 1);
        buffer->records = PhJobRecords_Create();
        g_hash_table_insert(e->snapshot_buffers, PhStr_KeyCreate(instance),
                            buffer);
    }
    return buffer;
}

/* Returns NULL if the entries that follow the snapshot have expired. */
static PhJobState *
snapshot_load(const GArray *records, uint64_t first)
{
    PhJobState *state = PhJobState_Load(records);
    if (state != NULL && PhJobState_NextOffset(state) < first) {
        PhJobState_Destroy(state);
        return NULL;
    }
    return state;
}

/* Collects snapshot records; builds the state from a complete snapshot. */
static void
entry_collect(PhJobEngine *e, const PhJobEntry *entry)
{
    PhSnapshotBuffer *buffer = snapshot_buffer_of(e, entry->instance);
    GArray *kept = buffer->records;
    if (entry->sequence <= buffer->sequence) {
        return; /* duplicate of a retried append */
    }
    buffer->sequence = entry->sequence;
    for (guint i = 0; i < entry->records->len && e->state == NULL; i++) {
        const PhJobRecord *r = &g_array_index(entry->records, PhJobRecord, i);
        if (r->kind < PH_RECORD_SNAPSHOT_BEGIN) {
            continue;
        }
        if (r->kind == PH_RECORD_SNAPSHOT_BEGIN) {
            g_array_set_size(kept, 0);
        }
        PhJobRecord copy = PhJobRecord_Copy(r);
        g_array_append_val(kept, copy);
        if (r->kind == PH_RECORD_SNAPSHOT_END) {
            e->state = snapshot_load(kept, e->load_first);
        }
    }
}

/* The offset asked for has expired: discards the state to load a snapshot. */
static void
state_discard(PhJobEngine *e, uint64_t first)
{
    PhJobEngine_OwnerForget(e);
    PhJobState_Destroy(e->state);
    e->state = NULL;
    e->caught_up = false;
    g_hash_table_remove_all(e->pending_ends);
    e->load_next = first;
    e->load_first = first;
    g_hash_table_remove_all(e->snapshot_buffers);
    PhJobEngine_Count(e, PH_COUNTER_TASKS_SNAPSHOT_LOADS, 1);
}

static void
end_reached(PhJobEngine *e)
{
    if (e->state == NULL) {
        if (!e->stream_lost) {
            e->stream_lost = true;
            PhJobEngine_Note(e, PH_NOTE_STREAM_LOST, e->options.instance,
                             e->load_next);
        }
        return;
    }
    if (!e->caught_up) {
        e->caught_up = true;
        e->owner_seen_at = e->now;
    }
}

/* Ends the active entry if the loaded snapshot includes it. Its submits and
 * cancels are answered UNKNOWN, because their results are not in the
 * snapshot. */
static void
pending_append_resolve(PhJobEngine *e)
{
    const PhJobRenewer *own =
        PhJobState_FindRenewer(e->state, e->options.instance);
    if (e->append.active && own != NULL &&
        own->sequence >= e->append.entry.sequence) {
        e->sequence = e->append.entry.sequence;
        requests_answer(e, e->append.requests, PH_STATUS_UNKNOWN,
                        "may have been accepted: ask again with the same key");
        pending_append_clear(e);
    }
}

/* Reads entries until a snapshot is complete. */
static void
snapshot_collect(PhJobEngine *e, const PhJobEvent *event)
{
    for (size_t i = 0; i < event->as.read.count && e->state == NULL; i++) {
        entry_collect(e, event->as.read.entries[i].entry);
    }
    if (e->state == NULL) {
        e->load_next = event->as.read.next;
        return;
    }
    g_hash_table_remove_all(e->snapshot_buffers);
    PhJobEngine_RebuildWorkerViews(e);
    pending_append_resolve(e);
    e->stream_lost = false;
    e->next_read = e->now;
}

void
PhJobEngine_OnRead(PhJobEngine *e, const PhJobEvent *event)
{
    e->read_outstanding = false;
    e->next_read = e->now + (PH_POLL_MS * PH_NS_PER_MS);
    if (event->as.read.status == PH_STATUS_EXPIRED) {
        state_discard(e, event->as.read.first);
        e->next_read = e->now;
        return;
    }
    if (event->as.read.status != PH_STATUS_OK) {
        return;
    }
    if (!e->append.active) {
        e->log_down = false;
    }
    bool loading = e->state == NULL && e->load_next > 0;
    if (loading) {
        snapshot_collect(e, event);
    }
    else {
        if (e->state == NULL) {
            e->state = PhJobState_Create();
            PhJobEngine_RebuildWorkerViews(e);
        }
        for (size_t i = 0; i < event->as.read.count; i++) {
            entry_apply(e, &event->as.read.entries[i]);
        }
    }
    if (!event->as.read.at_end || (e->append.active && e->append.confirmed)) {
        e->next_read = e->now;
    }
    if (event->as.read.at_end && !(loading && e->state != NULL)) {
        end_reached(e);
    }
}

void
PhJobEngine_LogTick(PhJobEngine *e)
{
    PhPendingAppend *a = &e->append;
    if (!e->read_outstanding && e->now >= e->next_read) {
        e->read_outstanding = true;
        PhJobEngine_Emit(
            e,
            (PhJobAction){.kind = PH_ACTION_READ,
                          .as.read = e->state == NULL
                                         ? e->load_next
                                         : PhJobState_NextOffset(e->state)});
    }
    if (!a->active) {
        return;
    }
    if (a->requests->len > 0 &&
        e->now > a->first_sent + (ANSWER_LIMIT_MS * PH_NS_PER_MS)) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_ANSWERS_UNKNOWN,
                          a->requests->len);
        /* The entry stays active: its records may be in the log, and may still
         * be appended. */
        requests_answer(e, a->requests, PH_STATUS_UNKNOWN,
                        "may have been accepted: ask again with the same key");
    }
    if (!a->outstanding && !a->confirmed && e->now >= a->retry_at) {
        pending_append_send(e);
    }
}
