/* How many failed runs a gang has, whose members fail together or one after
 * the other. */
#include "peridothill/codec/schedule_record.h"
#include "single_task.h"
#include "tests/table.h"

enum {
    MEMBERS = 4,
    RUNS_MAX = 3,
    CLOCK_MS = 5000,
};

static const PhTime START = 100 * PH_NS_PER_S;

/* `failed[i]` members fail in run i + 1, and end it for the others, whose ends
 * are listed after `failed_first[i]` of the failures. */
typedef struct PhAttemptsCase {
    const char *name;
    uint32_t max_attempts;
    unsigned runs;
    unsigned failed[RUNS_MAX];
    unsigned failed_first[RUNS_MAX];
    bool takeover; /* another owner begins after the first end of each run */
    PhSchedJobState state;
} PhAttemptsCase;

static const PhAttemptsCase attempts_cases[] = {
    {"one member fails", 2, 1, {1}, {1}, false, PH_SCHED_JOB_RUNNING},
    {"two members fail", 2, 1, {2}, {2}, false, PH_SCHED_JOB_RUNNING},
    {"all members fail", 2, 1, {4}, {4}, false, PH_SCHED_JOB_RUNNING},
    {"two fail, others end first",
     2,
     1,
     {2},
     {0},
     false,
     PH_SCHED_JOB_RUNNING},
    {"two fail, others end in between",
     2,
     1,
     {2},
     {1},
     false,
     PH_SCHED_JOB_RUNNING},
    {"two fail, one attempt", 1, 1, {2}, {2}, false, PH_SCHED_JOB_FAILED},
    {"two runs", 2, 2, {2, 1}, {2, 1}, false, PH_SCHED_JOB_FAILED},
    {"two runs of three", 3, 2, {4, 4}, {4, 4}, false, PH_SCHED_JOB_RUNNING},
    {"three runs", 3, 3, {1, 3, 2}, {1, 0, 1}, false, PH_SCHED_JOB_FAILED},
    {"a run without failures",
     2,
     2,
     {1, 0},
     {1, 0},
     false,
     PH_SCHED_JOB_RUNNING},
    {"two fail, another owner", 2, 1, {2}, {2}, true, PH_SCHED_JOB_RUNNING},
    {"the same, others end first", 2, 1, {2}, {0}, true, PH_SCHED_JOB_RUNNING},
    {"two runs, other owners",
     2,
     2,
     {2, 2},
     {2, 0},
     true,
     PH_SCHED_JOB_FAILED},
    {"two runs of three, other owners",
     3,
     2,
     {3, 2},
     {3, 1},
     true,
     PH_SCHED_JOB_RUNNING},
};

typedef struct PhGangOwner {
    PhScheduler *scheduler;
    uint64_t fence;
    GArray *log; /* PhSchedEncoded */
    uint64_t ends;
    PhTime now;
} PhGangOwner;

static void
log_append(PhGangOwner *o, PhSchedEncoded e)
{
    g_array_append_val(o->log, e);
}

static void
hold_answer(PhGangOwner *o, PhSchedEndRow *end)
{
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = CLOCK_MS,
                              .born_ms = 1,
                              .ends = end,
                              .end_count = end != NULL,
                              .more = true};
    PhScheduler_OnHold(o->scheduler, PH_SINGLE_WORKER, 1, &reply, o->now);
}

/* Begins an ownership with the records that there are. */
static void
owner_begin(PhGangOwner *o)
{
    PhScheduler_Destroy(o->scheduler);
    o->scheduler = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    for (guint i = 0; i < o->log->len; i++) {
        const PhSchedEncoded *e = &g_array_index(o->log, PhSchedEncoded, i);
        PhSchedRecord record;
        PhResult r = PhSchedRecord_Decode(e->key, e->value, &record);
        assert_true(PhResult_IsOk(&r));
        PhScheduler_Apply(o->scheduler, &record, o->now);
    }
    PhSingle_ShowWorker(o->scheduler, false, o->now);
    PhScheduler_SetFence(o->scheduler, ++o->fence, o->now);
    hold_answer(o, NULL);
}

