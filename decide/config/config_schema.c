#include "peridothill/decide/config/config_schema.h"

typedef enum PhValueKind {
    VALUE_NUMBER, /* decimal, low to high inclusive */
    VALUE_WORD,   /* one of a list */
    VALUE_PATH,   /* URL path, starts with '/' */
    VALUE_PATHS,  /* URL paths separated by single spaces */
    VALUE_NAME,   /* segment of a configuration path */
} PhValueKind;

/* Type and bounds of a value. */
typedef struct PhValueForm {
    PhValueKind kind;
    union {
        struct {
            uint64_t low;
            uint64_t high;
        } number;
        const char *words; /* separated by spaces */
    } as;
} PhValueForm;

/* A known key: "<group>.<name>.<key>" if `named`, else "<group>.<key>". */
typedef struct PhSchemaRow {
    const char *group;
    bool named;
    const char *key;
    PhValueForm form;
} PhSchemaRow;

#define NUMBER(LOW, HIGH)                                                     \
    {                                                                         \
        .kind = VALUE_NUMBER, .as.number = {(LOW), (HIGH) }                   \
    }
#define WORD(WORDS)                                                           \
    {                                                                         \
        .kind = VALUE_WORD, .as.words = (WORDS)                               \
    }

enum {
    DAY_MS = 24 * 3600 * 1000,
    BODY_LIMIT_BYTES = 64 * 1024 * 1024,
    SHARE_LIMIT = 1000000,
    AMOUNT_LIMIT = 1000000000,
};

static const PhSchemaRow rows[] = {
    {"services", true, "prefix", {.kind = VALUE_PATH}},
    {"services", true, "class", WORD("latency-critical batch background")},
    {"services", true, "deadline_ms", NUMBER(1, DAY_MS)},
    {"services", true, "team", {.kind = VALUE_NAME}},
    {"services", true, "share", NUMBER(0, SHARE_LIMIT)},
    {"services", true, "body_limit_bytes", NUMBER(0, BODY_LIMIT_BYTES)},
    {"services", true, "idempotent_paths", {.kind = VALUE_PATHS}},
    {"services", true, "retry_percent", NUMBER(0, 100)},
    {"services", true, "hedge_after_ms", NUMBER(0, DAY_MS)},
    {"teams", true, "share", NUMBER(0, SHARE_LIMIT)},
    {"teams", true, "quota.cpu_milli", NUMBER(0, AMOUNT_LIMIT)},
    {"teams", true, "quota.memory_mb", NUMBER(0, AMOUNT_LIMIT)},
    {"teams", true, "quota.accelerators", NUMBER(0, AMOUNT_LIMIT)},
    {"tasks", false, "lease_ms", NUMBER(1000, DAY_MS)},
    {"tasks", false, "renew_ms", NUMBER(100, DAY_MS)},
    {"tasks", false, "evictions_per_job", NUMBER(0, 1000)},
};

/* Defaults that the readers of these values use as well. */
enum {
    DEFAULT_LEASE_MS = 15000,
    DEFAULT_RENEW_MS = 5000,
};

/* INVALID with "<path>: <reason>". */
static PhResult
refusal_make(PhStr path, const char *reason)
{
    return PhResult_Make(PH_STATUS_INVALID, "%.*s: %s", PhStr_ARG(path),
                         reason);
}

/* Whether `s` is non-empty and consists of ASCII letters, digits, '-' and '_'.
 */
static bool
is_name(PhStr s)
{
    for (size_t i = 0; i < s.len; i++) {
        if (!g_ascii_isalnum(s.data[i]) && s.data[i] != '-' &&
            s.data[i] != '_') {
            return false;
        }
    }
    return s.len > 0;
}

/* Whether `s` is a URL path without query and fragment. */
static bool
is_path(PhStr s)
{
    for (size_t i = 0; i < s.len; i++) {
        if (!g_ascii_isgraph(s.data[i]) || s.data[i] == '?' ||
            s.data[i] == '#') {
            return false;
        }
    }
    return s.len > 0 && s.data[0] == '/';
}

