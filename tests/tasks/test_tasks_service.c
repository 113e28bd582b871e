#include "peridothill/services/tasks.h"

#include "peridothill/fakes/fake_log.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/platform_list.h"
#include "peridothill/services/platform_log.h"
#include "tests/table.h"

enum {
    MAILBOX_CAPACITY = 64,
    LIST_TIMER = 2
};

/* An initial log outage, and what the list sends each second after its first
 * reading. */
typedef struct PhServiceCase {
    const char *name;
    PhTime outage;
    PhListTag later;
} PhServiceCase;

static const PhServiceCase service_cases[] = {
    {"log available from the start", 0, PH_LIST_UNCHANGED},
    {"reading before the log is read", 3 * PH_NS_PER_S, PH_LIST_UNCHANGED},
    {"a new reading each time", 3 * PH_NS_PER_S, PH_LIST_READING},
};

/* State of the fake tasks "list" and "http". */
typedef struct PhPlatform {
    const PhServiceCase *c;
    PhTaskRef subscriber;
    size_t commands; /* commands sent to the worker */
} PhPlatform;

/* Sends a list with one worker. */
static void
send_reading(PhPlatform *p, PhTask *self)
{
    PhListEntry worker = {.id = PhStr_LITERAL("worker-1"),
                          .role = PH_LIST_WORKER,
                          .data_centre = PhStr_LITERAL("bacolod"),
                          .rack = PhStr_LITERAL("rack-1"),
                          .address = PhStr_LITERAL("127.0.0.1:7"),
                          .cpu_milli = 4000,
                          .memory_mb = 4000};
    PhListReading reading = {
        .status = PH_STATUS_OK, .entries = &worker, .entry_count = 1};
    PhListMessage m = {.tag = PH_LIST_READING,
                       .as.reading = PhListReading_Copy(&reading)};
    PhTask_Send(self, p->subscriber, PhListMessage_Wrap(&m));
}

/* Fake task "list": one reading for the subscriber, then one message a
 * second. */
static void
list_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhPlatform *p = state;
    PhListMessage unchanged = {.tag = PH_LIST_UNCHANGED};
    if (mail->kind == PH_MAIL_MESSAGE) {
        p->subscriber = mail->from;
        send_reading(p, self);
    }
    else if (mail->kind == PH_MAIL_TIMER && p->c->later == PH_LIST_READING) {
        send_reading(p, self);
    }
    else if (mail->kind == PH_MAIL_TIMER) {
        PhTask_Send(self, p->subscriber, PhListMessage_Wrap(&unchanged));
    }
    if (mail->kind == PH_MAIL_MESSAGE || mail->kind == PH_MAIL_TIMER) {
        PhTask_SetTimer(self, LIST_TIMER, PhTask_Now(self) + PH_NS_PER_S);
    }
}

/* Fake task "http": counts requests to the worker and never answers. */
static void
http_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhPlatform *p = state;
    (void)self;
    if (mail->kind == PH_MAIL_MESSAGE) {
        const PhHttpMessage *m = mail->as.message.body;
        p->commands +=
            m->tag == PH_HTTP_SEND &&
            PhStr_Equal(m->as.send.address, PhStr_LITERAL("127.0.0.1:7"));
    }
}

static void
spawn(PhKernel *kernel, PhStr name, PhPlatform *p,
      void (*handle)(void *, PhTask *, const PhMail *))
{
    PhTaskSpec spec = {.name = name,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = p,
                       .handle = handle};
    assert_int_equal(PhKernel_Spawn(kernel, &spec, NULL), PH_STATUS_OK);
}

/* The worker must be polled within 30 s. */
static void
check_service(const PhServiceCase *c)
{
    PhPlatform p = {.c = c};
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    PhTasksOptions options = {.data_centre = PhStr_LITERAL("bacolod"),
                              .instance = PhStr_LITERAL("entry-1"),
                              .seed = 1};
    PhFakeLogOptions log_options = {.seed = 1, .outage = c->outage > 0};
    PhFakeLog *log = PhFakeLog_Create(&log_options);
    PhLogAdapter adapter = {.kind = PH_LOG_ADAPTER_MEMORY, .as.memory = log};
    assert_int_equal(PhPlatformLog_Start(kernel, &adapter), PH_STATUS_OK);
    spawn(kernel, PH_SERVICE_LIST, &p, list_handle);
    spawn(kernel, PH_SERVICE_HTTP, &p, http_handle);
    assert_int_equal(PhTasks_Start(kernel, &options), PH_STATUS_OK);
    PhKernel_AdvanceTo(kernel, c->outage);
    PhFakeLog_Options(log)->outage = false;
    PhKernel_AdvanceTo(kernel, 30 * PH_NS_PER_S);
    assert_true(p.commands > 0);
    PhKernel_Destroy(kernel);
    PhFakeLog_Destroy(log);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
}

/* Guards against a worker list that arrives before the log was read and is
 * then forgotten. */
static void
test_service(void **state)
{
    (void)state;
    Ph_RUN_TABLE(service_cases, check_service);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_service),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
