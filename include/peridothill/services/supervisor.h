/* The task "supervisor": stops the services of an instance in order of
 * dependency, so that each can still use those that stop later. */
#ifndef PERIDOTHILL_SERVICES_SUPERVISOR_H
#define PERIDOTHILL_SERVICES_SUPERVISOR_H

#include "peridothill/kernel/kernel.h"

#define PH_SERVICE_SUPERVISOR PhStr_LITERAL("supervisor")

typedef struct PhSupervisorOptions {
    PhTime drain_limit; /* for all services together */
    void *context;
    /* Called when every service has ended or `drain_limit` has passed. */
    void (*on_stopped)(void *context);
} PhSupervisorOptions;

/* The task begins the stop of the services on PH_MAIL_STOP. */
PhStatus PhSupervisor_Start(PhKernel *kernel,
                            const PhSupervisorOptions *options);

#endif
