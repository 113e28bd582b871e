/* Rules of claims on workers: what may start beside a claim, when a task is
 * expected to end, and how long a claim stays.  Guards against tasks that take
 * room that is claimed, and against claims that outlast their reason. */
#include "peridothill/decide/schedule/claims.h"

#include "claim_fixture.h"
#include "single_task.h"
#include "tests/table.h"

/* A task beside a claim for 6 of 8 cores and 50 of 100 MB, which is due in 1
 * s. 4 cores and 30 MB are in use until then. */
typedef struct PhBesideCase {
    const char *name;
    PhSchedStep step;
    bool claimant; /* it is of the stage with the claim */
    uint32_t run;
    bool admitted;
    bool spare_taken; /* by other tasks that have started since the claim */
    int64_t priority; /* of its job; that of the claimant's is 1 */
} PhBesideCase;

#define STEP(CPU, MEM, MS)                                                    \
    .resources = {CPU, MEM, 0}, .estimate = (MS)*PH_NS_PER_MS

static const PhBesideCase beside_cases[] = {
    {"ends before", {STEP(8000, 100, 1000)}, false, 0, true},
    {"ends later", {STEP(8000, 100, 1001)}, false, 0, false},
    {"ends later, fits beside", {STEP(2000, 50, 1001)}, false, 0, true},
    {"ends later, too much CPU", {STEP(2001, 50, 1001)}, false, 0, false},
    {"ends later, too much memory", {STEP(2000, 51, 1001)}, false, 0, false},
    {"no estimate", {STEP(1, 1, 0)}, false, 0, false},
    {"of the claimant's stage", {STEP(6000, 50, 2000)}, true, 0, true},
    {"backfill, CPU", {STEP(8000, 50, 2000), .fills = true}, false, 0, true},
    {"backfill, no estimate", {STEP(9, 50, 0), .fills = true}, false, 0, true},
    {"backfill, memory", {STEP(1, 51, 2000), .fills = true}, false, 0, false},
    {"spare room is taken", {STEP(1, 1, 2000)}, false, 0, false, true},
    {"backfill, spare room is taken, memory is not claimed",
     {STEP(1, 20, 2000), .fills = true},
     false,
     0,
     true,
     true},
    {"backfill, spare room is taken",
     {STEP(1, 21, 2000), .fills = true},
     false,
     0,
     false,
     true},
    {"lasting", {STEP(2001, 1, 1), .long_running = true}, false, 0, false},
    {"lasting, fits",
     {STEP(2000, 1, 1), .long_running = true},
     false,
     0,
     true},
    {"lasting, interrupted",
     {STEP(8000, 100, 1), .long_running = true},
     false,
     1,
     true},
    {"lasting, interrupted, the same priority",
     {STEP(8000, 100, 1), .long_running = true},
     false,
     1,
     true,
     .priority = 1},
    {"lasting, interrupted, lower priority",
     {STEP(8000, 100, 1), .long_running = true},
     false,
     1,
     false,
     .priority = 2},
};

static void
beside_run(const PhBesideCase *c)
{
    PhClaimFixture f;
    PhSchedStep claimed = {.count = 1, .resources = {6000, 50, 0}};
    PhSchedStep step = c->step;
    step.count = 1;
    PhClaimFixture_Open(&f, 0);
    PhSchedWorker *w =
        PhClaimFixture_ShowWorker(&f, PH_SINGLE_WORKER, false, PH_CLAIM_START);
    PhSchedTask *claimant =
        PhClaimFixture_AddJob(&f, claimed, 1, 0, PH_CLAIM_START);
    PhSchedTask *task =
        PhClaimFixture_AddJob(&f, step, c->priority, 0, PH_CLAIM_START);
    w->claim = (PhSchedClaim){
        .stage = c->claimant ? task->stage : claimant->stage,
        .promised = PH_CLAIM_START + PH_NS_PER_S,
        .spare = {c->spare_taken ? 0 : 2000, c->spare_taken ? 0 : 50, 0}};
    task->run = c->run;
    w->used = (PhSchedResources){4000, 30, 0};
    assert_int_equal(PhClaim_Admits(w, task, PH_CLAIM_START), c->admitted);
    PhClaimFixture_Close(&f);
}

