/* Records of steps that are too wide for one record, and records of bounded
 * size.  Guards against a model that depends on the order in which the parts
 * of a step are read, against ends that are counted wrongly, and against
 * records that the store does not take. */
#include "peridothill/codec/schedule_record.h"
#include "single_task.h"
#include "tests/table.h"

#define TEXT(S)                                                               \
    {                                                                         \
        (S), sizeof(S) - 1                                                    \
    }
#define JOB_ID "00000000000000aa"

enum {
    WIDTH = 2 * PH_SCHED_PART_TASKS + 88, /* tasks: three parts */
    PARTS = 3,
    VERSIONS = 3,
    CODE_CHARS = 2, /* of an arrival */
};

/* The records of each version of a stage. */
typedef struct PhVersions {
    PhSchedEncoded parts[VERSIONS][PARTS];
    PhSchedEncoded whole[VERSIONS]; /* as older owners wrote it */
} PhVersions;

/* A task in a version: one in four is done from version 1 on, all are in the
 * last one.  Each version but that of its end begins another run. */
static PhSchedTaskRecord
task_in(unsigned version, uint32_t index)
{
    unsigned done_in = index % 4 == 0 ? 1 : VERSIONS - 1;
    PhSchedTaskRecord r = {.run = MIN(version + 1, done_in) + index % 2,
                           .failures = index % 3,
                           .state = PH_SCHED_TASK_WAITING};
    if (version >= done_in) {
        r.state = PH_SCHED_TASK_DONE;
        return r;
    }
    if (index % 5 != 0) {
        r.state = PH_SCHED_TASK_RUNNING;
        r.worker = PhStr_Dup(PhStr_LITERAL("worker"));
        r.worker_born_ms = 1;
    }
    r.last_checkpoint =
        PhStr_Dup(index % 2 == 0 ? PhStr_LITERAL("saved") : PhStr_LITERAL(""));
    return r;
}

static PhSchedRecord
record_make(unsigned version, uint32_t first, uint32_t count)
{
    PhSchedRecord r = {.tag = PH_SCHED_RECORD_STAGE,
                       .id = PhStr_Dup(PhStr_LITERAL(JOB_ID)),
                       .as.stage = {.first = first,
                                    .part_of = count < WIDTH ? WIDTH : 0,
                                    .task_count = count}};
    r.as.stage.tasks = g_new0(PhSchedTaskRecord, count);
    for (uint32_t i = 0; i < count; i++) {
        r.as.stage.tasks[i] = task_in(version, first + i);
    }
    return r;
}

static PhSchedEncoded
encode(unsigned version, uint32_t first, uint32_t count)
{
    PhSchedRecord r = record_make(version, first, count);
    PhSchedEncoded e = PhSchedRecord_Encode(&r);
    PhSchedRecord_Clear(&r);
    return e;
}

static void
versions_make(PhVersions *v)
{
    for (unsigned i = 0; i < VERSIONS; i++) {
        for (uint32_t j = 0; j < PARTS; j++) {
            uint32_t first = j * PH_SCHED_PART_TASKS;
            v->parts[i][j] =
                encode(i, first, MIN(WIDTH - first, PH_SCHED_PART_TASKS));
        }
        v->whole[i] = encode(i, 0, WIDTH);
    }
}

static void
versions_clear(PhVersions *v)
{
    for (unsigned i = 0; i < VERSIONS; i++) {
        for (unsigned j = 0; j < PARTS; j++) {
            PhSchedEncoded_Clear(&v->parts[i][j]);
        }
        PhSchedEncoded_Clear(&v->whole[i]);
    }
}

/* Arrivals of two characters each: "jb" is the job, a digit is a version of
 * the stage, followed by the part a, b or c, or w for all of it in one record;
 * "cl" clears the model.  `like` gives the same model, `done` is the number of
 * tasks that are done then. */
typedef struct PhArrivalsCase {
    const char *name;
    const char *arrivals;
    const char *like;
    uint32_t done;
} PhArrivalsCase;

#define LOG "jb0a0b0c1a1b1c2a2b2c"
#define LOG_TO_1 "jb0a0b0c1a1b1c"
#define LOG_TO_0 "jb0a0b0c"

