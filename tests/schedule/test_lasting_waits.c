/* Lasting tasks that wait for a worker with room.  Guards against one whose
 * run has ended waiting behind others that have never run, and against waits
 * whose reason is not in the log. */
#include "single_task.h"
#include "tests/table.h"

#define OTHER_JOB PhStr_LITERAL("00000000000000ab")
#define DATA_CENTRE PhStr_LITERAL("bacolod")
#define SMALLER_ID PhStr_LITERAL("00000000000000a9")

enum {
    CPU_MILLI = 20000,
    MEM_MB = 25000,
    FENCE = 7,
};

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;
static const PhTime END = 120 * PH_NS_PER_S;
static const PhTime SLACK = 5 * PH_NS_PER_S;
static const PhTime COOLDOWN_OVER = 7 * PH_NS_PER_S;

static PhScheduler *
scheduler_create(void)
{
    return PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
}

/* Shows the worker with room for a number of tasks. */
static void
show_worker(PhScheduler *s, int64_t rooms, bool draining)
{
    PhSchedWorkerEntry entry = {
        .id = PhStr_Dup(PH_SINGLE_WORKER),
        .born_ms = 1,
        .address = PhStr_Dup(PhStr_LITERAL("a:1")),
        .data_centre = PhStr_Dup(DATA_CENTRE),
        .capacity = {.cpu_milli = rooms * CPU_MILLI, .mem_mb = rooms * MEM_MB},
        .draining = draining};
    PhScheduler_SetWorker(s, &entry, TAKEOVER);
}

static PhSchedStep
lasting_step(void)
{
    return (PhSchedStep){
        .count = 1,
        .long_running = true,
        .resources = {.cpu_milli = CPU_MILLI, .mem_mb = MEM_MB}};
}

static PhSchedTask *
job_add(PhScheduler *s, PhStr id, PhSchedStep step, int64_t priority,
        PhTime accepted)
{
    PhSchedSpec spec = PhSingle_Spec(id, step);
    spec.terms.priority = priority;
    spec.terms.slack = SLACK;
    PhSchedJob *job =
        PhSchedModel_AddJob(PhScheduler_Model(s), &spec, accepted);
    return &PhSchedJob_Stage(job, 0, 0)->tasks[0];
}

/* Places run 1 of a task on the worker. */
static void
place(PhScheduler *s, PhSchedTask *task)
{
    task->run = 1;
    PhSchedTask_Place(
        task, PhSchedModel_Worker(PhScheduler_Model(s), PH_SINGLE_WORKER, 1));
}

/* The worker answers a hold and lists the end of run 1 of a job's task. */
static void
answer(PhScheduler *s, PhSchedTaskName task, PhSchedEndKind kind)
{
    PhSchedEndRow end = {.number = 1, .task = task, .run = 1, .kind = kind};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = 5000,
                              .born_ms = 1,
                              .ends = &end,
                              .end_count = 1};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, END);
}

/* A task that waits beside the one whose run ends, and which of them starts
 * where it ran. */
typedef struct PhNextCase {
    const char *name;
    PhSchedEndKind kind;
    PhStr id; /* of the other job */
    int64_t accepted_s;
    int64_t ended_s; /* run 1 of the other task ended; -1: it never ran */
    int64_t priority;
    bool long_running;
    bool failed_before; /* the worker, so that it cools down first */
    bool other;         /* the other one starts */
} PhNextCase;

static const PhNextCase next_cases[] = {
    {"failed, the other comes later", PH_SCHED_END_FAILED, OTHER_JOB, 119, -1,
     0, true, false, false},
    {"failed, the other has a smaller id", PH_SCHED_END_FAILED, SMALLER_ID, 0,
     -1, 0, true, false, false},
    {"failed, the worker cools down", PH_SCHED_END_FAILED, OTHER_JOB, 119, -1,
     0, true, true, false},
    {"lapsed, the other comes later", PH_SCHED_END_LEASE_EXPIRED, OTHER_JOB,
     119, -1, 0, true, false, false},
    {"the other was interrupted before", PH_SCHED_END_FAILED, OTHER_JOB, 0,
     110, 0, true, false, true},
    {"the other has a higher priority", PH_SCHED_END_FAILED, OTHER_JOB, 0, -1,
     -1, true, false, true},
    {"the other does not last", PH_SCHED_END_FAILED, SMALLER_ID, 119, -1, 0,
     false, false, false},
};

