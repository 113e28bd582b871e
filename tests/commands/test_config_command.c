/* `peridothill config check` on files and against a store in another process.
 * Guards against wrong exit codes, by which a configuration with errors is
 * sent, and against fields that are read or named wrongly. */
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "peridothill/commands.h"
#include "peridothill/standin/platform.h"
#include "tests/table.h"

enum {
    ARGUMENTS_MAX = 8,
    TEXTS_MAX = 4,
    FILE_MODE = 0600,
    SPACES_BYTES = 4096,
};

/* Stand for an address and for files in an argument. */
#define STORE "STORE"
#define EMPTY_STORE "EMPTY_STORE"
#define DAMAGED_STORE "DAMAGED_STORE"
#define REPEATING_STORE "REPEATING_STORE"
#define ENDLESS_STORE "ENDLESS_STORE"
#define LARGE_STORE "LARGE_STORE"
#define REFUSING_STORE "REFUSING_STORE"
#define NEW "NEW"
#define CURRENT "CURRENT"

typedef struct PhCommandCase {
    const char *name;
    const char *document; /* content of NEW */
    const char *current;  /* content of CURRENT, or NULL */
    const char *arguments[ARGUMENTS_MAX];
    int code;
    const char *texts[TEXTS_MAX]; /* parts of the output, in this order */
} PhCommandCase;

#define ROUTE                                                                 \
    "{\"name\":\"queue\",\"host\":\"jobs.example\",\"pathPrefix\":\"/jobs/\"" \
    ",\"service\":\"booking\",\"maxAttempts\":3,\"stretch\":2.0,"             \
    "\"targetCompletionMs\":1000"
#define NO_SERVICE                                                            \
    "{\"name\":\"queue\",\"host\":\"jobs.example\",\"pathPrefix\":\"/jobs/\"" \
    ",\"maxAttempts\":3}"
/* 60 entries that are no objects. */
#define TEN_SEVENS ",7,7,7,7,7,7,7,7,7,7"
#define SEVENS                                                                \
    TEN_SEVENS TEN_SEVENS TEN_SEVENS TEN_SEVENS TEN_SEVENS TEN_SEVENS
#define SERVICE "{\"name\":\"booking\",\"enforcesCapacity\":true}"
#define LIMITS                                                                \
    "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"                      \
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"
#define DOCUMENT(VERSION, ROUTES, SERVICES, STATED)                           \
    "{\"version\":" VERSION ",\"routes\":[" ROUTES                            \
    "],\"services\":[" SERVICES "],\"limits\":" STATED "}"
#define SOUND(VERSION)                                                        \
    DOCUMENT(VERSION, ROUTE ",\"timeoutMs\":3000}", SERVICE, LIMITS)

