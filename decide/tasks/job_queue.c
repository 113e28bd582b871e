#include "job_queue.h"

typedef struct PhDelayed {
    PhTime at;
    uint64_t job;
    uint32_t index;
} PhDelayed;

struct PhJobQueue {
    GTree *ordered;     /* PhQueuedJob, owned, in scheduling order */
    GHashTable *by_job; /* &number to PhQueuedJob */
    GSequence *delayed; /* PhDelayed by time */
};

static gint
int64_compare(int64_t a, int64_t b)
{
    return (a > b) - (a < b);
}

/* Scheduling order: class, priority, latest start, age. */
static gint
queued_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
    const PhQueuedJob *left = a;
    const PhQueuedJob *right = b;
    (void)unused;
    gint by_class = int64_compare(left->class, right->class);
    if (by_class != 0) {
        return by_class;
    }
    gint by_priority = int64_compare(right->priority, left->priority);
    if (by_priority != 0) {
        return by_priority;
    }
    gint by_time =
        int64_compare(left->latest_start_ms, right->latest_start_ms);
    if (by_time != 0) {
        return by_time;
    }
    return (left->number > right->number) - (left->number < right->number);
}

static gint
delayed_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    return int64_compare(((const PhDelayed *)a)->at,
                         ((const PhDelayed *)b)->at);
}

static void
queued_destroy(gpointer value)
{
    PhQueuedJob *job = value;
    g_array_free(job->indices, TRUE);
    g_free(job);
}

PhJobQueue *
PhJobQueue_Create(void)
{
    PhJobQueue *queue = g_new0(PhJobQueue, 1);
    queue->ordered =
        g_tree_new_full(queued_compare, NULL, NULL, queued_destroy);
    queue->by_job = g_hash_table_new(g_int64_hash, g_int64_equal);
    queue->delayed = g_sequence_new(g_free);
    return queue;
}

void
PhJobQueue_Destroy(PhJobQueue *queue)
{
    g_hash_table_destroy(queue->by_job);
    g_tree_destroy(queue->ordered);
    g_sequence_free(queue->delayed);
    g_free(queue);
}

void
PhJobQueue_Clear(PhJobQueue *queue)
{
    g_hash_table_remove_all(queue->by_job);
    g_tree_remove_all(queue->ordered);
    g_sequence_remove_range(g_sequence_get_begin_iter(queue->delayed),
                            g_sequence_get_end_iter(queue->delayed));
}

/* Finds or adds the entry of a job. */
static PhQueuedJob *
queued_job_of(PhJobQueue *queue, const PhJob *job)
{
    PhQueuedJob *queued = PhJobQueue_Find(queue, job->number);
    if (queued != NULL) {
        return queued;
    }
    queued = g_new0(PhQueuedJob, 1);
    queued->number = job->number;
    queued->class = job->spec.class;
    queued->priority = job->spec.priority;
    queued->latest_start_ms = job->spec.deadline_ms > 0
                                  ? job->spec.deadline_ms - job->spec.run_ms
                                  : G_MAXINT64;
    queued->team = job->spec.team;
    queued->indices = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_tree_insert(queue->ordered, queued, queued);
    g_hash_table_insert(queue->by_job, &queued->number, queued);
    return queued;
}

void
PhJobQueue_Add(PhJobQueue *queue, const PhJob *job, uint32_t index, PhTime at)
{
    if (at > 0) {
        PhDelayed delayed = {.at = at, .job = job->number, .index = index};
        g_sequence_insert_sorted(queue->delayed,
                                 g_memdup2(&delayed, sizeof(delayed)),
                                 delayed_compare, NULL);
        return;
    }
    g_array_append_val(queued_job_of(queue, job)->indices, index);
}

void
PhJobQueue_AddJob(PhJobQueue *queue, const PhJob *job)
{
    if (job->tasks == NULL || job->waiting == 0) {
        return;
    }
    for (uint32_t i = job->spec.count; i > 0; i--) {
        if (job->tasks[i - 1].state == PH_JOB_TASK_WAITING) {
            PhJobQueue_Add(queue, job, i - 1, 0);
        }
    }
}

bool
PhJobQueue_QueueDue(PhJobQueue *queue, const PhJobState *state, PhTime now)
{
    bool woken = false;
    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(queue->delayed);
        if (g_sequence_iter_is_end(first)) {
            return woken;
        }
        PhDelayed delayed = *(const PhDelayed *)g_sequence_get(first);
        if (delayed.at > now) {
            return woken;
        }
        g_sequence_remove(first);
        const PhJob *job = PhJobState_Job(state, delayed.job);
        if (job != NULL && job->tasks != NULL &&
            job->tasks[delayed.index].state == PH_JOB_TASK_WAITING) {
            PhJobQueue_Add(queue, job, delayed.index, 0);
            woken = true;
        }
    }
}

void
PhJobQueue_Remove(PhJobQueue *queue, uint64_t number)
{
    PhQueuedJob *queued = PhJobQueue_Find(queue, number);
    if (queued != NULL) {
        g_hash_table_remove(queue->by_job, &number);
        g_tree_remove(queue->ordered, queued);
    }
}

PhQueuedJob *
PhJobQueue_Find(const PhJobQueue *queue, uint64_t number)
{
    return g_hash_table_lookup(queue->by_job, &number);
}

PhQueuedJob *
PhJobQueue_Next(const PhJobQueue *queue, const PhQueuedJob *after)
{
    GTreeNode *node = after == NULL
                          ? g_tree_node_first(queue->ordered)
                          : g_tree_upper_bound(queue->ordered, after);
    return node == NULL ? NULL : g_tree_node_value(node);
}

uint32_t
PhJobQueue_PopTask(PhJobQueue *queue, PhQueuedJob *job)
{
    guint last = job->indices->len - 1;
    uint32_t index = g_array_index(job->indices, uint32_t, last);
    g_array_set_size(job->indices, last);
    if (last == 0) {
        PhJobQueue_Remove(queue, job->number);
    }
    return index;
}
