#include <stdio.h>

#include "commands/options.h"
#include "peridothill/codec/settings.h"
#include "peridothill/commands.h"

static int
defaults_print(void)
{
    PhBuf out = {0};
    PhSettings_RenderDefaults(&out);
    fwrite(out.data, 1, out.len, stdout);
    PhBuf_Clear(&out);
    return PH_EXIT_DONE;
}

static int
file_check(const char *path)
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

/* Needs either a file or --defaults, not both. */
int
PhCommand_Check(int argc, char **argv)
{
    gboolean defaults = FALSE;
    GOptionEntry entries[] = {
        {"defaults", 0, 0, G_OPTION_ARG_NONE, &defaults,
         "Print a complete settings file with comments", NULL},
        {NULL},
    };
    PhOptions options = {.command = "check",
                         .arguments = "[FILE]",
                         .summary = "Checks a settings file.",
                         .entries = entries,
                         .max_arguments = 1,
                         .usage_error = "FILE or --defaults is required"};
    if (!PhOptions_Parse(&options, &argc, argv)) {
        return PH_EXIT_USAGE;
    }
    if (defaults != (argc == 1)) {
        fprintf(stderr, "peridothill check: %s; see --help\n",
                options.usage_error);
        return PH_EXIT_USAGE;
    }
    return defaults ? defaults_print() : file_check(argv[1]);
}
