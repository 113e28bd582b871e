#include "platform_fixture.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peridothill/platform/adapter.h"
#include "tests/paused_loop.h"
#include "tests/table.h"

enum {
    CALL_LIMIT_MS = 8000, /* a call that takes longer fails */
    CALLS_MAX = 400,      /* attempts of PhPlatformFixture_CallUntil */
};

/* Keeps a socket bound to the port, so that no other process gets it before
 * the instance listens on it. */
static uint16_t
port_reserve(PhPlatformFixture *fixture)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(a);
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    assert_int_equal(bind(fd, (struct sockaddr *)&a, len), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&a, &len), 0);
    assert_true(fixture->reserved_count < PH_FIXTURE_PORTS_MAX);
    fixture->reserved[fixture->reserved_count++] = fd;
    return ntohs(a.sin_port);
}

/* Starts the stand-ins of the store and of a worker. */
static uint16_t
platform_open(PhPlatformFixture *fixture)
{
    uint16_t port;
    fixture->loop = ev_loop_new(EVFLAG_AUTO);
    fixture->clock = PhPausedLoop_CreateClock();
    fixture->counters = PhCounters_Create();
    fixture->platform =
        PhKernel_Create(&(PhKernelOptions){.clock = fixture->clock,
                                           .loop = fixture->loop,
                                           .counters = fixture->counters});
    fixture->store = PhStandinStoreState_Create();
    PhResult r =
        PhStandinStore_Start(fixture->platform, PhStr_LITERAL("127.0.0.1:0"),
                             fixture->store, &port);
    assert_true(PhResult_IsOk(&r));
    PhStandinStoreState_PutQueue(fixture->store, PhStr_LITERAL("service"));
    r = PhStandinRunner_Start(
        fixture->platform,
        &(PhStandinRunnerOptions){
            .id = PhStr_LITERAL("i-1"),
            .service = PhStr_LITERAL("service"),
            .run_time = 20 * PH_NS_PER_MS,
            .store = fixture->store,
            .ignores_starts = &fixture->worker_ignores_starts,
            .closes_connections = &fixture->worker_closes_connections});
    assert_true(PhResult_IsOk(&r));
    return port;
}

static void
instance_start(PhPlatformFixture *fixture, PhFixtureInstance *x)
{
    PhInstancePorts ports;
    x->kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = fixture->clock, .loop = x->loop, .counters = x->counters});
    PhResult r = PhAdapter_StartInstance(
        x->kernel,
        &(PhInstanceOptions){.settings = &x->settings,
                             .incarnation = ++x->incarnation},
        &ports);
    assert_true(PhResult_IsOk(&r));
}

/* The first instance has one core and claims ownership first; others have
 * 0.1. */
static void
instance_open(PhPlatformFixture *fixture, size_t i, uint16_t store_port,
              bool links)
{
    PhFixtureInstance *x = &fixture->instances[i];
    PhBuf text = {0};
    PhBuf errors = {0};
    x->port = port_reserve(fixture);
    x->ready_port = port_reserve(fixture);
    x->counters = PhCounters_Create();
    x->loop = ev_loop_new(EVFLAG_AUTO);
    PhBuf_AppendFormat(&text,
                       "[instance]\nid = entry-%zu\ndata_centre = bacolod\n"
                       "deployment = test\n[callers]\nlisten = "
                       "127.0.0.1:%u\n[scheduler]\nstore = 127.0.0.1:%u\n"
                       "ready = 127.0.0.1:%u\nshare = %s\n",
                       i + 1, x->port, store_port, x->ready_port,
                       i == 0 ? "1" : "0.1");
    if (fixture->contact_limit_ms > 0) {
        PhBuf_AppendFormat(&text, "contact_limit = %ums\n",
                           fixture->contact_limit_ms);
    }
    if (fixture->room_reserve > 0) {
        PhBuf_AppendFormat(&text, "room_reserve = %u\n",
                           fixture->room_reserve);
    }
    if (fixture->dispatches) {
        PhBuf_Append(&text, PhStr_LITERAL("dispatch_delay = 0s\n"));
    }
    if (fixture->record_bytes > 0) {
        PhBuf_AppendFormat(&text, "record_bytes = %zu\nappend_bytes = %zu\n",
                           fixture->record_bytes, fixture->append_bytes);
    }
    if (links) {
        PhBuf_AppendFormat(&text, "link = 127.0.0.1:%u\n",
                           port_reserve(fixture));
    }
    PhResult r = PhSettings_Parse(PhStr_LITERAL("test"), PhBuf_Str(&text),
                                  &x->settings, &errors);
    assert_true(PhResult_IsOk(&r));
    instance_start(fixture, x);
    PhBuf_Clear(&text);
    PhBuf_Clear(&errors);
}

