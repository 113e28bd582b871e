/* Starts on a worker on which several runs in a row have failed.  Guards
 * against lasting tasks that wait for the end of its cooldown while no other
 * worker has room, and against a cooldown for the faults of tasks, or of a
 * worker that has shown since that it works. */
#include "single_task.h"
#include "tests/table.h"

#define OTHER PhStr_LITERAL("other")
#define FAILING_JOB PhStr_LITERAL("00000000000000ab")
#define URGENT_JOB PhStr_LITERAL("00000000000000ac")

enum {
    CPU_MILLI = 1000,
    FENCE = 7,
    FAILURES_MAX = 3,
    ENDING_TASKS, /* one more, which is done */
    STEP_MS = 50,
    UNTIL_MS = 8000,
};

static const PhTime START = 100 * PH_NS_PER_S;

/* A task that waits for a worker, and where and when it starts. */
typedef struct PhCooldownCase {
    const char *name;
    bool long_running;
    bool gang;
    unsigned failures; /* failed runs in a row, all at the start */
    int64_t fails_again_ms;
    int64_t refused_until_ms; /* the worker has refused a start */
    int64_t other_freed_ms;   /* another worker gets room */
    bool urgent; /* a smaller task of a higher priority waits as well */
    int64_t started_ms;
    bool started_on_other;
    unsigned failed_elsewhere; /* so many of the failing tasks had, before */
    bool failing_lasts;        /* those tasks are to last */
    int64_t done_ms;           /* a run beside them is done, 0: none is */
    bool done_began_before;    /* it began before they did */
    int64_t tried_ms;          /* the worker got a start, 0: none */
    int64_t other_used_milli;  /* by tasks on the other, 0: all it has */
} PhCooldownCase;

static const PhCooldownCase cooldown_cases[] = {
    {"lasting, no failure", true, false, 0, -1, 0, -1, false, 0, false},
    {"lasting, one failure", true, false, 1, -1, 0, -1, false, 0, false},
    {"lasting, two failures", true, false, 2, -1, 0, -1, false, 1000, false},
    {"lasting gang, two failures", true, true, 2, -1, 0, -1, false, 1000,
     false},
    {"lasting, fails again", true, false, 2, 750, 0, -1, false, 1750, false},
    {"lasting, refused", true, false, 0, -1, 3000, -1, false, 3000, false},
    {"lasting, other room before", true, false, 2, -1, 0, 500, false, 500,
     true},
    {"lasting, other room as well", true, false, 2, -1, 0, 1000, false, 1000,
     true},
    {"lasting, behind an urgent one", true, false, 2, -1, 0, -1, true, 1000,
     false},
    {"ending, one failure", false, false, 1, -1, 0, -1, false, 0, false},
    {"ending, two failures", false, false, 2, -1, 0, -1, false, 6000, false},
    {"ending, other room before", false, false, 2, -1, 0, 5000, false, 5000,
     true},
    {"ending, one had failed elsewhere", false, false, 2, -1, 0, -1, false, 0,
     false, 1},
    {"ending, two of three had", false, false, 3, -1, 0, -1, false, 0, false,
     2},
    {"ending, one of three had", false, false, 3, -1, 0, -1, false, 6000,
     false, 1},
    {"ending, lasting ones had", false, false, 2, -1, 0, -1, false, 6000,
     false, 2, true},
    {"ending, a later run is done", false, false, 2, -1, 0, -1, false, 500,
     false, .done_ms = 500},
    {"ending, an earlier run is done", false, false, 2, -1, 0, -1, false, 6000,
     false, .done_ms = 500, .done_began_before = true},
    {"ending, tried lately", false, false, 2, -1, 0, -1, false, 6500, false,
     .tried_ms = 5500},
    {"ending, little is in use", false, false, 2, -1, 0, -1, false, 1000,
     false, .other_used_milli = 100},
    {"ending, little is in use, fails again", false, false, 2, 750, 0, -1,
     false, 1750, false, .other_used_milli = 100},
    {"ending, little is in use, tried lately", false, false, 2, -1, 0, -1,
     false, 1500, false, .other_used_milli = 100, .tried_ms = 500},
    {"ending, little is in use, other room before", false, false, 2, -1, 0,
     500, false, 500, true, .other_used_milli = 100},
    {"lasting, a later run is done", true, false, 2, -1, 0, -1, false, 500,
     false, .done_ms = 500},
};

static PhSchedWorker *
worker_show(PhScheduler *s, PhStr id)
{
    PhSchedWorkerEntry entry = {.id = PhStr_Dup(id),
                                .born_ms = 1,
                                .address = PhStr_Dup(PhStr_LITERAL("a:1")),
                                .capacity = {.cpu_milli = CPU_MILLI}};
    PhScheduler_SetWorker(s, &entry, START);
    return PhSchedModel_Worker(PhScheduler_Model(s), id, 1);
}

