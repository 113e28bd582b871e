/* The open connections of a listener, and which of them are closed: those
 * whose request takes too long, and at the connection limit the one that makes
 * room for a caller that waits. */
#include <sys/socket.h>

#include "listener_internal.h"

enum {
    SWEEP_INTERVAL_MS = 500,
};

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
    c->receiver.progress_at = c->last_progress_at;
    PhReceiveBudget_Add(l->options.receive.budget, &c->receiver);
    connection_set_silent(l, c, true);
    g_hash_table_insert(l->connections, GINT_TO_POINTER(fd), c);
}

static void
connection_remove(PhListener *l, gpointer key)
{
    PhConnection *c = g_hash_table_lookup(l->connections, key);
    PhConnection_SetIdle(l, c, false);
    connection_set_silent(l, c, false);
    PhReceiveBudget_Remove(l->options.receive.budget, &c->receiver);
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
        PhTask_SetTimer(l->self, timer_token(l, LISTENER_TIMER_SWEEP),
                        PhTask_Now(l->self) +
                            SWEEP_INTERVAL_MS * PH_NS_PER_MS);
    }
}

void
PhListener_OnConnection(void *context, struct MHD_Connection *connection,
                        void **slot, enum MHD_ConnectionNotificationCode code)
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

ssize_t
PhConnection_Peek(const PhConnection *c)
{
    char byte;
    return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

static bool
has_unread_bytes(const PhConnection *c)
{
    return PhConnection_Peek(c) > 0;
}

/* Reports whether its request was delivered and its answer is not sent. */
static bool
is_busy(const PhConnection *c)
{
    return c->receiver.stage != PH_RECEIVER_RECEIVING;
}

/* Reports whether a connection has no part of a request. While quiescing, one
 * that was used a moment ago is left to the next sweep, since its caller may
 * be sending. */
static bool
is_to_be_closed(const PhListener *l, const PhConnection *caller, PhTime now)
{
    PhTime silent = now - caller->last_progress_at;
    if (silent >= l->options.idle_timeout_s * PH_NS_PER_S) {
        return !is_busy(caller);
    }
    return l->quiescing && silent >= SWEEP_INTERVAL_MS * PH_NS_PER_MS &&
           !caller->begun && !has_unread_bytes(caller);
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
    return !is_busy(caller) && !caller->closing &&
           (caller->begun || caller->silent != NULL) &&
           now - progress_time(caller) >= SWEEP_INTERVAL_MS * PH_NS_PER_MS &&
           PhConnection_Peek(caller) == 0;
}

static bool
headers_are_late(const PhListener *l, const PhConnection *caller, PhTime now)
{
    PhTime limit = l->options.receive.header_time;
    return limit > 0 && caller->in_headers && !caller->closing &&
           now - caller->begun_at >= limit;
}

bool
PhConnection_IsClosing(const PhConnection *c)
{
    return c->closing || c->receiver.closing;
}

/* libmicrohttpd then reads the end of the stream and cleans up. Both
 * directions are shut down, so that no request is read which cannot be
 * answered. */
static void
connection_close(PhConnection *c)
{
    c->closing = true;
    shutdown(c->fd, SHUT_RDWR);
}

/* Closes a connection because its headers take too long, or because it makes
 * no progress while other callers wait. */
static void
connection_close_slow(PhConnection *c)
{
    PhListener *l = c->listener;
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(l->self)),
                   PH_COUNTER_RECEIVE_HEADERS_CLOSED, 1);
    l->headers_closed++;
    if (PhTask_LogIsDue(l->self, &l->headers_logged_at)) {
        PhTask_LOG(
            l->self, PH_EVENT_RECEIVE_HEADERS, PhField_U64("port", l->port),
            PhField_U64("closed", l->headers_closed),
            PhField_U64("connections", g_hash_table_size(l->connections)));
        l->headers_closed = 0;
    }
    connection_close(c);
}

void
PhListener_Sweep(PhListener *l)
{
    GHashTableIter iter;
    gpointer value;
    PhTime now = PhTask_Now(l->self);
    g_hash_table_iter_init(&iter, l->connections);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhConnection *caller = value;
        if (is_to_be_closed(l, caller, now) || has_left(caller, now)) {
            connection_close(caller);
        }
        else if (headers_are_late(l, caller, now)) {
            connection_close_slow(caller);
        }
    }
    callers_watch(l);
    if (PhListener_ReturnMemory(l) || g_hash_table_size(l->connections) > 0) {
        sweep_schedule(l);
    }
}

void
PhListener_OnSweepTimer(PhListener *l)
{
    l->sweep_is_due = false;
    PhListener_Sweep(l);
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
    if (limit == 0) {
        return NULL;
    }
    for (GList *at = l->silent.head; at != NULL; at = at->next) {
        PhConnection *caller = at->data;
        if (now - caller->last_progress_at < limit) {
            return NULL;
        }
        if (!caller->closing && !has_unread_bytes(caller)) {
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
            !has_unread_bytes(caller));
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
    if (limit == 0) {
        return NULL;
    }
    g_hash_table_iter_init(&iter, l->connections);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhConnection *caller = value;
        if (is_stalled(caller, before)) {
            oldest = caller;
            before = progress_time(caller) - 1;
        }
    }
    return oldest;
}

/* Returns the connection that has been idle for the longest time, NULL if
 * there is none. */
static PhConnection *
idle_find(const PhListener *l)
{
    for (GList *at = l->idle.head; at != NULL; at = at->next) {
        if (!has_unread_bytes(at->data)) {
            return at->data;
        }
    }
    return NULL;
}

void
PhListener_MakeRoom(PhListener *l)
{
    PhTask_Watch(l->self, l->listen_fd, 0);
    if (l->makes_room || !limit_is_reached(l)) {
        return;
    }
    PhConnection *slow = silent_find(l);
    if (slow == NULL) {
        slow = stalled_find(l);
    }
    PhConnection *idle = slow == NULL ? idle_find(l) : NULL;
    l->makes_room = slow != NULL || idle != NULL;
    if (slow != NULL) {
        connection_close_slow(slow);
    }
    else if (idle != NULL) {
        connection_close(idle);
    }
}
