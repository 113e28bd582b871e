/* What the log says of a task that may run and has had no run for long. */
#include "single_task.h"
#include "tests/table.h"

#define UNKNOWN_JOB PhStr_LITERAL("00000000000000ff")
#define FAILING_JOB PhStr_LITERAL("00000000000000ab")

enum {
    CPU_MILLI = 1000,
    FENCE = 7,
    LATER_S = 4,
    FAILURES = 2,
};

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

/* How far the start of the task has come. */
typedef enum PhProgress {
    PROGRESS_WAITING,   /* no worker has room */
    PROGRESS_DOUBTED,   /* the same, until all runs on the worker fail */
    PROGRESS_INHERITED, /* an earlier owner placed it */
    PROGRESS_PLACED,    /* the record of its start is not durable */
    PROGRESS_SENT,      /* its start is not answered */
    PROGRESS_RUNS,
    PROGRESS_BLOCKED, /* it runs, and its worker lists the end of another job
                         that is not known */
} PhProgress;

typedef struct PhHeldCase {
    const char *name;
    PhProgress progress;
    bool long_running;
    bool answers; /* the worker, again at the end */
    PhTaskHold hold;
    PhFit fit; /* WORKER: why it does not start there */
} PhHeldCase;

static const PhHeldCase held_cases[] = {
    {"no worker has room", PROGRESS_WAITING, false, true, PH_TASK_HOLD_WORKER,
     PH_FIT_CPU},
    {"no worker has room for one that is to last", PROGRESS_WAITING, true,
     true, PH_TASK_HOLD_WORKER, PH_FIT_CPU},
    {"runs have failed on the worker", PROGRESS_DOUBTED, false, true,
     PH_TASK_HOLD_WORKER, PH_FIT_DOUBTED},
    {"the same, and one that is to last", PROGRESS_DOUBTED, true, true,
     PH_TASK_HOLD_WORKER, PH_FIT_DOUBTED},
    {"the worker of an earlier owner does not answer", PROGRESS_INHERITED,
     false, false, PH_TASK_HOLD_LEASE},
    {"the same, of one that is to last", PROGRESS_INHERITED, true, false,
     PH_TASK_HOLD_LEASE},
    {"the record is not durable", PROGRESS_PLACED, false, true,
     PH_TASK_HOLD_RECORD},
    {"the start is not answered", PROGRESS_SENT, false, true,
     PH_TASK_HOLD_START},
    {"the worker reports no runs", PROGRESS_BLOCKED, false, true,
     PH_TASK_HOLD_REPORT},
    {"it runs", PROGRESS_RUNS, false, true, PH_TASK_HOLD_NONE},
    {"one that is to last runs", PROGRESS_RUNS, true, true, PH_TASK_HOLD_NONE},
};

static void
worker_show(PhScheduler *s, bool has_room)
{
    PhSchedWorkerEntry entry = {.id = PhStr_Dup(PH_SINGLE_WORKER),
                                .born_ms = 1,
                                .address = PhStr_Dup(PhStr_LITERAL("a:1"))};
    entry.capacity.cpu_milli = has_room ? CPU_MILLI : CPU_MILLI / 2;
    PhScheduler_SetWorker(s, &entry, TAKEOVER);
}

/* Adds tasks whose runs take all the room of the worker. */
static PhSchedTask *
failing_add(PhScheduler *s)
{
    PhSchedModel *model = PhScheduler_Model(s);
    PhSchedTask *tasks = PhSingle_AddJob(
        model, FAILING_JOB,
        (PhSchedStep){.count = FAILURES,
                      .resources.cpu_milli = CPU_MILLI / FAILURES});
    for (unsigned i = 0; i < FAILURES; i++) {
        tasks[i].run = 1;
        PhSchedTask_Place(&tasks[i],
                          PhSchedModel_Worker(model, PH_SINGLE_WORKER, 1));
    }
    return tasks;
}

/* They all fail. */
static void
failing_end(PhScheduler *s, const PhSchedTask *tasks, PhTime now)
{
    PhSchedEndRow ends[FAILURES];
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = 5000 + now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .ends = ends,
                              .end_count = FAILURES};
    for (unsigned i = 0; i < FAILURES; i++) {
        ends[i] = (PhSchedEndRow){.number = i + 1,
                                  .task = PhSchedTask_Name(&tasks[i]),
                                  .run = 1,
                                  .kind = PH_SCHED_END_FAILED};
    }
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
}

