#include <stdio.h>

#include "peridothill/commands.h"

/* Prints the version of the program. */
int
PhCommand_Version(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    printf("peridothill %s\n", PH_VERSION);
    return PH_EXIT_DONE;
}
