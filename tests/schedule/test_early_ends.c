/* Ends of runs whose job the owner has not read yet, although it has the job's
 * records.  Guards against acknowledging such an end without applying it,
 * after which the task would run again. */
#include "single_task.h"
#include "tests/table.h"

enum {
    END = 5, /* number of the end at the worker */
};

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

/* Time after the takeover at which the job is read, and the end that a hold
 * acknowledges before that. */
typedef struct PhEarlyEndCase {
    const char *name;
    int64_t known_ms; /* -1: before the takeover */
    uint64_t before;
} PhEarlyEndCase;

static const PhEarlyEndCase early_end_cases[] = {
    {"the job is known", -1, END},
    {"the job is read after the takeover", 1000, 0},
};

static PhSchedTask *
job_add(PhSchedModel *m)
{
    return PhSingle_AddJob(
        m, PH_SINGLE_JOB,
        (PhSchedStep){.count = 1, .resources.cpu_milli = 1000});
}

/* Applies the record of the job's run on the worker. */
static void
read_stage(PhScheduler *s)
{
    PhSchedModel *other = PhSchedModel_Create();
    PhSchedTask *task = job_add(other);
    task->run = 1;
    PhSchedTask_Place(task, PhSchedModel_Worker(other, PH_SINGLE_WORKER, 1));
    PhSchedRecord record = PhSchedRecord_OfStage(task->stage, 0);
    PhScheduler_Apply(s, &record, TAKEOVER);
    PhSchedModel_Destroy(other);
}

/* Answers holds until a time, listing the end until a hold has acknowledged
 * it.  Takes and returns the newest end acknowledged so far. */
static uint64_t
answer_holds(PhScheduler *s, PhTime *now, PhTime until, uint64_t seen)
{
    for (; *now < until; *now += 100 * PH_NS_PER_MS) {
        PhSchedAction action;
        PhScheduler_Plan(s, *now, 0);
        while (PhScheduler_NextAction(s, *now, &action)) {
            PhSchedEndRow end = {.number = END,
                                 .task = {.job = PH_SINGLE_JOB},
                                 .run = 1,
                                 .kind = PH_SCHED_END_DONE};
            assert_int_equal(action.tag, PH_SCHED_ACTION_HOLD);
            assert_in_range(action.as.hold.last_seen, 0, END);
            seen = MAX(seen, action.as.hold.last_seen);
            PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                                      .clock_ms = *now / PH_NS_PER_MS,
                                      .born_ms = 1,
                                      .ends = &end,
                                      .end_count = seen < END};
            PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, *now);
        }
        PhSingle_RecordAll(s);
    }
    return seen;
}

static void
early_end_run(const PhEarlyEndCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhTime now = TAKEOVER;
    PhTime known = TAKEOVER + c->known_ms * PH_NS_PER_MS;
    PhSingle_ShowWorker(s, false, now);
    if (c->known_ms < 0) {
        job_add(PhScheduler_Model(s));
    }
    read_stage(s);
    PhScheduler_SetFence(s, 7, now);
    PhTime until = MAX(known, now + PH_NS_PER_S);
    uint64_t seen = answer_holds(s, &now, until, 0);
    assert_int_equal(seen, c->before);
    PhSchedTask *task = job_add(PhScheduler_Model(s));
    seen = answer_holds(s, &now, now + PH_NS_PER_S, seen);
    assert_int_equal(seen, END);
    assert_int_equal(task->state, PH_SCHED_TASK_DONE);
    PhScheduler_Destroy(s);
}

/* The end is acknowledged only once the job is known and the task is done. */
static void
test_early_ends(void **state)
{
    (void)state;
    Ph_RUN_TABLE(early_end_cases, early_end_run);
}

/* A reply to a hold that does not list a run, and whether the run counts as
 * ended. */
typedef struct PhAbsentCase {
    const char *name;
    bool unknown; /* the reply lists an end of an unknown job */
    bool more;
    bool ended;
} PhAbsentCase;

static const PhAbsentCase absent_cases[] = {
    {"no other ends", false, false, true},
    {"its end may follow an unacknowledged one", true, false, false},
    {"its end may be on the next page", false, true, false},
};

static void
absent_run(const PhAbsentCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSingle_ShowWorker(s, false, TAKEOVER);
    PhSchedTask *task = PhSingle_AddRun(s);
    PhScheduler_SetFence(s, 7, TAKEOVER);
    PhScheduler_Plan(s, TAKEOVER, 0);
    PhSchedEndRow end = {.number = END,
                         .task = {.job = PhStr_LITERAL("00000000000000bb")},
                         .run = 1};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = 5000,
                              .born_ms = 1,
                              .ends = &end,
                              .end_count = c->unknown,
                              .more = c->more};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, TAKEOVER);
    assert_int_equal(task->worker == NULL, c->ended);
    PhScheduler_Destroy(s);
}

/* Guards against giving up a run whose end is listed later. */
static void
test_absent(void **state)
{
    (void)state;
    Ph_RUN_TABLE(absent_cases, absent_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_early_ends),
                                       cmocka_unit_test(test_absent)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
