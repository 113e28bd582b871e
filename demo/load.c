#include "peridothill/demo/load.h"

#include <inttypes.h>

#include "peridothill/codec/json.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"

enum {
    MAILBOX_CAPACITY = 4096,
    TICK_TIMER = 1,
    ANSWER_LIMIT_BYTES = 64 * 1024,
    STATUS_OK = 200,
    /* One request in this many is a charge, which must not run twice. */
    REQUESTS_PER_CHARGE = 3,
};

static const PhTime CALLER_DEADLINE = 5 * PH_NS_PER_S;

typedef struct PhLoadCounts {
    uint64_t sent;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t lost; /* without an answer, because the instance was killed */
} PhLoadCounts;

/* A caller's request, kept to the end for PhLoad_CheckRuns. */
typedef struct PhCallerRequest {
    uint64_t id;
    PhStr key; /* sent as X-Request-Id, and for a charge as Idempotency-Key */
    bool charge;
    bool open;
    bool retried; /* sent again after an unknown outcome */
    bool may_have_run;
    int instance;
    bool killed; /* its instance was killed while it was open */
} PhCallerRequest;

struct PhLoad {
    PhTask *self;
    PhDemoCluster *cluster;
    PhVerdicts *verdicts;
    PhTime interval;
    GPtrArray *requests; /* PhCallerRequest, owned, by id */
    size_t in_flight;
    int next_instance;
    PhLoadCounts counts;
    GHashTable *reasons; /* number of refusals by PhStr reason */
};

static void
request_destroy(gpointer value)
{
    PhCallerRequest *r = value;
    PhStr_Clear(&r->key);
    g_free(r);
}

/* Round robin, as a load balancer does; -1 if no instance is ready. */
static int
pick_instance(PhLoad *l)
{
    for (int i = 0; i < PH_DEMO_INSTANCES; i++) {
        int index = (l->next_instance + i) % PH_DEMO_INSTANCES;
        if (PhDemoCluster_InstanceTakesWork(l->cluster, index)) {
            l->next_instance = index + 1;
            return index;
        }
    }
    return -1;
}

static void
request_send(PhLoad *l, PhCallerRequest *r, int instance)
{
    r->instance = instance;
    r->killed = false;
    r->open = true;
    l->in_flight++;
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {
            .id = r->id,
            .method = PhStr_Dup(r->charge ? PhStr_LITERAL("POST")
                                          : PhStr_LITERAL("GET")),
            .address =
                PhStr_Dup(PhDemoCluster_CallersAddress(l->cluster, instance)),
            .target = PhStr_Dup(r->charge ? PhStr_LITERAL("/booking/charge")
                                          : PhStr_LITERAL("/booking/quote")),
            .deadline = PhTask_Now(l->self) + CALLER_DEADLINE,
            .first_byte = PH_TIME_NEVER,
            .answer_limit_bytes = ANSWER_LIMIT_BYTES,
            .fresh_connection = true}};
    PhHttpRequest *send = &m.as.send;
    PhHttpHeader_Add(&send->headers, &send->header_count,
                     PhStr_LITERAL("X-Request-Id"), r->key);
    PhHttpHeader_Add(&send->headers, &send->header_count,
                     PhStr_LITERAL("Connection"), PhStr_LITERAL("close"));
    if (r->charge) {
        PhHttpHeader_Add(&send->headers, &send->header_count,
                         PhStr_LITERAL("Idempotency-Key"), r->key);
        send->body = PhStr_Dup(PhStr_LITERAL("{\"seats\":2}"));
    }
    PhTask_SendTo(l->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
}

static void
request_create(PhLoad *l)
{
    int instance = pick_instance(l);
    if (instance < 0) {
        return;
    }
    PhCallerRequest *r = g_new0(PhCallerRequest, 1);
    PhBuf key = {0};
    r->id = l->requests->len;
    r->charge = r->id % REQUESTS_PER_CHARGE == 0;
    PhBuf_AppendFormat(&key, "request-%" PRIu64, r->id);
    r->key = PhBuf_Take(&key);
    g_ptr_array_add(l->requests, r);
    l->counts.sent++;
    request_send(l, r, instance);
}

static uint64_t
count_runs(PhLoad *l, PhStr key)
{
    uint64_t runs = 0;
    for (int i = 0; i < PH_DEMO_WORKERS; i++) {
        const PhStandinWorkerState *w = PhDemoCluster_Worker(l->cluster, i);
        runs += GPOINTER_TO_SIZE(g_hash_table_lookup(w->runs, &key));
    }
    return runs;
}

/* The answer must be complete and belong to the request. */
static void
check_answer(PhLoad *l, const PhCallerRequest *r, PhStr body)
{
    json_t *root;
    PhResult parsed = PhJson_Parse(body, &root);
    bool whole = PhResult_IsOk(&parsed);
    if (whole) {
        whole = PhStr_Equal(PhJson_GetStr(root, "id"), r->key) &&
                json_is_object(json_object_get(root, "body")) == r->charge;
        json_decref(root);
    }
    PhVerdicts_Check(l->verdicts, PH_INVARIANT_WHOLE_ANSWER, whole, r->key);
}

/* Retries a charge once, as callers do when the outcome is unknown. */
static void
retry(PhLoad *l, PhCallerRequest *r)
{
    int instance = pick_instance(l);
    if (r->charge && !r->retried && instance >= 0) {
        r->retried = true;
        request_send(l, r, instance);
    }
}

static void
count_reason(PhLoad *l, PhStr reason)
{
    size_t count = GPOINTER_TO_SIZE(g_hash_table_lookup(l->reasons, &reason));
    g_hash_table_insert(l->reasons, PhStr_KeyCreate(reason),
                        GSIZE_TO_POINTER(count + 1));
}

