#include "peridothill/fakes/fake_log.h"
#include "platform_log_task.h"

/* Delivers the answer of a call at the time set by the fake log. */
static void
answer_schedule(PhLogTask *log, PhLogCall *call, const PhLogMessage *answer,
                PhTime at)
{
    call->answer = *answer;
    PhTask_SetTimer(log->self, call->number, at);
}

/* Appends the records in order. Once one of them was appended, a failure of a
 * later one leaves the outcome unknown. */
void
PhLogMemory_Append(PhLogTask *log, PhTaskRef sender, const PhLogAppend *append)
{
    PhTime now = PhTask_Now(log->self);
    PhTime at = now;
    PhLogMessage m = {.tag = PH_LOG_APPENDED,
                      .as.appended = {.id = append->id}};
    PhLogAppended *result = &m.as.appended;
    for (size_t i = 0; i < append->record_count; i++) {
        PhFakeLogAnswer a = PhFakeLog_Append(
            log->adapter.as.memory, now, append->stream, append->records[i]);
        at = MAX(at, a.at);
        if (i == 0) {
            result->first = a.offset;
        }
        if (a.status != PH_STATUS_OK) {
            bool nothing = i == 0 && a.status != PH_STATUS_UNKNOWN;
            result->status =
                nothing ? PH_STATUS_UNAVAILABLE : PH_STATUS_UNKNOWN;
            break;
        }
    }
    PhLogCall *call =
        PhLogTask_AddCall(log, sender, PH_LOG_APPEND, append->id, 0);
    answer_schedule(log, call, &m, at);
}

static void
records_copy(const GArray *found, PhTime to_wall, PhLogRecords *records)
{
    records->records = g_new0(PhLogRecord, found->len);
    records->record_count = found->len;
    for (guint i = 0; i < found->len; i++) {
        const PhFakeRecord *f = &g_array_index(found, PhFakeRecord, i);
        records->records[i] = (PhLogRecord){
            .offset = f->offset,
            .appended_ms = (f->appended + to_wall) / PH_NS_PER_MS,
            .body = PhStr_Dup(f->data)};
    }
}

void
PhLogMemory_Read(PhLogTask *log, PhTaskRef sender, const PhLogRead *read)
{
    PhTime now = PhTask_Now(log->self);
    GArray *found = g_array_new(FALSE, FALSE, sizeof(PhFakeRecord));
    PhFakeLogAnswer a =
        PhFakeLog_Read(log->adapter.as.memory, now, read->stream, read->from,
                       (uint32_t)read->limit, found);
    PhLogMessage m = {.tag = PH_LOG_RECORDS,
                      .as.records = {.id = read->id,
                                     .status = a.status,
                                     .first = a.first,
                                     .next = a.offset,
                                     .end = a.offset}};
    if (a.status != PH_STATUS_OK && a.status != PH_STATUS_EXPIRED) {
        m.as.records.status = PH_STATUS_UNAVAILABLE;
        m.as.records.next = read->from;
    }
    records_copy(found, PhTask_Wall(log->self) - now, &m.as.records);
    g_array_free(found, TRUE);
    PhLogCall *call =
        PhLogTask_AddCall(log, sender, PH_LOG_READ, read->id, read->from);
    answer_schedule(log, call, &m, a.at);
}

void
PhLogMemory_OnTimer(PhLogTask *log, uint64_t token)
{
    PhLogCall *call = g_hash_table_lookup(log->calls, &token);
    if (call != NULL) {
        PhLogMessage answer = call->answer;
        call->answer = (PhLogMessage){0};
        PhLogTask_Answer(log, call, &answer);
    }
}
