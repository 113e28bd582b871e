/* The scheduler against a fleet with faults: no task runs twice at a time, no
 * run number is used twice, no start leaves before its record is durable, no
 * worker is given more than it has room for, and every job ends. */
#include "schedule_world.h"
#include "tests/table.h"

enum {
    LIMIT_S = 240
};

typedef struct PhScheduleCase {
    const char *name;
    PhWorldOptions options;
    unsigned seeds;
} PhScheduleCase;

static const PhScheduleCase schedule_cases[] = {
    {"calm", {.workers = 4, .jobs = 20}, 3},
    {"answers are lost",
     {.workers = 4, .jobs = 20, .faults = FAULT_LOST_ANSWERS},
     5},
    {"orders are carried out late",
     {.workers = 4, .jobs = 20, .faults = FAULT_LATE_ORDERS},
     5},
    {"starts are refused and runs fail",
     {.workers = 4, .jobs = 20, .faults = FAULT_REFUSALS | FAULT_FAILURES},
     5},
    {"workers are born again",
     {.workers = 4, .jobs = 20, .faults = FAULT_REBIRTHS | FAULT_LATE_ORDERS},
     5},
    {"workers are cut off",
     {.workers = 4, .jobs = 20, .faults = FAULT_CUTS},
     5},
    {"owners take over",
     {.workers = 4, .jobs = 40, .faults = FAULT_TAKEOVERS},
     5},
    {"the store is down",
     {.workers = 4, .jobs = 20, .faults = FAULT_STORE_OUTAGE},
     5},
    {"gangs", {.workers = 6, .jobs = 20, .gang = true}, 5},
    {"gangs, starts are refused and runs fail",
     {.workers = 6,
      .jobs = 20,
      .gang = true,
      .faults = FAULT_REFUSALS | FAULT_FAILURES},
     5},
    {"gangs, all of it",
     {.workers = 8, .jobs = 30, .gang = true, .faults = 255},
     10},
    {"jobs with repetitions, owners take over",
     {.workers = 6,
      .jobs = 10,
      .rounds = 4,
      .faults = FAULT_TAKEOVERS | FAULT_FAILURES},
     5},
    {"all of it", {.workers = 6, .jobs = 60, .faults = 255}, 20},
    {"tasks that last, with all of it",
     {.workers = 6, .jobs = 5, .faults = 255, .long_running = true},
     10},
};

/* Plays one case with each of its seeds. */
static void
schedule_run(const PhScheduleCase *c)
{
    for (unsigned i = 1; i <= c->seeds; i++) {
        PhWorldOptions options = c->options;
        options.seed = i;
        PhWorld *w = PhWorld_Create(&options);
        bool over = PhWorld_Run(w, LIMIT_S * PH_NS_PER_S);
        print_message("#   seed %u: %u starts, %u takeovers\n", i,
                      PhWorld_Starts(w), PhWorld_Takeovers(w));
        assert_true(over);
        assert_true(PhWorld_Starts(w) > 0);
        PhWorld_Destroy(w);
    }
}

/* Every case. */
static void
test_schedule(void **state)
{
    (void)state;
    Ph_RUN_TABLE(schedule_cases, schedule_run);
}

/* Runs the tests. */
int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_schedule)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
