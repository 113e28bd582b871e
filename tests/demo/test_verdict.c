#include "peridothill/demo/verdict.h"

#include <stdlib.h>
#include <string.h>

#include "tests/table.h"

/* Checks of one guarantee; the others hold. */
typedef struct PhVerdictCase {
    const char *name;
    int held;
    int broken;
    bool all;
    const char *line; /* expected in the output */
} PhVerdictCase;

static const PhVerdictCase verdict_cases[] = {
    {"held", 3, 0, true, "promise=one-place verdict=held"},
    {"broken once", 3, 1, false, "promise=one-place verdict=broken"},
    {"only broken", 0, 1, false, "broken: one-place: task 7"},
    {"never exercised", 0, 0, false, "promise=one-place verdict=unproved"},
};

static void
check_verdict(const PhVerdictCase *c)
{
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);
    PhStr detail = PhStr_LITERAL("task 7");
    PhVerdicts *v = PhVerdicts_Create(out);
    for (int i = 0; i < PH_GUARANTEE_COUNT; i++) {
        if (i != PH_INVARIANT_ONE_PLACE) {
            PhVerdicts_Check(v, (PhInvariant)i, true, detail);
        }
    }
    for (int i = 0; i < c->held + c->broken; i++) {
        PhVerdicts_Check(v, PH_INVARIANT_ONE_PLACE, i < c->held, detail);
    }
    assert_int_equal(PhVerdicts_Print(v, out), c->all);
    PhVerdicts_Destroy(v);
    fclose(out);
    assert_non_null(strstr(text, c->line));
    free(text);
}

/* Guards against a demonstration that passes although a guarantee was broken
 * or never checked. */
static void
test_verdict_of_checks(void **state)
{
    (void)state;
    Ph_RUN_TABLE(verdict_cases, check_verdict);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_verdict_of_checks),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
