/* Claims on workers.  Guards against tasks that need most of a worker and wait
 * while smaller ones take each core that becomes free, and against claims that
 * keep workers idle. */
#include "peridothill/decide/schedule/claims.h"
#include "single_task.h"
#include "tests/table.h"

#include <string.h>

enum {
    CPU_MILLI = 8000,
    MEM_MB = 100,
    WORKERS_MAX = 70,
    BIG_JOBS_MAX = 3,
    STEP_MS = 20,
    START_MS = 40, /* from the decision to the begin of a run */
    BIG_AT_MS = 1000,
    UNTIL_MS = 12000,
    SLACK_MS = 60000,
    NEVER_MS = 60000,
};

static const PhTime START = 100 * PH_NS_PER_S;

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

/* The begin or the end of a run, as its worker reports it. */
typedef struct PhClaimReport {
    PhTime at;
    PhSchedTask *task;
    uint32_t run;
    bool ends;
} PhClaimReport;

typedef struct PhClaimSim {
    const PhClaimCase *c;
    PhScheduler *s;
    PhSchedWorker *workers[WORKERS_MAX];
    uint64_t ends[WORKERS_MAX]; /* reported by each */
    GArray *reports;
    PhSchedTask *big[BIG_JOBS_MAX];
    PhSchedTask *earlier;
    uint64_t jobs;
    PhSchedWorker *disturbed;
    PhTime disturbed_at;
    unsigned starts;
    unsigned claims; /* by all tasks */
    unsigned logged;
    unsigned big_claims;
    unsigned big_at_a_time;
} PhClaimSim;

static void
worker_show(PhScheduler *s, PhStr id, bool draining, PhTime now)
{
    PhSchedWorkerEntry entry = {
        .id = PhStr_Dup(id),
        .born_ms = 1,
        .address = PhStr_Dup(PhStr_LITERAL("a:1")),
        .data_centre = PhStr_Dup(id),
        .capacity = {.cpu_milli = CPU_MILLI, .mem_mb = MEM_MB},
        .draining = draining,
        .remaining = draining ? PH_NS_PER_S : 0};
    PhScheduler_SetWorker(s, &entry, now);
}

static PhSchedTask *
job_add(PhClaimSim *sim, PhSchedStep step, int64_t priority, PhTime slack,
        PhTime now)
{
    char id[17];
    (void)snprintf(id, sizeof(id), "%016llx", (unsigned long long)++sim->jobs);
    PhSchedSpec spec = PhSingle_Spec(PhStr_FromC(id), step);
    spec.terms.priority = priority;
    spec.terms.slack = slack;
    PhSchedJob *job =
        PhSchedModel_AddJob(PhScheduler_Model(sim->s), &spec, now);
    PhSchedTask *task = &PhSchedJob_Stage(job, 0, 0)->tasks[0];
    task->since = now;
    return task;
}

