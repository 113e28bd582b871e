#include "peridothill/bench/members_cluster.h"
#include "tests/table.h"

enum {
    MEMBERS = 9,
    DATA_CENTRES = 3,
    ANY = -1,
};

typedef enum PhStepKind {
    STEP_RUN,     /* for `amount` milliseconds */
    STEP_CRASH,   /* member `target` */
    STEP_START,   /* member `target` */
    STEP_LEAVE,   /* member `target` */
    STEP_DRAIN,   /* member `target` */
    STEP_PAUSE,   /* member `target` for `amount` milliseconds */
    STEP_CUT,     /* partitions data centre `target` from all others */
    STEP_HEAL,    /* ends the partition of data centre `target` */
    STEP_SILENCE, /* member 0 and member `target` cannot reach each other */
    STEP_LOSS,    /* `amount` percent on every link */
    STEP_SUSPECT, /* member 0 receives: `target` is suspect */
    STEP_STALE,   /* member 0 receives: `target` is alive, incarnation 0 */
    STEP_INVALID_INCARNATION, /* member 0 receives: `target` is dead, maximum
                                 incarnation */
    STEP_DEAD,                /* member 0 receives: `target` is dead */
} PhStepKind;

typedef struct PhStep {
    PhStepKind kind;
    uint32_t target;
    int amount;
} PhStep;

/* A command of a script and the operands that follow it. */
typedef struct PhStepWord {
    const char *word;
    PhStepKind kind;
    bool has_target;
    bool has_amount;
} PhStepWord;

/* A script and the expected result: pairs of members in each state, the
 * incarnation of member `about`, and reports. */
typedef struct PhClusterCase {
    const char *name;
    const char *script;
    int alive;
    int suspect;
    int dead;
    int left;
    uint32_t about;
    int incarnation;
    int died;
    int returned;
    int paused;
    bool unsuspected; /* no suspicion was ever reported */
} PhClusterCase;

enum {
    PAIRS = MEMBERS * (MEMBERS - 1),
    SEEN_BY_OTHERS = MEMBERS - 1,
    SIDE = MEMBERS / DATA_CENTRES,
    ACROSS = 2 * SIDE * (MEMBERS - SIDE),
};

static const PhClusterCase cluster_cases[] = {
    {"all members are alive", "run 20000", PAIRS, 0, 0, 0, 1, 1, 0, 0, 0},
    {"a crash is detected by all", "crash 4, run 30000",
     PAIRS - 2 * SEEN_BY_OTHERS, 0, SEEN_BY_OTHERS, 0, 1, 1, SEEN_BY_OTHERS, 0,
     0},
    {"a crash is a suspicion first", "crash 4, run 5000", ANY, ANY, 0, 0, 1, 1,
     0, 0, 0},
    {"a restart under the same id returns",
     "crash 4, run 30000, start 4, run 30000", PAIRS, 0, 0, 0, 4, ANY,
     SEEN_BY_OTHERS, SEEN_BY_OTHERS, 0},
    {"a quick restart is not a death", "crash 4, start 4, run 30000", PAIRS, 0,
     0, 0, 4, 2, 0, 0, 0},
    {"a leave is announced and is not a death",
     "leave 4, run 200, crash 4, run 20000", PAIRS - 2 * SEEN_BY_OTHERS, 0, 0,
     SEEN_BY_OTHERS, 1, 1, 0, 0, 0},
    {"draining raises the incarnation", "drain 4, drain 4, run 10000", PAIRS,
     0, 0, 0, 4, 2, 0, 0, 0},
    {"a false suspicion is refuted", "suspect 4, run 20000", PAIRS, 0, 0, 0, 4,
     2, 0, 0, 0},
    {"a false death is refuted", "dead 4, run 20000", PAIRS, 0, 0, 0, 4, 2, 0,
     0, 0},
    {"a stale incarnation changes nothing",
     "crash 4, run 30000, stale 4, run 10000", PAIRS - 2 * SEEN_BY_OTHERS, 0,
     SEEN_BY_OTHERS, 0, 1, 1, SEEN_BY_OTHERS, 0, 0},
    {"an invalid incarnation changes nothing", "invalid 4, run 10000", PAIRS,
     0, 0, 0, 4, 1, 0, 0, 0, true},
    {"one broken link is not a death", "silence 4, run 60000", ANY, ANY, 0, 0,
     1, ANY, 0, 0, 0, true},
    {"a short pause is not a death", "pause 4 300, run 20000", PAIRS, 0, 0, 0,
     1, 1, 0, 0, ANY},
    {"a long pause blames no other member", "pause 4 30000, run 80000", PAIRS,
     0, 0, 0, 4, ANY, SEEN_BY_OTHERS, SEEN_BY_OTHERS, 1},
    {"heavy loss is not a death", "loss 10, run 600000", ANY, ANY, 0, 0, 1,
     ANY, 0, 0, 0},
    {"partitioned sides declare each other dead", "cut 1, run 90000",
     PAIRS - ACROSS, 0, ACROSS, 0, 1, ANY, ACROSS, 0, 0},
    {"partitioned sides rejoin", "cut 1, run 90000, heal 1, run 90000", PAIRS,
     0, 0, 0, 1, ANY, ACROSS, ACROSS, 0},
    {"a short partition is not a death", "cut 1, run 3000, heal 1, run 30000",
     PAIRS, 0, 0, 0, 1, ANY, 0, 0, 0},
};

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

