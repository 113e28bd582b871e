#include "peridothill/common/invariant.h"
#include "requests_internal.h"

/* For a request refused on arrival, before a record is created. */
static void
refuse_arrival(PhRequests *r, const PhArrival *a, PhRefusal reason)
{
    PhRequests_Emit(
        r, (PhRequestsAction){.tag = PH_REQUESTS_REFUSE,
                              .as.refuse = {.request = a->id,
                                            .reason = reason,
                                            .outcome = PH_OUTCOME_NOT_RUN}});
}

/* Returns true and sets `reason` if the request is refused on arrival. */
static bool
arrival_refusal(const PhRequests *r, const PhArrival *a,
                const PhService *service, PhRefusal *reason)
{
    if (r->phase == PH_DRAIN_FINISHING || r->phase == PH_DRAIN_DONE) {
        *reason = PH_REFUSAL_STOPPING;
    }
    else if (!r->has_policies) {
        *reason = PH_REFUSAL_NO_CONFIG;
    }
    else if (a->malformed) {
        *reason = PH_REFUSAL_BAD_REQUEST;
    }
    else if (service == NULL) {
        *reason = PH_REFUSAL_NO_SERVICE;
    }
    else if (a->body_bytes > service->policy.body_limit_bytes) {
        *reason = PH_REFUSAL_BODY_TOO_LARGE;
    }
    else {
        return false;
    }
    return true;
}

/* Compares the expected queueing time plus the tail latency with the deadline.
 * The latency is capped at half of the request's whole budget; otherwise a
 * slow service would refuse every request. */
static bool
can_serve_in_time(const PhRequests *r, const PhRequestRecord *record)
{
    const PhService *service = record->service;
    if (!r->options.tuning.deadline_aware) {
        return true;
    }
    PhTime need = PhRouter_TailLatency(r->router, service->pool);
    need = MIN(need, (record->deadline - record->arrived) / 2);
    return r->now + PhAdmission_ExpectedWait(service) + need <
           record->deadline;
}

/* Queues a request, or refuses it at once if it cannot be served in time. */
void
PhRequests_Admit(PhRequests *r, PhRequestRecord *record)
{
    PhService *service = record->service;
    if (!PhRouter_HasWorkers(r->router, service->pool)) {
        PhRequests_Refuse(r, record, PH_REFUSAL_NO_WORKER);
        return;
    }
    if (!can_serve_in_time(r, record)) {
        PhRequests_Refuse(r, record, PH_REFUSAL_DEADLINE_TOO_SHORT);
        return;
    }
    if (!PhAdmission_Enqueue(r, record, false)) {
        PhRequests_Refuse(r, record, PH_REFUSAL_QUEUE_FULL);
        return;
    }
    PhBudget_Earn(&service->budget, service->policy.retry_percent);
    PhRequests_SetTimer(r, record, record->deadline);
}

static void
request_arrive(PhRequests *r, const PhArrival *a)
{
    PhService *service = PhAdmission_Match(r, a->path);
    PhRefusal reason;
    if (arrival_refusal(r, a, service, &reason)) {
        refuse_arrival(r, a, reason);
        return;
    }
    PhTime budget = service->policy.deadline;
    if (a->budget > 0) {
        budget = MIN(budget, a->budget);
    }
    PhRequestRecord *record = g_new0(PhRequestRecord, 1);
    *record = (PhRequestRecord){
        .id = a->id,
        .service = service,
        .idempotent =
            PhServicePolicy_IsIdempotent(&service->policy, a->method, a->path),
        .arrived = r->now,
        .deadline = r->now + budget,
        .last_worker = PH_WORKER_NONE,
        .state = PH_REQUEST_BACKOFF,
    };
    Ph_INVARIANT(PH_INVARIANT_WHOLE_ANSWER,
                 !g_hash_table_contains(r->records, &record->id),
                 "request=%lu arrived twice", (unsigned long)record->id);
    g_hash_table_insert(r->records, &record->id, record);
    if (a->key.len > 0 && !record->idempotent) {
        PhClaims_Start(r, record, a->key);
    }
    else {
        PhRequests_Admit(r, record);
    }
}

/* Cancels a request whose caller has disconnected. */
static void
request_abandon(PhRequests *r, uint64_t id)
{
    PhRequestRecord *record = g_hash_table_lookup(r->records, &id);
    if (record == NULL) {
        return;
    }
    if (PhRequests_ProveOutcome(record) == PH_OUTCOME_NOT_RUN) {
        PhClaims_Release(r, record);
    }
    PhRequests_CancelAttempts(r, record, false);
    PhRequests_Finish(r, record);
    PhRequests_Note(r, PH_NOTE_CALLER_DISCONNECTED, PH_WORKER_NONE);
}

