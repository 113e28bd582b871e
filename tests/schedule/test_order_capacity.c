/* How many starts an owner has outstanding while some workers are away.
 * Guards against an owner that takes their silence for its own congestion and
 * ceases to start tasks on all others, which is LOST at the end of a day. */
#include "single_task.h"
#include "tests/table.h"

enum {
    FENCE = 7,
    TASKS = 2000,
    ROUNDS = 12,
    ROUND_MS = 2500,
    QUICK_MS = 5,
    AWAY_EVERY = 2, /* one start in so many goes to a worker that is away */
    LIMIT_FIRST = 8,
};

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

typedef struct PhCapacityCase {
    const char *name;
    PhSchedOutcome outcome; /* of a start to a worker that is away */
    int64_t delay_ms;       /* until that outcome is known */
    int64_t silence_ms;     /* of it, until the worker was found silent */
    bool shrinks;           /* the limit of outstanding starts does */
} PhCapacityCase;

static const PhCapacityCase capacity_cases[] = {
    {"all answer at once", PH_SCHED_OUTCOME_DONE, QUICK_MS, 0, false},
    {"no answer", PH_SCHED_OUTCOME_UNKNOWN, 1200, 0, false},
    {"no connection is found", PH_SCHED_OUTCOME_NOT_SENT, 1200, 1200, false},
    {"no connection is kept", PH_SCHED_OUTCOME_UNBOUND, 1200, 0, false},
    {"a dispatcher finds none", PH_SCHED_OUTCOME_DONE, 1200, 1195, false},
    {"no connection is free", PH_SCHED_OUTCOME_NOT_SENT, 1200, 0, true},
    {"the order path is slow", PH_SCHED_OUTCOME_DONE, 1200, 0, true},
};

/* Starts that were sent in one round. */
typedef struct PhSentStarts {
    PhSchedRunReply replies[TASKS];
    unsigned count;
} PhSentStarts;

static PhScheduler *
scheduler_create(PhSchedSpec *spec)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedModel_AddJob(PhScheduler_Model(s), spec, 0);
    PhSingle_ShowWorker(s, false, TAKEOVER);
    PhScheduler_SetFence(s, FENCE, TAKEOVER);
    return s;
}

/* The worker answers a hold, so that it is known to be there. */
static void
worker_answer(PhScheduler *s, PhTime now)
{
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .more = true};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
}

static void
starts_send(PhScheduler *s, PhSentStarts *sent, PhTime now)
{
    PhSchedAction action;
    sent->count = 0;
    PhScheduler_Plan(s, now, 0);
    PhSingle_RecordAll(s);
    while (PhScheduler_NextAction(s, now, &action)) {
        if (action.tag == PH_SCHED_ACTION_START) {
            sent->replies[sent->count++] =
                (PhSchedRunReply){.task = action.as.run.task,
                                  .run = action.as.run.run,
                                  .born_ms = 1,
                                  .clock_ms = now / PH_NS_PER_MS};
        }
    }
}

/* Reports the outcomes of one kind of starts. */
static void
starts_answer(PhScheduler *s, const PhCapacityCase *c, PhSentStarts *sent,
              bool away, PhTime now)
{
    for (unsigned i = 0; i < sent->count; i++) {
        PhSchedRunReply *reply = &sent->replies[i];
        reply->outcome = away ? c->outcome : PH_SCHED_OUTCOME_DONE;
        reply->silence = away ? c->silence_ms * PH_NS_PER_MS : 0;
        if ((i % AWAY_EVERY == 0) == away) {
            PhScheduler_OnStart(s, reply, now);
        }
    }
}

static void
capacity_run(const PhCapacityCase *c)
{
    PhSchedSpec spec =
        PhSingle_Spec(PH_SINGLE_JOB, (PhSchedStep){.count = TASKS});
    PhScheduler *s = scheduler_create(&spec);
    PhSentStarts *sent = g_new0(PhSentStarts, 1);
    for (int64_t round = 0; round < ROUNDS; round++) {
        PhTime now = TAKEOVER + round * ROUND_MS * PH_NS_PER_MS;
        worker_answer(s, now);
        starts_send(s, sent, now);
        starts_answer(s, c, sent, false, now + QUICK_MS * PH_NS_PER_MS);
        starts_answer(s, c, sent, true, now + c->delay_ms * PH_NS_PER_MS);
        PhScheduler_ClearEvents(s);
    }
    uint32_t limit = PhScheduler_OrderLoad(s).limit;
    print_message("#   limit %u\n", limit);
    assert_int_equal(limit < LIMIT_FIRST, c->shrinks);
    g_free(sent);
    PhScheduler_Destroy(s);
}

static void
test_order_capacity(void **state)
{
    (void)state;
    Ph_RUN_TABLE(capacity_cases, capacity_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_order_capacity)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
