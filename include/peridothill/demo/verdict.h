/* Results of the checks of each guarantee of the product.  The output calls a
 * guarantee a promise. */
#ifndef PERIDOTHILL_DEMO_VERDICT_H
#define PERIDOTHILL_DEMO_VERDICT_H

#include <stdio.h>

#include "peridothill/common/invariant.h"
#include "peridothill/common/str.h"

/* The guarantees are the first invariants of the list. */
enum {
    PH_GUARANTEE_COUNT = PH_INVARIANT_CONFIG_IN_FORCE + 1
};

typedef struct PhVerdicts PhVerdicts;

/* Failed checks are printed to `out` at once. */
PhVerdicts *PhVerdicts_Create(FILE *out);
void PhVerdicts_Destroy(PhVerdicts *verdicts);
/* Counts one check of a guarantee by an outside observer; `detail` says what
 * it concerns. */
void PhVerdicts_Check(PhVerdicts *verdicts, PhInvariant guarantee, bool held,
                      PhStr detail);
/* Prints one line per guarantee; returns true if each was checked and held. */
bool PhVerdicts_Print(const PhVerdicts *verdicts, FILE *out);

#endif
