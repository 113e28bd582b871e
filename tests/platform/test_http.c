#include "peridothill/services/http.h"

#include <unistd.h>

#include "listener_rig.h"
#include "peridothill/codec/list_json.h"
#include "peridothill/codec/log_json.h"
#include "peridothill/services/interface.h"
#include "tests/table.h"

enum {
    ANSWER_TIMER = 1
};

/* The server's reaction to a request. */
typedef enum PhServerAction {
    SERVER_ANSWERS,
    SERVER_ANSWERS_LATE,
    SERVER_CLOSES_LATE,
    SERVER_IS_SILENT,
    SERVER_IS_ABSENT,
} PhServerAction;

/* A request and its expected result. */
typedef struct PhHttpCase {
    const char *name;
    PhServerAction action;
    size_t body_bytes;
    size_t answer_limit_bytes;
    PhTime first_byte_ms;
    PhHttpOutcome outcome;
    PhHttpFailure failure;
    int status;
} PhHttpCase;

static const PhHttpCase http_cases[] = {
    {"answered", SERVER_ANSWERS, 10, 1000, 0, PH_HTTP_ANSWERED,
     PH_HTTP_FAILURE_NONE, 200},
    {"empty body", SERVER_ANSWERS, 0, 1000, 0, PH_HTTP_ANSWERED,
     PH_HTTP_FAILURE_NONE, 200},
    {"64 KiB body", SERVER_ANSWERS, 65536, 65536, 0, PH_HTTP_ANSWERED,
     PH_HTTP_FAILURE_NONE, 200},
    {"answered after a delay", SERVER_ANSWERS_LATE, 10, 1000, 0,
     PH_HTTP_ANSWERED, PH_HTTP_FAILURE_NONE, 200},
    {"64 KiB answered after a delay", SERVER_ANSWERS_LATE, 65536, 65536, 0,
     PH_HTTP_ANSWERED, PH_HTTP_FAILURE_NONE, 200},
    {"connection closed without an answer", SERVER_CLOSES_LATE, 10, 1000, 0,
     PH_HTTP_UNKNOWN, PH_HTTP_FAILURE_RESET, 0},
    {"answer above the limit", SERVER_ANSWERS, 1001, 1000, 0, PH_HTTP_UNKNOWN,
     PH_HTTP_FAILURE_TOO_LARGE, 200},
    {"body above the server's limit", SERVER_ANSWERS, 65537, 100, 0,
     PH_HTTP_ANSWERED, PH_HTTP_FAILURE_NONE, 413},
    {"no first byte by its deadline", SERVER_IS_SILENT, 10, 1000, 30,
     PH_HTTP_UNKNOWN, PH_HTTP_FAILURE_FIRST_BYTE, 0},
    {"no answer by the deadline", SERVER_IS_SILENT, 10, 1000, 0,
     PH_HTTP_UNKNOWN, PH_HTTP_FAILURE_DEADLINE, 0},
    {"connection refused", SERVER_IS_ABSENT, 10, 1000, 0, PH_HTTP_NOT_SENT,
     PH_HTTP_FAILURE_CONNECT, 0},
};

/* A task that runs a server and sends one request to it. */
typedef struct PhEchoServer {
    const PhHttpCase *c;
    PhTask *self;
    PhListener *listener;
    bool done;
    bool disconnected;
    size_t served;
    uint64_t waiting; /* id of the request to answer after a delay */
    PhStr body;
} PhEchoServer;

/* Reports whether the reply has arrived and, for an unanswered request, the
 * server has seen the caller disconnect. */
static bool
is_over(const PhEchoServer *e)
{
    return e->done && (e->c->action != SERVER_IS_SILENT || e->disconnected);
}

