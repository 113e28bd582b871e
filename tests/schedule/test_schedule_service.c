/* An instance with the platform's stand-ins, over sockets.  Guards against
 * telling a client that a job was accepted or refused although the outcome is
 * unknown, while the store is down or loses replies, against an unusual record
 * of a worker in the store that keeps jobs from running, against a count of
 * pending jobs that omits one whose start orders were not answered, against a
 * cancellation that is acknowledged without a record, against starts in a data
 * centre that is evacuated, and against calls that wait for a store that is
 * out of reach. */
#include "platform_fixture.h"
#include "tests/table.h"

#define ID "00000000000000a1"
#define JOB "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500}]}"

/* A fault of the store during a submission, and the client's answer. */
typedef struct PhFaultCase {
    const char *name;
    PhStandinStoreFault fault;
    int status;
} PhFaultCase;

static const PhFaultCase fault_cases[] = {
    {"healthy store: accepted", PH_STANDIN_STORE_HEALTHY, 200},
    {"store down: refused", PH_STANDIN_STORE_DOWN, 503},
    {"store loses replies: outcome unknown, neither refused nor accepted",
     PH_STANDIN_STORE_LOSES_ANSWERS, 504},
};

/* Submits a job under a fault.  Once the store is healthy, the job is accepted
 * and completes, and submitting it again starts nothing. */
static void
fault_run(const PhFaultCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    PhPlatformFixture_Open(&fixture, 1, false);
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "GET", ID, "", 410, ""));
    PhStandinStoreState_SetFault(fixture.store, c->fault);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, 0, "POST", ID, JOB, text), c->status);
    PhStandinStoreState_SetFault(fixture.store, PH_STANDIN_STORE_HEALTHY);
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "POST", ID, JOB, 200, ""));
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", ID, "", 200,
                                            "completed"));
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, 0, "POST", ID, JOB, text), 200);
    assert_int_equal(PhCounters_Get(fixture.instances[0].counters,
                                    PH_COUNTER_SCHEDULE_STARTS),
                     2);
    PhPlatformFixture_Close(&fixture);
}

/* A client gets a definite answer only if the outcome is known. */
static void
test_faults(void **state)
{
    (void)state;
    Ph_RUN_TABLE(fault_cases, fault_run);
}

/* An unusual record of a worker in the store, followed by `deep` opening
 * brackets. */
typedef struct PhOddCase {
    const char *name;
    PhStr key;
    const char *text;
    size_t deep;
} PhOddCase;

#define TEXT(S)                                                               \
    {                                                                         \
        (S), sizeof(S) - 1                                                    \
    }
#define ENTRY(SERVICE, PORT, CPU)                                             \
    "{\"service\":\"" SERVICE "\",\"address\":\"127.0.0.1:" PORT "\","        \
    "\"state\":\"ready\",\"zone\":\"bacolod\",\"labels\":[],\"born\":1,"      \
    "\"capacity\":{\"cpu\":" CPU ",\"memMb\":64000,\"gpu\":0}}"

static const PhOddCase odd_cases[] = {
    {"deeply nested", TEXT("i-0"), "{\"labels\":", 100000},
    {"a number that is too large", TEXT("i-0"), ENTRY("service", "1", "1e300"),
     0},
    {"a port out of range", TEXT("i-0"), ENTRY("service", "99999", "64000"),
     0},
    {"port 0", TEXT("i-0"), ENTRY("service", "0", "64000"), 0},
    {"a header in the key", TEXT("i-0\r\nX: y"),
     ENTRY("service", "1", "64000"), 0},
    {"a port without a listener", TEXT("i-0"), ENTRY("service", "1", "64000"),
     0},
    {"an unknown service", TEXT("i-0"), ENTRY("other", "1", "64000"), 0},
};

/* Adds the record to the store beside that of the working worker; a job still
 * completes. */
static void
odd_run(const PhOddCase *c)
{
    PhPlatformFixture fixture;
    PhBuf value = {0};
    PhPlatformFixture_Open(&fixture, 1, false);
    PhBuf_Append(&value, PhStr_FromC(c->text));
    for (size_t i = 0; i < c->deep; i++) {
        PhBuf_AppendByte(&value, '[');
    }
    PhStandinStoreState_Put(fixture.store, PhStr_LITERAL("keyed.servers"),
                            c->key, PhBuf_Str(&value));
    PhBuf_Clear(&value);
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "POST", ID, JOB, 200, ""));
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", ID, "", 200,
                                            "completed"));
    assert_int_equal(PhCounters_Get(fixture.instances[0].counters,
                                    PH_COUNTER_SCHEDULE_STARTS),
                     2);
    PhPlatformFixture_Close(&fixture);
}

