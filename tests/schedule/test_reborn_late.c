/* Workers that restart under their id while replies are lost or orders are
 * late.  Guards against tasks that run twice at a time: an unanswered start
 * may run in a later incarnation that its owner never learns of, with the
 * longest possible lease. */
#include "owners_world.h"
#include "tests/table.h"

enum {
    LASTING = 4,
    DRAWN_FAULTS = 20,
    DRAWN_MS = 120000,
    REST_MS = 40000, /* time without faults at the end */
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

/* Guards against duplicate runs after restarts with late orders. */
static void
test_reborn_late(void **state)
{
    (void)state;
    Ph_RUN_TABLE(reborn_cases, reborn_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_reborn_late)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
