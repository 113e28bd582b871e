/* Subcommands of the program. */
#ifndef PERIDOTHILL_COMMANDS_H
#define PERIDOTHILL_COMMANDS_H

#include "peridothill/common/status.h"

/* Exit codes of every subcommand. */
enum {
    PH_EXIT_DONE = 0,
    PH_EXIT_FAILED = 1,
    PH_EXIT_USAGE = 2,
};

/* `run` gets the arguments from the name of the subcommand on and returns the
 * exit code. */
typedef struct PhCommand {
    const char *name;
    const char *summary;
    int (*run)(int argc, char **argv);
} PhCommand;

int PhCommand_Bench(int argc, char **argv);
int PhCommand_Check(int argc, char **argv);
int PhCommand_Config(int argc, char **argv);
int PhCommand_Patch(int argc, char **argv);
int PhCommand_Demo(int argc, char **argv);
int PhCommand_Explain(int argc, char **argv);
int PhCommand_Serve(int argc, char **argv);
int PhCommand_Standin(int argc, char **argv);
int PhCommand_Status(int argc, char **argv);
int PhCommand_Tasks(int argc, char **argv);
int PhCommand_Version(int argc, char **argv);

#endif
