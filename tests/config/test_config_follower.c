/* Drives one follower with single events. */
#include "peridothill/decide/config/config_follower.h"

#include <string.h>

#include "peridothill/common/invariant.h"
#include "tests/table.h"

enum {
    STEPS = 12,
    PEERS_MAX = 24,
    TRACE_BYTES = 64,
    RETENTION_S = 1000,
};

typedef enum PhStepKind {
    STEP_END,
    STEP_TIME,      /* a: milliseconds; runs the ticks that are due */
    STEP_MEMBERS,   /* a: local peers, b: remote ones */
    STEP_RECORDS,   /* a: end of the log, b: records returned */
    STEP_EXPIRED,   /* a: first retained offset */
    STEP_FAILED,    /* read of the log fails */
    STEP_SNAPSHOTS, /* a: `covers` of the latest, 0: none */
    STEP_HELLO,     /* a: next of peer b, same content */
    STEP_HELLO_OTHER_CONTENT, /* a: next of peer b, other content */
    STEP_FETCH,               /* a: from */
    STEP_PUSH,                /* a: first offset, b: count */
    STEP_STATE,               /* a: `covers` */
    STEP_STATE_OLD_VERSION,   /* a: `covers`, at version 1 */
    STEP_STATE_OTHER_CONTENT, /* a: `covers`, other content */
    STEP_STATE_OTHER_PATCHES, /* a: `covers`, from other patches */
} PhStepKind;

/* A step and the expected actions, one letter each: r reads the log, s reads
 * snapshots, w writes one, h hello, f fetch, p push, t state, d decided, i in
 * force, and a digit for a note. */
typedef struct PhStep {
    PhStepKind kind;
    uint64_t a;
    uint64_t b;
    const char *actions;
} PhStep;

/* Steps and the version in force after them. */
typedef struct PhFollowerCase {
    const char *name;
    PhStep steps[STEPS];
    uint64_t version;
} PhFollowerCase;

/* A start without peers, from a log with five records. */
#define START                                                                 \
    {STEP_TIME, 700, 0, "s"}, {STEP_SNAPSHOTS, 0, 0, "r"},                    \
    {                                                                         \
        STEP_RECORDS, 5, 5, "dddddi"                                          \
    }

static const PhFollowerCase follower_cases[] = {
    {"start from the log", {START}, 5},
    {"log ends before the applied offset",
     {START, {STEP_RECORDS, 3, 0, "0"}},
     5},
    {"nothing in force before the end of the log",
     {{STEP_TIME, 700, 0, "s"},
      {STEP_SNAPSHOTS, 0, 0, "r"},
      {STEP_RECORDS, 9, 5, "dddddr"},
      {STEP_RECORDS, 9, 4, "ddddi"}},
     9},
    {"gap without a snapshot",
     {START, {STEP_EXPIRED, 8, 0, "s"}, {STEP_SNAPSHOTS, 0, 0, "1w"}},
     5},
    {"gap with a snapshot",
     {START, {STEP_EXPIRED, 8, 0, "s"}, {STEP_SNAPSHOTS, 9, 0, "ddddi2r"}},
     9},
    {"snapshot that does not cover the gap",
     {START, {STEP_EXPIRED, 8, 0, "s"}, {STEP_SNAPSHOTS, 4, 0, "1"}},
     5},
    {"state of a lower version",
     {START, {STEP_STATE_OLD_VERSION, 9, 0, "5"}},
     5},
    {"state with other content",
     {START,
      {STEP_STATE_OTHER_CONTENT, 5, 0, ""},
      {STEP_STATE_OTHER_CONTENT, 6, 0, "5"}},
     5},
    {"state that lacks an accepted patch",
     {START, {STEP_STATE_OTHER_PATCHES, 9, 0, "5"}},
     5},
    {"state that is a successor", {START, {STEP_STATE, 7, 0, "ddi3"}}, 7},
    {"push with a gap, with known records, and with the rest",
     {START,
      {STEP_MEMBERS, 1, 0, ""},
      {STEP_PUSH, 6, 1, "f"},
      {STEP_PUSH, 3, 2, "f"},
      {STEP_PUSH, 5, 2, "ddi"}},
     7},
    {"push is forwarded to the children",
     {START, {STEP_MEMBERS, 10, 0, ""}, {STEP_PUSH, 5, 1, "dippppppp"}},
     6},
    {"recovery from the most advanced peer",
     {{STEP_MEMBERS, 2, 0, ""},
      {STEP_TIME, 450, 0, "hhh"},
      {STEP_HELLO, 3, 0, ""},
      {STEP_HELLO, 6, 1, ""},
      {STEP_TIME, 200, 0, "f"},
      {STEP_STATE, 6, 1, "dddddd3i"}},
     6},
    {"peer that does not answer a fetch",
     {START,
      {STEP_MEMBERS, 2, 0, ""},
      {STEP_HELLO, 7, 0, "f"},
      {STEP_HELLO, 6, 1, ""}},
     5},
    {"hello of a peer that lags", {START, {STEP_HELLO, 3, 0, "h"}}, 5},
    {"hello of a peer with the same content",
     {START, {STEP_MEMBERS, 1, 0, ""}, {STEP_HELLO, 5, 0, ""}},
     5},
    {"hello of a peer with other content",
     {START, {STEP_MEMBERS, 3, 0, ""}, {STEP_HELLO_OTHER_CONTENT, 5, 0, "4"}},
     5},
    {"fetch of recent records", {START, {STEP_FETCH, 2, 0, "p"}}, 5},
    {"fetch of records that do not exist",
     {START, {STEP_FETCH, 5, 0, "h"}},
     5},
    {"states sent per second are limited",
     {START,
      {STEP_STATE, 7, 0, "ddi3"},
      {STEP_FETCH, 0, 0, "t"},
      {STEP_FETCH, 0, 0, "t"},
      {STEP_FETCH, 0, 0, "t"},
      {STEP_FETCH, 0, 0, "t"},
      {STEP_FETCH, 0, 0, "6"}},
     7},
};

