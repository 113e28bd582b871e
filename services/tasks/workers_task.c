#include "peridothill/codec/worker_command.h"
#include "peridothill/decide/tasks/lease.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/worker.h"

enum {
    MAILBOX_CAPACITY = 4096,
    ANSWER_LIMIT_BYTES = 1024 * 1024,
    HTTP_OK = 200,
};

/* A command that waits for its answer. */
typedef struct PhWorkerCall {
    uint64_t number;
    PhTaskRef sender;
    PhStr worker;
    uint64_t token;
} PhWorkerCall;

typedef struct PhWorkersTask {
    PhTask *self;
    GHashTable *calls; /* PhWorkerCall by number */
    uint64_t next_number;
} PhWorkersTask;

static void
message_release(void *body)
{
    PhWorkerMessage *m = body;
    switch (m->tag) {
    case PH_WORKER_SEND:
        PhStr_Clear(&m->as.send.worker);
        PhStr_Clear(&m->as.send.address);
        break;
    case PH_WORKER_ANSWERED:
        PhStr_Clear(&m->as.answered.worker);
        PhWorkerAnswer_Clear(&m->as.answered.answer);
        break;
    }
    g_free(m);
}

PhMessage
PhWorkerMessage_Wrap(const PhWorkerMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_WORKER, body, sizeof(*body),
                          message_release);
}

static void
call_destroy(gpointer value)
{
    PhWorkerCall *call = value;
    PhStr_Clear(&call->worker);
    g_free(call);
}

static void
call_answer(PhWorkersTask *t, const PhWorkerCall *call, PhWorkerAnswer answer)
{
    PhWorkerMessage m = {
        .tag = PH_WORKER_ANSWERED,
        .as.answered = {.worker = PhStr_Dup(call->worker), .answer = answer}};
    m.as.answered.answer.token = call->token;
    PhTask_Send(t->self, call->sender, PhWorkerMessage_Wrap(&m));
    g_hash_table_remove(t->calls, &call->number);
}

static void
command_send(PhWorkersTask *t, PhTaskRef sender, const PhWorkerSend *send)
{
    PhWorkerCall *call = g_new(PhWorkerCall, 1);
    *call = (PhWorkerCall){.number = ++t->next_number,
                           .sender = sender,
                           .worker = PhStr_Dup(send->worker),
                           .token = send->command.token};
    g_hash_table_insert(t->calls, &call->number, call);
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = call->number,
                    .method = PhStr_Dup(PhStr_LITERAL("POST")),
                    .address = PhStr_Dup(send->address),
                    .target =
                        PhStr_Dup(PhWorkerCommand_Path(send->command.kind)),
                    .body = PhWorkerCommand_Encode(&send->command),
                    .deadline = PhTask_Now(t->self) +
                                (PH_WORKER_TIMEOUT_MS * PH_NS_PER_MS),
                    .first_byte = PH_TIME_NEVER,
                    .answer_limit_bytes = ANSWER_LIMIT_BYTES}};
    if (PhTask_SendTo(t->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m)) !=
        PH_STATUS_OK) {
        call_answer(t, call, (PhWorkerAnswer){.status = PH_STATUS_UNKNOWN});
    }
}

/* Anything but a valid answer is reported as UNKNOWN. */
static void
reply_handle(PhWorkersTask *t, const PhHttpReply *reply)
{
    const PhWorkerCall *call = g_hash_table_lookup(t->calls, &reply->id);
    if (call == NULL) {
        return;
    }
    PhWorkerAnswer answer = {.status = PH_STATUS_UNKNOWN};
    if (reply->outcome == PH_HTTP_ANSWERED && reply->status == HTTP_OK) {
        PhResult result = PhWorkerAnswer_Decode(reply->body, &answer);
        if (!PhResult_IsOk(&result)) {
            answer = (PhWorkerAnswer){.status = PH_STATUS_UNKNOWN};
        }
    }
    call_answer(t, call, answer);
}

static void
message_handle(PhWorkersTask *t, const PhMail *mail)
{
    const void *body = mail->as.message.body;
    if (mail->as.message.interface == PH_INTERFACE_WORKER) {
        const PhWorkerMessage *m = body;
        if (m->tag == PH_WORKER_SEND) {
            command_send(t, mail->from, &m->as.send);
        }
    }
    else if (mail->as.message.interface == PH_INTERFACE_HTTP) {
        const PhHttpMessage *m = body;
        if (m->tag == PH_HTTP_REPLY) {
            reply_handle(t, &m->as.reply);
        }
    }
}

static void
workers_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhWorkersTask *t = state;
    t->self = self;
    switch (mail->kind) {
    case PH_MAIL_MESSAGE:
        message_handle(t, mail);
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

static void
workers_destroy(void *state)
{
    PhWorkersTask *t = state;
    g_hash_table_destroy(t->calls);
    g_free(t);
}

PhStatus
PhWorkers_Start(PhKernel *kernel)
{
    PhWorkersTask *t = g_new0(PhWorkersTask, 1);
    t->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, call_destroy);
    PhTaskSpec spec = {.name = PH_SERVICE_WORKERS,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = t,
                       .handle = workers_handle,
                       .destroy = workers_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
