#include "rest_watch.h"

#include "owners_sim_private.h"
#include "task_view.h"

static const PhTime LASTING_DOWN_LIMIT = 6 * PH_NS_PER_S;
enum {
    TWICE = 2,
    PERCENT = 100,
    HALF_PERCENT = 50,
    CONTACT_MS = 3000,    /* until faults have no effect on cancels */
    GONE_MS = 3000 + 400, /* of a cancel, and of the stop */
};

/* A job or a lasting task that waits, until it runs again. */
typedef struct PhRestWait {
    PhTime since;      /* it last ran, or was due */
    PhTime room_since; /* there has been room all the time; 0: none now */
    bool counted;
    char state[PH_TASK_VIEW_SIZE]; /* newest line of the timeline */
    GString *timeline;
} PhRestWait;

struct PhRestWatch {
    GHashTable *waits; /* PhRestWait by PhSimTask, or by the PhSimJob of the
                          first step */
    PhTime calm_from;
    PhTime asked_at; /* waits from then on count */
    PhRestFigures figures;
};

static void
wait_destroy(gpointer value)
{
    PhRestWait *wait = value;
    g_string_free(wait->timeline, TRUE);
    g_free(wait);
}

static void
watch_begin(PhOwnersSim *sim, int64_t from_ms, int64_t asked_ms)
{
    PhRestWatch *watch = g_new0(PhRestWatch, 1);
    watch->waits = g_hash_table_new_full(NULL, NULL, NULL, wait_destroy);
    watch->calm_from = PH_OWNERS_START + from_ms * PH_NS_PER_MS;
    watch->asked_at = PH_OWNERS_START + asked_ms * PH_NS_PER_MS;
    watch->figures.timeline = g_string_new(NULL);
    sim->rest = watch;
}

void
PhOwnersSim_WatchRest(PhOwnersSim *sim)
{
    int64_t calm_ms = PhOwnersSim_CalmFrom(sim);
    watch_begin(sim, calm_ms, calm_ms + PH_REST_ASKED_MS);
}

void
PhOwnersSim_WatchWaits(PhOwnersSim *sim, int64_t from_ms)
{
    watch_begin(sim, from_ms, from_ms);
}

void
PhRestWatch_Destroy(PhRestWatch *watch)
{
    if (watch != NULL) {
        g_hash_table_destroy(watch->waits);
        g_string_free(watch->figures.timeline, TRUE);
        g_free(watch);
    }
}

const PhRestFigures *
PhOwnersSim_RestFigures(const PhOwnersSim *sim)
{
    return &sim->rest->figures;
}

unsigned
PhRestFigures_Found(const PhRestFigures *f)
{
    return f->idle_jobs + f->lasting_tasks + f->kept_tasks + f->false_ends;
}

/* Whether a task has ended `done`, and the end is either known to the owner or
 * still listed by its worker. */
static bool
task_is_done(const PhOwnersSim *sim, const PhSimJob *job, unsigned index)
{
    const PhSimTask *task = &job->tasks[index];
    if (task->done == 0 || task->acknowledged) {
        return task->done != 0;
    }
    const PhSchedTask *known = PhTaskView_Task(sim, job, index);
    if (known != NULL && known->state == PH_SCHED_TASK_DONE) {
        return true;
    }
    for (int i = 0; i < sim->worker_count; i++) {
        if (PhSimWorker_ListsDone(&sim->workers[i], job, index)) {
            return true;
        }
    }
    return false;
}

/* One end `done` stands for all members of a gang. */
static bool
step_is_done(const PhOwnersSim *sim, const PhSimJob *job)
{
    for (unsigned i = 0; i < job->count && job->kind.gang; i++) {
        if (task_is_done(sim, job, i)) {
            return true;
        }
    }
    for (unsigned i = 0; i < job->count; i++) {
        if (!task_is_done(sim, job, i)) {
            return false;
        }
    }
    return true;
}

/* Returns the share of the CPU of the workers that may be used. */
static int
percent_in_use(const PhOwnersSim *sim)
{
    int64_t all = 0;
    int64_t left = 0;
    for (int i = 0; i < sim->worker_count; i++) {
        const PhSimWorker *h = &sim->workers[i];
        if (h->alive && h->listed && !h->draining) {
            all += h->capacity.cpu_milli;
            left += PhSimWorker_Free(h).cpu_milli;
        }
    }
    return all == 0 ? PERCENT : (int)(PERCENT * (all - left) / all);
}

/* Whether there is room for a task twice over, on all workers together; for a
 * gang, all its members count.  Sets the worker that has the most. */
static bool
has_room(const PhOwnersSim *sim, const PhSimJob *job, int *room)
{
    int64_t total = 0;
    int64_t most = 0;
    *room = -1;
    for (int i = 0; i < sim->worker_count; i++) {
        const PhSimWorker *h = &sim->workers[i];
        int64_t count = PhTaskView_CountRoom(h, h->draining, &job->kind);
        total += count;
        if (count > most) {
            most = count;
            *room = i;
        }
    }
    return total >= TWICE * (int64_t)(job->kind.gang ? job->count : 1);
}

