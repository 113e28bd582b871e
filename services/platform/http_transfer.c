#include "http_internal.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "peridothill/common/invariant.h"

enum {
    KEEPALIVE_IDLE_S = 15,
    KEEPALIVE_INTERVAL_S = 5,
    /* A connection with unacknowledged bytes is closed after this long. */
    USER_TIMEOUT_MS = 5000,
    /* Maximum age of a connection, plus a random part so that connections do
     * not all close together, and maximum idle time. */
    CONNECTION_AGE_S = 60,
    CONNECTION_AGE_JITTER_S = 30,
    CONNECTION_IDLE_S = 20,
    MAX_FREE_HANDLES = 256,
};

static size_t
on_body(char *data, size_t size, size_t count, void *context)
{
    PhTransfer *t = context;
    size_t len = size * count;
    if (t->body_in.len + len > t->answer_limit) {
        t->too_large = true;
        return 0;
    }
    PhBuf_Append(&t->body_in, PhStr_FromBytes(data, len));
    return len;
}

/* Discards the headers of an interim (1xx) response. */
static void
headers_reset(PhTransfer *t)
{
    for (size_t i = 0; i < t->reply.header_count; i++) {
        PhStr_Clear(&t->reply.headers[i].name);
        PhStr_Clear(&t->reply.headers[i].value);
    }
    t->reply.header_count = 0;
    PhStr_Clear(&t->length);
}

/* A response with two different Content-Length values is rejected, because its
 * end is ambiguous. */
static bool
length_conflicts(PhTransfer *t, PhStr name, PhStr value)
{
    if (!PhStr_EqualNoCase(name, PhStr_LITERAL("Content-Length"))) {
        return false;
    }
    if (t->length.data == NULL) {
        t->length = PhStr_Dup(value);
        return false;
    }
    return !PhStr_Equal(t->length, value);
}

/* A status line starts a new set of headers, after an interim response. */
static size_t
on_header(char *data, size_t size, size_t count, void *context)
{
    PhTransfer *t = context;
    PhStr line = PhStr_FromBytes(data, size * count);
    PhStr name;
    PhStr value;
    if (t->first_byte_at == 0) {
        t->first_byte_at = PhTask_Now(t->http->self);
        PhTask_CancelTimer(t->http->self, timer_token(t, TRANSFER_FIRST_BYTE));
    }
    if (PhStr_StartsWith(line, PhStr_LITERAL("HTTP/"))) {
        headers_reset(t);
        return line.len;
    }
    if (PhStr_Cut(line, ':', &name, &value)) {
        value = PhStr_Trim(value);
        if (length_conflicts(t, name, value)) {
            return 0;
        }
        PhHttpHeader_Add(&t->reply.headers, &t->reply.header_count, name,
                         value);
    }
    return line.len;
}

/* Reuses the handle of an earlier transfer if there is one. */
static CURL *
handle_acquire(PhHttp *http)
{
    return http->free_handles->len > 0
               ? g_ptr_array_steal_index_fast(http->free_handles, 0)
               : curl_easy_init();
}

/* Connections belong to the multi handle and outlive the easy handle. */
static void
handle_release(PhHttp *http, CURL *easy)
{
    if (http->free_handles->len >= MAX_FREE_HANDLES) {
        curl_easy_cleanup(easy);
        return;
    }
    curl_easy_reset(easy);
    g_ptr_array_add(http->free_handles, easy);
}

/* A reply that was not sent is released too. */
void
PhTransfer_Destroy(gpointer value)
{
    PhTransfer *t = value;
    PhTask_CancelTimer(t->http->self, timer_token(t, TRANSFER_DEADLINE));
    PhTask_CancelTimer(t->http->self, timer_token(t, TRANSFER_FIRST_BYTE));
    if (t->easy != NULL) {
        curl_multi_remove_handle(t->http->multi, t->easy);
        handle_release(t->http, t->easy);
    }
    curl_slist_free_all(t->header_lines);
    PhBuf_Clear(&t->body_out);
    PhBuf_Clear(&t->body_in);
    PhStr_Clear(&t->length);
    PhHttpMessage unsent = {.tag = PH_HTTP_REPLY, .as.reply = t->reply};
    PhMessage m = PhHttpMessage_Wrap(&unsent);
    m.release(m.body);
    g_free(t);
}

/* libcurl sets these values once it begins to send the request. */
static bool
transfer_may_have_sent(const PhTransfer *t)
{
    curl_off_t pretransfer = 0;
    long request_bytes = 0;
    curl_easy_getinfo(t->easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer);
    curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    return pretransfer > 0 || request_bytes > 0;
}

void
PhTransfer_Finish(PhTransfer *t, PhHttpOutcome outcome, PhHttpFailure failure)
{
    PhHttp *http = t->http;
    PhTime now = PhTask_Now(http->self);
    long opened = 0;
    curl_easy_getinfo(t->easy, CURLINFO_NUM_CONNECTS, &opened);
    t->reply.reused_connection = opened == 0 && outcome != PH_HTTP_NOT_SENT;
    t->reply.outcome = outcome;
    t->reply.failure = failure;
    t->reply.body = PhBuf_Take(&t->body_in);
    t->reply.completed_after = now - t->started;
    t->reply.first_byte_after =
        (t->first_byte_at == 0 ? now : t->first_byte_at) - t->started;
    PhHttpMessage m = {.tag = PH_HTTP_REPLY, .as.reply = t->reply};
    t->reply = (PhHttpReply){0};
    PhTaskRef sender = t->sender;
    uint64_t number = t->number;
    g_hash_table_remove(http->transfers, &number);
    PhTask_Send(http->self, sender, PhHttpMessage_Wrap(&m));
}

