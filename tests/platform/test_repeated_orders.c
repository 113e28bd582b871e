/* Orders that have no answer by a time-out shorter than the time for which an
 * answer counts.  Guards against one lost answer that holds an order back for
 * that long, and against an answer that comes meanwhile and is dropped. */
#include <glib.h>

#include "peridothill/platform/adapter.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/orders.h"
#include "scripted_task.h"
#include "tests/table.h"

enum {
    MAILBOX_CAPACITY = 64,
    BORN_MS = 7,
    FENCE = 3,
    REQUESTS_MAX = 6,
    OUTCOMES_MAX = 3,
    TIMEOUT_MS = 400,
    REFUSED = -1, /* the connection, at once */
};

static const PhTime BEGIN = 1 * PH_NS_PER_S; /* a time of 0 is "never" */
static const PhTime DURATION = 8 * PH_NS_PER_S;

#define LIST                                                                  \
    PhStr_LITERAL("{\"clockMs\":5,\"born\":7,\"running\":[],\"endedRuns\":[]" \
                  "}")
#define DONE PhStr_LITERAL("{\"clockMs\":5}")

/* A request that is expected. */
typedef struct PhExpected {
    bool query;
    int64_t sent_ms;   /* since the order */
    int64_t answer_ms; /* since the request; 0: none, or REFUSED */
} PhExpected;

typedef struct PhReported {
    PhSchedOutcome outcome;
    int64_t at_ms; /* since the order */
    bool late;
} PhReported;

typedef struct PhRepeatCase {
    const char *name;
    PhSchedActionTag tag;
    bool bound;
    uint64_t relay;
    PhExpected requests[REQUESTS_MAX];
    PhReported outcomes[OUTCOMES_MAX];
} PhRepeatCase;

static const PhRepeatCase repeat_cases[] = {
    {"a start that is answered", PH_SCHED_ACTION_START,
     .requests = {{false, 0, 10}}, .outcomes = {{PH_SCHED_OUTCOME_DONE, 10}}},
    {"a start that is answered late", PH_SCHED_ACTION_START,
     .requests = {{false, 0, 700}},
     .outcomes = {{PH_SCHED_OUTCOME_UNKNOWN, TIMEOUT_MS},
                  {PH_SCHED_OUTCOME_DONE, 700, true}}},
    {"a start that is answered too late", PH_SCHED_ACTION_START,
     .requests = {{false, 0, 1300}},
     .outcomes = {{PH_SCHED_OUTCOME_UNKNOWN, TIMEOUT_MS}}},
    {"a stop that is answered late", PH_SCHED_ACTION_STOP,
     .requests = {{false, 0, 700}},
     .outcomes = {{PH_SCHED_OUTCOME_UNKNOWN, TIMEOUT_MS},
                  {PH_SCHED_OUTCOME_DONE, 700, true}}},
    {"a pace, of which one outcome is reported", PH_SCHED_ACTION_PACE,
     .requests = {{false, 0, 700}},
     .outcomes = {{PH_SCHED_OUTCOME_UNKNOWN, TIMEOUT_MS}}},
    {"a start of another instance, of which one outcome is reported",
     PH_SCHED_ACTION_START, .relay = 1, .requests = {{false, 0, 700}},
     .outcomes = {{PH_SCHED_OUTCOME_UNKNOWN, TIMEOUT_MS}}},
    {"a hold that is answered late", PH_SCHED_ACTION_HOLD,
     .requests = {{false, 0, 4300}},
     .outcomes = {{PH_SCHED_OUTCOME_UNKNOWN, TIMEOUT_MS},
                  {PH_SCHED_OUTCOME_DONE, 4300, true}}},
    {"a bound start, and the first query has no answer", PH_SCHED_ACTION_START,
     true, .requests = {{true, 0, 0}, {true, 400, 10}, {false, 410, 10}},
     .outcomes = {{PH_SCHED_OUTCOME_DONE, 420}}},
    {"the first query is answered late", PH_SCHED_ACTION_START, true,
     .requests = {{true, 0, 600}, {true, 400, 0}, {false, 600, 10}},
     .outcomes = {{PH_SCHED_OUTCOME_DONE, 610}}},
    {"no query has an answer", PH_SCHED_ACTION_START, true,
     .requests = {{true, 0, 0}, {true, 400, 0}, {true, 800, 0}},
     .outcomes = {{PH_SCHED_OUTCOME_NOT_SENT, 1200}}},
    {"the worker refuses connections", PH_SCHED_ACTION_START, true,
     .requests = {{true, 0, REFUSED}},
     .outcomes = {{PH_SCHED_OUTCOME_NOT_SENT, 0}}},
    {"a bound hold, and the first two queries have no answer",
     PH_SCHED_ACTION_HOLD, true,
     .requests =
         {{true, 0, 0}, {true, 400, 0}, {true, 800, 10}, {false, 810, 10}},
     .outcomes = {{PH_SCHED_OUTCOME_DONE, 820}}},
};