static void
next_run(const PhNextCase *c)
{
    PhScheduler *s = scheduler_create();
    PhSchedStep step = lasting_step();
    show_worker(s, 1, false);
    PhSchedTask *task = job_add(s, PH_SINGLE_JOB, step, 0, 0);
    place(s, task);
    step.long_running = c->long_running;
    PhSchedTask *other =
        job_add(s, c->id, step, c->priority, c->accepted_s * PH_NS_PER_S);
    PhScheduler_SetFence(s, FENCE, TAKEOVER);
    if (c->ended_s >= 0) {
        other->run = 1;
        other->since = c->ended_s * PH_NS_PER_S;
    }
    if (c->failed_before > 0) {
        PhSchedFailure failure = {.stage = task->stage,
                                  .runs = c->failed_before};
        g_array_append_val(task->worker->failures, failure);
        task->worker->failed_at = END;
    }
    answer(s, PhSchedTask_Name(task), c->kind);
    PhScheduler_Plan(s, END, 0);
    assert_int_equal(task->worker == NULL && other->worker == NULL,
                     c->failed_before);
    PhScheduler_Plan(s, END + COOLDOWN_OVER, 0);
    assert_int_equal(other->worker != NULL, c->other);
    assert_int_equal(task->worker != NULL, !c->other);
    PhScheduler_Destroy(s);
}

static void
test_next_start(void **state)
{
    (void)state;
    Ph_RUN_TABLE(next_cases, next_run);
}

/* Two steps, each with an interrupted task and one that never ran.  How many
 * of them start in the room that there is. */
typedef struct PhRoomCase {
    const char *name;
    int64_t rooms;
    unsigned interrupted;
    unsigned fresh;
} PhRoomCase;

static const PhRoomCase room_cases[] = {
    {"room for one", 1, 1, 0},
    {"room for two", 2, 2, 0},
    {"room for three", 3, 2, 1},
    {"room for all", 4, 2, 2},
};

static void
room_run(const PhRoomCase *c)
{
    PhScheduler *s = scheduler_create();
    PhSchedStep step = lasting_step();
    PhStr ids[] = {PH_SINGLE_JOB, OTHER_JOB};
    PhSchedTask *tasks[2];
    unsigned interrupted = 0;
    unsigned fresh = 0;
    step.count = 2;
    show_worker(s, c->rooms, false);
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        tasks[i] = job_add(s, ids[i], step, 0, 0);
    }
    PhScheduler_SetFence(s, FENCE, TAKEOVER);
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        tasks[i][1].run = 1;
        tasks[i][1].failures = i == 0;
    }
    PhSchedHoldReply reply = {
        .outcome = PH_SCHED_OUTCOME_DONE, .clock_ms = 5000, .born_ms = 1};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, END);
    PhScheduler_Plan(s, END, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        fresh += tasks[i][0].worker != NULL;
        interrupted += tasks[i][1].worker != NULL;
    }
    assert_int_equal(interrupted, c->interrupted);
    assert_int_equal(fresh, c->fresh);
    PhScheduler_Destroy(s);
}

static void
test_interrupted_first(void **state)
{
    (void)state;
    Ph_RUN_TABLE(room_cases, room_run);
}

enum {
    RECORDS_MAX = 3,
};

/* A record of the task of one of two jobs, read before the takeover. */
typedef struct PhReadRecord {
    unsigned job;
    int64_t at_s; /* 0: none */
    PhSchedTaskState state;
    uint32_t run;
} PhReadRecord;

/* Which of two interrupted tasks a later owner starts first. */
typedef struct PhTakeoverCase {
    const char *name;
    PhReadRecord records[RECORDS_MAX];
    unsigned first;
} PhTakeoverCase;

static const PhTakeoverCase takeover_cases[] = {
    {"the first was interrupted first",
     {{0, 80, PH_SCHED_TASK_WAITING, 1}, {1, 90, PH_SCHED_TASK_WAITING, 1}},
     0},
    {"the second was interrupted first",
     {{1, 80, PH_SCHED_TASK_WAITING, 1}, {0, 90, PH_SCHED_TASK_WAITING, 1}},
     1},
    {"it is recorded again",
     {{1, 80, PH_SCHED_TASK_WAITING, 1},
      {0, 90, PH_SCHED_TASK_WAITING, 1},
      {1, 95, PH_SCHED_TASK_WAITING, 1}},
     1},
    {"it was interrupted again",
     {{1, 80, PH_SCHED_TASK_WAITING, 1},
      {0, 90, PH_SCHED_TASK_WAITING, 1},
      {1, 95, PH_SCHED_TASK_WAITING, 2}},
     0},
};

