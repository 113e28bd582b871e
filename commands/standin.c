#include <ev.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>

#include "commands/options.h"
#include "peridothill/commands.h"
#include "peridothill/standin/platform.h"
#include "peridothill/standin/standin.h"

enum {
    WORKERS_MAX = 200,
    WORKER_SLOTS = 8,
    WORKER_CONNECTIONS = 60,
    WORKER_CPU_MILLI = 64000,
    WORKER_MEMORY_MB = 250000,
    WORKER_ACCELERATORS = 2,
    WORKERS_PER_RACK = 8,
};

/* Mean service time of a worker. */
static const PhTime SERVICE_MEAN = 5 * PH_NS_PER_MS;

typedef struct PhStandinArguments {
    char *log;
    char *list;
    char *data_centre;
    char *services;
    char *store;
    char *worker;
    char *listen;
    gint clock_percent;
    gint run_ms;
    gint workers;
    gint64 seed;
} PhStandinArguments;

typedef struct PhStandins {
    const PhStandinArguments *arguments;
    struct ev_loop *loop;
    PhClock *clock;
    PhKernel *kernel;
    PhFakeLog *log;
    PhStandinStoreState *store;
    PhStandinListState list;
    GPtrArray *workers; /* PhStandinWorkerState */
} PhStandins;

/* Starts a worker and adds it to the list. */
static PhResult
worker_start(PhStandins *s, int index)
{
    PhBuf name = {0};
    PhBuf_AppendFormat(&name, "worker-%s-%d", s->arguments->data_centre,
                       index);
    PhStandinWorkerState *state = PhStandinWorkerState_Create(
        PhBuf_Str(&name), WORKER_SLOTS, SERVICE_MEAN);
    g_ptr_array_add(s->workers, state);
    PhStandinWorkerOptions options = {
        .name = PhBuf_Str(&name),
        .listen = PhStr_LITERAL("127.0.0.1:0"),
        .seed = (uint64_t)(s->arguments->seed + index),
        .capacity = {.cpu_milli = WORKER_CPU_MILLI,
                     .memory_mb = WORKER_MEMORY_MB,
                     .accelerators = WORKER_ACCELERATORS},
        .state = state};
    uint16_t port = 0;
    PhResult r = PhStandinWorker_Start(s->kernel, &options, &port);
    PhBuf address = {0};
    PhBuf rack = {0};
    PhBuf_AppendFormat(&address, "127.0.0.1:%u", port);
    PhBuf_AppendFormat(&rack, "rack-%d", index / WORKERS_PER_RACK);
    s->list.reading.entries[s->list.reading.entry_count++] = (PhListEntry){
        .id = PhBuf_Take(&name),
        .role = PH_LIST_WORKER,
        .state = PH_LIST_LIVE,
        .data_centre = PhStr_Dup(PhStr_FromC(s->arguments->data_centre)),
        .rack = PhBuf_Take(&rack),
        .address = PhBuf_Take(&address),
        .services = PhStr_Dup(PhStr_FromC(s->arguments->services)),
        .slots = WORKER_SLOTS,
        .connections = WORKER_CONNECTIONS,
        .cpu_milli = WORKER_CPU_MILLI,
        .memory_mb = WORKER_MEMORY_MB,
        .accelerators = WORKER_ACCELERATORS};
    return r;
}

/* Starts the metadata store and the workers that run tasks. */
static PhResult
platform_start(PhStandins *s)
{
    uint16_t port;
    PhResult r = PhStandinStore_Start(
        s->kernel, PhStr_FromC(s->arguments->store), s->store, &port);
    PhStandinStoreState_PutQueue(s->store,
                                 PhStr_FromC(s->arguments->services));
    for (int i = 0; i < s->arguments->workers && PhResult_IsOk(&r); i++) {
        PhBuf id = {0};
        PhBuf_AppendFormat(&id, "i-%d", i);
        PhStandinRunnerOptions options = {
            .id = PhBuf_Str(&id),
            .service = PhStr_FromC(s->arguments->services),
            .run_time = s->arguments->run_ms * PH_NS_PER_MS,
            .store = s->store};
        r = PhStandinRunner_Start(s->kernel, &options);
        PhBuf_Clear(&id);
    }
    return r;
}

/* Starts one worker that runs tasks and reports them on standard output; its
 * entry is left to whoever started it. */
static PhResult
single_worker_start(PhStandins *s)
{
    int64_t born_ms = PhClock_Wall(s->clock) / PH_NS_PER_MS;
    PhStandinRunnerOptions options = {
        .id = PhStr_FromC(s->arguments->worker),
        .service = PhStr_FromC(s->arguments->services),
        .listen = PhStr_FromC(s->arguments->listen),
        .run_time = s->arguments->run_ms * PH_NS_PER_MS,
        .born_ms = born_ms,
        .clock_percent = s->arguments->clock_percent,
        .events = stdout};
    PhResult r = PhStandinRunner_Start(s->kernel, &options);
    if (PhResult_IsOk(&r)) {
        printf("%" PRId64 " born %s %" PRId64 "\n",
               PhClock_Now(s->clock) / PH_NS_PER_MS, s->arguments->worker,
               born_ms);
    }
    return r;
}

