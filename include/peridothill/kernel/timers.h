/* Timer queue of a kernel, ordered by expiry time. */
#ifndef PERIDOTHILL_KERNEL_TIMERS_H
#define PERIDOTHILL_KERNEL_TIMERS_H

#include "peridothill/kernel/kernel.h"

typedef struct PhTimers PhTimers;

typedef struct PhDueTimer {
    PhTaskRef owner;
    uint64_t token;
} PhDueTimer;

PhTimers *PhTimers_Create(void);
void PhTimers_Destroy(PhTimers *timers);
/* Sets the timer that owner and token identify, replacing one already set. */
void PhTimers_Set(PhTimers *timers, PhTaskRef owner, uint64_t token,
                  PhTime at);
/* Does nothing if the timer is not set. */
void PhTimers_Cancel(PhTimers *timers, PhTaskRef owner, uint64_t token);
/* Returns the earliest expiry time, PH_TIME_NEVER if no timer is set. */
PhTime PhTimers_Next(const PhTimers *timers);
/* Removes the earliest timer if it has expired at `now`; returns false
 * otherwise. */
bool PhTimers_Pop(PhTimers *timers, PhTime now, PhDueTimer *due);

#endif
