/* Leases and the ownership under which they are granted.  Guards against a
 * lease that outlasts the ownership, for which a successor does not wait, and
 * against a successor that waits longer. */
#include "peridothill/decide/schedule/lease_time.h"
#include "single_task.h"
#include "tests/table.h"

static const PhTime START = 100 * PH_NS_PER_S;

enum {
    FENCE = 7,
    BORN_MS = 1,
    CLOCK_MS = 5000, /* of the worker when it answers */
    OWNED_MS = 9000, /* from a confirmation */
    LEASE_MS = 6000, /* on the worker's clock */
    LEAVING_LEASE_MS = 3000,
    LEASE_BOUND_MS = 6220, /* by a clock that is 2% slow, and a margin */
    SLOW_PERCENT = 102,
    PERCENT = 100,
    CLOCK_MARGIN_MS = 100,
    HOLD_WAIT_MS = 1500,
    SHORT_WAIT_MS = 500,
    STEP_MS = 50,
};

/* What an owner grants to a worker that has answered it at START. */
typedef struct PhGrantCase {
    const char *name;
    int64_t confirmed_ms; /* the newest confirmation, before START */
    int64_t hold_ms;      /* the hold is sent, after START */
    bool leaves;
    int64_t lease_ms; /* on the worker's clock, from CLOCK_MS; 0: none; -1: as
                         long as the ownership lasts on the slowest clock */
    int64_t wait_ms;  /* of the hold */
} PhGrantCase;

static const PhGrantCase grant_cases[] = {
    {"just confirmed", 0, 0, false, LEASE_MS, HOLD_WAIT_MS},
    {"a full lease just fits", 2780, 0, false, LEASE_MS, HOLD_WAIT_MS},
    {"1 ms later", 2781, 0, false, -1, HOLD_WAIT_MS},
    {"half of the ownership is over", 4500, 0, false, -1, HOLD_WAIT_MS},
    {"the lease is too short for the usual wait", 7000, 0, false, -1,
     SHORT_WAIT_MS},
    {"the worker's clock was read before", 4500, 2000, false, -1,
     SHORT_WAIT_MS},
    {"just long enough to be worth a start", 8000, 0, false, -1,
     SHORT_WAIT_MS},
    {"1 ms later", 8001, 0, false, 0, SHORT_WAIT_MS},
    {"the ownership is over", 9500, 0, false, 0, SHORT_WAIT_MS},
    {"a worker that leaves", 0, 0, true, LEAVING_LEASE_MS, HOLD_WAIT_MS},
    {"a worker that leaves, confirmed too long ago", 3001, 0, true, 0,
     SHORT_WAIT_MS},
};

/* Adds a worker that has answered a hold, and its run. */
static PhScheduler *
owner_open(bool leaves, PhTime confirmed_at)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedRunRow row = {.task = {.job = PH_SINGLE_JOB}, .run = 1};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = CLOCK_MS,
                              .born_ms = BORN_MS,
                              .runs = &row,
                              .run_count = 1};
    PhSchedAction action;
    PhSingle_ShowWorker(s, leaves, START);
    PhSingle_AddRun(s);
    PhScheduler_SetFence(s, FENCE, START);
    PhScheduler_Confirm(s, confirmed_at,
                        confirmed_at + OWNED_MS * PH_NS_PER_MS);
    PhScheduler_Plan(s, START, 0);
    assert_true(PhScheduler_NextAction(s, START, &action));
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, BORN_MS, &reply, START);
    PhSingle_RecordAll(s);
    return s;
}

/* When a lease of this length, counted from the reading at START, has ended on
 * the slowest clock. */
static int64_t
ended_ms(int64_t lease_ms)
{
    return (lease_ms * SLOW_PERCENT + PERCENT - 1) / PERCENT + CLOCK_MARGIN_MS;
}

