#include "peridothill/common/invariant.h"
#include "requests_internal.h"

enum {
    BACKOFF_MS = 10,
    MAX_BACKOFF_MS = 200,
};

/* How each end of an attempt affects the worker, a retry and a refusal. */
typedef struct PhEndPolicy {
    PhSendCause cause;
    PhRefusal refusal;
    bool worker_failed;
    bool retry;
} PhEndPolicy;

static const PhEndPolicy end_policies[] = {
    [PH_ATTEMPT_END_ANSWERED] = {PH_SEND_RETRY_STATUS, PH_REFUSAL_COUNT, true,
                                 true},
    [PH_ATTEMPT_END_CONNECT] = {PH_SEND_RETRY_CONNECT,
                                PH_REFUSAL_CONNECT_FAILED, true, true},
    [PH_ATTEMPT_END_FIRST_BYTE] = {PH_SEND_RETRY_FIRST_BYTE,
                                   PH_REFUSAL_FIRST_BYTE_TIMEOUT, true, true},
    [PH_ATTEMPT_END_DEADLINE] = {PH_SEND_FIRST, PH_REFUSAL_DEADLINE_IN_FLIGHT,
                                 true, false},
    [PH_ATTEMPT_END_RESET] = {PH_SEND_RETRY_RESET, PH_REFUSAL_UPSTREAM_RESET,
                              true, true},
    [PH_ATTEMPT_END_TRUNCATED] = {PH_SEND_RETRY_TRUNCATED,
                                  PH_REFUSAL_UPSTREAM_TRUNCATED, true, true},
    [PH_ATTEMPT_END_TOO_LARGE] = {PH_SEND_FIRST, PH_REFUSAL_UPSTREAM_TOO_LARGE,
                                  false, false},
    [PH_ATTEMPT_END_CANCELLED] = {PH_SEND_RETRY_CONNECT,
                                  PH_REFUSAL_CONNECT_FAILED, false, true},
};

/* 502, 503 and 504 report that the worker could not serve the request. */
static bool
status_is_retriable(int status)
{
    enum {
        HTTP_BAD_GATEWAY = 502,
        HTTP_GATEWAY_TIMEOUT = 504
    };
    return status >= HTTP_BAD_GATEWAY && status <= HTTP_GATEWAY_TIMEOUT;
}

/* Classifies an attempt for the router. */
static PhAttemptResult
attempt_classify(const PhAttempt *attempt, const PhUpstreamReply *reply)
{
    enum {
        HTTP_SERVER_ERROR = 500
    };
    if (reply->end == PH_ATTEMPT_END_ANSWERED) {
        return reply->status < HTTP_SERVER_ERROR ? PH_ATTEMPT_SUCCEEDED
                                                 : PH_ATTEMPT_FAILED;
    }
    /* The failed connection was reused and may have been stale. It has been
     * closed; later attempts open new connections, which show the state of the
     * worker. */
    bool connection_lost =
        reply->reused && (reply->end == PH_ATTEMPT_END_FIRST_BYTE ||
                          reply->end == PH_ATTEMPT_END_RESET);
    if (connection_lost) {
        return PH_ATTEMPT_CANCELLED;
    }
    if (attempt->overdue || end_policies[reply->end].worker_failed) {
        return PH_ATTEMPT_FAILED;
    }
    return PH_ATTEMPT_CANCELLED;
}

/* Reports the end of an attempt to the router. */
static void
worker_report_result(PhRequests *r, const PhAttempt *attempt,
                     const PhUpstreamReply *reply)
{
    switch (PhRouter_AttemptEnded(r->router, attempt->worker, attempt->pool,
                                  attempt_classify(attempt, reply),
                                  r->now - attempt->sent_at, r->now)) {
    case PH_ROUTER_EJECTED:
        PhRequests_Note(r, PH_NOTE_EJECTED, attempt->worker);
        break;
    case PH_ROUTER_READMITTED:
        PhRequests_Note(r, PH_NOTE_READMITTED, attempt->worker);
        break;
    case PH_ROUTER_UNCHANGED:
        break;
    }
}

/* Returns false if the attempt no longer belongs to the request. */
static bool
attempt_untrack(PhRequestRecord *record, uint64_t attempt)
{
    for (int i = 0; i < MAX_CONCURRENT_ATTEMPTS; i++) {
        if (record->active_attempts[i] == attempt) {
            record->active_attempts[i] =
                record->active_attempts[MAX_CONCURRENT_ATTEMPTS - 1];
            record->active_attempts[MAX_CONCURRENT_ATTEMPTS - 1] = 0;
            return true;
        }
    }
    return false;
}

