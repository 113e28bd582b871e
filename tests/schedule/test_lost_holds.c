/* Orders to one worker, of which some have no answer.  Guards against a worker
 * that loses its lease although it answers (LOST), and against leases of a
 * silent one that are put off (TWICE). */
#include "single_task.h"
#include "tests/table.h"

enum {
    FENCE = 7,
    STEPS_MAX = 8,
    TICK_MS = 5,
    LEASE_MS = 6000,
    BOUND_MS = 6220, /* by a clock that is 2% slow */
    LEAVING_LEASE_MS = 3000,
    CLOCK_AGE_MS = 40, /* 2% of the age of its reading */
};

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

/* What happens to the orders. */
typedef enum PhLostStepTag {
    NOTHING,
    HOLD_LOST,     /* the hold in flight has no answer */
    HOLD_ANSWERED, /* it is answered */
    HOLD_LATE,     /* it is answered after it was given up */
    QUERY_ANSWERED,
    STOP_ANSWERED,
} PhLostStepTag;

/* Times are in milliseconds since the first lease was granted. */
typedef struct PhLostStep {
    PhLostStepTag tag;
    int64_t at_ms;
} PhLostStep;

typedef struct PhLostCase {
    const char *name;
    PhLostStep steps[STEPS_MAX]; /* ends with NOTHING */
    int64_t asked_ms;   /* the hold that is sent by then is looked at */
    int64_t granted_ms; /* its lease was granted then; -1: it has none */
    bool waits;         /* that hold waits for an end */
    bool suspended;
    bool unbound; /* the worker closes its connections */
    bool leaves;  /* it does, and the ownership is confirmed at first only */
} PhLostCase;

static const PhLostCase lost_cases[] = {
    {"all are answered", {{HOLD_ANSWERED, 1500}}, 1500, 1500, .waits = true},
    {"one hold has no answer", {{HOLD_LOST, 1900}}, 2000, 0},
    {"the next one is answered",
     {{HOLD_LOST, 1900}, {HOLD_ANSWERED, 2010}},
     2010,
     2010},
    {"and the one after that, so that holds wait again",
     {{HOLD_LOST, 1900}, {HOLD_ANSWERED, 2010}, {HOLD_ANSWERED, 2020}},
     2020,
     2020,
     .waits = true},
    {"the grant after that has no answer",
     {{HOLD_LOST, 1900}, {HOLD_ANSWERED, 2010}, {HOLD_LOST, 2410}},
     2510,
     2010},
    {"two holds have no answer",
     {{HOLD_LOST, 1900}, {HOLD_LOST, 2400}},
     2600,
     0},
    {"none has an answer for 1 s",
     {{HOLD_LOST, 1900}, {HOLD_LOST, 2400}, {HOLD_LOST, 2930}},
     3300,
     0,
     .suspended = true},
    {"the same, and the next one is answered",
     {{HOLD_LOST, 1900},
      {HOLD_LOST, 2400},
      {HOLD_LOST, 2930},
      {HOLD_ANSWERED, 3300}},
     3320,
     3310},
    {"none has an answer until the lease has ended",
     {{HOLD_LOST, 1900},
      {HOLD_LOST, 2400},
      {HOLD_LOST, 5900},
      {HOLD_LOST, 6350}},
     7400,
     -1,
     .suspended = true},
    {"a hold has no answer, but a stop after it has",
     {{STOP_ANSWERED, 1800}, {HOLD_LOST, 1900}},
     2000,
     1950},
    {"a stop long before it has",
     {{STOP_ANSWERED, 200}, {HOLD_LOST, 1900}},
     2000,
     0},
    {"a stop is answered after the hold was given up",
     {{HOLD_LOST, 1900}, {STOP_ANSWERED, 1920}},
     1920,
     1920},
    {"a query is answered while the hold waits for a connection",
     {{HOLD_LOST, 1900}, {QUERY_ANSWERED, 2200}, {HOLD_LOST, 2600}},
     2700,
     2650},
    {"the answer comes late",
     {{HOLD_LOST, 1900}, {HOLD_LATE, 1920}},
     1920,
     1920},
    {"a worker that closes its connections gets no lease twice",
     {{HOLD_LOST, 1900}},
     2000,
     -1,
     .unbound = true},
    {"a worker that leaves, while the ownership can't be confirmed",
     {{HOLD_ANSWERED, 1500}, {HOLD_LOST, 3400}, {HOLD_ANSWERED, 3460}},
     3470,
     1500,
     .waits = true,
     .leaves = true},
};

