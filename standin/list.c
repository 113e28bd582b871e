#include "peridothill/codec/list_json.h"
#include "peridothill/services/listener.h"
#include "peridothill/standin/standin.h"

enum {
    MAILBOX_CAPACITY = 16,
    BODY_LIMIT_BYTES = 1024 * 1024,
    CONNECTION_LIMIT = 256,
    IDLE_TIMEOUT_S = 60,
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
};

/* State of the list's task. */
typedef struct PhListServer {
    PhStandinListState *shared;
    PhStr listen;
    PhListener *listener;
    PhResult started;
} PhListServer;

/* Replaces the whole list with the one in the body. */
static int
put_list(PhListServer *s, PhStr body)
{
    PhListReading next = {0};
    PhResult r = PhListJson_Decode(body, &next);
    if (!PhResult_IsOk(&r)) {
        return STATUS_BAD_REQUEST;
    }
    PhListReading_Clear(&s->shared->reading);
    s->shared->reading = next;
    return STATUS_OK;
}

/* Answers GET /list and PUT /list. */
static void
on_request(void *context, const PhIncoming *incoming)
{
    PhListServer *s = context;
    int status = STATUS_OK;
    PhStr body = {0};
    if (!PhStr_Equal(incoming->path, PhStr_LITERAL("/list"))) {
        status = STATUS_NOT_FOUND;
    }
    else if (PhStr_Equal(incoming->method, PhStr_LITERAL("PUT"))) {
        status = put_list(s, incoming->body);
    }
    else if (s->shared->outage) {
        status = STATUS_UNAVAILABLE;
    }
    else {
        body = PhListJson_Encode(&s->shared->reading);
    }
    PhListener_Answer(s->listener, incoming->id, status, NULL, 0, body);
    PhStr_Clear(&body);
}

/* Nothing waits for an answer. */
static void
on_gone(void *context, uint64_t id)
{
    (void)context;
    (void)id;
}

/* Opens the listener. */
static void
list_start(PhListServer *s, PhTask *self)
{
    PhListenerOptions options = {.address = s->listen,
                                 .body_limit_bytes = BODY_LIMIT_BYTES,
                                 .connection_limit = CONNECTION_LIMIT,
                                 .idle_timeout_s = IDLE_TIMEOUT_S,
                                 .context = s,
                                 .on_request = on_request,
                                 .on_gone = on_gone};
    s->started = PhListener_Create(self, &options, &s->listener);
}

/* Handles a mail of the list's task. */
static void
list_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhListServer *s = state;
    if (s->listener != NULL && PhListener_Handle(s->listener, mail)) {
        return;
    }
    switch (mail->kind) {
    case PH_MAIL_START:
        list_start(s, self);
        break;
    case PH_MAIL_TIMER:
    case PH_MAIL_MESSAGE:
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
list_destroy(void *state)
{
    PhListServer *s = state;
    PhListener_Destroy(s->listener);
    PhStr_Clear(&s->listen);
    g_free(s);
}

/* Starts the list's task and tells its port. */
PhResult
PhStandinList_Start(PhKernel *kernel, const PhStandinListOptions *options,
                    uint16_t *port)
{
    PhListServer *s = g_new0(PhListServer, 1);
    s->shared = options->state;
    s->listen = PhStr_Dup(options->listen);
    PhTaskSpec spec = {.name = options->name,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = s,
                       .handle = list_handle,
                       .destroy = list_destroy};
    PhStatus status = PhKernel_Spawn(kernel, &spec, NULL);
    if (status != PH_STATUS_OK) {
        list_destroy(s);
        return PhResult_Make(status, "cannot start the stand-in %.*s",
                             PhStr_ARG(options->name));
    }
    PhKernel_Drain(kernel, SIZE_MAX);
    if (PhResult_IsOk(&s->started)) {
        *port = PhListener_Port(s->listener);
    }
    return s->started;
}
