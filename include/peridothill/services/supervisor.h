/* The task "supervisor": stops the services of an instance one after another,
 * so that each can still use those that stop later. */
#ifndef PERIDOTHILL_SERVICES_SUPERVISOR_H
#define PERIDOTHILL_SERVICES_SUPERVISOR_H

#include "peridothill/kernel/kernel.h"

#define PH_SERVICE_SUPERVISOR PhStr_LITERAL("supervisor")

typedef struct PhSupervisorOptions {
    PhTime drain_limit; /* longest time for all services together */
    void *context;
    /* Every service has ended, or the limit has passed. */
    void (*on_stopped)(void *context);
} PhSupervisorOptions;

/* Starts the task; it begins the stop when it is told to stop itself. */
PhStatus PhSupervisor_Start(PhKernel *kernel,
                            const PhSupervisorOptions *options);

#endif