/* Guards against a single unusual record of a worker that stops the
 * scheduler. */
static void
test_odd_entries(void **state)
{
    (void)state;
    Ph_RUN_TABLE(odd_cases, odd_run);
}

/* Whether the worker executes the starts of a job, and what clients are told
 * once both starts were ordered and all that is known is on record. */
typedef struct PhPendingCase {
    const char *name;
    bool ignores_starts;
    const char *pending;
    const char *state;
} PhPendingCase;

static const PhPendingCase pending_cases[] = {
    {"starts are executed", false, "{\"pending\":0}", "completed"},
    {"starts are not answered", true, "{\"pending\":1}", "queued"},
};

static void
pending_run(const PhPendingCase *c)
{
    PhPlatformFixture fixture;
    PhPlatformFixture_Open(&fixture, 1, false);
    fixture.worker_ignores_starts = c->ignores_starts;
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "POST", ID, JOB, 200, ""));
    while (PhCounters_Get(fixture.instances[0].counters,
                          PH_COUNTER_SCHEDULE_STARTS) < 2) {
        PhPlatformFixture_Run(&fixture);
    }
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", ID, "", 200,
                                            c->state));
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", "", "", 200,
                                            c->pending));
    fixture.worker_ignores_starts = false;
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", ID, "", 200,
                                            "completed"));
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", "", "", 200,
                                            "{\"pending\":0}"));
    PhPlatformFixture_Close(&fixture);
}

/* A job is pending until a worker has started one of its tasks. */
static void
test_pending(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pending_cases, pending_run);
}

enum {
    ENDS_STEPS = 100, /* until the owner knows that the runs have ended */
};

/* Whether the store records that the job has ended, and the answer to its
 * cancellation. */
typedef struct PhEndedCase {
    const char *name;
    PhStandinStoreFault fault;
    int status;
} PhEndedCase;

static const PhEndedCase ended_cases[] = {
    {"the end is on record", PH_STANDIN_STORE_HEALTHY, 200},
    {"the end is not on record, nor can the cancellation be",
     PH_STANDIN_STORE_DOWN, 503},
    {"the end is not on record, the cancellation may be",
     PH_STANDIN_STORE_LOSES_ANSWERS, 504},
};

/* Cancels a job whose runs have ended since the fault began. */
static void
ended_run(const PhEndedCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    PhPlatformFixture_Open(&fixture, 1, false);
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "POST", ID, JOB, 200, ""));
    while (PhCounters_Get(fixture.instances[0].counters,
                          PH_COUNTER_SCHEDULE_STARTS) < 2) {
        PhPlatformFixture_Run(&fixture);
    }
    PhStandinStoreState_SetFault(fixture.store, c->fault);
    PhPlatformFixture_RunSteps(&fixture, ENDS_STEPS);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, 0, "DELETE", ID, "", text),
        c->status);
    PhStandinStoreState_SetFault(fixture.store, PH_STANDIN_STORE_HEALTHY);
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", ID, "", 200,
                                            "completed"));
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, 0, "DELETE", ID, "", text), 200);
    PhPlatformFixture_Close(&fixture);
}

/* Guards against a cancellation that is acknowledged because of an end that
 * the next owner may not know: it would start the tasks again. */
static void
test_cancelled_ends(void **state)
{
    (void)state;
    Ph_RUN_TABLE(ended_cases, ended_run);
}

/* Whether the worker closes its connections, and the queries that its two
 * starts and the holds beside them take. */
typedef struct PhConnectionsCase {
    const char *name;
    bool closes;
    uint64_t queries_min;
    uint64_t queries_max;
} PhConnectionsCase;

static const PhConnectionsCase connections_cases[] = {
    {"the worker keeps its connections", false, 0, 4},
    {"the worker closes each connection", true, 2, 8},
};

static void
connections_run(const PhConnectionsCase *c)
{
    PhPlatformFixture fixture;
    PhPlatformFixture_Open(&fixture, 1, false);
    fixture.worker_closes_connections = c->closes;
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "POST", ID, JOB, 200, ""));
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", ID, "", 200,
                                            "completed"));
    const PhCounters *counters = fixture.instances[0].counters;
    uint64_t starts = PhCounters_Get(counters, PH_COUNTER_SCHEDULE_STARTS);
    uint64_t queries = PhCounters_Get(counters, PH_COUNTER_SCHEDULE_QUERIES);
    PhPlatformFixture_Close(&fixture);
    assert_in_range(starts, 2, 4);
    assert_in_range(queries, c->queries_min, c->queries_max);
}

