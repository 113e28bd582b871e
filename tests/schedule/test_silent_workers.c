/* Starts that were placed on a worker that falls silent then.  Guards against
 * an owner that starts nothing elsewhere until the leases of that worker have
 * ended, which is LOST for tasks that are to last. */
#include "single_task.h"
#include "tests/table.h"

#define SILENT PhStr_LITERAL("silent")
#define FREE PhStr_LITERAL("free")

enum {
    FENCE = 7,
    TASKS = 60,
    FREE_ROOMS = 2 * TASKS,
    CPU_MILLI = 1000,
    STEP_MS = 50,
    TIMEOUT_MS = 1200, /* of a start or a hold without an answer */
    ORDERS_MAX = 64,
    ALL_STARTED_MS = 5000,
};

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

typedef struct PhSilentCase {
    const char *name;
    int64_t rooms; /* tasks that fit on the silent worker */
    bool long_running;
} PhSilentCase;

static const PhSilentCase silent_cases[] = {
    {"the silent worker has room for what may be queued", 24, false},
    {"it has room for all", TASKS, false},
    {"the same, of tasks that are to last", TASKS, true},
};

/* Starts to the silent worker without an outcome yet. */
typedef struct PhSilentStarts {
    PhSchedRunReply replies[ORDERS_MAX];
    int64_t sent_ms[ORDERS_MAX];
    unsigned count;
} PhSilentStarts;

static void
worker_show(PhScheduler *s, PhStr id, int64_t rooms)
{
    PhSchedWorkerEntry entry = {
        .id = PhStr_Dup(id),
        .born_ms = 1,
        .address = PhStr_Dup(PhStr_LITERAL("a:1")),
        .capacity = {.cpu_milli = rooms * CPU_MILLI, .mem_mb = 1}};
    PhScheduler_SetWorker(s, &entry, TAKEOVER);
}

static void
hold_answer(PhScheduler *s, PhStr id, bool answered, PhTime now)
{
    PhSchedHoldReply reply = {.outcome = answered ? PH_SCHED_OUTCOME_DONE
                                                  : PH_SCHED_OUTCOME_UNKNOWN,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = answered,
                              .more = true};
    PhScheduler_OnHold(s, id, 1, &reply, now);
}

/* Reports the starts to the silent worker that have no answer in time. */
static void
starts_expire(PhScheduler *s, PhSilentStarts *sent, int64_t ms, PhTime now)
{
    unsigned kept = 0;
    for (unsigned i = 0; i < sent->count; i++) {
        if (ms - sent->sent_ms[i] >= TIMEOUT_MS) {
            PhScheduler_OnStart(s, &sent->replies[i], now);
            continue;
        }
        sent->replies[kept] = sent->replies[i];
        sent->sent_ms[kept++] = sent->sent_ms[i];
    }
    sent->count = kept;
}

/* Answers what goes to the free worker at once.  Returns the number of starts
 * there. */
static unsigned
orders_take(PhScheduler *s, PhSilentStarts *sent, int64_t ms, PhTime now)
{
    unsigned started = 0;
    PhSchedAction a;
    while (PhScheduler_NextAction(s, now, &a)) {
        bool is_free = PhStr_Equal(a.worker, FREE);
        if (a.tag == PH_SCHED_ACTION_HOLD && is_free) {
            hold_answer(s, FREE, true, now);
        }
        if (a.tag != PH_SCHED_ACTION_START) {
            continue;
        }
        PhSchedRunReply reply = {.task = a.as.run.task,
                                 .run = a.as.run.run,
                                 .born_ms = 1,
                                 .outcome = is_free ? PH_SCHED_OUTCOME_DONE
                                                    : PH_SCHED_OUTCOME_UNKNOWN,
                                 .clock_ms = now / PH_NS_PER_MS};
        started += is_free;
        if (is_free) {
            PhScheduler_OnStart(s, &reply, now);
            continue;
        }
        assert_true(sent->count < ORDERS_MAX);
        sent->sent_ms[sent->count] = ms;
        sent->replies[sent->count++] = reply;
    }
    return started;
}

static void
silent_run(const PhSilentCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedTask *tasks =
        PhSingle_AddJob(PhScheduler_Model(s), PH_SINGLE_JOB,
                        (PhSchedStep){.count = TASKS,
                                      .long_running = c->long_running,
                                      .resources.cpu_milli = CPU_MILLI});
    PhSilentStarts sent = {0};
    unsigned started = 0;
    unsigned kept = 0;
    worker_show(s, SILENT, c->rooms);
    worker_show(s, FREE, FREE_ROOMS);
    PhScheduler_SetFence(s, FENCE, TAKEOVER);
    hold_answer(s, SILENT, true, TAKEOVER);
    hold_answer(s, FREE, true, TAKEOVER);
    for (int64_t ms = 0; ms <= ALL_STARTED_MS; ms += STEP_MS) {
        PhTime now = TAKEOVER + ms * PH_NS_PER_MS;
        if (ms == TIMEOUT_MS) {
            hold_answer(s, SILENT, false, now);
        }
        starts_expire(s, &sent, ms, now);
        PhScheduler_Plan(s, now, 0);
        PhSingle_RecordAll(s);
        started += orders_take(s, &sent, ms, now);
        PhScheduler_ClearEvents(s);
    }
    for (unsigned i = 0; i < TASKS; i++) {
        kept += tasks[i].worker != NULL &&
                PhStr_Equal(tasks[i].worker->entry.id, SILENT);
    }
    print_message("#   %u started, %u at the silent worker\n", started, kept);
    assert_int_equal(started + kept, TASKS);
    assert_true(kept < TASKS / 4);
    PhScheduler_Destroy(s);
}

static void
test_silent_workers(void **state)
{
    (void)state;
    Ph_RUN_TABLE(silent_cases, silent_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_silent_workers)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
