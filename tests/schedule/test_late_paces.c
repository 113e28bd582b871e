/* Orders of a pace that fail, get no answer or overtake each other.  Guards
 * against a fill task that runs for good at another pace than its owner has
 * ordered last. */
#include "single_task.h"
#include "tests/table.h"

enum {
    FILL_MILLI = 1000,
    TARGET_MS = 180,
    OVER_MS = 2000, /* tail latencies of the serving task */
    UNDER_MS = 40,
    ORDERS_MAX = 64,
};

static const PhTime STEP = 100 * PH_NS_PER_MS;
static const PhTime ANSWER_TIMEOUT = 1200 * PH_NS_PER_MS;
static const PhTime OVER_SINCE = 20 * PH_NS_PER_S;
static const PhTime END = 60 * PH_NS_PER_S;

/* What happens to the first order of a pace below full pace.  Later ones are
 * executed and answered at once. */
typedef struct PhLatePaceCase {
    const char *name;
    PhSchedOutcome outcome;
    PhTime answered_after;
    PhTime executed_after; /* PH_TIME_NEVER: not executed */
    PhTime over_time;      /* the serving task is over its target */
} PhLatePaceCase;

static const PhLatePaceCase late_cases[] = {
    {"answered", PH_SCHED_OUTCOME_DONE, 0, 0, 3 * PH_NS_PER_S},
    {"refused", PH_SCHED_OUTCOME_REFUSED, 0, PH_TIME_NEVER, 3 * PH_NS_PER_S},
    {"not sent", PH_SCHED_OUTCOME_NOT_SENT, 0, PH_TIME_NEVER, 3 * PH_NS_PER_S},
    {"no answer, not executed", PH_SCHED_OUTCOME_UNKNOWN, ANSWER_TIMEOUT,
     PH_TIME_NEVER, 3 * PH_NS_PER_S},
    {"no answer, executed at once", PH_SCHED_OUTCOME_UNKNOWN, ANSWER_TIMEOUT,
     0, 3 * PH_NS_PER_S},
    {"no answer, executed after newer ones", PH_SCHED_OUTCOME_UNKNOWN,
     ANSWER_TIMEOUT, 9 * PH_NS_PER_S, 3 * PH_NS_PER_S},
    {"answered after a newer one that it overtook", PH_SCHED_OUTCOME_DONE,
     1100 * PH_NS_PER_MS, 1000 * PH_NS_PER_MS, 2 * PH_NS_PER_S},
};

typedef struct PhLatePaceOrder {
    int percent;
    PhSchedOutcome outcome;
    PhTime execute_at;
    PhTime answer_at;
} PhLatePaceOrder;

/* A worker with a serving task and a fill task. */
typedef struct PhLatePaceFixture {
    PhScheduler *scheduler;
    PhSchedTaskName serving;
    PhSchedTaskName filling;
    PhTime now;
    int pace; /* at which the worker runs the fill task */
    PhLatePaceOrder orders[ORDERS_MAX];
    size_t order_count;
    bool slowed; /* it was slowed at least once */
} PhLatePaceFixture;

static void
fixture_open(PhLatePaceFixture *f)
{
    *f = (PhLatePaceFixture){.now = 10 * PH_NS_PER_S, .pace = 100};
    f->scheduler = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedModel *m = PhScheduler_Model(f->scheduler);
    PhSchedWorkerEntry entry = {
        .id = PhStr_Dup(PH_SINGLE_WORKER),
        .born_ms = 1,
        .address = PhStr_Dup(PhStr_LITERAL("a:1")),
        .capacity = {.cpu_milli = 16000, .mem_mb = 64000}};
    PhScheduler_SetWorker(f->scheduler, &entry, f->now);
    PhSchedWorker *w = PhSchedModel_Worker(m, PH_SINGLE_WORKER, 1);
    PhSchedTask *serving = PhSingle_AddJob(
        m, PH_SINGLE_JOB,
        (PhSchedStep){.count = 1,
                      .resources.cpu_milli = 4000,
                      .long_running = true,
                      .image = PhStr_Dup(PhStr_LITERAL("serving")),
                      .tail_latency_target = TARGET_MS * PH_NS_PER_MS});
    PhSchedTask *filling = PhSingle_AddJob(
        m, PhStr_LITERAL("00000000000000bb"),
        (PhSchedStep){.count = 1,
                      .resources.cpu_milli = FILL_MILLI,
                      .fills = true,
                      .image = PhStr_Dup(PhStr_LITERAL("filling"))});
    serving->run = 1;
    filling->run = 1;
    PhSchedTask_Place(serving, w);
    PhSchedTask_Place(filling, w);
    f->serving = PhSchedTask_Name(serving);
    f->filling = PhSchedTask_Name(filling);
    PhScheduler_SetFence(f->scheduler, 7, f->now);
}

