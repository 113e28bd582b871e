/* Links between the owner and other instances: when calls are forwarded to the
 * owner, which instances follow the topics, and the encoding of messages. */
#include "peridothill/codec/schedule_link.h"
#include "peridothill/decide/schedule/owner_link.h"
#include "tests/table.h"

#define ADDRESS PhStr_LITERAL("10.0.0.1:7720")

enum {
    STEPS_MAX = 8
};

/* Events: '.' none, 'o' the owner's address is known, 'n' it is not, 'w'
 * welcome, 's' welcome as a standby, 'd' dismissal, 'h' this instance has news
 * for the owner.  The flags are the expected state after the event. */
typedef struct PhLinkStep {
    int64_t at_ms;
    char event;
    bool hello;   /* a hello is sent */
    bool up;      /* calls are forwarded to the owner */
    bool follows; /* the topics are followed */
} PhLinkStep;

typedef struct PhLinkCase {
    const char *name;
    bool enabled;
    PhLinkStep steps[STEPS_MAX];
    int64_t read_delay_ms;
} PhLinkCase;

static const PhLinkCase link_cases[] = {
    {"without links the topics are always followed",
     false,
     {{0, '.', false, false, true}, {100, 'o', false, false, true}}},
    {"the owner answers",
     true,
     {{0, '.', false, false, false},
      {100, 'o', true, false, false},
      {110, 'w', false, true, false},
      {599, '.', false, true, false},
      {600, '.', true, true, false},
      {610, 'w', false, true, false}}},
    {"the owner stops answering",
     true,
     {{100, 'o', true, false, false},
      {110, 'w', false, true, false},
      {600, '.', true, true, false},
      {1309, '.', true, true, false},
      {1310, '.', false, false, false},
      {3609, '.', true, false, false},
      {3610, '.', false, false, true}}},
    {"this instance stood still, and the owner answers",
     true,
     {{100, 'o', true, false, false},
      {110, 'w', false, true, false},
      {1900, '.', true, true, false},
      {2599, '.', true, true, false},
      {2600, 'w', false, true, false}}},
    {"this instance stood still, and the owner does not answer",
     true,
     {{100, 'o', true, false, false},
      {110, 'w', false, true, false},
      {1900, '.', true, true, false},
      {2599, '.', true, true, false},
      {2600, '.', false, false, false}}},
    {"the owner does not answer a hello before its time",
     true,
     {{100, 'o', true, false, false},
      {110, 'w', false, true, false},
      {200, 'h', true, true, false},
      {700, '.', true, true, false},
      {1309, '.', true, true, false},
      {1310, '.', false, false, false}}},
    {"the owner never answers",
     true,
     {{100, 'o', true, false, false},
      {3499, '.', true, false, false},
      {3500, '.', false, false, true}}},
    {"one of many instances follows later",
     true,
     {{100, 'o', true, false, false},
      {3500, '.', true, false, false},
      {10499, '.', true, false, false},
      {10500, '.', false, false, true}},
     7000},
    {"one of many instances follows at once as a standby",
     true,
     {{100, 'o', true, false, false}, {110, 's', false, true, true}},
     7000},
    {"a standby follows at once",
     true,
     {{100, 'o', true, false, false},
      {110, 's', false, true, true},
      {700, 'w', true, true, false}}},
    {"an instance that is not the owner dismisses",
     true,
     {{100, 'o', true, false, false},
      {110, 'w', false, true, false},
      {500, 'd', false, false, false},
      {3999, '.', true, false, false},
      {4000, '.', false, false, true}}},
    {"an instance that stops says so at once",
     true,
     {{100, 'o', true, false, false},
      {110, 's', false, true, true},
      {200, 'h', true, true, true},
      {699, '.', false, true, true},
      {700, '.', true, true, true}}},
    {"no hello without an owner",
     true,
     {{100, 'o', true, false, false},
      {110, 'w', false, true, false},
      {200, 'n', false, false, false},
      {900, '.', false, false, false}}},
};

static void
link_run(const PhLinkCase *c)
{
    PhOwnerLink x;
    PhOwnerLink_Init(&x, c->enabled, c->read_delay_ms * PH_NS_PER_MS, 0);
    for (size_t i = 0; i < STEPS_MAX; i++) {
        const PhLinkStep *s = &c->steps[i];
        PhTime now = s->at_ms * PH_NS_PER_MS;
        switch (s->event) {
        case 'o':
            PhOwnerLink_SetOwner(&x, ADDRESS, now);
            break;
        case 'n':
            PhOwnerLink_SetOwner(&x, (PhStr){0}, now);
            break;
        case 'w':
        case 's':
            PhOwnerLink_OnWelcome(&x, &(PhWelcome){.standby = s->event == 's'},
                                  now);
            break;
        case 'd':
            PhOwnerLink_OnNotOwner(&x, now);
            break;
        case 'h':
            PhOwnerLink_HastenHello(&x, now);
            break;
        case '.':
            break;
        default:
            PhOwnerLink_Clear(&x);
            return;
        }
        print_message("#   at %lld ms\n", (long long)s->at_ms);
        assert_int_equal(PhOwnerLink_TakeHello(&x, now), s->hello);
        assert_int_equal(PhOwnerLink_IsUp(&x, now), s->up);
        assert_int_equal(PhOwnerLink_MustReadStore(&x, now), s->follows);
        assert_true(!c->enabled || PhOwnerLink_Due(&x, now) > now ||
                    s->event == 'n');
    }
    PhOwnerLink_Clear(&x);
}

