/* The time that a task that is to last is without a run, as the owner reports
 * it. */
#include "single_task.h"
#include "tests/table.h"

enum {
    FENCE = 7,
    NONE = -1,
};

static const PhTime TAKEOVER = 100 * PH_NS_PER_S;

/* What the owner knows of the run before, and the time at which the worker
 * confirms the next one, in milliseconds since the takeover. */
typedef struct PhGapCase {
    const char *name;
    uint32_t run; /* that is confirmed */
    bool long_running;
    bool inherited; /* the confirmed run was started by an earlier owner */
    PhSchedEndKind kind;
    int64_t confirmed_ms; /* the worker listed the run before, NONE: never */
    int64_t ended_ms;     /* its end was known, NONE: before the takeover */
    int64_t resumed_ms;
    int64_t gap_ms; /* NONE: not reported */
} PhGapCase;

static const PhGapCase gap_cases[] = {
    {"its end was reported", 2, true, false, PH_SCHED_END_FAILED, 1000, 5000,
     5400, 400},
    {"its lease expired", 2, true, false, PH_SCHED_END_LEASE_EXPIRED, 1000,
     7000, 7300, 6300},
    {"it ended before the takeover", 2, true, false, PH_SCHED_END_FAILED, NONE,
     NONE, 700, 700},
    {"the first run", 1, true, false, PH_SCHED_END_FAILED, NONE, NONE, 700,
     NONE},
    {"a task with an end", 2, false, false, PH_SCHED_END_FAILED, 1000, 5000,
     5400, NONE},
    {"an inherited run", 2, true, true, PH_SCHED_END_FAILED, NONE, NONE, 700,
     NONE},
};

static PhTime
at(int64_t ms)
{
    return TAKEOVER + ms * PH_NS_PER_MS;
}

/* The worker lists a run of the task, or its end. */
static void
answer(PhScheduler *s, uint32_t run, const PhSchedEndKind *end, PhTime now)
{
    PhSchedRunRow row = {.task = {.job = PH_SINGLE_JOB}, .run = run};
    PhSchedEndRow ended = {
        .number = 1, .task = {.job = PH_SINGLE_JOB}, .run = run};
    if (end != NULL) {
        ended.kind = *end;
    }
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .runs = &row,
                              .run_count = end == NULL,
                              .ends = &ended,
                              .end_count = end != NULL};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, 1, &reply, now);
}

static void
place(PhScheduler *s, PhSchedTask *task, uint32_t run, uint64_t fence)
{
    task->run = run;
    task->fence = fence;
    PhSchedTask_Place(
        task, PhSchedModel_Worker(PhScheduler_Model(s), PH_SINGLE_WORKER, 1));
}

/* Returns the gap that was reported, in milliseconds. */
static int64_t
gap_reported(const PhScheduler *s)
{
    size_t count;
    int64_t gap = NONE;
    const PhSchedEvent *events = PhScheduler_Events(s, &count);
    for (size_t i = 0; i < count; i++) {
        if (events[i].tag == PH_SCHED_EVENT_RUN_RESUMED) {
            assert_int_equal(gap, NONE);
            gap = events[i].as.resumed.gap / PH_NS_PER_MS;
        }
    }
    return gap;
}

static void
gap_run(const PhGapCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSingle_ShowWorker(s, false, TAKEOVER);
    PhSchedTask *task = PhSingle_AddJob(
        PhScheduler_Model(s), PH_SINGLE_JOB,
        (PhSchedStep){.count = 1, .long_running = c->long_running});
    PhScheduler_SetFence(s, FENCE, TAKEOVER);
    if (c->confirmed_ms != NONE) {
        place(s, task, c->run - 1, FENCE);
        answer(s, c->run - 1, NULL, at(c->confirmed_ms));
    }
    if (c->ended_ms != NONE) {
        answer(s, c->run - 1, &c->kind, at(c->ended_ms));
    }
    place(s, task, c->run, c->inherited ? 0 : FENCE);
    answer(s, c->run, NULL, at(c->resumed_ms));
    assert_int_equal(gap_reported(s), c->gap_ms);
    PhScheduler_Destroy(s);
}

/* Guards against a time without a run that is missing from the measures, or
 * counted wrongly. */
static void
test_lasting_gaps(void **state)
{
    (void)state;
    Ph_RUN_TABLE(gap_cases, gap_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_lasting_gaps)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
