#include <stdio.h>

#include "commands/options.h"
#include "commands/table.h"
#include "peridothill/codec/json.h"
#include "peridothill/commands.h"

static char *
text_of(const json_t *json, const char *key)
{
    return PhStr_ToC(PhJson_GetStr(json, key));
}

static char *
age_of(const json_t *json, const char *key)
{
    int64_t ms = PhJson_GetInt(json, key, -1);
    return ms < 0 ? g_strdup("never")
                  : g_strdup_printf("%.1f s ago", (double)ms / 1000.0);
}

static char *
number_of(const json_t *json, const char *key)
{
    return g_strdup_printf("%" G_GINT64_FORMAT,
                           (gint64)PhJson_GetInt(json, key, 0));
}

/* Takes ownership of `age`. */
static void
instance_add(PhTable *table, PhStr name, const char *where, const json_t *held,
             char *age)
{
    PhTable_AddStr(table, name);
    PhTable_AddFormat(table, "%s", where);
    PhTable_AddFormat(table, "%" G_GINT64_FORMAT,
                      (gint64)PhJson_GetInt(held, "version", 0));
    PhTable_AddFormat(table, "%s", age);
    g_free(age);
}

/* Prints a table of the instances and their versions. */
static void
peers_print(const json_t *status)
{
    static const char *const titles[] = {"INSTANCE", "WHERE", "VERSION",
                                         "HEARD"};
    size_t i;
    const json_t *row;
    const json_t *config = json_object_get(status, "config");
    PhTable *table = PhTable_Create(titles, G_N_ELEMENTS(titles));
    instance_add(table, PhJson_GetStr(status, "instance"), "here", config,
                 g_strdup("now"));
    json_array_foreach(json_object_get(config, "peers"), i, row)
    {
        bool local = json_is_true(json_object_get(row, "local"));
        instance_add(table, PhJson_GetStr(row, "member"),
                     local ? "local" : "remote", row,
                     age_of(row, "heard_ms_ago"));
    }
    PhTable_Print(table, stdout);
    PhTable_Destroy(table);
}

/* Takes ownership of `text`. */
static void
line_print(const char *title, char *text)
{
    printf("%-16s %s\n", title, text);
    g_free(text);
}

/* Prints which connections are up. */
static void
reachability_print(const json_t *reachability)
{
    static const char *const keys[] = {"own_data_centre", "other_data_centres",
                                       "platform"};
    GString *text = g_string_new(NULL);
    for (size_t i = 0; reachability != NULL && i < G_N_ELEMENTS(keys); i++) {
        bool reachable = json_is_true(json_object_get(reachability, keys[i]));
        g_string_append_printf(text, "%s=%s ", keys[i],
                               reachable ? "yes" : "no");
    }
    line_print("hears", g_string_free(text, FALSE));
}

static void
status_print(const json_t *status)
{
    size_t i;
    const json_t *row;
    const json_t *config = json_object_get(status, "config");
    line_print("instance", text_of(status, "instance"));
    line_print("data centre", text_of(status, "data_centre"));
    line_print("configuration", text_of(config, "standing"));
    line_print("version", number_of(config, "version"));
    line_print("digest", text_of(config, "digest"));
    line_print("log confirmed", age_of(config, "log_heard_ms_ago"));
    line_print("patches waiting", number_of(config, "patches_waiting"));
    reachability_print(json_object_get(status, "hears"));
    json_array_foreach(json_object_get(status, "promises"), i, row)
    {
        line_print(i == 0 ? "promises" : "", g_strdup(json_string_value(row)));
    }
    printf("\n");
    peers_print(status);
}

/* Returns the exit code. */
static int
answer_print(const PhClientAnswer *answer, bool as_json)
{
    json_t *json;
    if (answer->status != 200) {
        fprintf(stderr, "peridothill status: %.*s\n",
                PhStr_ARG(PhClientAnswer_Reason(answer)));
        return PH_EXIT_FAILED;
    }
    if (as_json) {
        printf("%.*s\n", PhStr_ARG(answer->body));
        return PH_EXIT_DONE;
    }
    PhResult parsed = PhJson_Parse(answer->body, &json);
    if (!PhResult_IsOk(&parsed)) {
        fprintf(stderr, "peridothill status: %.*s\n",
                PhStr_ARG(PhResult_Message(&parsed)));
        return PH_EXIT_FAILED;
    }
    status_print(json);
    json_decref(json);
    return PH_EXIT_DONE;
}

int
PhCommand_Status(int argc, char **argv)
{
    PhClient client = {0};
    gboolean as_json = FALSE;
    GOptionEntry entries[] = {
        {"json", 'j', 0, G_OPTION_ARG_NONE, &as_json, "Print the JSON answer",
         NULL},
        {NULL},
    };
    PhOptions options = {.command = "status",
                         .entries = entries,
                         .client = &client,
                         .usage_error = "takes no arguments"};
    int code = PH_EXIT_USAGE;
    if (PhOptions_Parse(&options, &argc, argv)) {
        PhClientAnswer answer =
            PhClient_Call(&client, "GET", "/status", (PhStr){0});
        code = answer_print(&answer, as_json);
        PhClientAnswer_Clear(&answer);
    }
    PhClient_Clear(&client);
    return code;
}
