/* Selects workers for requests: one pool per service, smoothed latency per
 * service and worker, connections divided between instances. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_ROUTER_H
#define PERIDOTHILL_DECIDE_REQUESTS_ROUTER_H

#include "peridothill/common/random.h"
#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef enum PhRoutingKind {
    PH_ROUTING_PEAK_EWMA, /* power of two choices by smoothed latency and load
                           */
    PH_ROUTING_LEAST_OUTSTANDING,
    PH_ROUTING_ROUND_ROBIN,
    PH_ROUTING_RANDOM,
} PhRoutingKind;

/* One worker of the platform list. Strings are borrowed. */
typedef struct PhWorkerRow {
    PhStr id;
    PhStr address;
    PhStr data_centre;
    PhStr services; /* names, separated by spaces */
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
    bool connection_limit; /* false ignores the connections in use */
    PhRandom *random;      /* borrowed, must outlive the router */
} PhRouterOptions;

typedef enum PhAttemptResult {
    PH_ATTEMPT_SUCCEEDED,
    PH_ATTEMPT_FAILED,
    PH_ATTEMPT_CANCELLED, /* no information about the worker */
} PhAttemptResult;

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
/* NULL is allowed. */
void PhRouter_Destroy(PhRouter *router);
/* Returns the index of a service's pool, creating it if needed. Indexes stay
 * valid for the lifetime of the router. */
uint32_t PhRouter_Pool(PhRouter *router, PhStr service);
/* Replaces the set of workers. */
void PhRouter_SetWorkers(PhRouter *router, const PhWorkerRow *rows,
                         size_t count);
/* Sets the live entry instances, including this one. */
void PhRouter_SetInstances(PhRouter *router, const PhStr *ids, size_t count);
/* Whether the pool can accept a request now. Without `use_reserve`, a small
 * reserve for urgent requests counts as used. */
bool PhRouter_HasCapacity(const PhRouter *router, uint32_t pool,
                          bool use_reserve);
/* Whether the pool has any worker, busy or not. */
bool PhRouter_HasWorkers(const PhRouter *router, uint32_t pool);
/* Selects a worker, preferring any other than `avoid`. Returns PH_WORKER_NONE
 * if none is available. */
uint32_t PhRouter_Pick(PhRouter *router, uint32_t pool, uint32_t avoid,
                       bool idempotent, PhTime now);
/* Record the start and the end of an attempt. `latency` is the time between
 * the two. */
void PhRouter_AttemptStarted(PhRouter *router, uint32_t worker);
PhRouterChange PhRouter_AttemptEnded(PhRouter *router, uint32_t worker,
                                     uint32_t pool, PhAttemptResult result,
                                     PhTime latency, PhTime now);
/* The worker's id and address, borrowed; valid while an attempt to it is in
 * flight. */
PhStr PhRouter_WorkerId(const PhRouter *router, uint32_t worker);
PhStr PhRouter_WorkerAddress(const PhRouter *router, uint32_t worker);
/* Number of connections that this instance may hold to the worker. */
uint32_t PhRouter_ConnectionCap(const PhRouter *router, uint32_t worker);
/* Finds a worker by id, or returns PH_WORKER_NONE. */
uint32_t PhRouter_FindWorker(const PhRouter *router, PhStr id);
/* Smoothed mean latency of the pool, and an upper estimate: the mean plus five
 * mean deviations. 0 before the first sample. */
PhTime PhRouter_MeanLatency(const PhRouter *router, uint32_t pool);
PhTime PhRouter_TailLatency(const PhRouter *router, uint32_t pool);
/* Moves workers whose cooldown has ended to the half-open state. */
void PhRouter_EndCooldowns(PhRouter *router, PhTime now);
/* Time at which the next cooldown ends, or PH_TIME_NEVER. */
PhTime PhRouter_NextCooldownEnd(const PhRouter *router);

#endif
