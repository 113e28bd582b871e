/* The scheduler against a simulated fleet with faults.  Guards against tasks
 * that run twice at a time, reused run numbers, starts before their record is
 * durable, overcommitted workers, starts in a cordoned data centre, and jobs
 * that do not end. */
#include "schedule_sim.h"
#include "single_task.h"
#include "tests/table.h"

enum {
    LIMIT_S = 240
};

typedef struct PhScheduleCase {
    const char *name;
    PhSchedSimOptions options;
    unsigned seeds;
} PhScheduleCase;

static const PhScheduleCase schedule_cases[] = {
    {"no faults", {.workers = 4, .jobs = 20}, 3},
    {"replies are lost",
     {.workers = 4, .jobs = 20, .faults = FAULT_REPLIES_LOST},
     5},
    {"orders are executed late",
     {.workers = 4, .jobs = 20, .faults = FAULT_ORDERS_LATE},
     5},
    {"starts are refused and runs fail",
     {.workers = 4, .jobs = 20, .faults = FAULT_REFUSALS | FAULT_FAILURES},
     5},
    {"workers restart",
     {.workers = 4, .jobs = 20, .faults = FAULT_RESTARTS | FAULT_ORDERS_LATE},
     5},
    {"workers are unreachable",
     {.workers = 4, .jobs = 20, .faults = FAULT_UNREACHABLE},
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
    {"gangs, all faults",
     {.workers = 8, .jobs = 30, .gang = true, .faults = 255},
     10},
    {"jobs with repetitions, owners take over",
     {.workers = 6,
      .jobs = 10,
      .rounds = 4,
      .faults = FAULT_TAKEOVERS | FAULT_FAILURES},
     5},
    {"all faults", {.workers = 6, .jobs = 60, .faults = 255}, 20},
    {"long-running tasks, all faults",
     {.workers = 6, .jobs = 5, .faults = 255, .long_running = true},
     10},
    {"a data centre is cordoned",
     {.workers = 4, .jobs = 40, .faults = FAULT_CORDONS},
     5},
    {"gangs, all faults and cordons",
     {.workers = 8, .jobs = 30, .gang = true, .faults = 511},
     10},
    {"all faults and cordons", {.workers = 6, .jobs = 60, .faults = 511}, 20},
    {"long-running tasks, all faults and cordons",
     {.workers = 6, .jobs = 5, .faults = 511, .long_running = true},
     10},
};

static void
schedule_run(const PhScheduleCase *c)
{
    for (unsigned i = 1; i <= c->seeds; i++) {
        PhSchedSimOptions options = c->options;
        options.seed = i;
        PhSchedSim *sim = PhSchedSim_Create(&options);
        bool finished = PhSchedSim_Run(sim, LIMIT_S * PH_NS_PER_S);
        print_message("#   seed %u: %u starts, %u takeovers\n", i,
                      PhSchedSim_Starts(sim), PhSchedSim_Takeovers(sim));
        assert_true(finished);
        assert_true(PhSchedSim_Starts(sim) > 0);
        PhSchedSim_Destroy(sim);
    }
}

/* A worker with a run that stops answering after a takeover, and whether the
 * run is given up within 8 s.  If the worker has answered the new owner, one
 * lease of 6 s after that answer is the bound; otherwise the earlier owner may
 * still have granted one. */
typedef struct PhSilenceCase {
    const char *name;
    bool answered;
    bool given_up;
} PhSilenceCase;

static const PhSilenceCase silence_cases[] = {
    {"it had answered the new owner", true, true},
    {"it never answered the new owner", false, false},
};

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
    PhScheduler_RemoveWorker(s, PH_SINGLE_WORKER, PH_REMOVAL_MISSING, now);
    now += PH_NS_PER_S;
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &silence, now);
    now += 7 * PH_NS_PER_S;
    PhScheduler_Plan(s, now, 0);
    assert_int_equal(task->worker == NULL, c->given_up);
    PhScheduler_Destroy(s);
}

/* Guards against giving up a run whose lease an earlier owner may still
 * renew. */
