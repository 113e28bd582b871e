/* Adapter of the users' platform: tasks that translate between its HTTP
 * interfaces and the services "schedule", "store" and "orders". */
#ifndef PERIDOTHILL_PLATFORM_ADAPTER_H
#define PERIDOTHILL_PLATFORM_ADAPTER_H

#include "peridothill/decide/schedule/config_document.h"
#include "peridothill/kernel/kernel.h"
#include "peridothill/services/instance.h"
#include "peridothill/services/listener.h"
#include "peridothill/services/orders.h"
#include "peridothill/services/schedule.h"

/* Starts "store", the client of the platform's metadata store. */
PhStatus PhStoreTask_Start(PhKernel *kernel, PhStr address);
/* Starts "orders", which sends orders to workers. */
PhStatus PhOrdersTask_Start(PhKernel *kernel);
/* Starts "fleet", which reads the configuration and the worker entries from
 * the store for "schedule". */
PhStatus PhFleetTask_Start(PhKernel *kernel);

typedef struct PhFrontOptions {
    PhStr listen; /* address for clients' calls */
    PhStr ready;  /* address for the readiness check and metrics */
    size_t body_limit_bytes;
    unsigned connection_limit;
    PhReceiveLimits receive;
    uint64_t json_values; /* most of them in a submission, 0: no limit */
    PhTime drain_notice;  /* time for the load balancer to notice a stop */
    PhTime drain_limit;   /* then the longest wait for connections to close */
} PhFrontOptions;

/* Starts "front", the HTTP front end for clients.  IO: an address cannot be
 * opened. */
PhResult PhFront_Start(PhKernel *kernel, const PhFrontOptions *options);

/* Starts all services of an instance that schedules jobs on the platform. */
PhResult PhAdapter_StartInstance(PhKernel *kernel,
                                 const PhInstanceOptions *options,
                                 PhInstancePorts *ports);

/* Decodes the body of a submission; id and terms stay empty.  TOO_LARGE if it
 * has more than `max_values` JSON values. */
PhResult PhWire_DecodeJob(PhStr text, uint64_t max_values, PhSchedSpec *spec);
/* The configuration is owned by the caller, NULL on errors. */
PhResult PhWire_DecodeConfig(PhStr text, PhSchedConfig **config);
/* Decodes a configuration with the limits that it states to clients, to check
 * it: what does not decode is among its faults.  The caller owns it. */
PhSchedDocument *PhWire_DecodeDocument(PhStr text);
/* The path of an entry in a configuration, owned by the caller, and the name
 * of a field. */
PhStr PhWire_EntryPath(const PhSchedEntry *entry);
const char *PhWire_FieldName(PhSchedField field);
/* The target of a read of one page of the operators' records in the store,
 * owned by the caller; `after` is empty for the first page. */
PhStr PhWire_OperatorsTarget(PhStr after);
/* Decodes such a page.  `config` receives the newest configuration if the page
 * has it, `next` what to pass as `after` for the next page, empty after the
 * last one; the caller owns both.  INVALID: no page, or one without a last key
 * that others follow. */
PhResult PhWire_DecodeOperatorsPage(PhStr text, PhStr *config, PhStr *next);
/* Decodes the entry of the worker `id`; the caller clears it. */
PhResult PhWire_DecodeWorker(PhStr id, PhStr text, PhSchedWorkerEntry *entry);
/* Encodes the body of an order; `path` is a literal. */
PhStr PhWire_EncodeOrder(const PhOrder *order, PhStr *path);
/* Decodes a worker's answer into `reply`, whose tag is set by the caller. */
void PhWire_DecodeOrderReply(int status, PhStr text, PhOrderReply *reply);
/* The name of a state in answers to clients. */
PhStr PhWire_JobState(PhSchedJobState state);

#endif
