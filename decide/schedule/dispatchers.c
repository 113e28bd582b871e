#include "peridothill/decide/schedule/dispatchers.h"

#include <glib.h>

/* An instance without a hello for this long gets no starts. */
static const PhTime HELLO_AGE_MAX = 1200 * PH_NS_PER_MS;
static const PhTime SHUNNED_TIME = 3 * PH_NS_PER_S;
/* The jobs of one generation; those of the one before are remembered too. */
static const guint JOBS_MAX = 2048;
/* Another dispatcher is sent the specification of a job if all that have it
 * have this many times as much outstanding as the least one. */
static const double SPREAD_FACTOR = 2;
enum {
    OUTSTANDING_SPREAD_MIN = 16, /* fewer are no reason to do so */
    STRENGTH_FACTOR = 2, /* instances with less CPU than the strongest by this
                            factor do not dispatch */
    /* Hellos also come from an instance that no start reaches. */
    UNANSWERED_MAX = 3,
};

typedef struct PhDispatcher {
    PhStr id;
    uint64_t number; /* of its newest hello */
    uint64_t cpu_milli;
    uint32_t outstanding;
    uint32_t unanswered; /* starts that timed out with no outcome of any start
                            since they were sent */
    PhTime hello_at;
    PhTime outcome_at; /* newest one */
    PhTime shunned_until;
    bool leaving;
    bool chosen; /* one of PH_DISPATCHERS_MAX */
} PhDispatcher;

/* A job, and the instances that have its specification. */
typedef struct PhDispatchedJob {
    PhStr id;
    GPtrArray *instances; /* PhStr * */
} PhDispatchedJob;

struct PhDispatchers {
    GHashTable *all;      /* PhDispatcher by id */
    GHashTable *jobs;     /* PhDispatchedJob by id */
    GHashTable *old_jobs; /* the generation before */
};

static void
dispatcher_destroy(gpointer value)
{
    PhDispatcher *x = value;
    PhStr_Clear(&x->id);
    g_free(x);
}

static void
job_destroy(gpointer value)
{
    PhDispatchedJob *job = value;
    PhStr_Clear(&job->id);
    g_ptr_array_free(job->instances, TRUE);
    g_free(job);
}

static GHashTable *
jobs_create(void)
{
    return g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                 job_destroy);
}

PhDispatchers *
PhDispatchers_Create(void)
{
    PhDispatchers *d = g_new0(PhDispatchers, 1);
    d->all = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                   dispatcher_destroy);
    d->jobs = jobs_create();
    d->old_jobs = jobs_create();
    return d;
}

void
PhDispatchers_Destroy(PhDispatchers *d)
{
    if (d == NULL) {
        return;
    }
    g_hash_table_destroy(d->all);
    g_hash_table_destroy(d->jobs);
    g_hash_table_destroy(d->old_jobs);
    g_free(d);
}

static bool
is_alive(const PhDispatcher *x, PhTime now)
{
    return x->number > 0 && !x->leaving && now - x->hello_at <= HELLO_AGE_MAX;
}

/* Chooses anew who dispatches: those that do already, then others, none of
 * them far weaker than the strongest. */
static void
choose(PhDispatchers *d, PhTime now)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t strongest = 0;
    unsigned count = 0;
    g_hash_table_iter_init(&iter, d->all);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PhDispatcher *x = value;
        strongest =
            is_alive(x, now) ? MAX(strongest, x->cpu_milli) : strongest;
    }
    g_hash_table_iter_init(&iter, d->all);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhDispatcher *x = value;
        x->chosen &=
            is_alive(x, now) && x->cpu_milli * STRENGTH_FACTOR >= strongest;
        count += x->chosen;
    }
    g_hash_table_iter_init(&iter, d->all);
    while (count < PH_DISPATCHERS_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        PhDispatcher *x = value;
        if (!x->chosen && is_alive(x, now) &&
            x->cpu_milli * STRENGTH_FACTOR >= strongest) {
            x->chosen = true;
            count++;
        }
    }
}

static gboolean
is_gone(gpointer key, gpointer value, gpointer now)
{
    const PhDispatcher *x = value;
    (void)key;
    return *(const PhTime *)now - x->hello_at > 2 * SHUNNED_TIME;
}

void
PhDispatchers_OnHello(PhDispatchers *d, PhStr instance, uint64_t number,
                      uint64_t cpu_milli, bool leaving, PhTime now)
{
    PhDispatcher *x = g_hash_table_lookup(d->all, &instance);
    bool again = x != NULL && is_alive(x, now) && !leaving && number > 0;
    if (x == NULL) {
        x = g_new0(PhDispatcher, 1);
        x->id = PhStr_Dup(instance);
        g_hash_table_insert(d->all, &x->id, x);
    }
    x->number = number;
    x->cpu_milli = cpu_milli;
    x->leaving = leaving;
    x->hello_at = now;
    if (!again) {
        g_hash_table_foreach_remove(d->all, is_gone, &now);
        choose(d, now);
    }
}

static bool
is_usable(const PhDispatcher *x, PhTime now)
{
    return x->chosen && is_alive(x, now) && now >= x->shunned_until;
}

