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
    LOOK_MS = 500,
    SWING_MS = 12000, /* of the own load */
    ROUNDS = 60,      /* placements of the fill task */
    LOOKS_EACH = 3,
};

/* Random error of each observed load. */
static const double NOISE = 0.03;

/* True interference factor of a pair, and the expected estimate, cost of one
 * more task and pace at the peak and the trough of the own load. */
typedef struct PhPairCase {
    const char *name;
    double factor; /* load added by a fill of the whole worker */
    double swing;  /* of the own load */
    double least;  /* estimate */
    double most;
    bool bears_at_top; /* low cost of one more task */
    bool bears_at_bottom;
    int least_pace; /* of the fill task at the peak */
    int most_pace;
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
typedef struct PhBed {
    PhSchedModel *model;
    PhSchedWorker *worker;
    PhSchedWorker *quiet; /* never has a fill task */
    PhSchedTask *serving; /* two tasks, one on each worker */
    PhSchedTask *filling;
    PhRandom *random;
    PhTime now;
} PhBed;

/* Both serving tasks run, the fill task waits. */
static void
bed_open(PhBed *bed)
{
    bed->model = PhSchedModel_Create();
    bed->random = PhRandom_Create(1);
    bed->now = 10 * PH_NS_PER_S;
    bed->worker = PhSchedModel_Worker(bed->model, PhStr_LITERAL("worker"), 1);
    bed->quiet = PhSchedModel_Worker(bed->model, PhStr_LITERAL("quiet"), 1);
    bed->worker->entry.capacity.cpu_milli = CAPACITY_MILLI;
    bed->quiet->entry.capacity.cpu_milli = CAPACITY_MILLI;
    bed->serving = PhSingle_AddJob(
        bed->model, PH_SINGLE_JOB,
        (PhSchedStep){.count = 2,
                      .room.cpu_milli = 13000,
                      .long_running = true,
                      .image = PhStr_Dup(PhStr_LITERAL("serving")),
                      .tail_target = TARGET_MS * PH_NS_PER_MS});
    bed->filling = PhSingle_AddJob(
        bed->model, PhStr_LITERAL("00000000000000bb"),
        (PhSchedStep){.count = 1,
                      .room.cpu_milli = FILL_MILLI,
                      .fills = true,
                      .image = PhStr_Dup(PhStr_LITERAL("filling"))});
    PhSchedTask_Place(&bed->serving[0], bed->worker);
    PhSchedTask_Place(&bed->serving[1], bed->quiet);
    bed->serving[0].state = PH_SCHED_TASK_RUNNING;
    bed->serving[1].state = PH_SCHED_TASK_RUNNING;
}

static void
bed_close(PhBed *bed)
{
    PhSchedModel_Destroy(bed->model);
    PhRandom_Destroy(bed->random);
}

/* Load of a serving task without interference. */
static double
own_load(const PhBed *bed, double swing)
{
    double turn = (double)(bed->now / PH_NS_PER_MS % SWING_MS) / SWING_MS;
    return 0.43 + swing * sin(2 * G_PI * turn);
}

/* Reports a task's tail latency at a load with random error. */
static void
bed_show(PhBed *bed, PhSchedTask *task, double load)
{
    load += NOISE * (2 * PhRandom_Unit(bed->random) - 1);
    load = MIN(load, 0.95);
    task->figure = (int64_t)(0.22 * TARGET_MS / (1 - load) + 0.5);
    task->figure_at = bed->now;
}

/* Advances by one report of both workers: tails follow from the own load and
 * the fill task. */
static void
bed_look(PhBed *bed, PhInterference *x, double factor, double swing)
{
    bool fills = bed->filling->worker != NULL;
    double share = fills ? (double)FILL_MILLI / CAPACITY_MILLI : 0;
    bed->now += LOOK_MS * PH_NS_PER_MS;
    double own = own_load(bed, swing);
    bed_show(bed, &bed->serving[0], own + factor * share);
    bed_show(bed, &bed->serving[1], own);
    bed->filling->figure = fills ? FILL_MILLI : 0;
    bed->filling->figure_at = bed->now;
    PhInterference_Learn(x, bed->quiet, bed->now);
    PhInterference_Learn(x, bed->worker, bed->now);
    PhInterference_Pace(x, bed->worker, bed->now);
    PhInterference_Refresh(x, bed->worker, bed->now);
}

/* Advances to the next peak or trough of the own load. */
static void
bed_swing(PhBed *bed, PhInterference *x, const PhPairCase *c, bool top)
{
    int64_t at = top ? SWING_MS / 4 : SWING_MS * 3 / 4;
    int64_t phase;
    do {
        bed_look(bed, x, c->factor, c->swing);
        phase = bed->now / PH_NS_PER_MS % SWING_MS;
    } while (phase < at - LOOK_MS / 2 || phase > at + LOOK_MS / 2);
}

static void
bed_fill(PhBed *bed)
{
    PhSchedTask_Place(bed->filling, bed->worker);
    bed->filling->state = PH_SCHED_TASK_RUNNING;
}

/* Checks the cost of placing the fill task. */
static void
check_cost(const PhBed *bed, const PhInterference *x, bool bears)
{
    double cost =
        PhInterference_Cost(x, bed->worker, PhSchedTask_Step(bed->filling));
    assert_true(bears ? cost < 0.3 : cost > 0.6);
}

static void
pair_run(const PhPairCase *c)
{
    PhBed bed = {0};
    PhInterference *x = PhInterference_Create();
    bed_open(&bed);
    for (int i = 0; i < ROUNDS; i++) {
        bed_fill(&bed);
        for (int j = 0; j < LOOKS_EACH; j++) {
            bed_look(&bed, x, c->factor, c->swing);
        }
        PhSchedTask_Unplace(bed.filling, PH_SCHED_TASK_WAITING);
        for (int j = 0; j < LOOKS_EACH; j++) {
            bed_look(&bed, x, c->factor, c->swing);
        }
    }
    uint32_t fill = PhSchedTask_Step(bed.filling)->image_number;
    uint32_t serving = PhSchedTask_Step(bed.serving)->image_number;
    double factor = PhInterference_Factor(x, fill, serving);
    assert_true(factor >= c->least && factor <= c->most);
    bed_swing(&bed, x, c, false);
    check_cost(&bed, x, c->bears_at_bottom);
    bed_swing(&bed, x, c, true);
    check_cost(&bed, x, c->bears_at_top);
    bed_fill(&bed);
    bed_look(&bed, x, c->factor, c->swing);
    assert_int_equal(bed.worker->fill_use->len, 1);
    int pace = g_array_index(bed.worker->fill_use, PhSchedFillUse, 0).percent;
    assert_in_range(pace, c->least_pace, c->most_pace);
    bed_close(&bed);
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
        PhBed bed = {0};
        PhInterference *x = PhInterference_Create();
        bed_open(&bed);
        for (int j = 0; j < ROUNDS; j++) {
            bed_look(&bed, x, factors[i], 0.2);
        }
        bed_fill(&bed);
        for (int j = 0; j < ROUNDS; j++) {
            bed_look(&bed, x, factors[i], 0.2);
        }
        double factor = PhInterference_Factor(
            x, PhSchedTask_Step(bed.filling)->image_number,
            PhSchedTask_Step(bed.serving)->image_number);
        assert_true(fabs(factor - factors[i]) < 0.2 + factors[i] * 0.3);
        bed_close(&bed);
        PhInterference_Destroy(x);
    }
}

