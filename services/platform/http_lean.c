/* The task "http" without libcurl, for instances that give orders: one
 * connection carries one request at a time, stays open and stays watched, and
 * http-parser reads the answers.  Measured against libcurl in
 * docs/measures/schedule.md. */
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
    /* Unacknowledged bytes end a connection after this long. */
    USER_TIMEOUT_MS = 5000,
    /* The sweep closes connections that are idle for this long. */
    IDLE_MAX_S = 30,
    SWEEP_INTERVAL_S = 5,
    SWEEP_TOKEN = 0, /* requests count from 1 */
};

/* Connections to one address. */
typedef struct PhTarget {
    PhStr address;
    GQueue idle; /* PhCall without a request */
} PhTarget;

typedef struct PhHttpLean {
    PhTask *self;
    uint64_t next_number;
    GHashTable *calls;   /* PhCall with a request, by number */
    GHashTable *by_fd;   /* every PhCall, owned */
    GHashTable *targets; /* PhTarget by address */
    char *buffer;        /* of reads */
} PhHttpLean;

/* A connection, and the request that it carries while `number` is not 0. */
typedef struct PhCall {
    PhHttpLean *http;
    PhTarget *target;
    int fd;
    uint64_t number;
    uint64_t id;
    PhTaskRef sender;
    PhTime started;
    PhTime idle_since;
    PhBuf out;
    size_t sent;
    PhBuf in;
    size_t answer_limit;
    int watched; /* PH_IO_* events */
    bool reused;
    bool complete;
    http_parser parser;
} PhCall;

/* Releases a target; its connections are gone. */
static void
target_destroy(gpointer value)
{
    PhTarget *target = value;
    PhStr_Clear(&target->address);
    g_queue_clear(&target->idle);
    g_free(target);
}

/* Finds or adds the target of an address. */
static PhTarget *
target_find(PhHttpLean *http, PhStr address)
{
    PhTarget *target = g_hash_table_lookup(http->targets, &address);
    if (target == NULL) {
        target = g_new0(PhTarget, 1);
        target->address = PhStr_Dup(address);
        g_hash_table_insert(http->targets, &target->address, target);
    }
    return target;
}

/* Closes a connection. */
static void
call_destroy(gpointer value)
{
    PhCall *c = value;
    PhTask_Watch(c->http->self, c->fd, 0);
    close(c->fd);
    PhBuf_Clear(&c->out);
    PhBuf_Clear(&c->in);
    g_free(c);
}

/* Sends a reply for a request that ended. */
static void
reply_send(PhHttpLean *http, PhTaskRef sender, PhHttpReply *reply)
{
    PhHttpMessage m = {.tag = PH_HTTP_REPLY, .as.reply = *reply};
    PhTask_Send(http->self, sender, PhHttpMessage_Wrap(&m));
}

/* Ends the request of a connection. */
static void
call_finish(PhCall *c, PhHttpOutcome outcome, PhHttpFailure failure)
{
    PhHttpLean *http = c->http;
    PhTime after = PhTask_Now(http->self) - c->started;
    PhHttpReply reply = {.id = c->id,
                         .outcome = outcome,
                         .failure = failure,
                         .reused_connection = c->reused,
                         .status = (int)c->parser.status_code,
                         .first_byte_after = after,
                         .whole_after = after};
    if (outcome == PH_HTTP_ANSWERED) {
        reply.body = PhBuf_Take(&c->in);
    }
    PhTask_CancelTimer(http->self, c->number);
    g_hash_table_remove(http->calls, &c->number);
    c->number = 0;
    reply_send(http, c->sender, &reply);
}

/* Closes a connection; a request on it ends without an answer. */
static void
call_fail(PhCall *c, PhHttpFailure failure)
{
    PhHttpLean *http = c->http;
    if (c->number != 0) {
        call_finish(c, c->sent > 0 ? PH_HTTP_UNKNOWN : PH_HTTP_NOT_SENT,
                    failure);
    }
    else {
        g_queue_remove(&c->target->idle, c);
    }
    g_hash_table_remove(http->by_fd, GINT_TO_POINTER(c->fd));
}

/* Closes the idle connections to an address: after one has gone silent the
 * next request goes over a new one. */
static void
target_close_idle(PhTarget *target)
{
    PhCall *c;
    while ((c = g_queue_pop_head(&target->idle)) != NULL) {
        g_hash_table_remove(c->http->by_fd, GINT_TO_POINTER(c->fd));
    }
}

