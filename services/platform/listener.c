#include "listener_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "peridothill/services/address.h"

enum {
    SWEEP_INTERVAL_MS = 500,
    /* For the headers of a connection.  Those stated to clients have 16 KB, in
     * up to 200 lines, each with a record of libmicrohttpd. */
    HEADER_MEMORY_BYTES = 32 * 1024,
    STATUS_BAD_REQUEST = 400,
};

static uint64_t
run_token(const PhListener *l)
{
    return (uint64_t)(uintptr_t)l;
}

static uint64_t
sweep_token(const PhListener *l)
{
    return (uint64_t)(uintptr_t)l + 1;
}

/* Disables unescaping, so that the path that is routed equals the path that is
 * forwarded. */
static size_t
unescape_nothing(void *context, struct MHD_Connection *connection, char *text)
{
    (void)context;
    (void)connection;
    return strlen(text);
}

static bool
limit_is_reached(const PhListener *l)
{
    return g_hash_table_size(l->connections) >= l->options.connection_limit;
}

/* libmicrohttpd does not watch for callers while the limit is reached. */
static void
callers_watch(PhListener *l)
{
    if (limit_is_reached(l)) {
        PhTask_Watch(l->self, l->listen_fd, PH_IO_READ);
    }
}

void
PhConnection_SetIdle(PhListener *l, PhConnection *c, bool idle)
{
    if (c->idle != NULL) {
        g_queue_delete_link(&l->idle, c->idle);
        c->idle = NULL;
    }
    if (idle) {
        g_queue_push_tail(&l->idle, c);
        c->idle = l->idle.tail;
        callers_watch(l);
    }
}

/* No request has begun on it before. */
static void
connection_set_silent(PhListener *l, PhConnection *c, bool silent)
{
    if (silent) {
        g_queue_push_tail(&l->silent, c);
        c->silent = l->silent.tail;
    }
    else if (c->silent != NULL) {
        g_queue_delete_link(&l->silent, c->silent);
        c->silent = NULL;
    }
}

void
PhConnection_SetBegun(PhConnection *c)
{
    c->begun = true;
    c->in_headers = true;
    c->begun_at = PhTask_Now(c->listener->self);
    connection_set_silent(c->listener, c, false);
}

static void
connection_add(PhListener *l, int fd)
{
    PhConnection *c = g_new0(PhConnection, 1);
    c->listener = l;
    c->fd = fd;
    c->last_progress_at = PhTask_Now(l->self);
    c->receiver.fd = fd;
    c->receiver.progress_at = c->last_progress_at;
    if (l->options.receive.budget != NULL) {
        PhReceiveBudget_Add(l->options.receive.budget, &c->receiver);
    }
    connection_set_silent(l, c, true);
    g_hash_table_insert(l->connections, GINT_TO_POINTER(fd), c);
}

static void
connection_remove(PhListener *l, gpointer key)
{
    PhConnection *c = g_hash_table_lookup(l->connections, key);
    PhConnection_SetIdle(l, c, false);
    connection_set_silent(l, c, false);
    if (l->options.receive.budget != NULL) {
        PhReceiveBudget_Remove(l->options.receive.budget, &c->receiver);
    }
    if (limit_is_reached(l)) {
        PhTask_Watch(l->self, l->listen_fd, 0);
        l->makes_room = false;
        l->accepts_again = true;
    }
    g_hash_table_remove(l->connections, key);
}

/* A sweep that is due is not put off: short connections would do so without
 * end. */
static void
sweep_schedule(PhListener *l)
{
    if (!l->sweep_is_due) {
        l->sweep_is_due = true;
        PhTask_SetTimer(l->self, sweep_token(l),
                        PhTask_Now(l->self) +
                            SWEEP_INTERVAL_MS * PH_NS_PER_MS);
    }
}

static void
on_connection(void *context, struct MHD_Connection *connection, void **slot,
              enum MHD_ConnectionNotificationCode code)
{
    PhListener *l = context;
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    gpointer key = GINT_TO_POINTER(info->connect_fd);
    (void)slot;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        connection_remove(l, key);
        return;
    }
    connection_add(l, info->connect_fd);
    callers_watch(l);
    sweep_schedule(l);
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
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, l,
        MHD_OPTION_URI_LOG_CALLBACK, PhListener_OnRequestLine, l,
        MHD_OPTION_UNESCAPE_CALLBACK, unescape_nothing, NULL, MHD_OPTION_END);
}

