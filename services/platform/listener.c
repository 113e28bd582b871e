#include "listener_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "peridothill/services/address.h"

enum {
    /* For the headers of a connection.  Those stated to clients have 16 KB, in
     * up to 200 lines, each with a record of libmicrohttpd. */
    HEADER_MEMORY_BYTES = 32 * 1024,
    STATUS_BAD_REQUEST = 400,
};

/* Disables unescaping, so that the path that is routed equals the path that is
 * forwarded. */
static size_t
unescape_nothing(void *context, struct MHD_Connection *connection, char *text)
{
    (void)context;
    (void)connection;
    return strlen(text);
}

static struct MHD_Daemon *
daemon_start(PhListener *l, struct sockaddr_in *address)
{
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    return MHD_start_daemon(
        flags, 0, NULL, NULL, PhListener_OnAccess, l, MHD_OPTION_SOCK_ADDR,
        address, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HEADER_MEMORY_BYTES,
        MHD_OPTION_CONNECTION_LIMIT, l->options.connection_limit,
        MHD_OPTION_CONNECTION_TIMEOUT, l->options.idle_timeout_s,
        MHD_OPTION_NOTIFY_COMPLETED, PhListener_OnCompleted, l,
        MHD_OPTION_NOTIFY_CONNECTION, PhListener_OnConnection, l,
        MHD_OPTION_URI_LOG_CALLBACK, PhListener_OnRequestLine, l,
        MHD_OPTION_UNESCAPE_CALLBACK, unescape_nothing, NULL, MHD_OPTION_END);
}

/* libmicrohttpd accepts again only in the run after a connection closed. */
static void
timer_set(PhListener *l)
{
    MHD_UNSIGNED_LONG_LONG wait_ms;
    uint64_t token = timer_token(l, LISTENER_TIMER_RUN);
    if (l->accepts_again) {
        l->accepts_again = false;
        PhTask_SetTimer(l->self, token, PhTask_Now(l->self));
    }
    else if (MHD_get_timeout(l->daemon, &wait_ms) == MHD_YES) {
        PhTask_SetTimer(l->self, token,
                        PhTask_Now(l->self) + (PhTime)wait_ms * PH_NS_PER_MS);
    }
    else {
        PhTask_CancelTimer(l->self, token);
    }
}

PhResult
PhListener_Create(PhTask *self, const PhListenerOptions *options,
                  PhListener **listener)
{
    struct sockaddr_in address;
    if (!PhAddress_Parse(options->address, &address)) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "invalid listen address '%.*s', expected IP:port",
                             PhStr_ARG(options->address));
    }
    PhListener *l = g_new0(PhListener, 1);
    l->self = self;
    l->options = *options;
    l->exchanges = g_hash_table_new(g_int64_hash, g_int64_equal);
    l->by_fd = g_hash_table_new(g_direct_hash, g_direct_equal);
    l->connections =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
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
    l->listen_fd =
        MHD_get_daemon_info(l->daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
    l->port = MHD_get_daemon_info(l->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    PhTask_Watch(self, l->epoll_fd, PH_IO_READ);
    *listener = l;
    return PhResult_Ok();
}

/* libmicrohttpd requires suspended connections to be resumed before the daemon
 * is stopped. */
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
        PhExchange_Unwatch(x);
        if (x->suspended) {
            x->suspended = false;
            MHD_resume_connection(x->connection);
        }
    }
    g_hash_table_remove_all(l->exchanges);
    if (l->daemon != NULL) {
        PhTask_CancelTimer(l->self, timer_token(l, LISTENER_TIMER_RUN));
        PhTask_CancelTimer(l->self, timer_token(l, LISTENER_TIMER_SWEEP));
        PhTask_Watch(l->self, l->epoll_fd, 0);
        PhTask_Watch(l->self, l->listen_fd, 0);
        MHD_stop_daemon(l->daemon);
    }
    g_hash_table_destroy(l->exchanges);
    g_hash_table_destroy(l->by_fd);
    g_queue_clear(&l->idle);
    g_queue_clear(&l->silent);
    g_hash_table_destroy(l->connections);
    g_free(l);
}

/* libmicrohttpd handles a resumed connection in its next run, which has to be
 * scheduled explicitly. */
