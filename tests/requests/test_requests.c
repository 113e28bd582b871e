#include "peridothill/codec/key_message.h"
#include "peridothill/decide/requests/requests.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/table.h"

enum {
    WORDS = 8,
    KEY_WINDOW_MS = 1000,
    NOTICE_MS = 1000,
};

/* Decisions under test, driven by a script of words. */
typedef struct PhFixture {
    PhRequests *requests;
    GArray *actions;
    guint seen; /* actions that the script has matched */
    PhTime now;
    uint64_t last_request;
    uint64_t last_attempt;
    uint32_t last_worker;
    bool leaving; /* of worker w1 */
    guint workers;
} PhFixture;

/* A script: steps separated by ";".  Steps that give events: arrive, flood,
 * reply, late, wait, gone, leave, workers, members, configure, asked,
 * released, verdict, stop.  All others name the next action. */
typedef struct PhScriptCase {
    const char *name;
    const char *script;
} PhScriptCase;

static const char *const causes[] = {
    "first",       "retry-connect",   "retry-first-byte",
    "retry-reset", "retry-truncated", "retry-status",
    "hedge"};
static const char *const ends[] = {"answered",  "connect",  "first-byte",
                                   "deadline",  "reset",    "truncated",
                                   "too-large", "cancelled"};
static const char *const notes[] = {"late",      "ejected", "readmitted",
                                    "no-budget", "no-time", "hedge-won",
                                    "gone"};
static const char *const verdicts[] = {"granted", "unvouched", "repeated",
                                       "unclear"};

/* Finds a word in a list. */
static int
word_index(const char *const *list, size_t count, const char *word)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(list[i], word) == 0) {
            return (int)i;
        }
    }
    fail_msg("unknown word '%s'", word);
    return -1;
}

/* Hands one event to the decisions. */
static void
give(PhFixture *f, PhRequestsEvent event)
{
    PhRequests_Handle(f->requests, &event, f->now, f->actions);
}

/* Puts the policies of three services in force. */
static void
give_policies(PhFixture *f)
{
    PhServicePolicy rows[] = {
        PhServicePolicy_Default(PhStr_LITERAL("booking")),
        PhServicePolicy_Default(PhStr_LITERAL("quote")),
        PhServicePolicy_Default(PhStr_LITERAL("none")),
    };
    rows[0].prefix = PhStr_LITERAL("/booking");
    rows[0].idempotent_paths = PhStr_LITERAL("/booking/quote /booking/look");
    rows[0].retry_percent = 100;
    rows[1].prefix = PhStr_LITERAL("/quote");
    rows[1].hedge_after = 50 * PH_NS_PER_MS;
    rows[1].retry_percent = 100;
    rows[2].prefix = PhStr_LITERAL("/none");
    rows[2].body_limit_bytes = 10;
    give(f, (PhRequestsEvent){.tag = PH_REQUESTS_POLICIES,
                              .as.policies = {1, rows, G_N_ELEMENTS(rows)}});
}

/* Gives a reading of the list with the fixture's workers. */
static void
give_workers(PhFixture *f)
{
    PhWorkerRow rows[8];
    char ids[8][8];
    for (guint i = 0; i < f->workers; i++) {
        snprintf(ids[i], sizeof(ids[i]), "w%u", i + 1);
        rows[i] = (PhWorkerRow){.id = PhStr_FromC(ids[i]),
                                .address = PhStr_LITERAL("127.0.0.1:1"),
                                .data_centre = PhStr_LITERAL("silay"),
                                .services = PhStr_LITERAL("booking quote"),
                                .slots = 4,
                                .connections = 60,
                                .leaving = i == 0 && f->leaving};
    }
    give(f, (PhRequestsEvent){.tag = PH_REQUESTS_WORKERS,
                              .as.workers = {rows, f->workers}});
}

/* Gives the members, one for each letter; small letters are not heard. */
static void
give_members(PhFixture *f, const char *letters)
{
    PhKeyMember rows[8];
    char ids[8];
    size_t count = strlen(letters);
    for (size_t i = 0; i < count; i++) {
        ids[i] = g_ascii_toupper(letters[i]);
        rows[i] = (PhKeyMember){.id = PhStr_FromBytes(&ids[i], 1),
                                .heard = g_ascii_isupper(letters[i])};
    }
    give(f, (PhRequestsEvent){.tag = PH_REQUESTS_MEMBERS,
                              .as.members = {rows, count}});
}

