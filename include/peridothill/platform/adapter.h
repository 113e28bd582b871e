/* The adapter of the users' platform: tasks that translate between its wire
 * interfaces and the services "schedule", "store" and "orders". */
#ifndef PERIDOTHILL_PLATFORM_ADAPTER_H
#define PERIDOTHILL_PLATFORM_ADAPTER_H

#include "peridothill/kernel/kernel.h"
#include "peridothill/services/instance.h"
#include "peridothill/services/orders.h"
#include "peridothill/services/schedule.h"

/* Starts "store", which speaks with the platform's metadata store. */
PhStatus PhStoreTask_Start(PhKernel *kernel, PhStr address);
/* Starts "orders", which speaks with workers. */
PhStatus PhOrdersTask_Start(PhKernel *kernel);
/* Starts "fleet", which reads the configuration and the workers' entries from
 * the store and gives them to "schedule". */
PhStatus PhFleetTask_Start(PhKernel *kernel);

typedef struct PhFrontOptions {
    PhStr listen; /* for clients */
    PhStr ready;  /* for the platform's readiness check, and metrics */
    size_t body_limit_bytes;
    unsigned connection_limit;
    PhTime drain_notice; /* the balancer has noticed a stop after this */
    PhTime drain_limit;  /* longest wait for connections after that */
} PhFrontOptions;

/* Starts "front", which answers clients. */
PhResult PhFront_Start(PhKernel *kernel, const PhFrontOptions *options);

/* Starts an instance that schedules jobs on the platform: every service, from
 * the settings. */
PhResult PhAdapter_StartInstance(PhKernel *kernel,
                                 const PhInstanceOptions *options,
                                 PhInstancePorts *ports);

/* Decodes a submission's body; id and terms stay empty. */
PhResult PhWire_DecodeJob(PhStr text, PhSchedSpec *spec);
/* Decodes the operator's configuration. */
PhResult PhWire_DecodeConfig(PhStr text, PhSchedConfig **config);
/* Decodes a worker's entry under its id. */
PhResult PhWire_DecodeWorker(PhStr id, PhStr text, PhSchedWorkerEntry *entry);
/* Encodes the body of an order and names its path. */
PhStr PhWire_EncodeOrder(const PhOrder *order, PhStr *path);
/* Decodes the answer to an order into `reply`, whose tag is set. */
void PhWire_DecodeOrderReply(int status, PhStr text, PhOrderReply *reply);
/* Name of a job's state towards clients. */
PhStr PhWire_JobState(PhSchedJobState state);

#endif
