/* Starts without an answer: they may be executed seconds later, after newer
 * orders. */
#include "single_task.h"
#include "tests/table.h"

#define DATA_CENTRE PhStr_LITERAL("bacolod")

enum {
    RUN = 1,
    FENCE = 7,
    STARTS = 5, /* sent without an answer */
    REPETITIONS = 8,
};

static const PhTime NOW = 100 * PH_NS_PER_S;
static const PhTime RETRY_AFTER = 500 * PH_NS_PER_MS;

/* A scheduler that owns one worker and one task, whose start is sent. */
typedef struct PhStartFixture {
    PhScheduler *scheduler;
    PhSchedTask *task;
    PhTime now;
} PhStartFixture;

/* Number of orders by PhSchedActionTag. */
typedef struct PhOrdersSent {
    unsigned count[PH_SCHED_ACTION_PACE + 1];
} PhOrdersSent;

/* Takes the orders of a moment; none is answered. */
static PhOrdersSent
orders_send(PhStartFixture *f)
{
    PhOrdersSent sent = {0};
    for (int i = 0; i < 3; i++) {
        PhSchedAction action;
        PhScheduler_Plan(f->scheduler, f->now, 0);
        PhSingle_RecordAll(f->scheduler);
        while (PhScheduler_NextAction(f->scheduler, f->now, &action)) {
            sent.count[action.tag]++;
        }
        f->now += 10 * PH_NS_PER_MS;
    }
    return sent;
}

static unsigned
orders_sent(PhStartFixture *f, PhSchedActionTag tag)
{
    return orders_send(f).count[tag];
}

static void
hold_answer(PhStartFixture *f, bool lists_run)
{
    PhSchedRunRow row = {.task = {.job = PH_SINGLE_JOB}, .run = RUN};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = f->now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .runs = &row,
                              .run_count = lists_run};
    PhScheduler_OnHold(f->scheduler, PH_SINGLE_WORKER, 1, &reply, f->now);
}

static void
start_answer(PhStartFixture *f, PhSchedOutcome outcome)
{
    PhSchedRunReply reply = {.task = {.job = PH_SINGLE_JOB},
                             .run = RUN,
                             .born_ms = 1,
                             .outcome = outcome,
                             .clock_ms = f->now / PH_NS_PER_MS};
    PhScheduler_OnStart(f->scheduler, &reply, f->now);
}

/* Assigns the task, and sends its start unless its record is to be awaited.
 * `unbound`: the worker closes its connections. */
static void
fixture_open_for(PhStartFixture *f, bool send, bool unbound)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    *f = (PhStartFixture){.scheduler = s, .now = NOW};
    PhSingle_ShowWorker(s, false, NOW);
    if (unbound) {
        PhSingle_Unbind(s, 1, NOW);
    }
    f->task = PhSingle_AddJob(PhScheduler_Model(s), PH_SINGLE_JOB,
                              (PhSchedStep){.count = 1, .long_running = true});
    PhScheduler_SetFence(s, FENCE, NOW);
    assert_int_equal(orders_sent(f, PH_SCHED_ACTION_HOLD), 1);
    hold_answer(f, false);
    if (send) {
        assert_int_equal(orders_sent(f, PH_SCHED_ACTION_START), 1);
        return;
    }
    f->now += RETRY_AFTER;
    PhScheduler_Plan(f->scheduler, f->now, 0);
    assert_non_null(f->task->worker);
}

static void
fixture_open(PhStartFixture *f, bool send)
{
    fixture_open_for(f, send, false);
}

static void
fixture_close(PhStartFixture *f)
{
    PhScheduler_Destroy(f->scheduler);
}

/* The worker lists the run while the second start is in flight, or does not;
 * then that start has an outcome.  `starts` counts the starts of the task that
 * follow at once, under this or a new number. */
typedef struct PhRetryCase {
    const char *name;
    PhSchedOutcome first;
    bool listed;
    PhSchedOutcome second;
    bool placed; /* the task keeps its run */
    unsigned starts;
    unsigned stops;
} PhRetryCase;