/* The worker answers a hold and lists one more end, if there is a task. */
static void
worker_answer(PhScheduler *s, PhStr id, const PhSchedTask *ended, PhTime now)
{
    PhSchedEndRow end = {.run = 1, .kind = PH_SCHED_END_FAILED};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .more = true};
    if (ended != NULL) {
        end.number = ended->index + 1;
        end.task = PhSchedTask_Name(ended);
        end.kind = ended->index < FAILURES_MAX ? PH_SCHED_END_FAILED
                                               : PH_SCHED_END_DONE;
        reply.ends = &end;
        reply.end_count = 1;
    }
    PhScheduler_OnHold(s, id, 1, &reply, now);
}

/* Adds the tasks whose runs fail, and one whose run is done. */
static PhSchedTask *
ending_add(PhScheduler *s, const PhCooldownCase *c, PhSchedWorker *w,
           const PhSchedWorker *other)
{
    PhSchedTask *tasks =
        PhSingle_AddJob(PhScheduler_Model(s), FAILING_JOB,
                        (PhSchedStep){.count = ENDING_TASKS,
                                      .long_running = c->failing_lasts});
    for (unsigned i = 0; i < ENDING_TASKS; i++) {
        tasks[i].run = 1;
        tasks[i].since = START;
        PhSchedTask_Place(&tasks[i], w);
    }
    for (unsigned i = 0; i < c->failed_elsewhere; i++) {
        tasks[i].failures = 1;
        tasks[i].failed_on = other;
    }
    if (c->done_began_before) {
        tasks[FAILURES_MAX].since--;
    }
    return tasks;
}

static void
urgent_add(PhScheduler *s)
{
    PhSchedSpec spec = PhSingle_Spec(
        URGENT_JOB,
        (PhSchedStep){.count = 1, .resources = {.cpu_milli = CPU_MILLI / 2}});
    spec.terms.priority = -1;
    PhSchedModel_AddJob(PhScheduler_Model(s), &spec, START);
}

static void
cooldown_run(const PhCooldownCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedWorker *w = worker_show(s, PH_SINGLE_WORKER);
    PhSchedWorker *other = worker_show(s, OTHER);
    PhSchedTask *ending = ending_add(s, c, w, other);
    PhSchedTask *task =
        PhSingle_AddJob(PhScheduler_Model(s), PH_SINGLE_JOB,
                        (PhSchedStep){.count = 1,
                                      .long_running = c->long_running,
                                      .gang = c->gang,
                                      .resources = {.cpu_milli = CPU_MILLI}});
    int64_t started_ms = -1;
    if (c->urgent) {
        urgent_add(s);
    }
    int64_t other_used =
        c->other_used_milli > 0 ? c->other_used_milli : CPU_MILLI;
    other->used.cpu_milli += other_used;
    PhScheduler_SetFence(s, FENCE, START);
    worker_answer(s, OTHER, NULL, START);
    worker_answer(s, PH_SINGLE_WORKER, NULL, START);
    for (unsigned i = 0; i < c->failures; i++) {
        worker_answer(s, PH_SINGLE_WORKER, &ending[i], START);
    }
    if (c->refused_until_ms > 0) {
        w->cooldown_until = START + c->refused_until_ms * PH_NS_PER_MS;
    }
    if (c->tried_ms > 0) {
        w->started_at = START + c->tried_ms * PH_NS_PER_MS;
    }
    for (int64_t ms = 0; ms <= UNTIL_MS && started_ms < 0; ms += STEP_MS) {
        PhTime now = START + ms * PH_NS_PER_MS;
        if (ms == c->fails_again_ms) {
            worker_answer(s, PH_SINGLE_WORKER, &ending[c->failures], now);
        }
        if (ms > 0 && ms == c->done_ms) {
            worker_answer(s, PH_SINGLE_WORKER, &ending[FAILURES_MAX], now);
        }
        if (ms == c->other_freed_ms) {
            other->used.cpu_milli -= other_used;
        }
        PhScheduler_Plan(s, now, 0);
        started_ms = task->worker == NULL ? -1 : ms;
    }
    print_message("#   started at %d ms\n", (int)started_ms);
    assert_int_equal(started_ms, c->started_ms);
    assert_ptr_equal(task->worker, c->started_on_other ? other : w);
    PhScheduler_Destroy(s);
}

static void
test_cooldown(void **state)
{
    (void)state;
    Ph_RUN_TABLE(cooldown_cases, cooldown_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_cooldown)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
