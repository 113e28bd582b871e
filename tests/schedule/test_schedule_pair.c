/* Two instances over sockets, with or without links.  Guards against calls
 * that are not forwarded to the owner, jobs accepted twice, a survivor that
 * does not take over, answers from records that were read long ago, calls that
 * are forwarded without time for an answer, and instances that stay in
 * rotation although neither they nor the owner reach the store. */
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
#define RUNS PhStr_LITERAL("keyed.runs")
#define LASTING_JOB                                                           \
    "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"longRunning\":"    \
    "true}]}"
#define JOB "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500}]}"

enum {
    OWNER = 0, /* has the larger CPU share */
    OTHER = 1,
    TASKS = 2,             /* of each job */
    SETTLE_STEPS = 400,    /* until both instances know the owner */
    LAST_READ_STEPS = 220, /* a read waits for a record 1 s at most */
    RETRY_STEPS = 50,      /* a refused read is repeated after 200 ms */
    LOOK_STEPS = 300,      /* until a job to cancel has been looked for */
    RESTART_STEPS = 300,   /* until a new process has a link to the owner */
    /* Until shortly before the read's deadline, and then until shortly before
     * a reply handled at that time would be too old. */
    STANDSTILL_STEPS = 260,
    AGE_STEPS = 330,
    CONTACT_LIMIT_MS = 600,
};

/* Whether the owner is destroyed after the first job, whether each job is
 * submitted twice, and which instance accepts the two jobs and starts their
 * four tasks. */
typedef struct PhPairCase {
    const char *name;
    bool links;
    bool owner_dies;
    bool submit_twice;
    uint64_t accepted_by_owner; /* jobs accepted by the owner */
    uint64_t accepted_by_other;
    uint64_t started_by_owner; /* tasks started by the owner */
    uint64_t started_by_other;
    unsigned contact_limit_ms;
} PhPairCase;

static const PhPairCase pair_cases[] = {
    {"the owner accepts calls forwarded by the other", true, false, false, 2,
     0, 4, 0},
    {"without links each instance accepts its own calls", false, false, false,
     0, 2, 4, 0},
    {"the other takes over from a destroyed owner", true, true, false, 1, 1, 2,
     2},
    {"the other takes over without links", false, true, false, 0, 2, 2, 2},
    {"a job submitted twice is accepted once", true, false, true, 2, 0, 4, 0},
    {"a job submitted twice without links is accepted once", false, false,
     true, 0, 2, 4, 0},
    {"the owner accepts, with a limit of silence", true, false, false, 2, 0, 4,
     0, CONTACT_LIMIT_MS},
    {"the other takes over, with a limit of silence", true, true, false, 1, 1,
     2, 2, CONTACT_LIMIT_MS},
};

static void
pair_run(const PhPairCase *c)
{
    PhPlatformFixture fixture;
    int times = c->submit_twice ? 2 : 1;
    PhPlatformFixture_OpenWithContact(&fixture, PH_FIXTURE_INSTANCES_MAX,
                                      c->links, c->contact_limit_ms);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A, "",
                                            410, ""));
    PhPlatformFixture_RunSteps(&fixture, SETTLE_STEPS);
    PhPlatformFixture_RunJob(&fixture, OTHER, ID_A, JOB, times);
    if (c->owner_dies) {
        PhPlatformFixture_Kill(&fixture, OWNER);
    }
    PhPlatformFixture_RunJob(&fixture, OTHER, ID_B, JOB, times);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A, "",
                                            200, "completed"));
    const PhCounters *owner = fixture.instances[OWNER].counters;
    const PhCounters *other = fixture.instances[OTHER].counters;
    assert_int_equal(PhCounters_Get(owner, PH_COUNTER_SCHEDULE_ACCEPTED),
                     c->accepted_by_owner);
    assert_int_equal(PhCounters_Get(other, PH_COUNTER_SCHEDULE_ACCEPTED),
                     c->accepted_by_other);
    assert_int_equal(PhCounters_Get(owner, PH_COUNTER_SCHEDULE_STARTS),
                     c->started_by_owner);
    assert_int_equal(PhCounters_Get(other, PH_COUNTER_SCHEDULE_STARTS),
                     c->started_by_other);
    PhPlatformFixture_Close(&fixture);
}