static void
record_read(PhScheduler *s, PhStr id, const PhReadRecord *r)
{
    PhSchedRecord record = {
        .tag = PH_SCHED_RECORD_STAGE,
        .id = PhStr_Dup(id),
        .as.stage = {.tasks = g_new0(PhSchedTaskRecord, 1), .task_count = 1}};
    record.as.stage.tasks[0].state = r->state;
    record.as.stage.tasks[0].run = r->run;
    assert_int_equal(PhScheduler_Apply(s, &record, r->at_s * PH_NS_PER_S),
                     PH_STATUS_OK);
}

static void
takeover_run(const PhTakeoverCase *c)
{
    PhScheduler *s = scheduler_create();
    PhSchedStep step = lasting_step();
    PhStr ids[] = {PH_SINGLE_JOB, OTHER_JOB};
    PhSchedTask *tasks[2];
    show_worker(s, 1, false);
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        tasks[i] = job_add(s, ids[i], step, 0, 0);
    }
    for (size_t i = 0; i < RECORDS_MAX && c->records[i].at_s > 0; i++) {
        record_read(s, ids[c->records[i].job], &c->records[i]);
    }
    PhScheduler_SetFence(s, FENCE, TAKEOVER);
    PhSchedHoldReply reply = {
        .outcome = PH_SCHED_OUTCOME_DONE, .clock_ms = 5000, .born_ms = 1};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, END);
    PhScheduler_Plan(s, END, 0);
    assert_true(tasks[c->first]->worker != NULL);
    assert_true(tasks[1 - c->first]->worker == NULL);
    PhScheduler_Destroy(s);
}

/* Guards against tasks that lose their place to later ones whenever the owner
 * changes. */
static void
test_order_after_takeover(void **state)
{
    (void)state;
    Ph_RUN_TABLE(takeover_cases, takeover_run);
}

/* What keeps a lasting task from the only worker, and the reason that is
 * reported. */
typedef struct PhReasonCase {
    const char *name;
    bool answers;
    bool draining;
    bool cooldown;
    int64_t rooms;
    int64_t mem_mb;    /* asked for */
    bool placed;       /* another task of the step is there */
    uint32_t most;     /* max_per_worker */
    bool long_running; /* the other task there */
    PhFit reason;
    uint32_t beside_lasting;
    bool cordoned;
} PhReasonCase;

static const PhReasonCase reason_cases[] = {
    {"no answer", false, false, false, 1, 1, false, 0, true, PH_FIT_SILENT, 0},
    {"leaves", true, true, false, 1, 1, false, 0, true, PH_FIT_LEAVES, 0},
    {"cordoned", true, false, false, 1, 1, false, 0, true, PH_FIT_CORDONED, 0,
     .cordoned = true},
    {"cordoned, and cools down", true, false, true, 1, 1, false, 0, true,
     PH_FIT_CORDONED, 0, .cordoned = true},
    {"cools down", true, false, true, 1, 1, false, 0, true, PH_FIT_COOLDOWN,
     0},
    {"memory", true, false, false, 1, MEM_MB + 1, false, 0, true,
     PH_FIT_MEMORY, 0},
    {"CPU, beside a lasting task", true, false, false, 1, 1, true, 0, true,
     PH_FIT_CPU, 0},
    {"CPU, beside another task", true, false, false, 1, 1, true, 0, false,
     PH_FIT_CPU, 1},
    {"limit of the step", true, false, false, 2, 1, true, 1, true,
     PH_FIT_LIMIT, 1},
};

/* Adds the task that waits; another one may be on the worker. */
static void
reason_fill(PhScheduler *s, const PhReasonCase *c)
{
    PhSchedStep step = lasting_step();
    step.resources.mem_mb = c->mem_mb;
    step.max_per_worker = c->most;
    step.count = 1 + (c->placed && c->long_running);
    PhSchedTask *tasks = job_add(s, PH_SINGLE_JOB, step, 0, 0);
    if (c->placed && c->long_running) {
        place(s, &tasks[1]);
    }
    else if (c->placed) {
        step.long_running = false;
        place(s, job_add(s, OTHER_JOB, step, 0, 0));
    }
}

