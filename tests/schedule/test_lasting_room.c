/* Planned work only: workers with a capacity leave one after the other while
 * new ones start, and instances are stopped in rolling restarts, one or two of
 * three at a time. */
#include "room_case.h"
#include "tests/table.h"

enum {
    OUTAGE_AT_MS = 15000,
    OUTAGE_UNTIL_MS = 60000,
    OUTAGE_SEEDS = 5,
    ALL_INSTANCES = (1 << PH_OWNERS_INSTANCES) - 1,
};

static const PhRoomCase room_cases[] = {
    {"no planned work", 1, 5, {12, 50, 80, 30}},
    {"workers leave, and are not replaced",
     1,
     10,
     {12, 40, 80, 30, .leaves = 4}},
    {"workers leave, and are replaced",
     1,
     20,
     {12, 50, 80, 30, .leaves = 12, .replaced = true}},
    {"instances restart, and runs fail",
     1,
     20,
     {12, 50, 80, 30, .restarts = 3, .away = 2, .failure_share = 0.2}},
    {"workers leave while instances restart",
     10001,
     10030,
     {12, 50, 80, 30, .leaves = 20, .replaced = true, .restarts = 5,
      .away = 2}},
    {"the same, and the load leaves little room",
     10001,
     10020,
     {12, 30, 120, 80, .leaves = 20, .replaced = true, .restarts = 5,
      .away = 2, .failure_share = 0.1}},
    {"the same, and there is much room",
     20001,
     20020,
     {12, 30, 40, 10, .leaves = 20, .replaced = true, .restarts = 8,
      .away = 2}},
};

/* Guards against tasks that are to last and have no run although there is room
 * for them (LOST), and against duplicate runs. */
static void
test_lasting_room(void **state)
{
    unsigned failed = 0;
    (void)state;
    for (size_t i = 0; i < sizeof(room_cases) / sizeof(room_cases[0]); i++) {
        print_message("# case %s\n", room_cases[i].name);
        failed += !PhRoomCase_Holds(&room_cases[i]);
    }
    assert_int_equal(failed, 0);
}

/* All instances are away for a time while workers leave. */
typedef struct PhOutageCase {
    const char *name;
    int64_t away_ms;
    bool found; /* the rule is broken */
} PhOutageCase;

static const PhOutageCase outage_cases[] = {
    {"for a moment", 500, false},
    {"for too long", 15000, true},
};

static void
outage_run(const PhOutageCase *c)
{
    static const PhRoomsTerms terms = {12, 30,           40,
                                       10, .leaves = 12, .replaced = true};
    PhOwnersFault outage = {PH_OWNERS_CRASH, OUTAGE_AT_MS, c->away_ms,
                            .instances = ALL_INSTANCES};
    unsigned found = 0;
    for (uint64_t seed = 1; seed <= OUTAGE_SEEDS; seed++) {
        PhOwnersSim *sim = PhOwnersSim_Create(0, 0);
        PhOwnersSim_DrawRooms(sim, seed, &terms);
        PhOwnersSim_AddFault(sim, &outage);
        PhOwnersSim_Run(sim, OUTAGE_UNTIL_MS);
        found += PhOwnersSim_RoomFigures(sim)->lasting;
        PhOwnersSim_Destroy(sim);
    }
    print_message("#   %u tasks down beside room for them\n", found);
    assert_int_equal(found > 0, c->found);
}

/* Guards against a check that finds nothing. */
static void
test_outages(void **state)
{
    (void)state;
    Ph_RUN_TABLE(outage_cases, outage_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_lasting_room),
                                       cmocka_unit_test(test_outages)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
