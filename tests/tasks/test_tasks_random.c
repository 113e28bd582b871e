#include "peridothill/bench/task_faults.h"
#include "tests/table.h"

/* Ranges of seeds. A seed that has failed once is kept here. */
typedef struct PhRandomCase {
    const char *name;
    uint64_t first;
    uint64_t count;
    int seconds;
} PhRandomCase;

static const PhRandomCase random_cases[] = {
    {"short runs", 1, 12, 300},
    {"long runs", 101, 3, 3600},
    {"log briefly available just before entries expire", 120, 1, 3600},
};

static void
check_random(const PhRandomCase *c)
{
    for (uint64_t seed = c->first; seed < c->first + c->count; seed++) {
        PhTaskFaultsResult r =
            PhTaskFaults_Run(seed, c->seconds * PH_NS_PER_S);
        print_message("# seed=%d events=%d faults=%d starts=%d lapsed=%d "
                      "refused=%d unknown=%d\n",
                      (int)seed, (int)r.events, (int)r.faults,
                      (int)r.counts.starts, (int)r.counts.lapsed,
                      (int)r.counts.refused, (int)r.counts.unknown);
        assert_int_equal(r.counts.duplicate_runs, 0);
        assert_int_equal(r.counts.overcommitted, 0);
        assert_true(r.owners_max <= 1);
        assert_int_equal(r.lost, 0);
        assert_int_equal(r.unfinished, 0);
        assert_int_equal(r.standing, PH_FAULTS_STANDING_TASKS);
    }
}

/* Guards against tasks that run twice, are lost or never finish under random
 * faults. */
static void
test_random(void **state)
{
    (void)state;
    Ph_RUN_TABLE(random_cases, check_random);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_random),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
