#include "peridothill/bench/task_faults.h"

#include "peridothill/common/random.h"

enum {
    INSTANCES = 3,
    WORKERS = 6,
    FAULT_GAP_MAX_S = 15,
    PAUSE_MAX_S = 60,
    RECOVER_S = 700,
    /* With RETENTION_S, keeps a snapshot in the log at all times. */
    OUTAGE_MAX_S = 200,
    RETENTION_S = 400,
    JOB_TASKS_MAX = 8,
};

typedef struct PhFaultRun {
    PhTaskSim *sim;
    PhRandom *random;
    uint64_t jobs;
    PhTime log_restore_at;
    PhTaskFaultsResult result;
} PhFaultRun;

static void
job_submit(PhFaultRun *f, PhJobClass class, uint32_t count)
{
    PhBuf key = {0};
    PhBuf_AppendFormat(&key, "job-%u", (unsigned)++f->jobs);
    PhJobSpec spec = {
        .key = PhBuf_Str(&key),
        .team = PhStr_LITERAL("routes"),
        .class = class,
        .run_ms = class == PH_JOB_STANDING
                      ? 0
                      : 1000 + (int64_t)PhRandom_Below(f->random, 60000),
        .size = {100 + (int64_t)PhRandom_Below(f->random, 900),
                 100 + (int64_t)PhRandom_Below(f->random, 900),
                 (int64_t)PhRandom_Below(f->random, 2)},
        .count = count,
        .checkpointable = true,
    };
    uint32_t instance = (uint32_t)PhRandom_Below(f->random, INSTANCES);
    PhTaskSim_Submit(f->sim, instance, &spec);
    PhBuf_Clear(&key);
}

static void
job_cancel(PhFaultRun *f)
{
    PhBuf key = {0};
    /* Job 1 is the standing one. */
    PhBuf_AppendFormat(&key, "job-%u",
                       (unsigned)(2 + PhRandom_Below(f->random, f->jobs)));
    uint32_t instance = (uint32_t)PhRandom_Below(f->random, INSTANCES);
    PhTaskSim_Cancel(f->sim, instance, PhBuf_Str(&key));
    PhBuf_Clear(&key);
}

static void
fault_inject(PhFaultRun *f)
{
    PhTaskSim *w = f->sim;
    uint32_t i = (uint32_t)PhRandom_Below(f->random, INSTANCES);
    uint32_t k = (uint32_t)PhRandom_Below(f->random, WORKERS);
    bool on = PhRandom_Chance(f->random, 0.4);
    PhTime pause =
        (PhTime)PhRandom_Below(f->random, PAUSE_MAX_S) * PH_NS_PER_S;
    switch (PhRandom_Below(f->random, 11)) {
    case 0:
        PhTaskSim_Kill(w, i);
        break;
    case 1:
    case 2:
        PhTaskSim_Replace(w, i);
        break;
    case 3:
        PhTaskSim_LogOptions(w)->outage = on;
        break;
    case 4:
        PhTaskSim_CutLog(w, i, on);
        break;
    case 5:
        PhTaskSim_CutWorker(w, i, k, on);
        break;
    case 6:
        PhTaskSim_RestartWorker(w, k);
        break;
    case 7:
        PhTaskSim_FailWorker(w, k, on);
        break;
    case 8:
        PhTaskSim_PauseInstance(w, i, pause);
        break;
    case 9:
        PhTaskSim_PauseWorker(w, k, pause);
        break;
    case 10:
        job_cancel(f);
        break;
    }
    f->result.faults++;
}

/* Reconnects all instances to the log and restarts the dead ones. */
static void
log_restore(PhFaultRun *f)
{
    PhTaskSim *w = f->sim;
    PhTaskSim_LogOptions(w)->outage = false;
    for (uint32_t i = 0; i < INSTANCES; i++) {
        PhTaskSim_CutLog(w, i, false);
        if (!PhTaskSim_IsAlive(w, i)) {
            PhTaskSim_Replace(w, i);
        }
    }
    f->log_restore_at = PhTaskSim_Now(w) + (OUTAGE_MAX_S * PH_NS_PER_S);
}

