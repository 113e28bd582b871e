/* The task "http" without libcurl, for instances that send commands to
 * workers. A connection carries one request at a time, stays open and is
 * watched while idle; http-parser reads the responses. See
 * docs/measures/schedule.md for a comparison with libcurl. */
#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peridothill/services/address.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"

enum {
    MAILBOX_CAPACITY = 16384,
    READ_BYTES = 65536,
    /* A connection with unacknowledged bytes is closed after this long. */
    USER_TIMEOUT_MS = 5000,
    /* Idle connections are closed after this long. */
    MAX_IDLE_S = 10,
    SWEEP_INTERVAL_S = 5,
    SWEEP_TOKEN = 0, /* request numbers start at 1 */
};

/* Longest time of a response that does not stall. */
static const PhTime RESPONSE_TIME_MAX = 30 * PH_NS_PER_S;

/* The connections to one address. */
typedef struct PhTarget {
    PhStr address;
    GQueue idle;     /* idle PhHttpConnection */
    GQueue waiting;  /* PhWaitingRequest, until a connection is free */
    uint32_t active; /* connections in use */
} PhTarget;

/* A request that is ready to be sent. */
typedef struct PhReadyRequest {
    uint64_t number;
    uint64_t id;
    PhTaskRef sender;
    PhTime started;
    PhTime deadline;
    PhTime stall_limit;
    PhTime late_for;
    size_t answer_limit;
    PhBuf out;
} PhReadyRequest;

/* A request that waits since its target has as many connections as it may. */
typedef struct PhWaitingRequest {
    PhReadyRequest ready;
    PhTarget *target;
    uint32_t connections; /* limit */
} PhWaitingRequest;

typedef struct PhHttpMinimal {
    PhTask *self;
    uint64_t next_number;
    GHashTable *active;  /* PhHttpConnection in use, by number */
    GHashTable *waiting; /* PhWaitingRequest by number */
    GHashTable *by_fd;   /* owns every PhHttpConnection */
    GHashTable *targets; /* PhTarget by address */
    GQueue resumed;      /* PhTarget with a free connection */
    char *buffer;        /* receive buffer */
} PhHttpMinimal;

/* A connection and the request it carries. `number` is 0 while it is idle. */
typedef struct PhHttpConnection {
    PhHttpMinimal *http;
    PhTarget *target;
    int fd;
    uint64_t number;
    uint64_t id;
    PhTaskRef sender;
    PhTime started;
    PhTime idle_since;
    PhTime connected_at; /* 0 before it is established */
    PhTime stall_limit;  /* of the request */
    PhTime received_at;  /* newest part of the response, 0 before the first */
    PhTime late_for;     /* of the request; 0 once its deadline has passed */
    bool late;           /* the deadline has passed */
    PhBuf out;
    size_t sent;
    PhBuf in;
    size_t answer_limit;
    int watched; /* PH_IO_* events */
    bool reused;
    bool complete;
    http_parser parser;
} PhHttpConnection;

/* The target's connections must have been closed. */
static void
target_destroy(gpointer value)
{
    PhTarget *target = value;
    PhStr_Clear(&target->address);
    g_queue_clear(&target->idle);
    g_queue_clear(&target->waiting);
    g_free(target);
}

static void
waiting_destroy(gpointer value)
{
    PhWaitingRequest *w = value;
    PhBuf_Clear(&w->ready.out);
    g_free(w);
}

static PhTarget *
target_find(PhHttpMinimal *http, PhStr address)
{
    PhTarget *target = g_hash_table_lookup(http->targets, &address);
    if (target == NULL) {
        target = g_new0(PhTarget, 1);
        target->address = PhStr_Dup(address);
        g_hash_table_insert(http->targets, &target->address, target);
    }
    return target;
}

static void
connection_destroy(gpointer value)
{
    PhHttpConnection *c = value;
    PhTask_Watch(c->http->self, c->fd, 0);
    close(c->fd);
    PhBuf_Clear(&c->out);
    PhBuf_Clear(&c->in);
    g_free(c);
}

static void
reply_send(PhHttpMinimal *http, PhTaskRef sender, PhHttpReply *reply)
{
    PhHttpMessage m = {.tag = PH_HTTP_REPLY, .as.reply = *reply};
    PhTask_Send(http->self, sender, PhHttpMessage_Wrap(&m));
}

