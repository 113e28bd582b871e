/* An instance on the stand-in of the platform, over sockets: what clients are
 * told while the store is well, down, or loses its answers. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peridothill/platform/adapter.h"
#include "peridothill/standin/platform.h"
#include "tests/table.h"

enum {
    CALL_LIMIT_MS = 8000, /* a call that takes longer has failed */
    READ_BYTES = 4096,
};

/* The stand-ins and one instance on one loop. */
typedef struct PhPlatformBed {
    struct ev_loop *loop;
    PhClock *clock;
    PhCounters *counters;
    PhStandinStoreState *store;
    PhKernel *platform;
    PhKernel *instance;
    PhSettings settings;
} PhPlatformBed;

/* Finds a port that is free now. */
static uint16_t
free_port(void)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&a, len), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&a, &len), 0);
    close(fd);
    return ntohs(a.sin_port);
}

/* Starts everything. */
static void
bed_open(PhPlatformBed *bed, uint16_t port)
{
    PhBuf text = {0};
    PhBuf errors = {0};
    PhInstancePorts ports;
    uint16_t store_port;
    bed->loop = ev_loop_new(EVFLAG_AUTO);
    bed->clock = PhClock_Create(PH_CLOCK_REAL);
    bed->counters = PhCounters_Create();
    PhKernelOptions options = {
        .clock = bed->clock, .loop = bed->loop, .counters = bed->counters};
    bed->platform = PhKernel_Create(&options);
    bed->instance = PhKernel_Create(&options);
    bed->store = PhStandinStoreState_Create();
    PhResult r = PhStandinStore_Start(
        bed->platform, PhStr_LITERAL("127.0.0.1:0"), bed->store, &store_port);
    assert_true(PhResult_IsOk(&r));
    PhStandinStoreState_PutQueue(bed->store, PhStr_LITERAL("service"));
    r = PhStandinRunner_Start(
        bed->platform,
        &(PhStandinRunnerOptions){.id = PhStr_LITERAL("i-1"),
                                  .service = PhStr_LITERAL("service"),
                                  .run_time = 20 * PH_NS_PER_MS,
                                  .store = bed->store});
    assert_true(PhResult_IsOk(&r));
    PhBuf_AppendFormat(&text,
                       "[instance]\nid = entry-1\ndata_centre = bacolod\n"
                       "deployment = test\n[callers]\nlisten = "
                       "127.0.0.1:%u\n[scheduler]\nstore = 127.0.0.1:%u\n"
                       "ready = 127.0.0.1:0\n",
                       port, store_port);
    r = PhSettings_Parse(PhStr_LITERAL("test"), PhBuf_Str(&text),
                         &bed->settings, &errors);
    assert_true(PhResult_IsOk(&r));
    r = PhAdapter_StartInstance(
        bed->instance,
        &(PhInstanceOptions){.settings = &bed->settings, .incarnation = 1},
        &ports);
    assert_true(PhResult_IsOk(&r));
    PhBuf_Clear(&text);
    PhBuf_Clear(&errors);
}

/* Ends everything. */
static void
bed_close(PhPlatformBed *bed)
{
    PhKernel_Destroy(bed->instance);
    PhKernel_Destroy(bed->platform);
    PhStandinStoreState_Destroy(bed->store);
    PhSettings_Clear(&bed->settings);
    PhCounters_Destroy(bed->counters);
    PhClock_Destroy(bed->clock);
    ev_loop_destroy(bed->loop);
}

/* Wakes the loop every few milliseconds. */
static void
on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)timer;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

/* Lets the loop run for a moment. */
static void
bed_run(PhPlatformBed *bed)
{
    ev_timer tick;
    ev_timer_init(&tick, on_tick, 0.005, 0.0);
    ev_timer_start(bed->loop, &tick);
    ev_run(bed->loop, 0);
    ev_timer_stop(bed->loop, &tick);
}

/* Makes a call and gives the status; `text` gets what was answered. */
static int
call(PhPlatformBed *bed, uint16_t port, const char *method, const char *body,
     char *text)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons(port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    char request[READ_BYTES];
    size_t len = 0;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    int size = snprintf(request, sizeof(request),
                        "%s /jobs/00000000000000a1 HTTP/1.1\r\nHost: "
                        "jobs.example\r\nConnection: close\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        method, strlen(body), body);
    assert_int_equal(send(fd, request, (size_t)size, 0), size);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    PhTime end = PhClock_Now(bed->clock) + CALL_LIMIT_MS * PH_NS_PER_MS;
    while (PhClock_Now(bed->clock) < end) {
        ssize_t n = recv(fd, text + len, READ_BYTES - 1 - len, 0);
        if (n == 0 || (n < 0 && errno != EAGAIN)) {
            break;
        }
        len += n > 0 ? (size_t)n : 0;
        bed_run(bed);
    }
    close(fd);
    text[len] = '\0';
    return len > 12 ? atoi(text + strlen("HTTP/1.1 ")) : 0;
}

/* Calls until a status and a text come back; false when that takes long. */
static bool
call_until(PhPlatformBed *bed, uint16_t port, const char *method,
           const char *body, int status, const char *want)
{
    char text[READ_BYTES];
    for (int i = 0; i < 400; i++) {
        if (call(bed, port, method, body, text) == status &&
            strstr(text, want) != NULL) {
            return true;
        }
        bed_run(bed);
    }
    return false;
}

#define JOB "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500}]}"

/* A fault of the store during a submission, and what the client is told. */
typedef struct PhFaultCase {
    const char *name;
    PhStandinStoreFault fault;
    int status;
} PhFaultCase;

static const PhFaultCase fault_cases[] = {
    {"a store that is well: accepted", PH_STANDIN_STORE_HEALTHY, 200},
    {"a store that does nothing: refused", PH_STANDIN_STORE_DOWN, 503},
    {"a store that loses its answers: not known, neither refused nor accepted",
     PH_STANDIN_STORE_LOSES_ANSWERS, 504},
};

/* Hands a job in under a fault; once the store is well, it is accepted and
 * completed, and accepting it again changes nothing. */
static void
fault_run(const PhFaultCase *c)
{
    PhPlatformBed bed = {0};
    char text[READ_BYTES];
    uint16_t port = free_port();
    bed_open(&bed, port);
    assert_true(call_until(&bed, port, "GET", "", 410, ""));
    PhStandinStoreState_SetFault(bed.store, c->fault);
    assert_int_equal(call(&bed, port, "POST", JOB, text), c->status);
    PhStandinStoreState_SetFault(bed.store, PH_STANDIN_STORE_HEALTHY);
    assert_true(call_until(&bed, port, "POST", JOB, 200, ""));
    assert_true(call_until(&bed, port, "GET", "", 200, "completed"));
    assert_int_equal(call(&bed, port, "POST", JOB, text), 200);
    assert_int_equal(PhCounters_Get(bed.counters, PH_COUNTER_SCHEDULE_STARTS),
                     2);
    bed_close(&bed);
}

/* Every fault. */
static void
test_faults(void **state)
{
    (void)state;
    Ph_RUN_TABLE(fault_cases, fault_run);
}

/* Runs the tests. */
int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_faults)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
