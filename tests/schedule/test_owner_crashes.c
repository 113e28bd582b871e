/* An owner crashes after a later incarnation of a worker has executed starts
 * that it meant for the earlier one, and before it has recorded that. */
#include "owners_sim.h"
#include "tests/table.h"

static const PhOwnerEnd owner_crashes[] = {
    {14, PH_OWNERS_CRASH, 5538, 6746, 2253, 1},
    {24, PH_OWNERS_CRASH, 5702, 7052, 1063, 2},
    {25, PH_OWNERS_CRASH, 5718, 6957, 3033, 8},
};

/* Guards against a successor that gives up a run which a later incarnation has
 * been given by the owner that crashed. */
static void
test_owner_crashes(void **state)
{
    unsigned failed = 0;
    (void)state;
    for (size_t i = 0; i < sizeof(owner_crashes) / sizeof(owner_crashes[0]);
         i++) {
        bool holds = PhOwnersSim_HoldsAfter(&owner_crashes[i]);
        print_message("#   seed %u: %s\n", (unsigned)owner_crashes[i].seed,
                      holds ? "holds" : "a task runs twice");
        failed += !holds;
    }
    assert_int_equal(failed, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_owner_crashes)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