/* A reply that the stand-in of the task "http" owes. */
typedef struct PhOwedReply {
    PhTaskRef to;
    PhHttpReply reply;
} PhOwedReply;

typedef struct PhRepeatScript {
    const PhRepeatCase *c;
    unsigned requests;
    unsigned outcomes;
    GArray *owed; /* PhOwedReply by the number of the timer */
} PhRepeatScript;

static int64_t
elapsed_ms(PhTask *self)
{
    return (PhTask_Now(self) - BEGIN) / PH_NS_PER_MS;
}

static void
reply_owe(PhRepeatScript *s, PhTask *self, PhTaskRef to,
          const PhHttpReply *reply, PhTime at)
{
    PhOwedReply owed = {.to = to, .reply = *reply};
    g_array_append_val(s->owed, owed);
    PhTask_SetTimer(self, s->owed->len - 1, at);
}

/* Replies at the deadline or with the answer, as the task "http" does. */
static void
request_play(PhRepeatScript *s, PhTask *self, PhTaskRef from,
             const PhHttpRequest *r, const PhExpected *e)
{
    PhTime now = PhTask_Now(self);
    PhTime answered = now + e->answer_ms * PH_NS_PER_MS;
    bool answers = e->answer_ms > 0 && answered <= r->deadline + r->late_for;
    PhHttpReply reply = {.id = r->id,
                         .outcome = PH_HTTP_ANSWERED,
                         .status = 200,
                         .kept_connection = true,
                         .connected_at = now};
    if (e->answer_ms == REFUSED) {
        reply_owe(s, self, from,
                  &(PhHttpReply){.id = r->id,
                                 .outcome = PH_HTTP_NOT_SENT,
                                 .failure = PH_HTTP_FAILURE_CONNECT},
                  now);
        return;
    }
    if (!answers || answered > r->deadline) {
        reply_owe(s, self, from,
                  &(PhHttpReply){.id = r->id,
                                 .outcome = PH_HTTP_UNKNOWN,
                                 .failure = PH_HTTP_FAILURE_DEADLINE,
                                 .more = r->late_for > 0,
                                 .connected_at = now},
                  r->deadline);
        reply.late = true;
    }
    if (answers) {
        bool is_hold = PhStr_Equal(r->target, PhStr_LITERAL("/api/hold"));
        reply.body = PhStr_Dup(is_hold ? LIST : DONE);
        reply_owe(s, self, from, &reply, answered);
    }
    else if (r->late_for > 0) {
        reply_owe(s, self, from,
                  &(PhHttpReply){.id = r->id,
                                 .outcome = PH_HTTP_UNKNOWN,
                                 .failure = PH_HTTP_FAILURE_DEADLINE,
                                 .late = true},
                  r->deadline + r->late_for);
    }
}

