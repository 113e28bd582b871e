/* Which instance sends a start for the owner.  Guards against starts through
 * instances that have gone, stop or do not answer, and against specifications
 * that are sent more often than needed. */
#include "peridothill/decide/schedule/dispatchers.h"

#include <glib.h>

#include "tests/table.h"

enum {
    STEPS_MAX = 12,
};

typedef enum PhStepTag {
    STEP_END,
    STEP_HELLO,    /* of `instance`, with `cpu`; number 0: cannot dispatch */
    STEP_LEAVING,  /* hello of an instance that stops */
    STEP_PAYLOAD,  /* `instance` has the specification of `job` */
    STEP_TAKE,     /* `times` starts of `job` go to `instance` */
    STEP_OUTCOMES, /* of `times` starts */
    STEP_LATE,     /* outcome of a start after its time-out */
    STEP_TIMEOUT,  /* of the start that was sent `times` milliseconds ago */
    STEP_NOT_SENT, /* a start of `job`, after silence of `times` ms */
    STEP_RESET,
    STEP_PASS, /* `times` milliseconds */
} PhStepTag;

typedef struct PhDispatchStep {
    PhStepTag tag;
    const char *instance; /* of TAKE, "" for none */
    const char *job;
    unsigned times;
    uint64_t cpu; /* of HELLO */
    bool payload; /* of TAKE: all of them find the specification there */
} PhDispatchStep;

typedef struct PhDispatchCase {
    const char *name;
    PhDispatchStep steps[STEPS_MAX];
} PhDispatchCase;

static const PhDispatchCase dispatch_cases[] = {
    {"none is known", {{STEP_TAKE, "", "x", 1}}},
    {"an instance that cannot dispatch",
     {{STEP_HELLO, "a", .times = 0, .cpu = 100}, {STEP_TAKE, "", "x", 1}}},
    {"the first start brings the specification, the next finds it",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_TAKE, "a", "x", 1},
      {STEP_TAKE, "a", "x", 1, .payload = true}}},
    {"the instance that received the job is preferred",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_HELLO, "b", .times = 1, .cpu = 100},
      {STEP_PAYLOAD, "b", "x"},
      {STEP_TAKE, "b", "x", 16, .payload = true}}},
    {"a wide step spreads",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_HELLO, "b", .times = 1, .cpu = 100},
      {STEP_PAYLOAD, "b", "x"},
      {STEP_TAKE, "b", "x", 16, .payload = true},
      {STEP_TAKE, "a", "x", 1},
      {STEP_TAKE, "a", "x", 15, .payload = true}}},
    {"the least loaded for its CPU comes first",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_HELLO, "b", .times = 1, .cpu = 150},
      {STEP_TAKE, "b", "x", 1},
      {STEP_TAKE, "a", "y", 1},
      {STEP_OUTCOMES, "b", .times = 1},
      {STEP_TAKE, "b", "z", 1}}},
    {"far weaker instances do not dispatch",
     {{STEP_HELLO, "a", .times = 1, .cpu = 69},
      {STEP_HELLO, "b", .times = 1, .cpu = 500},
      {STEP_TAKE, "b", "x", 1},
      {STEP_TAKE, "b", "y", 1},
      {STEP_TAKE, "b", "z", 1}}},
    {"an instance that stops",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_TAKE, "a", "x", 1},
      {STEP_LEAVING, "a", .times = 2, .cpu = 100},
      {STEP_TAKE, "", "x", 1}}},
    {"an instance without hellos",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_PASS, .times = 1300},
      {STEP_TAKE, "", "x", 1},
      {STEP_HELLO, "a", .times = 2, .cpu = 100},
      {STEP_TAKE, "a", "x", 1}}},
    {"an instance that does not answer is left out for a while",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_PASS, .times = 1},
      {STEP_TAKE, "a", "x", 1},
      {STEP_PASS, .times = 1000},
      {STEP_TIMEOUT, "a", .times = 1000},
      {STEP_TAKE, "", "x", 1},
      {STEP_PASS, .times = 3000},
      {STEP_HELLO, "a", .times = 2, .cpu = 100},
      {STEP_TAKE, "a", "x", 1, .payload = true}}},
    {"a start is not answered, but hellos come",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_TAKE, "a", "x", 1},
      {STEP_PASS, .times = 1000},
      {STEP_HELLO, "a", .times = 2, .cpu = 100},
      {STEP_PASS, .times = 600},
      {STEP_TIMEOUT, "a", .times = 1600},
      {STEP_TAKE, "a", "x", 1, .payload = true}}},
    {"starts are not answered, but others are",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_TAKE, "a", "x", 1},
      {STEP_TAKE, "a", "x", 3, .payload = true},
      {STEP_PASS, .times = 1000},
      {STEP_OUTCOMES, "a", .times = 1},
      {STEP_PASS, .times = 100},
      {STEP_TIMEOUT, "a", .times = 1100},
      {STEP_TIMEOUT, "a", .times = 1100},
      {STEP_TIMEOUT, "a", .times = 1100},
      {STEP_TAKE, "a", "x", 1, .payload = true}}},
    {"hellos come from an instance that no start reaches",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_TAKE, "a", "x", 1},
      {STEP_TAKE, "a", "x", 2, .payload = true},
      {STEP_PASS, .times = 1000},
      {STEP_HELLO, "a", .times = 2, .cpu = 100},
      {STEP_TIMEOUT, "a", .times = 1000},
      {STEP_TIMEOUT, "a", .times = 1000},
      {STEP_TAKE, "a", "x", 1, .payload = true},
      {STEP_TIMEOUT, "a", .times = 1000},
      {STEP_TAKE, "", "x", 1}}},
    {"an outcome comes after the time-out",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_TAKE, "a", "x", 1},
      {STEP_PASS, .times = 1100},
      {STEP_HELLO, "a", .times = 2, .cpu = 100},
      {STEP_TIMEOUT, "a", .times = 1100},
      {STEP_LATE, "a"},
      {STEP_TIMEOUT, "a", .times = 1100},
      {STEP_TIMEOUT, "a", .times = 1100},
      {STEP_TAKE, "a", "x", 1, .payload = true}}},
    {"it did not have the specification any more",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_TAKE, "a", "x", 1},
      {STEP_NOT_SENT, .job = "x"},
      {STEP_TAKE, "a", "x", 1}}},
    {"it has found no connection to the worker",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_TAKE, "a", "x", 1},
      {STEP_NOT_SENT, .job = "x", .times = 1200},
      {STEP_TAKE, "a", "x", 1, .payload = true}}},
    {"another ownership",
     {{STEP_HELLO, "a", .times = 1, .cpu = 100},
      {STEP_TAKE, "a", "x", 1},
      {STEP_RESET},
      {STEP_TAKE, "a", "x", 1}}},
};

