#include <ev.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "peridothill/bench/bench.h"
#include "peridothill/services/config.h"
#include "peridothill/services/entry.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/listener.h"
#include "peridothill/services/platform_list.h"

enum {
    CONCURRENCY = 32,
    CLOSED_REQUESTS = 20000,
    OPEN_REQUESTS = 10000,
    WARM_UP_REQUESTS = 500,
    DEADLINE_S = 5,
    HTTP_OK = 200,
};

/* A closed loop, or an open loop at a fixed rate. */
typedef struct PhPhase {
    bool through_entry;
    PhTime interval; /* between requests; 0: closed loop */
    uint64_t requests;
} PhPhase;

/* Client and worker, with stubs of the worker list and the configuration. */
typedef struct PhHttpBench {
    struct ev_loop *loop;
    PhKernel *kernel;
    PhTask *client;
    int send_timer_fd; /* open loop; timers of the event loop round to 1 ms */
    PhListener *worker;
    uint16_t entry_port;
    PhPhase phase;
    uint64_t sent;
    uint64_t ended;
    uint64_t failed;
    PhTime started;
    GArray *latencies; /* PhTime */
} PhHttpBench;

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhHttpBench *b = context;
    PhListener_Answer(b->worker, incoming->id, HTTP_OK, NULL, 0,
                      PhStr_LITERAL("ok"));
}

static void
on_client_disconnect(void *context, uint64_t id)
{
    (void)context;
    (void)id;
}

static void
worker_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhHttpBench *b = state;
    if (mail->kind == PH_MAIL_START) {
        PhListenerOptions options = {.address = PhStr_LITERAL("127.0.0.1:0"),
                                     .body_limit_bytes = 1024,
                                     .connection_limit = 1024,
                                     .idle_timeout_s = 60,
                                     .context = b,
                                     .on_request = on_request,
                                     .on_client_disconnect =
                                         on_client_disconnect};
        PhListener_Create(self, &options, &b->worker);
        return;
    }
    PhListener_Handle(b->worker, mail);
}

static void
list_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhHttpBench *b = state;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    PhBuf address = {0};
    PhBuf_AppendFormat(&address, "127.0.0.1:%u", PhListener_Port(b->worker));
    PhListEntry entry = {.id = PhStr_LITERAL("w1"),
                         .data_centre = PhStr_LITERAL("a"),
                         .address = PhBuf_Str(&address),
                         .services = PhStr_LITERAL("quote"),
                         .slots = 2 * CONCURRENCY,
                         .connections = 8 * CONCURRENCY};
    PhListReading reading = {.entries = &entry, .entry_count = 1};
    PhListMessage m = {.tag = PH_LIST_READING,
                       .as.reading = PhListReading_Copy(&reading)};
    PhTask_Send(self, mail->from, PhListMessage_Wrap(&m));
    PhBuf_Clear(&address);
}

static void
config_handle(void *state, PhTask *self, const PhMail *mail)
{
    static const PhConfigEntry entries[] = {
        {{"services.quote.prefix", 21}, {"/quote", 6}, 1}};
    (void)state;
    if (mail->kind == PH_MAIL_MESSAGE) {
        PhConfigMessage m = {.tag = PH_CONFIG_IN_FORCE,
                             .as.in_force =
                                 PhConfigState_Create(1, entries, 1)};
        PhTask_Send(self, mail->from, PhConfigMessage_Wrap(&m));
    }
}

static void
client_send(PhHttpBench *b)
{
    PhBuf address = {0};
    PhTime now = PhTask_Now(b->client);
    PhBuf_AppendFormat(&address, "127.0.0.1:%u",
                       b->phase.through_entry ? b->entry_port
                                              : PhListener_Port(b->worker));
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = ++b->sent,
                    .method = PhStr_Dup(PhStr_LITERAL("GET")),
                    .address = PhBuf_Take(&address),
                    .target = PhStr_Dup(PhStr_LITERAL("/quote")),
                    .deadline = now + DEADLINE_S * PH_NS_PER_S,
                    .first_byte = PH_TIME_NEVER,
                    .answer_limit_bytes = 1024}};
    PhTask_SendTo(b->client, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
}

static void
send_timer_set(const PhHttpBench *b, PhTime interval)
{
    struct timespec t = {.tv_nsec = interval};
    struct itimerspec pace = {.it_interval = t, .it_value = t};
    timerfd_settime(b->send_timer_fd, 0, &pace, NULL);
}

static void
client_start(PhHttpBench *b)
{
    b->started = PhTask_Now(b->client);
    if (b->phase.interval > 0) {
        send_timer_set(b, b->phase.interval);
        return;
    }
    for (int i = 0; i < CONCURRENCY; i++) {
        client_send(b);
    }
}

static void
client_send_due(PhHttpBench *b)
{
    uint64_t due = 0;
    if (read(b->send_timer_fd, &due, sizeof(due)) != sizeof(due)) {
        return;
    }
    while (due-- > 0 && b->sent < b->phase.requests) {
        client_send(b);
    }
    if (b->sent == b->phase.requests) {
        send_timer_set(b, 0);
    }
}

static void
client_handle_reply(PhHttpBench *b, const PhHttpReply *reply)
{
    b->ended++;
    b->failed +=
        reply->outcome != PH_HTTP_ANSWERED || reply->status != HTTP_OK;
    g_array_append_val(b->latencies, reply->completed_after);
    if (b->ended == b->phase.requests) {
        ev_break(b->loop, EVBREAK_ALL);
    }
    else if (b->phase.interval == 0 && b->sent < b->phase.requests) {
        client_send(b);
    }
}

