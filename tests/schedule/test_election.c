/* Ownership election: scripted reads and appends on a simulated clock. */
#include "peridothill/decide/schedule/election.h"

#include "tests/table.h"

/* Holder names: instance and incarnation. */
#define SELF PhStr_LITERAL("self.200")
#define EARLIER_SELF PhStr_LITERAL("self.100")
#define OTHER PhStr_LITERAL("other.100")

enum {
    STEPS_MAX = 16,
    DELAY_MS = 100,
    ACTION_READ = 1,
    ACTION_CLAIM = 2,
    ACTION_RENEWAL = 4,
    ACTION_RELEASE = 8,
};

typedef enum PhStepOp {
    STEP_END, /* end of the script */
    STEP_NONE,
    STEP_READ_EMPTY,            /* empty read; the topic ends at `number` */
    STEP_READ_OTHER,            /* another holder's renewal at `number` */
    STEP_READ_RELEASE,          /* another holder's release at `number` */
    STEP_READ_RELEASE_TO_SELF,  /* the same, and it names this instance */
    STEP_READ_RELEASE_TO_OTHER, /* the same, and it names another one */
    STEP_READ_OWN,              /* this instance's claim at `number` */
    STEP_READ_OWN_RENEWAL,      /* this instance's renewal at `number` */
    STEP_READ_EARLIER_SELF, /* renewal of this instance's earlier incarnation
                             */
    STEP_READ_FAILS,
    STEP_APPENDED, /* append succeeded; the topic ends at `number` */
    STEP_CONFLICT,
    STEP_UNKNOWN,
    STEP_DEPOSED,
    STEP_STOP,
    STEP_SEEN_ON_LINK, /* the owner was seen over a link */
    STEP_LINK_DOUBT,   /* the owner has said that it is not the owner */
    STEP_SILENT,       /* the owner does not answer hellos */
    STEP_ANSWERS,      /* it does again */
} PhStepOp;

/* A step, the actions requested after it, and the fence; 0: not the owner. */
typedef struct PhElectionStep {
    int64_t at_ms;
    PhStepOp op;
    uint64_t number;
    unsigned actions;
    uint64_t fence;
} PhElectionStep;

typedef struct PhElectionCase {
    const char *name;
    PhElectionStep steps[STEPS_MAX];
    bool claims_early;
} PhElectionCase;