/* A follower, its clock, and the actions of the last step. */
typedef struct PhFollowerFixture {
    PhRandom *random;
    PhConfigFollower *follower;
    PhTime now;
    char trace[TRACE_BYTES];
    uint64_t in_force;
} PhFollowerFixture;

/* The record at an offset; each sets the share of a team of its own. */
static PhConfigRecord *
record_make(uint64_t offset, const char *value)
{
    char id[24];
    char path[24];
    g_snprintf(id, sizeof(id), "%c%u", *value == '3' ? 'q' : 'p',
               (unsigned)offset);
    g_snprintf(path, sizeof(path), "teams.t%u.share", (unsigned)offset);
    PhConfigPatch patch = {.id = PhStr_Dup(PhStr_FromC(id)), .base = offset};
    PhConfigPatch_Add(&patch, PH_CONFIG_CHANGE_SET, PhStr_FromC(path),
                      PhStr_FromC(value));
    return PhConfigRecord_Create(offset, 0, &patch);
}

/* A snapshot after `count` records. */
static PhConfigSnapshot *
snapshot_make(uint64_t count, const char *value)
{
    PhConfigLedger *l = PhConfigLedger_Create();
    for (uint64_t i = 0; i < count; i++) {
        PhConfigRecord *record = record_make(i, value);
        PhConfigLedger_Apply(l, record);
        PhConfigRecord_Unref(record);
    }
    PhConfigSnapshot *snapshot = PhConfigLedger_Snapshot(l);
    PhConfigLedger_Destroy(l);
    return snapshot;
}

/* Handles an event and appends the actions to the trace. */
static void
follower_handle(PhFollowerFixture *f, const PhConfigEvent *event)
{
    static const char letters[] = "rswhfptdi";
    GArray *actions = PhConfigActions_Create();
    PhConfigFollower_Handle(f->follower, f->now, event, actions);
    for (guint i = 0; i < actions->len; i++) {
        const PhConfigAction *a = &g_array_index(actions, PhConfigAction, i);
        size_t len = strlen(f->trace);
        assert_true(len < TRACE_BYTES - 1);
        f->trace[len] = a->kind == PH_CONFIG_ACTION_NOTE
                            ? (char)('0' + a->as.note)
                            : letters[a->kind];
        if (a->kind == PH_CONFIG_ACTION_IN_FORCE) {
            uint64_t version = PhConfigState_Version(a->as.in_force);
            assert_true(version >= f->in_force);
            f->in_force = version;
        }
    }
    g_array_free(actions, TRUE);
}

/* Delivers records in `event`, as read from the log or pushed by a peer. */
static void
handle_records(PhFollowerFixture *f, PhConfigEvent *event, uint64_t first,
               uint64_t count)
{
    PhConfigRecord *records[PEERS_MAX];
    for (uint64_t i = 0; i < count; i++) {
        records[i] = record_make(first + i, "1");
    }
    if (event->kind == PH_CONFIG_EVENT_RECORDS) {
        event->as.records.records = records;
        event->as.records.count = count;
    }
    else {
        event->as.push.records = records;
        event->as.push.count = count;
    }
    follower_handle(f, event);
    for (uint64_t i = 0; i < count; i++) {
        PhConfigRecord_Unref(records[i]);
    }
}