static void
test_silence(void **state)
{
    (void)state;
    Ph_RUN_TABLE(silence_cases, silence_run);
}

/* The incarnation that an entry between those of the worker names, the one
 * that answers, and the one that gets holds afterwards. */
typedef struct PhOtherEntryCase {
    const char *name;
    int64_t entry_born_ms;
    int64_t answers_born_ms;
    int64_t hold_born_ms;
} PhOtherEntryCase;

static const PhOtherEntryCase other_entry_cases[] = {
    {"the same incarnation", 1, 1, 1},
    {"a later incarnation that answers", 2, 2, 2},
    {"a later incarnation that does not exist", 2, 1, 1},
};

/* Answers all orders, listing the run while it is placed.  Returns whether the
 * expected incarnation got a hold. */
static bool
gets_hold(PhScheduler *s, const PhSchedTask *task, const PhOtherEntryCase *c,
          PhTime now)
{
    PhSchedAction action;
    bool got_hold = false;
    PhScheduler_Plan(s, now, 0);
    while (PhScheduler_NextAction(s, now, &action)) {
        PhSchedRunRow row = {.task = PhSchedTask_Name(task), .run = task->run};
        PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                                  .clock_ms = now / PH_NS_PER_MS,
                                  .born_ms = c->answers_born_ms,
                                  .runs = &row,
                                  .run_count = task->worker != NULL};
        if (action.tag == PH_SCHED_ACTION_HOLD) {
            got_hold |= action.born_ms == c->hold_born_ms;
            PhScheduler_OnHold(s, PH_SINGLE_WORKER, action.born_ms, &reply,
                               now);
        }
    }
    PhScheduler_RemoveDeadWorkers(s);
    PhScheduler_ClearEvents(s);
    return got_hold;
}

/* Gives the scheduler the entry of incarnation 1, once that of the case, and
 * then that of incarnation 1 every 2 s.  In the fifth round the expected
 * incarnation must get a hold. */
static void
other_entry_run(const PhOtherEntryCase *c)
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
    bool got_hold = false;
    for (int i = 0; i < 5; i++) {
        now += 2 * PH_NS_PER_S;
        PhSingle_ShowWorker(s, false, now);
        got_hold = gets_hold(s, task, c, now);
    }
    assert_true(got_hold);
    PhScheduler_Destroy(s);
}

/* Guards against a worker that gets no holds after a wrong entry under its
 * id. */
static void
test_other_entry(void **state)
{
    (void)state;
    Ph_RUN_TABLE(other_entry_cases, other_entry_run);
}

/* A worker without tasks, and whether a job that does not fit on it is
 * queued. */
typedef struct PhIdleCase {
    const char *name;
    bool waiting;
    unsigned max_holds; /* holds within 10 s */
} PhIdleCase;

static const PhIdleCase idle_cases[] = {
    {"no job", false, 8},
    {"a queued job", true, 8},
};

/* Counts the holds to an idle worker that answers at once. */
static void
idle_run(const PhIdleCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    if (c->waiting) {
        PhSingle_AddJob(
            PhScheduler_Model(s), PH_SINGLE_JOB,
            (PhSchedStep){.count = 1, .resources.cpu_milli = 1000});
    }
    PhTime now = 100 * PH_NS_PER_S;
    PhSingle_ShowWorker(s, false, now);
    PhScheduler_SetFence(s, 7, now);
    unsigned holds = 0;
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
            holds++;
            PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
        }
        now += 10 * PH_NS_PER_MS;
    }
    assert_in_range(holds, 5, c->max_holds);
    PhScheduler_Destroy(s);
}

/* Guards against idle workers that are polled without a pause, or not at
 * all. */
static void
test_idle(void **state)
{
    (void)state;
    Ph_RUN_TABLE(idle_cases, idle_run);
}

/* Guards against broken scheduling guarantees under each kind of fault. */
static void
test_schedule(void **state)
{
    (void)state;
    Ph_RUN_TABLE(schedule_cases, schedule_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_silence), cmocka_unit_test(test_other_entry),
        cmocka_unit_test(test_idle), cmocka_unit_test(test_schedule)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
