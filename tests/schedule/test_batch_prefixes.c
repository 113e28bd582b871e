/* Batches of which only the first records are in the store when the owner is
 * lost: large batches are sent in several appends.  Guards against a next
 * owner that starts a task again whose end the lost owner has seen. */
#include "single_task.h"
#include "tests/table.h"

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;
static const PhTime DURATION = 3 * PH_NS_PER_S;
static const PhTime STEP = 100 * PH_NS_PER_MS;

enum {
    BATCH_RECORDS = 3, /* learned pairs, the stage and the state of its job */
};

/* How the only run ends, and the state of the job from then on. */
typedef struct PhPrefixCase {
    const char *name;
    guint stored; /* records of the batch */
    PhSchedEndKind kind;
    PhSchedJobState state;
} PhPrefixCase;

static const PhPrefixCase prefix_cases[] = {
    {"done, nothing is stored", 0, PH_SCHED_END_DONE, PH_SCHED_JOB_COMPLETED},
    {"done, all but one record is stored", 2, PH_SCHED_END_DONE,
     PH_SCHED_JOB_COMPLETED},
    {"done, all is stored", 3, PH_SCHED_END_DONE, PH_SCHED_JOB_COMPLETED},
    {"failed, nothing is stored", 0, PH_SCHED_END_FAILED, PH_SCHED_JOB_FAILED},
    {"failed, all but one record is stored", 2, PH_SCHED_END_FAILED,
     PH_SCHED_JOB_FAILED},
    {"failed, all is stored", 3, PH_SCHED_END_FAILED, PH_SCHED_JOB_FAILED},
};

/* Creates a scheduler that has read the record of run 1 of a task with one
 * attempt. */
static PhScheduler *
scheduler_make(PhSchedTask **task)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSingle_ShowWorker(s, false, TAKEOVER);
    *task = PhSingle_AddJob(PhScheduler_Model(s), PH_SINGLE_JOB,
                            (PhSchedStep){.count = 1});
    (*task)->stage->job->spec.terms.max_attempts = 1;
    (*task)->run = 1;
    PhSchedTask_Place(
        *task, PhSchedModel_Worker(PhScheduler_Model(s), PH_SINGLE_WORKER, 1));
    return s;
}

/* Answers a hold with the end of run 1 until it is acknowledged. */
static void
answer_hold(PhScheduler *s, const PhPrefixCase *c, uint64_t seen, PhTime now)
{
    PhSchedEndRow end = {.number = 1,
                         .task = {.job = PH_SINGLE_JOB},
                         .run = 1,
                         .kind = c->kind};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .ends = &end,
                              .end_count = seen == 0};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
}

/* Takes the batch that the lost owner sent at the end of the run. */
static GArray *
batch_of_lost_owner(const PhPrefixCase *c)
{
    PhSchedTask *task;
    PhScheduler *s = scheduler_make(&task);
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    PhScheduler_SetFence(s, 7, TAKEOVER);
    PhScheduler_Plan(s, TAKEOVER, 0);
    answer_hold(s, c, 0, TAKEOVER);
    assert_int_not_equal(PhScheduler_TakeBatch(s, records), 0);
    assert_int_equal(records->len, BATCH_RECORDS);
    PhScheduler_Destroy(s);
    return records;
}

/* Applies the records that are stored. */
static void
read_batch(PhScheduler *s, const PhPrefixCase *c)
{
    GArray *records = batch_of_lost_owner(c);
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord *record = &g_array_index(records, PhSchedRecord, i);
        if (i < c->stored) {
            PhScheduler_Apply(s, record, TAKEOVER);
        }
        else {
            PhSchedRecord_Clear(record);
        }
    }
    g_array_free(records, TRUE);
}

static void
prefix_run(const PhPrefixCase *c)
{
    PhSchedTask *task;
    PhScheduler *s = scheduler_make(&task);
    read_batch(s, c);
    PhScheduler_SetFence(s, 8, TAKEOVER);
    for (PhTime now = TAKEOVER; now < TAKEOVER + DURATION; now += STEP) {
        PhSchedAction action;
        PhScheduler_Plan(s, now, 0);
        while (PhScheduler_NextAction(s, now, &action)) {
            assert_int_not_equal(action.tag, PH_SCHED_ACTION_START);
            if (action.tag == PH_SCHED_ACTION_HOLD) {
                answer_hold(s, c, action.as.hold.last_seen, now);
            }
        }
        PhSingle_RecordAll(s);
    }
    assert_null(task->worker);
    assert_int_equal(task->stage->job->durable_state, c->state);
    PhScheduler_Destroy(s);
}

/* Nothing is started again, and the job ends as the lost owner has noted. */
static void
test_prefixes(void **state)
{
    (void)state;
    Ph_RUN_TABLE(prefix_cases, prefix_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_prefixes)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
