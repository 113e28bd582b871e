/* The task "log" over real sockets against the stand-in of the platform's
 * log. */
#include "peridothill/services/platform_log.h"

#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "peridothill/standin/standin.h"
#include "tests/table.h"

enum {
    RECORDS = 5
};

/* State of the log, a call, and its expected result.  The stream holds five
 * records that are retained for one second; `at_s` is the time of the call in
 * seconds after they were appended. */
typedef struct PhAdapterCase {
    const char *name;
    PhLogTag tag;
    PhTime at_s;
    uint64_t from;
    size_t limit; /* of a read, or records of an append */
    bool outage;
    double lost_answers;
    uint32_t appends_per_second;
    PhStatus status;
    size_t records;
    uint64_t end; /* not checked if UNAVAILABLE, which tells no end */
} PhAdapterCase;

static const PhAdapterCase adapter_cases[] = {
    {"read all", PH_LOG_READ, 0, 0, 9, false, 0, 0, PH_STATUS_OK, 5, 5},
    {"limited read", PH_LOG_READ, 0, 1, 2, false, 0, 0, PH_STATUS_OK, 2, 5},
    {"read at the end", PH_LOG_READ, 0, 5, 9, false, 0, 0, PH_STATUS_OK, 0, 5},
    {"expired", PH_LOG_READ, 2, 0, 9, false, 0, 0, PH_STATUS_EXPIRED, 0, 5},
    {"read in an outage", PH_LOG_READ, 0, 0, 9, true, 0, 0,
     PH_STATUS_UNAVAILABLE, 0, 0},
    {"append", PH_LOG_APPEND, 0, 0, 3, false, 0, 0, PH_STATUS_OK, 0, 0},
    {"append in an outage", PH_LOG_APPEND, 0, 0, 3, true, 0, 0,
     PH_STATUS_UNAVAILABLE, 0, 0},
    {"answer lost", PH_LOG_APPEND, 0, 0, 1, false, 1, 0, PH_STATUS_UNKNOWN, 0,
     0},
    {"over the limit", PH_LOG_APPEND, 0, 0, 1, false, 0, 5,
     PH_STATUS_UNAVAILABLE, 0, 0},
    {"partly over the limit", PH_LOG_APPEND, 0, 0, 3, false, 0, 6,
     PH_STATUS_UNKNOWN, 0, 0},
};

/* Task state of the caller and the last result. */
typedef struct PhAdapterFixture {
    struct ev_loop *loop;
    PhStatus status;
    size_t records;
    uint64_t first;
    uint64_t end;
} PhAdapterFixture;

/* Stores the result and ends the loop. */
static void
caller_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhAdapterFixture *f = state;
    (void)self;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhLogMessage *m = mail->as.message.body;
    if (m->tag == PH_LOG_RECORDS) {
        f->status = m->as.records.status;
        f->records = m->as.records.record_count;
        f->first = m->as.records.first;
        f->end = m->as.records.end;
    }
    else {
        f->status = m->as.appended.status;
        f->first = m->as.appended.first;
    }
    ev_break(f->loop, EVBREAK_ALL);
}

static PhMessage
call_make(const PhAdapterCase *c, PhTime now)
{
    PhLogMessage m = {.tag = c->tag};
    if (c->tag == PH_LOG_READ) {
        m.as.read = (PhLogRead){.stream = PhStr_Dup(PhStr_LITERAL("s")),
                                .from = c->from,
                                .limit = c->limit,
                                .deadline = now + 5 * PH_NS_PER_S};
        return PhLogMessage_Wrap(&m);
    }
    m.as.append = (PhLogAppend){.stream = PhStr_Dup(PhStr_LITERAL("s")),
                                .record_count = c->limit,
                                .deadline = now + 5 * PH_NS_PER_S};
    m.as.append.records = g_new0(PhStr, c->limit);
    for (size_t i = 0; i < c->limit; i++) {
        m.as.append.records[i] = PhStr_Dup(PhStr_LITERAL("new"));
    }
    return PhLogMessage_Wrap(&m);
}

/* A log with RECORDS records. */
static PhFakeLog *
log_make(const PhAdapterCase *c, PhTime now)
{
    PhFakeLog *log = PhFakeLog_Create(
        &(PhFakeLogOptions){.retention = PH_NS_PER_S,
                            .appends_per_second = c->appends_per_second});
    for (int i = 0; i < RECORDS; i++) {
        PhFakeLog_Append(log, now - c->at_s * PH_NS_PER_S, PhStr_LITERAL("s"),
                         PhStr_LITERAL("old"));
    }
    PhFakeLog_Options(log)->outage = c->outage;
    PhFakeLog_Options(log)->lost_answers = c->lost_answers;
    return log;
}

static void
check_adapter(const PhAdapterCase *c)
{
    PhAdapterFixture f = {.loop = ev_loop_new(EVFLAG_AUTO)};
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhClock_Advance(clock, 100 * PH_NS_PER_S);
    PhKernel *kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = clock, .loop = f.loop, .counters = counters});
    PhFakeLog *log = log_make(c, PhKernel_Now(kernel));
    PhStandinLogOptions standin = {.name = PhStr_LITERAL("standin"),
                                   .listen = PhStr_LITERAL("127.0.0.1:0"),
                                   .log = log};
    uint16_t port = 0;
    PhResult started = PhStandinLog_Start(kernel, &standin, &port);
    assert_true(PhResult_IsOk(&started));
    PhBuf address = {0};
    PhBuf_AppendFormat(&address, "127.0.0.1:%u", port);
    PhLogAdapter adapter = {.kind = PH_LOG_ADAPTER_HTTP,
                            .as.address = PhBuf_Str(&address)};
    PhTaskSpec caller = {.name = PhStr_LITERAL("caller"),
                         .mailbox_capacity = 4,
                         .state = &f,
                         .handle = caller_handle};
    PhTaskRef ref;
    PhHttp_Start(kernel);
    PhPlatformLog_Start(kernel, &adapter);
    PhKernel_Spawn(kernel, &caller, &ref);
    PhKernel_Send(kernel, ref, PhKernel_Lookup(kernel, PH_SERVICE_LOG),
                  call_make(c, PhKernel_Now(kernel)));
    ev_run(f.loop, 0);
    assert_int_equal(f.status, c->status);
    assert_int_equal(f.records, c->records);
    if (c->status != PH_STATUS_UNAVAILABLE) {
        assert_int_equal(f.end, c->end);
    }
    /* An expired read reports the earliest retained offset: all old records
     * have expired, so that is the end.  A successful append begins after the
     * old records; a failed one reports no offset. */
    if (c->status == PH_STATUS_EXPIRED || c->tag == PH_LOG_APPEND) {
        assert_int_equal(f.first, c->status == PH_STATUS_OK ||
                                          c->status == PH_STATUS_EXPIRED
                                      ? RECORDS
                                      : 0);
    }
    PhBuf_Clear(&address);
    PhKernel_Destroy(kernel);
    PhFakeLog_Destroy(log);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    ev_loop_destroy(f.loop);
}

/* Guards against a wrong status for a failed call: an append that may have
 * taken effect must be UNKNOWN, never UNAVAILABLE. */
static void
test_call_outcomes(void **state)
{
    (void)state;
    Ph_RUN_TABLE(adapter_cases, check_adapter);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_call_outcomes)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
