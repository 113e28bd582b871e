#include <stdio.h>

#include "commands/options.h"
#include "peridothill/commands.h"

int
PhCommand_Version(int argc, char **argv)
{
    PhOptions options = {.command = "version",
                         .usage_error = "takes no arguments"};
    if (!PhOptions_Parse(&options, &argc, argv)) {
        return PH_EXIT_USAGE;
    }
    printf("peridothill %s\n", PH_VERSION);
    return PH_EXIT_DONE;
}
