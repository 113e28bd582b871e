#include "script.h"

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

/* The request decisions under test. */
typedef struct PhFixture {
    PhRequests *requests;
    GArray *actions;
    guint matched; /* actions matched so far */
    PhTime now;
    uint64_t last_request;
    uint64_t last_attempt;
    uint32_t last_worker;
    bool leaving; /* worker w1 is leaving */
    guint workers;
} PhFixture;

static const char *const causes[] = {
    "first",       "retry-connect",   "retry-first-byte",
    "retry-reset", "retry-truncated", "retry-status",
    "hedge"};
static const char *const ends[] = {"answered",  "connect",  "first-byte",
                                   "deadline",  "reset",    "truncated",
                                   "too-large", "cancelled"};
static const char *const notes[] = {"late",        "ejected", "readmitted",
                                    "no-budget",   "no-time", "hedge-won",
                                    "disconnected"};
static const char *const verdicts[] = {"granted", "unconfirmed", "repeated",
                                       "unclear"};

static int
word_index(const char *const *list, size_t count, const char *word)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(list[i], word) == 0) {
            return (int)i;
        }
    }
    fail_msg("unknown word '%s' in script", word);
    return -1;
}

static void
event_handle(PhFixture *f, PhRequestsEvent event)
{
    PhRequests_Handle(f->requests, &event, f->now, f->actions);
}

static void
policies_set(PhFixture *f)
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
    event_handle(
        f, (PhRequestsEvent){.tag = PH_REQUESTS_POLICIES,
                             .as.policies = {1, rows, G_N_ELEMENTS(rows)}});
}

static void
workers_set(PhFixture *f)
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
    event_handle(f, (PhRequestsEvent){.tag = PH_REQUESTS_WORKERS,
                                      .as.workers = {rows, f->workers}});
}

/* One member per letter; lower-case letters are unreachable members. */
static void
members_set(PhFixture *f, const char *letters)
{
    PhKeyMember rows[8];
    char ids[8];
    size_t count = strlen(letters);
    for (size_t i = 0; i < count; i++) {
        ids[i] = g_ascii_toupper(letters[i]);
        rows[i] = (PhKeyMember){.id = PhStr_FromBytes(&ids[i], 1),
                                .reachable = g_ascii_isupper(letters[i])};
    }
    event_handle(f, (PhRequestsEvent){.tag = PH_REQUESTS_MEMBERS,
                                      .as.members = {rows, count}});
}

/* arrive METHOD PATH [key=TEXT] [budget=MS] [bytes=N]; any other option makes
 * the request malformed. */
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
    event_handle(
        f, (PhRequestsEvent){.tag = PH_REQUESTS_ARRIVED, .as.arrived = a});
}

/* Ends the attempt that was made `back` attempts before the latest one. */
static void
step_reply(PhFixture *f, char **word, uint64_t back)
{
    PhUpstreamReply reply = {
        .attempt = f->last_attempt - back,
        .end = (PhAttemptEnd)word_index(ends, G_N_ELEMENTS(ends), word[1])};
    reply.not_sent = strcmp(word[2], "unsent") == 0;
    reply.status = atoi(word[2]);
    event_handle(
        f, (PhRequestsEvent){.tag = PH_REQUESTS_REPLIED, .as.replied = reply});
}

/* Advances the clock and fires every timer that expires on the way. */
static void
clock_advance(PhFixture *f, PhTime until)
{
    while (PhRequests_NextTimer(f->requests) <= until) {
        f->now = MAX(f->now, PhRequests_NextTimer(f->requests));
        event_handle(f, (PhRequestsEvent){.tag = PH_REQUESTS_TIMER});
    }
    f->now = until;
}

/* Sends many requests and ignores the resulting actions. */
static void
step_flood(PhFixture *f, char **word)
{
    for (int i = atoi(word[1]); i > 0; i--) {
        step_arrive(f, (char *[]){"arrive", "GET", "/booking", ""});
    }
    f->matched = f->actions->len;
}

static void
step_reply_latest(PhFixture *f, char **word)
{
    step_reply(f, word, 0);
}