static const PhArrivalsCase arrivals_cases[] = {
    {"no task is done", "jb0c0a0b", LOG_TO_0, 0},
    {"the newest by key", "jb1a1b1c", LOG_TO_1, 150},
    {"the newest, last part first", "jb1c1b1a", LOG_TO_1, 150},
    {"the newest, then the log again", "jb1a1b1c0a0b0c1a1b1c", LOG_TO_1, 150},
    {"pages of different ages, then the log", "jb0a1b1c1a1b1c", LOG_TO_1, 150},
    {"a part that is newer, then the log", "jb1b0a0b0c1a1b1c", LOG_TO_1, 150},
    {"parts before the job", "1a1bjb1c", LOG_TO_1, 150},
    {"all parts before the job", "0a0b0c1b1c1ajb", LOG_TO_1, 150},
    {"an older owner's record", "jb1w", LOG_TO_1, 150},
    {"an older owner's record, then parts", "jb0w1a1b1c", LOG_TO_1, 150},
    {"an older owner's record before the job", "0w1a1bjb1c", LOG_TO_1, 150},
    {"all are done", "jb2a2b2c", LOG, WIDTH},
    {"all are done, last part first", "jb2c2b2a", LOG, WIDTH},
    {"all are done, twice", "jb2a2b2c2c2a2b", LOG, WIDTH},
    {"all are done before the job", "2b2c2ajb", LOG, WIDTH},
    {"all are done, one part before the job", "2cjb2a2b", LOG, WIDTH},
    {"all are done, an older record and parts", "jb2w2a2b2c", LOG, WIDTH},
    {"all are done but the last part", "jb0a0b0c2a2b", "jb0c2b2a",
     2 * PH_SCHED_PART_TASKS},
    {"read again", "jb0a0b1ccljb2c2a2b", LOG, WIDTH},
};

static void
arrive(PhSchedModel *m, const PhVersions *v, const char *code)
{
    if (code[0] == 'c') {
        PhSchedModel_ClearRecords(m);
        return;
    }
    if (code[0] == 'j') {
        PhSchedSpec spec = PhSingle_Spec(PhStr_LITERAL(JOB_ID),
                                         (PhSchedStep){.count = WIDTH});
        PhSchedModel_AddJob(m, &spec, 0);
        return;
    }
    PhSchedRecord record;
    int version = code[0] - '0';
    const PhSchedEncoded *e = code[1] == 'w'
                                  ? &v->whole[version]
                                  : &v->parts[version][code[1] - 'a'];
    PhResult r = PhSchedRecord_Decode(e->key, e->value, &record);
    assert_true(PhResult_IsOk(&r));
    assert_int_not_equal(PhSchedModel_Apply(m, &record, 0), PH_STATUS_INVALID);
}

static PhSchedModel *
model_after(const PhVersions *v, const char *arrivals)
{
    PhSchedModel *m = PhSchedModel_Create();
    for (const char *p = arrivals; *p != '\0'; p += CODE_CHARS) {
        arrive(m, v, p);
    }
    return m;
}

/* Run and failures of a task that is done are in no record of tasks that are
 * all done. */
static void
assert_tasks_equal(const PhSchedTask *a, const PhSchedTask *b)
{
    assert_int_equal(a->state, b->state);
    if (a->state == PH_SCHED_TASK_DONE) {
        assert_null(a->worker);
        assert_null(b->worker);
        return;
    }
    assert_int_equal(a->run, b->run);
    assert_int_equal(a->failures, b->failures);
    assert_true(PhStr_Equal(a->last_checkpoint, b->last_checkpoint));
    if (a->worker == NULL || b->worker == NULL) {
        assert_null(a->worker);
        assert_null(b->worker);
        return;
    }
    assert_true(PhStr_Equal(a->worker->entry.id, b->worker->entry.id));
    assert_int_equal(a->worker->entry.born_ms, b->worker->entry.born_ms);
}

static void
assert_models_equal(const PhSchedModel *a, const PhSchedModel *b)
{
    const PhSchedJob *x = PhSchedModel_Job(a, PhStr_LITERAL(JOB_ID));
    const PhSchedJob *y = PhSchedModel_Job(b, PhStr_LITERAL(JOB_ID));
    const PhSchedStage *s = PhSchedJob_Stage(x, 0, 0);
    const PhSchedStage *t = PhSchedJob_Stage(y, 0, 0);
    assert_int_equal(x->state, y->state);
    assert_int_equal(x->durable_state, y->durable_state);
    assert_int_equal(x->rounds_done, y->rounds_done);
    assert_int_equal(x->rounds[0].done, y->rounds[0].done);
    assert_int_equal(x->tasks_placed, y->tasks_placed);
    assert_int_equal(s->waiting, t->waiting);
    assert_int_equal(s->placed, t->placed);
    assert_int_equal(s->done, t->done);
    for (uint32_t i = 0; i < WIDTH; i++) {
        assert_tasks_equal(&s->tasks[i], &t->tasks[i]);
    }
}

static void
arrivals_run(const PhArrivalsCase *c)
{
    PhVersions v;
    versions_make(&v);
    PhSchedModel *m = model_after(&v, c->arrivals);
    PhSchedModel *like = model_after(&v, c->like);
    assert_models_equal(m, like);
    const PhSchedJob *job = PhSchedModel_Job(m, PhStr_LITERAL(JOB_ID));
    assert_int_equal(PhSchedJob_Stage(job, 0, 0)->done, c->done);
    assert_int_equal(job->rounds_done, c->done == WIDTH ? 1 : 0);
    PhSchedModel_Destroy(like);
    PhSchedModel_Destroy(m);
    versions_clear(&v);
}

