/* Planned work only: instances restart in turn while workers leave in turn.
 * Guards against lasting tasks that wait for the leases of owners that have
 * been released. */
#include <glib.h>

#include "owners_sim.h"
#include "tests/table.h"

enum {
    LONG_TASKS = 4, /* fit on one worker */
    STOPS_MAX = 12,
    LEAVES_MAX = 3,
    STOP_MS = PH_OWNERS_NOTICE_MS + 1000,
    NOTICE_MS = 3000, /* from a worker's announcement until it has left */
    SETTLE_MS = 20000,
    GAP_MAX_MS = 9000, /* a long-running task runs again within this time */
};

/* Instances stop at these times, the owner of that time if `owner` is set,
 * else all in turn.  Workers leave at these times.  0 ends a list. */
typedef struct PhRollingCase {
    const char *name;
    bool owner;
    int64_t stops_ms[STOPS_MAX];
    int64_t leaves_ms[LEAVES_MAX];
} PhRollingCase;

static const PhRollingCase rolling_cases[] = {
    {"a worker leaves, no instance stops", true, {0}, {8000}},
    {"a worker leaves shortly after its owner was released",
     true,
     {7700},
     {8000}},
    {"a worker leaves shortly before its owner is released",
     true,
     {8300},
     {8000}},
    {"a worker leaves between two releases", true, {7000, 9000}, {8000}},
    {"instances restart in turn, 2 s apart",
     false,
     {7000, 9000, 11000, 13000, 15000, 17000},
     {8000, 10700, 13400}},
    {"each owner is stopped 2 s after the last one",
     true,
     {7000, 9000, 11000, 13000, 15000, 17000, 19000, 21000},
     {8000, 10700, 13400}},
    {"each owner is stopped 3.6 s after the last one",
     true,
     {7000, 10600, 14200, 17800, 21400, 25000},
     {9000, 14000, 19000}},
};

static int64_t
stops_add(PhOwnersSim *sim, const PhRollingCase *c)
{
    int64_t end_ms = 0;
    for (unsigned i = 0; i < STOPS_MAX && c->stops_ms[i] > 0; i++) {
        PhOwnersFault stop = {.kind = PH_OWNERS_STOP,
                              .at_ms = c->stops_ms[i],
                              .duration_ms = STOP_MS,
                              .instances =
                                  c->owner ? 0 : 1U << i % PH_OWNERS_INSTANCES,
                              .owner = c->owner};
        PhOwnersSim_AddFault(sim, &stop);
        end_ms = stop.at_ms + STOP_MS;
    }
    return end_ms;
}

static int64_t
leaves_add(PhOwnersSim *sim, const PhRollingCase *c)
{
    int64_t end_ms = 0;
    for (unsigned i = 0; i < LEAVES_MAX && c->leaves_ms[i] > 0; i++) {
        PhOwnersFault leave = {.kind = PH_OWNERS_DRAIN,
                               .at_ms = c->leaves_ms[i] - NOTICE_MS,
                               .duration_ms = NOTICE_MS,
                               .workers = 1U << i};
        PhOwnersSim_AddFault(sim, &leave);
        end_ms = c->leaves_ms[i];
    }
    return end_ms;
}

static void
rolling_run(const PhRollingCase *c)
{
    PhOwnersSim *sim = PhOwnersSim_Create(LONG_TASKS, 0);
    int64_t stopped_ms = stops_add(sim, c);
    int64_t left_ms = leaves_add(sim, c);
    PhOwnersSim_Run(sim, MAX(stopped_ms, left_ms) + SETTLE_MS);
    int64_t gap_ms = PhOwnersSim_LongestGap(sim);
    print_message("#   gap %d ms, %u takeovers\n", (int)gap_ms,
                  PhOwnersSim_Takeovers(sim));
    assert_true(PhOwnersSim_IsSettled(sim));
    assert_int_equal(PhOwnersSim_DuplicateStarts(sim), 0);
    assert_in_range(gap_ms, 0, GAP_MAX_MS);
    PhOwnersSim_Destroy(sim);
}

/* Guards against lasting tasks that stay without a run for longer than
 * GAP_MAX_MS around planned work (LOST), and against duplicate runs. */
static void
test_rolling_restart(void **state)
{
    (void)state;
    Ph_RUN_TABLE(rolling_cases, rolling_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_rolling_restart)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