static void
loss_set(PhFakeNet *net, int percent)
{
    for (uint32_t a = 0; a < DATA_CENTRES; a++) {
        for (uint32_t b = 0; b < DATA_CENTRES; b++) {
            PhFakeNet_Link(net, a, b)->loss = percent / 100.0;
        }
    }
}

/* Sends member 0 a record about member `target`. */
static void
record_inject(PhMembersCluster *c, uint32_t target, PhMemberState state,
              uint64_t incarnation)
{
    PhMember record = {.id = PhMembersCluster_Id(c, target),
                       .state = state,
                       .incarnation = incarnation};
    PhMemberMessage updates = {
        .kind = PH_MEMBER_UPDATES, .records = &record, .record_count = 1};
    PhMembershipEvent event = {
        .kind = PH_MEMBERSHIP_MESSAGE,
        .as.message = {PhMembersCluster_Id(c, 1), &updates}};
    PhMembersCluster_Apply(c, 0, &event);
}

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
        PhMembersCluster_Crash(c, s->target);
        return;
    case STEP_START:
        PhMembersCluster_Start(c, s->target);
        return;
    case STEP_LEAVE:
        PhMembersCluster_Apply(c, s->target, &leave);
        return;
    case STEP_DRAIN:
        PhMembersCluster_Apply(c, s->target, &drain);
        return;
    case STEP_PAUSE:
        PhFakeNet_Pause(net, s->target, after);
        return;
    case STEP_CUT:
    case STEP_HEAL:
        cut_set(net, s->target, s->kind == STEP_CUT);
        return;
    case STEP_SILENCE:
        PhFakeNet_SetBlackhole(net, 0, s->target, true);
        PhFakeNet_SetBlackhole(net, s->target, 0, true);
        return;
    case STEP_LOSS:
        loss_set(net, s->amount);
        return;
    case STEP_SUSPECT:
        record_inject(c, s->target, PH_MEMBER_SUSPECT, 1);
        return;
    case STEP_STALE:
        record_inject(c, s->target, PH_MEMBER_ALIVE, 0);
        return;
    case STEP_INVALID_INCARNATION:
        record_inject(c, s->target, PH_MEMBER_DEAD, UINT64_MAX);
        return;
    case STEP_DEAD:
        record_inject(c, s->target, PH_MEMBER_DEAD, 1);
        return;
    }
}

/* Parses a step such as "pause 4 300": command, member, amount. */
static PhStep
step_parse(PhStr text)
{
    static const PhStepWord words[] = {
        {"run", STEP_RUN, false, true},
        {"crash", STEP_CRASH, true, false},
        {"start", STEP_START, true, false},
        {"leave", STEP_LEAVE, true, false},
        {"drain", STEP_DRAIN, true, false},
        {"pause", STEP_PAUSE, true, true},
        {"cut", STEP_CUT, true, false},
        {"heal", STEP_HEAL, true, false},
        {"silence", STEP_SILENCE, true, false},
        {"loss", STEP_LOSS, false, true},
        {"suspect", STEP_SUSPECT, true, false},
        {"stale", STEP_STALE, true, false},
        {"dead", STEP_DEAD, true, false},
        {"invalid", STEP_INVALID_INCARNATION, true, false},
    };
    PhStep s = {0};
    PhStr word;
    uint64_t number = 0;
    PhStr_Cut(PhStr_Trim(text), ' ', &word, &text);
    for (size_t i = 0; i < G_N_ELEMENTS(words); i++) {
        if (!PhStr_Equal(word, PhStr_FromC(words[i].word))) {
            continue;
        }
        s.kind = words[i].kind;
        if (words[i].has_target) {
            PhStr_Cut(text, ' ', &word, &text);
            assert_true(PhStr_ParseU64(word, &number));
            s.target = (uint32_t)number;
        }
        if (words[i].has_amount) {
            assert_true(PhStr_ParseU64(text, &number));
            s.amount = (int)number;
        }
        return s;
    }
    fail_msg("unknown step in script");
    return s;
}