/* Lets a request arrive: method, path and options. */
static void
step_arrive(PhFixture *f, char **word)
{
    PhArrival a = {.id = ++f->last_request,
                   .method = PhStr_FromC(word[1]),
                   .path = PhStr_FromC(word[2])};
    for (char **w = &word[3]; **w != '\0'; w++) {
        if (g_str_has_prefix(*w, "key=")) {
            a.key = PhStr_FromC(*w + 4);
        }
        else if (g_str_has_prefix(*w, "budget=")) {
            a.budget = atoi(*w + 7) * PH_NS_PER_MS;
        }
        else if (g_str_has_prefix(*w, "bytes=")) {
            a.body_bytes = (size_t)atoi(*w + 6);
        }
        else {
            a.malformed = true;
        }
    }
    give(f, (PhRequestsEvent){.tag = PH_REQUESTS_ARRIVED, .as.arrived = a});
}

/* Ends the attempt that is `back` before the latest. */
static void
step_reply(PhFixture *f, char **word, uint64_t back)
{
    PhUpstreamReply reply = {
        .attempt = f->last_attempt - back,
        .end = (PhAttemptEnd)word_index(ends, G_N_ELEMENTS(ends), word[1])};
    reply.not_sent = strcmp(word[2], "unsent") == 0;
    reply.status = atoi(word[2]);
    give(f,
         (PhRequestsEvent){.tag = PH_REQUESTS_REPLIED, .as.replied = reply});
}

/* Advances the time, firing timers as they come due. */
static void
step_wait(PhFixture *f, PhTime until)
{
    while (PhRequests_Next(f->requests) <= until) {
        f->now = MAX(f->now, PhRequests_Next(f->requests));
        give(f, (PhRequestsEvent){.tag = PH_REQUESTS_TIMER});
    }
    f->now = until;
}

/* Carries out a step that gives an event; false when it names an action. */
static bool
step_event(PhFixture *f, char **word)
{
    const char *w = word[0];
    PhClaimAsked asked = {.member = PhStr_LITERAL("C"),
                          .key = PhStr_FromC(word[1]),
                          .request = 77};
    if (strcmp(w, "arrive") == 0) {
        step_arrive(f, word);
    }
    else if (strcmp(w, "reply") == 0 || strcmp(w, "late") == 0) {
        step_reply(f, word, w[0] == 'l');
    }
    else if (strcmp(w, "wait") == 0) {
        step_wait(f, f->now + atoi(word[1]) * PH_NS_PER_MS);
    }
    else if (strcmp(w, "gone") == 0) {
        give(f, (PhRequestsEvent){.tag = PH_REQUESTS_CALLER_GONE,
                                  .as.caller_gone = f->last_request});
    }
    else if (strcmp(w, "leave") == 0 || strcmp(w, "workers") == 0) {
        f->leaving = w[0] == 'l';
        f->workers = (guint)atoi(word[1]);
        give_workers(f);
    }
    else if (strcmp(w, "members") == 0) {
        give_members(f, word[1]);
    }
    else if (strcmp(w, "configure") == 0) {
        give_policies(f);
    }
    else if (strcmp(w, "asked") == 0 || strcmp(w, "released") == 0) {
        give(f,
             (PhRequestsEvent){.tag = w[0] == 'a' ? PH_REQUESTS_CLAIM_ASKED
                                                  : PH_REQUESTS_CLAIM_RELEASED,
                               .as.claim = asked});
    }
    else if (strcmp(w, "verdict") == 0) {
        give(f, (PhRequestsEvent){
                    .tag = PH_REQUESTS_CLAIM_REPLIED,
                    .as.claim_replied = {
                        .request = f->last_request,
                        .verdict = (PhKeyVerdict)word_index(
                            verdicts, G_N_ELEMENTS(verdicts), word[1])}});
    }
    else if (strcmp(w, "flood") == 0) {
        for (int i = atoi(word[1]); i > 0; i--) {
            step_arrive(f, (char *[]){"arrive", "GET", "/booking", ""});
        }
        f->seen = f->actions->len;
    }
    else if (strcmp(w, "stop") == 0) {
        give(f, (PhRequestsEvent){.tag = PH_REQUESTS_STOP});
    }
    else {
        return false;
    }
    return true;
}

