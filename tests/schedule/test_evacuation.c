/* A lasting task on a worker that leaves.  Guards against a pause of a whole
 * lease where there is room elsewhere, against a stop without room elsewhere,
 * and against other tasks that take the room meanwhile. */
#include "single_task.h"
#include "tests/table.h"

#define OTHER PhStr_LITERAL("other")

static const PhTime START = 100 * PH_NS_PER_S;

enum {
    CAPACITY_MILLI = 8000,
    STEP_MS = 100,
    UNTIL_MS = 6000,
    NEVER_MS = -1,
};

/* The worker says at 0 ms that it leaves, `remaining_ms` later at the
 * earliest; the end of a stopped run is reported `stop_ms` after the stop.
 * Times in milliseconds, NEVER_MS for none. */
typedef struct PhEvacuationCase {
    const char *name;
    int64_t remaining_ms;
    int64_t cpu_milli;     /* of the lasting task */
    int64_t other_used;    /* cpu in use on the other worker */
    int64_t freed_at_ms;   /* it becomes free */
    bool other_cools_down; /* it may get no starts after the stop was sent */
    int64_t stop_ms;
    int64_t stopped_at_ms; /* expected */
    int64_t started_at_ms; /* expected, on the other worker */
    bool gang;
    bool down; /* a lasting task of the same size is down */
    bool pair; /* it is one of a gang of two, both down */
} PhEvacuationCase;

static const PhEvacuationCase evacuation_cases[] = {
    {"room elsewhere", 4500, 2000, 0, NEVER_MS, false, 200, 3300, 3500},
    {"a short notice", 500, 2000, 0, NEVER_MS, false, 200, 0, 200},
    {"room elsewhere later", 4500, 2000, 7000, 3800, false, 200, 3800, 4000},
    {"no room elsewhere", 4500, 2000, 7000, NEVER_MS, false, 200, NEVER_MS,
     NEVER_MS},
    {"the room is lost meanwhile", 4500, 2000, 0, NEVER_MS, true, 200, 3300,
     NEVER_MS},
    {"members of a gang stay", 4500, 2000, 0, NEVER_MS, false, 200, NEVER_MS,
     NEVER_MS, true},
    {"one that is down goes first", 4500, 6000, 7000, 3800, false, 200,
     NEVER_MS, NEVER_MS, false, true},
    {"room for one that is down as well", 4500, 3000, 7000, 3800, false, 200,
     3900, 4100, false, true},
    {"room for one of a gang that is down", 4500, 6000, 0, NEVER_MS, false,
     200, 3300, 3500, .pair = true},
};

static void
worker_show(PhScheduler *s, PhStr id, const char *rack, PhTime remaining,
            PhTime now)
{
    PhSchedWorkerEntry entry = {.id = PhStr_Dup(id),
                                .born_ms = 1,
                                .address = PhStr_Dup(PhStr_LITERAL("a:1")),
                                .rack = PhStr_Dup(PhStr_FromC(rack)),
                                .capacity = {.cpu_milli = CAPACITY_MILLI},
                                .draining = remaining > 0,
                                .remaining = remaining};
    PhScheduler_SetWorker(s, &entry, now);
}

/* Answers a hold of a worker; an ended run is reported if `end` is set. */
static void
hold_answer(PhScheduler *s, PhStr worker, const PhSchedTask *task, bool end,
            PhTime now)
{
    bool lists =
        task->worker != NULL && PhStr_Equal(task->worker->entry.id, worker);
    PhSchedRunRow row = {.task = PhSchedTask_Name(task), .run = task->run};
    PhSchedEndRow ended = {.number = 1,
                           .task = row.task,
                           .run = task->run,
                           .kind = PH_SCHED_END_STOPPED};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .runs = &row,
                              .run_count = lists && !end,
                              .ends = &ended,
                              .end_count = end};
    PhScheduler_OnHold(s, worker, 1, &reply, now);
}

/* What the scheduler has ordered. */
typedef struct PhEvacuationLog {
    int64_t stopped_at_ms;
    int64_t started_at_ms;
} PhEvacuationLog;

/* Adds a job that would take the room of the lasting task. */
static void
rival_add(PhSchedModel *model)
{
    PhSchedResources resources = {.cpu_milli = CAPACITY_MILLI - 1000};
    PhSingle_AddJob(model, PhStr_LITERAL("00000000000000bb"),
                    (PhSchedStep){.count = 1, .resources = resources});
}

