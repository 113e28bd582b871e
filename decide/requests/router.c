#include "router_internal.h"

#include "peridothill/decide/requests/subset.h"

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
    router->free_indexes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    router->pools = g_ptr_array_new();
    router->pool_numbers = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                                 PhStr_KeyDestroy, NULL);
    router->instances = g_ptr_array_new_with_free_func(PhStr_KeyDestroy);
    g_ptr_array_add(router->instances, PhStr_KeyCreate(options->instance));
    router->ejected_workers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    router->next_cooldown_end = PH_TIME_NEVER;
    return router;
}

static void
links_clear(PhRoutedWorker *w)
{
    if (w->links != w->inline_links) {
        g_free(w->links);
    }
    w->links = w->inline_links;
    w->link_count = 0;
}

/* The first MAX_INLINE_LINKS links are stored in the worker itself, further
 * ones on the heap. */
static void
links_add(PhRoutedWorker *w, uint32_t pool)
{
    PhPoolLink link = {.pool = pool, .position = POSITION_NONE};
    uint32_t count = w->link_count + 1;
    if (count == MAX_INLINE_LINKS + 1) {
        w->links = g_memdup2(w->inline_links, sizeof(w->inline_links));
    }
    if (count > MAX_INLINE_LINKS) {
        w->links = g_renew(PhPoolLink, w->links, count);
    }
    w->links[w->link_count] = link;
    w->link_count = count;
}

static void
worker_clear(PhRoutedWorker *w)
{
    PhStr_Clear(&w->id);
    PhStr_Clear(&w->address);
    PhStr_Clear(&w->data_centre);
    PhStr_Clear(&w->services);
    links_clear(w);
    *w = (PhRoutedWorker){0};
}

static void
pool_destroy(PhPool *pool)
{
    PhStr_Clear(&pool->service);
    for (int list = 0; list < POOL_LIST_COUNT; list++) {
        g_array_free(pool->available[list], TRUE);
    }
    g_free(pool);
}

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
    g_array_free(router->free_indexes, TRUE);
    g_ptr_array_free(router->pools, TRUE);
    g_hash_table_destroy(router->pool_numbers);
    g_ptr_array_free(router->instances, TRUE);
    g_array_free(router->ejected_workers, TRUE);
    g_free(router);
}

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
    for (int list = 0; list < POOL_LIST_COUNT; list++) {
        pool->available[list] =
            g_array_new(FALSE, FALSE, sizeof(PhAvailableWorker));
    }
    g_ptr_array_add(router->pools, pool);
    g_hash_table_insert(router->pool_numbers, PhStr_KeyCreate(service),
                        GUINT_TO_POINTER(router->pools->len));
    return router->pools->len - 1;
}

static void
worker_link_services(PhRouter *router, PhRoutedWorker *w, PhStr services)
{
    if (PhStr_Equal(w->services, services)) {
        return;
    }
    PhStr_Clear(&w->services);
    w->services = PhStr_Dup(services);
    links_clear(w);
    PhStr rest = services;
    while (rest.len > 0) {
        PhStr name;
        PhStr_Cut(rest, ' ', &name, &rest);
        if (name.len > 0) {
            links_add(w, PhRouter_Pool(router, name));
        }
    }
}

/* Fills `ids` with the live instances and returns the index of this one. */
static size_t
instance_index(const PhRouter *router, PhStr *ids)
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

/* Computes this instance's share of a worker's connections. */
static void
worker_share(PhRouter *router, PhRoutedWorker *w)
{
    PhStr *ids = g_new(PhStr, router->instances->len);
    size_t self = instance_index(router, ids);
    PhSubsetShare counted_slots = PhSubset_Share(w->id, w->connections, ids,
                                                 router->instances->len, self);
    w->share = counted_slots.connections;
    /* One connection is reserved for commands to the worker. */
    w->cap = counted_slots.connections > 1 ? counted_slots.connections - 1
                                           : counted_slots.connections;
    if (!router->options.connection_limit) {
        w->cap = UINT32_MAX;
    }
    w->sharing_instances = counted_slots.sharing_instances;
    g_free(ids);
}