static const PhCommandCase command_cases[] = {
    {"nothing found",
     SOUND("1"),
     NULL,
     {"check", NEW},
     PH_EXIT_DONE,
     {"errors: 0, warnings: 0, differences: 0\n"}},
    {"an error and a warning",
     DOCUMENT("1", NO_SERVICE, SERVICE, LIMITS),
     NULL,
     {"check", NEW},
     PH_EXIT_FAILED,
     {"error: routes[0] \"queue\": names no service\n",
      "warning: services[0] \"booking\": no queue names this service\n",
      "errors: 1, warnings: 1, differences: 0\n"}},
    {"a service that is not in the list, which instances do not read",
     DOCUMENT("1", ROUTE "}", "", LIMITS),
     NULL,
     {"check", NEW},
     PH_EXIT_DONE,
     {"warning: routes[0] \"queue\": service \"booking\" is not in the list "
      "of "
      "services\n",
      "errors: 0, warnings: 1, differences: 0\n"}},
    {"only warnings",
     DOCUMENT("1", ROUTE ",\"timeoutMs\":999}", SERVICE, LIMITS),
     NULL,
     {"check", NEW},
     PH_EXIT_DONE,
     {"warning: routes[0] \"queue\": timeoutMs of 999 ms is below "
      "targetCompletionMs of 1000 ms\n"}},
    {"only differences",
     SOUND("2"),
     DOCUMENT("1", ROUTE "}", SERVICE, "{\"maxBodyBytes\":262144}"),
     {"check", NEW, "--against", CURRENT},
     PH_EXIT_DONE,
     {"difference: routes[0] \"queue\": timeoutMs not stated -> 3000\n",
      "difference: limits: maxHeaderBytes not stated -> 16384\n",
      "idleTimeoutMs not stated -> 15000\n", "differences: 4\n"}},
    {"differences as JSON",
     SOUND("2"),
     DOCUMENT("1", ROUTE ",\"timeoutMs\":3000}", SERVICE, "{}"),
     {"check", NEW, "--against", CURRENT, "--json"},
     PH_EXIT_DONE,
     {"\"differences\":4", "\"before\":null,\"field\":\"maxHeaderBytes\"",
      "\"in_force\":1"}},
    {"an error as JSON",
     DOCUMENT("1", NO_SERVICE, "", LIMITS),
     NULL,
     {"check", "--json", NEW},
     PH_EXIT_FAILED,
     {"\"errors\":1", "\"kind\":\"service-missing\"", "\"path\":\"routes[0]\"",
      "\"in_force\":null"}},
    {"a warning as JSON",
     DOCUMENT("1", ROUTE "}", "", LIMITS),
     NULL,
     {"check", "--json", NEW},
     PH_EXIT_DONE,
     {"\"errors\":0", "\"kind\":\"service-unknown\"", "\"path\":\"routes[0]\"",
      "\"in_force\":null"}},
    {"limits that contradict each other",
     DOCUMENT("1", ROUTE "}", SERVICE,
              "{\"maxBodyBytes\":0,\"headerTimeoutMs\":9,"
              "\"idleTimeoutMs\":8}"),
     NULL,
     {"check", NEW},
     PH_EXIT_FAILED,
     {"error: limits: maxBodyBytes is 0\n",
      "error: limits: idleTimeoutMs of 8 ms is below headerTimeoutMs of 9 "
      "ms\n"}},
    {"every field that is refused",
     "{\"version\":0,\"routes\":[{\"host\":\"h\",\"priority\":-1},7]}",
     NULL,
     {"check", NEW},
     PH_EXIT_FAILED,
     {"error: version: ", "error: routes[0].pathPrefix: ",
      "error: routes[0].priority: ", "error: routes[1]: not an object;"}},
    {"fields that are ignored",
     DOCUMENT("1", ROUTE ",\"advice\":1,\"timeoutMs\":\"3 s\"}",
              "{\"name\":\"booking\",\"enforcesCapacity\":1}",
              "{\"maxBodyBytes\":-1}"),
     NULL,
     {"check", NEW},
     PH_EXIT_FAILED,
     {"error: routes[0].timeoutMs: ", "error: limits.maxBodyBytes: ",
      "error: routes[0].advice: not an object; instances ignore the value",
      "error: services[0].enforcesCapacity: "}},
    {"more malformed routes and services than are shown",
     DOCUMENT("1", "7" SEVENS, "7" SEVENS, LIMITS),
     NULL,
     {"check", NEW},
     PH_EXIT_FAILED,
     {"error: routes[59]: not an object; instances refuse the document\n"
      "error: routes[60]: not an object; instances refuse the document\n"
      "error: services[0]: ",
      "error: services[38]: not an object; instances ignore the value\n"
      "error: malformed: 22 more not shown\n"
      "errors: 101, warnings: 0, differences: 0\n"}},
    {"bytes beyond 2147483647",
     DOCUMENT("1", ROUTE "}", SERVICE, "{\"maxBodyBytes\":2147483648}"),
     NULL,
     {"check", NEW},
     PH_EXIT_DONE,
     {"errors: 0, warnings: 0, differences: 0\n"}},
    {"null for what is missing",
     DOCUMENT("1", ROUTE ",\"timeoutMs\":null}", SERVICE,
              "{\"maxBodyBytes\":null}"),
     NULL,
     {"check", NEW},
     PH_EXIT_DONE,
     {"errors: 0, warnings: 0, differences: 0\n"}},
    {"null limits and services",
     "{\"version\":1,\"routes\":[],\"services\":null,\"limits\":null}",
     NULL,
     {"check", NEW},
     PH_EXIT_DONE,
     {"errors: 0, warnings: 0, differences: 0\n"}},
    {"no JSON",
     "{\"version\":1",
     NULL,
     {"check", NEW},
     PH_EXIT_FAILED,
     {"error: JSON, byte"}},
    {"against the store",
     DOCUMENT("2", ROUTE ",\"priority\":1}", SERVICE, LIMITS),
     NULL,
     {"check", NEW, "--from", STORE},
     PH_EXIT_DONE,
     {"difference: routes[0] \"queue\": priority 0 -> 1\n"}},
    {"a version that the store has",
     SOUND("1"),
     NULL,
     {"check", NEW, "--from", STORE},
     PH_EXIT_FAILED,
     {"error: version 1 is not above version 1 in force"}},
    {"a store without a configuration",
     SOUND("1"),
     NULL,
     {"check", NEW, "--from", EMPTY_STORE},
     PH_EXIT_DONE,
     {"errors: 0, warnings: 0, differences: 0\n"}},
    {"a store whose newest record does not decode",
     DOCUMENT("1", NO_SERVICE, "", LIMITS),
     NULL,
     {"check", NEW, "--from", DAMAGED_STORE},
     PH_EXIT_USAGE,
     {"errors: 1, warnings: 0, differences: 0\n"}},
    {"a store that repeats a page",
     SOUND("1"),
     NULL,
     {"check", NEW, "--from", REPEATING_STORE},
     PH_EXIT_USAGE},
    {"a store whose pages have no end",
     SOUND("1"),
     NULL,
     {"check", NEW, "--from", ENDLESS_STORE},
     PH_EXIT_USAGE},
    {"a store whose answer is too large",
     SOUND("1"),
     NULL,
     {"check", NEW, "--from", LARGE_STORE},
     PH_EXIT_USAGE},
    {"a store that refuses the read",
     SOUND("1"),
     NULL,
     {"check", NEW, "--from", REFUSING_STORE},
     PH_EXIT_USAGE},
    {"a store that does not answer",
     SOUND("1"),
     NULL,
     {"check", NEW, "--from", "127.0.0.1:1"},
     PH_EXIT_USAGE},
    {"no file", NULL, NULL, {"check", NEW}, PH_EXIT_USAGE},
    {"no file to compare with",
     SOUND("1"),
     NULL,
     {"check", NEW, "--against", CURRENT},
     PH_EXIT_USAGE},
    {"a file to compare with that instances refuse",
     SOUND("1"),
     "{}",
     {"check", NEW, "--against", CURRENT},
     PH_EXIT_USAGE,
     {"errors: 0, warnings: 0, differences: 0\n"}},
    {"an empty file to compare with",
     SOUND("1"),
     "",
     {"check", NEW, "--against", CURRENT},
     PH_EXIT_USAGE,
     {"errors: 0, warnings: 0, differences: 0\n"}},
    {"an address of an instance",
     SOUND("1"),
     NULL,
     {"check", NEW, "--address", "127.0.0.1:1"},
     PH_EXIT_USAGE},
    {"a token",
     SOUND("1"),
     "token",
     {"check", NEW, "--token-file", CURRENT},
     PH_EXIT_USAGE},
    {"settings of an instance",
     SOUND("1"),
     "",
     {"check", NEW, "--settings", CURRENT},
     PH_EXIT_USAGE},
    {"two to compare with",
     SOUND("2"),
     SOUND("1"),
     {"check", NEW, "--against", CURRENT, "--from", STORE},
     PH_EXIT_USAGE},
    {"nothing to check", SOUND("1"), NULL, {"check"}, PH_EXIT_USAGE},
    {"two files", SOUND("1"), NULL, {"check", NEW, NEW}, PH_EXIT_USAGE},
    {"an option of check with another action",
     SOUND("1"),
     NULL,
     {"get", "--against", NEW},
     PH_EXIT_USAGE},
};

