/* Declarations shared by the router's source files: workers, pools, and the
 * lists of available workers. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_ROUTER_INTERNAL_H
#define PERIDOTHILL_DECIDE_REQUESTS_ROUTER_INTERNAL_H

#include "peridothill/decide/requests/limit.h"
#include "peridothill/decide/requests/outlier.h"
#include "peridothill/decide/requests/router.h"

enum {
    POSITION_NONE = UINT32_MAX,
    MAX_INLINE_LINKS = 2, /* stored in the worker, in a cache line that
                      selection reads anyway */
};

/* The list of a pool that holds an available worker. */
typedef enum PhPoolList {
    POOL_LIST_LOCAL,  /* workers of this data centre */
    POOL_LIST_REMOTE, /* workers of other data centres */
    POOL_LIST_PROBE,  /* half-open workers that wait for a probe */
    POOL_LIST_COUNT,
} PhPoolList;

/* An available worker, by its index and the index of its link to the pool. */
typedef struct PhAvailableWorker {
    uint32_t worker;
    uint32_t link;
} PhAvailableWorker;

/* A worker's membership of a pool. */
typedef struct PhPoolLink {
    uint32_t pool;
    uint32_t position; /* in the list of `list`, or POSITION_NONE */
    PhPoolList list;
    double latency_ns; /* smoothed, for this worker and pool; 0 before the
                          first sample */
    PhTime sampled_at;
} PhPoolLink;

typedef struct PhRoutedWorker {
    PhStr id; /* empty at a free index */
    PhStr address;
    PhStr data_centre;
    PhStr services;
    uint32_t slots;
    uint32_t connections; /* the worker's limit */
    uint32_t share; /* connections of this instance; 0 if not in its subset */
    uint32_t cap;   /* highest number of concurrent requests */
    uint32_t sharing_instances;
    uint32_t in_flight;
    bool present;
    bool leaving;
    bool counted;         /* whether its slots are included in its pools */
    double counted_slots; /* slots added to its pools while `counted` is set */
    PhLimit limit;
    PhOutlier outlier;
    uint32_t link_count;
    PhPoolLink *links; /* `inline_links` or heap memory */
    PhPoolLink inline_links[MAX_INLINE_LINKS];
} PhRoutedWorker;

typedef struct PhPool {
    PhStr service;
    GArray *available[POOL_LIST_COUNT]; /* PhAvailableWorker */
    uint32_t workers;                   /* in the subset, ejected or not */
    uint32_t ejected;
    uint32_t in_flight; /* on its workers, for any service */
    double slots; /* this instance's share of the slots, scaled by the adaptive
                     limits */
    double mean_ns;
    double deviation_ns;
    uint32_t round_robin_next; /* round-robin position */
    PhBaseline baseline;       /* baseline latency of the service */
} PhPool;

struct PhRouter {
    PhRouterOptions options;
    GPtrArray *workers;   /* PhRoutedWorker; freed indexes are reused */
    GHashTable *indexes;  /* id to index + 1 */
    GArray *free_indexes; /* uint32_t */
    GPtrArray *pools;
    GHashTable *pool_numbers; /* service to index + 1 */
    GPtrArray *instances;     /* PhStr keys */
    GArray *ejected_workers;  /* uint32_t, ejected workers */
    PhTime next_cooldown_end;
};

static inline PhRoutedWorker *
router_worker(const PhRouter *router, uint32_t number)
{
    return g_ptr_array_index(router->workers, number);
}

static inline PhPool *
router_pool(const PhRouter *router, uint32_t number)
{
    return g_ptr_array_index(router->pools, number);
}

static inline PhPoolLink *
worker_link(const PhRoutedWorker *worker, uint32_t number)
{
    return &worker->links[number];
}

/* router_lists.c: lists of available workers per pool, and slot and request
 * counts per pool. */
/* Updates the lists and counts after the worker's state changed. */
void PhRouter_Refresh(PhRouter *router, uint32_t number);
/* Remove a worker from all lists and counts before it changes, and add it
 * again afterwards. */
void PhRouter_Detach(PhRouter *router, uint32_t number);
void PhRouter_Attach(PhRouter *router, uint32_t number);
/* Adds the worker to the worker counts of its pools (sign 1) or subtracts it
 * (sign -1). */
void PhRouter_CountPools(PhRouter *router, const PhRoutedWorker *worker,
                         int sign);
/* Adds the worker's slots, scaled by its limit factor, to its pools, or
 * subtracts the same amount again. */
void PhRouter_CountSlots(PhRouter *router, PhRoutedWorker *worker,
                         bool counted);
/* router.c: frees the index of a worker that has left the list and is idle. */
void PhRouter_Reclaim(PhRouter *router, uint32_t number);

#endif