/* The owner accepts forwarded jobs once, and the other instance takes over. */
static void
test_pairs(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pair_cases, pair_run);
}

/* What becomes of the dispatcher before the second of two jobs, each of two
 * tasks, and how many starts it was given. */
typedef enum PhDispatcherFate {
    FATE_NONE,
    FATE_DIES,
    FATE_STANDS_STILL, /* longer than a start may be under way */
} PhDispatcherFate;

typedef struct PhDispatchedCase {
    const char *name;
    const char *job;   /* the second one */
    const char *state; /* that it reaches */
    PhDispatcherFate fate;
    uint64_t relayed_min;
    uint64_t relayed_max;
} PhDispatchedCase;

static const PhDispatchedCase dispatched_cases[] = {
    {"the other instance sends the starts", JOB, "completed", FATE_NONE, 4, 4},
    {"the owner sends those of tasks that are to last", LASTING_JOB, "running",
     FATE_NONE, 2, 2},
    {"the dispatcher dies", JOB, "completed", FATE_DIES, 2, 4},
    {"the dispatcher stands still", JOB, "completed", FATE_STANDS_STILL, 2, 4},
};

static void
dispatched_run(const PhDispatchedCase *c)
{
    PhPlatformFixture fixture;
    PhPlatformFixture_OpenDispatching(&fixture, PH_FIXTURE_INSTANCES_MAX);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A, "",
                                            410, ""));
    PhPlatformFixture_RunSteps(&fixture, SETTLE_STEPS);
    PhPlatformFixture_RunJob(&fixture, OTHER, ID_A, JOB, 1);
    switch (c->fate) {
    case FATE_NONE:
        break;
    case FATE_DIES:
        PhPlatformFixture_Kill(&fixture, OTHER);
        break;
    case FATE_STANDS_STILL:
        fixture.instances[OTHER].stands_still = true;
        break;
    }
    assert_true(PhPlatformFixture_CallUntil(&fixture, OWNER, "POST", ID_B,
                                            c->job, 200, ""));
    assert_true(PhPlatformFixture_CallUntil(&fixture, OWNER, "GET", ID_B, "",
                                            200, c->state));
    const PhCounters *owner = fixture.instances[OWNER].counters;
    assert_int_equal(PhCounters_Get(owner, PH_COUNTER_SCHEDULE_ACCEPTED), 2);
    assert_in_range(PhCounters_Get(owner, PH_COUNTER_SCHEDULE_RELAYED),
                    c->relayed_min, c->relayed_max);
    PhPlatformFixture_Close(&fixture);
}

/* Guards against starts that are lost with the instance that was to send
 * them. */
static void
test_dispatched(void **state)
{
    (void)state;
    Ph_RUN_TABLE(dispatched_cases, dispatched_run);
}

/* A call on a queue or an unfinished job, and the answer of an instance that
 * is not the owner. */
typedef struct PhUnreadCase {
    const char *name;
    const char *job; /* empty: count of pending jobs */
    const char *known;
} PhUnreadCase;

static const PhUnreadCase unread_cases[] = {
    {"pending jobs", "", "{\"pending\":1}"},
    {"state of a job", ID_A, "queued"},
};

/* Returns an instance that is not the owner, after the owner has ordered the
 * starts of the job. */
static size_t
wait_for_starts(PhPlatformFixture *fixture)
{
    for (;;) {
        for (size_t i = 0; i < PH_FIXTURE_INSTANCES_MAX; i++) {
            if (PhCounters_Get(fixture->instances[i].counters,
                               PH_COUNTER_SCHEDULE_STARTS) > 0) {
                return PH_FIXTURE_INSTANCES_MAX - 1 - i;
            }
        }
        PhPlatformFixture_Run(fixture);
    }
}

