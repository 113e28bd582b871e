/* Short randomised runs with fixed seeds.  A violated invariant aborts the
 * test; the case printed last names the seed. */
#include "peridothill/bench/soak.h"
#include "peridothill/common/invariant.h"
#include "tests/table.h"

/* `invariant` must be checked by the run. */
typedef struct PhSoakCase {
    const char *name;
    const PhSoakArea *area;
    uint64_t seed;
    uint64_t steps;
    PhInvariant invariant;
} PhSoakCase;

static const PhSoakCase soak_cases[] = {
    {"config 1", &PhSoak_Config, 1, 100000, PH_INVARIANT_CONFIG_IN_FORCE},
    {"config 2", &PhSoak_Config, 2, 100000, PH_INVARIANT_NOT_RUN},
    {"requests 1", &PhSoak_Requests, 1, 120000, PH_INVARIANT_AT_MOST_ONCE},
    {"requests 2", &PhSoak_Requests, 2, 120000, PH_INVARIANT_GRACEFUL_STOP},
    {"tasks 1", &PhSoak_Tasks, 1, 150000, PH_INVARIANT_ONE_PLACE},
    {"tasks 2", &PhSoak_Tasks, 2, 150000, PH_INVARIANT_RESUME_ONCE},
    {"members 1", &PhSoak_Members, 1, 100000, PH_INVARIANT_MEMBER},
    {"members 2", &PhSoak_Members, 2, 100000, PH_INVARIANT_MEMBER},
    {"members 3", &PhSoak_Members, 3, 100000, PH_INVARIANT_MEMBER},
};

/* Every fault of the area must occur, and the system must settle again. */
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

/* Guards against random faults that violate an invariant.  Each run must also
 * inject every fault of its area and check its invariant, or it would pass
 * without having tested anything. */
static void
test_soak_seeds(void **state)
{
    (void)state;
    Ph_RUN_TABLE(soak_cases, soak_run);
}

/* Guards against a fault that no area injects, and a product guarantee that no
 * run checks.  Counts the checks of the runs before, so it must be the last
 * test. */
static void
test_soak_coverage(void **state)
{
    (void)state;
    uint64_t begun[PH_FAULT_COUNT] = {0};
    size_t count = 0;
    const PhSoakArea *const *areas = PhSoakArea_List(&count);
    for (size_t i = 0; i < count; i++) {
        for (size_t f = 0; f < areas[i]->fault_count; f++) {
            begun[areas[i]->faults[f]]++;
        }
    }
    for (int f = 0; f < PH_FAULT_COUNT; f++) {
        print_message("# fault %s\n", PhFault_Label(f));
        assert_true(begun[f] > 0);
    }
    for (int i = PH_INVARIANT_CAPACITY; i <= PH_INVARIANT_CONFIG_IN_FORCE;
         i++) {
        print_message("# invariant %s\n", PhInvariant_Label(i));
        assert_true(PhInvariant_Checks(i) > 0);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_soak_seeds),
        cmocka_unit_test(test_soak_coverage),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
