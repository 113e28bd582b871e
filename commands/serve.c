#include <ev.h>
#include <fcntl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "commands/file.h"
#include "commands/options.h"
#include "peridothill/commands.h"
#include "peridothill/platform/adapter.h"
#include "peridothill/services/instance.h"
#include "peridothill/services/peers.h"

/* State of a running instance. */
typedef struct PhServe {
    PhSettings settings;
    PhStr keys[2];
    size_t key_count;
    struct ev_loop *loop;
    PhKernel *kernel;
    ev_signal terminate;
    ev_signal interrupt;
    ev_signal hangup;
    const char *path;
    PhLog *log;
    PhClock *clock;
} PhServe;

/* Adds the key from a file; an empty path adds none. */
static PhResult
key_add(PhServe *s, PhStr path)
{
    PhStr text = {0};
    if (path.len == 0) {
        return PhResult_Ok();
    }
    char *path_c = PhStr_ToC(path);
    PhResult r = PhFile_Read(path_c, &text);
    if (text.len > 0) {
        r = PhPeersKey_Parse(text, &s->keys[s->key_count]);
        s->key_count += PhResult_IsOk(&r);
    }
    PhStr_Clear(&text);
    g_free(path_c);
    return r;
}

/* Reads the settings and the key files. */
static PhResult
serve_load(PhServe *s, const char *path)
{
    PhBuf errors = {0};
    PhResult r = PhSettings_Load(PhStr_FromC(path), &s->settings, &errors);
    fwrite(errors.data, 1, errors.len, stderr);
    PhBuf_Clear(&errors);
    if (PhResult_IsOk(&r)) {
        r = key_add(s, s->settings.peers.key_file);
    }
    if (PhResult_IsOk(&r)) {
        r = key_add(s, s->settings.peers.previous_key_file);
    }
    return r;
}

/* Starts the graceful stop; further signals have no effect. */
static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int revents)
{
    PhServe *s = watcher->data;
    (void)loop;
    (void)revents;
    PhInstance_Stop(s->kernel);
}

/* Reloads the settings file.  Level and format of the log change at once; all
 * other changes need a restart. */
static void
on_hangup(struct ev_loop *loop, ev_signal *watcher, int revents)
{
    PhServe *s = watcher->data;
    PhSettings reloaded = {0};
    PhBuf errors = {0};
    (void)loop;
    (void)revents;
    PhResult r = PhSettings_Load(PhStr_FromC(s->path), &reloaded, &errors);
    PhTime now = PhClock_Now(s->clock);
    if (PhResult_IsOk(&r)) {
        PhLog_SetLevel(s->log, reloaded.log.level);
        PhLog_SetFormat(s->log, reloaded.log.format);
        PhLog_EMIT(s->log, PH_EVENT_SETTINGS_RELOADED, PH_SERVICE_SUPERVISOR,
                   now,
                   PhField_STR("level",
                               PhStr_FromC(PhLevel_Name(reloaded.log.level))));
    }
    else {
        PhLog_EMIT(s->log, PH_EVENT_SETTINGS_INVALID, PH_SERVICE_SUPERVISOR,
                   now, PhField_STR("errors", PhBuf_Str(&errors)));
    }
    PhBuf_Clear(&errors);
    PhSettings_Clear(&reloaded);
}

/* Called once every service has ended. */
static void
on_stopped(void *context)
{
    PhServe *s = context;
    ev_break(s->loop, EVBREAK_ALL);
}

static void
signals_watch(PhServe *s)
{
    signal(SIGPIPE, SIG_IGN);
    ev_signal_init(&s->terminate, on_signal, SIGTERM);
    ev_signal_init(&s->interrupt, on_signal, SIGINT);
    ev_signal_init(&s->hangup, on_hangup, SIGHUP);
    s->hangup.data = s;
    ev_signal_start(s->loop, &s->hangup);
    s->terminate.data = s;
    s->interrupt.data = s;
    ev_signal_start(s->loop, &s->terminate);
    ev_signal_start(s->loop, &s->interrupt);
}

/* Logs the ports of the instance. */
static void
started_log(PhLog *log, const PhClock *clock, const PhSettings *settings,
            const PhInstancePorts *ports)
{
    PhLog_EMIT(log, PH_EVENT_PROCESS_STARTED, PH_SERVICE_SUPERVISOR,
               PhClock_Now(clock), PhField_STR("id", settings->instance.id),
               PhField_U64("callers_port", ports->callers),
               PhField_U64("operators_port", ports->operators),
               PhField_U64("peers_port", ports->peers));
}

/* The largest body fits into any budget.  Without a limit in the settings
 * there is none. */
