/* Fake workers of the scheduler simulation: runs, leases and gangs. */
#include "schedule_world_private.h"

#include "tests/table.h"

enum {
    RUN_MIN_MS = 100,
    RUN_SPREAD_MS = 900,
    GANG_WAIT_MS = 3000,
    STOP_TIME_MS = 100,
};

static char *
format_task(const PhSchedTaskName *n)
{
    return g_strdup_printf("%.*s.%u.%u.%u", PhStr_ARG(n->job), n->round,
                           n->step, n->index);
}

int64_t
PhFakeWorker_Clock(const PhWorld *w, const PhFakeWorker *f)
{
    return 1000 + (w->now - f->started_at) / PH_NS_PER_MS;
}

void
PhFakeWorker_Reset(PhWorld *w, PhFakeWorker *f)
{
    f->born_ms += 1000;
    f->started_at = w->now;
    f->fence = 0;
    f->deadline_ms = 0;
    f->next_end = 0;
    for (guint i = 0; i < f->runs->len; i++) {
        g_free(g_array_index(f->runs, PhFakeRun, i).task);
    }
    g_array_set_size(f->runs, 0);
    g_array_set_size(f->ends, 0);
    g_hash_table_remove_all(f->highest);
}

void
PhFakeWorker_Add(PhWorld *w, unsigned number)
{
    PhFakeWorker *f = g_new0(PhFakeWorker, 1);
    f->id = g_strdup_printf("worker-%u", number);
    f->runs = g_array_new(FALSE, TRUE, sizeof(PhFakeRun));
    f->ends = g_array_new(FALSE, TRUE, sizeof(PhFakeEnd));
    f->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    PhFakeWorker_Reset(w, f);
    g_ptr_array_add(w->workers, f);
}

void
PhFakeWorker_Destroy(gpointer value)
{
    PhFakeWorker *f = value;
    for (guint i = 0; i < f->runs->len; i++) {
        g_free(g_array_index(f->runs, PhFakeRun, i).task);
    }
    g_array_free(f->runs, TRUE);
    g_array_free(f->ends, TRUE);
    g_hash_table_destroy(f->highest);
    g_free(f->id);
    g_free(f);
}

/* Checks a start: its record is durable, its run number is new, the task runs
 * nowhere else, and no worker is over its capacity. */
static void
check_start(PhWorld *w, const PhSchedRunOrder *order, const char *task)
{
    char *key = g_strdup_printf("%s/%u", task, order->run);
    assert_true(g_hash_table_contains(w->started, key));
    assert_false(g_hash_table_contains(w->used, key));
    g_hash_table_add(w->used, key);
    for (guint i = 0; i < w->workers->len; i++) {
        const PhFakeWorker *f = g_ptr_array_index(w->workers, i);
        int64_t committed_milli = 0;
        for (guint j = 0; j < f->runs->len; j++) {
            assert_string_not_equal(g_array_index(f->runs, PhFakeRun, j).task,
                                    task);
            committed_milli += PH_WORLD_TASK_MILLI;
        }
        assert_true(committed_milli <= PH_WORLD_CAPACITY_MILLI);
    }
}

/* Checks that a task does not start before its round is due. */
static void
check_due(const PhWorld *w, const PhSchedRunOrder *order)
{
    const PhSchedJob *job =
        PhSchedModel_Job(PhScheduler_Model(w->owner), order->task.job);
    if (w->options.rounds > 0 && job != NULL) {
        int64_t due = job->spec.first_due_ms +
                      (int64_t)order->task.round * job->spec.interval_ms;
        assert_true(w->now / PH_NS_PER_MS >= due);
    }
}