/* Reading the newest parts in any order gives the model of an instance that
 * has followed the log. */
static void
test_arrivals(void **state)
{
    (void)state;
    Ph_RUN_TABLE(arrivals_cases, arrivals_run);
}

/* A stage whose tasks all run on a worker, with an id and checkpoints of these
 * lengths; the largest record allowed, the number of records, and whether the
 * checkpoints are in them. */
typedef struct PhSizeCase {
    const char *name;
    uint32_t tasks;
    size_t id_len;
    size_t checkpoint_len;
    size_t limit;
    guint records;
    bool saved;
} PhSizeCase;

enum {
    RECORD_LIMIT = 262144,
    PART_LIMIT = 131068, /* 16 of them fit into an append */
};

static const PhSizeCase size_cases[] = {
    {"one task", 1, 36, 16, RECORD_LIMIT, 1, true},
    {"the widest step of usual traffic", 160, 36, 16, RECORD_LIMIT, 1, true},
    {"one record", PH_SCHED_PART_TASKS, 36, 16, RECORD_LIMIT, 1, true},
    {"one task more", PH_SCHED_PART_TASKS + 1, 36, 16, PART_LIMIT, 2, true},
    {"the widest step", PH_SCHED_TASKS_MAX, 36, 16, PART_LIMIT, 16, true},
    {"long ids and checkpoints", PH_SCHED_TASKS_MAX, 64, 400, PART_LIMIT, 16,
     true},
    {"the longest ids", PH_SCHED_TASKS_MAX, 255, 200, PART_LIMIT, 16, true},
    {"checkpoints that do not fit", PH_SCHED_TASKS_MAX, 64, 600, PART_LIMIT,
     16, false},
    {"the same, with the longest ids", PH_SCHED_TASKS_MAX, 255, 4000,
     PART_LIMIT, 16, false},
    {"one long checkpoint", 1, 36, 60000, RECORD_LIMIT, 1, true},
    {"one that is too long to be read", 1, 36, 100000, RECORD_LIMIT, 1, false},
    {"one that is larger than a record", 1, 36, 300000, RECORD_LIMIT, 1,
     false},
};

static PhStr
text_make(size_t len)
{
    PhBuf buf = {0};
    for (size_t i = 0; i < len; i++) {
        PhBuf_AppendByte(&buf, 'x');
    }
    return PhBuf_Take(&buf);
}

static void
check_record(const PhSizeCase *c, const PhSchedRecord *record, PhStr id,
             PhStr checkpoint, uint32_t *seen)
{
    PhSchedRecord read;
    PhSchedEncoded e = PhSchedRecord_EncodeWithin(record, c->limit);
    assert_true(PhSchedEncoded_Bytes(&e) <= c->limit);
    assert_int_equal(e.continues, *seen > 0);
    PhResult r = PhSchedRecord_Decode(e.key, e.value, &read);
    assert_true(PhResult_IsOk(&r));
    assert_int_equal(read.as.stage.first, *seen);
    assert_int_equal(read.as.stage.part_of, c->records > 1 ? c->tasks : 0);
    for (uint32_t i = 0; i < read.as.stage.task_count; i++) {
        const PhSchedTaskRecord *task = &read.as.stage.tasks[i];
        assert_int_equal(task->state, PH_SCHED_TASK_ASSIGNED);
        assert_int_equal(task->run, 1);
        assert_true(PhStr_Equal(task->worker, id));
        assert_true(PhStr_Equal(task->last_checkpoint,
                                c->saved ? checkpoint : (PhStr){0}));
    }
    *seen += read.as.stage.task_count;
    PhSchedRecord_Clear(&read);
    PhSchedEncoded_Clear(&e);
}

static void
size_run(const PhSizeCase *c)
{
    PhSchedModel *m = PhSchedModel_Create();
    PhStr id = text_make(c->id_len);
    PhStr checkpoint = text_make(c->checkpoint_len);
    PhSchedTask *tasks = PhSingle_AddJob(m, PhStr_LITERAL(JOB_ID),
                                         (PhSchedStep){.count = c->tasks});
    for (uint32_t i = 0; i < c->tasks; i++) {
        tasks[i].run = 1;
        tasks[i].last_checkpoint = PhStr_Dup(checkpoint);
        PhSchedTask_Place(&tasks[i], PhSchedModel_Worker(m, id, 1));
    }
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
    PhSchedStage_TakeRecords(tasks[0].stage, records);
    assert_int_equal(records->len, c->records);
    uint32_t seen = 0;
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord *record = &g_array_index(records, PhSchedRecord, i);
        check_record(c, record, id, checkpoint, &seen);
        PhSchedRecord_Clear(record);
    }
    assert_int_equal(seen, c->tasks);
    g_array_free(records, TRUE);
    PhStr_Clear(&id);
    PhStr_Clear(&checkpoint);
    PhSchedModel_Destroy(m);
}