/* Collects the body of an answer. */
static int
on_body(http_parser *parser, const char *data, size_t len)
{
    PhCall *c = parser->data;
    if (c->in.len + len > c->answer_limit) {
        return -1;
    }
    PhBuf_Append(&c->in, PhStr_FromBytes(data, len));
    return 0;
}

/* Notes that the whole answer has arrived. */
static int
on_complete(http_parser *parser)
{
    ((PhCall *)parser->data)->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/* Closes connections that nobody has used for long. */
static void
sweep(PhHttpLean *http)
{
    GHashTableIter iter;
    gpointer value;
    PhTime now = PhTask_Now(http->self);
    g_hash_table_iter_init(&iter, http->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhTarget *target = value;
        PhCall *oldest;
        while ((oldest = g_queue_peek_head(&target->idle)) != NULL &&
               now - oldest->idle_since >= IDLE_MAX_S * PH_NS_PER_S) {
            g_queue_pop_head(&target->idle);
            g_hash_table_remove(http->by_fd, GINT_TO_POINTER(oldest->fd));
        }
    }
    PhTask_SetTimer(http->self, SWEEP_TOKEN,
                    now + SWEEP_INTERVAL_S * PH_NS_PER_S);
}

/* Keeps a connection for the next request, or closes it as the other side
 * asked. */
static void
call_rest(PhCall *c)
{
    if (!http_should_keep_alive(&c->parser)) {
        g_hash_table_remove(c->http->by_fd, GINT_TO_POINTER(c->fd));
        return;
    }
    c->idle_since = PhTask_Now(c->http->self);
    g_queue_push_tail(&c->target->idle, c);
}

/* Changes what the connection is watched for. */
static void
call_watch(PhCall *c, int events)
{
    if (c->watched != events) {
        c->watched = events;
        PhTask_Watch(c->http->self, c->fd, events);
    }
}

/* Writes what is left of the request; false when the connection is dead. */
static bool
call_write(PhCall *c)
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
            call_watch(c, PH_IO_READ | PH_IO_WRITE);
            return true;
        }
        c->sent += (size_t)n;
    }
    call_watch(c, PH_IO_READ);
    return true;
}

/* Reads what has arrived and gives it to the parser. */
static void
call_read(PhCall *c)
{
    ssize_t n = recv(c->fd, c->http->buffer, READ_BYTES, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0 || c->number == 0) {
        call_fail(c, PH_HTTP_FAILURE_RESET);
        return;
    }
    size_t len = (size_t)n;
    http_parser_execute(&c->parser, &parser_settings, c->http->buffer, len);
    enum http_errno error = HTTP_PARSER_ERRNO(&c->parser);
    if (c->complete) {
        call_finish(c, PH_HTTP_ANSWERED, PH_HTTP_FAILURE_NONE);
        call_rest(c);
    }
    else if (n == 0) {
        call_fail(c, PH_HTTP_FAILURE_TRUNCATED);
    }
    else if (error != HPE_OK) {
        call_fail(c, error == HPE_CB_body ? PH_HTTP_FAILURE_TOO_LARGE
                                          : PH_HTTP_FAILURE_RESET);
    }
}

/* Opens a connection; NULL when that fails at once. */
static PhCall *
call_open(PhHttpLean *http, PhTarget *target)
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
    PhCall *c = g_new0(PhCall, 1);
    c->http = http;
    c->target = target;
    c->fd = fd;
    g_hash_table_insert(http->by_fd, GINT_TO_POINTER(fd), c);
    return c;
}

/* Writes the request as text. */
static void
call_format(PhCall *c, const PhHttpRequest *r)
{
    PhBuf_Reset(&c->out);
    PhBuf_Append(&c->out, r->method);
    PhBuf_AppendByte(&c->out, ' ');
    PhBuf_Append(&c->out, r->target);
    PhBuf_Append(&c->out, PhStr_LITERAL(" HTTP/1.1\r\nHost: "));
    PhBuf_Append(&c->out, r->address);
    for (size_t i = 0; i < r->header_count; i++) {
        PhBuf_Append(&c->out, PhStr_LITERAL("\r\n"));
        PhBuf_Append(&c->out, r->headers[i].name);
        PhBuf_Append(&c->out, PhStr_LITERAL(": "));
        PhBuf_Append(&c->out, r->headers[i].value);
    }
    if (r->body.len > 0 || PhStr_Equal(r->method, PhStr_LITERAL("POST"))) {
        PhBuf_AppendFormat(&c->out, "\r\nContent-Length: %zu", r->body.len);
    }
    PhBuf_Append(&c->out, PhStr_LITERAL("\r\n\r\n"));
    PhBuf_Append(&c->out, r->body);
}