static void
client_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhHttpBench *b = state;
    b->client = self;
    switch (mail->kind) {
    case PH_MAIL_START:
        PhTask_Watch(self, b->send_timer_fd, PH_IO_READ);
        break;
    case PH_MAIL_IO:
        client_send_due(b);
        break;
    case PH_MAIL_MESSAGE:
        client_handle_reply(
            b, &((PhHttpMessage *)mail->as.message.body)->as.reply);
        break;
    case PH_MAIL_TIMER:
    case PH_MAIL_ENDED:
    case PH_MAIL_STOP:
        break;
    }
}

static gint
time_compare(gconstpointer a, gconstpointer b)
{
    PhTime left = *(const PhTime *)a;
    PhTime right = *(const PhTime *)b;
    return (left > right) - (left < right);
}

static PhTime
quantile(const PhHttpBench *b, double q)
{
    guint at = (guint)(q * (b->latencies->len - 1));
    return g_array_index(b->latencies, PhTime, at);
}

/* Returns the time per request. */
static PhTime
phase_run(PhHttpBench *b, bool through_entry, PhTime interval,
          uint64_t requests)
{
    b->phase = (PhPhase){.through_entry = through_entry,
                         .interval = interval,
                         .requests = requests};
    b->sent = 0;
    b->ended = 0;
    g_array_set_size(b->latencies, 0);
    client_start(b);
    ev_run(b->loop, 0);
    g_array_sort(b->latencies, time_compare);
    return (PhTask_Now(b->client) - b->started) / (PhTime)requests;
}

static void
task_spawn(PhHttpBench *b, PhStr name,
           void (*handle)(void *, PhTask *, const PhMail *))
{
    PhTaskSpec spec = {
        .name = name, .mailbox_capacity = 4096, .state = b, .handle = handle};
    PhKernel_Spawn(b->kernel, &spec, NULL);
}

/* Measures both paths at full load, then at half the full load of the path
 * through the entry. */
static void
paths_measure(PhHttpBench *b, const PhBenchOptions *options)
{
    uint64_t closed = options->steps ? options->steps : CLOSED_REQUESTS;
    uint64_t open = options->steps ? options->steps : OPEN_REQUESTS;
    phase_run(b, false, 0, WARM_UP_REQUESTS);
    phase_run(b, true, 0, WARM_UP_REQUESTS);
    PhTime direct = phase_run(b, false, 0, closed);
    PhTime entry = phase_run(b, true, 0, closed);
    PhBench_PrintRow(options, "http_full_load_per_request", "direct",
                     (double)direct, "ns");
    PhBench_PrintRow(options, "http_full_load_per_request", "entry",
                     (double)entry, "ns");
    phase_run(b, false, 2 * entry, open);
    PhTime p50 = quantile(b, 0.50);
    PhTime p99 = quantile(b, 0.99);
    PhBench_PrintRow(options, "http_half_load_p50", "direct", (double)p50,
                     "ns");
    PhBench_PrintRow(options, "http_half_load_p99", "direct", (double)p99,
                     "ns");
    phase_run(b, true, 2 * entry, open);
    PhTime entry_p50 = quantile(b, 0.50);
    PhTime entry_p99 = quantile(b, 0.99);
    PhBench_PrintRow(options, "http_half_load_p50", "entry", (double)entry_p50,
                     "ns");
    PhBench_PrintRow(options, "http_half_load_p99", "entry", (double)entry_p99,
                     "ns");
    PhBench_PrintRow(options, "http_half_load_added_p50", "entry",
                     (double)(entry_p50 - p50), "ns");
    PhBench_PrintRow(options, "http_half_load_added_p99", "entry",
                     (double)(entry_p99 - p99), "ns");
    PhBench_PrintRow(options, "http_failed", "both", (double)b->failed,
                     "requests");
}

/* Client, entry and worker share one event loop, so one core does the work of
 * all three. */
PhResult
PhBench_Http(const PhBenchOptions *options)
{
    PhHttpBench b = {.loop = ev_loop_new(0)};
    b.send_timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK);
    PhClock *clock = PhClock_Create(PH_CLOCK_REAL);
    PhCounters *counters = PhCounters_Create();
    b.latencies = g_array_new(FALSE, FALSE, sizeof(PhTime));
    b.kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = clock, .loop = b.loop, .counters = counters});
    PhHttp_Start(b.kernel);
    task_spawn(&b, PhStr_LITERAL("worker"), worker_handle);
    task_spawn(&b, PH_SERVICE_LIST, list_handle);
    task_spawn(&b, PH_SERVICE_CONFIG, config_handle);
    task_spawn(&b, PhStr_LITERAL("client"), client_handle);
    PhEntryOptions entry = {.listen = PhStr_LITERAL("127.0.0.1:0"),
                            .instance = PhStr_LITERAL("i1"),
                            .data_centre = PhStr_LITERAL("a"),
                            .seed = options->seed};
    PhResult result = PhEntry_Start(b.kernel, &entry, &b.entry_port);
    if (PhResult_IsOk(&result)) {
        PhKernel_Drain(b.kernel, SIZE_MAX);
        paths_measure(&b, options);
    }
    PhListener_Destroy(b.worker);
    PhKernel_Destroy(b.kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    ev_loop_destroy(b.loop);
    g_array_free(b.latencies, TRUE);
    close(b.send_timer_fd);
    return result;
}
