/* Simulates one data centre: job engines, workers and the log on the fakes,
 * with fault injection and invariant checks.  Used by tests and benchmarks. */
#ifndef PERIDOTHILL_BENCH_TASK_SIM_H
#define PERIDOTHILL_BENCH_TASK_SIM_H

#include "peridothill/decide/tasks/job_engine.h"
#include "peridothill/fakes/fake_log.h"
#include "peridothill/fakes/fake_net.h"
#include "peridothill/standin/worker_runs.h"

enum {
    PH_SIM_INSTANCES_MAX = 8,
    /* Network groups. */
    PH_SIM_GROUP_WORKERS = 14,
    PH_SIM_GROUP_LOG = 15,
};

typedef struct PhTaskSimOptions {
    uint64_t seed;
    uint32_t instances;
    uint32_t workers;
    PhJobSize worker_size;
    PhLeaseTimes times;
    PhPlacementPolicy policy;
    const PhTeamQuota *quotas; /* borrowed; must outlive the simulation */
    size_t quota_count;
    PhTime retention; /* of the log; 0: unlimited */
    PhTime link_delay;
    PhTime tick; /* 0: PH_JOB_TICK_MS */
    double loss;
    double duplicate;
    double lost_answers; /* fraction of appends whose answer is lost */
    bool uneven_workers; /* three in eight workers have an extra accelerator */
    bool measured;       /* measure CPU time and traffic of the engines */
} PhTaskSimOptions;

/* `duplicate_runs` and `overcommitted` count violations and must stay 0. */
typedef struct PhTaskSimCounts {
    uint64_t accepted;
    uint64_t repeated; /* submits of a known key */
    uint64_t refused;  /* not run */
    uint64_t unknown;
    uint64_t starts;         /* runs started on workers */
    uint64_t resumes;        /* starts from a checkpoint */
    uint64_t duplicate_runs; /* task on two workers, or run started twice */
    uint64_t overcommitted;
    uint64_t lapsed; /* runs that a worker ended because the lease ran out */
    uint64_t notes[PH_NOTE_TASK_QUARANTINED + 1];
    uint64_t engine_ns;    /* CPU time of all engines, if measured */
    uint64_t worker_bytes; /* bodies to and from workers, if measured */
    uint64_t log_bytes;    /* bodies to and from the log, if measured */
} PhTaskSimCounts;

typedef struct PhTaskSim PhTaskSim;

PhTaskSim *PhTaskSim_Create(const PhTaskSimOptions *options);
void PhTaskSim_Destroy(PhTaskSim *sim);
PhTime PhTaskSim_Now(const PhTaskSim *sim);
const PhTaskSimCounts *PhTaskSim_Counts(const PhTaskSim *sim);
PhFakeNet *PhTaskSim_Net(PhTaskSim *sim);
PhFakeLogOptions *PhTaskSim_LogOptions(PhTaskSim *sim);
PhFakeLogCounts PhTaskSim_LogCounts(const PhTaskSim *sim);
/* Runs the simulation until `until`; returns the number of events. */
uint64_t PhTaskSim_RunUntil(PhTaskSim *sim, PhTime until);
/* Submits a job at an instance; the outcome is counted. */
void PhTaskSim_Submit(PhTaskSim *sim, uint32_t instance,
                      const PhJobSpec *spec);
/* Cancels the job with this key; ignored if the instance does not know it. */
void PhTaskSim_Cancel(PhTaskSim *sim, uint32_t instance, PhStr key);
/* Kill ends the process of an instance; Replace starts a new one with empty
 * memory. */
void PhTaskSim_Kill(PhTaskSim *sim, uint32_t instance);
void PhTaskSim_Replace(PhTaskSim *sim, uint32_t instance);
bool PhTaskSim_IsAlive(const PhTaskSim *sim, uint32_t instance);
void PhTaskSim_PauseInstance(PhTaskSim *sim, uint32_t instance, PhTime by);
void PhTaskSim_PauseWorker(PhTaskSim *sim, uint32_t worker, PhTime by);
/* Disconnects an instance from the log in both directions, or reconnects
 * it. */
void PhTaskSim_CutLog(PhTaskSim *sim, uint32_t instance, bool cut);
/* Disconnects an instance from a worker in both directions, or reconnects
 * it. */
void PhTaskSim_CutWorker(PhTaskSim *sim, uint32_t instance, uint32_t worker,
                         bool cut);
/* Scales the duration of runs that start from now on, in percent of the
 * declared run time; 0 means 100. */
void PhTaskSim_SetRunPercent(PhTaskSim *sim, uint32_t percent);
/* Restarts a worker; its runs are lost. */
void PhTaskSim_RestartWorker(PhTaskSim *sim, uint32_t worker);
void PhTaskSim_FailWorker(PhTaskSim *sim, uint32_t worker, bool failing);
/* Returns the instance that may start tasks now, or -1. */
int PhTaskSim_Owner(const PhTaskSim *sim);
/* Counts instances that may start tasks now. */
uint32_t PhTaskSim_CountOwners(const PhTaskSim *sim);
/* Returns the engine that has read furthest in the stream, NULL if none has
 * read it. */
const PhJobEngine *PhTaskSim_LatestEngine(const PhTaskSim *sim);
/* Counts accepted jobs that are missing from the state and were not seen
 * finished by an earlier call.  Also counts unfinished tasks: those not done,
 * or those still placed if the job is cancelled; standing jobs are skipped. */
void PhTaskSim_CountUnfinished(PhTaskSim *sim, uint64_t *lost,
                               uint64_t *unfinished);
/* Returns the sorted times (PhTime) from submission to the first start of each
 * task. */
const GArray *PhTaskSim_StartTimes(PhTaskSim *sim);
/* Counts the runs that workers hold. */
uint64_t PhTaskSim_CountRunning(const PhTaskSim *sim);

#endif
