/* Connections of the task "http" without libcurl: one request at a time. */
#include "http_connection.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peridothill/services/address.h"

enum {
    /* A connection with unacknowledged bytes is closed after this long. */
    USER_TIMEOUT_MS = 5000,
};

/* Longest time of a response that does not stall. */
static const PhTime RESPONSE_TIME_MAX = 30 * PH_NS_PER_S;

void
PhHttpConnection_Destroy(gpointer value)
{
    PhHttpConnection *c = value;
    PhTask_Watch(c->http->self, c->fd, 0);
    close(c->fd);
    PhBuf_Clear(&c->out);
    PhBuf_Clear(&c->in);
    g_free(c);
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
                         .kept_connection = outcome == PH_HTTP_ANSWERED &&
                                            http_should_keep_alive(&c->parser),
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
    PhHttpMinimal_Reply(http, c->sender, &reply);
}

void
PhHttpConnection_Fail(PhHttpConnection *c, PhHttpFailure failure)
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
    PhHttpMinimal_ResumeTarget(http, target);
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

/* Keeps a connection for reuse unless the server asked to close it. */
static void
connection_release(PhHttpConnection *c)
{
    PhHttpMinimal_ResumeTarget(c->http, c->target);
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

bool
PhHttpConnection_Write(PhHttpConnection *c)
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

void
PhHttpConnection_Read(PhHttpConnection *c)
{
    ssize_t n = recv(c->fd, c->http->buffer, PH_HTTP_READ_BYTES, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0 || c->number == 0) {
        PhHttpConnection_Fail(c, PH_HTTP_FAILURE_RESET);
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
        PhHttpConnection_Fail(c, PH_HTTP_FAILURE_TRUNCATED);
    }
    else if (error != HPE_OK) {
        PhHttpConnection_Fail(c, error == HPE_CB_body
                                     ? PH_HTTP_FAILURE_TOO_LARGE
                                     : PH_HTTP_FAILURE_RESET);
    }
}

PhHttpConnection *
PhHttpConnection_Open(PhHttpMinimal *http, PhTarget *target)
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

void
PhHttpConnection_Begin(PhHttpConnection *c, PhReadyRequest *ready, bool reused)
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
    if (!PhHttpConnection_Write(c)) {
        PhHttpConnection_Fail(c, PH_HTTP_FAILURE_RESET);
    }
}

bool
PhHttpConnection_PutOffDeadline(PhHttpConnection *c)
{
    PhTime now = PhTask_Now(c->http->self);
    if (c->received_at == 0 || now - c->received_at >= c->stall_limit ||
        now - c->started >= RESPONSE_TIME_MAX) {
        return false;
    }
    PhTask_SetTimer(c->http->self, c->number, c->received_at + c->stall_limit);
    return true;
}

bool
PhHttpConnection_WaitOn(PhHttpConnection *c)
{
    PhHttpMinimal *http = c->http;
    if (c->late_for == 0 || c->sent < c->out.len) {
        return false;
    }
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
    PhHttpMinimal_Reply(http, c->sender, &reply);
    return true;
}