/* A store with its name in arguments.  One without `head` is the stand-in;
 * others answer each request with the head and `spaces` spaces. */
typedef struct PhStoreCase {
    const char *name;
    bool has_config; /* the stand-in */
    const char *head;
    const char *second; /* in place of `head` for every second request */
    int spaces;
} PhStoreCase;

#define ANSWER(STATUS, BODY)                                                  \
    "HTTP/1.1 " STATUS "\r\nConnection: close\r\n\r\n" BODY

/* "e30=" is "{}". */
static const PhStoreCase store_cases[] = {
    {.name = STORE, .has_config = true},
    {.name = EMPTY_STORE},
    {.name = DAMAGED_STORE,
     .head = ANSWER("200 OK", "{\"items\":[{\"key\":\"config\",\"value\":"
                              "\"e30=\"}],\"hasMore\":false}")},
    {.name = REPEATING_STORE,
     .head = ANSWER("200 OK", "{\"items\":[{\"key\":\"a\",\"value\":"
                              "\"e30=\"}],\"hasMore\":true}")},
    {.name = ENDLESS_STORE,
     .head = ANSWER("200 OK", "{\"items\":[{\"key\":\"a\",\"value\":"
                              "\"e30=\"}],\"hasMore\":true}"),
     .second = ANSWER("200 OK", "{\"items\":[{\"key\":\"b\",\"value\":"
                                "\"e30=\"}],\"hasMore\":true}")},
    {.name = LARGE_STORE,
     .head = ANSWER("200 OK", "{\"items\":[]}"),
     .spaces = 16 << 20},
    {.name = REFUSING_STORE,
     .head = ANSWER("503 Service Unavailable", "{\"items\":[]}")},
};

