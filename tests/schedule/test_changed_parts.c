/* Records of wide steps of which some tasks have changed.  Guards against
 * batches that hold what the store knows already, and against changes that are
 * in none. */
#include "peridothill/codec/schedule_record.h"
#include "single_task.h"
#include "tests/table.h"

#define OTHER_JOB PhStr_LITERAL("00000000000000ab")

static const PhTime START = 100 * PH_NS_PER_S;

enum {
    WIDTH = 2 * PH_SCHED_PART_TASKS + 88, /* tasks: three parts */
    ENDS_MAX = 3,
    NONE = -1,
    FENCE = 7,
    PARTS_SIZE = 16,
};

/* How the stages are in the store before; all tasks are in run 1. */
typedef enum PhRecorded {
    RECORDED_IN_PARTS,
    RECORDED_AS_WHOLE, /* as earlier versions did */
    RECORDED_NOT,
} PhRecorded;

/* Tasks of each job whose runs end, and the parts a, b and c that are written
 * then, after a space for each stage.  Then the run of `next` ends, if there
 * is such a task. */
typedef struct PhChangeCase {
    const char *name;
    int ends[ENDS_MAX];
    const char *parts;
    int next;
    const char *next_parts;
    PhRecorded recorded;
    bool fail; /* the ends are failures */
    bool gang;
    bool two_jobs;
} PhChangeCase;

static const PhChangeCase change_cases[] = {
    {"first task", {0, NONE, NONE}, " a", 1, " a"},
    {"last task of a part", {255, NONE, NONE}, " a", 256, " b"},
    {"first task of a part", {256, NONE, NONE}, " b", 511, " b"},
    {"last task", {599, NONE, NONE}, " c", 0, " a"},
    {"failed", {300, NONE, NONE}, " b", 301, " b", .fail = true},
    {"two of a part", {256, 511, NONE}, " b", 512, " c"},
    {"of two parts", {599, 0, NONE}, " ac", 300, " b"},
    {"of all parts", {0, 300, 599}, " abc", 1, " a"},
    {"later parts of two stages",
     {300, 599, NONE},
     " bc bc",
     301,
     " b",
     .two_jobs = true},
    {"not recorded before",
     {300, NONE, NONE},
     " abc",
     301,
     " b",
     RECORDED_NOT},
    {"recorded as a whole before",
     {300, NONE, NONE},
     " abc",
     301,
     " b",
     RECORDED_AS_WHOLE},
    {"gang, done", {300, NONE, NONE}, " abc", NONE, "", .gang = true},
    {"gang, failed",
     {300, NONE, NONE},
     " b",
     NONE,
     "",
     .gang = true,
     .fail = true},
};

static unsigned
job_count(const PhChangeCase *c)
{
    return c->two_jobs ? 2 : 1;
}

static PhStr
job_id(unsigned job)
{
    return job == 0 ? PH_SINGLE_JOB : OTHER_JOB;
}

static PhSchedRecord
record_make(unsigned job, uint32_t first, uint32_t count)
{
    PhSchedRecord r = {.tag = PH_SCHED_RECORD_STAGE};
    r.id = PhStr_Dup(job_id(job));
    r.as.stage.first = first;
    r.as.stage.part_of = count < WIDTH ? WIDTH : 0;
    r.as.stage.task_count = count;
    r.as.stage.tasks = g_new0(PhSchedTaskRecord, count);
    for (uint32_t i = 0; i < count; i++) {
        r.as.stage.tasks[i] =
            (PhSchedTaskRecord){.state = PH_SCHED_TASK_RUNNING,
                                .run = 1,
                                .worker = PhStr_Dup(PH_SINGLE_WORKER),
                                .worker_born_ms = 1};
    }
    return r;
}

/* Appends the records that the store holds before. */
static void
recorded_add(const PhChangeCase *c, GArray *records)
{
    uint32_t width =
        c->recorded == RECORDED_AS_WHOLE ? WIDTH : PH_SCHED_PART_TASKS;
    for (unsigned job = 0; job < job_count(c) && c->recorded != RECORDED_NOT;
         job++) {
        for (uint32_t first = 0; first < WIDTH; first += width) {
            PhSchedRecord r =
                record_make(job, first, MIN(width, WIDTH - first));
            g_array_append_val(records, r);
        }
    }
}

/* Appends the records of a batch that describe stages, in writing as well. */
static void
batch_take(PhScheduler *s, GArray *stages, char *parts)
{
    GString *text = g_string_new(NULL);
    GArray *batch = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    uint64_t number = PhScheduler_TakeBatch(s, batch);
    for (guint i = 0; i < batch->len; i++) {
        PhSchedRecord *r = &g_array_index(batch, PhSchedRecord, i);
        if (r->tag != PH_SCHED_RECORD_STAGE) {
            PhSchedRecord_Clear(r);
            continue;
        }
        PhSchedEncoded e = PhSchedRecord_Encode(r);
        g_string_append(text, e.continues ? "" : " ");
        g_string_append_c(
            text, (char)('a' + r->as.stage.first / PH_SCHED_PART_TASKS));
        PhSchedEncoded_Clear(&e);
        g_array_append_val(stages, *r);
    }
    PhScheduler_OnDurable(s, number);
    g_strlcpy(parts, text->str, PARTS_SIZE);
    g_string_free(text, TRUE);
    g_array_free(batch, TRUE);
}

static PhSchedStage *
stage_of(PhSchedModel *m, unsigned job)
{
    return PhSchedJob_Stage(PhSchedModel_Job(m, job_id(job)), 0, 0);
}

