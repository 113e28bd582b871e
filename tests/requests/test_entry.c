/* Tests of the task "entry" over real sockets. */
#include <string.h>
#include <sys/socket.h>

#include "entry_fixture.h"
#include "peridothill/services/interface.h"
#include "tests/table.h"

#define POST "POST /booking HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
#define GET "GET /booking HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"

/* A request, the worker's behaviour and the expected response. `absent` is a
 * text that the response must not contain. */
typedef struct PhEntryCase {
    const char *name;
    const char *request;
    PhWorkerAction action;
    const char *status;
    const char *text;
    const char *absent;
    unsigned executed;
    bool unconfigured;
    bool unlisted;
    PhOtherReplica other_replica;
} PhEntryCase;

static const PhEntryCase entry_cases[] = {
    {"answered", POST "Content-Length: 2\r\n\r\nab", WORKER_ANSWERS, "200",
     "hello", "Outcome", 1},
    {"worker closes after execution", POST "Content-Length: 2\r\n\r\nab",
     WORKER_CLOSES, "502", "Outcome: unknown", "Retry-After", 1},
    {"worker closes a reused connection after execution",
     "GET /booking HTTP/1.1\r\nHost: h\r\n\r\n" POST
     "Content-Length: 2\r\n\r\nab",
     WORKER_CLOSES, "200", "Outcome: unknown", NULL, 1},
    {"worker resets after execution", POST "Content-Length: 2\r\n\r\nab",
     WORKER_RESETS, "502", "Outcome: unknown", NULL, 1},
    {"truncated response", POST "Content-Length: 2\r\n\r\nab",
     WORKER_TRUNCATES, "502", "Reason: upstream-truncated", "hello", 1},
    {"chunked response without a last chunk",
     POST "Content-Length: 2\r\n\r\nab", WORKER_SENDS_CHUNKS_CUT, "502",
     "Outcome: unknown", "hello", 1},
    {"idempotent request is retried",
     "PUT /booking HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
     "Content-Length: 2\r\n\r\nab",
     WORKER_TRUNCATES, "502", "Outcome: unknown", "hello", 2},
    {"extra bytes after the response", POST "Content-Length: 2\r\n\r\nab",
     WORKER_SENDS_MORE, "200", "hello", "evil", 1},
    {"response with two Content-Length headers",
     POST "Content-Length: 2\r\n\r\nab", WORKER_SENDS_TWO_LENGTHS, "502",
     "Outcome: unknown", "hello", 1},
    {"silent worker",
     POST "Request-Timeout-Ms: 60\r\nContent-Length: 2\r\n\r\nab",
     WORKER_IS_SILENT, "504", "Reason: deadline-in-flight", NULL, 1},
    {"response after the deadline",
     POST "Request-Timeout-Ms: 60\r\nContent-Length: 2\r\n\r\nab",
     WORKER_ANSWERS_LATE, "504", "Outcome: unknown", "hello", 1},
    {"worker's own not-run header is removed",
     POST "Content-Length: 2\r\n\r\nab", WORKER_CLAIMS_NOT_RUN, "500", "hello",
     "Outcome", 1},
    {"no configuration yet", POST "Content-Length: 2\r\n\r\nab",
     WORKER_ANSWERS, "503", "Reason: no-config", NULL, 0, true},
    {"no worker for the service", POST "Content-Length: 2\r\n\r\nab",
     WORKER_ANSWERS, "503", "Outcome: not-run\r\n", NULL, 0, false, true},
    {"no service for the path",
     "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", WORKER_ANSWERS,
     "404", "Outcome: not-run", NULL, 0},
    {"deadline header is not a number", GET "Request-Timeout-Ms: soon\r\n\r\n",
     WORKER_ANSWERS, "400", "Reason: bad-request", NULL, 0},
    {"two idempotency keys",
     POST "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"
          "Content-Length: 0\r\n\r\n",
     WORKER_ANSWERS, "400", "Outcome: not-run", NULL, 0},
    {"key claim without a known membership",
     POST "Idempotency-Key: a\r\nContent-Length: 0\r\n\r\n", WORKER_ANSWERS,
     "503", "Reason: key-unclear", NULL, 0},
    {"key granted by the other replica",
     POST "Idempotency-Key: a\r\nContent-Length: 0\r\n\r\n", WORKER_ANSWERS,
     "200", "hello", NULL, 1, .other_replica = OTHER_REPLICA_GRANTS},
    {"key known to the other replica",
     POST "Idempotency-Key: a\r\nContent-Length: 0\r\n\r\n", WORKER_ANSWERS,
     "409", "Reason: key-repeated", NULL, 0,
     .other_replica = OTHER_REPLICA_KNOWS_KEY},
    {"key whose other replica does not reply",
     POST "Idempotency-Key: a\r\nContent-Length: 0\r\n\r\n", WORKER_ANSWERS,
     "503", "Reason: key-unclear", NULL, 0,
     .other_replica = OTHER_REPLICA_IS_SILENT},
    {"two Content-Length headers",
     POST "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", WORKER_ANSWERS,
     "400", "", "hello", 0},
    {"Content-Length with chunked encoding",
     POST "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
          "0\r\n\r\nGET /booking HTTP/1.1\r\nHost: h\r\n\r\n",
     WORKER_ANSWERS, "400", "", "hello", 0},
    {"unknown transfer coding",
     POST "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", WORKER_ANSWERS,
     "400", "", "hello", 0},
    {"Content-Length with a sign", POST "Content-Length: +2\r\n\r\nab",
     WORKER_ANSWERS, "400", "", "hello", 0},
    {"body above the limit", POST "Content-Length: 2000\r\n\r\nab",
     WORKER_ANSWERS, "413", "", "hello", 0},
    {"header above the limit", NULL, WORKER_ANSWERS, "431", "", "hello", 0},
    {"headers without an end", "POST /booking HTTP/1.1\r\nHost: h\r\nX: ",
     WORKER_ANSWERS, "", "", "hello", 0},
    {"body shorter than its length", POST "Content-Length: 9\r\n\r\nab",
     WORKER_ANSWERS, "", "", "hello", 0},
    {"readiness",
     "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
     WORKER_ANSWERS, "200", "ready", "not", 0},
    {"readiness without configuration",
     "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
     WORKER_ANSWERS, "503", "not ready", NULL, 0, true},
};

