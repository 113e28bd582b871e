/* The scheduler against a fleet with faults: no task runs twice at a time, no
 * run number is used twice, no start leaves before its record is durable, no
 * worker is given more than it has room for, and every job ends. */
#include "schedule_world.h"
#include "single_task.h"
#include "tests/table.h"

enum {
    LIMIT_S = 240
};

typedef struct PhScheduleCase {
    const char *name;
    PhWorldOptions options;
    unsigned seeds;
} PhScheduleCase;

static const PhScheduleCase schedule_cases[] = {
    {"calm", {.workers = 4, .jobs = 20}, 3},
    {"answers are lost",
     {.workers = 4, .jobs = 20, .faults = FAULT_LOST_ANSWERS},
     5},
    {"orders are carried out late",
     {.workers = 4, .jobs = 20, .faults = FAULT_LATE_ORDERS},
     5},
    {"starts are refused and runs fail",
     {.workers = 4, .jobs = 20, .faults = FAULT_REFUSALS | FAULT_FAILURES},
     5},
    {"workers are born again",
     {.workers = 4, .jobs = 20, .faults = FAULT_REBIRTHS | FAULT_LATE_ORDERS},
     5},
    {"workers are cut off",
     {.workers = 4, .jobs = 20, .faults = FAULT_CUTS},
     5},
    {"owners take over",
     {.workers = 4, .jobs = 40, .faults = FAULT_TAKEOVERS},
     5},
    {"the store is down",
     {.workers = 4, .jobs = 20, .faults = FAULT_STORE_OUTAGE},
     5},
    {"gangs", {.workers = 6, .jobs = 20, .gang = true}, 5},
    {"gangs, starts are refused and runs fail",
     {.workers = 6,
      .jobs = 20,
      .gang = true,
      .faults = FAULT_REFUSALS | FAULT_FAILURES},
     5},
    {"gangs, all of it",
     {.workers = 8, .jobs = 30, .gang = true, .faults = 255},
     10},
    {"jobs with repetitions, owners take over",
     {.workers = 6,
      .jobs = 10,
      .rounds = 4,
      .faults = FAULT_TAKEOVERS | FAULT_FAILURES},
     5},
    {"all of it", {.workers = 6, .jobs = 60, .faults = 255}, 20},
    {"tasks that last, with all of it",
     {.workers = 6, .jobs = 5, .faults = 255, .long_running = true},
     10},
};

/* Plays one case with each of its seeds. */
static void
schedule_run(const PhScheduleCase *c)
{
    for (unsigned i = 1; i <= c->seeds; i++) {
        PhWorldOptions options = c->options;
        options.seed = i;
        PhWorld *w = PhWorld_Create(&options);
        bool over = PhWorld_Run(w, LIMIT_S * PH_NS_PER_S);
        print_message("#   seed %u: %u starts, %u takeovers\n", i,
                      PhWorld_Starts(w), PhWorld_Takeovers(w));
        assert_true(over);
        assert_true(PhWorld_Starts(w) > 0);
        PhWorld_Destroy(w);
    }
}

/* A worker with a run that falls silent after a takeover, whether it had
 * answered the new owner before, and whether its run is given up 8 s after the
 * takeover: one lease of 6 s after its last answer, or only when the earlier
 * owner can no longer grant one. */
typedef struct PhSilenceCase {
    const char *name;
    bool answered;
    bool given_up;
} PhSilenceCase;

static const PhSilenceCase silence_cases[] = {
    {"it had answered the new owner", true, true},
    {"it never answered the new owner", false, false},
};

/* Lets a record, a takeover, an answer and silence follow each other. */
static void
silence_run(const PhSilenceCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhTime now = 100 * PH_NS_PER_S;
    PhSingle_ShowWorker(s, false, now);
    PhSchedTask *task = PhSingle_AddRun(s);
    PhScheduler_SetFence(s, 7, now);
    PhSchedRunRow row = {.task = PhSchedTask_Name(task), .run = 1};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = 5000,
                              .born_ms = 1,
                              .runs = &row,
                              .run_count = 1};
    PhSchedHoldReply silence = {.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    PhScheduler_Plan(s, now, 0);
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, c->answered ? &reply : &silence,
                       now);
    PhScheduler_RemoveWorker(s, PH_SINGLE_WORKER, now);
    now += PH_NS_PER_S;
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &silence, now);
    now += 7 * PH_NS_PER_S;
    PhScheduler_Plan(s, now, 0);
    assert_int_equal(task->worker == NULL, c->given_up);
    PhScheduler_Destroy(s);
}

/* Silence after a takeover. */
static void
test_silence(void **state)
{
    (void)state;
    Ph_RUN_TABLE(silence_cases, silence_run);
}

