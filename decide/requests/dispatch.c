#include "peridothill/common/invariant.h"
#include "requests_internal.h"

enum {
    MIN_FIRST_BYTE_TIMEOUT_MS = 20
};

/* The time-out is twice the tail latency, but at most half of the time left so
 * that a retry still fits in. */
static PhTime
first_byte_deadline(const PhRequests *r, const PhRequestRecord *record)
{
    if (!r->options.tuning.first_byte_timeout || !record->idempotent) {
        return PH_TIME_NEVER;
    }
    PhTime timeout =
        2 * PhRouter_TailLatency(r->router, record->service->pool);
    PhTime limit = (record->deadline - r->now) / 2;
    if (timeout == 0) {
        return r->now + limit;
    }
    timeout = MAX(timeout, MIN_FIRST_BYTE_TIMEOUT_MS * PH_NS_PER_MS);
    return r->now + MIN(timeout, limit);
}

static void
attempt_track(PhRequestRecord *record, uint64_t attempt)
{
    for (int i = 0; i < MAX_CONCURRENT_ATTEMPTS; i++) {
        if (record->active_attempts[i] == 0) {
            record->active_attempts[i] = attempt;
            return;
        }
    }
    Ph_INVARIANT(PH_INVARIANT_QUEUE, false, "request=%lu",
                 (unsigned long)record->id);
}

/* A non-idempotent request must not be resent by the HTTP client after a stale
 * connection fails, and a retry after such a failure must not pick up another
 * stale one. */
static bool
needs_fresh_connection(const PhRequestRecord *record, PhSendCause cause)
{
    return !record->idempotent || cause == PH_SEND_RETRY_FIRST_BYTE ||
           cause == PH_SEND_RETRY_RESET;
}

static void
attempt_send(PhRequests *r, PhRequestRecord *record, uint32_t worker,
             PhSendCause cause)
{
    Ph_INVARIANT(PH_INVARIANT_AT_MOST_ONCE,
                 record->idempotent || (record->sends == record->not_sent &&
                                        record->active_attempts[0] == 0),
                 "request=%lu sends=%u not_sent=%u", (unsigned long)record->id,
                 record->sends, record->not_sent);
    Ph_INVARIANT(PH_INVARIANT_QUEUE, r->now < record->deadline,
                 "request=%lu deadline passed", (unsigned long)record->id);
    PhRouter_AttemptStarted(r->router, worker);
    PhAttempt *attempt = g_new0(PhAttempt, 1);
    *attempt = (PhAttempt){.id = ++r->next_attempt,
                           .request = record->id,
                           .worker = worker,
                           .pool = record->service->pool,
                           .cause = cause,
                           .sent_at = r->now};
    g_hash_table_insert(r->attempts, &attempt->id, attempt);
    attempt_track(record, attempt->id);
    record->sends++;
    record->last_worker = worker;
    record->state = PH_REQUEST_IN_FLIGHT;
    PhRequests_Emit(
        r, (PhRequestsAction){
               .tag = PH_REQUESTS_SEND,
               .as.send = {.request = record->id,
                           .attempt = attempt->id,
                           .worker = worker,
                           .cause = cause,
                           .deadline = record->deadline,
                           .first_byte = first_byte_deadline(r, record),
                           .fresh_connection =
                               needs_fresh_connection(record, cause)}});
}

/* The required time is capped at half of the request's whole budget; otherwise
 * a slow service would refuse every request. */
static bool
can_meet_deadline(const PhRequests *r, const PhRequestRecord *record)
{
    if (!r->options.tuning.deadline_aware) {
        return r->now < record->deadline;
    }
    PhTime need = PhRouter_TailLatency(r->router, record->service->pool);
    need = MIN(need, (record->deadline - record->arrived) / 2);
    return r->now + need < record->deadline;
}

/* The timer fires at the hedge delay or the deadline, whichever is earlier. */
static void
flight_timer_set(PhRequests *r, PhRequestRecord *record)
{
    PhTime hedge_after = record->service->policy.hedge_after;
    PhTime at = record->deadline;
    if (hedge_after > 0 && record->idempotent && !record->hedged) {
        at = MIN(at, r->now + hedge_after);
    }
    PhRequests_SetTimer(r, record, at);
}

/* Sends queued requests in admission order until no worker has a free slot. */
void
PhDispatch_Run(PhRequests *r)
{
    PhRequestRecord *record;
    while ((record = PhAdmission_Next(r)) != NULL) {
        if (!can_meet_deadline(r, record)) {
            PhRequests_Refuse(r, record,
                              r->now < record->deadline
                                  ? PH_REFUSAL_DEADLINE_TOO_SHORT
                                  : PH_REFUSAL_DEADLINE_PASSED);
            continue;
        }
        uint32_t avoid = record->next_cause == PH_SEND_FIRST
                             ? PH_WORKER_NONE
                             : record->last_worker;
        uint32_t worker = PhRouter_Pick(r->router, record->service->pool,
                                        avoid, record->idempotent, r->now);
        Ph_INVARIANT(PH_INVARIANT_QUEUE, worker != PH_WORKER_NONE,
                     "request=%lu", (unsigned long)record->id);
        PhAdmission_Dequeue(r, record);
        PhAdmission_Charge(r, record->service);
        attempt_send(r, record, worker, record->next_cause);
        flight_timer_set(r, record);
    }
}

/* A hedge is charged to the retry budget. */
void
PhDispatch_Hedge(PhRequests *r, PhRequestRecord *record)
{
    PhService *service = record->service;
    record->hedged = true;
    PhRequests_SetTimer(r, record, record->deadline);
    if (!PhRouter_HasCapacity(r->router, service->pool, false)) {
        return;
    }
    uint32_t worker = PhRouter_Pick(r->router, service->pool,
                                    record->last_worker, true, r->now);
    if (worker == PH_WORKER_NONE || worker == record->last_worker) {
        return;
    }
    if (!PhBudget_Spend(&service->budget)) {
        PhRequests_Note(r, PH_NOTE_RETRY_NO_BUDGET, PH_WORKER_NONE);
        return;
    }
    PhAdmission_Charge(r, service);
    attempt_send(r, record, worker, PH_SEND_HEDGE);
}
