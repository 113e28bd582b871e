/* A data centre that is cordoned.  Guards against starts on its workers: of
 * tasks that were placed there before, by an owner that took over meanwhile,
 * and on workers and incarnations that it learns of later; and against runs
 * there that are stopped or no longer renewed. */
#include "single_task.h"
#include "tests/table.h"

#define CORDONED PhStr_LITERAL("bacolod")
#define OPEN PhStr_LITERAL("silay")

enum {
    CAPACITY_MILLI = 8000,
    STEP_MS = 10,
    ENTRIES_MS = 100, /* the entries of both workers are read */
    TAKEOVER_MS = 200,
    JOB_MS = 300,
    DURABLE_MS = 400, /* records are durable from then on */
    UNTIL_MS = 4000,
    NEVER_MS = -1,
};

static const PhTime START = 100 * PH_NS_PER_S;

typedef enum PhSite {
    SITE_CORDONED,
    SITE_OPEN,
    SITES,
} PhSite;

/* One worker in each data centre, and a job of two tasks that fill a worker
 * each.  Times in milliseconds, NEVER_MS for none. */
typedef struct PhCordonCase {
    const char *name;
    int64_t from_ms;
    int64_t until_ms;
    int64_t started_at_ms[SITES]; /* expected */
    int64_t late_until_ms;        /* starts arrive too late until then */
    bool gang;
} PhCordonCase;

static const PhCordonCase cordon_cases[] = {
    {"no cordon", NEVER_MS, NEVER_MS, {DURABLE_MS, DURABLE_MS}},
    {"before the entries are read", 50, NEVER_MS, {NEVER_MS, DURABLE_MS}},
    {"before the takeover", 150, NEVER_MS, {NEVER_MS, DURABLE_MS}},
    {"before the job", 250, NEVER_MS, {NEVER_MS, DURABLE_MS}},
    {"the task is placed", 350, NEVER_MS, {NEVER_MS, DURABLE_MS}},
    {"the start is to be sent again", 600, NEVER_MS, {NEVER_MS, 1000}, 900},
    {"the task runs", 450, NEVER_MS, {DURABLE_MS, DURABLE_MS}},
    {"ended before the job", 150, 250, {DURABLE_MS, DURABLE_MS}},
    {"ended while a task waits", 50, 2000, {2000, DURABLE_MS}},
    {"ended after a start was withdrawn", 350, 2000, {2000, DURABLE_MS}},
    {"a gang without room elsewhere",
     350,
     NEVER_MS,
     {NEVER_MS, NEVER_MS},
     .gang = true},
    {"a gang, ended", 50, 2000, {2000, 2000}, .gang = true},
};

typedef struct PhCordonFixture {
    const PhCordonCase *row;
    PhScheduler *scheduler;
    PhSchedTask *tasks;
    int64_t ms;
    int64_t started_at_ms[SITES]; /* the first start that was executed */
    PhSchedRunRow runs[SITES];
    unsigned stops;
    unsigned renewals; /* of the cordoned worker, after its start */
} PhCordonFixture;

static PhStr
site_name(PhSite site)
{
    switch (site) {
    case SITE_CORDONED:
        return CORDONED;
    case SITE_OPEN:
    case SITES:
        break;
    }
    return OPEN;
}

static PhSite
worker_site(PhStr worker)
{
    return PhStr_Equal(worker, CORDONED) ? SITE_CORDONED : SITE_OPEN;
}

static PhTime
fixture_now(const PhCordonFixture *f)
{
    return START + f->ms * PH_NS_PER_MS;
}

/* Workers are named after their data centres. */
static void
worker_show(PhScheduler *s, PhStr id, PhTime now)
{
    PhSchedWorkerEntry entry = {.id = PhStr_Dup(id),
                                .born_ms = 1,
                                .address = PhStr_Dup(PhStr_LITERAL("a:1")),
                                .data_centre = PhStr_Dup(id),
                                .capacity = {.cpu_milli = CAPACITY_MILLI}};
    PhScheduler_SetWorker(s, &entry, now);
}

static void
hold_answer(PhCordonFixture *f, const PhSchedAction *a)
{
    PhSite site = worker_site(a->worker);
    bool runs = f->started_at_ms[site] != NEVER_MS;
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = f->ms,
                              .born_ms = 1,
                              .runs = &f->runs[site],
                              .run_count = runs};
    f->renewals += site == SITE_CORDONED && runs && a->as.hold.deadline_ms > 0;
    PhScheduler_OnHold(f->scheduler, a->worker, 1, &reply, fixture_now(f));
}