static PhRestWait *
wait_begin(PhRestWatch *watch, const void *key, PhTime since)
{
    PhRestWait *wait = g_hash_table_lookup(watch->waits, key);
    if (wait == NULL) {
        wait = g_new0(PhRestWait, 1);
        wait->since = since;
        wait->timeline = g_string_new(NULL);
        g_hash_table_insert(watch->waits, (gpointer)key, wait);
    }
    return wait;
}

/* Ends a wait; its timeline is kept if it was counted. */
static void
wait_end(PhRestWatch *watch, const PhOwnersSim *sim, const void *key)
{
    PhRestWait *wait = g_hash_table_lookup(watch->waits, key);
    if (wait != NULL && wait->counted) {
        g_string_append_printf(
            watch->figures.timeline, "%s#     +%.2f s over\n",
            wait->timeline->str,
            PhTaskView_Seconds(sim->now - watch->calm_from));
    }
    g_hash_table_remove(watch->waits, key);
}

void
PhOwnersSim_EndWatch(PhOwnersSim *sim)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, sim->rest->waits);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const PhRestWait *wait = value;
        if (wait->counted) {
            g_string_append_printf(
                sim->rest->figures.timeline, "%s#     +%.2f s still waits\n",
                wait->timeline->str,
                PhTaskView_Seconds(sim->now - sim->rest->calm_from));
        }
    }
}

/* Adds what has changed since the newest line. */
static void
timeline_add(PhRestWatch *watch, PhRestWait *wait, const PhOwnersSim *sim,
             const PhSimJob *job, unsigned index, int room)
{
    char state[PH_TASK_VIEW_SIZE];
    PhTaskView_Write(state, sim, job, index, room);
    if (wait->timeline->len == 0) {
        g_string_append_printf(
            wait->timeline,
            "#   task %u of step %u of job %s%s, waits since %+.2f s of the "
            "calm at %.2f s, run %u times, done %d:\n",
            index, job->step, job->id,
            job->kind.long_running ? " is to last" : "",
            PhTaskView_Seconds(wait->since - watch->calm_from),
            PhTaskView_Seconds(watch->calm_from - PH_OWNERS_START),
            job->tasks[index].starts, job->tasks[index].done != 0);
    }
    if (strcmp(state, wait->state) != 0) {
        g_strlcpy(wait->state, state, PH_TASK_VIEW_SIZE);
        g_string_append_printf(wait->timeline, "#     +%.2f s %s\n",
                               PhTaskView_Seconds(sim->now - watch->calm_from),
                               state);
        PhTaskView_AddLeases(wait->timeline, sim, job, index);
    }
}

/* Adds that a wait was counted, and what limits the owner's starts. */
static void
wait_note(const PhRestWatch *watch, PhRestWait *wait, const PhOwnersSim *sim)
{
    int owner = PhOwnersSim_Owner(sim);
    g_string_append_printf(
        wait->timeline, "#     +%.2f s counted, %d%% of the CPU in use",
        PhTaskView_Seconds(sim->now - watch->calm_from), percent_in_use(sim));
    if (owner >= 0) {
        PhOrderLoad load =
            PhScheduler_OrderLoad(sim->instances[owner].scheduler);
        g_string_append_printf(
            wait->timeline,
            "; %u of %u starts outstanding, delay %.2f s, backlog %u",
            load.outstanding, load.limit, PhTaskView_Seconds(load.delay),
            load.backlog);
    }
    g_string_append(wait->timeline, "\n");
}

/* Counts a wait that is too long. */
static void
wait_check(PhRestWatch *watch, PhRestWait *wait, const PhOwnersSim *sim,
           bool room, unsigned *counter)
{
    PhTime limit = PH_REST_WAIT_MS * PH_NS_PER_MS;
    wait->room_since = !room                   ? 0
                       : wait->room_since == 0 ? sim->now
                                               : wait->room_since;
    if (!room || sim->now - wait->room_since < limit) {
        return;
    }
    watch->figures.rest_from = sim->now - watch->calm_from;
    if (!wait->counted &&
        sim->now - MAX(wait->room_since, watch->asked_at) >= limit) {
        wait->counted = true;
        ++*counter;
        wait_note(watch, wait, sim);
    }
}

/* A task that is to last, and does not run. */
static void
lasting_tick(PhRestWatch *watch, const PhOwnersSim *sim, const PhSimJob *job,
             unsigned index)
{
    const PhSimTask *task = &job->tasks[index];
    if (task->running > 0 || job->cancelled_at != 0) {
        wait_end(watch, sim, task);
        return;
    }
    int room;
    PhRestWait *wait =
        wait_begin(watch, task, task->ran_at > 0 ? task->ran_at : sim->now);
    bool has = has_room(sim, job, &room) &&
               sim->now - wait->since >= LASTING_DOWN_LIMIT;
    timeline_add(watch, wait, sim, job, index, room);
    wait_check(watch, wait, sim, has, &watch->figures.lasting_tasks);
}

