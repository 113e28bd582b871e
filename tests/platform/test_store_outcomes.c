/* What the status of a store's answer says of an append, and how long it is
 * waited for.  Guards against a client that is refused although its job was
 * stored, and against one lost answer that holds everything up. */
#include "peridothill/kernel/kernel.h"
#include "peridothill/platform/adapter.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/store.h"
#include "scripted_task.h"
#include "tests/table.h"

enum {
    MAILBOX_CAPACITY = 16,
};

static const PhTime DURATION = 100 * PH_NS_PER_MS;

typedef struct PhStatusCase {
    const char *name;
    int status;
    PhStr body;
    PhStoreOutcome outcome;
    PhStoreSign sign;
} PhStatusCase;

#define TEXT(S)                                                               \
    {                                                                         \
        (S), sizeof(S) - 1                                                    \
    }

static const PhStatusCase status_cases[] = {
    {"appended", 200, TEXT("{\"offset\":4,\"end\":5}"), PH_STORE_DONE,
     PH_STORE_ANSWERS},
    {"appended, but the answer is unreadable", 200, TEXT("<"),
     PH_STORE_UNKNOWN, PH_STORE_ANSWERS},
    {"malformed", 400, TEXT(""), PH_STORE_REFUSED, PH_STORE_ANSWERS},
    {"a lower epoch", 409, TEXT("{\"reason\":\"fenced\"}"), PH_STORE_FENCED,
     PH_STORE_ANSWERS},
    {"another offset", 412, TEXT("{\"end\":5}"), PH_STORE_CONFLICT,
     PH_STORE_ANSWERS},
    {"too many calls", 429, TEXT(""), PH_STORE_REFUSED, PH_STORE_ANSWERS},
    {"an error that may follow the append", 500, TEXT(""), PH_STORE_UNKNOWN,
     PH_STORE_UNREACHABLE},
    {"a broken gateway", 502, TEXT(""), PH_STORE_UNKNOWN,
     PH_STORE_UNREACHABLE},
    {"unavailable", 503, TEXT(""), PH_STORE_REFUSED, PH_STORE_UNREACHABLE},
    {"a time-out on the way", 504, TEXT(""), PH_STORE_UNKNOWN,
     PH_STORE_UNREACHABLE},
    {"full", 507, TEXT(""), PH_STORE_REFUSED, PH_STORE_ANSWERS},
};

/* Answers every request with the status of the case. */
static void
http_handle(void *state, PhTask *self, const PhMail *mail)
{
    const PhStatusCase *c = state;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhHttpMessage *m = mail->as.message.body;
    PhHttpMessage reply = {.tag = PH_HTTP_REPLY,
                           .as.reply = {.id = m->as.send.id,
                                        .outcome = PH_HTTP_ANSWERED,
                                        .status = c->status,
                                        .body = PhStr_Dup(c->body)}};
    PhTask_Send(self, mail->from, PhHttpMessage_Wrap(&reply));
}

typedef struct PhCaller {
    bool replied;
    PhStoreOutcome outcome;
    PhStoreSign sign;
} PhCaller;

/* Appends one record and keeps the outcome. */
static void
caller_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhCaller *caller = state;
    if (mail->kind == PH_MAIL_START) {
        PhStoreMessage m = {.tag = PH_STORE_APPEND, .id = 1};
        m.as.append.topic = PhStr_Dup(PhStr_LITERAL("jobs"));
        m.as.append.records = g_new0(PhStoreRecord, 1);
        m.as.append.record_count = 1;
        m.as.append.records[0].key = PhStr_Dup(PhStr_LITERAL("key"));
        m.as.append.records[0].value = PhStr_Dup(PhStr_LITERAL("value"));
        PhTask_SendTo(self, PH_SERVICE_STORE, PhStoreMessage_Wrap(&m));
    }
    else if (mail->kind == PH_MAIL_MESSAGE) {
        const PhStoreMessage *m = mail->as.message.body;
        caller->replied = true;
        caller->outcome = m->as.reply.outcome;
        caller->sign = m->as.reply.sign;
    }
}

/* Runs the store's task between two scripted ones. */
static void
store_run(void (*http)(void *, PhTask *, const PhMail *), void *http_state,
          void (*caller)(void *, PhTask *, const PhMail *), void *caller_state)
{
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    PhScriptedTask_Spawn(kernel, PH_SERVICE_HTTP, MAILBOX_CAPACITY, http_state,
                         http);
    assert_int_equal(PhStoreTask_Start(kernel, PhStr_LITERAL("127.0.0.1:1")),
                     PH_STATUS_OK);
    PhScriptedTask_Spawn(kernel, PhStr_LITERAL("caller"), MAILBOX_CAPACITY,
                         caller_state, caller);
    PhKernel_AdvanceTo(kernel, DURATION);
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
}

static void
status_run(const PhStatusCase *c)
{
    PhCaller caller = {0};
    store_run(http_handle, (void *)c, caller_handle, &caller);
    assert_true(caller.replied);
    assert_int_equal(caller.outcome, c->outcome);
    assert_int_equal(caller.sign, c->sign);
}

/* Guards against an append that is taken for refused although it may have been
 * executed. */
static void
test_statuses(void **state)
{
    (void)state;
    Ph_RUN_TABLE(status_cases, status_run);
}

/* Appends one after the other, of which the last one's time-out counts. */
typedef struct PhAppendCase {
    const char *name;
    unsigned unanswered; /* appends before it */
    int64_t timeout_ms;
} PhAppendCase;

static const PhAppendCase append_cases[] = {
    {"answers are quick as far as is known", 0, 500},
    {"one was not answered", 1, 500},
    {"several were not", 4, 1500},
};

/* The state of the caller and of its connections. */
typedef struct PhAppender {
    const PhAppendCase *c;
    unsigned sent;
    PhTime timeout;
} PhAppender;

/* Notes the time-out of the newest append. */
static void
silence_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhAppender *a = state;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhHttpMessage *m = mail->as.message.body;
    a->timeout = m->as.send.deadline - PhTask_Now(self);
    if (a->sent++ < a->c->unanswered) {
        PhHttpMessage reply = {
            .tag = PH_HTTP_REPLY,
            .as.reply = {.id = m->as.send.id, .outcome = PH_HTTP_UNKNOWN}};
        PhTask_Send(self, mail->from, PhHttpMessage_Wrap(&reply));
    }
}

/* Appends again after each outcome. */
static void
appender_handle(void *state, PhTask *self, const PhMail *mail)
{
    (void)state;
    if (mail->kind == PH_MAIL_START || mail->kind == PH_MAIL_MESSAGE) {
        PhStoreMessage m = {.tag = PH_STORE_APPEND};
        m.as.append.topic = PhStr_Dup(PhStr_LITERAL("runs"));
        PhTask_SendTo(self, PH_SERVICE_STORE, PhStoreMessage_Wrap(&m));
    }
}

static void
append_run(const PhAppendCase *c)
{
    PhAppender appender = {.c = c};
    store_run(silence_handle, &appender, appender_handle, NULL);
    assert_int_equal(appender.sent, c->unanswered + 1);
    assert_int_equal(appender.timeout, c->timeout_ms * PH_NS_PER_MS);
}

static void
test_appends(void **state)
{
    (void)state;
    Ph_RUN_TABLE(append_cases, append_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_statuses),
                                       cmocka_unit_test(test_appends)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
