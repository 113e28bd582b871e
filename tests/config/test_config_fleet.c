/* Followers and appenders of a simulated fleet under faults. */
#include "peridothill/bench/config_fleet.h"

#include "tests/table.h"

enum {
    INSTANCES = 12,
    DATA_CENTRES = 3,
    TEAMS = 6,
    REQUESTS_MAX = 4096,
};

#define SECOND PH_NS_PER_S

/* A simulated fleet and the answers that its operators received. */
typedef struct PhFleetFixture {
    PhConfigFleet *fleet;
    PhRandom *random;
    uint64_t requests;
    uint64_t accepted[REQUESTS_MAX]; /* version by request; 0: not accepted */
    uint64_t answer_counts[4]; /* accepted, refused, not accepted, unknown */
} PhFleetFixture;

static void
on_answer(void *context, uint64_t request, const PhResult *result,
          uint64_t version)
{
    PhFleetFixture *f = context;
    if (PhResult_IsOk(result)) {
        f->accepted[request] = version;
        f->answer_counts[0]++;
    }
    else if (result->status == PH_STATUS_UNAVAILABLE) {
        f->answer_counts[2]++;
    }
    else if (result->status == PH_STATUS_UNKNOWN) {
        f->answer_counts[3]++;
    }
    else {
        f->answer_counts[1]++;
    }
}

/* Creates a fleet and starts all instances. */
static PhFleetFixture *
fixture_create(uint64_t seed, PhTime retention, double loss)
{
    PhFleetFixture *f = g_new0(PhFleetFixture, 1);
    f->random = PhRandom_Create(seed);
    f->fleet = PhConfigFleet_Create(
        &(PhConfigFleetOptions){.seed = seed,
                                .instances = INSTANCES,
                                .data_centres = DATA_CENTRES,
                                .regions = 1,
                                .readers = 2,
                                .loss = loss,
                                .retention = retention});
    PhConfigFleet_OnAnswer(f->fleet, on_answer, f);
    PhConfigFleet_StartAll(f->fleet);
    return f;
}

static void
fixture_destroy(PhFleetFixture *f)
{
    PhConfigFleet_Destroy(f->fleet);
    PhRandom_Destroy(f->random);
    g_free(f);
}

static void
run(PhFleetFixture *f, PhTime duration)
{
    PhConfigFleet_Run(f->fleet, PhConfigFleet_Now(f->fleet) + duration);
}

/* Submits a patch at an instance, based on the version in force there. */
static void
submit(PhFleetFixture *f, uint32_t instance)
{
    if (f->requests < REQUESTS_MAX && PhConfigFleet_IsUp(f->fleet, instance)) {
        uint64_t n = f->requests++;
        PhConfigFleet_Submit(f->fleet, instance, n, n,
                             PhConfigFleet_Version(f->fleet, instance),
                             (uint32_t)PhRandom_Below(f->random, TEAMS),
                             PhConfigFleet_Now(f->fleet) + 8 * SECOND);
    }
}

/* Submits one patch every half second, each at a random instance. */
static void
submit_some(PhFleetFixture *f, int count)
{
    for (int i = 0; i < count; i++) {
        submit(f, (uint32_t)PhRandom_Below(f->random, INSTANCES));
        run(f, SECOND / 2);
    }
}

/* Checks that all instances have the highest version in force and know it to
 * be the latest, and that every patch answered as accepted made the version
 * that its answer names. */
static void
check_settled(PhFleetFixture *f)
{
    uint64_t highest = PhConfigFleet_HighestVersion(f->fleet);
    PhTime now = PhConfigFleet_Now(f->fleet);
    for (uint32_t i = 0; i < INSTANCES; i++) {
        assert_int_equal(PhConfigFleet_Version(f->fleet, i), highest);
        assert_int_equal(PhConfigFollower_SyncState(
                             PhConfigFleet_Follower(f->fleet, i), now),
                         PH_CONFIG_SYNC_IN_FORCE);
    }
    for (uint64_t n = 0; n < f->requests; n++) {
        char id[24];
        uint64_t version = f->accepted[n];
        g_snprintf(id, sizeof(id), "patch-%u", (unsigned)n);
        if (version > 0) {
            assert_true(version <= highest);
            assert_int_equal(
                PhConfigFleet_VersionAt(f->fleet, version)->patch_id,
                PhStr_Hash(PhStr_FromC(id), 1));
        }
    }
}

