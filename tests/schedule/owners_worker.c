#include "owners_worker.h"

#include "tests/table.h"

#include <inttypes.h>

enum {
    CHECKPOINT_MS = 1000,
    SAVED_SIZE = 24,
    LISTED_MS = 100, /* an end listed earlier counts as known to the owner */
    LEASE_MAX_MS = 10000,
    LEASE_MS = 6000, /* that owners grant to workers that stay */
    WAY_MS = 250,    /* of a query, an order and its answer */
    HEARD_MS = 1000, /* after a worker's first answer, an owner can grant */
    CLOCK_START_MS = 1000,
    PERCENT = 100,
    DECIMAL = 10,
    SLOW_PERCENT = 98,     /* speed of every other worker's clock */
    WORKER_PREFIX_LEN = 7, /* length of "worker-" */
    CAPACITY_CPU_MILLI = 8000,
    FAILS_WITHIN_MS = 20000, /* of its start, a lasting run that fails */
};

typedef struct PhSimEnd {
    uint64_t number;
    PhSimJob *job;
    uint32_t index;
    uint32_t run;
    PhSchedEndKind kind;
    const char *saved;  /* interned */
    bool lease_expired; /* the lease expired before it was acknowledged */
} PhSimEnd;

static void
job_destroy(gpointer value)
{
    PhSimJob *job = value;
    g_free(job->tasks);
    g_free(job);
}

void
PhSimTasks_Open(PhSimTasks *t)
{
    *t = (PhSimTasks){.jobs = g_ptr_array_new_with_free_func(job_destroy)};
}

void
PhSimTasks_Close(PhSimTasks *t)
{
    g_ptr_array_free(t->jobs, TRUE);
    PhRandom_Destroy(t->random);
}

PhSimJob *
PhSimTasks_AddStep(PhSimTasks *t, unsigned count, const PhSimTaskKind *kind,
                   PhSimJob *before)
{
    PhSimJob *job = g_new0(PhSimJob, 1);
    t->job_count += before == NULL;
    g_snprintf(job->id, sizeof(job->id), "%016x", t->job_count);
    job->step = before == NULL ? 0 : before->step + 1;
    job->before = before;
    job->kind = *kind;
    job->count = count;
    job->tasks = g_new0(PhSimTask, count);
    g_ptr_array_add(t->jobs, job);
    return job;
}

void
PhSimTasks_DropJob(PhSimTasks *t)
{
    uint32_t step = 0;
    do {
        const PhSimJob *job = g_ptr_array_index(t->jobs, t->jobs->len - 1);
        step = job->step;
        g_ptr_array_set_size(t->jobs, (gint)t->jobs->len - 1);
    } while (step > 0);
}

/* A gang fails as a whole. */
bool
PhSimJob_HasFailed(const PhSimJob *job)
{
    unsigned most = 0;
    for (unsigned i = 0; i < job->count; i++) {
        most = MAX(most, job->tasks[i].failures);
    }
    return job->kind.max_attempts > 0 && !job->kind.long_running &&
           (job->kind.gang ? job->failed_runs : most) >=
               job->kind.max_attempts;
}

