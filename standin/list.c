#include <inttypes.h>

#include "peridothill/codec/list_json.h"
#include "peridothill/standin/standin.h"
#include "server.h"

enum {
    VERSION_BYTES = 24,
    BODY_LIMIT_BYTES = 1024 * 1024,
    STATUS_OK = 200,
    STATUS_NOT_MODIFIED = 304,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
};

typedef struct PhListServer {
    PhServer *server;
    PhStandinListState *shared;
} PhListServer;

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

/* The hash of the body is the ETag; a matching If-None-Match gets a 304. */
static void
get_list(PhListServer *s, const PhIncoming *incoming)
{
    char version[VERSION_BYTES];
    PhStr body = PhListJson_Encode(&s->shared->reading);
    g_snprintf(version, sizeof(version), "\"%016" PRIx64 "\"",
               PhStr_Hash(body, 0));
    PhHttpHeader tag = {.name = PhStr_LITERAL("ETag"),
                        .value = PhStr_FromC(version)};
    PhStr known = PhHttpHeader_Find(incoming->headers, incoming->header_count,
                                    PhStr_LITERAL("If-None-Match"));
    if (PhStr_Equal(known, tag.value)) {
        PhListener_Answer(s->server->listener, incoming->id,
                          STATUS_NOT_MODIFIED, &tag, 1, (PhStr){0});
    }
    else {
        PhListener_Answer(s->server->listener, incoming->id, STATUS_OK, &tag,
                          1, body);
    }
    PhStr_Clear(&body);
}

/* An outage affects reads only. */
static void
on_request(void *context, const PhIncoming *incoming)
{
    PhListServer *s = context;
    int status = STATUS_OK;
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
        get_list(s, incoming);
        return;
    }
    PhListener_Answer(s->server->listener, incoming->id, status, NULL, 0,
                      (PhStr){0});
}

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