/* Writes an action in the words of the scripts. */
static char *
action_describe(PhFixture *f, const PhRequestsAction *a)
{
    switch (a->tag) {
    case PH_REQUESTS_SEND:
        f->last_attempt = a->as.send.attempt;
        f->last_worker = a->as.send.worker;
        return g_strdup_printf("send %s%s", causes[a->as.send.cause],
                               a->as.send.fresh_connection ? " fresh" : "");
    case PH_REQUESTS_ANSWER:
        return g_strdup("answer");
    case PH_REQUESTS_REFUSE:
        return g_strdup_printf("refuse %s %s",
                               PhRefusal_Info(a->as.refuse.reason)->name,
                               PhOutcome_Name(a->as.refuse.outcome));
    case PH_REQUESTS_CANCEL:
        return g_strdup("cancel");
    case PH_REQUESTS_CLAIM:
        return g_strdup_printf("claim %.*s", PhStr_ARG(a->as.claim.member));
    case PH_REQUESTS_CLAIM_ANSWER:
        return g_strdup_printf("told %s", verdicts[a->as.claim.verdict]);
    case PH_REQUESTS_CLAIM_RELEASE:
        return g_strdup_printf("release %.*s", PhStr_ARG(a->as.claim.member));
    case PH_REQUESTS_QUIESCE:
        return g_strdup("quiesce");
    case PH_REQUESTS_DRAINED:
        return g_strdup("drained");
    case PH_REQUESTS_NOTE:
        return g_strdup_printf("note %s", notes[a->as.note.note]);
    }
    return NULL;
}

/* Checks that the next action is the one that the step names. */
static void
step_expect(PhFixture *f, const char *step)
{
    if (strcmp(step, "nothing") == 0) {
        assert_int_equal(f->seen, f->actions->len);
        return;
    }
    if (f->seen == f->actions->len) {
        fail_msg("expected '%s', no action came", step);
    }
    char *got = action_describe(
        f, &g_array_index(f->actions, PhRequestsAction, f->seen++));
    assert_string_equal(got, step);
    g_free(got);
}

/* Runs one step. */
static void
step_run(PhFixture *f, char *step)
{
    char *word[WORDS + 1];
    char *copy = g_strdup(step);
    char *rest = copy;
    for (int i = 0; i <= WORDS; i++) {
        char *next = rest == NULL ? NULL : strsep(&rest, " ");
        word[i] = next == NULL ? "" : next;
    }
    if (!step_event(f, word)) {
        step_expect(f, step);
    }
    g_free(copy);
}

/* Runs one script against decisions with two workers. */
static void
check_script(const PhScriptCase *c)
{
    PhFixture f = {.now = PH_NS_PER_S, .workers = 2};
    f.actions = g_array_new(FALSE, FALSE, sizeof(PhRequestsAction));
    f.requests = PhRequests_Create(
        &(PhRequestsOptions){.instance = PhStr_LITERAL("A"),
                             .data_centre = PhStr_LITERAL("silay"),
                             .seed = 1,
                             .drain_notice = NOTICE_MS * PH_NS_PER_MS,
                             .key_window = KEY_WINDOW_MS * PH_NS_PER_MS,
                             .tuning = PhRequestsTuning_Default()});
    if (strncmp(c->script, "bare;", 5) != 0) {
        give_policies(&f);
        give_workers(&f);
    }
    char **steps = g_strsplit(c->script, ";", -1);
    for (char **step = steps; *step != NULL; step++) {
        char *text = g_strstrip(*step);
        if (strcmp(text, "bare") != 0) {
            step_run(&f, text);
        }
    }
    step_run(&f, (char[]){"nothing"});
    g_strfreev(steps);
    PhRequests_Destroy(f.requests);
    g_array_free(f.actions, TRUE);
}

