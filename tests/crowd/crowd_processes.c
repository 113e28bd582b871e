/* Starts, calls and ends the processes under test, by their ids. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include "crowd.h"
#include "tests/table.h"

enum {
    ANSWER_BYTES = 256,
    PATH_BYTES = 64,
    CALL_LIMIT_S = 3, /* clients wait this long for an answer */
    EXIT_NOT_STARTED = 127,
    STATUS_DIGITS_AT = 9, /* after "HTTP/1.1 " */
    DECIMAL = 10,
};

/* A port that was free a moment ago. */
static uint16_t
port_find(void)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&a, &len), 0);
    close(fd);
    return ntohs(a.sin_port);
}

static pid_t
process_start(const char *folder, const char *name, char *const *arguments)
{
    char *path = g_strdup_printf("%s/%s.log", folder, name);
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        close(log);
        if (getppid() == parent) {
            execv(arguments[0], arguments);
        }
        _exit(EXIT_NOT_STARTED);
    }
    g_free(path);
    assert_true(pid > 0);
    return pid;
}

static void
instance_start(PhCrowdProcesses *p, char *program, const char *store,
               const char *limits)
{
    char *path = g_strdup_printf("%s/entry.ini", p->folder);
    char *text = g_strdup_printf(
        "[instance]\nid = entry-1\ndata_centre = bacolod\n"
        "deployment = platform\n[callers]\nlisten = 127.0.0.1:%u\n"
        "[scheduler]\nstore = %s\nready = 127.0.0.1:%u\n"
        "link = 127.0.0.1:%u\n[limits]\n%s",
        p->ports[PH_CROWD_CLIENTS], store, p->ports[PH_CROWD_READY],
        p->ports[PH_CROWD_LINK], limits);
    assert_true(g_file_set_contents(path, text, -1, NULL));
    p->instance = process_start(p->folder, "entry",
                                (char *[]){program, "serve", path, NULL});
    g_free(text);
    g_free(path);
}

void
PhCrowdProcesses_Start(PhCrowdProcesses *p, const char *limits)
{
    char *program = getenv("PH_PROGRAM");
    if (program == NULL) {
        fail_msg("PH_PROGRAM is not set");
        return;
    }
    p->folder = g_dir_make_tmp("peridothill-crowd-XXXXXX", NULL);
    for (int i = 0; i < PH_CROWD_LISTENERS; i++) {
        p->ports[i] = port_find();
    }
    char *store = g_strdup_printf("127.0.0.1:%u", port_find());
    p->standin =
        process_start(p->folder, "standin",
                      (char *[]){program, "standin", "--store", store,
                                 "--workers", "2", "--run-ms", "100", NULL});
    instance_start(p, program, store, limits);
    g_free(store);
}

static void
process_end(pid_t pid)
{
    if (pid > 0) {
        kill(pid, SIGKILL);
        waitpid(pid, NULL, 0);
    }
}

static void
folder_remove(const char *folder)
{
    static const char *const names[] = {"entry.ini", "entry.log",
                                        "standin.log"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *path = g_strdup_printf("%s/%s", folder, names[i]);
        unlink(path);
        g_free(path);
    }
    rmdir(folder);
}

void
PhCrowdProcesses_Stop(PhCrowdProcesses *p)
{
    process_end(p->instance);
    process_end(p->standin);
    if (p->folder != NULL) {
        folder_remove(p->folder);
    }
    g_free(p->folder);
    *p = (PhCrowdProcesses){0};
}

/* Once it was waited for, its id may be that of another process. */
bool
PhCrowdProcesses_IsAlive(PhCrowdProcesses *p)
{
    if (p->instance > 0 && waitpid(p->instance, NULL, WNOHANG) != 0) {
        p->instance = 0;
    }
    return p->instance > 0;
}

static uint64_t
status_field(const char *text, const char *name)
{
    const char *at = strstr(text, name);
    return at == NULL ? 0 : strtoull(at + strlen(name), NULL, DECIMAL);
}

PhCrowdUse
PhCrowdProcesses_Use(const PhCrowdProcesses *p)
{
    char path[PATH_BYTES];
    char *text = NULL;
    PhCrowdUse use = {0};
    snprintf(path, sizeof(path), "/proc/%d/status", (int)p->instance);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        use.resident_kb = status_field(text, "VmRSS:");
        use.peak_kb = status_field(text, "VmHWM:");
        g_free(text);
    }
    snprintf(path, sizeof(path), "/proc/%d/fd", (int)p->instance);
    GDir *dir = g_dir_open(path, 0, NULL);
    while (dir != NULL && g_dir_read_name(dir) != NULL) {
        use.descriptors++;
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    return use;
}

static int
answer_read(int fd)
{
    char answer[ANSWER_BYTES] = {0};
    size_t len = 0;
    ssize_t n = 1;
    while (n > 0 && len < sizeof(answer) - 1) {
        n = recv(fd, answer + len, sizeof(answer) - 1 - len, 0);
        len += n > 0 ? (size_t)n : 0;
    }
    return len > STATUS_DIGITS_AT
               ? (int)strtol(answer + STATUS_DIGITS_AT, NULL, DECIMAL)
               : 0;
}

int
PhCrowdProcesses_Call(const PhCrowdProcesses *p, PhCrowdListener listener,
                      const char *request)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons(p->ports[listener]),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct timeval limit = {.tv_sec = CALL_LIMIT_S};
    int status = 0;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
        send(fd, request, strlen(request), MSG_NOSIGNAL) > 0) {
        status = answer_read(fd);
    }
    close(fd);
    return status;
}
