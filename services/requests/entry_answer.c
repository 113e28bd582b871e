#include <inttypes.h>

#include "entry_internal.h"

/* Headers of a response created by the entry itself. */
enum {
    HEADERS_MAX = 4
};

typedef struct PhHeaderList {
    PhHttpHeader rows[HEADERS_MAX];
    size_t count;
} PhHeaderList;

static const PhCounter refusal_counters[] = {
#define PH_REFUSAL(NAME, TEXT, STATUS, RETRY_AFTER_S)                         \
    [PH_REFUSAL_##NAME] = PH_COUNTER_REFUSED_##NAME,
#include "peridothill/decide/requests/refusal_list.h"
#undef PH_REFUSAL
};

static void
list_add(PhHeaderList *list, PhStr name, PhStr value)
{
    list->rows[list->count++] = (PhHttpHeader){.name = name, .value = value};
}

static void
refusal_report(PhEntry *entry, const PhRefuse *refuse, PhStr reason)
{
    PhCounters *counters = PhKernel_Counters(PhTask_Kernel(entry->self));
    PhCounters_Add(counters, refusal_counters[refuse->reason], 1);
    PhCounters_Add(counters,
                   refuse->outcome == PH_OUTCOME_NOT_RUN
                       ? PH_COUNTER_OUTCOME_NOT_RUN
                       : PH_COUNTER_OUTCOME_UNKNOWN,
                   1);
    PhTask_LOG(
        entry->self, PH_EVENT_REQUEST_REFUSED,
        PhField_U64("request", refuse->request), PhField_STR("reason", reason),
        PhField_STR("outcome", PhStr_FromC(PhOutcome_Name(refuse->outcome))));
}

void
PhEntry_Refuse(PhEntry *entry, const PhRefuse *refuse)
{
    const PhRefusalInfo *info = PhRefusal_Info(refuse->reason);
    PhStr reason = PhStr_FromC(info->name);
    PhStr outcome = PhStr_FromC(PhOutcome_Name(refuse->outcome));
    char retry_after[16];
    PhHeaderList list = {0};
    list_add(&list, PhStr_LITERAL("Content-Type"),
             PhStr_LITERAL("application/json"));
    list_add(&list, PH_HEADER_OUTCOME, outcome);
    list_add(&list, PH_HEADER_REASON, reason);
    if (info->retry_after_s > 0) {
        g_snprintf(retry_after, sizeof(retry_after), "%u",
                   info->retry_after_s);
        list_add(&list, PhStr_LITERAL("Retry-After"),
                 PhStr_FromC(retry_after));
    }
    PhBuf body = {0};
    PhBuf_AppendFormat(&body, "{\"outcome\":\"%.*s\",\"reason\":\"%.*s\"}\n",
                       PhStr_ARG(outcome), PhStr_ARG(reason));
    refusal_report(entry, refuse, reason);
    PhListener_Answer(entry->listener, refuse->request, info->status,
                      list.rows, list.count, PhBuf_Str(&body));
    PhBuf_Clear(&body);
    g_hash_table_remove(entry->calls, &refuse->request);
}

/* A worker must not set the headers that report a refusal by the entry. */
static bool
header_is_forwarded(const PhHttpReply *reply, PhStr name)
{
    return PhCall_ForwardsHeader(reply->headers, reply->header_count, name) &&
           !PhStr_EqualNoCase(name, PH_HEADER_OUTCOME) &&
           !PhStr_EqualNoCase(name, PH_HEADER_REASON);
}

/* Forwards the reply being handled to the caller. */
void
PhEntry_ForwardReply(PhEntry *entry, uint64_t request)
{
    const PhHttpReply *reply = entry->reply;
    const PhCall *call = g_hash_table_lookup(entry->calls, &request);
    PhCounters *counters = PhKernel_Counters(PhTask_Kernel(entry->self));
    PhHttpHeader *headers = g_new(PhHttpHeader, reply->header_count);
    size_t count = 0;
    for (size_t i = 0; i < reply->header_count; i++) {
        if (header_is_forwarded(reply, reply->headers[i].name)) {
            headers[count++] = reply->headers[i];
        }
    }
    PhListener_Answer(entry->listener, request, reply->status, headers, count,
                      reply->body);
    g_free(headers);
    PhCounters_Add(counters, PH_COUNTER_REQUESTS_ANSWERED, 1);
    PhCounters_Observe(counters, PH_HISTOGRAM_REQUEST_LATENCY,
                       PhTask_Now(entry->self) - call->arrived);
    g_hash_table_remove(entry->calls, &request);
}

/* Readiness endpoint for the load balancer. */
void
PhEntry_AnswerReady(PhEntry *entry, uint64_t id)
{
    enum {
        HTTP_OK = 200,
        HTTP_UNAVAILABLE = 503
    };
    bool ready = PhRequests_IsReady(entry->requests);
    PhHttpHeader type = {.name = PhStr_LITERAL("Content-Type"),
                         .value = PhStr_LITERAL("text/plain")};
    PhListener_Answer(
        entry->listener, id, ready ? HTTP_OK : HTTP_UNAVAILABLE, &type, 1,
        ready ? PhStr_LITERAL("ready\n") : PhStr_LITERAL("not ready\n"));
}

/* Maps the result of the HTTP client to the end of an attempt. */
PhAttemptEnd
PhEntry_AttemptEnd(const PhHttpReply *reply)
{
    if (reply->outcome == PH_HTTP_ANSWERED) {
        return PH_ATTEMPT_END_ANSWERED;
    }
    switch (reply->failure) {
    case PH_HTTP_FAILURE_CONNECT:
    case PH_HTTP_FAILURE_NO_CONNECTION:
        return PH_ATTEMPT_END_CONNECT;
    case PH_HTTP_FAILURE_FIRST_BYTE:
        return PH_ATTEMPT_END_FIRST_BYTE;
    case PH_HTTP_FAILURE_DEADLINE:
        return PH_ATTEMPT_END_DEADLINE;
    case PH_HTTP_FAILURE_TRUNCATED:
        return PH_ATTEMPT_END_TRUNCATED;
    case PH_HTTP_FAILURE_TOO_LARGE:
        return PH_ATTEMPT_END_TOO_LARGE;
    case PH_HTTP_FAILURE_CANCELLED:
    case PH_HTTP_FAILURE_FULL:
        return PH_ATTEMPT_END_CANCELLED;
    case PH_HTTP_FAILURE_NONE:
    case PH_HTTP_FAILURE_RESET:
        return PH_ATTEMPT_END_RESET;
    }
    return PH_ATTEMPT_END_RESET;
}
