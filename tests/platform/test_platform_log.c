#include "peridothill/services/platform_log.h"

#include "peridothill/fakes/fake_log.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "tests/table.h"

enum {
    MAILBOX_CAPACITY = 16,
    CALL_ID = 9
};

/* The log's response to an append and a read, and the status reported to the
 * caller. The in-process log ignores `status` and `body`. */
typedef struct PhAnswerCase {
    const char *name;
    PhLogAdapterKind adapter;
    PhHttpOutcome
        outcome; /* UNKNOWN makes the in-process log lose its answers */
    int status;
    const char *body;
    PhStatus appended;
    PhStatus read;
} PhAnswerCase;

#define NO_RECORDS "{\"first\":3,\"next\":3,\"end\":3,\"records\":[]}"

static const PhAnswerCase answer_cases[] = {
    {"success", PH_LOG_ADAPTER_HTTP, PH_HTTP_ANSWERED, 200, NO_RECORDS,
     PH_STATUS_OK, PH_STATUS_OK},
    {"not sent", PH_LOG_ADAPTER_HTTP, PH_HTTP_NOT_SENT, 0, "",
     PH_STATUS_UNAVAILABLE, PH_STATUS_UNAVAILABLE},
    {"no answer", PH_LOG_ADAPTER_HTTP, PH_HTTP_UNKNOWN, 0, "",
     PH_STATUS_UNKNOWN, PH_STATUS_UNAVAILABLE},
    {"refused", PH_LOG_ADAPTER_HTTP, PH_HTTP_ANSWERED, 429, "",
     PH_STATUS_UNAVAILABLE, PH_STATUS_UNAVAILABLE},
    {"unavailable", PH_LOG_ADAPTER_HTTP, PH_HTTP_ANSWERED, 503, "",
     PH_STATUS_UNAVAILABLE, PH_STATUS_UNAVAILABLE},
    {"internal error", PH_LOG_ADAPTER_HTTP, PH_HTTP_ANSWERED, 500, "",
     PH_STATUS_UNKNOWN, PH_STATUS_UNAVAILABLE},
    {"gateway time-out", PH_LOG_ADAPTER_HTTP, PH_HTTP_ANSWERED, 504, "",
     PH_STATUS_UNKNOWN, PH_STATUS_UNAVAILABLE},
    {"success with an invalid body", PH_LOG_ADAPTER_HTTP, PH_HTTP_ANSWERED,
     200, "<html>", PH_STATUS_UNKNOWN, PH_STATUS_UNAVAILABLE},
    {"expired", PH_LOG_ADAPTER_HTTP, PH_HTTP_ANSWERED, 410, NO_RECORDS,
     PH_STATUS_UNAVAILABLE, PH_STATUS_EXPIRED},
    {"in process", PH_LOG_ADAPTER_MEMORY, PH_HTTP_ANSWERED, 0, "",
     PH_STATUS_OK, PH_STATUS_OK},
    {"in process, unavailable", PH_LOG_ADAPTER_MEMORY, PH_HTTP_NOT_SENT, 0, "",
     PH_STATUS_UNAVAILABLE, PH_STATUS_UNAVAILABLE},
    {"in process, answer lost", PH_LOG_ADAPTER_MEMORY, PH_HTTP_UNKNOWN, 0, "",
     PH_STATUS_UNKNOWN, PH_STATUS_OK},
};

/* The caller of the log and the statuses it received. */
typedef struct PhLogCaller {
    size_t answers;
    PhStatus appended;
    PhStatus read;
} PhLogCaller;

static void
http_handle(void *state, PhTask *self, const PhMail *mail)
{
    const PhAnswerCase *c = state;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhHttpMessage *m = mail->as.message.body;
    PhHttpMessage reply = {
        .tag = PH_HTTP_REPLY,
        .as.reply = {.id = m->as.send.id,
                     .outcome = c->outcome,
                     .status = c->status,
                     .body = PhStr_Dup(PhStr_FromC(c->body))}};
    PhTask_Send(self, mail->from, PhHttpMessage_Wrap(&reply));
}

static void
call_log(PhTask *self)
{
    PhStr record = PhStr_Dup(PhStr_LITERAL("record"));
    PhLogMessage append = {
        .tag = PH_LOG_APPEND,
        .as.append = {.id = CALL_ID,
                      .stream = PhStr_Dup(PhStr_LITERAL("s")),
                      .records = g_memdup2(&record, sizeof(record)),
                      .record_count = 1,
                      .deadline = PH_NS_PER_S}};
    PhTask_SendTo(self, PH_SERVICE_LOG, PhLogMessage_Wrap(&append));
    PhLogMessage read = {.tag = PH_LOG_READ,
                         .as.read = {.id = CALL_ID,
                                     .stream = PhStr_Dup(PhStr_LITERAL("s")),
                                     .limit = 10,
                                     .deadline = PH_NS_PER_S}};
    PhTask_SendTo(self, PH_SERVICE_LOG, PhLogMessage_Wrap(&read));
}

static void
caller_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhLogCaller *caller = state;
    if (mail->kind == PH_MAIL_START) {
        call_log(self);
        return;
    }
    const PhLogMessage *m = mail->as.message.body;
    caller->answers++;
    switch (m->tag) {
    case PH_LOG_APPENDED:
        assert_int_equal(m->as.appended.id, CALL_ID);
        caller->appended = m->as.appended.status;
        break;
    case PH_LOG_RECORDS:
        assert_int_equal(m->as.records.id, CALL_ID);
        caller->read = m->as.records.status;
        break;
    case PH_LOG_APPEND:
    case PH_LOG_READ:
        fail();
    }
}

static void
log_start(PhKernel *kernel, const PhAnswerCase *c, PhFakeLog *memory)
{
    PhLogAdapter adapter = {.kind = c->adapter};
    PhTaskSpec http = {.name = PH_SERVICE_HTTP,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = (void *)c,
                       .handle = http_handle};
    switch (c->adapter) {
    case PH_LOG_ADAPTER_HTTP:
        adapter.as.address = PhStr_LITERAL("127.0.0.1:7");
        PhKernel_Spawn(kernel, &http, NULL);
        break;
    case PH_LOG_ADAPTER_MEMORY:
        adapter.as.memory = memory;
        break;
    }
    assert_int_equal(PhPlatformLog_Start(kernel, &adapter), PH_STATUS_OK);
}

static void
check_answer(const PhAnswerCase *c)
{
    PhLogCaller caller = {0};
    PhFakeLogOptions options = {.seed = 1,
                                .delay_min = PH_NS_PER_MS,
                                .timeout = PH_NS_PER_S,
                                .lost_answers =
                                    c->outcome == PH_HTTP_UNKNOWN ? 1.0 : 0.0,
                                .outage = c->outcome == PH_HTTP_NOT_SENT};
    PhFakeLog *memory = PhFakeLog_Create(&options);
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    log_start(kernel, c, memory);
    PhTaskSpec spec = {.name = PhStr_LITERAL("caller"),
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = &caller,
                       .handle = caller_handle};
    PhKernel_Spawn(kernel, &spec, NULL);
    PhKernel_AdvanceTo(kernel, 2 * PH_NS_PER_S);
    assert_int_equal(caller.answers, 2);
    assert_int_equal(caller.appended, c->appended);
    assert_int_equal(caller.read, c->read);
    PhKernel_Destroy(kernel);
    PhFakeLog_Destroy(memory);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
}

/* Guards against reporting an append as failed or done when its outcome is
 * unknown. */
static void
test_answer(void **state)
{
    (void)state;
    Ph_RUN_TABLE(answer_cases, check_answer);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_answer),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
