/* Planned end of an ownership.  Guards against an owner that is released
 * before another instance can take over, and one that is not released in time.
 */
#include "peridothill/decide/schedule/handover.h"
#include "tests/table.h"

enum {
    STEPS_MAX = 6
};

/* State of the instance at a time, and the stage that follows.  It is asked to
 * stop at 0 ms. */
typedef struct PhHandoverStep {
    int64_t at_ms;
    PhHandoverInput input;
    PhHandoverTag stage;
} PhHandoverStep;

typedef struct PhHandoverCase {
    const char *name;
    PhHandoverStep steps[STEPS_MAX];
} PhHandoverCase;

#define NONE                                                                  \
    {                                                                         \
        PH_OWNERSHIP_NONE                                                     \
    }
#define CANDIDATE                                                             \
    {                                                                         \
        PH_OWNERSHIP_CANDIDATE                                                \
    }
#define TAKEOVER                                                              \
    {                                                                         \
        PH_OWNERSHIP_TAKEOVER                                                 \
    }
#define ACTIVE                                                                \
    {                                                                         \
        PH_OWNERSHIP_ACTIVE                                                   \
    }
#define READY                                                                 \
    {                                                                         \
        PH_OWNERSHIP_ACTIVE, true                                             \
    }
#define RECORDED                                                              \
    {                                                                         \
        PH_OWNERSHIP_ACTIVE, true, true                                       \
    }

static const PhHandoverCase handover_cases[] = {
    {"not the owner", {{0, NONE, PH_HANDOVER_RELEASE}}},
    {"not the owner, and nobody needs it",
     {{0, CANDIDATE, PH_HANDOVER_PREPARE},
      {1499, CANDIDATE, PH_HANDOVER_PREPARE},
      {1500, CANDIDATE, PH_HANDOVER_RELEASE}}},
    {"it takes over, and hands over",
     {{0, CANDIDATE, PH_HANDOVER_PREPARE},
      {600, TAKEOVER, PH_HANDOVER_PREPARE},
      {700, ACTIVE, PH_HANDOVER_PREPARE},
      {800, READY, PH_HANDOVER_RECORD},
      {810, RECORDED, PH_HANDOVER_RELEASE}}},
    {"it takes over late",
     {{0, CANDIDATE, PH_HANDOVER_PREPARE},
      {1400, TAKEOVER, PH_HANDOVER_PREPARE},
      {1499, ACTIVE, PH_HANDOVER_PREPARE},
      {1500, ACTIVE, PH_HANDOVER_RECORD},
      {1800, ACTIVE, PH_HANDOVER_RELEASE}}},
    {"a successor is ready",
     {{0, READY, PH_HANDOVER_RECORD},
      {10, READY, PH_HANDOVER_RECORD},
      {20, RECORDED, PH_HANDOVER_RELEASE}}},
    {"the successor has to read the records",
     {{0, ACTIVE, PH_HANDOVER_PREPARE},
      {700, ACTIVE, PH_HANDOVER_PREPARE},
      {900, READY, PH_HANDOVER_RECORD},
      {910, RECORDED, PH_HANDOVER_RELEASE}}},
    {"no successor is ready in time",
     {{0, ACTIVE, PH_HANDOVER_PREPARE},
      {1499, ACTIVE, PH_HANDOVER_PREPARE},
      {1500, ACTIVE, PH_HANDOVER_RECORD},
      {1799, ACTIVE, PH_HANDOVER_RECORD},
      {1800, ACTIVE, PH_HANDOVER_RELEASE}}},
    {"the takeover is under way",
     {{0, TAKEOVER, PH_HANDOVER_PREPARE},
      {200, ACTIVE, PH_HANDOVER_PREPARE},
      {400, READY, PH_HANDOVER_RECORD}}},
    {"the takeover does not end in time",
     {{0, TAKEOVER, PH_HANDOVER_PREPARE},
      {1500, TAKEOVER, PH_HANDOVER_RELEASE}}},
    {"the ownership is lost meanwhile",
     {{0, READY, PH_HANDOVER_RECORD}, {100, NONE, PH_HANDOVER_RELEASE}}},
};

static void
handover_run(const PhHandoverCase *c)
{
    PhHandover h = {0};
    assert_int_equal(PhHandover_Due(&h), PH_TIME_NEVER);
    PhHandover_Begin(&h, 0);
    for (size_t i = 0; i < STEPS_MAX; i++) {
        const PhHandoverStep *s = &c->steps[i];
        if (s->stage == PH_HANDOVER_NONE) {
            break;
        }
        PhTime now = s->at_ms * PH_NS_PER_MS;
        assert_int_equal(PhHandover_Update(&h, &s->input, now), s->stage);
        assert_true(PhHandover_Due(&h) > now);
        PhHandover_Begin(&h, now);
        assert_int_equal(h.tag, s->stage);
    }
}

/* Guards against a gap without an owner around a planned stop. */
static void
test_handover(void **state)
{
    (void)state;
    Ph_RUN_TABLE(handover_cases, handover_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_handover)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
