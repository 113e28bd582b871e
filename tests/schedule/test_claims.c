/* Claims on workers.  Guards against tasks that need most of a worker and wait
 * while smaller ones take each core that becomes free, and against claims that
 * keep workers idle. */
#include "peridothill/decide/schedule/claims.h"

#include "claim_fixture.h"
#include "tests/table.h"

enum {
    WORKERS_MAX = 70,
    BIG_JOBS_MAX = 3,
    STEP_MS = 20,
    BIG_AT_MS = 1000,
    UNTIL_MS = 12000,
    SLACK_MS = 60000,
    NEVER_MS = 60000,
};

typedef enum PhClaimFault {
    CLAIM_UNDISTURBED,
    CLAIM_SILENT,
    CLAIM_DRAINS,
    CLAIM_CORDONED,
} PhClaimFault;

/* Steady small jobs of one task, more than the workers take, beside big ones.
 * Times in milliseconds. */
typedef struct PhClaimCase {
    const char *name;
    int64_t claim_after_ms;
    unsigned workers;
    unsigned big_jobs;
    const PhSchedStep *big;
    const PhSchedStep *small;
    int64_t small_estimate_ms;
    int64_t small_run_ms;
    int64_t small_every_ms;
    PhClaimFault fault;  /* of the first claimed worker, 0.1 s later */
    int64_t wait_min_ms; /* expected, of the longest wait of a big task */
    int64_t wait_max_ms;
    unsigned claims;    /* expected at least, by big tasks */
    unsigned at_a_time; /* expected at most, by big tasks */
    bool interrupted;   /* the big tasks have run before */
    int64_t priority;   /* of the big jobs */
    int64_t small_priority;
    bool hopeless;              /* the big jobs are beyond their objective */
    const PhSchedStep *earlier; /* a job that comes before all others */
    int64_t overrun_ms;         /* by which its task exceeds its estimate */
} PhClaimCase;

static const PhSchedStep big = {
    .count = 1, .resources = {7000, 10, 0}, .estimate = PH_NS_PER_S};
static const PhSchedStep whole = {
    .count = 1, .resources = {8000, 10, 0}, .estimate = PH_NS_PER_S};
static const PhSchedStep big_lasting = {
    .count = 1, .resources = {7000, 10, 0}, .long_running = true};
static const PhSchedStep big_memory = {
    .count = 1, .resources = {1000, 90, 0}, .estimate = PH_NS_PER_S};
static const PhSchedStep big_gang = {.count = 1,
                                     .resources = {7000, 10, 0},
                                     .estimate = PH_NS_PER_S,
                                     .gang = true};
static const PhSchedStep small = {.count = 1, .resources = {1000, 1, 0}};
static const PhSchedStep tiny = {.count = 2, .resources = {250, 1, 0}};
static const PhSchedStep pair = {.count = 2, .resources = {1000, 1, 0}};
static const PhSchedStep lengthy = {
    .count = 1, .resources = {2000, 1, 0}, .estimate = 3 * PH_NS_PER_S};
static const PhSchedStep overrunning = {
    .count = 1, .resources = {8000, 1, 0}, .estimate = PH_NS_PER_S};
static const PhSchedStep overrunning_pair = {
    .count = 2, .resources = {8000, 1, 0}, .estimate = PH_NS_PER_S};
static const PhSchedStep wide = {.count = 2, .resources = {6000, 1, 0}};
static const PhSchedStep fills = {
    .count = 1, .resources = {1000, 12, 0}, .fills = true};

/* A claimant waits for claim_after, then for the tasks that are there: one run
 * if they end as estimated.  0.5 s are for the search and the start.  Beside
 * the longer task, which ends at 3.04 s, it may be later by the start of
 * another and two passes. */
