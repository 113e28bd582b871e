/* The task that starts, signals and reaps the processes of the soak, by their
 * ids, and reads what workers report. */
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

enum {
    MAILBOX_CAPACITY = 4096,
    READ_BYTES = 65536,
    ARGUMENTS_MAX = 12,
    TEXT_BYTES = 256,
    JOB_ID_LEN = 16,
    HEX_BASE = 16,
    TASKS_IN_STEP_MAX = 1000,
    SLOW_PERCENT = 98,
    RUN_MS = 400,
    EXIT_NOT_STARTED = 127,
};

typedef struct PhChild {
    PhSoakParty party;
    pid_t pid;         /* 0: not running */
    int exit_fd;       /* readable once the process has ended */
    int out;           /* standard output of a worker, -1 for others */
    PhBuf text;        /* incomplete line */
    PhTime ends_since; /* signal that ends it, 0: none */
} PhChild;

typedef struct PhProcesses {
    const PhSoakPlan *plan;
    PhTask *self;
    GHashTable *children; /* PhChild by party */
    GHashTable *by_fd;    /* PhChild by exit_fd and out; borrowed */
} PhProcesses;

static gpointer
party_key(PhSoakParty party)
{
    return GUINT_TO_POINTER(party.kind * PH_SOAK_WORKERS_MAX + party.index +
                            1);
}

static PhChild *
child_find(PhProcesses *p, PhSoakParty party)
{
    PhChild *c = g_hash_table_lookup(p->children, party_key(party));
    if (c == NULL) {
        c = g_new0(PhChild, 1);
        c->party = party;
        c->out = -1;
        g_hash_table_insert(p->children, party_key(party), c);
    }
    return c;
}

static char *
path_make(const PhProcesses *p, PhSoakParty party, const char *suffix)
{
    static const char *const names[] = {"entry", "worker", "store"};
    return g_strdup_printf("%s/%s-%u%s", p->plan->folder, names[party.kind],
                           party.index, suffix);
}

static void
settings_write(const PhProcesses *p, uint32_t i, const char *path)
{
    const PhSoakPlan *plan = p->plan;
    char *text = g_strdup_printf(
        "[instance]\nid = entry-%u\ndata_centre = bacolod\n"
        "deployment = platform\n[callers]\nlisten = 127.0.0.1:%u\n"
        "[scheduler]\nstore = 127.0.0.1:%u\nready = 127.0.0.1:%u\n"
        "link = 127.0.0.1:%u\nlease_limit = 10000ms\n"
        "room_reserve = 12\nclaim_after = 500ms\ncontact_limit = 600ms\n"
        "[limits]\ndrain_notice = 2500ms\ndrain_limit = 5s\nmemory = 160MB\n"
        "header_time = 10s\njson_values = 16384\nactive_tasks = 262144\n"
        "[log]\nlevel = info\n",
        i, plan->callers_ports[i], plan->store_proxy_ports[i],
        plan->ready_ports[i], plan->link_ports[i]);
    g_file_set_contents(path, text, -1, NULL);
    g_free(text);
}

/* Returns the arguments of a process, freed with g_strfreev. */
static char **
arguments_make(const PhProcesses *p, PhSoakParty party)
{
    const PhSoakPlan *plan = p->plan;
    char **a = g_new0(char *, ARGUMENTS_MAX);
    size_t n = 0;
    a[n++] = g_strdup(plan->program);
    switch (party.kind) {
    case PH_SOAK_INSTANCE:
        a[n++] = g_strdup("serve");
        a[n] = path_make(p, party, ".ini");
        settings_write(p, party.index, a[n]);
        break;
    case PH_SOAK_WORKER:
        a[n++] = g_strdup("standin");
        a[n++] = g_strdup_printf("--worker=w-%u", party.index);
        a[n++] = g_strdup_printf("--listen=127.0.0.1:%u",
                                 plan->worker_ports[party.index]);
        a[n++] = g_strdup_printf("--run-ms=%d", RUN_MS);
        a[n++] = g_strdup("--services=work");
        if (party.index % 2 == 0) {
            a[n] = g_strdup_printf("--clock-percent=%d", SLOW_PERCENT);
        }
        break;
    case PH_SOAK_STORE:
        a[n++] = g_strdup("standin");
        a[n++] = g_strdup_printf("--store=127.0.0.1:%u", plan->store_port);
        a[n++] = g_strdup("--workers=0");
        a[n] = g_strdup("--services=work");
        break;
    }
    return a;
}

/* In the new process, which ends with the soak.  In a session of its own it
 * gets no SIGHUP when it is paused while the soak's shell ends. */
