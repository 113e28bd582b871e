#include "peridothill/common/invariant.h"
#include "requests_internal.h"

enum {
    QUEUE_LIMIT = 1024,            /* per service */
    INITIAL_COST_NS = 10 * 1000000 /* before the first latency sample */
};

static PhTeamShare *
team_find(PhRequests *r, PhStr name)
{
    for (guint i = 0; i < r->teams->len; i++) {
        PhTeamShare *team = g_ptr_array_index(r->teams, i);
        if (PhStr_Equal(team->name, name)) {
            return team;
        }
    }
    PhTeamShare *team = g_new0(PhTeamShare, 1);
    team->name = PhStr_Dup(name);
    g_ptr_array_add(r->teams, team);
    return team;
}

/* Also finds a service that the current policies no longer name. */
static PhService *
service_find(const PhRequests *r, PhStr name)
{
    for (guint i = 0; i < r->services->len; i++) {
        PhService *service = g_ptr_array_index(r->services, i);
        if (PhStr_Equal(service->policy.name, name)) {
            return service;
        }
    }
    return NULL;
}

/* Refuses the queued requests of a service removed from the configuration. */
static void
service_refuse_queue(PhRequests *r, PhService *service)
{
    while (!g_queue_is_empty(&service->queue)) {
        PhRequests_Refuse(r, g_queue_peek_head(&service->queue),
                          PH_REFUSAL_NO_SERVICE);
    }
}

/* Requests already queued stay in the queue and move to the service's current
 * team. */
static void
service_configure(PhRequests *r, const PhServicePolicy *policy)
{
    PhService *service = service_find(r, policy->name);
    if (service == NULL) {
        service = g_new0(PhService, 1);
        g_queue_init(&service->queue);
        service->pool = PhRouter_Pool(r->router, policy->name);
        g_ptr_array_add(r->services, service);
    }
    uint32_t waiting = g_queue_get_length(&service->queue);
    if (service->team != NULL) {
        service->team->waiting -= waiting;
    }
    PhServicePolicy_Clear(&service->policy);
    service->policy = PhServicePolicy_Copy(policy);
    service->team = team_find(r, policy->team);
    service->team->waiting += waiting;
    service->configured = true;
}

/* Replaces the whole set of policies. Services missing from the table are
 * kept, unconfigured, because requests in flight still refer to them. */
void
PhAdmission_SetPolicies(PhRequests *r, const PhPolicyTable *table)
{
    for (guint i = 0; i < r->services->len; i++) {
        PhService *service = g_ptr_array_index(r->services, i);
        service->configured = false;
    }
    for (size_t i = 0; i < table->count; i++) {
        service_configure(r, &table->rows[i]);
    }
    for (guint i = 0; i < r->services->len; i++) {
        PhService *service = g_ptr_array_index(r->services, i);
        if (!service->configured) {
            service_refuse_queue(r, service);
        }
    }
    r->has_policies = true;
}

PhService *
PhAdmission_Match(const PhRequests *r, PhStr path)
{
    PhService *best = NULL;
    for (guint i = 0; i < r->services->len; i++) {
        PhService *service = g_ptr_array_index(r->services, i);
        if (service->configured &&
            PhServicePolicy_Covers(&service->policy, path) &&
            (best == NULL ||
             service->policy.prefix.len > best->policy.prefix.len)) {
            best = service;
        }
    }
    return best;
}

void
PhAdmission_Destroy(PhRequests *r)
{
    for (guint i = 0; i < r->services->len; i++) {
        PhService *service = g_ptr_array_index(r->services, i);
        PhServicePolicy_Clear(&service->policy);
        g_free(service);
    }
    for (guint i = 0; i < r->teams->len; i++) {
        PhTeamShare *team = g_ptr_array_index(r->teams, i);
        PhStr_Clear(&team->name);
        g_free(team);
    }
    g_ptr_array_free(r->services, TRUE);
    g_ptr_array_free(r->teams, TRUE);
}

/* Queues a request, at the head when `first` is set. A service or team that
 * becomes active starts at the current virtual time, so it gets its share at
 * once but no credit for the time it was idle. */