static void
unread_run(const PhUnreadCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    PhPlatformFixture_Open(&fixture, PH_FIXTURE_INSTANCES_MAX, false);
    fixture.worker_ignores_starts = true;
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "POST", ID_A, JOB,
                                            200, ""));
    size_t reader = wait_for_starts(&fixture);
    assert_true(PhPlatformFixture_CallUntil(&fixture, reader, "GET", c->job,
                                            "", 200, c->known));
    PhStandinStoreState_RefuseReads(fixture.store, RUNS, true);
    assert_true(PhPlatformFixture_CallUntil(&fixture, reader, "GET", c->job,
                                            "", 503, ""));
    PhStandinStoreState_RefuseReads(fixture.store, RUNS, false);
    PhPlatformFixture_RunSteps(&fixture, RETRY_STEPS);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, reader, "GET", c->job, "", text),
        200);
    assert_non_null(strstr(text, c->known));
    PhPlatformFixture_Close(&fixture);
}

/* An instance that cannot read the runs refuses calls that depend on them, and
 * answers again as soon as it can. */
static void
test_unread_runs(void **state)
{
    (void)state;
    Ph_RUN_TABLE(unread_cases, unread_run);
}

/* Whether the job was accepted by one instance after the other had read the
 * jobs for the last time, and the answers of the other to its cancellation
 * while it cannot read them and later. */
typedef struct PhUnreadCancelCase {
    const char *name;
    bool accepted;
    int status;
    int later;
} PhUnreadCancelCase;

static const PhUnreadCancelCase unread_cancel_cases[] = {
    {"accepted since the last read", true, 503, 200},
    {"never accepted", false, 503, 410},
};

/* The last read is recent, but older than the job. */
static void
unread_cancel_run(const PhUnreadCancelCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    PhPlatformFixture_Open(&fixture, PH_FIXTURE_INSTANCES_MAX, false);
    fixture.worker_ignores_starts = true;
    for (size_t i = 0; i < PH_FIXTURE_INSTANCES_MAX; i++) {
        assert_true(PhPlatformFixture_CallUntil(&fixture, i, "GET", ID_A, "",
                                                410, ""));
    }
    PhStandinStoreState_RefuseReads(fixture.store, JOBS, true);
    PhPlatformFixture_RunSteps(&fixture, LAST_READ_STEPS);
    if (c->accepted) {
        assert_int_equal(
            PhPlatformFixture_Call(&fixture, OWNER, "POST", ID_A, JOB, text),
            200);
    }
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OTHER, "DELETE", ID_A, "", text),
        c->status);
    PhStandinStoreState_RefuseReads(fixture.store, JOBS, false);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "DELETE", ID_A,
                                            "", c->later, ""));
    if (c->accepted) {
        assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A,
                                                "", 200, "cancelled"));
    }
    PhPlatformFixture_Close(&fixture);
}

/* Guards against a client that is told that the job to cancel does not exist,
 * while it is accepted and runs. */
static void
test_unread_cancels(void **state)
{
    (void)state;
    Ph_RUN_TABLE(unread_cancel_cases, unread_cancel_run);
}

/* Who has a submission under way to the store, or will have it, when another
 * client's DELETE comes, and the answers to that and to a GET before it. */
typedef struct PhUnderWayCase {
    const char *name;
    bool links;
    size_t submitted_at; /* instance */
    size_t cancelled_at;
    bool later; /* the submission comes after the cancellation */
    int get;
    int status;
} PhUnderWayCase;

static const PhUnderWayCase under_way_cases[] = {
    {"the owner, which is asked", true, OWNER, OWNER, false, 503, 200},
    {"the owner, another instance is asked", true, OWNER, OTHER, false, 503,
     200},
    {"the owner, from another instance", true, OTHER, OTHER, false, 503, 200},
    {"the instance that is asked, without links", false, OTHER, OTHER, false,
     503, 200},
    {"an instance without links, after the owner has answered", false, OTHER,
     OWNER, true, 410, 410},
    {"the owner, after an instance without links has answered", false, OWNER,
     OTHER, true, 410, 410},
    {"another instance, after the owner has answered", true, OTHER, OWNER,
     true, 410, 410},
};

/* Asks until an instance that has just started has read the store. */
static int
delete_call(PhPlatformFixture *fixture, size_t instance)
{
    char text[PH_FIXTURE_TEXT_BYTES];
    int status = 503;
    while (status == 503) {
        status = PhPlatformFixture_Call(fixture, instance, "DELETE", ID_A, "",
                                        text);
    }
    return status;
}