static void
child_exec(char **arguments, int out, int log, pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(EXIT_NOT_STARTED);
    }
    setsid();
    dup2(out, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments);
    _exit(EXIT_NOT_STARTED);
}

static void
child_start(PhProcesses *p, PhChild *c)
{
    char **arguments = arguments_make(p, c->party);
    char *path = path_make(p, c->party, ".log");
    int log = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    int pipe_fds[2] = {-1, log};
    if (c->party.kind == PH_SOAK_WORKER && pipe2(pipe_fds, O_CLOEXEC) != 0) {
        abort();
    }
    pid_t parent = getpid();
    c->pid = fork();
    if (c->pid == 0) {
        child_exec(arguments, pipe_fds[1], log, parent);
    }
    if (c->party.kind == PH_SOAK_WORKER) {
        close(pipe_fds[1]);
        c->out = pipe_fds[0];
        fcntl(c->out, F_SETFL, O_NONBLOCK);
        g_hash_table_insert(p->by_fd, GINT_TO_POINTER(c->out), c);
        PhTask_Watch(p->self, c->out, PH_IO_READ);
    }
    c->ends_since = 0;
    c->exit_fd = (int)syscall(SYS_pidfd_open, c->pid, 0);
    g_hash_table_insert(p->by_fd, GINT_TO_POINTER(c->exit_fd), c);
    PhTask_Watch(p->self, c->exit_fd, PH_IO_READ);
    close(log);
    g_free(path);
    g_strfreev(arguments);
}

static void
child_spawn(PhProcesses *p, PhSoakParty party)
{
    PhChild *c = child_find(p, party);
    if (c->pid != 0) {
        return;
    }
    child_start(p, c);
    PhSoakMessage m = {.tag = PH_SOAK_STARTED, .party = party};
    m.as.pid = c->pid;
    PhSoak_Send(p->self, PH_SOAK_PROXY, &m);
    PhSoak_Send(p->self, PH_SOAK_FAULTS, &m);
}

/* "ID.ROUND.STEP.INDEX"; the job's number is in the last half of the id. */
static bool
task_parse(PhStr text, PhSoakNote *note)
{
    PhStr rest;
    PhStr id;
    PhStr round;
    PhStr step;
    uint64_t s;
    uint64_t i;
    if (!PhStr_Cut(text, '.', &id, &rest) || id.len != JOB_ID_LEN ||
        !PhStr_Cut(rest, '.', &round, &rest) ||
        !PhStr_Cut(rest, '.', &step, &rest) || !PhStr_ParseU64(step, &s) ||
        !PhStr_ParseU64(rest, &i)) {
        return false;
    }
    char *number = PhStr_ToC(PhStr_Slice(id, JOB_ID_LEN / 2, id.len));
    note->job = (uint32_t)strtoul(number, NULL, HEX_BASE);
    note->as.run.task = (uint32_t)(s * TASKS_IN_STEP_MAX + i);
    g_free(number);
    return true;
}

static PhSoakRunEvent
event_parse(PhStr word)
{
    if (PhStr_Equal(word, PhStr_LITERAL("start"))) {
        return PH_SOAK_RUN_START;
    }
    if (PhStr_Equal(word, PhStr_LITERAL("done"))) {
        return PH_SOAK_RUN_DONE;
    }
    return PhStr_Equal(word, PhStr_LITERAL("noted")) ? PH_SOAK_RUN_NOTED
                                                     : PH_SOAK_RUN_OVER;
}

/* "TIME WORD TASK RUN", or "TIME born ID MS". */
static void
line_handle(PhProcesses *p, const PhChild *c, PhStr line)
{
    PhStr time;
    PhStr word;
    PhStr task;
    PhStr rest;
    uint64_t at_ms;
    uint64_t number;
    PhStr_Cut(line, ' ', &time, &rest);
    PhStr_Cut(rest, ' ', &word, &rest);
    PhStr_Cut(rest, ' ', &task, &rest);
    if (!PhStr_ParseU64(time, &at_ms) || !PhStr_ParseU64(rest, &number)) {
        return;
    }
    if (PhStr_Equal(word, PhStr_LITERAL("born"))) {
        PhSoakMessage m = {.tag = PH_SOAK_BORN, .party = c->party};
        m.as.born_ms = (int64_t)number;
        PhSoak_Send(p->self, PH_SOAK_REGISTRAR, &m);
        return;
    }
    PhSoakNote note = {.tag = PH_SOAK_NOTE_RUN,
                       .at = (PhTime)at_ms * PH_NS_PER_MS,
                       .party = c->party};
    note.as.run.event = event_parse(word);
    note.as.run.run = (uint32_t)number;
    if (task_parse(task, &note)) {
        PhSoak_Note(p->self, &note);
    }
}

