#include <math.h>

#include "router_internal.h"

enum {
    FORGET_MS =
        2000, /* time constant of the decay towards the pool's mean latency */
    AVOID_TRIES = 4,
};

/* A remote worker must be cheaper than the local one by this factor. */
static const double REMOTE_MARGIN = 1.25;
/* Fraction of the slots kept free for urgent services. */
static const double URGENT_RESERVE = 0.05;

/* Moves workers whose cooldown has ended to the half-open state. */
void
PhRouter_Wake(PhRouter *router, PhTime now)
{
    if (now < router->next_wake) {
        return;
    }
    router->next_wake = PH_TIME_NEVER;
    for (guint i = router->cooling->len; i > 0; i--) {
        uint32_t number = g_array_index(router->cooling, uint32_t, i - 1);
        PhRoutedWorker *w = router_worker(router, number);
        if (!PhOutlier_Wake(&w->outlier, now)) {
            router->next_wake = MIN(router->next_wake, w->outlier.until);
            continue;
        }
        g_array_remove_index_fast(router->cooling, i - 1);
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

/* Without the adaptive limit only the connection limits of the workers apply.
 */
bool
PhRouter_HasRoom(const PhRouter *router, uint32_t pool, bool all_room)
{
    const PhPool *p = router_pool(router, pool);
    if (p->open[SIDE_LOCAL]->len + p->open[SIDE_REMOTE]->len +
            p->open[SIDE_PROBE]->len ==
        0) {
        return false;
    }
    if (!router->options.adaptive_limit) {
        return true;
    }
    double room = p->slots;
    if (!all_room) {
        room *= 1.0 - URGENT_RESERVE;
    }
    return p->in_flight < MAX(room, 1.0);
}

/* Expected cost of sending one more request to a worker; lower is better. */
static double
open_cost(const PhRouter *router, const PhPool *pool, PhOpenWorker entry,
          PhTime now)
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
                     (double)(FORGET_MS * PH_NS_PER_MS);
        latency += (link->latency_ns - latency) * exp(-age);
    }
    return latency * (1.0 + load);
}

/* Returns one available worker of a list, in turn or at random. */
static PhOpenWorker
open_draw(PhRouter *router, PhPool *pool, PhSide side)
{
    GArray *open = pool->open[side];
    uint32_t at = 0;
    switch (router->options.routing) {
    case PH_ROUTING_ROUND_ROBIN:
        at = pool->turn++ % open->len;
        break;
    case PH_ROUTING_RANDOM:
    case PH_ROUTING_LEAST_OUTSTANDING:
    case PH_ROUTING_PEAK_EWMA:
        at = (uint32_t)PhRandom_Below(router->options.random, open->len);
        break;
    }
    return g_array_index(open, PhOpenWorker, at);
}

/* May still return `avoid` after AVOID_TRIES draws. */
static PhOpenWorker
open_draw_other(PhRouter *router, PhPool *pool, PhSide side, uint32_t avoid)
{
    PhOpenWorker drawn = open_draw(router, pool, side);
    for (int i = 0; i < AVOID_TRIES && drawn.worker == avoid; i++) {
        drawn = open_draw(router, pool, side);
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
side_choose(PhRouter *router, PhPool *pool, PhSide side, uint32_t avoid,
            PhTime now)
{
    if (pool->open[side]->len == 0) {
        return (PhChoice){.worker = PH_WORKER_NONE, .cost = INFINITY};
    }
    PhOpenWorker a = open_draw_other(router, pool, side, avoid);
    PhOpenWorker b = open_draw_other(router, pool, side, avoid);
    double cost_a = open_cost(router, pool, a, now);
    double cost_b = open_cost(router, pool, b, now);
    if (a.worker == avoid || (b.worker != avoid && cost_b < cost_a)) {
        return (PhChoice){.worker = b.worker, .cost = cost_b};
    }
    return (PhChoice){.worker = a.worker, .cost = cost_a};
}

/* A half-open worker is probed with an idempotent request, or with any request
 * if no other worker is available. */
static uint32_t
probe_choose(const PhPool *pool, bool idempotent)
{
    const GArray *probes = pool->open[SIDE_PROBE];
    bool alone =
        pool->open[SIDE_LOCAL]->len == 0 && pool->open[SIDE_REMOTE]->len == 0;
    if (probes->len == 0 || !(idempotent || alone)) {
        return PH_WORKER_NONE;
    }
    return g_array_index(probes, PhOpenWorker, 0).worker;
}

/* Plain round robin or random choice over all available workers, used as a
 * baseline in benchmarks. */
static uint32_t
plain_choose(PhRouter *router, PhPool *pool)
{
    uint32_t local = pool->open[SIDE_LOCAL]->len;
    uint32_t total = local + pool->open[SIDE_REMOTE]->len;
    uint32_t at =
        router->options.routing == PH_ROUTING_ROUND_ROBIN
            ? pool->turn++ % total
            : (uint32_t)PhRandom_Below(router->options.random, total);
    const GArray *open = pool->open[at < local ? SIDE_LOCAL : SIDE_REMOTE];
    return g_array_index(open, PhOpenWorker, at < local ? at : at - local)
        .worker;
}

/* Prefers a half-open worker for an idempotent request, then the better of two
 * local candidates, unless a remote one is clearly cheaper. */
uint32_t
PhRouter_Pick(PhRouter *router, uint32_t pool, uint32_t avoid, bool idempotent,
              PhTime now)
{
    PhPool *p = router_pool(router, pool);
    uint32_t probe = probe_choose(p, idempotent);
    if (probe != PH_WORKER_NONE && probe != avoid) {
        return probe;
    }
    if (p->open[SIDE_LOCAL]->len + p->open[SIDE_REMOTE]->len == 0) {
        return PH_WORKER_NONE;
    }
    switch (router->options.routing) {
    case PH_ROUTING_ROUND_ROBIN:
    case PH_ROUTING_RANDOM:
        return plain_choose(router, p);
    case PH_ROUTING_LEAST_OUTSTANDING:
    case PH_ROUTING_PEAK_EWMA:
        break;
    }
    PhChoice here = side_choose(router, p, SIDE_LOCAL, avoid, now);
    PhChoice there = side_choose(router, p, SIDE_REMOTE, avoid, now);
    bool cross = here.worker == PH_WORKER_NONE || here.worker == avoid ||
                 there.cost * REMOTE_MARGIN < here.cost;
    return cross && there.worker != PH_WORKER_NONE ? there.worker
                                                   : here.worker;
}
