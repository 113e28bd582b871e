#include "peridothill/demo/cluster.h"

#include <string.h>
#include <unistd.h>

#include "peridothill/common/invariant.h"

enum {
    KEY_BYTES = 32,
    WORKERS_PER_RACK = 2,
    CONNECTIONS_PER_WORKER = 60,
    REQUEST_BODY_BYTES = 64 * 1024,
};

static const PhTime LIST_POLL = 500 * PH_NS_PER_MS;
static const PhTime DRAIN_NOTICE = 500 * PH_NS_PER_MS;
/* Shorter than the default, since the demonstration takes about a minute, but
 * longer than callers wait before they repeat a request. */
static const PhTime KEY_WINDOW = 6 * PH_NS_PER_S;
static const PhTime DRAIN_LIMIT = 10 * PH_NS_PER_S;
static const PhTime LOG_RETENTION = 3600 * PH_NS_PER_S;

typedef struct PhDemoInstance {
    PhDemoCluster *cluster;
    int index;
    PhSettings settings;
    PhKernel *kernel; /* NULL while the instance does not run */
    PhCounters *counters;
    PhInstancePorts ports;
    PhStr callers_address;
    PhStr operators_address;
    bool ready;
    bool stopping;
    bool stopped; /* to be released by on_reap */
} PhDemoInstance;

struct PhDemoCluster {
    const PhDeployment *deployment;
    struct ev_loop *loop;
    PhClock *clock;
    uint64_t seed;
    uint64_t starts; /* of instances; part of their ids and seeds */
    PhFakeLog *log;
    PhStandinListState list;
    PhStandinWorkerState *workers[PH_DEMO_WORKERS];
    PhCounters *standin_counters;
    PhKernel *standins;
    uint16_t log_port;
    uint16_t list_port;
    char key_bytes[KEY_BYTES];
    char *token_path; /* temporary file with the operators' token */
    PhDemoInstance instances[PH_DEMO_INSTANCES];
    ev_prepare reaper;
};

static PhStr
loopback(uint16_t port)
{
    PhBuf buf = {0};
    PhBuf_AppendFormat(&buf, "127.0.0.1:%u", port);
    return PhBuf_Take(&buf);
}

static void
instance_release(PhDemoInstance *i)
{
    PhKernel_Destroy(i->kernel);
    PhCounters_Destroy(i->counters);
    PhSettings_Clear(&i->settings);
    PhStr_Clear(&i->callers_address);
    PhStr_Clear(&i->operators_address);
    i->kernel = NULL;
    i->counters = NULL;
    i->ready = false;
    i->stopping = false;
    i->stopped = false;
}

/* Releases instances whose graceful stop has ended; this cannot happen in
 * on_stopped, which runs in a handler of the kernel to be destroyed. */
static void
on_reap(struct ev_loop *loop, ev_prepare *prepare, int revents)
{
    PhDemoCluster *w = prepare->data;
    (void)loop;
    (void)revents;
    for (int i = 0; i < PH_DEMO_INSTANCES; i++) {
        if (w->instances[i].stopped) {
            instance_release(&w->instances[i]);
        }
    }
}

static void
on_stopped(void *context)
{
    PhDemoInstance *i = context;
    i->stopped = true;
}

static char *
token_write(void)
{
    char *path = NULL;
    PhStr token = PhDemoCluster_Token(NULL);
    int fd = g_file_open_tmp(NULL, &path, NULL);
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION,
                 fd >= 0 &&
                     write(fd, token.data, token.len) == (ssize_t)token.len,
                 "fd=%d", fd);
    close(fd);
    return path;
}

PhDemoCluster *
PhDemoCluster_Create(const PhDeployment *deployment, struct ev_loop *loop,
                     PhClock *clock, uint64_t seed)
{
    PhDemoCluster *w = g_new0(PhDemoCluster, 1);
    PhFakeLogOptions log = {.seed = seed, .retention = LOG_RETENTION};
    w->deployment = deployment;
    w->loop = loop;
    w->clock = clock;
    w->seed = seed;
    w->log = PhFakeLog_Create(&log);
    w->standin_counters = PhCounters_Create();
    w->token_path = token_write();
    memset(w->key_bytes, (int)(seed & 0x7f) + 1, sizeof(w->key_bytes));
    for (int i = 0; i < PH_DEMO_INSTANCES; i++) {
        w->instances[i] = (PhDemoInstance){.cluster = w, .index = i};
    }
    ev_prepare_init(&w->reaper, on_reap);
    w->reaper.data = w;
    ev_prepare_start(loop, &w->reaper);
    return w;
}

