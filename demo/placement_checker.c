#include "peridothill/demo/placement_checker.h"

#include <inttypes.h>

enum {
    NAME_BYTES = 64
};

/* The latest observation of a task. */
typedef struct PhObservedTask {
    uint64_t round; /* of PhPlacementChecker_Observe */
    uint32_t incarnation;
    int worker;
} PhObservedTask;

struct PhPlacementChecker {
    PhDemoCluster *cluster;
    PhVerdicts *verdicts;
    uint64_t round;
    GHashTable *observed; /* PhObservedTask by PhStr "JOB/INDEX" */
};

PhPlacementChecker *
PhPlacementChecker_Create(PhDemoCluster *cluster, PhVerdicts *verdicts)
{
    PhPlacementChecker *w = g_new0(PhPlacementChecker, 1);
    w->cluster = cluster;
    w->verdicts = verdicts;
    w->observed = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                        PhStr_KeyDestroy, g_free);
    return w;
}

void
PhPlacementChecker_Destroy(PhPlacementChecker *checker)
{
    if (checker == NULL) {
        return;
    }
    g_hash_table_destroy(checker->observed);
    g_free(checker);
}

/* Checks a run against earlier observations of its task. */
static void
observe_run(PhPlacementChecker *w, int worker, const PhWorkerRun *r)
{
    char text[NAME_BYTES];
    g_snprintf(text, sizeof(text), "%" PRIu64 "/%u", r->run.job, r->run.index);
    PhStr name = PhStr_FromC(text);
    PhObservedTask *observed = g_hash_table_lookup(w->observed, &name);
    if (observed == NULL) {
        observed = g_new0(PhObservedTask, 1);
        *observed = (PhObservedTask){.incarnation = r->run.incarnation,
                                     .worker = worker};
        g_hash_table_insert(w->observed, PhStr_KeyCreate(name), observed);
    }
    PhVerdicts_Check(w->verdicts, PH_INVARIANT_ONE_PLACE,
                     observed->round != w->round, name);
    bool once = r->run.incarnation > observed->incarnation ||
                (r->run.incarnation == observed->incarnation &&
                 worker == observed->worker);
    if (r->run.incarnation > 1) {
        PhVerdicts_Check(w->verdicts, PH_INVARIANT_RESUME_ONCE, once, name);
    }
    *observed = (PhObservedTask){.round = w->round,
                                 .incarnation = r->run.incarnation,
                                 .worker = worker};
}

static void
observe_worker(PhPlacementChecker *w, int worker, PhTime now)
{
    PhStandinWorkerState *state = PhDemoCluster_Worker(w->cluster, worker);
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

void
PhPlacementChecker_Observe(PhPlacementChecker *checker, PhTime now)
{
    checker->round++;
    for (int i = 0; i < PH_DEMO_WORKERS; i++) {
        observe_worker(checker, i, now);
    }
}
