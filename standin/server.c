#include "server.h"

enum {
    MAILBOX_CAPACITY = 16,
    CONNECTION_LIMIT = 512,
    IDLE_TIMEOUT_S = 60,
};

static void
on_client_disconnect(void *context, uint64_t id)
{
    PhServer *s = context;
    if (s->options.on_client_disconnect != NULL) {
        s->options.on_client_disconnect(s->options.context, id);
    }
}

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhServer *s = context;
    s->options.on_request(s->options.context, incoming);
}

static void
listener_open(PhServer *s, PhTask *self)
{
    s->self = self;
    PhListenerOptions options = {.address = s->listen,
                                 .body_limit_bytes =
                                     s->options.body_limit_bytes,
                                 .connection_limit = CONNECTION_LIMIT,
                                 .idle_timeout_s = IDLE_TIMEOUT_S,
                                 .context = s,
                                 .on_request = on_request,
                                 .on_client_disconnect = on_client_disconnect};
    s->start_result = PhListener_Create(self, &options, &s->listener);
}

static void
server_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhServer *s = state;
    if (s->listener != NULL && PhListener_Handle(s->listener, mail)) {
        return;
    }
    switch (mail->kind) {
    case PH_MAIL_START:
        listener_open(s, self);
        break;
    case PH_MAIL_TIMER:
        if (s->options.on_timer != NULL) {
            s->options.on_timer(s->options.context, mail->as.timer);
        }
        break;
    case PH_MAIL_MESSAGE:
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

/* The callbacks of the listener use the context, so the listener goes
 * first. */
static void
server_destroy(void *state)
{
    PhServer *s = state;
    PhListener_Destroy(s->listener);
    s->options.destroy(s->options.context);
    PhStr_Clear(&s->listen);
    g_free(s);
}

PhResult
PhServer_Start(PhKernel *kernel, const PhServerOptions *options,
               PhServer **server, uint16_t *port)
{
    PhServer *s = g_new0(PhServer, 1);
    s->options = *options;
    s->listen = PhStr_Dup(options->listen);
    PhTaskSpec spec = {.name = options->name,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = s,
                       .handle = server_handle,
                       .destroy = server_destroy};
    PhStatus status = PhKernel_Spawn(kernel, &spec, NULL);
    if (status != PH_STATUS_OK) {
        return PhResult_Make(status, "cannot start the stand-in %.*s",
                             PhStr_ARG(options->name));
    }
    *server = s;
    PhKernel_Drain(kernel, SIZE_MAX);
    if (PhResult_IsOk(&s->start_result)) {
        *port = PhListener_Port(s->listener);
    }
    return s->start_result;
}