/* Echoes the body of the request. */
static void
on_request(void *context, const PhIncoming *incoming)
{
    PhEchoServer *e = context;
    e->served++;
    assert_true(PhStr_Equal(incoming->path, PhStr_LITERAL("/a%2Fb")));
    assert_true(PhStr_Equal(incoming->query, PhStr_LITERAL("k=v%20w&x")));
    assert_true(PhStr_Equal(PhHttpHeader_Find(incoming->headers,
                                              incoming->header_count,
                                              PhStr_LITERAL("x-test")),
                            PhStr_LITERAL("yes")));
    switch (e->c->action) {
    case SERVER_ANSWERS:
        PhListener_Answer(e->listener, incoming->id, 200, incoming->headers, 0,
                          incoming->body);
        break;
    case SERVER_ANSWERS_LATE:
    case SERVER_CLOSES_LATE:
        e->waiting = incoming->id;
        e->body = PhStr_Dup(incoming->body);
        PhTask_SetTimer(e->self, ANSWER_TIMER,
                        PhTask_Now(e->self) + 5 * PH_NS_PER_MS);
        break;
    case SERVER_IS_SILENT:
    case SERVER_IS_ABSENT:
        break;
    }
}

/* Answers the waiting request or closes its connection. */
static void
answer_delayed(PhEchoServer *e)
{
    if (e->c->action == SERVER_CLOSES_LATE) {
        PhListener_Drop(e->listener, e->waiting);
    }
    else {
        PhListener_Answer(e->listener, e->waiting, 200, NULL, 0, e->body);
    }
    PhStr_Clear(&e->body);
}

static void
on_client_disconnect(void *context, uint64_t id)
{
    PhEchoServer *e = context;
    (void)id;
    e->disconnected = true;
}

static void
send_request(PhEchoServer *e)
{
    char *body = g_strnfill(e->c->body_bytes, 'b');
    PhBuf address = {0};
    uint16_t port =
        e->c->action == SERVER_IS_ABSENT ? 1 : PhListener_Port(e->listener);
    PhTime now = PhTask_Now(e->self);
    PhBuf_AppendFormat(&address, "127.0.0.1:%u", port);
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = 77,
                    .method = PhStr_Dup(PhStr_LITERAL("POST")),
                    .address = PhBuf_Take(&address),
                    .target = PhStr_Dup(PhStr_LITERAL("/a%2Fb?k=v%20w&x")),
                    .body = PhStr_FromBytes(body, e->c->body_bytes),
                    .deadline = now + (e->c->action == SERVER_IS_SILENT
                                           ? 60 * PH_NS_PER_MS
                                           : 20 * PH_NS_PER_S),
                    .first_byte =
                        e->c->first_byte_ms == 0
                            ? PH_TIME_NEVER
                            : now + e->c->first_byte_ms * PH_NS_PER_MS,
                    .answer_limit_bytes = e->c->answer_limit_bytes}};
    PhHttpHeader_Add(&m.as.send.headers, &m.as.send.header_count,
                     PhStr_LITERAL("X-Test"), PhStr_LITERAL("yes"));
    assert_int_equal(
        PhTask_SendTo(e->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m)),
        PH_STATUS_OK);
}

static void
check_reply(PhEchoServer *e, const PhHttpReply *reply)
{
    assert_int_equal(reply->id, 77);
    assert_int_equal(reply->outcome, e->c->outcome);
    assert_int_equal(reply->failure, e->c->failure);
    assert_int_equal(reply->status, e->c->status);
    if (reply->outcome == PH_HTTP_ANSWERED && reply->status == 200) {
        assert_int_equal(reply->body.len, e->c->body_bytes);
    }
    e->done = true;
}

static void
echo_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEchoServer *e = state;
    e->self = self;
    if (mail->kind == PH_MAIL_START) {
        e->listener = PhListenerRig_CreateListener(
            self, &(PhListenerOptions){.body_limit_bytes = 65536,
                                       .idle_timeout_s = 5,
                                       .context = e,
                                       .on_request = on_request,
                                       .on_client_disconnect =
                                           on_client_disconnect});
        send_request(e);
        return;
    }
    if (PhListener_Handle(e->listener, mail)) {
        return;
    }
    if (mail->kind == PH_MAIL_TIMER && mail->as.timer == ANSWER_TIMER) {
        answer_delayed(e);
        return;
    }
    if (mail->kind == PH_MAIL_MESSAGE &&
        mail->as.message.interface == PH_INTERFACE_HTTP) {
        const PhHttpMessage *m = mail->as.message.body;
        assert_int_equal(m->tag, PH_HTTP_REPLY);
        check_reply(e, &m->as.reply);
    }
}

static void
echo_destroy(void *state)
{
    PhListener_Destroy(((PhEchoServer *)state)->listener);
}