void
PhDemoCluster_Destroy(PhDemoCluster *w)
{
    for (int i = 0; i < PH_DEMO_INSTANCES; i++) {
        PhDemoCluster_InstanceKill(w, i);
    }
    ev_prepare_stop(w->loop, &w->reaper);
    PhKernel_Destroy(w->standins);
    PhCounters_Destroy(w->standin_counters);
    for (int i = 0; i < PH_DEMO_WORKERS; i++) {
        PhStandinWorkerState_Destroy(w->workers[i]);
    }
    PhListReading_Clear(&w->list.reading);
    PhFakeLog_Destroy(w->log);
    unlink(w->token_path);
    g_free(w->token_path);
    g_free(w);
}

static void
list_worker(PhDemoCluster *w, int index, uint16_t port)
{
    const PhDeployment *d = w->deployment;
    PhBuf rack = {0};
    PhBuf_AppendFormat(&rack, "rack-%d", index / WORKERS_PER_RACK);
    const char *data_centre = d->data_centres[index % PH_DEMO_DATA_CENTRES];
    w->list.reading.entries[w->list.reading.entry_count++] =
        (PhListEntry){.id = PhStr_Dup(w->workers[index]->id),
                      .role = PH_LIST_WORKER,
                      .state = PH_LIST_LIVE,
                      .data_centre = PhStr_Dup(PhStr_FromC(data_centre)),
                      .rack = PhBuf_Take(&rack),
                      .address = loopback(port),
                      .services = PhStr_Dup(PhStr_FromC(d->service)),
                      .slots = d->slots,
                      .connections = CONNECTIONS_PER_WORKER,
                      .cpu_milli = (uint32_t)d->cpu_milli,
                      .memory_mb = (uint32_t)d->memory_mb,
                      .accelerators = (uint32_t)d->accelerators};
}

static PhResult
worker_start(PhDemoCluster *w, int index)
{
    const PhDeployment *d = w->deployment;
    PhBuf name = {0};
    PhBuf_AppendFormat(&name, "worker-%d", index);
    w->workers[index] = PhStandinWorkerState_Create(PhBuf_Str(&name), d->slots,
                                                    d->service_mean);
    PhStandinWorkerOptions options = {
        .name = PhBuf_Str(&name),
        .listen = PhStr_LITERAL("127.0.0.1:0"),
        .seed = w->seed + (uint64_t)index,
        .capacity = {.cpu_milli = d->cpu_milli,
                     .memory_mb = d->memory_mb,
                     .accelerators = d->accelerators},
        .state = w->workers[index]};
    uint16_t port = 0;
    PhResult r = PhStandinWorker_Start(w->standins, &options, &port);
    PhBuf_Clear(&name);
    list_worker(w, index, port);
    return r;
}

static PhResult
standins_start(PhDemoCluster *w)
{
    w->standins = PhKernel_Create(&(PhKernelOptions){
        .clock = w->clock, .loop = w->loop, .counters = w->standin_counters});
    PhStandinLogOptions log = {.name = PhStr_LITERAL("standin-log"),
                               .listen = PhStr_LITERAL("127.0.0.1:0"),
                               .log = w->log};
    PhStandinListOptions list = {.name = PhStr_LITERAL("standin-list"),
                                 .listen = PhStr_LITERAL("127.0.0.1:0"),
                                 .state = &w->list};
    w->list.reading.entries = g_new0(PhListEntry, PH_DEMO_WORKERS);
    PhResult r = PhStandinLog_Start(w->standins, &log, &w->log_port);
    if (PhResult_IsOk(&r)) {
        r = PhStandinList_Start(w->standins, &list, &w->list_port);
    }
    for (int i = 0; i < PH_DEMO_WORKERS && PhResult_IsOk(&r); i++) {
        r = worker_start(w, i);
    }
    return r;
}

PhResult
PhDemoCluster_Start(PhDemoCluster *w)
{
    PhResult r = standins_start(w);
    for (int i = 0; i < PH_DEMO_INSTANCES && PhResult_IsOk(&r); i++) {
        r = PhDemoCluster_InstanceStart(w, i);
    }
    return r;
}

static void
collect_seeds(PhDemoCluster *w, PhAddressList *seeds)
{
    seeds->items = g_new0(PhStr, PH_DEMO_INSTANCES);
    for (int i = 0; i < PH_DEMO_INSTANCES; i++) {
        if (w->instances[i].kernel != NULL) {
            seeds->items[seeds->count++] =
                loopback(w->instances[i].ports.peers);
        }
    }
}

