/* Fake workers of the scheduler simulation: runs, leases and gangs. */
#include "schedule_sim_private.h"

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
PhSchedSimWorker_Clock(const PhSchedSim *sim, const PhSchedSimWorker *w)
{
    return 1000 + (sim->now - w->started_at) / PH_NS_PER_MS;
}

void
PhSchedSimWorker_Reset(PhSchedSim *sim, PhSchedSimWorker *w)
{
    w->born_ms += 1000;
    w->started_at = sim->now;
    w->fence = 0;
    w->deadline_ms = 0;
    w->next_end = 0;
    for (guint i = 0; i < w->runs->len; i++) {
        g_free(g_array_index(w->runs, PhSchedSimRun, i).task);
    }
    g_array_set_size(w->runs, 0);
    g_array_set_size(w->ends, 0);
    g_hash_table_remove_all(w->highest);
}

void
PhSchedSimWorker_Add(PhSchedSim *sim, unsigned number)
{
    PhSchedSimWorker *w = g_new0(PhSchedSimWorker, 1);
    w->id = g_strdup_printf("worker-%u", number);
    w->runs = g_array_new(FALSE, TRUE, sizeof(PhSchedSimRun));
    w->ends = g_array_new(FALSE, TRUE, sizeof(PhSchedSimEnd));
    w->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    PhSchedSimWorker_Reset(sim, w);
    g_ptr_array_add(sim->workers, w);
}

void
PhSchedSimWorker_Destroy(gpointer value)
{
    PhSchedSimWorker *w = value;
    for (guint i = 0; i < w->runs->len; i++) {
        g_free(g_array_index(w->runs, PhSchedSimRun, i).task);
    }
    g_array_free(w->runs, TRUE);
    g_array_free(w->ends, TRUE);
    g_hash_table_destroy(w->highest);
    g_free(w->id);
    g_free(w);
}

/* Checks a start: its record is durable, its run number is new, the task runs
 * nowhere else, and no worker is over its capacity. */
static void
check_start(PhSchedSim *sim, const PhSchedRunOrder *order, const char *task)
{
    char *key = g_strdup_printf("%s/%u", task, order->run);
    assert_true(g_hash_table_contains(sim->started, key));
    assert_false(g_hash_table_contains(sim->used, key));
    g_hash_table_add(sim->used, key);
    for (guint i = 0; i < sim->workers->len; i++) {
        const PhSchedSimWorker *w = g_ptr_array_index(sim->workers, i);
        int64_t committed_milli = 0;
        for (guint j = 0; j < w->runs->len; j++) {
            assert_string_not_equal(
                g_array_index(w->runs, PhSchedSimRun, j).task, task);
            committed_milli += PH_SCHED_SIM_TASK_MILLI;
        }
        assert_true(committed_milli <= PH_SCHED_SIM_CAPACITY_MILLI);
    }
}

/* Checks that a task does not start before its round is due. */
static void
check_due(const PhSchedSim *sim, const PhSchedRunOrder *order)
{
    const PhSchedJob *job =
        PhSchedModel_Job(PhScheduler_Model(sim->owner), order->task.job);
    if (sim->options.rounds > 0 && job != NULL) {
        int64_t due = job->spec.first_due_ms +
                      (int64_t)order->task.round * job->spec.interval_ms;
        assert_true(sim->now / PH_NS_PER_MS >= due);
    }
}