/* Delivers a list of peers: a0, a1 and so on are local, b0, b1 remote. */
static void
handle_members(PhFollowerFixture *f, uint64_t local, uint64_t remote)
{
    char names[PEERS_MAX][8];
    PhConfigPeer peers[PEERS_MAX];
    for (uint64_t i = 0; i < local + remote; i++) {
        g_snprintf(names[i], sizeof(names[i]), "%c%u", i < local ? 'a' : 'b',
                   (unsigned)(i < local ? i : i - local));
        peers[i] = (PhConfigPeer){.member = PhStr_FromC(names[i]),
                                  .local = i < local};
    }
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_MEMBERS,
                           .as.members = {.self = PhStr_LITERAL("a"),
                                          .peers = peers,
                                          .count = local + remote}};
    follower_handle(f, &event);
}

/* Delivers a hello of a peer that holds `step->a` records. */
static void
handle_hello(PhFollowerFixture *f, const PhStep *step)
{
    char name[] = {'a', (char)('0' + step->b), '\0'};
    PhConfigSnapshot *s = snapshot_make(
        step->a, step->kind == STEP_HELLO_OTHER_CONTENT ? "2" : "1");
    PhConfigEvent event = {
        .kind = PH_CONFIG_EVENT_HELLO,
        .member = PhStr_FromC(name),
        .as.hello = {.next = step->a,
                     .version = PhConfigState_Version(s->state),
                     .digest = PhConfigState_Digest(s->state),
                     .confirmed_ms_ago = 5}};
    follower_handle(f, &event);
    PhConfigSnapshot_Unref(s);
}

static void
handle_state(PhFollowerFixture *f, const PhStep *step)
{
    bool other_content = step->kind == STEP_STATE_OTHER_CONTENT;
    uint64_t count = step->kind == STEP_STATE_OLD_VERSION ? 1
                     : other_content                      ? 5
                                                          : step->a;
    bool other_patches = step->kind == STEP_STATE_OTHER_PATCHES;
    PhConfigSnapshot *s = snapshot_make(count, other_content   ? "2"
                                               : other_patches ? "3"
                                                               : "1");
    s->covers = step->a;
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_STATE,
                           .member = PhStr_LITERAL("a1"),
                           .as.state = s};
    follower_handle(f, &event);
    PhConfigSnapshot_Unref(s);
}

static void
handle_snapshots(PhFollowerFixture *f, uint64_t covers)
{
    PhConfigSnapshot *s = covers == 0 ? NULL : snapshot_make(covers, "1");
    PhConfigEvent event = {
        .kind = PH_CONFIG_EVENT_SNAPSHOTS,
        .as.snapshots = {.end = covers > 0, .read = covers > 0, .latest = s}};
    follower_handle(f, &event);
    PhConfigSnapshot_Unref(s);
}

/* Advances the clock and runs the ticks that are due. */
static void
time_advance(PhFollowerFixture *f, uint64_t ms)
{
    PhTime until = f->now + (PhTime)ms * PH_NS_PER_MS;
    PhConfigEvent tick = {.kind = PH_CONFIG_EVENT_TICK};
    while (PhConfigFollower_NextTick(f->follower) <= until) {
        f->now = MAX(f->now, PhConfigFollower_NextTick(f->follower));
        follower_handle(f, &tick);
    }
    f->now = until;
}