/* Starts a request on an idle connection or a new one. */
static void
call_start(PhHttpLean *http, PhTaskRef sender, const PhHttpRequest *r)
{
    PhTarget *target = target_find(http, r->address);
    /* The newest idle connection is the one most surely alive. */
    PhCall *c = r->fresh_connection ? NULL : g_queue_pop_tail(&target->idle);
    bool reused = c != NULL;
    if (c == NULL) {
        c = call_open(http, target);
    }
    if (c == NULL) {
        PhHttpReply reply = {.id = r->id,
                             .outcome = PH_HTTP_NOT_SENT,
                             .failure = PH_HTTP_FAILURE_CONNECT};
        reply_send(http, sender, &reply);
        return;
    }
    c->number = ++http->next_number;
    c->id = r->id;
    c->sender = sender;
    c->started = PhTask_Now(http->self);
    c->answer_limit = r->answer_limit_bytes;
    c->reused = reused;
    c->complete = false;
    c->sent = 0;
    PhBuf_Reset(&c->in);
    http_parser_init(&c->parser, HTTP_RESPONSE);
    c->parser.data = c;
    call_format(c, r);
    g_hash_table_insert(http->calls, &c->number, c);
    PhTask_SetTimer(http->self, c->number, r->deadline);
    if (!call_write(c)) {
        call_fail(c, PH_HTTP_FAILURE_RESET);
    }
}

/* Ends the request that the sender started with this id. */
static void
call_cancel(PhHttpLean *http, PhTaskRef sender, uint64_t id)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, http->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhCall *c = value;
        if (c->id == id && PhTaskRef_Equal(c->sender, sender)) {
            call_fail(c, PH_HTTP_FAILURE_CANCELLED);
            return;
        }
    }
}

/* Acts on a message of the interface. */
static void
on_message(PhHttpLean *http, const PhMail *mail)
{
    const PhHttpMessage *m = mail->as.message.body;
    if (mail->as.message.interface != PH_INTERFACE_HTTP) {
        return;
    }
    switch (m->tag) {
    case PH_HTTP_SEND:
        call_start(http, mail->from, &m->as.send);
        break;
    case PH_HTTP_CANCEL:
        call_cancel(http, mail->from, m->as.cancel);
        break;
    case PH_HTTP_REPLY:
        break;
    }
}

/* Ends a request whose deadline has passed. */
static void
on_timer(PhHttpLean *http, uint64_t token)
{
    if (token == SWEEP_TOKEN) {
        sweep(http);
        return;
    }
    PhCall *c = g_hash_table_lookup(http->calls, &token);
    if (c != NULL) {
        target_close_idle(c->target);
        call_fail(c, PH_HTTP_FAILURE_DEADLINE);
    }
}

/* Goes on with a connection that is ready. */
static void
on_io(PhHttpLean *http, int fd, int events)
{
    PhCall *c = g_hash_table_lookup(http->by_fd, GINT_TO_POINTER(fd));
    if (c == NULL) {
        return;
    }
    if ((events & PH_IO_WRITE) && c->number != 0 && !call_write(c)) {
        call_fail(c, PH_HTTP_FAILURE_RESET);
        return;
    }
    if (events & PH_IO_READ) {
        call_read(c);
    }
}

/* Handles a mail of the task "http". */
static void
lean_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhHttpLean *http = state;
    http->self = self;
    switch (mail->kind) {
    case PH_MAIL_START:
        sweep(http);
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
}

/* Releases the state of the task. */
static void
lean_destroy(void *state)
{
    PhHttpLean *http = state;
    g_hash_table_destroy(http->calls);
    g_hash_table_destroy(http->by_fd);
    g_hash_table_destroy(http->targets);
    g_free(http->buffer);
    g_free(http);
}

/* Starts the task "http" without libcurl. */
PhStatus
PhHttpLean_Start(PhKernel *kernel)
{
    PhHttpLean *http = g_new0(PhHttpLean, 1);
    http->buffer = g_malloc(READ_BYTES);
    http->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    http->by_fd = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                        call_destroy);
    http->targets = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                          target_destroy);
    PhTaskSpec spec = {.name = PH_SERVICE_HTTP,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = http,
                       .handle = lean_handle,
                       .destroy = lean_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
