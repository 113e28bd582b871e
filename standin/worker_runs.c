#include "peridothill/standin/worker_runs.h"

#include "peridothill/common/invariant.h"

struct PhWorkerTasks {
    uint64_t boot;
    PhJobSize size;
    PhJobSize committed;
    uint64_t epoch; /* highest one seen */
    uint64_t ends;  /* number of the latest end */
    bool failing;
    GArray *runs;  /* PhWorkerRun */
    GArray *ended; /* PhWorkerEnd */
    GArray *past;  /* PhPastRun */
};

/* A run with an acknowledged end.  A repeated start of it may still arrive. */
typedef struct PhPastRun {
    PhRun run;
    int64_t until_ms;
} PhPastRun;

enum {
    PAST_RUN_MS = 10000 /* above the validity of any start */
};

PhWorkerTasks *
PhWorkerTasks_Create(uint64_t boot, PhJobSize size)
{
    PhWorkerTasks *tasks = g_new0(PhWorkerTasks, 1);
    tasks->boot = boot;
    tasks->size = size;
    tasks->runs = g_array_new(FALSE, FALSE, sizeof(PhWorkerRun));
    tasks->ended = g_array_new(FALSE, FALSE, sizeof(PhWorkerEnd));
    tasks->past = g_array_new(FALSE, FALSE, sizeof(PhPastRun));
    return tasks;
}

/* NULL is allowed. */
void
PhWorkerTasks_Destroy(PhWorkerTasks *tasks)
{
    if (tasks == NULL) {
        return;
    }
    g_array_free(tasks->runs, TRUE);
    g_array_free(tasks->ended, TRUE);
    g_array_free(tasks->past, TRUE);
    g_free(tasks);
}

void
PhWorkerTasks_SetFailing(PhWorkerTasks *tasks, bool failing)
{
    tasks->failing = failing;
}

const GArray *
PhWorkerTasks_Runs(const PhWorkerTasks *tasks)
{
    return tasks->runs;
}

const GArray *
PhWorkerTasks_Ended(const PhWorkerTasks *tasks)
{
    return tasks->ended;
}

static PhWorkerRun *
run_at(const PhWorkerTasks *tasks, guint i)
{
    return &g_array_index(tasks->runs, PhWorkerRun, i);
}

/* Returns -1 if there is no such run. */
static int
run_find(const PhWorkerTasks *tasks, PhRun run)
{
    for (guint i = 0; i < tasks->runs->len; i++) {
        if (PhRun_Equal(run_at(tasks, i)->run, run)) {
            return (int)i;
        }
    }
    return -1;
}

/* Whether the end of a run is still remembered. */
static bool
end_is_remembered(const PhWorkerTasks *tasks, PhRun run)
{
    for (guint i = 0; i < tasks->ended->len; i++) {
        if (PhRun_Equal(g_array_index(tasks->ended, PhWorkerEnd, i).end.run,
                        run)) {
            return true;
        }
    }
    for (guint i = 0; i < tasks->past->len; i++) {
        if (PhRun_Equal(g_array_index(tasks->past, PhPastRun, i).run, run)) {
            return true;
        }
    }
    return false;
}

static void
end_add(PhWorkerTasks *tasks, PhRun run, PhRunOutcome outcome,
        uint64_t checkpoint)
{
    PhWorkerEnd end = {.number = ++tasks->ends,
                       .end = {run, outcome, checkpoint}};
    g_array_append_val(tasks->ended, end);
}

static void
run_end(PhWorkerTasks *tasks, guint i, PhRunOutcome outcome)
{
    PhWorkerRun *r = run_at(tasks, i);
    end_add(tasks, r->run, outcome, r->checkpoint);
    tasks->committed = PhJobSize_Subtract(tasks->committed, r->size);
    g_array_remove_index_fast(tasks->runs, i);
}

static void
run_progress(PhWorkerRun *r, int64_t now_ms)
{
    if (now_ms > r->advanced_ms) {
        r->progress_ms += (now_ms - r->advanced_ms) * r->percent / 100;
        r->advanced_ms = now_ms;
    }
}

/* The time at which a run is done at its current speed. */
static int64_t
run_done_ms(const PhWorkerRun *r)
{
    if (r->run_ms == 0 || r->percent == 0) {
        return INT64_MAX;
    }
    int64_t left = MAX(r->run_ms - r->progress_ms, 0);
    return r->advanced_ms + ((left * 100 + r->percent - 1) / r->percent);
}

void
PhWorkerTasks_Advance(PhWorkerTasks *tasks, int64_t now_ms)
{
    while (tasks->past->len > 0 &&
           g_array_index(tasks->past, PhPastRun, 0).until_ms <= now_ms) {
        g_array_remove_index(tasks->past, 0);
    }
    for (guint i = tasks->runs->len; i > 0; i--) {
        PhWorkerRun *r = run_at(tasks, i - 1);
        int64_t done = run_done_ms(r);
        if (done <= MIN(now_ms, r->lease_until_ms)) {
            run_end(tasks, i - 1, PH_RUN_DONE);
        }
        else if (now_ms >= r->lease_until_ms) {
            run_end(tasks, i - 1, PH_RUN_LOST);
        }
        else {
            run_progress(r, now_ms);
        }
    }
}

/* Renews all leases and drops the acknowledged ends.  The runs are listed only
 * if the digest of the sender differs. */
