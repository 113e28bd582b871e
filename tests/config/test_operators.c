/* The operators' interface over real sockets: the tasks operators, config, log
 * and http on one loop, against a fake log server. */
#include "peridothill/services/operators.h"

#include <string.h>
#include <unistd.h>

#include "peridothill/services/config.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/platform_log.h"
#include "peridothill/standin/standin.h"
#include "tests/paused_loop.h"
#include "tests/table.h"

enum {
    CALL_TIMEOUT_S = 10,
    ANSWER_LIMIT_BYTES = 1024 * 1024,
};

#define TOKEN "Bearer 0123456789abcdef"
#define SHARE(ID, BASE, VALUE)                                                \
    "{\"id\":\"" ID "\",\"author\":\"ana\",\"base\":" BASE                    \
    ",\"changes\":[{\"set\":\"teams.x.share\",\"value\":\"" VALUE "\"}]}"

/* A request and the expected answer.  The rows run in order on one
 * instance. */
typedef struct PhStepCase {
    const char *name;
    const char *method;
    const char *target;
    const char *authorization;
    const char *body;
    int status;
    const char *contains;
} PhStepCase;

static const PhStepCase steps[] = {
    {"no token", "GET", "/config", "", "", 401, "token"},
    {"wrong token", "GET", "/config", "Bearer 0123456789abcdee", "", 401, ""},
    {"longer token", "GET", "/config", TOKEN "0", "", 401, ""},
    {"other scheme", "GET", "/config", "Basic 0123456789abcdef", "", 401, ""},
    {"no such path", "GET", "/services", TOKEN, "", 404, "no such path"},
    {"no such method", "DELETE", "/config", TOKEN, "", 404, ""},
    {"version 0", "GET", "/config", TOKEN, "", 200, "\"version\":0"},
    {"invalid JSON", "POST", "/config/patches", TOKEN, "{", 400, "JSON"},
    {"no base", "POST", "/config/patches", TOKEN, "{\"changes\":[]}", 400,
     "base"},
    {"accepted", "POST", "/config/patches", TOKEN, SHARE("p1", "0", "3"), 200,
     "\"outcome\":\"accepted\",\"reason\":\"\",\"version\":1"},
    {"duplicate", "POST", "/config/patches", TOKEN, SHARE("p1", "0", "3"), 200,
     "\"version\":1"},
    {"conflict", "POST", "/config/patches", TOKEN, SHARE("p2", "0", "4"), 409,
     "teams.x.share: changed by version 1"},
    {"not valid", "POST", "/config/patches", TOKEN, SHARE("p3", "1", "many"),
     422, "teams.x.share: a number"},
    {"no id", "POST", "/config/patches", TOKEN,
     "{\"base\":1,\"changes\":[{\"delete\":\"teams.x.share\"}]}", 200,
     "\"version\":2"},
    {"in force", "GET", "/config", TOKEN, "", 200, "\"version\":2"},
    {"earlier version", "GET", "/config/at/1", TOKEN, "", 200,
     "\"teams.x.share\":\"3\""},
    {"version not yet made", "GET", "/config/at/9", TOKEN, "", 404,
     "not held"},
    {"version is no number", "GET", "/config/at/x", TOKEN, "", 400, "number"},
    {"changes between versions", "GET", "/config/diff?from=1&to=2", TOKEN, "",
     200, "{\"delete\":\"teams.x.share\"}"},
    {"bad query", "GET", "/config/diff?from=one", TOKEN, "", 400, "number"},
    {"history", "GET", "/config/history", TOKEN, "", 200,
     "\"author\":\"ana\""},
    {"verdict by id", "GET", "/config/patches/p2", TOKEN, "", 409, "refused"},
    {"no such id", "GET", "/config/patches/p9", TOKEN, "", 404, "not-found"},
    {"status", "GET", "/status", TOKEN, "", 200, "\"standing\":\"in-force\""},
    {"members", "GET", "/members", TOKEN, "", 200, "\"members\":[]"},
    {"metrics", "GET", "/metrics", TOKEN, "", 200,
     "peridothill_config_patches_total{outcome=\"accepted\"} 2"},
    {"unauthorized requests counted", "GET", "/metrics", TOKEN, "", 200,
     "peridothill_operators_refused_total{reason=\"token\"} 4"},
    {"no gap to skip", "POST", "/config/bridge", TOKEN, "", 404,
     "no records are missing"},
    {"drain not supported", "POST", "/drain", TOKEN, "", 501, "drained"},
};

/* One instance and a calling task. */
typedef struct PhOperatorsFixture {
    struct ev_loop *loop;
    PhClock *clock;
    PhCounters *counters;
    PhKernel *kernel;
    PhFakeLog *log;
    uint16_t port;
    PhTaskRef caller;
    bool answered;
    int status; /* of the last answer; 0: none */
    PhStr body;
} PhOperatorsFixture;

/* Stores the answer. */
static void
caller_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhOperatorsFixture *f = state;
    (void)self;
    if (mail->kind == PH_MAIL_MESSAGE) {
        const PhHttpMessage *m = mail->as.message.body;
        f->status = m->as.reply.status;
        f->body = PhStr_Dup(m->as.reply.body);
        f->answered = true;
    }
}

