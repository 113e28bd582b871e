/* Bound on the time at which earlier owners may still send orders.  Guards
 * against a successor that restarts runs whose leases an earlier owner still
 * renews. */
#include "peridothill/decide/schedule/election.h"
#include "tests/table.h"

#define SELF PhStr_LITERAL("self.100")

enum {
    STEPS_MAX = 6,
    GIVE_UP_MS = 9100, /* after the last record, on another instance's clock */
    EARLIER_MS = -500,
    LEASES_MS = 700,
    LEASE_MS = 6220, /* by a clock that is 2% slow */
};

typedef enum PhHolderOp {
    OP_NONE,
    OP_CLAIM,
    OP_RENEWAL,
    OP_RELEASE,
    OP_HELLO,   /* the instance sends a hello with this fence to the owner */
    OP_DELETED, /* records before `number` have been deleted */
    OP_CLAIM_STATES,   /* the record states that all earlier orders were given
                          by EARLIER_MS after it was sent */
    OP_RENEWAL_STATES, /* the same for a renewal */
    OP_RELEASE_STATES, /* the same for a release */
    OP_CLAIM_OWNED,    /* the record also states that all earlier leases have
                          expired by LEASES_MS after it was sent, and by that that
                          its holder's end with its ownership */
    OP_RENEWAL_OWNED,
    OP_RELEASE_OWNED,
} PhHolderOp;

/* A record or message at a time.  Claims are read as appended by the
 * holder. */
typedef struct PhHolderStep {
    int64_t at_ms;
    PhHolderOp op;
    const char *who;
    uint64_t number; /* offset of the record, or fence */
} PhHolderStep;

typedef struct PhHolderCase {
    const char *name;
    PhHolderStep steps[STEPS_MAX];
    int64_t last_ms;    /* time of the last possible order; 0: none */
    int64_t unaware_ms; /* the same for owners that may not know of their
                           replacement before 5000 */
    int64_t expired_ms; /* the last lease has expired; 0: LEASE_MS after the
                           last order */
} PhHolderCase;

