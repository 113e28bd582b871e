/* Interference between images: the estimates learned from simulated workers,
 * and the placement and pace that follow from them.  The load pattern is that
 * of colocation with pair-specific contention (Paragon, Bubble-Up). */
#include "decide/schedule/interference.h"

#include <math.h>

#include "peridothill/common/random.h"
#include "single_task.h"
#include "tests/table.h"

enum {
    CAPACITY_MILLI = 64000,
    FILL_MILLI = 8000,
    TARGET_MS = 180, /* rounding to 1 ms matters little */
    OVER_MS = 360,
    UNDER_MS = 90,
    REPORT_INTERVAL_MS = 500,
    LOAD_PERIOD_MS = 12000, /* of the own load */
    ROUNDS = 60,            /* placements of the fill task */
    REPORTS_PER_ROUND = 3,
};

/* Random error of each observed load. */
static const double NOISE = 0.03;

/* True interference factor of a pair, and the expected estimate, cost of one
 * more task and pace at the peak and the trough of the own load. */
typedef struct PhPairCase {
    const char *name;
    double factor;     /* load added by a fill of the whole worker */
    double amplitude;  /* of the own load */
    double min_factor; /* estimate */
    double max_factor;
    bool cheap_at_peak; /* low cost of one more task */
    bool cheap_at_trough;
    int min_pace; /* of the fill task at the peak */
    int max_pace;
} PhPairCase;

static const PhPairCase pair_cases[] = {
    {"a pair without interference is not slowed", 0.0, 0.1, 0.0, 0.12, true,
     true, 100, 100},
    {"weak interference is estimated as weak", 0.15, 0.2, 0.05, 0.3, true,
     true, 100, 100},
    {"strong interference is found, no new fill task at the peak", 2.0, 0.2,
     1.6, 2.4, false, true, 0, 60},
    {"very strong interference is found, no new fill task at all", 4.0, 0.1,
     3.2, 4.8, false, false, 0, 50},
};

/* Fixture with two workers, one serving task on each, and a fill task that is
 * placed on the first. */
typedef struct PhInterferenceFixture {
    PhSchedModel *model;
    PhSchedWorker *worker;
    PhSchedWorker *quiet; /* never has a fill task */
    PhSchedTask *serving; /* two tasks, one on each worker */
    PhSchedTask *filling;
    PhRandom *random;
    PhTime now;
} PhInterferenceFixture;

/* Both serving tasks run, the fill task waits. */
static void
fixture_open(PhInterferenceFixture *fixture)
{
    fixture->model = PhSchedModel_Create();
    fixture->random = PhRandom_Create(1);
    fixture->now = 10 * PH_NS_PER_S;
    fixture->worker =
        PhSchedModel_Worker(fixture->model, PhStr_LITERAL("worker"), 1);
    fixture->quiet =
        PhSchedModel_Worker(fixture->model, PhStr_LITERAL("quiet"), 1);
    fixture->worker->entry.capacity.cpu_milli = CAPACITY_MILLI;
    fixture->quiet->entry.capacity.cpu_milli = CAPACITY_MILLI;
    fixture->serving = PhSingle_AddJob(
        fixture->model, PH_SINGLE_JOB,
        (PhSchedStep){.count = 2,
                      .resources.cpu_milli = 13000,
                      .long_running = true,
                      .image = PhStr_Dup(PhStr_LITERAL("serving")),
                      .tail_latency_target = TARGET_MS * PH_NS_PER_MS});
    fixture->filling = PhSingle_AddJob(
        fixture->model, PhStr_LITERAL("00000000000000bb"),
        (PhSchedStep){.count = 1,
                      .resources.cpu_milli = FILL_MILLI,
                      .fills = true,
                      .image = PhStr_Dup(PhStr_LITERAL("filling"))});
    PhSchedTask_Place(&fixture->serving[0], fixture->worker);
    PhSchedTask_Place(&fixture->serving[1], fixture->quiet);
    fixture->serving[0].state = PH_SCHED_TASK_RUNNING;
    fixture->serving[1].state = PH_SCHED_TASK_RUNNING;
}

static void
fixture_close(PhInterferenceFixture *fixture)
{
    PhSchedModel_Destroy(fixture->model);
    PhRandom_Destroy(fixture->random);
}

/* Load of a serving task without interference. */
static double
own_load(const PhInterferenceFixture *fixture, double amplitude)
{
    double phase = (double)(fixture->now / PH_NS_PER_MS % LOAD_PERIOD_MS) /
                   LOAD_PERIOD_MS;
    return 0.43 + amplitude * sin(2 * G_PI * phase);
}

