#include "peridothill/decide/schedule/bindings.h"

#include <glib.h>

enum {
    /* Entries that nothing waits at are dropped beyond this number, and beyond
     * twice the number that were left the last time. */
    ENTRIES_MIN = 256,
};

/* An entry without a sign of life for this long is dropped.  Idle connections
 * are closed sooner. */
static const PhTime ENTRY_TIME = 60 * PH_NS_PER_S;

typedef struct PhBinding {
    PhStr worker;
    int64_t born_ms; /* of the incarnation that has answered */
    PhTime alive_at;
    GQueue waiting; /* numbers of orders */
    bool queried;   /* a query is in flight */
} PhBinding;

struct PhBindings {
    GHashTable *workers; /* PhBinding by id */
    guint limit;         /* of entries until some are dropped */
};

static void
binding_destroy(gpointer value)
{
    PhBinding *b = value;
    PhStr_Clear(&b->worker);
    g_queue_clear_full(&b->waiting, g_free);
    g_free(b);
}

PhBindings *
PhBindings_Create(void)
{
    PhBindings *bindings = g_new0(PhBindings, 1);
    bindings->workers = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                              NULL, binding_destroy);
    bindings->limit = ENTRIES_MIN;
    return bindings;
}

void
PhBindings_Destroy(PhBindings *bindings)
{
    if (bindings == NULL) {
        return;
    }
    g_hash_table_destroy(bindings->workers);
    g_free(bindings);
}

static gboolean
binding_is_old(gpointer key, gpointer value, gpointer newest)
{
    const PhBinding *b = value;
    (void)key;
    return !b->queried && b->waiting.length == 0 &&
           *(const PhTime *)newest - b->alive_at > ENTRY_TIME;
}

static PhBinding *
binding_find(PhBindings *bindings, PhStr worker)
{
    PhBinding *b = g_hash_table_lookup(bindings->workers, &worker);
    if (b == NULL) {
        b = g_new0(PhBinding, 1);
        b->worker = PhStr_Dup(worker);
        g_hash_table_insert(bindings->workers, &b->worker, b);
    }
    return b;
}

void
PhBindings_OnAnswer(PhBindings *bindings, PhStr worker, int64_t born_ms,
                    PhTime at)
{
    if (g_hash_table_size(bindings->workers) >= bindings->limit) {
        g_hash_table_foreach_remove(bindings->workers, binding_is_old, &at);
        bindings->limit =
            MAX(2 * g_hash_table_size(bindings->workers), ENTRIES_MIN);
    }
    PhBinding *b = binding_find(bindings, worker);
    if (b->born_ms != born_ms) {
        b->born_ms = born_ms;
        b->alive_at = at;
    }
    b->alive_at = MAX(b->alive_at, at);
}

PhTime
PhBindings_AliveAt(const PhBindings *bindings, PhStr worker, int64_t born_ms)
{
    const PhBinding *b = g_hash_table_lookup(bindings->workers, &worker);
    return b != NULL && b->born_ms == born_ms ? b->alive_at : 0;
}

bool
PhBindings_Wait(PhBindings *bindings, PhStr worker, uint64_t order)
{
    PhBinding *b = binding_find(bindings, worker);
    bool query = !b->queried;
    b->queried = true;
    g_queue_push_tail(&b->waiting, g_memdup2(&order, sizeof(order)));
    return query;
}

void
PhBindings_OnQueried(PhBindings *bindings, PhStr worker)
{
    PhBinding *b = g_hash_table_lookup(bindings->workers, &worker);
    if (b != NULL) {
        b->queried = false;
    }
}

uint64_t
PhBindings_TakeWaiting(PhBindings *bindings, PhStr worker)
{
    PhBinding *b = g_hash_table_lookup(bindings->workers, &worker);
    uint64_t *first = b == NULL ? NULL : g_queue_pop_head(&b->waiting);
    uint64_t order = first == NULL ? 0 : *first;
    g_free(first);
    return order;
}

unsigned
PhBindings_Waiting(const PhBindings *bindings, PhStr worker)
{
    const PhBinding *b = g_hash_table_lookup(bindings->workers, &worker);
    return b == NULL ? 0 : b->waiting.length;
}
