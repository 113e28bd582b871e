/* Chooses workers for requests: pools by service, latency learned for each
 * pair of service and worker, connections shared between instances. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_ROUTER_H
#define PERIDOTHILL_DECIDE_REQUESTS_ROUTER_H

#include "peridothill/common/random.h"
#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef enum PhRoutingKind {
    PH_ROUTING_PEAK_EWMA, /* power of two choices by latency and load */
    PH_ROUTING_LEAST_OUTSTANDING,
    PH_ROUTING_ROUND_ROBIN,
    PH_ROUTING_RANDOM,
} PhRoutingKind;

/* What the list tells about a worker; strings borrowed. */
typedef struct PhWorkerRow {
    PhStr id;
    PhStr address;
    PhStr data_centre;
    PhStr services; /* names separated by spaces */
    uint32_t slots;
    uint32_t connections;
    bool leaving;
} PhWorkerRow;

typedef struct PhRouterOptions {
    PhStr instance;
    PhStr data_centre;
    PhRoutingKind routing;
    bool cooldown;
    bool adaptive_limit;
    bool connection_limit; /* false sends whatever is in flight there */
    PhRandom *random;      /* borrowed */
} PhRouterOptions;

/* How an attempt at a worker ended. */
typedef enum PhAttemptResult {
    PH_ATTEMPT_SUCCEEDED,
    PH_ATTEMPT_FAILED,
    PH_ATTEMPT_CANCELLED, /* says nothing about the worker */
} PhAttemptResult;

/* What the result of an attempt changed. */
typedef enum PhRouterChange {
    PH_ROUTER_UNCHANGED,
    PH_ROUTER_EJECTED,
    PH_ROUTER_READMITTED,
} PhRouterChange;

enum {
    PH_WORKER_NONE = UINT32_MAX
};

typedef struct PhRouter PhRouter;

PhRouter *PhRouter_Create(const PhRouterOptions *options);
void PhRouter_Destroy(PhRouter *router);
/* Finds or creates the pool of a service; its number stays valid. */
uint32_t PhRouter_Pool(PhRouter *router, PhStr service);
/* Takes a reading of the list in place of the one before. */
void PhRouter_SetWorkers(PhRouter *router, const PhWorkerRow *rows,
                         size_t count);
/* Names the live entry instances, this one included. */
void PhRouter_SetInstances(PhRouter *router, const PhStr *ids, size_t count);
/* Tells whether the pool could take a request now: with all its room, or with
 * a little held back for urgent requests. */
bool PhRouter_HasRoom(const PhRouter *router, uint32_t pool, bool all_room);
/* Tells whether the pool has any worker, busy or not. */
bool PhRouter_HasWorkers(const PhRouter *router, uint32_t pool);
/* Chooses a worker other than `avoid`, or gives PH_WORKER_NONE. */
uint32_t PhRouter_Pick(PhRouter *router, uint32_t pool, uint32_t avoid,
                       bool idempotent, PhTime now);
/* Notes the start and the end of an attempt. */
void PhRouter_Sent(PhRouter *router, uint32_t worker);
PhRouterChange PhRouter_Done(PhRouter *router, uint32_t worker, uint32_t pool,
                             PhAttemptResult result, PhTime latency,
                             PhTime now);
/* The worker's id and address, valid while an attempt is in flight there. */
PhStr PhRouter_WorkerId(const PhRouter *router, uint32_t worker);
PhStr PhRouter_WorkerAddress(const PhRouter *router, uint32_t worker);
/* Connections to the worker that this instance may hold. */
uint32_t PhRouter_ConnectionCap(const PhRouter *router, uint32_t worker);
/* Finds a worker of the list by its id, or gives PH_WORKER_NONE. */
uint32_t PhRouter_FindWorker(const PhRouter *router, PhStr id);
/* Mean latency of the pool, and what nearly all answers stay below. */
PhTime PhRouter_MeanLatency(const PhRouter *router, uint32_t pool);
PhTime PhRouter_TailLatency(const PhRouter *router, uint32_t pool);
/* Opens half the workers whose cooldown has passed. */
void PhRouter_Wake(PhRouter *router, PhTime now);
/* When the next cooldown ends, or PH_TIME_NEVER. */
PhTime PhRouter_NextWake(const PhRouter *router);

#endif
