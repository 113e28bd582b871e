#include "claim_fixture.h"

#include "single_task.h"

enum {
    CPU_MILLI = 8000,
    MEM_MB = 100,
};

void
PhClaimFixture_Open(PhClaimFixture *fixture, PhTime claim_after)
{
    *fixture = (PhClaimFixture){
        .s = PhScheduler_Create(&(PhSchedulerOptions){
            .lease_limit = 10 * PH_NS_PER_S, .claim_after = claim_after}),
        .reports = g_array_new(FALSE, FALSE, sizeof(PhClaimReport))};
}

void
PhClaimFixture_Close(PhClaimFixture *fixture)
{
    PhScheduler_Destroy(fixture->s);
    g_array_free(fixture->reports, TRUE);
}

PhSchedWorker *
PhClaimFixture_ShowWorker(PhClaimFixture *fixture, PhStr id, bool draining,
                          PhTime now)
{
    PhSchedWorkerEntry entry = {
        .id = PhStr_Dup(id),
        .born_ms = 1,
        .address = PhStr_Dup(PhStr_LITERAL("a:1")),
        .data_centre = PhStr_Dup(id),
        .capacity = {.cpu_milli = CPU_MILLI, .mem_mb = MEM_MB},
        .draining = draining,
        .remaining = draining ? PH_NS_PER_S : 0};
    PhScheduler_SetWorker(fixture->s, &entry, now);
    return PhSchedModel_Worker(PhScheduler_Model(fixture->s), id, 1);
}

PhSchedTask *
PhClaimFixture_AddJob(PhClaimFixture *fixture, PhSchedStep step,
                      int64_t priority, PhTime slack, PhTime now)
{
    PhSchedSpec spec = PhSingle_NumberedSpec(++fixture->jobs, step);
    spec.terms.priority = priority;
    spec.terms.slack = slack;
    PhSchedJob *job =
        PhSchedModel_AddJob(PhScheduler_Model(fixture->s), &spec, now);
    PhSchedTask *task = &PhSchedJob_Stage(job, 0, 0)->tasks[0];
    task->since = now;
    return task;
}

void
PhClaimFixture_ExecuteOrders(PhClaimFixture *fixture, PhTime now)
{
    PhSchedAction a;
    PhSingle_RecordAll(fixture->s);
    while (PhScheduler_NextAction(fixture->s, now, &a)) {
        bool silent = fixture->silent != NULL &&
                      PhStr_Equal(a.worker, fixture->silent->entry.id);
        PhSchedHoldReply reply = {.outcome = silent ? PH_SCHED_OUTCOME_UNKNOWN
                                                    : PH_SCHED_OUTCOME_DONE,
                                  .clock_ms = now / PH_NS_PER_MS,
                                  .born_ms = 1,
                                  .more = true};
        if (a.tag == PH_SCHED_ACTION_HOLD) {
            PhScheduler_OnHold(fixture->s, a.worker, 1, &reply, now);
        }
        else if (a.tag == PH_SCHED_ACTION_START) {
            fixture->starts++;
            PhClaimReport begin = {
                .at = now + PH_CLAIM_RUN_DELAY_MS * PH_NS_PER_MS,
                .task = PhSchedModel_Task(PhScheduler_Model(fixture->s),
                                          &a.as.run.task),
                .run = a.as.run.run};
            g_array_append_val(fixture->reports, begin);
        }
    }
}

unsigned
PhClaimFixture_CountClaims(const PhClaimFixture *fixture)
{
    const GPtrArray *workers = PhScheduler_Model(fixture->s)->incarnations;
    unsigned count = 0;
    for (guint i = 0; i < workers->len; i++) {
        const PhSchedWorker *w = g_ptr_array_index(workers, i);
        count += w->claim.stage != NULL;
    }
    return count;
}