void
PhTransfer_Fail(PhTransfer *t, PhHttpFailure failure)
{
    PhHttpOutcome outcome =
        transfer_may_have_sent(t) ? PH_HTTP_UNKNOWN : PH_HTTP_NOT_SENT;
    PhTransfer_Finish(t, outcome, failure);
}

PhHttpFailure
PhTransfer_MapError(const PhTransfer *t, CURLcode code)
{
    if (t->too_large) {
        return PH_HTTP_FAILURE_TOO_LARGE;
    }
    if (code == CURLE_COULDNT_CONNECT) {
        return PH_HTTP_FAILURE_CONNECT;
    }
    if (code == CURLE_PARTIAL_FILE) {
        return PH_HTTP_FAILURE_TRUNCATED;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return PH_HTTP_FAILURE_DEADLINE;
    }
    return PH_HTTP_FAILURE_RESET;
}

/* The empty Expect header disables libcurl's "Expect: 100-continue". */
static void
set_headers(PhTransfer *t, const PhHttpRequest *r)
{
    t->header_lines = curl_slist_append(NULL, "Expect:");
    for (size_t i = 0; i < r->header_count; i++) {
        char *line =
            g_strdup_printf("%.*s: %.*s", PhStr_ARG(r->headers[i].name),
                            PhStr_ARG(r->headers[i].value));
        t->header_lines = curl_slist_append(t->header_lines, line);
        g_free(line);
    }
    curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->header_lines);
}

static void
set_method(PhTransfer *t, const PhHttpRequest *r)
{
    if (r->body.len > 0 || PhStr_Equal(r->method, PhStr_LITERAL("POST"))) {
        PhBuf_Append(&t->body_out, r->body);
        PhBuf_AppendByte(&t->body_out, '\0');
        curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->body_out.data);
        curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)r->body.len);
    }
    if (PhStr_Equal(r->method, PhStr_LITERAL("HEAD"))) {
        curl_easy_setopt(t->easy, CURLOPT_NOBODY, 1L);
        return;
    }
    char *method = PhStr_ToC(r->method);
    curl_easy_setopt(t->easy, CURLOPT_CUSTOMREQUEST, method);
    g_free(method);
}

/* TCP_USER_TIMEOUT limits how long an unresponsive peer goes undetected. */
static int
on_socket_options(void *context, curl_socket_t fd, curlsocktype purpose)
{
    unsigned timeout_ms = USER_TIMEOUT_MS;
    (void)context;
    (void)purpose;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
    return CURL_SOCKOPT_OK;
}

/* With a fresh connection libcurl never resends a request on its own; it does
 * so only if a reused connection turns out to be closed. */
static void
set_connection(PhTransfer *t, const PhHttpRequest *r)
{
    long age = CONNECTION_AGE_S +
               (long)PhRandom_Below(t->http->random, CONNECTION_AGE_JITTER_S);
    curl_easy_setopt(t->easy, CURLOPT_HTTP_VERSION,
                     (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(t->easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(t->easy, CURLOPT_TCP_KEEPIDLE, (long)KEEPALIVE_IDLE_S);
    curl_easy_setopt(t->easy, CURLOPT_TCP_KEEPINTVL,
                     (long)KEEPALIVE_INTERVAL_S);
    curl_easy_setopt(t->easy, CURLOPT_SOCKOPTFUNCTION, on_socket_options);
    curl_easy_setopt(t->easy, CURLOPT_MAXLIFETIME_CONN, age);
    curl_easy_setopt(t->easy, CURLOPT_MAXAGE_CONN, (long)CONNECTION_IDLE_S);
    curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT,
                     r->fresh_connection ? 1L : 0L);
    if (r->connections > 0 && r->connections != t->http->connections) {
        t->http->connections = r->connections;
        curl_multi_setopt(t->http->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                          (long)r->connections);
    }
}

static void
set_transfer(PhTransfer *t, const PhHttpRequest *r)
{
    char *url = g_strdup_printf("http://%.*s%.*s", PhStr_ARG(r->address),
                                PhStr_ARG(r->target));
    curl_easy_setopt(t->easy, CURLOPT_URL, url);
    g_free(url);
    curl_easy_setopt(t->easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
    curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
    curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
}

void
PhTransfer_Start(PhHttp *http, PhTaskRef sender, const PhHttpRequest *r)
{
    PhTransfer *t = g_new0(PhTransfer, 1);
    t->http = http;
    t->number = ++http->next_number;
    t->sender = sender;
    t->started = PhTask_Now(http->self);
    t->answer_limit = r->answer_limit_bytes;
    t->reply.id = r->id;
    t->easy = handle_acquire(http);
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION, t->easy != NULL,
                 "curl_easy_init() failed");
    set_transfer(t, r);
    set_connection(t, r);
    set_headers(t, r);
    set_method(t, r);
    g_hash_table_insert(http->transfers, &t->number, t);
    PhTask_SetTimer(http->self, timer_token(t, TRANSFER_DEADLINE),
                    r->deadline);
    if (r->first_byte != PH_TIME_NEVER) {
        PhTask_SetTimer(http->self, timer_token(t, TRANSFER_FIRST_BYTE),
                        r->first_byte);
    }
    curl_multi_add_handle(http->multi, t->easy);
}