static void
hold_answer(PhLatePaceFixture *f, const PhLatePaceCase *c)
{
    bool over = f->now >= OVER_SINCE && f->now < OVER_SINCE + c->over_time;
    PhSchedRunRow rows[] = {
        {.task = f->serving,
         .run = 1,
         .usage_sample = over ? OVER_MS : UNDER_MS},
        {.task = f->filling,
         .run = 1,
         .usage_sample = (int64_t)FILL_MILLI * f->pace / 100}};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = f->now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .runs = rows,
                              .run_count = G_N_ELEMENTS(rows)};
    PhScheduler_OnHold(f->scheduler, PH_SINGLE_WORKER, 1, &reply, f->now);
}

static void
pace_send(PhLatePaceFixture *f, const PhLatePaceCase *c, int percent)
{
    PhLatePaceOrder o = {.percent = percent,
                         .outcome = PH_SCHED_OUTCOME_DONE,
                         .execute_at = f->now,
                         .answer_at = f->now};
    assert_true(f->order_count < ORDERS_MAX);
    if (percent < 100 && !f->slowed) {
        f->slowed = true;
        o.outcome = c->outcome;
        o.answer_at = f->now + c->answered_after;
        o.execute_at = c->executed_after == PH_TIME_NEVER
                           ? PH_TIME_NEVER
                           : f->now + c->executed_after;
    }
    f->orders[f->order_count++] = o;
}

/* Executes and answers the orders that are due. */
static void
orders_deliver(PhLatePaceFixture *f)
{
    for (size_t i = 0; i < f->order_count; i++) {
        PhLatePaceOrder *o = &f->orders[i];
        if (o->execute_at <= f->now) {
            f->pace = o->percent;
            o->execute_at = PH_TIME_NEVER;
        }
        if (o->answer_at <= f->now) {
            PhScheduler_OnPace(f->scheduler, &f->filling, 1, o->outcome,
                               f->now);
            o->answer_at = PH_TIME_NEVER;
        }
    }
}

static void
late_run(const PhLatePaceCase *c)
{
    PhLatePaceFixture f;
    size_t settled = 0; /* orders before the last 10 s */
    fixture_open(&f);
    for (; f.now < END; f.now += STEP) {
        PhSchedAction action;
        PhScheduler_Plan(f.scheduler, f.now, 0);
        while (PhScheduler_NextAction(f.scheduler, f.now, &action)) {
            if (action.tag == PH_SCHED_ACTION_HOLD) {
                hold_answer(&f, c);
            }
            if (action.tag == PH_SCHED_ACTION_PACE) {
                pace_send(&f, c, action.as.run.percent);
            }
            orders_deliver(&f);
        }
        orders_deliver(&f);
        if (f.now < END - 10 * PH_NS_PER_S) {
            settled = f.order_count;
        }
    }
    assert_true(f.slowed);
    assert_int_equal(f.pace, 100);
    assert_int_equal(f.order_count, settled);
    PhScheduler_Destroy(f.scheduler);
}

/* Once the serving task is within its target again, the worker runs the fill
 * task at full pace, and no further order is sent. */
static void
test_late_paces(void **state)
{
    (void)state;
    Ph_RUN_TABLE(late_cases, late_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_late_paces)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