/* Guards against tasks that take room that is claimed, and against room that
 * is kept without need. */
static void
test_beside(void **state)
{
    (void)state;
    Ph_RUN_TABLE(beside_cases, beside_run);
}

/* A task whose estimate is 1 s, 5 s after the start of the table.  Times in
 * milliseconds. */
typedef struct PhEndCase {
    const char *name;
    bool lasting;
    bool stopping;
    int64_t since_ms;
    int64_t stop_sent_ms; /* 0: not sent */
    int64_t end_ms;       /* expected, 0: never */
} PhEndCase;

static const PhEndCase end_cases[] = {
    {"in time", false, false, 4500, 0, 5500},
    {"overdue by 0.1 s", false, false, 3900, 0, 5250},
    {"overdue by 3 s", false, false, 1000, 0, 8000},
    {"lasting", true, false, 1000, 0, 0},
    {"lasting, to be stopped", true, true, 1000, 0, 5250},
    {"lasting, stopped 3 s ago", true, true, 1000, 2000, 8000},
};

static void
end_run(const PhEndCase *c)
{
    PhClaimFixture f;
    PhSchedStep step = {
        .count = 1, .estimate = PH_NS_PER_S, .long_running = c->lasting};
    PhClaimFixture_Open(&f, 0);
    PhSchedTask *task = PhClaimFixture_AddJob(&f, step, 0, 0, PH_CLAIM_START);
    task->stopping = c->stopping;
    task->since = PH_CLAIM_START + c->since_ms * PH_NS_PER_MS;
    task->stop_sent_at = c->stop_sent_ms == 0
                             ? 0
                             : PH_CLAIM_START + c->stop_sent_ms * PH_NS_PER_MS;
    PhTime end = PhClaim_ExpectedEnd(task, PH_CLAIM_START + 5 * PH_NS_PER_S);
    assert_true(end == (c->end_ms == 0
                            ? PH_TIME_NEVER
                            : PH_CLAIM_START + c->end_ms * PH_NS_PER_MS));
    PhClaimFixture_Close(&f);
}

/* Guards against a choice of workers whose tasks never end. */
static void
test_expected_ends(void **state)
{
    (void)state;
    Ph_RUN_TABLE(end_cases, end_run);
}

/* What happens to a claim in force. */
typedef enum PhClaimChange {
    CHANGE_NONE,
    CHANGE_DOUBT,
    CHANGE_WORKER_LIMIT,
    CHANGE_FAILED_HERE,
    CHANGE_PRIORITY,
    CHANGE_OBJECTIVE,
    CHANGE_CANCELLED,
    CHANGE_FENCE,
    CHANGE_REMOVED,
} PhClaimChange;

typedef struct PhChangeCase {
    const char *name;
    PhClaimChange change;
    bool stays;
} PhChangeCase;

static const PhChangeCase change_cases[] = {
    {"nothing", CHANGE_NONE, true},
    {"the worker is in doubt", CHANGE_DOUBT, false},
    {"a task of the stage is there", CHANGE_WORKER_LIMIT, false},
    {"the claimant has failed there", CHANGE_FAILED_HERE, false},
    {"the priority is lower", CHANGE_PRIORITY, false},
    {"the objective is missed", CHANGE_OBJECTIVE, false},
    {"the job is cancelled", CHANGE_CANCELLED, false},
    {"the ownership ends", CHANGE_FENCE, false},
    {"the worker is dead and removed", CHANGE_REMOVED, false},
};

/* A worker of 8 cores, 4 of them in use until `now` + 1 s, that `claimant` has
 * claimed. */
typedef struct PhClaimed {
    PhClaimFixture base;
    PhSchedWorker *worker;
    PhSchedTask *running;
    PhSchedTask *claimant;
    PhTime now;
} PhClaimed;

static void
claimed_plan(PhClaimed *f)
{
    f->now += 100 * PH_NS_PER_MS;
    PhScheduler_Plan(f->base.s, f->now, 0);
    PhClaimFixture_ExecuteOrders(&f->base, f->now);
}

/* The worker has the only task of one job; `claimant` is the first of another.
 */