static PhResult
standins_start(PhStandins *s)
{
    uint16_t port;
    PhStandinLogOptions log = {.name = PhStr_LITERAL("standin-log"),
                               .listen = PhStr_FromC(s->arguments->log),
                               .log = s->log};
    PhResult r = PhStandinLog_Start(s->kernel, &log, &port);
    if (!PhResult_IsOk(&r)) {
        return r;
    }
    PhStandinListOptions list = {.name = PhStr_LITERAL("standin-list"),
                                 .listen = PhStr_FromC(s->arguments->list),
                                 .state = &s->list};
    r = PhStandinList_Start(s->kernel, &list, &port);
    for (int i = 0; i < s->arguments->workers && PhResult_IsOk(&r); i++) {
        r = worker_start(s, i);
    }
    return r;
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int revents)
{
    (void)watcher;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

/* Serves until SIGTERM or SIGINT. */
static void
standins_serve(PhStandins *s)
{
    ev_signal terminate;
    ev_signal interrupt;
    signal(SIGPIPE, SIG_IGN);
    ev_signal_init(&terminate, on_signal, SIGTERM);
    ev_signal_init(&interrupt, on_signal, SIGINT);
    ev_signal_start(s->loop, &terminate);
    ev_signal_start(s->loop, &interrupt);
    if (s->arguments->worker == NULL) {
        printf("stand-ins: log %s, list %s, %u workers in %s\n",
               s->arguments->log, s->arguments->list, s->workers->len,
               s->arguments->data_centre);
    }
    fflush(stdout);
    ev_run(s->loop, 0);
}

static void
worker_release(gpointer state)
{
    PhStandinWorkerState_Destroy(state);
}

static int
standins_run(const PhStandinArguments *arguments)
{
    PhFakeLogOptions log_options = {.seed = (uint64_t)arguments->seed};
    PhClock *clock = PhClock_Create(PH_CLOCK_REAL);
    PhCounters *counters = PhCounters_Create();
    PhStandins s = {.arguments = arguments,
                    .clock = clock,
                    .loop = ev_loop_new(EVFLAG_AUTO),
                    .log = PhFakeLog_Create(&log_options),
                    .workers = g_ptr_array_new_with_free_func(worker_release)};
    s.list.reading.entries = g_new0(PhListEntry, WORKERS_MAX);
    s.kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = clock, .loop = s.loop, .counters = counters});
    s.store = PhStandinStoreState_Create();
    PhResult r = arguments->worker != NULL  ? single_worker_start(&s)
                 : arguments->store != NULL ? platform_start(&s)
                                            : standins_start(&s);
    if (PhResult_IsOk(&r)) {
        standins_serve(&s);
    }
    else {
        fprintf(stderr, "peridothill standin: %.*s\n",
                PhStr_ARG(PhResult_Message(&r)));
    }
    PhKernel_Destroy(s.kernel);
    PhListReading_Clear(&s.list.reading);
    g_ptr_array_free(s.workers, TRUE);
    PhFakeLog_Destroy(s.log);
    PhStandinStoreState_Destroy(s.store);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    ev_loop_destroy(s.loop);
    return PhResult_IsOk(&r) ? PH_EXIT_DONE : PH_EXIT_FAILED;
}

int
PhCommand_Standin(int argc, char **argv)
{
    PhStandinArguments a = {.workers = 2, .seed = 1, .run_ms = 300};
    GOptionEntry entries[] = {
        {"log", 0, 0, G_OPTION_ARG_STRING, &a.log,
         "Address of the log (default 127.0.0.1:9000)", "IP:PORT"},
        {"list", 0, 0, G_OPTION_ARG_STRING, &a.list,
         "Address of the list (default 127.0.0.1:9001)", "IP:PORT"},
        {"store", 0, 0, G_OPTION_ARG_STRING, &a.store,
         "Address of the metadata store; starts only the store and workers "
         "that "
         "run tasks",
         "IP:PORT"},
        {"worker", 0, 0, G_OPTION_ARG_STRING, &a.worker,
         "Starts only one worker that runs tasks, with this id", "ID"},
        {"listen", 0, 0, G_OPTION_ARG_STRING, &a.listen,
         "Address of --worker (default a free port)", "IP:PORT"},
        {"clock-percent", 0, 0, G_OPTION_ARG_INT, &a.clock_percent,
         "Speed of the clock of --worker (default 100)", "PERCENT"},
        {"run-ms", 0, 0, G_OPTION_ARG_INT, &a.run_ms,
         "Run time of a task with --store or --worker (default 300)", "MS"},
        {"workers", 0, 0, G_OPTION_ARG_INT, &a.workers,
         "Number of workers (default 2)", "N"},
        {"data-centre", 0, 0, G_OPTION_ARG_STRING, &a.data_centre,
         "Data centre of the workers (default bacolod)", "NAME"},
        {"services", 0, 0, G_OPTION_ARG_STRING, &a.services,
         "Services of the workers (default booking)", "NAMES"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &a.seed,
         "Seed of the random numbers (default 1)", "N"},
        {NULL},
    };
    PhOptions options = {
        .command = "standin",
        .summary = "Runs stand-ins of the platform's log, list and workers.",
        .entries = entries,
        .usage_error = "takes no arguments"};
    int code = PH_EXIT_USAGE;
    bool valid = PhOptions_Parse(&options, &argc, argv);
    if (valid && (a.workers < 0 || a.workers > WORKERS_MAX)) {
        fprintf(stderr,
                "peridothill standin: --workers must be from 0 to %d\n",
                WORKERS_MAX);
    }
    else if (valid) {
        a.log = a.log ? a.log : g_strdup("127.0.0.1:9000");
        a.list = a.list ? a.list : g_strdup("127.0.0.1:9001");
        a.data_centre = a.data_centre ? a.data_centre : g_strdup("bacolod");
        a.services = a.services ? a.services : g_strdup("booking");
        code = standins_run(&a);
    }
    g_free(a.log);
    g_free(a.list);
    g_free(a.store);
    g_free(a.worker);
    g_free(a.listen);
    g_free(a.data_centre);
    g_free(a.services);
    return code;
}
