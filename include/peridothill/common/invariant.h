/* Invariants, checked in every build.  Checks are counted per invariant; a
 * violation is reported with its values on stderr and aborts the process. */
#ifndef PERIDOTHILL_COMMON_INVARIANT_H
#define PERIDOTHILL_COMMON_INVARIANT_H

#include <glib.h>
#include <stdint.h>

typedef enum PhInvariant {
#define PH_INVARIANT(NAME, LABEL) PH_INVARIANT_##NAME,
#include "peridothill/common/invariant_list.h"
#undef PH_INVARIANT
    PH_INVARIANT_COUNT,
} PhInvariant;

/* Called instead of aborting; must not return to the failed check. */
typedef void (*PhInvariantHandler)(PhInvariant invariant, const char *values);

#define Ph_INVARIANT(ID, CONDITION, ...)                                      \
    do {                                                                      \
        PhInvariant_Count(ID);                                                \
        if (G_UNLIKELY(!(CONDITION))) {                                       \
            PhInvariant_Fail(ID, #CONDITION, __FILE__, __LINE__,              \
                             __VA_ARGS__);                                    \
        }                                                                     \
    } while (0)

void PhInvariant_Count(PhInvariant invariant);
void PhInvariant_Fail(PhInvariant invariant, const char *condition,
                      const char *file, int line, const char *format, ...)
    G_GNUC_PRINTF(5, 6);
/* Returns the number of checks in this process so far. */
uint64_t PhInvariant_Checks(PhInvariant invariant);
const char *PhInvariant_Label(PhInvariant invariant);
/* For tests; NULL restores the default. */
void PhInvariant_SetHandler(PhInvariantHandler handler);

#endif
