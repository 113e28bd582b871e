#include "router_internal.h"

#include "peridothill/common/invariant.h"
#include "peridothill/decide/requests/subset.h"

/* Creates a router without workers. */
PhRouter *
PhRouter_Create(const PhRouterOptions *options)
{
    PhRouter *router = g_new0(PhRouter, 1);
    router->options = *options;
    router->options.instance = PhStr_Dup(options->instance);
    router->options.data_centre = PhStr_Dup(options->data_centre);
    router->workers = g_ptr_array_new();
    router->indexes = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                            PhStr_KeyDestroy, NULL);
    router->free_slots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    router->pools = g_ptr_array_new();
    router->pool_numbers = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                                 PhStr_KeyDestroy, NULL);
    router->instances = g_ptr_array_new_with_free_func(PhStr_KeyDestroy);
    g_ptr_array_add(router->instances, PhStr_KeyCreate(options->instance));
    router->cooling = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    router->next_wake = PH_TIME_NEVER;
    return router;
}

/* Releases the strings and links of a worker. */
static void
worker_clear(PhRoutedWorker *w)
{
    PhStr_Clear(&w->id);
    PhStr_Clear(&w->address);
    PhStr_Clear(&w->data_centre);
    PhStr_Clear(&w->services);
    if (w->links != NULL) {
        g_array_free(w->links, TRUE);
    }
    *w = (PhRoutedWorker){0};
}

/* Releases a pool. */
static void
pool_destroy(PhPool *pool)
{
    PhStr_Clear(&pool->service);
    for (int side = 0; side < SIDE_COUNT; side++) {
        g_array_free(pool->open[side], TRUE);
    }
    g_free(pool);
}

/* Releases the router; NULL is allowed. */
void
PhRouter_Destroy(PhRouter *router)
{
    if (router == NULL) {
        return;
    }
    for (guint i = 0; i < router->workers->len; i++) {
        worker_clear(router_worker(router, i));
        g_free(router_worker(router, i));
    }
    for (guint i = 0; i < router->pools->len; i++) {
        pool_destroy(router_pool(router, i));
    }
    PhStr_Clear(&router->options.instance);
    PhStr_Clear(&router->options.data_centre);
    g_ptr_array_free(router->workers, TRUE);
    g_hash_table_destroy(router->indexes);
    g_array_free(router->free_slots, TRUE);
    g_ptr_array_free(router->pools, TRUE);
    g_hash_table_destroy(router->pool_numbers);
    g_ptr_array_free(router->instances, TRUE);
    g_array_free(router->cooling, TRUE);
    g_free(router);
}

/* Finds or creates the pool of a service. */
uint32_t
PhRouter_Pool(PhRouter *router, PhStr service)
{
    guint known =
        GPOINTER_TO_UINT(g_hash_table_lookup(router->pool_numbers, &service));
    if (known != 0) {
        return known - 1;
    }
    PhPool *pool = g_new0(PhPool, 1);
    pool->service = PhStr_Dup(service);
    for (int side = 0; side < SIDE_COUNT; side++) {
        pool->open[side] = g_array_new(FALSE, FALSE, sizeof(PhOpenWorker));
    }
    g_ptr_array_add(router->pools, pool);
    g_hash_table_insert(router->pool_numbers, PhStr_KeyCreate(service),
                        GUINT_TO_POINTER(router->pools->len));
    return router->pools->len - 1;
}

/* Finds the list that the worker belongs on. */
static PhSide
worker_side(const PhRouter *router, const PhRoutedWorker *w)
{
    if (w->outlier.state == PH_OUTLIER_HALF_OPEN) {
        return SIDE_PROBE;
    }
    return PhStr_Equal(w->data_centre, router->options.data_centre)
               ? SIDE_LOCAL
               : SIDE_REMOTE;
}

/* Tells whether the worker may be chosen now. */
static bool
worker_is_open(const PhRoutedWorker *w)
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

