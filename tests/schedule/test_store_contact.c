/* Contact with the store.  Guards against calls that are refused because a
 * store is slow, a packet was lost or the process stood still, and against a
 * store that is out of reach without this instance knowing. */
#include "peridothill/decide/schedule/store_contact.h"

#include "tests/table.h"

enum {
    STEPS_MAX = 12,
    LIMIT_MS = 600,
    TICK_MS = 100,
    APPEND = 0, /* kinds of calls */
    READ = 1,
    PAGE = 2,
};

typedef enum PhContactOp {
    OP_END,
    OP_NONE,
    OP_SENT,    /* `value`: wait in ms, -1: its silence says nothing */
    OP_LARGE,   /* the same with `value` bytes and no wait */
    OP_ANSWER,  /* to the newest call of the kind */
    OP_EARLIER, /* answer to the call of the kind before that */
    OP_SILENT,
    OP_UNREACHABLE,
    OP_STILL, /* the process stands still until then */
} PhContactOp;

typedef struct PhContactStep {
    int64_t at_ms;
    PhContactOp op;
    unsigned kind;
    int64_t value;
    PhContactState state; /* after it */
} PhContactStep;

typedef struct PhContactCase {
    const char *name;
    PhContactStep steps[STEPS_MAX];
} PhContactCase;

#define UNPROVEN PH_CONTACT_UNPROVEN
#define REACHED PH_CONTACT_REACHED
#define LOST PH_CONTACT_LOST

