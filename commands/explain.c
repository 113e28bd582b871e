#include <stdio.h>
#include <string.h>

#include "commands/options.h"
#include "peridothill/commands.h"

/* A line that names the job, with what orders it. */
typedef struct PhExplainLine {
    int64_t at_ms; /* wall time; 0 when the line has none */
    guint64 sequence;
    char *text;
} PhExplainLine;

/* Releases a line. */
static void
line_clear(gpointer value)
{
    PhExplainLine *line = value;
    g_free(line->text);
}

/* Orders lines by wall time, then as they were read. */
static gint
line_compare(gconstpointer a, gconstpointer b)
{
    const PhExplainLine *x = a;
    const PhExplainLine *y = b;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->sequence < y->sequence ? -1 : 1;
}

/* Reads the wall time of a line in either form. */
static int64_t
line_time(const char *text)
{
    static const char *const keys[] = {" at_ms=", "\"at_ms\":"};
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        const char *at = strstr(text, keys[i]);
        if (at != NULL) {
            return g_ascii_strtoll(at + strlen(keys[i]), NULL, 10);
        }
    }
    return 0;
}

/* Collects the lines of a stream that name the job. */
static void
stream_collect(FILE *stream, const char *id, GArray *lines)
{
    char *buffer = NULL;
    size_t capacity = 0;
    while (getline(&buffer, &capacity, stream) >= 0) {
        if (strstr(buffer, id) == NULL) {
            continue;
        }
        PhExplainLine line = {.at_ms = line_time(buffer),
                              .sequence = lines->len,
                              .text = g_strchomp(g_strdup(buffer))};
        g_array_append_val(lines, line);
    }
    free(buffer);
}

/* Collects the lines of every file, or of standard input. */
static PhResult
files_collect(char **files, const char *id, GArray *lines)
{
    if (files[0] == NULL) {
        stream_collect(stdin, id, lines);
    }
    for (size_t i = 0; files[i] != NULL; i++) {
        FILE *stream = fopen(files[i], "r");
        if (stream == NULL) {
            return PhResult_Make(PH_STATUS_IO, "cannot read %s", files[i]);
        }
        stream_collect(stream, id, lines);
        fclose(stream);
    }
    return PhResult_Ok();
}

/* Prints the lines with the time since the first one. */
static void
lines_print(GArray *lines)
{
    g_array_sort(lines, line_compare);
    for (guint i = 0; i < lines->len; i++) {
        const PhExplainLine *line = &g_array_index(lines, PhExplainLine, i);
        int64_t first = g_array_index(lines, PhExplainLine, 0).at_ms;
        printf("%+8.3f s  %s\n", (double)(line->at_ms - first) / 1000,
               line->text);
    }
}

/* Prints the story of one job. */
static int
explain(const char *id, char **files)
{
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(PhExplainLine));
    g_array_set_clear_func(lines, line_clear);
    PhResult r = files_collect(files, id, lines);
    int code = PH_EXIT_DONE;
    if (!PhResult_IsOk(&r)) {
        fprintf(stderr, "peridothill explain: %.*s\n",
                PhStr_ARG(PhResult_Message(&r)));
        code = PH_EXIT_FAILED;
    }
    else if (lines->len == 0) {
        fprintf(stderr, "peridothill explain: no line names %s\n", id);
        code = PH_EXIT_FAILED;
    }
    else {
        lines_print(lines);
    }
    g_array_free(lines, TRUE);
    return code;
}

/* Prints what the logs of several instances say of one job, in order. */
int
PhCommand_Explain(int argc, char **argv)
{
    PhOptions options = {
        .command = "explain",
        .arguments = "ID [FILE...]",
        .summary =
            "Prints the lines that name the job or run ID, from log files "
            "of any number of instances or from standard input, in the "
            "order of their wall time.",
        .min_arguments = 1,
        .max_arguments = PH_ARGUMENTS_ANY,
        .usage_error = "ID is needed"};
    if (!PhOptions_Parse(&options, &argc, argv)) {
        return PH_EXIT_USAGE;
    }
    return explain(argv[1], argv + 2);
}
