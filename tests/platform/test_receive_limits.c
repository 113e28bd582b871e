/* Guards against limits on what is received that clients within the stated
 * limits meet, and against slow headers that keep a connection. */
#include <string.h>

#include "listener_rig.h"
#include "peridothill/codec/json.h"
#include "tests/table.h"

enum {
    BODY_LIMIT_BYTES = 256 * 1024,
    HEADERS_BYTES = 16384, /* stated to clients */
    PIECE_BYTES = 4096,
    RUN_STEPS = 20,
    WAIT_STEPS = 900, /* beyond header_time */
    WAITING_CALLERS = 4,
    /* Each is shorter than the interval of the sweep (0.5 s), all together
     * are longer than that of returning memory (5 s). */
    SHORT_CONNECTIONS = 15,
    SHORT_STEPS = 40,
};

typedef struct PhReceiveCase {
    const char *name;
    size_t header_lines; /* of equal length, HEADERS_BYTES in all */
    size_t body;         /* bytes */
    uint64_t budget;     /* 0: none */
    bool pauses;         /* in the headers, for longer than header_time */
    int status;          /* 0: closed without an answer */
} PhReceiveCase;

static const PhReceiveCase receive_cases[] = {
    {"largest headers, few lines", 4, 4, 0, false, 200},
    {"largest headers, many lines", 200, 4, 0, false, 200},
    {"largest headers and body, budget of that size", 200, BODY_LIMIT_BYTES,
     BODY_LIMIT_BYTES, false, 200},
    {"body beyond the budget", 4, BODY_LIMIT_BYTES, BODY_LIMIT_BYTES - 1,
     false, 0},
    {"headers that take too long", 4, 4, 0, true, 0},
};

typedef struct PhReceiveServer {
    PhListenerRig rig;
    PhReceiveBudget *budget;
    size_t body; /* bytes of the last request */
    size_t requests;
    bool keeps; /* requests are not answered */
} PhReceiveServer;

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhReceiveServer *s = context;
    s->body = incoming->body.len;
    s->requests++;
    if (!s->keeps) {
        PhListener_Answer(s->rig.listener, incoming->id, 200, NULL, 0,
                          (PhStr){0});
    }
}

/* `budget`: 0 for none. */
static void
server_open(PhReceiveServer *s, uint64_t budget)
{
    *s = (PhReceiveServer){0};
    s->budget = budget > 0 ? PhReceiveBudget_Create(budget) : NULL;
    PhListenerRig_Open(
        &s->rig,
        &(PhListenerOptions){
            .body_limit_bytes = BODY_LIMIT_BYTES,
            .idle_timeout_s = 60,
            .receive = {.budget = s->budget, .header_time = 3 * PH_NS_PER_S},
            .context = s,
            .on_request = on_request});
}

static void
server_close(PhReceiveServer *s)
{
    PhListenerRig_Close(&s->rig);
    PhReceiveBudget_Destroy(s->budget);
}

/* The headers of a case; all of it takes HEADERS_BYTES. */
static char *
headers_make(const PhReceiveCase *c)
{
    GString *text = g_string_new("POST /a HTTP/1.1\r\nHost: a\r\n");
    g_string_append_printf(text, "Content-Length: %zu\r\n", c->body);
    size_t left = HEADERS_BYTES - text->len - 2;
    for (size_t i = c->header_lines; i > 0; i--) {
        size_t line = left / i;
        size_t before = text->len;
        g_string_append_printf(text, "X-%zu: ", i);
        while (text->len < before + line - 2) {
            g_string_append_c(text, 'x');
        }
        g_string_append(text, "\r\n");
        left -= line;
    }
    g_string_append(text, "\r\n");
    assert_int_equal(text->len, HEADERS_BYTES);
    return g_string_free(text, FALSE);
}

/* Sends in pieces, between which the listener reads. */
static void
text_send(PhReceiveServer *s, const char *text)
{
    char piece[PIECE_BYTES + 1];
    while (*text != '\0' && s->rig.caller.fd >= 0) {
        g_strlcpy(piece, text, sizeof(piece));
        PhRawCaller_Send(&s->rig.caller, piece);
        PhListenerRig_Run(&s->rig, 2);
        text += strlen(piece);
    }
}

static void
request_play(PhReceiveServer *s, const PhReceiveCase *c)
{
    char *headers = headers_make(c);
    char *body = g_strnfill(c->body, 'b');
    char *rest = headers + HEADERS_BYTES / 2;
    char *first = g_strndup(headers, HEADERS_BYTES / 2);
    PhRawCaller_Open(&s->rig.caller, PhListener_Port(s->rig.listener));
    text_send(s, first);
    PhListenerRig_Run(&s->rig, c->pauses ? WAIT_STEPS : 1);
    text_send(s, rest);
    text_send(s, body);
    PhListenerRig_Run(&s->rig, RUN_STEPS);
    g_free(first);
    g_free(headers);
    g_free(body);
}

static void
receive_run(const PhReceiveCase *c)
{
    PhReceiveServer s;
    server_open(&s, c->budget);
    request_play(&s, c);
    assert_int_equal(strstr(s.rig.caller.reply, "HTTP/1.1 200") != NULL,
                     c->status == 200);
    assert_int_equal(s.rig.caller.reply_len > 0, c->status != 0);
    assert_int_equal(s.body, c->status == 200 ? c->body : 0);
    assert_int_equal(s.rig.caller.closed, c->status == 0);
    PhRawCaller_Close(&s.rig.caller);
    PhListenerRig_Run(&s.rig, RUN_STEPS);
    assert_int_equal(PhListener_Connections(s.rig.listener), 0);
    if (s.budget != NULL) {
        assert_int_equal(PhReceiveBudget_Used(s.budget), 0);
    }
    server_close(&s);
}

