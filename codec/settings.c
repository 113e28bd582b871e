#include "peridothill/codec/settings.h"

#include <ini.h>
#include <string.h>

#include "peridothill/codec/settings_key.h"
#include "peridothill/common/invariant.h"

enum {
    LINE_BYTES_MAX = 4096,
    FILE_BYTES_MAX = 1024 * 1024,
};

#define BYTE_ORDER_MARK PhStr_LITERAL("\xEF\xBB\xBF")

/* State of one parse.  `key_lines` holds the line of each key of the table, 0
 * if not seen yet. */
typedef struct PhSettingsParser {
    PhStr file;
    PhStr rest; /* unread text */
    size_t line;
    bool section_known;
    bool pair_pending; /* the library has not reported the pair of this line
                          yet */
    GHashTable *section_lines; /* line of each section by name */
    size_t *key_lines;
    PhSettings *settings;
    PhBuf *errors;
    size_t error_count;
} PhSettingsParser;

typedef enum PhLineKind {
    PH_LINE_BLANK, /* or a comment */
    PH_LINE_SECTION,
    PH_LINE_PAIR,
    PH_LINE_MALFORMED,
} PhLineKind;

static void G_GNUC_PRINTF(3, 4)
    parser_error(PhSettingsParser *p, size_t line, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *message = g_strdup_vprintf(format, args);
    va_end(args);
    PhBuf_Append(p->errors, p->file);
    PhBuf_AppendFormat(p->errors, ":%zu: %s\n", line, message);
    p->error_count++;
    g_free(message);
}

/* Kind of a trimmed line; `section` receives the name of a section. */
static PhLineKind
line_kind(PhStr line, PhStr *section)
{
    if (line.len == 0 || line.data[0] == '#' || line.data[0] == ';') {
        return PH_LINE_BLANK;
    }
    if (line.data[0] == '[') {
        const char *end = memchr(line.data, ']', line.len);
        if (end == NULL) {
            return PH_LINE_MALFORMED;
        }
        size_t len = (size_t)(end - line.data) + 1;
        PhStr after = PhStr_Trim(PhStr_Slice(line, len, line.len));
        *section = PhStr_Slice(line, 1, len - 2);
        return after.len == 0 || after.data[0] == ';' ? PH_LINE_SECTION
                                                      : PH_LINE_MALFORMED;
    }
    return memchr(line.data, '=', line.len) != NULL ? PH_LINE_PAIR
                                                    : PH_LINE_MALFORMED;
}

/* Reports an unknown or repeated section. */
static void
parser_enter_section(PhSettingsParser *p, PhStr name)
{
    size_t count = 0;
    const PhSettingKey *keys = PhSettingKey_List(&count);
    p->section_known = false;
    for (size_t i = 0; i < count; i++) {
        p->section_known |= PhStr_Equal(name, PhStr_FromC(keys[i].section));
    }
    if (!p->section_known) {
        parser_error(p, p->line, "unknown section [%.*s]", PhStr_ARG(name));
        return;
    }
    char *text = PhStr_ToC(name);
    size_t first_line =
        GPOINTER_TO_SIZE(g_hash_table_lookup(p->section_lines, text));
    if (first_line != 0) {
        parser_error(p, p->line, "section [%s] repeated, first on line %zu",
                     text, first_line);
        g_free(text);
        return;
    }
    g_hash_table_insert(p->section_lines, text, GSIZE_TO_POINTER(p->line));
}

/* Reports errors that the library would not; false if the library must not see
 * the line. */
static bool
parser_check_line(PhSettingsParser *p, PhStr line, size_t max_bytes)
{
    PhStr section = {0};
    if (line.len > max_bytes) {
        parser_error(p, p->line, "line longer than %zu bytes", max_bytes);
        return false;
    }
    if (line.len > 0 && memchr(line.data, '\0', line.len) != NULL) {
        parser_error(p, p->line, "NUL byte in line");
        return false;
    }
    switch (line_kind(line, &section)) {
    case PH_LINE_BLANK:
        return false;
    case PH_LINE_SECTION:
        parser_enter_section(p, section);
        return true;
    case PH_LINE_PAIR:
        p->pair_pending = true;
        return true;
    case PH_LINE_MALFORMED:
        parser_error(p, p->line, "neither [section] nor key = value");
        return false;
    }
    return false;
}

