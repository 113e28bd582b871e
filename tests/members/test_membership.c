#include "peridothill/bench/members_cluster.h"
#include "tests/table.h"

enum {
    MEMBERS = 9,
    DATA_CENTRES = 3,
    ANY = -1,
};

/* What happens to a running cluster. */
typedef enum PhStepKind {
    STEP_RUN,     /* for `amount` milliseconds */
    STEP_CRASH,   /* of member `who` */
    STEP_START,   /* of member `who` */
    STEP_LEAVE,   /* of member `who` */
    STEP_DRAIN,   /* of member `who` */
    STEP_PAUSE,   /* of member `who` for `amount` milliseconds */
    STEP_CUT,     /* between data centre `who` and all others */
    STEP_HEAL,    /* the cut of data centre `who` */
    STEP_DEAF,    /* member 0 and member `who` do not hear each other */
    STEP_LOSS,    /* of `amount` percent on every link */
    STEP_SUSPECT, /* member 0 is told that `who` is suspect */
    STEP_STALE,   /* member 0 is told that `who` lives, incarnation 0 */
    STEP_DEAD,    /* member 0 is told that `who` is dead */
} PhStepKind;

typedef struct PhStep {
    PhStepKind kind;
    uint32_t who;
    int amount;
} PhStep;

/* A table row: steps, then what is seen: pairs in each state, the incarnation
 * of the member `about`, and reports. */
typedef struct PhClusterCase {
    const char *name;
    PhStep steps[8];
    int alive;
    int suspect;
    int dead;
    int left;
    uint32_t about;
    int incarnation;
    int died;
    int returned;
    int paused;
} PhClusterCase;

enum {
    PAIRS = MEMBERS * (MEMBERS - 1),
    SEEN_BY_OTHERS = MEMBERS - 1,
    SIDE = MEMBERS / DATA_CENTRES,
    ACROSS = 2 * SIDE * (MEMBERS - SIDE),
};

