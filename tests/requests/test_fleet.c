/* Long randomised simulations of the request decisions with all kinds of
 * faults. The invariants are checked inside the decisions, the guarantees to
 * callers from outside. */
#include "peridothill/bench/requests_fleet.h"
#include "peridothill/common/random.h"
#include "tests/table.h"

enum {
    RUN_S = 12,
    WORKERS = 12,
    LONGEST_DEADLINE_S = 2,
};

typedef struct PhFleetCase {
    const char *name;
    uint64_t seed;
    uint32_t instances;
    uint32_t connections;
    double load; /* fraction of the capacity without faults */
} PhFleetCase;

static const PhFleetCase fleet_cases[] = {
    {"seed 1", 1, 7, 60, 0.6},
    {"seed 2, overloaded", 2, 7, 60, 2.0},
    {"seed 3, few connections", 3, 7, 9, 0.6},
    {"seed 4, one instance", 4, 1, 60, 0.6},
    {"seed 5, more instances than connections", 5, 20, 8, 0.6},
    {"seed 6", 6, 6, 60, 0.9},
};

/* Injects or clears one random fault. */
static void
fault_inject(PhFleet *fleet, PhRandom *random, bool *leaving)
{
    static const double factors[] = {1.0, 1.0, 3.0, 8.0};
    uint32_t worker = (uint32_t)PhRandom_Below(random, WORKERS);
    switch (PhRandom_Below(random, 5)) {
    case 0:
        PhFleet_SetFault(fleet, worker,
                         (PhFleetFault)PhRandom_Below(random, 3));
        break;
    case 1:
        PhFleet_SetFault(fleet, worker, PH_FLEET_HEALTHY);
        break;
    case 2:
        PhFleet_SetInterference(fleet, worker,
                                factors[PhRandom_Below(random, 4)]);
        break;
    case 3:
        PhFleet_SilenceConnections(fleet, 0.2);
        break;
    case 4:
        leaving[worker] = !leaving[worker];
        PhFleet_SetLeaving(fleet, worker, leaving[worker]);
        break;
    }
}

/* Checks the guarantees for one finished request. */
static void
check_request(const PhFleetRequest *r)
{
    if (!r->idempotent) {
        assert_true(r->executions <= 1);
    }
    switch (r->end) {
    case PH_FLEET_OPEN:
        fail_msg("request that arrived at %.3f s was not finished",
                 (double)r->arrived / (double)PH_NS_PER_S);
        break;
    case PH_FLEET_NOT_RUN:
        assert_int_equal(r->executions, 0);
        break;
    case PH_FLEET_ANSWERED:
    case PH_FLEET_FAILED:
        assert_true(r->executions >= 1);
        break;
    case PH_FLEET_UNKNOWN:
        assert_true(r->attempts >= 1);
        break;
    }
    assert_true(r->ended - r->arrived <= LONGEST_DEADLINE_S * PH_NS_PER_S);
}

static void
check_fleet(const PhFleetCase *c)
{
    PhFleetOptions o = {.seed = c->seed,
                        .instances = c->instances,
                        .workers = WORKERS,
                        .slots = 4,
                        .connections = c->connections,
                        .between_data_centres = 3 * PH_NS_PER_MS,
                        .tuning = PhRequestsTuning_Default()};
    for (int i = 0; i < PH_FLEET_SERVICES; i++) {
        o.services[i] = (PhFleetService){
            .service_class = (PhServiceClass)i,
            .service_mean = 50 * PH_NS_PER_MS,
            .deadline = (i == 0 ? 1 : LONGEST_DEADLINE_S) * PH_NS_PER_S,
            .share = 1.0,
            .rate = c->load * WORKERS * 4.0 * 20.0 / PH_FLEET_SERVICES,
            .unsafe = 0.4,
            .hedge_after = i == 0 ? 200 * PH_NS_PER_MS : 0};
    }
    PhFleet *fleet = PhFleet_Create(&o);
    PhRandom *random = PhRandom_Create(c->seed);
    bool leaving[WORKERS] = {false};
    PhTime now = 0;
    while (now < RUN_S * PH_NS_PER_S) {
        now += (PhTime)PhRandom_Exponential(random, 200.0 * PH_NS_PER_MS);
        PhFleet_Run(fleet, now);
        fault_inject(fleet, random, leaving);
    }
    for (uint32_t i = 0; i < PH_FLEET_SERVICES; i++) {
        PhFleet_SetRate(fleet, i, 0.0);
    }
    PhFleet_Run(fleet, now + (PhTime)LONGEST_DEADLINE_S * 2 * PH_NS_PER_S);
    const GArray *requests = PhFleet_Requests(fleet);
    size_t answered = 0;
    for (guint i = 0; i < requests->len; i++) {
        const PhFleetRequest *r = &g_array_index(requests, PhFleetRequest, i);
        check_request(r);
        answered += r->end == PH_FLEET_ANSWERED;
    }
    assert_true(answered > requests->len / 10);
    assert_true(PhFleet_MaxConnections(fleet) <= c->connections);
    PhRandom_Destroy(random);
    PhFleet_Destroy(fleet);
}

/* Guards against lost requests, double execution, false "not-run" outcomes and
 * too many connections under random faults. */
static void
test_fleet(void **state)
{
    (void)state;
    Ph_RUN_TABLE(fleet_cases, check_fleet);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_fleet)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