static void
test_receive(void **state)
{
    (void)state;
    Ph_RUN_TABLE(receive_cases, receive_run);
}

/* Guards against a request that is delivered although the budget has taken
 * its body: only its end arrives after that. */
static void
test_end_after_close(void **state)
{
    PhReceiveServer s;
    PhRawCaller other = {.fd = -1};
    (void)state;
    server_open(&s, 5);
    PhRawCaller_Open(&s.rig.caller, PhListener_Port(s.rig.listener));
    PhRawCaller_Open(&other, PhListener_Port(s.rig.listener));
    PhRawCaller_Send(&s.rig.caller, "POST /a HTTP/1.1\r\nHost: a\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n"
                                    "4\r\nbody\r\n");
    PhRawCaller_Send(&other, "POST /b HTTP/1.1\r\nHost: a\r\n"
                             "Content-Length: 3\r\n\r\n");
    PhListenerRig_Run(&s.rig, RUN_STEPS);
    assert_int_equal(s.requests, 0);
    PhRawCaller_Send(&other, "new"); /* read first */
    PhRawCaller_Send(&s.rig.caller, "0\r\n\r\n");
    PhListenerRig_Run(&s.rig, RUN_STEPS);
    assert_int_equal(s.requests, 1);
    assert_int_equal(s.body, 3);
    assert_true(s.rig.caller.closed);
    assert_int_equal(
        PhCounters_Get(s.rig.counters, PH_COUNTER_RECEIVE_BUDGET_CLOSED), 1);
    PhRawCaller_Close(&other);
    server_close(&s);
}

/* Guards against finished requests that wait for the store and close all new
 * callers: their bodies are freed. */
static void
test_waiting_requests(void **state)
{
    PhReceiveServer s;
    PhRawCaller callers[WAITING_CALLERS];
    (void)state;
    server_open(&s, 5);
    s.keeps = true;
    for (size_t i = 0; i < WAITING_CALLERS; i++) {
        callers[i] = (PhRawCaller){.fd = -1};
        PhRawCaller_Open(&callers[i], PhListener_Port(s.rig.listener));
        PhRawCaller_Send(&callers[i], "POST /a HTTP/1.1\r\nHost: a\r\n"
                                      "Content-Length: 5\r\n\r\nwhole");
        PhListenerRig_Run(&s.rig, RUN_STEPS);
        assert_int_equal(s.requests, i + 1);
        assert_int_equal(s.body, 5);
        assert_int_equal(PhReceiveBudget_Used(s.budget), 0);
    }
    assert_int_equal(
        PhCounters_Get(s.rig.counters, PH_COUNTER_RECEIVE_BUDGET_CLOSED), 0);
    for (size_t i = 0; i < WAITING_CALLERS; i++) {
        PhRawCaller_Close(&callers[i]);
    }
    server_close(&s);
}

/* Guards against short connections that put off the return of memory. */
static void
test_short_connections(void **state)
{
    PhReceiveServer s;
    (void)state;
    server_open(&s, 5);
    for (int i = 0; i < SHORT_CONNECTIONS; i++) {
        PhRawCaller_Open(&s.rig.caller, PhListener_Port(s.rig.listener));
        PhRawCaller_Send(&s.rig.caller,
                         i == 0 ? "POST /a HTTP/1.1\r\nHost: a\r\n"
                                  "Content-Length: 5\r\n\r\nwhole"
                                : "GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        PhListenerRig_Run(&s.rig, SHORT_STEPS);
        assert_int_equal(s.requests, i + 1);
        PhRawCaller_Close(&s.rig.caller);
        PhListenerRig_Run(&s.rig, SHORT_STEPS);
    }
    assert_false(PhReceiveBudget_HasReleased(s.budget));
    server_close(&s);
}

typedef struct PhValuesCase {
    const char *name;
    PhStr text;
    uint64_t values;
} PhValuesCase;

static const PhValuesCase values_cases[] = {
    {"number", PhStr_LITERAL("1"), 1},
    {"empty object", PhStr_LITERAL(" { } "), 1},
    {"members", PhStr_LITERAL("{\"a\":1,\"b\":[]}"), 3},
    {"objects in an array", PhStr_LITERAL("[{},{}, {}]"), 4},
    {"nested", PhStr_LITERAL("[[[1]]]"), 4},
    {"characters in strings", PhStr_LITERAL("[\"[,{\\\"\\\\\",\"],\"]"), 3},
    {"string without an end", PhStr_LITERAL("[\"a\\"), 2},
};

static void
values_run(const PhValuesCase *c)
{
    json_t *value;
    assert_int_equal(PhJson_CountValues(c->text), c->values);
    PhResult r;
    if (c->values > 1) {
        r = PhJson_ParseLimited(c->text, c->values - 1, &value);
        assert_int_equal(r.status, PH_STATUS_TOO_LARGE);
        assert_null(value);
    }
    r = PhJson_ParseLimited(c->text, 0, &value);
    assert_int_not_equal(r.status, PH_STATUS_TOO_LARGE);
    json_decref(value);
    r = PhJson_ParseLimited(c->text, c->values, &value);
    assert_int_not_equal(r.status, PH_STATUS_TOO_LARGE);
    json_decref(value);
}

static void
test_values(void **state)
{
    (void)state;
    Ph_RUN_TABLE(values_cases, values_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_receive),
        cmocka_unit_test(test_end_after_close),
        cmocka_unit_test(test_waiting_requests),
        cmocka_unit_test(test_short_connections),
        cmocka_unit_test(test_values),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
