/* Gangs at the workers of the owners simulation: the members of one run work
 * once all of them are present, and end together. */
#include "owners_worker.h"

enum {
    GANG_WAIT_MS = 3000, /* of a member, for the others */
};

/* The members of one run that are present. */
typedef struct PhSimGang {
    PhSimWorker *workers;
    int worker_count;
    PhSimTasks *tasks;
    PhSimJob *job;
    PhTime now;
} PhSimGang;

static unsigned
count_members(const PhSimGang *g, uint32_t run)
{
    unsigned count = 0;
    for (int i = 0; i < g->worker_count; i++) {
        for (guint k = 0; k < g->workers[i].runs->len; k++) {
            const PhSimRun *r =
                &g_array_index(g->workers[i].runs, PhSimRun, k);
            count += r->job == g->job && r->run == run;
        }
    }
    return count;
}

/* All members end when the first one to be drawn does, and as it does. */
static void
gang_begin(const PhSimGang *g, uint32_t run)
{
    PhSimRun drawn = {.job = g->job};
    g->job->gang_run = run;
    for (int i = 0; i < g->worker_count; i++) {
        for (guint k = 0; k < g->workers[i].runs->len; k++) {
            PhSimRun *r = &g_array_index(g->workers[i].runs, PhSimRun, k);
            if (r->job != g->job || r->run != run) {
                continue;
            }
            bool is_first = drawn.works_from == 0;
            if (is_first) {
                drawn.saved_ms = r->saved_ms;
                PhSimRun_Draw(&drawn, g->tasks, g->now);
            }
            r->works_from = g->now;
            /* One of them fails; the others are broken then. */
            if (is_first || drawn.ends_as == PH_SCHED_END_DONE) {
                r->ends_at = drawn.ends_at;
                r->ends_as = drawn.ends_as;
            }
        }
    }
}

static void
member_tick(const PhSimGang *g, PhSimWorker *h, guint i)
{
    const PhSimRun *r = &g_array_index(h->runs, PhSimRun, i);
    bool complete = count_members(g, r->run) == g->job->count;
    if (complete && r->works_from == 0) {
        gang_begin(g, r->run);
    }
    else if (!complete && r->works_from != 0) {
        PhSimWorker_EndRun(h, g->tasks, i, PH_SCHED_END_GANG_BROKEN, g->now);
    }
    else if (r->works_from == 0 &&
             g->now - r->started_at >= GANG_WAIT_MS * PH_NS_PER_MS) {
        PhSimWorker_EndRun(h, g->tasks, i, PH_SCHED_END_GANG_INCOMPLETE,
                           g->now);
    }
}

void
PhSimGangs_Tick(PhSimWorker *workers, int count, PhSimTasks *tasks, PhTime now)
{
    for (int i = 0; i < count; i++) {
        PhSimWorker *h = &workers[i];
        for (guint k = h->runs->len; k-- > 0;) {
            PhSimJob *job = g_array_index(h->runs, PhSimRun, k).job;
            if (job->kind.gang) {
                PhSimGang g = {workers, count, tasks, job, now};
                member_tick(&g, h, k);
            }
        }
    }
}
