#include "platform_bed.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peridothill/platform/adapter.h"
#include "tests/table.h"

enum {
    CALL_LIMIT_MS = 8000, /* a call that takes longer fails */
    CALLS_MAX = 400,      /* attempts of PhPlatformFixture_CallUntil */
};

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

/* Starts the stand-ins of the store and of a worker. */
static uint16_t
platform_open(PhPlatformBed *bed)
{
    uint16_t port;
    bed->loop = ev_loop_new(EVFLAG_AUTO);
    bed->clock = PhClock_Create(PH_CLOCK_REAL);
    bed->counters = PhCounters_Create();
    bed->platform = PhKernel_Create(&(PhKernelOptions){
        .clock = bed->clock, .loop = bed->loop, .counters = bed->counters});
    bed->store = PhStandinStoreState_Create();
    PhResult r = PhStandinStore_Start(
        bed->platform, PhStr_LITERAL("127.0.0.1:0"), bed->store, &port);
    assert_true(PhResult_IsOk(&r));
    PhStandinStoreState_PutQueue(bed->store, PhStr_LITERAL("service"));
    r = PhStandinRunner_Start(
        bed->platform,
        &(PhStandinRunnerOptions){.id = PhStr_LITERAL("i-1"),
                                  .service = PhStr_LITERAL("service"),
                                  .run_time = 20 * PH_NS_PER_MS,
                                  .store = bed->store});
    assert_true(PhResult_IsOk(&r));
    return port;
}

/* The first instance has one core and claims ownership first; others have
 * 0.1. */
static void
instance_open(PhPlatformBed *bed, size_t i, uint16_t store_port, bool links)
{
    PhBedInstance *x = &bed->instances[i];
    PhBuf text = {0};
    PhBuf errors = {0};
    PhInstancePorts ports;
    x->port = free_port();
    x->counters = PhCounters_Create();
    x->kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = bed->clock, .loop = bed->loop, .counters = x->counters});
    PhBuf_AppendFormat(&text,
                       "[instance]\nid = entry-%zu\ndata_centre = bacolod\n"
                       "deployment = test\n[callers]\nlisten = "
                       "127.0.0.1:%u\n[scheduler]\nstore = 127.0.0.1:%u\n"
                       "ready = 127.0.0.1:0\nshare = %s\n",
                       i + 1, x->port, store_port, i == 0 ? "1" : "0.1");
    if (links) {
        PhBuf_AppendFormat(&text, "link = 127.0.0.1:%u\n", free_port());
    }
    PhResult r = PhSettings_Parse(PhStr_LITERAL("test"), PhBuf_Str(&text),
                                  &x->settings, &errors);
    assert_true(PhResult_IsOk(&r));
    r = PhAdapter_StartInstance(
        x->kernel,
        &(PhInstanceOptions){.settings = &x->settings, .incarnation = 1},
        &ports);
    assert_true(PhResult_IsOk(&r));
    PhBuf_Clear(&text);
    PhBuf_Clear(&errors);
}

void
PhPlatformBed_Open(PhPlatformBed *bed, size_t instances, bool links)
{
    *bed = (PhPlatformBed){.instance_count = instances};
    uint16_t store_port = platform_open(bed);
    for (size_t i = 0; i < instances; i++) {
        instance_open(bed, i, store_port, links);
    }
}

void
PhPlatformBed_Kill(PhPlatformBed *bed, size_t instance)
{
    PhKernel_Destroy(bed->instances[instance].kernel);
    bed->instances[instance].kernel = NULL;
}

void
PhPlatformBed_Close(PhPlatformBed *bed)
{
    for (size_t i = 0; i < bed->instance_count; i++) {
        if (bed->instances[i].kernel != NULL) {
            PhPlatformBed_Kill(bed, i);
        }
        PhSettings_Clear(&bed->instances[i].settings);
        PhCounters_Destroy(bed->instances[i].counters);
    }
    PhKernel_Destroy(bed->platform);
    PhStandinStoreState_Destroy(bed->store);
    PhCounters_Destroy(bed->counters);
    PhClock_Destroy(bed->clock);
    ev_loop_destroy(bed->loop);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)timer;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

void
PhPlatformBed_Run(PhPlatformBed *bed)
{
    ev_timer tick;
    ev_timer_init(&tick, on_tick, 0.005, 0.0);
    ev_timer_start(bed->loop, &tick);
    ev_run(bed->loop, 0);
    ev_timer_stop(bed->loop, &tick);
}

int
PhPlatformBed_Call(PhPlatformBed *bed, size_t instance, const char *method,
                   const char *job, const char *body, char *text)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons(bed->instances[instance].port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    char request[PH_BED_TEXT_BYTES];
    size_t len = 0;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    int size = snprintf(request, sizeof(request),
                        "%s /jobs/%s HTTP/1.1\r\nHost: "
                        "jobs.example\r\nConnection: close\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        method, job, strlen(body), body);
    assert_int_equal(send(fd, request, (size_t)size, 0), size);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    PhTime end = PhClock_Now(bed->clock) + CALL_LIMIT_MS * PH_NS_PER_MS;
    while (PhClock_Now(bed->clock) < end) {
        ssize_t n = recv(fd, text + len, PH_BED_TEXT_BYTES - 1 - len, 0);
        if (n == 0 || (n < 0 && errno != EAGAIN)) {
            break;
        }
        len += n > 0 ? (size_t)n : 0;
        PhPlatformBed_Run(bed);
    }
    close(fd);
    text[len] = '\0';
    return len > 12 ? atoi(text + strlen("HTTP/1.1 ")) : 0;
}

bool
PhPlatformBed_CallUntil(PhPlatformBed *bed, size_t instance,
                        const char *method, const char *job, const char *body,
                        int status, const char *want)
{
    char text[PH_BED_TEXT_BYTES];
    for (int i = 0; i < CALLS_MAX; i++) {
        if (PhPlatformBed_Call(bed, instance, method, job, body, text) ==
                status &&
            strstr(text, want) != NULL) {
            return true;
        }
        PhPlatformBed_Run(bed);
    }
    return false;
}
