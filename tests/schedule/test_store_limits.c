/* Limits of the store on the size of a record and of an append.  Guards
 * against an append that the store refuses for its size and that is repeated
 * for ever, so that no work goes on, and against submissions that are refused
 * because of the size of another one. */
#include <string.h>

#include "platform_fixture.h"
#include "tests/table.h"

#define LATER_ID "00000000000000ff"
#define LATER_JOB "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":10}]}"

enum {
    JOBS_MAX = 8,
    ID_BYTES = 17, /* with the terminator */
};

static void
id_make(char *id, unsigned number)
{
    snprintf(id, ID_BYTES, "%016x", number + 1);
}

/* Jobs of one step each that are submitted at once, and the limits of the
 * store. */
typedef struct PhWideCase {
    const char *name;
    unsigned jobs;
    unsigned tasks; /* of each job */
    size_t record_bytes;
    size_t append_bytes;
    bool takeover; /* the owner is killed once all jobs have ended */
} PhWideCase;

static const PhWideCase wide_cases[] = {
    {"one record holds a step, one append all", 2, 100, 4096, 12288, false},
    {"a step is larger than a record", 1, 600, 4096, 12288, false},
    {"the same, read by another owner", 1, 600, 4096, 12288, true},
    {"a batch is larger than an append", 8, 150, 4096, 4608, false},
    {"both, read by another owner", 2, 600, 4096, 9216, true},
};

static void
wide_run(const PhWideCase *c)
{
    PhPlatformFixture fixture;
    char id[ID_BYTES];
    char text[PH_FIXTURE_TEXT_BYTES];
    char job[PH_FIXTURE_TEXT_BYTES];
    int connections[JOBS_MAX] = {0};
    PhPlatformFixture_OpenLimited(&fixture, 2, c->record_bytes,
                                  c->append_bytes);
    snprintf(job, sizeof(job),
             "{\"spec\":\"x\",\"steps\":[{\"count\":%u,\"cpu\":10}]}",
             c->tasks);
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "GET", "", "", 200, ""));
    for (unsigned i = 0; i < c->jobs; i++) {
        id_make(id, i);
        connections[i] = PhPlatformFixture_Send(&fixture, 0, "POST", id, job);
    }
    for (unsigned i = 0; i < c->jobs; i++) {
        assert_int_equal(
            PhPlatformFixture_Receive(&fixture, connections[i], text), 200);
    }
    for (unsigned i = 0; i < c->jobs; i++) {
        id_make(id, i);
        assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", id, "",
                                                200, "completed"));
    }
    assert_int_equal(PhStandinStoreState_TooLarge(fixture.store), 0);
    assert_int_equal(
        PhPlatformFixture_CounterSum(&fixture, PH_COUNTER_SCHEDULE_STARTS),
        (uint64_t)c->jobs * c->tasks);
    size_t instance = c->takeover ? 1 : 0;
    if (c->takeover) {
        PhPlatformFixture_Kill(&fixture, 0);
    }
    assert_true(PhPlatformFixture_CallUntil(&fixture, instance, "POST",
                                            LATER_ID, LATER_JOB, 200, ""));
    assert_true(PhPlatformFixture_CallUntil(&fixture, instance, "GET",
                                            LATER_ID, "", 200, "completed"));
    assert_int_equal(
        PhPlatformFixture_CounterSum(&fixture, PH_COUNTER_SCHEDULE_STARTS),
        (uint64_t)c->jobs * c->tasks + 1);
    PhPlatformFixture_Close(&fixture);
}

/* Wide steps and large batches are recorded, and work goes on. */
static void
test_wide_steps(void **state)
{
    (void)state;
    Ph_RUN_TABLE(wide_cases, wide_run);
}

/* Submissions that are sent at once, by the length of their `spec`, and the
 * answers, while the store takes 2,048 bytes a record and 4,096 an append.
 * `lost`: the first appends are lost with their answers. */
typedef struct PhSubmissionsCase {
    const char *name;
    unsigned count;
    size_t lengths[JOBS_MAX];
    int statuses[JOBS_MAX];
    bool lost;
} PhSubmissionsCase;

enum {
    SUBMISSION_RECORD_BYTES = 2048,
    SUBMISSION_APPEND_BYTES = 4096,
    LOST_STEPS = 50,
};

static const PhSubmissionsCase submissions_cases[] = {
    {"all fit", 4, {100, 100, 100, 100}, {200, 200, 200, 200}, false},
    {"together larger than an append",
     6,
     {1500, 1500, 1500, 1500, 1500, 1500},
     {200, 200, 200, 200, 200, 200},
     false},
    {"the first is larger than a record", 2, {3000, 100}, {400, 200}, false},
    {"one of many is larger than a record",
     4,
     {100, 100, 3000, 100},
     {200, 200, 400, 200},
     false},
    {"the same, and appends are lost",
     4,
     {100, 100, 3000, 100},
     {200, 200, 400, 200},
     true},
    {"all are larger, and appends are lost",
     2,
     {3000, 3000},
     {400, 400},
     true},
};

static int
submission_send(PhPlatformFixture *fixture, unsigned number, size_t len)
{
    char id[ID_BYTES];
    char spec[PH_FIXTURE_TEXT_BYTES] = {0};
    char job[PH_FIXTURE_TEXT_BYTES];
    memset(spec, 'x', len);
    snprintf(job, sizeof(job),
             "{\"spec\":\"%s\",\"steps\":[{\"count\":1,\"cpu\":10}]}", spec);
    id_make(id, number);
    return PhPlatformFixture_Send(fixture, 0, "POST", id, job);
}

static void
submissions_run(const PhSubmissionsCase *c)
{
    PhPlatformFixture fixture;
    char id[ID_BYTES];
    char text[PH_FIXTURE_TEXT_BYTES];
    int connections[JOBS_MAX] = {0};
    PhPlatformFixture_OpenLimited(&fixture, 1, SUBMISSION_RECORD_BYTES,
                                  SUBMISSION_APPEND_BYTES);
    assert_true(
        PhPlatformFixture_CallUntil(&fixture, 0, "GET", "", "", 200, ""));
    PhStandinStoreState_LoseAppends(fixture.store, PhStr_LITERAL("keyed.jobs"),
                                    c->lost);
    for (unsigned i = 0; i < c->count; i++) {
        connections[i] = submission_send(&fixture, i, c->lengths[i]);
    }
    PhPlatformFixture_RunSteps(&fixture, LOST_STEPS);
    PhStandinStoreState_LoseAppends(fixture.store, PhStr_LITERAL("keyed.jobs"),
                                    false);
    for (unsigned i = 0; i < c->count; i++) {
        assert_int_equal(
            PhPlatformFixture_Receive(&fixture, connections[i], text),
            c->statuses[i]);
    }
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "POST", LATER_ID,
                                            LATER_JOB, 200, ""));
    for (unsigned i = 0; i < c->count; i++) {
        id_make(id, i);
        bool accepted = c->statuses[i] == 200;
        assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", id, "",
                                                accepted ? 200 : 410,
                                                accepted ? "completed" : ""));
    }
    assert_true(PhPlatformFixture_CallUntil(&fixture, 0, "GET", LATER_ID, "",
                                            200, "completed"));
    assert_int_equal(PhStandinStoreState_TooLarge(fixture.store), 0);
    PhPlatformFixture_Close(&fixture);
}

/* Each submission is answered by its own size. */
static void
test_submissions(void **state)
{
    (void)state;
    Ph_RUN_TABLE(submissions_cases, submissions_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_wide_steps),
                                       cmocka_unit_test(test_submissions)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
