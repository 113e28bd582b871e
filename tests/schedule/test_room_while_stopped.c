/* Lasting tasks that are without a run for 9 s beside room for them, while
 * instances are stopped so often that owners follow each other without sending
 * a start. */
#include "room_case.h"
#include "tests/table.h"

static const PhRoomCase stopped_cases[] = {
    {"owners stop before they send a start that waits behind others",
     543,
     543,
     {8, 30, 80, 0, .leaves = 4, .replaced = true, .restarts = 1, .away = 2,
      .starts_per_s = 8}},
    {"the same, after the lease of a worker that left",
     50124,
     50124,
     {8, 30, 80, 0, .leaves = 4, .replaced = true, .restarts = 1, .away = 2,
      .starts_per_s = 8}},
};

/* Guards against lasting tasks that wait while instances are stopped in series
 * (LOST). */
static void
test_room_while_stopped(void **state)
{
    unsigned failed = 0;
    (void)state;
    for (size_t i = 0; i < sizeof(stopped_cases) / sizeof(stopped_cases[0]);
         i++) {
        print_message("# case %s\n", stopped_cases[i].name);
        failed += !PhRoomCase_Holds(&stopped_cases[i]);
    }
    assert_int_equal(failed, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_room_while_stopped)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