/* Returns the index of a worker, allocating one for a new id. */
static uint32_t
worker_index(PhRouter *router, PhStr id)
{
    uint32_t number = PhRouter_FindWorker(router, id);
    if (number != PH_WORKER_NONE) {
        return number;
    }
    if (router->free_indexes->len > 0) {
        guint last = router->free_indexes->len - 1;
        number = g_array_index(router->free_indexes, uint32_t, last);
        g_array_set_size(router->free_indexes, last);
    }
    else {
        number = router->workers->len;
        g_ptr_array_add(router->workers, g_new0(PhRoutedWorker, 1));
    }
    PhRoutedWorker *w = router_worker(router, number);
    w->id = PhStr_Dup(id);
    w->links = w->inline_links;
    w->limit = PhLimit_Make();
    g_hash_table_insert(router->indexes, PhStr_KeyCreate(id),
                        GUINT_TO_POINTER(number + 1));
    return number;
}

static void
str_replace(PhStr *to, PhStr from)
{
    if (!PhStr_Equal(*to, from)) {
        PhStr_Clear(to);
        *to = PhStr_Dup(from);
    }
}

static void
worker_update(PhRouter *router, const PhWorkerRow *row)
{
    uint32_t number = worker_index(router, row->id);
    PhRoutedWorker *w = router_worker(router, number);
    PhRouter_Detach(router, number);
    str_replace(&w->address, row->address);
    str_replace(&w->data_centre, row->data_centre);
    worker_link_services(router, w, row->services);
    w->slots = row->slots;
    w->connections = row->connections;
    w->present = true;
    w->leaving = row->leaving;
    worker_share(router, w);
    PhRouter_Attach(router, number);
}

/* Frees the index of a worker that has left the list and has no request in
 * flight. */
void
PhRouter_Reclaim(PhRouter *router, uint32_t number)
{
    PhRoutedWorker *w = router_worker(router, number);
    if (w->present || w->in_flight > 0 || PhStr_IsEmpty(w->id)) {
        return;
    }
    for (guint i = 0; i < router->ejected_workers->len; i++) {
        if (g_array_index(router->ejected_workers, uint32_t, i) == number) {
            g_array_remove_index_fast(router->ejected_workers, i);
            break;
        }
    }
    g_hash_table_remove(router->indexes, &w->id);
    worker_clear(w);
    g_array_append_val(router->free_indexes, number);
}

/* Updates the listed workers and removes those that are no longer listed. */
void
PhRouter_SetWorkers(PhRouter *router, const PhWorkerRow *rows, size_t count)
{
    GHashTable *listed = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (size_t i = 0; i < count; i++) {
        worker_update(router, &rows[i]);
        g_hash_table_add(
            listed, GUINT_TO_POINTER(PhRouter_FindWorker(router, rows[i].id)));
    }
    for (guint i = 0; i < router->workers->len; i++) {
        PhRoutedWorker *w = router_worker(router, i);
        if (w->present &&
            !g_hash_table_contains(listed, GUINT_TO_POINTER(i))) {
            PhRouter_Detach(router, i);
            w->present = false;
            PhRouter_Attach(router, i);
            PhRouter_Reclaim(router, i);
        }
    }
    g_hash_table_destroy(listed);
}

/* Recomputes this instance's share of every worker. */
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
            PhRouter_Detach(router, i);
            worker_share(router, w);
            PhRouter_Attach(router, i);
        }
    }
}

uint32_t
PhRouter_FindWorker(const PhRouter *router, PhStr id)
{
    guint known = GPOINTER_TO_UINT(g_hash_table_lookup(router->indexes, &id));
    return known == 0 ? PH_WORKER_NONE : known - 1;
}

PhStr
PhRouter_WorkerId(const PhRouter *router, uint32_t worker)
{
    return router_worker(router, worker)->id;
}

PhStr
PhRouter_WorkerAddress(const PhRouter *router, uint32_t worker)
{
    return router_worker(router, worker)->address;
}

uint32_t
PhRouter_ConnectionCap(const PhRouter *router, uint32_t worker)
{
    return router_worker(router, worker)->share;
}

PhTime
PhRouter_MeanLatency(const PhRouter *router, uint32_t pool)
{
    return (PhTime)router_pool(router, pool)->mean_ns;
}

PhTime
PhRouter_TailLatency(const PhRouter *router, uint32_t pool)
{
    const double deviations = 5.0;
    const PhPool *p = router_pool(router, pool);
    return (PhTime)(p->mean_ns + deviations * p->deviation_ns);
}

PhTime
PhRouter_NextCooldownEnd(const PhRouter *router)
{
    return router->next_cooldown_end;
}
