#include "peridothill/codec/log_json.h"
#include "peridothill/services/interface.h"
#include "platform_log_task.h"

enum {
    MAILBOX_CAPACITY = 1024
};

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

PhMessage
PhLogMessage_Wrap(const PhLogMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_LOG, body, sizeof(*body),
                          message_release);
}

/* An answer that was not sent is released too. */
static void
call_destroy(gpointer value)
{
    PhLogCall *call = value;
    if (call->answer.tag == PH_LOG_RECORDS) {
        PhLogRecords_Clear(&call->answer.as.records);
    }
    g_free(call);
}

PhLogCall *
PhLogTask_AddCall(PhLogTask *log, PhTaskRef sender, PhLogTag tag, uint64_t id,
                  uint64_t from)
{
    PhLogCall *call = g_new0(PhLogCall, 1);
    call->number = ++log->next_number;
    call->sender = sender;
    call->tag = tag;
    call->id = id;
    call->from = from;
    g_hash_table_insert(log->calls, &call->number, call);
    return call;
}

void
PhLogTask_Answer(PhLogTask *log, const PhLogCall *call,
                 const PhLogMessage *answer)
{
    uint64_t number = call->number;
    PhTask_Send(log->self, call->sender, PhLogMessage_Wrap(answer));
    g_hash_table_remove(log->calls, &number);
}

static void
start_append(PhLogTask *log, PhTaskRef sender, const PhLogAppend *append)
{
    switch (log->adapter.kind) {
    case PH_LOG_ADAPTER_HTTP:
        PhLogHttp_Append(log, sender, append);
        break;
    case PH_LOG_ADAPTER_MEMORY:
        PhLogMemory_Append(log, sender, append);
        break;
    }
}

static void
start_read(PhLogTask *log, PhTaskRef sender, const PhLogRead *read)
{
    switch (log->adapter.kind) {
    case PH_LOG_ADAPTER_HTTP:
        PhLogHttp_Read(log, sender, read);
        break;
    case PH_LOG_ADAPTER_MEMORY:
        PhLogMemory_Read(log, sender, read);
        break;
    }
}

static void
on_message(PhLogTask *log, const PhMail *mail)
{
    if (mail->as.message.interface == PH_INTERFACE_HTTP) {
        PhLogHttp_OnMessage(log, &mail->as.message);
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

static void
log_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhLogTask *log = state;
    log->self = self;
    switch (mail->kind) {
    case PH_MAIL_MESSAGE:
        on_message(log, mail);
        break;
    case PH_MAIL_TIMER:
        PhLogMemory_OnTimer(log, mail->as.timer);
        break;
    case PH_MAIL_START:
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

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

PhStatus
PhPlatformLog_Start(PhKernel *kernel, const PhLogAdapter *adapter)
{
    PhLogTask *log = g_new0(PhLogTask, 1);
    log->adapter = *adapter;
    if (adapter->kind == PH_LOG_ADAPTER_HTTP) {
        log->adapter.as.address = PhStr_Dup(adapter->as.address);
    }
    log->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, call_destroy);
    PhTaskSpec spec = {.name = PH_SERVICE_LOG,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = log,
                       .handle = log_handle,
                       .destroy = log_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
