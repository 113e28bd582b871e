/* Runs simulations of owners to their rest for a range of seeds. */
#ifndef PERIDOTHILL_TESTS_REST_CASE_H
#define PERIDOTHILL_TESTS_REST_CASE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct PhRestCase {
    const char *name;
    uint64_t first; /* seeds */
    uint64_t last;
    unsigned faults;  /* drawn, of these kinds */
    unsigned kinds;   /* bit mask of PhOwnersFaultKind */
    unsigned traits;  /* bit mask of PhOwnersJobTrait, of drawn jobs; 0:
                         there are equal jobs of one step */
    bool moves;       /* tasks move off draining workers */
    bool relays;      /* dispatchers send one start in two */
    unsigned closing; /* the kind by which all instances end at the end, as
                         a bit mask; 0: they do not */
    unsigned starts_per_s; /* that a link carries; 0: any number */
} PhRestCase;

/* Returns whether the rule at rest holds and no task runs twice.  Prints what
 * it finds. */
bool PhRestCase_Holds(const PhRestCase *c);

#endif