static const PhClaimCase claim_cases[] = {
    {"steady small tasks, the code before", 0, 1, 1, &big, &small, 800, 800,
     80, CLAIM_UNDISTURBED, 9000, NEVER_MS, 0, 0},
    {"steady small tasks", 500, 1, 1, &big, &small, 800, 800, 80,
     CLAIM_UNDISTURBED, 500, 1800, 1, 1},
    {"several workers, the code before", 0, 4, 1, &big, &small, 800, 800, 20,
     CLAIM_UNDISTURBED, 9000, NEVER_MS, 0, 0},
    {"several workers", 500, 4, 1, &big, &small, 800, 800, 20,
     CLAIM_UNDISTURBED, 500, 1800, 1, 1},
    {"overdue tasks, the code before", 0, 1, 1, &big, &small, 400, 1200, 120,
     CLAIM_UNDISTURBED, 9000, NEVER_MS, 0, 0},
    {"overdue tasks", 500, 1, 1, &big, &small, 400, 1200, 120,
     CLAIM_UNDISTURBED, 500, 2600, 1, 1},
    {"small tasks beside a longer one", 500, 1, 1, &whole, &tiny, 400, 400, 20,
     CLAIM_UNDISTURBED, 500, 2120, 1, 1, .earlier = &lengthy},
    {"two tasks end at once", 500, 1, 1, &big, &pair, 800, 800, 160,
     CLAIM_UNDISTURBED, 500, 1800, 1, 1},
    {"a task overruns for long, and another worker is there", 500, 2, 1, &big,
     &small, 800, 800, 80, CLAIM_UNDISTURBED, 500, 4800, 2, 1,
     .earlier = &overrunning, .overrun_ms = 20000},
    {"tasks overrun for long on two workers, and a third is there", 500, 3, 1,
     &big, &small, 800, 800, 80, CLAIM_UNDISTURBED, 500, 4800, 2, 1,
     .earlier = &overrunning_pair, .overrun_ms = 20000},
    {"the room is free in 5 s", 500, 1, 1, &whole, &small, 5000, 5000, 500,
     CLAIM_UNDISTURBED, 3500, 6000, 1, 1},
    {"the room is free in 15 s", 500, 1, 1, &whole, &small, 15000, 15000, 80,
     CLAIM_UNDISTURBED, 9000, NEVER_MS, 0, 0},
    {"tasks without estimates", 500, 1, 1, &big, &small, 0, 800, 80,
     CLAIM_UNDISTURBED, 9000, NEVER_MS, 0, 0},
    {"the claimed worker is silent", 500, 2, 1, &big, &small, 800, 800, 40,
     CLAIM_SILENT, 500, 3000, 2, 1},
    {"the claimed worker drains", 500, 2, 1, &big, &small, 800, 800, 40,
     CLAIM_DRAINS, 500, 3000, 2, 1},
    {"the claimed worker is cordoned", 500, 2, 1, &big, &small, 800, 800, 40,
     CLAIM_CORDONED, 500, 3000, 2, 1},
    {"room for two claims", 500, 70, 3, &big, &wide, 4000, 4000, 20,
     CLAIM_UNDISTURBED, 500, NEVER_MS, 2, 2, .small_priority = 2},
    {"room for one claim", 500, 66, 3, &big, &wide, 4000, 4000, 20,
     CLAIM_UNDISTURBED, 500, NEVER_MS, 1, 1, .small_priority = 2},
    {"memory that backfill tasks take, the code before", 0, 1, 1, &big_memory,
     &fills, 800, 800, 80, CLAIM_UNDISTURBED, 9000, NEVER_MS, 0, 0,
     .small_priority = 2},
    {"memory that backfill tasks take", 500, 1, 1, &big_memory, &fills, 800,
     800, 80, CLAIM_UNDISTURBED, 500, 1800, 1, 1, .small_priority = 2},
    {"lasting, interrupted", 500, 1, 1, &big_lasting, &small, 800, 800, 80,
     CLAIM_UNDISTURBED, 500, 1800, 1, 1, .interrupted = true},
    {"a gang", 500, 1, 1, &big_gang, &small, 800, 800, 80, CLAIM_UNDISTURBED,
     9000, NEVER_MS, 0, 0},
    {"lasting, has never run", 500, 1, 1, &big_lasting, &small, 800, 800, 80,
     CLAIM_UNDISTURBED, 9000, NEVER_MS, 0, 0},
    {"low priority", 500, 1, 1, &big, &small, 800, 800, 80, CLAIM_UNDISTURBED,
     9000, NEVER_MS, 0, 0, .priority = 2},
    {"beyond three times its objective", 500, 1, 1, &big, &small, 800, 800, 80,
     CLAIM_UNDISTURBED, 9000, NEVER_MS, 0, 0, .hopeless = true},
};

