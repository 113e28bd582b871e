/* Starts on a worker on which several runs in a row have failed.  Guards
 * against lasting tasks that wait for the end of its cooldown while no other
 * worker has room. */
#include "single_task.h"
#include "tests/table.h"

#define OTHER PhStr_LITERAL("other")
#define FAILING_JOB PhStr_LITERAL("00000000000000ab")
#define URGENT_JOB PhStr_LITERAL("00000000000000ac")

enum {
    CPU_MILLI = 1000,
    FENCE = 7,
    FAILURES_MAX = 3,
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

/* The worker answers a hold and lists the failed end of one more run, if there
 * is a task. */
static void
worker_answer(PhScheduler *s, PhStr id, const PhSchedTask *failed, PhTime now)
{
    PhSchedEndRow end = {.run = 1, .kind = PH_SCHED_END_FAILED};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .more = true};
    if (failed != NULL) {
        end.number = failed->index + 1;
        end.task = PhSchedTask_Name(failed);
        reply.ends = &end;
        reply.end_count = 1;
    }
    PhScheduler_OnHold(s, id, 1, &reply, now);
}

static PhSchedTask *
failing_add(PhScheduler *s, PhSchedWorker *w)
{
    PhSchedTask *tasks = PhSingle_AddJob(PhScheduler_Model(s), FAILING_JOB,
                                         (PhSchedStep){.count = FAILURES_MAX});
    for (unsigned i = 0; i < FAILURES_MAX; i++) {
        tasks[i].run = 1;
        PhSchedTask_Place(&tasks[i], w);
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
    PhSchedTask *failing = failing_add(s, w);
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
    other->used.cpu_milli += CPU_MILLI;
    PhScheduler_SetFence(s, FENCE, START);
    worker_answer(s, OTHER, NULL, START);
    worker_answer(s, PH_SINGLE_WORKER, NULL, START);
    for (unsigned i = 0; i < c->failures; i++) {
        worker_answer(s, PH_SINGLE_WORKER, &failing[i], START);
    }
    if (c->refused_until_ms > 0) {
        w->cooldown_until = START + c->refused_until_ms * PH_NS_PER_MS;
    }
    for (int64_t ms = 0; ms <= UNTIL_MS && started_ms < 0; ms += STEP_MS) {
        PhTime now = START + ms * PH_NS_PER_MS;
        if (ms == c->fails_again_ms) {
            worker_answer(s, PH_SINGLE_WORKER, &failing[c->failures], now);
        }
        if (ms == c->other_freed_ms) {
            other->used.cpu_milli -= CPU_MILLI;
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