/* The worker answers a hold. */
static void
worker_answer(PhScheduler *s, const PhSchedTask *task, PhProgress progress,
              PhTime now)
{
    PhSchedRunRow run = {.task = PhSchedTask_Name(task), .run = task->run};
    PhSchedEndRow end = {.number = 1, .task = {.job = UNKNOWN_JOB}, .run = 1};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = 5000 + now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .runs = &run,
                              .run_count = progress == PROGRESS_RUNS,
                              .ends = &end,
                              .end_count = progress == PROGRESS_BLOCKED,
                              .more = progress == PROGRESS_DOUBTED};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
}

/* Sends the start that is due. */
static void
start_send(PhScheduler *s, const PhSchedTask *task, bool answered)
{
    PhSchedAction action;
    PhSingle_RecordAll(s);
    while (PhScheduler_NextAction(s, TAKEOVER, &action)) {
        if (answered && action.tag == PH_SCHED_ACTION_START) {
            PhSchedRunReply reply = {.task = PhSchedTask_Name(task),
                                     .run = task->run,
                                     .born_ms = 1,
                                     .outcome = PH_SCHED_OUTCOME_DONE,
                                     .clock_ms = 5000};
            PhScheduler_OnStart(s, &reply, TAKEOVER);
        }
    }
}

/* Returns what the newest event says of the task, NONE without an event, and
 * checks that it gives the worker's fit. */
static PhTaskHold
reported_hold(const PhScheduler *s, const PhSchedTask *task, PhFit fit)
{
    size_t count;
    PhTaskHold hold = PH_TASK_HOLD_NONE;
    const PhSchedEvent *events = PhScheduler_Events(s, &count);
    for (size_t i = 0; i < count; i++) {
        if (events[i].tag != PH_SCHED_EVENT_TASK_HELD) {
            continue;
        }
        PhSchedTaskName name = PhSchedTask_Name(task);
        hold = events[i].as.held.hold;
        assert_true(PhSchedTaskName_Equal(&events[i].as.held.task, &name));
        assert_true(events[i].as.held.held >= (LATER_S - 1) * PH_NS_PER_S);
        assert_int_equal(events[i].as.held.holds[hold], 1);
        assert_int_equal(events[i].as.held.workers[fit],
                         hold == PH_TASK_HOLD_WORKER);
    }
    return hold;
}

static void
held_run(const PhHeldCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhTime later = TAKEOVER + LATER_S * PH_NS_PER_S;
    PhSchedTask *task =
        PhSingle_AddJob(PhScheduler_Model(s), PH_SINGLE_JOB,
                        (PhSchedStep){.count = 1,
                                      .long_running = c->long_running,
                                      .resources.cpu_milli = CPU_MILLI});
    worker_show(s, c->progress != PROGRESS_WAITING);
    PhSchedTask *failing =
        c->progress == PROGRESS_DOUBTED ? failing_add(s) : NULL;
    if (c->progress == PROGRESS_INHERITED) {
        task->run = 1;
        PhSchedTask_Place(task, PhSchedModel_Worker(PhScheduler_Model(s),
                                                    PH_SINGLE_WORKER, 1));
    }
    PhScheduler_SetFence(s, FENCE, TAKEOVER);
    if (c->answers) {
        worker_answer(s, task, MIN(c->progress, PROGRESS_DOUBTED), TAKEOVER);
    }
    PhScheduler_Plan(s, TAKEOVER, 0);
    if (c->progress >= PROGRESS_SENT) {
        start_send(s, task, c->progress > PROGRESS_SENT);
    }
    if (failing != NULL) {
        failing_end(s, failing, later);
    }
    else if (c->answers) {
        worker_answer(s, task, c->progress, later);
    }
    PhScheduler_ClearEvents(s);
    PhScheduler_Plan(s, later, 0);
    assert_int_equal(reported_hold(s, task, c->fit), c->hold);
    PhScheduler_Destroy(s);
}

/* Guards against a task that is not run at the end of a day (LOST) without a
 * line in the log that says what it waited for. */
static void
test_held_tasks(void **state)
{
    (void)state;
    Ph_RUN_TABLE(held_cases, held_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_held_tasks)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
