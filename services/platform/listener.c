#include "peridothill/services/listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peridothill/common/invariant.h"

enum {
    /* A chunked body this many times over its limit ends the connection. */
    OVERSIZE_FACTOR = 4,
    STATUS_TOO_LARGE = 413,
    STATUS_BAD_REQUEST = 400,
};

/* A request from its headers to its answer. */
typedef struct PhExchange {
    PhListener *listener;
    struct MHD_Connection *connection;
    uint64_t id;
    PhBuf body;
    bool too_large;
    bool handed_over;
    bool suspended;
    bool dropped;
    int fd; /* watched for the caller's close, or -1 */
    struct MHD_Response *response;
    int status;
} PhExchange;

struct PhListener {
    PhTask *self;
    PhListenerOptions options;
    struct MHD_Daemon *daemon;
    int epoll_fd;
    int listen_fd; /* kept after the listener quiesces, or -1 */
    uint16_t port;
    uint64_t next_id;
    GHashTable *exchanges; /* PhExchange by id, until answered or gone */
    GHashTable *by_fd;     /* PhExchange by watched descriptor */
};

/* Reads "IP:port" into a socket address. */
static bool
parse_address(PhStr text, struct sockaddr_in *address)
{
    PhStr host;
    PhStr port_text;
    uint64_t port;
    char host_c[INET_ADDRSTRLEN];
    if (!PhStr_Cut(text, ':', &host, &port_text) ||
        !PhStr_ParseU64(port_text, &port) || port > UINT16_MAX ||
        host.len >= sizeof(host_c)) {
        return false;
    }
    memcpy(host_c, host.data, host.len);
    host_c[host.len] = '\0';
    *address = (struct sockaddr_in){.sin_family = AF_INET,
                                    .sin_port = htons((uint16_t)port)};
    return inet_pton(AF_INET, host_c, &address->sin_addr) == 1;
}

/* Stops watching for the caller's close. */
static void
exchange_unwatch(PhExchange *x)
{
    if (x->fd >= 0) {
        PhTask_Watch(x->listener->self, x->fd, 0);
        g_hash_table_remove(x->listener->by_fd, GINT_TO_POINTER(x->fd));
        x->fd = -1;
    }
}

/* Releases an exchange. */
static void
exchange_destroy(PhExchange *x)
{
    exchange_unwatch(x);
    if (x->response != NULL) {
        MHD_destroy_response(x->response);
    }
    PhBuf_Clear(&x->body);
    g_free(x);
}

/* Collects one header for the incoming request. */
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

/* Answers at once with a status and an empty body, then closes. */
static enum MHD_Result
refuse(struct MHD_Connection *connection, int status)
{
    struct MHD_Response *r =
        MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(r, "Connection", "close");
    enum MHD_Result result =
        MHD_queue_response(connection, (unsigned)status, r);
    MHD_destroy_response(r);
    return result;
}

/* Watches the caller's socket while its request waits for an answer:
 * libmicrohttpd does not look at suspended connections. */
static void
watch_caller(PhExchange *x)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    x->fd = info->connect_fd;
    g_hash_table_insert(x->listener->by_fd, GINT_TO_POINTER(x->fd), x);
    PhTask_Watch(x->listener->self, x->fd, PH_IO_READ);
}

/* Hands a whole request to the owner; it may answer before this returns. */
static void
hand_over(PhExchange *x, PhStr method, PhStr path, PhStr query)
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
    x->handed_over = true;
    g_hash_table_insert(l->exchanges, &x->id, x);
    l->options.on_request(l->options.context, &incoming);
    g_array_free(headers, TRUE);
}

/* Adds a piece of the body; false ends the connection. */
static bool
take_body(PhExchange *x, const char *data, size_t len)
{
    size_t limit = x->listener->options.body_limit_bytes;
    if (x->body.len + len > limit) {
        x->too_large = true;
    }
    if (x->body.len + len > limit * OVERSIZE_FACTOR) {
        return false;
    }
    PhBuf_Append(&x->body, PhStr_FromBytes(data, len));
    return true;
}

/* Starts the exchange of a new request, or refuses a declared length that is
 * over the limit. */
static enum MHD_Result
begin(PhListener *l, struct MHD_Connection *connection, void **slot)
{
    const char *length = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    uint64_t declared = 0;
    if (length != NULL && !PhStr_ParseU64(PhStr_FromC(length), &declared)) {
        return refuse(connection, STATUS_BAD_REQUEST);
    }
    if (declared > l->options.body_limit_bytes) {
        return refuse(connection, STATUS_TOO_LARGE);
    }
    PhExchange *x = g_new0(PhExchange, 1);
    x->listener = l;
    x->connection = connection;
    x->id = ++l->next_id;
    x->fd = -1;
    *slot = x;
    return MHD_YES;
}

