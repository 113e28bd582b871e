/* A worker that does not answer, and owners that follow each other.  Guards
 * against successors that wait again for leases an earlier owner has waited
 * for, because they read its record late. */
#include "single_task.h"
#include "tests/table.h"

static const PhTime START = 100 * PH_NS_PER_S;
/* The first owner has known for so long that the worker leaves. */
static const PhTime KNOWN_LEAVE = 10 * PH_NS_PER_S;

enum {
    OWNERS_MAX = 4,
    STEP_MS = 100,
    /* Leases of 6 s, and of 3 s for workers that leave, by a clock that is 2%
     * slow. */
    LEASE_MS = 6220,
    LEAVING_LEASE_MS = 3160,
    GAP_MAX_MS = 9000, /* a long-running task runs again within this time */
};

/* Times in milliseconds from the first owner's grant, after which the worker
 * does not answer. */
typedef struct PhBoundCase {
    const char *name;
    int64_t takeovers[OWNERS_MAX]; /* of the next owners, which read the
                                      records then; 0 ends the list */
    int64_t expired;               /* the run no longer counts at this time */
    bool gone;    /* the first owner does not notice, and its successors do not
                     find the worker's entry */
    bool planned; /* owners are released */
    bool leaves;  /* the worker has said so */
} PhBoundCase;

static const PhBoundCase bound_cases[] = {
    {"one owner", {0}, LEASE_MS},
    {"a successor reads the record soon", {300}, LEASE_MS + 1000},
    {"a successor reads the record late", {5000}, LEASE_MS + 1000},
    {"a successor that takes over once the leases have ended",
     {8000},
     8000 + 2 * STEP_MS},
    {"owners that follow each other", {1900, 3100, 4700, 5900}, GAP_MAX_MS},
    {"a worker that none of the successors can ask",
     {300, 1700, 3100, 4500},
     GAP_MAX_MS,
     .gone = true},
    {"the same, and each successor is released within a second",
     {300, 1200, 2100, 3000},
     300 + LEASE_MS + 1000,
     .gone = true,
     .planned = true},
    {"a worker that leaves, and a successor that reads so late",
     {300},
     300 + LEAVING_LEASE_MS + 1000,
     .gone = true,
     .planned = true,
     .leaves = true},
    {"a worker that leaves, and each successor reads so late",
     {300, 1200, 2100, 3000},
     300 + LEAVING_LEASE_MS + 1000,
     .gone = true,
     .planned = true,
     .leaves = true},
};

/* The record of the worker as the store holds it. */
typedef struct PhStoredWorker {
    bool known;
    bool suspended;
    bool leaving;
    PhTime lease_expiry_bound;
} PhStoredWorker;

static void
records_store(PhScheduler *s, PhStoredWorker *stored)
{
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    uint64_t batch = PhScheduler_TakeBatch(s, records);
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord *r = &g_array_index(records, PhSchedRecord, i);
        if (r->tag == PH_SCHED_RECORD_WORKER) {
            *stored = (PhStoredWorker){.known = true,
                                       .suspended = r->as.worker.suspended,
                                       .leaving = r->as.worker.leaving,
                                       .lease_expiry_bound =
                                           r->as.worker.lease_expiry_bound};
        }
        PhSchedRecord_Clear(r);
    }
    g_array_free(records, TRUE);
    PhScheduler_OnDurable(s, batch);
}

/* Creates an owner that has read the release of the owner before just now, and
 * the records at `read_at`. */
