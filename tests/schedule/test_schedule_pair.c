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
    UNPROVEN_CALLS = 400,     /* in 2 s: a change of owner */
    LATE_MS = 100,            /* less than an answer takes */
    OWNER_LOST_STEPS = 300,   /* 1.5 s: a renewal every 0.7 s, and the limit */
    NO_CONTACT_STEPS = 340,   /* 1.7 s: a read waits for 1 s, and the limit */
    CONTACT_BACK_STEPS = 120, /* a probe, and a hello every 0.5 s */
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

/* Submits a job to the other instance `times` times and waits for its end. */
static void
submit_and_wait(PhPlatformFixture *fixture, const char *id, int times)
{
    for (int i = 0; i < times; i++) {
        assert_true(PhPlatformFixture_CallUntil(fixture, OTHER, "POST", id,
                                                JOB, 200, ""));
    }
    assert_true(PhPlatformFixture_CallUntil(fixture, OTHER, "GET", id, "", 200,
                                            "completed"));
}

static void
pair_run(const PhPairCase *c)
{
    PhPlatformFixture fixture;
    int times = c->submit_twice ? 2 : 1;
    PhPlatformFixture_OpenWithContact(&fixture, PH_FIXTURE_INSTANCES_MAX,
                                      c->links, c->contact_limit_ms);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A, "",
                                            410, ""));
    for (int i = 0; i < SETTLE_STEPS; i++) {
        PhPlatformFixture_Run(&fixture);
    }
    submit_and_wait(&fixture, ID_A, times);
    if (c->owner_dies) {
        PhPlatformFixture_Kill(&fixture, OWNER);
    }
    submit_and_wait(&fixture, ID_B, times);
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
    for (int i = 0; i < SETTLE_STEPS; i++) {
        PhPlatformFixture_Run(&fixture);
    }
    submit_and_wait(&fixture, ID_A, 1);
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
run_steps(PhPlatformFixture *fixture, int count)
{
    for (int i = 0; i < count; i++) {
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
    run_steps(&fixture, RETRY_STEPS);
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
    for (int i = 0; i < LAST_READ_STEPS; i++) {
        PhPlatformFixture_Run(&fixture);
    }
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

static uint64_t
counter_sum(const PhPlatformFixture *fixture, PhCounter counter)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < PH_FIXTURE_INSTANCES_MAX; i++) {
        sum += PhCounters_Get(fixture->instances[i].counters, counter);
    }
    return sum;
}

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
    run_steps(fixture, RETRY_STEPS);
    assert_int_equal(PhPlatformFixture_Call(fixture, c->cancelled_at, "GET",
                                            ID_A, "", text),
                     c->get);
    int cancellation =
        PhPlatformFixture_Send(fixture, c->cancelled_at, "DELETE", ID_A, "");
    run_steps(fixture, LOOK_STEPS);
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
    run_steps(&fixture, SETTLE_STEPS);
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
    run_steps(&fixture, SETTLE_STEPS);
    uint64_t starts = counter_sum(&fixture, PH_COUNTER_SCHEDULE_STARTS);
    uint64_t stops = counter_sum(&fixture, PH_COUNTER_SCHEDULE_STOPS);
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
    run_steps(&fixture, LAST_READ_STEPS);
    PhStandinStoreState_RefuseReads(fixture.store, JOBS, false);
    run_steps(&fixture, RETRY_STEPS);
    fixture.instances[OTHER].stands_still = true;
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OWNER, "POST", ID_B, JOB, text), 200);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OWNER, "POST", ID_A, JOB, text), 200);
    run_steps(&fixture, STANDSTILL_STEPS);
    PhStandinStoreState_RefuseReads(fixture.store, JOBS, true);
    fixture.instances[OTHER].stands_still = false;
    run_steps(&fixture, AGE_STEPS);
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
    run_steps(&fixture, SETTLE_STEPS);
    const PhCounters *owner = fixture.instances[OWNER].counters;
    uint64_t accepted = PhCounters_Get(owner, PH_COUNTER_SCHEDULE_ACCEPTED);
    PhStandinStoreState_SetFault(fixture.store,
                                 PH_STANDIN_STORE_LOSES_ANSWERS);
    int earlier = PhPlatformFixture_Send(&fixture, OTHER, "POST", ID_A, JOB);
    run_steps(&fixture, RETRY_STEPS);
    PhPlatformFixture_Restart(&fixture, OTHER);
    run_steps(&fixture, RESTART_STEPS);
    int later =
        PhPlatformFixture_Send(&fixture, OTHER, c->method, c->job, JOB);
    run_steps(&fixture, RETRY_STEPS);
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
    PhPlatformFixture_OpenWithContact(&fixture, PH_FIXTURE_INSTANCES_MAX, true,
                                      c->contact_limit_ms);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A, "",
                                            410, ""));
    run_steps(&fixture, SETTLE_STEPS);
    fixture.deadline_ms = LATE_MS;
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OTHER, c->method, ID_A, JOB, text),
        c->status);
    fixture.deadline_ms = 0;
    run_steps(&fixture, SETTLE_STEPS);
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
    PhPlatformFixture_OpenWithContact(&fixture, PH_FIXTURE_INSTANCES_MAX, true,
                                      c->contact_limit_ms);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A, "",
                                            410, ""));
    run_steps(&fixture, SETTLE_STEPS);
    check_ready(&fixture, 200);
    PhStandinStoreState_SetFault(fixture.store, PH_STANDIN_STORE_SILENT);
    run_steps(&fixture, NO_CONTACT_STEPS);
    check_ready(&fixture, c->ready);
    assert_int_equal(
        PhPlatformFixture_Call(&fixture, OTHER, "POST", ID_A, JOB, text),
        c->status);
    if (c->contact_limit_ms > 0) {
        check_counted(&fixture);
    }
    PhStandinStoreState_SetFault(fixture.store, PH_STANDIN_STORE_HEALTHY);
    run_steps(&fixture, CONTACT_BACK_STEPS);
    check_ready(&fixture, 200);
    submit_and_wait(&fixture, ID_B, 1);
    const PhCounters *owner = fixture.instances[OWNER].counters;
    assert_int_equal(PhCounters_Get(owner, PH_COUNTER_SCHEDULE_STARTS),
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
    PhPlatformFixture_OpenWithContact(&fixture, PH_FIXTURE_INSTANCES_MAX, true,
                                      c->contact_limit_ms);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A, "",
                                            410, ""));
    run_steps(&fixture, SETTLE_STEPS);
    fixture.first_fault = c->fault;
    int before = PhPlatformFixture_Send(&fixture, OTHER, "POST", ID_A, JOB);
    run_steps(&fixture, OWNER_LOST_STEPS);
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
    const PhCounters *other = fixture.instances[OTHER].counters;
    assert_true(PhCounters_Get(other, PH_COUNTER_SCHEDULE_STARTS) >= TASKS);
    uint64_t starts = counter_sum(&fixture, PH_COUNTER_SCHEDULE_STARTS);
    fixture.first_fault = PH_STANDIN_STORE_HEALTHY;
    run_steps(&fixture, SETTLE_STEPS);
    check_ready(&fixture, 200);
    const PhCounters *owner = fixture.instances[OWNER].counters;
    uint64_t by_owner = PhCounters_Get(owner, PH_COUNTER_SCHEDULE_STARTS);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OWNER, "POST",
                                            "00000000000000d4", JOB, 200, ""));
    assert_true(PhPlatformFixture_CallUntil(
        &fixture, OTHER, "GET", "00000000000000d4", "", 200, "completed"));
    assert_int_equal(PhCounters_Get(owner, PH_COUNTER_SCHEDULE_STARTS),
                     by_owner);
    assert_int_equal(counter_sum(&fixture, PH_COUNTER_SCHEDULE_STARTS),
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
    PhPlatformFixture_OpenWithContact(&fixture, PH_FIXTURE_INSTANCES_MAX,
                                      c->links, c->contact_limit_ms);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A, "",
                                            410, ""));
    run_steps(&fixture, SETTLE_STEPS);
    PhStandinStoreState_LoseAppends(fixture.store, JOBS, true);
    int first = PhPlatformFixture_Send(&fixture, OTHER, "POST", c->first, JOB);
    run_steps(&fixture, 2);
    if (c->second[0] != '\0') {
        second =
            PhPlatformFixture_Send(&fixture, OTHER, "POST", c->second, JOB);
        run_steps(&fixture, 2);
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
    PhPlatformFixture_OpenWithContact(&fixture, PH_FIXTURE_INSTANCES_MAX, true,
                                      c->contact_limit_ms);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A, "",
                                            410, ""));
    run_steps(&fixture, SETTLE_STEPS);
    fixture.first_fault = PH_STANDIN_STORE_DOWN;
    run_steps(&fixture, c->steps);
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
    for (size_t i = 0; i < PH_FIXTURE_CAPACITY; i++) {
        assert_true(PhPlatformFixture_CallUntil(&fixture, i, "GET", ID_A, "",
                                                410, ""));
    }
    run_steps(&fixture, 2 * SETTLE_STEPS);
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
    PhPlatformFixture_OpenWithContact(&fixture, PH_FIXTURE_INSTANCES_MAX, true,
                                      c->contact_limit_ms);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "GET", ID_A, "",
                                            410, ""));
    run_steps(&fixture, SETTLE_STEPS);
    PhTime end = PhClock_Now(fixture.clock);
    const PhFixtureInstance *other = &fixture.instances[OTHER];
    if (c->dies) {
        PhPlatformFixture_Kill(&fixture, OWNER);
    }
    else {
        PhKernel_Stop(other->kernel,
                      PhKernel_Lookup(other->kernel, PH_SERVICE_PEERS));
    }
    int call = PhPlatformFixture_Send(&fixture, OTHER, "POST", ID_A, JOB);
    PhTime limit = end + c->within_ms * PH_NS_PER_MS;
    while (PhCounters_Get(other->counters, PH_COUNTER_SCHEDULE_STARTS) == 0 &&
           PhClock_Now(fixture.clock) < limit) {
        PhPlatformFixture_Run(&fixture);
    }
    print_message(
        "#   %lld ms\n",
        (long long)((PhClock_Now(fixture.clock) - end) / PH_NS_PER_MS));
    assert_int_equal(
        PhCounters_Get(other->counters, PH_COUNTER_SCHEDULE_STARTS) > 0,
        c->takes_over);
    if (!c->dies) {
        const PhCounters *owner = fixture.instances[OWNER].counters;
        assert_int_equal(PhCounters_Get(owner, PH_COUNTER_SCHEDULE_STARTS),
                         TASKS);
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
        cmocka_unit_test(test_restarted_callers),
        cmocka_unit_test(test_late),
        cmocka_unit_test(test_silent_store),
        cmocka_unit_test(test_owner_store),
        cmocka_unit_test(test_twice),
        cmocka_unit_test(test_short_loss),
        cmocka_unit_test(test_unproven),
        cmocka_unit_test(test_takeovers)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