/* The fault between the first patches and the final check. */
typedef enum PhFleetScenario {
    SCENARIO_NO_FAULT,
    SCENARIO_RESTART_LOG_DOWN,
    SCENARIO_RESTART,
    SCENARIO_RESTART_ALL,
    SCENARIO_RESTART_ALL_EXPIRED,
    SCENARIO_PAUSED_BEYOND_RETENTION,
    SCENARIO_PAUSED_PEERS_SILENT,
    SCENARIO_LOG_UNREACHABLE,
    SCENARIO_ISOLATED_DATA_CENTRE,
    SCENARIO_LOST_ANSWERS,
    SCENARIO_LOG_OUTAGE,
    SCENARIO_RECORDS_EXPIRED_UNREAD,
    SCENARIO_NO_PEER_MESSAGES,
} PhFleetScenario;

/* `note` is a PhConfigNote that must occur, or -1. */
typedef struct PhScenarioCase {
    const char *name;
    PhFleetScenario scenario;
    PhTime retention;
    int note;
} PhScenarioCase;

static const PhScenarioCase scenario_cases[] = {
    {"no fault", SCENARIO_NO_FAULT, 3600 * SECOND, -1},
    {"restart while the log is down", SCENARIO_RESTART_LOG_DOWN, 3600 * SECOND,
     -1},
    {"restart with peers", SCENARIO_RESTART, 3600 * SECOND, -1},
    {"restart of all instances", SCENARIO_RESTART_ALL, 3600 * SECOND,
     PH_CONFIG_NOTE_RECOVERED_LOG},
    {"restart of all instances, records expired", SCENARIO_RESTART_ALL_EXPIRED,
     60 * SECOND, PH_CONFIG_NOTE_RECOVERED_LOG},
    {"paused beyond retention", SCENARIO_PAUSED_BEYOND_RETENTION, 60 * SECOND,
     -1},
    {"paused beyond retention, peers silent", SCENARIO_PAUSED_PEERS_SILENT,
     60 * SECOND, PH_CONFIG_NOTE_RECOVERED_LOG},
    {"log unreachable from one data centre", SCENARIO_LOG_UNREACHABLE,
     3600 * SECOND, PH_CONFIG_NOTE_LOG_FAILED},
    {"data centre isolated from log and peers", SCENARIO_ISOLATED_DATA_CENTRE,
     3600 * SECOND, -1},
    {"answers lost after the append", SCENARIO_LOST_ANSWERS, 3600 * SECOND,
     -1},
    {"outage of the log", SCENARIO_LOG_OUTAGE, 3600 * SECOND,
     PH_CONFIG_NOTE_LOG_FAILED},
    {"instance receives nothing from peers", SCENARIO_NO_PEER_MESSAGES,
     3600 * SECOND, -1},
    {"records expire before any instance reads them",
     SCENARIO_RECORDS_EXPIRED_UNREAD, 60 * SECOND,
     PH_CONFIG_NOTE_RETENTION_GAP},
};

/* Restarts instance 0.  The first version that it has in force must be the
 * highest one, never an older one. */
static void
restart_first(PhFleetFixture *f, bool log_down)
{
    uint64_t highest = PhConfigFleet_HighestVersion(f->fleet);
    PhFakeLog_Options(PhConfigFleet_Log(f->fleet))->outage = log_down;
    PhConfigFleet_Crash(f->fleet, 0);
    PhConfigFleet_Start(f->fleet, 0);
    for (int i = 0; i < 1000 && PhConfigFleet_FirstInForceAt(f->fleet, 0) < 0;
         i++) {
        run(f, 10 * PH_NS_PER_MS);
    }
    assert_int_equal(PhConfigFleet_Version(f->fleet, 0), highest);
    PhFakeLog_Options(PhConfigFleet_Log(f->fleet))->outage = false;
}

/* Cuts or restores the links between one data centre and all others, in both
 * directions. */
