/* Guards against a settings file that is misread without an error, and errors
 * that do not name their line. */
#include <string.h>

#include "peridothill/codec/settings_key.h"
#include "peridothill/common/random.h"
#include "tests/table.h"

/* The required keys, on lines 1 to 4. */
#define REQUIRED                                                              \
    "[instance]\nid = e-1\ndata_centre = silay\ndeployment = acceptance\n"

enum {
    LONG_LINE_BYTES = 64 * 1024,
    MUTATION_COUNT = 20000,
};

typedef struct PhErrorCase {
    const char *name;
    PhStr text;
    const char *errors;
} PhErrorCase;

static const PhErrorCase error_cases[] = {
    {"required keys alone", PhStr_LITERAL(REQUIRED), ""},
    {"empty file", PhStr_LITERAL(""),
     "f:1: key 'id' of [instance] is required\n"
     "f:1: key 'data_centre' of [instance] is required\n"
     "f:1: key 'deployment' of [instance] is required\n"},
    {"required at its section",
     PhStr_LITERAL("# a\n\n[instance]\nid = a\ndata_centre = b\n"),
     "f:3: key 'deployment' of [instance] is required\n"},
    {"byte order mark", PhStr_LITERAL("\xEF\xBB\xBF" REQUIRED), ""},
    {"carriage returns",
     PhStr_LITERAL("[instance]\r\nid = e\r\ndata_centre = b\r\n"
                   "deployment = c\r\n"),
     ""},
    {"no last newline", PhStr_LITERAL(REQUIRED "[log]\nlevel = debug"), ""},
    {"comments",
     PhStr_LITERAL(REQUIRED "[log] ; a\n# b\n; c\nlevel = debug ; d\n"), ""},
    {"indented", PhStr_LITERAL(REQUIRED "[log]\n  level = debug\n"), ""},
    {"all errors at once",
     PhStr_LITERAL(REQUIRED "[bogus]\nx = 1\n[limits]\nconnections = 0\n"
                            "drain_notice = 3\nconections = 5\n"),
     "f:5: unknown section [bogus]\n"
     "f:8: connections: '0' is out of range\n"
     "f:9: drain_notice: a number with the unit ms or s is needed\n"
     "f:10: unknown key 'conections' in [limits]\n"},
    {"limits that may be off, within their range or 0",
     PhStr_LITERAL(REQUIRED "[limits]\nheader_time = 0s\njson_values = 0\n"
                            "active_tasks = 0\n"),
     ""},
    {"limits that may be off, below their range",
     PhStr_LITERAL(REQUIRED "[limits]\nheader_time = 1s\njson_values = 1\n"
                            "active_tasks = 1023\n"),
     "f:6: header_time: '1s' is out of range\n"
     "f:7: json_values: '1' is out of range\n"
     "f:8: active_tasks: '1023' is out of range\n"},
    {"unknown section without keys", PhStr_LITERAL(REQUIRED "[bogus]\n"),
     "f:5: unknown section [bogus]\n"},
    {"repeated key", PhStr_LITERAL(REQUIRED "id = e-2\n"),
     "f:5: key 'id' repeated, first on line 2\n"},
    {"repeated section", PhStr_LITERAL(REQUIRED "[log]\n[instance]\n"),
     "f:6: section [instance] repeated, first on line 1\n"},
    {"before any section", PhStr_LITERAL("a = 1\n" REQUIRED),
     "f:1: key 'a' before any section\n"},
    {"malformed lines",
     PhStr_LITERAL(REQUIRED "[log\nlevel\n[log] x\nlevel ; = info\n"),
     "f:5: neither [section] nor key = value\n"
     "f:6: neither [section] nor key = value\n"
     "f:7: neither [section] nor key = value\n"
     "f:8: neither [section] nor key = value\n"},
    {"embedded NUL", PhStr_LITERAL(REQUIRED "[log]\nlevel = in\0fo\n"),
     "f:6: NUL byte in line\n"},
    {"unit of another kind",
     PhStr_LITERAL(REQUIRED "[limits]\nrequest_body = 5ms\n"),
     "f:6: request_body: a number with the unit KB or MB is needed\n"},
    {"unit on a count",
     PhStr_LITERAL(REQUIRED "[limits]\nconnections = 5KB\n"),
     "f:6: connections: a whole number without a unit is needed\n"},
    {"negative", PhStr_LITERAL(REQUIRED "[limits]\ndrain_notice = -3s\n"),
     "f:6: drain_notice: a number with the unit ms or s is needed\n"},
    {"product overflows",
     PhStr_LITERAL(REQUIRED "[limits]\ndrain_notice = 18446744074s\n"),
     "f:6: drain_notice: '18446744074s' is out of range\n"},
    {"number overflows",
     PhStr_LITERAL(REQUIRED "[limits]\nconnections = 99999999999999999999\n"),
     "f:6: connections: '99999999999999999999' is out of range\n"},
    {"host name", PhStr_LITERAL(REQUIRED "[callers]\nlisten = localhost:1\n"),
     "f:6: listen: 'localhost:1' does not begin with an IP number\n"},
    {"no port", PhStr_LITERAL(REQUIRED "[callers]\nlisten = 127.0.0.1\n"),
     "f:6: listen: an address is IP:PORT, as in 127.0.0.1:8080\n"},
    {"port too large",
     PhStr_LITERAL(REQUIRED "[callers]\nlisten = 127.0.0.1:65536\n"),
     "f:6: listen: '127.0.0.1:65536' does not end with a port of 0 to "
     "65535\n"},
    {"version 6", PhStr_LITERAL(REQUIRED "[callers]\nlisten = [::1]:80\n"),
     ""},
    {"version 6 without brackets",
     PhStr_LITERAL(REQUIRED "[callers]\nlisten = ::1:80\n"),
     "f:6: listen: '::1:80' does not begin with an IP number\n"},
    {"no free port for a seed",
     PhStr_LITERAL(REQUIRED "[peers]\nseeds = 10.0.0.1:1 10.0.0.2:0\n"),
     "f:6: seeds: '10.0.0.2:0' does not end with a port of 1 to 65535\n"},
    {"two listeners at one address",
     PhStr_LITERAL(REQUIRED "[peers]\nlisten = 127.0.0.1:8080\n"),
     "f:6: listen: another listener has 127.0.0.1:8080 too\n"},
    {"free ports twice",
     PhStr_LITERAL(REQUIRED "[peers]\nlisten = 127.0.0.1:0\n[callers]\n"
                            "listen = 127.0.0.1:0\n"),
     ""},
    {"key of another section", PhStr_LITERAL(REQUIRED "[callers]\nid = x\n"),
     "f:6: unknown key 'id' in [callers]\n"},
    {"upper case in a name",
     PhStr_LITERAL("[instance]\nid = E\ndata_centre = b\ndeployment =\n"),
     "f:2: id: a name has only lower-case letters, digits and hyphens\n"
     "f:4: deployment: a name has 1 to 63 characters\n"},
    {"bad level and format",
     PhStr_LITERAL(REQUIRED "[log]\nlevel = loud\nformat = xml\n"),
     "f:6: level: a level is debug, info, warning or error\n"
     "f:7: format: a form is logfmt or json\n"},
};

