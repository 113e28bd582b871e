#include "entry_internal.h"
#include "peridothill/services/interface.h"

enum {
    ANSWER_LIMIT_BYTES = 16 * 1024 * 1024,
    KEY_MAX_BYTES = 256,
};

/* Hop-by-hop headers, which a proxy must not forward, and headers that the
 * HTTP client sets itself. */
static const char *const hop_headers[] = {
    "Connection",
    "Content-Length",
    "Expect",
    "Host",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
};

static bool
is_hop_header(PhStr name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(hop_headers); i++) {
        if (PhStr_EqualNoCase(name, PhStr_FromC(hop_headers[i]))) {
            return true;
        }
    }
    return false;
}

/* `list` is a comma-separated list of header names. */
static bool
list_contains(PhStr list, PhStr name)
{
    while (list.len > 0) {
        PhStr first;
        PhStr_Cut(list, ',', &first, &list);
        if (PhStr_EqualNoCase(PhStr_Trim(first), name)) {
            return true;
        }
    }
    return false;
}

bool
PhCall_ForwardsHeader(const PhHttpHeader *headers, size_t count, PhStr name)
{
    if (is_hop_header(name)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        if (PhStr_EqualNoCase(headers[i].name, PhStr_LITERAL("Connection")) &&
            list_contains(headers[i].value, name)) {
            return false;
        }
    }
    return true;
}

static PhStr
target_join(PhStr path, PhStr query)
{
    PhBuf buf = {0};
    PhBuf_Append(&buf, path);
    if (query.len > 0) {
        PhBuf_AppendByte(&buf, '?');
        PhBuf_Append(&buf, query);
    }
    return PhBuf_Take(&buf);
}

PhCall *
PhCall_Create(const PhIncoming *incoming, PhTime now)
{
    PhCall *call = g_new0(PhCall, 1);
    call->id = incoming->id;
    call->method = PhStr_Dup(incoming->method);
    call->target = target_join(incoming->path, incoming->query);
    call->body = PhStr_Dup(incoming->body);
    call->arrived = now;
    for (size_t i = 0; i < incoming->header_count; i++) {
        PhHttpHeader_Add(&call->headers, &call->header_count,
                         incoming->headers[i].name,
                         incoming->headers[i].value);
    }
    return call;
}

void
PhCall_Destroy(gpointer value)
{
    PhCall *call = value;
    PhStr_Clear(&call->method);
    PhStr_Clear(&call->target);
    PhStr_Clear(&call->body);
    for (size_t i = 0; i < call->header_count; i++) {
        PhStr_Clear(&call->headers[i].name);
        PhStr_Clear(&call->headers[i].value);
    }
    g_free(call->headers);
    g_free(call);
}

/* Parses the caller's time limit. Returns false if it is not a number; a
 * missing header gives 0. */
static bool
budget_read(const PhCall *call, PhTime *budget)
{
    PhStr text = PhHttpHeader_Find(call->headers, call->header_count,
                                   PH_HEADER_TIMEOUT);
    uint64_t ms = 0;
    *budget = 0;
    if (text.data == NULL) {
        return true;
    }
    if (!PhStr_ParseU64(PhStr_Trim(text), &ms)) {
        return false;
    }
    /* An explicit limit of zero has already expired. It becomes 1 ns, because
     * 0 means no limit. */
    ms = MIN(ms, (uint64_t)G_MAXINT32);
    *budget = MAX((PhTime)ms * PH_NS_PER_MS, 1);
    return true;
}

static size_t
header_count(const PhCall *call, PhStr name)
{
    size_t count = 0;
    for (size_t i = 0; i < call->header_count; i++) {
        count += PhStr_EqualNoCase(call->headers[i].name, name);
    }
    return count;
}

PhArrival
PhCall_Arrival(const PhCall *call, PhStr path)
{
    PhArrival arrival = {.id = call->id,
                         .method = call->method,
                         .path = path,
                         .body_bytes = call->body.len};
    arrival.key =
        PhHttpHeader_Find(call->headers, call->header_count, PH_HEADER_KEY);
    arrival.malformed = !budget_read(call, &arrival.budget) ||
                        header_count(call, PH_HEADER_KEY) > 1 ||
                        header_count(call, PH_HEADER_TIMEOUT) > 1 ||
                        arrival.key.len > KEY_MAX_BYTES;
    return arrival;
}

/* The worker gets the remaining time, so that it can give up in time too. */
static void
timeout_add(PhHttpRequest *request, PhTime left)
{
    char *text = g_strdup_printf("%" G_GINT64_FORMAT, left / PH_NS_PER_MS);
    PhHttpHeader_Add(&request->headers, &request->header_count,
                     PH_HEADER_TIMEOUT, PhStr_FromC(text));
    g_free(text);
}

PhMessage
PhCall_Message(const PhCall *call, const PhSend *send, const PhRouter *router,
               PhTime now)
{
    PhHttpMessage message = {.tag = PH_HTTP_SEND};
    PhHttpRequest *request = &message.as.send;
    PhStr address = PhRouter_WorkerAddress(router, send->worker);
    *request = (PhHttpRequest){
        .id = send->attempt,
        .method = PhStr_Dup(call->method),
        .address = PhStr_Dup(address),
        .target = PhStr_Dup(call->target),
        .body = PhStr_Dup(call->body),
        .deadline = send->deadline,
        .first_byte = send->first_byte,
        .answer_limit_bytes = ANSWER_LIMIT_BYTES,
        .fresh_connection = send->fresh_connection,
        .connections = PhRouter_ConnectionCap(router, send->worker)};
    for (size_t i = 0; i < call->header_count; i++) {
        const PhHttpHeader *header = &call->headers[i];
        if (PhCall_ForwardsHeader(call->headers, call->header_count,
                                  header->name) &&
            !PhStr_EqualNoCase(header->name, PH_HEADER_TIMEOUT)) {
            PhHttpHeader_Add(&request->headers, &request->header_count,
                             header->name, header->value);
        }
    }
    timeout_add(request, send->deadline - now);
    return PhHttpMessage_Wrap(&message);
}