static void
data_centre_isolate(PhFleetFixture *f, uint32_t group, bool cut)
{
    PhFakeNet *net = PhConfigFleet_Net(f->fleet);
    for (uint32_t other = 0; other < DATA_CENTRES; other++) {
        if (other != group) {
            PhFakeNet_Link(net, group, other)->cut = cut;
            PhFakeNet_Link(net, other, group)->cut = cut;
        }
    }
}

/* Pauses instance 0 for twice the retention while patches continue. */
static void
pause_first(PhFleetFixture *f, bool peers_silent)
{
    PhFakeNet *net = PhConfigFleet_Net(f->fleet);
    for (uint32_t i = 1; i < INSTANCES && peers_silent; i++) {
        PhFakeNet_SetBlackhole(net, i, 0, true);
    }
    PhFakeNet_Pause(net, 0, PhConfigFleet_Now(f->fleet) + 120 * SECOND);
    submit_some(f, 250);
    run(f, 30 * SECOND);
    for (uint32_t i = 1; i < INSTANCES; i++) {
        PhFakeNet_SetBlackhole(net, i, 0, false);
    }
}

/* Data centre 0 must follow through its peers while the log is unreachable
 * from it. */
static void
log_unreachable(PhFleetFixture *f)
{
    PhConfigFleet_CutLog(f->fleet, 0, true);
    submit_some(f, 20);
    run(f, 10 * SECOND);
    assert_true(PhConfigFleet_HighestVersion(f->fleet) > 5);
    assert_int_equal(PhConfigFleet_Version(f->fleet, 0),
                     PhConfigFleet_HighestVersion(f->fleet));
    PhConfigFleet_CutLog(f->fleet, 0, false);
}

/* Data centre 0 must keep its version and report it as stale while it reaches
 * neither log nor peers. */
static void
isolated_data_centre(PhFleetFixture *f)
{
    uint64_t held = PhConfigFleet_Version(f->fleet, 0);
    PhConfigFleet_CutLog(f->fleet, 0, true);
    data_centre_isolate(f, 0, true);
    submit_some(f, 40);
    assert_int_equal(PhConfigFleet_Version(f->fleet, 0), held);
    assert_true(PhConfigFleet_Version(f->fleet, 1) > held);
    assert_int_equal(
        PhConfigFollower_SyncState(PhConfigFleet_Follower(f->fleet, 0),
                                   PhConfigFleet_Now(f->fleet)),
        PH_CONFIG_SYNC_STALE);
    PhConfigFleet_CutLog(f->fleet, 0, false);
    data_centre_isolate(f, 0, false);
}

/* Loses a third of the answers; most patches must still get a verdict. */
static void
lost_answers(PhFleetFixture *f)
{
    PhFakeLog_Options(PhConfigFleet_Log(f->fleet))->lost_answers = 0.3;
    submit_some(f, 40);
    run(f, 20 * SECOND);
    PhFakeLog_Options(PhConfigFleet_Log(f->fleet))->lost_answers = 0.0;
    assert_true(f->answer_counts[0] + f->answer_counts[1] >= 40);
}

/* During an outage no patch may be accepted and none may be unknown. */
static void
outage(PhFleetFixture *f)
{
    uint64_t accepted = f->answer_counts[0];
    PhFakeLog_Options(PhConfigFleet_Log(f->fleet))->outage = true;
    submit_some(f, 60);
    run(f, 20 * SECOND);
    assert_int_equal(f->answer_counts[0], accepted);
    assert_int_equal(f->answer_counts[3], 0);
    assert_int_equal(f->answer_counts[2], 60);
    PhFakeLog_Options(PhConfigFleet_Log(f->fleet))->outage = false;
}

/* The log loses records before any instance reads them.  The version must stay
 * and nothing may be accepted until an operator skips the records. */