static void
error_run(const PhErrorCase *c)
{
    PhSettings settings = {0};
    PhBuf errors = {0};
    PhResult result =
        PhSettings_Parse(PhStr_LITERAL("f"), c->text, &settings, &errors);
    char *text = PhStr_ToC(PhBuf_Str(&errors));
    assert_string_equal(text, c->errors);
    assert_int_equal(result.status,
                     c->errors[0] != '\0' ? PH_STATUS_INVALID : PH_STATUS_OK);
    g_free(text);
    PhBuf_Clear(&errors);
    PhSettings_Clear(&settings);
}

/* Guards against errors that are missed, or reported at another line or
 * without their cause. */
static void
test_error_messages(void **state)
{
    (void)state;
    Ph_RUN_TABLE(error_cases, error_run);
}

/* A line at or just over a length limit. */
typedef struct PhLongCase {
    const char *name;
    size_t bytes;
    bool comment;
    PhStatus status;
} PhLongCase;

static const PhLongCase long_cases[] = {
    {"longest path", 1023 + sizeof("token_file = ") - 1, false, PH_STATUS_OK},
    {"path too long", 1024 + sizeof("token_file = ") - 1, false,
     PH_STATUS_INVALID},
    {"longest line", 4096, true, PH_STATUS_OK},
    {"line too long", 4097, true, PH_STATUS_INVALID},
    {"64 KB comment", LONG_LINE_BYTES, true, PH_STATUS_INVALID},
    {"64 KB value", LONG_LINE_BYTES, false, PH_STATUS_INVALID},
};

