/* Drives one appender with single events. */
#include "peridothill/decide/config/config_appender.h"

#include "tests/table.h"

/* Result of the append, whether a verdict follows, and the status that the
 * operator gets with the verdict or at the deadline. */
typedef struct PhAppendCase {
    const char *name;
    bool answered;
    PhStatus appended;
    bool decided;
    PhStatus final_status;
} PhAppendCase;

static const PhAppendCase append_cases[] = {
    {"accepted", true, PH_STATUS_OK, true, PH_STATUS_OK},
    {"appended, not decided", true, PH_STATUS_OK, false, PH_STATUS_UNKNOWN},
    {"no answer", false, PH_STATUS_OK, false, PH_STATUS_UNKNOWN},
    {"answer lost", true, PH_STATUS_UNKNOWN, false, PH_STATUS_UNKNOWN},
    {"answer lost, then decided", true, PH_STATUS_UNKNOWN, true, PH_STATUS_OK},
    {"log down", true, PH_STATUS_UNAVAILABLE, false, PH_STATUS_UNAVAILABLE},
    {"log over its rate limit", true, PH_STATUS_FULL, false,
     PH_STATUS_UNAVAILABLE},
};

/* Returns the status of the last answer, PH_STATUS_GONE if none, and adds the
 * number of appended patches to `count`. */
static PhStatus
appender_handle_count(PhConfigAppender *a, PhTime now,
                      const PhAppendEvent *event, size_t *count)
{
    PhStatus final_status = PH_STATUS_GONE;
    GArray *actions = PhAppendActions_Create();
    PhConfigAppender_Handle(a, now, event, actions);
    for (guint i = 0; i < actions->len; i++) {
        const PhAppendAction *x = &g_array_index(actions, PhAppendAction, i);
        if (x->kind == PH_APPEND_ACTION_ANSWER) {
            final_status = x->as.answer.result.status;
        }
        else {
            *count += x->as.append.count;
        }
    }
    g_array_free(actions, TRUE);
    return final_status;
}

static PhStatus
appender_handle(PhConfigAppender *a, PhTime now, const PhAppendEvent *event)
{
    size_t count = 0;
    return appender_handle_count(a, now, event, &count);
}

static void
check_append(const PhAppendCase *c)
{
    PhRandom *random = PhRandom_Create(1);
    PhConfigAppender *a = PhConfigAppender_Create(&(PhConfigAppenderOptions){
        .random = random, .appends_per_second = 150, .queue_limit = 4});
    PhConfigPatch patch = {.id = PhStr_LITERAL("p")};
    PhAppendEvent event = {
        .kind = PH_APPEND_EVENT_SUBMIT,
        .as.submit = {.patch = &patch, .deadline = PH_NS_PER_S / 4}};
    PhConfigVerdict verdict = {.id = patch.id, .version = 1};
    assert_int_equal(appender_handle(a, 0, &event), PH_STATUS_GONE);
    if (c->answered) {
        event = (PhAppendEvent){.kind = PH_APPEND_EVENT_APPENDED,
                                .as.appended = c->appended};
        assert_int_equal(appender_handle(a, 1, &event), PH_STATUS_GONE);
    }
    event = (PhAppendEvent){.kind = PH_APPEND_EVENT_TICK};
    if (c->decided) {
        event = (PhAppendEvent){.kind = PH_APPEND_EVENT_DECIDED,
                                .as.decided = &verdict};
    }
    PhTime at = c->decided ? 2 : PH_NS_PER_S / 4;
    assert_int_equal(appender_handle(a, at, &event), c->final_status);
    assert_int_equal(PhConfigAppender_PendingCount(a), 0);
    PhConfigAppender_Destroy(a);
    PhRandom_Destroy(random);
}

/* Guards against reporting a patch as not accepted when the log may have
 * appended it, and against reporting acceptance without a verdict. */
static void
test_answer_states_known_outcome(void **state)
{
    (void)state;
    Ph_RUN_TABLE(append_cases, check_append);
}

/* Instances that share the rate; of 40 queued patches, the number that one
 * instance appends at once while the log is healthy, and the maximum after an
 * outage once its probe has succeeded. */
typedef struct PhPaceCase {
    const char *name;
    size_t instances;
    size_t healthy;
    size_t after_outage;
} PhPaceCase;

static const PhPaceCase pace_cases[] = {
    {"one instance", 1, 32, 32},
    {"8 instances", 8, 32, 5},
    {"56 instances", 56, 32, 1},
    {"400 instances", 400, 32, 1},
};

/* Submits 40 patches at once and returns how many are appended within the next
 * second, during which no append is answered. */
static size_t
burst_run(PhConfigAppender *a, PhTime now)
{
    size_t count = 0;
    PhConfigPatch patch = {.id = PhStr_LITERAL("p")};
    PhAppendEvent submit = {
        .kind = PH_APPEND_EVENT_SUBMIT,
        .as.submit = {.patch = &patch, .deadline = PH_TIME_NEVER}};
    PhAppendEvent tick = {.kind = PH_APPEND_EVENT_TICK};
    for (int i = 0; i < 40; i++) {
        appender_handle_count(a, now, &submit, &count);
    }
    for (PhTime t = now; t < now + PH_NS_PER_S; t += PH_NS_PER_S / 100) {
        appender_handle_count(a, t, &tick, &count);
    }
    return count;
}

static void
check_pace(const PhPaceCase *c)
{
    PhRandom *random = PhRandom_Create(1);
    PhConfigAppender *a = PhConfigAppender_Create(&(PhConfigAppenderOptions){
        .random = random, .appends_per_second = 150, .queue_limit = 4096});
    PhAppendEvent event = {.kind = PH_APPEND_EVENT_INSTANCES,
                           .as.instances = c->instances};
    appender_handle(a, 0, &event);
    /* Only one append is in flight at a time. */
    assert_int_equal(burst_run(a, 0), 1);
    size_t count = 0;
    event = (PhAppendEvent){.kind = PH_APPEND_EVENT_APPENDED};
    appender_handle_count(a, PH_NS_PER_S, &event, &count);
    assert_int_equal(count, c->healthy);
    event.as.appended = PH_STATUS_UNAVAILABLE;
    appender_handle(a, 2 * PH_NS_PER_S, &event);
    PhTime probe = PhConfigAppender_NextTick(a);
    assert_true(probe >= 10 * PH_NS_PER_S);
    count = 0;
    event = (PhAppendEvent){.kind = PH_APPEND_EVENT_TICK};
    appender_handle_count(a, probe, &event, &count);
    assert_int_equal(count, 1);
    count = 0;
    event = (PhAppendEvent){.kind = PH_APPEND_EVENT_APPENDED};
    appender_handle_count(a, probe + 1, &event, &count);
    assert_true(count <= c->after_outage);
    PhConfigAppender_Destroy(a);
    PhRandom_Destroy(random);
}

/* Guards against instances that together exceed the append rate of the log
 * when it returns from an outage. */
static void
test_append_rate_after_outage(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pace_cases, check_pace);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_answer_states_known_outcome),
        cmocka_unit_test(test_append_rate_after_outage),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