static const PhRetryCase retry_cases[] = {
    {"the run is listed, the repeated start was not sent",
     PH_SCHED_OUTCOME_UNKNOWN, true, PH_SCHED_OUTCOME_NOT_SENT, true, 0, 0},
    {"the run is listed, the repeated start is refused",
     PH_SCHED_OUTCOME_UNKNOWN, true, PH_SCHED_OUTCOME_REFUSED, true, 0, 0},
    {"the run is listed, the repeated start finds no capacity",
     PH_SCHED_OUTCOME_UNKNOWN, true, PH_SCHED_OUTCOME_NO_CAPACITY, true, 0, 0},
    {"the run is listed, the repeated start is answered",
     PH_SCHED_OUTCOME_UNKNOWN, true, PH_SCHED_OUTCOME_DONE, true, 0, 0},
    {"the run is listed, its number is refused as old",
     PH_SCHED_OUTCOME_UNKNOWN, true, PH_SCHED_OUTCOME_STALE_RUN, true, 0, 0},
    {"the run is listed, the deadline of the repeated start has passed",
     PH_SCHED_OUTCOME_UNKNOWN, true, PH_SCHED_OUTCOME_DEADLINE_PASSED, true, 0,
     0},
    {"the run is listed, the repeated start names another incarnation",
     PH_SCHED_OUTCOME_UNKNOWN, true, PH_SCHED_OUTCOME_OTHER_INCARNATION, true,
     0, 0},
    {"the run is listed, the repeated start has no answer",
     PH_SCHED_OUTCOME_UNKNOWN, true, PH_SCHED_OUTCOME_UNKNOWN, true, 0, 0},
    {"the run is not listed, the repeated start was not sent",
     PH_SCHED_OUTCOME_UNKNOWN, false, PH_SCHED_OUTCOME_NOT_SENT, true, 0, 1},
    {"the run is not listed, the repeated start is refused",
     PH_SCHED_OUTCOME_UNKNOWN, false, PH_SCHED_OUTCOME_REFUSED, true, 0, 1},
    {"the run is not listed, the repeated start finds no capacity",
     PH_SCHED_OUTCOME_UNKNOWN, false, PH_SCHED_OUTCOME_NO_CAPACITY, true, 0,
     1},
    {"the run is not listed, the repeated start names another incarnation",
     PH_SCHED_OUTCOME_UNKNOWN, false, PH_SCHED_OUTCOME_OTHER_INCARNATION, true,
     1, 0},
    {"no start was executed", PH_SCHED_OUTCOME_DEADLINE_PASSED, false,
     PH_SCHED_OUTCOME_NOT_SENT, false, 0, 0},
};

static void
retry_run(const PhRetryCase *c)
{
    PhStartFixture f;
    fixture_open(&f, true);
    start_answer(&f, c->first);
    f.now += RETRY_AFTER;
    assert_int_equal(orders_sent(&f, PH_SCHED_ACTION_START), 1);
    if (c->listed) {
        hold_answer(&f, true);
    }
    start_answer(&f, c->second);
    assert_int_equal(f.task->worker != NULL, c->placed);
    f.now += RETRY_AFTER;
    PhOrdersSent sent = orders_send(&f);
    assert_int_equal(sent.count[PH_SCHED_ACTION_START], c->starts);
    assert_int_equal(sent.count[PH_SCHED_ACTION_STOP], c->stops);
    fixture_close(&f);
}

/* Guards against a second run of a task: a repeated start that was not
 * executed must not end the run that an earlier start began. */
static void
test_refused_repetition(void **state)
{
    (void)state;
    Ph_RUN_TABLE(retry_cases, retry_run);
}

/* Guards against a task that never starts again: a run that the worker has
 * listed and lists no more is over, also if a later start of it has no
 * answer. */
static void
test_unlisted_after_repetition(void **state)
{
    (void)state;
    PhStartFixture f;
    fixture_open(&f, true);
    start_answer(&f, PH_SCHED_OUTCOME_UNKNOWN);
    f.now += RETRY_AFTER;
    assert_int_equal(orders_sent(&f, PH_SCHED_ACTION_START), 1);
    hold_answer(&f, true);
    start_answer(&f, PH_SCHED_OUTCOME_UNKNOWN);
    f.now += RETRY_AFTER;
    hold_answer(&f, false);
    assert_null(f.task->worker);
    fixture_close(&f);
}

/* Guards against a task that waits without end on a worker that answers holds
 * but no starts. */
static void
test_repetitions(void **state)
{
    (void)state;
    PhStartFixture f;
    unsigned starts = 1;
    unsigned stops = 0;
    fixture_open(&f, true);
    for (int i = 0; i < REPETITIONS; i++) {
        start_answer(&f, PH_SCHED_OUTCOME_UNKNOWN);
        f.now += RETRY_AFTER;
        hold_answer(&f, false);
        PhOrdersSent sent = orders_send(&f);
        starts += sent.count[PH_SCHED_ACTION_START];
        stops += sent.count[PH_SCHED_ACTION_STOP];
    }
    assert_int_equal(starts, STARTS);
    assert_int_equal(stops, 1);
    fixture_close(&f);
}

