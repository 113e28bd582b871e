/* Scripts of events and expected actions for the decisions on requests. */
#ifndef PERIDOTHILL_TESTS_REQUESTS_SCRIPT_H
#define PERIDOTHILL_TESTS_REQUESTS_SCRIPT_H

/* A script: steps separated by ";".  Steps that give events: arrive, flood,
 * reply, late, wait, gone, leave, workers, members, asked, released,
 * verdict, stop.  All others name the next action. */
typedef struct PhScriptCase {
    const char *name;
    const char *script;
} PhScriptCase;

/* Runs one script against decisions with two workers. */
void PhScript_Check(const PhScriptCase *script);

#endif
