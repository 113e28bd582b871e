/* Scripts of events and expected actions for the request decisions. */
#ifndef PERIDOTHILL_TESTS_REQUESTS_SCRIPT_H
#define PERIDOTHILL_TESTS_REQUESTS_SCRIPT_H

/* A script is a list of steps separated by ";". These steps are events:
 * arrive, flood, reply, reply-earlier, wait, disconnect, leave, workers,
 * members, claimed, released, verdict, stop. All others name the next expected
 * action. */
typedef struct PhScriptCase {
    const char *name;
    const char *script;
} PhScriptCase;

/* Runs one script against request decisions with two workers. */
void PhScript_Check(const PhScriptCase *script);

#endif
