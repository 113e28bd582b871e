/* Tasks soak run: one data centre of engines, workers and the log, with jobs
 * of every kind and all faults. */
#include <glib.h>

#include "peridothill/bench/soak.h"
#include "peridothill/bench/task_sim.h"
#include "peridothill/common/invariant.h"
#include "peridothill/common/random.h"

#define S PH_NS_PER_S

enum {
    INSTANCES = 3,
    WORKERS = 6,
    STANDING = 6, /* tasks of the standing job */
    JOB_TASKS_MAX = 6,
    RUN_MS_MAX = 40000,
    FLOOD_JOBS = 12,
    FLOOD_TASKS = 12,
    SUBMIT_MEAN_S = 10,
    PAUSE_MAX_S = 40,
    SHORT_PERCENT = 12,
    LONG_PERCENT = 400,
};

#define SETTLE_NS (900 * S)

typedef struct PhSoakTasks {
    PhSoakRun *run;
    PhTaskSim *sim;
    PhFaultPlan *plan;
    PhRandom *random;
    PhTime next_submit;
    uint64_t jobs;
} PhSoakTasks;

static void
job_submit(PhSoakTasks *s, PhJobClass class, uint32_t count, PhJobSize size)
{
    char *key = g_strdup_printf("job-%" G_GUINT64_FORMAT, ++s->jobs);
    PhJobSpec spec = {
        .key = PhStr_FromC(key),
        .team = PhStr_LITERAL("routes"),
        .class = class,
        .run_ms = class == PH_JOB_STANDING
                      ? 0
                      : 1000 + (int64_t)PhRandom_Below(s->random, RUN_MS_MAX),
        .size = size,
        .count = count,
        .checkpointable = true};
    PhTaskSim_Submit(s->sim, (uint32_t)PhRandom_Below(s->random, INSTANCES),
                     &spec);
    g_free(key);
}

static PhJobSize
size_draw(PhSoakTasks *s)
{
    return (PhJobSize){100 + (int64_t)PhRandom_Below(s->random, 900),
                       100 + (int64_t)PhRandom_Below(s->random, 900),
                       (int64_t)PhRandom_Below(s->random, 2)};
}

static void
jobs_flood(PhSoakTasks *s, PhJobClass class)
{
    for (int i = 0; i < FLOOD_JOBS; i++) {
        job_submit(s, class, FLOOD_TASKS, size_draw(s));
    }
}

/* Cancels about half of the jobs, except the first, which is standing. */
static void
jobs_cancel(PhSoakTasks *s)
{
    for (uint64_t i = 2; i <= s->jobs; i++) {
        if (PhRandom_Chance(s->random, 0.5)) {
            char *key = g_strdup_printf("job-%" G_GUINT64_FORMAT, i);
            PhTaskSim_Cancel(s->sim,
                             (uint32_t)PhRandom_Below(s->random, INSTANCES),
                             PhStr_FromC(key));
            g_free(key);
        }
    }
}

/* Disconnects an instance from the log and from half of the workers, or
 * reconnects it. */
static void
partition_set(PhSoakTasks *s, uint32_t instance, bool cut)
{
    PhTaskSim_CutLog(s->sim, instance, cut);
    for (uint32_t k = 0; k < WORKERS; k += 2) {
        PhTaskSim_CutWorker(s->sim, instance, k, cut);
    }
}

static void
instance_set(PhSoakTasks *s, uint32_t instance, bool dead)
{
    if (dead) {
        PhTaskSim_Kill(s->sim, instance);
    }
    else if (!PhTaskSim_IsAlive(s->sim, instance)) {
        PhTaskSim_Replace(s->sim, instance);
    }
}

static void
fault_start_jobs(PhSoakTasks *s, PhFault fault)
{
    static const PhJobSize never = {100000, 100000, 100};
    if (fault == PH_FAULT_IMPOSSIBLE_JOB) {
        job_submit(s, PH_JOB_URGENT, 1, never);
    }
    else if (fault == PH_FAULT_CANCEL_WAVE) {
        jobs_cancel(s);
    }
    else {
        jobs_flood(s, fault == PH_FAULT_FLOOD_MOST_URGENT ? PH_JOB_URGENT
                                                          : PH_JOB_BATCH);
    }
}

