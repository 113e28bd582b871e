/* Planned end of an ownership: an owner that stops goes on until a successor
 * has read the records, records what the successor needs, and is released.
 * Instances that are not the owner are released at once, but those that could
 * take over stay available: the successor that a release names may be asked to
 * stop before it claims, and the others may have to read the records first. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_HANDOVER_H
#define PERIDOTHILL_DECIDE_SCHEDULE_HANDOVER_H

#include <stdbool.h>

#include "peridothill/common/time.h"

typedef enum PhHandoverTag {
    PH_HANDOVER_NONE,    /* the instance does not stop */
    PH_HANDOVER_PREPARE, /* a successor reads the records */
    PH_HANDOVER_RECORD,  /* the last records become durable */
    PH_HANDOVER_RELEASE,
} PhHandoverTag;

typedef struct PhHandover {
    PhHandoverTag tag;
    PhTime since; /* start of this stage */
} PhHandover;

typedef enum PhOwnership {
    PH_OWNERSHIP_NONE,
    PH_OWNERSHIP_CANDIDATE, /* not the owner, but the records are read */
    PH_OWNERSHIP_TAKEOVER,  /* the records are being read */
    PH_OWNERSHIP_ACTIVE,
} PhOwnership;

typedef struct PhHandoverInput {
    PhOwnership ownership;
    bool successor_ready;
    bool recorded; /* the last records are durable; of RECORD only */
} PhHandoverInput;

/* The instance has been asked to stop. */
void PhHandover_Begin(PhHandover *handover, PhTime now);
/* Moves on if it is time to; returns the stage. */
PhHandoverTag PhHandover_Update(PhHandover *handover,
                                const PhHandoverInput *input, PhTime now);
/* Time at which the stage ends if nothing else ends it. */
PhTime PhHandover_Due(const PhHandover *handover);

#endif