/* Runs a script of steps separated by commas. */
static void
run_script(PhMembersCluster *c, PhStr script)
{
    PhStr text;
    while (!PhStr_IsEmpty(script)) {
        PhStr_Cut(script, ',', &text, &script);
        PhStep s = step_parse(text);
        step(c, &s);
    }
}

static void
expect(const char *what, int expected, uint64_t seen)
{
    if (expected != ANY && (uint64_t)expected != seen) {
        fail_msg("%s: expected %d, got %d", what, expected, (int)seen);
    }
}

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
    run_script(cluster, PhStr_FromC(c->script));
    PhMembersClusterCounts counts = PhMembersCluster_Counts(cluster);
    expect("alive", c->alive,
           PhMembersCluster_CountPairs(cluster, PH_MEMBER_ALIVE));
    expect("suspect", c->suspect,
           PhMembersCluster_CountPairs(cluster, PH_MEMBER_SUSPECT));
    expect("dead", c->dead,
           PhMembersCluster_CountPairs(cluster, PH_MEMBER_DEAD));
    expect("left", c->left,
           PhMembersCluster_CountPairs(cluster, PH_MEMBER_LEFT));
    expect("incarnation", c->incarnation,
           PhMembership_Incarnation(
               PhMembersCluster_Membership(cluster, c->about)));
    expect("died", c->died, counts.reports[PH_MEMBERSHIP_DIED]);
    expect("returned", c->returned, counts.reports[PH_MEMBERSHIP_RETURNED]);
    expect("suspected", c->unsuspected ? 0 : ANY,
           counts.reports[PH_MEMBERSHIP_SUSPECTED]);
    expect("paused", c->paused, counts.reports[PH_MEMBERSHIP_PAUSED]);
    PhMembersCluster_Destroy(cluster);
}

/* Guards against false deaths, missed deaths and members that do not return,
 * under each kind of failure. */
static void
test_cluster(void **state)
{
    (void)state;
    Ph_RUN_TABLE(cluster_cases, check_cluster);
}

/* Which links are cut, and which groups member 0 of data centre 0 reaches
 * afterwards. */
typedef struct PhReachabilityCase {
    const char *name;
    bool late;       /* all but one member of data centre 1 start half-way */
    bool local_cut;  /* member 0 reaches no member of its data centre */
    bool remote_cut; /* data centre 0 reaches no other data centre */
    bool platform;   /* the platform answers once a second */
    int after_s;
    PhMembershipReachability expected;
} PhReachabilityCase;

static const PhReachabilityCase reachability_cases[] = {
    {"all reachable", false, false, false, true, 60, {true, true, true}},
    {"own data centre lost",
     false,
     true,
     false,
     true,
     60,
     {false, true, true}},
    {"other data centres lost",
     false,
     false,
     true,
     true,
     60,
     {true, false, true}},
    {"platform lost", false, false, false, false, 60, {true, true, false}},
    {"another data centre starts late",
     true,
     false,
     false,
     true,
     60,
     {true, true, true}},
    {"alone", false, true, true, false, 60, {false, false, false}},
    {"not yet", false, true, true, false, 5, {true, true, true}},
};