static void
fault_set(PhSoakTasks *s, const PhFaultChange *change)
{
    bool on = change->kind == PH_FAULT_BEGIN;
    uint64_t pick = change->pick;
    uint32_t i = (uint32_t)(pick % INSTANCES);
    uint32_t k = (uint32_t)(pick / INSTANCES % WORKERS);
    PhTime pause = (PhTime)(pick % (PAUSE_MAX_S * S));
    PhFakeLogOptions *log = PhTaskSim_LogOptions(s->sim);
    switch (change->fault) {
    case PH_FAULT_INSTANCE_DEATH:
        instance_set(s, i, on);
        break;
    case PH_FAULT_PROCESS_DEATH:
        if (on) {
            PhTaskSim_Replace(s->sim, i);
            PhTaskSim_RestartWorker(s->sim, k);
        }
        break;
    case PH_FAULT_STORE_DOWN:
        log->outage = on;
        break;
    case PH_FAULT_STORE_SLOW:
        log->delay_min = on ? S : 0;
        break;
    case PH_FAULT_LOST_ANSWERS:
        log->lost_answers = on ? 0.5 : 0;
        break;
    case PH_FAULT_PAUSED_HOLDER:
        if (on) {
            PhTaskSim_PauseInstance(s->sim, i, pause);
            PhTaskSim_PauseWorker(s->sim, k, pause / 2);
        }
        break;
    case PH_FAULT_BAD_WORKER:
        PhTaskSim_FailWorker(s->sim, k, on);
        break;
    case PH_FAULT_SILENT_CONNECTION:
        PhTaskSim_CutWorker(s->sim, i, k, on);
        break;
    case PH_FAULT_PARTITION:
        partition_set(s, i, on);
        break;
    case PH_FAULT_WRONG_SIZES:
        PhTaskSim_SetRunPercent(s->sim, !on              ? 0
                                        : pick >> 32 & 1 ? LONG_PERCENT
                                                         : SHORT_PERCENT);
        break;
    case PH_FAULT_IMPOSSIBLE_JOB:
    case PH_FAULT_CANCEL_WAVE:
    case PH_FAULT_FLOOD_LEAST_URGENT:
    case PH_FAULT_FLOOD_MOST_URGENT:
        if (on) {
            fault_start_jobs(s, change->fault);
        }
        break;
    case PH_FAULT_LOAD_SHIFT:
    case PH_FAULT_NOISY_TASKS:
    case PH_FAULT_RACING_OPERATORS:
    case PH_FAULT_COUNT:
        break;
    }
}

static void
invariants_check(PhSoakTasks *s)
{
    const PhTaskSimCounts *n = PhTaskSim_Counts(s->sim);
    Ph_INVARIANT(PH_INVARIANT_ONE_PLACE, n->duplicate_runs == 0,
                 "seed=%" G_GUINT64_FORMAT " time=%" G_GINT64_FORMAT,
                 s->run->seed, PhTaskSim_Now(s->sim));
    Ph_INVARIANT(PH_INVARIANT_CAPACITY, n->overcommitted == 0,
                 "seed=%" G_GUINT64_FORMAT " time=%" G_GINT64_FORMAT,
                 s->run->seed, PhTaskSim_Now(s->sim));
    Ph_INVARIANT(PH_INVARIANT_LEASE, PhTaskSim_CountOwners(s->sim) <= 1,
                 "seed=%" G_GUINT64_FORMAT " time=%" G_GINT64_FORMAT,
                 s->run->seed, PhTaskSim_Now(s->sim));
}

/* After settling, no accepted job may be lost and all standing tasks must
 * run. */
static void
settled_check(PhSoakTasks *s)
{
    uint64_t lost = 0;
    uint64_t unfinished = 0;
    PhTaskSim_CountUnfinished(s->sim, &lost, &unfinished);
    const PhJobEngine *engine = PhTaskSim_LatestEngine(s->sim);
    const PhJob *standing =
        engine == NULL ? NULL
                       : PhJobState_FindJobByKey(PhJobEngine_State(engine),
                                                 PhStr_LITERAL("job-1"));
    Ph_INVARIANT(PH_INVARIANT_TASK_KEPT,
                 lost == 0 && standing != NULL && standing->placed == STANDING,
                 "seed=%" G_GUINT64_FORMAT " time=%" G_GINT64_FORMAT
                 " lost=%" G_GUINT64_FORMAT " placed=%d",
                 s->run->seed, PhTaskSim_Now(s->sim), lost,
                 standing == NULL ? -1 : (int)standing->placed);
    s->run->settled++;
}

