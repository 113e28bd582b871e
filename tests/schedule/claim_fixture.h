/* A scheduler with workers of 8 cores and 100 MB, and jobs of one step, for
 * claims on workers. */
#ifndef PERIDOTHILL_TESTS_SCHEDULE_CLAIM_FIXTURE_H
#define PERIDOTHILL_TESTS_SCHEDULE_CLAIM_FIXTURE_H

#include "peridothill/decide/schedule/scheduler.h"

enum {
    PH_CLAIM_RUN_DELAY_MS = 40, /* from the decision to the begin of a run */
};

#define PH_CLAIM_START (100 * PH_NS_PER_S)

/* The begin or the end of a run, as its worker reports it. */
typedef struct PhClaimReport {
    PhTime at;
    PhSchedTask *task;
    uint32_t run;
    bool ends;
} PhClaimReport;

typedef struct PhClaimFixture {
    PhScheduler *s;
    GArray *reports; /* PhClaimReport, to come */
    uint64_t jobs;
    unsigned starts;
    const PhSchedWorker *silent; /* answers no hold, or NULL */
} PhClaimFixture;

void PhClaimFixture_Open(PhClaimFixture *fixture, PhTime claim_after);
void PhClaimFixture_Close(PhClaimFixture *fixture);
/* Passes a worker's entry to the scheduler and returns the worker. */
PhSchedWorker *PhClaimFixture_ShowWorker(PhClaimFixture *fixture, PhStr id,
                                         bool draining, PhTime now);
/* Adds a job with one step and returns its first task. */
PhSchedTask *PhClaimFixture_AddJob(PhClaimFixture *fixture, PhSchedStep step,
                                   int64_t priority, PhTime slack, PhTime now);
/* Makes all pending changes durable, answers the holds and adds the reports
 * of runs that begin. */
void PhClaimFixture_ExecuteOrders(PhClaimFixture *fixture, PhTime now);
/* Counts the workers on which there are claims. */
unsigned PhClaimFixture_CountClaims(const PhClaimFixture *fixture);

#endif
