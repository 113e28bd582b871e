/* Guards against events and counters that the documentation lacks, or
 * describes differently from the code. */
#include <glib.h>
#include <string.h>

#include "peridothill/common/counter.h"
#include "peridothill/common/event.h"
#include "tests/table.h"

static void
add_event_rows(GHashTable *rows)
{
    int count = 0;
    const PhEventInfo *list = PhEvent_List(&count);
    for (int i = 0; i < count; i++) {
        g_hash_table_add(rows, g_strdup_printf("| %d | %s | %s | %s |",
                                               (int)list[i].id, list[i].name,
                                               PhLevel_Name(list[i].level),
                                               list[i].text));
    }
}

/* Derives the rows of counters and histograms from the output of /metrics. */
static void
add_counter_rows(GHashTable *rows)
{
    PhCounters *counters = PhCounters_Create();
    PhBuf out = {0};
    PhCounters_Render(counters, &out);
    char *text = PhStr_ToC(PhBuf_Str(&out));
    char **lines = g_strsplit(text, "\n", -1);
    const char *help = "";
    bool histogram = false;
    for (char **line = lines; *line != NULL && **line != '\0'; line++) {
        const char *space = strrchr(*line, ' ');
        if (g_str_has_prefix(*line, "# HELP ")) {
            help = strchr(*line + strlen("# HELP "), ' ') + 1;
        }
        else if (g_str_has_prefix(*line, "# TYPE ")) {
            histogram = g_str_has_suffix(*line, " histogram");
            const char *name = *line + strlen("# TYPE ");
            if (histogram) {
                g_hash_table_add(rows, g_strdup_printf("| `%.*s` | %s |",
                                                       (int)(space - name),
                                                       name, help));
            }
        }
        else if (!histogram) {
            g_hash_table_add(rows, g_strdup_printf("| `%.*s` | %s |",
                                                   (int)(space - *line), *line,
                                                   help));
        }
    }
    g_strfreev(lines);
    g_free(text);
    PhBuf_Clear(&out);
    PhCounters_Destroy(counters);
}

/* A Markdown table whose rows start with "| " and one of the characters in
 * `first`; only the first `columns` columns are compared. */
typedef struct PhCatalogueCase {
    const char *name;
    const char *first;
    int columns;
    void (*add_rows)(GHashTable *rows);
} PhCatalogueCase;

static const PhCatalogueCase catalogue_cases[] = {
    {"EVENTS.md", "123456789", 4, add_event_rows},
    {"COUNTERS.md", "`", 2, add_counter_rows},
};

static bool
line_is_row(const PhCatalogueCase *c, const char *line)
{
    return g_str_has_prefix(line, "| ") && line[2] != '\0' &&
           strchr(c->first, line[2]) != NULL;
}

static char *
row_truncate(const char *line, int columns)
{
    const char *end = line;
    for (int i = 0; i < columns && end != NULL; i++) {
        end = strchr(end + 1, '|');
    }
    return end != NULL ? g_strndup(line, (gsize)(end - line) + 1)
                       : g_strdup(line);
}

/* Compares in both directions; each row must occur exactly once. */
static void
catalogue_run(const PhCatalogueCase *c)
{
    char *path = g_build_filename(g_getenv("PH_DOCS"), c->name, NULL);
    char *text = NULL;
    assert_true(g_file_get_contents(path, &text, NULL, NULL));
    GHashTable *rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char **lines = g_strsplit(text, "\n", -1);
    int mismatches = 0;
    c->add_rows(rows);
    assert_true(g_hash_table_size(rows) > 0);
    for (char **line = lines; *line != NULL; line++) {
        if (!line_is_row(c, *line)) {
            continue;
        }
        char *row = row_truncate(*line, c->columns);
        if (!g_hash_table_remove(rows, row)) {
            print_error("%s: not in the code, or repeated: %s\n", c->name,
                        row);
            mismatches++;
        }
        g_free(row);
    }
    GHashTableIter i;
    gpointer row = NULL;
    g_hash_table_iter_init(&i, rows);
    while (g_hash_table_iter_next(&i, &row, NULL)) {
        print_error("%s: missing: %s\n", c->name, (const char *)row);
        mismatches++;
    }
    assert_int_equal(mismatches, 0);
    g_strfreev(lines);
    g_hash_table_destroy(rows);
    g_free(text);
    g_free(path);
}

/* Guards against a catalogue row without code, and code without a row. */
static void
test_catalogue_rows(void **state)
{
    (void)state;
    Ph_RUN_TABLE(catalogue_cases, catalogue_run);
}

/* Guards against two events with one number. */
static void
test_event_numbers_unique(void **state)
{
    (void)state;
    int count = 0;
    const PhEventInfo *list = PhEvent_List(&count);
    for (int i = 0; i < count; i++) {
        assert_ptr_equal(PhEvent_Find(list[i].id), &list[i]);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_catalogue_rows),
        cmocka_unit_test(test_event_numbers_unique),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
