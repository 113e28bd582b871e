/* Interference between images: what is learned from simulated workers, where
 * work is placed, and how fast it may go.  The load pattern is that of
 * colocation with pair-specific contention (Paragon, Bubble-Up). */
#include "decide/schedule/interference.h"

#include "peridothill/common/random.h"
#include "tests/table.h"

enum {
    CAPACITY_MILLI = 64000,
    FILL_MILLI = 16000,
    TARGET_MS = 18,
    OVER_MS = 36,
    LOOK_MS = 500,
    ROUNDS = 60, /* of a fill coming and going */
    LOOKS_EACH = 3,
};

/* True factor of a pair, and what is expected of the estimate. */
typedef struct PhPairCase {
    const char *name;
    double factor;  /* load that a whole share adds */
    double swing;   /* amplitude of the own load */
    bool disturbs;  /* the estimate has to tell */
    int least_pace; /* after a look while it fills */
    int most_pace;
} PhPairCase;

static const PhPairCase pair_cases[] = {
    {"a pair that does not disturb is not slowed", 0.0, 0.1, false, 100, 100},
    {"weak effects count as none", 0.08, 0.1, false, 100, 100},
    {"a pair that disturbs is found and slowed", 1.5, 0.1, true, 0, 90},
    {"it is found in a wide swing too", 1.5, 0.2, true, 0, 90},
};

/* A model with one worker, a job that serves and a job that fills. */
typedef struct PhBed {
    PhSchedModel *model;
    PhSchedWorker *worker;
    PhSchedTask *serving;
    PhSchedTask *filling;
    PhRandom *random;
    PhTime now;
} PhBed;

/* Adds a job with one task. */
static PhSchedTask *
bed_job(PhBed *bed, const char *id, PhSchedStep step)
{
    PhSchedSpec spec = {.id = PhStr_Dup(PhStr_FromC(id)), .step_count = 1};
    spec.steps = g_new0(PhSchedStep, 1);
    spec.steps[0] = step;
    PhSchedJob *job = PhSchedModel_AddJob(bed->model, &spec, 0);
    return &PhSchedJob_Stage(job, 0, 0)->tasks[0];
}

/* Sets up the bed; the serving task runs. */
static void
bed_open(PhBed *bed)
{
    bed->model = PhSchedModel_Create();
    bed->random = PhRandom_Create(1);
    bed->now = 10 * PH_NS_PER_S;
    bed->worker = PhSchedModel_Worker(bed->model, PhStr_LITERAL("worker"), 1);
    bed->worker->entry.capacity.cpu_milli = CAPACITY_MILLI;
    bed->serving =
        bed_job(bed, "00000000000000aa",
                (PhSchedStep){.count = 1,
                              .room.cpu_milli = 13000,
                              .long_running = true,
                              .image = PhStr_Dup(PhStr_LITERAL("serving")),
                              .tail_target = TARGET_MS * PH_NS_PER_MS});
    bed->filling =
        bed_job(bed, "00000000000000bb",
                (PhSchedStep){.count = 1,
                              .room.cpu_milli = FILL_MILLI,
                              .fills = true,
                              .image = PhStr_Dup(PhStr_LITERAL("filling"))});
    PhSchedTask_Place(bed->serving, bed->worker);
    bed->serving->state = PH_SCHED_TASK_RUNNING;
}

/* Releases the bed. */
static void
bed_close(PhBed *bed)
{
    PhSchedModel_Destroy(bed->model);
    PhRandom_Destroy(bed->random);
}

/* Looks at the worker: the tail follows from the own load and the fill. */
static void
bed_look(PhBed *bed, PhInterference *x, const PhPairCase *c)
{
    bool fills = bed->filling->worker != NULL;
    double own = 0.45 + c->swing * (2 * PhRandom_Unit(bed->random) - 1) / 2;
    double share = fills ? (double)FILL_MILLI / CAPACITY_MILLI : 0;
    double load = MIN(own + c->factor * share, 0.95);
    bed->now += LOOK_MS * PH_NS_PER_MS;
    bed->serving->figure = (int64_t)(0.22 * TARGET_MS / (1 - load) + 0.5);
    bed->serving->figure_at = bed->now;
    bed->filling->figure = fills ? FILL_MILLI : 0;
    bed->filling->figure_at = bed->now;
    PhInterference_Learn(x, bed->worker, bed->now);
    PhInterference_Pace(x, bed->worker, bed->now);
    PhInterference_Refresh(x, bed->worker);
}

/* Learns one pair and checks the estimate, the cost and the pace. */
static void
pair_run(const PhPairCase *c)
{
    PhBed bed = {0};
    PhInterference *x = PhInterference_Create();
    bed_open(&bed);
    for (int i = 0; i < ROUNDS; i++) {
        PhSchedTask_Place(bed.filling, bed.worker);
        bed.filling->state = PH_SCHED_TASK_RUNNING;
        for (int j = 0; j < LOOKS_EACH; j++) {
            bed_look(&bed, x, c);
        }
        if (i == ROUNDS - 1) {
            break;
        }
        PhSchedTask_Unplace(bed.filling, PH_SCHED_TASK_WAITING);
        for (int j = 0; j < LOOKS_EACH; j++) {
            bed_look(&bed, x, c);
        }
    }
    uint32_t fill = PhSchedTask_Step(bed.filling)->image_number;
    uint32_t serving = PhSchedTask_Step(bed.serving)->image_number;
    assert_int_equal(PhInterference_Factor(x, fill, serving) > 0, c->disturbs);
    assert_int_equal(
        PhInterference_Cost(x, bed.worker, PhSchedTask_Step(bed.filling)) > 0,
        c->disturbs);
    assert_int_equal(bed.worker->fill_use->len, 1);
    int pace = g_array_index(bed.worker->fill_use, PhSchedFillUse, 0).percent;
    assert_in_range(pace, c->least_pace, c->most_pace);
    bed_close(&bed);
    PhInterference_Destroy(x);
}

/* Every pair. */
static void
test_pairs(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pair_cases, pair_run);
}

/* A tail that stays over its target, for this long, and the pace then. */
typedef struct PhOverCase {
    const char *name;
    int64_t over_ms;
    bool stops;
} PhOverCase;

static const PhOverCase over_cases[] = {
    {"a short excess stops nothing that is held harmless", 1000, false},
    {"one that stays stops everything", 2000, true},
};

/* Keeps a tail over its target beside a pair that is held harmless. */
static void
over_run(const PhOverCase *c)
{
    static const PhPairCase harmless = {.factor = 0, .swing = 0};
    PhBed bed = {0};
    PhInterference *x = PhInterference_Create();
    bed_open(&bed);
    for (int i = 0; i < ROUNDS; i++) {
        PhSchedTask_Place(bed.filling, bed.worker);
        bed.filling->state = PH_SCHED_TASK_RUNNING;
        bed_look(&bed, x, &harmless);
        bed_look(&bed, x, &harmless);
        if (i < ROUNDS - 1) {
            PhSchedTask_Unplace(bed.filling, PH_SCHED_TASK_WAITING);
            bed_look(&bed, x, &harmless);
        }
    }
    for (int64_t ms = 0; ms <= c->over_ms; ms += LOOK_MS) {
        bed.now += LOOK_MS * PH_NS_PER_MS;
        bed.serving->figure = OVER_MS;
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

/* Tails over their target. */
static void
test_over(void **state)
{
    (void)state;
    Ph_RUN_TABLE(over_cases, over_run);
}

/* Runs the tests. */
int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_pairs),
                                       cmocka_unit_test(test_over)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