bool
PhAdmission_Enqueue(PhRequests *r, PhRequestRecord *record, bool first)
{
    PhService *service = record->service;
    PhTeamShare *team = service->team;
    if (!first && g_queue_get_length(&service->queue) >= QUEUE_LIMIT) {
        return false;
    }
    if (team->waiting == 0) {
        team->virtual_time = MAX(team->virtual_time, r->team_virtual_time);
    }
    if (g_queue_is_empty(&service->queue)) {
        service->virtual_time =
            MAX(service->virtual_time, team->service_virtual_time);
        service->dispatched_at = r->now;
    }
    record->state = PH_REQUEST_QUEUED;
    record->link = (GList){.data = record};
    if (first) {
        g_queue_push_head_link(&service->queue, &record->link);
    }
    else {
        g_queue_push_tail_link(&service->queue, &record->link);
    }
    team->waiting++;
    return true;
}

void
PhAdmission_Dequeue(PhRequests *r, PhRequestRecord *record)
{
    (void)r;
    PhService *service = record->service;
    Ph_INVARIANT(
        PH_INVARIANT_QUEUE,
        record->state == PH_REQUEST_QUEUED && service->team->waiting > 0,
        "request=%lu state=%d", (unsigned long)record->id, (int)record->state);
    g_queue_unlink(&service->queue, &record->link);
    service->team->waiting--;
}

/* Queue length times the smoothed interval between dispatches. */
PhTime
PhAdmission_ExpectedWait(const PhService *service)
{
    return (PhTime)(service->interval_ns * service->queue.length);
}

/* Returns true if `a` is to be served before `b`. */
static bool
service_before(const PhRequests *r, PhService *a, PhService *b)
{
    const PhRequestRecord *head_a = g_queue_peek_head(&a->queue);
    const PhRequestRecord *head_b = g_queue_peek_head(&b->queue);
    switch (r->options.tuning.admission) {
    case PH_ADMISSION_FAIR:
        if (a->team != b->team) {
            return a->team->virtual_time < b->team->virtual_time;
        }
        return a->virtual_time < b->virtual_time;
    case PH_ADMISSION_STRICT:
        if (a->policy.service_class != b->policy.service_class) {
            return a->policy.service_class < b->policy.service_class;
        }
        return head_a->arrived < head_b->arrived;
    case PH_ADMISSION_FIFO:
        return head_a->arrived < head_b->arrived;
    }
    return false;
}

static bool
service_is_urgent(const PhService *service)
{
    return service->policy.service_class == PH_SERVICE_CLASS_LATENCY_CRITICAL;
}

/* While no urgent request is queued, a small reserve of slots is kept free for
 * the next one. While one is queued, only the shares decide. */
static bool
urgent_is_queued(const PhRequests *r)
{
    for (guint i = 0; i < r->services->len; i++) {
        const PhService *service = g_ptr_array_index(r->services, i);
        if (service_is_urgent(service) && service->queue.length > 0) {
            return true;
        }
    }
    return false;
}

/* Skips services whose workers are all busy, so that they do not block the
 * others. */
PhRequestRecord *
PhAdmission_Next(PhRequests *r)
{
    PhService *best = NULL;
    bool use_reserve = urgent_is_queued(r);
    for (guint i = 0; i < r->services->len; i++) {
        PhService *service = g_ptr_array_index(r->services, i);
        if (service->queue.length > 0 &&
            PhRouter_HasCapacity(r->router, service->pool, use_reserve) &&
            (best == NULL || service_before(r, service, best))) {
            best = service;
        }
    }
    return best == NULL ? NULL : g_queue_peek_head(&best->queue);
}

/* Advances the virtual time of a service and its team by the expected cost of
 * one request divided by their weights. */
void
PhAdmission_Charge(PhRequests *r, PhService *service)
{
    const double interval_weight = 0.05;
    PhTeamShare *team = service->team;
    PhTime mean = PhRouter_MeanLatency(r->router, service->pool);
    double cost = (double)(mean > 0 ? mean : INITIAL_COST_NS);
    r->team_virtual_time = MAX(r->team_virtual_time, team->virtual_time);
    team->service_virtual_time =
        MAX(team->service_virtual_time, service->virtual_time);
    team->virtual_time += cost / service->policy.team_share;
    service->virtual_time += cost / service->policy.share;
    double gap = (double)(r->now - service->dispatched_at);
    service->interval_ns += interval_weight * (gap - service->interval_ns);
    service->dispatched_at = r->now;
}