static const PhContactCase contact_cases[] = {
    {"an append without an answer",
     {{0, OP_SENT, APPEND, 0, UNPROVEN},
      {10, OP_ANSWER, APPEND, 0, REACHED},
      {50, OP_SENT, APPEND, 0, REACHED},
      {649, OP_NONE, 0, 0, REACHED},
      {650, OP_NONE, 0, 0, LOST},
      {900, OP_ANSWER, APPEND, 0, REACHED}}},
    {"a read that waits on purpose",
     {{0, OP_SENT, READ, 0, UNPROVEN},
      {10, OP_ANSWER, READ, 0, REACHED},
      {10, OP_SENT, READ, 1000, REACHED},
      {1609, OP_NONE, 0, 0, REACHED},
      {1610, OP_NONE, 0, 0, LOST}}},
    {"a slow store, 500 ms for each append",
     {{0, OP_SENT, APPEND, 0, UNPROVEN},
      {500, OP_ANSWER, APPEND, 0, REACHED},
      {500, OP_SENT, APPEND, 0, REACHED},
      {1000, OP_ANSWER, APPEND, 0, REACHED},
      {1000, OP_SENT, APPEND, 0, REACHED},
      {1500, OP_ANSWER, APPEND, 0, REACHED}}},
    {"many records on a narrow link",
     {{0, OP_SENT, APPEND, 0, UNPROVEN},
      {10, OP_ANSWER, APPEND, 0, REACHED},
      {10, OP_LARGE, APPEND, 100000, REACHED},
      {1409, OP_NONE, 0, 0, REACHED},
      {1410, OP_NONE, 0, 0, LOST}}},
    {"a page of the newest records takes as long as it takes",
     {{0, OP_SENT, READ, 0, UNPROVEN},
      {10, OP_ANSWER, READ, 0, REACHED},
      {10, OP_SENT, PAGE, -1, REACHED},
      {2000, OP_NONE, 0, 0, REACHED}}},
    {"one append is lost, others are answered",
     {{0, OP_SENT, APPEND, 0, UNPROVEN},
      {300, OP_SENT, READ, 0, UNPROVEN},
      {310, OP_ANSWER, READ, 0, REACHED},
      {310, OP_SENT, READ, 1000, REACHED},
      {500, OP_SILENT, APPEND, 0, REACHED},
      {1300, OP_NONE, 0, 0, REACHED}}},
    {"one append is lost, its repetition is answered",
     {{0, OP_SENT, READ, 0, UNPROVEN},
      {10, OP_ANSWER, READ, 0, REACHED},
      {10, OP_SENT, APPEND, 0, REACHED},
      {510, OP_SILENT, APPEND, 0, REACHED},
      {605, OP_SENT, APPEND, 0, REACHED},
      {608, OP_ANSWER, APPEND, 0, REACHED},
      {2000, OP_NONE, 0, 0, REACHED}}},
    {"its repetition is not answered",
     {{0, OP_SENT, READ, 0, UNPROVEN},
      {10, OP_ANSWER, READ, 0, REACHED},
      {10, OP_SENT, APPEND, 0, REACHED},
      {510, OP_SILENT, APPEND, 0, REACHED},
      {605, OP_SENT, APPEND, 0, REACHED},
      {610, OP_NONE, 0, 0, LOST}}},
    {"an earlier read ends after the append was sent",
     {{0, OP_SENT, READ, 1000, UNPROVEN},
      {900, OP_SENT, APPEND, 0, UNPROVEN},
      {1000, OP_ANSWER, READ, 0, REACHED},
      {1599, OP_NONE, 0, 0, REACHED},
      {1600, OP_NONE, 0, 0, LOST}}},
    {"no connection, nor for the probe",
     {{0, OP_SENT, READ, 0, UNPROVEN},
      {10, OP_ANSWER, READ, 0, REACHED},
      {10, OP_SENT, READ, 1000, REACHED},
      {20, OP_UNREACHABLE, READ, 0, REACHED},
      {20, OP_SENT, PAGE, 0, REACHED},
      {21, OP_UNREACHABLE, PAGE, 0, LOST},
      {200, OP_SENT, READ, 0, LOST},
      {210, OP_ANSWER, READ, 0, REACHED}}},
    {"no connection, and the probe has no answer",
     {{0, OP_SENT, READ, 0, UNPROVEN},
      {10, OP_ANSWER, READ, 0, REACHED},
      {10, OP_SENT, READ, 1000, REACHED},
      {20, OP_UNREACHABLE, READ, 0, REACHED},
      {20, OP_SENT, PAGE, 0, REACHED},
      {619, OP_NONE, 0, 0, REACHED},
      {620, OP_NONE, 0, 0, LOST}}},
    {"one call fails again and again, and probes are answered",
     {{0, OP_SENT, APPEND, 0, UNPROVEN},
      {10, OP_UNREACHABLE, APPEND, 0, UNPROVEN},
      {10, OP_SENT, PAGE, 0, UNPROVEN},
      {11, OP_ANSWER, PAGE, 0, REACHED},
      {110, OP_SENT, APPEND, 0, REACHED},
      {120, OP_UNREACHABLE, APPEND, 0, REACHED},
      {120, OP_SENT, PAGE, 0, REACHED},
      {121, OP_ANSWER, PAGE, 0, REACHED}}},
    {"two calls fail with one connection",
     {{0, OP_SENT, APPEND, 0, UNPROVEN},
      {5, OP_SENT, READ, 0, UNPROVEN},
      {10, OP_UNREACHABLE, APPEND, 0, UNPROVEN},
      {10, OP_UNREACHABLE, READ, 0, UNPROVEN},
      {10, OP_SENT, PAGE, 0, UNPROVEN},
      {11, OP_ANSWER, PAGE, 0, REACHED}}},
    {"a connection is lost after a later call was answered",
     {{0, OP_SENT, APPEND, 0, UNPROVEN},
      {100, OP_SENT, READ, 0, UNPROVEN},
      {110, OP_ANSWER, READ, 0, REACHED},
      {120, OP_UNREACHABLE, APPEND, 0, REACHED}}},
    {"the answer to a call that is not tracked any more",
     {{0, OP_SENT, READ, 0, UNPROVEN},
      {100, OP_SENT, READ, 0, UNPROVEN},
      {599, OP_NONE, 0, 0, UNPROVEN},
      {600, OP_NONE, 0, 0, LOST},
      {710, OP_EARLIER, READ, 0, REACHED}}},
    {"the process stands still and answers wait",
     {{0, OP_SENT, READ, 0, UNPROVEN},
      {10, OP_ANSWER, READ, 0, REACHED},
      {10, OP_SENT, APPEND, 0, REACHED},
      {5000, OP_STILL, 0, 0, REACHED},
      {5005, OP_ANSWER, APPEND, 0, REACHED}}},
    {"the process stands still, and no answer waits",
     {{0, OP_SENT, READ, 0, UNPROVEN},
      {10, OP_ANSWER, READ, 0, REACHED},
      {10, OP_SENT, APPEND, 0, REACHED},
      {5000, OP_STILL, 0, 0, REACHED},
      {5000, OP_SILENT, APPEND, 0, REACHED},
      {5399, OP_NONE, 0, 0, REACHED},
      {5400, OP_NONE, 0, 0, LOST}}},
    {"nothing was sent for long",
     {{0, OP_SENT, READ, 0, UNPROVEN},
      {10, OP_ANSWER, READ, 0, REACHED},
      {2409, OP_NONE, 0, 0, REACHED},
      {2410, OP_NONE, 0, 0, UNPROVEN}}},
};

/* Observes the contact at each tick up to `at`, as the instance does. */
static void
pass_time(PhStoreContact *c, PhTime *now, PhTime at)
{
    while (*now + TICK_MS * PH_NS_PER_MS < at) {
        *now += TICK_MS * PH_NS_PER_MS;
        PhStoreContact_Observe(c, *now);
    }
    *now = at;
    PhStoreContact_Observe(c, at);
}

