/* A worker that has restarted under its id, and owners that follow each other.
 * Guards against a successor that does not know of the earlier incarnation,
 * and gives up runs while orders meant for that one may still extend their
 * leases; and against waiting for orders that cannot. */
#include "peridothill/codec/schedule_record.h"
#include "single_task.h"
#include "tests/table.h"

static const PhTime START = 100 * PH_NS_PER_S;

enum {
    OWNERS_MAX = 4,
    STEP_MS = 100,
    FIRST_INCARNATION = 1,
    INCARNATION,
    /* An order may be executed 12 s late, and grant 10 s by a clock that is
     * 2% slow. */
    LATE_LEASE_MS = 22300,
    LEASE_MS = 6200,
    SPREAD_MS = 2000,
};

/* Planned takeovers, in milliseconds since the first owner's, which alone
 * knows of the earlier incarnation; 0 ends the list. */
typedef struct PhInheritedCase {
    const char *name;
    int64_t takeovers[OWNERS_MAX];
    bool listed; /* the successors find the worker's entry */
    bool late;   /* owners read the records before the worker's newest entry */
    bool bound;  /* no order to the earlier incarnation could reach this one */
} PhInheritedCase;

static const PhInheritedCase inherited_cases[] = {
    {"one owner", {0}, true},
    {"a successor that cannot reach the worker", {1500}, true},
    {"a successor without the worker's entry", {1500}, false},
    {"a successor of an owner that is released at once", {200}, false},
    {"owners that follow each other", {1500, 3000, 4500, 6000}, false},
    {"an owner that read of the run before the worker's entry",
     {0},
     true,
     .late = true},
    {"the same, and a successor", {1500}, true, .late = true},
    {"one owner, whose orders were bound", {0}, true, .bound = true},
    {"a successor, orders were bound", {1500}, true, .bound = true},
    {"a successor without the worker's entry, orders were bound",
     {1500},
     false,
     .bound = true},
};

/* Shows the entry of an incarnation to an owner. */
static void
worker_show(PhScheduler *s, int64_t born_ms, PhTime now)
{
    PhSchedWorkerEntry entry = {.id = PhStr_Dup(PH_SINGLE_WORKER),
                                .born_ms = born_ms,
                                .address = PhStr_Dup(PhStr_LITERAL("a:1"))};
    PhScheduler_SetWorker(s, &entry, now);
}

/* Makes the owner's changes durable.  Returns the newest record of the worker,
 * or `stored` if there is none. */
static PhSchedEncoded
records_store(PhScheduler *s, PhSchedEncoded stored)
{
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    uint64_t batch = PhScheduler_TakeBatch(s, records);
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord *r = &g_array_index(records, PhSchedRecord, i);
        if (r->tag == PH_SCHED_RECORD_WORKER) {
            PhSchedEncoded_Clear(&stored);
            stored = PhSchedRecord_Encode(r);
        }
        PhSchedRecord_Clear(r);
    }
    g_array_free(records, TRUE);
    PhScheduler_OnDurable(s, batch);
    return stored;
}

/* Creates an owner that has just read the release of the one before and the
 * record of the worker, and knows the worker's entries. */
static PhScheduler *
owner_open(PhSchedEncoded stored, uint64_t fence, PhPredecessors *earlier,
           const PhInheritedCase *c, PhTime now)
{
    bool listed = fence == 1 || c->listed;
    PhScheduler *s = PhScheduler_Create(&(PhSchedulerOptions){
        .lease_limit = 10 * PH_NS_PER_S, .predecessors = earlier});
    PhSingle_AddReleased(earlier, now);
    if (stored.value.len > 0) {
        PhSchedRecord record;
        PhResult r = PhSchedRecord_Decode(stored.key, stored.value, &record);
        assert_true(PhResult_IsOk(&r));
        PhScheduler_Apply(s, &record, now);
    }
    if (fence == 1) {
        worker_show(s, FIRST_INCARNATION, now);
    }
    if (fence == 1 && !c->bound) {
        PhSingle_Unbind(s, FIRST_INCARNATION, now);
    }
    if (listed && !c->late) {
        worker_show(s, INCARNATION, now);
    }
    PhSchedModel *model = PhScheduler_Model(s);
    PhSchedTask *task = PhSingle_AddJob(
        model, PH_SINGLE_JOB, (PhSchedStep){.count = 1, .long_running = true});
    task->run = 1;
    PhSchedTask_Place(
        task, PhSchedModel_Worker(model, PH_SINGLE_WORKER, INCARNATION));
    if (listed && c->late) {
        worker_show(s, INCARNATION, now);
    }
    PhScheduler_SetFence(s, fence, now);
    return s;
}

/* Answers the holds that are due with silence. */
static void
holds_fail(PhScheduler *s, PhTime now)
{
    PhSchedAction action;
    PhSchedHoldReply silence = {.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    while (PhScheduler_NextAction(s, now, &action)) {
        if (action.tag == PH_SCHED_ACTION_HOLD) {
            PhScheduler_OnHold(s, PH_SINGLE_WORKER, action.born_ms, &silence,
                               now);
        }
    }
}

static bool
run_counts(PhScheduler *s)
{
    PhSchedTaskName name = {.job = PH_SINGLE_JOB};
    return PhSchedModel_Task(PhScheduler_Model(s), &name)->worker != NULL;
}

static void
inherited_run(const PhInheritedCase *c)
{
    PhSchedEncoded stored = {0};
    PhPredecessors *earlier = PhPredecessors_Create();
    PhScheduler *s = owner_open(stored, 1, earlier, c, START);
    unsigned next = 0;
    int64_t expired = 0;
    for (int64_t ms = STEP_MS; expired == 0; ms += STEP_MS) {
        PhTime now = START + ms * PH_NS_PER_MS;
        if (next < OWNERS_MAX && c->takeovers[next] > 0 &&
            ms >= c->takeovers[next]) {
            PhScheduler_Quiesce(s, now);
            stored = records_store(s, stored);
            PhScheduler_Destroy(s);
            s = owner_open(stored, ++next + 1, earlier, c, now);
        }
        PhScheduler_Plan(s, now, 0);
        holds_fail(s, now);
        stored = records_store(s, stored);
        expired = run_counts(s) ? 0 : ms;
    }
    print_message("#   expired after %d ms\n", (int)expired);
    PhSchedEncoded_Clear(&stored);
    PhScheduler_Destroy(s);
    PhPredecessors_Destroy(earlier);
    int64_t least = c->bound ? LEASE_MS : LATE_LEASE_MS;
    assert_in_range(expired, least, least + SPREAD_MS);
}

/* Guards against a bound that is lost with a takeover. */
static void
test_inherited_leases(void **state)
{
    (void)state;
    Ph_RUN_TABLE(inherited_cases, inherited_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_inherited_leases)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
