#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "peridothill/commands.h"

/* Sorted by name for the binary search. */
static const PhCommand commands[] = {
    {"bench", "run benchmarks", PhCommand_Bench},
    {"check", "check a settings file", PhCommand_Check},
    {"config", "read the configuration", PhCommand_Config},
    {"demo", "run both deployments under injected faults", PhCommand_Demo},
    {"explain", "show the log lines of one job", PhCommand_Explain},
    {"patch", "change the configuration", PhCommand_Patch},
    {"serve", "run an entry instance", PhCommand_Serve},
    {"standin", "run stand-ins of the platform", PhCommand_Standin},
    {"status", "show an instance and its peers", PhCommand_Status},
    {"tasks", "submit, list and cancel jobs", PhCommand_Tasks},
    {"version", "print the version", PhCommand_Version},
};

static void
usage_print(FILE *out)
{
    fprintf(out, "Usage: peridothill COMMAND [OPTION...]\n\nCommands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        fprintf(out, "  %-10s %s\n", commands[i].name, commands[i].summary);
    }
    fprintf(
        out,
        "\nRun 'peridothill COMMAND --help' for the options of a command.\n");
}

/* Compares a name with a command for bsearch. */
static int
command_compare(const void *name, const void *command)
{
    return strcmp(name, ((const PhCommand *)command)->name);
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        usage_print(stderr);
        return PH_EXIT_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
        usage_print(stdout);
        return PH_EXIT_DONE;
    }
    const PhCommand *command =
        bsearch(argv[1], commands, G_N_ELEMENTS(commands), sizeof(commands[0]),
                command_compare);
    if (command == NULL) {
        fprintf(stderr, "peridothill: unknown command '%s'\n", argv[1]);
        usage_print(stderr);
        return PH_EXIT_USAGE;
    }
    char *name = g_strdup_printf("peridothill %s", command->name);
    g_set_prgname(name);
    g_free(name);
    return command->run(argc - 1, argv + 1);
}
