/* Parsing of the options and arguments of a command. */
#ifndef PERIDOTHILL_COMMANDS_OPTIONS_H
#define PERIDOTHILL_COMMANDS_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

#include "commands/client.h"

enum {
    PH_ARGUMENTS_ANY = 1 << 20 /* no upper limit */
};

/* Command line of a command.  Texts may be NULL. */
typedef struct PhOptions {
    const char *command;
    const char *arguments; /* synopsis in --help */
    const char *summary;   /* --help text before the options */
    const char *details;   /* --help text after the options */
    const GOptionEntry *entries;
    PhClient *client;  /* adds its options and is opened; or NULL */
    bool opens_later;  /* the client is opened by PhOptions_OpenClient */
    int min_arguments; /* number of arguments, at least */
    int max_arguments;
    const char *usage_error; /* message if their number is wrong */
} PhOptions;

/* Removes the options from the command line; argv[0] stays.  Returns false
 * after printing an error to standard error. */
bool PhOptions_Parse(const PhOptions *options, int *argc, char **argv);
/* Returns false after printing an error to standard error. */
bool PhOptions_OpenClient(const PhOptions *options);

#endif