/* The line that follows the long one must still be read. */
static void
long_run(const PhLongCase *c)
{
    PhSettings settings = {0};
    PhBuf errors = {0};
    PhBuf text = {0};
    PhBuf_Append(&text, PhStr_LITERAL(REQUIRED "[operators]\n"));
    size_t start = text.len;
    PhBuf_Append(&text, c->comment ? PhStr_LITERAL("# ")
                                   : PhStr_LITERAL("token_file = "));
    while (text.len - start < c->bytes) {
        PhBuf_AppendByte(&text, 'x');
    }
    PhBuf_Append(&text, PhStr_LITERAL("\nlisten = 127.0.0.1:9\n"));
    PhResult result = PhSettings_Parse(PhStr_LITERAL("f"), PhBuf_Str(&text),
                                       &settings, &errors);
    assert_int_equal(result.status, c->status);
    assert_true(
        PhStr_Equal(settings.operators.listen, PhStr_LITERAL("127.0.0.1:9")));
    assert_int_equal(errors.len > 0, c->status != PH_STATUS_OK);
    PhBuf_Clear(&text);
    PhBuf_Clear(&errors);
    PhSettings_Clear(&settings);
}

/* Guards against long lines that are truncated without an error or
 * desynchronise the parser. */
static void
test_long_lines(void **state)
{
    (void)state;
    Ph_RUN_TABLE(long_cases, long_run);
}

/* Guards against units, lists and defaults that are misread. */
static void
test_value_kinds(void **state)
{
    (void)state;
    PhSettings s = {0};
    PhBuf errors = {0};
    PhStr text = PhStr_LITERAL(
        REQUIRED "[peers]\nseeds = 10.0.0.1:1   10.0.0.2:2\n[platform]\n"
                 "list_poll = 250ms\n[limits]\nrequest_body = 2MB\n"
                 "drain_limit = 40 s\n[log]\nlevel = error\nformat = json\n");
    PhResult result = PhSettings_Parse(PhStr_LITERAL("f"), text, &s, &errors);
    assert_true(PhResult_IsOk(&result));
    assert_true(PhStr_Equal(s.instance.data_centre, PhStr_LITERAL("silay")));
    assert_int_equal(s.peers.seeds.count, 2);
    assert_true(
        PhStr_Equal(s.peers.seeds.items[1], PhStr_LITERAL("10.0.0.2:2")));
    assert_int_equal(s.platform.list_poll, 250 * PH_NS_PER_MS);
    assert_int_equal(s.limits.request_body, 2 * 1024 * 1024);
    assert_int_equal(s.limits.drain_limit, 40 * PH_NS_PER_S);
    assert_int_equal(s.limits.drain_notice, 3 * PH_NS_PER_S);
    assert_int_equal(s.log.level, PH_LEVEL_ERROR);
    assert_int_equal(s.log.format, PH_LOG_FORMAT_JSON);
    PhSettings_Clear(&s);
}

