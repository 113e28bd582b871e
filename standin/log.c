#include "peridothill/codec/json.h"
#include "peridothill/codec/log_json.h"
#include "peridothill/services/listener.h"
#include "peridothill/standin/standin.h"
#include "server.h"

#include <inttypes.h>

enum {
    BODY_LIMIT_BYTES = 8 * 1024 * 1024,
    READ_LIMIT = 1000,
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_GONE = 410,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
};

/* A delayed answer; status 0 closes the connection. */
typedef struct PhDelayedAnswer {
    uint64_t exchange;
    int status;
    PhStr body;
} PhDelayedAnswer;

typedef struct PhLogServer {
    PhServer *server;
    PhFakeLog *log;
    GHashTable *delayed; /* PhDelayedAnswer by exchange, the timer token */
} PhLogServer;

static void
delayed_destroy(gpointer value)
{
    PhDelayedAnswer *d = value;
    PhStr_Clear(&d->body);
    g_free(d);
}

/* Answers at `at`; takes ownership of the body. */
static void
answer_at(PhLogServer *s, uint64_t exchange, PhTime at, int status, PhStr body)
{
    PhDelayedAnswer *d = g_new(PhDelayedAnswer, 1);
    *d = (PhDelayedAnswer){
        .exchange = exchange, .status = status, .body = body};
    g_hash_table_insert(s->delayed, &d->exchange, d);
    PhTask_SetTimer(s->server->self, exchange, at);
}

/* A lost answer has status 0. */
static int
http_status(PhStatus status)
{
    switch (status) {
    case PH_STATUS_OK:
        return STATUS_OK;
    case PH_STATUS_EXPIRED:
        return STATUS_GONE;
    case PH_STATUS_FULL:
        return STATUS_TOO_MANY;
    case PH_STATUS_UNKNOWN:
        return 0;
    case PH_STATUS_INVALID:
    case PH_STATUS_NOT_FOUND:
    case PH_STATUS_EXISTS:
    case PH_STATUS_CONFLICT:
    case PH_STATUS_GONE:
    case PH_STATUS_UNAVAILABLE:
    case PH_STATUS_TIMEOUT:
    case PH_STATUS_DENIED:
    case PH_STATUS_TOO_LARGE:
    case PH_STATUS_IO:
        break;
    }
    return STATUS_UNAVAILABLE;
}

/* Appends the records of a request in order.  If a record after the first is
 * refused, the connection is closed: a refusal would say that nothing was
 * appended. */
static void
append(PhLogServer *s, const PhIncoming *incoming, PhStr stream)
{
    PhStr *records = NULL;
    size_t count = 0;
    PhTime now = PhTask_Now(s->server->self);
    PhResult r = PhLogJson_DecodeAppend(incoming->body, &records, &count);
    if (!PhResult_IsOk(&r)) {
        answer_at(s, incoming->id, now, STATUS_BAD_REQUEST, (PhStr){0});
        return;
    }
    PhFakeLogAnswer first = PhFakeLog_Append(s->log, now, stream, records[0]);
    int status = http_status(first.status);
    for (size_t i = 1; i < count && status == STATUS_OK; i++) {
        PhFakeLogAnswer a = PhFakeLog_Append(s->log, now, stream, records[i]);
        status = a.status == PH_STATUS_OK ? STATUS_OK : 0;
    }
    for (size_t i = 0; i < count; i++) {
        PhStr_Clear(&records[i]);
    }
    g_free(records);
    PhBuf body = {0};
    PhBuf_AppendFormat(&body, "{\"first\":%" PRIu64 "}", first.offset);
    answer_at(s, incoming->id, first.at, status, PhBuf_Take(&body));
}

static uint64_t
query_number(PhStr query, PhStr key, uint64_t fallback)
{
    PhStr text = {0};
    uint64_t number = fallback;
    if (PhListener_QueryValue(query, key, &text) &&
        !PhStr_ParseU64(text, &number)) {
        number = fallback;
    }
    PhStr_Clear(&text);
    return number;
}