/* A request with a header of 200 KiB. */
static char *
oversize_header(void)
{
    enum {
        HEADER_BYTES = 200 * 1024
    };
    char *fill = g_strnfill(HEADER_BYTES, 'x');
    char *request = g_strconcat(GET "X: ", fill, "\r\n\r\n", NULL);
    g_free(fill);
    return request;
}

/* Checks that the refusal reason in the response was counted. */
static void
check_counted(const PhEntryFixture *f, const char *text)
{
    static const char head[] = "Reason: ";
    if (!g_str_has_prefix(text, head)) {
        return;
    }
    PhBuf out = {0};
    PhCounters_Render(f->counters, &out);
    PhBuf_AppendByte(&out, '\0');
    char *row = g_strdup_printf("reason=\"%s\"} 1\n", text + sizeof(head) - 1);
    assert_non_null(strstr(out.data, row));
    g_free(row);
    PhBuf_Clear(&out);
}

static void
check_entry(const PhEntryCase *c)
{
    char *oversize = c->request == NULL ? oversize_header() : NULL;
    PhEntryFixture f = {.action = c->action,
                        .configured = !c->unconfigured,
                        .listed = !c->unlisted,
                        .other_replica = c->other_replica,
                        .callers = 1,
                        .request = c->request == NULL ? oversize : c->request};
    PhEntryFixture_Run(&f);
    PhBuf_AppendByte(&f.caller[0].in, '\0');
    const char *got = f.caller[0].in.data;
    assert_int_equal(f.ended, 1);
    if (*c->status != '\0') {
        assert_true(g_str_has_prefix(got, "HTTP/1.1 "));
        assert_memory_equal(got + 9, c->status, 3);
    }
    if (strstr(got, c->text) == NULL) {
        fail_msg("text '%s' missing in response '%s'", c->text, got);
    }
    if (c->absent != NULL && strstr(got, c->absent) != NULL) {
        fail_msg("unexpected text '%s' in response '%s'", c->absent, got);
    }
    assert_int_equal(f.executed, c->executed);
    check_counted(&f, c->text);
    PhEntryFixture_Clear(&f);
    g_free(oversize);
}

/* Guards against wrong responses to malformed requests, failing workers and
 * key claims. */
static void
test_entry(void **state)
{
    (void)state;
    Ph_RUN_TABLE(entry_cases, check_entry);
}

/* Requests in flight while the entry is stopped, twice. */
typedef struct PhDrainCase {
    const char *name;
    unsigned callers;
    const char *request;
    PhWorkerAction action;
    unsigned answered;
} PhDrainCase;

