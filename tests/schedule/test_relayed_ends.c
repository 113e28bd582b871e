/* Ends of runs that a worker has listed to a dispatcher.  Guards against an
 * end that the owner does not learn of before the worker has gone, after which
 * the task would run again. */
#include "single_task.h"
#include "tests/table.h"

enum {
    FENCE = 7,
    END = 5, /* number of the end at the worker */
    BORN_MS = 1,
    LOST_MS = 10000, /* the leases of a worker that has gone have expired */
};

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

typedef struct PhRelayedEndCase {
    const char *name;
    bool answered; /* the worker has answered this owner */
    bool stops;    /* the owner hands over */
    const char *worker;
    int64_t born_ms;
    uint64_t seen;  /* newest end that the owner has noted before */
    uint64_t acked; /* expected in the next hold */
    bool done;      /* expected: the task does not run again */
} PhRelayedEndCase;

static const PhRelayedEndCase relayed_end_cases[] = {
    {"the end is new", true, false, "worker", BORN_MS, 0, END, true},
    {"a later end was noted before", true, false, "worker", BORN_MS, END + 1,
     END + 1, false},
    {"the worker has not answered this owner", false, false, "worker", BORN_MS,
     0, 0, false},
    {"another incarnation has listed it", true, false, "worker", BORN_MS + 1,
     0, 0, false},
    {"an unknown worker has listed it", true, false, "other", BORN_MS, 0, 0,
     false},
    {"the owner hands over", true, true, "worker", BORN_MS, 0, 0, false},
};

/* Answers a hold with `end`, 0 for none: the number of an end of a run that
 * the owner does not know. */
static void
hold_answer(PhScheduler *s, uint64_t end, PhTime now)
{
    PhSchedEndRow row = {
        .number = end, .task = {.job = PH_SINGLE_JOB}, .run = 9};
    PhSchedRunRow run = {.task = {.job = PH_SINGLE_JOB}, .run = 1};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = BORN_MS,
                              .runs = &run,
                              .run_count = 1,
                              .ends = &row,
                              .end_count = end > 0};
    assert_true(PhScheduler_OnHold(s, PH_SINGLE_WORKER, BORN_MS, &reply, now));
}

/* Returns what the next hold acknowledges. */
static uint64_t
next_ack(PhScheduler *s, PhTime now)
{
    PhSchedAction action;
    uint64_t acked = 0;
    PhScheduler_Plan(s, now, 0);
    while (PhScheduler_NextAction(s, now, &action)) {
        if (action.tag == PH_SCHED_ACTION_HOLD) {
            acked = MAX(acked, action.as.hold.last_seen);
        }
    }
    return acked;
}

static void
relayed_end_run(const PhRelayedEndCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhTime now = TAKEOVER;
    PhSingle_ShowWorker(s, false, now);
    PhSchedModel *model = PhScheduler_Model(s);
    PhSchedTask *task = PhSingle_AddJob(
        model, PH_SINGLE_JOB,
        (PhSchedStep){.count = 1, .resources.cpu_milli = 1000});
    task->run = 1;
    PhSchedTask_Place(task,
                      PhSchedModel_Worker(model, PH_SINGLE_WORKER, BORN_MS));
    PhScheduler_SetFence(s, FENCE, now);
    next_ack(s, now);
    if (c->answered) {
        hold_answer(s, c->seen, now);
    }
    if (c->stops) {
        PhScheduler_Quiesce(s, now);
    }
    PhSchedEndRow end = {.number = END,
                         .task = {.job = PH_SINGLE_JOB},
                         .run = 1,
                         .kind = PH_SCHED_END_DONE};
    PhScheduler_OnRelayedEnds(s, PhStr_FromC(c->worker), c->born_ms, &end, 1,
                              now);
    PhSingle_RecordAll(s);
    now += PH_NS_PER_S;
    assert_int_equal(next_ack(s, now), c->acked);
    PhScheduler_RemoveWorker(s, PH_SINGLE_WORKER, PH_REMOVAL_MISSING, now);
    PhScheduler_Plan(s, now + LOST_MS * PH_NS_PER_MS, 0);
    assert_int_equal(task->state == PH_SCHED_TASK_DONE, c->done);
    PhScheduler_Destroy(s);
}

static void
test_relayed_ends(void **state)
{
    (void)state;
    Ph_RUN_TABLE(relayed_end_cases, relayed_end_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_relayed_ends)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