/* Leaves targets as they were sent; what is routed is what is passed on. */
static size_t
keep_escaped(void *context, struct MHD_Connection *connection, char *text)
{
    (void)context;
    (void)connection;
    return strlen(text);
}

/* Appends one query argument in the form it was sent. */
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

/* Drives a request: headers, pieces of the body, the hand-over, the answer. */
static enum MHD_Result
on_access(void *context, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *data,
          size_t *data_len, void **slot)
{
    PhListener *l = context;
    PhExchange *x = *slot;
    (void)version;
    if (x == NULL) {
        return begin(l, connection, slot);
    }
    if (*data_len > 0) {
        bool taken = take_body(x, data, *data_len);
        *data_len = 0;
        return taken ? MHD_YES : MHD_NO;
    }
    if (x->too_large) {
        return refuse(connection, STATUS_TOO_LARGE);
    }
    if (!x->handed_over) {
        PhBuf query = {0};
        MHD_get_connection_values_n(connection, MHD_GET_ARGUMENT_KIND,
                                    collect_argument, &query);
        hand_over(x, PhStr_FromC(method), PhStr_FromC(url), PhBuf_Str(&query));
        PhBuf_Clear(&query);
    }
    if (x->dropped) {
        return MHD_NO;
    }
    if (x->response == NULL) {
        x->suspended = true;
        watch_caller(x);
        MHD_suspend_connection(connection);
        return MHD_YES;
    }
    return MHD_queue_response(connection, (unsigned)x->status, x->response);
}

/* Forgets a request that has ended; one without an answer has lost its
 * caller. */
static void
on_completed(void *context, struct MHD_Connection *connection, void **slot,
             enum MHD_RequestTerminationCode code)
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
    exchange_destroy(x);
    *slot = NULL;
    if (unanswered) {
        l->options.on_gone(l->options.context, id);
    }
}

/* Starts the daemon of the library on the address. */
static struct MHD_Daemon *
daemon_start(PhListener *l, struct sockaddr_in *address)
{
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    return MHD_start_daemon(
        flags, 0, NULL, NULL, on_access, l, MHD_OPTION_SOCK_ADDR, address,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_CONNECTION_LIMIT,
        l->options.connection_limit, MHD_OPTION_CONNECTION_TIMEOUT,
        l->options.idle_timeout_s, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
        l, MHD_OPTION_UNESCAPE_CALLBACK, keep_escaped, NULL, MHD_OPTION_END);
}

/* Sets the timer for what the library has to do later. */
static void
arm_timer(PhListener *l)
{
    MHD_UNSIGNED_LONG_LONG wait_ms;
    uint64_t token = (uint64_t)(uintptr_t)l;
    if (MHD_get_timeout(l->daemon, &wait_ms) == MHD_YES) {
        PhTask_SetTimer(l->self, token,
                        PhTask_Now(l->self) + (PhTime)wait_ms * PH_NS_PER_MS);
    }
    else {
        PhTask_CancelTimer(l->self, token);
    }
}

