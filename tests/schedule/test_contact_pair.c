/* Contact with the owner and the store, over sockets.  Guards against calls
 * that are forwarded without time for an answer, wrong answers while the owner
 * has lost the store, instances that stay in rotation although neither they
 * nor the owner reach it, and takeovers that are late or needless. */
#include <string.h>
#include <unistd.h>

#include "peridothill/services/interface.h"
#include "peridothill/services/schedule.h"
#include "platform_fixture.h"
#include "tests/table.h"

#define ID_A "00000000000000a1"
#define ID_B "00000000000000b2"
#define ID_C "00000000000000c3"
#define JOBS PhStr_LITERAL("keyed.jobs")
#define JOB "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500}]}"

enum {
    OWNER = 0, /* has the larger CPU share */
    OTHER = 1,
    TASKS = 2,          /* of each job */
    SETTLE_STEPS = 400, /* until both instances know the owner */
    CONTACT_LIMIT_MS = 600,
    LINK_DOWN_STEPS = 250,    /* 1.25 s: hellos without an answer */
    UNPROVEN_CALLS = 400,     /* in 2 s: a change of owner */
    LATE_MS = 100,            /* less than an answer takes */
    OWNER_LOST_STEPS = 300,   /* 1.5 s: a renewal every 0.7 s, and the limit */
    NO_CONTACT_STEPS = 340,   /* 1.7 s: a read waits for 1 s, and the limit */
    CONTACT_BACK_STEPS = 120, /* a probe, and a hello every 0.5 s */
};

/* Waits until the instances from `first` on know that there is no job ID_A,
 * and then until all know the owner. */
static void
instances_settle(PhPlatformFixture *fixture, size_t first)
{
    for (size_t i = first; i < fixture->instance_count; i++) {
        assert_true(
            PhPlatformFixture_CallUntil(fixture, i, "GET", ID_A, "", 410, ""));
    }
    PhPlatformFixture_RunSteps(fixture, SETTLE_STEPS);
}

static void
pair_open(PhPlatformFixture *fixture, bool links, unsigned contact_limit_ms)
{
    PhPlatformFixture_OpenWithContact(fixture, PH_FIXTURE_INSTANCES_MAX, links,
                                      contact_limit_ms);
    instances_settle(fixture, OTHER);
}

static uint64_t
starts_count(const PhPlatformFixture *fixture, size_t instance)
{
    return PhCounters_Get(fixture->instances[instance].counters,
                          PH_COUNTER_SCHEDULE_STARTS);
}

/* A call whose client waits for LATE_MS more, and its answer. */
typedef struct PhLateCase {
    const char *name;
    unsigned contact_limit_ms;
    const char *method;
    int status;
} PhLateCase;

static const PhLateCase late_cases[] = {
    {"a submission", CONTACT_LIMIT_MS, "POST", 503},
    {"a cancellation", CONTACT_LIMIT_MS, "DELETE", 503},
    {"a state, which the standby knows", CONTACT_LIMIT_MS, "GET", 410},
    {"a submission, no limit of silence", 0, "POST", 504},
};

/* The job of a call that was refused is not known afterwards. */
static void
late_run(const PhLateCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    pair_open(&fixture, true, c->contact_limit_ms);
    fixture.deadline_ms = LATE_MS;
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OTHER, c->method, ID_A, JOB, text),
        c->status);
    fixture.deadline_ms = 0;
    PhPlatformFixture_RunSteps(&fixture, SETTLE_STEPS);
    if (c->status == 503) {
        assert_int_equal(
            PhPlatformFixture_Call(&fixture, OTHER, "GET", ID_A, "", text),
            410);
    }
    PhPlatformFixture_Close(&fixture);
}

/* Guards against calls that are forwarded although their answer cannot come in
 * time, so that their clients are told that the outcome is unknown. */
static void
test_late(void **state)
{
    (void)state;
    Ph_RUN_TABLE(late_cases, late_run);
}

/* Readiness of both instances while the store is silent. */
typedef struct PhSilentCase {
    const char *name;
    unsigned contact_limit_ms;
    int ready;
    int status; /* of a submission to the other instance */
} PhSilentCase;

static const PhSilentCase silent_cases[] = {
    {"with a limit", CONTACT_LIMIT_MS, 503, 503},
    {"without", 0, 200, 504},
};