/* Guards against a printed file of defaults that the parser rejects. */
static void
test_defaults_are_valid(void **state)
{
    (void)state;
    PhSettings settings = {0};
    PhBuf errors = {0};
    PhBuf text = {0};
    PhSettings_RenderDefaults(&text);
    PhResult result = PhSettings_Parse(PhStr_LITERAL("f"), PhBuf_Str(&text),
                                       &settings, &errors);
    assert_true(PhResult_IsOk(&result));
    assert_int_equal(settings.limits.connections, 1024);
    PhBuf_Clear(&text);
    PhSettings_Clear(&settings);
}

/* Guards against keys or defaults that the man page lacks. */
static void
test_man_page_is_complete(void **state)
{
    (void)state;
    size_t count = 0;
    const PhSettingKey *keys = PhSettingKey_List(&count);
    char *path = g_build_filename(g_getenv("PH_DOCS"), "..", "man",
                                  "peridothill-settings.5", NULL);
    char *text = NULL;
    assert_true(g_file_get_contents(path, &text, NULL, NULL));
    for (size_t i = 0; i < count; i++) {
        char *section = g_strdup_printf(".SH SECTION %s\n", keys[i].section);
        char *name = g_strdup_printf(".B %s\n", keys[i].name);
        char *initial = g_strdup_printf("Default %s.", keys[i].initial);
        print_message("# key %s.%s\n", keys[i].section, keys[i].name);
        const char *at = strstr(text, section);
        assert_non_null(at);
        at = strstr(at, name);
        assert_non_null(at);
        const char *next = strstr(at, ".TP");
        const char *found = strstr(at, initial);
        assert_true(keys[i].required || keys[i].initial[0] == '\0' ||
                    (found != NULL && (next == NULL || found < next)));
        g_free(section);
        g_free(name);
        g_free(initial);
    }
    g_free(text);
    g_free(path);
}

/* Guards against crashes, and failures without an error message, on damaged
 * files: parses seeded mutations of the file of defaults. */
static void
test_mutated_files(void **state)
{
    (void)state;
    static const char bytes[] = "[]=;#\n\r \0\xEF:.9sMx";
    PhRandom *random = PhRandom_Create(11);
    PhBuf text = {0};
    PhSettings_RenderDefaults(&text);
    size_t invalid = 0;
    for (int i = 0; i < MUTATION_COUNT; i++) {
        PhSettings settings = {0};
        PhBuf errors = {0};
        PhStr copy = PhStr_Dup(PhBuf_Str(&text));
        char *data = (char *)copy.data;
        for (uint64_t n = 1 + PhRandom_Below(random, 4); n > 0; n--) {
            data[PhRandom_Below(random, copy.len)] =
                bytes[PhRandom_Below(random, sizeof(bytes) - 1)];
        }
        PhStr cut = PhStr_Slice(copy, 0, PhRandom_Below(random, copy.len));
        PhResult result = PhSettings_Parse(
            PhStr_LITERAL("f"), i % 2 == 0 ? copy : cut, &settings, &errors);
        bool failed = !PhResult_IsOk(&result);
        assert_int_equal(failed, errors.len > 0);
        assert_true(!failed ||
                    PhStr_StartsWith(PhBuf_Str(&errors), PhStr_LITERAL("f:")));
        invalid += failed;
        PhSettings_Clear(&settings);
        PhBuf_Clear(&errors);
        PhStr_Clear(&copy);
    }
    assert_in_range(invalid, MUTATION_COUNT / 4, MUTATION_COUNT - 1);
    PhBuf_Clear(&text);
    PhRandom_Destroy(random);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_error_messages),
        cmocka_unit_test(test_long_lines),
        cmocka_unit_test(test_value_kinds),
        cmocka_unit_test(test_defaults_are_valid),
        cmocka_unit_test(test_mutated_files),
        cmocka_unit_test(test_man_page_is_complete),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
