#include "peridothill/services/platform_list.h"

#include <string.h>

#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "tests/table.h"

enum {
    TRACE_BYTES = 32,
    MAILBOX_CAPACITY = 16
};

/* What the platform answers to one poll. */
typedef enum PhPlatformAnswer {
    PLATFORM_LIST,        /* the list, with a version */
    PLATFORM_BARE_LIST,   /* the list, without a version */
    PLATFORM_NOT_CHANGED, /* 304 */
    PLATFORM_GARBAGE,     /* 200 with a body that is no list */
    PLATFORM_DOWN,        /* 503 */
    PLATFORM_SILENT,      /* no answer */
} PhPlatformAnswer;

/* Answers to polls one second apart.  The trace has what a subscriber from
 * the start is sent: R reading, U unchanged, F no answer; `known` has v for
 * each poll that named the version, n for the others. */
typedef struct PhListCase {
    const char *name;
    PhPlatformAnswer answers[4];
    size_t polls;
    const char *trace;
    const char *known;
    const char *late_trace; /* of a subscriber that comes at the end */
} PhListCase;

static const PhListCase list_cases[] = {
    {"a version each time",
     {PLATFORM_LIST, PLATFORM_LIST},
     2,
     "RR",
     "nv",
     "R"},
    {"not changed", {PLATFORM_LIST, PLATFORM_NOT_CHANGED}, 2, "RU", "nv", "R"},
    {"no versions",
     {PLATFORM_BARE_LIST, PLATFORM_BARE_LIST},
     2,
     "RR",
     "nn",
     "R"},
    {"down, then not changed",
     {PLATFORM_LIST, PLATFORM_DOWN, PLATFORM_NOT_CHANGED},
     3,
     "RFU",
     "nvv",
     "R"},
    {"silent at first", {PLATFORM_SILENT, PLATFORM_LIST}, 2, "FR", "nn", "R"},
    {"never up", {PLATFORM_DOWN, PLATFORM_DOWN}, 2, "FF", "nn", ""},
    {"not changed without a reading", {PLATFORM_NOT_CHANGED}, 1, "F", "n", ""},
    {"garbage keeps the reading",
     {PLATFORM_LIST, PLATFORM_GARBAGE, PLATFORM_NOT_CHANGED},
     3,
     "RFU",
     "nvv",
     "R"},
    {"the version goes with its reading",
     {PLATFORM_LIST, PLATFORM_BARE_LIST, PLATFORM_LIST},
     3,
     "RRR",
     "nvn",
     "R"},
};

/* The task "http" of the test. */
typedef struct PhPlatform {
    const PhListCase *c;
    size_t polls;
    char known[TRACE_BYTES];
} PhPlatform;

/* Makes the reply to one poll. */
static PhHttpReply
reply_make(PhPlatformAnswer answer, uint64_t id)
{
    PhStr list = PhStr_LITERAL("{\"entries\":[{\"id\":\"w\",\"role\":"
                               "\"worker\",\"state\":\"live\"}]}");
    PhHttpReply r = {.id = id, .outcome = PH_HTTP_ANSWERED, .status = 200};
    switch (answer) {
    case PLATFORM_LIST:
        PhHttpHeader_Add(&r.headers, &r.header_count, PhStr_LITERAL("etag"),
                         PhStr_LITERAL("\"7\""));
        r.body = PhStr_Dup(list);
        break;
    case PLATFORM_BARE_LIST:
        r.body = PhStr_Dup(list);
        break;
    case PLATFORM_NOT_CHANGED:
        r.status = 304;
        break;
    case PLATFORM_GARBAGE:
        r.body = PhStr_Dup(PhStr_LITERAL("<html>"));
        break;
    case PLATFORM_DOWN:
        r.status = 503;
        break;
    case PLATFORM_SILENT:
        r.outcome = PH_HTTP_UNKNOWN;
        break;
    }
    return r;
}

/* Answers each poll as the case says; later ones are left open. */
static void
platform_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhPlatform *p = state;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhHttpMessage *m = mail->as.message.body;
    if (m->tag != PH_HTTP_SEND || p->polls == p->c->polls) {
        return;
    }
    PhStr version =
        PhHttpHeader_Find(m->as.send.headers, m->as.send.header_count,
                          PhStr_LITERAL("If-None-Match"));
    p->known[p->polls] =
        PhStr_Equal(version, PhStr_LITERAL("\"7\"")) ? 'v' : 'n';
    PhHttpMessage reply = {
        .tag = PH_HTTP_REPLY,
        .as.reply = reply_make(p->c->answers[p->polls], m->as.send.id)};
    p->polls++;
    PhTask_Send(self, mail->from, PhHttpMessage_Wrap(&reply));
}

/* Subscribes at the start and traces what it is sent. */
static void
subscriber_handle(void *state, PhTask *self, const PhMail *mail)
{
    char *trace = state;
    if (mail->kind == PH_MAIL_START) {
        PhListMessage m = {.tag = PH_LIST_SUBSCRIBE};
        PhTask_SendTo(self, PH_SERVICE_LIST, PhListMessage_Wrap(&m));
        return;
    }
    const PhListMessage *m = mail->as.message.body;
    switch (m->tag) {
    case PH_LIST_READING:
        assert_int_equal(m->as.reading.entry_count,
                         m->as.reading.status == PH_STATUS_OK);
        trace[strlen(trace)] =
            m->as.reading.status == PH_STATUS_OK ? 'R' : 'F';
        break;
    case PH_LIST_UNCHANGED:
        trace[strlen(trace)] = 'U';
        break;
    case PH_LIST_SUBSCRIBE:
        fail();
    }
}

/* Spawns a task of the test. */
static void
spawn(PhKernel *kernel, PhStr name, void *state,
      void (*handle)(void *, PhTask *, const PhMail *))
{
    PhTaskSpec spec = {.name = name,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = state,
                       .handle = handle};
    assert_int_equal(PhKernel_Spawn(kernel, &spec, NULL), PH_STATUS_OK);
}

/* Polls as often as the case says. */
static void
check_list(const PhListCase *c)
{
    PhPlatform platform = {.c = c};
    char trace[TRACE_BYTES] = {0};
    char late[TRACE_BYTES] = {0};
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    PhListOptions options = {.address = PhStr_LITERAL("127.0.0.1:1"),
                             .poll_interval = PH_NS_PER_S};
    spawn(kernel, PH_SERVICE_HTTP, &platform, platform_handle);
    assert_int_equal(PhPlatformList_Start(kernel, &options), PH_STATUS_OK);
    spawn(kernel, PhStr_LITERAL("subscriber"), trace, subscriber_handle);
    PhKernel_AdvanceTo(kernel, (PhTime)(c->polls - 1) * PH_NS_PER_S);
    spawn(kernel, PhStr_LITERAL("late"), late, subscriber_handle);
    PhKernel_Drain(kernel, SIZE_MAX);
    assert_string_equal(trace, c->trace);
    assert_string_equal(platform.known, c->known);
    assert_string_equal(late, c->late_trace);
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
}

/* Polls of the list, with and without versions. */
static void
test_list(void **state)
{
    (void)state;
    Ph_RUN_TABLE(list_cases, check_list);
}

/* Runs the tests of the list. */
int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_list),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
