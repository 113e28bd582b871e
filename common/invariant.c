#include "peridothill/common/invariant.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "peridothill/common/event.h"

enum {
    VALUES_MAX_BYTES = 512
};

static const char *const labels[] = {
#define PH_INVARIANT(NAME, LABEL) LABEL,
#include "peridothill/common/invariant_list.h"
#undef PH_INVARIANT
};

static uint64_t checks[PH_INVARIANT_COUNT];
static PhInvariantHandler installed_handler;

void
PhInvariant_Count(PhInvariant invariant)
{
    checks[invariant]++;
}

uint64_t
PhInvariant_Checks(PhInvariant invariant)
{
    return checks[invariant];
}

const char *
PhInvariant_Label(PhInvariant invariant)
{
    return labels[invariant];
}

void
PhInvariant_SetHandler(PhInvariantHandler handler)
{
    installed_handler = handler;
}

void
PhInvariant_Fail(PhInvariant invariant, const char *condition,
                 const char *file, int line, const char *format, ...)
{
    char values[VALUES_MAX_BYTES];
    va_list args;
    va_start(args, format);
    vsnprintf(values, sizeof(values), format, args);
    va_end(args);
    if (installed_handler != NULL) {
        installed_handler(invariant, values);
        return;
    }
    fprintf(stderr,
            "event=%d level=error invariant=%s condition=\"%s\" at=%s:%d "
            "values=\"%s\"\n",
            (int)PH_EVENT_INVARIANT_BROKEN, labels[invariant], condition, file,
            line, values);
    abort();
}