static const PhClusterCase cluster_cases[] = {
    {"all are seen", {{STEP_RUN, 0, 20000}}, PAIRS, 0, 0, 0, 1, 1, 0, 0, 0},
    {"a crash is found by all",
     {{STEP_CRASH, 4}, {STEP_RUN, 0, 30000}},
     PAIRS - 2 * SEEN_BY_OTHERS,
     0,
     SEEN_BY_OTHERS,
     0,
     1,
     1,
     SEEN_BY_OTHERS,
     0,
     0},
    {"a crash is a suspicion first",
     {{STEP_CRASH, 4}, {STEP_RUN, 0, 5000}},
     ANY,
     ANY,
     0,
     0,
     1,
     1,
     0,
     0,
     0},
    {"a restart under the same id returns",
     {{STEP_CRASH, 4},
      {STEP_RUN, 0, 30000},
      {STEP_START, 4},
      {STEP_RUN, 0, 30000}},
     PAIRS,
     0,
     0,
     0,
     4,
     ANY,
     SEEN_BY_OTHERS,
     SEEN_BY_OTHERS,
     0},
    {"a quick restart is no death",
     {{STEP_CRASH, 4}, {STEP_START, 4}, {STEP_RUN, 0, 30000}},
     PAIRS,
     0,
     0,
     0,
     4,
     2,
     0,
     0,
     0},
    {"a leave is announced and no death",
     {{STEP_LEAVE, 4},
      {STEP_RUN, 0, 200},
      {STEP_CRASH, 4},
      {STEP_RUN, 0, 20000}},
     PAIRS - 2 * SEEN_BY_OTHERS,
     0,
     0,
     SEEN_BY_OTHERS,
     1,
     1,
     0,
     0,
     0},
    {"draining raises the incarnation",
     {{STEP_DRAIN, 4}, {STEP_DRAIN, 4}, {STEP_RUN, 0, 10000}},
     PAIRS,
     0,
     0,
     0,
     4,
     2,
     0,
     0,
     0},
    {"a false suspicion is refuted",
     {{STEP_SUSPECT, 4}, {STEP_RUN, 0, 20000}},
     PAIRS,
     0,
     0,
     0,
     4,
     2,
     0,
     0,
     0},
    {"a false death is refuted",
     {{STEP_DEAD, 4}, {STEP_RUN, 0, 20000}},
     PAIRS,
     0,
     0,
     0,
     4,
     2,
     0,
     0,
     0},
    {"a stale incarnation changes nothing",
     {{STEP_CRASH, 4},
      {STEP_RUN, 0, 30000},
      {STEP_STALE, 4},
      {STEP_RUN, 0, 10000}},
     PAIRS - 2 * SEEN_BY_OTHERS,
     0,
     SEEN_BY_OTHERS,
     0,
     1,
     1,
     SEEN_BY_OTHERS,
     0,
     0},
    {"one broken pair is no death",
     {{STEP_DEAF, 4}, {STEP_RUN, 0, 60000}},
     ANY,
     ANY,
     0,
     0,
     1,
     ANY,
     0,
     0,
     0},
    {"a short pause is no death",
     {{STEP_PAUSE, 4, 300}, {STEP_RUN, 0, 20000}},
     PAIRS,
     0,
     0,
     0,
     1,
     1,
     0,
     0,
     ANY},
    {"a long pause blames nobody else",
     {{STEP_PAUSE, 4, 30000}, {STEP_RUN, 0, 80000}},
     PAIRS,
     0,
     0,
     0,
     4,
     ANY,
     SEEN_BY_OTHERS,
     SEEN_BY_OTHERS,
     1},
    {"heavy loss is no death",
     {{STEP_LOSS, 0, 10}, {STEP_RUN, 0, 600000}},
     ANY,
     ANY,
     0,
     0,
     1,
     ANY,
     0,
     0,
     0},
    {"two halves take each other for dead",
     {{STEP_CUT, 1}, {STEP_RUN, 0, 90000}},
     PAIRS - ACROSS,
     0,
     ACROSS,
     0,
     1,
     ANY,
     ACROSS,
     0,
     0},
    {"two halves heal",
     {{STEP_CUT, 1},
      {STEP_RUN, 0, 90000},
      {STEP_HEAL, 1},
      {STEP_RUN, 0, 90000}},
     PAIRS,
     0,
     0,
     0,
     1,
     ANY,
     ACROSS,
     ACROSS,
     0},
    {"a short cut is no death",
     {{STEP_CUT, 1},
      {STEP_RUN, 0, 3000},
      {STEP_HEAL, 1},
      {STEP_RUN, 0, 30000}},
     PAIRS,
     0,
     0,
     0,
     1,
     ANY,
     0,
     0,
     0},
};

/* Cuts or heals one data centre in both directions. */
static void
cut_set(PhFakeNet *net, uint32_t dc, bool cut)
{
    for (uint32_t other = 0; other < DATA_CENTRES; other++) {
        if (other != dc) {
            PhFakeNet_Link(net, dc, other)->cut = cut;
            PhFakeNet_Link(net, other, dc)->cut = cut;
        }
    }
}

/* Sets the loss of every link. */
static void
loss_set(PhFakeNet *net, int percent)
{
    for (uint32_t a = 0; a < DATA_CENTRES; a++) {
        for (uint32_t b = 0; b < DATA_CENTRES; b++) {
            PhFakeNet_Link(net, a, b)->loss = percent / 100.0;
        }
    }
}

/* Tells member 0 something of another one. */
static void
tell(PhMembersCluster *c, uint32_t who, PhMemberState state,
     uint64_t incarnation)
{
    PhMember record = {.id = PhMembersCluster_Id(c, who),
                       .state = state,
                       .incarnation = incarnation};
    PhMemberMessage news = {
        .kind = PH_MEMBER_NEWS, .records = &record, .record_count = 1};
    PhMembershipEvent event = {
        .kind = PH_MEMBERSHIP_MESSAGE,
        .as.message = {PhMembersCluster_Id(c, 1), &news}};
    PhMembersCluster_Apply(c, 0, &event);
}

