/* Guards against accepted jobs whose tasks take more memory than an instance
 * has, and against refusals of jobs that fit. */
#include <glib.h>

#include "peridothill/decide/schedule/scheduler.h"
#include "single_task.h"
#include "tests/table.h"

enum {
    LIMIT = 100,
    JOBS_MAX = 3,
    SUM_STEPS_MAX = 5,
};

typedef struct PhTasksCase {
    const char *name;
    uint64_t limit;
    uint32_t jobs[JOBS_MAX]; /* tasks of jobs that have not ended */
    uint32_t ended;          /* tasks of one that has */
    uint64_t pending;        /* tasks that are not durable yet */
    uint32_t count;          /* tasks of a step of the new job */
    uint32_t repetitions;    /* of the new job */
    bool long_running;
    bool accepted;
    bool not_owner; /* its model lags */
} PhTasksCase;

static const PhTasksCase cases[] = {
    {"no limit", 0, {1000, 1000}, 0, 5000, 4000, 0, false, true},
    {"the last that fits", LIMIT, {50, 40}, 0, 0, 10, 0, false, true},
    {"one too many", LIMIT, {50, 40}, 0, 0, 11, 0, false, false},
    {"jobs that have ended", LIMIT, {50}, 90, 0, 50, 0, false, true},
    {"a crowd whose records are on their way",
     LIMIT,
     {10},
     0,
     85,
     10,
     0,
     false,
     false},
    {"all rounds count", LIMIT, {10}, 0, 0, 10, 10, false, false},
    {"long-running jobs", LIMIT, {10, 10, 80}, 0, 0, 1, 0, true, false},
    {"a job beyond the limit by itself, none active",
     LIMIT,
     {0},
     90,
     0,
     65536,
     0,
     false,
     true},
    {"a job beyond the limit by itself, one task active",
     LIMIT,
     {1},
     0,
     0,
     101,
     0,
     false,
     false},
    {"a job beyond the limit by itself, one task pending",
     LIMIT,
     {0},
     0,
     1,
     101,
     0,
     false,
     false},
    {"not the owner: may have been accepted elsewhere",
     LIMIT,
     {50, 50},
     0,
     50,
     1,
     0,
     false,
     true,
     true},
};

static PhSchedSpec
spec_make(unsigned number, uint32_t count)
{
    return PhSingle_NumberedSpec(number, (PhSchedStep){.count = count});
}

static void
tasks_run(const PhTasksCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.active_tasks_max = c->limit});
    PhSchedModel *model = PhScheduler_Model(s);
    for (unsigned i = 0; i < JOBS_MAX; i++) {
        PhSchedSpec spec = spec_make(i, c->jobs[i]);
        PhSchedModel_AddJob(model, &spec, 1);
    }
    PhSchedSpec ended = spec_make(JOBS_MAX, c->ended);
    PhSchedModel_SetJobState(model, PhSchedModel_AddJob(model, &ended, 1),
                             PH_SCHED_JOB_COMPLETED);
    PhScheduler_SetFence(s, c->not_owner ? 0 : 1, 1);
    PhScheduler_SetPendingTasks(s, c->pending);
    PhSchedSpec spec = spec_make(JOBS_MAX + 1, c->count);
    spec.repetitions = c->repetitions;
    spec.steps[0].long_running = c->long_running;
    PhAdmission a = PhScheduler_Admit(s, &spec, 1);
    assert_int_equal(a.tag,
                     c->accepted ? PH_ADMISSION_ACCEPTED : PH_ADMISSION_TASKS);
    if (!c->accepted) {
        assert_in_range(a.retry_after, PH_NS_PER_S, 2 * PH_NS_PER_S);
    }
    PhSchedSpec_Clear(&spec);
    PhScheduler_Destroy(s);
}

static void
test_admission(void **state)
{
    (void)state;
    Ph_RUN_TABLE(cases, tasks_run);
}

typedef enum PhSumTag {
    SUM_ADD,     /* a job; one that is known is not added again */
    SUM_RUNNING, /* state of a job, as the next two */
    SUM_FAILED,
    SUM_COMPLETED,
    SUM_CLEAR, /* all records */
} PhSumTag;

typedef struct PhSumStep {
    PhSumTag tag;
    unsigned job;
    uint32_t count;
    uint32_t repetitions;
} PhSumStep;

