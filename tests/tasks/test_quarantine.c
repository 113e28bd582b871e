/* Workers on which the tasks of several jobs fail in a row. */
#include "peridothill/bench/task_sim.h"
#include "tests/table.h"

#include <glib.h>

enum {
    WORKERS = 8,
    FAILING_FROM_S = 20,
    FAILING_UNTIL_S = 40,
    ASKED_S = 45,
    START_LIMIT_MS = 4200, /* of urgent work */
    TASKS = WORKERS * 4,   /* as many as the workers have room for */
    HALF = 2,
};

typedef struct PhQuarantineCase {
    const char *name;
    uint32_t failing;     /* workers that fail all tasks for a time */
    uint32_t quarantined; /* of these, at least */
    uint32_t running;     /* tasks that run soon after it, at least */
} PhQuarantineCase;

static const PhQuarantineCase quarantine_cases[] = {
    {"none fails", 0, 0, TASKS},
    {"one fails", 1, 1, TASKS / HALF},
    {"half fail", 4, 4, TASKS / HALF},
    {"all but one fail", 7, 1, TASKS / HALF},
    {"all fail", 8, 1, TASKS / HALF},
};

static void
job_submit(PhTaskSim *w, const char *key, uint32_t count, PhJobClass class)
{
    PhJobSpec spec = {.key = PhStr_FromC(key),
                      .team = PhStr_LITERAL("routes"),
                      .class = class,
                      .run_ms = 100000,
                      .size = {1000, 500, 0},
                      .count = count};
    PhTaskSim_Submit(w, 0, &spec);
}

static void
failing_set(PhTaskSim *w, uint32_t failing, bool on)
{
    for (uint32_t i = 0; i < failing; i++) {
        PhTaskSim_FailWorker(w, i, on);
    }
}

static void
quarantine_run(const PhQuarantineCase *c)
{
    PhTaskSim *w =
        PhTaskSim_Create(&(PhTaskSimOptions){.seed = 1,
                                             .instances = 3,
                                             .workers = WORKERS,
                                             .worker_size = {4000, 4000, 0},
                                             .times = PhLeaseTimes_Default(),
                                             .link_delay = PH_NS_PER_MS});
    PhTaskSim_RunUntil(w, FAILING_FROM_S * PH_NS_PER_S);
    failing_set(w, c->failing, true);
    for (int s = FAILING_FROM_S; s < FAILING_UNTIL_S && c->failing > 0; s++) {
        char key[16];
        g_snprintf(key, sizeof(key), "job-%d", s);
        job_submit(w, key, 2, PH_JOB_BATCH);
        PhTaskSim_RunUntil(w, (s + 1) * PH_NS_PER_S);
    }
    failing_set(w, c->failing, false);
    PhTaskSim_RunUntil(w, ASKED_S * PH_NS_PER_S);
    job_submit(w, "urgent", TASKS, PH_JOB_URGENT);
    PhTaskSim_RunUntil(w,
                       ASKED_S * PH_NS_PER_S + START_LIMIT_MS * PH_NS_PER_MS);
    uint64_t quarantined =
        PhTaskSim_Counts(w)->notes[PH_NOTE_WORKER_QUARANTINED];
    uint64_t running = PhTaskSim_CountRunning(w);
    print_message("#   %d quarantined, %d tasks run\n", (int)quarantined,
                  (int)running);
    assert_true(quarantined >= c->quarantined);
    assert_true(running >= c->running);
    PhTaskSim_Destroy(w);
}

/* Guards against a quarantine of all workers at once, which stops all work for
 * a minute and more, when jobs fail wherever they run. */
static void
test_quarantine(void **state)
{
    (void)state;
    Ph_RUN_TABLE(quarantine_cases, quarantine_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_quarantine)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
