/* Time-outs of appends.  Guards against an owner that waits long for the
 * answer to one append when others come quickly, and against one that repeats
 * appends to a slow store for ever. */
#include "peridothill/decide/schedule/append_timeout.h"

#include "tests/table.h"

enum {
    ANSWERS_MAX = 12,
    SILENT = -1, /* no answer */
};

typedef struct PhTimeoutCase {
    const char *name;
    int answers; /* how many of the following came */
    int64_t answers_ms[ANSWERS_MAX];
    size_t bytes;
    int64_t timeout_ms;
} PhTimeoutCase;

static const PhTimeoutCase timeout_cases[] = {
    {"the first", 0, {0}, 0, 500},
    {"quick answers", 3, {10, 12, 10}, 0, 500},
    {"a slow store", 1, {250}, 0, 1000},
    {"a very slow store", 1, {600}, 0, 1500},
    {"one was slow, and others are quick",
     9,
     {300, 0, 0, 0, 0, 0, 0, 0, 0},
     0,
     500},
    {"an answer is lost", 2, {10, SILENT}, 0, 500},
    {"no answer comes", 3, {10, SILENT, SILENT}, 0, 1000},
    {"none comes for long", 5, {10, SILENT, SILENT, SILENT, SILENT}, 0, 1500},
    {"an answer after those", 4, {SILENT, SILENT, SILENT, 10}, 0, 500},
    {"many records take time on a narrow link", 1, {10}, 64000, 1012},
    {"no longer than the longest", 1, {10}, 1000000, 1500},
};

static void
timeout_run(const PhTimeoutCase *c)
{
    PhAppendTimeout t = {0};
    for (int i = 0; i < c->answers; i++) {
        if (c->answers_ms[i] == SILENT) {
            PhAppendTimeout_OnSilence(&t);
        }
        else {
            PhAppendTimeout_OnAnswer(&t, c->answers_ms[i] * PH_NS_PER_MS);
        }
    }
    assert_int_equal(PhAppendTimeout_Get(&t, c->bytes) / PH_NS_PER_MS,
                     c->timeout_ms);
}

static void
test_append_timeout(void **state)
{
    (void)state;
    Ph_RUN_TABLE(timeout_cases, timeout_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_append_timeout)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