static void
records_expired_unread(PhFleetFixture *f)
{
    PhFakeLog *log = PhConfigFleet_Log(f->fleet);
    uint64_t held = PhConfigFleet_HighestVersion(f->fleet);
    PhFakeLog_Options(log)->lost_answers = 1.0;
    submit(f, 0);
    PhFakeLog_Options(log)->outage = true;
    run(f, 130 * SECOND);
    PhFakeLog_Options(log)->lost_answers = 0.0;
    PhFakeLog_Options(log)->outage = false;
    submit_some(f, 40);
    assert_int_equal(PhConfigFleet_HighestVersion(f->fleet), held);
    for (uint32_t i = 0; i < INSTANCES; i++) {
        assert_int_equal(PhConfigFleet_Version(f->fleet, i), held);
    }
    assert_true(PhConfigFollower_HasGap(PhConfigFleet_Follower(f->fleet, 0)));
    PhConfigFleet_Bridge(f->fleet, 0);
}

/* Idles for ten minutes, during which the log must always hold a snapshot. */
static void
idle(PhFleetFixture *f)
{
    run(f, 40 * SECOND);
    for (int i = 0; i < 560; i++) {
        GArray *found = g_array_new(FALSE, FALSE, sizeof(PhFakeRecord));
        PhFakeLogAnswer a = PhFakeLog_Read(
            PhConfigFleet_Log(f->fleet), PhConfigFleet_Now(f->fleet),
            PhStr_LITERAL("config.snapshots"), 0, 1, found);
        assert_true(a.first < a.end);
        g_array_free(found, TRUE);
        run(f, SECOND);
    }
}

/* An instance that is no reader and receives nothing from peers must read the
 * log itself. */
static void
no_peer_messages(PhFleetFixture *f)
{
    PhFakeNet *net = PhConfigFleet_Net(f->fleet);
    const uint32_t last = INSTANCES - 1;
    assert_false(
        PhConfigFollower_ReadsLog(PhConfigFleet_Follower(f->fleet, last)));
    for (uint32_t i = 0; i < last; i++) {
        PhFakeNet_SetBlackhole(net, i, last, true);
    }
    submit_some(f, 10);
    run(f, 30 * SECOND);
    assert_int_equal(PhConfigFleet_Version(f->fleet, last),
                     PhConfigFleet_HighestVersion(f->fleet));
    for (uint32_t i = 0; i < last; i++) {
        PhFakeNet_SetBlackhole(net, i, last, false);
    }
}

static void
scenario_run(PhFleetFixture *f, PhFleetScenario scenario)
{
    switch (scenario) {
    case SCENARIO_NO_FAULT:
        break;
    case SCENARIO_RESTART_LOG_DOWN:
        restart_first(f, true);
        break;
    case SCENARIO_RESTART:
        restart_first(f, false);
        break;
    case SCENARIO_RESTART_ALL:
    case SCENARIO_RESTART_ALL_EXPIRED:
        idle(f);
        PhConfigFleet_CrashAll(f->fleet);
        PhConfigFleet_StartAll(f->fleet);
        break;
    case SCENARIO_PAUSED_BEYOND_RETENTION:
        pause_first(f, false);
        break;
    case SCENARIO_PAUSED_PEERS_SILENT:
        pause_first(f, true);
        break;
    case SCENARIO_LOG_UNREACHABLE:
        log_unreachable(f);
        break;
    case SCENARIO_ISOLATED_DATA_CENTRE:
        isolated_data_centre(f);
        break;
    case SCENARIO_LOST_ANSWERS:
        lost_answers(f);
        break;
    case SCENARIO_LOG_OUTAGE:
        outage(f);
        break;
    case SCENARIO_RECORDS_EXPIRED_UNREAD:
        records_expired_unread(f);
        break;
    case SCENARIO_NO_PEER_MESSAGES:
        no_peer_messages(f);
        break;
    }
}

/* The fleet must converge before and after the fault. */
static void
check_scenario(const PhScenarioCase *c)
{
    PhFleetFixture *f = fixture_create(7, c->retention, 0.0);
    run(f, 5 * SECOND);
    submit_some(f, 20);
    run(f, 10 * SECOND);
    assert_true(PhConfigFleet_HighestVersion(f->fleet) >= 10);
    check_settled(f);
    scenario_run(f, c->scenario);
    run(f, 90 * SECOND);
    submit_some(f, 3);
    run(f, 10 * SECOND);
    check_settled(f);
    if (c->note >= 0) {
        assert_true(PhConfigFleet_Counts(f->fleet)->notes[c->note] > 0);
    }
    assert_int_equal(
        PhConfigFleet_Counts(f->fleet)->notes[PH_CONFIG_NOTE_DIGEST_MISMATCH],
        0);
    fixture_destroy(f);
}

