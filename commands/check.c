#include <stdio.h>

#include "peridothill/codec/settings.h"
#include "peridothill/commands.h"

/* Prints the file of defaults. */
static int
check_print_defaults(void)
{
    PhBuf out = {0};
    PhSettings_RenderDefaults(&out);
    fwrite(out.data, 1, out.len, stdout);
    PhBuf_Clear(&out);
    return PH_EXIT_DONE;
}

/* Checks one file and prints all its errors. */
static int
check_file(const char *path)
{
    PhSettings settings = {0};
    PhBuf errors = {0};
    PhResult result = PhSettings_Load(PhStr_FromC(path), &settings, &errors);
    fwrite(errors.data, 1, errors.len, stderr);
    PhBuf_Clear(&errors);
    PhSettings_Clear(&settings);
    if (!PhResult_IsOk(&result)) {
        return PH_EXIT_FAILED;
    }
    printf("%s: settings are valid\n", path);
    return PH_EXIT_DONE;
}

/* Checks a settings file, or prints one that holds the defaults. */
int
PhCommand_Check(int argc, char **argv)
{
    gboolean defaults = FALSE;
    GOptionEntry entries[] = {
        {"defaults", 0, 0, G_OPTION_ARG_NONE, &defaults,
         "Print a complete commented file", NULL},
        {NULL},
    };
    GOptionContext *context = g_option_context_new("[FILE]");
    g_option_context_set_summary(context, "Checks a settings file.");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    int code = PH_EXIT_USAGE;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "peridothill check: %s\n", error->message);
        g_error_free(error);
    }
    else if (defaults && argc == 1) {
        code = check_print_defaults();
    }
    else if (!defaults && argc == 2) {
        code = check_file(argv[1]);
    }
    else {
        fprintf(stderr, "peridothill check: FILE or --defaults is needed; see "
                        "--help\n");
    }
    g_option_context_free(context);
    return code;
}