/* Sends the complete response to the caller and cancels the other attempts. */
static void
request_answer(PhRequests *r, PhRequestRecord *record,
               const PhAttempt *attempt, const PhUpstreamReply *reply,
               bool was_active)
{
    Ph_INVARIANT(PH_INVARIANT_WHOLE_ANSWER,
                 was_active && reply->end == PH_ATTEMPT_END_ANSWERED &&
                     attempt->request == record->id &&
                     reply->attempt == attempt->id,
                 "request=%lu attempt=%lu", (unsigned long)record->id,
                 (unsigned long)attempt->id);
    if (attempt->cause == PH_SEND_HEDGE) {
        PhRequests_Note(r, PH_NOTE_HEDGE_WON, attempt->worker);
    }
    PhRequests_Emit(r, (PhRequestsAction){.tag = PH_REQUESTS_ANSWER,
                                          .as.answer = record->id});
    PhRequests_CancelAttempts(r, record, false);
    PhRequests_Finish(r, record);
}

/* Exponential back-off with jitter. */
static PhTime
backoff_draw(PhRequests *r, const PhRequestRecord *record)
{
    PhTime base = BACKOFF_MS * PH_NS_PER_MS;
    base <<= MIN(record->sends - 1, 8U);
    base = MIN(base, MAX_BACKOFF_MS * PH_NS_PER_MS);
    return base / 2 + (PhTime)PhRandom_Below(r->random, (uint64_t)base);
}

/* Schedules a retry. Returns false if the request must not be sent again, or
 * if too little time or no budget is left. */
static bool
retry_schedule(PhRequests *r, PhRequestRecord *record, PhAttemptEnd end)
{
    PhService *service = record->service;
    bool nothing_sent = record->sends == record->not_sent;
    if (!end_policies[end].retry || !(record->idempotent || nothing_sent) ||
        !service->configured) {
        return false;
    }
    PhTime at = r->now + backoff_draw(r, record);
    if (at + PhRouter_MeanLatency(r->router, service->pool) >=
        record->deadline) {
        PhRequests_Note(r, PH_NOTE_RETRY_NO_TIME, PH_WORKER_NONE);
        return false;
    }
    if (r->options.tuning.retry_budget && !PhBudget_Spend(&service->budget)) {
        PhRequests_Note(r, PH_NOTE_RETRY_NO_BUDGET, PH_WORKER_NONE);
        return false;
    }
    record->state = PH_REQUEST_BACKOFF;
    record->next_cause = end_policies[end].cause;
    PhRequests_SetTimer(r, record, at);
    return true;
}

/* Answers, retries or refuses the request after an attempt ended. With another
 * attempt still in flight, it waits for that one. */
static void
request_advance(PhRequests *r, PhRequestRecord *record,
                const PhAttempt *attempt, const PhUpstreamReply *reply)
{
    bool was_active = attempt_untrack(record, attempt->id);
    record->not_sent += reply->not_sent ? 1 : 0;
    bool answered = reply->end == PH_ATTEMPT_END_ANSWERED;
    if (answered && !status_is_retriable(reply->status)) {
        request_answer(r, record, attempt, reply, was_active);
        return;
    }
    if (record->active_attempts[0] != 0 ||
        retry_schedule(r, record, reply->end)) {
        return;
    }
    if (answered) {
        request_answer(r, record, attempt, reply, was_active);
        return;
    }
    PhRequests_Refuse(r, record, end_policies[reply->end].refusal);
}

/* Every attempt gets exactly one reply, also after it was cancelled. */
void
PhReply_Handle(PhRequests *r, const PhUpstreamReply *reply)
{
    PhAttempt *attempt = g_hash_table_lookup(r->attempts, &reply->attempt);
    if (attempt == NULL) {
        PhRequests_Note(r, PH_NOTE_LATE_ANSWER, PH_WORKER_NONE);
        return;
    }
    g_hash_table_steal(r->attempts, &reply->attempt);
    worker_report_result(r, attempt, reply);
    PhRequestRecord *record =
        g_hash_table_lookup(r->records, &attempt->request);
    if (record != NULL) {
        request_advance(r, record, attempt, reply);
    }
    else if (reply->end == PH_ATTEMPT_END_ANSWERED) {
        PhRequests_Note(r, PH_NOTE_LATE_ANSWER, attempt->worker);
    }
    g_free(attempt);
}
