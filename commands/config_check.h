/* `peridothill config check`: checks a configuration of the platform's
 * operators before it is sent. */
#ifndef PERIDOTHILL_COMMANDS_CONFIG_CHECK_H
#define PERIDOTHILL_COMMANDS_CONFIG_CHECK_H

#include <stdio.h>

#include "peridothill/decide/schedule/config_check.h"

/* At most one of `against` and `from` is set. */
typedef struct PhConfigCheckOptions {
    const char *path;    /* the file to check */
    const char *against; /* file with the version in force, or NULL */
    const char *from;    /* address of the store that has it, or NULL */
    bool as_json;
} PhConfigCheckOptions;

/* Returns the exit code. */
int PhConfigCheck_Run(const PhConfigCheckOptions *options);

/* Print the findings on a document; `in_force` may be NULL. */
void PhFindings_Print(const GArray *findings, FILE *out);
void PhFindings_PrintJson(const GArray *findings,
                          const PhSchedDocument *document,
                          const PhSchedDocument *in_force, FILE *out);
/* Number of findings of a severity. */
unsigned PhFindings_Count(const GArray *findings, PhSchedSeverity severity);

#endif
