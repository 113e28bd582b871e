/* A member that receives an outdated suspicion of itself must gossip its own
 * record again: the sender may have missed the refutation, and would otherwise
 * declare it dead. */
#include "peridothill/decide/members/membership.h"
#include "tests/table.h"

enum {
    OWN_INCARNATION = 5
};

/* A record about this member, sent by another, and the expected reaction. */
typedef struct PhStaleSuspicionCase {
    const char *name;
    PhMemberState state;
    uint64_t incarnation;
    uint64_t gossiped; /* incarnation in the answer; 0: none */
} PhStaleSuspicionCase;

static const PhStaleSuspicionCase stale_suspicion_cases[] = {
    {"old suspicion", PH_MEMBER_SUSPECT, 4, 5},
    {"old death", PH_MEMBER_DEAD, 4, 5},
    {"current suspicion", PH_MEMBER_SUSPECT, 5, 6},
    {"later death", PH_MEMBER_DEAD, 7, 8},
    {"old alive record", PH_MEMBER_ALIVE, 4, 0},
};

/* Incarnation of "a" in the messages sent, or 0. */
static uint64_t
gossiped_incarnation(const GArray *actions)
{
    for (guint i = 0; i < actions->len; i++) {
        const PhMembershipAction *a =
            &g_array_index(actions, PhMembershipAction, i);
        const PhMemberMessage *m = &a->as.send.message;
        for (size_t r = 0;
             a->kind == PH_MEMBERSHIP_SEND && r < m->record_count; r++) {
            if (PhStr_Equal(m->records[r].id, PhStr_LITERAL("a"))) {
                return m->records[r].incarnation;
            }
        }
    }
    return 0;
}

static PhMembershipEvent
ping_event(const PhMemberMessage *message)
{
    return (PhMembershipEvent){
        .kind = PH_MEMBERSHIP_MESSAGE,
        .as.message = {.from = PhStr_LITERAL("b"), .message = message}};
}

/* The suspicion arrives after the first gossip of "a" about itself has been
 * sent. */
static void
check_stale_suspicion(const PhStaleSuspicionCase *c)
{
    PhMembershipOptions options = {.id = PhStr_LITERAL("a"),
                                   .data_centre = PhStr_LITERAL("silay"),
                                   .address = PhStr_LITERAL("10.0.0.1:1"),
                                   .incarnation = OWN_INCARNATION,
                                   .seed = 1,
                                   .times = PhMembershipTimes_Default()};
    PhMembership *m = PhMembership_Create(&options, 0);
    GArray *actions = PhMembershipActions_Create();
    PhMember other = {.id = PhStr_LITERAL("b"),
                      .data_centre = PhStr_LITERAL("silay"),
                      .address = PhStr_LITERAL("10.0.0.2:1"),
                      .incarnation = 1};
    PhMember suspicion = {.id = options.id,
                          .data_centre = options.data_centre,
                          .address = options.address,
                          .state = c->state,
                          .incarnation = c->incarnation};
    PhMemberMessage ping = {
        .kind = PH_MEMBER_PING, .records = &other, .record_count = 1};
    PhMembershipEvent event = ping_event(&ping);
    for (int i = 0; i < 40; i++) {
        g_array_set_size(actions, 0);
        PhMembership_Apply(m, &event, 0, actions);
    }
    assert_int_equal(gossiped_incarnation(actions), 0);
    ping.records = &suspicion;
    g_array_set_size(actions, 0);
    PhMembership_Apply(m, &event, 0, actions);
    assert_int_equal(gossiped_incarnation(actions), c->gossiped);
    g_array_free(actions, TRUE);
    PhMembership_Destroy(m);
}

/* Guards against outdated suspicions that stay unanswered. */
static void
test_stale_suspicions(void **state)
{
    (void)state;
    Ph_RUN_TABLE(stale_suspicion_cases, check_stale_suspicion);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stale_suspicions)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