static void
plan_advance(PhSoakTasks *s)
{
    PhFaultChange change;
    PhTime now = PhTaskSim_Now(s->sim);
    while (PhFaultPlan_Next(s->plan, now, &change)) {
        switch (change.kind) {
        case PH_FAULT_BEGIN:
        case PH_FAULT_END:
            fault_set(s, &change);
            break;
        case PH_FAULT_SETTLED:
            settled_check(s);
            break;
        }
    }
    if (now >= s->next_submit) {
        if (PhFaultPlan_CountActive(s->plan) > 0) {
            job_submit(s,
                       PhRandom_Chance(s->random, 0.2) ? PH_JOB_URGENT
                                                       : PH_JOB_BATCH,
                       1 + (uint32_t)PhRandom_Below(s->random, JOB_TASKS_MAX),
                       size_draw(s));
        }
        s->next_submit = now + 1 +
                         (PhTime)PhRandom_Exponential(
                             s->random, (double)(SUBMIT_MEAN_S * S));
    }
}

static const PhFault faults[] = {
    PH_FAULT_INSTANCE_DEATH,     PH_FAULT_PROCESS_DEATH,
    PH_FAULT_WRONG_SIZES,        PH_FAULT_IMPOSSIBLE_JOB,
    PH_FAULT_CANCEL_WAVE,        PH_FAULT_BAD_WORKER,
    PH_FAULT_FLOOD_LEAST_URGENT, PH_FAULT_FLOOD_MOST_URGENT,
    PH_FAULT_STORE_DOWN,         PH_FAULT_STORE_SLOW,
    PH_FAULT_LOST_ANSWERS,       PH_FAULT_PAUSED_HOLDER,
    PH_FAULT_SILENT_CONNECTION,  PH_FAULT_PARTITION,
};

static void
tasks_create(PhSoakTasks *s)
{
    PhTaskSimOptions options = {.seed = s->run->seed,
                                .instances = INSTANCES,
                                .workers = WORKERS,
                                .worker_size = {4000, 4000, 4},
                                .times = PhLeaseTimes_Default(),
                                .link_delay = PH_NS_PER_MS,
                                .loss = 0.02,
                                .duplicate = 0.02,
                                .retention = 600 * S};
    options.times.registration_validity = 120 * S;
    options.times.registration_interval = 20 * S;
    options.times.snapshot = 30 * S;
    s->random = PhRandom_Create(s->run->seed + 1000);
    s->sim = PhTaskSim_Create(&options);
    PhTaskSim_RunUntil(s->sim, 12 * S);
    const PhTaskSimCounts *n = PhTaskSim_Counts(s->sim);
    while (n->accepted + n->repeated == 0) {
        s->jobs = 0; /* reuse the key */
        job_submit(s, PH_JOB_STANDING, STANDING, size_draw(s));
        PhTaskSim_RunUntil(s->sim, PhTaskSim_Now(s->sim) + 2 * S);
    }
    s->plan = PhFaultPlan_Create(
        &(PhFaultPlanOptions){.seed = s->run->seed,
                              .faults = faults,
                              .fault_count = G_N_ELEMENTS(faults),
                              .gap = 15 * S,
                              .length = 20 * S,
                              .settle = SETTLE_NS});
}

static void
tasks_run(PhSoakRun *run)
{
    PhSoakTasks s = {.run = run};
    uint64_t steps = 0;
    tasks_create(&s);
    while (steps < run->steps) {
        PhTime now = PhTaskSim_Now(s.sim);
        PhTime until = MIN(PhFaultPlan_Due(s.plan), now + S);
        steps += PhTaskSim_RunUntil(s.sim, MAX(until, now));
        invariants_check(&s);
        plan_advance(&s);
    }
    run->simulated = PhTaskSim_Now(s.sim);
    PhSoakRun_AddPlan(run, s.plan);
    PhFaultPlan_Destroy(s.plan);
    PhTaskSim_Destroy(s.sim);
    PhRandom_Destroy(s.random);
}

const PhSoakArea PhSoak_Tasks = {.name = "tasks",
                                 .run = tasks_run,
                                 .faults = faults,
                                 .fault_count = G_N_ELEMENTS(faults)};
