/* Cooldown of a worker that fails: ejected, then half open for one real
 * request, then back. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_OUTLIER_H
#define PERIDOTHILL_DECIDE_REQUESTS_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/random.h"
#include "peridothill/common/time.h"

typedef enum PhOutlierState {
    PH_OUTLIER_CLOSED,    /* takes requests */
    PH_OUTLIER_EJECTED,   /* takes none until `until` */
    PH_OUTLIER_HALF_OPEN, /* takes one request that decides */
} PhOutlierState;

typedef struct PhOutlier {
    PhOutlierState state;
    uint32_t failures;  /* in a row */
    uint32_t ejections; /* in a row */
    PhTime until;
    bool probing; /* the deciding request is in flight */
} PhOutlier;

/* Tells whether the failures in a row call for an ejection. */
bool PhOutlier_IsDue(const PhOutlier *outlier);
/* Ejects until a jittered time that grows with each ejection in a row. */
void PhOutlier_Eject(PhOutlier *outlier, PhRandom *random, PhTime now);
/* Opens half when the cooldown has passed; tells whether it did. */
bool PhOutlier_Wake(PhOutlier *outlier, PhTime now);
/* Takes a success into account; tells whether it ended a half-open state. */
bool PhOutlier_Succeeded(PhOutlier *outlier);
void PhOutlier_Failed(PhOutlier *outlier);

#endif
