#include "peridothill/fakes/fake_worker.h"

#include "peridothill/common/random.h"

/* Usage from the time `at` until the next sample. */
typedef struct PhFakeUsageSample {
    PhTime at;
    PhFakeSize size;
} PhFakeUsageSample;

struct PhFakeWorker {
    PhFakeWorkerOptions options;
    PhRandom *random;
    PhTime now;
    PhTime *slot_free_at;            /* by slot */
    GHashTable *tasks;               /* PhFakeTask by id */
    GHashTable *newest_incarnations; /* uint64_t by id */
    GArray *ended;                   /* PhFakeTaskEnd not yet reported */
    GArray *samples;                 /* PhFakeUsageSample, oldest first */
};

PhFakeWorker *
PhFakeWorker_Create(const PhFakeWorkerOptions *options)
{
    PhFakeWorker *w = g_new0(PhFakeWorker, 1);
    w->options = *options;
    w->random = PhRandom_Create(options->seed);
    w->slot_free_at = g_new0(PhTime, MAX(options->slots, 1));
    w->tasks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    w->newest_incarnations =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    w->ended = g_array_new(FALSE, FALSE, sizeof(PhFakeTaskEnd));
    w->samples = g_array_new(FALSE, FALSE, sizeof(PhFakeUsageSample));
    return w;
}

void
PhFakeWorker_Destroy(PhFakeWorker *worker)
{
    g_free(worker->slot_free_at);
    g_hash_table_destroy(worker->tasks);
    g_hash_table_destroy(worker->newest_incarnations);
    g_array_free(worker->ended, TRUE);
    g_array_free(worker->samples, TRUE);
    PhRandom_Destroy(worker->random);
    g_free(worker);
}

PhFakeWorkerOptions *
PhFakeWorker_Options(PhFakeWorker *worker)
{
    return &worker->options;
}

/* Running tasks slow requests down by their noise. */
static PhTime
worker_service_time(PhFakeWorker *w)
{
    GHashTableIter i;
    gpointer value = NULL;
    double factor = 1;
    g_hash_table_iter_init(&i, w->tasks);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const PhFakeTask *t = value;
        factor += t->noise * t->speed;
    }
    if (w->options.interference > 0) {
        factor *= w->options.interference;
    }
    double mean = (double)w->options.service_mean * factor;
    double fixed = mean * w->options.service_fixed_share;
    return (PhTime)(fixed + PhRandom_Exponential(w->random, mean - fixed));
}

PhTime
PhFakeWorker_Serve(PhFakeWorker *worker, PhTime now, PhTime *begin)
{
    PhTime *slot = worker->slot_free_at;
    for (uint32_t i = 1; i < worker->options.slots; i++) {
        slot =
            worker->slot_free_at[i] < *slot ? &worker->slot_free_at[i] : slot;
    }
    PhTime start = MAX(now, *slot);
    *slot = start + worker_service_time(worker);
    if (begin != NULL) {
        *begin = start;
    }
    return *slot;
}

static PhFakeSize
worker_total_size(const PhFakeWorker *w, bool actual)
{
    GHashTableIter i;
    gpointer value = NULL;
    PhFakeSize sum = {0};
    g_hash_table_iter_init(&i, w->tasks);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const PhFakeTask *t = value;
        const PhFakeSize *size = actual ? &t->actual : &t->declared;
        sum.cpu_milli += size->cpu_milli;
        sum.memory_mb += size->memory_mb;
        sum.accelerators += size->accelerators;
    }
    return sum;
}

PhFakeSize
PhFakeWorker_Committed(const PhFakeWorker *worker)
{
    return worker_total_size(worker, false);
}

/* Records the usage from `at` on, for reports that lag. */
static void
worker_sample(PhFakeWorker *w, PhTime at)
{
    PhFakeUsageSample sample = {.at = at, .size = worker_total_size(w, true)};
    g_array_append_val(w->samples, sample);
}

/* Advances one task from `previous` to `now`; returns true if it ended. */
static bool
task_advance(PhFakeTask *t, PhTime previous, PhTime now, PhFakeTaskEnd *e)
{
    PhTime until = MIN(t->lease_until, now);
    double ran = (double)(until - previous) * t->speed;
    double left = (double)(t->work - t->progress);
    bool finished = t->work != PH_TIME_NEVER && ran >= left;
    t->progress = finished ? t->work : t->progress + (PhTime)ran;
    *e = (PhFakeTaskEnd){.task = *t,
                         .lease_expired = !finished,
                         .at = finished ? previous + (PhTime)(left / t->speed)
                                        : t->lease_until};
    return finished || t->lease_until <= now;
}

