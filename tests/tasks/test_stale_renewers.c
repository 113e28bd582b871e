/* A renewer that cannot read the log does not know of recent starts. If it
 * acknowledged the end of such a run, the end would be lost and the task would
 * start again. */
#include "peridothill/bench/task_sim.h"
#include "tests/table.h"

enum {
    INSTANCES = 3,
    WORKERS = 6,
    LONG_S = 400,
    BRIEF_S = 4,
    BRIEF_JOBS = 30,
    BRIEF_TASKS = 6, /* per job */
    BRIEF_GAP_S = 3,
    FIRST_S = 20,
    UNTIL_S = 600,
    SEEDS = 3,
};

typedef struct PhStaleCase {
    const char *name;
    bool cut; /* disconnects all instances but the owner from the log */
} PhStaleCase;

static const PhStaleCase stale_cases[] = {
    {"all read the log", false},
    {"all but the owner are cut off from the log", true},
};

static void
submit(PhTaskSim *w, uint32_t instance, const char *key, int64_t cpu_milli,
       uint32_t count, int run_s)
{
    PhJobSpec spec = {.key = PhStr_FromC(key),
                      .team = PhStr_LITERAL("routes"),
                      .class = PH_JOB_BATCH,
                      .run_ms = INT64_C(1000) * run_s,
                      .size = {cpu_milli, 200, 0},
                      .count = count};
    PhTaskSim_Submit(w, instance, &spec);
}

/* Every task must start exactly once, and no lease may expire. */
static void
stale_renewers_run(const PhStaleCase *c, uint64_t seed)
{
    PhTaskSimOptions options = {.seed = seed,
                                .instances = INSTANCES,
                                .workers = WORKERS,
                                .worker_size = {4000, 4000, 0},
                                .times = PhLeaseTimes_Default(),
                                .link_delay = PH_NS_PER_MS};
    PhTaskSim *w = PhTaskSim_Create(&options);
    PhTaskSim_RunUntil(w, 3 * PH_NS_PER_S);
    submit(w, 0, "long", 3000, WORKERS, LONG_S);
    PhTaskSim_RunUntil(w, FIRST_S * PH_NS_PER_S);
    int owner = PhTaskSim_Owner(w);
    assert_true(owner >= 0);
    for (uint32_t i = 0; i < INSTANCES; i++) {
        PhTaskSim_CutLog(w, i, c->cut && (int)i != owner);
    }
    for (int i = 0; i < BRIEF_JOBS; i++) {
        char key[16];
        g_snprintf(key, sizeof(key), "brief-%d", i);
        submit(w, (uint32_t)owner, key, 900, BRIEF_TASKS, BRIEF_S);
        PhTaskSim_RunUntil(w, PhTaskSim_Now(w) + BRIEF_GAP_S * PH_NS_PER_S);
    }
    for (uint32_t i = 0; i < INSTANCES; i++) {
        PhTaskSim_CutLog(w, i, false);
    }
    PhTaskSim_RunUntil(w, UNTIL_S * PH_NS_PER_S);
    const PhTaskSimCounts *n = PhTaskSim_Counts(w);
    uint64_t tasks = WORKERS + BRIEF_JOBS * BRIEF_TASKS;
    print_message("# seed=%d tasks=%d starts=%d lapsed=%d\n", (int)seed,
                  (int)tasks, (int)n->starts, (int)n->lapsed);
    assert_int_equal(n->duplicate_runs, 0);
    assert_int_equal(n->lapsed, 0);
    assert_int_equal(n->starts, tasks);
    PhTaskSim_Destroy(w);
}

static void
check_stale(const PhStaleCase *c)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        stale_renewers_run(c, seed);
    }
}

/* Guards against stale renewers that acknowledge ends which the log does not
 * have. */
static void
test_stale(void **state)
{
    (void)state;
    Ph_RUN_TABLE(stale_cases, check_stale);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_stale)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
