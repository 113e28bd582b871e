/* The pace ordered by an earlier owner is not recorded.  Guards against a fill
 * task that stays paused for good after a takeover, and blocks every task that
 * depends on it. */
#include "single_task.h"
#include "tests/table.h"

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

/* CPU use of a fill task when it is first listed, in millicores, and whether
 * the new owner orders full pace. */
typedef struct PhPaceCase {
    const char *name;
    int64_t usage_sample;
    bool ordered;
} PhPaceCase;

static const PhPaceCase pace_cases[] = {
    {"it works", 1000, false},
    {"it stands still", 0, true},
};

/* Lets the worker list the task for 5 s.  Returns whether full pace was
 * ordered. */
static bool
is_full_pace_ordered(PhScheduler *s, const PhSchedTask *task,
                     int64_t usage_sample)
{
    bool ordered = false;
    for (PhTime now = TAKEOVER; now < TAKEOVER + 5 * PH_NS_PER_S;
         now += 100 * PH_NS_PER_MS) {
        PhSchedAction action;
        PhScheduler_Plan(s, now, 0);
        while (PhScheduler_NextAction(s, now, &action)) {
            PhSchedRunRow row = {.task = PhSchedTask_Name(task),
                                 .run = task->run,
                                 .usage_sample = usage_sample};
            PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                                      .clock_ms = now / PH_NS_PER_MS,
                                      .born_ms = 1,
                                      .runs = &row,
                                      .run_count = 1};
            if (action.tag == PH_SCHED_ACTION_HOLD) {
                PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
            }
            ordered |= action.tag == PH_SCHED_ACTION_PACE &&
                       action.as.run.percent == 100;
        }
    }
    return ordered;
}

/* Takes over a running fill task. */
static void
pace_run(const PhPaceCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedModel *m = PhScheduler_Model(s);
    PhSingle_ShowWorker(s, false, TAKEOVER);
    PhSchedTask *task = PhSingle_AddJob(
        m, PH_SINGLE_JOB,
        (PhSchedStep){.count = 1, .fills = true, .resources.cpu_milli = 1000});
    task->run = 1;
    task->percent = 100;
    task->percent_sent = 100;
    PhSchedTask_Place(task, PhSchedModel_Worker(m, PH_SINGLE_WORKER, 1));
    PhScheduler_SetFence(s, 7, TAKEOVER);
    assert_int_equal(is_full_pace_ordered(s, task, c->usage_sample),
                     c->ordered);
    PhScheduler_Destroy(s);
}

/* A paused fill task is ordered to work again. */
static void
test_inherited_pace(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pace_cases, pace_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_inherited_pace)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
