/* The task "http" without libcurl, for instances that send commands to
 * workers. A connection carries one request at a time, stays open and is
 * watched while idle; http-parser reads the responses. See
 * docs/measures/schedule.md for a comparison with libcurl. */
#include "http_connection.h"

#include <unistd.h>

#include "peridothill/services/interface.h"

enum {
    MAILBOX_CAPACITY = 16384,
    /* Idle connections are closed after this long. */
    MAX_IDLE_S = 10,
    SWEEP_INTERVAL_S = 5,
    SWEEP_TOKEN = 0, /* request numbers start at 1 */
};

void
PhHttpMinimal_Reply(PhHttpMinimal *http, PhTaskRef sender, PhHttpReply *reply)
{
    PhHttpMessage m = {.tag = PH_HTTP_REPLY, .as.reply = *reply};
    PhTask_Send(http->self, sender, PhHttpMessage_Wrap(&m));
}

void
PhHttpMinimal_ResumeTarget(PhHttpMinimal *http, PhTarget *target)
{
    if (target->waiting.length > 0 &&
        g_queue_find(&http->resumed, target) == NULL) {
        g_queue_push_tail(&http->resumed, target);
    }
}

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
    PhHttpMinimal_Reply(http, sender, &reply);
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
        c = reused ? c : PhHttpConnection_Open(http, target);
        if (c == NULL) {
            PhTask_CancelTimer(http->self, w->ready.number);
            request_refuse(http, w->ready.sender, w->ready.id,
                           PH_HTTP_FAILURE_CONNECT);
        }
        else {
            PhHttpConnection_Begin(c, &w->ready, reused);
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
    c = reused ? c : PhHttpConnection_Open(http, target);
    if (c == NULL) {
        PhBuf_Clear(&ready.out);
        request_refuse(http, sender, r->id, PH_HTTP_FAILURE_CONNECT);
        return;
    }
    PhHttpConnection_Begin(c, &ready, reused);
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
            PhHttpConnection_Fail(c, PH_HTTP_FAILURE_CANCELLED);
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
        PhHttpConnection_Read(c);
        c = g_hash_table_lookup(http->active, &number);
    }
    if (c == NULL || PhHttpConnection_PutOffDeadline(c)) {
        return;
    }
    target_close_idle_connections(c->target);
    if (!PhHttpConnection_WaitOn(c)) {
        PhHttpConnection_Fail(c, PH_HTTP_FAILURE_DEADLINE);
    }
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
    if ((events & PH_IO_WRITE) && c->number != 0 &&
        !PhHttpConnection_Write(c)) {
        PhHttpConnection_Fail(c, PH_HTTP_FAILURE_RESET);
        return;
    }
    if (events & PH_IO_READ) {
        PhHttpConnection_Read(c);
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
    http->buffer = g_malloc(PH_HTTP_READ_BYTES);
    http->active = g_hash_table_new(g_int64_hash, g_int64_equal);
    http->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                          waiting_destroy);
    http->by_fd = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                        PhHttpConnection_Destroy);
    http->targets = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                          target_destroy);
    PhTaskSpec spec = {.name = PH_SERVICE_HTTP,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = http,
                       .handle = http_handle,
                       .destroy = http_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
