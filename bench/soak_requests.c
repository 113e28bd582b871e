/* Requests soak run: instances that route, retry, claim keys from each other,
 * stop and die, under every fault that affects callers. */
#include "soak_requests.h"

#include "peridothill/common/invariant.h"

#define MS PH_NS_PER_MS
#define S PH_NS_PER_S
#define VIEW_INTERVAL_NS (1 * S)
#define SERVICE_MEAN_NS (20 * MS)
#define ARRIVAL_MEAN_NS (25 * MS)
#define DEAD_AFTER_NS (5 * S)
#define DRAIN_NOTICE_NS (1 * S)

enum {
    SLOTS = 8,
    CONNECTIONS = 60,
    KEYS_RECENT = 40, /* a key may be reused from this many latest requests */
};

/* Message between instances about a key. */
typedef struct PhSoakClaim {
    PhRequestsEventTag tag;
    uint64_t request;
    PhKeyVerdict verdict;
    char *key;
    char *from;
} PhSoakClaim;

static void
claim_clear(gpointer data)
{
    PhSoakClaim *claim = data;
    g_free(claim->key);
    g_free(claim->from);
}

static void
request_destroy(gpointer data)
{
    PhSoakRequest *r = data;
    g_free(r->key);
    g_free(r);
}

static void
claim_send(PhSoakRequests *s, uint32_t from, PhRequestsEventTag tag,
           const PhClaimAction *action)
{
    for (uint32_t to = 1; to <= SOAK_REQUESTS_NODES; to++) {
        if (!PhStr_Equal(PhStr_FromC(s->nodes[to].id), action->member)) {
            continue;
        }
        PhSoakClaim *claim = g_rc_box_new0(PhSoakClaim);
        claim->tag = tag;
        claim->request = action->request;
        claim->verdict = action->verdict;
        claim->key = PhStr_ToC(action->key);
        claim->from = g_strdup(s->nodes[from].id);
        PhFakeNet_Send(s->net, from, to, 0, claim);
    }
}

/* Returns true once the instance has drained. */
static bool
action_apply(PhSoakRequests *s, uint32_t node, const PhRequestsAction *a)
{
    switch (a->tag) {
    case PH_REQUESTS_SEND:
        PhSoakWorkers_Send(s, node, &a->as.send);
        break;
    case PH_REQUESTS_ANSWER:
        PhSoakChecks_Answer(s, node, a->as.answer);
        break;
    case PH_REQUESTS_REFUSE:
        PhSoakChecks_Refuse(s, node, &a->as.refuse);
        break;
    case PH_REQUESTS_CANCEL:
        PhSoakWorkers_Cancel(s, node, a->as.cancel);
        break;
    case PH_REQUESTS_CLAIM:
        claim_send(s, node, PH_REQUESTS_CLAIM_RECEIVED, &a->as.claim);
        break;
    case PH_REQUESTS_CLAIM_ANSWER:
        claim_send(s, node, PH_REQUESTS_CLAIM_REPLIED, &a->as.claim);
        break;
    case PH_REQUESTS_CLAIM_RELEASE:
        claim_send(s, node, PH_REQUESTS_CLAIM_RELEASED, &a->as.claim);
        break;
    case PH_REQUESTS_DRAINED:
        PhSoakChecks_Drained(s, node);
        return true;
    case PH_REQUESTS_QUIESCE:
    case PH_REQUESTS_NOTE:
        break;
    }
    return false;
}

void
PhSoakRequests_Kill(PhSoakRequests *s, uint32_t node)
{
    PhSoakInstance *e = &s->nodes[node];
    PhFakeNet_Crash(s->net, node);
    PhRequests_Destroy(g_steal_pointer(&e->requests));
    g_hash_table_remove_all(e->open);
    e->dead_since = PhFakeNet_Now(s->net);
}

void
PhSoakRequests_HandleEvent(PhSoakRequests *s, uint32_t node,
                           const PhRequestsEvent *event)
{
    PhSoakInstance *e = &s->nodes[node];
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(PhRequestsAction));
    bool drained = false;
    PhRequests_Handle(e->requests, event, PhFakeNet_Now(s->net), actions);
    for (guint i = 0; i < actions->len; i++) {
        drained |= action_apply(s, node,
                                &g_array_index(actions, PhRequestsAction, i));
    }
    g_array_free(actions, TRUE);
    if (drained) {
        PhSoakRequests_Kill(s, node);
        return;
    }
    e->timer++;
    PhTime next = PhRequests_NextTimer(e->requests);
    if (next != PH_TIME_NEVER) {
        PhFakeNet_SetTimer(s->net, node,
                           e->timer * SOAK_REQUESTS_KINDS + SOAK_REQUESTS_WAKE,
                           next);
    }
}

