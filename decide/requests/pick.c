#include <math.h>

#include "router_internal.h"

enum {
    LATENCY_DECAY_MS =
        2000, /* time constant of the decay towards the pool's mean latency */
    AVOID_TRIES = 4,
};

/* A remote worker must be cheaper than the local one by this factor. */
static const double REMOTE_COST_FACTOR = 1.25;
/* Fraction of the slots kept free for urgent services. */
static const double URGENT_RESERVE_FRACTION = 0.05;

/* Moves workers whose cooldown has ended to the half-open state. */
void
PhRouter_EndCooldowns(PhRouter *router, PhTime now)
{
    if (now < router->next_cooldown_end) {
        return;
    }
    router->next_cooldown_end = PH_TIME_NEVER;
    for (guint i = router->ejected_workers->len; i > 0; i--) {
        uint32_t number =
            g_array_index(router->ejected_workers, uint32_t, i - 1);
        PhRoutedWorker *w = router_worker(router, number);
        if (!PhOutlier_EndCooldown(&w->outlier, now)) {
            router->next_cooldown_end =
                MIN(router->next_cooldown_end, w->outlier.until);
            continue;
        }
        g_array_remove_index_fast(router->ejected_workers, i - 1);
        for (guint l = 0;
             w->present && !w->leaving && w->cap > 0 && l < w->link_count;
             l++) {
            router_pool(router, worker_link(w, l)->pool)->ejected--;
        }
        PhRouter_Refresh(router, number);
    }
}

bool
PhRouter_HasWorkers(const PhRouter *router, uint32_t pool)
{
    return router_pool(router, pool)->workers > 0;
}

/* Without the adaptive limit only the workers' connection limits apply. */
bool
PhRouter_HasCapacity(const PhRouter *router, uint32_t pool, bool use_reserve)
{
    const PhPool *p = router_pool(router, pool);
    if (p->available[POOL_LIST_LOCAL]->len +
            p->available[POOL_LIST_REMOTE]->len +
            p->available[POOL_LIST_PROBE]->len ==
        0) {
        return false;
    }
    if (!router->options.adaptive_limit) {
        return true;
    }
    double capacity = p->slots;
    if (!use_reserve) {
        capacity *= 1.0 - URGENT_RESERVE_FRACTION;
    }
    return p->in_flight < MAX(capacity, 1.0);
}

/* Expected cost of sending one more request to a worker; lower is better. */
static double
worker_cost(const PhRouter *router, const PhPool *pool,
            PhAvailableWorker entry, PhTime now)
{
    const PhRoutedWorker *w = router_worker(router, entry.worker);
    const PhPoolLink *link = worker_link(w, entry.link);
    double load = (double)(w->in_flight + 1) / MAX(w->slots, 1U);
    switch (router->options.routing) {
    case PH_ROUTING_LEAST_OUTSTANDING:
        return load;
    case PH_ROUTING_ROUND_ROBIN:
    case PH_ROUTING_RANDOM:
    case PH_ROUTING_PEAK_EWMA:
        break;
    }
    double latency = pool->mean_ns;
    if (link->latency_ns > 0.0) {
        double age = (double)(now - link->sampled_at) /
                     (double)(LATENCY_DECAY_MS * PH_NS_PER_MS);
        latency += (link->latency_ns - latency) * exp(-age);
    }
    return latency * (1.0 + load);
}

/* Returns one available worker of a list, in turn or at random. */
static PhAvailableWorker
worker_draw(PhRouter *router, PhPool *pool, PhPoolList list)
{
    GArray *available = pool->available[list];
    uint32_t at = 0;
    switch (router->options.routing) {
    case PH_ROUTING_ROUND_ROBIN:
        at = pool->round_robin_next++ % available->len;
        break;
    case PH_ROUTING_RANDOM:
    case PH_ROUTING_LEAST_OUTSTANDING:
    case PH_ROUTING_PEAK_EWMA:
        at = (uint32_t)PhRandom_Below(router->options.random, available->len);
        break;
    }
    return g_array_index(available, PhAvailableWorker, at);
}

