/* Leases of a draining worker, and how long its runs count as running after it
 * has disappeared.  Guards against runs that are given up while a lease of an
 * earlier owner may still be valid, and against those of a worker that has
 * left being kept until its lease has expired. */
#include "single_task.h"
#include "tests/table.h"

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

/* A worker that answers a new owner once and disappears.  Times in
 * milliseconds; `recorded` is the time before the takeover at which the record
 * of the drain was read. */
typedef struct PhLeavingCase {
    const char *name;
    bool draining;
    bool on_record;
    int64_t recorded;
    int64_t lease;   /* granted by the new owner */
    int64_t held;    /* the run still counts at this time */
    int64_t expired; /* the run no longer counts at this time */
} PhLeavingCase;

static const PhLeavingCase leaving_cases[] = {
    {"not draining", false, false, 0, 6000, 6200, 6300},
    {"draining, earlier owners may not know", true, false, 0, 3000, 6200,
     6300},
    {"draining, an owner has just learned it", true, true, 0, 3000, 6200,
     6300},
    {"draining, owners have known for 2 s", true, true, 2000, 3000, 4200,
     4300},
    {"draining, owners have known for 10 s", true, true, 10000, 3000, 3100,
     3300},
    {"draining only according to the record", false, true, 10000, 3000, 3100,
     3300},
};

static void
apply_draining_record(PhScheduler *s, PhTime now)
{
    PhSchedRecord record = {.tag = PH_SCHED_RECORD_WORKER,
                            .id = PhStr_Dup(PH_SINGLE_WORKER),
                            .as.worker = {.born_ms = 1, .leaving = true}};
    PhScheduler_Apply(s, &record, now);
}

static PhSchedAction
next_hold(PhScheduler *s, PhTime now)
{
    PhSchedAction action;
    PhScheduler_Plan(s, now, 0);
    assert_true(PhScheduler_NextAction(s, now, &action));
    assert_int_equal(action.tag, PH_SCHED_ACTION_HOLD);
    return action;
}

static bool
counts_after(PhScheduler *s, const PhSchedTask *task, int64_t ms)
{
    PhScheduler_Plan(s, TAKEOVER + ms * PH_NS_PER_MS, 0);
    return task->worker != NULL;
}

static void
leaving_run(const PhLeavingCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    if (c->on_record) {
        apply_draining_record(s, TAKEOVER - c->recorded * PH_NS_PER_MS);
    }
    PhSingle_ShowWorker(s, c->draining, TAKEOVER);
    PhSchedTask *task = PhSingle_AddRun(s);
    PhScheduler_SetFence(s, 7, TAKEOVER);
    assert_int_equal(next_hold(s, TAKEOVER).as.hold.deadline_ms, 0);
    PhSchedRunRow row = {.task = PhSchedTask_Name(task), .run = 1};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = 5000,
                              .born_ms = 1,
                              .runs = &row,
                              .run_count = 1};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, TAKEOVER);
    assert_int_equal(next_hold(s, TAKEOVER).as.hold.deadline_ms,
                     5000 + c->lease);
    PhScheduler_RemoveWorker(s, PH_SINGLE_WORKER, PH_REMOVAL_MISSING,
                             TAKEOVER);
    PhSchedHoldReply silence = {.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &silence, TAKEOVER);
    assert_true(counts_after(s, task, c->held));
    assert_false(counts_after(s, task, c->expired));
    PhScheduler_Destroy(s);
}

/* Guards against giving up a run before the longest lease that an owner may
 * have granted has expired. */
static void
test_leaving(void **state)
{
    (void)state;
    Ph_RUN_TABLE(leaving_cases, leaving_run);
}

enum {
    REPORT_INTERVAL_MS = 1000,
    LEASE_MS = 3000,
    WAIT_MS = 500,
    NEVER_WRITTEN = -1,
};

/* A worker that answers the owner, and whose entry disappears then, so long
 * after it was written at the earliest (NEVER_WRITTEN: not known). */
