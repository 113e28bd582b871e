#include "peridothill/codec/config_record.h"
#include "services/config/config_task.h"

#define STREAM_PATCHES PhStr_LITERAL("config")
#define STREAM_SNAPSHOTS PhStr_LITERAL("config.snapshots")
#define CALL_TIMEOUT_NS (3 * PH_NS_PER_S)

/* Request numbers; at most one request of each kind is in flight. */
enum {
    CALL_READ = 1,
    CALL_READ_SNAPSHOTS,
    CALL_WRITE_SNAPSHOT,
    CALL_APPEND,
};

/* Passes the result of an append to the follower or the appender. */
static void
call_end(PhConfigTask *t, uint64_t call, PhStatus status, uint64_t first,
         size_t count)
{
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_WRITTEN,
                           .as.written = status};
    PhAppendEvent append = {.kind = PH_APPEND_EVENT_APPENDED,
                            .as.appended = status};
    if (call == CALL_WRITE_SNAPSHOT) {
        PhConfigTask_HandleFollowerEvent(t, &event);
        return;
    }
    if (status != PH_STATUS_OK) {
        t->append_failed_at = PhTask_Now(t->self);
    }
    PhConfigTask_HandleAppenderEvent(t, &append);
    if (status == PH_STATUS_OK && count > 0) {
        event.kind = PH_CONFIG_EVENT_APPENDED;
        event.as.appended = first + count - 1;
        PhConfigTask_HandleFollowerEvent(t, &event);
    }
}

static void
read_fail(PhConfigTask *t, uint64_t call)
{
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_RECORDS,
                           .as.records.status = PH_STATUS_UNAVAILABLE};
    if (call == CALL_READ_SNAPSHOTS) {
        event.kind = PH_CONFIG_EVENT_SNAPSHOTS;
        event.as.snapshots.status = PH_STATUS_UNAVAILABLE;
    }
    PhConfigTask_HandleFollowerEvent(t, &event);
}

void
PhConfigLog_Read(PhConfigTask *t, const PhConfigAction *action)
{
    bool patches = action->kind == PH_CONFIG_ACTION_READ_LOG;
    uint64_t call = patches ? CALL_READ : CALL_READ_SNAPSHOTS;
    PhLogMessage m = {
        .tag = PH_LOG_READ,
        .as.read = {.id = call,
                    .stream =
                        PhStr_Dup(patches ? STREAM_PATCHES : STREAM_SNAPSHOTS),
                    .from = action->as.read.from,
                    .limit = action->as.read.limit,
                    .deadline = PhTask_Now(t->self) + CALL_TIMEOUT_NS}};
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_CONFIG_LOG_READS, 1);
    if (PhTask_SendTo(t->self, PH_SERVICE_LOG, PhLogMessage_Wrap(&m)) !=
        PH_STATUS_OK) {
        read_fail(t, call);
    }
}

/* Fills in the fields that appends of patches and of snapshots share, and
 * sends the request.  `call` is CALL_APPEND or CALL_WRITE_SNAPSHOT. */
static void
append_request(PhConfigTask *t, PhLogMessage *m, PhStr stream, uint64_t call)
{
    m->tag = PH_LOG_APPEND;
    m->as.append.id = call;
    m->as.append.stream = PhStr_Dup(stream);
    m->as.append.deadline = PhTask_Now(t->self) + CALL_TIMEOUT_NS;
    if (PhTask_SendTo(t->self, PH_SERVICE_LOG, PhLogMessage_Wrap(m)) !=
        PH_STATUS_OK) {
        call_end(t, call, PH_STATUS_UNAVAILABLE, 0, 0);
    }
}

void
PhConfigLog_WriteSnapshot(PhConfigTask *t, const PhConfigSnapshot *snapshot)
{
    PhLogMessage m = {.as.append.record_count = 1};
    m.as.append.records = g_new0(PhStr, 1);
    m.as.append.records[0] = PhConfigSnapshot_Encode(snapshot);
    append_request(t, &m, STREAM_SNAPSHOTS, CALL_WRITE_SNAPSHOT);
}

void
PhConfigLog_Append(PhConfigTask *t, const PhAppendAction *action)
{
    size_t count = action->as.append.count;
    PhLogMessage m = {.as.append.record_count = count};
    m.as.append.records = g_new0(PhStr, count);
    for (size_t i = 0; i < count; i++) {
        m.as.append.records[i] =
            PhConfigPatch_Encode(&action->as.append.patches[i]);
    }
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_CONFIG_APPENDS, 1);
    t->append_count = count;
    append_request(t, &m, STREAM_PATCHES, CALL_APPEND);
}

/* A record that does not decode becomes an unreadable one. */
static PhConfigRecord *
record_decode(const PhLogRecord *r)
{
    PhConfigPatch patch;
    PhResult result = PhConfigPatch_Decode(r->body, &patch);
    return PhConfigRecord_Create(r->offset, r->appended_ms,
                                 PhResult_IsOk(&result) ? &patch : NULL);
}

static void
records_handle(PhConfigTask *t, const PhLogRecords *r)
{
    PhConfigRecord **records = g_new0(PhConfigRecord *, r->record_count);
    for (size_t i = 0; i < r->record_count; i++) {
        records[i] = record_decode(&r->records[i]);
    }
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_RECORDS,
                           .as.records = {.status = r->status,
                                          .first = r->first,
                                          .end = r->end,
                                          .records = records,
                                          .count = r->record_count}};
    PhConfigTask_HandleFollowerEvent(t, &event);
    for (size_t i = 0; i < r->record_count; i++) {
        PhConfigRecord_Unref(records[i]);
    }
    g_free(records);
}

/* Passes on the latest snapshot that decodes; its age is at least 0 even if
 * the clock of the log is ahead. */
static void
snapshots_handle(PhConfigTask *t, const PhLogRecords *r)
{
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_SNAPSHOTS,
                           .as.snapshots = {.status = r->status,
                                            .first = r->first,
                                            .end = r->end,
                                            .read = r->next}};
    for (size_t i = r->record_count; i > 0; i--) {
        const PhLogRecord *record = &r->records[i - 1];
        PhConfigSnapshot *snapshot;
        PhResult result = PhConfigSnapshot_Decode(record->body, &snapshot);
        if (PhResult_IsOk(&result)) {
            PhTime wall = PhTask_Wall(t->self);
            event.as.snapshots.latest = snapshot;
            event.as.snapshots.age =
                MAX(wall - record->appended_ms * PH_NS_PER_MS, 0);
            break;
        }
    }
    PhConfigTask_HandleFollowerEvent(t, &event);
    PhConfigSnapshot_Unref(event.as.snapshots.latest);
}

void
PhConfigLog_Handle(PhConfigTask *t, const PhLogMessage *m)
{
    switch (m->tag) {
    case PH_LOG_APPEND:
    case PH_LOG_READ:
        break;
    case PH_LOG_APPENDED:
        call_end(t, m->as.appended.id, m->as.appended.status,
                 m->as.appended.first, t->append_count);
        break;
    case PH_LOG_RECORDS:
        if (m->as.records.id == CALL_READ) {
            records_handle(t, &m->as.records);
        }
        else {
            snapshots_handle(t, &m->as.records);
        }
        break;
    }
}
