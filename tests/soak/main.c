/* The soak of real processes; see docs/PROOF.md. */
#include <arpa/inet.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peridothill/services/http.h"
#include "soak.h"

enum {
    PORTS_MAX = 3 * PH_SOAK_INSTANCES_MAX + PH_SOAK_WORKERS_MAX + 1,
    MS_PER_S = 1000,
    TAIL_MS = 16000,
    WARM_UP_MS = 4000,
    EXIT_USAGE = 2,
};

typedef struct PhSoak {
    PhSoakPlan plan;
    struct ev_loop *loop;
    PhKernel *kernel;
    GArray *notes;
    int reserved[PORTS_MAX]; /* sockets that keep ports from others */
    size_t reserved_count;
    bool done;
} PhSoak;

/* Keeps a socket bound to a free port, which only a process that asks for this
 * very port gets. */
static uint16_t
port_reserve(PhSoak *s)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(a);
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&a, len) != 0 ||
        getsockname(fd, (struct sockaddr *)&a, &len) != 0) {
        close(fd);
        return 0;
    }
    s->reserved[s->reserved_count++] = fd;
    return ntohs(a.sin_port);
}

static void
ports_reserve(PhSoak *s)
{
    PhSoakPlan *p = &s->plan;
    p->store_port = port_reserve(s);
    for (uint32_t i = 0; i < p->instances; i++) {
        p->callers_ports[i] = port_reserve(s);
        p->ready_ports[i] = port_reserve(s);
        p->link_ports[i] = port_reserve(s);
    }
    for (uint32_t i = 0; i < p->workers; i++) {
        p->worker_ports[i] = port_reserve(s);
    }
}

static void
on_done(void *context)
{
    PhSoak *s = context;
    s->done = true;
    ev_break(s->loop, EVBREAK_ALL);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int revents)
{
    (void)watcher;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

/* Plays the acts.  Returns false if the soak was interrupted or could not
 * start. */
static bool
soak_play(PhSoak *s, const GArray *acts)
{
    ev_signal terminate;
    ev_signal interrupt;
    ev_signal_init(&terminate, on_signal, SIGTERM);
    ev_signal_init(&interrupt, on_signal, SIGINT);
    ev_signal_start(s->loop, &terminate);
    ev_signal_start(s->loop, &interrupt);
    PhSoakJournal_Start(s->kernel, s->notes, on_done, s);
    bool started = PhHttpMinimal_Start(s->kernel) == PH_STATUS_OK &&
                   PhSoakProxy_Start(s->kernel, &s->plan) == PH_STATUS_OK;
    if (started) {
        PhSoakProcesses_Start(s->kernel, &s->plan);
        PhSoakRegistrar_Start(s->kernel, &s->plan);
        PhSoakFaults_Start(s->kernel, &s->plan, acts);
        PhSoakCallers_Start(s->kernel, &s->plan);
        ev_run(s->loop, 0);
    }
    ev_signal_stop(s->loop, &terminate);
    ev_signal_stop(s->loop, &interrupt);
    return s->done;
}

static bool
soak_run(PhSoak *s)
{
    PhClock *clock = PhClock_Create(PH_CLOCK_REAL);
    PhCounters *counters = PhCounters_Create();
    GArray *acts = PhSoakSchedule_Draw(&s->plan);
    signal(SIGPIPE, SIG_IGN);
    s->loop = ev_loop_new(EVFLAG_AUTO);
    s->notes = g_array_new(FALSE, TRUE, sizeof(PhSoakNote));
    s->kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = clock, .loop = s->loop, .counters = counters});
    ports_reserve(s);
    printf("soak seed=%" PRIu64 " instances=%u workers=%u draws_ms=%" PRId64
           " tail_ms=%" PRId64 " logs=%s\n",
           s->plan.seed, s->plan.instances, s->plan.workers, s->plan.draws_ms,
           s->plan.tail_ms, s->plan.folder);
    PhSoakSchedule_Print(acts);
    fflush(stdout);
    bool played = soak_play(s, acts);
    PhKernel_Destroy(s->kernel);
    bool held = played && PhSoakChecks_Run(&s->plan, s->notes);
    printf("soak seed=%" PRIu64 " verdict=%s\n", s->plan.seed,
           !played ? "interrupted"
           : held  ? "held"
                   : "failed");
    g_array_free(s->notes, TRUE);
    g_array_free(acts, TRUE);
    ev_loop_destroy(s->loop);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    return held;
}

int
main(int argc, char **argv)
{
    gint64 seed = 1;
    gint seconds = 30;
    gint minutes = 0;
    gint instances = 3;
    gint workers = 8;
    char *program = NULL;
    char *folder = NULL;
    GOptionEntry entries[] = {
        {"seed", 0, 0, G_OPTION_ARG_INT64, &seed,
         "Seed of the draws (default 1)", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
         "Time in which faults are drawn (default 30)", "S"},
        {"minutes", 0, 0, G_OPTION_ARG_INT, &minutes, "The same in minutes",
         "M"},
        {"instances", 0, 0, G_OPTION_ARG_INT, &instances,
         "Number of instances (default 3)", "N"},
        {"workers", 0, 0, G_OPTION_ARG_INT, &workers,
         "Number of workers (default 8)", "N"},
        {"program", 0, 0, G_OPTION_ARG_FILENAME, &program,
         "The program peridothill", "FILE"},
        {"logs", 0, 0, G_OPTION_ARG_FILENAME, &folder,
         "An existing folder for settings and logs", "FOLDER"},
        {NULL},
    };
    GOptionContext *options = g_option_context_new(NULL);
    g_option_context_add_main_entries(options, entries, NULL);
    bool valid = g_option_context_parse(options, &argc, &argv, NULL) &&
                 program != NULL && folder != NULL && instances > 0 &&
                 instances <= PH_SOAK_INSTANCES_MAX && workers > 0 &&
                 workers <= PH_SOAK_WORKERS_MAX;
    int code = EXIT_USAGE;
    g_option_context_free(options);
    if (valid) {
        int64_t draws_s = minutes > 0 ? (int64_t)minutes * 60 : seconds;
        PhSoak *s = g_new0(PhSoak, 1);
        s->plan = (PhSoakPlan){.program = program,
                               .folder = folder,
                               .seed = (uint64_t)seed,
                               .instances = (uint32_t)instances,
                               .workers = (uint32_t)workers,
                               .draws_ms = draws_s * MS_PER_S + WARM_UP_MS,
                               .tail_ms = TAIL_MS};
        code = soak_run(s) ? 0 : 1;
        for (size_t i = 0; i < s->reserved_count; i++) {
            close(s->reserved[i]);
        }
        g_free(s);
    }
    else {
        fprintf(stderr, "soak: --program and --logs are required, and sizes "
                        "within their limits\n");
    }
    g_free(program);
    g_free(folder);
    return code;
}