typedef enum PhStartSent {
    START_UNSENT,
    START_IN_FLIGHT,
    START_UNANSWERED,
} PhStartSent;

/* What forbids the start after the task was assigned, how far the start had
 * got by then, and what follows: stops, and whether the task keeps its run
 * until one is answered.  In no case is the start sent again. */
typedef struct PhObstacleCase {
    const char *name;
    PhStartObstacle obstacle;
    PhStartSent sent;
    unsigned stops;
    bool placed;
} PhObstacleCase;

static const PhObstacleCase obstacle_cases[] = {
    {"the worker leaves, nothing was sent", PH_START_WORKER_LEAVES,
     START_UNSENT, 0, false},
    {"the worker leaves, a start is in flight", PH_START_WORKER_LEAVES,
     START_IN_FLIGHT, 0, true},
    {"the worker leaves, a start has no answer", PH_START_WORKER_LEAVES,
     START_UNANSWERED, 1, true},
    {"the worker is cordoned, nothing was sent", PH_START_WORKER_CORDONED,
     START_UNSENT, 0, false},
    {"the worker is cordoned, a start is in flight", PH_START_WORKER_CORDONED,
     START_IN_FLIGHT, 0, true},
    {"the worker is cordoned, a start has no answer", PH_START_WORKER_CORDONED,
     START_UNANSWERED, 1, true},
    {"the job is cancelled, nothing was sent", PH_START_JOB_ENDED,
     START_UNSENT, 0, false},
    {"the job is cancelled, a start is in flight", PH_START_JOB_ENDED,
     START_IN_FLIGHT, 0, true},
    {"the job is cancelled, a start has no answer", PH_START_JOB_ENDED,
     START_UNANSWERED, 1, true},
    {"the worker changes its service, nothing was sent",
     PH_START_WORKER_UNSUITABLE, START_UNSENT, 0, false},
    {"the worker changes its service, a start is in flight",
     PH_START_WORKER_UNSUITABLE, START_IN_FLIGHT, 0, true},
    {"the worker changes its service, a start has no answer",
     PH_START_WORKER_UNSUITABLE, START_UNANSWERED, 1, true},
    {"the worker is silent, nothing was sent", PH_START_WORKER_SILENT,
     START_UNSENT, 0, false},
    {"the worker is silent, a start is in flight", PH_START_WORKER_SILENT,
     START_IN_FLIGHT, 0, true},
    {"the worker is silent, a start has no answer", PH_START_WORKER_SILENT,
     START_UNANSWERED, 0, true},
};

static void
obstacle_apply(PhStartFixture *f, PhStartObstacle obstacle)
{
    PhSchedWorkerEntry entry = {.id = PhStr_Dup(PH_SINGLE_WORKER),
                                .born_ms = 1,
                                .address = PhStr_Dup(PhStr_LITERAL("a:1"))};
    switch (obstacle) {
    case PH_START_ALLOWED:
    case PH_START_UNANSWERED:
        break;
    case PH_START_JOB_ENDED:
        f->task->stage->job->cancel = true;
        break;
    case PH_START_WORKER_LEAVES:
        entry.draining = true;
        break;
    case PH_START_WORKER_CORDONED:
        entry.data_centre = PhStr_Dup(DATA_CENTRE);
        PhScheduler_SetCordon(f->scheduler, DATA_CENTRE, true, f->now);
        break;
    case PH_START_WORKER_UNSUITABLE:
        entry.service = PhStr_Dup(PhStr_LITERAL("other"));
        break;
    case PH_START_WORKER_SILENT:
        PhScheduler_OnHold(
            f->scheduler, PH_SINGLE_WORKER, 1,
            &(PhSchedHoldReply){.outcome = PH_SCHED_OUTCOME_UNKNOWN}, f->now);
        break;
    }
    PhScheduler_SetWorker(f->scheduler, &entry, f->now);
}

static void
obstacle_run(const PhObstacleCase *c)
{
    PhStartFixture f;
    fixture_open(&f, c->sent != START_UNSENT);
    if (c->sent == START_UNANSWERED) {
        start_answer(&f, PH_SCHED_OUTCOME_UNKNOWN);
    }
    obstacle_apply(&f, c->obstacle);
    f.now += RETRY_AFTER;
    PhOrdersSent sent = orders_send(&f);
    assert_int_equal(sent.count[PH_SCHED_ACTION_START], 0);
    assert_int_equal(sent.count[PH_SCHED_ACTION_STOP], c->stops);
    assert_int_equal(f.task->worker != NULL, c->placed);
    fixture_close(&f);
}

