#include "peridothill/services/platform_list.h"

#include <string.h>

#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "scripted_task.h"
#include "tests/table.h"

enum {
    TRACE_BYTES = 32,
    MAILBOX_CAPACITY = 16
};

/* The platform's response to one poll. */
typedef enum PhPlatformAnswer {
    PLATFORM_LIST,              /* list with an ETag */
    PLATFORM_LIST_WITHOUT_ETAG, /* list without an ETag */
    PLATFORM_NOT_MODIFIED,      /* 304 */
    PLATFORM_INVALID_BODY,      /* 200 with a body that is not a list */
    PLATFORM_UNAVAILABLE,       /* 503 */
    PLATFORM_SILENT,            /* no answer */
} PhPlatformAnswer;

/* Responses to polls that are one second apart. `trace` is what an early
 * subscriber receives: R reading, U unchanged, F failed. `known` has one
 * letter per poll: v if the request named the ETag, n if not. */
typedef struct PhListCase {
    const char *name;
    PhPlatformAnswer answers[4];
    size_t polls;
    const char *trace;
    const char *etags;
    const char *late_trace; /* trace of a subscriber that joins at the end */
} PhListCase;

static const PhListCase list_cases[] = {
    {"ETag in every response",
     {PLATFORM_LIST, PLATFORM_LIST},
     2,
     "RR",
     "nv",
     "R"},
    {"not modified",
     {PLATFORM_LIST, PLATFORM_NOT_MODIFIED},
     2,
     "RU",
     "nv",
     "R"},
    {"no ETags",
     {PLATFORM_LIST_WITHOUT_ETAG, PLATFORM_LIST_WITHOUT_ETAG},
     2,
     "RR",
     "nn",
     "R"},
    {"unavailable, then not modified",
     {PLATFORM_LIST, PLATFORM_UNAVAILABLE, PLATFORM_NOT_MODIFIED},
     3,
     "RFU",
     "nvv",
     "R"},
    {"no response at first",
     {PLATFORM_SILENT, PLATFORM_LIST},
     2,
     "FR",
     "nn",
     "R"},
    {"never available",
     {PLATFORM_UNAVAILABLE, PLATFORM_UNAVAILABLE},
     2,
     "FF",
     "nn",
     ""},
    {"not modified without a reading",
     {PLATFORM_NOT_MODIFIED},
     1,
     "F",
     "n",
     ""},
    {"invalid body keeps the last reading",
     {PLATFORM_LIST, PLATFORM_INVALID_BODY, PLATFORM_NOT_MODIFIED},
     3,
     "RFU",
     "nvv",
     "R"},
    {"ETag is dropped with its reading",
     {PLATFORM_LIST, PLATFORM_LIST_WITHOUT_ETAG, PLATFORM_LIST},
     3,
     "RRR",
     "nvn",
     "R"},
};

/* Stand-in for the task "http". */
typedef struct PhPlatform {
    const PhListCase *c;
    size_t polls;
    char etags[TRACE_BYTES];
} PhPlatform;

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
    case PLATFORM_LIST_WITHOUT_ETAG:
        r.body = PhStr_Dup(list);
        break;
    case PLATFORM_NOT_MODIFIED:
        r.status = 304;
        break;
    case PLATFORM_INVALID_BODY:
        r.body = PhStr_Dup(PhStr_LITERAL("<html>"));
        break;
    case PLATFORM_UNAVAILABLE:
        r.status = 503;
        break;
    case PLATFORM_SILENT:
        r.outcome = PH_HTTP_UNKNOWN;
        break;
    }
    return r;
}

/* Polls beyond the case get no reply. */
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
    p->etags[p->polls] =
        PhStr_Equal(version, PhStr_LITERAL("\"7\"")) ? 'v' : 'n';
    PhHttpMessage reply = {
        .tag = PH_HTTP_REPLY,
        .as.reply = reply_make(p->c->answers[p->polls], m->as.send.id)};
    p->polls++;
    PhTask_Send(self, mail->from, PhHttpMessage_Wrap(&reply));
}

/* Subscribes on start and records the messages received. */
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
    PhScriptedTask_Spawn(kernel, PH_SERVICE_HTTP, MAILBOX_CAPACITY, &platform,
                         platform_handle);
    assert_int_equal(PhPlatformList_Start(kernel, &options), PH_STATUS_OK);
    PhScriptedTask_Spawn(kernel, PhStr_LITERAL("subscriber"), MAILBOX_CAPACITY,
                         trace, subscriber_handle);
    PhKernel_AdvanceTo(kernel, (PhTime)(c->polls - 1) * PH_NS_PER_S);
    PhScriptedTask_Spawn(kernel, PhStr_LITERAL("late"), MAILBOX_CAPACITY, late,
                         subscriber_handle);
    PhKernel_Drain(kernel, SIZE_MAX);
    assert_string_equal(trace, c->trace);
    assert_string_equal(platform.etags, c->etags);
    assert_string_equal(late, c->late_trace);
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
}

/* Guards against losing the last reading, or keeping a stale ETag, when polls
 * fail or return 304. */
static void
test_list(void **state)
{
    (void)state;
    Ph_RUN_TABLE(list_cases, check_list);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_list),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