PhSchedOutcome
PhFakeWorker_Start(PhWorld *w, PhFakeWorker *f, const PhSchedAction *action)
{
    const PhSchedRunOrder *order = &action->as.run;
    char *task = format_task(&order->task);
    uint32_t highest = GPOINTER_TO_UINT(g_hash_table_lookup(f->highest, task));
    PhSchedOutcome outcome = PH_SCHED_OUTCOME_DONE;
    for (guint i = 0; i < f->runs->len; i++) {
        const PhFakeRun *run = &g_array_index(f->runs, PhFakeRun, i);
        if (strcmp(run->task, task) == 0 && run->run == order->run) {
            g_free(task);
            return PH_SCHED_OUTCOME_DONE;
        }
    }
    if (order->run <= highest) {
        outcome = PH_SCHED_OUTCOME_STALE_RUN;
    }
    else if (order->deadline_ms < PhFakeWorker_Clock(w, f)) {
        outcome = PH_SCHED_OUTCOME_DEADLINE_PASSED;
    }
    else if ((f->runs->len + 1) * PH_WORLD_TASK_MILLI >
             PH_WORLD_CAPACITY_MILLI) {
        outcome = PH_SCHED_OUTCOME_NO_CAPACITY;
    }
    else if (PhWorld_Chance(w, FAULT_REFUSALS, 0.1)) {
        outcome = PH_SCHED_OUTCOME_REFUSED;
    }
    else {
        check_start(w, order, task);
        check_due(w, order);
        PhFakeRun run = {.task = g_strdup(task),
                         .name = order->task,
                         .run = order->run,
                         .fails = PhWorld_Chance(w, FAULT_FAILURES, 0.1)};
        run.name.job = PhWorld_Id(w, order->task.job);
        run.ends_at =
            w->options.long_running
                ? PH_TIME_NEVER
                : w->now + (PhTime)(RUN_MIN_MS +
                                    PhRandom_Below(w->random, RUN_SPREAD_MS)) *
                               PH_NS_PER_MS;
        if (w->options.gang) {
            run.ends_at = PH_TIME_NEVER;
            run.alone_at = w->now + GANG_WAIT_MS * PH_NS_PER_MS;
        }
        f->deadline_ms = MAX(f->deadline_ms, order->deadline_ms);
        g_array_append_val(f->runs, run);
        w->starts++;
    }
    g_free(task);
    return outcome;
}

void
PhFakeWorker_Stop(PhWorld *w, PhFakeWorker *f, const PhSchedRunOrder *order)
{
    char *task = format_task(&order->task);
    uint32_t highest = GPOINTER_TO_UINT(g_hash_table_lookup(f->highest, task));
    for (guint i = 0; i < f->runs->len; i++) {
        PhFakeRun *run = &g_array_index(f->runs, PhFakeRun, i);
        if (strcmp(run->task, task) == 0 && run->run == order->run) {
            run->stopping = true;
            run->ends_at =
                MIN(run->ends_at, w->now + STOP_TIME_MS * PH_NS_PER_MS);
        }
    }
    g_hash_table_replace(f->highest, task,
                         GUINT_TO_POINTER(MAX(highest, order->run)));
}

void
PhFakeWorker_Hold(PhWorld *w, PhFakeWorker *f, const PhSchedAction *action,
                  PhSchedHoldReply *hold)
{
    uint64_t seen = action->as.hold.last_seen;
    f->deadline_ms = MAX(f->deadline_ms, action->as.hold.deadline_ms);
    assert_true(seen <= f->next_end);
    while (f->ends->len > 0 &&
           g_array_index(f->ends, PhFakeEnd, 0).number <= seen) {
        g_array_remove_index(f->ends, 0);
    }
    hold->born_ms = f->born_ms;
    hold->clock_ms = PhFakeWorker_Clock(w, f);
    hold->runs = g_new0(PhSchedRunRow, f->runs->len + 1);
    hold->ends = g_new0(PhSchedEndRow, f->ends->len + 1);
    for (guint i = 0; i < f->runs->len; i++) {
        const PhFakeRun *run = &g_array_index(f->runs, PhFakeRun, i);
        hold->runs[hold->run_count++] = (PhSchedRunRow){
            .task = run->name, .run = run->run, .usage_sample = -1};
    }
    for (guint i = 0; i < f->ends->len; i++) {
        const PhFakeEnd *end = &g_array_index(f->ends, PhFakeEnd, i);
        hold->ends[hold->end_count++] = (PhSchedEndRow){.number = end->number,
                                                        .task = end->name,
                                                        .run = end->run,
                                                        .kind = end->kind};
    }
}

