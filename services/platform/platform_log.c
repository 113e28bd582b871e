#include "peridothill/services/platform_log.h"

#include <inttypes.h>

#include "peridothill/codec/json.h"
#include "peridothill/codec/log_json.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"

enum {
    MAILBOX_CAPACITY = 1024,
    ANSWER_LIMIT_BYTES = 16 * 1024 * 1024,
    HTTP_OK = 200,
    HTTP_GONE = 410,
};

/* A call that waits for the platform's answer. */
typedef struct PhLogCall {
    uint64_t number;
    PhTaskRef sender;
    PhLogTag tag; /* PH_LOG_APPEND or PH_LOG_READ */
    uint64_t id;
    uint64_t from;
} PhLogCall;

/* State of the task "log". */
typedef struct PhLogTask {
    PhTask *self;
    PhLogAdapter adapter;
    GHashTable *calls; /* PhLogCall by number */
    uint64_t next_number;
} PhLogTask;

/* Releases a message and all it owns. */
static void
message_release(void *body)
{
    PhLogMessage *m = body;
    switch (m->tag) {
    case PH_LOG_APPEND:
        PhStr_Clear(&m->as.append.stream);
        for (size_t i = 0; i < m->as.append.record_count; i++) {
            PhStr_Clear(&m->as.append.records[i]);
        }
        g_free(m->as.append.records);
        break;
    case PH_LOG_READ:
        PhStr_Clear(&m->as.read.stream);
        break;
    case PH_LOG_APPENDED:
        break;
    case PH_LOG_RECORDS:
        PhLogRecords_Clear(&m->as.records);
        break;
    }
    g_free(m);
}

/* Wraps a message for the kernel and takes over what it owns. */
PhMessage
PhLogMessage_Wrap(const PhLogMessage *body)
{
    PhLogMessage *copy = g_new(PhLogMessage, 1);
    *copy = *body;
    return (PhMessage){.interface = PH_INTERFACE_LOG,
                       .body = copy,
                       .release = message_release};
}

/* Notes a call and gives its number. */
static uint64_t
call_create(PhLogTask *log, PhTaskRef sender, PhLogTag tag, uint64_t id,
            uint64_t from)
{
    PhLogCall *call = g_new(PhLogCall, 1);
    *call = (PhLogCall){.number = ++log->next_number,
                        .sender = sender,
                        .tag = tag,
                        .id = id,
                        .from = from};
    g_hash_table_insert(log->calls, &call->number, call);
    return call->number;
}

/* Sends a request to the platform; an answer of "http" follows always. */
static void
send_http(PhLogTask *log, uint64_t number, PhStr method, PhStr target,
          PhStr body, PhTime deadline)
{
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = number,
                    .method = PhStr_Dup(method),
                    .address = PhStr_Dup(log->adapter.as.address),
                    .target = target,
                    .body = body,
                    .deadline = deadline,
                    .first_byte = PH_TIME_NEVER,
                    .answer_limit_bytes = ANSWER_LIMIT_BYTES,
                    /* An append is not idempotent: libcurl must not send it
                     * again when a kept connection turns out to be closed. */
                    .fresh_connection = body.len > 0}};
    PhTask_SendTo(log->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
}

/* Starts an append. */
static void
start_append(PhLogTask *log, PhTaskRef sender, const PhLogAppend *append)
{
    PhBuf target = {0};
    PhBuf_AppendFormat(&target, "/streams/%.*s/records",
                       PhStr_ARG(append->stream));
    uint64_t number = call_create(log, sender, PH_LOG_APPEND, append->id, 0);
    send_http(log, number, PhStr_LITERAL("POST"), PhBuf_Take(&target),
              PhLogJson_EncodeAppend(append->records, append->record_count),
              append->deadline);
}

/* Starts a read. */
static void
start_read(PhLogTask *log, PhTaskRef sender, const PhLogRead *read)
{
    PhBuf target = {0};
    PhBuf_AppendFormat(&target,
                       "/streams/%.*s/records?from=%" PRIu64 "&limit=%zu",
                       PhStr_ARG(read->stream), read->from, read->limit);
    uint64_t number =
        call_create(log, sender, PH_LOG_READ, read->id, read->from);
    send_http(log, number, PhStr_LITERAL("GET"), PhBuf_Take(&target),
              (PhStr){0}, read->deadline);
}

/* Tells what became of an append.  Only an answer that says so, or a proof
 * that nothing left, makes it certain. */
static PhLogAppended
appended_of(const PhLogCall *call, const PhHttpReply *reply)
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
        /* The platform refuses before it appends. */
        a.status = PH_STATUS_UNAVAILABLE;
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

/* Tells what a read gave. */
static PhLogRecords
records_of(const PhLogCall *call, const PhHttpReply *reply)
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

/* Passes the platform's answer to the task that called. */
static void
on_reply(PhLogTask *log, const PhHttpReply *reply)
{
    const PhLogCall *call = g_hash_table_lookup(log->calls, &reply->id);
    if (call == NULL) {
        return;
    }
    PhLogMessage m = {0};
    if (call->tag == PH_LOG_APPEND) {
        m.tag = PH_LOG_APPENDED;
        m.as.appended = appended_of(call, reply);
    }
    else {
        m.tag = PH_LOG_RECORDS;
        m.as.records = records_of(call, reply);
    }
    PhTask_Send(log->self, call->sender, PhLogMessage_Wrap(&m));
    g_hash_table_remove(log->calls, &reply->id);
}

/* Acts on a message from a caller of the log or from "http". */
static void
on_message(PhLogTask *log, const PhMail *mail)
{
    if (mail->as.message.interface == PH_INTERFACE_HTTP) {
        const PhHttpMessage *m = mail->as.message.body;
        if (m->tag == PH_HTTP_REPLY) {
            on_reply(log, &m->as.reply);
        }
        return;
    }
    if (mail->as.message.interface != PH_INTERFACE_LOG) {
        return;
    }
    const PhLogMessage *m = mail->as.message.body;
    switch (m->tag) {
    case PH_LOG_APPEND:
        start_append(log, mail->from, &m->as.append);
        break;
    case PH_LOG_READ:
        start_read(log, mail->from, &m->as.read);
        break;
    case PH_LOG_APPENDED:
    case PH_LOG_RECORDS:
        break;
    }
}

/* Handles a mail of the task "log". */
static void
log_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhLogTask *log = state;
    log->self = self;
    switch (mail->kind) {
    case PH_MAIL_MESSAGE:
        on_message(log, mail);
        break;
    case PH_MAIL_START:
    case PH_MAIL_TIMER:
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

/* Releases the state of the task. */
static void
log_destroy(void *state)
{
    PhLogTask *log = state;
    if (log->adapter.kind == PH_LOG_ADAPTER_HTTP) {
        PhStr_Clear(&log->adapter.as.address);
    }
    g_hash_table_destroy(log->calls);
    g_free(log);
}

/* Starts the task "log". */
PhStatus
PhPlatformLog_Start(PhKernel *kernel, const PhLogAdapter *adapter)
{
    PhLogTask *log = g_new0(PhLogTask, 1);
    log->adapter = *adapter;
    if (adapter->kind == PH_LOG_ADAPTER_HTTP) {
        log->adapter.as.address = PhStr_Dup(adapter->as.address);
    }
    log->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    PhTaskSpec spec = {.name = PH_SERVICE_LOG,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = log,
                       .handle = log_handle,
                       .destroy = log_destroy};
    PhStatus status = PhKernel_Spawn(kernel, &spec, NULL);
    if (status != PH_STATUS_OK) {
        log_destroy(log);
    }
    return status;
}