/* Takes one step. */
static void
step(PhMembersCluster *c, const PhStep *s)
{
    PhFakeNet *net = PhMembersCluster_Net(c);
    PhTime after = PhFakeNet_Now(net) + s->amount * PH_NS_PER_MS;
    PhMembershipEvent leave = {.kind = PH_MEMBERSHIP_LEAVE};
    PhMembershipEvent drain = {.kind = PH_MEMBERSHIP_DRAIN};
    switch (s->kind) {
    case STEP_RUN:
        PhMembersCluster_Run(c, after);
        return;
    case STEP_CRASH:
        PhMembersCluster_Crash(c, s->who);
        return;
    case STEP_START:
        PhMembersCluster_Start(c, s->who);
        return;
    case STEP_LEAVE:
        PhMembersCluster_Apply(c, s->who, &leave);
        return;
    case STEP_DRAIN:
        PhMembersCluster_Apply(c, s->who, &drain);
        return;
    case STEP_PAUSE:
        PhFakeNet_Pause(net, s->who, after);
        return;
    case STEP_CUT:
    case STEP_HEAL:
        cut_set(net, s->who, s->kind == STEP_CUT);
        return;
    case STEP_DEAF:
        PhFakeNet_Silence(net, 0, s->who, true);
        PhFakeNet_Silence(net, s->who, 0, true);
        return;
    case STEP_LOSS:
        loss_set(net, s->amount);
        return;
    case STEP_SUSPECT:
        tell(c, s->who, PH_MEMBER_SUSPECT, 1);
        return;
    case STEP_STALE:
        tell(c, s->who, PH_MEMBER_ALIVE, 0);
        return;
    case STEP_DEAD:
        tell(c, s->who, PH_MEMBER_DEAD, 1);
        return;
    }
}

/* Compares a count unless the case leaves it open. */
static void
expect(const char *what, int expected, uint64_t seen)
{
    if (expected != ANY && (uint64_t)expected != seen) {
        fail_msg("%s: %d expected, %d seen", what, expected, (int)seen);
    }
}

/* Runs one case after all members know each other. */
static void
check_cluster(const PhClusterCase *c)
{
    PhMembersCluster *cluster = PhMembersCluster_Create(
        &(PhMembersClusterOptions){.seed = 7,
                                   .members = MEMBERS,
                                   .data_centres = DATA_CENTRES,
                                   .regions = 2,
                                   .encode = true});
    PhMembersCluster_StartAll(cluster);
    PhMembersCluster_Run(cluster, 3 * PH_NS_PER_S);
    for (size_t i = 0; i < G_N_ELEMENTS(c->steps); i++) {
        step(cluster, &c->steps[i]);
    }
    PhMembersClusterCounts counts = PhMembersCluster_Counts(cluster);
    expect("alive", c->alive, PhMembersCluster_Seen(cluster, PH_MEMBER_ALIVE));
    expect("suspect", c->suspect,
           PhMembersCluster_Seen(cluster, PH_MEMBER_SUSPECT));
    expect("dead", c->dead, PhMembersCluster_Seen(cluster, PH_MEMBER_DEAD));
    expect("left", c->left, PhMembersCluster_Seen(cluster, PH_MEMBER_LEFT));
    expect("incarnation", c->incarnation,
           PhMembership_Incarnation(PhMembersCluster_Get(cluster, c->about)));
    expect("died", c->died, counts.reports[PH_MEMBERSHIP_DIED]);
    expect("returned", c->returned, counts.reports[PH_MEMBERSHIP_RETURNED]);
    expect("paused", c->paused, counts.reports[PH_MEMBERSHIP_PAUSED]);
    PhMembersCluster_Destroy(cluster);
}

/* Crashes, leaves, refutations, pauses, loss and partitions. */
static void
test_cluster(void **state)
{
    (void)state;
    Ph_RUN_TABLE(cluster_cases, check_cluster);
}

/* Runs the tests of membership. */
int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cluster),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