static bool
is_path_list(PhStr s)
{
    PhStr head;
    bool more = s.len > 0;
    while (more) {
        more = PhStr_Cut(s, ' ', &head, &s);
        if (!is_path(head)) {
            return false;
        }
    }
    return true;
}

static bool
has_word(const char *words, PhStr value)
{
    PhStr rest = PhStr_FromC(words);
    PhStr head;
    bool more = true;
    while (more) {
        more = PhStr_Cut(rest, ' ', &head, &rest);
        if (PhStr_Equal(head, value)) {
            return true;
        }
    }
    return false;
}

static PhResult
value_check(const PhValueForm *form, PhStr path, PhStr value)
{
    uint64_t number;
    switch (form->kind) {
    case VALUE_NUMBER:
        if (!PhStr_ParseU64(value, &number) || number < form->as.number.low ||
            number > form->as.number.high) {
            return PhResult_Make(PH_STATUS_INVALID,
                                 "%.*s: a number from %" G_GUINT64_FORMAT
                                 " to %" G_GUINT64_FORMAT " is needed",
                                 PhStr_ARG(path), form->as.number.low,
                                 form->as.number.high);
        }
        return PhResult_Ok();
    case VALUE_WORD:
        return has_word(form->as.words, value)
                   ? PhResult_Ok()
                   : PhResult_Make(PH_STATUS_INVALID, "%.*s: one of: %s",
                                   PhStr_ARG(path), form->as.words);
    case VALUE_PATH:
        return is_path(value)
                   ? PhResult_Ok()
                   : refusal_make(path, "a path from '/' is needed");
    case VALUE_PATHS:
        return is_path_list(value)
                   ? PhResult_Ok()
                   : refusal_make(path,
                                  "paths separated by spaces are needed");
    case VALUE_NAME:
        return is_name(value) ? PhResult_Ok()
                              : refusal_make(path, "a name is needed");
    }
    return refusal_make(path, "unknown form");
}

static const PhSchemaRow *
row_find(PhStr path)
{
    PhStr group;
    PhStr rest;
    PhStr_Cut(path, '.', &group, &rest);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        PhStr key = rest;
        PhStr name;
        if (!PhStr_Equal(group, PhStr_FromC(rows[i].group))) {
            continue;
        }
        if (rows[i].named &&
            (!PhStr_Cut(rest, '.', &name, &key) || !is_name(name))) {
            continue;
        }
        if (PhStr_Equal(key, PhStr_FromC(rows[i].key))) {
            return &rows[i];
        }
    }
    return NULL;
}

/* Whether a path is safe to quote in an error message. */
static bool
is_printable(PhStr s)
{
    for (size_t i = 0; i < s.len; i++) {
        if (!g_ascii_isgraph(s.data[i])) {
            return false;
        }
    }
    return s.len > 0 && s.len <= PH_CONFIG_PATH_BYTES;
}

static PhResult
change_check(const PhConfigChange *change)
{
    if (!is_printable(change->path)) {
        return refusal_make(PhStr_LITERAL("changes"),
                            "a path has 1 to 200 printable characters");
    }
    if (change->value.len > PH_CONFIG_VALUE_BYTES) {
        return refusal_make(change->path, "value too long");
    }
    const PhSchemaRow *row = row_find(change->path);
    if (row == NULL) {
        return refusal_make(change->path, "no such path");
    }
    switch (change->kind) {
    case PH_CONFIG_CHANGE_SET:
        return value_check(&row->form, change->path, change->value);
    case PH_CONFIG_CHANGE_DELETE:
        return PhResult_Ok();
    }
    return refusal_make(change->path, "unknown change");
}