static void
read_records(PhLogServer *s, const PhIncoming *incoming, PhStr stream)
{
    uint64_t from = query_number(incoming->query, PhStr_LITERAL("from"), 0);
    uint64_t limit =
        query_number(incoming->query, PhStr_LITERAL("limit"), READ_LIMIT);
    GArray *found = g_array_new(FALSE, FALSE, sizeof(PhFakeRecord));
    PhFakeLogAnswer a =
        PhFakeLog_Read(s->log, PhTask_Now(s->server->self), stream, from,
                       (uint32_t)MIN(limit, READ_LIMIT), found);
    PhLogRecords records = {.first = a.first,
                            .next = a.offset,
                            .end = a.end,
                            .records = g_new0(PhLogRecord, found->len),
                            .record_count = found->len};
    PhTime wall = PhTask_Wall(s->server->self) - PhTask_Now(s->server->self);
    for (guint i = 0; i < found->len; i++) {
        const PhFakeRecord *f = &g_array_index(found, PhFakeRecord, i);
        records.records[i] =
            (PhLogRecord){.offset = f->offset,
                          .appended_ms = (wall + f->appended) / PH_NS_PER_MS,
                          .body = f->data};
    }
    answer_at(s, incoming->id, a.at, http_status(a.status),
              PhLogJson_EncodeRecords(&records));
    g_free(records.records);
    g_array_free(found, TRUE);
}

/* Parses "/streams/NAME/records". */
static bool
parse_path(PhStr path, PhStr *stream)
{
    PhStr prefix = PhStr_LITERAL("/streams/");
    PhStr rest;
    if (!PhStr_StartsWith(path, prefix)) {
        return false;
    }
    PhStr_Cut(PhStr_Slice(path, prefix.len, path.len), '/', stream, &rest);
    return stream->len > 0 && PhStr_Equal(rest, PhStr_LITERAL("records"));
}

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhLogServer *s = context;
    PhStr stream;
    if (!parse_path(incoming->path, &stream)) {
        PhListener_Answer(s->server->listener, incoming->id, STATUS_NOT_FOUND,
                          NULL, 0, (PhStr){0});
        return;
    }
    if (PhStr_Equal(incoming->method, PhStr_LITERAL("POST"))) {
        append(s, incoming, stream);
    }
    else {
        read_records(s, incoming, stream);
    }
}

/* Drops the answer only; the records stay appended. */
static void
on_client_disconnect(void *context, uint64_t id)
{
    PhLogServer *s = context;
    g_hash_table_remove(s->delayed, &id);
}

static void
on_timer(void *context, uint64_t exchange)
{
    PhLogServer *s = context;
    const PhDelayedAnswer *d = g_hash_table_lookup(s->delayed, &exchange);
    if (d == NULL) {
        return;
    }
    if (d->status == 0) {
        PhListener_Drop(s->server->listener, exchange);
    }
    else {
        PhListener_Answer(s->server->listener, exchange, d->status, NULL, 0,
                          d->body);
    }
    g_hash_table_remove(s->delayed, &exchange);
}

static void
log_destroy(void *state)
{
    PhLogServer *s = state;
    g_hash_table_destroy(s->delayed);
    g_free(s);
}

PhResult
PhStandinLog_Start(PhKernel *kernel, const PhStandinLogOptions *options,
                   uint16_t *port)
{
    PhLogServer *s = g_new0(PhLogServer, 1);
    s->log = options->log;
    s->delayed = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       delayed_destroy);
    PhServerOptions server = {.name = options->name,
                              .listen = options->listen,
                              .body_limit_bytes = BODY_LIMIT_BYTES,
                              .context = s,
                              .on_request = on_request,
                              .on_client_disconnect = on_client_disconnect,
                              .on_timer = on_timer,
                              .destroy = log_destroy};
    return PhServer_Start(kernel, &server, &s->server, port);
}