/* Reports a task's tail latency at a load with random error. */
static void
report_tail(PhInterferenceFixture *fixture, PhSchedTask *task, double load)
{
    load += NOISE * (2 * PhRandom_Unit(fixture->random) - 1);
    load = MIN(load, 0.95);
    task->usage_sample = (int64_t)(0.22 * TARGET_MS / (1 - load) + 0.5);
    task->usage_sampled_at = fixture->now;
}

/* Advances by one report of both workers: tails follow from the own load and
 * the fill task. */
static void
fixture_advance(PhInterferenceFixture *fixture, PhInterference *x,
                double factor, double amplitude)
{
    bool is_filled = fixture->filling->worker != NULL;
    double share = is_filled ? (double)FILL_MILLI / CAPACITY_MILLI : 0;
    fixture->now += REPORT_INTERVAL_MS * PH_NS_PER_MS;
    double own = own_load(fixture, amplitude);
    report_tail(fixture, &fixture->serving[0], own + factor * share);
    report_tail(fixture, &fixture->serving[1], own);
    fixture->filling->usage_sample = is_filled ? FILL_MILLI : 0;
    fixture->filling->usage_sampled_at = fixture->now;
    PhInterference_Learn(x, fixture->quiet, fixture->now);
    PhInterference_Learn(x, fixture->worker, fixture->now);
    PhInterference_Pace(x, fixture->worker, fixture->now);
    PhInterference_Refresh(x, fixture->worker, fixture->now);
}

/* Advances to the next peak or trough of the own load. */
static void
advance_to_extreme(PhInterferenceFixture *fixture, PhInterference *x,
                   const PhPairCase *c, bool peak)
{
    int64_t at = peak ? LOAD_PERIOD_MS / 4 : LOAD_PERIOD_MS * 3 / 4;
    int64_t phase;
    do {
        fixture_advance(fixture, x, c->factor, c->amplitude);
        phase = fixture->now / PH_NS_PER_MS % LOAD_PERIOD_MS;
    } while (phase < at - REPORT_INTERVAL_MS / 2 ||
             phase > at + REPORT_INTERVAL_MS / 2);
}

static void
place_fill(PhInterferenceFixture *fixture)
{
    PhSchedTask_Place(fixture->filling, fixture->worker);
    fixture->filling->state = PH_SCHED_TASK_RUNNING;
}

/* Checks the cost of placing the fill task. */
static void
check_cost(const PhInterferenceFixture *fixture, const PhInterference *x,
           bool cheap)
{
    double cost = PhInterference_Cost(x, fixture->worker,
                                      PhSchedTask_Step(fixture->filling));
    assert_true(cheap ? cost < 0.3 : cost > 0.6);
}

static void
pair_run(const PhPairCase *c)
{
    PhInterferenceFixture fixture = {0};
    PhInterference *x = PhInterference_Create();
    fixture_open(&fixture);
    for (int i = 0; i < ROUNDS; i++) {
        place_fill(&fixture);
        for (int j = 0; j < REPORTS_PER_ROUND; j++) {
            fixture_advance(&fixture, x, c->factor, c->amplitude);
        }
        PhSchedTask_Unplace(fixture.filling, PH_SCHED_TASK_WAITING);
        for (int j = 0; j < REPORTS_PER_ROUND; j++) {
            fixture_advance(&fixture, x, c->factor, c->amplitude);
        }
    }
    uint32_t fill = PhSchedTask_Step(fixture.filling)->image_number;
    uint32_t serving = PhSchedTask_Step(fixture.serving)->image_number;
    double factor = PhInterference_Factor(x, fill, serving);
    assert_true(factor >= c->min_factor && factor <= c->max_factor);
    advance_to_extreme(&fixture, x, c, false);
    check_cost(&fixture, x, c->cheap_at_trough);
    advance_to_extreme(&fixture, x, c, true);
    check_cost(&fixture, x, c->cheap_at_peak);
    place_fill(&fixture);
    fixture_advance(&fixture, x, c->factor, c->amplitude);
    assert_int_equal(fixture.worker->backfill_use->len, 1);
    int pace =
        g_array_index(fixture.worker->backfill_use, PhSchedBackfillUse, 0)
            .percent;
    assert_in_range(pace, c->min_pace, c->max_pace);
    fixture_close(&fixture);
    PhInterference_Destroy(x);
}

/* Guards against wrong estimates of a pair, and costs and paces that don't
 * match them. */
static void
test_pairs(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pair_cases, pair_run);
}

/* Guards against counting constant interference as the task's own load, when
 * other tasks of its step show the own load. */
