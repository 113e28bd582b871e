/* Short randomised runs with fixed seeds; an invariant that breaks stops the
 * test and names its seed. */
#include "peridothill/bench/soak.h"
#include "peridothill/common/invariant.h"
#include "tests/table.h"

/* A run and an invariant that it has to check. */
typedef struct PhSoakCase {
    const char *name;
    const PhSoakArea *area;
    uint64_t seed;
    uint64_t steps;
    PhInvariant invariant;
} PhSoakCase;

static const PhSoakCase soak_cases[] = {
    {"config 1", &PhSoak_Config, 1, 60000, PH_INVARIANT_CONFIG_IN_FORCE},
    {"config 2", &PhSoak_Config, 2, 60000, PH_INVARIANT_NOT_RUN},
    {"members 1", &PhSoak_Members, 1, 100000, PH_INVARIANT_MEMBER},
    {"members 2", &PhSoak_Members, 2, 100000, PH_INVARIANT_MEMBER},
    {"members 3", &PhSoak_Members, 3, 100000, PH_INVARIANT_MEMBER},
};

/* Runs an area; every fault has to begin, and rest to be reached. */
static void
soak_run(const PhSoakCase *c)
{
    PhSoakRun run = {.seed = c->seed, .steps = c->steps};
    uint64_t checks = PhInvariant_Checks(c->invariant);
    c->area->run(&run);
    for (size_t i = 0; i < c->area->fault_count; i++) {
        assert_true(run.begun[c->area->faults[i]] > 0);
    }
    assert_true(run.settled > 0);
    assert_true(PhInvariant_Checks(c->invariant) > checks);
}

/* Runs the table of seeds. */
static void
test_soak(void **state)
{
    (void)state;
    Ph_RUN_TABLE(soak_cases, soak_run);
}

/* Runs the randomised runs. */
int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_soak)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