static void
check_reachability(const PhReachabilityCase *c)
{
    PhMembersCluster *cluster = PhMembersCluster_Create(
        &(PhMembersClusterOptions){.seed = 3,
                                   .members = MEMBERS,
                                   .data_centres = DATA_CENTRES,
                                   .regions = 2});
    PhFakeNet *net = PhMembersCluster_Net(cluster);
    PhMembershipEvent platform_answered = {
        .kind = PH_MEMBERSHIP_PLATFORM_ANSWERED};
    for (uint32_t i = 0; i < MEMBERS; i++) {
        if (!c->late || i == 1 || i % DATA_CENTRES != 1) {
            PhMembersCluster_Start(cluster, i);
        }
    }
    PhMembersCluster_Run(cluster, 5 * PH_NS_PER_S);
    cut_set(net, 0, c->remote_cut);
    for (uint32_t i = DATA_CENTRES; i < MEMBERS; i += DATA_CENTRES) {
        PhFakeNet_SetBlackhole(net, 0, i, c->local_cut);
        PhFakeNet_SetBlackhole(net, i, 0, c->local_cut);
    }
    for (int s = 0; s < c->after_s; s++) {
        if (c->late && s == c->after_s / 2) {
            PhMembersCluster_Start(cluster, 1 + DATA_CENTRES);
            PhMembersCluster_Start(cluster, 1 + 2 * DATA_CENTRES);
        }
        if (c->platform) {
            PhMembersCluster_Apply(cluster, 0, &platform_answered);
        }
        PhMembersCluster_Run(cluster, PhFakeNet_Now(net) + PH_NS_PER_S);
    }
    PhMembershipReachability seen =
        PhMembership_Reachability(PhMembersCluster_Membership(cluster, 0));
    PhMembersClusterCounts counts = PhMembersCluster_Counts(cluster);
    assert_int_equal(seen.own_data_centre, c->expected.own_data_centre);
    assert_int_equal(counts.reports[PH_MEMBERSHIP_OWN_DATA_CENTRE_LOST] > 0,
                     !c->expected.own_data_centre);
    assert_int_equal(seen.other_data_centres, c->expected.other_data_centres);
    assert_int_equal(seen.platform, c->expected.platform);
    PhMembersCluster_Destroy(cluster);
}

/* Guards against a lost group that goes unnoticed or is taken for another. */
static void
test_reachability(void **state)
{
    (void)state;
    Ph_RUN_TABLE(reachability_cases, check_reachability);
}

/* Random failures. Members start with full knowledge of each other if `full`,
 * else with one seed address. */
typedef struct PhRandomCase {
    const char *name;
    uint64_t seed;
    uint32_t members;
    int failures;
    bool full;
} PhRandomCase;

static const PhRandomCase random_cases[] = {
    {"from one seed, no failure", 1, 56, 0, false},
    {"seed 1", 1, 21, 300, true},
    {"seed 2", 2, 21, 300, false},
    {"seed 3", 3, 21, 300, true},
    {"seed 4", 4, 8, 300, false},
    {"seed 5", 5, 40, 200, true},
};

/* Injects one random failure or repair. */
static void
fail_once(PhMembersCluster *c, const PhRandomCase *row, PhRandom *random)
{
    static const PhStepKind kinds[] = {
        STEP_CRASH, STEP_START, STEP_START, STEP_LEAVE, STEP_DRAIN, STEP_PAUSE,
        STEP_CUT,   STEP_HEAL,  STEP_HEAL,  STEP_LOSS,  STEP_RUN,   STEP_RUN,
    };
    PhStep s = {
        .kind = kinds[PhRandom_Below(random, G_N_ELEMENTS(kinds))],
        .target = (uint32_t)PhRandom_Below(random, row->members),
        .amount = (int)PhRandom_Below(random, 20000),
    };
    if (s.kind == STEP_CUT || s.kind == STEP_HEAL) {
        s.target %= DATA_CENTRES;
    }
    if (s.kind == STEP_LOSS) {
        s.amount %= 10;
    }
    step(c, &s);
    PhMembersCluster_Run(c,
                         PhFakeNet_Now(PhMembersCluster_Net(c)) + PH_NS_PER_S);
}

/* All members must see each other alive once everything is repaired. */
static void
check_random(const PhRandomCase *c)
{
    PhMembersCluster *cluster = PhMembersCluster_Create(
        &(PhMembersClusterOptions){.seed = c->seed,
                                   .members = c->members,
                                   .data_centres = DATA_CENTRES,
                                   .regions = 2,
                                   .loss = 0.02});
    PhRandom *random = PhRandom_Create(c->seed);
    PhFakeNet *net = PhMembersCluster_Net(cluster);
    if (c->full) {
        PhMembersCluster_StartAll(cluster);
    }
    for (int i = 0; i < c->failures; i++) {
        fail_once(cluster, c, random);
    }
    loss_set(net, 2);
    for (uint32_t dc = 0; dc < DATA_CENTRES; dc++) {
        cut_set(net, dc, false);
    }
    for (uint32_t i = 0; i < c->members; i++) {
        const PhMembership *m = PhMembersCluster_Membership(cluster, i);
        PhStr id = PhMembersCluster_Id(cluster, i);
        PhFakeNet_Pause(net, i, 0);
        if (m == NULL || PhMembership_State(m, id) == PH_MEMBER_LEFT) {
            PhMembersCluster_Crash(cluster, i);
            PhMembersCluster_Start(cluster, i);
        }
    }
    PhMembersCluster_Run(cluster, PhFakeNet_Now(net) + 180 * PH_NS_PER_S);
    assert_int_equal(
        PhMembersCluster_CountPairs(cluster, PH_MEMBER_ALIVE) +
            PhMembersCluster_CountPairs(cluster, PH_MEMBER_SUSPECT),
        c->members * (c->members - 1));
    assert_int_equal(PhMembersCluster_CountPairs(cluster, PH_MEMBER_DEAD), 0);
    PhRandom_Destroy(random);
    PhMembersCluster_Destroy(cluster);
}

