#include "peridothill/demo/task_watch.h"

#include <inttypes.h>

enum {
    NAME_BYTES = 64
};

/* What was seen of a task: its latest incarnation, and where it ran. */
typedef struct PhSeenTask {
    uint64_t round; /* of the latest look that saw it */
    uint32_t incarnation;
    int worker;
} PhSeenTask;

struct PhTaskWatch {
    PhWorld *world;
    PhVerdicts *verdicts;
    uint64_t round;
    GHashTable *seen; /* PhSeenTask by PhStr "job/index" */
};

/* Creates a watch that has seen nothing. */
PhTaskWatch *
PhTaskWatch_Create(PhWorld *world, PhVerdicts *verdicts)
{
    PhTaskWatch *w = g_new0(PhTaskWatch, 1);
    w->world = world;
    w->verdicts = verdicts;
    w->seen = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                    PhStr_KeyDestroy, g_free);
    return w;
}

/* Releases the watch; NULL is allowed. */
void
PhTaskWatch_Destroy(PhTaskWatch *watch)
{
    if (watch == NULL) {
        return;
    }
    g_hash_table_destroy(watch->seen);
    g_free(watch);
}

/* Checks a run against what was seen of its task before. */
static void
observe_run(PhTaskWatch *w, int worker, const PhWorkerRun *r)
{
    char text[NAME_BYTES];
    g_snprintf(text, sizeof(text), "%" PRIu64 "/%u", r->run.job, r->run.index);
    PhStr name = PhStr_FromC(text);
    PhSeenTask *seen = g_hash_table_lookup(w->seen, &name);
    if (seen == NULL) {
        seen = g_new0(PhSeenTask, 1);
        *seen =
            (PhSeenTask){.incarnation = r->run.incarnation, .worker = worker};
        g_hash_table_insert(w->seen, PhStr_KeyCreate(name), seen);
    }
    PhVerdicts_Check(w->verdicts, PH_INVARIANT_ONE_PLACE,
                     seen->round != w->round, name);
    bool once =
        r->run.incarnation > seen->incarnation ||
        (r->run.incarnation == seen->incarnation && worker == seen->worker);
    if (r->run.incarnation > 1) {
        PhVerdicts_Check(w->verdicts, PH_INVARIANT_RESUME_ONCE, once, name);
    }
    *seen = (PhSeenTask){.round = w->round,
                         .incarnation = r->run.incarnation,
                         .worker = worker};
}

/* Looks at one worker. */
static void
observe_worker(PhTaskWatch *w, int worker, PhTime now)
{
    PhStandinWorkerState *state = PhWorld_Worker(w->world, worker);
    const GArray *runs = PhStandinTasks_Runs(state->tasks, now);
    PhJobSize used = {0};
    for (guint i = 0; i < runs->len; i++) {
        const PhWorkerRun *r = &g_array_index(runs, PhWorkerRun, i);
        used = PhJobSize_Add(used, r->size);
        observe_run(w, worker, r);
    }
    PhVerdicts_Check(w->verdicts, PH_INVARIANT_CAPACITY,
                     PhJobSize_Fits(used, PhStandinTasks_Size(state->tasks)),
                     state->id);
}

/* Looks at all workers at one moment. */
void
PhTaskWatch_Observe(PhTaskWatch *watch, PhTime now)
{
    watch->round++;
    for (int i = 0; i < PH_WORLD_WORKERS; i++) {
        observe_worker(watch, i, now);
    }
}
