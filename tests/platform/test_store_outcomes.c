/* What the status of a store's answer says of an append.  Guards against a
 * client that is refused although its job was stored. */
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
} PhStatusCase;

#define TEXT(S)                                                               \
    {                                                                         \
        (S), sizeof(S) - 1                                                    \
    }

static const PhStatusCase status_cases[] = {
    {"appended", 200, TEXT("{\"offset\":4,\"end\":5}"), PH_STORE_DONE},
    {"appended, but the answer is unreadable", 200, TEXT("<"),
     PH_STORE_UNKNOWN},
    {"malformed", 400, TEXT(""), PH_STORE_REFUSED},
    {"a lower epoch", 409, TEXT("{\"reason\":\"fenced\"}"), PH_STORE_FENCED},
    {"another offset", 412, TEXT("{\"end\":5}"), PH_STORE_CONFLICT},
    {"too many calls", 429, TEXT(""), PH_STORE_REFUSED},
    {"an error that may follow the append", 500, TEXT(""), PH_STORE_UNKNOWN},
    {"a broken gateway", 502, TEXT(""), PH_STORE_UNKNOWN},
    {"unavailable", 503, TEXT(""), PH_STORE_REFUSED},
    {"a time-out on the way", 504, TEXT(""), PH_STORE_UNKNOWN},
    {"full", 507, TEXT(""), PH_STORE_REFUSED},
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
    }
}

static void
status_run(const PhStatusCase *c)
{
    PhCaller caller = {0};
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    PhScriptedTask_Spawn(kernel, PH_SERVICE_HTTP, MAILBOX_CAPACITY, (void *)c,
                         http_handle);
    assert_int_equal(PhStoreTask_Start(kernel, PhStr_LITERAL("127.0.0.1:1")),
                     PH_STATUS_OK);
    PhScriptedTask_Spawn(kernel, PhStr_LITERAL("caller"), MAILBOX_CAPACITY,
                         &caller, caller_handle);
    PhKernel_AdvanceTo(kernel, DURATION);
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    assert_true(caller.replied);
    assert_int_equal(caller.outcome, c->outcome);
}

/* Guards against an append that is taken for refused although it may have been
 * executed. */
static void
test_statuses(void **state)
{
    (void)state;
    Ph_RUN_TABLE(status_cases, status_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_statuses)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
