/* Starts on a worker that has restarted under its id, maybe as another kind,
 * before and after its own entry is read. */
#include "single_task.h"
#include "tests/table.h"

#define SERVICE PhStr_LITERAL("service")
#define LABEL PhStr_LITERAL("kind-a")

enum {
    CPU_MILLI = 1000,
    CLOCK_MS = 5000,
};

static const uint64_t FENCE = 7;
static const PhTime START = 100 * PH_NS_PER_S;

typedef struct PhRebornCase {
    const char *name;
    bool requires_label;
    bool long_running;
    /* What the entry of the later incarnation says. */
    const char *service;
    const char *labels;
    int64_t cpu_milli;
    bool starts; /* once it is read */
} PhRebornCase;

static const PhRebornCase reborn_cases[] = {
    {"the same kind", true, false, "service", ",kind-a,", CPU_MILLI, true},
    {"the same kind, a lasting task", true, true, "service", ",kind-a,",
     CPU_MILLI, true},
    {"another kind", true, false, "service", ",kind-b,", CPU_MILLI, false},
    {"another kind, a lasting task", true, true, "service", ",kind-b,",
     CPU_MILLI, false},
    {"another kind, for any", false, false, "service", ",kind-b,", CPU_MILLI,
     true},
    {"another service", false, false, "other", ",kind-a,", CPU_MILLI, false},
    {"less room", false, false, "service", ",kind-a,", CPU_MILLI / 2, false},
};

static void
entry_show(PhScheduler *s, int64_t born_ms, const char *service,
           const char *labels, int64_t cpu_milli)
{
    PhSchedWorkerEntry entry = {.id = PhStr_Dup(PH_SINGLE_WORKER),
                                .born_ms = born_ms,
                                .address = PhStr_Dup(PhStr_LITERAL("a:1")),
                                .service = PhStr_Dup(PhStr_FromC(service)),
                                .labels = PhStr_Dup(PhStr_FromC(labels)),
                                .capacity = {.cpu_milli = cpu_milli}};
    PhScheduler_SetWorker(s, &entry, START);
}

/* The worker answers holds until it has accepted the fence. */
static void
holds_answer(PhScheduler *s, int64_t addressed_ms, int64_t born_ms)
{
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = CLOCK_MS,
                              .born_ms = born_ms};
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, addressed_ms, &reply, START);
    PhScheduler_OnHold(s, PH_SINGLE_WORKER, born_ms, &reply, START);
}

static void
reborn_run(const PhRebornCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    PhSchedSpec spec = PhSingle_Spec(
        PH_SINGLE_JOB,
        (PhSchedStep){.count = 1,
                      .long_running = c->long_running,
                      .requires =
                          c->requires_label ? PhStr_Dup(LABEL) : (PhStr){0},
                      .resources = {.cpu_milli = CPU_MILLI}});
    spec.terms.service = PhStr_Dup(SERVICE);
    entry_show(s, 1, "service", ",kind-a,", CPU_MILLI);
    PhScheduler_SetFence(s, FENCE, START);
    holds_answer(s, 1, 1);
    holds_answer(s, 1, 2);
    PhSchedJob *job = PhSchedModel_AddJob(PhScheduler_Model(s), &spec, START);
    const PhSchedTask *task = &PhSchedJob_Stage(job, 0, 0)->tasks[0];
    PhScheduler_Plan(s, START + PH_NS_PER_S, 0);
    assert_null(task->worker);
    entry_show(s, 2, c->service, c->labels, c->cpu_milli);
    PhScheduler_Plan(s, START + 2 * PH_NS_PER_S, 0);
    assert_int_equal(task->worker != NULL, c->starts);
    PhScheduler_Destroy(s);
}

/* Guards against tasks that start on a worker which is of another kind by now
 * (ROUTE). */
static void
test_reborn_kind(void **state)
{
    (void)state;
    Ph_RUN_TABLE(reborn_cases, reborn_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_reborn_kind)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