static void
check_ready(PhPlatformFixture *fixture, int ready)
{
    for (size_t i = 0; i < PH_FIXTURE_INSTANCES_MAX; i++) {
        assert_int_equal(PhPlatformFixture_CheckReady(fixture, i), ready);
    }
}

/* A refused GET is counted like a refused submission. */
static void
check_counted(PhPlatformFixture *fixture)
{
    char text[PH_FIXTURE_TEXT_BYTES];
    const PhCounters *other = fixture->instances[OTHER].counters;
    uint64_t before = PhCounters_Get(other, PH_COUNTER_SCHEDULE_NO_CONTACT);
    assert_int_equal(
        PhPlatformFixture_Call(fixture, OTHER, "GET", ID_A, "", text), 503);
    assert_int_equal(PhCounters_Get(other, PH_COUNTER_SCHEDULE_NO_CONTACT),
                     before + 1);
}

static void
silent_run(const PhSilentCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    pair_open(&fixture, true, c->contact_limit_ms);
    check_ready(&fixture, 200);
    PhStandinStoreState_SetFault(fixture.store, PH_STANDIN_STORE_SILENT);
    PhPlatformFixture_RunSteps(&fixture, NO_CONTACT_STEPS);
    check_ready(&fixture, c->ready);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OTHER, "POST", ID_A, JOB, text),
        c->status);
    if (c->contact_limit_ms > 0) {
        check_counted(&fixture);
    }
    PhStandinStoreState_SetFault(fixture.store, PH_STANDIN_STORE_HEALTHY);
    PhPlatformFixture_RunSteps(&fixture, CONTACT_BACK_STEPS);
    check_ready(&fixture, 200);
    PhPlatformFixture_RunJob(&fixture, OTHER, ID_B, JOB, 1);
    assert_int_equal(starts_count(&fixture, OWNER),
                     c->status == 503 ? TASKS : 2 * TASKS);
    PhPlatformFixture_Close(&fixture);
}

/* Guards against instances that stay in rotation although neither they nor the
 * owner reach the store, and against a change of the owner for that. */
static void
test_silent_store(void **state)
{
    (void)state;
    Ph_RUN_TABLE(silent_cases, silent_run);
}

/* A fault of the store for the owner alone, and whether the other instance,
 * which reaches the store, then accepts a submission at once. */
typedef struct PhOwnerStoreCase {
    const char *name;
    PhStandinStoreFault fault;
    unsigned contact_limit_ms;
    int status;       /* of that submission */
    int owner_status; /* of one to the owner */
    int owner_ready;
} PhOwnerStoreCase;

static const PhOwnerStoreCase owner_store_cases[] = {
    {"silent", PH_STANDIN_STORE_SILENT, CONTACT_LIMIT_MS, 200, 503, 503},
    {"down", PH_STANDIN_STORE_DOWN, CONTACT_LIMIT_MS, 200, 503, 503},
    {"down, no limit", PH_STANDIN_STORE_DOWN, 0, 200, 503, 200},
};

/* One GET to each instance, directly after the job was accepted. */
static void
check_known(PhPlatformFixture *fixture)
{
    char text[PH_FIXTURE_TEXT_BYTES];
    assert_int_equal(
        PhPlatformFixture_Call(fixture, OTHER, "GET", ID_B, "", text), 200);
    assert_int_equal(
        PhPlatformFixture_Call(fixture, OWNER, "GET", ID_B, "", text), 503);
}

/* A call that the owner had forwarded to it just before is either accepted or
 * of unknown outcome; the owner is replaced, and all accepted jobs end. */