typedef struct PhLostRun {
    PhScheduler *scheduler;
    PhSchedAction hold; /* the newest one */
    int64_t now_ms;
} PhLostRun;

static PhTime
at(int64_t ms)
{
    return TAKEOVER + ms * PH_NS_PER_MS;
}

/* Takes the orders up to a moment. */
static void
orders_take(PhLostRun *r, int64_t until_ms)
{
    PhSchedAction a;
    for (int64_t ms = r->now_ms; ms <= until_ms; ms += TICK_MS) {
        PhScheduler_Plan(r->scheduler, at(ms), 0);
        PhSingle_RecordAll(r->scheduler);
        while (PhScheduler_NextAction(r->scheduler, at(ms), &a)) {
            r->hold = a.tag == PH_SCHED_ACTION_HOLD ? a : r->hold;
        }
        PhScheduler_ClearEvents(r->scheduler);
    }
    r->now_ms = until_ms;
}

static void
step_apply(PhLostRun *r, const PhLostStep *step)
{
    PhScheduler *s = r->scheduler;
    PhTime now = at(step->at_ms);
    PhSchedRunRow row = {.task = {.job = PH_SINGLE_JOB}, .run = 1};
    PhSchedHoldReply silence = {.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    PhSchedHoldReply answer = {.outcome = PH_SCHED_OUTCOME_DONE,
                               .clock_ms = now / PH_NS_PER_MS,
                               .born_ms = 1,
                               .runs = &row,
                               .run_count = 1};
    PhSchedRunReply stopped = {.task = row.task,
                               .run = 1,
                               .born_ms = 1,
                               .outcome = PH_SCHED_OUTCOME_STALE_RUN,
                               .clock_ms = now / PH_NS_PER_MS};
    PhSchedTask *task = PhSchedModel_Task(PhScheduler_Model(s), &row.task);
    switch (step->tag) {
    case NOTHING:
        break;
    case HOLD_LOST:
        PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &silence, now);
        break;
    case HOLD_ANSWERED:
        PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &answer, now);
        break;
    case HOLD_LATE:
        PhScheduler_OnLateHold(s, PH_SINGLE_WORKER, 1, &answer, now);
        break;
    case QUERY_ANSWERED:
        PhScheduler_OnQuery(s, PH_SINGLE_WORKER, 1, &answer, now);
        break;
    case STOP_ANSWERED:
        task->stopping = true;
        PhScheduler_OnStop(s, &stopped, now);
        task->stopping = false;
        break;
    }
}

static void
lost_run(const PhLostCase *c)
{
    PhLostRun r = {.scheduler = PhScheduler_Create(&(PhSchedulerOptions){
                       .lease_limit = 10 * PH_NS_PER_S})};
    int64_t lease_ms = c->leaves ? LEAVING_LEASE_MS : LEASE_MS;
    PhSingle_ShowWorker(r.scheduler, c->leaves, TAKEOVER);
    PhScheduler_Confirm(r.scheduler, c->leaves ? TAKEOVER : 0, 0);
    PhSchedTask *task = PhSingle_AddRun(r.scheduler);
    if (c->unbound) {
        PhSingle_Unbind(r.scheduler, 1, TAKEOVER);
    }
    PhScheduler_SetFence(r.scheduler, FENCE, TAKEOVER);
    orders_take(&r, 0);
    step_apply(&r, &(PhLostStep){HOLD_ANSWERED, 0});
    for (const PhLostStep *step = c->steps; step->tag != NOTHING; step++) {
        orders_take(&r, step->at_ms);
        step_apply(&r, step);
    }
    orders_take(&r, c->asked_ms);
    int64_t end_ms = r.hold.as.hold.deadline_ms;
    int64_t granted_ms =
        end_ms == 0 ? -1 : end_ms - lease_ms - TAKEOVER / PH_NS_PER_MS;
    assert_int_equal(granted_ms, c->granted_ms);
    assert_int_equal(r.hold.as.hold.wait > 0, c->waits);
    assert_int_equal(task->worker != NULL && task->worker->suspended,
                     c->suspended && task->worker != NULL);
    /* Earlier owners may have granted a worker that leaves longer ones. */
    if (granted_ms >= 0 && !c->leaves) {
        PhTime bound = task->worker->leases.until - at(granted_ms);
        assert_in_range(bound / PH_NS_PER_MS, BOUND_MS,
                        BOUND_MS + CLOCK_AGE_MS);
    }
    PhScheduler_Destroy(r.scheduler);
}

static void
test_lost_holds(void **state)
{
    (void)state;
    Ph_RUN_TABLE(lost_cases, lost_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_lost_holds)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