static void
claimed_init(PhClaimed *f, PhSchedStep step, int64_t priority)
{
    PhSchedStep half = {.count = 1, STEP(4000, 10, 1500)};
    *f = (PhClaimed){.now = PH_CLAIM_START};
    PhClaimFixture_Open(&f->base, 100 * PH_NS_PER_MS);
    f->worker = PhClaimFixture_ShowWorker(&f->base, PH_SINGLE_WORKER, false,
                                          PH_CLAIM_START);
    PhScheduler_SetFence(f->base.s, 7, PH_CLAIM_START);
    claimed_plan(f);
    f->running =
        PhClaimFixture_AddJob(&f->base, half, 0, 20 * PH_NS_PER_S, f->now);
    claimed_plan(f);
    f->claimant = PhClaimFixture_AddJob(&f->base, step, priority,
                                        20 * PH_NS_PER_S, f->now);
    f->claimant->run = step.long_running;
    claimed_plan(f);
    claimed_plan(f);
}

static void
job_cancel(PhClaimed *f, PhStr id)
{
    PhSchedRecord record = {.tag = PH_SCHED_RECORD_CANCEL,
                            .id = PhStr_Dup(id)};
    PhScheduler_Apply(f->base.s, &record, f->now);
}

/* Runs of a stage have failed in which others have succeeded. */
static void
worker_doubt(PhClaimed *f)
{
    PhSchedFailure failure = {.stage = f->running->stage, .runs = 9};
    f->running->stage->done = 1;
    f->worker->failed_at = f->now;
    g_array_append_val(f->worker->failures, failure);
}

static void
claimed_change(PhClaimed *f, PhClaimChange change)
{
    PhScheduler *s = f->base.s;
    PhSchedJob *job = f->claimant->stage->job;
    switch (change) {
    case CHANGE_NONE:
        break;
    case CHANGE_DOUBT:
        worker_doubt(f);
        break;
    case CHANGE_WORKER_LIMIT:
        job->spec.steps[0].max_per_worker = 1;
        PhSchedTask_Place(&f->claimant->stage->tasks[1], f->worker);
        break;
    case CHANGE_FAILED_HERE:
        f->claimant->failed_on = f->worker;
        f->claimant->stage->tasks[1].failed_on = f->worker;
        break;
    case CHANGE_PRIORITY:
        job->spec.terms.priority = 1;
        break;
    case CHANGE_OBJECTIVE:
        job->spec.terms.slack = 1;
        break;
    case CHANGE_CANCELLED:
        job_cancel(f, job->spec.id);
        break;
    case CHANGE_FENCE:
        PhScheduler_SetFence(s, 0, f->now);
        break;
    case CHANGE_REMOVED:
        PhSchedTask_Unplace(f->running, PH_SCHED_TASK_DONE);
        f->worker->dead = true;
        f->worker->listed = false;
        f->worker->hold_in_flight = false;
        PhScheduler_RemoveDeadWorkers(s);
        assert_int_equal(PhScheduler_Model(s)->incarnations->len, 0);
        f->worker = NULL;
        break;
    }
}

static void
change_run(const PhChangeCase *c)
{
    PhClaimed f;
    PhSchedStep step = {.count = 2, STEP(8000, 10, 1000)};
    claimed_init(&f, step, 0);
    assert_ptr_equal(f.worker->claim.stage, f.claimant->stage);
    claimed_change(&f, c->change);
    for (int i = 0; i < 2; i++) {
        claimed_plan(&f);
        assert_int_equal(PhClaimFixture_CountClaims(&f.base), c->stays);
    }
    PhClaimFixture_Close(&f.base);
}

/* Guards against claims that outlast what allowed them, and against references
 * to stages and workers that are gone. */
static void
test_changes(void **state)
{
    (void)state;
    Ph_RUN_TABLE(change_cases, change_run);
}

/* Two requests of one pass beside a claim that is due in 0.8 s.  The first one
 * does not fit and is a known shortage for the second, which needs as much. */
typedef struct PhShortageCase {
    const char *name;
    PhSchedStep first;
    PhSchedStep second;
    bool interrupted; /* the second one; the claimant is a lasting task */
    bool starts;      /* the second one */
} PhShortageCase;

