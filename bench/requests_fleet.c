#include "requests_fleet_internal.h"

#include "peridothill/common/invariant.h"

enum {
    FAILURE_MS = 1,
    STATUS_OK = 200,
    STATUS_FAILED = 503,
};

/* Event tokens: a kind in the highest bits, and a number. */
typedef enum PhTokenKind {
    TOKEN_ARRIVAL,    /* next request of a service */
    TOKEN_TIMER,      /* timer of an instance's decisions */
    TOKEN_FIRST_BYTE, /* first-byte timeout of an attempt */
    TOKEN_ATTEMPT,    /* attempt arrives at its worker */
    TOKEN_SERVED,     /* worker has finished an attempt */
    TOKEN_ANSWER,     /* answer arrives at the instance */
} PhTokenKind;

enum {
    TOKEN_SHIFT = 56,
    INSTANCE_SHIFT = 48, /* of TOKEN_SERVED */
};

static const char *const service_paths[PH_FLEET_SERVICES] = {"/quote", "/plan",
                                                             "/log"};

static uint64_t
token_make(PhTokenKind kind, uint64_t number)
{
    return ((uint64_t)kind << TOKEN_SHIFT) | number;
}

static PhFleetRequest *
request_at(const PhFleet *f, uint64_t id)
{
    return &g_array_index(f->requests, PhFleetRequest, id - 1);
}

static PhFleetAttempt *
attempt_at(const PhEntryInstance *n, uint64_t number)
{
    return &g_array_index(n->attempts, PhFleetAttempt, number - 1);
}

/* Takes an idle connection or opens a new one; at the connection limit an idle
 * one is closed first. */
static void
connection_acquire(PhFleet *f, PhEntryInstance *n, PhFleetAttempt *a,
                   bool fresh)
{
    uint32_t w = a->worker;
    uint32_t cap = PhRouter_ConnectionCap(PhRequests_Router(n->requests), w);
    a->connected = true;
    if (n->idle[w] > 0 && (!fresh || n->idle[w] + n->in_use[w] >= cap)) {
        bool silent = PhRandom_Below(f->random, n->idle[w]) < n->silent[w];
        n->idle[w]--;
        n->silent[w] -= silent;
        a->silent = silent && !fresh;
        a->reused = !fresh;
    }
    n->in_use[w]++;
    uint32_t sum = 0;
    for (uint32_t i = 0; i < f->options.instances; i++) {
        sum += f->instances[i].idle[w] + f->instances[i].in_use[w];
    }
    f->connections_max = MAX(f->connections_max, sum);
}

/* Returns a connection to the idle ones, or closes it if it is not
 * reusable. */
static void
connection_release(PhEntryInstance *n, PhFleetAttempt *a, bool reusable)
{
    if (a->connected) {
        a->connected = false;
        n->in_use[a->worker]--;
        n->idle[a->worker] += reusable;
    }
}

/* Reports the end of an attempt to the decisions, once. */
static void
attempt_end(PhFleet *f, uint32_t number, uint64_t attempt, PhAttemptEnd end,
            int status)
{
    PhEntryInstance *n = &f->instances[number];
    PhFleetAttempt *a = attempt_at(n, attempt);
    connection_release(n, a, end == PH_ATTEMPT_END_ANSWERED);
    if (!a->open) {
        return;
    }
    a->open = false;
    PhRequestsEvent event = {.tag = PH_REQUESTS_REPLIED,
                             .as.replied = {.attempt = attempt,
                                            .end = end,
                                            .status = status,
                                            .reused = a->reused}};
    PhFleet_HandleEvent(f, number, &event);
}

static void
attempt_send(PhFleet *f, uint32_t number, const PhSend *send)
{
    PhEntryInstance *n = &f->instances[number];
    PhFleetAttempt attempt = {
        .request = send->request, .worker = send->worker, .open = true};
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION,
                 send->attempt == n->attempts->len + 1, "attempt=%lu",
                 (unsigned long)send->attempt);
    connection_acquire(f, n, &attempt, send->fresh_connection);
    g_array_append_val(n->attempts, attempt);
    request_at(f, send->request)->attempts++;
    if (send->first_byte != PH_TIME_NEVER) {
        PhFakeNet_SetTimer(f->net, number,
                           token_make(TOKEN_FIRST_BYTE, send->attempt),
                           send->first_byte);
    }
    if (!attempt.silent) {
        PhFakeNet_Send(f->net, number, worker_endpoint(f, send->worker),
                       token_make(TOKEN_ATTEMPT, send->attempt), NULL);
    }
}

static void
request_end(PhFleet *f, uint64_t id, PhFleetEnd end)
{
    PhFleetRequest *request = request_at(f, id);
    request->end = end;
    request->ended = PhFakeNet_Now(f->net);
}

/* Carries out one action; attempts to cancel are only collected. */
static void
action_apply(PhFleet *f, uint32_t number, const PhRequestsAction *a,
             const PhRequestsEvent *event, GArray *cancelled)
{
    switch (a->tag) {
    case PH_REQUESTS_SEND:
        attempt_send(f, number, &a->as.send);
        break;
    case PH_REQUESTS_ANSWER:
        request_end(f, a->as.answer,
                    event->as.replied.status == STATUS_OK ? PH_FLEET_ANSWERED
                                                          : PH_FLEET_FAILED);
        break;
    case PH_REQUESTS_REFUSE:
        request_end(f, a->as.refuse.request,
                    a->as.refuse.outcome == PH_OUTCOME_NOT_RUN
                        ? PH_FLEET_NOT_RUN
                        : PH_FLEET_UNKNOWN);
        break;
    case PH_REQUESTS_CANCEL:
        g_array_append_val(cancelled, a->as.cancel);
        break;
    case PH_REQUESTS_CLAIM:
    case PH_REQUESTS_CLAIM_ANSWER:
    case PH_REQUESTS_CLAIM_RELEASE:
    case PH_REQUESTS_QUIESCE:
    case PH_REQUESTS_DRAINED:
    case PH_REQUESTS_NOTE:
        break;
    }
}

