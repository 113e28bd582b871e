#include <stdio.h>

#include "peridothill/commands.h"
#include "peridothill/demo/demo.h"

/* Shows both deployments under faults, on loopback, in this process. */
int
PhCommand_Demo(int argc, char **argv)
{
    gint64 seed = 1;
    GOptionEntry entries[] = {
        {"seed", 's', 0, G_OPTION_ARG_INT64, &seed,
         "Seed of the random numbers (default 1)", "N"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_set_summary(
        context,
        "Starts stand-ins of the platform, three entry instances and six\n"
        "workers in this process, breaks things one at a time, and prints a\n"
        "verdict for each promise. Exits 0 only if all of them held.");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    int code = PH_EXIT_USAGE;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "peridothill demo: %s\n", error->message);
        g_error_free(error);
    }
    else if (argc != 1 || seed < 0) {
        fprintf(stderr, "peridothill demo: no arguments are taken; see "
                        "--help\n");
    }
    else {
        code =
            PhDemo_Run((uint64_t)seed, stdout) ? PH_EXIT_DONE : PH_EXIT_FAILED;
    }
    g_option_context_free(context);
    return code;
}