/* Counts the reports, and checks that each names the task and the reason. */
static unsigned
reports_check(PhScheduler *s, const PhReasonCase *c, PhTime waited)
{
    size_t count;
    unsigned reports = 0;
    const PhSchedEvent *events = PhScheduler_Events(s, &count);
    for (size_t i = 0; i < count; i++) {
        if (events[i].tag != PH_SCHED_EVENT_TASK_WAITS) {
            continue;
        }
        reports++;
        assert_int_equal(events[i].as.waits.task.index, 0);
        assert_int_equal(events[i].as.waits.waited, waited);
        assert_int_equal(events[i].as.waits.long_waits, 1);
        assert_int_equal(events[i].as.waits.workers[c->reason], 1);
        assert_int_equal(events[i].as.waits.beside_lasting, c->beside_lasting);
    }
    PhScheduler_ClearEvents(s);
    return reports;
}

/* One report a second, from 3 s on. */
static void
reason_run(const PhReasonCase *c)
{
    PhScheduler *s = scheduler_create();
    unsigned reports = 0;
    show_worker(s, c->rooms, c->draining);
    reason_fill(s, c);
    PhScheduler_SetFence(s, FENCE, TAKEOVER);
    PhSchedWorker *w =
        PhSchedModel_Worker(PhScheduler_Model(s), PH_SINGLE_WORKER, 1);
    w->fenced = c->answers;
    w->cooldown_until = c->cooldown ? PH_TIME_NEVER : 0;
    PhScheduler_SetCordon(s, DATA_CENTRE, c->cordoned, TAKEOVER);
    for (int64_t ms = 0; ms <= 5000; ms += 250) {
        PhTime now = TAKEOVER + ms * PH_NS_PER_MS;
        PhScheduler_Plan(s, now, 0);
        unsigned more = reports_check(s, c, ms * PH_NS_PER_MS);
        assert_true(more == 0 || ms >= 3000);
        reports += more;
    }
    assert_int_equal(reports, 3);
    PhScheduler_Destroy(s);
}

static void
test_reasons(void **state)
{
    (void)state;
    Ph_RUN_TABLE(reason_cases, reason_run);
}

/* Tasks that wait, and the one that is reported. */
typedef struct PhReportedCase {
    const char *name;
    bool ran[2]; /* the tasks have run before */
    int64_t since_s[2];
    uint32_t interrupted;
    uint32_t reported;
} PhReportedCase;

static const PhReportedCase reported_cases[] = {
    {"neither has run", {false, false}, {110, 105}, 0, 1},
    {"both have run", {true, true}, {105, 110}, 2, 0},
    {"the first has run", {true, false}, {110, 105}, 1, 0},
    {"the second has run", {false, true}, {105, 110}, 1, 1},
};

static void
reported_run(const PhReportedCase *c)
{
    PhScheduler *s = scheduler_create();
    PhSchedStep step = lasting_step();
    size_t count;
    step.count = 2;
    PhSchedTask *tasks = job_add(s, PH_SINGLE_JOB, step, 0, 0);
    PhScheduler_SetFence(s, FENCE, TAKEOVER);
    for (size_t i = 0; i < 2; i++) {
        tasks[i].run = c->ran[i];
        tasks[i].since = c->since_s[i] * PH_NS_PER_S;
    }
    PhScheduler_Plan(s, END, 0);
    const PhSchedEvent *events = PhScheduler_Events(s, &count);
    assert_int_equal(count, 2);
    assert_int_equal(events[0].tag, PH_SCHED_EVENT_TASK_WAITS);
    assert_int_equal(events[0].as.waits.task.index, c->reported);
    assert_int_equal(events[0].as.waits.long_waits, 2);
    assert_int_equal(events[0].as.waits.interrupted, c->interrupted);
    /* Of all tasks, also those that come to an end. */
    assert_int_equal(events[1].tag, PH_SCHED_EVENT_TASK_HELD);
    assert_int_equal(events[1].as.held.task.index,
                     c->since_s[1] < c->since_s[0]);
    assert_int_equal(events[1].as.held.holds[PH_TASK_HOLD_WORKER], 2);
    PhScheduler_Destroy(s);
}

static void
test_reported(void **state)
{
    (void)state;
    Ph_RUN_TABLE(reported_cases, reported_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_next_start),
        cmocka_unit_test(test_interrupted_first),
        cmocka_unit_test(test_order_after_takeover),
        cmocka_unit_test(test_reasons),
        cmocka_unit_test(test_reported),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
