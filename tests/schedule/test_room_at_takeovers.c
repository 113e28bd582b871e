/* Lasting tasks that are without a run for 9 s beside room for them, around
 * takeovers while workers leave: each row is the smallest case that was found
 * of its kind. */
#include "room_case.h"
#include "tests/table.h"

static const PhRoomCase takeover_cases[] = {
    {"owners that have just started count a leave from when they read it, and "
     "starts are relayed",
     143,
     143,
     {8, 40, 60, 0, .leaves = 4, .replaced = true, .restarts = 2, .away = 2,
      .relays = true}},
    {"a leave that was announced between two owners is not recorded, and "
     "starts are relayed",
     1164,
     1164,
     {12, 50, 80, 30, .leaves = 20, .replaced = true, .restarts = 3, .away = 2,
      .relays = true}},
    {"the same as the first, and links are slow",
     178,
     178,
     {8, 30, 80, 0, .leaves = 4, .replaced = true, .restarts = 1, .away = 2,
      .starts_per_s = 8}},
    {"owners stop before they send the start, behind others on a slow link",
     131,
     131,
     {8, 30, 80, 0, .leaves = 4, .replaced = true, .restarts = 1, .away = 2,
      .starts_per_s = 8}},
    {"all instances are stopped at a time",
     289,
     289,
     {8, 40, 40, 0, .leaves = 4, .replaced = true, .restarts = 3, .away = 3}},
    {"the same, and a bound of leases is read late",
     69,
     69,
     {12, 30, 120, 80, .leaves = 20, .replaced = true, .restarts = 3,
      .away = 3}},
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
