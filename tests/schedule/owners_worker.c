#include "owners_host.h"

#include "tests/table.h"

enum {
    BRIEF_MS = 2500, /* run time of a short task */
    LEASE_MOST_MS = 10000,
    CLOCK_START_MS = 1000,
    PERCENT = 100,
    SLOW_PERCENT = 98, /* speed of every other worker's clock */
    WORKER_PREFIX = 7, /* length of "worker-" */
};

typedef struct PhHostRun {
    PhHostJob *job;
    uint32_t index;
    uint32_t run;
    PhTime ends_at; /* 0: never */
} PhHostRun;

typedef struct PhHostEnd {
    uint64_t number;
    PhHostJob *job;
    uint32_t index;
    uint32_t run;
    PhSchedEndKind kind;
    bool lapsed; /* the lease expired before it was acknowledged */
} PhHostEnd;

static void
job_destroy(gpointer value)
{
    PhHostJob *job = value;
    g_free(job->tasks);
    g_free(job);
}

void
PhHostTasks_Open(PhHostTasks *t)
{
    *t = (PhHostTasks){.jobs = g_ptr_array_new_with_free_func(job_destroy)};
}

void
PhHostTasks_Close(PhHostTasks *t)
{
    g_ptr_array_free(t->jobs, TRUE);
}

const char *
PhHostTasks_AddJob(PhHostTasks *t, unsigned count, bool lasts)
{
    PhHostJob *job = g_new0(PhHostJob, 1);
    g_snprintf(job->id, sizeof(job->id), "%016x", t->jobs->len + 1);
    job->lasts = lasts;
    job->count = count;
    job->tasks = g_new0(PhHostTask, count);
    g_ptr_array_add(t->jobs, job);
    return job->id;
}

void
PhHostTasks_Tick(PhHostTasks *t, PhTime now)
{
    for (guint i = 0; i < t->jobs->len; i++) {
        const PhHostJob *job = g_ptr_array_index(t->jobs, i);
        for (unsigned k = 0; k < job->count && job->lasts; k++) {
            PhHostTask *task = &job->tasks[k];
            if (task->ran_at > 0) {
                t->longest_gap = MAX(t->longest_gap, now - task->ran_at);
            }
            if (task->running > 0) {
                task->ran_at = now;
            }
        }
    }
}

bool
PhHostTasks_AreServed(const PhHostTasks *t)
{
    for (guint i = 0; i < t->jobs->len; i++) {
        const PhHostJob *job = g_ptr_array_index(t->jobs, i);
        for (unsigned k = 0; k < job->count; k++) {
            if (job->lasts ? job->tasks[k].running != 1
                           : job->tasks[k].done == 0) {
                return false;
            }
        }
    }
    return true;
}

static PhHostJob *
job_find(const PhHostTasks *t, PhStr id)
{
    for (guint i = 0; i < t->jobs->len; i++) {
        PhHostJob *job = g_ptr_array_index(t->jobs, i);
        if (PhStr_Equal(PhStr_FromC(job->id), id)) {
            return job;
        }
    }
    assert_true(false);
    return NULL;
}

PhStr
PhHostTasks_JobId(const PhHostTasks *t, PhStr id)
{
    return PhStr_FromC(job_find(t, id)->id);
}