/* Guards against starts on a worker that leaves, and against other starts that
 * became forbidden after the task was assigned. */
static void
test_obstacles(void **state)
{
    (void)state;
    Ph_RUN_TABLE(obstacle_cases, obstacle_run);
}

/* An answer to the first start comes after its outcome was given as unknown.
 * The task is repeated unless the answer shows that its run has begun. */
typedef struct PhLateCase {
    const char *name;
    PhSchedOutcome late;
    bool in_flight; /* the repetition is, and is not sent in the end */
    bool owner;     /* this instance still is */
    bool begun;
} PhLateCase;

static const PhLateCase late_cases[] = {
    {"the run has begun", PH_SCHED_OUTCOME_DONE, false, true, true},
    {"its number is refused as old", PH_SCHED_OUTCOME_STALE_RUN, false, true,
     true},
    {"the run has begun, and the start is being repeated",
     PH_SCHED_OUTCOME_DONE, true, true, true},
    {"there was no capacity", PH_SCHED_OUTCOME_NO_CAPACITY, false, true,
     false},
    {"the lease had ended", PH_SCHED_OUTCOME_DEADLINE_PASSED, false, true,
     false},
    {"there is another owner", PH_SCHED_OUTCOME_FENCED, false, false, false},
};

static void
late_run(const PhLateCase *c)
{
    PhStartFixture f;
    fixture_open(&f, true);
    start_answer(&f, PH_SCHED_OUTCOME_UNKNOWN);
    f.now += RETRY_AFTER;
    if (c->in_flight) {
        assert_int_equal(orders_sent(&f, PH_SCHED_ACTION_START), 1);
    }
    PhSchedRunReply reply = {.task = {.job = PH_SINGLE_JOB},
                             .run = RUN,
                             .born_ms = 1,
                             .outcome = c->late,
                             .late = true,
                             .clock_ms = f.now / PH_NS_PER_MS};
    assert_int_equal(PhScheduler_OnStart(f.scheduler, &reply, f.now),
                     c->owner);
    if (c->in_flight) {
        start_answer(&f, PH_SCHED_OUTCOME_NOT_SENT);
    }
    assert_int_equal(f.task->state == PH_SCHED_TASK_RUNNING, c->begun);
    assert_int_equal(f.task->run, RUN);
    if (c->owner) {
        assert_int_equal(orders_sent(&f, PH_SCHED_ACTION_START), !c->begun);
    }
    fixture_close(&f);
}

/* Guards against a run that is begun a second time, or taken for begun, by an
 * answer that comes late. */
static void
test_late_answers(void **state)
{
    (void)state;
    Ph_RUN_TABLE(late_cases, late_run);
}

/* What the earlier incarnation answered before a later one answers under its
 * id without the run, and whether a stop has to reach the later one. */
typedef struct PhLaterCase {
    const char *name;
    PhSchedOutcome first;  /* of the first start */
    bool repeated;         /* a second start is sent */
    PhSchedOutcome second; /* its outcome, UNKNOWN: still in flight */
    int64_t after_ms;      /* from then to the later incarnation's answer */
    unsigned stops;
    bool bound; /* the starts cannot reach the later incarnation */
} PhLaterCase;

static const PhLaterCase later_cases[] = {
    {"every start was answered", PH_SCHED_OUTCOME_DONE, false, 0, 1000, 0},
    {"a start is in flight", PH_SCHED_OUTCOME_UNKNOWN, true,
     PH_SCHED_OUTCOME_UNKNOWN, 0, 0},
    {"the first start has no answer", PH_SCHED_OUTCOME_UNKNOWN, false, 0, 1000,
     1},
    {"the first start has no answer, its repetition began the run",
     PH_SCHED_OUTCOME_UNKNOWN, true, PH_SCHED_OUTCOME_DONE, 1000, 1},
    {"the same, and the first start can no longer be executed",
     PH_SCHED_OUTCOME_UNKNOWN, true, PH_SCHED_OUTCOME_DONE, 13000, 0},
    {"a bound start has no answer", PH_SCHED_OUTCOME_UNKNOWN, false, 0, 1000,
     0, .bound = true},
    {"a bound start is in flight", PH_SCHED_OUTCOME_UNKNOWN, true,
     PH_SCHED_OUTCOME_UNKNOWN, 0, 0, .bound = true},
};

static void
later_incarnation_answer(PhStartFixture *f)
{
    PhSchedHoldReply reply = {
        .outcome = PH_SCHED_OUTCOME_DONE, .clock_ms = 1, .born_ms = 2};
    PhScheduler_OnHold(f->scheduler, PH_SINGLE_WORKER, 1, &reply, f->now);
}