static bool
step_runs(const PhSimJob *job)
{
    for (unsigned i = 0; i < job->count; i++) {
        if (job->tasks[i].running > 0) {
            return true;
        }
    }
    return false;
}

/* Returns the first task of a step that may run now, or -1. */
static int
find_due(const PhOwnersSim *sim, const PhSimJob *job)
{
    if ((job->before != NULL && !step_is_done(sim, job->before)) ||
        step_is_done(sim, job)) {
        return -1;
    }
    for (unsigned i = 0; i < job->count; i++) {
        if (!task_is_done(sim, job, i)) {
            return (int)i;
        }
    }
    return -1;
}

/* A job of which nothing runs.  `first` is the number of its first step, `end`
 * that after its last. */
static void
job_tick(PhRestWatch *watch, const PhOwnersSim *sim, guint first, guint end)
{
    const PhSimJob *key = g_ptr_array_index(sim->tasks.jobs, first);
    bool quiet = key->cancelled_at != 0;
    for (guint i = first; i < end; i++) {
        const PhSimJob *job = g_ptr_array_index(sim->tasks.jobs, i);
        quiet |= step_runs(job) || PhSimJob_HasFailed(job);
    }
    for (guint i = first; i < end && !quiet; i++) {
        const PhSimJob *job = g_ptr_array_index(sim->tasks.jobs, i);
        int due = find_due(sim, job);
        if (due >= 0) {
            int room;
            PhRestWait *wait = wait_begin(watch, key, sim->now);
            bool has = has_room(sim, job, &room) &&
                       percent_in_use(sim) < HALF_PERCENT;
            timeline_add(watch, wait, sim, job, (unsigned)due, room);
            wait_check(watch, wait, sim, has, &watch->figures.idle_jobs);
            return;
        }
    }
    wait_end(watch, sim, key);
}

/* A task of a cancelled job that runs on.  A late start counts from its
 * execution. */
static void
cancelled_tick(PhRestWatch *watch, const PhOwnersSim *sim, const PhSimJob *job,
               unsigned index)
{
    PhTime contact = CONTACT_MS * PH_NS_PER_MS;
    const PhSimTask *task = &job->tasks[index];
    if (task->running == 0) {
        wait_end(watch, sim, task);
        return;
    }
    PhRestWait *wait = wait_begin(watch, task, job->cancelled_at);
    PhTime since = MAX(job->cancelled_at,
                       MAX(watch->calm_from, task->started_at) + contact);
    timeline_add(watch, wait, sim, job, index, -1);
    if (!wait->counted && sim->now - since > GONE_MS * PH_NS_PER_MS) {
        wait->counted = true;
        watch->figures.kept_tasks++;
        wait_note(watch, wait, sim);
    }
}

/* Counts a job that the owner shows as over without cause. */
static void
state_check(PhRestWatch *watch, const PhOwnersSim *sim, guint first, guint end)
{
    const PhSimJob *key = g_ptr_array_index(sim->tasks.jobs, first);
    const PhSchedTask *known = PhTaskView_Task(sim, key, 0);
    if (known == NULL) {
        return;
    }
    bool done = true;
    bool failed = false;
    for (guint i = first; i < end; i++) {
        const PhSimJob *job = g_ptr_array_index(sim->tasks.jobs, i);
        done &= step_is_done(sim, job);
        failed |= PhSimJob_HasFailed(job);
    }
    PhSchedJobState state = known->stage->job->durable_state;
    bool is_false =
        (state == PH_SCHED_JOB_COMPLETED && !done) ||
        (state == PH_SCHED_JOB_FAILED && !failed) ||
        (state == PH_SCHED_JOB_CANCELLED && key->cancelled_at == 0);
    if (is_false) {
        PhRestWait *wait = wait_begin(watch, key, sim->now);
        timeline_add(watch, wait, sim, key, 0, -1);
        if (!wait->counted) {
            wait->counted = true;
            watch->figures.false_ends++;
            wait_note(watch, wait, sim);
        }
    }
}

static void
job_check(PhRestWatch *watch, const PhOwnersSim *sim, guint first, guint end)
{
    job_tick(watch, sim, first, end);
    state_check(watch, sim, first, end);
    for (guint n = first; n < end; n++) {
        const PhSimJob *job = g_ptr_array_index(sim->tasks.jobs, n);
        for (unsigned k = 0; k < job->count; k++) {
            if (job->cancelled_at != 0) {
                cancelled_tick(watch, sim, job, k);
            }
            else if (job->kind.long_running) {
                lasting_tick(watch, sim, job, k);
            }
        }
    }
}

void
PhRestWatch_Tick(PhRestWatch *watch, const PhOwnersSim *sim)
{
    const GPtrArray *jobs = sim->tasks.jobs;
    if (sim->now < watch->calm_from) {
        return;
    }
    for (guint i = 0; i < jobs->len;) {
        guint first = i++;
        while (i < jobs->len &&
               ((const PhSimJob *)g_ptr_array_index(jobs, i))->step > 0) {
            i++;
        }
        job_check(watch, sim, first, i);
    }
}
