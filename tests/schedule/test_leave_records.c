/* Whether the owner records that a worker with tasks leaves.  Without the
 * record, the next owner counts the lease of a worker that stays. */
#include "single_task.h"
#include "tests/table.h"

enum {
    FENCE = 7,
    CLOCK_MS = 5000,
    PLANS = 20,
};

static const PhTime START = 100 * PH_NS_PER_S;
static const PhTime TAKEOVER = 101 * PH_NS_PER_S;
static const PhTime INTERVAL = 100 * PH_NS_PER_MS;

/* `listed_at` is the time at which the entry says that the worker drains. */
typedef struct PhLeaveCase {
    const char *name;
    PhTime listed_at;
} PhLeaveCase;

static const PhLeaveCase leave_cases[] = {
    {"listed while this is the owner", 101500 * PH_NS_PER_MS},
    {"listed before the takeover", 100500 * PH_NS_PER_MS},
};

/* The worker lists its run in answer to each hold. */
static void
holds_answer(PhScheduler *s, PhTime now)
{
    PhSchedAction a;
    PhSchedRunRow row = {.task = {.job = PH_SINGLE_JOB}, .run = 1};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = CLOCK_MS + now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .runs = &row,
                              .run_count = 1};
    PhScheduler_Plan(s, now, 0);
    while (PhScheduler_NextAction(s, now, &a)) {
        if (a.tag == PH_SCHED_ACTION_HOLD) {
            PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
        }
    }
}

/* Returns whether a record says that the worker leaves. */
static bool
leave_take(PhScheduler *s)
{
    bool leaves = false;
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    uint64_t batch = PhScheduler_TakeBatch(s, records);
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord *record = &g_array_index(records, PhSchedRecord, i);
        leaves |=
            record->tag == PH_SCHED_RECORD_WORKER && record->as.worker.leaving;
        PhSchedRecord_Clear(record);
    }
    g_array_free(records, TRUE);
    if (batch != 0) {
        PhScheduler_OnDurable(s, batch);
    }
    return leaves;
}

static void
leave_run(const PhLeaveCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    bool recorded = false;
    PhSingle_ShowWorker(s, false, START);
    PhSingle_AddRun(s);
    for (int i = 0; i < PLANS; i++) {
        PhTime now = START + i * INTERVAL;
        if (now == TAKEOVER) {
            PhScheduler_SetFence(s, FENCE, now);
        }
        if (now == c->listed_at) {
            PhSingle_ShowWorker(s, true, now);
        }
        holds_answer(s, now);
        recorded |= leave_take(s);
    }
    PhScheduler_Destroy(s);
    assert_true(recorded);
}

/* Guards against a successor that waits for a long lease of a worker whose
 * leave was announced between two owners. */
static void
test_leave_records(void **state)
{
    (void)state;
    Ph_RUN_TABLE(leave_cases, leave_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_leave_records)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