typedef struct PhSumCase {
    const char *name;
    PhSumStep steps[SUM_STEPS_MAX];
    size_t step_count;
    uint64_t sum; /* afterwards */
} PhSumCase;

static const PhSumCase sum_cases[] = {
    {"jobs and rounds", {{SUM_ADD, 1, 5, 0}, {SUM_ADD, 2, 7, 3}}, 2, 26},
    {"a known job", {{SUM_ADD, 1, 5, 0}, {SUM_ADD, 1, 5, 0}}, 2, 5},
    {"an end, and its record once more",
     {{SUM_ADD, 1, 5, 0},
      {SUM_ADD, 2, 7, 0},
      {SUM_RUNNING, 1},
      {SUM_COMPLETED, 1},
      {SUM_COMPLETED, 1}},
     5,
     7},
    {"another end after the end",
     {{SUM_ADD, 1, 5, 0}, {SUM_FAILED, 1}, {SUM_COMPLETED, 1}},
     3,
     0},
    {"records read again after a new start",
     {{SUM_ADD, 1, 5, 0}, {SUM_ADD, 2, 7, 0}, {SUM_CLEAR}, {SUM_ADD, 2, 7, 0}},
     4,
     7},
};

static void
sum_step(PhSchedModel *model, const PhSumStep *step)
{
    PhSchedSpec spec = spec_make(step->job, step->count);
    PhSchedJob *job = PhSchedModel_Job(model, spec.id);
    spec.repetitions = step->repetitions;
    switch (step->tag) {
    case SUM_ADD:
        PhSchedModel_AddJob(model, &spec, 1);
        break;
    case SUM_RUNNING:
        PhSchedModel_SetJobState(model, job, PH_SCHED_JOB_RUNNING);
        break;
    case SUM_FAILED:
        PhSchedModel_SetJobState(model, job, PH_SCHED_JOB_FAILED);
        break;
    case SUM_COMPLETED:
        PhSchedModel_SetJobState(model, job, PH_SCHED_JOB_COMPLETED);
        break;
    case SUM_CLEAR:
        PhSchedModel_ClearRecords(model);
        break;
    }
    PhSchedSpec_Clear(&spec);
}

/* Guards against a sum that departs from the jobs, so that jobs are refused
 * for tasks that have ended. */
static void
sum_run(const PhSumCase *c)
{
    PhScheduler *s = PhScheduler_Create(&(PhSchedulerOptions){0});
    PhSchedModel *model = PhScheduler_Model(s);
    for (size_t i = 0; i < c->step_count; i++) {
        uint64_t recount = 0;
        sum_step(model, &c->steps[i]);
        for (guint k = 0; k < model->active->len; k++) {
            const PhSchedJob *job = g_ptr_array_index(model->active, k);
            recount += PhSchedSpec_TaskCount(&job->spec);
        }
        assert_int_equal(model->active_tasks, recount);
    }
    assert_int_equal(model->active_tasks, c->sum);
    PhScheduler_Destroy(s);
}

static void
test_sum(void **state)
{
    (void)state;
    Ph_RUN_TABLE(sum_cases, sum_run);
}

typedef struct PhLimitCase {
    const char *name;
    uint64_t active_tasks;
    uint64_t memory;
    uint64_t min;
    uint64_t max;
} PhLimitCase;

#define MB (UINT64_C(1) << 20)

/* A job may have 65,536 tasks; it fits whatever the memory. */
static const PhLimitCase limit_cases[] = {
    {"memory not known", 262144, 0, 262144, 262144},
    {"smallest machine", 262144, 160 * MB, 65536, 262143},
    {"fewer set", 1024, 160 * MB, 1024, 1024},
    {"memory for no job", 262144, 1024, 65536, 65536},
    {"no limit set", 0, 160 * MB, 0, 0},
    {"enough memory", 262144, 4096 * MB, 262144, 262144},
};

static void
limit_run(const PhLimitCase *c)
{
    uint64_t limit = PhScheduler_ActiveTasksMax(c->active_tasks, c->memory);
    assert_in_range(limit, c->min, c->max);
}

static void
test_limit(void **state)
{
    (void)state;
    Ph_RUN_TABLE(limit_cases, limit_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_admission),
        cmocka_unit_test(test_sum),
        cmocka_unit_test(test_limit),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
