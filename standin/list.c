#include "peridothill/codec/list_json.h"
#include "peridothill/standin/standin.h"
#include "server.h"

enum {
    BODY_LIMIT_BYTES = 1024 * 1024,
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
};

/* State of the list's task. */
typedef struct PhListServer {
    PhServer *server;
    PhStandinListState *shared;
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
    PhListener_Answer(s->server->listener, incoming->id, status, NULL, 0,
                      body);
    PhStr_Clear(&body);
}

/* Starts the list's task and tells its port. */
PhResult
PhStandinList_Start(PhKernel *kernel, const PhStandinListOptions *options,
                    uint16_t *port)
{
    PhListServer *s = g_new0(PhListServer, 1);
    s->shared = options->state;
    PhServerOptions server = {.name = options->name,
                              .listen = options->listen,
                              .body_limit_bytes = BODY_LIMIT_BYTES,
                              .context = s,
                              .on_request = on_request,
                              .destroy = g_free};
    return PhServer_Start(kernel, &server, &s->server, port);
}