/* A folder for files, and the stores in the order of their cases. */
typedef struct PhCommandFixture {
    char *folder;
    char *stores[G_N_ELEMENTS(store_cases)];
    pid_t processes[G_N_ELEMENTS(store_cases)];
} PhCommandFixture;

static PhCommandFixture fixture;

/* Serves until the process is ended. */
static void
store_serve(bool has_config, int port_fd)
{
    uint16_t port = 0;
    PhClock *clock = PhClock_Create(PH_CLOCK_REAL);
    PhCounters *counters = PhCounters_Create();
    struct ev_loop *loop = ev_loop_new(0);
    PhKernel *kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = clock, .loop = loop, .counters = counters});
    PhStandinStoreState *state = PhStandinStoreState_Create();
    PhResult r = PhStandinStore_Start(kernel, PhStr_LITERAL("127.0.0.1:0"),
                                      state, &port);
    if (has_config) {
        PhStandinStoreState_PutQueue(state, PhStr_LITERAL("booking"));
    }
    if (!PhResult_IsOk(&r) ||
        write(port_fd, &port, sizeof(port)) != sizeof(port)) {
        _exit(PH_EXIT_FAILED);
    }
    ev_run(loop, 0);
    _exit(PH_EXIT_DONE);
}

/* Reads a request up to the empty line at its end. */
static void
request_read(int fd)
{
    static const char end[] = "\r\n\r\n";
    char c;
    int matched = 0;
    while (matched < 4 && read(fd, &c, 1) == 1) {
        matched = c == end[matched] ? matched + 1 : c == end[0];
    }
}

/* Writes the answer, or as much of it as the client reads. */
static void
answer_write(int fd, const PhStoreCase *c, int number)
{
    char spaces[SPACES_BYTES];
    memset(spaces, ' ', sizeof(spaces));
    const char *head =
        c->second != NULL && number % 2 == 1 ? c->second : c->head;
    ssize_t written = write(fd, head, strlen(head));
    for (int i = 0; i < c->spaces && written > 0; i += SPACES_BYTES) {
        written = write(fd, spaces, sizeof(spaces));
    }
}

/* Answers one connection after the other until the process is ended. */
static void
answers_serve(const PhStoreCase *c, int port_fd)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    signal(SIGPIPE, SIG_IGN);
    if (bind(listener, (struct sockaddr *)&address, len) != 0 ||
        listen(listener, 1) != 0 ||
        getsockname(listener, (struct sockaddr *)&address, &len) != 0) {
        _exit(PH_EXIT_FAILED);
    }
    uint16_t port = ntohs(address.sin_port);
    if (write(port_fd, &port, sizeof(port)) != sizeof(port)) {
        _exit(PH_EXIT_FAILED);
    }
    for (int number = 0;; number++) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0) {
            _exit(PH_EXIT_FAILED);
        }
        request_read(fd);
        answer_write(fd, c, number);
        close(fd);
    }
}

/* Returns the address of a store in a process of its own: the command blocks
 * until it is answered. */
static char *
store_start(const PhStoreCase *c, pid_t *process)
{
    int fds[2];
    uint16_t port = 0;
    pid_t parent = getpid();
    assert_int_equal(pipe2(fds, O_CLOEXEC), 0);
    *process = fork();
    if (*process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(PH_EXIT_FAILED);
        }
        if (c->head != NULL) {
            answers_serve(c, fds[1]);
        }
        store_serve(c->has_config, fds[1]);
    }
    close(fds[1]);
    assert_int_equal(read(fds[0], &port, sizeof(port)), sizeof(port));
    close(fds[0]);
    return g_strdup_printf("127.0.0.1:%u", port);
}

