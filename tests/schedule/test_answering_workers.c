/* One worker that leaves a share of its orders without an answer, and answers
 * the others.  Its lease must not expire if it has answered an order that was
 * sent within the length of a lease, nor if a start is due each second and it
 * answers all that it is sent.  Guards against an owner that sends no leases
 * and starts to a worker after one lost answer, so that what runs there ends
 * (LOST). */
#include "peridothill/common/random.h"
#include "single_task.h"
#include "tests/table.h"

enum {
    FENCE = 7,
    RUNS_MAX = 64,
    CPU_MILLI = 1000,
    STEP_MS = 20,
    WAY_MS = 20,           /* from an order to its answer */
    TIMEOUT_MS = 1200,     /* of an order without an answer, at most */
    LATE_HOLD_MS = 2000,   /* from a time-out to a late answer */
    LEASE_MS = 6000 - 100, /* less what an answer takes to tell the clock */
    STARTS_EVERY_MS = 1000,
    UNTIL_MS = 40000,
    SEEDS = 10,
    ORDERS_MAX = 128,
    ID_SIZE = 17,
};

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

/* What happens to the holds without an answer. */
typedef enum PhLostHolds {
    LOST_HOLDS_NEVER,    /* not executed */
    LOST_HOLDS_EXECUTED, /* at once */
    LOST_HOLDS_LATE,     /* executed at once, answered after the time-out */
} PhLostHolds;

typedef struct PhAnsweringCase {
    const char *name;
    double holds;  /* share without an answer in time */
    double starts; /* share that is never executed */
    PhLostHolds lost;
    bool streams; /* a task is to start each second */
} PhAnsweringCase;

static const PhAnsweringCase answering_cases[] = {
    {"all orders are answered", 0, 0, LOST_HOLDS_NEVER, true},
    {"0.1 of the holds lost", 0.1, 0, LOST_HOLDS_NEVER, false},
    {"0.3 of the holds lost", 0.3, 0, LOST_HOLDS_NEVER, false},
    {"0.5 of the holds lost", 0.5, 0, LOST_HOLDS_NEVER, false},
    {"0.1 of the holds lost, starts answered", 0.1, 0, LOST_HOLDS_NEVER, true},
    {"0.3 of the holds lost, starts answered", 0.3, 0, LOST_HOLDS_NEVER, true},
    {"0.5 of the holds lost, starts answered", 0.5, 0, LOST_HOLDS_NEVER, true},
    {"0.8 of the holds lost, starts answered", 0.8, 0, LOST_HOLDS_NEVER, true},
    {"all holds lost after the first, starts answered", 1, 0, LOST_HOLDS_NEVER,
     true},
    {"0.5 of the holds executed without an answer", 0.5, 0,
     LOST_HOLDS_EXECUTED, false},
    {"the same, starts answered", 0.5, 0, LOST_HOLDS_EXECUTED, true},
    {"0.5 of the holds answered 2 s late", 0.5, 0, LOST_HOLDS_LATE, false},
    {"all holds answered 2 s late", 1, 0, LOST_HOLDS_LATE, false},
    {"0.5 of the starts lost", 0, 0.5, LOST_HOLDS_NEVER, true},
    {"0.3 of the holds and starts lost", 0.3, 0.3, LOST_HOLDS_NEVER, true},
    {"0.5 of the holds and starts lost", 0.5, 0.5, LOST_HOLDS_NEVER, true},
};

/* An order without an outcome yet. */
typedef struct PhOpenOrder {
    PhSchedActionTag tag;
    PhSchedRunReply run;
    bool answered;
    bool late; /* its outcome has been given as unknown */
    PhTime sent_at;
    PhTime due;
    PhTime late_due; /* a hold that is answered late; 0: it is not */
} PhOpenOrder;

typedef struct PhAnsweringPlay {
    const PhAnsweringCase *terms;
    PhScheduler *scheduler;
    PhRandom *random;
    PhTime now;
    PhTime streamed_at;
    unsigned streamed;
    PhOpenOrder orders[ORDERS_MAX];
    unsigned order_count;
    PhSchedRunRow runs[RUNS_MAX]; /* of the worker */
    unsigned run_count;
    int64_t deadline_ms;
    PhTime answered_at; /* the newest order that was answered was sent */
    unsigned lapsed;    /* times that the lease expired with runs */
    unsigned given_up;  /* of these, of a worker that answers */
} PhAnsweringPlay;

static int64_t
worker_clock(const PhAnsweringPlay *p)
{
    return p->now / PH_NS_PER_MS;
}