static void
node_configure(PhSoakRequests *s, uint32_t node)
{
    PhServicePolicy rows[SOAK_REQUESTS_SERVICES] = {
        PhServicePolicy_Default(PhStr_LITERAL("quote")),
        PhServicePolicy_Default(PhStr_LITERAL("booking")),
        PhServicePolicy_Default(PhStr_LITERAL("report"))};
    static const char *const prefixes[SOAK_REQUESTS_SERVICES] = {
        "/quote", "/booking", "/report"};
    for (int i = 0; i < SOAK_REQUESTS_SERVICES; i++) {
        rows[i].prefix = PhStr_FromC(prefixes[i]);
        rows[i].deadline = 2 * S;
        rows[i].retry_percent = 20;
    }
    rows[0].hedge_after = 200 * MS;
    rows[2].service_class = PH_SERVICE_CLASS_BACKGROUND;
    PhSoakRequests_HandleEvent(
        s, node,
        &(PhRequestsEvent){.tag = PH_REQUESTS_POLICIES,
                           .as.policies = {1, rows, SOAK_REQUESTS_SERVICES}});
}

static void
node_update_list(PhSoakRequests *s, uint32_t node)
{
    static const char *const centres[SOAK_REQUESTS_CENTRES] = {
        "windhoek-a", "windhoek-b", "okahandja"};
    PhWorkerRow rows[SOAK_REQUESTS_WORKERS];
    char ids[SOAK_REQUESTS_WORKERS][8];
    s->nodes[node].listed_leaving = 0;
    for (uint32_t k = 0; k < SOAK_REQUESTS_WORKERS; k++) {
        g_snprintf(ids[k], sizeof(ids[k]), "w%u", k);
        rows[k] = (PhWorkerRow){
            .id = PhStr_FromC(ids[k]),
            .address = PhStr_LITERAL("10.0.0.1:80"),
            .data_centre = PhStr_FromC(centres[k % SOAK_REQUESTS_CENTRES]),
            .services = PhStr_LITERAL("quote booking report"),
            .slots = SLOTS,
            .connections = CONNECTIONS,
            .leaving = s->workers[k].leaving};
        s->nodes[node].listed_leaving |= (uint32_t)rows[k].leaving << k;
    }
    PhSoakRequests_HandleEvent(
        s, node,
        &(PhRequestsEvent){.tag = PH_REQUESTS_WORKERS,
                           .as.workers = {rows, SOAK_REQUESTS_WORKERS}});
}

/* An instance no longer reaches another after a partition, or DEAD_AFTER_NS
 * after its death. */
static bool
node_reaches(const PhSoakRequests *s, uint32_t node, uint32_t other)
{
    const PhSoakInstance *e = &s->nodes[other];
    bool cut = PhFakeNet_Link(s->net, node % SOAK_REQUESTS_CENTRES,
                              other % SOAK_REQUESTS_CENTRES)
                   ->cut;
    bool dead = e->requests == NULL &&
                PhFakeNet_Now(s->net) - e->dead_since > DEAD_AFTER_NS;
    return node == other || (!cut && !dead);
}

/* Passes on the members, and the worker list unless the store is down. */
static void
node_update_view(PhSoakRequests *s, uint32_t node)
{
    PhKeyMember rows[SOAK_REQUESTS_NODES];
    PhFakeNet_SetTimer(s->net, node, SOAK_REQUESTS_VIEW,
                       PhFakeNet_Now(s->net) + VIEW_INTERVAL_NS);
    for (uint32_t i = 0; i < SOAK_REQUESTS_NODES; i++) {
        rows[i] = (PhKeyMember){.id = PhStr_FromC(s->nodes[i + 1].id),
                                .reachable = node_reaches(s, node, i + 1)};
    }
    if (!s->store_down) {
        node_update_list(s, node);
    }
    if (s->nodes[node].requests != NULL) {
        PhSoakRequests_HandleEvent(
            s, node,
            &(PhRequestsEvent){.tag = PH_REQUESTS_MEMBERS,
                               .as.members = {rows, SOAK_REQUESTS_NODES}});
    }
}

void
PhSoakRequests_Start(PhSoakRequests *s, uint32_t node)
{
    PhSoakInstance *e = &s->nodes[node];
    e->generation = ++s->generation;
    e->requests = PhRequests_Create(
        &(PhRequestsOptions){.instance = PhStr_FromC(e->id),
                             .data_centre = PhStr_LITERAL("windhoek-a"),
                             .seed = s->run->seed + e->generation,
                             .drain_notice = DRAIN_NOTICE_NS,
                             .tuning = PhRequestsTuning_Default()});
    node_configure(s, node);
    PhFakeNet_SetTimer(s->net, node, SOAK_REQUESTS_VIEW,
                       PhFakeNet_Now(s->net));
}