static void
owner_store_run(const PhOwnerStoreCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    pair_open(&fixture, true, c->contact_limit_ms);
    fixture.first_fault = c->fault;
    int before = PhPlatformFixture_Send(&fixture, OTHER, "POST", ID_A, JOB);
    PhPlatformFixture_RunSteps(&fixture, OWNER_LOST_STEPS);
    assert_int_equal(PhPlatformFixture_CheckReady(&fixture, OWNER),
                     c->owner_ready);
    assert_int_equal(PhPlatformFixture_CheckReady(&fixture, OTHER), 200);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OTHER, "POST", ID_B, JOB, text),
        c->status);
    if (c->contact_limit_ms > 0) {
        check_known(&fixture);
    }
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OWNER, "POST", ID_C, JOB, text),
        c->owner_status);
    int status = PhPlatformFixture_Receive(&fixture, before, text);
    assert_true(status == 200 || status == 504);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_B, "",
                                            200, "completed"));
    if (status == 200) {
        assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A,
                                                "", 200, "completed"));
    }
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OTHER, "GET", ID_C, "", text), 410);
    assert_true(starts_count(&fixture, OTHER) >= TASKS);
    uint64_t starts =
        PhPlatformFixture_CounterSum(&fixture, PH_COUNTER_SCHEDULE_STARTS);
    fixture.first_fault = PH_STANDIN_STORE_HEALTHY;
    PhPlatformFixture_RunSteps(&fixture, SETTLE_STEPS);
    check_ready(&fixture, 200);
    uint64_t by_owner = starts_count(&fixture, OWNER);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OWNER, "POST",
                                            "00000000000000d4", JOB, 200, ""));
    assert_true(PhPlatformFixture_CallUntil(
        &fixture, OTHER, "GET", "00000000000000d4", "", 200, "completed"));
    assert_int_equal(starts_count(&fixture, OWNER), by_owner);
    assert_int_equal(
        PhPlatformFixture_CounterSum(&fixture, PH_COUNTER_SCHEDULE_STARTS),
        starts + TASKS);
    PhPlatformFixture_Close(&fixture);
}

/* Guards against calls that are refused because the owner alone has lost the
 * store, and against a job that runs although it was refused. */
static void
test_owner_store(void **state)
{
    (void)state;
    Ph_RUN_TABLE(owner_store_cases, owner_store_run);
}

/* Two submissions of a job, of which the second cannot be sent before its
 * deadline. */
typedef struct PhTwiceCase {
    const char *name;
    bool links;
    const char *first;  /* submitted first, with the usual time */
    const char *second; /* empty: none */
    unsigned late_ms;   /* deadline of the last submission, of ID_A */
    unsigned contact_limit_ms;
    int status; /* of the last one */
} PhTwiceCase;

static const PhTwiceCase twice_cases[] = {
    {"the first one was forwarded", true, ID_A, "", LATE_MS, CONTACT_LIMIT_MS,
     504},
    {"the first one waits behind an append", false, ID_B, ID_A, 2 * LATE_MS,
     CONTACT_LIMIT_MS, 504},
    {"another job was forwarded", true, ID_B, "", LATE_MS, CONTACT_LIMIT_MS,
     503},
    {"another job waits behind an append", false, ID_B, ID_C, 2 * LATE_MS,
     CONTACT_LIMIT_MS, 503},
};

static void
twice_run(const PhTwiceCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    int second = -1;
    pair_open(&fixture, c->links, c->contact_limit_ms);
    PhStandinStoreState_LoseAppends(fixture.store, JOBS, true);
    int first = PhPlatformFixture_Send(&fixture, OTHER, "POST", c->first, JOB);
    PhPlatformFixture_RunSteps(&fixture, 2);
    if (c->second[0] != '\0') {
        second =
            PhPlatformFixture_Send(&fixture, OTHER, "POST", c->second, JOB);
        PhPlatformFixture_RunSteps(&fixture, 2);
    }
    fixture.deadline_ms = c->late_ms;
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OTHER, "POST", ID_A, JOB, text),
        c->status);
    PhStandinStoreState_LoseAppends(fixture.store, JOBS, false);
    assert_int_equal(PhPlatformFixture_Receive(&fixture, first, text), 200);
    if (second >= 0) {
        assert_int_equal(PhPlatformFixture_Receive(&fixture, second, text),
                         200);
    }
    PhPlatformFixture_Close(&fixture);
}

/* Guards against a client that is told that its job never runs while another
 * submission of it may still be accepted. */
static void
test_twice(void **state)
{
    (void)state;
    Ph_RUN_TABLE(twice_cases, twice_run);
}

/* How long the owner alone has no store, and the limit.  It keeps the
 * ownership, and has read the jobs lately when it reaches the store again. */
typedef struct PhShortLossCase {
    const char *name;
    int steps;
    unsigned contact_limit_ms;
} PhShortLossCase;

static const PhShortLossCase short_loss_cases[] = {
    {"0.5 s", 100, CONTACT_LIMIT_MS},
    {"1 s", 200, CONTACT_LIMIT_MS},
};

