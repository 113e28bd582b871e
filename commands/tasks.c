#include <stdio.h>
#include <string.h>

#include "commands/options.h"
#include "peridothill/codec/json.h"
#include "peridothill/commands.h"

enum {
    HTTP_OK = 200
};

#define USAGE_ERROR "submit, list or cancel NUMBER is required"

typedef struct PhTasksCommand {
    PhClient client;
    gboolean as_json;
    char *key;
    char *team;
    char *class;
    char *hint;
    gint64 priority;
    gint64 deadline_ms;
    gint64 run_ms;
    gint64 cpu_milli;
    gint64 memory_mb;
    gint64 accelerators;
    gint64 count;
    gboolean checkpointable;
} PhTasksCommand;

/* Prints a number member, right-aligned. */
static void
number_print(const json_t *row, const char *key, int width)
{
    printf("%*" G_GINT64_FORMAT "  ", width,
           (gint64)PhJson_GetInt(row, key, 0));
}

static void
table_print(const json_t *jobs)
{
    size_t i;
    const json_t *row;
    printf("%10s  %-20s  %-12s  %-8s  %7s  %7s  %7s  %7s  %9s  %s\n", "JOB",
           "KEY", "TEAM", "CLASS", "TASKS", "WAITING", "PLACED", "DONE",
           "CANCELLED", "REASON");
    json_array_foreach(jobs, i, row)
    {
        number_print(row, "job", 10);
        printf("%-20.*s  ", PhStr_ARG(PhJson_GetStr(row, "key")));
        printf("%-12.*s  ", PhStr_ARG(PhJson_GetStr(row, "team")));
        printf("%-8.*s  ", PhStr_ARG(PhJson_GetStr(row, "class")));
        number_print(row, "count", 7);
        number_print(row, "waiting", 7);
        number_print(row, "placed", 7);
        number_print(row, "done", 7);
        number_print(row, "cancelled", 9);
        printf("%.*s\n", PhStr_ARG(PhJson_GetStr(row, "reason")));
    }
}

/* Sends a request and prints the answer; returns the exit code. */
static int
call_print(const PhTasksCommand *c, const char *method, const char *target,
           PhStr body)
{
    json_t *json = NULL;
    PhClientAnswer answer = PhClient_Call(&c->client, method, target, body);
    int code = PH_EXIT_FAILED;
    if (answer.status != HTTP_OK) {
        fprintf(stderr, "peridothill tasks: %.*s\n",
                PhStr_ARG(PhClientAnswer_Reason(&answer)));
    }
    else if (c->as_json) {
        printf("%.*s\n", PhStr_ARG(answer.body));
        code = PH_EXIT_DONE;
    }
    else {
        PhResult parsed = PhJson_Parse(answer.body, &json);
        code = PhResult_IsOk(&parsed) ? PH_EXIT_DONE : PH_EXIT_FAILED;
    }
    if (json != NULL && json_is_array(json_object_get(json, "jobs"))) {
        table_print(json_object_get(json, "jobs"));
    }
    else if (json != NULL) {
        PhStr outcome = PhJson_GetStr(json, "outcome");
        printf("%.*s", PhStr_ARG(outcome));
        if (PhJson_GetInt(json, "job", 0) > 0) {
            printf(" job %" G_GINT64_FORMAT,
                   (gint64)PhJson_GetInt(json, "job", 0));
        }
        printf("\n");
    }
    json_decref(json);
    PhClientAnswer_Clear(&answer);
    return code;
}

/* Adds a string member unless `value` is NULL. */
static void
string_set(json_t *o, const char *key, const char *value)
{
    if (value != NULL) {
        json_object_set_new(o, key, json_string(value));
    }
}