/* Puts a worker onto the open list of a pool. */
static void
link_open(PhRouter *router, uint32_t number, uint32_t index)
{
    const PhRoutedWorker *w = router_worker(router, number);
    PhPoolLink *link = worker_link(w, index);
    link->side = worker_side(router, w);
    GArray *open = router_pool(router, link->pool)->open[link->side];
    PhOpenWorker entry = {.worker = number, .link = index};
    link->position = open->len;
    g_array_append_val(open, entry);
}

/* Takes a worker off the open list; the last of the list fills the gap. */
static void
link_close(PhRouter *router, uint32_t number, uint32_t index)
{
    const PhRoutedWorker *w = router_worker(router, number);
    PhPoolLink *link = worker_link(w, index);
    GArray *open = router_pool(router, link->pool)->open[link->side];
    uint32_t position = link->position;
    g_array_remove_index_fast(open, position);
    if (position < open->len) {
        PhOpenWorker moved = g_array_index(open, PhOpenWorker, position);
        worker_link(router_worker(router, moved.worker), moved.link)
            ->position = position;
    }
    link->position = POSITION_NONE;
}

/* Adds the worker's slots, times its factor, to its pools, or takes them off
 * as they were added. */
static void
worker_count(PhRouter *router, PhRoutedWorker *w, bool counted)
{
    if (w->counted == counted) {
        return;
    }
    w->counted = counted;
    if (counted) {
        w->part = w->limit.factor * w->slots / MAX(w->sharers, 1U);
    }
    for (guint i = 0; i < w->links->len; i++) {
        PhPool *pool = router_pool(router, worker_link(w, i)->pool);
        pool->slots += counted ? w->part : -w->part;
    }
}

/* Brings the open lists and the slots in line with the worker's state. */
void
PhRouter_Refresh(PhRouter *router, uint32_t number)
{
    PhRoutedWorker *w = router_worker(router, number);
    worker_count(router, w,
                 w->present && !w->leaving && w->cap > 0 &&
                     w->outlier.state != PH_OUTLIER_EJECTED);
    bool open = worker_is_open(w);
    for (guint i = 0; i < w->links->len; i++) {
        PhPoolLink *link = worker_link(w, i);
        bool listed = link->position != POSITION_NONE;
        bool right = listed && link->side == worker_side(router, w);
        if (listed && !(open && right)) {
            link_close(router, number, i);
        }
        if (open && !right) {
            link_open(router, number, i);
        }
    }
}

/* Adds the worker to the counts of its pools (sign 1) or takes it off. */
static void
pools_count(PhRouter *router, const PhRoutedWorker *w, int sign)
{
    if (!w->present || w->leaving || w->cap == 0) {
        return;
    }
    bool ejected = w->outlier.state == PH_OUTLIER_EJECTED;
    for (guint i = 0; i < w->links->len; i++) {
        PhPool *pool = router_pool(router, worker_link(w, i)->pool);
        pool->workers += (uint32_t)sign;
        pool->ejected += ejected ? (uint32_t)sign : 0;
    }
}

/* Takes a worker out of every list and sum, before it changes. */
static void
worker_detach(PhRouter *router, uint32_t number)
{
    PhRoutedWorker *w = router_worker(router, number);
    pools_count(router, w, -1);
    worker_count(router, w, false);
    for (guint i = 0; i < w->links->len; i++) {
        PhPoolLink *link = worker_link(w, i);
        router_pool(router, link->pool)->in_flight -= w->in_flight;
        if (link->position != POSITION_NONE) {
            link_close(router, number, i);
        }
    }
}

/* Puts a changed worker back. */
static void
worker_attach(PhRouter *router, uint32_t number)
{
    PhRoutedWorker *w = router_worker(router, number);
    for (guint i = 0; i < w->links->len; i++) {
        router_pool(router, worker_link(w, i)->pool)->in_flight +=
            w->in_flight;
    }
    pools_count(router, w, 1);
    PhRouter_Refresh(router, number);
}