static const PhScriptCase once_cases[] = {
    {"a reset after the send is unknown and not repeated",
     "arrive POST /booking; send first fresh; reply reset;"
     "refuse upstream-reset unknown; wait 5000"},
    {"proof of not sent allows another attempt",
     "arrive POST /booking; send first fresh; reply connect unsent; wait 100;"
     "send retry-connect fresh; reply answered 201; answer"},
    {"two proofs of not sent give not-run once the budget is gone",
     "arrive POST /booking; send first fresh; reply connect unsent; wait 100;"
     "send retry-connect fresh; reply connect unsent; note no-budget;"
     "refuse connect-failed not-run"},
    {"one attempt that may have left makes the rest unknown",
     "arrive POST /booking; send first fresh; reply connect unsent; wait 100;"
     "send retry-connect fresh; reply truncated;"
     "refuse upstream-truncated unknown"},
    {"a connect failure without proof is not repeated",
     "arrive POST /booking; send first fresh; reply connect;"
     "refuse connect-failed unknown"},
    {"503 of a worker is passed on", "arrive POST /booking; send first fresh;"
                                     "reply answered 503; answer"},
    {"a path is idempotent by configuration",
     "arrive POST /booking/quote/7; send first; reply reset; wait 100;"
     "send retry-reset fresh; reply answered 200; answer"},
    {"a prefix ends at a path segment",
     "arrive POST /booking/quotes; send first fresh; reply reset;"
     "refuse upstream-reset unknown"},
    {"an unknown method is not idempotent",
     "arrive PATCH /booking/quote; send first fresh; reply reset;"
     "refuse upstream-reset unknown"},
    {"a late answer reaches nobody",
     "arrive POST /booking; send first fresh; wait 2000; cancel;"
     "refuse deadline-in-flight unknown; reply answered 200; note late"},
    {"a caller that goes away cancels its work",
     "arrive GET /booking; send first; gone; cancel; note gone;"
     "reply cancelled; wait 5000"},
    {"a reply that no attempt waits for is dropped",
     "arrive GET /booking; send first; reply answered 200; answer;"
     "reply answered 200; note late"},
    {"a late answer after a retry is dropped",
     "arrive GET /booking; send first; reply first-byte; wait 100;"
     "send retry-first-byte fresh; late answered 200; note late;"
     "reply answered 200; answer"},
};

static const PhScriptCase refusal_cases[] = {
    {"before the configuration",
     "bare; arrive GET /booking; refuse no-config not-run"},
    {"no service has the path", "arrive GET /x; refuse no-service not-run"},
    {"prefixes end at a segment",
     "arrive GET /bookings; refuse no-service not-run"},
    {"a header that cannot be read",
     "arrive GET /booking bad; refuse bad-request not-run"},
    {"the body is too large",
     "arrive PUT /none bytes=11; refuse body-too-large not-run"},
    {"no worker serves it", "arrive GET /none; refuse no-worker not-run"},
    {"connect failures use up the time",
     "arrive GET /booking budget=4; send first; reply connect unsent;"
     "note no-time; refuse connect-failed not-run"},
    {"too large an answer is not asked for again",
     "arrive GET /booking; send first; reply too-large;"
     "refuse upstream-too-large unknown"},
    {"no first byte twice",
     "arrive GET /booking; send first; reply first-byte; wait 100;"
     "send retry-first-byte fresh; reply first-byte; note no-budget;"
     "refuse first-byte-timeout unknown"},
    {"a truncated answer is not passed on",
     "arrive GET /booking; send first; reply truncated; wait 100;"
     "send retry-truncated; reply truncated; note no-budget;"
     "refuse upstream-truncated unknown"},
    {"the caller's deadline is shorter",
     "arrive GET /booking budget=30; send first; wait 30; cancel;"
     "refuse deadline-in-flight unknown; reply cancelled"},
    {"status of a failing worker, with and without a retry",
     "arrive GET /booking; send first; reply answered 503; wait 100;"
     "send retry-status; reply answered 503; note no-budget; answer"},
    {"a hedge that wins cancels the other",
     "arrive GET /quote; send first; wait 50; send hedge;"
     "reply answered 200; note hedge-won; answer; cancel;"
     "late cancelled"},
    {"a hedge that fails leaves the first",
     "arrive GET /quote; send first; wait 50; send hedge; reply reset;"
     "late answered 200; answer"},
    {"what is not idempotent is not hedged",
     "arrive POST /quote; send first fresh; wait 500; reply answered 200;"
     "answer"},
    {"a repeated claim of an id", "members A; wait 1000;"
                                  "arrive POST /booking key=k;"
                                  "send first fresh; arrive POST /booking"
                                  " key=k; refuse key-repeated unknown"},
};

/* A request that its worker fails (of five, one of two workers has three), and
 * one that it answers after 400 ms. */
#define FAIL                                                                  \
    "arrive POST /quote; send first fresh; reply reset;"                      \
    "refuse upstream-reset unknown;"
#define SLOW                                                                  \
    "arrive GET /booking; send first; wait 400; reply answered 200; answer;"