/* Guards against a worker that gets no start, since no connection to it is
 * known to be its own. */
static void
test_connections(void **state)
{
    (void)state;
    Ph_RUN_TABLE(connections_cases, connections_run);
}

enum {
    EVACUATED_STEPS = 1000, /* in which the tasks would have started */
};

/* The operators' record from before the job is accepted, and whether the tasks
 * wait until it is removed. */
typedef struct PhEvacuatedCase {
    const char *name;
    PhStr key;
    bool takeover; /* the owner is killed meanwhile */
    bool waits;
} PhEvacuatedCase;

static const PhEvacuatedCase evacuated_cases[] = {
    {"the data centre of the worker", TEXT("evacuate/bacolod"), false, true},
    {"the same, and another owner", TEXT("evacuate/bacolod"), true, true},
    {"another data centre", TEXT("evacuate/silay"), false, false},
};

static void
evacuated_run(const PhEvacuatedCase *c)
{
    PhPlatformFixture fixture;
    size_t instance = c->takeover ? 1 : 0;
    PhPlatformFixture_Open(&fixture, 2, false);
    PhStandinStoreState_Put(fixture.store, PhStr_LITERAL("keyed.op"), c->key,
                            PhStr_LITERAL("{}"));
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "POST", ID, JOB, 200, ""));
    if (c->takeover) {
        PhPlatformFixture_Kill(&fixture, 0);
    }
    PhPlatformFixture_RunSteps(&fixture, EVACUATED_STEPS);
    assert_int_equal(
        PhPlatformFixture_CounterSum(&fixture, PH_COUNTER_SCHEDULE_STARTS),
        c->waits ? 0 : 2);
    PhStandinStoreState_Put(fixture.store, PhStr_LITERAL("keyed.op"), c->key,
                            (PhStr){0});
    assert_true(PhPlatformFixture_CallUntil(&fixture, instance, "GET", ID, "",
                                            200, "completed"));
    assert_int_equal(
        PhPlatformFixture_CounterSum(&fixture, PH_COUNTER_SCHEDULE_STARTS), 2);
    PhPlatformFixture_Close(&fixture);
}

/* Guards against starts in an evacuated data centre, by this owner or the
 * next, and against tasks that wait there for ever. */
static void
test_evacuated(void **state)
{
    (void)state;
    Ph_RUN_TABLE(evacuated_cases, evacuated_run);
}

#define QUEUED_ID "00000000000000b2"
#define FRESH_ID "00000000000000c3"
#define LATER_ID "00000000000000d4"

enum {
    CONTACT_LIMIT_MS = 600,
    SETTLED_STEPS = 100,
    APART_STEPS = 20,
    LOST_STEPS = 140, /* 0.7 s: the limit and an interval of observation */
    BACK_STEPS = 50,  /* 0.25 s: a probe every 0.2 s */
    AT_ONCE_MS = 100,
};

/* What becomes of a submission that was sent to a store under a fault, of one
 * that waits behind it, and of one after 0.8 s, and whether the latter two are
 * answered at once; the readiness then; and the answer to the first if the
 * store is healthy again. */
typedef struct PhContactCase {
    const char *name;
    unsigned limit_ms;
    PhStandinStoreFault fault;
    int sent;
    int queued;
    int fresh;
    bool at_once;
    int ready;
} PhContactCase;

static const PhContactCase contact_cases[] = {
    {"no fault", CONTACT_LIMIT_MS, PH_STANDIN_STORE_HEALTHY, 200, 200, 200,
     true, 200},
    {"the store is silent", CONTACT_LIMIT_MS, PH_STANDIN_STORE_SILENT, 200,
     503, 503, true, 503},
    {"the store is silent, no limit", 0, PH_STANDIN_STORE_SILENT, 504, 503,
     503, false, 200},
    {"the store is down", CONTACT_LIMIT_MS, PH_STANDIN_STORE_DOWN, 503, 503,
     503, true, 503},
    {"the store is down, no limit", 0, PH_STANDIN_STORE_DOWN, 503, 503, 503,
     true, 200},
};