static int
fixture_start(void **state)
{
    (void)state;
    fixture.folder = g_dir_make_tmp("peridothill-XXXXXX", NULL);
    assert_non_null(fixture.folder);
    for (size_t i = 0; i < G_N_ELEMENTS(store_cases); i++) {
        fixture.stores[i] =
            store_start(&store_cases[i], &fixture.processes[i]);
    }
    return 0;
}

static int
fixture_stop(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(store_cases); i++) {
        kill(fixture.processes[i], SIGKILL);
        waitpid(fixture.processes[i], NULL, 0);
        g_free(fixture.stores[i]);
    }
    rmdir(fixture.folder);
    g_free(fixture.folder);
    return 0;
}

static char *
path_of(const char *name)
{
    return g_build_filename(fixture.folder, name, NULL);
}

/* Writes the file, or removes it for NULL. */
static void
file_set(const char *name, const char *text)
{
    char *path = path_of(name);
    if (text != NULL) {
        assert_true(g_file_set_contents(path, text, -1, NULL));
    }
    else {
        unlink(path);
    }
    g_free(path);
}

static char *
argument_make(const char *text)
{
    for (size_t i = 0; i < G_N_ELEMENTS(store_cases); i++) {
        if (strcmp(text, store_cases[i].name) == 0) {
            return g_strdup(fixture.stores[i]);
        }
    }
    bool is_file = strcmp(text, NEW) == 0 || strcmp(text, CURRENT) == 0;
    return is_file ? path_of(text) : g_strdup(text);
}

/* Runs the command with its standard output in the file at `path`.  GLib
 * removes options from `argv` without freeing them. */
static int
command_run(const PhCommandCase *c, const char *path)
{
    char *arguments[ARGUMENTS_MAX + 2] = {g_strdup("config")};
    char *argv[ARGUMENTS_MAX + 2];
    int argc = 1;
    for (; argc <= ARGUMENTS_MAX && c->arguments[argc - 1] != NULL; argc++) {
        arguments[argc] = argument_make(c->arguments[argc - 1]);
    }
    memcpy(argv, arguments, sizeof(argv));
    fflush(stdout);
    int saved = dup(STDOUT_FILENO);
    int output = open(path, O_WRONLY | O_CREAT | O_TRUNC, FILE_MODE);
    dup2(output, STDOUT_FILENO);
    int code = PhCommand_Config(argc, argv);
    fflush(stdout);
    dup2(saved, STDOUT_FILENO);
    close(output);
    close(saved);
    for (int i = 0; i < argc; i++) {
        g_free(arguments[i]);
    }
    return code;
}

static void
texts_find(const char *const *texts)
{
    char *path = path_of("output");
    char *output;
    assert_true(g_file_get_contents(path, &output, NULL, NULL));
    size_t next = 0;
    for (int i = 0; i < TEXTS_MAX && texts[i] != NULL; i++) {
        const char *found = strstr(output + next, texts[i]);
        if (found == NULL) {
            print_message("# output: %s\n", output);
            fail_msg("missing: %s", texts[i]);
        }
        else {
            next = (size_t)(found - output) + strlen(texts[i]);
        }
    }
    g_free(output);
    g_free(path);
}

static void
case_run(const PhCommandCase *c)
{
    file_set(NEW, c->document);
    file_set(CURRENT, c->current);
    char *path = path_of("output");
    assert_int_equal(command_run(c, path), c->code);
    texts_find(c->texts);
    g_free(path);
    file_set(NEW, NULL);
    file_set(CURRENT, NULL);
    file_set("output", NULL);
}

static void
test_commands(void **state)
{
    (void)state;
    Ph_RUN_TABLE(command_cases, case_run);
}

/* Guards against a script that takes findings that were never written for
 * none. */
static void
test_full_device(void **state)
{
    (void)state;
    const PhCommandCase c = {.arguments = {"check", NEW}};
    file_set(NEW, SOUND("1"));
    assert_int_equal(command_run(&c, "/dev/full"), PH_EXIT_USAGE);
    clearerr(stdout);
    file_set(NEW, NULL);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_commands),
                                       cmocka_unit_test(test_full_device)};
    return cmocka_run_group_tests(tests, fixture_start, fixture_stop);
}