static const PhHolderCase holder_cases[] = {
    {"no predecessor", {{1000, OP_CLAIM, "self.100", 0}}, 0, 0},
    {"a predecessor that may be partitioned",
     {{1000, OP_CLAIM, "a.1", 0},
      {2000, OP_RENEWAL, "a.1", 1},
      {5500, OP_CLAIM, "self.100", 2}},
     2000 + GIVE_UP_MS,
     0},
    {"the predecessor acknowledges the claim with a hello",
     {{1000, OP_CLAIM, "a.1", 0},
      {5500, OP_CLAIM, "self.100", 1},
      {6000, OP_HELLO, "a", 2}},
     6000,
     0},
    {"a hello of another instance",
     {{1000, OP_CLAIM, "a.1", 0},
      {5500, OP_CLAIM, "self.100", 1},
      {6000, OP_HELLO, "b", 2}},
     1000 + GIVE_UP_MS,
     0},
    {"a delayed hello to an earlier claim",
     {{1000, OP_CLAIM, "a.1", 0},
      {5500, OP_CLAIM, "self.100", 1},
      {6000, OP_HELLO, "a", 1}},
     1000 + GIVE_UP_MS,
     0},
    {"the predecessor had restarted before the claim",
     {{1000, OP_CLAIM, "a.1", 0},
      {3000, OP_RELEASE, "a.2", 1},
      {5500, OP_CLAIM, "self.100", 2}},
     3000,
     3000},
    {"a release, before which its sender has given its last order",
     {{1000, OP_CLAIM, "a.1", 0},
      {3000, OP_RELEASE_STATES, "a.1", 1},
      {5500, OP_CLAIM, "self.100", 2}},
     3000,
     3000},
    {"a release by the version before, which goes on until it knows the "
     "outcome",
     {{1000, OP_CLAIM, "a.1", 0},
      {3000, OP_RELEASE, "a.1", 1},
      {5500, OP_CLAIM, "self.100", 2}},
     3000 + GIVE_UP_MS,
     0},
    {"two predecessors, one without a hello",
     {{1000, OP_CLAIM, "a.1", 0},
      {4000, OP_CLAIM, "b.1", 1},
      {7000, OP_CLAIM, "self.100", 2},
      {8000, OP_HELLO, "b", 3}},
     1000 + GIVE_UP_MS,
     1000 + GIVE_UP_MS},
    {"deleted records may name any instance",
     {{1000, OP_DELETED, "", 7}, {4000, OP_CLAIM, "self.100", 7}},
     1000 + GIVE_UP_MS,
     1000 + GIVE_UP_MS},
    {"the first record read states when orders before it have ended",
     {{1000, OP_DELETED, "", 7},
      {1100, OP_RENEWAL_STATES, "a.1", 7},
      {2000, OP_RELEASE, "a.2", 8},
      {2500, OP_CLAIM, "self.100", 9}},
     2000,
     2000},
    {"a statement does not cover the holder that makes it",
     {{1000, OP_DELETED, "", 7},
      {1100, OP_CLAIM_STATES, "a.1", 7},
      {5500, OP_CLAIM, "self.100", 8}},
     1100 + GIVE_UP_MS,
     1100 + EARLIER_MS},
    {"nor those before records that are missed later",
     {{1000, OP_DELETED, "", 7},
      {1100, OP_RENEWAL_STATES, "a.1", 7},
      {2000, OP_DELETED, "", 12},
      {2500, OP_CLAIM, "self.100", 12}},
     2000 + GIVE_UP_MS,
     2000 + GIVE_UP_MS},
    {"a successor knows more of the predecessor than this instance",
     {{1000, OP_CLAIM, "a.1", 0},
      {5500, OP_CLAIM, "b.1", 1},
      {6000, OP_RENEWAL_STATES, "b.1", 2},
      {6100, OP_RELEASE, "b.2", 3},
      {6500, OP_CLAIM, "self.100", 4}},
     6100,
     0},
    {"an earlier ownership of this instance",
     {{1000, OP_CLAIM, "self.100", 0},
      {4000, OP_CLAIM, "a.1", 1},
      {7000, OP_CLAIM, "self.100", 2},
      {7500, OP_HELLO, "a", 3}},
     7500,
     4000},
    {"a predecessor that may be partitioned, whose leases end with it",
     {{1000, OP_CLAIM_OWNED, "a.1", 0},
      {2000, OP_RENEWAL_OWNED, "a.1", 1},
      {5500, OP_CLAIM, "self.100", 2}},
     2000 + GIVE_UP_MS,
     0,
     2000 + GIVE_UP_MS},
    {"it sends a release, long after its newest renewal",
     {{1000, OP_CLAIM_OWNED, "a.1", 0},
      {7000, OP_RELEASE_OWNED, "a.1", 1},
      {7500, OP_CLAIM, "self.100", 2}},
     7000,
     0,
     1000 + GIVE_UP_MS},
    {"it sends a release, soon after its newest renewal",
     {{1000, OP_CLAIM_OWNED, "a.1", 0},
      {2000, OP_RELEASE_OWNED, "a.1", 1},
      {2500, OP_CLAIM, "self.100", 2}},
     2000,
     2000},
    {"it acknowledges the claim with a hello",
     {{1000, OP_CLAIM_OWNED, "a.1", 0},
      {5500, OP_CLAIM, "self.100", 1},
      {6000, OP_HELLO, "a", 2}},
     6000,
     0,
     1000 + GIVE_UP_MS},
    {"it had restarted before the claim",
     {{1000, OP_CLAIM_OWNED, "a.1", 0},
      {8000, OP_RELEASE_OWNED, "a.2", 1},
      {8500, OP_CLAIM, "self.100", 2}},
     8000 + EARLIER_MS,
     0,
     8000 + LEASES_MS},
    {"two of them, the later one by the version before",
     {{1000, OP_CLAIM_OWNED, "a.1", 0},
      {4000, OP_CLAIM_STATES, "b.1", 1},
      {7000, OP_CLAIM, "self.100", 2}},
     4000 + GIVE_UP_MS,
     4000 + EARLIER_MS},
    {"two of them, the earlier one by the version before",
     {{1000, OP_CLAIM, "a.1", 0},
      {4000, OP_CLAIM_OWNED, "b.1", 1},
      {7000, OP_CLAIM, "self.100", 2}},
     4000 + GIVE_UP_MS,
     4000 + EARLIER_MS,
     4000 + GIVE_UP_MS},
    {"deleted records may be of the version before",
     {{1000, OP_DELETED, "", 7}, {2000, OP_CLAIM, "self.100", 7}},
     1000 + GIVE_UP_MS,
     1000 + GIVE_UP_MS},
    {"the first record read states when leases before it have expired",
     {{1000, OP_DELETED, "", 7},
      {1100, OP_RENEWAL_OWNED, "a.1", 7},
      {1200, OP_RELEASE, "a.2", 8},
      {2500, OP_CLAIM, "self.100", 9}},
     1200,
     1200},
    {"an earlier ownership of this instance",
     {{1000, OP_CLAIM, "self.100", 0},
      {8000, OP_CLAIM_OWNED, "a.1", 1},
      {8500, OP_RELEASE_OWNED, "a.1", 2},
      {8600, OP_CLAIM, "self.100", 3}},
     8500,
     0},
};

