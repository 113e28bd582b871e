/* Invariants, checked in every build.  Each check is counted by its
 * invariant; a broken one is logged with its values and stops the process. */
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

/* Called in place of stopping the process; tests install one that does not
 * return to the caller. */
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
uint64_t PhInvariant_Checks(PhInvariant invariant);
const char *PhInvariant_Label(PhInvariant invariant);
void PhInvariant_SetHandler(PhInvariantHandler handler);

#endif
