#include "task_view.h"

#include "owners_sim_private.h"

int64_t
PhTaskView_CountRoom(const PhSimWorker *h, bool draining,
                     const PhSimTaskKind *kind)
{
    if (!h->alive || !h->listed || draining) {
        return 0;
    }
    PhSchedResources left = PhSimWorker_Free(h);
    int64_t count = kind->resources.mem_mb == 0
                        ? INT32_MAX
                        : left.mem_mb / kind->resources.mem_mb;
    if (!kind->fills) {
        count = MIN(count, left.cpu_milli / kind->resources.cpu_milli);
    }
    return MAX(count, 0);
}

/* How the owner sees a worker. */
static const char *
worker_view(const PhSchedWorker *w, const PhSimTaskKind *kind, PhTime now)
{
    const PhSchedResources *c = &w->entry.capacity;
    bool full = w->used.cpu_milli + kind->resources.cpu_milli > c->cpu_milli ||
                w->used.mem_mb + kind->resources.mem_mb > c->mem_mb;
    return w->dead                   ? "dead"
           : !w->listed              ? "not listed"
           : !w->fenced              ? "not held"
           : w->suspended            ? "suspended"
           : w->failing_since != 0   ? "failing"
           : w->entry.draining       ? "draining"
           : w->cooldown_until > now ? "in cooldown"
           : full                    ? "full"
           : w->failures->len > 0    ? "free, runs failed in a row"
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

const PhSchedTask *
PhTaskView_Task(const PhOwnersSim *sim, const PhSimJob *job, unsigned index)
{
    int owner = PhOwnersSim_Owner(sim);
    PhSchedTaskName name = {
        .job = PhStr_FromC(job->id), .step = job->step, .index = index};
    return owner < 0 ? NULL
                     : PhSchedModel_Task(
                           PhScheduler_Model(sim->instances[owner].scheduler),
                           &name);
}

void
PhTaskView_Write(char *text, const PhOwnersSim *sim, const PhSimJob *job,
                 unsigned index, int room)
{
    int owner = PhOwnersSim_Owner(sim);
    if (owner < 0) {
        g_strlcpy(text, "no owner", PH_TASK_VIEW_SIZE);
        return;
    }
    const PhSimInstance *m = &sim->instances[owner];
    PhSchedModel *model = PhScheduler_Model(m->scheduler);
    const PhSchedTask *task = PhTaskView_Task(sim, job, index);
    char at[PH_TASK_VIEW_SIZE / 2] = "";
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
    g_snprintf(text, PH_TASK_VIEW_SIZE, "%s: %s%s; room at %s (%s)", m->name,
               task == NULL ? "not known" : task_view(task), at,
               room < 0 ? "none" : sim->workers[room].id,
               w == NULL ? "not known" : worker_view(w, &job->kind, sim->now));
}

double
PhTaskView_Seconds(PhTime span)
{
    return (double)span / (double)PH_NS_PER_S;
}

void
PhTaskView_AddLeases(GString *timeline, const PhOwnersSim *sim,
                     const PhSimJob *job, unsigned index)
{
    const PhSchedTask *task = PhTaskView_Task(sim, job, index);
    if (task == NULL || task->worker == NULL || task->worker->listed) {
        return;
    }
    const PhSchedWorker *w = task->worker;
    g_string_append_printf(timeline,
                           "#            leases for %.2f s, evidence %d",
                           PhTaskView_Seconds(w->leases.until - sim->now),
                           (int)w->leases.evidence);
    if (w->suspended) {
        g_string_append_printf(timeline,
                               ", suspended, bound of %.2f s read %.2f s ago",
                               PhTaskView_Seconds(w->lease_expiry_bound),
                               PhTaskView_Seconds(sim->now - w->bound_at));
    }
    if (w->leaving_at > 0) {
        g_string_append_printf(timeline, ", leave read %.2f s ago",
                               PhTaskView_Seconds(sim->now - w->leaving_at));
    }
    g_string_append(timeline, "\n");
}