static void
exchange_resume(PhExchange *x)
{
    PhListener *l = x->listener;
    if (x->suspended) {
        x->suspended = false;
        MHD_resume_connection(x->connection);
        PhTask_SetTimer(l->self, timer_token(l, LISTENER_TIMER_RUN),
                        PhTask_Now(l->self));
    }
}

uint16_t
PhListener_Port(const PhListener *listener)
{
    return listener->port;
}

/* Detects that the caller of a waiting request has closed its connection.
 * Pipelined data only ends the watch. */
static void
caller_ready(PhListener *l, PhExchange *x)
{
    ssize_t n = PhConnection_Peek(x->caller);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    PhExchange_Unwatch(x);
    if (n > 0) {
        return;
    }
    uint64_t id = x->id;
    g_hash_table_remove(l->exchanges, &x->id);
    l->options.on_client_disconnect(l->options.context, id);
    x->response =
        MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
    x->status = STATUS_BAD_REQUEST;
    exchange_resume(x);
}

bool
PhListener_Handle(PhListener *l, const PhMail *mail)
{
    if (mail->kind == PH_MAIL_TIMER &&
        mail->as.timer == timer_token(l, LISTENER_TIMER_RUN)) {
        MHD_run(l->daemon);
        timer_set(l);
        return true;
    }
    if (mail->kind == PH_MAIL_TIMER &&
        mail->as.timer == timer_token(l, LISTENER_TIMER_SWEEP)) {
        PhListener_OnSweepTimer(l);
        return true;
    }
    if (mail->kind != PH_MAIL_IO) {
        return false;
    }
    if (mail->as.io.fd == l->epoll_fd) {
        MHD_run(l->daemon);
        timer_set(l);
        return true;
    }
    if (mail->as.io.fd == l->listen_fd) {
        PhListener_MakeRoom(l);
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

static void
response_add_headers(struct MHD_Response *r, const PhHttpHeader *headers,
                     size_t count)
{
    for (size_t i = 0; i < count; i++) {
        char *name = PhStr_ToC(headers[i].name);
        char *value = PhStr_ToC(headers[i].value);
        MHD_add_response_header(r, name, value);
        g_free(name);
        g_free(value);
    }
}

void
PhListener_Answer(PhListener *l, uint64_t id, int status,
                  const PhHttpHeader *headers, size_t header_count, PhStr body)
{
    PhExchange *x = g_hash_table_lookup(l->exchanges, &id);
    if (x == NULL) {
        return;
    }
    g_hash_table_remove(l->exchanges, &id);
    PhExchange_Unwatch(x);
    x->response = MHD_create_response_from_buffer(body.len, (void *)body.data,
                                                  MHD_RESPMEM_MUST_COPY);
    x->status = status;
    response_add_headers(x->response, headers, header_count);
    if (l->close_after_response || l->close_for_now) {
        MHD_add_response_header(x->response, "Connection", "close");
    }
    PhConnection_Hold(x->caller, PH_RECEIVER_ANSWERING, body.len);
    if (!PhConnection_Reserve(x->caller, 0)) {
        shutdown(x->caller->fd, SHUT_RDWR);
    }
    exchange_resume(x);
}

void
PhListener_Drop(PhListener *l, uint64_t id)
{
    PhExchange *x = g_hash_table_lookup(l->exchanges, &id);
    if (x == NULL) {
        return;
    }
    g_hash_table_remove(l->exchanges, &id);
    PhExchange_Unwatch(x);
    x->dropped = true;
    exchange_resume(x);
}

void
PhListener_AnswerRest(PhListener *l, int status)
{
    GList *rest = g_hash_table_get_values(l->exchanges);
    for (const GList *at = rest; at != NULL; at = at->next) {
        PhListener_Answer(l, ((const PhExchange *)at->data)->id, status, NULL,
                          0, (PhStr){0});
    }
    g_list_free(rest);
}

void
PhListener_CloseAfterAnswers(PhListener *l)
{
    l->close_after_response = true;
}

void
PhListener_SetClosing(PhListener *l, bool closing)
{
    l->close_for_now = closing;
}

void
PhListener_Quiesce(PhListener *l)
{
    PhListener_CloseAfterAnswers(l);
    l->quiescing = true;
    PhListener_Sweep(l);
}

size_t
PhListener_Connections(const PhListener *listener)
{
    return g_hash_table_size(listener->connections);
}

size_t
PhListener_InFlight(const PhListener *listener)
{
    return g_hash_table_size(listener->exchanges);
}

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