static const PhDrainCase drain_cases[] = {
    {"no callers", 0, "", WORKER_ANSWERS, 0},
    {"delayed responses", 8, POST "Content-Length: 2\r\n\r\nab",
     WORKER_ANSWERS_LATE, 8},
    {"keep-alive connections", 8,
     "POST /booking HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
     WORKER_ANSWERS_LATE, 8},
    {"bounded by the deadline", 3, POST "Content-Length: 2\r\n\r\nab",
     WORKER_IS_SILENT, 0},
};

static void
check_drain(const PhDrainCase *c)
{
    PhEntryFixture f = {.action = c->action,
                        .configured = true,
                        .listed = true,
                        .callers = c->callers,
                        .request = c->request,
                        .stop_entry = true};
    unsigned answered = 0;
    PhEntryFixture_Run(&f);
    assert_true(PhTaskRef_IsNone(PhKernel_Lookup(f.kernel, PH_SERVICE_ENTRY)));
    for (unsigned i = 0; i < c->callers; i++) {
        char bytes[READ_BYTES];
        ssize_t n;
        while ((n = recv(f.caller[i].fd, bytes, sizeof(bytes), 0)) > 0) {
            PhBuf_Append(&f.caller[i].in, PhStr_FromBytes(bytes, (size_t)n));
        }
        assert_int_equal(n, 0);
        PhBuf_AppendByte(&f.caller[i].in, '\0');
        answered += strstr(f.caller[i].in.data, "hello") != NULL;
        assert_non_null(strstr(f.caller[i].in.data, "HTTP/1.1 "));
    }
    assert_int_equal(answered, c->answered);
    assert_int_equal(f.executed, c->callers);
    PhEntryFixture_Clear(&f);
}

/* Guards against a stop that cuts off requests in flight. */
static void
test_drain(void **state)
{
    (void)state;
    Ph_RUN_TABLE(drain_cases, check_drain);
}

/* More callers than connections. Each keeps its connection open after the
 * answer, and the entry's idle timeout is above the watchdog's time. */
typedef struct PhLimitCase {
    const char *name;
    unsigned callers;
    unsigned connection_limit;
    const char *request;
    PhWorkerAction action;
    const char *status;
} PhLimitCase;

static const PhLimitCase limit_cases[] = {
    {"idle connections at the limit", 12, 4,
     "GET /booking HTTP/1.1\r\nHost: h\r\n\r\n", WORKER_ANSWERS, "200"},
    {"requests in flight at the limit", 12, 4,
     "PUT /booking HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
     WORKER_ANSWERS_LATE, "200"},
    {"refusals at the limit", 12, 4, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
     WORKER_ANSWERS, "404"},
    {"one connection", 6, 1, "GET /booking HTTP/1.1\r\nHost: h\r\n\r\n",
     WORKER_ANSWERS, "200"},
    {"callers within the limit", 4, 8,
     "GET /booking HTTP/1.1\r\nHost: h\r\n\r\n", WORKER_ANSWERS, "200"},
};

static void
check_limit(const PhLimitCase *c)
{
    PhEntryFixture f = {.action = c->action,
                        .configured = true,
                        .listed = true,
                        .callers = c->callers,
                        .request = c->request,
                        .connection_limit = c->connection_limit,
                        .idle_timeout_s = 2 * WATCHDOG_S,
                        .callers_stay = true};
    unsigned closed = 0;
    PhEntryFixture_Run(&f);
    assert_int_equal(f.ended, c->callers);
    for (unsigned i = 0; i < c->callers; i++) {
        char byte;
        PhBuf_AppendByte(&f.caller[i].in, '\0');
        assert_true(g_str_has_prefix(f.caller[i].in.data, "HTTP/1.1 "));
        assert_memory_equal(f.caller[i].in.data + 9, c->status, 3);
        closed += recv(f.caller[i].fd, &byte, 1, 0) == 0;
    }
    unsigned above_limit = c->callers > c->connection_limit
                               ? c->callers - c->connection_limit
                               : 0;
    assert_int_equal(closed, above_limit);
    PhEntryFixture_Clear(&f);
}

/* Guards against callers that wait behind idle connections, and against the
 * close of more connections than there are callers waiting. */
static void
test_connection_limit(void **state)
{
    (void)state;
    Ph_RUN_TABLE(limit_cases, check_limit);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_entry),
        cmocka_unit_test(test_drain),
        cmocka_unit_test(test_connection_limit),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