/* An entry that names another life than the one that answers, and which life
 * is held afterwards.  Guards against a worker that is never held again after
 * an odd entry under its id. */
typedef struct PhReplacedCase {
    const char *name;
    int64_t entry_born_ms;
    int64_t answers_born_ms;
    int64_t held_born_ms;
} PhReplacedCase;

static const PhReplacedCase replaced_cases[] = {
    {"the same life", 1, 1, 1},
    {"a later life that answers", 2, 2, 2},
    {"a later life that was never there", 2, 1, 1},
};

/* Tells whether a life of the worker is held, and answers all orders; what is
 * placed there runs. */
static bool
is_held(PhScheduler *s, const PhSchedTask *task, const PhReplacedCase *c,
        PhTime now)
{
    PhSchedAction action;
    bool held = false;
    PhScheduler_Plan(s, now, 0);
    while (PhScheduler_NextAction(s, now, &action)) {
        PhSchedRunRow row = {.task = PhSchedTask_Name(task), .run = task->run};
        PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                                  .clock_ms = now / PH_NS_PER_MS,
                                  .born_ms = c->answers_born_ms,
                                  .runs = &row,
                                  .run_count = task->worker != NULL};
        if (action.tag == PH_SCHED_ACTION_HOLD) {
            held |= action.born_ms == c->held_born_ms;
            PhScheduler_OnHold(s, PH_SINGLE_WORKER, action.born_ms, &reply,
                               now);
        }
    }
    PhScheduler_ForgetWorkers(s);
    PhScheduler_ClearNotes(s);
    return held;
}

/* Lets an entry come between those of the true life. */
static void
replaced_run(const PhReplacedCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhTime now = 100 * PH_NS_PER_S;
    PhSingle_ShowWorker(s, false, now);
    PhSchedTask *task = PhSingle_AddRun(s);
    PhScheduler_SetFence(s, 7, now);
    PhSchedWorkerEntry entry = {.id = PhStr_Dup(PH_SINGLE_WORKER),
                                .born_ms = c->entry_born_ms,
                                .address = PhStr_Dup(PhStr_LITERAL("a:1"))};
    PhScheduler_SetWorker(s, &entry, now);
    bool held = false;
    for (int i = 0; i < 5; i++) {
        now += 2 * PH_NS_PER_S;
        PhSingle_ShowWorker(s, false, now);
        held = is_held(s, task, c, now);
    }
    assert_true(held);
    PhScheduler_Destroy(s);
}

/* Entries that name another life. */
static void
test_replaced(void **state)
{
    (void)state;
    Ph_RUN_TABLE(replaced_cases, replaced_run);
}

/* A worker without tasks, and whether a job waits that does not fit there. */
typedef struct PhIdleCase {
    const char *name;
    bool waiting;
    unsigned most; /* looks within 10 s */
} PhIdleCase;

static const PhIdleCase idle_cases[] = {
    {"no job", false, 8},
    {"a job that waits", true, 8},
};

/* Counts the looks at an idle worker that answers at once. */
static void
idle_run(const PhIdleCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    if (c->waiting) {
        PhSingle_AddJob(PhScheduler_Model(s), PH_SINGLE_JOB,
                        (PhSchedStep){.count = 1, .room.cpu_milli = 1000});
    }
    PhTime now = 100 * PH_NS_PER_S;
    PhSingle_ShowWorker(s, false, now);
    PhScheduler_SetFence(s, 7, now);
    unsigned looks = 0;
    for (int ms = 0; ms < 10000; ms += 10) {
        PhSchedAction action;
        PhScheduler_Plan(s, now, 0);
        while (PhScheduler_NextAction(s, now, &action)) {
            PhSchedHoldReply reply = {
                .outcome = PH_SCHED_OUTCOME_DONE,
                .clock_ms = now / PH_NS_PER_MS,
                .born_ms = 1,
            };
            assert_int_equal(action.tag, PH_SCHED_ACTION_HOLD);
            looks++;
            PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
        }
        now += 10 * PH_NS_PER_MS;
    }
    assert_in_range(looks, 5, c->most);
    PhScheduler_Destroy(s);
}

/* Looks at idle workers. */
static void
test_idle(void **state)
{
    (void)state;
    Ph_RUN_TABLE(idle_cases, idle_run);
}

/* Every case. */
static void
test_schedule(void **state)
{
    (void)state;
    Ph_RUN_TABLE(schedule_cases, schedule_run);
}

/* Runs the tests. */
int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_silence), cmocka_unit_test(test_replaced),
        cmocka_unit_test(test_idle), cmocka_unit_test(test_schedule)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