static void
record_read(PhElection *e, const PhHolderStep *s, PhElectionEntryKind kind,
            PhTime now)
{
    PhElectionEntry entry = {.offset = s->number,
                             .kind = kind,
                             .holder = PhStr_FromC(s->who),
                             .states_earlier = s->op >= OP_CLAIM_STATES,
                             .earlier = EARLIER_MS * PH_NS_PER_MS,
                             .states_leases = s->op >= OP_CLAIM_OWNED,
                             .earlier_leases = LEASES_MS * PH_NS_PER_MS};
    PhElection_OnRead(e, &entry, 1, s->number + 1, now);
}

static void
step_apply(PhElection *e, const PhHolderStep *s)
{
    PhTime now = s->at_ms * PH_NS_PER_MS;
    switch (s->op) {
    case OP_NONE:
        break;
    case OP_CLAIM:
    case OP_CLAIM_STATES:
    case OP_CLAIM_OWNED:
        record_read(e, s, PH_ELECTION_CLAIM, now);
        break;
    case OP_RENEWAL:
    case OP_RENEWAL_STATES:
    case OP_RENEWAL_OWNED:
        record_read(e, s, PH_ELECTION_RENEWAL, now);
        break;
    case OP_RELEASE:
    case OP_RELEASE_STATES:
    case OP_RELEASE_OWNED:
        record_read(e, s, PH_ELECTION_RELEASE, now);
        break;
    case OP_HELLO:
        PhElection_OnHello(e, PhStr_FromC(s->who), s->number, now);
        break;
    case OP_DELETED:
        PhElection_OnReadFailed(e, s->number, now);
        break;
    }
}

static void
holder_run(const PhHolderCase *c)
{
    PhElection *e = PhElection_Create(SELF, (PhStr){0}, 0);
    /* Start with an empty topic, so that no record is missed. */
    PhElection_OnRead(e, NULL, 0, 0, 0);
    for (int i = 0; i < STEPS_MAX; i++) {
        step_apply(e, &c->steps[i]);
    }
    const PhPredecessors *p = PhElection_Predecessors(e);
    assert_int_equal(PhPredecessors_LastOrder(p), c->last_ms * PH_NS_PER_MS);
    assert_int_equal(
        PhPredecessors_LastOrderReplacedBy(p, 5000 * PH_NS_PER_MS),
        c->unaware_ms * PH_NS_PER_MS);
    int64_t lasts_ms = c->last_ms == 0 ? 0 : c->last_ms + LEASE_MS;
    PhTime expiry;
    PhPredecessors_LastToExpire(p, PH_TIME_NEVER, LEASE_MS * PH_NS_PER_MS,
                                &expiry);
    assert_int_equal(expiry / PH_NS_PER_MS,
                     c->expired_ms == 0 ? lasts_ms : c->expired_ms);
    PhElection_Destroy(e);
}

/* Guards against a bound that is too early, or later than necessary. */
static void
test_predecessors(void **state)
{
    (void)state;
    Ph_RUN_TABLE(holder_cases, holder_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_predecessors)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