/* Sends a request and advances the clock until the answer arrives. */
static void
call(PhOperatorsFixture *f, const PhStepCase *c)
{
    PhBuf address = {0};
    PhBuf_AppendFormat(&address, "127.0.0.1:%u", f->port);
    PhHttpMessage m = {.tag = PH_HTTP_SEND,
                       .as.send = {.method = PhStr_Dup(PhStr_FromC(c->method)),
                                   .address = PhBuf_Take(&address),
                                   .target = PhStr_Dup(PhStr_FromC(c->target)),
                                   .body = PhStr_Dup(PhStr_FromC(c->body)),
                                   .deadline = PhKernel_Now(f->kernel) +
                                               CALL_TIMEOUT_S * PH_NS_PER_S,
                                   .first_byte = PH_TIME_NEVER,
                                   .answer_limit_bytes = ANSWER_LIMIT_BYTES}};
    PhHttpHeader_Add(&m.as.send.headers, &m.as.send.header_count,
                     PhStr_LITERAL("Authorization"),
                     PhStr_FromC(c->authorization));
    PhKernel_Send(f->kernel, f->caller,
                  PhKernel_Lookup(f->kernel, PH_SERVICE_HTTP),
                  PhHttpMessage_Wrap(&m));
    f->answered = false;
    f->status = 0;
    PhStr_Clear(&f->body);
    while (!f->answered) {
        PhPausedLoop_Step(f->loop, f->clock);
    }
}

static void
check_step(PhOperatorsFixture *f, const PhStepCase *c)
{
    print_message("# case %s\n", c->name);
    call(f, c);
    char *body = PhStr_ToC(f->body);
    if (f->status != c->status || strstr(body, c->contains) == NULL) {
        print_message("# status %d body %s\n", f->status, body);
    }
    assert_int_equal(f->status, c->status);
    assert_non_null(strstr(body, c->contains));
    g_free(body);
}

/* Starts the fake log server and the tasks of an instance. */
static void
fixture_start(PhOperatorsFixture *f, const char *token_file)
{
    uint16_t log_port;
    PhBuf address = {0};
    PhStandinLogOptions log = {.name = PhStr_LITERAL("standin"),
                               .listen = PhStr_LITERAL("127.0.0.1:0"),
                               .log = f->log};
    PhResult started = PhStandinLog_Start(f->kernel, &log, &log_port);
    assert_true(PhResult_IsOk(&started));
    PhBuf_AppendFormat(&address, "127.0.0.1:%u", log_port);
    PhLogAdapter adapter = {.kind = PH_LOG_ADAPTER_HTTP,
                            .as.address = PhBuf_Str(&address)};
    PhConfigOptions config = {.instance = PhStr_LITERAL("silay-1"),
                              .data_centre = PhStr_LITERAL("silay"),
                              .seed = 1,
                              .poll_interval = 50 * PH_NS_PER_MS,
                              .retention = 3600 * PH_NS_PER_S};
    PhOperatorsOptions operators = {.listen = PhStr_LITERAL("127.0.0.1:0"),
                                    .token_file = PhStr_FromC(token_file),
                                    .instance = PhStr_LITERAL("silay-1"),
                                    .data_centre = PhStr_LITERAL("silay"),
                                    .port = &f->port};
    PhTaskSpec caller = {.name = PhStr_LITERAL("caller"),
                         .mailbox_capacity = 4,
                         .state = f,
                         .handle = caller_handle};
    assert_int_equal(PhHttp_Start(f->kernel), PH_STATUS_OK);
    assert_int_equal(PhPlatformLog_Start(f->kernel, &adapter), PH_STATUS_OK);
    assert_int_equal(PhConfigService_Start(f->kernel, &config), PH_STATUS_OK);
    assert_int_equal(PhOperators_Start(f->kernel, &operators), PH_STATUS_OK);
    PhKernel_Spawn(f->kernel, &caller, &f->caller);
    PhKernel_Drain(f->kernel, SIZE_MAX);
    assert_int_not_equal(f->port, 0);
    PhBuf_Clear(&address);
}

/* Guards against requests without the token that are served, and against a
 * wrong status or body of any operator request. */
static void
test_operator_requests(void **state)
{
    char *token_file = NULL;
    PhOperatorsFixture f = {.loop = ev_loop_new(EVFLAG_AUTO),
                            .clock = PhPausedLoop_CreateClock(),
                            .counters = PhCounters_Create(),
                            .log = PhFakeLog_Create(&(PhFakeLogOptions){0})};
    (void)state;
    int fd = g_file_open_tmp(NULL, &token_file, NULL);
    assert_int_equal(write(fd, "0123456789abcdef\n", 17), 17);
    close(fd);
    f.kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = f.clock, .loop = f.loop, .counters = f.counters});
    fixture_start(&f, token_file);
    unlink(token_file);
    g_free(token_file);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        check_step(&f, &steps[i]);
    }
    PhStr_Clear(&f.body);
    PhKernel_Destroy(f.kernel);
    PhFakeLog_Destroy(f.log);
    PhCounters_Destroy(f.counters);
    PhClock_Destroy(f.clock);
    ev_loop_destroy(f.loop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_operator_requests)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