/* Guards against views that do not converge, and broken invariants, under
 * random failures. */
static void
test_random(void **state)
{
    (void)state;
    Ph_RUN_TABLE(random_cases, check_random);
}

/* Number of members suspected at once, and of pings sent at once. */
typedef struct PhManyCase {
    const char *name;
    guint suspects;
    int pinged;
} PhManyCase;

static const PhManyCase many_cases[] = {
    {"one", 1, 1},
    {"as many as the limit per interval", 16, 16},
    {"many more", 100, 16},
};

/* Records when suspects were pinged, and checks that each dead member was
 * pinged at least a second before. Returns the number of pings. */
static int
pings_check(const GArray *actions, GHashTable *pinged, PhTime now, int *dead)
{
    int count = 0;
    for (guint i = 0; i < actions->len; i++) {
        const PhMembershipAction *a =
            &g_array_index(actions, PhMembershipAction, i);
        if (a->kind == PH_MEMBERSHIP_REPORT &&
            a->as.report.what == PH_MEMBERSHIP_DIED) {
            PhTime *at = g_hash_table_lookup(pinged, &a->as.report.member);
            assert_non_null(at);
            assert_true(now - *at >= PH_NS_PER_S);
            (*dead)++;
        }
        if (a->kind == PH_MEMBERSHIP_SEND &&
            a->as.send.message.kind == PH_MEMBER_PING) {
            assert_int_equal(a->as.send.message.record_count, 1);
            if (!g_hash_table_contains(pinged, &a->as.send.member)) {
                g_hash_table_insert(pinged, PhStr_KeyCreate(a->as.send.member),
                                    g_memdup2(&now, sizeof(now)));
            }
            count++;
        }
    }
    return count;
}

static void
check_many(const PhManyCase *c)
{
    PhMembership *m = PhMembership_Create(
        &(PhMembershipOptions){.id = PhStr_LITERAL("self"),
                               .times = PhMembershipTimes_Default()},
        0);
    GArray *actions = PhMembershipActions_Create();
    GHashTable *pinged = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                               PhStr_KeyDestroy, g_free);
    PhMember *records = g_new0(PhMember, c->suspects);
    char(*ids)[8] = g_malloc0_n(c->suspects, sizeof(*ids));
    PhMembershipEvent event = {.kind = PH_MEMBERSHIP_TIMER};
    PhMemberMessage updates = {.kind = PH_MEMBER_UPDATES,
                               .records = records,
                               .record_count = c->suspects};
    int dead = 0;
    for (guint i = 0; i < c->suspects; i++) {
        g_snprintf(ids[i], sizeof(ids[i]), "m%u", i);
        records[i].id = PhStr_FromC(ids[i]);
        records[i].state = PH_MEMBER_SUSPECT;
    }
    PhMembership_Apply(m, &event, 0, actions);
    g_array_set_size(actions, 0);
    PhMembership_Apply(
        m,
        &(PhMembershipEvent){.kind = PH_MEMBERSHIP_MESSAGE,
                             .as.message = {PhStr_LITERAL("self"), &updates}},
        0, actions);
    assert_int_equal(pings_check(actions, pinged, 0, &dead), c->pinged);
    for (PhTime now = 0; now < 30 * PH_NS_PER_S; now += PH_NS_PER_S / 10) {
        g_array_set_size(actions, 0);
        PhMembership_Apply(m, &event, now, actions);
        pings_check(actions, pinged, now, &dead);
    }
    assert_int_equal(dead, c->suspects);
    g_hash_table_destroy(pinged);
    g_array_free(actions, TRUE);
    g_free(records);
    g_free(ids);
    PhMembership_Destroy(m);
}

/* Guards against members declared dead without having been pinged, and against
 * bursts of pings. */
static void
test_many(void **state)
{
    (void)state;
    Ph_RUN_TABLE(many_cases, check_many);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cluster),
        cmocka_unit_test(test_reachability),
        cmocka_unit_test(test_random),
        cmocka_unit_test(test_many),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
