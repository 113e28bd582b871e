/* Parsing of a command's options, with its messages. */
#ifndef PERIDOTHILL_COMMANDS_OPTIONS_H
#define PERIDOTHILL_COMMANDS_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

#include "commands/client.h"

enum {
    PH_ARGUMENTS_ANY = 1 << 20 /* no upper bound */
};

/* What a command takes.  Texts may be NULL. */
typedef struct PhOptions {
    const char *command;
    const char *arguments; /* their form in --help */
    const char *summary;   /* before the options in --help */
    const char *details;   /* after them */
    const GOptionEntry *entries;
    PhClient *client;  /* has options of its own and is opened; or NULL */
    int min_arguments; /* number of arguments */
    int max_arguments;
    const char *usage_error; /* message when their number is wrong */
} PhOptions;

/* Takes the options out of the command line; argv[0] stays.  False after a
 * message on standard error about what is wrong. */
bool PhOptions_Parse(const PhOptions *options, int *argc, char **argv);

#endif