static void
grant_run(const PhGrantCase *c)
{
    PhScheduler *s =
        owner_open(c->leaves, START - c->confirmed_ms * PH_NS_PER_MS);
    PhTime now = START + c->hold_ms * PH_NS_PER_MS;
    int64_t left_ms = OWNED_MS - c->confirmed_ms;
    PhSchedAction action;
    PhScheduler_Plan(s, now, 0);
    do {
        assert_true(PhScheduler_NextAction(s, now, &action));
    } while (action.tag != PH_SCHED_ACTION_HOLD);
    int64_t lease_ms = action.as.hold.deadline_ms - CLOCK_MS;
    if (c->lease_ms == 0) {
        assert_int_equal(action.as.hold.deadline_ms, 0);
    }
    else if (c->lease_ms > 0) {
        assert_int_equal(lease_ms, c->lease_ms + c->hold_ms);
    }
    else {
        assert_true(ended_ms(lease_ms) <= left_ms);
        assert_true(ended_ms(lease_ms + 1) > left_ms - 1);
    }
    assert_int_equal(action.as.hold.wait / PH_NS_PER_MS, c->wait_ms);
    PhScheduler_Destroy(s);
}

static void
test_grants(void **state)
{
    (void)state;
    Ph_RUN_TABLE(grant_cases, grant_run);
}

/* What is known of the owner before, at START, of a worker that does not
 * answer.  Times in milliseconds from START. */
typedef struct PhSuccessorCase {
    const char *name;
    int64_t last_order_ms;
    int64_t owned_until_ms; /* 0: not known */
    int64_t expired_ms;     /* the run counts until then */
} PhSuccessorCase;

static const PhSuccessorCase successor_cases[] = {
    {"an owner that may go on without the store", 7000, 7000, 7000},
    {"one that has said that it ended", 0, 7000, LEASE_BOUND_MS},
    {"the same, and its newest confirmation is old", 0, 2000, 2000},
    {"one that may grant leases beyond its ownership", 7000, 0,
     7000 + LEASE_BOUND_MS},
    {"the same, and it has said that it ended", 0, 0, LEASE_BOUND_MS},
    {"its ownership is over", -500, -500, 0},
};

static PhTime
at_ms(int64_t ms)
{
    return START + ms * PH_NS_PER_MS;
}

/* Creates an owner at START that knows this of the one before, and its
 * predecessors.  The worker may be on record as silent. */
static PhScheduler *
successor_open(PhTime last_order, PhTime owned_until, int64_t recorded_ms,
               PhPredecessors **earlier)
{
    PhPredecessor before = {.holder = PhStr_LITERAL("a.1"),
                            .replaced_at = START,
                            .confirmed_at = START,
                            .until = last_order,
                            .owned_until = owned_until};
    *earlier = PhPredecessors_Create();
    PhPredecessors_Add(*earlier, &before);
    PhScheduler *s = PhScheduler_Create(&(PhSchedulerOptions){
        .lease_limit = 10 * PH_NS_PER_S, .predecessors = *earlier});
    PhSchedRecord record = {
        .tag = PH_SCHED_RECORD_WORKER,
        .id = PhStr_Dup(PH_SINGLE_WORKER),
        .as.worker = {.born_ms = BORN_MS,
                      .suspended = recorded_ms > 0,
                      .lease_expiry_bound = recorded_ms * PH_NS_PER_MS}};
    PhScheduler_Apply(s, &record, START);
    PhSingle_ShowWorker(s, false, START);
    PhSingle_AddRun(s);
    PhScheduler_SetFence(s, FENCE, START);
    return s;
}

/* Whether the run counts after all holds up to `now` went without an answer.
 */
