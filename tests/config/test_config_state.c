#include "peridothill/decide/config/config_state.h"

#include "tests/table.h"

enum {
    CASE_CHANGES = 6,
    CASE_NAMES = 3
};

/* Changes of versions 1 and 2, and the expected content of version 2. */
typedef struct PhStateCase {
    const char *name;
    PhConfigChange first[CASE_CHANGES];
    PhConfigChange second[CASE_CHANGES];
    const char *names[CASE_NAMES]; /* below "services." in version 2 */
    size_t diff;                   /* changes from version 1 to 2 */
    uint64_t share;                /* of "services.a.share", or 7 */
} PhStateCase;

#define SET(PATH, VALUE)                                                      \
    {                                                                         \
        PH_CONFIG_CHANGE_SET, PhStr_LITERAL(PATH), PhStr_LITERAL(VALUE)       \
    }
#define DELETE(PATH)                                                          \
    {                                                                         \
        PH_CONFIG_CHANGE_DELETE, PhStr_LITERAL(PATH),                         \
        {                                                                     \
            NULL, 0                                                           \
        }                                                                     \
    }

static const PhStateCase state_cases[] = {
    {"empty", {{0}}, {{0}}, {NULL}, 0, 7},
    {"unchanged value",
     {SET("services.a.share", "3")},
     {SET("services.a.share", "3")},
     {"a"},
     0,
     3},
    {"new and changed",
     {SET("services.a.share", "3")},
     {SET("services.a.share", "4"), SET("services.b.class", "x")},
     {"a", "b"},
     2,
     4},
    {"deleted",
     {SET("services.a.share", "3"), SET("services.c.class", "x")},
     {DELETE("services.a.share"), DELETE("services.none.class")},
     {"c"},
     1,
     7},
    {"names with a common prefix",
     {SET("services.a.class", "1"), SET("services.a-b.class", "2"),
      SET("services.a.share", "x"), SET("servicesx.q.class", "1"),
      SET("service.z.class", "1")},
     {SET("services.ab.class", "3")},
     {"a-b", "a", "ab"},
     1,
     7},
    {"set and deleted at once",
     {SET("services.a.share", "3")},
     {SET("services.a.share", "5"), DELETE("services.a.share")},
     {NULL},
     1,
     7},
};

static size_t
changes_count(const PhConfigChange *changes)
{
    size_t n = 0;
    while (n < CASE_CHANGES && changes[n].path.len > 0) {
        n++;
    }
    return n;
}

static void
check_state(const PhStateCase *c)
{
    PhConfigState *zero = PhConfigState_CreateEmpty();
    PhConfigState *one =
        PhConfigState_Apply(zero, 1, c->first, changes_count(c->first));
    uint64_t digest = PhConfigState_Digest(one);
    PhConfigState *two =
        PhConfigState_Apply(one, 2, c->second, changes_count(c->second));
    PhConfigState_Unref(PhConfigState_Ref(two));
    assert_int_equal(PhConfigState_Digest(one), digest);
    assert_int_not_equal(PhConfigState_Digest(two), digest);
    GArray *diff = PhConfigState_Diff(one, two);
    assert_int_equal(diff->len, c->diff);
    g_array_free(diff, TRUE);
    PhConfigState_Unref(zero);
    PhConfigState_Unref(one);
    PhConfigNames names = PhConfigNames_Start(two, PhStr_LITERAL("services."));
    PhStr name;
    for (size_t i = 0; i < CASE_NAMES && c->names[i] != NULL; i++) {
        assert_true(PhConfigNames_Next(&names, &name));
        assert_true(PhStr_Equal(name, PhStr_FromC(c->names[i])));
    }
    assert_false(PhConfigNames_Next(&names, &name));
    assert_int_equal(PhConfig_ChildU64(two, PhStr_LITERAL("services"),
                                       PhStr_LITERAL("a"),
                                       PhStr_LITERAL("share"), 7),
                     c->share);
    PhConfigState_Unref(two);
}

/* Guards against a version that is modified by a later one, and against wrong
 * digests, names, diffs and fallbacks. */
static void
test_version_content(void **state)
{
    (void)state;
    Ph_RUN_TABLE(state_cases, check_state);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_version_content)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
