#include "job_engine_private.h"

enum {
    RECORDS_PER_ENTRY_MAX = 256,
    SNAPSHOT_RECORDS_PER_ENTRY = 32,
    APPEND_RETRY_MS = 500,
    SUBMIT_ANSWER_MS = 5000,
};

static void
answer(PhJobEngine *e, const PhWaiting *w, uint64_t job, PhResult result)
{
    PhJobAction action = {.kind = PH_ACTION_ANSWER};
    action.as.answer.token = w->token;
    action.as.answer.cancel = w->cancel;
    action.as.answer.job = job;
    action.as.answer.result = result;
    PhJobEngine_Act(e, action);
}

/* Answers all pending requests of a list with one result, and empties it. */
static void
answer_all(PhJobEngine *e, GArray *waiting, PhStatus status,
           const char *message)
{
    for (guint i = 0; i < waiting->len; i++) {
        answer(e, &g_array_index(waiting, PhWaiting, i), 0,
               PhResult_Make(status, "%s", message));
    }
    g_array_set_size(waiting, 0);
}

/* True for records that a client requested. */
static bool
is_wish(const PhJobRecord *record)
{
    return record->kind == PH_RECORD_JOB || record->kind == PH_RECORD_CANCEL;
}

/* Drops client requests from a list of records and refuses them. Safe only for
 * records that were never sent, or that the log reported as not appended. */
static void
wishes_drop(PhJobEngine *e, GArray *records, GArray *waiting)
{
    for (guint i = records->len; i > 0; i--) {
        if (is_wish(&g_array_index(records, PhJobRecord, i - 1))) {
            g_array_remove_index(records, i - 1);
        }
    }
    PhJobEngine_Count(e, PH_COUNTER_TASKS_REFUSED_LOG_DOWN, waiting->len);
    answer_all(e, waiting, PH_STATUS_UNAVAILABLE,
               "log unavailable: request not accepted");
}

static void
log_lost(PhJobEngine *e)
{
    e->log_down = true;
    if (e->waiting->len > 0) {
        wishes_drop(e, e->queue, e->waiting);
    }
}

/* Refuses a request immediately if it cannot be appended now. */
static bool
refused(PhJobEngine *e, const PhWaiting *w)
{
    if (e->state == NULL || e->log_down || e->leaving) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_REFUSED_LOG_DOWN, 1);
        answer(e, w, 0,
               PhResult_Make(PH_STATUS_UNAVAILABLE,
                             "log unavailable: request not accepted"));
        return true;
    }
    if (e->waiting->len >= PH_JOB_SUBMITS_MAX) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_REFUSED_FULL, 1);
        answer(
            e, w, 0,
            PhResult_Make(PH_STATUS_FULL,
                          "too many pending submits: request not accepted"));
        return true;
    }
    return false;
}

void
PhJobEngine_OnSubmit(PhJobEngine *e, uint64_t token, const PhJobSpec *spec)
{
    PhWaiting w = {.token = token, .position = e->queue->len};
    PhResult check = PhJobSpec_Check(spec);
    if (!PhResult_IsOk(&check)) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_REFUSED_INVALID, 1);
        answer(e, &w, 0, check);
        return;
    }
    if (refused(e, &w)) {
        return;
    }
    g_array_append_val(e->waiting, w);
    PhJobRecord record = {.kind = PH_RECORD_JOB,
                          .as.job = PhJobSpec_Copy(spec)};
    PhJobEngine_Queue(e, record);
}