static void
connection_finish(PhHttpConnection *c, PhHttpOutcome outcome,
                  PhHttpFailure failure)
{
    PhHttpMinimal *http = c->http;
    PhTime after = PhTask_Now(http->self) - c->started;
    PhHttpReply reply = {.id = c->id,
                         .outcome = outcome,
                         .failure = failure,
                         .late = c->late,
                         .reused_connection = c->reused,
                         .connected_at = c->connected_at,
                         .status = (int)c->parser.status_code,
                         .first_byte_after = after,
                         .completed_after = after};
    if (outcome == PH_HTTP_ANSWERED) {
        reply.body = PhBuf_Take(&c->in);
    }
    PhTask_CancelTimer(http->self, c->number);
    g_hash_table_remove(http->active, &c->number);
    c->target->active--;
    c->number = 0;
    reply_send(http, c->sender, &reply);
}

/* Has the waiting requests of a target sent after the current mail, since
 * their connections may fail at once. */
static void
target_schedule(PhHttpMinimal *http, PhTarget *target)
{
    if (target->waiting.length > 0 &&
        g_queue_find(&http->resumed, target) == NULL) {
        g_queue_push_tail(&http->resumed, target);
    }
}

/* Replies that the outcome is unknown so far, and goes on waiting. */
static void
connection_wait_on(PhHttpConnection *c)
{
    PhHttpMinimal *http = c->http;
    PhTime now = PhTask_Now(http->self);
    PhHttpReply reply = {.id = c->id,
                         .outcome = PH_HTTP_UNKNOWN,
                         .failure = PH_HTTP_FAILURE_DEADLINE,
                         .more = true,
                         .reused_connection = c->reused,
                         .connected_at = c->connected_at,
                         .completed_after = now - c->started};
    PhTask_SetTimer(http->self, c->number, now + c->late_for);
    c->late_for = 0;
    c->late = true;
    reply_send(http, c->sender, &reply);
}

/* Closes a connection and fails the request on it, if any. */
static void
connection_fail(PhHttpConnection *c, PhHttpFailure failure)
{
    PhHttpMinimal *http = c->http;
    PhTarget *target = c->target;
    if (c->number != 0) {
        connection_finish(c, c->sent > 0 ? PH_HTTP_UNKNOWN : PH_HTTP_NOT_SENT,
                          failure);
    }
    else {
        g_queue_remove(&c->target->idle, c);
    }
    g_hash_table_remove(http->by_fd, GINT_TO_POINTER(c->fd));
    target_schedule(http, target);
}

/* After one connection timed out, idle ones to the same address are closed, so
 * that the next request opens a new one. */
static void
target_close_idle_connections(PhTarget *target)
{
    PhHttpConnection *c;
    while ((c = g_queue_pop_head(&target->idle)) != NULL) {
        g_hash_table_remove(c->http->by_fd, GINT_TO_POINTER(c->fd));
    }
}

/* A nonzero result aborts the parser with HPE_CB_body. */
static int
on_body(http_parser *parser, const char *data, size_t len)
{
    PhHttpConnection *c = parser->data;
    if (c->in.len + len > c->answer_limit) {
        return -1;
    }
    PhBuf_Append(&c->in, PhStr_FromBytes(data, len));
    return 0;
}

/* Pausing stops the parser at the end of the response, so that extra bytes are
 * not parsed. */
