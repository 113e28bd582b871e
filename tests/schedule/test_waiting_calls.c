/* Calls on a job while the ownership changes, over sockets. */
#include "platform_fixture.h"
#include "tests/paused_loop.h"
#include "tests/table.h"

#define ID "00000000000000a1"
#define JOB                                                                   \
    "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"longRunning\":"    \
    "true}]}"

enum {
    OWNER = 0, /* at first: it has the larger CPU share */
    OTHER = 1,
    SETTLE_STEPS = 400, /* until both instances know the owner */
    CALLS = 250,
    STANDSTILL_CALLS = 120, /* sent until the instance runs on */
    STEPS_APART = 4,        /* between two calls */
    CONTACT_LIMIT_MS = 600,
    STATUS_OK = 200,
    STATUS_UNAVAILABLE = 503,
};

typedef enum PhOwnerFate {
    FATE_STAYS,
    FATE_DIES,
    FATE_STANDS_STILL, /* until another one owns the jobs */
    FATE_RESTARTS,     /* at once, and may own them again */
} PhOwnerFate;

typedef struct PhWaitingCase {
    const char *name;
    bool links;
    PhOwnerFate fate;
    size_t asked; /* instance */
    unsigned contact_limit_ms;
} PhWaitingCase;

static const PhWaitingCase waiting_cases[] = {
    {"the owner stays", false, FATE_STAYS, OTHER},
    {"the owner stays, with links", true, FATE_STAYS, OTHER},
    {"the owner dies", false, FATE_DIES, OTHER},
    {"the owner dies, with links", true, FATE_DIES, OTHER},
    {"the owner stands still", false, FATE_STANDS_STILL, OTHER},
    {"the owner stands still, with links", true, FATE_STANDS_STILL, OTHER},
    {"the owner stands still and is asked", false, FATE_STANDS_STILL, OWNER},
    {"the same with links", true, FATE_STANDS_STILL, OWNER},
    {"the owner restarts", false, FATE_RESTARTS, OTHER},
    {"the owner restarts, with links", true, FATE_RESTARTS, OTHER},
    {"the owner restarts and is asked", true, FATE_RESTARTS, OWNER},
    {"the owner dies, with a limit of silence", true, FATE_DIES, OTHER,
     CONTACT_LIMIT_MS},
    {"the owner stands still, with a limit of silence", true,
     FATE_STANDS_STILL, OTHER, CONTACT_LIMIT_MS},
    {"the same and is asked", true, FATE_STANDS_STILL, OWNER,
     CONTACT_LIMIT_MS},
};

static void
fate_meet(PhPlatformFixture *fixture, PhOwnerFate fate)
{
    switch (fate) {
    case FATE_STAYS:
        break;
    case FATE_DIES:
        PhPlatformFixture_Kill(fixture, OWNER);
        break;
    case FATE_STANDS_STILL:
        fixture->instances[OWNER].stands_still = true;
        break;
    case FATE_RESTARTS:
        PhPlatformFixture_Restart(fixture, OWNER);
        break;
    }
}

/* Asks for a job's state all the while.  Each call has an answer, and one that
 * is true or says that there is none. */
static void
waiting_run(const PhWaitingCase *c)
{
    PhPlatformFixture fixture;
    char text[PH_FIXTURE_TEXT_BYTES];
    int calls[CALLS];
    unsigned unanswered = 0;
    PhPlatformFixture_OpenWithContact(&fixture, PH_FIXTURE_INSTANCES_MAX,
                                      c->links, c->contact_limit_ms);
    assert_true(PhPlatformFixture_CallUntil(&fixture, OTHER, "POST", ID, JOB,
                                            200, ""));
    PhPlatformFixture_RunSteps(&fixture, SETTLE_STEPS);
    fate_meet(&fixture, c->fate);
    for (int i = 0; i < CALLS; i++) {
        if (i == STANDSTILL_CALLS) {
            fixture.instances[OWNER].stands_still = false;
        }
        calls[i] = PhPlatformFixture_Send(&fixture, c->asked, "GET", ID, "");
        PhPlatformFixture_RunSteps(&fixture, STEPS_APART);
    }
    for (int i = 0; i < CALLS; i++) {
        int status = PhPlatformFixture_Receive(&fixture, calls[i], text);
        unanswered += status == 0;
        assert_true(status == 0 || status == STATUS_OK ||
                    status == STATUS_UNAVAILABLE);
    }
    print_message("#   %u of %d calls without an answer\n", unanswered, CALLS);
    assert_int_equal(unanswered, 0);
    assert_true(PhPlatformFixture_CallUntil(&fixture, c->asked, "GET", ID, "",
                                            STATUS_OK, "running"));
    PhPlatformFixture_Close(&fixture);
}

/* Guards against a GET that waits for a read of the runs when its instance
 * becomes the owner, and is never answered (LOST). */
static void
test_waiting_calls(void **state)
{
    (void)state;
    Ph_RUN_TABLE(waiting_cases, waiting_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_waiting_calls)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