/* Adds a lasting task that has lost its run, or a gang of two of them. */
static PhSchedTask *
down_add(PhSchedModel *model, int64_t cpu_milli, bool pair)
{
    PhSchedTask *task =
        PhSingle_AddJob(model, PhStr_LITERAL("00000000000000cc"),
                        (PhSchedStep){.count = pair ? 2 : 1,
                                      .long_running = true,
                                      .gang = pair,
                                      .resources = {.cpu_milli = cpu_milli}});
    for (uint32_t i = 0; i <= (uint32_t)pair; i++) {
        task->stage->tasks[i].run = 1;
    }
    return task;
}

static void
orders_execute(PhScheduler *s, const PhSchedTask *task, PhEvacuationLog *log,
               int64_t ms)
{
    PhTime now = START + ms * PH_NS_PER_MS;
    PhSchedAction a;
    PhScheduler_Plan(s, now, 0);
    PhSingle_RecordAll(s);
    while (PhScheduler_NextAction(s, now, &a)) {
        bool lasting = a.tag != PH_SCHED_ACTION_HOLD &&
                       PhStr_Equal(a.as.run.task.job, PH_SINGLE_JOB);
        if (a.tag == PH_SCHED_ACTION_HOLD) {
            hold_answer(s, a.worker, task, false, now);
        }
        else if (a.tag == PH_SCHED_ACTION_STOP && lasting) {
            assert_int_equal(log->stopped_at_ms, NEVER_MS);
            log->stopped_at_ms = ms;
        }
        else if (a.tag == PH_SCHED_ACTION_START && lasting) {
            assert_true(PhStr_Equal(a.worker, OTHER));
            log->started_at_ms = ms;
        }
    }
}

static void
evacuation_run(const PhEvacuationCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedModel *model = PhScheduler_Model(s);
    PhEvacuationLog log = {NEVER_MS, NEVER_MS};
    worker_show(s, PH_SINGLE_WORKER, "r1", 0, START);
    worker_show(s, OTHER, "r2", 0, START);
    PhSchedTask *task = PhSingle_AddJob(
        model, PH_SINGLE_JOB,
        (PhSchedStep){.count = 1,
                      .long_running = true,
                      .gang = c->gang,
                      .resources = {.cpu_milli = c->cpu_milli}});
    task->run = 1;
    PhSchedWorker *other = PhSchedModel_Worker(model, OTHER, 1);
    PhSchedTask_Place(task, PhSchedModel_Worker(model, PH_SINGLE_WORKER, 1));
    other->used.cpu_milli += c->other_used;
    PhSchedTask *down =
        c->down || c->pair ? down_add(model, c->cpu_milli, c->pair) : NULL;
    PhScheduler_SetFence(s, 7, START);
    orders_execute(s, task, &log, 0);
    worker_show(s, PH_SINGLE_WORKER, "r1", c->remaining_ms * PH_NS_PER_MS,
                START);
    for (int64_t ms = 0; ms <= UNTIL_MS; ms += STEP_MS) {
        PhTime now = START + ms * PH_NS_PER_MS;
        if (ms == c->freed_at_ms) {
            other->used.cpu_milli -= c->other_used;
        }
        if (c->other_cools_down && log.stopped_at_ms >= 0) {
            other->cooldown_until = PH_TIME_NEVER;
        }
        if (log.stopped_at_ms >= 0 && ms == log.stopped_at_ms + c->stop_ms) {
            hold_answer(s, PH_SINGLE_WORKER, task, true, now);
        }
        bool stopped = log.stopped_at_ms >= 0;
        orders_execute(s, task, &log, ms);
        if (!stopped && log.stopped_at_ms >= 0) {
            rival_add(model);
        }
    }
    print_message("#   stopped at %d ms, started at %d ms\n",
                  (int)log.stopped_at_ms, (int)log.started_at_ms);
    assert_int_equal(log.stopped_at_ms, c->stopped_at_ms);
    assert_int_equal(log.started_at_ms, c->started_at_ms);
    assert_true(!c->down || down->worker == other);
    assert_true(!c->pair || down->worker == NULL);
    PhScheduler_Destroy(s);
}

/* Guards against lasting tasks that wait for a lease of a worker whose leaving
 * was announced. */
static void
test_evacuation(void **state)
{
    (void)state;
    Ph_RUN_TABLE(evacuation_cases, evacuation_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_evacuation)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