PhSchedOutcome
PhSchedSimWorker_Start(PhSchedSim *sim, PhSchedSimWorker *w,
                       const PhSchedAction *action)
{
    const PhSchedRunOrder *order = &action->as.run;
    char *task = format_task(&order->task);
    uint32_t highest = GPOINTER_TO_UINT(g_hash_table_lookup(w->highest, task));
    PhSchedOutcome outcome = PH_SCHED_OUTCOME_DONE;
    for (guint i = 0; i < w->runs->len; i++) {
        const PhSchedSimRun *run = &g_array_index(w->runs, PhSchedSimRun, i);
        if (strcmp(run->task, task) == 0 && run->run == order->run) {
            g_free(task);
            return PH_SCHED_OUTCOME_DONE;
        }
    }
    if (order->run <= highest) {
        outcome = PH_SCHED_OUTCOME_STALE_RUN;
    }
    else if (order->deadline_ms < PhSchedSimWorker_Clock(sim, w)) {
        outcome = PH_SCHED_OUTCOME_DEADLINE_PASSED;
    }
    else if ((w->runs->len + 1) * PH_SCHED_SIM_TASK_MILLI >
             PH_SCHED_SIM_CAPACITY_MILLI) {
        outcome = PH_SCHED_OUTCOME_NO_CAPACITY;
    }
    else if (PhSchedSim_Chance(sim, FAULT_REFUSALS, 0.1)) {
        outcome = PH_SCHED_OUTCOME_REFUSED;
    }
    else {
        check_start(sim, order, task);
        check_due(sim, order);
        PhSchedSimRun run = {.task = g_strdup(task),
                             .name = order->task,
                             .run = order->run,
                             .fails =
                                 PhSchedSim_Chance(sim, FAULT_FAILURES, 0.1)};
        run.name.job = PhSchedSim_Id(sim, order->task.job);
        run.ends_at =
            sim->options.long_running
                ? PH_TIME_NEVER
                : sim->now +
                      (PhTime)(RUN_MIN_MS +
                               PhRandom_Below(sim->random, RUN_SPREAD_MS)) *
                          PH_NS_PER_MS;
        if (sim->options.gang) {
            run.ends_at = PH_TIME_NEVER;
            run.alone_at = sim->now + GANG_WAIT_MS * PH_NS_PER_MS;
        }
        w->deadline_ms = MAX(w->deadline_ms, order->deadline_ms);
        g_array_append_val(w->runs, run);
        sim->starts++;
    }
    g_free(task);
    return outcome;
}

void
PhSchedSimWorker_Stop(PhSchedSim *sim, PhSchedSimWorker *w,
                      const PhSchedRunOrder *order)
{
    char *task = format_task(&order->task);
    uint32_t highest = GPOINTER_TO_UINT(g_hash_table_lookup(w->highest, task));
    for (guint i = 0; i < w->runs->len; i++) {
        PhSchedSimRun *run = &g_array_index(w->runs, PhSchedSimRun, i);
        if (strcmp(run->task, task) == 0 && run->run == order->run) {
            run->stopping = true;
            run->ends_at =
                MIN(run->ends_at, sim->now + STOP_TIME_MS * PH_NS_PER_MS);
        }
    }
    g_hash_table_replace(w->highest, task,
                         GUINT_TO_POINTER(MAX(highest, order->run)));
}

void
PhSchedSimWorker_Hold(PhSchedSim *sim, PhSchedSimWorker *w,
                      const PhSchedAction *action, PhSchedHoldReply *hold)
{
    uint64_t seen = action->as.hold.last_seen;
    w->deadline_ms = MAX(w->deadline_ms, action->as.hold.deadline_ms);
    assert_true(seen <= w->next_end);
    while (w->ends->len > 0 &&
           g_array_index(w->ends, PhSchedSimEnd, 0).number <= seen) {
        g_array_remove_index(w->ends, 0);
    }
    hold->born_ms = w->born_ms;
    hold->clock_ms = PhSchedSimWorker_Clock(sim, w);
    hold->runs = g_new0(PhSchedRunRow, w->runs->len + 1);
    hold->ends = g_new0(PhSchedEndRow, w->ends->len + 1);
    for (guint i = 0; i < w->runs->len; i++) {
        const PhSchedSimRun *run = &g_array_index(w->runs, PhSchedSimRun, i);
        hold->runs[hold->run_count++] = (PhSchedRunRow){
            .task = run->name, .run = run->run, .usage_sample = -1};
    }
    for (guint i = 0; i < w->ends->len; i++) {
        const PhSchedSimEnd *end = &g_array_index(w->ends, PhSchedSimEnd, i);
        hold->ends[hold->end_count++] = (PhSchedEndRow){.number = end->number,
                                                        .task = end->name,
                                                        .run = end->run,
                                                        .kind = end->kind};
    }
}

