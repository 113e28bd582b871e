/* An entry instance: runs all its services on one kernel. */
#ifndef PERIDOTHILL_SERVICES_INSTANCE_H
#define PERIDOTHILL_SERVICES_INSTANCE_H

#include "peridothill/codec/settings.h"
#include "peridothill/kernel/kernel.h"
#include "peridothill/services/listener.h"
#include "peridothill/services/supervisor.h"

/* All members are borrowed; the settings must outlive the kernel.  `keys`
 * authenticate connections between instances. */
typedef struct PhInstanceOptions {
    const PhSettings *settings;
    const PhStr *keys;
    size_t key_count;
    uint64_t seed;
    uint64_t incarnation; /* increases with each start of the instance */
    PhSupervisorOptions supervisor;
    PhReceiveBudget *receive_budget; /* NULL: none; outlives the kernel */
} PhInstanceOptions;

/* The ports that the listeners are bound to. */
typedef struct PhInstancePorts {
    uint16_t callers;
    uint16_t operators;
    uint16_t peers;
} PhInstancePorts;

/* The limits of every listener of the instance. */
PhReceiveLimits PhInstance_ReceiveLimits(const PhInstanceOptions *options);
/* Starts every service; the message of a failure names the service. */
PhResult PhInstance_Start(PhKernel *kernel, const PhInstanceOptions *options,
                          PhInstancePorts *ports);
/* Begins the graceful stop; PhSupervisorOptions.on_stopped reports its end. */
void PhInstance_Stop(PhKernel *kernel);

#endif