static void
http_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhRepeatScript *s = state;
    if (mail->kind == PH_MAIL_TIMER) {
        const PhOwedReply *owed =
            &g_array_index(s->owed, PhOwedReply, mail->as.timer);
        PhHttpMessage m = {.tag = PH_HTTP_REPLY, .as.reply = owed->reply};
        PhTask_Send(self, owed->to, PhHttpMessage_Wrap(&m));
    }
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhHttpMessage *m = mail->as.message.body;
    assert_true(s->requests < REQUESTS_MAX);
    const PhExpected *e = &s->c->requests[s->requests++];
    assert_int_equal(elapsed_ms(self), e->sent_ms);
    assert_int_equal(m->as.send.connected_by > 0, s->c->bound && !e->query);
    request_play(s, self, mail->from, &m->as.send, e);
}

static void
order_send(PhTask *self, const PhRepeatCase *c)
{
    PhSchedAction a = {.tag = c->tag,
                       .worker = PhStr_LITERAL("i-1"),
                       .born_ms = BORN_MS,
                       .address = PhStr_LITERAL("127.0.0.1:1"),
                       .bound = c->bound,
                       .timeout = TIMEOUT_MS * PH_NS_PER_MS};
    if (c->tag != PH_SCHED_ACTION_HOLD) {
        a.as.run = (PhSchedRunOrder){
            .task = {.job = PhStr_LITERAL("00000000000000a1")}, .run = 1};
    }
    PhOrderMessage m = {.tag = PH_ORDER_SEND,
                        .as.send = {.fence = FENCE,
                                    .relay = c->relay,
                                    .action = PhOrder_CopyAction(&a)}};
    PhTask_SendTo(self, PH_SERVICE_ORDERS, PhOrderMessage_Wrap(&m));
}

static void
owner_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhRepeatScript *s = state;
    if (mail->kind == PH_MAIL_START) {
        order_send(self, s->c);
    }
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhOrderMessage *m = mail->as.message.body;
    if (m->as.reply.query) {
        return;
    }
    assert_true(s->outcomes < OUTCOMES_MAX);
    const PhReported *e = &s->c->outcomes[s->outcomes++];
    assert_int_equal(m->as.reply.outcome, e->outcome);
    assert_int_equal(elapsed_ms(self), e->at_ms);
    assert_int_equal(m->as.reply.late, e->late);
}

static void
repeat_run(const PhRepeatCase *c)
{
    PhRepeatScript script = {
        .c = c, .owed = g_array_new(FALSE, FALSE, sizeof(PhOwedReply))};
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    PhKernel_AdvanceTo(kernel, BEGIN);
    PhScriptedTask_Spawn(kernel, PH_SERVICE_HTTP, MAILBOX_CAPACITY, &script,
                         http_handle);
    assert_int_equal(PhOrdersTask_Start(kernel), PH_STATUS_OK);
    PhScriptedTask_Spawn(kernel, PhStr_LITERAL("owner"), MAILBOX_CAPACITY,
                         &script, owner_handle);
    PhKernel_AdvanceTo(kernel, BEGIN + DURATION);
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    g_array_free(script.owed, TRUE);
    for (unsigned i = 0; i < REQUESTS_MAX; i++) {
        const PhExpected *e = &c->requests[i];
        bool expected = e->query || e->sent_ms > 0 || e->answer_ms != 0;
        assert_int_equal(i < script.requests, expected);
    }
    for (unsigned i = 0; i < OUTCOMES_MAX; i++) {
        bool expected = c->outcomes[i].at_ms > 0 ||
                        c->outcomes[i].outcome != PH_SCHED_OUTCOME_DONE;
        assert_int_equal(i < script.outcomes, expected);
    }
}

static void
test_repeated_orders(void **state)
{
    (void)state;
    Ph_RUN_TABLE(repeat_cases, repeat_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_repeated_orders)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