static void
instances_open(PhPlatformFixture *fixture, bool links)
{
    uint16_t store_port = platform_open(fixture);
    uint16_t first_port;
    PhResult r = PhStandinStore_StartAnother(
        fixture->platform, PhStr_LITERAL("standin-store-first"),
        PhStr_LITERAL("127.0.0.1:0"), fixture->store, &fixture->first_fault,
        &first_port);
    assert_true(PhResult_IsOk(&r));
    for (size_t i = 0; i < fixture->instance_count; i++) {
        instance_open(fixture, i, i == 0 ? first_port : store_port, links);
    }
}

void
PhPlatformFixture_Open(PhPlatformFixture *fixture, size_t instances,
                       bool links)
{
    *fixture = (PhPlatformFixture){.instance_count = instances};
    instances_open(fixture, links);
}

void
PhPlatformFixture_OpenDispatching(PhPlatformFixture *fixture, size_t instances)
{
    *fixture =
        (PhPlatformFixture){.instance_count = instances, .dispatches = true};
    instances_open(fixture, true);
}

void
PhPlatformFixture_OpenLimited(PhPlatformFixture *fixture, size_t instances,
                              size_t record_bytes, size_t append_bytes)
{
    *fixture = (PhPlatformFixture){.instance_count = instances,
                                   .record_bytes = record_bytes,
                                   .append_bytes = append_bytes};
    instances_open(fixture, false);
    PhStandinStoreState_SetLimits(fixture->store, record_bytes, append_bytes);
}

void
PhPlatformFixture_OpenWithContact(PhPlatformFixture *fixture, size_t instances,
                                  bool links, unsigned contact_limit_ms)
{
    *fixture = (PhPlatformFixture){.instance_count = instances,
                                   .contact_limit_ms = contact_limit_ms};
    instances_open(fixture, links);
}

void
PhPlatformFixture_OpenWithRoom(PhPlatformFixture *fixture, size_t instances,
                               unsigned contact_limit_ms,
                               unsigned room_reserve)
{
    *fixture = (PhPlatformFixture){.instance_count = instances,
                                   .contact_limit_ms = contact_limit_ms,
                                   .room_reserve = room_reserve};
    instances_open(fixture, true);
}

void
PhPlatformFixture_Kill(PhPlatformFixture *fixture, size_t instance)
{
    PhKernel_Destroy(fixture->instances[instance].kernel);
    fixture->instances[instance].kernel = NULL;
}

void
PhPlatformFixture_Restart(PhPlatformFixture *fixture, size_t instance)
{
    PhPlatformFixture_Kill(fixture, instance);
    instance_start(fixture, &fixture->instances[instance]);
}

void
PhPlatformFixture_Close(PhPlatformFixture *fixture)
{
    for (size_t i = 0; i < fixture->instance_count; i++) {
        if (fixture->instances[i].kernel != NULL) {
            PhPlatformFixture_Kill(fixture, i);
        }
        ev_loop_destroy(fixture->instances[i].loop);
        PhSettings_Clear(&fixture->instances[i].settings);
        PhCounters_Destroy(fixture->instances[i].counters);
    }
    for (size_t i = 0; i < fixture->reserved_count; i++) {
        close(fixture->reserved[i]);
    }
    PhKernel_Destroy(fixture->platform);
    PhStandinStoreState_Destroy(fixture->store);
    PhCounters_Destroy(fixture->counters);
    PhClock_Destroy(fixture->clock);
    ev_loop_destroy(fixture->loop);
}

void
PhPlatformFixture_Run(PhPlatformFixture *fixture)
{
    PhPausedLoop_Step(fixture->loop, fixture->clock);
    for (size_t i = 0; i < fixture->instance_count; i++) {
        const PhFixtureInstance *x = &fixture->instances[i];
        if (x->kernel != NULL && !x->stands_still) {
            PhPausedLoop_Run(x->loop);
        }
    }
}