static void
step_reply_earlier(PhFixture *f, char **word)
{
    step_reply(f, word, 1);
}

static void
step_advance_time(PhFixture *f, char **word)
{
    clock_advance(f, f->now + atoi(word[1]) * PH_NS_PER_MS);
}

static void
step_disconnect(PhFixture *f, char **word)
{
    (void)word;
    event_handle(f,
                 (PhRequestsEvent){.tag = PH_REQUESTS_CALLER_DISCONNECTED,
                                   .as.caller_disconnected = f->last_request});
}

/* Sets the number of workers; with "leave", the first one is leaving. */
static void
step_workers(PhFixture *f, char **word)
{
    f->leaving = strcmp(word[0], "leave") == 0;
    f->workers = (guint)atoi(word[1]);
    workers_set(f);
}

static void
step_members(PhFixture *f, char **word)
{
    members_set(f, word[1]);
}

/* A claim or a release by request 77 of member C. */
static void
step_claimed(PhFixture *f, char **word)
{
    bool claimed = strcmp(word[0], "claimed") == 0;
    event_handle(f,
                 (PhRequestsEvent){.tag = claimed ? PH_REQUESTS_CLAIM_RECEIVED
                                                  : PH_REQUESTS_CLAIM_RELEASED,
                                   .as.claim = {.member = PhStr_LITERAL("C"),
                                                .key = PhStr_FromC(word[1]),
                                                .request = 77}});
}

/* The verdict of the other replica on the latest request's key. */
static void
step_verdict(PhFixture *f, char **word)
{
    int verdict = word_index(verdicts, G_N_ELEMENTS(verdicts), word[1]);
    event_handle(f, (PhRequestsEvent){.tag = PH_REQUESTS_CLAIM_REPLIED,
                                      .as.claim_replied = {
                                          .request = f->last_request,
                                          .verdict = (PhKeyVerdict)verdict}});
}

static void
step_stop(PhFixture *f, char **word)
{
    (void)word;
    event_handle(f, (PhRequestsEvent){.tag = PH_REQUESTS_STOP});
}

/* A script step that is an event. */
typedef struct PhStep {
    const char *word;
    void (*run)(PhFixture *f, char **word);
} PhStep;

static const PhStep steps[] = {
    {"arrive", step_arrive},      {"flood", step_flood},
    {"reply", step_reply_latest}, {"reply-earlier", step_reply_earlier},
    {"wait", step_advance_time},  {"disconnect", step_disconnect},
    {"leave", step_workers},      {"workers", step_workers},
    {"members", step_members},    {"claimed", step_claimed},
    {"released", step_claimed},   {"verdict", step_verdict},
    {"stop", step_stop},
};

/* Returns false if the step is not an event. */
static bool
step_event(PhFixture *f, char **word)
{
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        if (strcmp(steps[i].word, word[0]) == 0) {
            steps[i].run(f, word);
            return true;
        }
    }
    return false;
}

/* Formats an action as a script step. */
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
        return g_strdup_printf("claim-answer %s",
                               verdicts[a->as.claim.verdict]);
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

/* Compares the next action with the step. */
static void
step_expect(PhFixture *f, const char *step)
{
    if (strcmp(step, "nothing") == 0) {
        assert_int_equal(f->matched, f->actions->len);
        return;
    }
    if (f->matched == f->actions->len) {
        fail_msg("expected action '%s', got none", step);
    }
    char *got = action_describe(
        f, &g_array_index(f->actions, PhRequestsAction, f->matched++));
    assert_string_equal(got, step);
    g_free(got);
}

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

void
PhScript_Check(const PhScriptCase *c)
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
        policies_set(&f);
        workers_set(&f);
    }
    char **texts = g_strsplit(c->script, ";", -1);
    for (char **step = texts; *step != NULL; step++) {
        char *text = g_strstrip(*step);
        if (strcmp(text, "bare") != 0) {
            step_run(&f, text);
        }
    }
    step_run(&f, (char[]){"nothing"});
    g_strfreev(texts);
    PhRequests_Destroy(f.requests);
    g_array_free(f.actions, TRUE);
}