/* libmicrohttpd accepts again only in the run after a connection closed. */
static void
timer_set(PhListener *l)
{
    MHD_UNSIGNED_LONG_LONG wait_ms;
    uint64_t token = run_token(l);
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
        PhTask_CancelTimer(l->self, run_token(l));
        PhTask_CancelTimer(l->self, sweep_token(l));
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
        PhTask_SetTimer(l->self, run_token(l), PhTask_Now(l->self));
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
    char byte;
    ssize_t n = recv(x->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
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

static bool
has_unread_bytes(int fd)
{
    char byte;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Reports whether a connection has no part of a request. While quiescing, one
 * that was used a moment ago is left to the next sweep, since its caller may
 * be sending. */
static bool
is_to_be_closed(const PhListener *l, const PhConnection *caller, PhTime now)
{
    PhTime silent = now - caller->last_progress_at;
    if (silent >= l->options.idle_timeout_s * PH_NS_PER_S) {
        return !caller->busy;
    }
    return l->quiescing && silent >= SWEEP_INTERVAL_MS * PH_NS_PER_MS &&
           !caller->begun && !has_unread_bytes(caller->fd);
}

/* The last time at which the caller or its answer got on. */
static PhTime
progress_time(const PhConnection *caller)
{
    return MAX(caller->last_progress_at,
               MAX(caller->begun_at, caller->receiver.progress_at));
}

/* Reports whether the caller has closed its side before the end of its
 * request.  libmicrohttpd misses that if the end of the stream arrives
 * together with the last bytes: its epoll is edge-triggered, and it takes a
 * short read for the last one. */
static bool
has_left(const PhConnection *caller, PhTime now)
{
    char byte;
    return !caller->busy && !caller->closing &&
           (caller->begun || caller->silent != NULL) &&
           now - progress_time(caller) >= SWEEP_INTERVAL_MS * PH_NS_PER_MS &&
           recv(caller->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static bool
headers_are_late(const PhListener *l, const PhConnection *caller, PhTime now)
{
    PhTime limit = l->options.receive.header_time;
    return limit > 0 && caller->in_headers && !caller->closing &&
           now - caller->begun_at >= limit;
}

/* Closes connections whose next request does not arrive completely in time,
 * even if it trickles in; while quiescing, all connections without a request.
 * libmicrohttpd then reads the end of the stream and cleans up. Both
 * directions are shut down, so that no request is read which cannot be
 * answered. */
static void
connections_sweep(PhListener *l)
{
    GHashTableIter iter;
    gpointer value;
    PhTime now = PhTask_Now(l->self);
    g_hash_table_iter_init(&iter, l->connections);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhConnection *caller = value;
        if (is_to_be_closed(l, caller, now) || has_left(caller, now)) {
            caller->closing = true;
            shutdown(caller->fd, SHUT_RDWR);
        }
        else if (headers_are_late(l, caller, now)) {
            PhConnection_CloseSlow(caller);
        }
    }
    callers_watch(l);
    if (PhListener_ReturnMemory(l) || g_hash_table_size(l->connections) > 0) {
        sweep_schedule(l);
    }
}

/* Returns the oldest connection that has sent no request for too long, NULL if
 * there is none. */
static PhConnection *
silent_find(const PhListener *l)
{
    const PhReceiveLimits *limits = &l->options.receive;
    PhTime limit =
        limits->silent_time > 0 ? limits->silent_time : limits->header_time;
    PhTime now = PhTask_Now(l->self);
    for (GList *at = l->silent.head; limit > 0 && at != NULL; at = at->next) {
        PhConnection *caller = at->data;
        if (now - caller->last_progress_at < limit) {
            return NULL;
        }
        if (!caller->closing && !has_unread_bytes(caller->fd)) {
            return caller;
        }
    }
    return NULL;
}

/* Reports whether a request that is being received, or an answer that is being
 * sent, got on so long ago that its connection is closed for another caller.
 * A request that waits for its answer may have run. */
static bool
is_stalled(const PhConnection *caller, PhTime before)
{
    return caller->begun && !caller->in_headers &&
           !PhConnection_IsClosing(caller) &&
           caller->receiver.stage != PH_RECEIVER_WAITING &&
           progress_time(caller) <= before &&
           (caller->receiver.stage == PH_RECEIVER_ANSWERING ||
            !has_unread_bytes(caller->fd));
}

/* Returns the stalled connection with the oldest progress, NULL if there is
 * none. */
static PhConnection *
stalled_find(const PhListener *l)
{
    GHashTableIter iter;
    gpointer value;
    PhConnection *oldest = NULL;
    PhTime limit = l->options.receive.header_time;
    PhTime before = PhTask_Now(l->self) - limit;
    g_hash_table_iter_init(&iter, l->connections);
    while (limit > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
        PhConnection *caller = value;
        if (is_stalled(caller, before)) {
            oldest = caller;
            before = progress_time(caller) - 1;
        }
    }
    return oldest;
}

/* Closes a connection that has sent nothing for long, or one whose request or
 * answer does not get on, or else the one that has been idle for the longest
 * time, so that the caller that waits is accepted.
 * Without one it waits for the next answer or sweep. */
static void
callers_ready(PhListener *l)
{
    PhTask_Watch(l->self, l->listen_fd, 0);
    if (l->makes_room || !limit_is_reached(l)) {
        return;
    }
    PhConnection *slow = silent_find(l);
    if (slow == NULL) {
        slow = stalled_find(l);
    }
    if (slow != NULL) {
        l->makes_room = true;
        PhConnection_CloseSlow(slow);
        return;
    }
    for (GList *at = l->idle.head; at != NULL; at = at->next) {
        PhConnection *caller = at->data;
        if (!has_unread_bytes(caller->fd)) {
            l->makes_room = true;
            caller->closing = true;
            shutdown(caller->fd, SHUT_RDWR);
            return;
        }
    }
}

bool
PhListener_Handle(PhListener *l, const PhMail *mail)
{
    if (mail->kind == PH_MAIL_TIMER && mail->as.timer == run_token(l)) {
        MHD_run(l->daemon);
        timer_set(l);
        return true;
    }
    if (mail->kind == PH_MAIL_TIMER && mail->as.timer == sweep_token(l)) {
        l->sweep_is_due = false;
        connections_sweep(l);
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
        callers_ready(l);
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
    connections_sweep(l);
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