/* The store loses the appends of jobs until the DELETE has come. */
static int
cancel_under_way(PhPlatformFixture *fixture, const PhUnderWayCase *c)
{
    char text[PH_FIXTURE_TEXT_BYTES];
    PhStandinStoreState_LoseAppends(fixture->store, JOBS, true);
    int submission = PhPlatformFixture_Send(fixture, c->submitted_at, "POST",
                                            ID_A, LASTING_JOB);
    PhPlatformFixture_RunSteps(fixture, RETRY_STEPS);
    assert_int_equal(PhPlatformFixture_Call(fixture, c->cancelled_at, "GET",
                                            ID_A, "", text),
                     c->get);
    int cancellation =
        PhPlatformFixture_Send(fixture, c->cancelled_at, "DELETE", ID_A, "");
    PhPlatformFixture_RunSteps(fixture, LOOK_STEPS);
    PhStandinStoreState_LoseAppends(fixture->store, JOBS, false);
    int status = PhPlatformFixture_Receive(fixture, cancellation, text);
    assert_int_equal(PhPlatformFixture_Receive(fixture, submission, text),
                     200);
    return status;
}

static void
under_way_run(const PhUnderWayCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    PhPlatformFixture_Open(&fixture, PH_FIXTURE_INSTANCES_MAX, c->links);
    for (size_t i = 0; i < PH_FIXTURE_INSTANCES_MAX; i++) {
        assert_true(PhPlatformFixture_CallUntil(&fixture, i, "GET", ID_A, "",
                                                410, ""));
    }
    PhPlatformFixture_RunSteps(&fixture, SETTLE_STEPS);
    if (c->later) {
        assert_int_equal(PhPlatformFixture_Call(&fixture, c->cancelled_at,
                                                "GET", ID_A, "", text),
                         c->get);
        assert_int_equal(delete_call(&fixture, c->cancelled_at), c->status);
        assert_true(PhPlatformFixture_CallUntil(
            &fixture, c->submitted_at, "POST", ID_A, LASTING_JOB, 200, ""));
    }
    else {
        assert_int_equal(cancel_under_way(&fixture, c), c->status);
    }
    assert_true(PhPlatformFixture_CallUntil(&fixture, c->cancelled_at, "GET",
                                            ID_A, "", 200, "cancelled"));
    PhPlatformFixture_RunSteps(&fixture, SETTLE_STEPS);
    uint64_t starts =
        PhPlatformFixture_CounterSum(&fixture, PH_COUNTER_SCHEDULE_STARTS);
    uint64_t stops =
        PhPlatformFixture_CounterSum(&fixture, PH_COUNTER_SCHEDULE_STOPS);
    PhPlatformFixture_Close(&fixture);
    /* One that is stored before its cancellation may start. */
    assert_in_range(starts, 0, c->later ? 0 : TASKS);
    assert_int_equal(stops, starts);
}

/* Guards against a submission that is stored and runs on after its client was
 * told, on cancelling it, that it did not exist. */
static void
test_cancels_under_way(void **state)
{
    (void)state;
    Ph_RUN_TABLE(under_way_cases, under_way_run);
}

/* A call that an instance answers from what it has read, and the answer once
 * it has read the jobs that were accepted while it stood still. */
typedef struct PhStandstillCase {
    const char *name;
    const char *job; /* empty: count of pending jobs */
    const char *known;
} PhStandstillCase;

static const PhStandstillCase standstill_cases[] = {
    {"pending jobs", "", "{\"pending\":2}"},
    {"state of a job", ID_A, "queued"},
};

/* The reply to the last read of the jobs names the job that was accepted
 * first.  It arrives while the instance stands still, and is handled in time,
 * but long after it was sent. */