static double
load_of(const PhDispatcher *x)
{
    return ((double)x->outstanding + 1) / (double)MAX(x->cpu_milli, 1);
}

static PhDispatcher *
least_loaded(const PhDispatchers *d, PhTime now)
{
    PhDispatcher *best = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, d->all);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhDispatcher *x = value;
        if (is_usable(x, now) && (best == NULL || load_of(x) < load_of(best) ||
                                  (load_of(x) == load_of(best) &&
                                   PhStr_Compare(x->id, best->id) < 0))) {
            best = x;
        }
    }
    return best;
}

bool
PhDispatchers_AreUsable(const PhDispatchers *d, PhTime now)
{
    return least_loaded(d, now) != NULL;
}

static PhDispatchedJob *
job_find(const PhDispatchers *d, PhStr id)
{
    PhDispatchedJob *job = g_hash_table_lookup(d->jobs, &id);
    return job != NULL ? job : g_hash_table_lookup(d->old_jobs, &id);
}

static bool
job_is_at(const PhDispatchedJob *job, PhStr instance)
{
    for (guint i = 0; i < job->instances->len; i++) {
        if (PhStr_Equal(*(const PhStr *)g_ptr_array_index(job->instances, i),
                        instance)) {
            return true;
        }
    }
    return false;
}

void
PhDispatchers_OnPayload(PhDispatchers *d, PhStr id, PhStr instance)
{
    PhDispatchedJob *job = job_find(d, id);
    if (job == NULL) {
        if (g_hash_table_size(d->jobs) >= JOBS_MAX) {
            g_hash_table_destroy(d->old_jobs);
            d->old_jobs = d->jobs;
            d->jobs = jobs_create();
        }
        job = g_new0(PhDispatchedJob, 1);
        job->id = PhStr_Dup(id);
        job->instances = g_ptr_array_new_with_free_func(PhStr_KeyDestroy);
        g_hash_table_replace(d->jobs, &job->id, job);
    }
    if (!job_is_at(job, instance)) {
        g_ptr_array_add(job->instances, PhStr_KeyCreate(instance));
    }
}

/* The least loaded of the usable instances that have the specification. */
static PhDispatcher *
least_loaded_with(const PhDispatchers *d, const PhDispatchedJob *job,
                  PhTime now)
{
    PhDispatcher *best = NULL;
    for (guint i = 0; job != NULL && i < job->instances->len; i++) {
        PhDispatcher *x =
            g_hash_table_lookup(d->all, g_ptr_array_index(job->instances, i));
        if (x != NULL && is_usable(x, now) &&
            (best == NULL || load_of(x) < load_of(best))) {
            best = x;
        }
    }
    return best;
}

PhDispatch
PhDispatchers_Take(PhDispatchers *d, PhStr id, PhTime now)
{
    PhDispatcher *least = least_loaded(d, now);
    if (least == NULL) {
        return (PhDispatch){0};
    }
    PhDispatcher *own = least_loaded_with(d, job_find(d, id), now);
    bool stay =
        own != NULL && (own->outstanding < OUTSTANDING_SPREAD_MIN ||
                        load_of(own) <= SPREAD_FACTOR * load_of(least));
    PhDispatcher *x = stay ? own : least;
    if (!stay) {
        PhDispatchers_OnPayload(d, id, x->id);
    }
    x->outstanding++;
    return (PhDispatch){
        .instance = x->id, .hello = x->number, .has_payload = stay};
}

void
PhDispatchers_OnLateOutcome(PhDispatchers *d, PhStr instance, PhTime now)
{
    PhDispatcher *x = g_hash_table_lookup(d->all, &instance);
    if (x != NULL) {
        x->unanswered = 0;
        x->outcome_at = now;
    }
}

void
PhDispatchers_OnOutcome(PhDispatchers *d, PhStr instance, PhTime now)
{
    PhDispatcher *x = g_hash_table_lookup(d->all, &instance);
    if (x != NULL) {
        x->outstanding -= x->outstanding > 0;
        PhDispatchers_OnLateOutcome(d, instance, now);
    }
}

bool
PhDispatchers_OnTimeout(PhDispatchers *d, PhStr instance, PhTime sent_at,
                        PhTime now)
{
    PhDispatcher *x = g_hash_table_lookup(d->all, &instance);
    if (x == NULL) {
        return false;
    }
    x->outstanding -= x->outstanding > 0;
    if (x->outcome_at >= sent_at) {
        return false;
    }
    x->unanswered++;
    if (x->hello_at >= sent_at && x->unanswered < UNANSWERED_MAX) {
        return false;
    }
    bool first = now >= x->shunned_until;
    x->shunned_until = now + SHUNNED_TIME;
    return first;
}

void
PhDispatchers_OnNotSent(PhDispatchers *d, PhStr job, bool silent)
{
    if (silent) {
        return;
    }
    g_hash_table_remove(d->jobs, &job);
    g_hash_table_remove(d->old_jobs, &job);
}

void
PhDispatchers_Reset(PhDispatchers *d)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_remove_all(d->jobs);
    g_hash_table_remove_all(d->old_jobs);
    g_hash_table_iter_init(&iter, d->all);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhDispatcher *x = value;
        x->outstanding = 0;
        x->unanswered = 0;
    }
}
