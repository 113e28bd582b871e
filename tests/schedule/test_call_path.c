/* Ways of clients' calls.  Guards against a call that may have had an effect
 * and is refused, against one that is sent although no answer can come in
 * time, and against calls that wait for a store that is out of reach. */
#include "peridothill/decide/schedule/call_path.h"

#include "tests/table.h"

#define FORWARD                                                               \
    {                                                                         \
        .tag = PH_CALL_FORWARD                                                \
    }
#define LOCAL                                                                 \
    {                                                                         \
        .tag = PH_CALL_LOCAL                                                  \
    }
#define REFUSE(REASON)                                                        \
    {                                                                         \
        .tag = PH_CALL_REFUSE, .as.refuse = {                                 \
            .reason = (REASON),                                               \
            .retry_after = PH_NS_PER_S                                        \
        }                                                                     \
    }

typedef struct PhPathCase {
    const char *name;
    bool limited;
    bool changes;
    bool outcome_unknown;
    bool owner;
    bool link_up;
    bool owner_store_silent;
    PhContactState contact;
    int64_t left_ms;
    PhCallPath path;
    bool answered_here;
} PhPathCase;

enum {
    NO = 0,
    YES = 1,
};

static const PhPathCase path_cases[] = {
    {"no limit, link up, late", NO, YES, NO, NO, YES, YES, PH_CONTACT_LOST, 1,
     FORWARD},
    {"no limit, no link", NO, YES, NO, NO, NO, NO, PH_CONTACT_LOST, 3000,
     LOCAL},
    {"no limit, at the owner", NO, YES, NO, YES, YES, NO, PH_CONTACT_LOST, 1,
     LOCAL},
    {"link up", YES, YES, NO, NO, YES, NO, PH_CONTACT_REACHED, 3000, FORWARD},
    {"link up, own contact lost", YES, YES, NO, NO, YES, NO, PH_CONTACT_LOST,
     3000, FORWARD},
    {"just time enough", YES, YES, NO, NO, YES, NO, PH_CONTACT_REACHED, 151,
     FORWARD},
    {"too late to forward", YES, YES, NO, NO, YES, NO, PH_CONTACT_REACHED, 150,
     REFUSE(PH_CALL_TOO_LATE)},
    {"too late to append", YES, YES, NO, YES, NO, NO, PH_CONTACT_REACHED, 150,
     REFUSE(PH_CALL_TOO_LATE)},
    {"deadline passed", YES, YES, NO, NO, NO, NO, PH_CONTACT_REACHED, -5,
     REFUSE(PH_CALL_TOO_LATE)},
    {"too late, outcome unknown", YES, YES, YES, NO, NO, NO, PH_CONTACT_LOST,
     1, LOCAL},
    {"no link, contact lost", YES, YES, NO, NO, NO, NO, PH_CONTACT_LOST, 3000,
     REFUSE(PH_CALL_NO_CONTACT)},
    {"no link, contact not proven", YES, YES, NO, NO, NO, NO,
     PH_CONTACT_UNPROVEN, 3000, LOCAL},
    {"no link, store reached", YES, YES, NO, NO, NO, NO, PH_CONTACT_REACHED,
     3000, LOCAL},
    {"no link, contact lost, outcome unknown", YES, YES, YES, NO, NO, NO,
     PH_CONTACT_LOST, 3000, LOCAL},
    {"the owner, contact lost", YES, YES, NO, YES, NO, NO, PH_CONTACT_LOST,
     3000, REFUSE(PH_CALL_NO_CONTACT)},
    {"the owner, store reached", YES, YES, NO, YES, NO, NO, PH_CONTACT_REACHED,
     3000, LOCAL},
    {"the owner has lost the store, this instance not", YES, YES, NO, NO, YES,
     YES, PH_CONTACT_REACHED, 3000, LOCAL},
    {"both have lost the store", YES, YES, NO, NO, YES, YES, PH_CONTACT_LOST,
     3000, REFUSE(PH_CALL_NO_CONTACT)},
    {"the owner has lost the store, own contact not proven", YES, YES, NO, NO,
     YES, YES, PH_CONTACT_UNPROVEN, 3000, LOCAL},
    {"state, the owner has lost the store", YES, NO, NO, NO, YES, YES,
     PH_CONTACT_LOST, 3000, FORWARD},
    {"state, the owner has lost the store, known here", YES, NO, NO, NO, YES,
     YES, PH_CONTACT_REACHED, 3000, LOCAL, YES},
    {"state, link up, known here", YES, NO, NO, NO, YES, NO,
     PH_CONTACT_REACHED, 3000, FORWARD, YES},
    {"state, no limit, known here", NO, NO, NO, NO, YES, YES,
     PH_CONTACT_REACHED, 3000, FORWARD, YES},
    {"state, no link, contact not proven", YES, NO, NO, NO, NO, NO,
     PH_CONTACT_UNPROVEN, 3000, LOCAL},
    {"state, no link, contact lost", YES, NO, NO, NO, NO, NO, PH_CONTACT_LOST,
     3000, REFUSE(PH_CALL_NO_CONTACT)},
    {"state, too late", YES, NO, NO, NO, YES, NO, PH_CONTACT_REACHED, 100,
     REFUSE(PH_CALL_TOO_LATE)},
};

static void
path_run(const PhPathCase *c)
{
    PhCallPathInput input = {.limited = c->limited,
                             .changes = c->changes,
                             .outcome_unknown = c->outcome_unknown,
                             .owner = c->owner,
                             .link_up = c->link_up,
                             .owner_store_silent = c->owner_store_silent,
                             .answered_here = c->answered_here,
                             .contact = c->contact,
                             .left = c->left_ms * PH_NS_PER_MS};
    PhCallPath path = PhCallPath_Choose(&input);
    assert_int_equal(path.tag, c->path.tag);
    switch (path.tag) {
    case PH_CALL_FORWARD:
    case PH_CALL_LOCAL:
        break;
    case PH_CALL_REFUSE:
        assert_int_equal(path.as.refuse.reason, c->path.as.refuse.reason);
        assert_int_equal(path.as.refuse.retry_after,
                         c->path.as.refuse.retry_after);
        break;
    }
}

static void
test_call_path(void **state)
{
    (void)state;
    Ph_RUN_TABLE(path_cases, path_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_call_path)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
