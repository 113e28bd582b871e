#include "peridothill/services/supervisor.h"

#include <string.h>

#include "peridothill/services/interface.h"
#include "tests/table.h"

enum {
    TRACE_BYTES = 16,
    MAILBOX_CAPACITY = 4
};

/* A service that appends its letter to the trace when it is stopped. It ends
 * at once or, if it hangs, never. */
typedef struct PhStopper {
    char *trace;
    char letter;
    bool hangs;
} PhStopper;

static void
stopper_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhStopper *s = state;
    if (mail->kind == PH_MAIL_STOP) {
        s->trace[strlen(s->trace)] = s->letter;
        if (!s->hangs) {
            PhTask_End(self);
        }
    }
}

/* The running services, the number of stop requests and the expected order. */
typedef struct PhStopCase {
    const char *name;
    const char *services[4]; /* in start order */
    const char *hanging;
    int stops;
    const char *trace;
    PhTime ends_after_s;
} PhStopCase;

static const PhStopCase stop_cases[] = {
    {"nothing to stop", {NULL}, NULL, 1, "", 0},
    {"in order", {"http", "log", "entry"}, NULL, 1, "elh", 0},
    {"stopped twice", {"http", "entry"}, NULL, 2, "eh", 0},
    {"first service hangs", {"http", "entry"}, "entry", 1, "e", 30},
    {"last service hangs", {"http", "entry"}, "http", 1, "eh", 30},
};

static void
on_stopped(void *context)
{
    *(bool *)context = true;
}

static void
check_stop(const PhStopCase *c)
{
    char trace[TRACE_BYTES] = {0};
    PhStopper stoppers[4];
    bool stopped = false;
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    PhSupervisorOptions options = {.drain_limit = 30 * PH_NS_PER_S,
                                   .context = &stopped,
                                   .on_stopped = on_stopped};
    PhSupervisor_Start(kernel, &options);
    for (size_t i = 0; i < 4 && c->services[i] != NULL; i++) {
        stoppers[i] =
            (PhStopper){.trace = trace,
                        .letter = c->services[i][0],
                        .hangs = c->hanging != NULL &&
                                 strcmp(c->hanging, c->services[i]) == 0};
        PhTaskSpec spec = {.name = PhStr_FromC(c->services[i]),
                           .mailbox_capacity = MAILBOX_CAPACITY,
                           .state = &stoppers[i],
                           .handle = stopper_handle};
        PhKernel_Spawn(kernel, &spec, NULL);
    }
    for (int i = 0; i < c->stops; i++) {
        PhKernel_Stop(kernel, PhKernel_Lookup(kernel, PH_SERVICE_SUPERVISOR));
    }
    PhKernel_AdvanceTo(kernel, 1);
    assert_int_equal(stopped, c->ends_after_s == 0);
    PhKernel_AdvanceTo(kernel, c->ends_after_s * PH_NS_PER_S + 1);
    assert_true(stopped);
    assert_string_equal(trace, c->trace);
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
}

/* Guards against stopping services in the wrong order or waiting for a hanging
 * one beyond the limit. */
static void
test_stop(void **state)
{
    (void)state;
    Ph_RUN_TABLE(stop_cases, check_stop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stop),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
