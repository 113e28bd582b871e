#include "peridothill/bench/task_sim.h"
#include "tests/table.h"

typedef enum PhFaultKind {
    FAULT_NONE,
    FAULT_KILL_OWNER,
    FAULT_KILL_OTHER,
    FAULT_REPLACE_ALL, /* all instances, one after another */
    FAULT_RESTART_DEAD,
    FAULT_PAUSE_OWNER,
    FAULT_LOG_DOWN,
    FAULT_LOG_UP,
    FAULT_CUT_OWNER_LOG,
    FAULT_MEND_LOG,
    FAULT_WORKER_RESTART,
    FAULT_WORKER_FAILS,
    FAULT_WORKER_CUT, /* from all instances */
    FAULT_WORKER_CUT_OWNER,
    FAULT_WORKER_MEND,
    FAULT_PAUSE_WORKER,
    FAULT_CANCEL,
    FAULT_SUBMIT,
} PhFaultKind;

typedef struct PhFault {
    int at_s;
    PhFaultKind kind;
    int seconds; /* duration of a pause */
} PhFault;

/* Runs a data centre with three instances and six workers through a sequence
 * of faults. */
typedef struct PhRecoveryCase {
    const char *name;
    double loss;
    double lost_answers;
    int retention_s;
    bool expiry_forbidden; /* no lease may expire */
    uint64_t refused_max;  /* maximum number of refused submits */
    int until_s;
    int run_s; /* run time of each task; 0: 60 */
    int tasks; /* of the first job; 0: 30 */
    PhFault faults[12];
} PhRecoveryCase;

static const PhRecoveryCase recovery_cases[] = {
    {"nothing happens", 0, 0, 0, true, 0, 300, 0, 0, {{0}}},
    {"answers lost after appends", 0, 0.3, 0, true, 0, 400, 0, 0, {{0}}},
    {"messages lost and duplicated", 0.1, 0.1, 0, false, 0, 500, 0, 0, {{0}}},
    {"owner dies, log available",
     0,
     0,
     0,
     true,
     0,
     300,
     0,
     0,
     {{20, FAULT_KILL_OWNER, 0}}},
    {"owner dies, log unavailable",
     0,
     0,
     0,
     true,
     0,
     900,
     0,
     0,
     {{20, FAULT_LOG_DOWN, 0},
      {25, FAULT_KILL_OWNER, 0},
      {300, FAULT_LOG_UP, 0}}},
    {"two owners die in a log outage of an hour",
     0,
     0,
     0,
     true,
     0,
     4200,
     0,
     0,
     {{20, FAULT_LOG_DOWN, 0},
      {60, FAULT_KILL_OWNER, 0},
      {1800, FAULT_KILL_OTHER, 0},
      {3620, FAULT_LOG_UP, 0}}},
    {"owner paused beyond its ownership",
     0,
     0,
     0,
     true,
     0,
     300,
     0,
     0,
     {{20, FAULT_PAUSE_OWNER, 20}}},
    {"owner cut off from the log",
     0,
     0,
     0,
     true,
     0,
     400,
     0,
     0,
     {{20, FAULT_CUT_OWNER_LOG, 0}, {120, FAULT_MEND_LOG, 0}}},
    {"all instances replaced",
     0,
     0,
     0,
     true,
     0,
     400,
     0,
     0,
     {{20, FAULT_REPLACE_ALL, 0}}},
    {"replaced after the first entries expired",
     0,
     0,
     300,
     false,
     0,
     1200,
     0,
     0,
     {{700, FAULT_REPLACE_ALL, 0}, {720, FAULT_SUBMIT, 0}}},
    {"worker restarts empty",
     0,
     0,
     0,
     true,
     0,
     400,
     0,
     0,
     {{20, FAULT_WORKER_RESTART, 0}}},
    {"worker fails everything",
     0,
     0,
     0,
     true,
     0,
     600,
     0,
     0,
     {{2, FAULT_WORKER_FAILS, 0}}},
    {"worker cut off and back",
     0,
     0,
     0,
     false,
     0,
     600,
     0,
     0,
     {{20, FAULT_WORKER_CUT, 0}, {200, FAULT_WORKER_MEND, 0}}},
    {"worker cut off from the owner alone",
     0,
     0,
     0,
     false,
     0,
     600,
     0,
     0,
     {{20, FAULT_WORKER_CUT_OWNER, 0}, {200, FAULT_WORKER_MEND, 0}}},
    {"long runs on a worker cut off from the owner alone",
     0,
     0,
     0,
     false,
     0,
     1200,
     300,
     9,
     {{20, FAULT_WORKER_CUT_OWNER, 0}, {500, FAULT_WORKER_MEND, 0}}},
    {"worker paused beyond its leases",
     0,
     0,
     0,
     false,
     0,
     600,
     0,
     0,
     {{20, FAULT_PAUSE_WORKER, 90}}},
    {"cancel while the owner dies",
     0,
     0,
     0,
     true,
     0,
     300,
     0,
     0,
     {{20, FAULT_CANCEL, 0}, {20, FAULT_KILL_OWNER, 0}}},
    {"submit while the log is unavailable",
     0,
     0,
     0,
     true,
     1,
     300,
     0,
     0,
     {{20, FAULT_LOG_DOWN, 0}, {30, FAULT_SUBMIT, 0}, {60, FAULT_LOG_UP, 0}}},
};