/* Guards against calls to an owner that is not reachable, and instances that
 * miss its records. */
static void
test_links(void **state)
{
    (void)state;
    Ph_RUN_TABLE(link_cases, link_run);
}

/* Time that an instance observes after its hello at 0, and what it takes the
 * owner for then.  Events as above. */
typedef struct PhSilenceCase {
    const char *name;
    const char *before; /* events before that hello */
    int64_t observed_ms;
    char event; /* after that */
    bool late;
    bool silent;
} PhSilenceCase;

static const PhSilenceCase silence_cases[] = {
    {"the answer is on its way", "ow", 299, '.', false, false},
    {"it is late", "ow", 300, '.', true, false},
    {"it does not come", "ow", 700, '.', true, true},
    {"it comes then", "ow", 700, 'w', false, false},
    {"that instance is not the owner", "ow", 700, 'd', false, false},
    {"the owner has never answered", "o", 2000, '.', false, false},
};

static void
silence_event(PhOwnerLink *x, char event)
{
    switch (event) {
    case 'o':
        PhOwnerLink_SetOwner(x, ADDRESS, 1);
        break;
    case 'w':
        PhOwnerLink_OnWelcome(x, &(PhWelcome){.standby = true}, 1);
        break;
    case 'd':
        PhOwnerLink_OnNotOwner(x, 1);
        break;
    default:
        break;
    }
}

static void
silence_run(const PhSilenceCase *c)
{
    PhOwnerLink x;
    PhOwnerLink_Init(&x, true, 0, 1);
    for (const char *event = c->before; *event != '\0'; event++) {
        silence_event(&x, *event);
    }
    assert_true(PhOwnerLink_TakeHello(&x, 1));
    PhOwnerLink_Observe(&x, c->observed_ms * PH_NS_PER_MS);
    silence_event(&x, c->event);
    assert_int_equal(PhOwnerLink_IsLate(&x), c->late);
    assert_int_equal(PhOwnerLink_IsSilent(&x), c->silent);
    PhOwnerLink_Clear(&x);
}

/* Guards against an owner that is replaced although it answers, and against a
 * link that never worked and counts as a sign. */
static void
test_silence(void **state)
{
    (void)state;
    Ph_RUN_TABLE(silence_cases, silence_run);
}

enum {
    INSTANCES_MAX = 6
};

/* An instance that sends a hello, and whether it is a standby after all have
 * sent theirs three times. */
typedef struct PhStandbyInstance {
    const char *id;
    const char *data_centre;
    uint64_t cpu_milli;
    bool follows;
} PhStandbyInstance;

typedef struct PhStandbyCase {
    const char *name;
    PhStandbyInstance instances[INSTANCES_MAX];
} PhStandbyCase;

static const PhStandbyCase standby_cases[] = {
    {"a single instance is a standby", {{"a", "x", 100, true}}},
    {"at most three standbys",
     {{"a", "x", 100, true},
      {"b", "y", 100, true},
      {"c", "z", 100, true},
      {"d", "x", 100, false}}},
    {"larger CPU shares replace smaller ones",
     {{"a", "x", 100, false},
      {"b", "y", 100, false},
      {"c", "z", 100, false},
      {"d", "x", 500, true},
      {"e", "y", 500, true},
      {"f", "z", 500, true}}},
    {"a slightly larger CPU share does not replace",
     {{"a", "x", 100, true},
      {"b", "y", 100, true},
      {"c", "z", 100, true},
      {"d", "x", 150, false}}},
    {"all standbys in the only data centre",
     {{"a", "x", 100, true},
      {"b", "x", 100, true},
      {"c", "x", 100, true},
      {"d", "x", 100, false}}},
};