static int
on_complete(http_parser *parser)
{
    ((PhHttpConnection *)parser->data)->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/* Queues are ordered by the time of last use, so only their heads can have
 * expired. */
static void
connections_sweep(PhHttpMinimal *http)
{
    GHashTableIter iter;
    gpointer value;
    PhTime now = PhTask_Now(http->self);
    g_hash_table_iter_init(&iter, http->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhTarget *target = value;
        PhHttpConnection *oldest;
        while ((oldest = g_queue_peek_head(&target->idle)) != NULL &&
               now - oldest->idle_since >= MAX_IDLE_S * PH_NS_PER_S) {
            g_queue_pop_head(&target->idle);
            g_hash_table_remove(http->by_fd, GINT_TO_POINTER(oldest->fd));
        }
    }
    PhTask_SetTimer(http->self, SWEEP_TOKEN,
                    now + SWEEP_INTERVAL_S * PH_NS_PER_S);
}

/* Keeps a connection for reuse unless the server asked to close it. */
static void
connection_release(PhHttpConnection *c)
{
    target_schedule(c->http, c->target);
    if (!http_should_keep_alive(&c->parser)) {
        g_hash_table_remove(c->http->by_fd, GINT_TO_POINTER(c->fd));
        return;
    }
    c->idle_since = PhTask_Now(c->http->self);
    g_queue_push_tail(&c->target->idle, c);
}

static void
connection_watch(PhHttpConnection *c, int events)
{
    if (c->watched != events) {
        c->watched = events;
        PhTask_Watch(c->http->self, c->fd, events);
    }
}

/* Sends the rest of the request. Returns false if the connection failed. */
static bool
connection_write(PhHttpConnection *c)
{
    while (c->sent < c->out.len) {
        ssize_t n = send(c->fd, c->out.data + c->sent, c->out.len - c->sent,
                         MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno != EAGAIN && errno != ENOTCONN) {
            return false;
        }
        if (n < 0) {
            connection_watch(c, PH_IO_READ | PH_IO_WRITE);
            return true;
        }
        if (c->connected_at == 0) {
            c->connected_at = PhTask_Now(c->http->self);
        }
        c->sent += (size_t)n;
    }
    connection_watch(c, PH_IO_READ);
    return true;
}

/* Data or an end of stream on an idle connection closes it. */
static void
connection_read(PhHttpConnection *c)
{
    ssize_t n = recv(c->fd, c->http->buffer, READ_BYTES, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0 || c->number == 0) {
        connection_fail(c, PH_HTTP_FAILURE_RESET);
        return;
    }
    size_t len = (size_t)n;
    c->received_at = PhTask_Now(c->http->self);
    http_parser_execute(&c->parser, &parser_settings, c->http->buffer, len);
    enum http_errno error = HTTP_PARSER_ERRNO(&c->parser);
    if (c->complete) {
        connection_finish(c, PH_HTTP_ANSWERED, PH_HTTP_FAILURE_NONE);
        connection_release(c);
    }
    else if (n == 0) {
        connection_fail(c, PH_HTTP_FAILURE_TRUNCATED);
    }
    else if (error != HPE_OK) {
        connection_fail(c, error == HPE_CB_body ? PH_HTTP_FAILURE_TOO_LARGE
                                                : PH_HTTP_FAILURE_RESET);
    }
}

/* Starts a non-blocking connect. Returns NULL if it fails at once. */
static PhHttpConnection *
connection_open(PhHttpMinimal *http, PhTarget *target)
{
    struct sockaddr_in address;
    int one = 1;
    unsigned timeout_ms = USER_TIMEOUT_MS;
    if (!PhAddress_Parse(target->address, &address)) {
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return NULL;
    }
    PhHttpConnection *c = g_new0(PhHttpConnection, 1);
    c->http = http;
    c->target = target;
    c->fd = fd;
    g_hash_table_insert(http->by_fd, GINT_TO_POINTER(fd), c);
    return c;
}

/* A header "Host" of the request goes before its address. */
static void
request_format(PhBuf *out, const PhHttpRequest *r)
{
    PhStr host =
        PhHttpHeader_Find(r->headers, r->header_count, PhStr_LITERAL("Host"));
    PhBuf_Append(out, r->method);
    PhBuf_AppendByte(out, ' ');
    PhBuf_Append(out, r->target);
    PhBuf_Append(out, PhStr_LITERAL(" HTTP/1.1\r\nHost: "));
    PhBuf_Append(out, host.len > 0 ? host : r->address);
    for (size_t i = 0; i < r->header_count; i++) {
        if (PhStr_EqualNoCase(r->headers[i].name, PhStr_LITERAL("Host"))) {
            continue;
        }
        PhBuf_Append(out, PhStr_LITERAL("\r\n"));
        PhBuf_Append(out, r->headers[i].name);
        PhBuf_Append(out, PhStr_LITERAL(": "));
        PhBuf_Append(out, r->headers[i].value);
    }
    if (r->body.len > 0 || PhStr_Equal(r->method, PhStr_LITERAL("POST"))) {
        PhBuf_AppendFormat(out, "\r\nContent-Length: %zu", r->body.len);
    }
    PhBuf_Append(out, PhStr_LITERAL("\r\n\r\n"));
    PhBuf_Append(out, r->body);
}

/* Takes an idle connection that the request may reuse.  The one used last is
 * the least likely to be stale. */
static PhHttpConnection *
connection_take(PhTarget *target, const PhHttpRequest *r)
{
    if (r->fresh_connection) {
        return NULL;
    }
    for (GList *l = target->idle.tail; l != NULL; l = l->prev) {
        PhHttpConnection *c = l->data;
        if (r->connected_by == 0 || c->connected_at <= r->connected_by) {
            g_queue_delete_link(&target->idle, l);
            return c;
        }
    }
    return NULL;
}

static void
request_refuse(PhHttpMinimal *http, PhTaskRef sender, uint64_t id,
               PhHttpFailure failure)
{
    PhHttpReply reply = {
        .id = id, .outcome = PH_HTTP_NOT_SENT, .failure = failure};
    reply_send(http, sender, &reply);
}

/* Sends a request on a connection that is free, and takes over its bytes. */
static void
request_begin(PhHttpConnection *c, PhReadyRequest *ready, bool reused)
{
    PhHttpMinimal *http = c->http;
    c->number = ready->number;
    c->id = ready->id;
    c->sender = ready->sender;
    c->started = ready->started;
    c->answer_limit = ready->answer_limit;
    c->stall_limit = ready->stall_limit;
    c->received_at = 0;
    c->late_for = ready->late_for;
    c->late = false;
    c->reused = reused;
    c->complete = false;
    c->sent = 0;
    PhBuf_Reset(&c->in);
    PhBuf_Clear(&c->out);
    c->out = ready->out;
    ready->out = (PhBuf){0};
    http_parser_init(&c->parser, HTTP_RESPONSE);
    c->parser.data = c;
    c->target->active++;
    g_hash_table_insert(http->active, &c->number, c);
    PhTask_SetTimer(http->self, c->number, ready->deadline);
    if (!connection_write(c)) {
        connection_fail(c, PH_HTTP_FAILURE_RESET);
    }
}

/* Sends the waiting requests for which a connection is free. */
static void
target_resume(PhHttpMinimal *http, PhTarget *target)
{
    PhWaitingRequest *w;
    while ((w = g_queue_peek_head(&target->waiting)) != NULL &&
           target->active < w->connections) {
        PhHttpConnection *c = g_queue_pop_tail(&target->idle);
        bool reused = c != NULL;
        g_queue_pop_head(&target->waiting);
        c = reused ? c : connection_open(http, target);
        if (c == NULL) {
            PhTask_CancelTimer(http->self, w->ready.number);
            request_refuse(http, w->ready.sender, w->ready.id,
                           PH_HTTP_FAILURE_CONNECT);
        }
        else {
            request_begin(c, &w->ready, reused);
        }
        g_hash_table_remove(http->waiting, &w->ready.number);
    }
}

/* Sends the waiting requests of the targets that have a free connection. */
static void
targets_resume(PhHttpMinimal *http)
{
    PhTarget *target;
    while ((target = g_queue_pop_head(&http->resumed)) != NULL) {
        target_resume(http, target);
    }
}

static void
request_wait(PhHttpMinimal *http, PhTarget *target, PhReadyRequest *ready,
             uint32_t connections)
{
    PhWaitingRequest *w = g_new0(PhWaitingRequest, 1);
    w->ready = *ready;
    w->target = target;
    w->connections = connections;
    g_hash_table_insert(http->waiting, &w->ready.number, w);
    g_queue_push_tail(&target->waiting, w);
    PhTask_SetTimer(http->self, w->ready.number, w->ready.deadline);
}

static void
request_start(PhHttpMinimal *http, PhTaskRef sender, const PhHttpRequest *r)
{
    PhTarget *target = target_find(http, r->address);
    PhHttpConnection *c = connection_take(target, r);
    bool reused = c != NULL;
    if (!reused && r->connected_by != 0) {
        request_refuse(http, sender, r->id, PH_HTTP_FAILURE_NO_CONNECTION);
        return;
    }
    PhReadyRequest ready = {.number = ++http->next_number,
                            .id = r->id,
                            .sender = sender,
                            .started = PhTask_Now(http->self),
                            .deadline = r->deadline,
                            .stall_limit = r->stall_limit,
                            .late_for = r->late_for,
                            .answer_limit = r->answer_limit_bytes};
    request_format(&ready.out, r);
    if (!reused && r->connections > 0 && target->active >= r->connections) {
        request_wait(http, target, &ready, r->connections);
        return;
    }
    c = reused ? c : connection_open(http, target);
    if (c == NULL) {
        PhBuf_Clear(&ready.out);
        request_refuse(http, sender, r->id, PH_HTTP_FAILURE_CONNECT);
        return;
    }
    request_begin(c, &ready, reused);
}

/* Ids are chosen by the senders, so they are unique only per sender. */
static void
request_cancel(PhHttpMinimal *http, PhTaskRef sender, uint64_t id)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, http->active);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhHttpConnection *c = value;
        if (c->id == id && PhTaskRef_Equal(c->sender, sender)) {
            connection_fail(c, PH_HTTP_FAILURE_CANCELLED);
            return;
        }
    }
}