void
PhHost_Open(PhHost *h, int number)
{
    *h = (PhHost){.born_ms = 1,
                  .alive = true,
                  .slow_percent = number % 2 == 0 ? SLOW_PERCENT : PERCENT};
    g_snprintf(h->id, sizeof(h->id), "worker-%d", number);
    h->runs = g_array_new(FALSE, TRUE, sizeof(PhHostRun));
    h->ends = g_array_new(FALSE, TRUE, sizeof(PhHostEnd));
    h->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
PhHost_Close(PhHost *h)
{
    g_array_free(h->runs, TRUE);
    g_array_free(h->ends, TRUE);
    g_hash_table_destroy(h->highest);
}

int
PhHost_Number(PhStr id)
{
    assert_int_equal(id.len, WORKER_PREFIX + 1);
    return id.data[WORKER_PREFIX] - '0';
}

static int64_t
host_clock(const PhHost *h, PhTime now)
{
    PhTime lived = now - h->born_at;
    return CLOCK_START_MS + lived / PH_NS_PER_MS * h->slow_percent / PERCENT;
}

/* Key of a task in `highest`; owned by the caller. */
static char *
task_text(const PhHostJob *job, uint32_t index)
{
    return g_strdup_printf("%s.%u", job->id, index);
}

/* Removes a run and records its number as the highest of its task. */
static void
run_remove(PhHost *h, guint i)
{
    PhHostRun run = g_array_index(h->runs, PhHostRun, i);
    run.job->tasks[run.index].running--;
    g_hash_table_replace(h->highest, task_text(run.job, run.index),
                         GUINT_TO_POINTER(run.run));
    g_array_remove_index_fast(h->runs, i);
}

void
PhHost_Exit(PhHost *h)
{
    h->alive = false;
    while (h->runs->len > 0) {
        run_remove(h, h->runs->len - 1);
    }
    g_array_set_size(h->ends, 0);
}

void
PhHost_Rebirth(PhHost *h, PhTime now)
{
    h->alive = true;
    h->reborn = false;
    h->draining = false;
    h->born_ms = now / PH_NS_PER_MS;
    h->born_at = now;
    h->fence = 0;
    h->deadline_ms = 0;
    h->end_number = 0;
    g_hash_table_remove_all(h->highest);
}

/* Ends a run and keeps its end until it is acknowledged. */
static void
run_end(PhHost *h, PhHostTasks *t, guint i, PhSchedEndKind kind)
{
    PhHostRun run = g_array_index(h->runs, PhHostRun, i);
    PhHostEnd end = {.number = ++h->end_number,
                     .job = run.job,
                     .index = run.index,
                     .run = run.run,
                     .kind = kind};
    t->events++;
    if (kind == PH_SCHED_END_DONE) {
        run.job->tasks[run.index].done = t->events;
    }
    run_remove(h, i);
    g_array_append_val(h->ends, end);
}

/* The lease has expired: ends all runs. */
static void
lease_lapse(PhHost *h, PhHostTasks *t)
{
    for (guint i = 0; i < h->ends->len; i++) {
        g_array_index(h->ends, PhHostEnd, i).lapsed = true;
    }
    while (h->runs->len > 0) {
        run_end(h, t, h->runs->len - 1, PH_SCHED_END_LAPSED);
    }
}

void
PhHost_Tick(PhHost *h, PhHostTasks *t, PhTime now)
{
    for (guint i = h->runs->len; i-- > 0;) {
        const PhHostRun *run = &g_array_index(h->runs, PhHostRun, i);
        if (run->ends_at != 0 && now >= run->ends_at) {
            run_end(h, t, i, PH_SCHED_END_DONE);
        }
    }
    if (host_clock(h, now) > h->deadline_ms) {
        lease_lapse(h, t);
    }
}

static void
lease_extend(PhHost *h, int64_t deadline_ms, PhTime now)
{
    int64_t most = host_clock(h, now) + LEASE_MOST_MS;
    h->deadline_ms = MAX(h->deadline_ms, MIN(deadline_ms, most));
}

/* Returns the number of runs if there is none. */
static guint
run_find(const PhHost *h, const PhHostJob *job, uint32_t index)
{
    for (guint i = 0; i < h->runs->len; i++) {
        const PhHostRun *run = &g_array_index(h->runs, PhHostRun, i);
        if (run->job == job && run->index == index) {
            return i;
        }
    }
    return h->runs->len;
}

/* Counts a start as a duplicate if the task runs already or its end has been
 * acknowledged. */
static void
note_start(PhHostTasks *t, PhHostTask *task)
{
    if (task->running > 0 || task->acknowledged) {
        t->doubles++;
    }
    task->started = ++t->events;
    task->running++;
}

static PhSchedOutcome
host_start(PhHost *h, PhHostTasks *t, const PhSchedRunOrder *o, PhTime now)
{
    PhHostJob *job = job_find(t, o->task.job);
    char *text = task_text(job, o->task.index);
    guint highest = GPOINTER_TO_UINT(g_hash_table_lookup(h->highest, text));
    guint found = run_find(h, job, o->task.index);
    g_free(text);
    if (o->deadline_ms <= host_clock(h, now)) {
        return PH_SCHED_OUTCOME_LATE;
    }
    lease_extend(h, o->deadline_ms, now);
    if (o->run <= highest) {
        return PH_SCHED_OUTCOME_OLD;
    }
    if (found < h->runs->len) {
        return PH_SCHED_OUTCOME_DONE;
    }
    note_start(t, &job->tasks[o->task.index]);
    PhHostRun run = {.job = job,
                     .index = o->task.index,
                     .run = o->run,
                     .ends_at =
                         job->lasts ? 0 : now + BRIEF_MS * PH_NS_PER_MS};
    g_array_append_val(h->runs, run);
    return PH_SCHED_OUTCOME_DONE;
}

static void
host_stop(PhHost *h, PhHostTasks *t, const PhSchedRunOrder *o)
{
    PhHostJob *job = job_find(t, o->task.job);
    guint found = run_find(h, job, o->task.index);
    if (found < h->runs->len &&
        g_array_index(h->runs, PhHostRun, found).run <= o->run) {
        run_end(h, t, found, PH_SCHED_END_STOPPED);
        return;
    }
    char *text = task_text(job, o->task.index);
    guint highest = GPOINTER_TO_UINT(g_hash_table_lookup(h->highest, text));
    g_hash_table_replace(h->highest, text,
                         GUINT_TO_POINTER(MAX(highest, o->run)));
}

/* Drops the acknowledged ends.  A task that was started again after such an
 * end counts as a duplicate. */
static void
ends_acknowledge(PhHost *h, PhHostTasks *t, uint64_t last)
{
    for (guint i = h->ends->len; i-- > 0;) {
        const PhHostEnd *end = &g_array_index(h->ends, PhHostEnd, i);
        if (end->number > last) {
            continue;
        }
        PhHostTask *task = &end->job->tasks[end->index];
        if (end->kind == PH_SCHED_END_DONE && !end->lapsed) {
            task->acknowledged = true;
            t->doubles += task->started > task->done;
        }
        g_array_remove_index(h->ends, i);
    }
}

static PhSchedTaskName
task_name(const PhHostJob *job, uint32_t index)
{
    return (PhSchedTaskName){.job = PhStr_FromC(job->id), .index = index};
}

static void
host_hold(PhHost *h, PhHostTasks *t, const PhSchedAction *a, PhTime now,
          PhSchedHoldReply *reply)
{
    if (a->as.hold.deadline_ms > 0) {
        lease_extend(h, a->as.hold.deadline_ms, now);
    }
    ends_acknowledge(h, t, a->as.hold.last_seen);
    reply->runs = g_new0(PhSchedRunRow, h->runs->len + 1);
    reply->ends = g_new0(PhSchedEndRow, h->ends->len + 1);
    for (guint i = 0; i < h->runs->len; i++) {
        const PhHostRun *run = &g_array_index(h->runs, PhHostRun, i);
        reply->runs[reply->run_count++] =
            (PhSchedRunRow){.task = task_name(run->job, run->index),
                            .run = run->run,
                            .percent = PERCENT};
    }
    for (guint i = 0; i < h->ends->len; i++) {
        const PhHostEnd *end = &g_array_index(h->ends, PhHostEnd, i);
        reply->ends[reply->end_count++] =
            (PhSchedEndRow){.number = end->number,
                            .task = task_name(end->job, end->index),
                            .run = end->run,
                            .kind = end->kind};
    }
}

void
PhHost_Call(PhHost *h, PhHostTasks *t, uint64_t fence, const PhSchedAction *a,
            PhTime now, PhHostReply *reply)
{
    if (!h->alive) {
        return;
    }
    reply->hold.clock_ms = host_clock(h, now);
    reply->hold.born_ms = h->born_ms;
    if (fence < h->fence) {
        reply->hold.outcome = PH_SCHED_OUTCOME_FENCED;
        return;
    }
    h->fence = fence;
    reply->hold.outcome = PH_SCHED_OUTCOME_DONE;
    switch (a->tag) {
    case PH_SCHED_ACTION_HOLD:
        host_hold(h, t, a, now, &reply->hold);
        break;
    case PH_SCHED_ACTION_START:
        reply->hold.outcome = host_start(h, t, &a->as.run, now);
        break;
    case PH_SCHED_ACTION_STOP:
        host_stop(h, t, &a->as.run);
        break;
    case PH_SCHED_ACTION_PACE:
        break;
    }
}

void
PhHostReply_Clear(PhHostReply *reply)
{
    g_free(reply->hold.runs);
    g_free(reply->hold.ends);
}
