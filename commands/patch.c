#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "commands/options.h"
#include "peridothill/codec/config_record.h"
#include "peridothill/codec/json.h"
#include "peridothill/commands.h"

enum {
    ID_BYTES = 12,
    RETRY_MIN_MS = 300,
    RETRY_MAX_MS = 4000,
    ROLLOUT_POLL_MS = 300,
};

typedef struct PhPatchCommand {
    PhClient client;
    gint64 base; /* negative: the version in force */
    gint64 timeout_s;
    gboolean wait;
    gboolean strict;
    char *id;
    char *author;
    PhConfigPatch patch;
} PhPatchCommand;

/* Outcome of the last request. */
typedef struct PhPatchOutcome {
    /* accepted, refused, not-accepted, unknown or not-found */
    char outcome_name[16];
    char *reason;
    int64_t version;
    bool maybe_accepted; /* an earlier attempt may have been accepted */
} PhPatchOutcome;

/* Parses "set PATH=VALUE" and "delete PATH" arguments. */
static bool
changes_parse(int argc, char **argv, PhConfigPatch *patch)
{
    for (int i = 1; i < argc; i += 2) {
        PhStr path;
        PhStr value;
        if (i + 1 == argc) {
            return false;
        }
        PhStr argument = PhStr_FromC(argv[i + 1]);
        if (strcmp(argv[i], "delete") == 0) {
            PhConfigPatch_Add(patch, PH_CONFIG_CHANGE_DELETE, argument,
                              (PhStr){0});
        }
        else if (strcmp(argv[i], "set") == 0 &&
                 PhStr_Cut(argument, '=', &path, &value)) {
            PhConfigPatch_Add(patch, PH_CONFIG_CHANGE_SET, path, value);
        }
        else {
            return false;
        }
    }
    return true;
}

/* Without an answer the outcome is unknown if the request may have been
 * sent. */
static void
outcome_read(PhPatchOutcome *o, const PhClientAnswer *answer)
{
    json_t *json = NULL;
    g_free(o->reason);
    o->reason = NULL;
    if (answer->status == 0) {
        g_strlcpy(o->outcome_name, answer->sent ? "unknown" : "not-accepted",
                  sizeof(o->outcome_name));
        o->reason = PhStr_ToC(PhResult_Message(&answer->result));
        return;
    }
    PhResult parsed = PhJson_Parse(answer->body, &json);
    PhStr outcome_name = PhJson_GetStr(json, "outcome");
    PhStr reason = PhJson_GetStr(json, "reason");
    if (!PhResult_IsOk(&parsed) || outcome_name.len == 0) {
        outcome_name = answer->status == 503  ? PhStr_LITERAL("not-accepted")
                       : answer->status > 503 ? PhStr_LITERAL("unknown")
                                              : PhStr_LITERAL("refused");
        reason = PhJson_GetStr(json, "error");
    }
    g_snprintf(o->outcome_name, sizeof(o->outcome_name), "%.*s",
               PhStr_ARG(outcome_name));
    o->reason = PhStr_ToC(reason);
    o->version = PhJson_GetInt(json, "version", 0);
    json_decref(json);
}

/* Exponential back-off with jitter. */
static void
retry_wait(const PhClient *client, gint64 *delay_ms)
{
    gint64 jitter = randombytes_uniform((uint32_t)*delay_ms + 1);
    PhClient_Wait(client, *delay_ms / 2 + jitter);
    *delay_ms = MIN(*delay_ms * 2, RETRY_MAX_MS);
}

/* Submits the patch until there is a verdict or the time-out expires.  Retries
 * are safe because a patch id is applied only once. */