/* Reports a pair that the library skipped silently. */
static void
parser_check_pending(PhSettingsParser *p)
{
    if (p->pair_pending) {
        parser_error(p, p->line, "neither [section] nor key = value");
    }
    p->pair_pending = false;
}

/* Reader for the library with the interface of fgets; a rejected line is
 * passed as an empty one. */
static char *
parser_read_line(char *buffer, int size, void *user)
{
    PhSettingsParser *p = user;
    PhStr line = p->rest;
    PhStr rest = {0};
    parser_check_pending(p);
    if (p->rest.len == 0) {
        return NULL;
    }
    PhStr_Cut(p->rest, '\n', &line, &rest);
    p->rest = rest;
    p->line++;
    if (p->line == 1 && PhStr_StartsWith(line, BYTE_ORDER_MARK)) {
        line = PhStr_Slice(line, BYTE_ORDER_MARK.len, line.len);
    }
    line = PhStr_Trim(line);
    bool accepted = parser_check_line(p, line, (size_t)size - 1);
    size_t len = accepted ? line.len : 0;
    if (len > 0) {
        memcpy(buffer, line.data, len);
    }
    buffer[len] = '\0';
    return buffer;
}

/* Index of a key; the number of keys if unknown. */
static size_t
key_find(const char *section, const char *name)
{
    size_t count = 0;
    const PhSettingKey *keys = PhSettingKey_List(&count);
    size_t i = 0;
    while (i < count && (strcmp(keys[i].section, section) != 0 ||
                         strcmp(keys[i].name, name) != 0)) {
        i++;
    }
    return i;
}

static void
parser_read_value(PhSettingsParser *p, const char *section, const char *name,
                  const char *value)
{
    size_t count = 0;
    const PhSettingKey *keys = PhSettingKey_List(&count);
    size_t i = key_find(section, name);
    if (i == count) {
        parser_error(p, p->line, "unknown key '%s' in [%s]", name, section);
        return;
    }
    if (p->key_lines[i] != 0) {
        parser_error(p, p->line, "key '%s' repeated, first on line %zu", name,
                     p->key_lines[i]);
        return;
    }
    p->key_lines[i] = p->line;
    PhResult result =
        PhSettingKey_Read(&keys[i], PhStr_FromC(value), p->settings);
    if (!PhResult_IsOk(&result)) {
        parser_error(p, p->line, "%s: %.*s", name,
                     PhStr_ARG(PhResult_Message(&result)));
    }
}

/* Handler that the library calls for each pair. */
static int
parser_handle_pair(void *user, const char *section, const char *name,
                   const char *value)
{
    PhSettingsParser *p = user;
    p->pair_pending = false;
    if (section[0] == '\0') {
        parser_error(p, p->line, "key '%s' before any section", name);
    }
    else if (p->section_known) {
        parser_read_value(p, section, name, value);
    }
    return 1;
}

/* Reports missing required keys at the line of their section, or at the end of
 * the file if that is missing. */
static void
parser_check_required(PhSettingsParser *p)
{
    size_t count = 0;
    const PhSettingKey *keys = PhSettingKey_List(&count);
    for (size_t i = 0; i < count; i++) {
        if (!keys[i].required || p->key_lines[i] != 0) {
            continue;
        }
        size_t line = GPOINTER_TO_SIZE(
            g_hash_table_lookup(p->section_lines, keys[i].section));
        parser_error(p, line != 0 ? line : MAX(p->line, 1),
                     "key '%s' of [%s] is required", keys[i].name,
                     keys[i].section);
    }
}

