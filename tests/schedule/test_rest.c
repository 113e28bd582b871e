/* Jobs and lasting tasks after the faults: whether everything runs again in
 * time that should.  With arguments, CASE FIRST LAST, runs one row with other
 * seeds. */
#include "owners_sim.h"
#include "rest_case.h"
#include "tests/table.h"

#include <stdlib.h>

#define ALL_KINDS ((1U << PH_OWNERS_FAULT_KINDS) - 1)
#define ALL_TRAITS                                                            \
    (PH_OWNERS_CHAINS | PH_OWNERS_FAILURES | PH_OWNERS_CANCELS |              \
     PH_OWNERS_GANGS | PH_OWNERS_SAVES)

static const PhRestCase rest_cases[] = {
    {"no faults", 1, 5, 0, 0},
    {"all kinds of faults", 1, 20, 12, ALL_KINDS},
    {"the same, and tasks move off draining workers", 1, 20, 12, ALL_KINDS,
     .moves = true},
    {"the same, and dispatchers send one start in two", 1, 20, 12, ALL_KINDS,
     .moves = true, .relays = true},
    {"all instances crash at the end", 1, 20, 8, ALL_KINDS, .moves = true,
     .closing = 1U << PH_OWNERS_CRASH},
    {"all instances stop at the end", 1, 20, 8, ALL_KINDS, .moves = true,
     .closing = 1U << PH_OWNERS_STOP},
    {"links carry 8 starts a second", 1, 20, 8, ALL_KINDS, .moves = true,
     .starts_per_s = 8},
    {"chains", 1, 10, 12, ALL_KINDS, PH_OWNERS_CHAINS, .moves = true},
    {"runs that fail", 1, 10, 12, ALL_KINDS, PH_OWNERS_FAILURES,
     .moves = true},
    {"cancellations", 1, 10, 12, ALL_KINDS, PH_OWNERS_CANCELS, .moves = true},
    {"gangs", 1, 10, 12, ALL_KINDS, PH_OWNERS_GANGS, .moves = true},
    {"saved state", 1, 10, 12, ALL_KINDS, PH_OWNERS_SAVES, .moves = true},
    {"all traits", 1, 20, 12, ALL_KINDS, ALL_TRAITS, .moves = true},
    {"all traits, and dispatchers", 1, 20, 12, ALL_KINDS, ALL_TRAITS,
     .moves = true, .relays = true},
    {"all traits, and all instances crash at the end", 1, 20, 8, ALL_KINDS,
     ALL_TRAITS, .moves = true, .closing = 1U << PH_OWNERS_CRASH},
    {"all traits, and all instances stop at the end", 1, 20, 8, ALL_KINDS,
     ALL_TRAITS, .moves = true, .relays = true,
     .closing = 1U << PH_OWNERS_STOP},
    {"all traits, drains without announcements", 1, 20, 12, ALL_KINDS,
     ALL_TRAITS},
    {"all traits, no faults", 1, 10, 0, 0, ALL_TRAITS},
    {"hopeless jobs", 1, 10, 0, 0, PH_OWNERS_FAILURES | PH_OWNERS_HOPELESS},
    {"hopeless jobs and faults", 1, 10, 12, ALL_KINDS,
     ALL_TRAITS | PH_OWNERS_HOPELESS, .moves = true},
};

/* Guards against jobs and lasting tasks that wait beside room for them (LOST),
 * and against tasks that run twice. */
static void
test_rest(void **state)
{
    unsigned failed = 0;
    (void)state;
    for (size_t i = 0; i < sizeof(rest_cases) / sizeof(rest_cases[0]); i++) {
        print_message("# case %s\n", rest_cases[i].name);
        failed += !PhRestCase_Holds(&rest_cases[i]);
    }
    assert_int_equal(failed, 0);
}

int
main(int argc, char **argv)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_rest)};
    if (argc == 4) {
        PhRestCase c = rest_cases[strtoul(argv[1], NULL, 10)];
        c.first = strtoull(argv[2], NULL, 10);
        c.last = strtoull(argv[3], NULL, 10);
        return PhRestCase_Holds(&c) ? 0 : 1;
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
