/* What an owner notes between its last start and its release.  Guards against
 * ends of runs that are noted and not durable when the owner is released: the
 * worker may have left before another owner asks it (LOST). */
#include "peridothill/decide/schedule/handover.h"
#include "single_task.h"
#include "tests/table.h"

enum {
    TASKS = 60,
    ENDS_MAX = 4,
    FIRST_MS = -20,
    BOUND_MS = 300, /* of the records of a handover */
    RETRY_MS = 100,
};

static const PhTime START = 100 * PH_NS_PER_S;

/* The owner begins to hand over at 0 ms.  Runs end at these times, 0 ends the
 * list, or one each `each_ms`.  An append takes `append_ms`; one that is begun
 * after 0 ms is refused at first if `refused` is set. */
typedef struct PhLastRecordsCase {
    const char *name;
    int64_t ends_ms[ENDS_MAX];
    int64_t each_ms;
    int64_t append_ms;
    bool refused;
    int64_t released_ms; /* expected */
    unsigned noted;      /* expected */
    bool stays;          /* the worker does not leave */
} PhLastRecordsCase;

static const PhLastRecordsCase last_records_cases[] = {
    {"nothing to record", {0}, 0, 20, false, 1, 0, true},
    {"the leases of a worker that leaves", {0}, 0, 20, false, 20, 0},
    {"an end before", {-5}, 0, 20, false, 35, 1},
    {"an end while the last one is recorded", {-5, 8}, 0, 20, false, 35, 2},
    {"an end at the release", {-5, 15}, 0, 20, false, 35, 2},
    {"ends one after the other", {-5, 8, 28, 45}, 0, 20, false, 75, 4},
    {"an append is refused", {-5, 8}, 0, 20, true, 155, 2},
    {"ends do not cease", {0}, 10, 20, false, 160, 15},
    {"ends do not cease, slow appends", {0}, 10, 60, false, 240, 15},
    {"an end after the last batch", {-5, 60, 140, 210}, 0, 90, false, 265, 3},
    {"the worker stays", {-5, 8, 28}, 0, 20, false, 15, 1, true},
    {"the worker stays, ends do not cease", {0}, 10, 20, false, 20, 1, true},
};

/* The appends of the owner, one at a time. */
typedef struct PhAppends {
    uint64_t batch; /* in flight, 0 for none */
    int64_t due_ms;
    unsigned noted;   /* ends that had been noted when it was taken */
    unsigned durable; /* ends in durable records */
    bool refused;     /* the next reply is a refusal */
} PhAppends;

static unsigned
ends_noted(const PhSchedTask *tasks)
{
    unsigned noted = 0;
    for (unsigned i = 0; i < TASKS; i++) {
        noted += tasks[i].worker == NULL;
    }
    return noted;
}

/* The worker reports all ends that were not acknowledged yet. */
static void
ends_report(PhScheduler *s, const PhSchedTask *tasks, unsigned count,
            PhTime now)
{
    PhSchedEndRow ends[TASKS];
    for (unsigned i = 0; i < count; i++) {
        ends[i] = (PhSchedEndRow){.number = i + 1,
                                  .task = PhSchedTask_Name(&tasks[i]),
                                  .run = 1,
                                  .kind = PH_SCHED_END_STOPPED};
    }
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .ends = ends,
                              .end_count = count,
                              .more = true};
    assert_true(PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now));
}

static void
append_begin(PhScheduler *s, const PhSchedTask *tasks, PhAppends *a,
             int64_t due_ms)
{
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    a->batch = PhScheduler_TakeBatch(s, records);
    a->due_ms = due_ms;
    a->noted = ends_noted(tasks);
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord_Clear(&g_array_index(records, PhSchedRecord, i));
    }
    g_array_free(records, TRUE);
}

static void
append_end(PhScheduler *s, PhAppends *a, int64_t append_ms)
{
    if (a->refused) {
        a->refused = false;
        a->due_ms += RETRY_MS + append_ms;
        return;
    }
    PhScheduler_OnDurable(s, a->batch);
    a->durable = a->noted;
    a->batch = 0;
}

/* Number of runs that have ended by then. */
static unsigned
ends_until(const PhLastRecordsCase *c, int64_t ms)
{
    unsigned count = 0;
    for (size_t i = 0; i < ENDS_MAX && c->ends_ms[i] != 0; i++) {
        count += c->ends_ms[i] <= ms;
    }
    if (c->each_ms > 0 && ms >= 0) {
        count += (unsigned)(ms / c->each_ms) + 1;
    }
    return count;
}

/* Returns the time of the release. */
static int64_t
owner_run(const PhLastRecordsCase *c, PhScheduler *s, const PhSchedTask *tasks,
          PhAppends *a)
{
    PhHandover h = {0};
    unsigned reported = 0;
    for (int64_t ms = FIRST_MS;; ms++) {
        PhTime now = START + ms * PH_NS_PER_MS;
        PhSchedAction action;
        if (a->batch != 0 && ms >= a->due_ms) {
            append_end(s, a, c->append_ms);
        }
        if (ends_until(c, ms) > reported) {
            reported = ends_until(c, ms);
            ends_report(s, tasks, reported, now);
        }
        if (ms >= 0) {
            PhHandoverInput input = {PH_OWNERSHIP_ACTIVE, true,
                                     PhScheduler_IsHandedOver(s)};
            PhHandover_Begin(&h, now);
            PhHandoverTag before = h.tag;
            PhHandoverTag stage = PhHandover_Update(&h, &input, now);
            if (stage == PH_HANDOVER_RELEASE) {
                return ms;
            }
            if (stage != before) {
                PhScheduler_Quiesce(s, now);
            }
        }
        PhScheduler_Plan(s, now, 0);
        if (a->batch == 0) {
            append_begin(s, tasks, a, ms + c->append_ms);
        }
        while (PhScheduler_NextAction(s, now, &action)) {
            assert_int_equal(action.tag, PH_SCHED_ACTION_HOLD);
        }
    }
}

static void
last_records_run(const PhLastRecordsCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedModel *model = PhScheduler_Model(s);
    PhAppends appends = {.refused = c->refused};
    PhSingle_ShowWorker(s, !c->stays, START);
    PhSchedTask *tasks =
        PhSingle_AddJob(model, PH_SINGLE_JOB,
                        (PhSchedStep){.count = TASKS, .long_running = true});
    PhSchedWorker *w = PhSchedModel_Worker(model, PH_SINGLE_WORKER, 1);
    for (unsigned i = 0; i < TASKS; i++) {
        tasks[i].run = 1;
        PhSchedTask_Place(&tasks[i], w);
    }
    PhScheduler_SetFence(s, 7, START + FIRST_MS * PH_NS_PER_MS);
    ends_report(s, tasks, 0, START + FIRST_MS * PH_NS_PER_MS);
    PhSingle_RecordAll(s);
    w->cooldown_until = PH_TIME_NEVER;
    int64_t released_ms = owner_run(c, s, tasks, &appends);
    print_message("#   released at %d ms, %u ends noted, %u durable\n",
                  (int)released_ms, ends_noted(tasks), appends.durable);
    assert_int_equal(appends.durable, ends_noted(tasks));
    assert_int_equal(ends_noted(tasks), c->noted);
    assert_int_equal(released_ms, c->released_ms);
    assert_in_range(released_ms, 0, BOUND_MS);
    PhScheduler_Destroy(s);
}

/* What the owner has noted by its release is durable. */
static void
test_last_records(void **state)
{
    (void)state;
    Ph_RUN_TABLE(last_records_cases, last_records_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_last_records)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
