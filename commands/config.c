#include <stdio.h>
#include <string.h>

#include "commands/config_check.h"
#include "commands/options.h"
#include "peridothill/codec/json.h"
#include "peridothill/commands.h"

/* How the answer is printed. */
typedef enum PhConfigView {
    VIEW_ENTRIES,
    VIEW_CHANGES,
    VIEW_HISTORY,
    VIEW_OUTCOME,
} PhConfigView;

/* A subcommand and its request. */
typedef struct PhConfigSubcommand {
    const char *name;
    int arguments;
    const char *method;
    const char *target; /* each %s is replaced by an argument */
    PhConfigView view;
    const char *help;
} PhConfigSubcommand;

static const PhConfigSubcommand subcommands[] = {
    {"at", 1, "GET", "/config/at/%s", VIEW_ENTRIES,
     "at VERSION     a version that is still held"},
    {"bridge", 0, "POST", "/config/bridge", VIEW_OUTCOME,
     "bridge         skip records that expired before they were read"},
    {"diff", 2, "GET", "/config/diff?from=%s&to=%s", VIEW_CHANGES,
     "diff FROM TO   the changes between two versions"},
    {"get", 0, "GET", "/config", VIEW_ENTRIES,
     "get            the version in force"},
    {"history", 0, "GET", "/config/history", VIEW_HISTORY,
     "history        the latest patches and their verdicts"},
};

static void
entries_print(const json_t *json)
{
    const char *path;
    json_t *value;
    printf("# version %" G_GINT64_FORMAT " digest %s\n",
           (gint64)PhJson_GetInt(json, "version", 0),
           json_string_value(json_object_get(json, "digest")));
    json_object_foreach(json_object_get(json, "entries"), path, value)
    {
        printf("%s=%s\n", path, json_string_value(value));
    }
}

/* Prints the changes in the form of the arguments of `peridothill patch`. */
static void
changes_print(const json_t *json)
{
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(json, "changes"), i, row)
    {
        const json_t *set = json_object_get(row, "set");
        if (set != NULL) {
            printf("set %s=%s\n", json_string_value(set),
                   json_string_value(json_object_get(row, "value")));
        }
        else {
            printf("delete %s\n",
                   json_string_value(json_object_get(row, "delete")));
        }
    }
}

static void
outcome_print(const json_t *row)
{
    const char *author = json_string_value(json_object_get(row, "author"));
    printf("%-12s version=%" G_GINT64_FORMAT " id=%s author=%s %s\n",
           json_string_value(json_object_get(row, "outcome")),
           (gint64)PhJson_GetInt(row, "version", 0),
           json_string_value(json_object_get(row, "id")),
           author != NULL ? author : "-",
           json_string_value(json_object_get(row, "reason")));
}

static void
history_print(const json_t *json)
{
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(json, "patches"), i, row)
    {
        outcome_print(row);
    }
}

static void
view_print(PhConfigView view, const json_t *json)
{
    switch (view) {
    case VIEW_ENTRIES:
        entries_print(json);
        break;
    case VIEW_CHANGES:
        changes_print(json);
        break;
    case VIEW_HISTORY:
        history_print(json);
        break;
    case VIEW_OUTCOME:
        outcome_print(json);
        break;
    }
}

/* NULL unless both the name and the number of arguments match. */
static const PhConfigSubcommand *
subcommand_find(int argc, char **argv)
{
    for (size_t i = 0; i < G_N_ELEMENTS(subcommands); i++) {
        if (strcmp(argv[1], subcommands[i].name) == 0 &&
            argc - 2 == subcommands[i].arguments) {
            return &subcommands[i];
        }
    }
    return NULL;
}

/* Inserts the escaped arguments into the target. */
static char *
target_make(const PhConfigSubcommand *subcommand, char **arguments)
{
    GString *target = g_string_new(NULL);
    const char *rest = subcommand->target;
    for (int i = 0; i < subcommand->arguments; i++) {
        const char *placeholder = strstr(rest, "%s");
        char *escaped = g_uri_escape_string(arguments[i], NULL, FALSE);
        g_string_append_len(target, rest, placeholder - rest);
        g_string_append(target, escaped);
        g_free(escaped);
        rest = placeholder + 2;
    }
    g_string_append(target, rest);
    return g_string_free(target, FALSE);
}