/* May still return `avoid` after AVOID_TRIES draws. */
static PhAvailableWorker
worker_draw_other(PhRouter *router, PhPool *pool, PhPoolList list,
                  uint32_t avoid)
{
    PhAvailableWorker drawn = worker_draw(router, pool, list);
    for (int i = 0; i < AVOID_TRIES && drawn.worker == avoid; i++) {
        drawn = worker_draw(router, pool, list);
    }
    return drawn;
}

/* A candidate worker and its cost. */
typedef struct PhChoice {
    uint32_t worker;
    double cost;
} PhChoice;

/* Power of two choices within one list. */
static PhChoice
candidate_choose(PhRouter *router, PhPool *pool, PhPoolList list,
                 uint32_t avoid, PhTime now)
{
    if (pool->available[list]->len == 0) {
        return (PhChoice){.worker = PH_WORKER_NONE, .cost = INFINITY};
    }
    PhAvailableWorker a = worker_draw_other(router, pool, list, avoid);
    PhAvailableWorker b = worker_draw_other(router, pool, list, avoid);
    double cost_a = worker_cost(router, pool, a, now);
    double cost_b = worker_cost(router, pool, b, now);
    if (a.worker == avoid || (b.worker != avoid && cost_b < cost_a)) {
        return (PhChoice){.worker = b.worker, .cost = cost_b};
    }
    return (PhChoice){.worker = a.worker, .cost = cost_a};
}

/* A half-open worker is probed with an idempotent request, or with any request
 * if no other worker is available. */
static uint32_t
probe_choose_worker(const PhPool *pool, bool idempotent)
{
    const GArray *probes = pool->available[POOL_LIST_PROBE];
    bool no_alternative = pool->available[POOL_LIST_LOCAL]->len == 0 &&
                          pool->available[POOL_LIST_REMOTE]->len == 0;
    if (probes->len == 0 || !(idempotent || no_alternative)) {
        return PH_WORKER_NONE;
    }
    return g_array_index(probes, PhAvailableWorker, 0).worker;
}

/* Plain round robin or random choice over the available workers of all data
 * centres except half-open ones, used as a baseline in benchmarks. */
static uint32_t
baseline_choose(PhRouter *router, PhPool *pool)
{
    uint32_t local = pool->available[POOL_LIST_LOCAL]->len;
    uint32_t total = local + pool->available[POOL_LIST_REMOTE]->len;
    uint32_t at =
        router->options.routing == PH_ROUTING_ROUND_ROBIN
            ? pool->round_robin_next++ % total
            : (uint32_t)PhRandom_Below(router->options.random, total);
    const GArray *available =
        pool->available[at < local ? POOL_LIST_LOCAL : POOL_LIST_REMOTE];
    return g_array_index(available, PhAvailableWorker,
                         at < local ? at : at - local)
        .worker;
}

/* Prefers a half-open worker for an idempotent request, then the better of two
 * local candidates, unless a remote one is clearly cheaper. */
uint32_t
PhRouter_Pick(PhRouter *router, uint32_t pool, uint32_t avoid, bool idempotent,
              PhTime now)
{
    PhPool *p = router_pool(router, pool);
    uint32_t probe = probe_choose_worker(p, idempotent);
    if (probe != PH_WORKER_NONE && probe != avoid) {
        return probe;
    }
    if (p->available[POOL_LIST_LOCAL]->len +
            p->available[POOL_LIST_REMOTE]->len ==
        0) {
        return PH_WORKER_NONE;
    }
    switch (router->options.routing) {
    case PH_ROUTING_ROUND_ROBIN:
    case PH_ROUTING_RANDOM:
        return baseline_choose(router, p);
    case PH_ROUTING_LEAST_OUTSTANDING:
    case PH_ROUTING_PEAK_EWMA:
        break;
    }
    PhChoice local = candidate_choose(router, p, POOL_LIST_LOCAL, avoid, now);
    PhChoice remote =
        candidate_choose(router, p, POOL_LIST_REMOTE, avoid, now);
    bool use_remote = local.worker == PH_WORKER_NONE ||
                      local.worker == avoid ||
                      remote.cost * REMOTE_COST_FACTOR < local.cost;
    return use_remote && remote.worker != PH_WORKER_NONE ? remote.worker
                                                         : local.worker;
}
