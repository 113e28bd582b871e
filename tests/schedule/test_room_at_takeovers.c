/* Lasting tasks that are without a run for 9 s beside room for them, around
 * takeovers while workers leave: each row is the smallest case that was found
 * of its kind. */
#include "room_case.h"
#include "tests/table.h"

static const PhRoomCase takeover_cases[] = {
    {"an owner that has just started counts a leave from when it read it, and "
     "starts are relayed",
     143,
     143,
     {8, 40, 60, 0, .leaves = 4, .replaced = true, .restarts = 2, .away = 2,
      .relays = true}},
    {"the same, and links carry 8 starts a second",
     84,
     84,
     {8, 30, 80, 0, .leaves = 4, .replaced = true, .restarts = 1, .away = 2,
      .starts_per_s = 8}},
    {"the same, with 20, and room is taken by starts that wait",
     30249,
     30249,
     {12, 50, 80, 30, .leaves = 20, .replaced = true, .restarts = 5, .away = 2,
      .starts_per_s = 20}},
    {"a leave is read late, and all instances are stopped at a time",
     10707,
     10707,
     {12, 50, 80, 30, .leaves = 20, .replaced = true, .restarts = 5,
      .away = 3}},
    {"the same, and there is much room",
     30354,
     30354,
     {12, 30, 120, 80, .leaves = 20, .replaced = true, .restarts = 3,
      .away = 3}},
    {"starts wait behind others on a slow link",
     30222,
     30222,
     {8, 30, 80, 0, .leaves = 4, .replaced = true, .restarts = 1, .away = 2,
      .starts_per_s = 8}},
};

/* Guards against lasting tasks that wait for leases, or for the starts of
 * others, beside room for them after takeovers (LOST). */
static void
test_room_at_takeovers(void **state)
{
    unsigned failed = 0;
    (void)state;
    for (size_t i = 0; i < sizeof(takeover_cases) / sizeof(takeover_cases[0]);
         i++) {
        print_message("# case %s\n", takeover_cases[i].name);
        failed += !PhRoomCase_Holds(&takeover_cases[i]);
    }
    assert_int_equal(failed, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_room_at_takeovers)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