static void
patch_submit(const PhPatchCommand *c, PhPatchOutcome *o)
{
    gint64 deadline = g_get_monotonic_time() + c->timeout_s * G_USEC_PER_SEC;
    gint64 delay_ms = RETRY_MIN_MS;
    PhStr body = PhConfigPatch_Encode(&c->patch);
    for (;;) {
        PhClientAnswer answer =
            PhClient_Call(&c->client, "POST", "/config/patches", body);
        outcome_read(o, &answer);
        PhClientAnswer_Clear(&answer);
        o->maybe_accepted |= strcmp(o->outcome_name, "unknown") == 0;
        bool decided = strcmp(o->outcome_name, "accepted") == 0 ||
                       strcmp(o->outcome_name, "refused") == 0;
        if (decided || g_get_monotonic_time() >= deadline) {
            break;
        }
        retry_wait(&c->client, &delay_ms);
    }
    if (o->maybe_accepted && strcmp(o->outcome_name, "not-accepted") == 0) {
        g_strlcpy(o->outcome_name, "unknown", sizeof(o->outcome_name));
    }
    PhStr_Clear(&body);
}

static void
verdict_query(const PhPatchCommand *c, PhPatchOutcome *o)
{
    char *id = g_uri_escape_string(c->id, NULL, FALSE);
    char *target = g_strdup_printf("/config/patches/%s", id);
    PhClientAnswer answer =
        PhClient_Call(&c->client, "GET", target, (PhStr){0});
    outcome_read(o, &answer);
    if (answer.status == 0) {
        g_strlcpy(o->outcome_name, "unknown", sizeof(o->outcome_name));
    }
    PhClientAnswer_Clear(&answer);
    g_free(target);
    g_free(id);
}

/* Uses the version in force as the base. */
static bool
base_read(PhPatchCommand *c)
{
    json_t *json = NULL;
    PhClientAnswer answer =
        PhClient_Call(&c->client, "GET", "/config", (PhStr){0});
    PhResult parsed = PhJson_Parse(answer.body, &json);
    c->base = PhResult_IsOk(&parsed) ? PhJson_GetInt(json, "version", -1) : -1;
    if (c->base < 0) {
        fprintf(stderr,
                "peridothill patch: cannot read the version in force: %.*s\n",
                PhStr_ARG(PhClientAnswer_Reason(&answer)));
    }
    json_decref(json);
    PhClientAnswer_Clear(&answer);
    return c->base >= 0;
}

/* Returns the number of instances that have the version, and lists the
 * others. */
static size_t
rollout_read(json_t *json, int64_t version, GString *behind)
{
    size_t i;
    json_t *row;
    json_t *config = json_object_get(json, "config");
    size_t up_to_date = PhJson_GetInt(config, "version", -1) >= version;
    g_string_truncate(behind, 0);
    json_array_foreach(json_object_get(config, "peers"), i, row)
    {
        if (PhJson_GetInt(row, "heard_ms_ago", -1) >= 0 &&
            PhJson_GetInt(row, "version", -1) >= version) {
            up_to_date++;
            continue;
        }
        PhStr member = PhJson_GetStr(row, "member");
        g_string_append_printf(behind, " %.*s", PhStr_ARG(member));
    }
    return up_to_date;
}

/* Polls until every instance known to the contacted one has the version; false
 * if the time-out expires first. */
static bool
rollout_wait(const PhPatchCommand *c, int64_t version)
{
    gint64 deadline = g_get_monotonic_time() + c->timeout_s * G_USEC_PER_SEC;
    GString *behind = g_string_new(NULL);
    size_t up_to_date = 0;
    bool read;
    do {
        json_t *json = NULL;
        PhClientAnswer answer =
            PhClient_Call(&c->client, "GET", "/status", (PhStr){0});
        PhResult parsed = PhJson_Parse(answer.body, &json);
        read = answer.status == 200 && PhResult_IsOk(&parsed);
        if (read) {
            up_to_date = rollout_read(json, version, behind);
        }
        json_decref(json);
        PhClientAnswer_Clear(&answer);
        if (read && behind->len == 0) {
            break;
        }
        PhClient_Wait(&c->client, ROLLOUT_POLL_MS);
    } while (g_get_monotonic_time() < deadline);
    printf("in force on %zu instances\n", up_to_date);
    if (behind->len > 0) {
        printf("not heard from at this version:%s\n", behind->str);
    }
    bool complete = read && behind->len == 0;
    g_string_free(behind, TRUE);
    return complete;
}

