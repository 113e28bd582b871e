#include "peridothill/decide/schedule/handover.h"

/* Hellos come every 0.5 s, and reading the records takes under 0.4 s.  The
 * process goes on for 2.5 s after it was asked to stop. */
static const PhTime PREPARE_LIMIT = 1500 * PH_NS_PER_MS;
static const PhTime RECORD_LIMIT = 300 * PH_NS_PER_MS;

void
PhHandover_Begin(PhHandover *h, PhTime now)
{
    if (h->tag == PH_HANDOVER_NONE) {
        *h = (PhHandover){.tag = PH_HANDOVER_PREPARE, .since = now};
    }
}

/* Returns the stage that follows the current one now. */
static PhHandoverTag
next_stage(const PhHandover *h, const PhHandoverInput *in, PhTime now)
{
    bool over = now >= PhHandover_Due(h);
    switch (h->tag) {
    case PH_HANDOVER_NONE:
    case PH_HANDOVER_RELEASE:
        return h->tag;
    case PH_HANDOVER_PREPARE:
        switch (in->ownership) {
        case PH_OWNERSHIP_NONE:
            return PH_HANDOVER_RELEASE;
        case PH_OWNERSHIP_CANDIDATE:
        case PH_OWNERSHIP_TAKEOVER:
            return over ? PH_HANDOVER_RELEASE : h->tag;
        case PH_OWNERSHIP_ACTIVE:
            break;
        }
        return over || in->successor_ready ? PH_HANDOVER_RECORD : h->tag;
    case PH_HANDOVER_RECORD:
        break;
    }
    return over || in->recorded || in->ownership != PH_OWNERSHIP_ACTIVE
               ? PH_HANDOVER_RELEASE
               : h->tag;
}

PhHandoverTag
PhHandover_Update(PhHandover *h, const PhHandoverInput *in, PhTime now)
{
    PhHandoverTag next = next_stage(h, in, now);
    if (next != h->tag) {
        *h = (PhHandover){.tag = next, .since = now};
    }
    return next;
}

PhTime
PhHandover_Due(const PhHandover *h)
{
    switch (h->tag) {
    case PH_HANDOVER_NONE:
    case PH_HANDOVER_RELEASE:
        break;
    case PH_HANDOVER_PREPARE:
        return h->since + PREPARE_LIMIT;
    case PH_HANDOVER_RECORD:
        return h->since + RECORD_LIMIT;
    }
    return PH_TIME_NEVER;
}