/* Returns the number of runs if the task has none. */
static unsigned
run_find(const PhAnsweringPlay *p, const PhSchedTaskName *task)
{
    for (unsigned i = 0; i < p->run_count; i++) {
        if (PhSchedTaskName_Equal(&p->runs[i].task, task)) {
            return i;
        }
    }
    return p->run_count;
}

/* The worker executes an order. */
static void
order_execute(PhAnsweringPlay *p, const PhSchedAction *a)
{
    switch (a->tag) {
    case PH_SCHED_ACTION_HOLD:
        p->deadline_ms = MAX(p->deadline_ms, a->as.hold.deadline_ms);
        break;
    case PH_SCHED_ACTION_START:
        p->deadline_ms = MAX(p->deadline_ms, a->as.run.deadline_ms);
        if (run_find(p, &a->as.run.task) == p->run_count) {
            assert_true(p->run_count < RUNS_MAX);
            p->runs[p->run_count++] = (PhSchedRunRow){
                .task = a->as.run.task, .run = a->as.run.run, .percent = 100};
        }
        break;
    case PH_SCHED_ACTION_STOP:
        if (run_find(p, &a->as.run.task) < p->run_count) {
            p->runs[run_find(p, &a->as.run.task)] = p->runs[p->run_count - 1];
            p->run_count--;
        }
        break;
    case PH_SCHED_ACTION_PACE:
        break;
    }
}

/* Draws what happens to an order, and adds it. */
static void
order_send(PhAnsweringPlay *p, const PhSchedAction *a)
{
    const PhAnsweringCase *c = p->terms;
    bool is_hold = a->tag == PH_SCHED_ACTION_HOLD;
    double share = is_hold                           ? c->holds
                   : a->tag == PH_SCHED_ACTION_START ? c->starts
                                                     : 0;
    PhTime wait = is_hold ? a->as.hold.wait : 0;
    PhOpenOrder o = {.tag = a->tag,
                     .answered = !PhRandom_Chance(p->random, share),
                     .sent_at = p->now,
                     .due = p->now + wait + WAY_MS * PH_NS_PER_MS};
    if (!is_hold) {
        o.run = (PhSchedRunReply){
            .task = a->as.run.task, .run = a->as.run.run, .born_ms = 1};
    }
    if (o.answered || (is_hold && c->lost != LOST_HOLDS_NEVER)) {
        order_execute(p, a);
    }
    if (!o.answered) {
        PhTime timed_out = p->now + wait + TIMEOUT_MS * PH_NS_PER_MS;
        o.due = a->timeout > 0 ? p->now + wait + a->timeout : timed_out;
        o.late_due = is_hold && c->lost == LOST_HOLDS_LATE
                         ? timed_out + LATE_HOLD_MS * PH_NS_PER_MS
                         : 0;
    }
    assert_true(p->order_count < ORDERS_MAX);
    p->orders[p->order_count++] = o;
}

static void
hold_complete(PhAnsweringPlay *p, const PhOpenOrder *o)
{
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    if (o->answered || o->late) {
        reply = (PhSchedHoldReply){.outcome = PH_SCHED_OUTCOME_DONE,
                                   .clock_ms = worker_clock(p),
                                   .born_ms = 1,
                                   .runs = p->runs,
                                   .run_count = p->run_count};
    }
    if (o->late) {
        PhScheduler_OnLateHold(p->scheduler, PH_SINGLE_WORKER, 1, &reply,
                               p->now);
        return;
    }
    PhScheduler_OnHold(p->scheduler, PH_SINGLE_WORKER, 1, &reply, p->now);
}

/* Reports the outcome of an order, or that it has none yet. */
static void
order_complete(PhAnsweringPlay *p, PhOpenOrder *o)
{
    bool extends =
        o->tag == PH_SCHED_ACTION_HOLD || o->tag == PH_SCHED_ACTION_START;
    if (extends && (o->answered || o->late)) {
        p->answered_at = MAX(p->answered_at, o->sent_at);
    }
    o->run.outcome =
        o->answered ? PH_SCHED_OUTCOME_DONE : PH_SCHED_OUTCOME_UNKNOWN;
    o->run.clock_ms = worker_clock(p);
    switch (o->tag) {
    case PH_SCHED_ACTION_HOLD:
        hold_complete(p, o);
        break;
    case PH_SCHED_ACTION_START:
        PhScheduler_OnStart(p->scheduler, &o->run, p->now);
        break;
    case PH_SCHED_ACTION_STOP:
        PhScheduler_OnStop(p->scheduler, &o->run, p->now);
        break;
    case PH_SCHED_ACTION_PACE:
        PhScheduler_OnPace(p->scheduler, &o->run.task, o->run.run,
                           o->run.outcome, p->now);
        break;
    }
}

