/* The one source of time.  A real clock reads the monotonic clock of the
 * system; a paused one stands still until it is advanced. */
#ifndef PERIDOTHILL_KERNEL_CLOCK_H
#define PERIDOTHILL_KERNEL_CLOCK_H

#include "peridothill/common/time.h"

typedef enum PhClockKind {
    PH_CLOCK_REAL,
    PH_CLOCK_PAUSED,
} PhClockKind;

typedef struct PhClock PhClock;

PhClock *PhClock_Create(PhClockKind kind);
void PhClock_Destroy(PhClock *clock);
PhClockKind PhClock_Kind(const PhClock *clock);
/* Time since an origin of the clock's own; it never goes back, and it goes on
 * while the machine is suspended. */
PhTime PhClock_Now(const PhClock *clock);
/* Wall time since the Unix epoch; only for what leaves the machine. */
PhTime PhClock_Wall(const PhClock *clock);
/* Moves a paused clock forward. */
void PhClock_Advance(PhClock *clock, PhTime by);

#endif