static void
submit(PhTaskSim *w, uint32_t instance, const char *key, uint32_t count,
       int run_s)
{
    PhJobSpec spec = {.key = PhStr_FromC(key),
                      .team = PhStr_LITERAL("routes"),
                      .class = PH_JOB_BATCH,
                      .run_ms = INT64_C(1000) * (run_s > 0 ? run_s : 60),
                      .size = {1000, 500, 0},
                      .count = count,
                      .checkpointable = true};
    PhTaskSim_Submit(w, instance, &spec);
}

/* Lowest-numbered live instance except `except`. */
static uint32_t
live_instance_except(const PhTaskSim *w, int except)
{
    for (uint32_t i = 0; i < 3; i++) {
        if ((int)i != except && PhTaskSim_IsAlive(w, i)) {
            return i;
        }
    }
    return 0;
}

static void
fault_inject(PhTaskSim *w, const PhFault *fault)
{
    int owner = PhTaskSim_Owner(w);
    uint32_t instance =
        owner < 0 ? live_instance_except(w, -1) : (uint32_t)owner;
    switch (fault->kind) {
    case FAULT_NONE:
        break;
    case FAULT_KILL_OWNER:
        PhTaskSim_Kill(w, instance);
        break;
    case FAULT_KILL_OTHER:
        PhTaskSim_Kill(w, live_instance_except(w, owner));
        break;
    case FAULT_REPLACE_ALL:
        for (uint32_t i = 0; i < 3; i++) {
            PhTaskSim_Replace(w, i);
            PhTaskSim_RunUntil(w, PhTaskSim_Now(w) + (3 * PH_NS_PER_S));
        }
        break;
    case FAULT_RESTART_DEAD:
        for (uint32_t i = 0; i < 3; i++) {
            if (!PhTaskSim_IsAlive(w, i)) {
                PhTaskSim_Replace(w, i);
            }
        }
        break;
    case FAULT_PAUSE_OWNER:
        PhTaskSim_PauseInstance(w, instance, fault->seconds * PH_NS_PER_S);
        break;
    case FAULT_LOG_DOWN:
    case FAULT_LOG_UP:
        PhTaskSim_LogOptions(w)->outage = fault->kind == FAULT_LOG_DOWN;
        break;
    case FAULT_CUT_OWNER_LOG:
        PhTaskSim_CutLog(w, instance, true);
        break;
    case FAULT_MEND_LOG:
        for (uint32_t i = 0; i < 3; i++) {
            PhTaskSim_CutLog(w, i, false);
        }
        break;
    case FAULT_WORKER_RESTART:
        PhTaskSim_RestartWorker(w, 1);
        break;
    case FAULT_WORKER_FAILS:
        PhTaskSim_FailWorker(w, 1, true);
        break;
    case FAULT_WORKER_CUT:
    case FAULT_WORKER_MEND:
        for (uint32_t i = 0; i < 3; i++) {
            bool cut = fault->kind == FAULT_WORKER_CUT;
            PhTaskSim_CutWorker(w, i, 1, cut);
            PhTaskSim_CutWorker(w, i, 2, false);
            PhTaskSim_CutWorker(w, i, 3, false);
        }
        break;
    case FAULT_WORKER_CUT_OWNER:
        for (uint32_t i = 1; i <= 3; i++) {
            PhTaskSim_CutWorker(w, instance, i, true);
        }
        break;
    case FAULT_PAUSE_WORKER:
        PhTaskSim_PauseWorker(w, 1, fault->seconds * PH_NS_PER_S);
        break;
    case FAULT_CANCEL:
        PhTaskSim_Cancel(w, instance, PhStr_LITERAL("second"));
        break;
    case FAULT_SUBMIT:
        submit(w, live_instance_except(w, -1), "late", 4, 0);
        break;
    }
}

