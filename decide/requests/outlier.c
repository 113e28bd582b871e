#include "peridothill/decide/requests/outlier.h"

#include <glib.h>

enum {
    FAILURES_TO_EJECT = 3,
    COOLDOWN_MS = 500,
    MAX_COOLDOWN_MS = 2000,
};

bool
PhOutlier_IsDue(const PhOutlier *outlier)
{
    switch (outlier->state) {
    case PH_OUTLIER_CLOSED:
        return outlier->failures >= FAILURES_TO_EJECT;
    case PH_OUTLIER_HALF_OPEN:
        return outlier->failures > 0;
    case PH_OUTLIER_EJECTED:
        return false;
    }
    return false;
}

/* The jitter keeps instances from probing the worker at the same time. */
void
PhOutlier_Eject(PhOutlier *outlier, PhRandom *random, PhTime now)
{
    PhTime cooldown = COOLDOWN_MS * PH_NS_PER_MS;
    cooldown <<= MIN(outlier->ejections, 8U);
    cooldown = MIN(cooldown, MAX_COOLDOWN_MS * PH_NS_PER_MS);
    cooldown += (PhTime)PhRandom_Below(random, (uint64_t)cooldown / 4);
    outlier->state = PH_OUTLIER_EJECTED;
    outlier->until = now + cooldown;
    outlier->ejections++;
    outlier->failures = 0;
    outlier->probing = false;
}

bool
PhOutlier_EndCooldown(PhOutlier *outlier, PhTime now)
{
    if (outlier->state != PH_OUTLIER_EJECTED || now < outlier->until) {
        return false;
    }
    outlier->state = PH_OUTLIER_HALF_OPEN;
    outlier->failures = 0;
    return true;
}

bool
PhOutlier_RecordSuccess(PhOutlier *outlier)
{
    outlier->failures = 0;
    if (outlier->state != PH_OUTLIER_HALF_OPEN) {
        return false;
    }
    outlier->state = PH_OUTLIER_CLOSED;
    outlier->ejections = 0;
    outlier->probing = false;
    return true;
}

void
PhOutlier_RecordFailure(PhOutlier *outlier)
{
    if (outlier->state != PH_OUTLIER_EJECTED) {
        outlier->failures++;
    }
}
