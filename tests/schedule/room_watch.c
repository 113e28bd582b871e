#include "room_watch.h"

#include "owners_sim_private.h"

static const PhTime DOWN_LIMIT = 6 * PH_NS_PER_S;
static const PhTime ROOM_LIMIT = 3 * PH_NS_PER_S;
enum {
    TWICE = 2,
    STATE_SIZE = 160,
    SAMPLE_MS = 500,
};

/* The time that a task is without a run, until it has one again. */
typedef struct PhGapWatch {
    PhTime since;                             /* it last ran */
    PhTime room_since[PH_OWNERS_WORKERS_MAX]; /* 0: no room there now */
    PhTime some_room_since;
    PhTime spread_room_since;
    PhTime sampled_room_since;
    bool lasting; /* it has been counted */
    bool each_moment;
    bool spread;
    bool sampled;
    char state[STATE_SIZE]; /* newest line of the timeline */
    GString *timeline;
} PhGapWatch;

struct PhRoomWatch {
    GHashTable *gaps; /* PhGapWatch by PhSimTask */
    PhRoomFigures figures;
    PhTime owned_at;
};

static void
gap_destroy(gpointer value)
{
    PhGapWatch *gap = value;
    g_string_free(gap->timeline, TRUE);
    g_free(gap);
}

PhRoomWatch *
PhRoomWatch_Create(void)
{
    PhRoomWatch *watch = g_new0(PhRoomWatch, 1);
    watch->gaps = g_hash_table_new_full(NULL, NULL, NULL, gap_destroy);
    watch->figures.timeline = g_string_new(NULL);
    return watch;
}

void
PhRoomWatch_Destroy(PhRoomWatch *watch)
{
    g_hash_table_destroy(watch->gaps);
    g_string_free(watch->figures.timeline, TRUE);
    g_free(watch);
}

const PhRoomFigures *
PhRoomWatch_Figures(const PhRoomWatch *watch)
{
    return &watch->figures;
}

/* How often a task fits on a worker that may be used. */
static int64_t
count_room(const PhSimWorker *h, bool draining, const PhSimTaskKind *kind)
{
    if (!h->alive || !h->listed || draining) {
        return 0;
    }
    PhSchedResources left = PhSimWorker_Free(h);
    int64_t count = left.mem_mb / MAX(kind->resources.mem_mb, 1);
    if (!kind->fills) {
        count = MIN(count, left.cpu_milli / kind->resources.cpu_milli);
    }
    return MAX(count, 0);
}

static void
since_set(PhTime *since, bool holds, PhTime now)
{
    *since = !holds ? 0 : *since == 0 ? now : *since;
}

/* Counts a violation once for each gap. */
static bool
limit_check(bool *counted, PhTime since, PhTime now)
{
    if (*counted || since == 0 || now - since < ROOM_LIMIT) {
        return false;
    }
    *counted = true;
    return true;
}

/* How the owner sees a worker. */
static const char *
worker_view(const PhSchedWorker *w, const PhSimTaskKind *kind, PhTime now)
{
    const PhSchedResources *c = &w->entry.capacity;
    bool full = w->used.cpu_milli + kind->resources.cpu_milli > c->cpu_milli ||
                w->used.mem_mb + kind->resources.mem_mb > c->mem_mb;
    return w->dead                       ? "dead"
           : !w->listed                  ? "not listed"
           : !w->fenced                  ? "not held"
           : w->suspended                ? "suspended"
           : w->failing_since != 0       ? "failing"
           : w->entry.draining           ? "draining"
           : w->cooldown_until > now     ? "in cooldown"
           : full                        ? "full"
           : w->consecutive_failures > 0 ? "free, after failures"
                                         : "free";
}

static const char *
task_view(const PhSchedTask *task)
{
    switch (task->state) {
    case PH_SCHED_TASK_WAITING:
        return "waiting";
    case PH_SCHED_TASK_ASSIGNED:
        return task->starts_sent == 0    ? "assigned"
               : task->start_in_flight   ? "start sent"
               : task->start_unconfirmed ? "start unanswered"
                                         : "start refused";
    case PH_SCHED_TASK_RUNNING:
        return task->stopping ? "stopping" : "running";
    case PH_SCHED_TASK_DONE:
        break;
    }
    return "done";
}