/* Listens on an address for the task `self`. */
PhResult
PhListener_Create(PhTask *self, const PhListenerOptions *options,
                  PhListener **listener)
{
    struct sockaddr_in address;
    if (!parse_address(options->address, &address)) {
        return PhResult_Make(PH_STATUS_INVALID, "not an IP:port address: %.*s",
                             PhStr_ARG(options->address));
    }
    PhListener *l = g_new0(PhListener, 1);
    l->self = self;
    l->options = *options;
    l->listen_fd = -1;
    l->exchanges = g_hash_table_new(g_int64_hash, g_int64_equal);
    l->by_fd = g_hash_table_new(g_direct_hash, g_direct_equal);
    l->daemon = daemon_start(l, &address);
    if (l->daemon == NULL) {
        PhResult r =
            PhResult_Make(PH_STATUS_IO, "cannot listen on %.*s: %s",
                          PhStr_ARG(options->address), strerror(errno));
        PhListener_Destroy(l);
        return r;
    }
    l->epoll_fd =
        MHD_get_daemon_info(l->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    l->port = MHD_get_daemon_info(l->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    PhTask_Watch(self, l->epoll_fd, PH_IO_READ);
    *listener = l;
    return PhResult_Ok();
}

/* Closes every connection and releases the listener; NULL is allowed. */
void
PhListener_Destroy(PhListener *l)
{
    GHashTableIter iter;
    gpointer value;
    if (l == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, l->exchanges);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhExchange *x = value;
        exchange_unwatch(x);
        if (x->suspended) {
            x->suspended = false;
            MHD_resume_connection(x->connection);
        }
    }
    g_hash_table_remove_all(l->exchanges);
    if (l->daemon != NULL) {
        PhTask_CancelTimer(l->self, (uint64_t)(uintptr_t)l);
        PhTask_Watch(l->self, l->epoll_fd, 0);
        MHD_stop_daemon(l->daemon);
    }
    if (l->listen_fd >= 0) {
        close(l->listen_fd);
    }
    g_hash_table_destroy(l->exchanges);
    g_hash_table_destroy(l->by_fd);
    g_free(l);
}

/* Gives the port that is listened on. */
uint16_t
PhListener_Port(const PhListener *listener)
{
    return listener->port;
}

/* Lets the library go on with a suspended request at the next turn: on an
 * external loop it does not wake up by itself. */
static void
exchange_resume(PhExchange *x)
{
    if (!x->suspended) {
        return;
    }
    x->suspended = false;
    MHD_resume_connection(x->connection);
    PhTask_SetTimer(x->listener->self, (uint64_t)(uintptr_t)x->listener,
                    PhTask_Now(x->listener->self));
}

/* Looks whether the caller of a waiting request has closed. */
static void
caller_ready(PhListener *l, PhExchange *x)
{
    char byte;
    ssize_t n = recv(x->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    exchange_unwatch(x);
    if (n > 0) {
        return;
    }
    uint64_t id = x->id;
    g_hash_table_remove(l->exchanges, &x->id);
    l->options.on_gone(l->options.context, id);
    x->response =
        MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
    x->status = STATUS_BAD_REQUEST;
    exchange_resume(x);
}

/* Handles readiness and timers that belong to the listener. */
bool
PhListener_Handle(PhListener *l, const PhMail *mail)
{
    if (mail->kind == PH_MAIL_TIMER &&
        mail->as.timer == (uint64_t)(uintptr_t)l) {
        MHD_run(l->daemon);
        arm_timer(l);
        return true;
    }
    if (mail->kind != PH_MAIL_IO) {
        return false;
    }
    if (mail->as.io.fd == l->epoll_fd) {
        MHD_run(l->daemon);
        arm_timer(l);
        return true;
    }
    PhExchange *x =
        g_hash_table_lookup(l->by_fd, GINT_TO_POINTER(mail->as.io.fd));
    if (x == NULL) {
        return false;
    }
    caller_ready(l, x);
    return true;
}

/* Adds the headers of an answer. */
static void
add_headers(struct MHD_Response *r, const PhHttpHeader *headers, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        char *name = PhStr_ToC(headers[i].name);
        char *value = PhStr_ToC(headers[i].value);
        MHD_add_response_header(r, name, value);
        g_free(name);
        g_free(value);
    }
}

/* Answers a request that waits. */
void
PhListener_Answer(PhListener *l, uint64_t id, int status,
                  const PhHttpHeader *headers, size_t header_count, PhStr body)
{
    PhExchange *x = g_hash_table_lookup(l->exchanges, &id);
    if (x == NULL) {
        return;
    }
    g_hash_table_remove(l->exchanges, &id);
    exchange_unwatch(x);
    x->response = MHD_create_response_from_buffer(body.len, (void *)body.data,
                                                  MHD_RESPMEM_MUST_COPY);
    x->status = status;
    add_headers(x->response, headers, header_count);
    exchange_resume(x);
}

/* Closes the connection of a request that waits. */
void
PhListener_Drop(PhListener *l, uint64_t id)
{
    PhExchange *x = g_hash_table_lookup(l->exchanges, &id);
    if (x == NULL) {
        return;
    }
    g_hash_table_remove(l->exchanges, &id);
    exchange_unwatch(x);
    x->dropped = true;
    exchange_resume(x);
}

/* Stops listening; the connections that are open go on. */
void
PhListener_Quiesce(PhListener *l)
{
    if (l->listen_fd < 0) {
        l->listen_fd = MHD_quiesce_daemon(l->daemon);
    }
}

/* Counts the requests that wait for an answer. */
size_t
PhListener_InFlight(const PhListener *listener)
{
    return g_hash_table_size(listener->exchanges);
}

/* Finds a key in a query string and decodes its value. */
bool
PhListener_QueryValue(PhStr query, PhStr key, PhStr *value)
{
    while (query.len > 0) {
        PhStr pair;
        PhStr name;
        PhStr encoded;
        PhStr_Cut(query, '&', &pair, &query);
        PhStr_Cut(pair, '=', &name, &encoded);
        if (PhStr_Equal(name, key)) {
            GBytes *bytes =
                g_uri_unescape_bytes(encoded.data == NULL ? "" : encoded.data,
                                     (gssize)encoded.len, NULL, NULL);
            if (bytes == NULL) {
                return false;
            }
            gsize len;
            const void *data = g_bytes_get_data(bytes, &len);
            *value = PhStr_Dup(PhStr_FromBytes(data, len));
            g_bytes_unref(bytes);
            return true;
        }
    }
    return false;
}
