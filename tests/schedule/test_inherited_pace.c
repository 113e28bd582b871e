/* The pace ordered by an earlier owner is not recorded.  Guards against a fill
 * task that stays paused for good after a takeover, and blocks every task that
 * depends on it. */
#include "single_task.h"
#include "tests/table.h"

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

/* CPU use of a fill task when it is first listed, in millicores, and how often
 * the new owner orders full pace. */
typedef struct PhPaceCase {
    const char *name;
    int64_t usage_sample;
    unsigned orders;
} PhPaceCase;

static const PhPaceCase pace_cases[] = {
    {"it works", 1000, 1},
    {"it is slowed", 300, 1},
    {"it stands still", 0, 1},
    {"no sample yet", -1, 1},
};

/* When the new owner reads the job of a task whose run it knows from a record.
 */
typedef struct PhPaceRecordCase {
    const char *name;
    bool job_is_late;
} PhPaceRecordCase;

static const PhPaceRecordCase record_cases[] = {
    {"the job is known at the takeover", false},
    {"the job becomes known after it", true},
};

static PhSchedStep
fill_step(void)
{
    return (PhSchedStep){
        .count = 1, .fills = true, .resources.cpu_milli = 1000};
}

/* Lets the worker list the task for 5 s.  Returns how often full pace was
 * ordered; no other pace is. */
static unsigned
count_full_pace_orders(PhScheduler *s, int64_t usage_sample)
{
    PhSchedTaskName name = {.job = PH_SINGLE_JOB};
    unsigned orders = 0;
    for (PhTime now = TAKEOVER; now < TAKEOVER + 5 * PH_NS_PER_S;
         now += 100 * PH_NS_PER_MS) {
        PhSchedAction action;
        PhScheduler_Plan(s, now, 0);
        while (PhScheduler_NextAction(s, now, &action)) {
            PhSchedRunRow row = {
                .task = name, .run = 1, .usage_sample = usage_sample};
            PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                                      .clock_ms = now / PH_NS_PER_MS,
                                      .born_ms = 1,
                                      .runs = &row,
                                      .run_count = 1};
            if (action.tag == PH_SCHED_ACTION_HOLD) {
                PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
            }
            if (action.tag == PH_SCHED_ACTION_PACE) {
                assert_int_equal(action.as.run.percent, 100);
                orders++;
                PhScheduler_OnPace(s, &name, 1, PH_SCHED_OUTCOME_DONE, now);
            }
        }
    }
    return orders;
}

/* Takes over a running fill task. */
static void
pace_run(const PhPaceCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedModel *m = PhScheduler_Model(s);
    PhSingle_ShowWorker(s, false, TAKEOVER);
    PhSchedTask *task = PhSingle_AddJob(m, PH_SINGLE_JOB, fill_step());
    task->run = 1;
    task->percent = 100;
    task->percent_sent = 100;
    PhSchedTask_Place(task, PhSchedModel_Worker(m, PH_SINGLE_WORKER, 1));
    PhScheduler_SetFence(s, 7, TAKEOVER);
    assert_int_equal(count_full_pace_orders(s, c->usage_sample), c->orders);
    PhScheduler_Destroy(s);
}

/* Reads the record of a running task. */
static void
run_read(PhScheduler *s)
{
    PhSchedRecord record = {.tag = PH_SCHED_RECORD_STAGE,
                            .id = PhStr_Dup(PH_SINGLE_JOB),
                            .as.stage.task_count = 1};
    record.as.stage.tasks = g_new0(PhSchedTaskRecord, 1);
    record.as.stage.tasks[0] =
        (PhSchedTaskRecord){.state = PH_SCHED_TASK_RUNNING,
                            .run = 1,
                            .worker = PhStr_Dup(PH_SINGLE_WORKER),
                            .worker_born_ms = 1};
    PhScheduler_Apply(s, &record, TAKEOVER);
}

static void
pace_record_run(const PhPaceRecordCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedRecord job = {.tag = PH_SCHED_RECORD_JOB,
                         .as.job = PhSingle_Spec(PH_SINGLE_JOB, fill_step())};
    PhSingle_ShowWorker(s, false, TAKEOVER);
    run_read(s);
    if (c->job_is_late) {
        PhScheduler_SetFence(s, 7, TAKEOVER);
    }
    assert_int_equal(PhScheduler_Apply(s, &job, TAKEOVER), PH_STATUS_OK);
    if (!c->job_is_late) {
        PhScheduler_SetFence(s, 7, TAKEOVER);
    }
    assert_int_equal(count_full_pace_orders(s, 0), 1);
    PhScheduler_Destroy(s);
}

/* The new owner orders the pace of each inherited fill task, whatever its
 * sample: that is rough, and an order of the earlier owner may not show yet.
 */
static void
test_inherited_pace(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pace_cases, pace_run);
}

static void
test_recorded_run(void **state)
{
    (void)state;
    Ph_RUN_TABLE(record_cases, pace_record_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_inherited_pace),
                                       cmocka_unit_test(test_recorded_run)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
