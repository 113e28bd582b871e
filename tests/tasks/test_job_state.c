#include "peridothill/codec/job_record.h"
#include "peridothill/decide/tasks/job_state.h"
#include "tests/table.h"

/* Log entries in their encoded form, and the counts of job 1 after they are
 * applied. */
typedef struct PhStateCase {
    const char *name;
    const char *entries[8];
    uint64_t epoch;
    uint32_t waiting;
    uint32_t placed;
    uint32_t done;
    uint32_t cancelled;
} PhStateCase;

#define E(INSTANCE, N, RECORDS)                                               \
    "{\"i\":\"" INSTANCE "\",\"n\":" #N ",\"r\":[" RECORDS "]}"
#define JOB E("a", 1, "[\"job\",[\"k\",\"t\",\"\",2,0,0,0,1,1,0,2,true]]")
#define CLAIM E("b", 1, "[\"claim\",1,-1]")
#define START(INSTANCE, N, EPOCH, INC)                                        \
    E(INSTANCE, N, "[\"start\"," #EPOCH ",1,0," #INC ",\"w\"]")
#define END(INSTANCE, N, INC, OUTCOME)                                        \
    E(INSTANCE, N, "[\"end\",1,0," #INC "," #OUTCOME ",0]")

static const PhStateCase state_cases[] = {
    {"accepted", {JOB}, 0, 2, 0, 0, 0},
    {"repeated key accepted once", {JOB, JOB}, 0, 2, 0, 0, 0},
    {"placed by the owner", {JOB, CLAIM, START("b", 2, 1, 1)}, 1, 1, 1, 0, 0},
    {"not placed by another instance",
     {JOB, CLAIM, START("a", 2, 1, 1)},
     1,
     2,
     0,
     0,
     0},
    {"not placed under another epoch",
     {JOB, CLAIM, START("b", 2, 2, 1)},
     1,
     2,
     0,
     0,
     0},
    {"not placed twice",
     {JOB, CLAIM, START("b", 2, 1, 1), START("b", 3, 1, 2)},
     1,
     1,
     1,
     0,
     0},
    {"incarnation skipped", {JOB, CLAIM, START("b", 2, 1, 2)}, 1, 2, 0, 0, 0},
    {"done",
     {JOB, CLAIM, START("b", 2, 1, 1), END("a", 2, 1, 0)},
     1,
     1,
     0,
     1,
     0},
    {"end reported twice",
     {JOB, CLAIM, START("b", 2, 1, 1), END("a", 2, 1, 1), END("b", 3, 1, 1),
      START("b", 4, 1, 2)},
     1,
     1,
     1,
     0,
     0},
    {"old end after a new start",
     {JOB, CLAIM, START("b", 2, 1, 1), END("a", 2, 1, 1), START("b", 3, 1, 2),
      END("a", 3, 1, 1)},
     1,
     1,
     1,
     0,
     0},
    {"a repeated entry has no effect",
     {JOB, CLAIM, START("b", 2, 1, 1), E("a", 2, "[\"cancel\",1]"),
      END("b", 2, 1, 2)},
     1,
     0,
     1,
     0,
     1},
    {"second claim of one epoch",
     {JOB, CLAIM, E("a", 2, "[\"claim\",1,-1]"), START("a", 3, 1, 1)},
     1,
     2,
     0,
     0,
     0},
    {"claim that precedes a heartbeat of the owner",
     {JOB, CLAIM, E("b", 2, "[\"hold\",1]"), E("a", 2, "[\"claim\",2,1]")},
     1,
     2,
     0,
     0,
     0},
    {"claim after the last heartbeat",
     {JOB, CLAIM, E("b", 2, "[\"hold\",1]"), E("a", 2, "[\"claim\",2,2]"),
      START("b", 3, 1, 1)},
     2,
     2,
     0,
     0,
     0},
    {"cancelled before the start",
     {JOB, CLAIM, E("a", 2, "[\"cancel\",1]"), START("b", 2, 1, 1)},
     1,
     0,
     0,
     0,
     2},
    {"cancelled while evicted",
     {JOB, CLAIM, START("b", 2, 1, 1), E("a", 2, "[\"cancel\",1]"),
      END("a", 3, 1, 3), START("b", 3, 1, 2)},
     1,
     0,
     0,
     0,
     2},
    {"retired worker",
     {JOB, CLAIM, E("b", 2, "[\"retire\",1,\"w\"]"), START("b", 3, 1, 1)},
     1,
     2,
     0,
     0,
     0},
    {"restored worker",
     {JOB, CLAIM, E("b", 2, "[\"retire\",1,\"w\"],[\"restore\",1,\"w\"]"),
      START("b", 3, 1, 1)},
     1,
     1,
     1,
     0,
     0},
};

static void
entry_apply(PhJobState *s, uint64_t offset, const char *text)
{
    PhJobEntry entry;
    PhResult result = PhJobEntry_Decode(PhStr_FromC(text), &entry);
    assert_true(PhResult_IsOk(&result));
    if (PhJobState_BeginEntry(s, offset, &entry)) {
        for (guint i = 0; i < entry.records->len; i++) {
            PhJobState_Apply(s, &entry, i);
        }
    }
    PhJobEntry_Clear(&entry);
}

static void
state_compare(const PhStateCase *c, const PhJobState *s)
{
    const PhJob *job = PhJobState_Job(s, 1);
    assert_non_null(job);
    assert_int_equal(PhJobState_Epoch(s), c->epoch);
    assert_int_equal(job->waiting, c->waiting);
    assert_int_equal(job->placed, c->placed);
    assert_int_equal(job->done, c->done);
    assert_int_equal(job->cancelled, c->cancelled);
    assert_int_equal(PhJobState_PlacedCount(s), c->placed);
}

/* Also checks that a snapshot restores the same state, and that a truncated
 * snapshot is rejected. */
static void
check_state(const PhStateCase *c)
{
    PhJobState *s = PhJobState_Create();
    for (uint64_t i = 0; i < G_N_ELEMENTS(c->entries); i++) {
        if (c->entries[i] != NULL) {
            entry_apply(s, i, c->entries[i]);
        }
    }
    state_compare(c, s);
    GArray *records = PhJobRecords_Create();
    PhJobState_Snapshot(s, 1, records);
    PhJobState *loaded = PhJobState_Load(records);
    assert_non_null(loaded);
    state_compare(c, loaded);
    assert_int_equal(PhJobState_NextOffset(loaded), PhJobState_NextOffset(s));
    g_array_set_size(records, records->len - 1);
    assert_null(PhJobState_Load(records));
    g_array_free(records, TRUE);
    PhJobState_Destroy(loaded);
    PhJobState_Destroy(s);
}

/* Guards against state that depends on duplicate entries, stale owners or runs
 * that are no longer current. */
static void
test_state(void **state)
{
    (void)state;
    Ph_RUN_TABLE(state_cases, check_state);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_state),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
