/* Guards against a clock that stops while the machine is suspended: an owner
 * would take an ownership that expired meanwhile for valid and let a task run
 * twice at a time. */
#include <time.h>

#include "peridothill/kernel/clock.h"
#include "tests/table.h"

/* CLOCK_MONOTONIC counts `awake` only. */
static struct {
    PhTime awake;
    PhTime suspended;
} machine;

/* Overrides the function of the C library in this program. */
int
clock_gettime(clockid_t id, struct timespec *t)
{
    PhTime now = machine.awake;
    if (id == CLOCK_BOOTTIME || id == CLOCK_REALTIME) {
        now += machine.suspended;
    }
    t->tv_sec = now / PH_NS_PER_S;
    t->tv_nsec = now % PH_NS_PER_S;
    return 0;
}

typedef struct PhClockCase {
    const char *name;
    PhTime awake;
    PhTime suspended;
} PhClockCase;

static const PhClockCase clock_cases[] = {
    {"awake", 3 * PH_NS_PER_S, 0},
    {"suspended in between", 3 * PH_NS_PER_S, 8 * PH_NS_PER_S},
    {"suspended throughout", 0, 8 * PH_NS_PER_S},
};

static void
clock_run(const PhClockCase *c)
{
    PhClock *clock = PhClock_Create(PH_CLOCK_REAL);
    machine.awake = 100 * PH_NS_PER_S;
    machine.suspended = 0;
    PhTime now = PhClock_Now(clock);
    PhTime wall = PhClock_Wall(clock);
    machine.awake += c->awake;
    machine.suspended += c->suspended;
    assert_int_equal(PhClock_Now(clock) - now, c->awake + c->suspended);
    assert_int_equal(PhClock_Wall(clock) - wall, c->awake + c->suspended);
    PhClock_Destroy(clock);
}

/* Monotonic and wall time must both count the time in suspension. */
static void
test_clock_counts_suspension(void **state)
{
    (void)state;
    Ph_RUN_TABLE(clock_cases, clock_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_clock_counts_suspension)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
