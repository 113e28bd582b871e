#include <stdio.h>

#include "peridothill/commands.h"

/* Prints the version of the program. */
int
PhCommand_Version(int argc, char **argv)
{
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;
    int code = PH_EXIT_USAGE;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "peridothill version: %s\n", error->message);
        g_error_free(error);
    }
    else if (argc != 1) {
        fprintf(stderr, "peridothill version: no arguments are taken\n");
    }
    else {
        printf("peridothill %s\n", PH_VERSION);
        code = PH_EXIT_DONE;
    }
    g_option_context_free(context);
    return code;
}