typedef struct PhClaimSim {
    const PhClaimCase *c;
    PhClaimFixture f;
    PhSchedWorker *workers[WORKERS_MAX];
    uint64_t ends[WORKERS_MAX]; /* reported by each */
    PhSchedTask *big[BIG_JOBS_MAX];
    PhSchedTask *earlier;
    PhSchedWorker *disturbed;
    PhTime disturbed_at;
    unsigned claims; /* by all tasks */
    unsigned logged;
    unsigned big_claims;
    unsigned big_at_a_time;
} PhClaimSim;

static void
jobs_add(PhClaimSim *sim, int64_t ms, PhTime now)
{
    const PhClaimCase *c = sim->c;
    if (ms % c->small_every_ms == 0) {
        PhSchedStep step = *c->small;
        step.estimate = c->small_estimate_ms * PH_NS_PER_MS;
        PhClaimFixture_AddJob(&sim->f, step, sim->c->small_priority,
                              SLACK_MS * PH_NS_PER_MS, now);
    }
    if (ms == 0 && c->earlier != NULL) {
        sim->earlier =
            PhClaimFixture_AddJob(&sim->f, *c->earlier, 0, PH_NS_PER_S, now);
    }
    for (unsigned i = 0; ms == BIG_AT_MS && i < c->big_jobs; i++) {
        sim->big[i] =
            PhClaimFixture_AddJob(&sim->f, *c->big, c->priority,
                                  c->hopeless ? 0 : SLACK_MS * PH_NS_PER_MS,
                                  now - (c->hopeless ? 10 * PH_NS_PER_S : 0));
        sim->big[i]->since = now;
        sim->big[i]->run = c->interrupted;
    }
}

static unsigned
worker_index(const PhClaimSim *sim, const PhSchedWorker *w)
{
    unsigned i = 0;
    while (sim->workers[i] != w) {
        i++;
    }
    return i;
}

static PhTime
run_time(const PhClaimSim *sim, const PhSchedTask *task)
{
    const PhClaimCase *c = sim->c;
    const PhSchedStep *step =
        &task->stage->job->spec.steps[task->stage->number];
    int64_t more_ms =
        sim->earlier != NULL && task->stage == sim->earlier->stage
            ? c->overrun_ms
            : c->small_run_ms - c->small_estimate_ms;
    return step->long_running ? SLACK_MS * PH_NS_PER_MS
                              : step->estimate + more_ms * PH_NS_PER_MS;
}

static void
report_apply(PhClaimSim *sim, const PhClaimReport *r, PhTime now)
{
    PhSchedTask *task = r->task;
    const PhSchedWorker *w = task->worker;
    if (w == NULL || task->run != r->run || w == sim->f.silent) {
        return;
    }
    if (!r->ends) {
        PhSchedRunReply reply = {.task = PhSchedTask_Name(task),
                                 .run = r->run,
                                 .born_ms = 1,
                                 .outcome = PH_SCHED_OUTCOME_DONE,
                                 .clock_ms = now / PH_NS_PER_MS};
        PhClaimReport end = *r;
        end.ends = true;
        end.at = now + run_time(sim, task);
        PhScheduler_OnStart(sim->f.s, &reply, now);
        g_array_append_val(sim->f.reports, end);
        return;
    }
    PhSchedEndRow end = {.number = ++sim->ends[worker_index(sim, w)],
                         .task = PhSchedTask_Name(task),
                         .run = r->run,
                         .kind = PH_SCHED_END_DONE};
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .ends = &end,
                              .end_count = 1,
                              .more = true};
    PhScheduler_OnHold(sim->f.s, w->entry.id, 1, &reply, now);
}

static void
reports_apply(PhClaimSim *sim, PhTime now)
{
    for (guint i = sim->f.reports->len; i-- > 0;) {
        PhClaimReport r = g_array_index(sim->f.reports, PhClaimReport, i);
        if (r.at <= now) {
            g_array_remove_index(sim->f.reports, i);
            report_apply(sim, &r, now);
        }
    }
}