static void
on_message(PhHttpMinimal *http, const PhMail *mail)
{
    const PhHttpMessage *m = mail->as.message.body;
    if (mail->as.message.interface != PH_INTERFACE_HTTP) {
        return;
    }
    switch (m->tag) {
    case PH_HTTP_SEND:
        request_start(http, mail->from, &m->as.send);
        break;
    case PH_HTTP_CANCEL:
        request_cancel(http, mail->from, m->as.cancel);
        break;
    case PH_HTTP_REPLY:
        break;
    }
}

/* No connection was free by the deadline: nothing was sent. */
static void
waiting_expire(PhHttpMinimal *http, PhWaitingRequest *w)
{
    g_queue_remove(&w->target->waiting, w);
    request_refuse(http, w->ready.sender, w->ready.id,
                   PH_HTTP_FAILURE_DEADLINE);
    g_hash_table_remove(http->waiting, &w->ready.number);
}

/* A long response on a narrow link takes its time.  Returns false if it has
 * not begun, or has stalled. */
static bool
deadline_put_off(PhHttpConnection *c)
{
    PhTime now = PhTask_Now(c->http->self);
    if (c->received_at == 0 || now - c->received_at >= c->stall_limit ||
        now - c->started >= RESPONSE_TIME_MAX) {
        return false;
    }
    PhTask_SetTimer(c->http->self, c->number, c->received_at + c->stall_limit);
    return true;
}

