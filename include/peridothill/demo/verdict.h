/* What the demonstration has seen of each promise. */
#ifndef PERIDOTHILL_DEMO_VERDICT_H
#define PERIDOTHILL_DEMO_VERDICT_H

#include <stdio.h>

#include "peridothill/common/invariant.h"
#include "peridothill/common/str.h"

/* The promises are the first invariants of the list. */
enum {
    PH_PROMISES = PH_INVARIANT_CONFIG_IN_FORCE + 1
};

typedef struct PhVerdicts PhVerdicts;

/* Broken checks are told on `out` as they are seen. */
PhVerdicts *PhVerdicts_Create(FILE *out);
void PhVerdicts_Destroy(PhVerdicts *verdicts);
/* Counts one check of a promise from outside; `about` tells what was seen. */
void PhVerdicts_Check(PhVerdicts *verdicts, PhInvariant promise, bool held,
                      PhStr detail);
/* Prints one line for each promise; true when all of them held. */
bool PhVerdicts_Print(const PhVerdicts *verdicts, FILE *out);

#endif
