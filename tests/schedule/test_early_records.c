/* Records whose job is not known yet: an instance may read what the owner
 * writes of a job before it knows the job, from the store or because it
 * accepted the job itself. */
#include "peridothill/decide/schedule/record.h"
#include "single_task.h"
#include "tests/table.h"

#define JOB PhStr_LITERAL("00000000000000aa")
#define OTHER PhStr_LITERAL("00000000000000bb")

enum {
    TASKS = 2,
};

/* What arrives, in order: 1 and 2 the records of a stage, with one and with
 * both tasks placed; s that the job is cancelled; r that the job was read, a
 * that this instance accepted it; o another job; c forgets all jobs. */
typedef struct PhOrderCase {
    const char *name;
    const char *arrivals;
    uint32_t placed; /* tasks at the end */
    PhSchedJobState state;
} PhOrderCase;

static const PhOrderCase order_cases[] = {
    {"the job first", "r12", 2, PH_SCHED_JOB_RUNNING},
    {"the job last", "12r", 2, PH_SCHED_JOB_RUNNING},
    {"read in between", "1r2", 2, PH_SCHED_JOB_RUNNING},
    {"accepted here in between", "1a2", 2, PH_SCHED_JOB_RUNNING},
    {"accepted here, and read later", "1a2r", 2, PH_SCHED_JOB_RUNNING},
    {"accepted here after all records", "12a", 2, PH_SCHED_JOB_RUNNING},
    {"another job has no part in it", "1o2r", 2, PH_SCHED_JOB_RUNNING},
    {"the state comes early too", "12sr", 2, PH_SCHED_JOB_CANCELLED},
    {"what was kept is forgotten with the jobs", "2cr", 0,
     PH_SCHED_JOB_QUEUED},
};

/* A job of one step. */
static PhSchedSpec
job_spec(PhStr id)
{
    return PhSingle_Spec(id,
                         (PhSchedStep){.count = TASKS, .long_running = true});
}

/* The record of a stage whose first tasks are placed. */
static PhSchedRecord
stage_record(uint32_t placed)
{
    PhSchedRecord r = {.tag = PH_SCHED_RECORD_STAGE,
                       .id = PhStr_Dup(JOB),
                       .as.stage.task_count = TASKS};
    r.as.stage.tasks = g_new0(PhSchedTaskRecord, TASKS);
    for (uint32_t i = 0; i < placed; i++) {
        r.as.stage.tasks[i] =
            (PhSchedTaskRecord){.state = PH_SCHED_TASK_RUNNING,
                                .run = 1,
                                .worker = PhStr_Dup(PhStr_LITERAL("worker")),
                                .worker_born_ms = 1};
    }
    return r;
}

/* Applies a record. */
static PhStatus
apply(PhSchedModel *m, PhSchedRecord r)
{
    return PhSchedModel_Apply(m, &r, 0);
}

/* Reads the record of the job. */
static void
read_job(PhSchedModel *m)
{
    PhSchedRecord r = {.tag = PH_SCHED_RECORD_JOB};
    r.as.job = job_spec(JOB);
    PhSchedModel_Apply(m, &r, 0);
}

/* Adds a job that this instance accepted. */
static void
accept(PhSchedModel *m, PhStr id)
{
    PhSchedSpec spec = job_spec(id);
    PhSchedModel_AddJob(m, &spec, 0);
}

/* Lets one thing arrive. */
static void
arrive(PhSchedModel *m, char what)
{
    switch (what) {
    case '1':
    case '2':
        apply(m, stage_record((uint32_t)(what - '0')));
        break;
    case 's':
        apply(m, (PhSchedRecord){.tag = PH_SCHED_RECORD_STATE,
                                 .id = PhStr_Dup(JOB),
                                 .as.state = PH_SCHED_JOB_CANCELLED});
        break;
    case 'r':
        read_job(m);
        break;
    case 'a':
        accept(m, JOB);
        break;
    case 'o':
        accept(m, OTHER);
        break;
    default:
        PhSchedModel_ClearRecords(m);
        break;
    }
}

/* Plays one order. */
static void
order_run(const PhOrderCase *c)
{
    PhSchedModel *m = PhSchedModel_Create();
    for (const char *p = c->arrivals; *p != '\0'; p++) {
        arrive(m, *p);
    }
    const PhSchedJob *job = PhSchedModel_Job(m, JOB);
    assert_non_null(job);
    assert_int_equal(job->state, c->state);
    assert_int_equal(PhSchedJob_Stage(job, 0, 0)->placed, c->placed);
    PhSchedModel_Destroy(m);
}

/* Every order. */
static void
test_orders(void **state)
{
    (void)state;
    Ph_RUN_TABLE(order_cases, order_run);
}

/* Records of unknown jobs are bounded, and it is told when one is left out. */
static void
test_bound(void **state)
{
    PhSchedModel *m = PhSchedModel_Create();
    (void)state;
    for (int i = 0; i < PH_SCHED_EARLY_MAX; i++) {
        assert_int_equal(apply(m, stage_record(1)), PH_STATUS_NOT_FOUND);
    }
    assert_int_equal(apply(m, stage_record(2)), PH_STATUS_FULL);
    PhSchedModel_ClearRecords(m);
    assert_int_equal(apply(m, stage_record(2)), PH_STATUS_NOT_FOUND);
    PhSchedModel_Destroy(m);
}

/* Runs the tests. */
int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_orders),
                                       cmocka_unit_test(test_bound)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