static void
take(PhDispatchers *d, const PhDispatchStep *step, PhTime now)
{
    for (unsigned i = 0; i < step->times; i++) {
        PhDispatch taken = PhDispatchers_Take(d, PhStr_FromC(step->job), now);
        assert_true(PhStr_Equal(taken.instance, PhStr_FromC(step->instance)));
        assert_int_equal(taken.has_payload, step->payload);
    }
}

static void
step_run(PhDispatchers *d, const PhDispatchStep *step, PhTime *now)
{
    PhStr instance = PhStr_FromC(step->instance == NULL ? "" : step->instance);
    switch (step->tag) {
    case STEP_END:
        break;
    case STEP_HELLO:
    case STEP_LEAVING:
        PhDispatchers_OnHello(d, instance, step->times, step->cpu,
                              step->tag == STEP_LEAVING, *now);
        break;
    case STEP_PAYLOAD:
        PhDispatchers_OnPayload(d, PhStr_FromC(step->job), instance);
        break;
    case STEP_TAKE:
        take(d, step, *now);
        break;
    case STEP_OUTCOMES:
        for (unsigned i = 0; i < step->times; i++) {
            PhDispatchers_OnOutcome(d, instance, *now);
        }
        break;
    case STEP_LATE:
        PhDispatchers_OnLateOutcome(d, instance, *now);
        break;
    case STEP_TIMEOUT:
        PhDispatchers_OnTimeout(
            d, instance, *now - (PhTime)step->times * PH_NS_PER_MS, *now);
        break;
    case STEP_NOT_SENT:
        PhDispatchers_OnNotSent(d, PhStr_FromC(step->job), step->times > 0);
        break;
    case STEP_RESET:
        PhDispatchers_Reset(d);
        break;
    case STEP_PASS:
        *now += (PhTime)step->times * PH_NS_PER_MS;
        break;
    }
}

static void
dispatch_run(const PhDispatchCase *c)
{
    PhDispatchers *d = PhDispatchers_Create();
    PhTime now = 100 * PH_NS_PER_S;
    for (size_t i = 0; i < STEPS_MAX && c->steps[i].tag != STEP_END; i++) {
        step_run(d, &c->steps[i], &now);
    }
    PhDispatchers_Destroy(d);
}

static void
test_dispatchers(void **state)
{
    (void)state;
    Ph_RUN_TABLE(dispatch_cases, dispatch_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_dispatchers)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
