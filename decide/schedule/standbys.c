/* The owner's choice of standbys. */
#include "peridothill/decide/schedule/owner_link.h"

/* An instance without a hello for this long is dropped. */
static const PhTime HELLO_TIMEOUT = 2000 * PH_NS_PER_MS;
/* A successor has sent a hello this recently. */
static const PhTime SUCCESSOR_HELLO_AGE_MAX = 1200 * PH_NS_PER_MS;
/* Instances that start together differ by less. */
static const PhTime START_SPREAD = 1 * PH_NS_PER_S;
/* A standby is replaced by an instance with this many times its CPU. */
static const uint64_t REPLACE_FACTOR = 2;

/* An instance that has sent a hello. */
typedef struct PhStandby {
    PhStr id;
    PhStr data_centre;
    uint64_t cpu_milli;
    PhTime started_at;
    PhTime last_hello_at;
    bool is_ready;
    bool is_leaving;
    bool is_standby;
} PhStandby;

struct PhStandbys {
    GHashTable *all; /* PhStandby by id */
};

static void
standby_destroy(gpointer value)
{
    PhStandby *x = value;
    PhStr_Clear(&x->id);
    PhStr_Clear(&x->data_centre);
    g_free(x);
}

PhStandbys *
PhStandbys_Create(void)
{
    PhStandbys *s = g_new0(PhStandbys, 1);
    s->all = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                   standby_destroy);
    return s;
}

/* Accepts NULL. */
void
PhStandbys_Destroy(PhStandbys *s)
{
    if (s == NULL) {
        return;
    }
    g_hash_table_destroy(s->all);
    g_free(s);
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer now)
{
    (void)key;
    return *(const PhTime *)now - ((const PhStandby *)value)->last_hello_at >
           HELLO_TIMEOUT;
}

/* The standbys, without the instance under consideration. */
typedef struct PhStandbySummary {
    guint count;
    guint same_centre; /* in the data centre of that instance */
    PhStandby *weakest;
} PhStandbySummary;

static PhStandbySummary
standbys_summarize(const PhStandbys *s, const PhStandby *candidate)
{
    PhStandbySummary f = {0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->all);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhStandby *x = value;
        if (!x->is_standby || x == candidate) {
            continue;
        }
        f.count++;
        f.same_centre += PhStr_Equal(x->data_centre, candidate->data_centre);
        if (f.weakest == NULL || x->cpu_milli < f.weakest->cpu_milli) {
            f.weakest = x;
        }
    }
    return f;
}

/* Reports whether a data centre without a standby has an instance with as much
 * CPU, which could be the standby instead. */
static bool
has_other_centre(const PhStandbys *s, const PhStandby *candidate)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->all);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PhStandby *x = value;
        if (!x->is_standby && x->cpu_milli >= candidate->cpu_milli &&
            !PhStr_Equal(x->data_centre, candidate->data_centre) &&
            standbys_summarize(s, x).same_centre == 0) {
            return true;
        }
    }
    return false;
}

static bool
should_be_standby(const PhStandbys *s, const PhStandby *candidate)
{
    PhStandbySummary f = standbys_summarize(s, candidate);
    if (f.count < PH_STANDBYS_MAX) {
        return f.same_centre == 0 || !has_other_centre(s, candidate);
    }
    if (candidate->cpu_milli >= REPLACE_FACTOR * f.weakest->cpu_milli) {
        f.weakest->is_standby = false;
        return true;
    }
    return false;
}

bool
PhStandbys_OnHello(PhStandbys *s, PhStr instance, PhStr data_centre,
                   const PhHello *hello, PhTime now)
{
    g_hash_table_foreach_remove(s->all, is_expired, &now);
    PhStandby *x = g_hash_table_lookup(s->all, &instance);
    if (x == NULL) {
        x = g_new0(PhStandby, 1);
        x->id = PhStr_Dup(instance);
        x->data_centre = PhStr_Dup(data_centre);
        g_hash_table_insert(s->all, &x->id, x);
    }
    x->cpu_milli = hello->cpu_milli;
    x->started_at = now - hello->uptime;
    x->is_ready = hello->ready;
    x->is_leaving = hello->leaving;
    x->last_hello_at = now;
    x->is_standby =
        !x->is_leaving && (x->is_standby || should_be_standby(s, x));
    return x->is_standby;
}

bool
PhStandbys_IsStandby(const PhStandbys *s, PhStr instance)
{
    const PhStandby *x = g_hash_table_lookup(s->all, &instance);
    return x != NULL && x->is_standby;
}

/* What divides the candidates: a successor has at least this CPU, and has
 * preferably started after this time. */
typedef struct PhSuccessorBounds {
    uint64_t cpu_milli;
    PhTime started_at;
} PhSuccessorBounds;

/* Reports whether `x` is the better successor; `y` may be NULL. */
static bool
is_better_successor(const PhStandby *x, const PhStandby *y,
                    const PhSuccessorBounds *bounds)
{
    bool x_is_strong = x->cpu_milli >= bounds->cpu_milli;
    bool x_is_newer = x->started_at > bounds->started_at;
    if (y == NULL) {
        return true;
    }
    if (x_is_strong != (y->cpu_milli >= bounds->cpu_milli)) {
        return x_is_strong;
    }
    if (x_is_newer != (y->started_at > bounds->started_at)) {
        return x_is_newer;
    }
    if (x->is_ready != y->is_ready) {
        return x->is_ready;
    }
    if (x->cpu_milli != y->cpu_milli) {
        return x->cpu_milli > y->cpu_milli;
    }
    return PhStr_Compare(x->id, y->id) < 0;
}

static bool
may_succeed(const PhStandby *x, PhTime now)
{
    return !x->is_leaving && now - x->last_hello_at <= SUCCESSOR_HELLO_AGE_MAX;
}

PhSuccessor
PhStandbys_ChooseSuccessor(PhStandbys *s, PhTime uptime, PhTime now)
{
    PhSuccessorBounds bounds = {.started_at = now - uptime + START_SPREAD};
    PhStandby *best = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->all);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PhStandby *x = value;
        if (may_succeed(x, now)) {
            bounds.cpu_milli =
                MAX(bounds.cpu_milli, x->cpu_milli / REPLACE_FACTOR);
        }
    }
    g_hash_table_iter_init(&iter, s->all);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhStandby *x = value;
        if (may_succeed(x, now) && is_better_successor(x, best, &bounds)) {
            best = x;
        }
    }
    if (best == NULL) {
        return (PhSuccessor){0};
    }
    PhSuccessor chosen = {.instance = best->id,
                          .ready = best->is_ready,
                          .is_new = !best->is_standby};
    best->is_standby = true;
    return chosen;
}

GArray *
PhStandbys_Instances(const PhStandbys *s, PhTime now)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(PhStr));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->all);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PhStandby *x = value;
        if (now - x->last_hello_at <= HELLO_TIMEOUT) {
            g_array_append_val(list, x->id);
        }
    }
    return list;
}