static void
standby_run(const PhStandbyCase *c)
{
    PhStandbys *s = PhStandbys_Create();
    PhTime now = PH_NS_PER_S;
    for (int round = 0; round < 3; round++) {
        for (size_t i = 0; i < INSTANCES_MAX && c->instances[i].id != NULL;
             i++) {
            const PhStandbyInstance *g = &c->instances[i];
            PhHello hello = {.cpu_milli = g->cpu_milli};
            bool follows = PhStandbys_OnHello(s, PhStr_FromC(g->id),
                                              PhStr_FromC(g->data_centre),
                                              &hello, now += PH_NS_PER_MS);
            if (round == 2) {
                print_message("#   %s\n", g->id);
                assert_int_equal(follows, g->follows);
            }
        }
    }
    GArray *all = PhStandbys_Instances(s, now);
    assert_true(all->len > 0);
    g_array_free(all, TRUE);
    /* All other instances have disappeared: the last one is a standby. */
    now += 10 * PH_NS_PER_S;
    PhHello hello = {.cpu_milli = 100};
    assert_true(PhStandbys_OnHello(s, PhStr_LITERAL("last"),
                                   PhStr_LITERAL("x"), &hello, now));
    all = PhStandbys_Instances(s, now);
    assert_int_equal(all->len, 1);
    g_array_free(all, TRUE);
    PhStandbys_Destroy(s);
}

/* Guards against too few or too many standbys, and standbys with a small CPU
 * share. */
static void
test_standbys(void **state)
{
    (void)state;
    Ph_RUN_TABLE(standby_cases, standby_run);
}

/* An instance that has sent a hello, at `age_ms` before the choice. */
typedef struct PhCandidate {
    const char *id;
    uint64_t cpu_milli;
    int64_t uptime_ms;
    bool ready;
    bool leaving;
    int64_t age_ms;
} PhCandidate;

typedef struct PhSuccessorCase {
    const char *name;
    PhCandidate candidates[INSTANCES_MAX]; /* the first three are standbys */
    const char
        *chosen; /* by an owner that has been up for 60 s; empty: none */
    bool ready;
    bool is_new;
} PhSuccessorCase;

static const PhSuccessorCase successor_cases[] = {
    {"no other instance", {{0}}, "", false, false},
    {"a standby that is ready",
     {{"a", 100, 60000, false}, {"b", 100, 60000, true}},
     "b",
     true,
     false},
    {"one that stops does not take over",
     {{"a", 100, 60000, true, .leaving = true}, {"b", 100, 60000, false}},
     "b",
     false,
     false},
    {"nor one that has been silent",
     {{"a", 100, 60000, true, .age_ms = 1300}, {"b", 100, 60000, true}},
     "b",
     true,
     false},
    {"one that was restarted comes before one that is ready",
     {{"a", 100, 60000, true}, {"b", 100, 4000, false}},
     "b",
     false,
     false},
    {"of those that were restarted, one that is ready",
     {{"a", 100, 3000, false},
      {"b", 100, 9000, true},
      {"c", 100, 2000, false}},
     "b",
     true,
     false},
    {"instances that started together with the owner are equal",
     {{"a", 100, 59500, false}, {"b", 100, 60400, true}},
     "b",
     true,
     false},
    {"a weak one does not, though it was restarted",
     {{"a", 100, 3000, true}, {"b", 500, 60000, false}},
     "b",
     false,
     false},
    {"one that is no standby becomes one",
     {{"a", 100, 60000, true},
      {"b", 100, 60000, true},
      {"c", 100, 60000, true},
      {"d", 100, 4000, false}},
     "d",
     false,
     true},
};

static void
successor_run(const PhSuccessorCase *c)
{
    PhStandbys *s = PhStandbys_Create();
    PhTime now = 100 * PH_NS_PER_S;
    for (size_t i = 0; i < INSTANCES_MAX && c->candidates[i].id != NULL; i++) {
        const PhCandidate *x = &c->candidates[i];
        PhHello hello = {.cpu_milli = x->cpu_milli,
                         .uptime = x->uptime_ms * PH_NS_PER_MS,
                         .ready = x->ready,
                         .leaving = x->leaving};
        PhStandbys_OnHello(s, PhStr_FromC(x->id), PhStr_LITERAL("x"), &hello,
                           now - x->age_ms * PH_NS_PER_MS);
    }
    PhSuccessor chosen = PhStandbys_ChooseSuccessor(s, 60 * PH_NS_PER_S, now);
    assert_true(PhStr_Equal(chosen.instance, PhStr_FromC(c->chosen)));
    assert_int_equal(chosen.ready, c->ready);
    assert_int_equal(chosen.is_new, c->is_new);
    chosen = PhStandbys_ChooseSuccessor(s, 60 * PH_NS_PER_S, now);
    assert_false(chosen.is_new);
    PhStandbys_Destroy(s);
}

/* Guards against an ownership that goes to an instance which stops next, or
 * which has to read the records first. */
static void
test_successors(void **state)
{
    (void)state;
    Ph_RUN_TABLE(successor_cases, successor_run);
}