/* Guards against an instance that goes back to an older version, holds other
 * content, or never catches up after a single fault. */
static void
test_single_fault(void **state)
{
    (void)state;
    Ph_RUN_TABLE(scenario_cases, check_scenario);
}

/* A run with random faults. */
typedef struct PhSoakCase {
    const char *name;
    uint64_t seed;
    PhTime retention;
    double loss;
    int steps;
} PhSoakCase;

static const PhSoakCase soak_cases[] = {
    {"all faults", 1, 3600 * SECOND, 0.02, 1500},
    {"all faults, another seed", 2, 3600 * SECOND, 0.02, 1500},
    {"short retention", 3, 400 * SECOND, 0.02, 1500},
    {"heavy loss", 4, 400 * SECOND, 0.2, 1500},
};

/* Starts or ends one random fault. */
static void
fault(PhFleetFixture *f)
{
    PhFakeLogOptions *log = PhFakeLog_Options(PhConfigFleet_Log(f->fleet));
    uint32_t i = (uint32_t)PhRandom_Below(f->random, INSTANCES);
    uint32_t group = (uint32_t)PhRandom_Below(f->random, DATA_CENTRES);
    switch (PhRandom_Below(f->random, 7)) {
    case 0:
        log->outage = PhRandom_Chance(f->random, 0.3);
        break;
    case 1:
        log->lost_answers = PhRandom_Chance(f->random, 0.4) ? 0.3 : 0.0;
        break;
    case 2:
        data_centre_isolate(f, group, PhRandom_Chance(f->random, 0.4));
        break;
    case 3:
        PhConfigFleet_CutLog(f->fleet, group, PhRandom_Chance(f->random, 0.4));
        break;
    case 4:
        log->delay_extra =
            (PhTime)PhRandom_Below(f->random, 2) * 2 * SECOND + SECOND / 100;
        break;
    case 5:
        PhFakeNet_Pause(PhConfigFleet_Net(f->fleet), i,
                        PhConfigFleet_Now(f->fleet) +
                            (PhTime)PhRandom_Below(f->random, 20) * SECOND);
        break;
    default:
        if (PhConfigFleet_IsUp(f->fleet, i)) {
            PhConfigFleet_Crash(f->fleet, i);
        }
        else {
            PhConfigFleet_Start(f->fleet, i);
        }
        break;
    }
}

static void
end_faults(PhFleetFixture *f)
{
    PhFakeLogOptions *log = PhFakeLog_Options(PhConfigFleet_Log(f->fleet));
    log->outage = false;
    log->lost_answers = 0.0;
    log->delay_extra = SECOND / 100;
    for (uint32_t group = 0; group < DATA_CENTRES; group++) {
        PhConfigFleet_CutLog(f->fleet, group, false);
        data_centre_isolate(f, group, false);
    }
    PhConfigFleet_StartAll(f->fleet);
}

/* Submits random patches under random faults.  The fleet asserts that versions
 * never decrease and have the same content everywhere; at the end no accepted
 * patch may be missing. */
static void
check_soak(const PhSoakCase *c)
{
    PhFleetFixture *f = fixture_create(c->seed, c->retention, c->loss);
    for (int i = 0; i < c->steps; i++) {
        run(f, (PhTime)PhRandom_Below(f->random, 1000) * PH_NS_PER_MS);
        submit(f, (uint32_t)PhRandom_Below(f->random, INSTANCES));
        if (PhRandom_Chance(f->random, 0.1)) {
            fault(f);
        }
    }
    end_faults(f);
    run(f, 120 * SECOND);
    check_settled(f);
    for (size_t i = 0; i < G_N_ELEMENTS(f->answer_counts); i++) {
        assert_true(f->answer_counts[i] > 0);
    }
    fixture_destroy(f);
}

/* Guards against divergence and lost patches under combined faults. */
static void
test_random_faults(void **state)
{
    (void)state;
    Ph_RUN_TABLE(soak_cases, check_soak);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_single_fault),
        cmocka_unit_test(test_random_faults),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