static void
records_append(PhGangOwner *o)
{
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    uint64_t batch = PhScheduler_TakeBatch(o->scheduler, records);
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord *record = &g_array_index(records, PhSchedRecord, i);
        log_append(o, PhSchedRecord_Encode(record));
        PhSchedRecord_Clear(record);
    }
    g_array_free(records, TRUE);
    PhScheduler_OnDurable(o->scheduler, batch);
}

static PhSchedJob *
job_of(const PhGangOwner *o)
{
    return PhSchedModel_Job(PhScheduler_Model(o->scheduler), PH_SINGLE_JOB);
}

/* Starts all members; all starts are executed. */
static void
gang_start(PhGangOwner *o)
{
    PhSchedAction action;
    unsigned started = 0;
    o->now += PH_NS_PER_S * 10;
    PhScheduler_Plan(o->scheduler, o->now, 0);
    records_append(o);
    while (PhScheduler_NextAction(o->scheduler, o->now, &action)) {
        if (action.tag == PH_SCHED_ACTION_START) {
            PhSchedRunReply reply = {.task = action.as.run.task,
                                     .run = action.as.run.run,
                                     .born_ms = 1,
                                     .outcome = PH_SCHED_OUTCOME_DONE,
                                     .clock_ms = CLOCK_MS};
            PhScheduler_OnStart(o->scheduler, &reply, o->now);
            started++;
        }
    }
    assert_int_equal(started, MEMBERS);
    records_append(o);
}

/* The worker lists the end of a member's run. */
static void
member_end(PhGangOwner *o, uint32_t index, uint32_t run, PhSchedEndKind kind)
{
    PhSchedEndRow end = {.number = ++o->ends,
                         .task = {.job = PH_SINGLE_JOB, .index = index},
                         .run = run,
                         .kind = kind};
    hold_answer(o, &end);
    records_append(o);
}

/* Runs the gang once.  Some members fail, the others end broken, and the rest
 * fails. */
static void
gang_run(const PhAttemptsCase *c, PhGangOwner *o, unsigned number)
{
    unsigned failed = c->failed[number];
    unsigned first = c->failed_first[number];
    gang_start(o);
    uint32_t run = PhSchedJob_Stage(job_of(o), 0, 0)->tasks[0].run;
    for (unsigned i = 0; i < MEMBERS; i++) {
        bool is_first = i < first;
        bool is_broken = !is_first && i < first + MEMBERS - failed;
        uint32_t index = is_first ? MEMBERS - 1 - i : i - first;
        member_end(o, index, run,
                   is_broken ? PH_SCHED_END_GANG_BROKEN : PH_SCHED_END_FAILED);
        if (i == 0 && c->takeover) {
            owner_begin(o);
        }
    }
}

static void
attempts_run(const PhAttemptsCase *c)
{
    PhGangOwner o = {.now = START};
    o.log = g_array_new(FALSE, TRUE, sizeof(PhSchedEncoded));
    PhSchedSpec spec = PhSingle_Spec(
        PH_SINGLE_JOB, (PhSchedStep){.count = MEMBERS, .gang = true});
    spec.terms.max_attempts = c->max_attempts;
    log_append(&o, PhSchedRecord_EncodeJob(&spec));
    PhSchedSpec_Clear(&spec);
    owner_begin(&o);
    for (unsigned i = 0; i < c->runs; i++) {
        gang_run(c, &o, i);
    }
    assert_int_equal(job_of(&o)->state, c->state);
    for (guint i = 0; i < o.log->len; i++) {
        PhSchedEncoded_Clear(&g_array_index(o.log, PhSchedEncoded, i));
    }
    g_array_free(o.log, TRUE);
    PhScheduler_Destroy(o.scheduler);
}

/* Guards against a gang that counts as failed after one failed run, since
 * several of its members fail in it (LOST). */
static void
test_gang_attempts(void **state)
{
    (void)state;
    Ph_RUN_TABLE(attempts_cases, attempts_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_gang_attempts)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