/* Links the worker to the pool of each service that it serves. */
static void
worker_link_services(PhRouter *router, PhRoutedWorker *w, PhStr services)
{
    if (PhStr_Equal(w->services, services)) {
        return;
    }
    PhStr_Clear(&w->services);
    w->services = PhStr_Dup(services);
    g_array_set_size(w->links, 0);
    PhStr rest = services;
    while (rest.len > 0) {
        PhStr name;
        PhStr_Cut(rest, ' ', &name, &rest);
        if (name.len > 0) {
            PhPoolLink link = {.pool = PhRouter_Pool(router, name),
                               .position = POSITION_NONE};
            g_array_append_val(w->links, link);
        }
    }
}

/* Finds this instance among the live ones. */
static size_t
own_position(const PhRouter *router, PhStr *ids)
{
    size_t self = 0;
    for (guint i = 0; i < router->instances->len; i++) {
        ids[i] = *(const PhStr *)g_ptr_array_index(router->instances, i);
        if (PhStr_Equal(ids[i], router->options.instance)) {
            self = i;
        }
    }
    return self;
}

/* Works out this instance's part of a worker. */
static void
worker_share(PhRouter *router, PhRoutedWorker *w)
{
    PhStr *ids = g_new(PhStr, router->instances->len);
    size_t self = own_position(router, ids);
    PhSubsetPart part = PhSubset_Part(w->id, w->connections, ids,
                                      router->instances->len, self);
    w->share = part.connections;
    /* One connection is left for commands to the worker. */
    w->cap = part.connections > 1 ? part.connections - 1 : part.connections;
    if (!router->options.connection_limit) {
        w->cap = UINT32_MAX;
    }
    w->sharers = part.sharers;
    g_free(ids);
}

/* Finds the worker of an id, or takes a slot for it. */
static uint32_t
worker_slot(PhRouter *router, PhStr id)
{
    uint32_t number = PhRouter_FindWorker(router, id);
    if (number != PH_WORKER_NONE) {
        return number;
    }
    if (router->free_slots->len > 0) {
        guint last = router->free_slots->len - 1;
        number = g_array_index(router->free_slots, uint32_t, last);
        g_array_set_size(router->free_slots, last);
    }
    else {
        number = router->workers->len;
        g_ptr_array_add(router->workers, g_new0(PhRoutedWorker, 1));
    }
    PhRoutedWorker *w = router_worker(router, number);
    w->id = PhStr_Dup(id);
    w->links = g_array_new(FALSE, FALSE, sizeof(PhPoolLink));
    w->limit = PhLimit_Make();
    g_hash_table_insert(router->indexes, PhStr_KeyCreate(id),
                        GUINT_TO_POINTER(number + 1));
    return number;
}

/* Replaces an owned string. */
static void
str_replace(PhStr *to, PhStr from)
{
    if (!PhStr_Equal(*to, from)) {
        PhStr_Clear(to);
        *to = PhStr_Dup(from);
    }
}

/* Takes one row of a reading. */
static void
worker_update(PhRouter *router, const PhWorkerRow *row)
{
    uint32_t number = worker_slot(router, row->id);
    PhRoutedWorker *w = router_worker(router, number);
    worker_detach(router, number);
    str_replace(&w->address, row->address);
    str_replace(&w->data_centre, row->data_centre);
    worker_link_services(router, w, row->services);
    w->slots = row->slots;
    w->connections = row->connections;
    w->present = true;
    w->leaving = row->leaving;
    worker_share(router, w);
    worker_attach(router, number);
}

/* Frees the slot of a worker that has left the list and is idle. */
static void
worker_reclaim(PhRouter *router, uint32_t number)
{
    PhRoutedWorker *w = router_worker(router, number);
    if (w->present || w->in_flight > 0 || PhStr_IsEmpty(w->id)) {
        return;
    }
    for (guint i = 0; i < router->cooling->len; i++) {
        if (g_array_index(router->cooling, uint32_t, i) == number) {
            g_array_remove_index_fast(router->cooling, i);
            break;
        }
    }
    g_hash_table_remove(router->indexes, &w->id);
    worker_clear(w);
    g_array_append_val(router->free_slots, number);
}