static int64_t
clock_ms(const PhPlatformFixture *fixture)
{
    return PhClock_Now(fixture->clock) / PH_NS_PER_MS;
}

/* Without a fault, the first three submissions are accepted. */
static void
check_jobs(PhPlatformFixture *fixture, const PhContactCase *c)
{
    const char *accepted = "completed";
    const char *const ids[] = {QUEUED_ID, FRESH_ID};
    const int statuses[] = {c->queued, c->fresh};
    for (size_t i = 0; i < 2; i++) {
        assert_true(PhPlatformFixture_CallUntil(
            fixture, 0, "GET", ids[i], "", statuses[i] == 200 ? 200 : 410,
            statuses[i] == 200 ? accepted : ""));
    }
    assert_true(PhPlatformFixture_CallUntil(fixture, 0, "GET", LATER_ID, "",
                                            200, accepted));
}

static void
contact_run(const PhContactCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    PhPlatformFixture_OpenWithContact(&fixture, 1, false, c->limit_ms);
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "GET", ID, "", 410, ""));
    PhPlatformFixture_RunSteps(&fixture, SETTLED_STEPS);
    assert_int_equal(PhPlatformFixture_CheckReady(&fixture, 0), 200);
    PhStandinStoreState_SetFault(fixture.store, c->fault);
    int sent = PhPlatformFixture_Send(&fixture, 0, "POST", ID, JOB);
    PhPlatformFixture_RunSteps(&fixture, APART_STEPS);
    int queued = PhPlatformFixture_Send(&fixture, 0, "POST", QUEUED_ID, JOB);
    PhPlatformFixture_RunSteps(&fixture, LOST_STEPS);
    assert_int_equal(PhPlatformFixture_CheckReady(&fixture, 0), c->ready);
    int64_t begin = clock_ms(&fixture);
    assert_int_equal(PhPlatformFixture_Receive(&fixture, queued, text),
                     c->queued);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, 0, "POST", FRESH_ID, JOB, text),
        c->fresh);
    assert_int_equal(clock_ms(&fixture) - begin <= AT_ONCE_MS, c->at_once);
    PhStandinStoreState_SetFault(fixture.store, PH_STANDIN_STORE_HEALTHY);
    PhPlatformFixture_RunSteps(&fixture, BACK_STEPS);
    assert_int_equal(PhPlatformFixture_CheckReady(&fixture, 0), 200);
    if (c->limit_ms > 0) {
        assert_int_equal(
            PhPlatformFixture_Call(&fixture, 0, "POST", LATER_ID, JOB, text),
            200);
    }
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "POST", LATER_ID, JOB,
                                            200, ""));
    assert_int_equal(PhPlatformFixture_Receive(&fixture, sent, text), c->sent);
    check_jobs(&fixture, c);
    PhPlatformFixture_Close(&fixture);
}

/* Guards against calls that wait for a store that is out of reach, against a
 * readiness check that says otherwise, and against calls that are refused
 * after it is back. */
static void
test_contact(void **state)
{
    (void)state;
    Ph_RUN_TABLE(contact_cases, contact_run);
}

enum {
    STANDSTILL_STEPS = 600, /* 3 s: longer than the limit and a read */
};

/* Guards against calls that are refused because the process stood still: what
 * it could not receive says nothing of the store. */
static void
test_contact_after_standstill(void **state)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    (void)state;
    PhPlatformFixture_OpenWithContact(&fixture, 1, false, CONTACT_LIMIT_MS);
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "GET", ID, "", 410, ""));
    PhPlatformFixture_RunSteps(&fixture, SETTLED_STEPS);
    fixture.instances[0].stands_still = true;
    PhPlatformFixture_RunSteps(&fixture, STANDSTILL_STEPS);
    int call = PhPlatformFixture_Send(&fixture, 0, "POST", ID, JOB);
    fixture.instances[0].stands_still = false;
    assert_int_equal(PhPlatformFixture_Receive(&fixture, call, text), 200);
    assert_int_equal(PhCounters_Get(fixture.instances[0].counters,
                                    PH_COUNTER_SCHEDULE_NO_CONTACT),
                     0);
    PhPlatformFixture_Close(&fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_faults),
        cmocka_unit_test(test_odd_entries),
        cmocka_unit_test(test_pending),
        cmocka_unit_test(test_cancelled_ends),
        cmocka_unit_test(test_connections),
        cmocka_unit_test(test_evacuated),
        cmocka_unit_test(test_contact),
        cmocka_unit_test(test_contact_after_standstill)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