static void
check_http(const PhHttpCase *c)
{
    PhListenerRig rig;
    PhEchoServer e = {.c = c};
    PhListenerRig_OpenKernel(&rig);
    assert_int_equal(PhHttp_Start(rig.kernel), PH_STATUS_OK);
    PhTaskSpec spec = {.name = PhStr_LITERAL("echo"),
                       .mailbox_capacity = 16,
                       .state = &e,
                       .handle = echo_handle,
                       .destroy = echo_destroy};
    assert_int_equal(PhKernel_Spawn(rig.kernel, &spec, NULL), PH_STATUS_OK);
    while (!is_over(&e)) {
        PhListenerRig_Run(&rig, 1);
    }
    assert_int_equal(e.served,
                     c->action != SERVER_IS_ABSENT && c->status != 413);
    PhListenerRig_Close(&rig);
}

/* Guards against reporting a wrong outcome for an HTTP request over real
 * sockets. */
static void
test_http(void **state)
{
    (void)state;
    Ph_RUN_TABLE(http_cases, check_http);
}

/* A query string and the expected value of key "k". */
typedef struct PhQueryCase {
    const char *name;
    const char *query;
    bool found;
    const char *value;
} PhQueryCase;

static const PhQueryCase query_cases[] = {
    {"found", "a=1&k=2", true, "2"},    {"decoded", "k=a%20b", true, "a b"},
    {"no value", "k", true, ""},        {"missing", "a=1", false, ""},
    {"bad escape", "k=%zz", false, ""}, {"empty", "", false, ""},
};

static void
check_query(const PhQueryCase *c)
{
    PhStr value = {0};
    assert_int_equal(PhListener_QueryValue(PhStr_FromC(c->query),
                                           PhStr_LITERAL("k"), &value),
                     c->found);
    assert_true(PhStr_Equal(value, PhStr_FromC(c->value)));
    PhStr_Clear(&value);
}

/* Guards against misreading query strings. */
static void
test_query(void **state)
{
    (void)state;
    Ph_RUN_TABLE(query_cases, check_query);
}

/* Responses of the platform and the number of entries or records decoded, or
 * -1 if the response is rejected. */
typedef struct PhDecodeCase {
    const char *name;
    const char *list;
    int entries;
    const char *records;
    int record_count;
} PhDecodeCase;

static const PhDecodeCase decode_cases[] = {
    {"empty", "{\"entries\":[]}", 0,
     "{\"first\":0,\"next\":0,\"end\":0,\"records\":[]}", 0},
    {"one",
     "{\"entries\":[{\"id\":\"w\",\"role\":\"worker\",\"state\":"
     "\"live\",\"slots\":-5}]}",
     1,
     "{\"first\":0,\"next\":1,\"end\":1,\"records\":[{\"offset\":0,"
     "\"body\":\"a\\u0000b\"}]}",
     1},
    {"unknown role",
     "{\"entries\":[{\"id\":\"w\",\"role\":\"x\",\"state\":"
     "\"live\"}]}",
     0, "{\"first\":0,\"next\":1,\"end\":1,\"records\":[{\"body\":\"a\"}]}",
     -1},
    {"not JSON", "<html>", -1, "", -1},
    {"unexpected JSON", "[]", -1, "{}", -1},
};

static void
check_decode(const PhDecodeCase *c)
{
    PhListReading reading = {0};
    PhLogRecords records = {0};
    PhResult r = PhListJson_Decode(PhStr_FromC(c->list), &reading);
    assert_int_equal(PhResult_IsOk(&r), c->entries >= 0);
    assert_int_equal(reading.entry_count, MAX(c->entries, 0));
    r = PhLogJson_DecodeRecords(PhStr_FromC(c->records), &records);
    assert_int_equal(PhResult_IsOk(&r), c->record_count >= 0);
    assert_int_equal(records.record_count, MAX(c->record_count, 0));
    PhListReading_Clear(&reading);
    PhLogRecords_Clear(&records);
}

/* Guards against accepting malformed responses of the platform. */
static void
test_decode(void **state)
{
    (void)state;
    Ph_RUN_TABLE(decode_cases, check_decode);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_http),
        cmocka_unit_test(test_query),
        cmocka_unit_test(test_decode),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