/* Calls `visit`, unless NULL, for each run of the gang of `of`.  Returns the
 * number of runs. */
static unsigned
gang_visit(PhSchedSim *sim, const PhSchedSimRun *of,
           void (*visit)(PhSchedSim *sim, PhSchedSimRun *run,
                         const PhSchedSimRun *of))
{
    unsigned count = 0;
    for (guint i = 0; i < sim->workers->len; i++) {
        PhSchedSimWorker *w = g_ptr_array_index(sim->workers, i);
        for (guint j = 0; j < w->runs->len; j++) {
            PhSchedSimRun *run = &g_array_index(w->runs, PhSchedSimRun, j);
            if (run->run == of->run && run->name.round == of->name.round &&
                run->name.step == of->name.step &&
                PhStr_Equal(run->name.job, of->name.job)) {
                count++;
                if (visit != NULL) {
                    visit(sim, run, of);
                }
            }
        }
    }
    return count;
}

/* The gang is complete: starts the work of a member. */
static void
member_start_work(PhSchedSim *sim, PhSchedSimRun *run, const PhSchedSimRun *of)
{
    (void)of;
    run->alone_at = 0;
    run->ends_at = sim->now + RUN_MIN_MS * PH_NS_PER_MS;
}

/* Another member has ended: ends this one as broken. */
static void
member_break(PhSchedSim *sim, PhSchedSimRun *run, const PhSchedSimRun *of)
{
    if (run != of && run->ends_at > sim->now) {
        run->broken = true;
        run->ends_at = sim->now;
    }
}

void
PhSchedSimWorker_TickGangs(PhSchedSim *sim)
{
    for (guint i = 0; i < sim->workers->len; i++) {
        PhSchedSimWorker *w = g_ptr_array_index(sim->workers, i);
        bool lease_expired = PhSchedSimWorker_Clock(sim, w) > w->deadline_ms;
        for (guint j = 0; j < w->runs->len; j++) {
            PhSchedSimRun run = g_array_index(w->runs, PhSchedSimRun, j);
            PhSchedSimRun *own = &g_array_index(w->runs, PhSchedSimRun, j);
            if (run.alone_at != 0 &&
                gang_visit(sim, own, NULL) == PH_SCHED_SIM_TASKS) {
                gang_visit(sim, own, member_start_work);
            }
            else if (lease_expired || (run.ends_at <= sim->now &&
                                       (run.stopping || run.fails))) {
                gang_visit(sim, own, member_break);
            }
            if (own->alone_at != 0 && own->alone_at <= sim->now) {
                own->ends_at = sim->now;
            }
        }
    }
}

void
PhSchedSimWorker_Tick(PhSchedSim *sim, PhSchedSimWorker *w)
{
    bool lease_expired =
        w->runs->len > 0 && PhSchedSimWorker_Clock(sim, w) > w->deadline_ms;
    for (guint i = w->runs->len; i-- > 0;) {
        PhSchedSimRun *run = &g_array_index(w->runs, PhSchedSimRun, i);
        if (run->ends_at > sim->now && !lease_expired) {
            continue;
        }
        PhSchedSimEnd end = {.number = ++w->next_end,
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
            assert_true(sim->faulty);
        }
        else if (run->fails) {
            end.kind = PH_SCHED_END_FAILED;
        }
        uint32_t highest =
            GPOINTER_TO_UINT(g_hash_table_lookup(w->highest, run->task));
        g_hash_table_replace(w->highest, g_strdup(run->task),
                             GUINT_TO_POINTER(MAX(highest, run->run)));
        g_array_append_val(w->ends, end);
        g_free(run->task);
        g_array_remove_index(w->runs, i);
    }
}
