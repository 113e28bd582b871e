/* Jobs at rest after the faults while runs fail: workers on which two runs in
 * a row have failed get no starts of tasks with an end for 6 s, unless most
 * workers are among them or there is room to spare. */
#include "owners_sim.h"
#include "rest_case.h"
#include "tests/table.h"

#define DRAINS (1U << PH_OWNERS_DRAIN)
#define ALL_KINDS ((1U << PH_OWNERS_FAULT_KINDS) - 1)
#define ALL_TRAITS                                                            \
    (PH_OWNERS_CHAINS | PH_OWNERS_FAILURES | PH_OWNERS_CANCELS |              \
     PH_OWNERS_GANGS | PH_OWNERS_SAVES)

static const PhRestCase failure_cases[] = {
    {"a worker leaves, and jobs of one step fail", 290, 290, 1, DRAINS,
     PH_OWNERS_FAILURES | PH_OWNERS_HOPELESS, .moves = true},
    {"two workers leave, and chains fail", 25, 25, 2, DRAINS,
     PH_OWNERS_FAILURES | PH_OWNERS_HOPELESS | PH_OWNERS_CHAINS,
     .moves = true},
    {"all kinds of faults, no hopeless jobs", 4136, 4136, 12, ALL_KINDS,
     ALL_TRAITS, .moves = true},
    {"the same, and dispatchers", 2187, 2187, 12, ALL_KINDS, ALL_TRAITS,
     .moves = true, .relays = true},
    {"all instances stop at the end", 4326, 4326, 8, ALL_KINDS, ALL_TRAITS,
     .moves = true, .relays = true, .closing = 1U << PH_OWNERS_STOP},
};

/* Guards against jobs that wait because no worker is trusted (LOST). */
static void
test_rest_failures(void **state)
{
    unsigned failed = 0;
    (void)state;
    for (size_t i = 0; i < sizeof(failure_cases) / sizeof(failure_cases[0]);
         i++) {
        print_message("# case %s\n", failure_cases[i].name);
        failed += !PhRestCase_Holds(&failure_cases[i]);
    }
    assert_int_equal(failed, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_rest_failures)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