/* Sends a request to a port and returns the connection. */
static int
request_send(uint16_t port, const char *request, int size)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons(port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    assert_int_equal(send(fd, request, (size_t)size, 0), size);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

int
PhPlatformFixture_Send(PhPlatformFixture *fixture, size_t instance,
                       const char *method, const char *job, const char *body)
{
    char request[PH_FIXTURE_TEXT_BYTES];
    char deadline[PH_FIXTURE_TEXT_BYTES] = "";
    if (fixture->deadline_ms > 0) {
        snprintf(deadline, sizeof(deadline),
                 "Peridothill-Request-Deadline: %u\r\n", fixture->deadline_ms);
    }
    int size = snprintf(request, sizeof(request),
                        "%s /jobs/%s HTTP/1.1\r\nHost: "
                        "jobs.example\r\nConnection: close\r\n%s"
                        "Content-Length: %zu\r\n\r\n%s",
                        method, job, deadline, strlen(body), body);
    return request_send(fixture->instances[instance].port, request, size);
}

int
PhPlatformFixture_CheckReady(PhPlatformFixture *fixture, size_t instance)
{
    static const char request[] = "GET /api/ready HTTP/1.1\r\nHost: a\r\n"
                                  "Connection: close\r\n\r\n";
    char text[PH_FIXTURE_TEXT_BYTES];
    int fd = request_send(fixture->instances[instance].ready_port, request,
                          sizeof(request) - 1);
    return PhPlatformFixture_Receive(fixture, fd, text);
}

int
PhPlatformFixture_Receive(PhPlatformFixture *fixture, int fd, char *text)
{
    size_t len = 0;
    PhTime end = PhClock_Now(fixture->clock) + CALL_LIMIT_MS * PH_NS_PER_MS;
    while (PhClock_Now(fixture->clock) < end) {
        ssize_t n = recv(fd, text + len, PH_FIXTURE_TEXT_BYTES - 1 - len, 0);
        if (n == 0 || (n < 0 && errno != EAGAIN)) {
            break;
        }
        len += n > 0 ? (size_t)n : 0;
        PhPlatformFixture_Run(fixture);
    }
    close(fd);
    text[len] = '\0';
    return len > 12 ? atoi(text + strlen("HTTP/1.1 ")) : 0;
}

int
PhPlatformFixture_Call(PhPlatformFixture *fixture, size_t instance,
                       const char *method, const char *job, const char *body,
                       char *text)
{
    int fd = PhPlatformFixture_Send(fixture, instance, method, job, body);
    return PhPlatformFixture_Receive(fixture, fd, text);
}

bool
PhPlatformFixture_CallUntil(PhPlatformFixture *fixture, size_t instance,
                            const char *method, const char *job,
                            const char *body, int status, const char *want)
{
    char text[PH_FIXTURE_TEXT_BYTES];
    for (int i = 0; i < CALLS_MAX; i++) {
        if (PhPlatformFixture_Call(fixture, instance, method, job, body,
                                   text) == status &&
            strstr(text, want) != NULL) {
            return true;
        }
        PhPlatformFixture_Run(fixture);
    }
    return false;
}

void
PhPlatformFixture_RunSteps(PhPlatformFixture *fixture, int count)
{
    for (int i = 0; i < count; i++) {
        PhPlatformFixture_Run(fixture);
    }
}

uint64_t
PhPlatformFixture_CounterSum(const PhPlatformFixture *fixture,
                             PhCounter counter)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < fixture->instance_count; i++) {
        sum += PhCounters_Get(fixture->instances[i].counters, counter);
    }
    return sum;
}

void
PhPlatformFixture_RunJob(PhPlatformFixture *fixture, size_t instance,
                         const char *id, const char *job, int times)
{
    for (int i = 0; i < times; i++) {
        assert_true(PhPlatformFixture_CallUntil(fixture, instance, "POST", id,
                                                job, 200, ""));
    }
    assert_true(PhPlatformFixture_CallUntil(fixture, instance, "GET", id, "",
                                            200, "completed"));
}
