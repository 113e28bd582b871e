/* An entry instance: all its services on one kernel, from its settings. */
#ifndef PERIDOTHILL_SERVICES_INSTANCE_H
#define PERIDOTHILL_SERVICES_INSTANCE_H

#include "peridothill/codec/settings.h"
#include "peridothill/kernel/kernel.h"
#include "peridothill/services/supervisor.h"

/* The settings stay the caller's and must outlive the kernel.  `keys` prove
 * connections between instances. */
typedef struct PhInstanceOptions {
    const PhSettings *settings;
    const PhStr *keys;
    size_t key_count;
    uint64_t seed;
    uint64_t incarnation; /* grows with each start of the same instance */
    PhSupervisorOptions supervisor;
} PhInstanceOptions;

/* The ports that the listeners took. */
typedef struct PhInstancePorts {
    uint16_t callers;
    uint16_t operators;
    uint16_t peers;
} PhInstancePorts;

/* Starts every service; the message names the one that failed. */
PhResult PhInstance_Start(PhKernel *kernel, const PhInstanceOptions *options,
                          PhInstancePorts *ports);
/* Begins the graceful stop. */
void PhInstance_Stop(PhKernel *kernel);

#endif