/* Calls `visit`, unless NULL, for each run of the gang of `of`.  Returns the
 * number of runs. */
static unsigned
gang_visit(PhWorld *w, const PhFakeRun *of,
           void (*visit)(PhWorld *world, PhFakeRun *run, const PhFakeRun *of))
{
    unsigned count = 0;
    for (guint i = 0; i < w->workers->len; i++) {
        PhFakeWorker *f = g_ptr_array_index(w->workers, i);
        for (guint j = 0; j < f->runs->len; j++) {
            PhFakeRun *run = &g_array_index(f->runs, PhFakeRun, j);
            if (run->run == of->run && run->name.round == of->name.round &&
                run->name.step == of->name.step &&
                PhStr_Equal(run->name.job, of->name.job)) {
                count++;
                if (visit != NULL) {
                    visit(w, run, of);
                }
            }
        }
    }
    return count;
}

/* The gang is complete: starts the work of a member. */
static void
member_start_work(PhWorld *w, PhFakeRun *run, const PhFakeRun *of)
{
    (void)of;
    run->alone_at = 0;
    run->ends_at = w->now + RUN_MIN_MS * PH_NS_PER_MS;
}

/* Another member has ended: ends this one as broken. */
static void
member_break(PhWorld *w, PhFakeRun *run, const PhFakeRun *of)
{
    if (run != of && run->ends_at > w->now) {
        run->broken = true;
        run->ends_at = w->now;
    }
}

void
PhFakeWorker_TickGangs(PhWorld *w)
{
    for (guint i = 0; i < w->workers->len; i++) {
        PhFakeWorker *f = g_ptr_array_index(w->workers, i);
        bool lease_expired = PhFakeWorker_Clock(w, f) > f->deadline_ms;
        for (guint j = 0; j < f->runs->len; j++) {
            PhFakeRun run = g_array_index(f->runs, PhFakeRun, j);
            PhFakeRun *own = &g_array_index(f->runs, PhFakeRun, j);
            if (run.alone_at != 0 &&
                gang_visit(w, own, NULL) == PH_WORLD_TASKS) {
                gang_visit(w, own, member_start_work);
            }
            else if (lease_expired ||
                     (run.ends_at <= w->now && (run.stopping || run.fails))) {
                gang_visit(w, own, member_break);
            }
            if (own->alone_at != 0 && own->alone_at <= w->now) {
                own->ends_at = w->now;
            }
        }
    }
}

void
PhFakeWorker_Tick(PhWorld *w, PhFakeWorker *f)
{
    bool lease_expired =
        f->runs->len > 0 && PhFakeWorker_Clock(w, f) > f->deadline_ms;
    for (guint i = f->runs->len; i-- > 0;) {
        PhFakeRun *run = &g_array_index(f->runs, PhFakeRun, i);
        if (run->ends_at > w->now && !lease_expired) {
            continue;
        }
        PhFakeEnd end = {.number = ++f->next_end,
                         .name = run->name,
                         .run = run->run,
                         .kind = PH_SCHED_END_DONE};
        if (lease_expired) {
            end.kind = PH_SCHED_END_LEASE_EXPIRED;
        }
        else if (run->stopping) {
            end.kind = PH_SCHED_END_STOPPED;
        }
        else if (run->broken) {
            end.kind = PH_SCHED_END_GANG_BROKEN;
        }
        else if (run->alone_at != 0) {
            end.kind = PH_SCHED_END_GANG_INCOMPLETE;
            assert_true(w->faulty);
        }
        else if (run->fails) {
            end.kind = PH_SCHED_END_FAILED;
        }
        uint32_t highest =
            GPOINTER_TO_UINT(g_hash_table_lookup(f->highest, run->task));
        g_hash_table_replace(f->highest, g_strdup(run->task),
                             GUINT_TO_POINTER(MAX(highest, run->run)));
        g_array_append_val(f->ends, end);
        g_free(run->task);
        g_array_remove_index(f->runs, i);
    }
}
