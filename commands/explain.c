#include <stdio.h>
#include <string.h>

#include "commands/options.h"
#include "peridothill/commands.h"

/* A log line that contains the id, with its sort keys. */
typedef struct PhExplainLine {
    int64_t at_ms; /* wall clock; 0 if the line has none */
    guint64 sequence;
    char *text;
} PhExplainLine;

static void
line_clear(gpointer value)
{
    PhExplainLine *line = value;
    g_free(line->text);
}

/* By wall clock time, then in the order of reading. */
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

/* Wall clock time of a logfmt or JSON line; 0 if it has none. */
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

/* Reads standard input if no files are given. */
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

/* Each line is preceded by the time since the first one. */
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

static int
job_explain(const char *id, char **files)
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
        fprintf(stderr, "peridothill explain: no line contains %s\n", id);
        code = PH_EXIT_FAILED;
    }
    else {
        lines_print(lines);
    }
    g_array_free(lines, TRUE);
    return code;
}

int
PhCommand_Explain(int argc, char **argv)
{
    PhOptions options = {
        .command = "explain",
        .arguments = "ID [FILE...]",
        .summary =
            "Prints the lines that contain the job or run ID, from log files "
            "of any number of instances or from standard input, in the "
            "order of their wall clock time.",
        .min_arguments = 1,
        .max_arguments = PH_ARGUMENTS_ANY,
        .usage_error = "ID is required"};
    if (!PhOptions_Parse(&options, &argc, argv)) {
        return PH_EXIT_USAGE;
    }
    return job_explain(argv[1], argv + 2);
}