static int
subcommand_run(const PhConfigSubcommand *subcommand, const PhClient *client,
               char **arguments, bool as_json)
{
    json_t *json = NULL;
    char *target = target_make(subcommand, arguments);
    PhClientAnswer answer =
        PhClient_Call(client, subcommand->method, target, (PhStr){0});
    PhResult parsed = PhJson_Parse(answer.body, &json);
    bool done = answer.status == 200 && PhResult_IsOk(&parsed);
    if (!done) {
        fprintf(stderr, "peridothill config: %.*s\n",
                PhStr_ARG(PhClientAnswer_Reason(&answer)));
    }
    else if (as_json) {
        printf("%.*s\n", PhStr_ARG(answer.body));
    }
    else {
        view_print(subcommand->view, json);
    }
    json_decref(json);
    PhClientAnswer_Clear(&answer);
    g_free(target);
    return done ? PH_EXIT_DONE : PH_EXIT_FAILED;
}

static char *
subcommands_describe(void)
{
    GString *text = g_string_new(
        "Actions:\n"
        "  check FILE     check a configuration of the platform's "
        "operators\n");
    for (size_t i = 0; i < G_N_ELEMENTS(subcommands); i++) {
        g_string_append_printf(text, "  %s\n", subcommands[i].help);
    }
    return g_string_free(text, FALSE);
}

/* Runs the action "check", which sends no request to an instance and so has no
 * use for its address and token.  Returns the exit code. */
static int
check_run(int argc, char **argv, PhConfigCheckOptions *check,
          const PhClient *client)
{
    if (argc != 3 || (check->against != NULL && check->from != NULL) ||
        client->address != NULL || client->token_file != NULL ||
        client->settings != NULL) {
        fprintf(stderr, "peridothill config: check takes one file, --json, "
                        "and one of --against and --from; see --help\n");
        return PH_EXIT_USAGE;
    }
    check->path = argv[2];
    return PhConfigCheck_Run(check);
}

/* Runs the action that the arguments name.  Returns the exit code. */
static int
action_run(const PhOptions *options, int argc, char **argv,
           PhConfigCheckOptions *check)
{
    if (strcmp(argv[1], "check") == 0) {
        return check_run(argc, argv, check, options->client);
    }
    const PhConfigSubcommand *subcommand = subcommand_find(argc, argv);
    if (subcommand == NULL || check->against != NULL || check->from != NULL) {
        fprintf(stderr, "peridothill config: %s; see --help\n",
                options->usage_error);
        return PH_EXIT_USAGE;
    }
    if (!PhOptions_OpenClient(options)) {
        return PH_EXIT_USAGE;
    }
    return subcommand_run(subcommand, options->client, argv + 2,
                          check->as_json);
}

int
PhCommand_Config(int argc, char **argv)
{
    PhClient client = {0};
    gboolean as_json = FALSE;
    char *against = NULL;
    char *from = NULL;
    GOptionEntry entries[] = {
        {"json", 'j', 0, G_OPTION_ARG_NONE, &as_json, "Print the JSON answer",
         NULL},
        {"against", 0, 0, G_OPTION_ARG_FILENAME, &against,
         "For check: file with the version in force", "FILE"},
        {"from", 0, 0, G_OPTION_ARG_STRING, &from,
         "For check: address of the store that has the version in force",
         "IP:PORT"},
        {NULL},
    };
    char *details = subcommands_describe();
    PhOptions options = {.command = "config",
                         .arguments = "ACTION [ARGUMENT...]",
                         .details = details,
                         .entries = entries,
                         .client = &client,
                         .opens_later = true,
                         .min_arguments = 1,
                         .max_arguments = PH_ARGUMENTS_ANY,
                         .usage_error =
                             "an action with its arguments is required"};
    int code = PH_EXIT_USAGE;
    if (PhOptions_Parse(&options, &argc, argv)) {
        PhConfigCheckOptions check = {
            .against = against, .from = from, .as_json = as_json};
        code = action_run(&options, argc, argv, &check);
    }
    g_free(details);
    g_free(against);
    g_free(from);
    PhClient_Clear(&client);
    return code;
}
