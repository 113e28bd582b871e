/* The order in which starts are sent while more are queued than may be
 * outstanding.  Guards against interrupted lasting tasks that stay down behind
 * the starts of others (LOST). */
#include "single_task.h"
#include "tests/table.h"

#define OTHER_JOB PhStr_LITERAL("00000000000000bb")

enum {
    OTHERS = 20,     /* tasks that are placed before */
    OUTSTANDING = 8, /* starts that an owner sends at first */
    CLOCK_MS = 5000,
};

static const uint64_t FENCE = 7;
static const PhTime START = 100 * PH_NS_PER_S;
static const PhTime LATER = 101 * PH_NS_PER_S;

/* A task that is placed when the starts of others are queued. */
typedef struct PhStartOrderCase {
    const char *name;
    bool long_running;
    uint32_t runs;   /* it has had */
    unsigned behind; /* queued starts that go before, expected */
} PhStartOrderCase;

static const PhStartOrderCase start_order_cases[] = {
    {"lasting, interrupted", true, 1, 0},
    {"lasting, interrupted more than once", true, 3, 0},
    {"lasting, has never run", true, 0, OTHERS - OUTSTANDING},
    {"ends, and has run before", false, 1, OTHERS - OUTSTANDING},
    {"ends, has never run", false, 0, OTHERS - OUTSTANDING},
};

static PhScheduler *
scheduler_create(void)
{
    PhScheduler *s = PhScheduler_Create(&(PhSchedulerOptions){
        .lease_limit = 10 * PH_NS_PER_S, .report_interval = PH_NS_PER_S});
    PhSchedHoldReply reply = {
        .outcome = PH_SCHED_OUTCOME_DONE, .clock_ms = CLOCK_MS, .born_ms = 1};
    PhSingle_ShowWorker(s, false, START);
    PhScheduler_SetFence(s, FENCE, START);
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, START);
    return s;
}

/* Places what waits, and records it. */
static void
tasks_place(PhScheduler *s, PhTime now)
{
    PhScheduler_Plan(s, now, 0);
    PhSingle_RecordAll(s);
}

/* Takes the next start; false if none may be sent. */
static bool
start_take(PhScheduler *s, PhTime now, PhSchedAction *action)
{
    while (PhScheduler_NextAction(s, now, action)) {
        if (action->tag == PH_SCHED_ACTION_START) {
            return true;
        }
    }
    return false;
}

static void
start_answer(PhScheduler *s, const PhSchedAction *start, PhTime now)
{
    PhSchedRunReply reply = {.task = start->as.run.task,
                             .run = start->as.run.run,
                             .born_ms = 1,
                             .outcome = PH_SCHED_OUTCOME_DONE,
                             .clock_ms = CLOCK_MS};
    assert_true(PhScheduler_OnStart(s, &reply, now));
}

static void
start_order_run(const PhStartOrderCase *c)
{
    PhScheduler *s = scheduler_create();
    PhSchedModel *model = PhScheduler_Model(s);
    PhSchedAction sent[OUTSTANDING];
    PhSchedAction next;
    unsigned behind = 0;
    PhSingle_AddJob(model, OTHER_JOB, (PhSchedStep){.count = OTHERS});
    tasks_place(s, START);
    for (unsigned i = 0; i < OUTSTANDING; i++) {
        assert_true(start_take(s, START, &sent[i]));
    }
    assert_false(start_take(s, START, &next));
    PhSchedTask *task = PhSingle_AddJob(
        model, PH_SINGLE_JOB,
        (PhSchedStep){.count = 1, .long_running = c->long_running});
    task->run = c->runs;
    tasks_place(s, LATER);
    assert_true(task->worker != NULL);
    start_answer(s, &sent[0], LATER);
    while (start_take(s, LATER, &next) &&
           PhStr_Equal(next.as.run.task.job, OTHER_JOB)) {
        behind++;
        start_answer(s, &next, LATER);
    }
    assert_int_equal(task->starts_sent, 1);
    assert_int_equal(behind, c->behind);
    PhScheduler_Destroy(s);
}

static void
test_start_order(void **state)
{
    (void)state;
    Ph_RUN_TABLE(start_order_cases, start_order_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_start_order)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