static void
jobs_add(const PhChangeCase *c, PhSchedModel *m)
{
    for (unsigned job = 0; job < job_count(c); job++) {
        PhSingle_AddJob(m, job_id(job),
                        (PhSchedStep){.count = WIDTH, .gang = c->gang});
    }
}

/* Copies a record by encoding it, since applying it takes it over. */
static void
record_read(PhSchedModel *m, const PhSchedRecord *record)
{
    PhSchedRecord read;
    PhSchedEncoded e = PhSchedRecord_Encode(record);
    PhResult r = PhSchedRecord_Decode(e.key, e.value, &read);
    assert_true(PhResult_IsOk(&r));
    assert_int_equal(PhSchedModel_Apply(m, &read, START), PH_STATUS_OK);
    PhSchedEncoded_Clear(&e);
}

/* An owner that has read what was recorded before. */
static PhScheduler *
owner_create(const PhChangeCase *c, const GArray *records)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedModel *m = PhScheduler_Model(s);
    PhSingle_ShowWorker(s, false, START);
    jobs_add(c, m);
    for (guint i = 0; i < records->len; i++) {
        record_read(m, &g_array_index(records, PhSchedRecord, i));
    }
    for (unsigned i = 0; i < WIDTH && c->recorded == RECORDED_NOT; i++) {
        PhSchedTask *task = &stage_of(m, 0)->tasks[i];
        task->run = 1;
        PhSchedTask_Place(task, PhSchedModel_Worker(m, PH_SINGLE_WORKER, 1));
    }
    PhScheduler_SetFence(s, FENCE, START);
    return s;
}

/* The worker answers a hold and lists one more end. */
static void
task_end(PhScheduler *s, const PhSchedTask *task, bool fail, uint64_t *number)
{
    PhSchedEndRow end = {.number = ++*number,
                         .task = PhSchedTask_Name(task),
                         .run = 1,
                         .kind =
                             fail ? PH_SCHED_END_FAILED : PH_SCHED_END_DONE};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = START / PH_NS_PER_MS,
                              .born_ms = 1,
                              .ends = &end,
                              .end_count = 1,
                              .more = true};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, START);
}

static void
assert_stages_equal(const PhSchedStage *a, const PhSchedStage *b)
{
    assert_int_equal(a->done, b->done);
    for (uint32_t i = 0; i < WIDTH; i++) {
        const PhSchedTask *x = &a->tasks[i];
        const PhSchedTask *y = &b->tasks[i];
        assert_int_equal(x->state == PH_SCHED_TASK_DONE,
                         y->state == PH_SCHED_TASK_DONE);
        assert_int_equal(x->worker == NULL, y->worker == NULL);
        if (x->state != PH_SCHED_TASK_DONE) {
            assert_int_equal(x->run, y->run);
            assert_int_equal(x->failures, y->failures);
        }
    }
}

/* Whether a later record has the same key. */
static bool
is_replaced(const GArray *records, guint index)
{
    const PhSchedRecord *r = &g_array_index(records, PhSchedRecord, index);
    for (guint i = index + 1; i < records->len; i++) {
        const PhSchedRecord *x = &g_array_index(records, PhSchedRecord, i);
        if (x->as.stage.first == r->as.stage.first &&
            PhStr_Equal(x->id, r->id)) {
            return true;
        }
    }
    return false;
}

/* The records give the owner's model to whoever has followed them, and to
 * whoever reads the newest of each key in another order. */
static void
check_readers(const PhChangeCase *c, PhScheduler *s, const GArray *records)
{
    PhSchedModel *follower = PhSchedModel_Create();
    PhSchedModel *late = PhSchedModel_Create();
    jobs_add(c, follower);
    jobs_add(c, late);
    for (guint i = 0; i < records->len; i++) {
        guint last = records->len - 1 - i;
        record_read(follower, &g_array_index(records, PhSchedRecord, i));
        if (!is_replaced(records, last)) {
            record_read(late, &g_array_index(records, PhSchedRecord, last));
        }
    }
    for (unsigned job = 0; job < job_count(c); job++) {
        PhSchedStage *stage = stage_of(PhScheduler_Model(s), job);
        assert_stages_equal(stage_of(follower, job), stage);
        assert_stages_equal(stage_of(late, job), stage);
    }
    PhSchedModel_Destroy(follower);
    PhSchedModel_Destroy(late);
}

static void
change_run(const PhChangeCase *c)
{
    uint64_t number = 0;
    char parts[PARTS_SIZE];
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    recorded_add(c, records);
    PhScheduler *s = owner_create(c, records);
    for (unsigned i = 0; i < job_count(c) * ENDS_MAX; i++) {
        int ended = c->ends[i % ENDS_MAX];
        if (ended != NONE) {
            PhSchedStage *stage = stage_of(PhScheduler_Model(s), i / ENDS_MAX);
            task_end(s, &stage->tasks[ended], c->fail, &number);
        }
    }
    batch_take(s, records, parts);
    print_message("#   first%s\n", parts);
    assert_string_equal(parts, c->parts);
    check_readers(c, s, records);
    if (c->next != NONE) {
        PhSchedStage *stage = stage_of(PhScheduler_Model(s), 0);
        task_end(s, &stage->tasks[c->next], c->fail, &number);
        batch_take(s, records, parts);
        print_message("#   next%s\n", parts);
        assert_string_equal(parts, c->next_parts);
        check_readers(c, s, records);
    }
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord_Clear(&g_array_index(records, PhSchedRecord, i));
    }
    g_array_free(records, TRUE);
    PhScheduler_Destroy(s);
}

static void
test_changes(void **state)
{
    (void)state;
    Ph_RUN_TABLE(change_cases, change_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_changes)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