void
PhSimTasks_Tick(PhSimTasks *t, PhTime now)
{
    for (guint i = 0; i < t->jobs->len; i++) {
        const PhSimJob *job = g_ptr_array_index(t->jobs, i);
        for (unsigned k = 0; k < job->count && job->kind.long_running; k++) {
            PhSimTask *task = &job->tasks[k];
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
PhSimTasks_AreSettled(const PhSimTasks *t)
{
    for (guint i = 0; i < t->jobs->len; i++) {
        const PhSimJob *job = g_ptr_array_index(t->jobs, i);
        for (unsigned k = 0; k < job->count; k++) {
            if (job->kind.long_running ? job->tasks[k].running != 1
                                       : job->tasks[k].done == 0) {
                return false;
            }
        }
    }
    return true;
}

static PhSimJob *
job_find(const PhSimTasks *t, PhStr id, uint32_t step)
{
    for (guint i = 0; i < t->jobs->len; i++) {
        PhSimJob *job = g_ptr_array_index(t->jobs, i);
        if (job->step == step && PhStr_Equal(PhStr_FromC(job->id), id)) {
            return job;
        }
    }
    assert_true(false);
    return NULL;
}

PhStr
PhSimTasks_JobId(const PhSimTasks *t, PhStr id)
{
    return PhStr_FromC(job_find(t, id, 0)->id);
}

void
PhSimWorker_Open(PhSimWorker *h, int number)
{
    *h = (PhSimWorker){
        .born_ms = 1,
        .alive = true,
        .slow_percent = number % 2 == 0 ? SLOW_PERCENT : PERCENT,
        .capacity = {.cpu_milli = CAPACITY_CPU_MILLI, .mem_mb = 1}};
    g_snprintf(h->id, sizeof(h->id), "worker-%d", number);
    h->runs = g_array_new(FALSE, TRUE, sizeof(PhSimRun));
    h->ends = g_array_new(FALSE, TRUE, sizeof(PhSimEnd));
    h->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
PhSimWorker_Close(PhSimWorker *h)
{
    g_array_free(h->runs, TRUE);
    g_array_free(h->ends, TRUE);
    g_hash_table_destroy(h->highest);
}

int
PhSimWorker_Number(PhStr id)
{
    int number = 0;
    assert_true(id.len > WORKER_PREFIX_LEN);
    for (size_t i = WORKER_PREFIX_LEN; i < id.len; i++) {
        assert_true(g_ascii_isdigit(id.data[i]));
        number = number * DECIMAL + (id.data[i] - '0');
    }
    return number;
}

PhSchedResources
PhSimWorker_Free(const PhSimWorker *h)
{
    PhSchedResources left = h->capacity;
    for (guint i = 0; i < h->runs->len; i++) {
        const PhSimTaskKind *kind =
            &g_array_index(h->runs, PhSimRun, i).job->kind;
        left.cpu_milli -= kind->fills ? 0 : kind->resources.cpu_milli;
        left.mem_mb -= kind->resources.mem_mb;
    }
    return left;
}

bool
PhSimWorker_ListsDone(const PhSimWorker *h, const PhSimJob *job,
                      uint32_t index)
{
    for (guint i = 0; i < h->ends->len && h->alive; i++) {
        const PhSimEnd *end = &g_array_index(h->ends, PhSimEnd, i);
        if (end->job == job && end->index == index &&
            end->kind == PH_SCHED_END_DONE && !end->lease_expired) {
            return true;
        }
    }
    return false;
}

static int64_t
worker_clock(const PhSimWorker *h, PhTime now)
{
    PhTime age = now - h->started_at;
    return CLOCK_START_MS + age / PH_NS_PER_MS * h->slow_percent / PERCENT;
}

/* Key of a task in `highest`; owned by the caller. */
static char *
task_key(const PhSimJob *job, uint32_t index)
{
    return g_strdup_printf("%s.%u.%u", job->id, job->step, index);
}

/* Removes a run and records its number as the highest of its task. */
static void
run_remove(PhSimWorker *h, guint i)
{
    PhSimRun run = g_array_index(h->runs, PhSimRun, i);
    run.job->tasks[run.index].running--;
    g_hash_table_replace(h->highest, task_key(run.job, run.index),
                         GUINT_TO_POINTER(run.run));
    g_array_remove_index_fast(h->runs, i);
}

void
PhSimWorker_Stop(PhSimWorker *h)
{
    h->alive = false;
    while (h->runs->len > 0) {
        run_remove(h, h->runs->len - 1);
    }
    g_array_set_size(h->ends, 0);
}

void
PhSimWorker_Restart(PhSimWorker *h, PhTime now)
{
    h->alive = true;
    h->restarting = false;
    h->draining = false;
    h->born_ms = now / PH_NS_PER_MS;
    h->started_at = now;
    h->fence = 0;
    h->heard_fence = 0;
    h->answered_at = 0;
    h->deadline_ms = 0;
    h->end_number = 0;
    g_hash_table_remove_all(h->highest);
}

/* Returns how much of the work of a run is saved; interned, empty for none. */
static const char *
run_saved(const PhSimRun *run, bool at_stop, PhTime now)
{
    int64_t done_ms =
        run->works_from == 0
            ? run->saved_ms
            : run->saved_ms + (now - run->works_from) / PH_NS_PER_MS;
    if (!at_stop) {
        done_ms -= (done_ms - run->saved_ms) % CHECKPOINT_MS;
    }
    if (!run->job->kind.saves_progress || done_ms == 0) {
        return "";
    }
    char text[SAVED_SIZE];
    g_snprintf(text, sizeof(text), "%" PRId64, done_ms);
    return g_intern_string(text);
}

void
PhSimWorker_EndRun(PhSimWorker *h, PhSimTasks *t, guint i, PhSchedEndKind kind,
                   PhTime now)
{
    PhSimRun run = g_array_index(h->runs, PhSimRun, i);
    PhSimEnd end = {.number = ++h->end_number,
                    .job = run.job,
                    .index = run.index,
                    .run = run.run,
                    .kind = kind,
                    .saved =
                        run_saved(&run, kind == PH_SCHED_END_STOPPED, now)};
    t->events++;
    if (kind == PH_SCHED_END_FAILED) {
        run.job->tasks[run.index].failures++;
        run.job->failed_runs += run.job->failed_run != run.run;
        run.job->failed_run = run.run;
    }
    if (kind == PH_SCHED_END_DONE) {
        run.job->tasks[run.index].done = t->events;
    }
    run_remove(h, i);
    g_array_append_val(h->ends, end);
}

void
PhSimWorker_NoteAnswer(PhSimWorker *h, uint64_t fence, PhTime sent_at,
                       PhTime now)
{
    if (h->heard_fence != fence) {
        h->heard_fence = fence;
        h->heard_since = now;
    }
    if (sent_at - h->heard_since >= HEARD_MS * PH_NS_PER_MS) {
        h->answered_at = MAX(h->answered_at, sent_at);
    }
}

/* The lease has expired: ends all runs. */
static void
lease_expire(PhSimWorker *h, PhSimTasks *t, PhTime now)
{
    bool answers = h->answered_at > 0 &&
                   now - h->answered_at < (LEASE_MS - WAY_MS) * PH_NS_PER_MS;
    t->lapses += h->runs->len > 0;
    t->false_lapses += answers && h->runs->len > 0;
    for (guint i = 0; i < h->ends->len; i++) {
        g_array_index(h->ends, PhSimEnd, i).lease_expired = true;
    }
    while (h->runs->len > 0) {
        const PhSimRun *last =
            &g_array_index(h->runs, PhSimRun, h->runs->len - 1);
        t->lapsed_lasting += last->job->kind.long_running;
        PhSimWorker_EndRun(h, t, h->runs->len - 1, PH_SCHED_END_LEASE_EXPIRED,
                           now);
    }
}

void
PhSimWorker_Tick(PhSimWorker *h, PhSimTasks *t, PhTime now)
{
    for (guint i = h->runs->len; i-- > 0;) {
        const PhSimRun *run = &g_array_index(h->runs, PhSimRun, i);
        if (run->ends_at != 0 && now >= run->ends_at) {
            PhSimWorker_EndRun(h, t, i, run->ends_as, now);
        }
    }
    if (worker_clock(h, now) > h->deadline_ms) {
        lease_expire(h, t, now);
    }
}

static void
lease_extend(PhSimWorker *h, int64_t deadline_ms, PhTime now)
{
    int64_t latest = worker_clock(h, now) + LEASE_MAX_MS;
    h->deadline_ms = MAX(h->deadline_ms, MIN(deadline_ms, latest));
}

/* Returns the number of runs if there is none. */
static guint
run_find(const PhSimWorker *h, const PhSimJob *job, uint32_t index)
{
    for (guint i = 0; i < h->runs->len; i++) {
        const PhSimRun *run = &g_array_index(h->runs, PhSimRun, i);
        if (run->job == job && run->index == index) {
            return i;
        }
    }
    return h->runs->len;
}

/* Counts a start as a duplicate if the task runs already or its end has been
 * acknowledged. */
static void
count_start(PhSimTasks *t, PhSimTask *task, PhTime now)
{
    if (task->listed_at > 0 &&
        now - task->listed_at > LISTED_MS * PH_NS_PER_MS) {
        t->repeated_starts++;
    }
    if (task->running > 0 || task->acknowledged) {
        t->duplicate_starts++;
    }
    task->started = ++t->events;
    task->running++;
    task->starts++;
}

static bool
has_room(const PhSimWorker *h, const PhSimTaskKind *kind)
{
    PhSchedResources left = PhSimWorker_Free(h);
    return !h->guards_capacity ||
           ((kind->fills || left.cpu_milli >= kind->resources.cpu_milli) &&
            left.mem_mb >= kind->resources.mem_mb);
}

void
PhSimRun_Draw(PhSimRun *run, PhSimTasks *t, PhTime now)
{
    const PhSimTaskKind *kind = &run->job->kind;
    PhTime left = kind->run_time - run->saved_ms * PH_NS_PER_MS;
    double share =
        kind->long_running ? t->failure_share : t->ending_failure_share;
    run->works_from = now;
    run->ends_as = PH_SCHED_END_DONE;
    run->ends_at = kind->long_running ? 0 : now + MAX(left, PH_NS_PER_MS);
    if (t->random != NULL && share > 0 &&
        (PhRandom_Chance(t->random, share) || kind->hopeless)) {
        PhTime within = kind->long_running ? FAILS_WITHIN_MS * PH_NS_PER_MS
                                           : MAX(left, PH_NS_PER_MS);
        run->ends_as = PH_SCHED_END_FAILED;
        run->ends_at = now + (PhTime)PhRandom_Below(
                                 t->random, (uint64_t)within / PH_NS_PER_MS) *
                                 PH_NS_PER_MS;
    }
}

/* Returns the work that a checkpoint stands for. */
static int64_t
parse_saved(PhStr last_checkpoint)
{
    int64_t saved_ms = 0;
    for (size_t i = 0; i < last_checkpoint.len; i++) {
        saved_ms = saved_ms * DECIMAL + (last_checkpoint.data[i] - '0');
    }
    return saved_ms;
}

static PhSchedOutcome
worker_start(PhSimWorker *h, PhSimTasks *t, const PhSchedRunOrder *o,
             PhTime now)
{
    PhSimJob *job = job_find(t, o->task.job, o->task.step);
    char *text = task_key(job, o->task.index);
    guint highest = GPOINTER_TO_UINT(g_hash_table_lookup(h->highest, text));
    guint found = run_find(h, job, o->task.index);
    g_free(text);
    if (o->deadline_ms <= worker_clock(h, now)) {
        return PH_SCHED_OUTCOME_DEADLINE_PASSED;
    }
    lease_extend(h, o->deadline_ms, now);
    if (o->run <= highest) {
        return PH_SCHED_OUTCOME_STALE_RUN;
    }
    if (found < h->runs->len) {
        return PH_SCHED_OUTCOME_DONE;
    }
    if (!has_room(h, &job->kind)) {
        return PH_SCHED_OUTCOME_NO_CAPACITY;
    }
    count_start(t, &job->tasks[o->task.index], now);
    job->tasks[o->task.index].started_at = now;
    PhSimRun run = {.job = job,
                    .index = o->task.index,
                    .run = o->run,
                    .started_at = now,
                    .saved_ms = parse_saved(o->last_checkpoint)};
    if (!job->kind.gang) {
        PhSimRun_Draw(&run, t, now);
    }
    g_array_append_val(h->runs, run);
    return PH_SCHED_OUTCOME_DONE;
}

static void
worker_stop(PhSimWorker *h, PhSimTasks *t, const PhSchedRunOrder *o,
            PhTime now)
{
    PhSimJob *job = job_find(t, o->task.job, o->task.step);
    guint found = run_find(h, job, o->task.index);
    if (found < h->runs->len &&
        g_array_index(h->runs, PhSimRun, found).run <= o->run) {
        PhSimRun *run = &g_array_index(h->runs, PhSimRun, found);
        PhTime ends_at = now + h->stop_time;
        if (h->stop_time == 0) {
            PhSimWorker_EndRun(h, t, found, PH_SCHED_END_STOPPED, now);
        }
        else if (run->ends_at == 0 || run->ends_at > ends_at) {
            run->ends_at = ends_at;
            run->ends_as = PH_SCHED_END_STOPPED;
        }
        return;
    }
    char *text = task_key(job, o->task.index);
    guint highest = GPOINTER_TO_UINT(g_hash_table_lookup(h->highest, text));
    g_hash_table_replace(h->highest, text,
                         GUINT_TO_POINTER(MAX(highest, o->run)));
}

/* Drops the acknowledged ends.  A task that was started again after such an
 * end counts as a duplicate. */
static void
ends_acknowledge(PhSimWorker *h, PhSimTasks *t, uint64_t last)
{
    for (guint i = h->ends->len; i-- > 0;) {
        const PhSimEnd *end = &g_array_index(h->ends, PhSimEnd, i);
        if (end->number > last) {
            continue;
        }
        PhSimTask *task = &end->job->tasks[end->index];
        if (end->kind == PH_SCHED_END_DONE && !end->lease_expired) {
            task->acknowledged = true;
            t->duplicate_starts += task->started > task->done;
        }
        g_array_remove_index(h->ends, i);
    }
}

static PhSchedTaskName
task_name(const PhSimJob *job, uint32_t index)
{
    return (PhSchedTaskName){
        .job = PhStr_FromC(job->id), .step = job->step, .index = index};
}

/* Serving tasks are at half their target, and others use what they have
 * declared. */
static int64_t
usage_sample(const PhSimTaskKind *kind)
{
    if (!kind->fills && kind->tail_latency_target == 0) {
        return 0;
    }
    return kind->fills ? kind->resources.cpu_milli
                       : kind->tail_latency_target / 2 / PH_NS_PER_MS;
}

/* A hold that waits is answered later, with what is listed then. */
static void
worker_hold(PhSimWorker *h, PhSimTasks *t, const PhSchedAction *a, PhTime now,
            PhSchedHoldReply *reply)
{
    if (a->as.hold.deadline_ms > 0) {
        lease_extend(h, a->as.hold.deadline_ms, now);
    }
    ends_acknowledge(h, t, a->as.hold.last_seen);
    reply->runs = g_new0(PhSchedRunRow, h->runs->len + 1);
    reply->ends = g_new0(PhSchedEndRow, h->ends->len + 1);
    for (guint i = 0; i < h->runs->len; i++) {
        const PhSimRun *run = &g_array_index(h->runs, PhSimRun, i);
        reply->runs[reply->run_count++] = (PhSchedRunRow){
            .task = task_name(run->job, run->index),
            .run = run->run,
            .last_checkpoint = PhStr_FromC(run_saved(run, false, now)),
            .percent = PERCENT,
            .usage_sample = usage_sample(&run->job->kind)};
    }
    for (guint i = 0; i < h->ends->len; i++) {
        const PhSimEnd *end = &g_array_index(h->ends, PhSimEnd, i);
        PhSimTask *task = &end->job->tasks[end->index];
        if (end->kind == PH_SCHED_END_DONE && !end->lease_expired &&
            task->listed_at == 0 && a->as.hold.wait == 0) {
            task->listed_at = now;
        }
        reply->ends[reply->end_count++] =
            (PhSchedEndRow){.number = end->number,
                            .task = task_name(end->job, end->index),
                            .run = end->run,
                            .kind = end->kind,
                            .last_checkpoint = PhStr_FromC(end->saved)};
    }
}

void
PhSimWorker_Execute(PhSimWorker *h, PhSimTasks *t, uint64_t fence,
                    const PhSchedAction *a, PhTime now, PhSimReply *reply)
{
    if (!h->alive) {
        return;
    }
    reply->hold.clock_ms = worker_clock(h, now);
    reply->hold.born_ms = h->born_ms;
    if (fence < h->fence) {
        reply->hold.outcome = PH_SCHED_OUTCOME_FENCED;
        return;
    }
    h->fence = fence;
    reply->hold.outcome = PH_SCHED_OUTCOME_DONE;
    switch (a->tag) {
    case PH_SCHED_ACTION_HOLD:
        worker_hold(h, t, a, now, &reply->hold);
        break;
    case PH_SCHED_ACTION_START:
        reply->hold.outcome = worker_start(h, t, &a->as.run, now);
        break;
    case PH_SCHED_ACTION_STOP:
        worker_stop(h, t, &a->as.run, now);
        break;
    case PH_SCHED_ACTION_PACE:
        break;
    }
}

void
PhSimReply_Clear(PhSimReply *reply)
{
    g_free(reply->hold.runs);
    g_free(reply->hold.ends);
}