/* Describes what the owner knows of a task and of a worker with room for it,
 * -1 for none. */
static void
state_write(char *text, const PhOwnersSim *sim, const PhSimJob *job,
            unsigned index, int room)
{
    int owner = PhOwnersSim_Owner(sim);
    if (owner < 0) {
        g_strlcpy(text, "no owner", STATE_SIZE);
        return;
    }
    const PhSimInstance *m = &sim->instances[owner];
    PhSchedModel *model = PhScheduler_Model(m->scheduler);
    PhSchedTaskName name = {.job = PhStr_FromC(job->id), .index = index};
    const PhSchedTask *task = PhSchedModel_Task(model, &name);
    char at[STATE_SIZE / 2] = "";
    if (task != NULL && task->worker != NULL) {
        g_snprintf(at, sizeof(at), " at %.*s (%s)",
                   (int)task->worker->entry.id.len,
                   task->worker->entry.id.data,
                   worker_view(task->worker, &job->kind, sim->now));
    }
    const PhSchedWorker *w =
        room < 0 ? NULL
                 : PhSchedModel_NewestIncarnation(
                       model, PhStr_FromC(sim->workers[room].id));
    g_snprintf(text, STATE_SIZE, "%s: %s%s; room at %s (%s)", m->name,
               task == NULL ? "not known" : task_view(task), at,
               room < 0 ? "none" : sim->workers[room].id,
               w == NULL ? "not known" : worker_view(w, &job->kind, sim->now));
}

static double
seconds(PhTime span)
{
    return (double)span / (double)PH_NS_PER_S;
}

/* Adds what the owner knows of the leases of the worker that a task is placed
 * on. */
static void
lease_add(GString *timeline, const PhOwnersSim *sim, const PhSimJob *job,
          unsigned index)
{
    int owner = PhOwnersSim_Owner(sim);
    if (owner < 0) {
        return;
    }
    PhSchedTaskName name = {.job = PhStr_FromC(job->id), .index = index};
    const PhSchedTask *task = PhSchedModel_Task(
        PhScheduler_Model(sim->instances[owner].scheduler), &name);
    if (task == NULL || task->worker == NULL || task->worker->listed) {
        return;
    }
    const PhSchedWorker *w = task->worker;
    g_string_append_printf(
        timeline, "#            leases for %.2f s, evidence %d",
        seconds(w->leases.until - sim->now), (int)w->leases.evidence);
    if (w->suspended) {
        g_string_append_printf(
            timeline, ", suspended, bound of %.2f s read %.2f s ago",
            seconds(w->lease_expiry_bound), seconds(sim->now - w->bound_at));
    }
    if (w->leaving_at > 0) {
        g_string_append_printf(timeline, ", leave read %.2f s ago",
                               seconds(sim->now - w->leaving_at));
    }
    g_string_append(timeline, "\n");
}

/* Adds what has changed since the newest line. */
static void
timeline_add(PhGapWatch *gap, const PhOwnersSim *sim, const PhSimJob *job,
             unsigned index, int room)
{
    char state[STATE_SIZE];
    state_write(state, sim, job, index, room);
    if (strcmp(state, gap->state) != 0) {
        g_strlcpy(gap->state, state, STATE_SIZE);
        g_string_append_printf(gap->timeline, "#     +%.2f s %s\n",
                               seconds(sim->now - gap->since), state);
        lease_add(gap->timeline, sim, job, index);
    }
}

/* Looks for room for a task that is down.  Returns the worker where it has
 * been for longest, or -1. */
