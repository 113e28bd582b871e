#include "router_internal.h"

static PhPoolList
worker_list(const PhRouter *router, const PhRoutedWorker *w)
{
    if (w->outlier.state == PH_OUTLIER_HALF_OPEN) {
        return POOL_LIST_PROBE;
    }
    return PhStr_Equal(w->data_centre, router->options.data_centre)
               ? POOL_LIST_LOCAL
               : POOL_LIST_REMOTE;
}

static bool
worker_is_available(const PhRoutedWorker *w)
{
    if (!w->present || w->leaving || w->in_flight >= w->cap) {
        return false;
    }
    switch (w->outlier.state) {
    case PH_OUTLIER_CLOSED:
        return true;
    case PH_OUTLIER_EJECTED:
        return false;
    case PH_OUTLIER_HALF_OPEN:
        return !w->outlier.probing;
    }
    return false;
}

static void
link_list_add(PhRouter *router, uint32_t number, uint32_t index)
{
    const PhRoutedWorker *w = router_worker(router, number);
    PhPoolLink *link = worker_link(w, index);
    link->list = worker_list(router, w);
    GArray *available = router_pool(router, link->pool)->available[link->list];
    PhAvailableWorker entry = {.worker = number, .link = index};
    link->position = available->len;
    g_array_append_val(available, entry);
}

/* The last entry of the list takes the place of the removed one, so its
 * position changes. */
static void
link_list_remove(PhRouter *router, uint32_t number, uint32_t index)
{
    const PhRoutedWorker *w = router_worker(router, number);
    PhPoolLink *link = worker_link(w, index);
    GArray *available = router_pool(router, link->pool)->available[link->list];
    uint32_t position = link->position;
    g_array_remove_index_fast(available, position);
    if (position < available->len) {
        PhAvailableWorker moved =
            g_array_index(available, PhAvailableWorker, position);
        worker_link(router_worker(router, moved.worker), moved.link)
            ->position = position;
    }
    link->position = POSITION_NONE;
}

/* The amount added is stored, because the factor may change before it is
 * subtracted. */
void
PhRouter_CountSlots(PhRouter *router, PhRoutedWorker *w, bool counted)
{
    if (w->counted == counted) {
        return;
    }
    w->counted = counted;
    if (counted) {
        w->counted_slots =
            w->limit.factor * w->slots / MAX(w->sharing_instances, 1U);
    }
    for (guint i = 0; i < w->link_count; i++) {
        PhPool *pool = router_pool(router, worker_link(w, i)->pool);
        pool->slots += counted ? w->counted_slots : -w->counted_slots;
    }
}

void
PhRouter_Refresh(PhRouter *router, uint32_t number)
{
    PhRoutedWorker *w = router_worker(router, number);
    PhRouter_CountSlots(router, w,
                        w->present && !w->leaving && w->cap > 0 &&
                            w->outlier.state != PH_OUTLIER_EJECTED);
    bool available = worker_is_available(w);
    for (guint i = 0; i < w->link_count; i++) {
        PhPoolLink *link = worker_link(w, i);
        bool is_listed = link->position != POSITION_NONE;
        bool in_place = is_listed && link->list == worker_list(router, w);
        if (is_listed && !(available && in_place)) {
            link_list_remove(router, number, i);
        }
        if (available && !in_place) {
            link_list_add(router, number, i);
        }
    }
}

void
PhRouter_CountPools(PhRouter *router, const PhRoutedWorker *w, int sign)
{
    if (!w->present || w->leaving || w->cap == 0) {
        return;
    }
    bool ejected = w->outlier.state == PH_OUTLIER_EJECTED;
    for (guint i = 0; i < w->link_count; i++) {
        PhPool *pool = router_pool(router, worker_link(w, i)->pool);
        pool->workers += (uint32_t)sign;
        pool->ejected += ejected ? (uint32_t)sign : 0;
    }
}

void
PhRouter_Detach(PhRouter *router, uint32_t number)
{
    PhRoutedWorker *w = router_worker(router, number);
    PhRouter_CountPools(router, w, -1);
    PhRouter_CountSlots(router, w, false);
    for (guint i = 0; i < w->link_count; i++) {
        PhPoolLink *link = worker_link(w, i);
        router_pool(router, link->pool)->in_flight -= w->in_flight;
        if (link->position != POSITION_NONE) {
            link_list_remove(router, number, i);
        }
    }
}

void
PhRouter_Attach(PhRouter *router, uint32_t number)
{
    PhRoutedWorker *w = router_worker(router, number);
    for (guint i = 0; i < w->link_count; i++) {
        router_pool(router, worker_link(w, i)->pool)->in_flight +=
            w->in_flight;
    }
    PhRouter_CountPools(router, w, 1);
    PhRouter_Refresh(router, number);
}
