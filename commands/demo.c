#include <stdio.h>

#include "commands/options.h"
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
    PhOptions options = {
        .command = "demo",
        .summary =
            "Starts stand-ins of the platform, three entry instances and six\n"
            "workers in this process, breaks things one at a time, and prints "
            "a\n"
            "verdict for each promise. Exits 0 only if all of them held.",
        .entries = entries,
        .usage_error = "no arguments are taken"};
    if (!PhOptions_Parse(&options, &argc, argv)) {
        return PH_EXIT_USAGE;
    }
    if (seed < 0) {
        fprintf(stderr, "peridothill demo: a seed is not negative\n");
        return PH_EXIT_USAGE;
    }
    return PhDemo_Run((uint64_t)seed, stdout) ? PH_EXIT_DONE : PH_EXIT_FAILED;
}