#define FILL                                                                  \
    "arrive GET /booking; send first; arrive GET /booking; send first;"       \
    "arrive GET /booking; send first; arrive GET /booking; send first;"       \
    "arrive GET /booking; send first;"

static const PhScriptCase pressure_cases[] = {
    {"a worker that fails three times in a row cools down",
     "workers 2;" FAIL FAIL FAIL FAIL
     "arrive POST /quote; send first fresh; reply reset; note ejected;"
     "refuse upstream-reset unknown; wait 700; arrive GET /quote;"
     "send first; reply answered 200; note readmitted; answer"},
    {"a failed probe starts the cooldown again",
     "workers 2;" FAIL FAIL FAIL FAIL
     "arrive POST /quote; send first fresh; reply reset; note ejected;"
     "refuse upstream-reset unknown; wait 700; arrive GET /quote;"
     "send first; reply too-large; refuse upstream-too-large unknown;"
     "arrive GET /quote; send first; reply answered 500; note ejected;"
     "answer"},
    {"a lone worker is never ejected",
     "workers 1;" FAIL FAIL FAIL FAIL FAIL FAIL "wait 5000"},
    {"the deadline passes in the queue",
     "workers 1;" FILL "arrive GET /booking budget=100; wait 100;"
     "refuse deadline-passed not-run"},
    {"what would be late is not sent",
     "workers 1;" SLOW FILL "arrive GET /booking budget=500; wait 300;"
     "reply answered 200; answer; refuse deadline-too-short not-run"},
    {"a full queue", "workers 1;" FILL "flood 1024; arrive GET /booking;"
                     "refuse queue-full not-run; arrive GET /quote"},
};

static const PhScriptCase key_cases[] = {
    {"members are not known",
     "arrive POST /booking key=k; refuse key-unclear not-run"},
    {"no home is as old as the window",
     "members A; arrive POST /booking key=k; refuse key-unclear not-run"},
    {"a key that did not run is free again",
     "members A; wait 1000; arrive POST /booking key=k budget=4;"
     "send first fresh; reply connect unsent; note no-time;"
     "refuse connect-failed not-run; arrive POST /booking key=k;"
     "send first fresh; reply answered 200; answer"},
    {"a key that ran is not free",
     "members A; wait 1000; arrive POST /booking key=k; send first fresh;"
     "reply answered 200; answer; arrive POST /booking key=k;"
     "refuse key-repeated unknown"},
    {"a key is free after the window",
     "members A; wait 1000; arrive POST /booking key=k; send first fresh;"
     "reply answered 200; answer; wait 1000; arrive POST /booking key=k;"
     "send first fresh; reply answered 200; answer"},
    {"a key counts for its service",
     "members A; wait 1000; arrive POST /booking key=k; send first fresh;"
     "reply answered 200; answer; arrive POST /quote key=k;"
     "send first fresh; reply answered 200; answer"},
    {"both homes are asked",
     "members AB; wait 1000; arrive POST /booking key=k; claim B;"
     "verdict granted; send first fresh; reply answered 200; answer"},
    {"the other home knows the key",
     "members AB; wait 1000; arrive POST /booking key=k; claim B;"
     "verdict repeated; release B; refuse key-repeated unknown;"
     "members A; wait 1000; arrive POST /booking key=k; send first fresh"},
    {"the other home does not answer",
     "members AB; wait 1000; arrive POST /booking key=k; claim B; wait 500;"
     "release B; refuse key-unclear not-run; verdict granted"},
    {"the claim of another instance",
     "members AC; wait 1000; asked k; told granted; asked k; told repeated;"
     "released k; asked k; told granted"},
    {"a claim at an instance that is no home",
     "members CD; wait 1000; asked k; told unclear"},
    {"a new home does not vouch",
     "members CD; wait 1000; members A; asked k; told unvouched; wait 1000;"
     "released k; asked k; told granted"},
    {"no home vouches after both changed",
     "members CD; wait 1000; members AB; arrive POST /booking key=k; claim B;"
     "verdict unvouched; release B; refuse key-unclear not-run"},
    {"one home vouches",
     "members CD; wait 1000; members AB; arrive POST /booking key=k; claim B;"
     "verdict granted; send first fresh; reply answered 200; answer"},
    {"the smaller side of a partition grants nothing",
     "members ABC; wait 1000; members Abc; wait 1000; asked k;"
     "told unclear"},
    {"half of the members is no majority",
     "members AB; wait 1000; members Ab; wait 1000; asked k; told unclear"},
    {"the greater side goes on once the window has passed",
     "members ABC; wait 1000; members ABc; wait 1000; asked k;"
     "told granted"},
    {"idempotent requests need no key",
     "arrive PUT /booking key=k; send first; reply answered 200; answer"},
};

