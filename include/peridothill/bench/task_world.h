/* Simulates one data centre: job engines, workers and the log on the fakes,
 * with fault injection and invariant checks.  Used by tests and benchmarks. */
#ifndef PERIDOTHILL_BENCH_TASK_WORLD_H
#define PERIDOTHILL_BENCH_TASK_WORLD_H

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

typedef struct PhTaskWorldOptions {
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
} PhTaskWorldOptions;

/* `doubled` and `overcommitted` count violations and must stay 0. */
typedef struct PhTaskWorldCounts {
    uint64_t accepted;
    uint64_t repeated; /* submits of a known key */
    uint64_t refused;  /* not run */
    uint64_t unknown;
    uint64_t starts;  /* runs started on workers */
    uint64_t resumes; /* starts from a checkpoint */
    uint64_t doubled; /* task on two workers, or run started twice */
    uint64_t overcommitted;
    uint64_t lapsed; /* runs that a worker ended because the lease ran out */
    uint64_t notes[PH_NOTE_TASK_QUARANTINED + 1];
    uint64_t engine_ns;    /* CPU time of all engines, if measured */
    uint64_t worker_bytes; /* bodies to and from workers, if measured */
    uint64_t log_bytes;    /* bodies to and from the log, if measured */
} PhTaskWorldCounts;

typedef struct PhTaskWorld PhTaskWorld;

PhTaskWorld *PhTaskWorld_Create(const PhTaskWorldOptions *options);
void PhTaskWorld_Destroy(PhTaskWorld *world);
PhTime PhTaskWorld_Now(const PhTaskWorld *world);
const PhTaskWorldCounts *PhTaskWorld_Counts(const PhTaskWorld *world);
PhFakeNet *PhTaskWorld_Net(PhTaskWorld *world);
PhFakeLogOptions *PhTaskWorld_Log(PhTaskWorld *world);
PhFakeLogCounts PhTaskWorld_LogCounts(const PhTaskWorld *world);
/* Runs the simulation until `until`; returns the number of events. */
uint64_t PhTaskWorld_RunUntil(PhTaskWorld *world, PhTime until);
/* Submits a job at an instance; the outcome is counted. */
void PhTaskWorld_Submit(PhTaskWorld *world, uint32_t instance,
                        const PhJobSpec *spec);
/* Cancels the job with this key; ignored if the instance does not know it. */
void PhTaskWorld_Cancel(PhTaskWorld *world, uint32_t instance, PhStr key);
/* Kill ends the process of an instance; Replace starts a new one with empty
 * memory. */
void PhTaskWorld_Kill(PhTaskWorld *world, uint32_t instance);
void PhTaskWorld_Replace(PhTaskWorld *world, uint32_t instance);
bool PhTaskWorld_Alive(const PhTaskWorld *world, uint32_t instance);
void PhTaskWorld_PauseInstance(PhTaskWorld *world, uint32_t instance,
                               PhTime by);
void PhTaskWorld_PauseWorker(PhTaskWorld *world, uint32_t worker, PhTime by);
/* Disconnects an instance from the log in both directions, or reconnects
 * it. */
void PhTaskWorld_CutLog(PhTaskWorld *world, uint32_t instance, bool cut);
/* Disconnects an instance from a worker in both directions, or reconnects
 * it. */
void PhTaskWorld_CutWorker(PhTaskWorld *world, uint32_t instance,
                           uint32_t worker, bool cut);
/* Scales the duration of runs that start from now on, in percent of the
 * declared run time; 0 means 100. */
void PhTaskWorld_SetRunPercent(PhTaskWorld *world, uint32_t percent);
/* Restarts a worker; its runs are lost. */
void PhTaskWorld_RestartWorker(PhTaskWorld *world, uint32_t worker);
void PhTaskWorld_FailWorker(PhTaskWorld *world, uint32_t worker, bool failing);
/* Returns the instance that may start tasks now, or -1. */
int PhTaskWorld_Owner(const PhTaskWorld *world);
/* Counts instances that may start tasks now. */
uint32_t PhTaskWorld_Owners(const PhTaskWorld *world);
/* Returns the engine that has read furthest in the stream, NULL if none has
 * read it. */
const PhJobEngine *PhTaskWorld_Engine(const PhTaskWorld *world);
/* Counts accepted jobs that are missing from the state and were not seen
 * finished by an earlier call.  Also counts unfinished tasks: those not done,
 * or those still placed if the job is cancelled; standing jobs are skipped. */
void PhTaskWorld_Unfinished(PhTaskWorld *world, uint64_t *lost,
                            uint64_t *unfinished);
/* Returns the sorted times (PhTime) from submission to the first start of each
 * task. */
const GArray *PhTaskWorld_StartTimes(PhTaskWorld *world);
/* Counts the runs that workers hold. */
uint64_t PhTaskWorld_Running(const PhTaskWorld *world);

#endif
