/* `peridothill config check` on files and against a store in another process.
 * Guards against wrong exit codes, by which a configuration with errors is
 * sent, and against fields that are read or named wrongly. */
#include <ev.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "peridothill/commands.h"
#include "peridothill/standin/platform.h"
#include "tests/table.h"

enum {
    ARGUMENTS_MAX = 8,
    TEXTS_MAX = 4,
    FILE_MODE = 0600,
};

/* Stand for an address and for files in an argument. */
#define STORE "STORE"
#define EMPTY_STORE "EMPTY_STORE"
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
     {"0 errors, 0 warnings, 0 differences\n"}},
    {"an error",
     DOCUMENT("1", ROUTE "}", "", LIMITS),
     NULL,
     {"check", NEW},
     PH_EXIT_FAILED,
     {"error: routes[0] \"queue\": service \"booking\" does not exist\n",
      "1 errors"}},
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
      "idleTimeoutMs not stated -> 15000\n", "4 differences\n"}},
    {"differences as JSON",
     SOUND("2"),
     DOCUMENT("1", ROUTE ",\"timeoutMs\":3000}", SERVICE, "{}"),
     {"check", NEW, "--against", CURRENT, "--json"},
     PH_EXIT_DONE,
     {"\"differences\":4", "\"before\":null,\"field\":\"maxHeaderBytes\"",
      "\"in_force\":1"}},
    {"an error as JSON",
     DOCUMENT("1", ROUTE "}", "", LIMITS),
     NULL,
     {"check", "--json", NEW},
     PH_EXIT_FAILED,
     {"\"errors\":1", "\"kind\":\"service-unknown\"", "\"path\":\"routes[0]\"",
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
      "error: routes[0].priority: ", "error: routes[1].host: "}},
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
     {"0 errors, 0 warnings, 0 differences\n"}},
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

/* A folder for files, and a store with a configuration and one without. */
typedef struct PhCommandFixture {
    char *folder;
    char *stores[2];
    pid_t processes[2];
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

/* Returns the address of a store in a process of its own: the command blocks
 * until it is answered. */
static char *
store_start(bool has_config, pid_t *process)
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
        store_serve(has_config, fds[1]);
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
    for (int i = 0; i < 2; i++) {
        fixture.stores[i] = store_start(i == 0, &fixture.processes[i]);
    }
    return 0;
}

static int
fixture_stop(void **state)
{
    (void)state;
    for (int i = 0; i < 2; i++) {
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
    if (strcmp(text, STORE) == 0) {
        return g_strdup(fixture.stores[0]);
    }
    if (strcmp(text, EMPTY_STORE) == 0) {
        return g_strdup(fixture.stores[1]);
    }
    bool is_file = strcmp(text, NEW) == 0 || strcmp(text, CURRENT) == 0;
    return is_file ? path_of(text) : g_strdup(text);
}

/* Runs the command with its standard output in a file.  GLib removes options
 * from `argv` without freeing them. */
static int
command_run(const PhCommandCase *c)
{
    char *arguments[ARGUMENTS_MAX + 2] = {g_strdup("config")};
    char *argv[ARGUMENTS_MAX + 2];
    int argc = 1;
    for (; argc <= ARGUMENTS_MAX && c->arguments[argc - 1] != NULL; argc++) {
        arguments[argc] = argument_make(c->arguments[argc - 1]);
    }
    memcpy(argv, arguments, sizeof(argv));
    char *path = path_of("output");
    fflush(stdout);
    int saved = dup(STDOUT_FILENO);
    int output = open(path, O_WRONLY | O_CREAT | O_TRUNC, FILE_MODE);
    dup2(output, STDOUT_FILENO);
    int code = PhCommand_Config(argc, argv);
    fflush(stdout);
    dup2(saved, STDOUT_FILENO);
    close(output);
    close(saved);
    g_free(path);
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
    assert_int_equal(command_run(c), c->code);
    texts_find(c->texts);
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

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_commands)};
    return cmocka_run_group_tests(tests, fixture_start, fixture_stop);
}