typedef struct PhMessageCase {
    const char *name;
    PhLinkMessage message;
} PhMessageCase;

static PhLinkOrder order_rows[] = {
    {.number = 1,
     .born_ms = 1796553036072,
     .worker = {"i-1", 3},
     .address = {"10.0.0.1:80", 11},
     .job = {"00000000000000a1", 16},
     .round = 2,
     .step = 1,
     .index = 39,
     .run = 3,
     .deadline_ms = 486000,
     .last_checkpoint = {"saved", 5},
     .payload = {"specification", 13}},
    {.number = 2, .worker = {"i-2", 3}, .job = {"00000000000000a1", 16}},
};

static PhLinkOutcome outcome_rows[] = {
    {.number = 1, .outcome = 3, .clock_ms = 482113, .took_ms = 40},
    {.number = 1ULL << 40, .outcome = 8},
};

static PhLinkEnd end_rows[] = {
    {.number = 58,
     .job = {"00000000000000a1", 16},
     .round = 2,
     .step = 1,
     .index = 39,
     .run = 3,
     .kind = 1,
     .last_checkpoint = {"saved", 5}},
    {.number = 1ULL << 40, .job = {"00000000000000a2", 16}, .run = 1},
};

static const PhMessageCase message_cases[] = {
    {"orders",
     {.tag = PH_LINK_ORDERS,
      .as.orders =
          {.fence = 7, .hello = 12, .rows = order_rows, .row_count = 2}}},
    {"no order", {.tag = PH_LINK_ORDERS, .as.orders = {.fence = 7}}},
    {"outcomes",
     {.tag = PH_LINK_OUTCOMES,
      .as.outcomes = {.rows = outcome_rows, .row_count = 2}}},
    {"ends",
     {.tag = PH_LINK_ENDS,
      .as.ends = {.worker = {"i-1", 3},
                  .born_ms = 1796553036072,
                  .rows = end_rows,
                  .row_count = 2}}},
    {"hello with its number",
     {.tag = PH_LINK_HELLO, .as.hello = {.cpu_milli = 120, .number = 9}}},
    {"hello",
     {.tag = PH_LINK_HELLO, .as.hello = {.cpu_milli = 120, .fence = 7}}},
    {"hello of an instance that could take over",
     {.tag = PH_LINK_HELLO,
      .as.hello = {.cpu_milli = 120, .uptime_ms = 4000, .ready = true}}},
    {"hello of an instance that stops",
     {.tag = PH_LINK_HELLO, .as.hello = {.cpu_milli = 120, .leaving = true}}},
    {"welcome", {.tag = PH_LINK_WELCOME}},
    {"welcome, standby", {.tag = PH_LINK_WELCOME, .as.welcome.standby = true}},
    {"welcome while long-running jobs are refused",
     {.tag = PH_LINK_WELCOME, .as.welcome.lasting_closed = true}},
    {"welcome of an owner that the store does not answer",
     {.tag = PH_LINK_WELCOME, .as.welcome.store_silent = true}},
    {"dismiss", {.tag = PH_LINK_NOT_OWNER}},
    {"submit",
     {.tag = PH_LINK_ASK,
      .as.ask = {.number = 7,
                 .call = PH_LINK_SUBMIT,
                 .subject = {"00000000000000a1", 16},
                 .record = {"record", 6},
                 .wait_ms = 2850}}},
    {"pending, without a record",
     {.tag = PH_LINK_ASK,
      .as.ask = {.number = 1, .call = PH_LINK_PENDING, .subject = {"q", 1}}}},
    {"answer",
     {.tag = PH_LINK_ANSWER,
      .as.answer = {.number = 7, .outcome = 5, .value = 1ULL << 40}}},
};

/* Encodes and decodes; every truncated payload is an error. */
static void
message_run(const PhMessageCase *c)
{
    PhLinkMessage read;
    PhStr payload = PhLinkMessage_Encode(&c->message);
    assert_true(PhLinkMessage_Decode(payload, &read));
    PhStr again = PhLinkMessage_Encode(&read);
    assert_int_equal(read.tag, c->message.tag);
    assert_true(PhStr_Equal(payload, again));
    PhLinkMessage_Clear(&read);
    for (size_t len = 0; len < payload.len; len++) {
        assert_false(
            PhLinkMessage_Decode(PhStr_Slice(payload, 0, len), &read));
        PhLinkMessage_Clear(&read);
    }
    PhStr_Clear(&again);
    PhStr_Clear(&payload);
}

/* Guards against fields that are lost in the encoding. */
static void
test_messages(void **state)
{
    (void)state;
    Ph_RUN_TABLE(message_cases, message_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_links), cmocka_unit_test(test_silence),
        cmocka_unit_test(test_standbys), cmocka_unit_test(test_successors),
        cmocka_unit_test(test_messages)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