/* Takes a reading: updates its workers and drops those it does not name. */
void
PhRouter_SetWorkers(PhRouter *router, const PhWorkerRow *rows, size_t count)
{
    GHashTable *named = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (size_t i = 0; i < count; i++) {
        worker_update(router, &rows[i]);
        g_hash_table_add(
            named, GUINT_TO_POINTER(PhRouter_FindWorker(router, rows[i].id)));
    }
    for (guint i = 0; i < router->workers->len; i++) {
        PhRoutedWorker *w = router_worker(router, i);
        if (w->present && !g_hash_table_contains(named, GUINT_TO_POINTER(i))) {
            worker_detach(router, i);
            w->present = false;
            worker_attach(router, i);
            worker_reclaim(router, i);
        }
    }
    g_hash_table_destroy(named);
}

/* Takes the live instances and shares each worker out again. */
void
PhRouter_SetInstances(PhRouter *router, const PhStr *ids, size_t count)
{
    bool found = false;
    g_ptr_array_set_size(router->instances, 0);
    for (size_t i = 0; i < count; i++) {
        found = found || PhStr_Equal(ids[i], router->options.instance);
        g_ptr_array_add(router->instances, PhStr_KeyCreate(ids[i]));
    }
    if (!found) {
        g_ptr_array_add(router->instances,
                        PhStr_KeyCreate(router->options.instance));
    }
    for (guint i = 0; i < router->workers->len; i++) {
        PhRoutedWorker *w = router_worker(router, i);
        if (w->present) {
            worker_detach(router, i);
            worker_share(router, w);
            worker_attach(router, i);
        }
    }
}

/* Finds a worker by its id. */
uint32_t
PhRouter_FindWorker(const PhRouter *router, PhStr id)
{
    guint known = GPOINTER_TO_UINT(g_hash_table_lookup(router->indexes, &id));
    return known == 0 ? PH_WORKER_NONE : known - 1;
}

/* Gives the id of a worker. */
PhStr
PhRouter_WorkerId(const PhRouter *router, uint32_t worker)
{
    return router_worker(router, worker)->id;
}

/* Gives the address of a worker. */
PhStr
PhRouter_WorkerAddress(const PhRouter *router, uint32_t worker)
{
    return router_worker(router, worker)->address;
}

/* Gives the connections that this instance may hold to a worker. */
uint32_t
PhRouter_ConnectionCap(const PhRouter *router, uint32_t worker)
{
    return router_worker(router, worker)->share;
}

/* Adds to the requests in flight at a worker, and frees an idle slot that is
 * no longer on the list. */
static void
worker_in_flight(PhRouter *router, uint32_t number, int by)
{
    PhRoutedWorker *w = router_worker(router, number);
    Ph_INVARIANT(PH_INVARIANT_QUEUE, by > 0 || w->in_flight > 0, "worker=%u",
                 number);
    w->in_flight += (uint32_t)by;
    for (guint i = 0; i < w->links->len; i++) {
        router_pool(router, worker_link(w, i)->pool)->in_flight +=
            (uint32_t)by;
    }
}

/* Notes that an attempt starts. */
void
PhRouter_Sent(PhRouter *router, uint32_t worker)
{
    PhRoutedWorker *w = router_worker(router, worker);
    Ph_INVARIANT(PH_INVARIANT_LEAVING, w->present && !w->leaving,
                 "worker=%.*s", PhStr_ARG(w->id));
    Ph_INVARIANT(PH_INVARIANT_QUEUE, w->in_flight < w->cap,
                 "worker=%.*s in_flight=%u cap=%u", PhStr_ARG(w->id),
                 w->in_flight, w->cap);
    worker_in_flight(router, worker, 1);
    if (w->outlier.state == PH_OUTLIER_HALF_OPEN) {
        w->outlier.probing = true;
    }
    PhRouter_Refresh(router, worker);
}

