#include <stdio.h>

#include "commands/options.h"
#include "peridothill/commands.h"
#include "peridothill/demo/demo.h"

/* Runs on loopback addresses, all in this process. */
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
            "workers in this process, injects one fault at a time and checks\n"
            "each guarantee. Exits 0 only if all of them hold.",
        .entries = entries,
        .usage_error = "takes no arguments"};
    if (!PhOptions_Parse(&options, &argc, argv)) {
        return PH_EXIT_USAGE;
    }
    if (seed < 0) {
        fprintf(stderr, "peridothill demo: --seed must not be negative\n");
        return PH_EXIT_USAGE;
    }
    return PhDemo_Run((uint64_t)seed, stdout) ? PH_EXIT_DONE : PH_EXIT_FAILED;
}