void
PhJobEngine_OnCancel(PhJobEngine *e, uint64_t token, uint64_t job)
{
    PhWaiting w = {.token = token, .cancel = true, .position = e->queue->len};
    if (refused(e, &w)) {
        return;
    }
    g_array_append_val(e->waiting, w);
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
waiting_move(PhJobEngine *e, guint n)
{
    guint moved = 0;
    while (moved < e->waiting->len &&
           g_array_index(e->waiting, PhWaiting, moved).position < n) {
        moved++;
    }
    if (moved > 0) {
        g_array_append_vals(e->flight.waiting, e->waiting->data, moved);
        g_array_remove_range(e->waiting, 0, moved);
    }
    for (guint i = 0; i < e->waiting->len; i++) {
        g_array_index(e->waiting, PhWaiting, i).position -= n;
    }
}

static void
flight_send(PhJobEngine *e)
{
    e->flight.outstanding = true;
    PhJobEngine_Count(e, PH_COUNTER_TASKS_APPENDS, 1);
    PhJobEngine_Act(e, (PhJobAction){.kind = PH_ACTION_APPEND,
                                     .as.append = &e->flight.entry});
}

/* Builds an entry from the queued records and sends it, unless one is in
 * flight. */
void
PhJobEngine_Flush(PhJobEngine *e)
{
    if (e->flight.open || e->state == NULL) {
        return;
    }
    guint left = e->snapshot->len - e->snapshot_at;
    guint n = MIN(e->queue->len, RECORDS_PER_ENTRY_MAX);
    guint parts = MIN(left, SNAPSHOT_RECORDS_PER_ENTRY);
    if (n + parts == 0) {
        return;
    }
    e->flight.entry = PhJobEntry_Make(e->options.instance, e->sequence + 1);
    if (n > 0) {
        records_move(e->queue, 0, n, e->flight.entry.records);
        g_array_remove_range(e->queue, 0, n);
        waiting_move(e, n);
    }
    if (parts > 0) {
        records_move(e->snapshot, e->snapshot_at, parts,
                     e->flight.entry.records);
        e->snapshot_at += parts;
    }
    if (e->snapshot_at == e->snapshot->len) {
        g_array_set_size(e->snapshot, 0);
        e->snapshot_at = 0;
    }
    e->flight.open = true;
    e->flight.uncertain = false;
    e->flight.confirmed = false;
    e->flight.first_sent = e->now;
    flight_send(e);
}

static void
flight_close(PhJobEngine *e)
{
    PhJobEntry_Clear(&e->flight.entry);
    g_array_set_size(e->flight.waiting, 0);
    e->flight.open = false;
}

void
PhJobEngine_OnAppended(PhJobEngine *e, PhStatus status)
{
    PhFlight *f = &e->flight;
    f->outstanding = false;
    f->retry_at = e->now + (APPEND_RETRY_MS * PH_NS_PER_MS);
    if (!f->open) {
        return; /* read back before the answer arrived */
    }
    if (status == PH_STATUS_OK) {
        f->confirmed = true;
        e->log_down = false;
        e->next_read = e->now;
        return;
    }
    PhJobEngine_Count(e, PH_COUNTER_TASKS_APPEND_RETRIES, 1);
    f->uncertain = f->uncertain || status != PH_STATUS_UNAVAILABLE;
    log_lost(e);
    if (!f->uncertain) {
        wishes_drop(e, f->entry.records, f->waiting);
        if (f->entry.records->len == 0) {
            flight_close(e);
        }
    }
}

/* Answers a request by the change that its record caused. */
static void
waiting_answer(PhJobEngine *e, const PhWaiting *w, const PhJobChange *change)
{
    PhResult result = PhResult_Ok();
    if (w->cancel && change->job == 0) {
        result = PhResult_Make(PH_STATUS_NOT_FOUND, "no such job");
    }
    else if (change->repeated) {
        result = PhResult_Make(PH_STATUS_EXISTS,
                               "a job with this key was accepted before");
    }
    else if (!w->cancel) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_ACCEPTED, 1);
    }
    answer(e, w, change->job, result);
}

/* Handles the entry in flight being read back: answers its requests. */
static void
flight_done(PhJobEngine *e, const GArray *changes)
{
    PhFlight *f = &e->flight;
    e->sequence = f->entry.sequence;
    e->log_down = false;
    for (guint i = 0; i < f->waiting->len; i++) {
        const PhWaiting *w = &g_array_index(f->waiting, PhWaiting, i);
        for (guint k = 0; k < changes->len; k++) {
            const PhJobChange *c = &g_array_index(changes, PhJobChange, k);
            if (c->position == w->position) {
                waiting_answer(e, w, c);
            }
        }
    }
    flight_close(e);
}

/* Passes a change to the other parts of the engine. `sent` is when this
 * instance first sent the record, 0 if another instance did. */
static void
change_spread(PhJobEngine *e, const PhJobRecord *record,
              const PhJobChange *change, PhTime sent)
{
    bool own = sent > 0;
    PhJobEngine_Contacts(e);
    if (own && record->kind == PH_RECORD_END) {
        g_hash_table_remove(e->ending, &record->as.end.run);
    }
    if (own && record->kind == PH_RECORD_START &&
        change->kind == PH_CHANGE_VOID) {
        PhJobEngine_StartVoid(e, record->as.start.run);
    }
    PhJobEngine_OwnerChange(e, change, own, sent);
    PhJobEngine_WorkerChange(e, change);
    PhJobEngine_ScheduleChange(e, change, own);
}

static void
instance_seen(PhJobEngine *e, PhStr instance)
{
    g_hash_table_replace(e->kept_at, PhStr_KeyCreate(instance),
                         g_memdup2(&e->now, sizeof(e->now)));
}

static void
entry_apply(PhJobEngine *e, const PhPlacedEntry *placed)
{
    const PhJobEntry *entry = placed->entry;
    if (!PhJobState_Enter(e->state, placed->place, entry)) {
        return;
    }
    instance_seen(e, entry->instance);
    /* Other entries of this instance may be read again after a snapshot. */
    bool own = PhStr_Equal(entry->instance, e->options.instance) &&
               e->flight.open && e->flight.entry.sequence == entry->sequence;
    PhTime sent = own ? MAX(e->flight.first_sent, 1) : 0;
    GArray *changes = g_array_new(FALSE, FALSE, sizeof(PhJobChange));
    for (guint i = 0; i < entry->records->len; i++) {
        /* Each change is handled before the next record is applied, because a
         * claim builds the queue from the state. */
        PhJobChange change = PhJobState_Apply(e->state, entry, i);
        change_spread(e, &g_array_index(entry->records, PhJobRecord, i),
                      &change, sent);
        g_array_append_val(changes, change);
    }
    if (own) {
        flight_done(e, changes);
    }
    g_array_free(changes, TRUE);
}

