#include "peridothill/decide/requests/keys.h"

#include "tests/table.h"

enum {
    MEMBERS = 3,
    STEPS_MAX = 5,
    KEY_BYTES = 16
};

static const PhTime WINDOW = 30 * PH_NS_PER_S;

/* The members reachable from a time on, one letter each, and the incarnation
 * of the members. */
typedef struct PhReachabilityStep {
    int at_s;
    const char *reachable;
    uint64_t incarnation;
} PhReachabilityStep;

/* Reachability as seen by instance "a" over time, and its verdict on a new key
 * of which it is a replica in the full membership. */
typedef struct PhConfirmCase {
    const char *name;
    PhReachabilityStep steps[STEPS_MAX];
    int claim_s;
    PhKeyVerdict verdict;
} PhConfirmCase;

static const PhConfirmCase confirm_cases[] = {
    {"just started", {{0, "abc"}}, 10, PH_KEY_UNCONFIRMED},
    {"one window after the start", {{0, "abc"}}, 30, PH_KEY_GRANTED},
    {"without a majority", {{0, "abc"}, {40, "a"}}, 41, PH_KEY_UNCLEAR},
    {"majority kept", {{0, "abc"}, {40, "ab"}}, 41, PH_KEY_GRANTED},
    {"partitioned recently",
     {{0, "abc"}, {40, "a"}, {50, "abc"}},
     55,
     PH_KEY_UNCONFIRMED},
    {"partition ended just within the window",
     {{0, "abc"}, {40, "a"}, {50, "abc"}},
     79,
     PH_KEY_UNCONFIRMED},
    {"partition ended one window ago",
     {{0, "abc"}, {40, "a"}, {50, "abc"}},
     80,
     PH_KEY_GRANTED},
    {"declared dead without noticing",
     {{0, "abc", 1}, {40, "abc", 2}},
     55,
     PH_KEY_UNCONFIRMED},
    {"declared dead one window ago",
     {{0, "abc", 1}, {40, "abc", 2}},
     70,
     PH_KEY_GRANTED},
    {"partitioned twice",
     {{0, "abc"}, {40, "a"}, {50, "abc"}, {70, "a"}, {75, "ab"}},
     90,
     PH_KEY_UNCONFIRMED},
};

static void
set_reachable_members(PhKeys *keys, const PhReachabilityStep *step, PhTime now)
{
    static const PhStr ids[MEMBERS] = {{"a", 1}, {"b", 1}, {"c", 1}};
    PhKeyMember members[MEMBERS];
    for (int i = 0; i < MEMBERS; i++) {
        members[i] =
            (PhKeyMember){.id = ids[i], .incarnation = step->incarnation};
        for (const char *c = step->reachable; *c != '\0'; c++) {
            members[i].reachable |= *c == ids[i].data[0];
        }
    }
    PhKeys_SetMembers(keys, members, MEMBERS, now);
}

/* Finds a key whose replicas in the full membership are "a" and "b". */
static PhStr
key_of_a_and_b(const PhKeys *keys, char *text)
{
    for (int i = 0;; i++) {
        g_snprintf(text, KEY_BYTES, "key-%d", i);
        PhKeyReplicas replicas = PhKeys_Replicas(keys, PhStr_FromC(text));
        bool a = false;
        bool b = false;
        for (size_t k = 0; k < replicas.count; k++) {
            a |= PhStr_Equal(replicas.member[k], PhStr_LITERAL("a"));
            b |= PhStr_Equal(replicas.member[k], PhStr_LITERAL("b"));
        }
        if (a && b) {
            return PhStr_FromC(text);
        }
    }
}

static void
check_confirm(const PhConfirmCase *c)
{
    char text[KEY_BYTES];
    PhKeys *keys = PhKeys_Create(PhStr_LITERAL("a"), WINDOW, 0);
    set_reachable_members(keys, &c->steps[0], 0);
    PhStr key = key_of_a_and_b(keys, text);
    for (size_t i = 1; i < STEPS_MAX && c->steps[i].reachable != NULL; i++) {
        set_reachable_members(keys, &c->steps[i],
                              c->steps[i].at_s * PH_NS_PER_S);
    }
    assert_int_equal(PhKeys_Claim(keys, key, PhStr_LITERAL("a/1"),
                                  c->claim_s * PH_NS_PER_S),
                     c->verdict);
    PhKeys_Destroy(keys);
}

/* Guards against granting a key while claims within the window may have been
 * missed. */
static void
test_confirm(void **state)
{
    (void)state;
    Ph_RUN_TABLE(confirm_cases, check_confirm);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_confirm),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