/* `outcome` says whether the refused request may have run. */
static void
on_refused(PhLoad *l, PhCallerRequest *r, PhStr outcome)
{
    if (PhStr_Equal(outcome, PhStr_LITERAL("not-run"))) {
        l->counts.not_run++;
        if (!r->may_have_run) {
            PhVerdicts_Check(l->verdicts, PH_INVARIANT_NOT_RUN,
                             count_runs(l, r->key) == 0, r->key);
        }
        return;
    }
    l->counts.unknown++;
    r->may_have_run = true;
    retry(l, r);
}

/* Only an instance that was killed may leave a request unanswered. */
static void
on_unanswered(PhLoad *l, PhCallerRequest *r, PhHttpOutcome outcome)
{
    PhVerdicts_Check(l->verdicts, PH_INVARIANT_GRACEFUL_STOP, r->killed,
                     r->key);
    l->counts.lost++;
    r->may_have_run |= outcome == PH_HTTP_UNKNOWN;
    retry(l, r);
}

static void
on_reply(PhLoad *l, const PhHttpReply *reply)
{
    PhCallerRequest *r = g_ptr_array_index(l->requests, reply->id);
    PhStr outcome = PhHttpHeader_Find(reply->headers, reply->header_count,
                                      PhStr_LITERAL("Peridothill-Outcome"));
    r->open = false;
    l->in_flight--;
    if (reply->outcome != PH_HTTP_ANSWERED) {
        on_unanswered(l, r, reply->outcome);
        return;
    }
    if (outcome.len > 0) {
        count_reason(l,
                     PhHttpHeader_Find(reply->headers, reply->header_count,
                                       PhStr_LITERAL("Peridothill-Reason")));
        on_refused(l, r, outcome);
        return;
    }
    l->counts.answered++;
    r->may_have_run = true;
    if (reply->status == STATUS_OK) {
        check_answer(l, r, reply->body);
    }
    if (!PhDemoCluster_InstanceTakesWork(l->cluster, r->instance)) {
        PhVerdicts_Check(l->verdicts, PH_INVARIANT_GRACEFUL_STOP, true,
                         r->key);
    }
}

static void
on_tick(PhLoad *l)
{
    if (l->interval > 0) {
        request_create(l);
        PhTask_SetTimer(l->self, TICK_TIMER,
                        PhTask_Now(l->self) + l->interval);
    }
}

static void
load_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhLoad *l = state;
    l->self = self;
    switch (mail->kind) {
    case PH_MAIL_TIMER:
        on_tick(l);
        break;
    case PH_MAIL_MESSAGE:
        if (mail->as.message.interface == PH_INTERFACE_HTTP) {
            const PhHttpMessage *m = mail->as.message.body;
            if (m->tag == PH_HTTP_REPLY) {
                on_reply(l, &m->as.reply);
            }
        }
        break;
    case PH_MAIL_START:
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

static void
load_destroy(void *state)
{
    PhLoad *l = state;
    g_ptr_array_free(l->requests, TRUE);
    g_hash_table_destroy(l->reasons);
    g_free(l);
}

PhLoad *
PhLoad_Start(PhKernel *kernel, PhDemoCluster *cluster, PhVerdicts *verdicts)
{
    PhLoad *l = g_new0(PhLoad, 1);
    l->cluster = cluster;
    l->verdicts = verdicts;
    l->requests = g_ptr_array_new_with_free_func(request_destroy);
    l->reasons = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                       PhStr_KeyDestroy, NULL);
    PhTaskSpec spec = {.name = PH_SERVICE_LOAD,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = l,
                       .handle = load_handle,
                       .destroy = load_destroy};
    PhKernel_Spawn(kernel, &spec, NULL);
    PhKernel_Drain(kernel, SIZE_MAX);
    return l;
}

void
PhLoad_SetInterval(PhLoad *l, PhTime interval)
{
    l->interval = interval;
    PhTask_SetTimer(l->self, TICK_TIMER, PhTask_Now(l->self) + interval);
}

void
PhLoad_InstanceKilled(PhLoad *l, int index)
{
    for (guint i = 0; i < l->requests->len; i++) {
        PhCallerRequest *r = g_ptr_array_index(l->requests, i);
        if (r->open && r->instance == index) {
            r->killed = true;
        }
    }
}

static void
print_reason(gpointer key, gpointer value, gpointer out)
{
    const PhStr *reason = key;
    fprintf(out, "refused: reason=%.*s count=%zu\n", PhStr_ARG(*reason),
            GPOINTER_TO_SIZE(value));
}

void
PhLoad_Print(const PhLoad *l, FILE *out)
{
    const PhLoadCounts *c = &l->counts;
    fprintf(out,
            "callers: sent=%" PRIu64 " answered=%" PRIu64 " not_run=%" PRIu64
            " unknown=%" PRIu64 " lost=%" PRIu64 " in_flight=%zu\n",
            c->sent, c->answered, c->not_run, c->unknown, c->lost,
            l->in_flight);
    g_hash_table_foreach(l->reasons, print_reason, out);
}

void
PhLoad_CheckRuns(PhLoad *l)
{
    for (guint i = 0; i < l->requests->len; i++) {
        const PhCallerRequest *r = g_ptr_array_index(l->requests, i);
        uint64_t runs = count_runs(l, r->key);
        if (r->charge) {
            PhVerdicts_Check(l->verdicts, PH_INVARIANT_AT_MOST_ONCE, runs <= 1,
                             r->key);
        }
        if (!r->may_have_run) {
            PhVerdicts_Check(l->verdicts, PH_INVARIANT_NOT_RUN, runs == 0,
                             r->key);
        }
    }
}