/* Tells whether every pool of the worker can do without it. */
static bool
ejection_allowed(const PhRouter *router, const PhRoutedWorker *w)
{
    enum {
        MOST_EJECTED_PERCENT = 30
    };
    if (!router->options.cooldown || !w->present || w->leaving ||
        w->cap == 0) {
        return false;
    }
    for (guint i = 0; i < w->links->len; i++) {
        const PhPool *pool = router_pool(router, worker_link(w, i)->pool);
        uint32_t most = pool->workers * MOST_EJECTED_PERCENT / 100;
        if (pool->workers < 2 || pool->ejected >= MAX(most, 1U)) {
            return false;
        }
    }
    return true;
}

/* Ejects a worker when its failures call for it and the bound allows. */
static PhRouterChange
worker_failed(PhRouter *router, uint32_t number, PhTime now)
{
    PhRoutedWorker *w = router_worker(router, number);
    PhOutlier_Failed(&w->outlier);
    w->outlier.probing = false;
    if (!PhOutlier_IsDue(&w->outlier) || !ejection_allowed(router, w)) {
        return PH_ROUTER_UNCHANGED;
    }
    pools_count(router, w, -1);
    PhOutlier_Eject(&w->outlier, router->options.random, now);
    pools_count(router, w, 1);
    g_array_append_val(router->cooling, number);
    router->next_wake = MIN(router->next_wake, w->outlier.until);
    return PH_ROUTER_EJECTED;
}

/* Learns a latency for the pair of worker and pool, and for the pool. */
static void
latency_learn(PhRouter *router, PhRoutedWorker *w, uint32_t number,
              PhTime latency, PhTime now)
{
    const double rise = 0.3;
    const double fall = 0.1;
    const double pool_weight = 0.02;
    PhPool *pool = router_pool(router, number);
    double sample = (double)latency;
    for (guint i = 0; i < w->links->len; i++) {
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

/* Learns how far the worker's latencies stand above their baseline. */
static void
limit_learn(PhRouter *router, PhRoutedWorker *w, PhPool *pool, PhTime latency,
            PhTime now)
{
    PhBaseline_Observe(&pool->baseline, (double)latency, now);
    if (pool->baseline.value > 0.0 &&
        PhLimit_Observe(&w->limit, (double)latency / pool->baseline.value,
                        now) &&
        w->counted) {
        worker_count(router, w, false);
        worker_count(router, w, true);
    }
}

/* Notes that an attempt ended, and what that says about the worker. */
PhRouterChange
PhRouter_Done(PhRouter *router, uint32_t worker, uint32_t pool,
              PhAttemptResult result, PhTime latency, PhTime now)
{
    PhRoutedWorker *w = router_worker(router, worker);
    PhRouterChange change = PH_ROUTER_UNCHANGED;
    worker_in_flight(router, worker, -1);
    switch (result) {
    case PH_ATTEMPT_SUCCEEDED:
        latency_learn(router, w, pool, latency, now);
        limit_learn(router, w, router_pool(router, pool), latency, now);
        if (PhOutlier_Succeeded(&w->outlier)) {
            change = PH_ROUTER_READMITTED;
        }
        break;
    case PH_ATTEMPT_FAILED:
        if (latency > PhRouter_MeanLatency(router, pool)) {
            latency_learn(router, w, pool, latency, now);
        }
        change = worker_failed(router, worker, now);
        break;
    case PH_ATTEMPT_CANCELLED:
        w->outlier.probing = false;
        break;
    }
    PhRouter_Refresh(router, worker);
    worker_reclaim(router, worker);
    return change;
}

/* Gives the mean latency of a pool. */
PhTime
PhRouter_MeanLatency(const PhRouter *router, uint32_t pool)
{
    return (PhTime)router_pool(router, pool)->mean_ns;
}

/* Gives a latency that nearly all answers of a pool stay below. */
PhTime
PhRouter_TailLatency(const PhRouter *router, uint32_t pool)
{
    const double deviations = 5.0;
    const PhPool *p = router_pool(router, pool);
    return (PhTime)(p->mean_ns + deviations * p->deviation_ns);
}

/* Tells when the next cooldown ends. */
PhTime
PhRouter_NextWake(const PhRouter *router)
{
    return router->next_wake;
}