static void
renew(PhWorkerTasks *tasks, const PhWorkerCommand *command, int64_t now_ms,
      PhWorkerAnswer *answer)
{
    uint64_t digest = 0;
    for (guint i = 0; i < tasks->runs->len; i++) {
        PhWorkerRun *r = run_at(tasks, i);
        r->lease_until_ms =
            MAX(r->lease_until_ms, command->as.renew.lease_until_ms);
        digest ^= PhRun_Digest(r->run);
    }
    while (tasks->ended->len > 0 &&
           g_array_index(tasks->ended, PhWorkerEnd, 0).number <=
               command->as.renew.acked) {
        PhPastRun past = {g_array_index(tasks->ended, PhWorkerEnd, 0).end.run,
                          now_ms + PAST_RUN_MS};
        g_array_append_val(tasks->past, past);
        g_array_remove_index(tasks->ended, 0);
    }
    answer->listed = digest != command->as.renew.digest;
    if (!answer->listed) {
        return;
    }
    answer->running = g_array_new(FALSE, FALSE, sizeof(PhRun));
    for (guint i = 0; i < tasks->runs->len; i++) {
        g_array_append_val(answer->running, run_at(tasks, i)->run);
    }
}

/* Starts a run, unless it is running or its end is remembered.  A start that
 * fails, is late or does not fit is answered with an end. */
static void
start(PhWorkerTasks *tasks, const PhWorkerCommand *command, int64_t now_ms)
{
    PhRun run = command->as.start.run;
    PhJobSize size = command->as.start.size;
    if (run_find(tasks, run) >= 0 || end_is_remembered(tasks, run)) {
        return;
    }
    PhJobSize room = PhJobSize_Subtract(tasks->size, tasks->committed);
    bool late = command->as.start.lease_until_ms <= now_ms;
    if (tasks->failing || late || !PhJobSize_Fits(size, room)) {
        end_add(tasks, run, late ? PH_RUN_LOST : PH_RUN_FAILED,
                command->as.start.resume_from);
        return;
    }
    for (guint i = 0; i < tasks->runs->len; i++) {
        PhRun other = run_at(tasks, i)->run;
        Ph_INVARIANT(PH_INVARIANT_ONE_PLACE,
                     other.job != run.job || other.index != run.index,
                     "job=%" G_GUINT64_FORMAT " index=%u", run.job, run.index);
    }
    PhWorkerRun r = {.run = run,
                     .size = size,
                     .lease_until_ms = command->as.start.lease_until_ms,
                     .run_ms = command->as.start.run_ms,
                     .progress_ms = (int64_t)command->as.start.resume_from,
                     .advanced_ms = now_ms,
                     .checkpoint = command->as.start.resume_from,
                     .resumed_from = command->as.start.resume_from,
                     .percent = 100};
    g_array_append_val(tasks->runs, r);
    tasks->committed = PhJobSize_Add(tasks->committed, size);
    Ph_INVARIANT(PH_INVARIANT_CAPACITY,
                 PhJobSize_Fits(tasks->committed, tasks->size),
                 "cpu_milli=%" G_GINT64_FORMAT, tasks->committed.cpu_milli);
}

/* An evicted run saves a checkpoint first. */
static void
stop(PhWorkerTasks *tasks, const PhWorkerCommand *command)
{
    int i = run_find(tasks, command->as.stop.run);
    if (i < 0) {
        return;
    }
    PhWorkerRun *r = run_at(tasks, (guint)i);
    if (command->as.stop.evict) {
        r->checkpoint = (uint64_t)r->progress_ms;
    }
    run_end(tasks, (guint)i,
            command->as.stop.evict ? PH_RUN_EVICTED : PH_RUN_STOPPED);
}

/* Checks the boot number, the validity and the epoch.  A renewal without a
 * boot number is a query that is always allowed. */
static PhStatus
command_check(PhWorkerTasks *tasks, const PhWorkerCommand *command,
              int64_t now_ms)
{
    bool is_query = command->kind == PH_WORKER_RENEW && command->boot == 0;
    if (is_query) {
        return PH_STATUS_OK;
    }
    if (command->boot != tasks->boot) {
        return PH_STATUS_CONFLICT;
    }
    if (now_ms >= command->valid_until_ms) {
        return PH_STATUS_EXPIRED;
    }
    if (command->kind != PH_WORKER_RENEW && command->epoch < tasks->epoch) {
        return PH_STATUS_EXPIRED;
    }
    tasks->epoch = MAX(tasks->epoch, command->epoch);
    return PH_STATUS_OK;
}

static void
command_apply(PhWorkerTasks *tasks, const PhWorkerCommand *command,
              int64_t now_ms, PhWorkerAnswer *answer)
{
    int i = 0;
    switch (command->kind) {
    case PH_WORKER_RENEW:
        renew(tasks, command, now_ms, answer);
        break;
    case PH_WORKER_START:
        start(tasks, command, now_ms);
        break;
    case PH_WORKER_STOP:
        stop(tasks, command);
        break;
    case PH_WORKER_CHECKPOINT:
        i = run_find(tasks, command->as.checkpoint);
        if (i >= 0) {
            PhWorkerRun *r = run_at(tasks, (guint)i);
            r->checkpoint = (uint64_t)r->progress_ms;
        }
        break;
    case PH_WORKER_THROTTLE:
        i = run_find(tasks, command->as.throttle.run);
        if (i >= 0) {
            run_at(tasks, (guint)i)->percent =
                MIN(command->as.throttle.percent, 100);
        }
        break;
    }
}

PhWorkerAnswer
PhWorkerTasks_Command(PhWorkerTasks *tasks, const PhWorkerCommand *command,
                      int64_t now_ms)
{
    PhWorkerAnswer answer = {.worker = command->worker,
                             .token = command->token,
                             .boot = tasks->boot,
                             .clock_ms = now_ms};
    PhWorkerTasks_Advance(tasks, now_ms);
    answer.status = command_check(tasks, command, now_ms);
    if (answer.status == PH_STATUS_OK) {
        command_apply(tasks, command, now_ms, &answer);
    }
    answer.ended = g_array_copy(tasks->ended);
    return answer;
}