/* Returns the exit code. */
static int
outcome_print(const PhPatchCommand *c, const PhPatchOutcome *o)
{
    bool accepted = strcmp(o->outcome_name, "accepted") == 0;
    printf("%s id=%.*s", o->outcome_name, PhStr_ARG(c->patch.id));
    if (accepted) {
        printf(" version=%" G_GINT64_FORMAT, o->version);
    }
    if (o->reason != NULL && o->reason[0] != '\0') {
        printf(" reason=\"%s\"", o->reason);
    }
    printf("\n");
    if (accepted && c->wait && !rollout_wait(c, o->version)) {
        return PH_EXIT_FAILED;
    }
    return accepted ? PH_EXIT_DONE : PH_EXIT_FAILED;
}

/* Fills in all members of the patch except changes and base. */
static void
patch_fill(PhPatchCommand *c)
{
    char id[ID_BYTES * 2 + 1];
    unsigned char bytes[ID_BYTES];
    if (c->id == NULL) {
        randombytes_buf(bytes, sizeof(bytes));
        sodium_bin2hex(id, sizeof(id), bytes, sizeof(bytes));
        c->id = g_strdup(id);
    }
    c->patch.id = PhStr_Dup(PhStr_FromC(c->id));
    c->patch.author = PhStr_Dup(
        PhStr_FromC(c->author != NULL ? c->author : g_get_user_name()));
    c->patch.strict = c->strict;
}

/* Without changes, only queries the verdict on the id. */
static int
command_run(PhPatchCommand *c)
{
    PhPatchOutcome o = {0};
    bool query_only = c->patch.change_count == 0;
    patch_fill(c);
    if (query_only) {
        verdict_query(c, &o);
    }
    else {
        if (c->base < 0 && !base_read(c)) {
            return PH_EXIT_FAILED;
        }
        c->patch.base = (uint64_t)c->base;
        patch_submit(c, &o);
    }
    int code = outcome_print(c, &o);
    g_free(o.reason);
    return code;
}

/* False after printing an error. */
static bool
command_parse(PhPatchCommand *c, int argc, char **argv)
{
    GOptionEntry entries[] = {
        {"base", 'b', 0, G_OPTION_ARG_INT64, &c->base,
         "Base version of the changes (default: the version in force)", "N"},
        {"id", 0, 0, G_OPTION_ARG_STRING, &c->id,
         "Id of the patch; without changes: query its verdict", "ID"},
        {"author", 0, 0, G_OPTION_ARG_STRING, &c->author,
         "Author (default: the user's name)", "NAME"},
        {"strict", 0, 0, G_OPTION_ARG_NONE, &c->strict,
         "Refuse unless the base version is still in force", NULL},
        {"wait", 'w', 0, G_OPTION_ARG_NONE, &c->wait,
         "Wait until every known instance has the new version", NULL},
        {"timeout", 't', 0, G_OPTION_ARG_INT64, &c->timeout_s,
         "Time-out in seconds for the verdict, and again for --wait "
         "(default 20)",
         "S"},
        {NULL},
    };
    PhOptions options = {.command = "patch",
                         .arguments = "[set PATH=VALUE | delete PATH]...",
                         .entries = entries,
                         .client = &c->client,
                         .max_arguments = PH_ARGUMENTS_ANY};
    if (!PhOptions_Parse(&options, &argc, argv)) {
        return false;
    }
    bool valid = changes_parse(argc, argv, &c->patch) &&
                 (c->patch.change_count > 0 || c->id != NULL);
    if (!valid) {
        fprintf(stderr, "peridothill patch: 'set PATH=VALUE' or 'delete PATH' "
                        "is required; see --help\n");
    }
    return valid;
}

int
PhCommand_Patch(int argc, char **argv)
{
    PhPatchCommand c = {.base = -1, .timeout_s = 20};
    int code = PH_EXIT_USAGE;
    if (command_parse(&c, argc, argv)) {
        code = command_run(&c);
    }
    PhConfigPatch_Clear(&c.patch);
    PhClient_Clear(&c.client);
    g_free(c.id);
    g_free(c.author);
    return code;
}