static void
output_read(PhProcesses *p, PhChild *c)
{
    char bytes[READ_BYTES];
    ssize_t got;
    PhStr line;
    PhStr rest;
    while ((got = read(c->out, bytes, sizeof(bytes))) > 0) {
        PhBuf_Append(&c->text, PhStr_FromBytes(bytes, (size_t)got));
    }
    while (PhStr_Cut(PhBuf_Str(&c->text), '\n', &line, &rest)) {
        line_handle(p, c, line);
        PhBuf_Consume(&c->text, line.len + 1);
    }
    if (got == 0) {
        PhTask_Watch(p->self, c->out, 0);
    }
}

static void
fd_close(PhProcesses *p, int fd)
{
    PhTask_Watch(p->self, fd, 0);
    g_hash_table_remove(p->by_fd, GINT_TO_POINTER(fd));
    close(fd);
}

/* The end counts from the signal that caused it. */
static void
child_reap(PhProcesses *p, PhChild *c)
{
    PhSoakNote note = {.tag = PH_SOAK_NOTE_EXIT,
                       .at = PhTask_Now(p->self),
                       .sent_at = c->ends_since,
                       .party = c->party};
    if (waitpid(c->pid, &note.as.exit_status, WNOHANG) != c->pid) {
        return;
    }
    if (c->out >= 0) {
        output_read(p, c);
        fd_close(p, c->out);
        c->out = -1;
        PhBuf_Reset(&c->text);
    }
    fd_close(p, c->exit_fd);
    c->pid = 0;
    PhSoak_Note(p->self, &note);
    PhSoakMessage m = {.tag = PH_SOAK_EXITED, .party = c->party};
    m.as.signal = note.as.exit_status;
    PhSoak_Send(p->self, PH_SOAK_FAULTS, &m);
    PhSoak_Send(p->self, PH_SOAK_PROXY, &m);
    PhSoak_Send(p->self, PH_SOAK_REGISTRAR, &m);
}

static void
child_signal(PhProcesses *p, PhSoakParty party, int number)
{
    PhChild *c = child_find(p, party);
    if (c->pid == 0) {
        return;
    }
    if (c->ends_since == 0 && (number == SIGTERM || number == SIGKILL)) {
        c->ends_since = PhTask_Now(p->self);
    }
    kill(c->pid, number);
}

static void
processes_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhProcesses *p = state;
    p->self = self;
    if (mail->kind == PH_MAIL_STOP) {
        PhTask_End(self);
    }
    if (mail->kind == PH_MAIL_IO) {
        PhChild *c =
            g_hash_table_lookup(p->by_fd, GINT_TO_POINTER(mail->as.io.fd));
        if (c != NULL && mail->as.io.fd == c->exit_fd) {
            child_reap(p, c);
        }
        else if (c != NULL) {
            output_read(p, c);
        }
    }
    if (mail->kind == PH_MAIL_MESSAGE) {
        const PhSoakMessage *m = mail->as.message.body;
        if (m->tag == PH_SOAK_SPAWN) {
            child_spawn(p, m->party);
        }
        else if (m->tag == PH_SOAK_SIGNAL) {
            child_signal(p, m->party, m->as.signal);
        }
    }
}

/* Ends and reaps what still runs. */
static void
child_destroy(gpointer value)
{
    PhChild *c = value;
    if (c->pid != 0) {
        kill(c->pid, SIGKILL);
        waitpid(c->pid, NULL, 0);
        close(c->exit_fd);
    }
    if (c->out >= 0) {
        close(c->out);
    }
    PhBuf_Clear(&c->text);
    g_free(c);
}

static void
processes_destroy(void *state)
{
    PhProcesses *p = state;
    g_hash_table_destroy(p->by_fd);
    g_hash_table_destroy(p->children);
    g_free(p);
}

void
PhSoakProcesses_Start(PhKernel *kernel, const PhSoakPlan *plan)
{
    PhProcesses *p = g_new0(PhProcesses, 1);
    p->plan = plan;
    p->children = g_hash_table_new_full(NULL, NULL, NULL, child_destroy);
    p->by_fd = g_hash_table_new(NULL, NULL);
    PhTaskSpec spec = {.name = PH_SOAK_PROCESSES,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = p,
                       .handle = processes_handle,
                       .destroy = processes_destroy};
    PhKernel_Spawn(kernel, &spec, NULL);
}
