/* Workers that leave shortly after their notice while dispatchers send starts
 * to them. */
#include "owners_sim.h"
#include "tests/table.h"

enum {
    LONG_TASKS = 4,
    FAULT_FREE_MS = 40000, /* time without faults at the end */
    LEAVING_MS = 16000,
    LEAVING_INTERVAL_MS = 400, /* between jobs of 4 tasks */
    LEAVING_WORKERS = 2,
    LEAVING_STEP_MS = 137, /* from seed to seed */
};

/* Workers leave so long after their notice, at times drawn from the seed. */
typedef struct PhLeavingCase {
    const char *name;
    int64_t notice_ms;
    uint64_t first; /* seeds */
    uint64_t last;
    bool relays; /* dispatchers send one start in two, after a query */
} PhLeavingCase;

static const PhLeavingCase leaving_cases[] = {
    {"no dispatchers", 2000, 1, 600, false},
    {"dispatchers query workers", 2000, 1, 600, true},
    {"the same, another seed", 2000, 900, 900, true},
    {"the same, a third one", 2000, 2717, 2717, true},
    {"the same, a fourth one", 2000, 4157, 4157, true},
    {"a longer notice", 3000, 1, 300, true},
};

static void
leaving_run(const PhLeavingCase *c)
{
    unsigned failed_seeds = 0;
    for (uint64_t seed = c->first; seed <= c->last; seed++) {
        PhOwnersSim *sim = PhOwnersSim_Create(LONG_TASKS, LEAVING_MS);
        PhOwnersSim_SetDelays(sim, seed);
        PhOwnersSim_SetInterval(sim, LEAVING_INTERVAL_MS);
        if (c->relays) {
            PhOwnersSim_RelayStarts(sim);
            PhOwnersSim_QueryForRelays(sim);
        }
        for (unsigned i = 0; i < LEAVING_WORKERS; i++) {
            int64_t at_ms = (int64_t)(seed * LEAVING_STEP_MS) %
                            (LEAVING_MS / LEAVING_WORKERS);
            PhOwnersFault f = {PH_OWNERS_DRAIN,
                               at_ms + i * LEAVING_MS / LEAVING_WORKERS,
                               c->notice_ms, .workers = 1U << i};
            PhOwnersSim_AddFault(sim, &f);
        }
        PhOwnersSim_Run(sim, LEAVING_MS + FAULT_FREE_MS);
        unsigned duplicates = PhOwnersSim_DuplicateStarts(sim);
        unsigned repeated = PhOwnersSim_RepeatedStarts(sim);
        bool settled = PhOwnersSim_IsSettled(sim);
        if (duplicates > 0 || repeated > 0 || !settled) {
            print_message(
                "#   seed %u: %u duplicate starts, %u repeated, settled %d\n",
                (unsigned)seed, duplicates, repeated, settled);
            failed_seeds++;
        }
        PhOwnersSim_Destroy(sim);
    }
    assert_int_equal(failed_seeds, 0);
}

/* Guards against an end that a worker lists to a dispatcher alone before it
 * leaves, so that the task runs again. */
static void
test_leaving_workers(void **state)
{
    (void)state;
    Ph_RUN_TABLE(leaving_cases, leaving_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_leaving_workers)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