static void
jobs_add(PhClaimSim *sim, int64_t ms, PhTime now)
{
    const PhClaimCase *c = sim->c;
    if (ms % c->small_every_ms == 0) {
        PhSchedStep step = *c->small;
        step.estimate = c->small_estimate_ms * PH_NS_PER_MS;
        job_add(sim, step, sim->c->small_priority, SLACK_MS * PH_NS_PER_MS,
                now);
    }
    if (ms == 0 && c->earlier != NULL) {
        sim->earlier = job_add(sim, *c->earlier, 0, PH_NS_PER_S, now);
    }
    for (unsigned i = 0; ms == BIG_AT_MS && i < c->big_jobs; i++) {
        sim->big[i] = job_add(sim, *c->big, c->priority,
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
    if (w == NULL || task->run != r->run ||
        (w == sim->disturbed && sim->c->fault == CLAIM_SILENT)) {
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
        PhScheduler_OnStart(sim->s, &reply, now);
        g_array_append_val(sim->reports, end);
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
    PhScheduler_OnHold(sim->s, w->entry.id, 1, &reply, now);
}

static void
reports_apply(PhClaimSim *sim, PhTime now)
{
    for (guint i = sim->reports->len; i-- > 0;) {
        PhClaimReport r = g_array_index(sim->reports, PhClaimReport, i);
        if (r.at <= now) {
            g_array_remove_index(sim->reports, i);
            report_apply(sim, &r, now);
        }
    }
}

static void
orders_execute(PhClaimSim *sim, PhTime now)
{
    PhSchedAction a;
    PhSingle_RecordAll(sim->s);
    while (PhScheduler_NextAction(sim->s, now, &a)) {
        bool silent = sim->disturbed != NULL &&
                      sim->c->fault == CLAIM_SILENT &&
                      PhStr_Equal(a.worker, sim->disturbed->entry.id);
        PhSchedHoldReply reply = {.outcome = silent ? PH_SCHED_OUTCOME_UNKNOWN
                                                    : PH_SCHED_OUTCOME_DONE,
                                  .clock_ms = now / PH_NS_PER_MS,
                                  .born_ms = 1,
                                  .more = true};
        if (a.tag == PH_SCHED_ACTION_HOLD) {
            PhScheduler_OnHold(sim->s, a.worker, 1, &reply, now);
        }
        else if (a.tag == PH_SCHED_ACTION_START) {
            sim->starts++;
            PhClaimReport begin = {
                .at = now + START_MS * PH_NS_PER_MS,
                .task = PhSchedModel_Task(PhScheduler_Model(sim->s),
                                          &a.as.run.task),
                .run = a.as.run.run};
            g_array_append_val(sim->reports, begin);
        }
    }
}

/* Counts claims; the first claimed worker is disturbed 0.1 s later. */
static void
claims_watch(PhClaimSim *sim, PhTime now)
{
    size_t count;
    unsigned big_claimed = 0;
    unsigned claimed = 0;
    const PhSchedEvent *events = PhScheduler_Events(sim->s, &count);
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
    PhScheduler_ClearEvents(sim->s);
    const GPtrArray *workers = PhScheduler_Model(sim->s)->incarnations;
    for (guint i = 0; i < workers->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(workers, i);
        claimed += w->claim.stage != NULL;
        if (w->claim.stage != NULL && sim->disturbed_at == 0) {
            sim->disturbed_at = now + 100 * PH_NS_PER_MS;
            sim->disturbed = w;
        }
    }
    for (unsigned i = 0; i < sim->c->big_jobs && sim->big[i] != NULL; i++) {
        big_claimed += sim->big[i]->stage->claimed != NULL;
    }
    assert_true(claimed <= PhClaim_Limit(sim->c->workers));
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
        PhScheduler_OnHold(sim->s, id, 1, &reply, now);
        break;
    case CLAIM_DRAINS:
        worker_show(sim->s, id, true, now);
        break;
    case CLAIM_CORDONED:
        PhScheduler_SetCordon(sim->s, id, true, now);
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
        worker_show(sim->s, PhStr_FromC(id), false, START);
        sim->workers[i] =
            PhSchedModel_Worker(PhScheduler_Model(sim->s), PhStr_FromC(id), 1);
    }
    PhScheduler_SetFence(sim->s, 7, START);
    for (int64_t ms = 0; ms <= UNTIL_MS; ms += STEP_MS) {
        PhTime now = START + ms * PH_NS_PER_MS;
        reports_apply(sim, now);
        worker_disturb(sim, now);
        jobs_add(sim, ms, now);
        PhScheduler_Plan(sim->s, now, 0);
        orders_execute(sim, now);
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
        at = at == 0 ? START + UNTIL_MS * PH_NS_PER_MS : at;
        longest = MAX(longest, at - START - BIG_AT_MS * PH_NS_PER_MS);
    }
    return longest / PH_NS_PER_MS;
}

static void
claim_run(const PhClaimCase *c)
{
    PhClaimSim sim = {
        .c = c, .reports = g_array_new(FALSE, FALSE, sizeof(PhClaimReport))};
    sim.s = PhScheduler_Create(&(PhSchedulerOptions){
        .lease_limit = 10 * PH_NS_PER_S,
        .claim_after = c->claim_after_ms * PH_NS_PER_MS});
    sim_run(&sim);
    int64_t wait = longest_wait_ms(&sim);
    print_message("#   longest wait %d ms; %u starts; %u claims, %u to be "
                  "logged, %u of big tasks, at most %u at a time\n",
                  (int)wait, sim.starts, sim.claims, sim.logged,
                  sim.big_claims, sim.big_at_a_time);
    assert_in_range(wait, c->wait_min_ms, c->wait_max_ms);
    assert_true(sim.big_claims >= c->claims);
    assert_int_equal(sim.big_at_a_time, c->at_a_time);
    assert_true(sim.logged <= UNTIL_MS / 1000);
    PhScheduler_Destroy(sim.s);
    g_array_free(sim.reports, TRUE);
}

static void
test_claims(void **state)
{
    (void)state;
    Ph_RUN_TABLE(claim_cases, claim_run);
}

/* A task beside a claim for 6 of 8 cores and 50 of 100 MB, which is due in 1
 * s. 4 cores and 30 MB are in use until then. */
typedef struct PhBesideCase {
    const char *name;
    PhSchedStep step;
    bool claimant; /* it is of the stage with the claim */
    uint32_t run;
    bool admitted;
    bool spare_taken; /* by other tasks that have started since the claim */
    int64_t priority; /* of its job; that of the claimant's is 1 */
} PhBesideCase;

#define STEP(CPU, MEM, MS)                                                    \
    .resources = {CPU, MEM, 0}, .estimate = (MS)*PH_NS_PER_MS

static const PhBesideCase beside_cases[] = {
    {"ends before", {STEP(8000, 100, 1000)}, false, 0, true},
    {"ends later", {STEP(8000, 100, 1001)}, false, 0, false},
    {"ends later, fits beside", {STEP(2000, 50, 1001)}, false, 0, true},
    {"ends later, too much CPU", {STEP(2001, 50, 1001)}, false, 0, false},
    {"ends later, too much memory", {STEP(2000, 51, 1001)}, false, 0, false},
    {"no estimate", {STEP(1, 1, 0)}, false, 0, false},
    {"of the claimant's stage", {STEP(6000, 50, 2000)}, true, 0, true},
    {"backfill, CPU", {STEP(8000, 50, 2000), .fills = true}, false, 0, true},
    {"backfill, no estimate", {STEP(9, 50, 0), .fills = true}, false, 0, true},
    {"backfill, memory", {STEP(1, 51, 2000), .fills = true}, false, 0, false},
    {"spare room is taken", {STEP(1, 1, 2000)}, false, 0, false, true},
    {"backfill, spare room is taken, memory is not claimed",
     {STEP(1, 20, 2000), .fills = true},
     false,
     0,
     true,
     true},
    {"backfill, spare room is taken",
     {STEP(1, 21, 2000), .fills = true},
     false,
     0,
     false,
     true},
    {"lasting", {STEP(2001, 1, 1), .long_running = true}, false, 0, false},
    {"lasting, fits",
     {STEP(2000, 1, 1), .long_running = true},
     false,
     0,
     true},
    {"lasting, interrupted",
     {STEP(8000, 100, 1), .long_running = true},
     false,
     1,
     true},
    {"lasting, interrupted, the same priority",
     {STEP(8000, 100, 1), .long_running = true},
     false,
     1,
     true,
     .priority = 1},
    {"lasting, interrupted, lower priority",
     {STEP(8000, 100, 1), .long_running = true},
     false,
     1,
     false,
     .priority = 2},
};

static void
beside_run(const PhBesideCase *c)
{
    PhClaimSim sim = {.s = PhScheduler_Create(&(PhSchedulerOptions){0})};
    PhSchedStep claimed = {.count = 1, .resources = {6000, 50, 0}};
    PhSchedStep step = c->step;
    step.count = 1;
    worker_show(sim.s, PH_SINGLE_WORKER, false, START);
    PhSchedWorker *w =
        PhSchedModel_Worker(PhScheduler_Model(sim.s), PH_SINGLE_WORKER, 1);
    PhSchedTask *claimant = job_add(&sim, claimed, 1, 0, START);
    PhSchedTask *task = job_add(&sim, step, c->priority, 0, START);
    w->claim = (PhSchedClaim){
        .stage = c->claimant ? task->stage : claimant->stage,
        .promised = START + PH_NS_PER_S,
        .spare = {c->spare_taken ? 0 : 2000, c->spare_taken ? 0 : 50, 0}};
    task->run = c->run;
    w->used = (PhSchedResources){4000, 30, 0};
    assert_int_equal(PhClaim_Admits(w, task, START), c->admitted);
    PhScheduler_Destroy(sim.s);
}

/* Guards against tasks that take room that is claimed, and against room that
 * is kept without need. */
static void
test_beside(void **state)
{
    (void)state;
    Ph_RUN_TABLE(beside_cases, beside_run);
}

/* A task whose estimate is 1 s, 5 s after the start of the table.  Times in
 * milliseconds. */
typedef struct PhEndCase {
    const char *name;
    bool lasting;
    bool stopping;
    int64_t since_ms;
    int64_t stop_sent_ms; /* 0: not sent */
    int64_t end_ms;       /* expected, 0: never */
} PhEndCase;

static const PhEndCase end_cases[] = {
    {"in time", false, false, 4500, 0, 5500},
    {"overdue by 0.1 s", false, false, 3900, 0, 5250},
    {"overdue by 3 s", false, false, 1000, 0, 8000},
    {"lasting", true, false, 1000, 0, 0},
    {"lasting, to be stopped", true, true, 1000, 0, 5250},
    {"lasting, stopped 3 s ago", true, true, 1000, 2000, 8000},
};

static void
end_run(const PhEndCase *c)
{
    PhClaimSim sim = {.s = PhScheduler_Create(&(PhSchedulerOptions){0})};
    PhSchedStep step = {
        .count = 1, .estimate = PH_NS_PER_S, .long_running = c->lasting};
    PhSchedTask *task = job_add(&sim, step, 0, 0, START);
    task->stopping = c->stopping;
    task->since = START + c->since_ms * PH_NS_PER_MS;
    task->stop_sent_at =
        c->stop_sent_ms == 0 ? 0 : START + c->stop_sent_ms * PH_NS_PER_MS;
    PhTime end = PhClaim_ExpectedEnd(task, START + 5 * PH_NS_PER_S);
    assert_true(end == (c->end_ms == 0 ? PH_TIME_NEVER
                                       : START + c->end_ms * PH_NS_PER_MS));
    PhScheduler_Destroy(sim.s);
}

/* Guards against a choice of workers whose tasks never end. */
static void
test_expected_ends(void **state)
{
    (void)state;
    Ph_RUN_TABLE(end_cases, end_run);
}

/* What happens to a claim in force. */
typedef enum PhClaimChange {
    CHANGE_NONE,
    CHANGE_DOUBT,
    CHANGE_WORKER_LIMIT,
    CHANGE_FAILED_HERE,
    CHANGE_PRIORITY,
    CHANGE_OBJECTIVE,
    CHANGE_CANCELLED,
    CHANGE_FENCE,
    CHANGE_REMOVED,
} PhClaimChange;

typedef struct PhChangeCase {
    const char *name;
    PhClaimChange change;
    bool stays;
} PhChangeCase;

static const PhChangeCase change_cases[] = {
    {"nothing", CHANGE_NONE, true},
    {"the worker is in doubt", CHANGE_DOUBT, false},
    {"a task of the stage is there", CHANGE_WORKER_LIMIT, false},
    {"the claimant has failed there", CHANGE_FAILED_HERE, false},
    {"the priority is lower", CHANGE_PRIORITY, false},
    {"the objective is missed", CHANGE_OBJECTIVE, false},
    {"the job is cancelled", CHANGE_CANCELLED, false},
    {"the ownership ends", CHANGE_FENCE, false},
    {"the worker is dead and removed", CHANGE_REMOVED, false},
};

/* A worker of 8 cores, 4 of them in use until `now` + 1 s, that `claimant` has
 * claimed. */
typedef struct PhClaimed {
    PhClaimSim sim;
    PhSchedWorker *worker;
    PhSchedTask *running;
    PhSchedTask *claimant;
    PhTime now;
} PhClaimed;

static void
claimed_plan(PhClaimed *f)
{
    f->now += 100 * PH_NS_PER_MS;
    PhScheduler_Plan(f->sim.s, f->now, 0);
    orders_execute(&f->sim, f->now);
}

static const PhClaimCase undisturbed = {"", .workers = 1};

/* The worker has the only task of one job; `claimant` is the first of another.
 */
static void
claimed_init(PhClaimed *f, PhSchedStep step, int64_t priority)
{
    PhSchedStep half = {.count = 1, STEP(4000, 10, 1500)};
    PhScheduler *s = PhScheduler_Create(&(PhSchedulerOptions){
        .lease_limit = 10 * PH_NS_PER_S, .claim_after = 100 * PH_NS_PER_MS});
    *f = (PhClaimed){
        .sim = {.c = &undisturbed,
                .s = s,
                .reports = g_array_new(FALSE, FALSE, sizeof(PhClaimReport))},
        .now = START};
    worker_show(s, PH_SINGLE_WORKER, false, START);
    f->worker = PhSchedModel_Worker(PhScheduler_Model(s), PH_SINGLE_WORKER, 1);
    PhScheduler_SetFence(s, 7, START);
    claimed_plan(f);
    f->running = job_add(&f->sim, half, 0, 20 * PH_NS_PER_S, f->now);
    claimed_plan(f);
    f->claimant = job_add(&f->sim, step, priority, 20 * PH_NS_PER_S, f->now);
    f->claimant->run = step.long_running;
    claimed_plan(f);
    claimed_plan(f);
}

static void
claimed_clear(PhClaimed *f)
{
    PhScheduler_Destroy(f->sim.s);
    g_array_free(f->sim.reports, TRUE);
}

static void
job_cancel(PhClaimed *f, PhStr id)
{
    PhSchedRecord record = {.tag = PH_SCHED_RECORD_CANCEL,
                            .id = PhStr_Dup(id)};
    PhScheduler_Apply(f->sim.s, &record, f->now);
}

/* Runs of a stage have failed in which others have succeeded. */
static void
worker_doubt(PhClaimed *f)
{
    PhSchedFailure failure = {.stage = f->running->stage, .runs = 9};
    f->running->stage->done = 1;
    f->worker->failed_at = f->now;
    g_array_append_val(f->worker->failures, failure);
}

static void
claimed_change(PhClaimed *f, PhClaimChange change)
{
    PhScheduler *s = f->sim.s;
    PhSchedJob *job = f->claimant->stage->job;
    switch (change) {
    case CHANGE_NONE:
        break;
    case CHANGE_DOUBT:
        worker_doubt(f);
        break;
    case CHANGE_WORKER_LIMIT:
        job->spec.steps[0].max_per_worker = 1;
        PhSchedTask_Place(&f->claimant->stage->tasks[1], f->worker);
        break;
    case CHANGE_FAILED_HERE:
        f->claimant->failed_on = f->worker;
        f->claimant->stage->tasks[1].failed_on = f->worker;
        break;
    case CHANGE_PRIORITY:
        job->spec.terms.priority = 1;
        break;
    case CHANGE_OBJECTIVE:
        job->spec.terms.slack = 1;
        break;
    case CHANGE_CANCELLED:
        job_cancel(f, job->spec.id);
        break;
    case CHANGE_FENCE:
        PhScheduler_SetFence(s, 0, f->now);
        break;
    case CHANGE_REMOVED:
        PhSchedTask_Unplace(f->running, PH_SCHED_TASK_DONE);
        f->worker->dead = true;
        f->worker->listed = false;
        f->worker->hold_in_flight = false;
        PhScheduler_RemoveDeadWorkers(s);
        assert_int_equal(PhScheduler_Model(s)->incarnations->len, 0);
        f->worker = NULL;
        break;
    }
}

static guint
count_claimed(PhScheduler *s)
{
    const GPtrArray *workers = PhScheduler_Model(s)->incarnations;
    guint count = 0;
    for (guint i = 0; i < workers->len; i++) {
        const PhSchedWorker *w = g_ptr_array_index(workers, i);
        count += w->claim.stage != NULL;
    }
    return count;
}

static void
change_run(const PhChangeCase *c)
{
    PhClaimed f;
    PhSchedStep step = {.count = 2, STEP(8000, 10, 1000)};
    claimed_init(&f, step, 0);
    assert_ptr_equal(f.worker->claim.stage, f.claimant->stage);
    claimed_change(&f, c->change);
    for (int i = 0; i < 2; i++) {
        claimed_plan(&f);
        assert_int_equal(count_claimed(f.sim.s), c->stays);
    }
    claimed_clear(&f);
}

/* Guards against claims that outlast what allowed them, and against references
 * to stages and workers that are gone. */
static void
test_changes(void **state)
{
    (void)state;
    Ph_RUN_TABLE(change_cases, change_run);
}

/* Two requests of one pass beside a claim that is due in 0.8 s.  The first one
 * does not fit and is a known shortage for the second, which needs as much. */
typedef struct PhShortageCase {
    const char *name;
    PhSchedStep first;
    PhSchedStep second;
    bool interrupted; /* the second one; the claimant is a lasting task */
    bool starts;      /* the second one */
} PhShortageCase;

static const PhShortageCase shortage_cases[] = {
    {"the second one ends before",
     {STEP(1000, 1, 5000)},
     {STEP(1000, 1, 300)},
     false,
     true},
    {"the second one ends as late",
     {STEP(1000, 1, 5000)},
     {STEP(1000, 1, 5000)},
     false,
     false},
    {"the first one has no estimate, the second ends before",
     {STEP(1000, 1, 0)},
     {STEP(1000, 1, 300)},
     false,
     true},
    {"a gang that ends before",
     {STEP(1000, 1, 5000)},
     {STEP(1000, 1, 300), .gang = true},
     false,
     false},
    {"lasting, interrupted",
     {STEP(1000, 1, 0), .long_running = true},
     {STEP(1000, 1, 0), .long_running = true},
     true,
     true},
    {"a lasting gang, interrupted",
     {STEP(1000, 1, 0), .long_running = true},
     {STEP(1000, 1, 0), .long_running = true, .gang = true},
     true,
     true},
};

static void
shortage_run(const PhShortageCase *c)
{
    PhClaimed f;
    PhSchedStep ending = {.count = 1, STEP(8000, 10, 1000)};
    PhSchedStep lasting = {
        .count = 1, .resources = {8000, 10, 0}, .long_running = true};
    PhSchedStep first = c->first;
    PhSchedStep second = c->second;
    first.count = 1;
    second.count = 1;
    claimed_init(&f, c->interrupted ? lasting : ending,
                 c->interrupted ? 2 : 0);
    assert_ptr_equal(f.worker->claim.stage, f.claimant->stage);
    PhSchedTask *a = job_add(&f.sim, first, 0, 20 * PH_NS_PER_S, f.now);
    PhSchedTask *b = job_add(&f.sim, second, 1, 20 * PH_NS_PER_S, f.now);
    b->run = c->interrupted;
    claimed_plan(&f);
    assert_null(a->worker);
    assert_int_equal(b->worker != NULL, c->starts);
    claimed_clear(&f);
}

/* Guards against requests that are skipped although they may start beside a
 * claim, and against gangs that rate all workers in every pass. */
static void
test_shortages(void **state)
{
    (void)state;
    Ph_RUN_TABLE(shortage_cases, shortage_run);
}

/* Two tasks that may claim the only worker. */
typedef struct PhClaimantCase {
    const char *name;
    int64_t lasting_priority; /* of an interrupted task of 8 cores */
    bool lasting_first;       /* expected, before one of 7 cores */
} PhClaimantCase;

static const PhClaimantCase claimant_cases[] = {
    {"the same priority", 0, true},
    {"lower priority", 1, false},
};

static void
claimant_run(const PhClaimantCase *c)
{
    PhClaimed f;
    PhSchedStep fits = {.count = 1, STEP(1000, 1, 5000)};
    PhSchedStep lasting = {
        .count = 1, .resources = {8000, 10, 0}, .long_running = true};
    claimed_init(&f, fits, 0);
    assert_null(f.worker->claim.stage);
    PhSchedTask *x = job_add(&f.sim, lasting, c->lasting_priority, 0, f.now);
    PhSchedTask *y = job_add(&f.sim, big, 0, 20 * PH_NS_PER_S, f.now);
    x->run = 1;
    claimed_plan(&f);
    claimed_plan(&f);
    assert_ptr_equal(f.worker->claim.stage,
                     c->lasting_first ? x->stage : y->stage);
    claimed_clear(&f);
}

/* Guards against claims by tasks that come after others in placement. */
static void
test_claimants(void **state)
{
    (void)state;
    Ph_RUN_TABLE(claimant_cases, claimant_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_claims),
                                       cmocka_unit_test(test_beside),
                                       cmocka_unit_test(test_expected_ends),
                                       cmocka_unit_test(test_changes),
                                       cmocka_unit_test(test_shortages),
                                       cmocka_unit_test(test_claimants)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