static const PhElectionCase election_cases[] = {
    {"the first instance claims after its delay",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_APPENDED, 1, 0, 1},
      {821, STEP_NONE, 0, ACTION_RENEWAL, 1},
      {830, STEP_APPENDED, 2, 0, 1}}},
    {"an owner seen over a link is neither read about nor replaced",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {500, STEP_SEEN_ON_LINK, 0, 0, 0},
      {1010, STEP_READ_EMPTY, 1, 0, 0},
      {1499, STEP_NONE, 0, 0, 0},
      {1500, STEP_NONE, 0, ACTION_READ, 0},
      {2500, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {2799, STEP_NONE, 0, 0, 0},
      {2800, STEP_NONE, 0, ACTION_CLAIM, 0}}},
    {"the topic is read at once when the link casts doubt on the owner",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {500, STEP_SEEN_ON_LINK, 0, 0, 0},
      {1010, STEP_READ_EMPTY, 1, 0, 0},
      {1100, STEP_LINK_DOUBT, 0, ACTION_READ, 0}}},
    {"no claim while another owner renews",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {700, STEP_READ_OTHER, 1, ACTION_READ, 0},
      {1400, STEP_READ_OTHER, 2, ACTION_READ, 0},
      {3600, STEP_NONE, 0, 0, 0}}},
    {"claims when another owner is silent",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 4, ACTION_READ, 0},
      {1010, STEP_READ_EMPTY, 5, ACTION_READ, 0},
      {2300, STEP_READ_EMPTY, 5, ACTION_READ, 0},
      {2311, STEP_NONE, 0, ACTION_CLAIM, 0},
      {2320, STEP_APPENDED, 6, 0, 6}}},
    {"a store outage does not count as silence",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {1500, STEP_READ_FAILS, 0, 0, 0},
      {1800, STEP_NONE, 0, ACTION_READ, 0},
      {6000, STEP_READ_FAILS, 0, 0, 0},
      {6300, STEP_NONE, 0, ACTION_READ, 0},
      {6400, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {8000, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {8701, STEP_NONE, 0, ACTION_CLAIM, 0}}},
    {"reads the topic after a conflict, before another claim",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_CONFLICT, 0, 0, 0},
      {130, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {500, STEP_NONE, 0, 0, 0}}},
    {"an unanswered claim is found in the topic",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {1600, STEP_UNKNOWN, 0, 0, 0},
      {1700, STEP_READ_OWN, 0, ACTION_RENEWAL, 1}}},
    {"an unanswered renewal is followed by one that is due since it was sent",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_APPENDED, 1, 0, 1},
      {130, STEP_READ_EMPTY, 1, 0, 1},
      {821, STEP_NONE, 0, ACTION_RENEWAL, 1},
      {1321, STEP_UNKNOWN, 0, ACTION_READ, 1},
      {1330, STEP_READ_OWN_RENEWAL, 1, 0, 1},
      {1520, STEP_NONE, 0, 0, 1},
      {1521, STEP_NONE, 0, ACTION_RENEWAL, 1},
      {1530, STEP_APPENDED, 3, 0, 1},
      {2229, STEP_NONE, 0, 0, 1},
      {2230, STEP_NONE, 0, ACTION_RENEWAL, 1}}},
    {"a renewal that conflicts with another claim ends the ownership",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_APPENDED, 1, 0, 1},
      {130, STEP_READ_EMPTY, 1, 0, 1},
      {821, STEP_NONE, 0, ACTION_RENEWAL, 1},
      {830, STEP_CONFLICT, 0, ACTION_READ, 1},
      {840, STEP_READ_OTHER, 1, ACTION_READ, 0}}},
    {"a renewal that is read back counts from the first append that may have "
     "written it",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_APPENDED, 1, 0, 1},
      {130, STEP_READ_EMPTY, 1, 0, 1},
      {821, STEP_NONE, 0, ACTION_RENEWAL, 1},
      {2300, STEP_UNKNOWN, 0, ACTION_READ, 1},
      {2310, STEP_READ_EMPTY, 1, 0, 1},
      {2500, STEP_NONE, 0, ACTION_RENEWAL, 1},
      {2600, STEP_CONFLICT, 0, ACTION_READ, 1},
      {2610, STEP_READ_OWN_RENEWAL, 1, ACTION_RENEWAL, 1},
      {4110, STEP_UNKNOWN, 0, ACTION_READ, 1},
      {9821, STEP_NONE, 0, 0, 1},
      {9822, STEP_NONE, 0, 0, 0}}},
    {"an owner that cannot reach the store gives up after 9 s",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_APPENDED, 1, 0, 1},
      {821, STEP_NONE, 0, ACTION_RENEWAL, 1},
      {2400, STEP_UNKNOWN, 0, 0, 1},
      {9000, STEP_READ_FAILS, 0, 0, 1},
      {9111, STEP_NONE, 0, 0, 0}}},
    {"claims right after a release, with its delay only",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_RELEASE, 7, ACTION_READ, 0},
      {111, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_APPENDED, 9, 0, 9}}},
    {"claims at once after a release that names it",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_RELEASE_TO_SELF, 7, ACTION_READ | ACTION_CLAIM, 0},
      {20, STEP_APPENDED, 9, 0, 9}}},
    {"leaves precedence to the instance that a release names",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_RELEASE_TO_OTHER, 7, ACTION_READ, 0},
      {300, STEP_READ_EMPTY, 8, ACTION_READ, 0},
      {609, STEP_NONE, 0, 0, 0},
      {611, STEP_NONE, 0, ACTION_CLAIM, 0}}},
    {"a later claim ends the precedence",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_RELEASE_TO_OTHER, 7, ACTION_READ, 0},
      {50, STEP_READ_OTHER, 8, ACTION_READ, 0},
      {100, STEP_READ_RELEASE, 9, ACTION_READ, 0},
      {201, STEP_NONE, 0, ACTION_CLAIM, 0}}},
    {"a restarted owner releases its earlier ownership",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EARLIER_SELF, 7, ACTION_READ | ACTION_RELEASE, 0},
      {20, STEP_APPENDED, 9, 0, 0},
      {119, STEP_NONE, 0, 0, 0},
      {121, STEP_NONE, 0, ACTION_CLAIM, 0},
      {130, STEP_APPENDED, 10, 0, 10}}},
    {"no release once another instance has taken over",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EARLIER_SELF, 7, ACTION_READ | ACTION_RELEASE, 0},
      {20, STEP_CONFLICT, 0, 0, 0},
      {30, STEP_READ_OTHER, 8, ACTION_READ, 0},
      {500, STEP_NONE, 0, 0, 0}}},
    {"an unanswered release is repeated if it is not in the topic",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EARLIER_SELF, 7, ACTION_READ | ACTION_RELEASE, 0},
      {20, STEP_READ_EMPTY, 8, ACTION_READ, 0},
      {1600, STEP_UNKNOWN, 0, 0, 0},
      {1700, STEP_READ_EMPTY, 8, ACTION_READ, 0},
      {1801, STEP_NONE, 0, ACTION_RELEASE, 0}}},
    {"a restarted owner that stops does not claim again",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {5, STEP_STOP, 0, 0, 0},
      {10, STEP_READ_EARLIER_SELF, 7, ACTION_READ | ACTION_RELEASE, 0},
      {20, STEP_APPENDED, 9, 0, 0},
      {9000, STEP_NONE, 0, 0, 0}}},
    {"a higher fence ends the ownership at once",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_APPENDED, 1, 0, 1},
      {200, STEP_DEPOSED, 0, 0, 0}}},
    {"a stopping owner gives no orders once it sends its release, and does "
     "not claim again",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_APPENDED, 1, 0, 1},
      {200, STEP_STOP, 0, ACTION_RELEASE, 0},
      {210, STEP_APPENDED, 2, 0, 0},
      {9000, STEP_NONE, 0, 0, 0}}},
    {"a release without an answer is repeated, without orders",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_APPENDED, 1, 0, 1},
      {130, STEP_READ_EMPTY, 1, 0, 1},
      {200, STEP_STOP, 0, ACTION_RELEASE | ACTION_READ, 0},
      {1700, STEP_UNKNOWN, 0, 0, 0},
      {1710, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {1901, STEP_NONE, 0, ACTION_RELEASE, 0},
      {1910, STEP_APPENDED, 2, 0, 0},
      {9000, STEP_NONE, 0, 0, 0}}},
    {"a renewal in flight is waited for before the release",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_EMPTY, 0, ACTION_READ, 0},
      {110, STEP_NONE, 0, ACTION_CLAIM, 0},
      {120, STEP_APPENDED, 1, 0, 1},
      {130, STEP_READ_EMPTY, 1, 0, 1},
      {821, STEP_NONE, 0, ACTION_RENEWAL, 1},
      {830, STEP_STOP, 0, 0, 1},
      {840, STEP_APPENDED, 2, ACTION_RELEASE | ACTION_READ, 0},
      {850, STEP_APPENDED, 3, 0, 0}}},
    {"no answer to hellos and no renewal: claims after 1.5 s",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {800, STEP_SILENT, 0, 0, 0},
      {1010, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {1609, STEP_NONE, 0, 0, 0},
      {1610, STEP_READ_EMPTY, 1, ACTION_READ | ACTION_CLAIM, 0},
      {1620, STEP_APPENDED, 2, 0, 2}},
     true},
    {"the same without early claims",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {800, STEP_SILENT, 0, 0, 0},
      {1010, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {1610, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {2309, STEP_NONE, 0, 0, 0},
      {2310, STEP_NONE, 0, ACTION_CLAIM, 0}},
     false},
    {"no renewal, but hellos are answered",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {1010, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {1610, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {2309, STEP_NONE, 0, 0, 0},
      {2310, STEP_NONE, 0, ACTION_CLAIM, 0}},
     true},
    {"no answer to hellos comes after the read that showed no renewal",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {1010, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {1610, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {1700, STEP_SILENT, 0, ACTION_CLAIM, 0}},
     true},
    {"no answer to hellos, but an answer before 1.5 s",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {800, STEP_SILENT, 0, 0, 0},
      {1010, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {1500, STEP_ANSWERS, 0, 0, 0},
      {1610, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {2309, STEP_NONE, 0, 0, 0}},
     true},
    {"no answer to hellos, but renewals: only the link is down",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {700, STEP_READ_OTHER, 1, ACTION_READ, 0},
      {800, STEP_SILENT, 0, 0, 0},
      {1400, STEP_READ_OTHER, 2, ACTION_READ, 0},
      {2400, STEP_READ_EMPTY, 3, ACTION_READ, 0},
      {3000, STEP_READ_EMPTY, 3, ACTION_READ, 0},
      {3699, STEP_NONE, 0, 0, 0},
      {3700, STEP_NONE, 0, ACTION_CLAIM, 0}},
     true},
    {"the store does not answer reads: no claim by the old answer",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {800, STEP_SILENT, 0, 0, 0},
      {1010, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {2200, STEP_NONE, 0, 0, 0},
      {2300, STEP_READ_FAILS, 0, 0, 0},
      {5000, STEP_NONE, 0, ACTION_READ, 0}},
     true},
    {"an empty read comes late: it tells only of the time that it waited",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {800, STEP_SILENT, 0, 0, 0},
      {1700, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {1750, STEP_READ_EMPTY, 1, ACTION_READ | ACTION_CLAIM, 0}},
     true},
    {"the same, and the owner has renewed",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {800, STEP_SILENT, 0, 0, 0},
      {1700, STEP_READ_EMPTY, 1, ACTION_READ, 0},
      {1750, STEP_READ_OTHER, 1, ACTION_READ, 0},
      {2750, STEP_READ_EMPTY, 2, ACTION_READ, 0}},
     true},
    {"this instance stood still, and the owner has renewed meanwhile",
     {{0, STEP_NONE, 0, ACTION_READ, 0},
      {10, STEP_READ_OTHER, 0, ACTION_READ, 0},
      {2200, STEP_SILENT, 0, 0, 0},
      {2205, STEP_READ_OTHER, 1, ACTION_READ, 0},
      {3205, STEP_READ_EMPTY, 2, ACTION_READ, 0}},
     true},
};

static void
read_one(PhElection *e, const PhElectionStep *s, PhElectionEntryKind kind,
         PhStr holder)
{
    PhElectionEntry entry = {
        .offset = s->number, .kind = kind, .holder = holder};
    PhElection_OnRead(e, &entry, 1, s->number + 1, s->at_ms * PH_NS_PER_MS);
}

static void
read_release(PhElection *e, const PhElectionStep *s, PhStr successor)
{
    PhElectionEntry entry = {.offset = s->number,
                             .kind = PH_ELECTION_RELEASE,
                             .holder = OTHER,
                             .successor = successor};
    PhElection_OnRead(e, &entry, 1, s->number + 1, s->at_ms * PH_NS_PER_MS);
}

static void
step_apply(PhElection *e, const PhElectionStep *s)
{
    PhTime now = s->at_ms * PH_NS_PER_MS;
    switch (s->op) {
    case STEP_END:
    case STEP_NONE:
        break;
    case STEP_READ_EMPTY:
        PhElection_OnRead(e, NULL, 0, s->number, now);
        break;
    case STEP_READ_OTHER:
        read_one(e, s, PH_ELECTION_RENEWAL, OTHER);
        break;
    case STEP_READ_RELEASE:
        read_one(e, s, PH_ELECTION_RELEASE, OTHER);
        break;
    case STEP_READ_RELEASE_TO_SELF:
        read_release(e, s, PhStr_LITERAL("self"));
        break;
    case STEP_READ_RELEASE_TO_OTHER:
        read_release(e, s, PhStr_LITERAL("third"));
        break;
    case STEP_READ_OWN:
        read_one(e, s, PH_ELECTION_CLAIM, SELF);
        break;
    case STEP_READ_OWN_RENEWAL:
        read_one(e, s, PH_ELECTION_RENEWAL, SELF);
        break;
    case STEP_READ_EARLIER_SELF:
        read_one(e, s, PH_ELECTION_RENEWAL, EARLIER_SELF);
        break;
    case STEP_READ_FAILS:
        PhElection_OnReadFailed(e, 0, now);
        break;
    case STEP_APPENDED:
        PhElection_OnAppended(e, s->number, now);
        break;
    case STEP_CONFLICT:
        PhElection_OnAppendFailed(e, true, now);
        break;
    case STEP_UNKNOWN:
        PhElection_OnAppendFailed(e, false, now);
        break;
    case STEP_DEPOSED:
        PhElection_OnDeposed(e, now);
        break;
    case STEP_STOP:
        PhElection_Stop(e, (PhStr){0});
        break;
    case STEP_SEEN_ON_LINK:
        PhElection_OnOwnerContact(e, now);
        break;
    case STEP_LINK_DOUBT:
        PhElection_OnOwnerSuspected(e, now);
        break;
    case STEP_SILENT:
        PhElection_SetOwnerSilent(e, true);
        break;
    case STEP_ANSWERS:
        PhElection_SetOwnerSilent(e, false);
        break;
    }
}

static unsigned
collect_actions(PhElection *e, PhTime now)
{
    static const unsigned appends[] = {ACTION_CLAIM, ACTION_RENEWAL,
                                       ACTION_RELEASE};
    unsigned actions = 0;
    for (;;) {
        PhElectionAction a = PhElection_Next(e, now);
        switch (a.tag) {
        case PH_ELECTION_NOTHING:
            return actions;
        case PH_ELECTION_READ:
            actions |= ACTION_READ;
            break;
        case PH_ELECTION_APPEND:
            actions |= appends[a.as.append.kind];
            break;
        }
    }
}

static void
election_run(const PhElectionCase *c)
{
    PhElection *e =
        PhElection_Create(SELF, (PhStr){0}, DELAY_MS * PH_NS_PER_MS);
    if (c->claims_early) {
        PhElection_EnableEarlyClaims(e);
    }
    for (size_t i = 0; i < STEPS_MAX; i++) {
        const PhElectionStep *s = &c->steps[i];
        if (s->op == STEP_END) {
            break;
        }
        step_apply(e, s);
        unsigned actions = collect_actions(e, s->at_ms * PH_NS_PER_MS);
        print_message("#   step %zu at %lld ms\n", i, (long long)s->at_ms);
        assert_int_equal(actions, s->actions);
        assert_int_equal(PhElection_Fence(e), s->fence);
        assert_int_equal(PhElection_Role(e) == PH_ELECTION_OWNER,
                         s->fence != 0);
    }
    PhElection_Destroy(e);
}

/* Guards against two owners at a time, and against a lost owner that is not
 * replaced. */
static void
test_election(void **state)
{
    (void)state;
    Ph_RUN_TABLE(election_cases, election_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_election)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