static void
fill_settings(PhDemoInstance *i)
{
    PhDemoCluster *w = i->cluster;
    PhSettings *s = &i->settings;
    PhStr any_port = PhStr_LITERAL("127.0.0.1:0");
    PhBuf id = {0};
    PhBuf_AppendFormat(&id, "entry-%d-%u", i->index, (unsigned)w->starts);
    *s = (PhSettings){0};
    s->instance.id = PhBuf_Take(&id);
    s->instance.data_centre = PhStr_Dup(PhStr_FromC(
        w->deployment->data_centres[i->index % PH_DEMO_DATA_CENTRES]));
    s->instance.deployment = PhStr_Dup(PhStr_FromC(w->deployment->name));
    s->callers.listen = PhStr_Dup(any_port);
    s->operators.listen = PhStr_Dup(any_port);
    s->operators.token_file = PhStr_Dup(PhStr_FromC(w->token_path));
    s->peers.listen = PhStr_Dup(any_port);
    collect_seeds(w, &s->peers.seeds);
    s->platform.log_address = loopback(w->log_port);
    s->platform.list_address = loopback(w->list_port);
    s->platform.list_poll = LIST_POLL;
    s->limits.request_body = REQUEST_BODY_BYTES;
    s->limits.connections = 512;
    s->limits.drain_notice = DRAIN_NOTICE;
    s->limits.drain_limit = DRAIN_LIMIT;
    s->limits.key_window = KEY_WINDOW;
}

PhResult
PhDemoCluster_InstanceStart(PhDemoCluster *w, int index)
{
    PhDemoInstance *i = &w->instances[index];
    w->starts++;
    fill_settings(i);
    i->counters = PhCounters_Create();
    i->kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = w->clock, .loop = w->loop, .counters = i->counters});
    PhStr key = PhStr_FromBytes(w->key_bytes, sizeof(w->key_bytes));
    PhInstanceOptions options = {.settings = &i->settings,
                                 .keys = &key,
                                 .key_count = 1,
                                 .seed = w->seed * 1000 + w->starts,
                                 .incarnation = w->starts,
                                 .supervisor = {.drain_limit = DRAIN_LIMIT,
                                                .context = i,
                                                .on_stopped = on_stopped}};
    PhResult r = PhInstance_Start(i->kernel, &options, &i->ports);
    i->callers_address = loopback(i->ports.callers);
    i->operators_address = loopback(i->ports.operators);
    return r;
}

void
PhDemoCluster_InstanceKill(PhDemoCluster *w, int index)
{
    if (w->instances[index].kernel != NULL) {
        instance_release(&w->instances[index]);
    }
}

void
PhDemoCluster_InstanceStop(PhDemoCluster *w, int index)
{
    if (w->instances[index].kernel != NULL) {
        w->instances[index].stopping = true;
        PhInstance_Stop(w->instances[index].kernel);
    }
}

void
PhDemoCluster_InstanceSetReady(PhDemoCluster *w, int index, bool ready)
{
    w->instances[index].ready = ready;
}

bool
PhDemoCluster_InstanceTakesWork(const PhDemoCluster *w, int index)
{
    const PhDemoInstance *i = &w->instances[index];
    return i->kernel != NULL && i->ready && !i->stopping;
}

bool
PhDemoCluster_InstanceRuns(const PhDemoCluster *w, int index)
{
    return w->instances[index].kernel != NULL;
}

PhStr
PhDemoCluster_CallersAddress(const PhDemoCluster *w, int index)
{
    return w->instances[index].callers_address;
}

PhStr
PhDemoCluster_OperatorsAddress(const PhDemoCluster *w, int index)
{
    return w->instances[index].operators_address;
}

PhStr
PhDemoCluster_Token(const PhDemoCluster *w)
{
    (void)w;
    return PhStr_LITERAL("demo-token");
}

PhFakeLog *
PhDemoCluster_Log(PhDemoCluster *w)
{
    return w->log;
}

PhStandinWorkerState *
PhDemoCluster_Worker(PhDemoCluster *w, int index)
{
    return w->workers[index];
}

void
PhDemoCluster_WorkerLeave(PhDemoCluster *w, int index, PhTime now)
{
    w->list.reading.entries[index].state = PH_LIST_LEAVING;
    w->workers[index]->leaving_since = now;
}