/* The other instance accepts a job itself meanwhile. */
static void
short_loss_run(const PhShortLossCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    pair_open(&fixture, true, c->contact_limit_ms);
    fixture.first_fault = PH_STANDIN_STORE_DOWN;
    PhPlatformFixture_RunSteps(&fixture, c->steps);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OTHER, "POST", ID_A, JOB, text), 200);
    const PhCounters *other = fixture.instances[OTHER].counters;
    assert_int_equal(PhCounters_Get(other, PH_COUNTER_SCHEDULE_ACCEPTED), 1);
    fixture.first_fault = PH_STANDIN_STORE_HEALTHY;
    for (int i = 0; i < SETTLE_STEPS / 4; i++) {
        int status =
            PhPlatformFixture_Call(&fixture, OWNER, "GET", ID_A, "", text);
        assert_true(status == 200 || status == 503);
    }
    PhPlatformFixture_Close(&fixture);
}

/* Guards against a client that is told that its job does not exist by an owner
 * that has not read the jobs since it lost the store. */
static void
test_short_loss(void **state)
{
    (void)state;
    Ph_RUN_TABLE(short_loss_cases, short_loss_run);
}

/* A healthy owner hands over, or an owner loses the store for itself, beside
 * an instance that is no standby. */
typedef struct PhUnprovenCase {
    const char *name;
    bool drains;
    unsigned contact_limit_ms;
} PhUnprovenCase;

static const PhUnprovenCase unproven_cases[] = {
    {"the owner stops", true, CONTACT_LIMIT_MS},
    {"the owner stops, no limit", true, 0},
    {"the owner has lost the store", false, CONTACT_LIMIT_MS},
};

static void
owner_drain(PhPlatformFixture *fixture)
{
    PhKernel *kernel = fixture->instances[OWNER].kernel;
    PhScheduleMessage m = {.tag = PH_SCHEDULE_DRAIN};
    assert_int_equal(
        PhKernel_Send(kernel, (PhTaskRef){0},
                      PhKernel_Lookup(kernel, PH_SERVICE_SCHEDULE),
                      PhScheduleMessage_Wrap(&m)),
        PH_STATUS_OK);
}

/* The instances beyond the standbys have had no call to the store for long
 * when they learn that the owner does not serve them. */
static void
unproven_run(const PhUnprovenCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    int calls[UNPROVEN_CALLS];
    unsigned refused = 0;
    PhPlatformFixture_OpenWithContact(&fixture, PH_FIXTURE_CAPACITY, true,
                                      c->contact_limit_ms);
    instances_settle(&fixture, OWNER);
    PhPlatformFixture_RunSteps(&fixture, SETTLE_STEPS);
    if (c->drains) {
        owner_drain(&fixture);
    }
    else {
        fixture.first_fault = PH_STANDIN_STORE_DOWN;
    }
    for (size_t i = 0; i < UNPROVEN_CALLS; i++) {
        char id[PH_FIXTURE_TEXT_BYTES];
        snprintf(id, sizeof(id), "%016zx", i + 1);
        calls[i] = PhPlatformFixture_Send(
            &fixture, OTHER + i % (PH_FIXTURE_CAPACITY - 1), "POST", id, JOB);
        PhPlatformFixture_Run(&fixture);
    }
    for (size_t i = 0; i < UNPROVEN_CALLS; i++) {
        int status = PhPlatformFixture_Receive(&fixture, calls[i], text);
        refused += status == 503;
        assert_true(status == 200 || status == 503 ||
                    (status == 504 && !c->drains));
    }
    print_message("#   %u of %d calls refused\n", refused, UNPROVEN_CALLS);
    assert_int_equal(refused, 0);
    PhPlatformFixture_Close(&fixture);
}

/* Guards against submissions that are refused at each change of owner although
 * the store is healthy, because the instance has not used it for long. */
static void
test_unproven(void **state)
{
    (void)state;
    Ph_RUN_TABLE(unproven_cases, unproven_run);
}

/* What ends between the instances, and the time until the other one starts the
 * tasks of a job. */
typedef struct PhTakeoverCase {
    const char *name;
    bool dies; /* else only the link is cut */
    bool takes_over;
    unsigned contact_limit_ms;
    int64_t within_ms;
} PhTakeoverCase;

/* With the limit: a claim EARLY_CLAIM_AFTER (1.5 s) and the delay (0.4 s and a
 * jitter of 0.1 s at most) after the last entry, and 0.1 s for the fence, the
 * reads and the start.  Without: CLAIM_AFTER (2.2 s) instead, and a read of
 * 1 s. */
