#include "listener_internal.h"

enum {
    /* A chunked body that exceeds the limit by this factor closes the
     * connection; a smaller one is read to the end and answered with 413. */
    OVERSIZE_FACTOR = 4,
    STATUS_TOO_LARGE = 413,
    STATUS_BAD_REQUEST = 400,
};

void
PhExchange_Unwatch(PhExchange *x)
{
    if (x->fd >= 0) {
        PhTask_Watch(x->listener->self, x->fd, 0);
        g_hash_table_remove(x->listener->by_fd, GINT_TO_POINTER(x->fd));
        x->fd = -1;
    }
}

static void
exchange_destroy(PhExchange *x)
{
    PhExchange_Unwatch(x);
    if (x->response != NULL) {
        MHD_destroy_response(x->response);
    }
    PhBuf_Clear(&x->body);
    g_free(x);
}

static enum MHD_Result
collect_header(void *context, enum MHD_ValueKind kind, const char *name,
               size_t name_len, const char *value, size_t value_len)
{
    GArray *headers = context;
    (void)kind;
    PhHttpHeader h = {.name = PhStr_FromBytes(name, name_len),
                      .value = PhStr_FromBytes(value, value_len)};
    g_array_append_val(headers, h);
    return MHD_YES;
}

/* Responds with an empty body and closes the connection. */
static enum MHD_Result
respond_refusal(struct MHD_Connection *connection, int status)
{
    struct MHD_Response *r =
        MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(r, "Connection", "close");
    enum MHD_Result result =
        MHD_queue_response(connection, (unsigned)status, r);
    MHD_destroy_response(r);
    return result;
}

/* libmicrohttpd does not poll suspended connections, so a disconnect has to be
 * detected here. */
static void
caller_watch(PhExchange *x)
{
    x->fd = x->caller->fd;
    g_hash_table_insert(x->listener->by_fd, GINT_TO_POINTER(x->fd), x);
    PhTask_Watch(x->listener->self, x->fd, PH_IO_READ);
}

/* The owner may answer the request before this returns. */
static void
request_deliver(PhExchange *x, PhStr method, PhStr path, PhStr query)
{
    PhListener *l = x->listener;
    GArray *headers = g_array_new(FALSE, FALSE, sizeof(PhHttpHeader));
    MHD_get_connection_values_n(x->connection, MHD_HEADER_KIND, collect_header,
                                headers);
    PhIncoming incoming = {.id = x->id,
                           .method = method,
                           .path = path,
                           .query = query,
                           .body = PhBuf_Str(&x->body),
                           .headers = (const PhHttpHeader *)headers->data,
                           .header_count = headers->len};
    x->delivered = true;
    PhConnection_Hold(x->caller, PH_RECEIVER_WAITING, x->body.capacity);
    g_hash_table_insert(l->exchanges, &x->id, x);
    l->options.on_request(l->options.context, &incoming);
    g_array_free(headers, TRUE);
    /* The owner has taken what it needs. */
    PhBuf_Clear(&x->body);
    if (x->response == NULL) {
        PhConnection_Hold(x->caller, PH_RECEIVER_WAITING, 0);
    }
}

/* Makes room for `len` bytes of the body, at most the limit of bodies in all.
 * Returns false if the budget of the process has none. */
static bool
body_reserve(PhExchange *x, size_t len)
{
    size_t need = x->body.len + len;
    if (need <= x->body.capacity) {
        return true;
    }
    size_t capacity = MAX(need, x->body.capacity * 2);
    capacity = MAX(need, MIN(capacity, x->listener->options.body_limit_bytes));
    if (!PhConnection_Reserve(x->caller, capacity - x->body.capacity)) {
        return false;
    }
    x->body.data = g_realloc(x->body.data, capacity);
    x->body.capacity = capacity;
    return true;
}

/* Appends a part of the body. A body beyond the limit is read and not kept.
 * Returns false to close the connection. */
static bool
body_append(PhExchange *x, const char *data, size_t len)
{
    size_t limit = x->listener->options.body_limit_bytes;
    x->received += len;
    if (x->received > limit * OVERSIZE_FACTOR ||
        PhConnection_IsClosing(x->caller)) {
        return false;
    }
    if (x->received > limit) {
        x->too_large = true;
        PhBuf_Clear(&x->body);
    }
    else if (body_reserve(x, len)) {
        PhBuf_Append(&x->body, PhStr_FromBytes(data, len));
    }
    else {
        return false;
    }
    PhConnection_Hold(x->caller, PH_RECEIVER_RECEIVING, x->body.capacity);
    return true;
}

static size_t
header_count(const GArray *headers, PhStr name)
{
    size_t count = 0;
    for (guint i = 0; i < headers->len; i++) {
        count += PhStr_EqualNoCase(
            g_array_index(headers, PhHttpHeader, i).name, name);
    }
    return count;
}

/* Rejects headers that leave the end of the body ambiguous, which would allow
 * request smuggling. */
static bool
framing_is_valid(const GArray *headers)
{
    const PhHttpHeader *rows = (const PhHttpHeader *)headers->data;
    PhStr coding = PhHttpHeader_Find(rows, headers->len,
                                     PhStr_LITERAL("Transfer-Encoding"));
    size_t lengths = header_count(headers, PhStr_LITERAL("Content-Length"));
    size_t codings = header_count(headers, PhStr_LITERAL("Transfer-Encoding"));
    if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1)) {
        return false;
    }
    return codings == 0 || PhStr_EqualNoCase(coding, PhStr_LITERAL("chunked"));
}