PhResult
PhConfigSchema_CheckPatch(const PhConfigPatch *patch)
{
    if (!is_name(patch->id) || patch->id.len > PH_CONFIG_ID_BYTES) {
        return refusal_make(PhStr_LITERAL("id"), "a name of up to 64 bytes");
    }
    if (patch->author.len > PH_CONFIG_AUTHOR_BYTES) {
        return refusal_make(PhStr_LITERAL("author"), "too long");
    }
    if (patch->change_count == 0 ||
        patch->change_count > PH_CONFIG_PATCH_CHANGES) {
        return refusal_make(PhStr_LITERAL("changes"), "1 to 256 are needed");
    }
    for (size_t i = 0; i < patch->change_count; i++) {
        PhResult result = change_check(&patch->changes[i]);
        if (!PhResult_IsOk(&result)) {
            return result;
        }
    }
    return PhResult_Ok();
}

static PhResult
service_refusal_make(PhStr name, const char *key, const char *reason)
{
    return PhResult_Make(PH_STATUS_INVALID, "services.%.*s.%s: %s",
                         PhStr_ARG(name), key, reason);
}

/* `prefixes` holds the prefixes of the services checked before. */
static PhResult
service_check(const PhConfigState *state, PhStr name, GHashTable *prefixes)
{
    const PhStr parent = PhStr_LITERAL("services");
    const PhStr none = {0};
    PhStr prefix =
        PhConfig_ChildStr(state, parent, name, PhStr_LITERAL("prefix"), none);
    PhStr team =
        PhConfig_ChildStr(state, parent, name, PhStr_LITERAL("team"), none);
    if (prefix.len == 0) {
        return service_refusal_make(name, "prefix", "missing");
    }
    if (PhConfig_ChildStr(state, parent, name, PhStr_LITERAL("class"), none)
            .len == 0) {
        return service_refusal_make(name, "class", "missing");
    }
    if (!g_hash_table_add(prefixes, PhStr_KeyCreate(prefix))) {
        return service_refusal_make(name, "prefix", "another service has it");
    }
    if (team.len > 0 && PhConfig_ChildStr(state, PhStr_LITERAL("teams"), team,
                                          PhStr_LITERAL("share"), none)
                                .len == 0) {
        return service_refusal_make(name, "team", "no such team");
    }
    return PhResult_Ok();
}

/* Every team needs a share. */
static PhResult
teams_check(const PhConfigState *state)
{
    PhConfigNames names = PhConfigNames_Start(state, PhStr_LITERAL("teams."));
    PhStr name;
    while (PhConfigNames_Next(&names, &name)) {
        if (PhConfig_ChildStr(state, PhStr_LITERAL("teams"), name,
                              PhStr_LITERAL("share"), (PhStr){0})
                .len == 0) {
            return PhResult_Make(PH_STATUS_INVALID,
                                 "teams.%.*s.share: missing", PhStr_ARG(name));
        }
    }
    return PhResult_Ok();
}

PhResult
PhConfigSchema_CheckState(const PhConfigState *state)
{
    PhResult result = teams_check(state);
    GHashTable *prefixes = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                                 PhStr_KeyDestroy, NULL);
    PhConfigNames names =
        PhConfigNames_Start(state, PhStr_LITERAL("services."));
    PhStr name;
    while (PhResult_IsOk(&result) && PhConfigNames_Next(&names, &name)) {
        result = service_check(state, name, prefixes);
    }
    g_hash_table_destroy(prefixes);
    uint64_t lease = PhConfig_GetU64(state, PhStr_LITERAL("tasks.lease_ms"),
                                     DEFAULT_LEASE_MS);
    uint64_t renew = PhConfig_GetU64(state, PhStr_LITERAL("tasks.renew_ms"),
                                     DEFAULT_RENEW_MS);
    if (PhResult_IsOk(&result) && renew * 2 > lease) {
        return refusal_make(PhStr_LITERAL("tasks.renew_ms"),
                            "at most half of tasks.lease_ms");
    }
    return result;
}