static PhLoading *
loading_of(PhJobEngine *e, PhStr instance)
{
    PhLoading *loading = g_hash_table_lookup(e->loading, &instance);
    if (loading == NULL) {
        loading = g_new0(PhLoading, 1);
        loading->records = PhJobRecords_Create();
        g_hash_table_insert(e->loading, PhStr_KeyCreate(instance), loading);
    }
    return loading;
}

/* Returns NULL if the entries that follow the snapshot have expired. */
static PhJobState *
snapshot_load(const GArray *records, uint64_t first)
{
    PhJobState *state = PhJobState_Load(records);
    if (state != NULL && PhJobState_Next(state) < first) {
        PhJobState_Destroy(state);
        return NULL;
    }
    return state;
}

/* Collects snapshot records; builds the state from a complete snapshot. */
static void
entry_load(PhJobEngine *e, const PhJobEntry *entry)
{
    PhLoading *loading = loading_of(e, entry->instance);
    GArray *kept = loading->records;
    if (entry->sequence <= loading->sequence) {
        return; /* duplicate of a retried append */
    }
    loading->sequence = entry->sequence;
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
stream_skip(PhJobEngine *e, uint64_t first)
{
    PhJobEngine_OwnerForget(e);
    PhJobState_Destroy(e->state);
    e->state = NULL;
    e->caught_up = false;
    g_hash_table_remove_all(e->ending);
    e->load_next = first;
    e->load_first = first;
    g_hash_table_remove_all(e->loading);
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
        e->owner_seen = e->now;
    }
}

/* Closes the entry in flight if the loaded snapshot includes it. Its requests
 * are answered UNKNOWN, because their results are not in the snapshot. */
static void
flight_resume(PhJobEngine *e)
{
    const PhJobRenewer *own =
        PhJobState_RenewerOf(e->state, e->options.instance);
    if (e->flight.open && own != NULL &&
        own->sequence >= e->flight.entry.sequence) {
        e->sequence = e->flight.entry.sequence;
        answer_all(e, e->flight.waiting, PH_STATUS_UNKNOWN,
                   "may have been accepted: retry with the same key");
        flight_close(e);
    }
}

/* Reads entries until a snapshot is complete. */
static void
read_load(PhJobEngine *e, const PhJobEvent *event)
{
    for (size_t i = 0; i < event->as.read.count && e->state == NULL; i++) {
        entry_load(e, event->as.read.entries[i].entry);
    }
    if (e->state == NULL) {
        e->load_next = event->as.read.next;
        return;
    }
    g_hash_table_remove_all(e->loading);
    PhJobEngine_Renumber(e);
    flight_resume(e);
    e->stream_lost = false;
    e->next_read = e->now;
}

void
PhJobEngine_OnRead(PhJobEngine *e, const PhJobEvent *event)
{
    e->read_open = false;
    e->next_read = e->now + (PH_POLL_MS * PH_NS_PER_MS);
    if (event->as.read.status == PH_STATUS_EXPIRED) {
        stream_skip(e, event->as.read.first);
        e->next_read = e->now;
        return;
    }
    if (event->as.read.status != PH_STATUS_OK) {
        return;
    }
    if (!e->flight.open) {
        e->log_down = false;
    }
    bool loading = e->state == NULL && e->load_next > 0;
    if (loading) {
        read_load(e, event);
    }
    else {
        if (e->state == NULL) {
            e->state = PhJobState_Create();
            PhJobEngine_Renumber(e);
        }
        for (size_t i = 0; i < event->as.read.count; i++) {
            entry_apply(e, &event->as.read.entries[i]);
        }
    }
    if (!event->as.read.at_end || (e->flight.open && e->flight.confirmed)) {
        e->next_read = e->now;
    }
    if (event->as.read.at_end && !(loading && e->state != NULL)) {
        end_reached(e);
    }
}

void
PhJobEngine_LogTick(PhJobEngine *e)
{
    PhFlight *f = &e->flight;
    if (!e->read_open && e->now >= e->next_read) {
        e->read_open = true;
        PhJobEngine_Act(
            e, (PhJobAction){.kind = PH_ACTION_READ,
                             .as.read = e->state == NULL
                                            ? e->load_next
                                            : PhJobState_Next(e->state)});
    }
    if (!f->open) {
        return;
    }
    if (f->waiting->len > 0 &&
        e->now > f->first_sent + (SUBMIT_ANSWER_MS * PH_NS_PER_MS)) {
        PhJobEngine_Count(e, PH_COUNTER_TASKS_ANSWERS_UNKNOWN,
                          f->waiting->len);
        answer_all(e, f->waiting, PH_STATUS_UNKNOWN,
                   "may have been accepted: retry with the same key");
    }
    if (!f->outstanding && !f->confirmed && e->now >= f->retry_at) {
        flight_send(e);
    }
}