static void
recovery_run(const PhRecoveryCase *c, uint64_t seed)
{
    PhTaskSimOptions options = {
        .seed = seed,
        .instances = 3,
        .workers = 6,
        .worker_size = {4000, 4000, 0},
        .times = PhLeaseTimes_Default(),
        .retention = c->retention_s * PH_NS_PER_S,
        .link_delay = PH_NS_PER_MS,
        .loss = c->loss,
        .duplicate = c->loss,
        .lost_answers = c->lost_answers,
    };
    if (c->retention_s > 0) {
        options.times.snapshot = options.retention / 4;
        options.times.registration_interval = options.retention / 4;
    }
    PhTaskSim *w = PhTaskSim_Create(&options);
    PhTaskSim_RunUntil(w, 3 * PH_NS_PER_S);
    submit(w, 0, "first", c->tasks > 0 ? (uint32_t)c->tasks : 30, c->run_s);
    submit(w, 1, "second", c->tasks > 0 ? 1 : 10, c->run_s);
    for (size_t i = 0; i < G_N_ELEMENTS(c->faults); i++) {
        PhTaskSim_RunUntil(w, c->faults[i].at_s * PH_NS_PER_S);
        fault_inject(w, &c->faults[i]);
        assert_true(PhTaskSim_CountOwners(w) <= 1);
    }
    PhTaskSim_RunUntil(w, c->until_s * PH_NS_PER_S);
    uint64_t lost = 0;
    uint64_t unfinished = 0;
    PhTaskSim_CountUnfinished(w, &lost, &unfinished);
    const PhTaskSimCounts *n = PhTaskSim_Counts(w);
    print_message("# seed=%d starts=%d lapsed=%d refused=%d unknown=%d\n",
                  (int)seed, (int)n->starts, (int)n->lapsed, (int)n->refused,
                  (int)n->unknown);
    assert_int_equal(n->duplicate_runs, 0);
    assert_int_equal(n->overcommitted, 0);
    assert_int_equal(lost, 0);
    assert_int_equal(unfinished, 0);
    assert_true(n->refused <= c->refused_max);
    assert_true(!c->expiry_forbidden || n->lapsed == 0);
    PhTaskSim_Destroy(w);
}

static void
check_recovery(const PhRecoveryCase *c)
{
    for (uint64_t seed = 1; seed <= 3; seed++) {
        recovery_run(c, seed);
    }
}

/* Guards against tasks that run twice, are lost or never finish, and against
 * two owners, after a fault. */
static void
test_recovery(void **state)
{
    (void)state;
    Ph_RUN_TABLE(recovery_cases, check_recovery);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_recovery),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