/* Returns a new key, a recent one, or NULL for a booking without a key. */
static char *
key_draw(PhSoakRequests *s)
{
    uint64_t count = s->requests->len;
    if (count > KEYS_RECENT && PhRandom_Chance(s->random, 0.3)) {
        uint64_t back = 1 + PhRandom_Below(s->random, KEYS_RECENT);
        const PhSoakRequest *r = g_ptr_array_index(s->requests, count - back);
        return g_strdup(r->key);
    }
    return PhRandom_Chance(s->random, 0.8)
               ? g_strdup_printf("k%" G_GUINT64_FORMAT, count)
               : NULL;
}

/* A request to an instance that does not run is dropped. */
static void
request_arrive(PhSoakRequests *s, uint32_t service)
{
    static const char *const paths[SOAK_REQUESTS_SERVICES] = {
        "/quote/a", "/booking/a", "/report/a"};
    uint32_t node =
        1 + (uint32_t)PhRandom_Below(s->random, SOAK_REQUESTS_NODES);
    PhSoakInstance *e = &s->nodes[node];
    if (e->requests == NULL) {
        return;
    }
    PhSoakRequest *r = g_new0(PhSoakRequest, 1);
    r->id = s->requests->len + 1;
    r->node = node;
    r->idempotent = service != 1;
    r->arrived = PhFakeNet_Now(s->net);
    r->key = r->idempotent ? NULL : key_draw(s);
    g_ptr_array_add(s->requests, r);
    g_hash_table_insert(e->open, &r->id, r);
    PhSoakRequests_HandleEvent(
        s, node,
        &(PhRequestsEvent){
            .tag = PH_REQUESTS_ARRIVED,
            .as.arrived = {.id = r->id,
                           .method = r->idempotent ? PhStr_LITERAL("GET")
                                                   : PhStr_LITERAL("POST"),
                           .path = PhStr_FromC(paths[service]),
                           .key = r->key != NULL ? PhStr_FromC(r->key)
                                                 : (PhStr){0}}});
}

static void
arrival_handle(PhSoakRequests *s, uint32_t service)
{
    double mean =
        (double)ARRIVAL_MEAN_NS * SOAK_REQUESTS_SERVICES / s->rates[service];
    request_arrive(s, service);
    PhFakeNet_SetTimer(s->net, SOAK_REQUESTS_DRIVER,
                       service * SOAK_REQUESTS_KINDS + SOAK_REQUESTS_ARRIVE,
                       PhFakeNet_Now(s->net) + 1 +
                           (PhTime)PhRandom_Exponential(s->random, mean));
}

static void
plan_advance(PhSoakRequests *s)
{
    PhFaultChange change;
    while (PhFaultPlan_Next(s->plan, PhFakeNet_Now(s->net), &change)) {
        switch (change.kind) {
        case PH_FAULT_BEGIN:
        case PH_FAULT_END:
            PhSoakRequests_SetFault(s, &change);
            break;
        case PH_FAULT_SETTLED:
            PhSoakChecks_Settled(s);
            break;
        }
    }
    PhFakeNet_SetTimer(s->net, SOAK_REQUESTS_DRIVER, SOAK_REQUESTS_PLAN,
                       PhFaultPlan_Due(s->plan));
}

static void
claim_deliver(PhSoakRequests *s, uint32_t node, const PhSoakClaim *claim)
{
    PhRequestsEvent event = {.tag = claim->tag};
    if (claim->tag == PH_REQUESTS_CLAIM_REPLIED) {
        event.as.claim_replied = (PhClaimReply){.request = claim->request,
                                                .verdict = claim->verdict};
    }
    else {
        event.as.claim = (PhClaimRequest){.member = PhStr_FromC(claim->from),
                                          .key = PhStr_FromC(claim->key),
                                          .request = claim->request};
    }
    PhSoakRequests_HandleEvent(s, node, &event);
}

/* Delivers a reply once, and only to the process that sent the attempt. */
static void
reply_deliver(PhSoakRequests *s, uint32_t node, uint64_t number)
{
    PhSoakAttempt *a = g_ptr_array_index(s->attempts, number);
    if (a->replied || a->generation != s->nodes[node].generation) {
        return;
    }
    a->replied = true;
    PhSoakRequests_HandleEvent(s, node,
                               &(PhRequestsEvent){.tag = PH_REQUESTS_REPLIED,
                                                  .as.replied = a->reply});
}