static void
standstill_run(const PhStandstillCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    PhPlatformFixture_Open(&fixture, PH_FIXTURE_INSTANCES_MAX, false);
    fixture.worker_ignores_starts = true;
    for (size_t i = 0; i < PH_FIXTURE_INSTANCES_MAX; i++) {
        assert_true(PhPlatformFixture_CallUntil(&fixture, i, "GET", "", "",
                                                200, "{\"pending\":0}"));
    }
    PhStandinStoreState_RefuseReads(fixture.store, JOBS, true);
    PhPlatformFixture_RunSteps(&fixture, LAST_READ_STEPS);
    PhStandinStoreState_RefuseReads(fixture.store, JOBS, false);
    PhPlatformFixture_RunSteps(&fixture, RETRY_STEPS);
    fixture.instances[OTHER].stands_still = true;
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OWNER, "POST", ID_B, JOB, text), 200);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OWNER, "POST", ID_A, JOB, text), 200);
    PhPlatformFixture_RunSteps(&fixture, STANDSTILL_STEPS);
    PhStandinStoreState_RefuseReads(fixture.store, JOBS, true);
    fixture.instances[OTHER].stands_still = false;
    PhPlatformFixture_RunSteps(&fixture, AGE_STEPS);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OTHER, "GET", c->job, "", text), 503);
    PhStandinStoreState_RefuseReads(fixture.store, JOBS, false);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", c->job, "",
                                            200, c->known));
    PhPlatformFixture_Close(&fixture);
}

/* Guards against answers from a reply of the store that was old when it was
 * handled. */
static void
test_standstill(void **state)
{
    (void)state;
    Ph_RUN_TABLE(standstill_cases, standstill_run);
}

/* The call of a process whose predecessor under the same id has left one
 * without an answer at the owner. */
typedef struct PhRestartedCase {
    const char *name;
    const char *method;
    const char *job;
    const char *state; /* of the job afterwards, empty: there is none */
} PhRestartedCase;

static const PhRestartedCase restarted_cases[] = {
    {"a submission", "POST", ID_B, ""},
    {"a cancellation", "DELETE", ID_C, "running"},
};

/* The owner answers the first call of the process before, while it has the
 * first call of the new process, whose record the store refuses then. */
static void
restarted_run(const PhRestartedCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    PhPlatformFixture_Open(&fixture, PH_FIXTURE_INSTANCES_MAX, true);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OWNER, "POST", ID_C,
                                            LASTING_JOB, 200, ""));
    assert_true(PhPlatformFixture_CallUntil(&fixture, OWNER, "GET", ID_C, "",
                                            200, "running"));
    PhPlatformFixture_RunSteps(&fixture, SETTLE_STEPS);
    const PhCounters *owner = fixture.instances[OWNER].counters;
    uint64_t accepted = PhCounters_Get(owner, PH_COUNTER_SCHEDULE_ACCEPTED);
    PhStandinStoreState_SetFault(fixture.store,
                                 PH_STANDIN_STORE_LOSES_ANSWERS);
    int earlier = PhPlatformFixture_Send(&fixture, OTHER, "POST", ID_A, JOB);
    PhPlatformFixture_RunSteps(&fixture, RETRY_STEPS);
    PhPlatformFixture_Restart(&fixture, OTHER);
    PhPlatformFixture_RunSteps(&fixture, RESTART_STEPS);
    int later =
        PhPlatformFixture_Send(&fixture, OTHER, c->method, c->job, JOB);
    PhPlatformFixture_RunSteps(&fixture, RETRY_STEPS);
    PhStandinStoreState_SetFault(fixture.store, PH_STANDIN_STORE_HEALTHY);
    while (PhCounters_Get(owner, PH_COUNTER_SCHEDULE_ACCEPTED) == accepted) {
        PhPlatformFixture_Run(&fixture);
    }
    PhStandinStoreState_SetFault(fixture.store, PH_STANDIN_STORE_DOWN);
    assert_int_equal(PhPlatformFixture_Receive(&fixture, later, text), 503);
    PhStandinStoreState_SetFault(fixture.store, PH_STANDIN_STORE_HEALTHY);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OWNER, "GET", c->job, "",
                                            c->state[0] == '\0' ? 410 : 200,
                                            c->state));
    close(earlier);
    PhPlatformFixture_Close(&fixture);
}

/* Guards against an answer to a call of an earlier process that is passed on
 * as the answer to a call of the process that runs now. */
static void
test_restarted_callers(void **state)
{
    (void)state;
    Ph_RUN_TABLE(restarted_cases, restarted_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_pairs),
        cmocka_unit_test(test_dispatched),
        cmocka_unit_test(test_unread_runs),
        cmocka_unit_test(test_unread_cancels),
        cmocka_unit_test(test_cancels_under_way),
        cmocka_unit_test(test_standstill),
        cmocka_unit_test(test_restarted_callers)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
