#include "room_watch.h"

#include "owners_sim_private.h"
#include "task_view.h"

static const PhTime DOWN_LIMIT = 6 * PH_NS_PER_S;
static const PhTime ROOM_LIMIT = 3 * PH_NS_PER_S;
enum {
    TWICE = 2,
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
    char state[PH_TASK_VIEW_SIZE]; /* newest line of the timeline */
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

/* Adds what has changed since the newest line. */
static void
timeline_add(PhGapWatch *gap, const PhOwnersSim *sim, const PhSimJob *job,
             unsigned index, int room)
{
    char state[PH_TASK_VIEW_SIZE];
    PhTaskView_Write(state, sim, job, index, room);
    if (strcmp(state, gap->state) != 0) {
        g_strlcpy(gap->state, state, PH_TASK_VIEW_SIZE);
        g_string_append_printf(gap->timeline, "#     +%.2f s %s\n",
                               PhTaskView_Seconds(sim->now - gap->since),
                               state);
        PhTaskView_AddLeases(gap->timeline, sim, job, index);
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
        int64_t count = PhTaskView_CountRoom(&sim->workers[i],
                                             (draining >> i & 1U) != 0, kind);
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
                               PhTaskView_Seconds(now - gap->since));
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
            job->id, PhTaskView_Seconds(gap->since - PH_OWNERS_START),
            PhTaskView_Seconds(sim->now - gap->since), gap->timeline->str);
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