static PhReceiveBudget *
receive_budget_create(const PhSettings *s)
{
    uint64_t bytes =
        PhReceiveBudget_Derive(s->limits.receive_budget, s->limits.memory);
    return bytes == 0
               ? NULL
               : PhReceiveBudget_Create(MAX(bytes, s->limits.request_body));
}

static PhResult
serve_run(PhServe *s)
{
    PhClock *clock = PhClock_Create(PH_CLOCK_REAL);
    PhCounters *counters = PhCounters_Create();
    PhLog *log =
        PhLog_Create(stdout, s->settings.log.format, s->settings.log.level);
    PhLog_SetWallOffset(log, PhClock_Wall(clock) - PhClock_Now(clock));
    /* Log output must not block the process if its reader stalls. */
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    s->log = log;
    s->clock = clock;
    s->loop = ev_loop_new(EVFLAG_AUTO);
    s->kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = clock, .loop = s->loop, .log = log, .counters = counters});
    PhInstanceOptions options = {
        .settings = &s->settings,
        .keys = s->keys,
        .key_count = s->key_count,
        .incarnation = (uint64_t)(PhClock_Wall(clock) / PH_NS_PER_MS),
        .supervisor = {.drain_limit = s->settings.limits.drain_limit,
                       .context = s,
                       .on_stopped = on_stopped}};
    options.receive_budget = receive_budget_create(&s->settings);
    randombytes_buf(&options.seed, sizeof(options.seed));
    PhInstancePorts ports = {0};
    bool schedules = s->settings.scheduler.store.len > 0;
    PhResult r = schedules
                     ? PhAdapter_StartInstance(s->kernel, &options, &ports)
                     : PhInstance_Start(s->kernel, &options, &ports);
    if (PhResult_IsOk(&r)) {
        started_log(log, clock, &s->settings, &ports);
        signals_watch(s);
        ev_run(s->loop, 0);
    }
    PhKernel_Destroy(s->kernel);
    PhReceiveBudget_Destroy(options.receive_budget);
    ev_loop_destroy(s->loop);
    PhLog_Destroy(log);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    return r;
}

/* Overrides the log format from the settings; NULL keeps it. */
static PhResult
log_format_set(PhServe *s, const char *name)
{
    if (name == NULL) {
        return PhResult_Ok();
    }
    if (strcmp(name, "json") == 0) {
        s->settings.log.format = PH_LOG_FORMAT_JSON;
        return PhResult_Ok();
    }
    if (strcmp(name, "logfmt") == 0) {
        s->settings.log.format = PH_LOG_FORMAT_LOGFMT;
        return PhResult_Ok();
    }
    return PhResult_Make(PH_STATUS_INVALID,
                         "--log-format: must be logfmt or json");
}

static int
serve_file(const char *path, const char *log_format)
{
    PhServe s = {.path = path};
    PhResult r = serve_load(&s, path);
    if (PhResult_IsOk(&r)) {
        r = log_format_set(&s, log_format);
    }
    if (PhResult_IsOk(&r)) {
        r = serve_run(&s);
    }
    if (!PhResult_IsOk(&r)) {
        fprintf(stderr, "peridothill serve: %s: %.*s\n",
                PhStatus_Name(r.status), PhStr_ARG(PhResult_Message(&r)));
    }
    for (size_t i = 0; i < s.key_count; i++) {
        PhStr_Clear(&s.keys[i]);
    }
    PhSettings_Clear(&s.settings);
    return PhResult_IsOk(&r) ? PH_EXIT_DONE : PH_EXIT_FAILED;
}

int
PhCommand_Serve(int argc, char **argv)
{
    char *log_format = NULL;
    GOptionEntry entries[] = {
        {"log-format", 0, 0, G_OPTION_ARG_STRING, &log_format,
         "Log format: logfmt or json (default: from FILE)", "NAME"},
        {NULL},
    };
    PhOptions options = {
        .command = "serve",
        .arguments = "FILE",
        .summary = "Runs an entry instance with the settings in FILE until "
                   "SIGTERM stops it gracefully.",
        .entries = entries,
        .min_arguments = 1,
        .max_arguments = 1,
        .usage_error = "FILE is required"};
    int code = PH_EXIT_USAGE;
    bool valid = PhOptions_Parse(&options, &argc, argv);
    if (valid && sodium_init() < 0) {
        fprintf(stderr, "peridothill serve: libsodium failed to initialize\n");
        code = PH_EXIT_FAILED;
    }
    else if (valid) {
        code = serve_file(argv[1], log_format);
    }
    g_free(log_format);
    return code;
}