/* Counts claims; the first claimed worker is disturbed 0.1 s later. */
static void
claims_watch(PhClaimSim *sim, PhTime now)
{
    size_t count;
    unsigned big_claimed = 0;
    const PhSchedEvent *events = PhScheduler_Events(sim->f.s, &count);
    for (size_t i = 0; i < count; i++) {
        if (events[i].tag == PH_SCHED_EVENT_CLAIM) {
            sim->claims++;
            sim->logged += events[i].as.claim.logged;
            for (unsigned j = 0; j < sim->c->big_jobs && sim->big[j] != NULL;
                 j++) {
                sim->big_claims +=
                    PhStr_Equal(events[i].as.claim.task.job,
                                sim->big[j]->stage->job->spec.id);
            }
        }
    }
    PhScheduler_ClearEvents(sim->f.s);
    const GPtrArray *workers = PhScheduler_Model(sim->f.s)->incarnations;
    for (guint i = 0; i < workers->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(workers, i);
        if (w->claim.stage != NULL && sim->disturbed_at == 0) {
            sim->disturbed_at = now + 100 * PH_NS_PER_MS;
            sim->disturbed = w;
            sim->f.silent = sim->c->fault == CLAIM_SILENT ? w : NULL;
        }
    }
    for (unsigned i = 0; i < sim->c->big_jobs && sim->big[i] != NULL; i++) {
        big_claimed += sim->big[i]->stage->claimed != NULL;
    }
    assert_true(PhClaimFixture_CountClaims(&sim->f) <=
                PhClaim_Limit(sim->c->workers));
    sim->big_at_a_time = MAX(sim->big_at_a_time, big_claimed);
}

static void
worker_disturb(PhClaimSim *sim, PhTime now)
{
    if (sim->disturbed == NULL || sim->disturbed_at != now) {
        return;
    }
    PhStr id = sim->disturbed->entry.id;
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_UNKNOWN};
    switch (sim->c->fault) {
    case CLAIM_UNDISTURBED:
        break;
    case CLAIM_SILENT:
        PhScheduler_OnHold(sim->f.s, id, 1, &reply, now);
        break;
    case CLAIM_DRAINS:
        PhClaimFixture_ShowWorker(&sim->f, id, true, now);
        break;
    case CLAIM_CORDONED:
        PhScheduler_SetCordon(sim->f.s, id, true, now);
        break;
    }
}

static void
sim_run(PhClaimSim *sim)
{
    const PhClaimCase *c = sim->c;
    for (unsigned i = 0; i < c->workers; i++) {
        char id[8];
        (void)snprintf(id, sizeof(id), "w%u", i);
        sim->workers[i] = PhClaimFixture_ShowWorker(&sim->f, PhStr_FromC(id),
                                                    false, PH_CLAIM_START);
    }
    PhScheduler_SetFence(sim->f.s, 7, PH_CLAIM_START);
    for (int64_t ms = 0; ms <= UNTIL_MS; ms += STEP_MS) {
        PhTime now = PH_CLAIM_START + ms * PH_NS_PER_MS;
        reports_apply(sim, now);
        worker_disturb(sim, now);
        jobs_add(sim, ms, now);
        PhScheduler_Plan(sim->f.s, now, 0);
        PhClaimFixture_ExecuteOrders(&sim->f, now);
        claims_watch(sim, now);
    }
}

/* The longest wait for the first start of a big task, or until the end. */
static int64_t
longest_wait_ms(const PhClaimSim *sim)
{
    PhTime longest = 0;
    for (unsigned i = 0; i < sim->c->big_jobs; i++) {
        PhTime at = sim->big[i]->stage->job->first_start_at;
        at = at == 0 ? PH_CLAIM_START + UNTIL_MS * PH_NS_PER_MS : at;
        longest = MAX(longest, at - PH_CLAIM_START - BIG_AT_MS * PH_NS_PER_MS);
    }
    return longest / PH_NS_PER_MS;
}

static void
claim_run(const PhClaimCase *c)
{
    PhClaimSim sim = {.c = c};
    PhClaimFixture_Open(&sim.f, c->claim_after_ms * PH_NS_PER_MS);
    sim_run(&sim);
    int64_t wait = longest_wait_ms(&sim);
    print_message("#   longest wait %d ms; %u starts; %u claims, %u to be "
                  "logged, %u of big tasks, at most %u at a time\n",
                  (int)wait, sim.f.starts, sim.claims, sim.logged,
                  sim.big_claims, sim.big_at_a_time);
    assert_in_range(wait, c->wait_min_ms, c->wait_max_ms);
    assert_true(sim.big_claims >= c->claims);
    assert_int_equal(sim.big_at_a_time, c->at_a_time);
    assert_true(sim.logged <= UNTIL_MS / 1000);
    PhClaimFixture_Close(&sim.f);
}

static void
test_claims(void **state)
{
    (void)state;
    Ph_RUN_TABLE(claim_cases, claim_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_claims)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
