/* Workers that come back under their id while orders get no answer or are
 * carried out late: no task may run twice at a time (TWICE).  A start without
 * an answer may run in a later life that its owner never hears of, under the
 * longest lease there is. */
#include "owners_world.h"
#include "tests/table.h"

enum {
    LASTING = 4,
    DRAWN_FAULTS = 20,
    DRAWN_MS = 120000,
    REST_MS = 40000, /* without faults at the end */
};

#define KINDS                                                                 \
    (1U << PH_OWNERS_NO_STORE | 1U << PH_OWNERS_NO_CALLS |                    \
     1U << PH_OWNERS_ZONE_CUT | 1U << PH_OWNERS_FREEZE |                      \
     1U << PH_OWNERS_REBORN | 1U << PH_OWNERS_NO_ANSWERS |                    \
     1U << PH_OWNERS_LATE)

typedef struct PhRebornCase {
    const char *name;
    uint64_t seed;
} PhRebornCase;

static const PhRebornCase reborn_cases[] = {
    {"seed 195", 195},
    {"seed 225", 225},
};

/* Plays one seed. */
static void
reborn_run(const PhRebornCase *c)
{
    PhOwnersWorld *w = PhOwnersWorld_Create(LASTING, DRAWN_MS);
    PhOwnersWorld_SetDelays(w, c->seed);
    PhOwnersWorld_DrawFaults(w, c->seed, DRAWN_FAULTS, KINDS);
    PhOwnersWorld_Run(w, DRAWN_MS + REST_MS);
    unsigned doubles = PhOwnersWorld_Doubles(w);
    bool served = PhOwnersWorld_IsServed(w);
    PhOwnersWorld_Destroy(w);
    assert_int_equal(doubles, 0);
    assert_true(served);
}

/* Every seed. */
static void
test_reborn_late(void **state)
{
    (void)state;
    Ph_RUN_TABLE(reborn_cases, reborn_run);
}

/* Runs the tests. */
int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_reborn_late)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
