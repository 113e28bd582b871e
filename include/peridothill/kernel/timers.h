/* Timers of tasks, ordered by the time they come due. */
#ifndef PERIDOTHILL_KERNEL_TIMERS_H
#define PERIDOTHILL_KERNEL_TIMERS_H

#include "peridothill/kernel/kernel.h"

typedef struct PhTimers PhTimers;

/* A timer that came due. */
typedef struct PhDueTimer {
    PhTaskRef owner;
    uint64_t token;
} PhDueTimer;

PhTimers *PhTimers_Create(void);
void PhTimers_Destroy(PhTimers *timers);
/* Sets or moves the timer of an owner and token. */
void PhTimers_Set(PhTimers *timers, PhTaskRef owner, uint64_t token,
                  PhTime at);
void PhTimers_Cancel(PhTimers *timers, PhTaskRef owner, uint64_t token);
/* The earliest due time, or PH_TIME_NEVER. */
PhTime PhTimers_Next(const PhTimers *timers);
/* Removes one timer that is due at `now`; false when there is none. */
bool PhTimers_Pop(PhTimers *timers, PhTime now, PhDueTimer *due);

#endif