static void
contact_run(const PhContactCase *c)
{
    PhStoreContact x;
    PhTime now = 0;
    uint64_t id = 1;
    uint64_t newest[PH_CONTACT_CALLS_MAX] = {0};
    uint64_t earlier[PH_CONTACT_CALLS_MAX] = {0};
    PhStoreContact_Init(&x, LIMIT_MS * PH_NS_PER_MS, now);
    for (size_t i = 0; i < STEPS_MAX && c->steps[i].op != OP_END; i++) {
        const PhContactStep *s = &c->steps[i];
        PhTime at = s->at_ms * PH_NS_PER_MS;
        if (s->op != OP_STILL) {
            pass_time(&x, &now, at);
        }
        now = at;
        switch (s->op) {
        case OP_END:
        case OP_NONE:
            break;
        case OP_SENT:
        case OP_LARGE:
            earlier[s->kind] = newest[s->kind];
            newest[s->kind] = id++;
            PhStoreContact_OnSent(&x, s->kind, newest[s->kind],
                                  s->op == OP_LARGE ? 0
                                  : s->value < 0    ? PH_TIME_NEVER
                                                    : s->value * PH_NS_PER_MS,
                                  s->op == OP_LARGE ? (size_t)s->value : 0,
                                  now);
            break;
        case OP_ANSWER:
            PhStoreContact_OnEnd(&x, s->kind, newest[s->kind],
                                 PH_STORE_ANSWERS, now);
            break;
        case OP_EARLIER:
            PhStoreContact_OnEnd(&x, s->kind, earlier[s->kind],
                                 PH_STORE_ANSWERS, now);
            break;
        case OP_SILENT:
            PhStoreContact_OnEnd(&x, s->kind, newest[s->kind],
                                 PH_STORE_IS_SILENT, now);
            break;
        case OP_UNREACHABLE:
            PhStoreContact_OnEnd(&x, s->kind, newest[s->kind],
                                 PH_STORE_UNREACHABLE, now);
            break;
        case OP_STILL:
            PhStoreContact_Observe(&x, now);
            break;
        }
        print_message("#   step %zu at %lld ms\n", i, (long long)s->at_ms);
        assert_int_equal(PhStoreContact_State(&x), s->state);
    }
}

static void
test_store_contact(void **state)
{
    (void)state;
    Ph_RUN_TABLE(contact_cases, contact_run);
}

/* Time between calls to the store, and the time that the ticks count until
 * `end_ms`. */
typedef struct PhTickCase {
    const char *name;
    int64_t call_ms;
    int64_t still_from_ms; /* no tick until `still_to_ms` */
    int64_t still_to_ms;
    int64_t counted_ms;
} PhTickCase;

static const PhTickCase tick_cases[] = {
    {"no calls", 0, 0, 0, 1000},
    {"a call every 5 ms", 5, 0, 0, 1000},
    {"calls at the ticks", 100, 0, 0, 1000},
    {"the process stands still", 5, 300, 900, 600},
};

static void
tick_run(const PhTickCase *c)
{
    PhStoreContact x;
    PhTime counted = 0;
    PhStoreContact_Init(&x, LIMIT_MS * PH_NS_PER_MS, 0);
    for (int64_t ms = 1; ms <= 1000; ms++) {
        PhTime now = ms * PH_NS_PER_MS;
        bool still = ms > c->still_from_ms && ms < c->still_to_ms;
        if (!still && c->call_ms > 0 && ms % c->call_ms == 0) {
            PhStoreContact_OnSent(&x, APPEND, (uint64_t)ms, 0, 0, now);
            PhStoreContact_OnEnd(&x, APPEND, (uint64_t)ms, PH_STORE_ANSWERS,
                                 now);
        }
        if (!still && ms % TICK_MS == 0) {
            counted += PhStoreContact_Tick(&x, now);
        }
    }
    assert_int_equal(counted, c->counted_ms * PH_NS_PER_MS);
}

/* Guards against an owner whose silence is never noticed because calls to the
 * store end between the ticks. */
static void
test_ticks(void **state)
{
    (void)state;
    Ph_RUN_TABLE(tick_cases, tick_run);
}

/* Guards against a store that counts as lost without a limit. */
static void
test_no_limit(void **state)
{
    (void)state;
    PhStoreContact x;
    PhStoreContact_Init(&x, 0, 0);
    PhStoreContact_OnSent(&x, APPEND, 1, 0, 0, 0);
    PhStoreContact_OnEnd(&x, APPEND, 1, PH_STORE_UNREACHABLE, PH_NS_PER_S);
    assert_int_equal(PhStoreContact_State(&x), REACHED);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_store_contact),
                                       cmocka_unit_test(test_ticks),
                                       cmocka_unit_test(test_no_limit)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