/* Sets the timer of an instance's decisions unless one as early is set. */
static void
timer_set(PhFleet *f, uint32_t number)
{
    PhEntryInstance *n = &f->instances[number];
    PhTime next = PhRequests_NextTimer(n->requests);
    if (next < n->timer_at) {
        n->timer_at = next;
        PhFakeNet_SetTimer(f->net, number, token_make(TOKEN_TIMER, 0), next);
    }
}

void
PhFleet_HandleEvent(PhFleet *f, uint32_t number, const PhRequestsEvent *event)
{
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(PhRequestsAction));
    GArray *cancelled = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    PhRequests_Handle(f->instances[number].requests, event,
                      PhFakeNet_Now(f->net), actions);
    for (guint i = 0; i < actions->len; i++) {
        action_apply(f, number, &g_array_index(actions, PhRequestsAction, i),
                     event, cancelled);
    }
    for (guint i = 0; i < cancelled->len; i++) {
        attempt_end(f, number, g_array_index(cancelled, uint64_t, i),
                    PH_ATTEMPT_END_CANCELLED, 0);
    }
    g_array_free(actions, TRUE);
    g_array_free(cancelled, TRUE);
    timer_set(f, number);
}

static void
request_arrive(PhFleet *f, uint32_t service)
{
    const PhFleetService *s = &f->options.services[service];
    PhFleetRequest request = {
        .arrived = PhFakeNet_Now(f->net),
        .instance = (uint32_t)PhRandom_Below(f->random, f->options.instances),
        .service = (uint8_t)service,
        .idempotent = !PhRandom_Chance(f->random, s->unsafe)};
    g_array_append_val(f->requests, request);
    PhRequestsEvent event = {
        .tag = PH_REQUESTS_ARRIVED,
        .as.arrived = {.id = f->requests->len,
                       .method = request.idempotent ? PhStr_LITERAL("GET")
                                                    : PhStr_LITERAL("POST"),
                       .path = PhStr_FromC(service_paths[service])}};
    PhFleet_HandleEvent(f, request.instance, &event);
}

void
PhFleet_ScheduleArrival(PhFleet *f, uint32_t service)
{
    double rate = f->options.services[service].rate;
    if (rate > 0.0) {
        double wait =
            PhRandom_Exponential(f->random, (double)PH_NS_PER_S / rate);
        PhFakeNet_SetTimer(f->net, 0, token_make(TOKEN_ARRIVAL, service),
                           PhFakeNet_Now(f->net) + (PhTime)wait);
    }
}

static void
attempt_execute(PhFleet *f, uint32_t worker, uint32_t instance,
                uint64_t attempt)
{
    PhFleetAttempt *a = attempt_at(&f->instances[instance], attempt);
    PhFleetRequest *request = request_at(f, a->request);
    PhTime now = PhFakeNet_Now(f->net);
    PhTime end = now;
    request->executions++;
    switch (f->faults[worker]) {
    case PH_FLEET_HEALTHY:
        PhFakeWorker_Options(f->workers[worker])->service_mean =
            f->options.services[request->service].service_mean;
        end = PhFakeWorker_Serve(f->workers[worker], now, NULL);
        break;
    case PH_FLEET_FAILS:
        end += FAILURE_MS * PH_NS_PER_MS;
        break;
    case PH_FLEET_HANGS:
        return;
    }
    PhFakeNet_SetTimer(
        f->net, worker_endpoint(f, worker),
        token_make(TOKEN_SERVED,
                   ((uint64_t)instance << INSTANCE_SHIFT) | attempt),
        end);
}

static void
event_handle(PhFleet *f, const PhFakeEvent *e)
{
    uint64_t number = e->token & ((UINT64_C(1) << TOKEN_SHIFT) - 1);
    uint32_t worker = e->to - f->options.instances;
    switch ((PhTokenKind)(e->token >> TOKEN_SHIFT)) {
    case TOKEN_ARRIVAL:
        request_arrive(f, (uint32_t)number);
        PhFleet_ScheduleArrival(f, (uint32_t)number);
        break;
    case TOKEN_TIMER:
        f->instances[e->to].timer_at = PH_TIME_NEVER;
        PhFleet_HandleEvent(f, e->to,
                            &(PhRequestsEvent){.tag = PH_REQUESTS_TIMER});
        break;
    case TOKEN_FIRST_BYTE:
        if (attempt_at(&f->instances[e->to], number)->open) {
            attempt_end(f, e->to, number, PH_ATTEMPT_END_FIRST_BYTE, 0);
        }
        break;
    case TOKEN_ATTEMPT:
        attempt_execute(f, worker, e->from, number);
        break;
    case TOKEN_SERVED:
        PhFakeNet_Send(
            f->net, e->to, (uint32_t)(number >> INSTANCE_SHIFT),
            token_make(TOKEN_ANSWER,
                       number & ((UINT64_C(1) << INSTANCE_SHIFT) - 1)),
            NULL);
        break;
    case TOKEN_ANSWER:
        worker = e->from - f->options.instances;
        attempt_end(f, e->to, number, PH_ATTEMPT_END_ANSWERED,
                    f->faults[worker] == PH_FLEET_FAILS ? STATUS_FAILED
                                                        : STATUS_OK);
        break;
    }
}

void
PhFleet_Run(PhFleet *fleet, PhTime until)
{
    PhFakeEvent event;
    while (PhFakeNet_Next(fleet->net, until, &event)) {
        event_handle(fleet, &event);
    }
}