/* Advances all tasks to `now` and moves those that ended to `ended`. */
static void
worker_advance(PhFakeWorker *w, PhTime now)
{
    GHashTableIter i;
    gpointer value = NULL;
    guint before = w->ended->len;
    g_hash_table_iter_init(&i, w->tasks);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        PhFakeTaskEnd e;
        if (task_advance(value, w->now, now, &e)) {
            g_array_append_val(w->ended, e);
            g_hash_table_iter_remove(&i);
        }
    }
    w->now = now;
    if (w->ended->len != before) {
        worker_sample(w, now);
    }
}

static gint
ended_order(gconstpointer a, gconstpointer b)
{
    const PhFakeTaskEnd *x = a;
    const PhFakeTaskEnd *y = b;
    if (x->at != y->at) {
        return x->at < y->at ? -1 : 1;
    }
    return (x->task.id > y->task.id) - (x->task.id < y->task.id);
}

void
PhFakeWorker_Advance(PhFakeWorker *worker, PhTime now, GArray *ended)
{
    worker_advance(worker, now);
    g_array_sort(worker->ended, ended_order);
    g_array_append_vals(ended, worker->ended->data, worker->ended->len);
    g_array_set_size(worker->ended, 0);
}

const PhFakeTask *
PhFakeWorker_Find(const PhFakeWorker *worker, uint64_t id)
{
    return g_hash_table_lookup(worker->tasks, &id);
}

static bool
worker_fits(const PhFakeWorker *w, PhFakeSize size)
{
    PhFakeSize used = PhFakeWorker_Committed(w);
    PhFakeSize most = w->options.capacity;
    return used.cpu_milli + size.cpu_milli <= most.cpu_milli &&
           used.memory_mb + size.memory_mb <= most.memory_mb &&
           used.accelerators + size.accelerators <= most.accelerators;
}

static PhStatus
worker_start(PhFakeWorker *w, PhTime now, const PhFakeTask *task)
{
    const uint64_t *newest =
        g_hash_table_lookup(w->newest_incarnations, &task->id);
    const PhFakeTask *running = PhFakeWorker_Find(w, task->id);
    if (running != NULL && running->incarnation == task->incarnation) {
        return PH_STATUS_EXISTS;
    }
    if (running != NULL || (newest != NULL && *newest >= task->incarnation)) {
        return PH_STATUS_CONFLICT;
    }
    if (task->lease_until <= now) {
        return PH_STATUS_EXPIRED;
    }
    if (w->options.fails_starts) {
        return PH_STATUS_IO;
    }
    if (!worker_fits(w, task->declared)) {
        return PH_STATUS_FULL;
    }
    PhFakeTask *t = g_memdup2(task, sizeof(*task));
    t->speed = t->speed > 0 ? t->speed : 1;
    g_hash_table_insert(w->tasks, &t->id, t);
    g_hash_table_insert(w->newest_incarnations,
                        g_memdup2(&t->id, sizeof(t->id)),
                        g_memdup2(&t->incarnation, sizeof(t->incarnation)));
    worker_sample(w, now);
    return PH_STATUS_OK;
}

PhStatus
PhFakeWorker_Order(PhFakeWorker *worker, PhTime now, const PhFakeOrder *order)
{
    worker_advance(worker, now);
    PhFakeTask *t = g_hash_table_lookup(worker->tasks, &order->id);
    if (order->kind != PH_FAKE_START &&
        (t == NULL || t->incarnation != order->incarnation)) {
        return PH_STATUS_NOT_FOUND;
    }
    switch (order->kind) {
    case PH_FAKE_START:
        return worker_start(worker, now, &order->as.start);
    case PH_FAKE_RENEW:
        t->lease_until = MAX(t->lease_until, order->as.lease_until);
        break;
    case PH_FAKE_CHECKPOINT:
        t->checkpoint = t->progress;
        break;
    case PH_FAKE_THROTTLE:
        t->speed = order->as.speed;
        break;
    case PH_FAKE_STOP:
        g_hash_table_remove(worker->tasks, &order->id);
        worker_sample(worker, now);
        break;
    }
    return PH_STATUS_OK;
}

PhFakeSize
PhFakeWorker_Usage(PhFakeWorker *worker, PhTime now)
{
    PhTime at = now - worker->options.usage_lag;
    const PhFakeUsageSample *samples =
        (const PhFakeUsageSample *)worker->samples->data;
    guint sample_count = 0;
    while (sample_count < worker->samples->len &&
           samples[sample_count].at <= at) {
        sample_count++;
    }
    PhFakeSize size =
        sample_count > 0 ? samples[sample_count - 1].size : (PhFakeSize){0};
    if (sample_count > 1) {
        g_array_remove_range(worker->samples, 0, sample_count - 1);
    }
    return size;
}

void
PhFakeWorker_Restart(PhFakeWorker *worker, PhTime now)
{
    g_hash_table_remove_all(worker->tasks);
    g_hash_table_remove_all(worker->newest_incarnations);
    g_array_set_size(worker->ended, 0);
    for (uint32_t i = 0; i < worker->options.slots; i++) {
        worker->slot_free_at[i] = now;
    }
    worker->now = now;
    worker_sample(worker, now);
}