static void
event_handle(void *context, const PhFakeEvent *event)
{
    PhSoakRequests *s = context;
    uint64_t kind = event->token % SOAK_REQUESTS_KINDS;
    uint64_t number = event->token / SOAK_REQUESTS_KINDS;
    if (event->to == SOAK_REQUESTS_DRIVER) {
        if (kind == SOAK_REQUESTS_EXECUTE) {
            PhSoakWorkers_Execute(s, number);
        }
        else if (kind == SOAK_REQUESTS_ARRIVE) {
            arrival_handle(s, (uint32_t)number);
        }
        else {
            plan_advance(s);
        }
    }
    else if (s->nodes[event->to].requests == NULL) {
        return;
    }
    else if (event->kind == PH_FAKE_MESSAGE) {
        claim_deliver(s, event->to, event->body);
    }
    else if (kind == SOAK_REQUESTS_VIEW) {
        node_update_view(s, event->to);
    }
    else if (kind == SOAK_REQUESTS_REPLY) {
        reply_deliver(s, event->to, number);
    }
    else if (number == s->nodes[event->to].timer) {
        PhSoakRequests_HandleEvent(
            s, event->to, &(PhRequestsEvent){.tag = PH_REQUESTS_TIMER});
    }
}

static const PhFault faults[] = {
    PH_FAULT_LOAD_SHIFT,        PH_FAULT_NOISY_TASKS,
    PH_FAULT_INSTANCE_DEATH,    PH_FAULT_PROCESS_DEATH,
    PH_FAULT_BAD_WORKER,        PH_FAULT_FLOOD_LEAST_URGENT,
    PH_FAULT_FLOOD_MOST_URGENT, PH_FAULT_STORE_DOWN,
    PH_FAULT_LOST_ANSWERS,      PH_FAULT_PAUSED_HOLDER,
    PH_FAULT_SILENT_CONNECTION, PH_FAULT_PARTITION,
};

static void
nodes_create(PhSoakRequests *s)
{
    for (uint32_t k = 0; k < SOAK_REQUESTS_WORKERS; k++) {
        s->workers[k].slots = PhFakeWorker_Create(
            &(PhFakeWorkerOptions){.seed = s->run->seed + k,
                                   .slots = SLOTS,
                                   .service_mean = SERVICE_MEAN_NS,
                                   .service_fixed_share = 0.3});
    }
    for (uint32_t i = 1; i <= SOAK_REQUESTS_NODES; i++) {
        g_snprintf(s->nodes[i].id, sizeof(s->nodes[i].id), "e%u", i);
        s->nodes[i].open = g_hash_table_new(g_int64_hash, g_int64_equal);
        PhFakeNet_SetGroup(s->net, i, i % SOAK_REQUESTS_CENTRES);
    }
    PhSoakLinks_Set(s->net, SOAK_REQUESTS_CENTRES, 4 * MS, MS, 0.01);
    for (uint32_t i = 1; i <= SOAK_REQUESTS_NODES; i++) {
        PhSoakRequests_Start(s, i);
    }
}

static void
requests_create(PhSoakRequests *s)
{
    s->net =
        PhFakeNet_Create(s->run->seed, SOAK_REQUESTS_NODES + 1, claim_clear);
    s->random = PhRandom_Create(s->run->seed);
    s->requests = g_ptr_array_new_with_free_func(request_destroy);
    s->attempts = g_ptr_array_new_with_free_func(g_free);
    s->by_number =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->key_runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->plan = PhFaultPlan_Create(
        &(PhFaultPlanOptions){.seed = s->run->seed,
                              .faults = faults,
                              .fault_count = G_N_ELEMENTS(faults),
                              .gap = 5 * S,
                              .length = 5 * S,
                              .settle = 40 * S});
    nodes_create(s);
    plan_advance(s);
    for (uint32_t i = 0; i < SOAK_REQUESTS_SERVICES; i++) {
        s->rates[i] = 1;
        arrival_handle(s, i);
    }
}

static void
requests_destroy(PhSoakRequests *s)
{
    for (uint32_t i = 1; i <= SOAK_REQUESTS_NODES; i++) {
        PhRequests_Destroy(s->nodes[i].requests);
        g_hash_table_destroy(s->nodes[i].open);
    }
    for (uint32_t k = 0; k < SOAK_REQUESTS_WORKERS; k++) {
        PhFakeWorker_Destroy(s->workers[k].slots);
    }
    PhFaultPlan_Destroy(s->plan);
    PhFakeNet_Destroy(s->net);
    PhRandom_Destroy(s->random);
    g_ptr_array_free(s->requests, TRUE);
    g_ptr_array_free(s->attempts, TRUE);
    g_hash_table_destroy(s->by_number);
    g_hash_table_destroy(s->key_runs);
}

static void
requests_run(PhSoakRun *run)
{
    PhSoakRequests s = {.run = run};
    requests_create(&s);
    PhSoakRun_Drive(run, s.net, s.plan, event_handle, &s);
    requests_destroy(&s);
}

const PhSoakArea PhSoak_Requests = {.name = "requests",
                                    .run = requests_run,
                                    .faults = faults,
                                    .fault_count = G_N_ELEMENTS(faults)};
