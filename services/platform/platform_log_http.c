#include <inttypes.h>

#include "peridothill/codec/json.h"
#include "peridothill/codec/log_json.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "platform_log_task.h"

enum {
    ANSWER_LIMIT_BYTES = 16 * 1024 * 1024,
    HTTP_OK = 200,
    HTTP_BAD_REQUEST = 400,
    HTTP_GONE = 410,
    HTTP_INTERNAL_ERROR = 500,
    HTTP_UNAVAILABLE = 503,
};

/* A 4xx status or 503 proves that the platform refused the request before
 * appending anything. Other errors may come from a proxy or from after the
 * append. */
static bool
refused_before_append(int status)
{
    return (status >= HTTP_BAD_REQUEST && status < HTTP_INTERNAL_ERROR) ||
           status == HTTP_UNAVAILABLE;
}

/* The outcome of an append is certain only if the platform reports it or if it
 * is proved that nothing was sent. */
static PhLogAppended
append_result(const PhLogCall *call, const PhHttpReply *reply)
{
    PhLogAppended a = {.id = call->id, .status = PH_STATUS_UNKNOWN};
    if (reply->outcome == PH_HTTP_NOT_SENT) {
        a.status = PH_STATUS_UNAVAILABLE;
        return a;
    }
    if (reply->outcome == PH_HTTP_UNKNOWN) {
        return a;
    }
    if (reply->status != HTTP_OK) {
        a.status = refused_before_append(reply->status) ? PH_STATUS_UNAVAILABLE
                                                        : PH_STATUS_UNKNOWN;
        return a;
    }
    json_t *root;
    PhResult r = PhJson_Parse(reply->body, &root);
    if (PhResult_IsOk(&r)) {
        int64_t first = PhJson_GetInt(root, "first", -1);
        a.status = first >= 0 ? PH_STATUS_OK : PH_STATUS_UNKNOWN;
        a.first = first >= 0 ? (uint64_t)first : 0;
        json_decref(root);
    }
    return a;
}

static PhLogRecords
read_result(const PhLogCall *call, const PhHttpReply *reply)
{
    PhLogRecords records = {
        .id = call->id, .status = PH_STATUS_UNAVAILABLE, .next = call->from};
    if (reply->outcome != PH_HTTP_ANSWERED) {
        return records;
    }
    PhResult r = PhLogJson_DecodeRecords(reply->body, &records);
    if (!PhResult_IsOk(&r)) {
        return records;
    }
    if (reply->status == HTTP_OK) {
        records.status = PH_STATUS_OK;
    }
    else if (reply->status == HTTP_GONE) {
        records.status = PH_STATUS_EXPIRED;
    }
    return records;
}

static void
call_answer(PhLogTask *log, const PhLogCall *call, const PhHttpReply *reply)
{
    PhLogMessage m = {0};
    if (call->tag == PH_LOG_APPEND) {
        m.tag = PH_LOG_APPENDED;
        m.as.appended = append_result(call, reply);
    }
    else {
        m.tag = PH_LOG_RECORDS;
        m.as.records = read_result(call, reply);
    }
    PhLogTask_Answer(log, call, &m);
}

/* The task "http" replies to every request that it accepts; one that it does
 * not accept was not sent. */
static void
send_http(PhLogTask *log, const PhLogCall *call, PhStr method, PhStr target,
          PhStr body, PhTime deadline)
{
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = call->number,
                    .method = PhStr_Dup(method),
                    .address = PhStr_Dup(log->adapter.as.address),
                    .target = target,
                    .body = body,
                    .deadline = deadline,
                    .first_byte = PH_TIME_NEVER,
                    .answer_limit_bytes = ANSWER_LIMIT_BYTES,
                    /* An append is not idempotent: libcurl must not resend it
                     * when a reused connection turns out to be closed. */
                    .fresh_connection = body.len > 0}};
    PhStatus sent =
        PhTask_SendTo(log->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
    if (sent != PH_STATUS_OK) {
        PhHttpReply reply = {.id = call->number,
                             .outcome = PH_HTTP_NOT_SENT,
                             .failure = PH_HTTP_FAILURE_FULL};
        call_answer(log, call, &reply);
    }
}

void
PhLogHttp_Append(PhLogTask *log, PhTaskRef sender, const PhLogAppend *append)
{
    PhBuf target = {0};
    PhBuf_AppendFormat(&target, "/streams/%.*s/records",
                       PhStr_ARG(append->stream));
    const PhLogCall *call =
        PhLogTask_AddCall(log, sender, PH_LOG_APPEND, append->id, 0);
    send_http(log, call, PhStr_LITERAL("POST"), PhBuf_Take(&target),
              PhLogJson_EncodeAppend(append->records, append->record_count),
              append->deadline);
}

void
PhLogHttp_Read(PhLogTask *log, PhTaskRef sender, const PhLogRead *read)
{
    PhBuf target = {0};
    PhBuf_AppendFormat(&target,
                       "/streams/%.*s/records?from=%" PRIu64 "&limit=%zu",
                       PhStr_ARG(read->stream), read->from, read->limit);
    const PhLogCall *call =
        PhLogTask_AddCall(log, sender, PH_LOG_READ, read->id, read->from);
    send_http(log, call, PhStr_LITERAL("GET"), PhBuf_Take(&target), (PhStr){0},
              read->deadline);
}

/* Ignores a reply to a call that was already answered. */
void
PhLogHttp_OnMessage(PhLogTask *log, const PhMessage *message)
{
    const PhHttpMessage *m = message->body;
    if (m->tag != PH_HTTP_REPLY) {
        return;
    }
    const PhLogCall *call = g_hash_table_lookup(log->calls, &m->as.reply.id);
    if (call != NULL) {
        call_answer(log, call, &m->as.reply);
    }
}