static const PhShortageCase shortage_cases[] = {
    {"the second one ends before",
     {STEP(1000, 1, 5000)},
     {STEP(1000, 1, 300)},
     false,
     true},
    {"the second one ends as late",
     {STEP(1000, 1, 5000)},
     {STEP(1000, 1, 5000)},
     false,
     false},
    {"the first one has no estimate, the second ends before",
     {STEP(1000, 1, 0)},
     {STEP(1000, 1, 300)},
     false,
     true},
    {"a gang that ends before",
     {STEP(1000, 1, 5000)},
     {STEP(1000, 1, 300), .gang = true},
     false,
     false},
    {"lasting, interrupted",
     {STEP(1000, 1, 0), .long_running = true},
     {STEP(1000, 1, 0), .long_running = true},
     true,
     true},
    {"a lasting gang, interrupted",
     {STEP(1000, 1, 0), .long_running = true},
     {STEP(1000, 1, 0), .long_running = true, .gang = true},
     true,
     true},
};

static void
shortage_run(const PhShortageCase *c)
{
    PhClaimed f;
    PhSchedStep ending = {.count = 1, STEP(8000, 10, 1000)};
    PhSchedStep lasting = {
        .count = 1, .resources = {8000, 10, 0}, .long_running = true};
    PhSchedStep first = c->first;
    PhSchedStep second = c->second;
    first.count = 1;
    second.count = 1;
    claimed_init(&f, c->interrupted ? lasting : ending,
                 c->interrupted ? 2 : 0);
    assert_ptr_equal(f.worker->claim.stage, f.claimant->stage);
    PhSchedTask *a =
        PhClaimFixture_AddJob(&f.base, first, 0, 20 * PH_NS_PER_S, f.now);
    PhSchedTask *b =
        PhClaimFixture_AddJob(&f.base, second, 1, 20 * PH_NS_PER_S, f.now);
    b->run = c->interrupted;
    claimed_plan(&f);
    assert_null(a->worker);
    assert_int_equal(b->worker != NULL, c->starts);
    PhClaimFixture_Close(&f.base);
}

/* Guards against requests that are skipped although they may start beside a
 * claim, and against gangs that rate all workers in every pass. */
static void
test_shortages(void **state)
{
    (void)state;
    Ph_RUN_TABLE(shortage_cases, shortage_run);
}

/* Two tasks that may claim the only worker. */
typedef struct PhClaimantCase {
    const char *name;
    int64_t lasting_priority; /* of an interrupted task of 8 cores */
    bool lasting_first;       /* expected, before one of 7 cores */
} PhClaimantCase;

static const PhClaimantCase claimant_cases[] = {
    {"the same priority", 0, true},
    {"lower priority", 1, false},
};

static void
claimant_run(const PhClaimantCase *c)
{
    PhClaimed f;
    PhSchedStep fits = {.count = 1, STEP(1000, 1, 5000)};
    PhSchedStep big = {.count = 1, STEP(7000, 10, 1000)};
    PhSchedStep lasting = {
        .count = 1, .resources = {8000, 10, 0}, .long_running = true};
    claimed_init(&f, fits, 0);
    assert_null(f.worker->claim.stage);
    PhSchedTask *x =
        PhClaimFixture_AddJob(&f.base, lasting, c->lasting_priority, 0, f.now);
    PhSchedTask *y =
        PhClaimFixture_AddJob(&f.base, big, 0, 20 * PH_NS_PER_S, f.now);
    x->run = 1;
    claimed_plan(&f);
    claimed_plan(&f);
    assert_ptr_equal(f.worker->claim.stage,
                     c->lasting_first ? x->stage : y->stage);
    PhClaimFixture_Close(&f.base);
}

/* Guards against claims by tasks that come after others in placement. */
static void
test_claimants(void **state)
{
    (void)state;
    Ph_RUN_TABLE(claimant_cases, claimant_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_beside), cmocka_unit_test(test_expected_ends),
        cmocka_unit_test(test_changes), cmocka_unit_test(test_shortages),
        cmocka_unit_test(test_claimants)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