static const PhScriptCase leaving_cases[] = {
    {"a worker that leaves gets no new work",
     "leave 1; arrive GET /booking; refuse no-worker not-run"},
    {"all new work goes to the others",
     "leave 2; arrive GET /booking; send first; arrive GET /booking;"
     "send first; arrive GET /booking; send first; arrive GET /booking;"
     "send first"},
    {"what is in flight there finishes",
     "workers 1; arrive GET /booking; send first; leave 1;"
     "reply answered 200; answer; arrive GET /booking;"
     "refuse no-worker not-run"},
    {"a retry goes elsewhere",
     "workers 1; arrive GET /booking; send first; leave 2; reply reset;"
     "wait 100; send retry-reset fresh; reply answered 200; answer"},
    {"a worker that is gone from the list",
     "workers 1; arrive GET /booking; send first; workers 0;"
     "reply answered 200; answer; arrive GET /booking;"
     "refuse no-worker not-run; workers 1; arrive GET /booking; send first"},
    {"a stop with nothing in flight",
     "stop; wait 1000; quiesce; drained; stop; wait 5000"},
    {"requests are taken until the notice ends",
     "stop; wait 500; arrive GET /booking; send first; wait 500; quiesce;"
     "arrive GET /booking; refuse stopping not-run; reply answered 200;"
     "answer; drained"},
    {"a request in flight is bounded by its deadline",
     "arrive POST /booking; send first fresh; stop; stop; wait 1000; quiesce;"
     "wait 1000; cancel; refuse deadline-in-flight unknown;"
     "reply cancelled; drained"},
};

/* A non-idempotent request is sent at most once. */
static void
test_once(void **state)
{
    (void)state;
    Ph_RUN_TABLE(once_cases, check_script);
}

/* Each refusal and each reason of a retry. */
static void
test_refusals(void **state)
{
    (void)state;
    Ph_RUN_TABLE(refusal_cases, check_script);
}

/* Cooldown, deadlines and full queues. */
static void
test_pressure(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pressure_cases, check_script);
}

/* A payload and whether it can be read. */
typedef struct PhWireCase {
    const char *name;
    PhStr payload;
    bool valid;
} PhWireCase;

static const PhWireCase wire_cases[] = {
    {"claim", {"\x84\x01\x01\x02\x07\x03\xc4\x01k\x04\x00", 11}, true},
    {"empty", {"", 0}, false},
    {"cut", {"\x84\x01\x01\x02\x07\x03\xc4\x01", 8}, false},
    {"unknown tag", {"\x84\x01\x09\x02\x07\x03\xc4\x01k\x04\x00", 11}, false},
    {"unknown verdict",
     {"\x84\x01\x02\x02\x07\x03\xc4\x01k\x04\x09", 11},
     false},
    {"no key", {"\x83\x01\x01\x02\x07\x04\x00", 7}, false},
    {"huge count", {"\xdf\xff\xff\xff\xff", 5}, false},
};

/* Reads one payload, and writes it again. */
static void
check_wire(const PhWireCase *c)
{
    PhKeyMessage message;
    PhBuf again = {0};
    assert_int_equal(PhKeyMessage_Decode(c->payload, &message), c->valid);
    if (c->valid) {
        PhKeyMessage_Encode(&message, &again);
        assert_true(PhStr_Equal(PhBuf_Str(&again), c->payload));
    }
    PhStr_Clear(&message.key);
    PhBuf_Clear(&again);
}

/* Messages about keys between instances. */
static void
test_wire(void **state)
{
    (void)state;
    Ph_RUN_TABLE(wire_cases, check_wire);
}

/* Idempotency keys. */
static void
test_keys(void **state)
{
    (void)state;
    Ph_RUN_TABLE(key_cases, check_script);
}

/* Workers and instances that leave. */
static void
test_leaving(void **state)
{
    (void)state;
    Ph_RUN_TABLE(leaving_cases, check_script);
}

/* Runs the tests. */
int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_once),     cmocka_unit_test(test_refusals),
        cmocka_unit_test(test_pressure), cmocka_unit_test(test_keys),
        cmocka_unit_test(test_wire),     cmocka_unit_test(test_leaving),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
