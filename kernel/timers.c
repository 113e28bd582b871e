#include "peridothill/kernel/timers.h"

#include <xxhash.h>

typedef struct PhTimer {
    PhTaskRef owner;
    uint64_t token;
    PhTime at;
    uint64_t sequence;
    GSequenceIter *iter; /* position in PhTimers.order */
} PhTimer;

struct PhTimers {
    GSequence *order;     /* PhTimer by (at, sequence) */
    GHashTable *by_token; /* PhTimer by (owner, token); owns the timers */
    uint64_t next_sequence;
};

static guint
timer_hash(gconstpointer key)
{
    const PhTimer *t = key;
    uint64_t words[2] = {((uint64_t)t->owner.slot << 32) | t->owner.generation,
                         t->token};
    return (guint)XXH3_64bits(words, sizeof(words));
}

static gboolean
timer_equal(gconstpointer a, gconstpointer b)
{
    const PhTimer *x = a;
    const PhTimer *y = b;
    return PhTaskRef_Equal(x->owner, y->owner) && x->token == y->token;
}

/* Timers with equal expiry times fire in the order they were set. */
static gint
timer_order(gconstpointer a, gconstpointer b, gpointer unused)
{
    const PhTimer *x = a;
    const PhTimer *y = b;
    (void)unused;
    if (x->at != y->at) {
        return x->at < y->at ? -1 : 1;
    }
    return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

PhTimers *
PhTimers_Create(void)
{
    PhTimers *timers = g_new0(PhTimers, 1);
    timers->order = g_sequence_new(NULL);
    timers->by_token =
        g_hash_table_new_full(timer_hash, timer_equal, NULL, g_free);
    return timers;
}

void
PhTimers_Destroy(PhTimers *timers)
{
    g_sequence_free(timers->order);
    g_hash_table_destroy(timers->by_token);
    g_free(timers);
}

static void
timer_remove(PhTimers *timers, PhTimer *t)
{
    g_sequence_remove(t->iter);
    g_hash_table_remove(timers->by_token, t);
}

void
PhTimers_Set(PhTimers *timers, PhTaskRef owner, uint64_t token, PhTime at)
{
    PhTimers_Cancel(timers, owner, token);
    PhTimer *t = g_new0(PhTimer, 1);
    t->owner = owner;
    t->token = token;
    t->at = at;
    t->sequence = timers->next_sequence++;
    t->iter = g_sequence_insert_sorted(timers->order, t, timer_order, NULL);
    g_hash_table_add(timers->by_token, t);
}

void
PhTimers_Cancel(PhTimers *timers, PhTaskRef owner, uint64_t token)
{
    PhTimer probe = {.owner = owner, .token = token};
    PhTimer *t = g_hash_table_lookup(timers->by_token, &probe);
    if (t != NULL) {
        timer_remove(timers, t);
    }
}

PhTime
PhTimers_Next(const PhTimers *timers)
{
    if (g_sequence_is_empty(timers->order)) {
        return PH_TIME_NEVER;
    }
    const PhTimer *t =
        g_sequence_get(g_sequence_get_begin_iter(timers->order));
    return t->at;
}

bool
PhTimers_Pop(PhTimers *timers, PhTime now, PhDueTimer *due)
{
    if (PhTimers_Next(timers) > now) {
        return false;
    }
    PhTimer *t = g_sequence_get(g_sequence_get_begin_iter(timers->order));
    *due = (PhDueTimer){.owner = t->owner, .token = t->token};
    timer_remove(timers, t);
    return true;
}