typedef struct PhDepartureCase {
    const char *name;
    bool draining;
    int64_t written_ms_ago;
    PhWorkerRemoval removal;
    int64_t report_interval_ms;
    bool returns; /* the entry is there again at once */
    bool left;    /* expected: the runs are given up at once */
    bool waits;   /* a hold is under way then, for WAIT_MS */
} PhDepartureCase;

static const PhDepartureCase departure_cases[] = {
    {"left", true, 1500, PH_REMOVAL_DELETED, REPORT_INTERVAL_MS, false, true},
    {"left or expired", true, 2000, PH_REMOVAL_DELETED, REPORT_INTERVAL_MS,
     false, false},
    {"expired", true, 3300, PH_REMOVAL_DELETED, REPORT_INTERVAL_MS, false,
     false},
    {"not draining", false, 1500, PH_REMOVAL_DELETED, REPORT_INTERVAL_MS,
     false, false},
    {"replaced by one that cannot be read", true, 1500, PH_REMOVAL_UNREADABLE,
     REPORT_INTERVAL_MS, false, false},
    {"missing among all entries", true, 1500, PH_REMOVAL_MISSING,
     REPORT_INTERVAL_MS, false, false},
    {"written at an unknown time", true, NEVER_WRITTEN, PH_REMOVAL_DELETED,
     REPORT_INTERVAL_MS, false, false},
    {"unknown report interval", true, 1500, PH_REMOVAL_DELETED, 0, false,
     false},
    {"left, and an answer is under way", true, 1500, PH_REMOVAL_DELETED,
     REPORT_INTERVAL_MS, false, true, true},
    {"back at once", true, 1500, PH_REMOVAL_DELETED, REPORT_INTERVAL_MS, true,
     false},
};

static void
entry_show(PhScheduler *s, const PhDepartureCase *c, PhTime now)
{
    PhSchedWorkerEntry entry = {
        .id = PhStr_Dup(PH_SINGLE_WORKER),
        .born_ms = 1,
        .address = PhStr_Dup(PhStr_LITERAL("a:1")),
        .capacity = {.cpu_milli = 8000},
        .draining = c->draining,
        .remaining = 5 * PH_NS_PER_S,
        .written_after = c->written_ms_ago == NEVER_WRITTEN
                             ? 0
                             : TAKEOVER - c->written_ms_ago * PH_NS_PER_MS};
    PhScheduler_SetWorker(s, &entry, now);
}

static void
departure_run(const PhDepartureCase *c)
{
    PhScheduler *s = PhScheduler_Create(&(PhSchedulerOptions){
        .lease_limit = LEASE_MS * PH_NS_PER_MS,
        .report_interval = c->report_interval_ms * PH_NS_PER_MS});
    entry_show(s, c, TAKEOVER);
    PhSchedTask *task = PhSingle_AddRun(s);
    PhScheduler_SetFence(s, 7, TAKEOVER);
    next_hold(s, TAKEOVER);
    PhSchedRunRow row = {.task = PhSchedTask_Name(task), .run = 1};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = 5000,
                              .born_ms = 1,
                              .runs = &row,
                              .run_count = 1};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, TAKEOVER);
    next_hold(s, TAKEOVER);
    PhScheduler_RemoveWorker(s, PH_SINGLE_WORKER, c->removal, TAKEOVER);
    if (c->returns) {
        entry_show(s, c, TAKEOVER);
    }
    PhTime failed_at = TAKEOVER;
    if (c->waits) {
        assert_true(counts_after(s, task, 0));
        assert_true(counts_after(s, task, WAIT_MS));
        failed_at += WAIT_MS * PH_NS_PER_MS;
    }
    PhSchedHoldReply silence = {.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &silence, failed_at);
    assert_int_equal(counts_after(s, task, c->waits ? WAIT_MS : 0), !c->left);
    assert_int_equal(counts_after(s, task, LEASE_MS), !c->left);
    PhScheduler_Destroy(s);
}

/* Guards against tasks of a worker that has left being without a run until its
 * lease has expired, and against a second run of those whose worker is only
 * out of reach. */
static void
test_departures(void **state)
{
    (void)state;
    Ph_RUN_TABLE(departure_cases, departure_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_leaving),
        cmocka_unit_test(test_departures),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