static void
test_constant(void **state)
{
    static const double factors[] = {0.2, 1.0, 2.0};
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
        PhInterferenceFixture fixture = {0};
        PhInterference *x = PhInterference_Create();
        fixture_open(&fixture);
        for (int j = 0; j < ROUNDS; j++) {
            fixture_advance(&fixture, x, factors[i], 0.2);
        }
        place_fill(&fixture);
        for (int j = 0; j < ROUNDS; j++) {
            fixture_advance(&fixture, x, factors[i], 0.2);
        }
        double factor = PhInterference_Factor(
            x, PhSchedTask_Step(fixture.filling)->image_number,
            PhSchedTask_Step(fixture.serving)->image_number);
        assert_true(fabs(factor - factors[i]) < 0.2 + factors[i] * 0.3);
        fixture_close(&fixture);
        PhInterference_Destroy(x);
    }
}

/* Estimates survive the record of an owner. */
static void
test_record(void **state)
{
    PhInterferenceFixture fixture = {0};
    PhInterference *x = PhInterference_Create();
    PhInterference *y = PhInterference_Create();
    (void)state;
    fixture_open(&fixture);
    place_fill(&fixture);
    for (int i = 0; i < ROUNDS; i++) {
        fixture_advance(&fixture, x, 2.0, 0.2);
    }
    PhSchedRecord record = PhInterference_Record(x, fixture.model);
    assert_int_equal(record.as.pairs.count, 1);
    PhInterference_Apply(y, fixture.model, &record);
    uint32_t fill = PhSchedTask_Step(fixture.filling)->image_number;
    uint32_t serving = PhSchedTask_Step(fixture.serving)->image_number;
    assert_true(PhInterference_Factor(y, fill, serving) ==
                PhInterference_Factor(x, fill, serving));
    PhSchedRecord_Clear(&record);
    fixture_close(&fixture);
    PhInterference_Destroy(x);
    PhInterference_Destroy(y);
}

/* A tail that exceeds its target for `over_ms`, except for some reports in a
 * row, and whether the fill tasks of the worker are paused. */
typedef struct PhOverCase {
    const char *name;
    int64_t over_ms;
    int64_t under_from_ms;
    int under_reports;
    bool pauses;
} PhOverCase;

static const PhOverCase over_cases[] = {
    {"a short excess does not pause a pair estimated harmless", 1000, 0, 0,
     false},
    {"a lasting excess pauses all fill tasks", 2000, 0, 0, true},
    {"one report under the target does not end the excess", 2000, 1000, 1,
     true},
    {"two reports in a row do not, they span half a second", 2000, 1000, 2,
     true},
    {"one second under the target ends the excess", 3000, 1000, 3, false},
};

/* Exceeds the target beside a pair with an estimate of no interference. */
static void
over_run(const PhOverCase *c)
{
    PhInterferenceFixture fixture = {0};
    PhInterference *x = PhInterference_Create();
    fixture_open(&fixture);
    for (int i = 0; i < ROUNDS; i++) {
        place_fill(&fixture);
        fixture_advance(&fixture, x, 0, 0);
        fixture_advance(&fixture, x, 0, 0);
        if (i < ROUNDS - 1) {
            PhSchedTask_Unplace(fixture.filling, PH_SCHED_TASK_WAITING);
            fixture_advance(&fixture, x, 0, 0);
        }
    }
    for (int64_t ms = 0; ms <= c->over_ms; ms += REPORT_INTERVAL_MS) {
        fixture.now += REPORT_INTERVAL_MS * PH_NS_PER_MS;
        int64_t after = ms - c->under_from_ms;
        bool under = after >= 0 &&
                     after < (int64_t)c->under_reports * REPORT_INTERVAL_MS;
        fixture.serving->usage_sample = under ? UNDER_MS : OVER_MS;
        fixture.serving->usage_sampled_at = fixture.now;
        fixture.filling->usage_sampled_at = fixture.now;
        PhInterference_Learn(x, fixture.worker, fixture.now);
        PhInterference_Pace(x, fixture.worker, fixture.now);
    }
    int pace =
        g_array_index(fixture.worker->backfill_use, PhSchedBackfillUse, 0)
            .percent;
    assert_int_equal(pace == 0, c->pauses);
    assert_int_equal(fixture.worker->backfill_blocked_until > fixture.now,
                     c->pauses);
    fixture_close(&fixture);
    PhInterference_Destroy(x);
}

/* Guards against fill tasks that keep a tail over its target although their
 * pair is estimated harmless. */
static void
test_over(void **state)
{
    (void)state;
    Ph_RUN_TABLE(over_cases, over_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_pairs), cmocka_unit_test(test_constant),
        cmocka_unit_test(test_record), cmocka_unit_test(test_over)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