static const PhTakeoverCase takeover_cases[] = {
    {"the owner dies", true, true, CONTACT_LIMIT_MS, 2100},
    {"the owner dies, no limit", true, true, 0, 3800},
    {"only the link is cut", false, false, CONTACT_LIMIT_MS, 6000},
    {"only the link is cut, no limit", false, false, 0, 6000},
};

static void
takeover_run(const PhTakeoverCase *c)
{
    PhPlatformFixture fixture;
    pair_open(&fixture, true, c->contact_limit_ms);
    PhTime end = PhClock_Now(fixture.clock);
    if (c->dies) {
        PhPlatformFixture_Kill(&fixture, OWNER);
    }
    else {
        PhKernel *kernel = fixture.instances[OTHER].kernel;
        PhKernel_Stop(kernel, PhKernel_Lookup(kernel, PH_SERVICE_PEERS));
    }
    int call = PhPlatformFixture_Send(&fixture, OTHER, "POST", ID_A, JOB);
    PhTime limit = end + c->within_ms * PH_NS_PER_MS;
    while (starts_count(&fixture, OTHER) == 0 &&
           PhClock_Now(fixture.clock) < limit) {
        PhPlatformFixture_Run(&fixture);
    }
    print_message(
        "#   %lld ms\n",
        (long long)((PhClock_Now(fixture.clock) - end) / PH_NS_PER_MS));
    assert_int_equal(starts_count(&fixture, OTHER) > 0, c->takes_over);
    if (!c->dies) {
        assert_int_equal(starts_count(&fixture, OWNER), TASKS);
    }
    close(call);
    PhPlatformFixture_Close(&fixture);
}

/* Guards against a takeover that is as late as without early claims, and
 * against one for a cut link alone. */
static void
test_takeovers(void **state)
{
    (void)state;
    Ph_RUN_TABLE(takeover_cases, takeover_run);
}

/* Long-running jobs that reach the instances without an owner, after the one
 * that has ended held `held` milli-cores of its worker's for such jobs. */
typedef struct PhClosedCase {
    const char *name;
    unsigned room_reserve;
    unsigned held;
    int status;
} PhClosedCase;

static const PhClosedCase closed_cases[] = {
    {"room was left", 12, 500, 200},
    {"the owner refused such jobs", 12, 63000, 503},
    {"the owner refused such jobs, no setting", 0, 63000, 200},
};

static int
lasting_send(PhPlatformFixture *fixture, size_t instance, size_t number,
             unsigned cpu)
{
    char id[PH_FIXTURE_TEXT_BYTES];
    char job[PH_FIXTURE_TEXT_BYTES];
    snprintf(id, sizeof(id), "%016zx", number);
    snprintf(job, sizeof(job),
             "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":%u,"
             "\"longRunning\":true}]}",
             cpu);
    return PhPlatformFixture_Send(fixture, instance, "POST", id, job);
}

static void
closed_run(const PhClosedCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    int calls[PH_FIXTURE_CAPACITY];
    PhPlatformFixture_OpenWithRoom(&fixture, PH_FIXTURE_CAPACITY,
                                   CONTACT_LIMIT_MS, c->room_reserve);
    instances_settle(&fixture, OWNER);
    int held = lasting_send(&fixture, OWNER, 1, c->held);
    assert_int_equal(PhPlatformFixture_Receive(&fixture, held, text), 200);
    PhPlatformFixture_RunSteps(&fixture, SETTLE_STEPS);
    PhPlatformFixture_Kill(&fixture, OWNER);
    PhPlatformFixture_RunSteps(&fixture, LINK_DOWN_STEPS);
    for (size_t i = OTHER; i < PH_FIXTURE_CAPACITY; i++) {
        calls[i] = lasting_send(&fixture, i, i + 1, 100);
    }
    for (size_t i = OTHER; i < PH_FIXTURE_CAPACITY; i++) {
        assert_int_equal(PhPlatformFixture_Receive(&fixture, calls[i], text),
                         c->status);
    }
    PhPlatformFixture_Close(&fixture);
}

/* Guards against long-running jobs that come in during a takeover and take the
 * room that the owner kept for urgent ones. */
static void
test_closed(void **state)
{
    (void)state;
    Ph_RUN_TABLE(closed_cases, closed_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_late),
        cmocka_unit_test(test_silent_store),
        cmocka_unit_test(test_owner_store),
        cmocka_unit_test(test_twice),
        cmocka_unit_test(test_short_loss),
        cmocka_unit_test(test_unproven),
        cmocka_unit_test(test_takeovers),
        cmocka_unit_test(test_closed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
