#include <stdio.h>

#include "commands/options.h"
#include "peridothill/commands.h"

/* Prints the version of the program. */
int
PhCommand_Version(int argc, char **argv)
{
    PhOptions options = {.command = "version",
                         .usage_error = "no arguments are taken"};
    if (!PhOptions_Parse(&options, &argc, argv)) {
        return PH_EXIT_USAGE;
    }
    printf("peridothill %s\n", PH_VERSION);
    return PH_EXIT_DONE;
}