static void
record_timer_expire(PhRequests *r, PhRequestRecord *record)
{
    bool overdue = r->now >= record->deadline;
    switch (record->state) {
    case PH_REQUEST_CLAIMING:
        PhRequests_Refuse(r, record,
                          overdue ? PH_REFUSAL_DEADLINE_PASSED
                                  : PH_REFUSAL_KEY_UNCLEAR);
        break;
    case PH_REQUEST_QUEUED:
        PhRequests_Refuse(r, record, PH_REFUSAL_DEADLINE_PASSED);
        break;
    case PH_REQUEST_BACKOFF:
        if (overdue) {
            PhRequests_Refuse(r, record, PH_REFUSAL_DEADLINE_PASSED);
            break;
        }
        PhAdmission_Enqueue(r, record, true);
        PhRequests_SetTimer(r, record, record->deadline);
        break;
    case PH_REQUEST_IN_FLIGHT:
        if (overdue) {
            PhRequests_CancelAttempts(r, record, true);
            PhRequests_Refuse(r, record, PH_REFUSAL_DEADLINE_IN_FLIGHT);
            break;
        }
        PhDispatch_Hedge(r, record);
        break;
    }
}

static void
timers_expire(PhRequests *r)
{
    while (!g_sequence_is_empty(r->timers)) {
        PhRequestRecord *first =
            g_sequence_get(g_sequence_get_begin_iter(r->timers));
        if (first->timer_at > r->now) {
            return;
        }
        record_timer_expire(r, first);
    }
}

/* Repeated stop events have no effect. */
static void
drain_start(PhRequests *r)
{
    if (r->phase == PH_DRAIN_RUNNING) {
        r->phase = PH_DRAIN_NOTICE;
        r->notice_ends = r->now + r->options.drain_notice;
    }
}

/* Advances the drain phase when its condition is met. */
static void
drain_advance(PhRequests *r)
{
    if (r->phase == PH_DRAIN_NOTICE && r->now >= r->notice_ends) {
        r->phase = PH_DRAIN_FINISHING;
        PhRequests_Emit(r, (PhRequestsAction){.tag = PH_REQUESTS_QUIESCE});
    }
    if (r->phase == PH_DRAIN_FINISHING && g_hash_table_size(r->records) == 0 &&
        g_hash_table_size(r->attempts) == 0) {
        r->phase = PH_DRAIN_DONE;
        Ph_INVARIANT(PH_INVARIANT_GRACEFUL_STOP,
                     g_sequence_is_empty(r->timers), "timers=%d",
                     g_sequence_get_length(r->timers));
        PhRequests_Emit(r, (PhRequestsAction){.tag = PH_REQUESTS_DRAINED});
    }
}

/* The members share the workers' connections and store idempotency keys. */
static void
members_set(PhRequests *r, const PhKeyMember *rows, size_t count)
{
    PhKeys_SetMembers(r->keys, rows, count, r->now);
    const GPtrArray *members = PhKeys_Members(r->keys);
    PhStr *ids = g_new(PhStr, members->len);
    for (guint i = 0; i < members->len; i++) {
        ids[i] = *(const PhStr *)g_ptr_array_index(members, i);
    }
    PhRouter_SetInstances(r->router, ids, members->len);
    g_free(ids);
}

/* The key table needs the current time, which comes with the first event. */
static void
keys_create_once(PhRequests *r)
{
    if (r->keys == NULL) {
        PhTime window = r->options.key_window;
        if (window == 0) {
            window = PH_KEY_WINDOW_MS * PH_NS_PER_MS;
        }
        r->keys = PhKeys_Create(r->options.instance, window, r->now);
    }
}

static void
event_apply(PhRequests *r, const PhRequestsEvent *event)
{
    switch (event->tag) {
    case PH_REQUESTS_ARRIVED:
        request_arrive(r, &event->as.arrived);
        break;
    case PH_REQUESTS_REPLIED:
        PhReply_Handle(r, &event->as.replied);
        break;
    case PH_REQUESTS_CALLER_DISCONNECTED:
        request_abandon(r, event->as.caller_disconnected);
        break;
    case PH_REQUESTS_WORKERS:
        PhRouter_SetWorkers(r->router, event->as.workers.rows,
                            event->as.workers.count);
        break;
    case PH_REQUESTS_POLICIES:
        PhAdmission_SetPolicies(r, &event->as.policies);
        break;
    case PH_REQUESTS_MEMBERS:
        members_set(r, event->as.members.rows, event->as.members.count);
        break;
    case PH_REQUESTS_CLAIM_REPLIED:
        PhClaims_Replied(r, &event->as.claim_replied);
        break;
    case PH_REQUESTS_CLAIM_RECEIVED:
        PhClaims_Asked(r, &event->as.claim);
        break;
    case PH_REQUESTS_CLAIM_RELEASED:
        PhClaims_Released(r, &event->as.claim);
        break;
    case PH_REQUESTS_TIMER:
        break;
    case PH_REQUESTS_STOP:
        drain_start(r);
        break;
    }
}

/* Applies one event, runs expired timers and dispatches queued requests. */
void
PhRequests_Handle(PhRequests *r, const PhRequestsEvent *event, PhTime now,
                  GArray *actions)
{
    r->now = now;
    r->actions = actions;
    g_ptr_array_set_size(r->action_strings, 0);
    keys_create_once(r);
    PhRouter_EndCooldowns(r->router, now);
    event_apply(r, event);
    timers_expire(r);
    PhDispatch_Run(r);
    drain_advance(r);
}
