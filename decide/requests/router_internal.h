/* What router.c and pick.c share: workers, pools, and the lists of workers
 * that have room. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_ROUTER_INTERNAL_H
#define PERIDOTHILL_DECIDE_REQUESTS_ROUTER_INTERNAL_H

#include "peridothill/decide/requests/limit.h"
#include "peridothill/decide/requests/outlier.h"
#include "peridothill/decide/requests/router.h"

enum {
    POSITION_NONE = UINT32_MAX,
    FEW_LINKS = 2, /* kept in the worker, where the choice reads anyway */
};

/* Which list of a pool an open worker is on. */
typedef enum PhSide {
    SIDE_LOCAL,  /* in this data centre */
    SIDE_REMOTE, /* in another */
    SIDE_PROBE,  /* half open, waiting for the request that decides */
    SIDE_COUNT,
} PhSide;

/* A worker that has room, by its number and its link to the pool. */
typedef struct PhOpenWorker {
    uint32_t worker;
    uint32_t link;
} PhOpenWorker;

/* A worker's membership of a pool. */
typedef struct PhPoolLink {
    uint32_t pool;
    uint32_t position; /* in the open list of `side`, or POSITION_NONE */
    PhSide side;
    double latency_ns; /* learned for the pair; 0 before the first answer */
    PhTime sampled_at;
} PhPoolLink;

typedef struct PhRoutedWorker {
    PhStr id; /* empty in a free slot */
    PhStr address;
    PhStr data_centre;
    PhStr services;
    uint32_t slots;
    uint32_t connections; /* the worker's limit */
    uint32_t share;       /* this instance's part; 0 outside its subset */
    uint32_t cap;         /* requests that may use it at a time */
    uint32_t sharers;
    uint32_t in_flight;
    bool present;
    bool leaving;
    bool counted; /* its slots count in its pools, */
    double part;  /* as this many */
    PhLimit limit;
    PhOutlier outlier;
    uint32_t link_count;
    PhPoolLink *links; /* `few_links`, or allocated */
    PhPoolLink few_links[FEW_LINKS];
} PhRoutedWorker;

typedef struct PhPool {
    PhStr service;
    GArray *open[SIDE_COUNT]; /* PhOpenWorker */
    uint32_t workers;         /* in the subset, ejected or not */
    uint32_t ejected;
    uint32_t in_flight; /* on its workers, of any service */
    double slots;       /* this instance's part of them, times their factors */
    double mean_ns;
    double deviation_ns;
    uint32_t turn;       /* of round robin */
    PhBaseline baseline; /* of its latencies */
} PhPool;

struct PhRouter {
    PhRouterOptions options;
    GPtrArray *workers;  /* PhRoutedWorker; slots are used again */
    GHashTable *indexes; /* id to number + 1 */
    GArray *free_slots;  /* uint32_t */
    GPtrArray *pools;
    GHashTable *pool_numbers; /* service to number + 1 */
    GPtrArray *instances;     /* PhStr keys */
    GArray *cooling;          /* uint32_t, ejected workers */
    PhTime next_wake;
};

/* Gives a worker by its number. */
static inline PhRoutedWorker *
router_worker(const PhRouter *router, uint32_t number)
{
    return g_ptr_array_index(router->workers, number);
}

/* Gives a pool by its number. */
static inline PhPool *
router_pool(const PhRouter *router, uint32_t number)
{
    return g_ptr_array_index(router->pools, number);
}

/* Gives a worker's membership of a pool by its place. */
static inline PhPoolLink *
worker_link(const PhRoutedWorker *worker, uint32_t number)
{
    return &worker->links[number];
}

/* router_lists.c: pools' lists of open workers and their sums. */
/* Brings them in line with the worker's state. */
void PhRouter_Refresh(PhRouter *router, uint32_t number);
/* Takes a worker out of all of them before it changes, and puts it back. */
void PhRouter_Detach(PhRouter *router, uint32_t number);
void PhRouter_Attach(PhRouter *router, uint32_t number);
/* Adds the worker to the counts of its pools (sign 1) or takes it off. */
void PhRouter_CountPools(PhRouter *router, const PhRoutedWorker *worker,
                         int sign);
/* Adds the worker's slots, times its factor, to its pools, or takes them off
 * as they were added. */
void PhRouter_CountSlots(PhRouter *router, PhRoutedWorker *worker,
                         bool counted);
/* router.c: frees the slot of a worker that has left the list and is idle. */
void PhRouter_Reclaim(PhRouter *router, uint32_t number);

#endif