/* A process that runs late finds its timers due before it has read what has
 * arrived meanwhile. */
static void
on_deadline(PhHttpMinimal *http, uint64_t number)
{
    PhWaitingRequest *w = g_hash_table_lookup(http->waiting, &number);
    if (w != NULL) {
        waiting_expire(http, w);
        return;
    }
    PhHttpConnection *c = g_hash_table_lookup(http->active, &number);
    if (c != NULL && c->sent > 0) {
        connection_read(c);
        c = g_hash_table_lookup(http->active, &number);
    }
    if (c == NULL || deadline_put_off(c)) {
        return;
    }
    target_close_idle_connections(c->target);
    if (c->late_for > 0 && c->sent == c->out.len) {
        connection_wait_on(c);
        return;
    }
    connection_fail(c, PH_HTTP_FAILURE_DEADLINE);
}

/* The token is SWEEP_TOKEN or the number of a request past its deadline. */
static void
on_timer(PhHttpMinimal *http, uint64_t token)
{
    if (token == SWEEP_TOKEN) {
        connections_sweep(http);
        return;
    }
    on_deadline(http, token);
}

static void
on_io(PhHttpMinimal *http, int fd, int events)
{
    PhHttpConnection *c =
        g_hash_table_lookup(http->by_fd, GINT_TO_POINTER(fd));
    if (c == NULL) {
        return;
    }
    if ((events & PH_IO_WRITE) && c->number != 0 && !connection_write(c)) {
        connection_fail(c, PH_HTTP_FAILURE_RESET);
        return;
    }
    if (events & PH_IO_READ) {
        connection_read(c);
    }
}

static void
http_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhHttpMinimal *http = state;
    http->self = self;
    switch (mail->kind) {
    case PH_MAIL_START:
        connections_sweep(http);
        break;
    case PH_MAIL_MESSAGE:
        on_message(http, mail);
        break;
    case PH_MAIL_TIMER:
        on_timer(http, mail->as.timer);
        break;
    case PH_MAIL_IO:
        on_io(http, mail->as.io.fd, mail->as.io.events);
        break;
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
    targets_resume(http);
}

static void
http_destroy(void *state)
{
    PhHttpMinimal *http = state;
    g_queue_clear(&http->resumed);
    g_hash_table_destroy(http->waiting);
    g_hash_table_destroy(http->active);
    g_hash_table_destroy(http->by_fd);
    g_hash_table_destroy(http->targets);
    g_free(http->buffer);
    g_free(http);
}

PhStatus
PhHttpMinimal_Start(PhKernel *kernel)
{
    PhHttpMinimal *http = g_new0(PhHttpMinimal, 1);
    http->buffer = g_malloc(READ_BYTES);
    http->active = g_hash_table_new(g_int64_hash, g_int64_equal);
    http->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                          waiting_destroy);
    http->by_fd = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                        connection_destroy);
    http->targets = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                          target_destroy);
    PhTaskSpec spec = {.name = PH_SERVICE_HTTP,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = http,
                       .handle = http_handle,
                       .destroy = http_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