static void
orders_tick(PhAnsweringPlay *p)
{
    for (unsigned i = p->order_count; i-- > 0;) {
        PhOpenOrder *o = &p->orders[i];
        if (o->due > p->now) {
            continue;
        }
        order_complete(p, o);
        if (!o->late && o->late_due > 0) {
            o->late = true;
            o->due = o->late_due;
            continue;
        }
        p->orders[i] = p->orders[--p->order_count];
    }
}

/* Ends all runs once the lease has expired. */
static void
lease_tick(PhAnsweringPlay *p)
{
    if (p->run_count == 0 || worker_clock(p) <= p->deadline_ms) {
        return;
    }
    bool answers_starts = p->terms->streams && p->terms->starts == 0;
    p->lapsed++;
    p->given_up +=
        answers_starts || p->now - p->answered_at < LEASE_MS * PH_NS_PER_MS;
    p->run_count = 0;
}

/* Adds a task that runs on. */
static void
stream_tick(PhAnsweringPlay *p)
{
    char id[ID_SIZE];
    bool due = p->streamed == 0 ||
               p->now - p->streamed_at >= STARTS_EVERY_MS * PH_NS_PER_MS;
    if (!due || (p->streamed > 0 && !p->terms->streams)) {
        return;
    }
    p->streamed_at = p->now;
    g_snprintf(id, sizeof(id), "%016x", ++p->streamed);
    PhSingle_AddJob(PhScheduler_Model(p->scheduler), PhStr_FromC(id),
                    (PhSchedStep){.count = 1,
                                  .long_running = p->streamed == 1,
                                  .resources.cpu_milli = CPU_MILLI});
}

static void
worker_show(PhScheduler *s)
{
    PhSchedWorkerEntry entry = {
        .id = PhStr_Dup(PH_SINGLE_WORKER),
        .born_ms = 1,
        .address = PhStr_Dup(PhStr_LITERAL("a:1")),
        .capacity = {.cpu_milli = (int64_t)RUNS_MAX * CPU_MILLI, .mem_mb = 1}};
    PhScheduler_SetWorker(s, &entry, TAKEOVER);
}

static void
play_run(PhAnsweringPlay *p)
{
    PhSchedHoldReply first = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = TAKEOVER / PH_NS_PER_MS,
                              .born_ms = 1};
    worker_show(p->scheduler);
    PhScheduler_SetFence(p->scheduler, FENCE, TAKEOVER);
    PhScheduler_OnHold(p->scheduler, PH_SINGLE_WORKER, 1, &first, TAKEOVER);
    for (int64_t ms = 0; ms <= UNTIL_MS; ms += STEP_MS) {
        PhSchedAction a;
        p->now = TAKEOVER + ms * PH_NS_PER_MS;
        stream_tick(p);
        orders_tick(p);
        lease_tick(p);
        PhScheduler_Plan(p->scheduler, p->now, 0);
        PhSingle_RecordAll(p->scheduler);
        while (PhScheduler_NextAction(p->scheduler, p->now, &a)) {
            order_send(p, &a);
        }
        PhScheduler_ClearEvents(p->scheduler);
    }
}

static bool
case_holds(const PhAnsweringCase *c)
{
    unsigned lapsed = 0;
    unsigned given_up = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        PhAnsweringPlay p = {
            .terms = c,
            .scheduler = PhScheduler_Create(
                &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S}),
            .random = PhRandom_Create(seed)};
        play_run(&p);
        lapsed += p.lapsed;
        given_up += p.given_up;
        PhScheduler_Destroy(p.scheduler);
        PhRandom_Destroy(p.random);
    }
    print_message("#   %s: the lease expired %u times, %u of them although "
                  "the worker answers\n",
                  given_up == 0 ? "holds" : "fails", lapsed, given_up);
    return given_up == 0;
}

static void
test_answering_workers(void **state)
{
    unsigned failed = 0;
    (void)state;
    for (size_t i = 0;
         i < sizeof(answering_cases) / sizeof(answering_cases[0]); i++) {
        print_message("# case %s\n", answering_cases[i].name);
        failed += !case_holds(&answering_cases[i]);
    }
    assert_int_equal(failed, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_answering_workers)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
