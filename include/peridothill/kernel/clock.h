/* Time source of a kernel.  A real clock reads the clocks of the system; a
 * paused one, for tests and simulations, moves only when advanced. */
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
/* Monotonic time since an arbitrary origin; it also counts the time while the
 * machine is suspended. */
PhTime PhClock_Now(const PhClock *clock);
/* Time since the Unix epoch.  It may jump, so use it only for values that are
 * compared across machines. */
PhTime PhClock_Wall(const PhClock *clock);
/* Advances a paused clock; `by` must not be negative. */
void PhClock_Advance(PhClock *clock, PhTime by);

#endif