/* Reports listeners with the same address; port 0 never conflicts. */
static void
parser_check_listeners(PhSettingsParser *p)
{
    size_t count = 0;
    const PhSettingKey *keys = PhSettingKey_List(&count);
    GHashTable *seen = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    for (size_t i = 0; i < count; i++) {
        PhStr *address = (PhStr *)((char *)p->settings + keys[i].offset);
        if (keys[i].kind != PH_SETTING_LISTEN ||
            (address->len > 2 &&
             memcmp(address->data + address->len - 2, ":0", 2) == 0)) {
            continue;
        }
        if (!g_hash_table_add(seen, address)) {
            parser_error(p, MAX(p->key_lines[i], 1),
                         "%s: another listener has %.*s too", keys[i].name,
                         PhStr_ARG(*address));
        }
    }
    g_hash_table_destroy(seen);
}

static void
settings_reset(PhSettings *settings)
{
    size_t count = 0;
    const PhSettingKey *keys = PhSettingKey_List(&count);
    *settings = (PhSettings){0};
    for (size_t i = 0; i < count; i++) {
        PhResult result = PhSettingKey_Read(
            &keys[i], PhStr_FromC(keys[i].initial), settings);
        Ph_INVARIANT(PH_INVARIANT_PRECONDITION, PhResult_IsOk(&result),
                     "default of %s", keys[i].name);
    }
}

PhResult
PhSettings_Parse(PhStr file, PhStr text, PhSettings *settings, PhBuf *errors)
{
    size_t count = 0;
    PhSettingKey_List(&count);
    settings_reset(settings);
    PhSettingsParser p = {.file = file,
                          .rest = text,
                          .section_lines = g_hash_table_new_full(
                              g_str_hash, g_str_equal, g_free, NULL),
                          .key_lines = g_new0(size_t, count),
                          .settings = settings,
                          .errors = errors};
    /* The options of inih are global variables. */
    ini_use_stack = false;
    ini_allow_multiline = false;
    ini_max_line = LINE_BYTES_MAX + 1;
    ini_initial_alloc = LINE_BYTES_MAX + 1;
    int line = ini_parse_stream(parser_read_line, &p, parser_handle_pair, &p);
    if (line != 0 && p.error_count == 0) {
        parser_error(&p, (size_t)MAX(line, 1), "not valid INI");
    }
    parser_check_required(&p);
    parser_check_listeners(&p);
    g_hash_table_destroy(p.section_lines);
    g_free(p.key_lines);
    if (p.error_count > 0) {
        return PhResult_Make(PH_STATUS_INVALID, "%zu errors in the settings",
                             p.error_count);
    }
    return PhResult_Ok();
}

PhResult
PhSettings_Load(PhStr path, PhSettings *settings, PhBuf *errors)
{
    char *name = PhStr_ToC(path);
    char *data = NULL;
    gsize len = 0;
    GError *error = NULL;
    PhResult result = PhResult_Ok();
    *settings = (PhSettings){0};
    if (!g_file_get_contents(name, &data, &len, &error)) {
        result = PhResult_Make(PH_STATUS_IO, "%s", error->message);
        g_error_free(error);
    }
    else if (len > FILE_BYTES_MAX) {
        result = PhResult_Make(PH_STATUS_TOO_LARGE,
                               "file is larger than %d bytes", FILE_BYTES_MAX);
    }
    if (!PhResult_IsOk(&result)) {
        PhBuf_AppendFormat(errors, "%s:1: %.*s\n", name,
                           PhStr_ARG(PhResult_Message(&result)));
    }
    else {
        result = PhSettings_Parse(path, PhStr_FromBytes(data, len), settings,
                                  errors);
    }
    g_free(data);
    g_free(name);
    return result;
}

void
PhSettings_Clear(PhSettings *settings)
{
    size_t count = 0;
    const PhSettingKey *keys = PhSettingKey_List(&count);
    for (size_t i = 0; i < count; i++) {
        PhSettingKey_Clear(&keys[i], settings);
    }
}