static void
step_run(PhFollowerFixture *f, const PhStep *step)
{
    PhConfigEvent event = {.member = PhStr_LITERAL("a0")};
    switch (step->kind) {
    case STEP_END:
        break;
    case STEP_TIME:
        time_advance(f, step->a);
        break;
    case STEP_MEMBERS:
        handle_members(f, step->a, step->b);
        break;
    case STEP_RECORDS:
        event.kind = PH_CONFIG_EVENT_RECORDS;
        event.as.records.end = step->a;
        handle_records(
            f, &event,
            PhConfigLedger_Next(PhConfigFollower_Ledger(f->follower)),
            step->b);
        break;
    case STEP_EXPIRED:
    case STEP_FAILED:
        event.kind = PH_CONFIG_EVENT_RECORDS;
        event.as.records.status = step->kind == STEP_EXPIRED
                                      ? PH_STATUS_EXPIRED
                                      : PH_STATUS_UNAVAILABLE;
        event.as.records.first = step->a;
        handle_records(f, &event, 0, 0);
        break;
    case STEP_SNAPSHOTS:
        handle_snapshots(f, step->a);
        break;
    case STEP_HELLO:
    case STEP_HELLO_OTHER_CONTENT:
        handle_hello(f, step);
        break;
    case STEP_FETCH:
        event.kind = PH_CONFIG_EVENT_FETCH;
        event.as.fetch = step->a;
        follower_handle(f, &event);
        break;
    case STEP_PUSH:
        event.kind = PH_CONFIG_EVENT_PUSH;
        handle_records(f, &event, step->a, step->b);
        break;
    case STEP_STATE:
    case STEP_STATE_OLD_VERSION:
    case STEP_STATE_OTHER_CONTENT:
    case STEP_STATE_OTHER_PATCHES:
        handle_state(f, step);
        break;
    }
}

static void
check_follower(const PhFollowerCase *c)
{
    PhFollowerFixture f = {.random = PhRandom_Create(3)};
    f.follower = PhConfigFollower_Create(
        &(PhConfigFollowerOptions){.random = f.random,
                                   .poll_interval = PH_NS_PER_S,
                                   .hello_interval = PH_NS_PER_S,
                                   .retention = RETENTION_S * PH_NS_PER_S,
                                   .readers = 2});
    for (size_t i = 0; i < STEPS && c->steps[i].kind != STEP_END; i++) {
        memset(f.trace, 0, sizeof(f.trace));
        step_run(&f, &c->steps[i]);
        assert_string_equal(f.trace, c->steps[i].actions);
    }
    assert_int_equal(f.in_force, c->version);
    PhConfigFollower_Destroy(f.follower);
    PhRandom_Destroy(f.random);
}

/* Guards against a follower that puts an older or other version in force, or
 * that stops asking for missing records. */
static void
test_actions_per_event(void **state)
{
    (void)state;
    Ph_RUN_TABLE(follower_cases, check_follower);
}

static bool invariant_broken;

/* Records the violation instead of stopping the process. */
static void
on_invariant_broken(PhInvariant invariant, const char *values)
{
    (void)values;
    invariant_broken |= invariant == PH_INVARIANT_CONFIG_IN_FORCE;
}

/* Number of peers with the same and with other content, and whether this
 * instance stops. */
typedef struct PhDigestCase {
    const char *name;
    uint64_t agree;
    uint64_t differ;
    bool stops;
} PhDigestCase;

static const PhDigestCase digest_cases[] = {
    {"all equal", 4, 0, false},
    {"one differs", 0, 1, false},
    {"as many equal as differ", 2, 2, false},
    {"most differ", 1, 2, true},
};

/* Delivers the hellos of a case to a follower that holds five records. */
static void
check_digest(const PhDigestCase *c)
{
    PhFollowerFixture f = {.random = PhRandom_Create(3)};
    f.follower = PhConfigFollower_Create(
        &(PhConfigFollowerOptions){.random = f.random,
                                   .poll_interval = PH_NS_PER_S,
                                   .hello_interval = PH_NS_PER_S,
                                   .retention = RETENTION_S * PH_NS_PER_S,
                                   .readers = 2});
    PhConfigEvent records = {.kind = PH_CONFIG_EVENT_RECORDS,
                             .as.records.end = 5};
    handle_records(&f, &records, 0, 5);
    handle_members(&f, 4, 0);
    invariant_broken = false;
    PhInvariant_SetHandler(on_invariant_broken);
    for (uint64_t i = 0; i < c->agree + c->differ; i++) {
        PhStep step = {.kind = i < c->agree ? STEP_HELLO
                                            : STEP_HELLO_OTHER_CONTENT,
                       .a = 5,
                       .b = i};
        handle_hello(&f, &step);
    }
    PhInvariant_SetHandler(NULL);
    assert_int_equal(invariant_broken, c->stops);
    PhConfigFollower_Destroy(f.follower);
    PhRandom_Destroy(f.random);
}

/* Guards against an instance that continues with corrupt state, and against
 * one that stops because a few peers hold corrupt state. */
static void
test_stops_on_digest_minority(void **state)
{
    (void)state;
    Ph_RUN_TABLE(digest_cases, check_digest);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_actions_per_event),
        cmocka_unit_test(test_stops_on_digest_minority),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