static int
job_submit(const PhTasksCommand *c)
{
    json_t *o = json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "priority",
        (json_int_t)c->priority, "deadline_ms", (json_int_t)c->deadline_ms,
        "run_ms", (json_int_t)c->run_ms, "cpu_milli", (json_int_t)c->cpu_milli,
        "memory_mb", (json_int_t)c->memory_mb, "accelerators",
        (json_int_t)c->accelerators, "count", (json_int_t)c->count,
        "checkpointable", (int)c->checkpointable);
    string_set(o, "key", c->key);
    string_set(o, "team", c->team);
    string_set(o, "class", c->class);
    string_set(o, "hint", c->hint);
    PhStr body = PhJson_Write(o);
    int code = call_print(c, "POST", "/jobs", body);
    PhStr_Clear(&body);
    json_decref(o);
    return code;
}

static int
job_cancel(const PhTasksCommand *c, const char *number)
{
    char *target = g_strdup_printf("/jobs/%s", number);
    int code = call_print(c, "DELETE", target, (PhStr){0});
    g_free(target);
    return code;
}

static int
command_run(const PhTasksCommand *c, int argc, char **argv)
{
    if (argc == 2 && strcmp(argv[1], "list") == 0) {
        return call_print(c, "GET", "/jobs", (PhStr){0});
    }
    if (argc == 2 && strcmp(argv[1], "submit") == 0) {
        return job_submit(c);
    }
    if (argc == 3 && strcmp(argv[1], "cancel") == 0) {
        return job_cancel(c, argv[2]);
    }
    fprintf(stderr, "peridothill tasks: " USAGE_ERROR "; see --help\n");
    return PH_EXIT_USAGE;
}

int
PhCommand_Tasks(int argc, char **argv)
{
    PhTasksCommand c = {.cpu_milli = 1000, .memory_mb = 512, .count = 1};
    GOptionEntry entries[] = {
        {"json", 'j', 0, G_OPTION_ARG_NONE, &c.as_json,
         "Print the JSON answer", NULL},
        {"key", 'k', 0, G_OPTION_ARG_STRING, &c.key,
         "Idempotency key of the job", "KEY"},
        {"team", 't', 0, G_OPTION_ARG_STRING, &c.team, "Team", "TEAM"},
        {"class", 0, 0, G_OPTION_ARG_STRING, &c.class,
         "urgent, standing or batch (default)", "CLASS"},
        {"hint", 0, 0, G_OPTION_ARG_STRING, &c.hint, "Interference group",
         "NAME"},
        {"priority", 0, 0, G_OPTION_ARG_INT64, &c.priority,
         "Higher runs first (default 0)", "N"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT64, &c.deadline_ms,
         "Deadline, in ms since the Unix epoch", "MS"},
        {"run-ms", 0, 0, G_OPTION_ARG_INT64, &c.run_ms,
         "Declared run time of a task", "MS"},
        {"cpu-milli", 0, 0, G_OPTION_ARG_INT64, &c.cpu_milli,
         "Thousandths of a processor for a task (default 1000)", "N"},
        {"memory-mb", 0, 0, G_OPTION_ARG_INT64, &c.memory_mb,
         "Memory for a task (default 512)", "MB"},
        {"accelerators", 0, 0, G_OPTION_ARG_INT64, &c.accelerators,
         "Accelerators for a task (default 0)", "N"},
        {"count", 'n', 0, G_OPTION_ARG_INT64, &c.count,
         "Number of tasks (default 1)", "N"},
        {"checkpointable", 0, 0, G_OPTION_ARG_NONE, &c.checkpointable,
         "The tasks can resume from a checkpoint", NULL},
        {NULL},
    };
    PhOptions options = {.command = "tasks",
                         .arguments = "submit|list|cancel [NUMBER]",
                         .entries = entries,
                         .client = &c.client,
                         .min_arguments = 1,
                         .max_arguments = 2,
                         .usage_error = USAGE_ERROR};
    int code = PH_EXIT_USAGE;
    if (PhOptions_Parse(&options, &argc, argv)) {
        code = command_run(&c, argc, argv);
    }
    g_free(c.key);
    g_free(c.team);
    g_free(c.class);
    g_free(c.hint);
    PhClient_Clear(&c.client);
    return code;
}