/* Estimates survive the record of an owner. */
static void
test_record(void **state)
{
    PhBed bed = {0};
    PhInterference *x = PhInterference_Create();
    PhInterference *y = PhInterference_Create();
    (void)state;
    bed_open(&bed);
    bed_fill(&bed);
    for (int i = 0; i < ROUNDS; i++) {
        bed_look(&bed, x, 2.0, 0.2);
    }
    PhSchedRecord record = PhInterference_Record(x, bed.model);
    assert_int_equal(record.as.pairs.count, 1);
    PhInterference_Apply(y, bed.model, &record);
    uint32_t fill = PhSchedTask_Step(bed.filling)->image_number;
    uint32_t serving = PhSchedTask_Step(bed.serving)->image_number;
    assert_true(PhInterference_Factor(y, fill, serving) ==
                PhInterference_Factor(x, fill, serving));
    PhSchedRecord_Clear(&record);
    bed_close(&bed);
    PhInterference_Destroy(x);
    PhInterference_Destroy(y);
}

/* A tail that exceeds its target for `over_ms`, except for some reports in a
 * row, and whether the fill tasks of the worker are paused. */
typedef struct PhOverCase {
    const char *name;
    int64_t over_ms;
    int64_t under_from_ms;
    int under_looks;
    bool stops;
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
    PhBed bed = {0};
    PhInterference *x = PhInterference_Create();
    bed_open(&bed);
    for (int i = 0; i < ROUNDS; i++) {
        bed_fill(&bed);
        bed_look(&bed, x, 0, 0);
        bed_look(&bed, x, 0, 0);
        if (i < ROUNDS - 1) {
            PhSchedTask_Unplace(bed.filling, PH_SCHED_TASK_WAITING);
            bed_look(&bed, x, 0, 0);
        }
    }
    for (int64_t ms = 0; ms <= c->over_ms; ms += LOOK_MS) {
        bed.now += LOOK_MS * PH_NS_PER_MS;
        int64_t after = ms - c->under_from_ms;
        bool under = after >= 0 && after < (int64_t)c->under_looks * LOOK_MS;
        bed.serving->figure = under ? UNDER_MS : OVER_MS;
        bed.serving->figure_at = bed.now;
        bed.filling->figure_at = bed.now;
        PhInterference_Learn(x, bed.worker, bed.now);
        PhInterference_Pace(x, bed.worker, bed.now);
    }
    int pace = g_array_index(bed.worker->fill_use, PhSchedFillUse, 0).percent;
    assert_int_equal(pace == 0, c->stops);
    assert_int_equal(bed.worker->fill_barred_until > bed.now, c->stops);
    bed_close(&bed);
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
