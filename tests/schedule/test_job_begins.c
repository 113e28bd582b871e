/* The state of a job from its first order to the first report that one of its
 * runs began.  Guards against a job that counts as started because an order
 * was sent: the worker may never have received it. */
#include "single_task.h"
#include "tests/table.h"

enum {
    OTHER_RUN = 9,
};

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;
static const PhTime STEP = 100 * PH_NS_PER_MS;
static const PhTime DURATION = 4 * PH_NS_PER_S;

/* What the worker's replies to holds list of the task. */
typedef enum PhListed {
    LISTED_NOTHING,
    LISTED_RUN,
    LISTED_OTHER_RUN,
    LISTED_END,
} PhListed;

/* The outcome of every start order, what the holds after the first one list,
 * and the state that clients see in the end. */
typedef struct PhBeginCase {
    const char *name;
    PhSchedOutcome outcome;
    PhListed listed;
    PhSchedJobState state;
} PhBeginCase;

static const PhBeginCase begin_cases[] = {
    {"the start is executed", PH_SCHED_OUTCOME_DONE, LISTED_NOTHING,
     PH_SCHED_JOB_RUNNING},
    {"no answer", PH_SCHED_OUTCOME_UNKNOWN, LISTED_NOTHING,
     PH_SCHED_JOB_QUEUED},
    {"no answer, the run is listed", PH_SCHED_OUTCOME_UNKNOWN, LISTED_RUN,
     PH_SCHED_JOB_RUNNING},
    {"no answer, its end is listed", PH_SCHED_OUTCOME_UNKNOWN, LISTED_END,
     PH_SCHED_JOB_RUNNING},
    {"no answer, another run is listed", PH_SCHED_OUTCOME_UNKNOWN,
     LISTED_OTHER_RUN, PH_SCHED_JOB_RUNNING},
    {"no capacity", PH_SCHED_OUTCOME_NO_CAPACITY, LISTED_NOTHING,
     PH_SCHED_JOB_QUEUED},
    {"stopped there before it began", PH_SCHED_OUTCOME_STALE_RUN,
     LISTED_NOTHING, PH_SCHED_JOB_QUEUED},
};

/* Records all pending changes and applies them to a follower's model. */
static void
record_all(PhScheduler *s, PhSchedModel *follower, PhTime now)
{
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    uint64_t batch = PhScheduler_TakeBatch(s, records);
    for (guint i = 0; i < records->len; i++) {
        PhSchedModel_Apply(follower, &g_array_index(records, PhSchedRecord, i),
                           now);
    }
    g_array_free(records, TRUE);
    PhScheduler_OnDurable(s, batch);
}

static void
answer_hold(PhScheduler *s, const PhSchedTask *task, PhListed listed,
            PhTime now)
{
    PhSchedRunRow row = {.task = PhSchedTask_Name(task), .run = task->run};
    PhSchedEndRow end = {.number = 1,
                         .task = row.task,
                         .run = task->run,
                         .kind = PH_SCHED_END_FAILED};
    if (listed == LISTED_OTHER_RUN) {
        row.run = OTHER_RUN;
    }
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .runs = &row,
                              .run_count = listed == LISTED_RUN ||
                                           listed == LISTED_OTHER_RUN,
                              .ends = &end,
                              .end_count = listed == LISTED_END};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
}

/* Sends the orders that are due and answers them. */
static void
answer_orders(PhScheduler *s, const PhSchedTask *task, const PhBeginCase *c,
              PhTime now)
{
    PhSchedAction action;
    PhScheduler_Plan(s, now, 0);
    while (PhScheduler_NextAction(s, now, &action)) {
        PhSchedRunReply reply = {.task = PhSchedTask_Name(task),
                                 .run = action.as.run.run,
                                 .born_ms = action.born_ms,
                                 .outcome = c->outcome,
                                 .clock_ms = now / PH_NS_PER_MS};
        if (action.tag == PH_SCHED_ACTION_HOLD) {
            answer_hold(s, task, task->run == 0 ? LISTED_NOTHING : c->listed,
                        now);
        }
        else if (action.tag == PH_SCHED_ACTION_START) {
            PhScheduler_OnStart(s, &reply, now);
        }
        else {
            reply.outcome = PH_SCHED_OUTCOME_DONE;
            PhScheduler_OnStop(s, &reply, now);
        }
    }
}

static void
begin_run(const PhBeginCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedModel *follower = PhSchedModel_Create();
    PhSchedStep step = {.count = 1};
    PhSingle_ShowWorker(s, false, TAKEOVER);
    PhSchedTask *task =
        PhSingle_AddJob(PhScheduler_Model(s), PH_SINGLE_JOB, step);
    PhSingle_AddJob(follower, PH_SINGLE_JOB, step);
    PhScheduler_SetFence(s, 7, TAKEOVER);
    for (PhTime now = TAKEOVER; now < TAKEOVER + DURATION; now += STEP) {
        answer_orders(s, task, c, now);
        record_all(s, follower, now);
    }
    assert_true(task->run > 0);
    assert_int_equal(task->stage->job->durable_state, c->state);
    assert_int_equal(PhSchedModel_Job(follower, PH_SINGLE_JOB)->durable_state,
                     c->state);
    PhSchedModel_Destroy(follower);
    PhScheduler_Destroy(s);
}

/* A job is queued until a worker reports that a run of it began, at the owner
 * and at an instance that reads the records. */
static void
test_begins(void **state)
{
    (void)state;
    Ph_RUN_TABLE(begin_cases, begin_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_begins)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