/* Every record of a stage fits into the store, with all that is needed to find
 * the runs. */
static void
test_sizes(void **state)
{
    (void)state;
    Ph_RUN_TABLE(size_cases, size_run);
}

/* The rest of a key after the id, with the value of a record of `count` tasks
 * from `first` on, and whether they go together. */
typedef struct PhKeyCase {
    const char *name;
    PhStr rest;
    uint32_t first;
    uint32_t count;
    bool valid;
} PhKeyCase;

static const PhKeyCase key_cases[] = {
    {"a whole stage", TEXT(".0.0"), 0, WIDTH, true},
    {"the first part", TEXT(".0.0"), 0, PH_SCHED_PART_TASKS, true},
    {"a later part", TEXT(".0.0.256"), PH_SCHED_PART_TASKS,
     PH_SCHED_PART_TASKS, true},
    {"a whole stage under the key of a part", TEXT(".0.0.256"), 0, WIDTH,
     false},
    {"a part beyond the last task", TEXT(".0.0.512"), 0, PH_SCHED_PART_TASKS,
     false},
    {"a first task out of range", TEXT(".0.0.4096"), 0, PH_SCHED_PART_TASKS,
     false},
    {"a number too many", TEXT(".0.0.256.0"), 0, PH_SCHED_PART_TASKS, false},
    {"a number too few", TEXT(".0"), 0, WIDTH, false},
    {"an empty number", TEXT(".0.0."), 0, WIDTH, false},
    {"no number", TEXT(""), 0, WIDTH, false},
    {"no dot", TEXT("0.0"), 0, WIDTH, false},
};

static void
key_run(const PhKeyCase *c)
{
    PhSchedRecord read;
    PhBuf key = {0};
    PhSchedEncoded e = encode(0, c->first, c->count);
    PhBuf_Append(&key, PhStr_LITERAL("t" JOB_ID));
    PhBuf_Append(&key, c->rest);
    if (c->valid) {
        assert_true(PhStr_Equal(PhBuf_Str(&key), e.key));
    }
    PhResult r = PhSchedRecord_Decode(PhBuf_Str(&key), e.value, &read);
    assert_int_equal(PhResult_IsOk(&r), c->valid);
    if (c->valid) {
        PhSchedRecord_Clear(&read);
    }
    PhBuf_Clear(&key);
    PhSchedEncoded_Clear(&e);
}

/* Guards against parts that are applied to other tasks. */
static void
test_keys(void **state)
{
    (void)state;
    Ph_RUN_TABLE(key_cases, key_run);
}

/* Learned pairs of images with names of a length, and how many of them a
 * record of 262,144 bytes keeps at least. */
typedef struct PhPairsCase {
    const char *name;
    uint32_t pairs;
    size_t name_len;
    uint32_t kept_min;
} PhPairsCase;

static const PhPairsCase pairs_cases[] = {
    {"none", 0, 0, 0},
    {"usual names", 1024, 20, 1024},
    {"long names", 1024, 200, 500},
};

static void
pairs_run(const PhPairsCase *c)
{
    PhSchedRecord read;
    PhSchedRecord record = {.tag = PH_SCHED_RECORD_PAIRS,
                            .as.pairs.count = c->pairs};
    record.as.pairs.items = g_new0(PhSchedPairRecord, MAX(c->pairs, 1));
    for (uint32_t i = 0; i < c->pairs; i++) {
        record.as.pairs.items[i].backfill = text_make(c->name_len);
        record.as.pairs.items[i].serving = text_make(c->name_len);
    }
    PhSchedEncoded e = PhSchedRecord_EncodeWithin(&record, RECORD_LIMIT);
    assert_true(PhSchedEncoded_Bytes(&e) <= RECORD_LIMIT);
    PhResult r = PhSchedRecord_Decode(e.key, e.value, &read);
    assert_true(PhResult_IsOk(&r));
    assert_in_range(read.as.pairs.count, c->kept_min, c->pairs);
    PhSchedRecord_Clear(&read);
    PhSchedRecord_Clear(&record);
    PhSchedEncoded_Clear(&e);
}

/* Guards against learned pairs that stop all other records. */
static void
test_pairs(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pairs_cases, pairs_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_arrivals), cmocka_unit_test(test_sizes),
        cmocka_unit_test(test_keys), cmocka_unit_test(test_pairs)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