static void
faults_clear(PhFaultRun *f)
{
    PhTaskSim *w = f->sim;
    log_restore(f);
    PhTaskSim_LogOptions(w)->lost_answers = 0;
    for (uint32_t i = 0; i < INSTANCES; i++) {
        for (uint32_t k = 0; k < WORKERS; k++) {
            PhTaskSim_CutWorker(w, i, k, false);
            PhTaskSim_FailWorker(w, k, false);
        }
    }
}

/* Advances the simulation and records the largest number of owners. */
static void
sim_advance(PhFaultRun *f, PhTime by)
{
    f->result.events += PhTaskSim_RunUntil(f->sim, PhTaskSim_Now(f->sim) + by);
    f->result.owners_max =
        MAX(f->result.owners_max, PhTaskSim_CountOwners(f->sim));
}

static uint64_t
standing_count(const PhTaskSim *w)
{
    const PhJobEngine *engine = PhTaskSim_LatestEngine(w);
    const PhJob *job = engine == NULL
                           ? NULL
                           : PhJobState_FindJobByKey(PhJobEngine_State(engine),
                                                     PhStr_LITERAL("job-1"));
    return job == NULL ? 0 : job->placed;
}

PhTaskFaultsResult
PhTaskFaults_Run(uint64_t seed, PhTime duration)
{
    PhTaskSimOptions options = {
        .seed = seed,
        .instances = INSTANCES,
        .workers = WORKERS,
        .worker_size = {4000, 4000, 4},
        .times = PhLeaseTimes_Default(),
        .link_delay = PH_NS_PER_MS,
        .loss = 0.02,
        .duplicate = 0.02,
        .lost_answers = 0.05,
    };
    /* Short enough for lapsed leases and snapshots to occur in a run. */
    options.times.registration_validity = 120 * PH_NS_PER_S;
    options.times.registration_interval = 20 * PH_NS_PER_S;
    options.times.snapshot = 30 * PH_NS_PER_S;
    options.retention = seed % 2 == 0 ? RETENTION_S * PH_NS_PER_S : 0;
    PhFaultRun f = {.sim = PhTaskSim_Create(&options),
                    .random = PhRandom_Create(seed + 1000),
                    .log_restore_at = OUTAGE_MAX_S * PH_NS_PER_S};
    sim_advance(&f, 3 * PH_NS_PER_S);
    const PhTaskSimCounts *n = PhTaskSim_Counts(f.sim);
    while (n->accepted + n->repeated == 0) {
        f.jobs = 0; /* reuse the key */
        job_submit(&f, PH_JOB_STANDING, PH_FAULTS_STANDING_TASKS);
        sim_advance(&f, 2 * PH_NS_PER_S);
    }
    while (PhTaskSim_Now(f.sim) < duration) {
        if (PhRandom_Chance(f.random, 0.5)) {
            job_submit(&f,
                       PhRandom_Chance(f.random, 0.2) ? PH_JOB_URGENT
                                                      : PH_JOB_BATCH,
                       1 + (uint32_t)PhRandom_Below(f.random, JOB_TASKS_MAX));
        }
        fault_inject(&f);
        if (PhTaskSim_Now(f.sim) > f.log_restore_at) {
            log_restore(&f);
        }
        sim_advance(&f, (PhTime)PhRandom_Below(f.random, FAULT_GAP_MAX_S) *
                            PH_NS_PER_S);
    }
    faults_clear(&f);
    sim_advance(&f, RECOVER_S * PH_NS_PER_S);
    PhTaskSim_CountUnfinished(f.sim, &f.result.lost, &f.result.unfinished);
    f.result.standing = standing_count(f.sim);
    f.result.counts = *PhTaskSim_Counts(f.sim);
    PhTaskSim_Destroy(f.sim);
    PhRandom_Destroy(f.random);
    return f.result;
}