static void
start_answer(PhCordonFixture *f, const PhSchedAction *a)
{
    PhSite site = worker_site(a->worker);
    bool late = f->ms < f->row->late_until_ms;
    PhSchedRunReply reply = {.task = a->as.run.task,
                             .run = a->as.run.run,
                             .born_ms = 1,
                             .outcome = late ? PH_SCHED_OUTCOME_DEADLINE_PASSED
                                             : PH_SCHED_OUTCOME_DONE,
                             .clock_ms = f->ms};
    if (!late) {
        assert_int_equal(f->started_at_ms[site], NEVER_MS);
        f->started_at_ms[site] = f->ms;
        f->runs[site] =
            (PhSchedRunRow){.task = a->as.run.task, .run = a->as.run.run};
    }
    PhScheduler_OnStart(f->scheduler, &reply, fixture_now(f));
}

static void
orders_execute(PhCordonFixture *f)
{
    PhSchedAction a;
    PhScheduler_Plan(f->scheduler, fixture_now(f), 0);
    if (f->ms >= DURABLE_MS) {
        PhSingle_RecordAll(f->scheduler);
    }
    while (PhScheduler_NextAction(f->scheduler, fixture_now(f), &a)) {
        switch (a.tag) {
        case PH_SCHED_ACTION_HOLD:
            hold_answer(f, &a);
            break;
        case PH_SCHED_ACTION_START:
            start_answer(f, &a);
            break;
        case PH_SCHED_ACTION_STOP:
            f->stops++;
            break;
        case PH_SCHED_ACTION_PACE:
            break;
        }
    }
}

static void
events_apply(PhCordonFixture *f)
{
    const PhCordonCase *c = f->row;
    PhScheduler *s = f->scheduler;
    PhTime now = fixture_now(f);
    if (f->ms == c->from_ms || f->ms == c->until_ms) {
        PhScheduler_SetCordon(s, CORDONED, f->ms == c->from_ms, now);
    }
    switch (f->ms) {
    case ENTRIES_MS:
        worker_show(s, CORDONED, now);
        worker_show(s, OPEN, now);
        break;
    case TAKEOVER_MS:
        PhScheduler_SetFence(s, 7, now);
        break;
    case JOB_MS:
        f->tasks = PhSingle_AddJob(
            PhScheduler_Model(s), PH_SINGLE_JOB,
            (PhSchedStep){.count = 2,
                          .gang = c->gang,
                          .resources = {.cpu_milli = CAPACITY_MILLI}});
        break;
    default:
        break;
    }
}

static void
cordon_run(const PhCordonCase *c)
{
    PhCordonFixture f = {.row = c,
                         .scheduler = PhScheduler_Create(&(PhSchedulerOptions){
                             .lease_limit = 3 * PH_NS_PER_S}),
                         .started_at_ms = {NEVER_MS, NEVER_MS}};
    for (f.ms = 0; f.ms <= UNTIL_MS; f.ms += STEP_MS) {
        events_apply(&f);
        orders_execute(&f);
    }
    print_message("#   started at %d and %d ms\n",
                  (int)f.started_at_ms[SITE_CORDONED],
                  (int)f.started_at_ms[SITE_OPEN]);
    for (PhSite site = 0; site < SITES; site++) {
        assert_int_equal(f.started_at_ms[site], c->started_at_ms[site]);
        bool started = f.started_at_ms[site] != NEVER_MS;
        PhSchedWorker *w = PhSchedModel_Worker(PhScheduler_Model(f.scheduler),
                                               site_name(site), 1);
        assert_int_equal(w->tasks->len, started);
    }
    assert_int_equal(f.stops, 0);
    assert_int_equal(f.renewals > 0,
                     f.started_at_ms[SITE_CORDONED] != NEVER_MS);
    PhScheduler_Destroy(f.scheduler);
}

static void
test_cordon(void **state)
{
    (void)state;
    Ph_RUN_TABLE(cordon_cases, cordon_run);
}

/* Which data centre is cordoned when a later incarnation answers a hold, and
 * whether it may get starts before its own entry is read. */
typedef struct PhIncarnationCase {
    const char *name;
    PhStr data_centre;
    bool cordoned;
} PhIncarnationCase;

static const PhIncarnationCase incarnation_cases[] = {
    {"its own", {"bacolod", 7}, true},
    {"another one", {"silay", 5}, false},
};

static void
incarnation_run(const PhIncarnationCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 3 * PH_NS_PER_S});
    PhSchedHoldReply reply = {
        .outcome = PH_SCHED_OUTCOME_DONE, .clock_ms = 1, .born_ms = 2};
    worker_show(s, CORDONED, START);
    PhScheduler_SetCordon(s, c->data_centre, true, START);
    PhScheduler_SetFence(s, 7, START);
    PhScheduler_OnHold(s, CORDONED, 1, &reply, START);
    PhSchedWorker *w =
        PhSchedModel_NewestIncarnation(PhScheduler_Model(s), CORDONED);
    assert_int_equal(w->entry.born_ms, 2);
    assert_int_equal(w->cordoned, c->cordoned);
    PhScheduler_Destroy(s);
}

static void
test_incarnations(void **state)
{
    (void)state;
    Ph_RUN_TABLE(incarnation_cases, incarnation_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_cordon),
                                       cmocka_unit_test(test_incarnations)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