static PhScheduler *
owner_open(const PhStoredWorker *stored, uint64_t fence, bool listed,
           bool leaves, PhPredecessors *earlier, PhTime read_at, PhTime now)
{
    PhScheduler *s = PhScheduler_Create(&(PhSchedulerOptions){
        .lease_limit = 10 * PH_NS_PER_S, .predecessors = earlier});
    PhSingle_AddReleased(earlier, now);
    if (stored->known) {
        PhSchedRecord record = {
            .tag = PH_SCHED_RECORD_WORKER,
            .id = PhStr_Dup(PH_SINGLE_WORKER),
            .as.worker = {.born_ms = 1,
                          .suspended = stored->suspended,
                          .leaving = stored->leaving,
                          .lease_expiry_bound = stored->lease_expiry_bound}};
        PhScheduler_Apply(s, &record, read_at);
    }
    if (listed) {
        PhSingle_ShowWorker(s, leaves, now);
    }
    PhSingle_AddRun(s);
    PhScheduler_SetFence(s, fence, now);
    return s;
}

/* Answers the holds that are due with silence. */
static void
owner_tick(PhScheduler *s, PhStoredWorker *stored, PhTime now)
{
    PhSchedAction action;
    PhSchedHoldReply silence = {.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    PhScheduler_Plan(s, now, 0);
    while (PhScheduler_NextAction(s, now, &action)) {
        if (action.tag == PH_SCHED_ACTION_HOLD) {
            PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &silence, now);
        }
    }
    records_store(s, stored);
}

static bool
run_counts(PhScheduler *s)
{
    PhSchedTaskName name = {.job = PH_SINGLE_JOB};
    return PhSchedModel_Task(PhScheduler_Model(s), &name)->worker != NULL;
}

/* The first owner is answered once, and grants a lease.  Its next hold has no
 * answer, which it may notice. */
static void
first_answer(PhScheduler *s, bool notices)
{
    PhSchedRunRow row = {.task = {.job = PH_SINGLE_JOB}, .run = 1};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = 5000,
                              .born_ms = 1,
                              .runs = &row,
                              .run_count = 1};
    PhSchedAction action;
    PhScheduler_Plan(s, START, 0);
    assert_true(PhScheduler_NextAction(s, START, &action));
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, START);
    PhScheduler_Plan(s, START, 0);
    assert_true(PhScheduler_NextAction(s, START, &action));
    assert_true(action.as.hold.deadline_ms > 0);
    PhSchedHoldReply silence = {.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    if (notices) {
        PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &silence, START);
    }
}

static void
owner_close(PhScheduler *s, PhStoredWorker *stored, bool planned, PhTime now)
{
    if (planned) {
        PhScheduler_Quiesce(s, now);
        records_store(s, stored);
        assert_true(PhScheduler_IsHandedOver(s));
    }
    PhScheduler_Destroy(s);
}

static void
bound_run(const PhBoundCase *c)
{
    PhStoredWorker stored = {.known = c->leaves, .leaving = c->leaves};
    PhPredecessors *earlier = PhPredecessors_Create();
    PhScheduler *s = owner_open(&stored, 1, true, c->leaves, earlier,
                                START - KNOWN_LEAVE, START);
    unsigned next = 0;
    int64_t expired = 0;
    first_answer(s, !c->gone);
    records_store(s, &stored);
    for (int64_t ms = STEP_MS; expired == 0; ms += STEP_MS) {
        PhTime now = START + ms * PH_NS_PER_MS;
        if (next < OWNERS_MAX && c->takeovers[next] > 0 &&
            ms >= c->takeovers[next]) {
            owner_close(s, &stored, c->planned, now);
            s = owner_open(&stored, ++next + 1, !c->gone, c->leaves, earlier,
                           now, now);
        }
        owner_tick(s, &stored, now);
        expired = run_counts(s) ? 0 : ms;
    }
    print_message("#   expired after %d ms\n", (int)expired);
    assert_in_range(expired, c->leaves ? LEAVING_LEASE_MS : LEASE_MS,
                    c->expired + STEP_MS);
    PhScheduler_Destroy(s);
    PhPredecessors_Destroy(earlier);
}

/* Guards against a wait for leases that starts again with each owner, and
 * against one that ends before the leases do. */
static void
test_recorded_bounds(void **state)
{
    (void)state;
    Ph_RUN_TABLE(bound_cases, bound_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_recorded_bounds)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