/* The entry of the later incarnation is read. */
static void
later_incarnation_show(PhStartFixture *f)
{
    PhSchedWorkerEntry entry = {.id = PhStr_Dup(PH_SINGLE_WORKER),
                                .born_ms = 2,
                                .address = PhStr_Dup(PhStr_LITERAL("a:1"))};
    PhScheduler_SetWorker(f->scheduler, &entry, f->now);
}

static void
later_run(const PhLaterCase *c)
{
    PhStartFixture f;
    fixture_open_for(&f, true, !c->bound);
    start_answer(&f, c->first);
    bool in_flight =
        c->repeated && c->second == PH_SCHED_OUTCOME_UNKNOWN && !c->bound;
    if (c->repeated) {
        f.now += RETRY_AFTER;
        assert_int_equal(orders_sent(&f, PH_SCHED_ACTION_START), 1);
    }
    if (c->repeated && !in_flight && !c->bound) {
        start_answer(&f, c->second);
    }
    f.now += c->after_ms * PH_NS_PER_MS;
    later_incarnation_answer(&f);
    PhOrdersSent sent = orders_send(&f);
    assert_int_equal(sent.count[PH_SCHED_ACTION_STOP], c->stops);
    assert_int_equal(f.task->run, RUN);
    later_incarnation_show(&f);
    orders_send(&f);
    /* Released at once, it starts again under a new number. */
    assert_int_equal(f.task->run, c->stops > 0 || in_flight ? RUN : RUN + 1);
    if (in_flight) {
        start_answer(&f, PH_SCHED_OUTCOME_DONE);
        f.now += RETRY_AFTER;
        assert_int_equal(orders_sent(&f, PH_SCHED_ACTION_STOP), 1);
        assert_int_equal(f.task->run, RUN);
    }
    fixture_close(&f);
}

/* Guards against a second run in a later incarnation of a worker, which
 * executes a start that the earlier one left unanswered. */
static void
test_later_incarnation(void **state)
{
    (void)state;
    Ph_RUN_TABLE(later_cases, later_run);
}

static void
stop_answer(PhStartFixture *f, int64_t born_ms)
{
    PhSchedRunReply reply = {.task = {.job = PH_SINGLE_JOB},
                             .run = RUN,
                             .born_ms = born_ms,
                             .outcome = PH_SCHED_OUTCOME_DONE,
                             .clock_ms = 1};
    PhScheduler_OnStop(f->scheduler, &reply, f->now);
}

/* The incarnation that a stop was meant for, and whether its answer settles
 * the starts at the later incarnation. */
typedef struct PhStopCase {
    const char *name;
    int64_t born_ms;
    bool settled;
} PhStopCase;

static const PhStopCase stop_cases[] = {
    {"the stop was for the earlier incarnation", 1, false},
    {"the stop was for the later incarnation", 2, true},
};

static void
stop_run(const PhStopCase *c)
{
    PhStartFixture f;
    fixture_open_for(&f, true, true);
    start_answer(&f, PH_SCHED_OUTCOME_UNKNOWN);
    obstacle_apply(&f, PH_START_WORKER_LEAVES);
    f.now += RETRY_AFTER;
    assert_int_equal(orders_sent(&f, PH_SCHED_ACTION_STOP), 1);
    later_incarnation_answer(&f);
    assert_int_equal(orders_sent(&f, PH_SCHED_ACTION_STOP), 1);
    stop_answer(&f, c->born_ms);
    f.now += RETRY_AFTER;
    PhSchedHoldReply reply = {
        .outcome = PH_SCHED_OUTCOME_DONE, .clock_ms = 500, .born_ms = 2};
    PhScheduler_OnHold(f.scheduler, PH_SINGLE_WORKER, 2, &reply, f.now);
    assert_int_equal(f.task->worker == NULL, c->settled);
    fixture_close(&f);
}

/* Guards against a stop that one incarnation accepted and that is taken for
 * one that a later incarnation knows. */
static void
test_stop_of_incarnation(void **state)
{
    (void)state;
    Ph_RUN_TABLE(stop_cases, stop_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_refused_repetition),
        cmocka_unit_test(test_unlisted_after_repetition),
        cmocka_unit_test(test_repetitions),
        cmocka_unit_test(test_obstacles),
        cmocka_unit_test(test_late_answers),
        cmocka_unit_test(test_later_incarnation),
        cmocka_unit_test(test_stop_of_incarnation)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
