/* Circuit breaker of one worker: ejected after consecutive failures, then half
 * open for one real request, then closed again. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_OUTLIER_H
#define PERIDOTHILL_DECIDE_REQUESTS_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/random.h"
#include "peridothill/common/time.h"

typedef enum PhOutlierState {
    PH_OUTLIER_CLOSED,    /* accepts requests */
    PH_OUTLIER_EJECTED,   /* accepts none before `until` */
    PH_OUTLIER_HALF_OPEN, /* accepts one request as a probe */
} PhOutlierState;

typedef struct PhOutlier {
    PhOutlierState state;
    uint32_t failures;  /* consecutive */
    uint32_t ejections; /* consecutive */
    PhTime until;
    bool probing; /* the probe is in flight */
} PhOutlier;

/* Whether there are enough consecutive failures to eject the worker. */
bool PhOutlier_IsDue(const PhOutlier *outlier);
/* Ejects the worker for a jittered cooldown that doubles with each consecutive
 * ejection, up to a maximum. */
void PhOutlier_Eject(PhOutlier *outlier, PhRandom *random, PhTime now);
/* Moves to half open if the cooldown has ended. Returns true if it did. */
bool PhOutlier_EndCooldown(PhOutlier *outlier, PhTime now);
/* Records a success. Returns true if it closed a half-open breaker. */
bool PhOutlier_RecordSuccess(PhOutlier *outlier);
void PhOutlier_RecordFailure(PhOutlier *outlier);

#endif
