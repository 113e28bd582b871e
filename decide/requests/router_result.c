#include "router_internal.h"

#include "peridothill/common/invariant.h"

static void
worker_in_flight_add(PhRouter *router, uint32_t number, int by)
{
    PhRoutedWorker *w = router_worker(router, number);
    Ph_INVARIANT(PH_INVARIANT_QUEUE, by > 0 || w->in_flight > 0, "worker=%u",
                 number);
    w->in_flight += (uint32_t)by;
    for (guint i = 0; i < w->link_count; i++) {
        router_pool(router, worker_link(w, i)->pool)->in_flight +=
            (uint32_t)by;
    }
}

void
PhRouter_AttemptStarted(PhRouter *router, uint32_t worker)
{
    PhRoutedWorker *w = router_worker(router, worker);
    Ph_INVARIANT(PH_INVARIANT_LEAVING, w->present && !w->leaving,
                 "worker=%.*s", PhStr_ARG(w->id));
    Ph_INVARIANT(PH_INVARIANT_QUEUE, w->in_flight < w->cap,
                 "worker=%.*s in_flight=%u cap=%u", PhStr_ARG(w->id),
                 w->in_flight, w->cap);
    worker_in_flight_add(router, worker, 1);
    if (w->outlier.state == PH_OUTLIER_HALF_OPEN) {
        w->outlier.probing = true;
    }
    PhRouter_Refresh(router, worker);
}

/* Refuses an ejection that would leave too few workers in any of the worker's
 * pools. */
static bool
ejection_allowed(const PhRouter *router, const PhRoutedWorker *w)
{
    enum {
        MAX_EJECTED_PERCENT = 30
    };
    if (!router->options.cooldown || !w->present || w->leaving ||
        w->cap == 0) {
        return false;
    }
    for (guint i = 0; i < w->link_count; i++) {
        const PhPool *pool = router_pool(router, worker_link(w, i)->pool);
        uint32_t max_ejected = pool->workers * MAX_EJECTED_PERCENT / 100;
        if (pool->workers < 2 || pool->ejected >= MAX(max_ejected, 1U)) {
            return false;
        }
    }
    return true;
}

/* Counts a failure and ejects the worker if it is due and permitted. */
static PhRouterChange
worker_failed(PhRouter *router, uint32_t number, PhTime now)
{
    PhRoutedWorker *w = router_worker(router, number);
    PhOutlier_RecordFailure(&w->outlier);
    w->outlier.probing = false;
    if (!PhOutlier_IsDue(&w->outlier) || !ejection_allowed(router, w)) {
        return PH_ROUTER_UNCHANGED;
    }
    PhRouter_CountPools(router, w, -1);
    PhOutlier_Eject(&w->outlier, router->options.random, now);
    PhRouter_CountPools(router, w, 1);
    g_array_append_val(router->ejected_workers, number);
    router->next_cooldown_end =
        MIN(router->next_cooldown_end, w->outlier.until);
    return PH_ROUTER_EJECTED;
}

/* Updates the smoothed latency of the worker in this pool, and of the pool. A
 * rise is followed faster than a fall, as in Peak EWMA. */
static void
latency_update(PhRouter *router, PhRoutedWorker *w, uint32_t number,
               PhTime latency, PhTime now)
{
    const double rise = 0.3;
    const double fall = 0.1;
    const double pool_weight = 0.02;
    PhPool *pool = router_pool(router, number);
    double sample = (double)latency;
    for (guint i = 0; i < w->link_count; i++) {
        PhPoolLink *link = worker_link(w, i);
        if (link->pool == number) {
            double weight = sample > link->latency_ns ? rise : fall;
            link->latency_ns =
                link->latency_ns == 0.0
                    ? sample
                    : link->latency_ns + weight * (sample - link->latency_ns);
            link->sampled_at = now;
        }
    }
    if (pool->mean_ns == 0.0) {
        pool->mean_ns = sample;
        pool->deviation_ns = sample / 2.0;
        return;
    }
    double gap = sample - pool->mean_ns;
    pool->mean_ns += pool_weight * gap;
    pool->deviation_ns +=
        pool_weight * ((gap < 0.0 ? -gap : gap) - pool->deviation_ns);
}

/* Updates the adaptive limit with the latency relative to the baseline of the
 * service. */
static void
limit_update(PhRouter *router, PhRoutedWorker *w, PhPool *pool, PhTime latency,
             PhTime now)
{
    PhBaseline_Observe(&pool->baseline, (double)latency, now);
    if (pool->baseline.value > 0.0 &&
        PhLimit_Observe(&w->limit, (double)latency / pool->baseline.value,
                        now) &&
        w->counted) {
        PhRouter_CountSlots(router, w, false);
        PhRouter_CountSlots(router, w, true);
    }
}

PhRouterChange
PhRouter_AttemptEnded(PhRouter *router, uint32_t worker, uint32_t pool,
                      PhAttemptResult result, PhTime latency, PhTime now)
{
    PhRoutedWorker *w = router_worker(router, worker);
    PhRouterChange change = PH_ROUTER_UNCHANGED;
    worker_in_flight_add(router, worker, -1);
    switch (result) {
    case PH_ATTEMPT_SUCCEEDED:
        latency_update(router, w, pool, latency, now);
        limit_update(router, w, router_pool(router, pool), latency, now);
        if (PhOutlier_RecordSuccess(&w->outlier)) {
            change = PH_ROUTER_READMITTED;
        }
        break;
    case PH_ATTEMPT_FAILED:
        if (latency > PhRouter_MeanLatency(router, pool)) {
            latency_update(router, w, pool, latency, now);
        }
        change = worker_failed(router, worker, now);
        break;
    case PH_ATTEMPT_CANCELLED:
        w->outlier.probing = false;
        break;
    }
    PhRouter_Refresh(router, worker);
    PhRouter_Reclaim(router, worker);
    return change;
}