/* Checks the headers before the body is read. Returns 0 or the status of a
 * refusal. */
static int
headers_refusal(const PhListener *l, struct MHD_Connection *connection)
{
    GArray *headers = g_array_new(FALSE, FALSE, sizeof(PhHttpHeader));
    MHD_get_connection_values_n(connection, MHD_HEADER_KIND, collect_header,
                                headers);
    PhStr length =
        PhHttpHeader_Find((const PhHttpHeader *)headers->data, headers->len,
                          PhStr_LITERAL("Content-Length"));
    uint64_t declared = 0;
    int status = 0;
    if (!framing_is_valid(headers) ||
        (length.data != NULL && !PhStr_ParseU64(length, &declared))) {
        status = STATUS_BAD_REQUEST;
    }
    else if (declared > l->options.body_limit_bytes) {
        status = STATUS_TOO_LARGE;
    }
    g_array_free(headers, TRUE);
    return status;
}

static PhConnection *
caller_find(const PhListener *l, struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return g_hash_table_lookup(l->connections,
                               GINT_TO_POINTER(info->connect_fd));
}

void *
PhListener_OnRequestLine(void *context, const char *uri,
                         struct MHD_Connection *connection)
{
    (void)uri;
    PhConnection_SetBegun(caller_find(context, connection));
    return NULL;
}

/* A request on a connection that was shut down cannot be answered, and is not
 * taken. */
static enum MHD_Result
exchange_begin(PhListener *l, struct MHD_Connection *connection, void **slot)
{
    PhConnection *caller = caller_find(l, connection);
    caller->in_headers = false;
    if (PhConnection_IsClosing(caller)) {
        return MHD_NO;
    }
    int refusal = headers_refusal(l, connection);
    if (refusal != 0) {
        return respond_refusal(connection, refusal);
    }
    PhExchange *x = g_new0(PhExchange, 1);
    x->listener = l;
    x->connection = connection;
    x->id = ++l->next_id;
    x->fd = -1;
    x->caller = caller;
    caller->exchange = x;
    x->caller->last_progress_at = PhTask_Now(l->self);
    PhConnection_SetIdle(l, x->caller, false);
    *slot = x;
    return MHD_YES;
}

/* Appends a query argument unchanged, since unescaping is disabled. */
static enum MHD_Result
collect_argument(void *context, enum MHD_ValueKind kind, const char *name,
                 size_t name_len, const char *value, size_t value_len)
{
    PhBuf *query = context;
    (void)kind;
    if (query->len > 0) {
        PhBuf_AppendByte(query, '&');
    }
    PhBuf_Append(query, PhStr_FromBytes(name, name_len));
    if (value != NULL) {
        PhBuf_AppendByte(query, '=');
        PhBuf_Append(query, PhStr_FromBytes(value, value_len));
    }
    return MHD_YES;
}

/* libmicrohttpd calls this for the headers, for each part of the body, and
 * again until a response is queued. */
enum MHD_Result
PhListener_OnAccess(void *context, struct MHD_Connection *connection,
                    const char *url, const char *method, const char *version,
                    const char *data, size_t *data_len, void **slot)
{
    PhListener *l = context;
    PhExchange *x = *slot;
    (void)version;
    if (x == NULL) {
        return exchange_begin(l, connection, slot);
    }
    if (*data_len > 0) {
        bool taken = body_append(x, data, *data_len);
        *data_len = 0;
        return taken ? MHD_YES : MHD_NO;
    }
    /* The budget may have taken the body of a request that was not
     * delivered. */
    if (!x->delivered && PhConnection_IsClosing(x->caller)) {
        return MHD_NO;
    }
    if (x->too_large) {
        return respond_refusal(connection, STATUS_TOO_LARGE);
    }
    if (!x->delivered) {
        PhBuf query = {0};
        MHD_get_connection_values_n(connection, MHD_GET_ARGUMENT_KIND,
                                    collect_argument, &query);
        request_deliver(x, PhStr_FromC(method), PhStr_FromC(url),
                        PhBuf_Str(&query));
        PhBuf_Clear(&query);
    }
    if (x->dropped) {
        return MHD_NO;
    }
    if (x->response == NULL) {
        x->suspended = true;
        caller_watch(x);
        MHD_suspend_connection(connection);
        return MHD_YES;
    }
    return MHD_queue_response(connection, (unsigned)x->status, x->response);
}

/* A request that completes without an answer was abandoned by its caller. */
void
PhListener_OnCompleted(void *context, struct MHD_Connection *connection,
                       void **slot, enum MHD_RequestTerminationCode code)
{
    PhListener *l = context;
    PhExchange *x = *slot;
    (void)connection;
    (void)code;
    if (x == NULL) {
        return;
    }
    bool unanswered = g_hash_table_remove(l->exchanges, &x->id);
    uint64_t id = x->id;
    x->caller->begun = false;
    x->caller->exchange = NULL;
    PhConnection_Hold(x->caller, PH_RECEIVER_RECEIVING, 0);
    x->caller->last_progress_at = PhTask_Now(l->self);
    PhConnection_SetIdle(l, x->caller, true);
    exchange_destroy(x);
    *slot = NULL;
    if (unanswered) {
        l->options.on_client_disconnect(l->options.context, id);
    }
}