static int
room_look(PhGapWatch *gap, const PhOwnersSim *sim, const PhSimTaskKind *kind,
          unsigned draining)
{
    int longest = -1;
    int64_t total = 0;
    bool some = false;
    for (int i = 0; i < sim->worker_count; i++) {
        int64_t count =
            count_room(&sim->workers[i], (draining >> i & 1U) != 0, kind);
        total += count;
        some |= count >= TWICE;
        since_set(&gap->room_since[i], count >= TWICE, sim->now);
        if (gap->room_since[i] > 0 &&
            (longest < 0 || gap->room_since[i] < gap->room_since[longest])) {
            longest = i;
        }
    }
    since_set(&gap->some_room_since, some, sim->now);
    since_set(&gap->spread_room_since, total >= TWICE, sim->now);
    if (PhOwnersSim_ElapsedMs(sim) % SAMPLE_MS == 0) {
        since_set(&gap->sampled_room_since, total >= TWICE, sim->now);
    }
    return longest;
}

static void
gap_check(PhRoomWatch *watch, PhGapWatch *gap, const PhOwnersSim *sim,
          const PhSimJob *job, unsigned index, unsigned draining)
{
    PhTime now = sim->now;
    PhRoomFigures *f = &watch->figures;
    int room = -1;
    if (now - gap->since >= DOWN_LIMIT) {
        room = room_look(gap, sim, &job->kind, draining);
    }
    timeline_add(gap, sim, job, index, room);
    f->longest_gap = MAX(f->longest_gap, now - gap->since);
    f->spread += limit_check(&gap->spread, gap->spread_room_since, now);
    if (PhOwnersSim_ElapsedMs(sim) % SAMPLE_MS == 0) {
        f->sampled += limit_check(&gap->sampled, gap->sampled_room_since, now);
    }
    f->each_moment +=
        limit_check(&gap->each_moment, gap->some_room_since, now);
    if (room >= 0 && limit_check(&gap->lasting, gap->room_since[room], now)) {
        f->lasting++;
        g_string_append_printf(gap->timeline, "#     +%.2f s counted\n",
                               seconds(now - gap->since));
    }
}

/* Ends a gap; its timeline is kept if it was counted. */
static void
gap_end(PhRoomWatch *watch, const PhOwnersSim *sim, const PhSimJob *job,
        unsigned index, const PhGapWatch *gap)
{
    if (gap->lasting) {
        g_string_append_printf(
            watch->figures.timeline,
            "#   task %u of job %s, down at %.2f s for %.2f s:\n%s", index,
            job->id, seconds(gap->since - PH_OWNERS_START),
            seconds(sim->now - gap->since), gap->timeline->str);
    }
}

static void
task_tick(PhRoomWatch *watch, const PhOwnersSim *sim, const PhSimJob *job,
          unsigned index, unsigned draining)
{
    PhSimTask *task = &job->tasks[index];
    PhGapWatch *gap = g_hash_table_lookup(watch->gaps, task);
    if (task->running > 0) {
        if (gap != NULL) {
            gap_end(watch, sim, job, index, gap);
            g_hash_table_remove(watch->gaps, task);
        }
        return;
    }
    if (task->ran_at == 0) {
        return;
    }
    if (gap == NULL) {
        gap = g_new0(PhGapWatch, 1);
        gap->since = task->ran_at;
        gap->timeline = g_string_new(NULL);
        g_hash_table_insert(watch->gaps, task, gap);
        watch->figures.gaps++;
    }
    gap_check(watch, gap, sim, job, index, draining);
}

void
PhRoomWatch_Tick(PhRoomWatch *watch, const PhOwnersSim *sim, unsigned draining)
{
    PhRoomFigures *f = &watch->figures;
    if (PhOwnersSim_Owner(sim) >= 0 || watch->owned_at == 0) {
        watch->owned_at = sim->now;
    }
    f->longest_vacancy = MAX(f->longest_vacancy, sim->now - watch->owned_at);
    for (guint i = 0; i < sim->tasks.jobs->len; i++) {
        const PhSimJob *job = g_ptr_array_index(sim->tasks.jobs, i);
        for (unsigned k = 0; k < job->count && job->kind.long_running; k++) {
            task_tick(watch, sim, job, k, draining);
        }
    }
}