static bool
run_counts(PhScheduler *s, PhTime now)
{
    PhSchedTaskName name = {.job = PH_SINGLE_JOB};
    PhSchedHoldReply silence = {.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    PhSchedAction action;
    PhScheduler_Plan(s, now, 0);
    while (PhScheduler_NextAction(s, now, &action)) {
        if (action.tag == PH_SCHED_ACTION_HOLD) {
            PhScheduler_OnHold(s, PH_SINGLE_WORKER, BORN_MS, &silence, now);
        }
    }
    PhSingle_RecordAll(s);
    return PhSchedModel_Task(PhScheduler_Model(s), &name)->worker != NULL;
}

static void
successor_run(const PhSuccessorCase *c)
{
    PhPredecessors *earlier;
    PhScheduler *s = successor_open(
        at_ms(c->last_order_ms),
        c->owned_until_ms == 0 ? PH_TIME_NEVER : at_ms(c->owned_until_ms), 0,
        &earlier);
    PhScheduler_RemoveWorker(s, PH_SINGLE_WORKER, PH_REMOVAL_DELETED, START);
    for (int64_t ms = 0; ms < c->expired_ms; ms++) {
        assert_true(run_counts(s, at_ms(ms)));
    }
    assert_false(run_counts(s, at_ms(c->expired_ms)));
    PhScheduler_Destroy(s);
    PhPredecessors_Destroy(earlier);
}

static void
test_successors(void **state)
{
    (void)state;
    Ph_RUN_TABLE(successor_cases, successor_run);
}

/* What an owner reports of a silent worker once it learns that the owner
 * before has ended.  Times in milliseconds from START. */
typedef struct PhReportCase {
    const char *name;
    int64_t owned_until_ms;
    int64_t ended_ms; /* a hello says so; 0: none comes */
    int64_t moved_ms;
    unsigned reports;
    int64_t recorded_ms; /* an earlier owner has recorded that the leases last
                            for so long; 0: none has */
} PhReportCase;

static const PhReportCase report_cases[] = {
    {"nothing becomes known", 9000, 0, 0, 0},
    {"it ended a lease before its ownership does", 9000, 1500,
     1500 + LEASE_BOUND_MS - 9000, 1},
    {"it ended later", 9000, 3500, 0, 0},
    {"the worker is on record as silent", 9000, 0, 0, 1, 5000},
};

/* The reports of one worker. */
typedef struct PhReports {
    unsigned count;
    int64_t moved_ms;
    int64_t last_ms;
} PhReports;

/* Adds the reports that are new, which are a second apart at least. */
static void
reports_take(PhScheduler *s, int64_t ms, PhLeaseEvidence evidence,
             PhReports *reports)
{
    size_t count;
    const PhSchedEvent *events = PhScheduler_Events(s, &count);
    for (size_t i = 0; i < count; i++) {
        if (events[i].tag == PH_SCHED_EVENT_BOUND_MOVED) {
            assert_int_equal(events[i].as.bound_moved.evidence, evidence);
            assert_true(reports->count == 0 || ms - reports->last_ms >= 1000);
            reports->count++;
            reports->last_ms = ms;
            reports->moved_ms += events[i].as.bound_moved.moved / PH_NS_PER_MS;
        }
    }
    PhScheduler_ClearEvents(s);
}

static void
report_run(const PhReportCase *c)
{
    PhTime owned_until = at_ms(c->owned_until_ms);
    PhPredecessors *earlier;
    PhScheduler *s =
        successor_open(owned_until, owned_until, c->recorded_ms, &earlier);
    PhLeaseEvidence evidence = c->recorded_ms > 0
                                   ? PH_LEASE_EVIDENCE_RECORD
                                   : PH_LEASE_EVIDENCE_EARLIER_OWNERS;
    PhReports reports = {0};
    for (int64_t ms = 0; ms < c->owned_until_ms / 2; ms += STEP_MS) {
        PhTime now = at_ms(ms);
        if (c->ended_ms > 0 && ms == c->ended_ms) {
            PhPredecessors_End(earlier, PhStr_LITERAL("a"), now);
        }
        assert_true(run_counts(s, now));
        reports_take(s, ms, evidence, &reports);
    }
    assert_int_equal(reports.count, c->reports);
    assert_int_equal(reports.moved_ms, c->moved_ms);
    PhScheduler_Destroy(s);
    PhPredecessors_Destroy(earlier);
}

static void
test_reports(void **state)
{
    (void)state;
    Ph_RUN_TABLE(report_cases, report_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_grants),
                                       cmocka_unit_test(test_successors),
                                       cmocka_unit_test(test_reports)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
