/* One data centre of engines, workers and the log on the shared fakes, with
 * faults to bring about and checks of what must always hold.  Used by tests
 * and benches. */
#ifndef PERIDOTHILL_BENCH_TASK_WORLD_H
#define PERIDOTHILL_BENCH_TASK_WORLD_H

#include "peridothill/decide/tasks/job_engine.h"
#include "peridothill/fakes/fake_log.h"
#include "peridothill/fakes/fake_net.h"
#include "peridothill/standin/worker_runs.h"

enum {
    PH_WORLD_INSTANCES_MAX = 8,
    /* Groups of the network. */
    PH_WORLD_GROUP_WORKERS = 14,
    PH_WORLD_GROUP_LOG = 15,
};

typedef struct PhTaskWorldOptions {
    uint64_t seed;
    uint32_t instances;
    uint32_t workers;
    PhJobSize worker_size;
    PhLeaseTimes times;
    PhPlacementPolicy policy;
    const PhTeamQuota *quotas; /* the caller's, outlive the world */
    size_t quota_count;
    PhTime retention; /* of the log, 0 is for ever */
    PhTime link_delay;
    PhTime tick; /* 0 is PH_JOB_TICK_MS */
    double loss;
    double duplicate;
    double lost_answers; /* of appends */
    bool uneven;         /* three of eight workers have one accelerator more */
    bool measured;       /* count processor time and bytes of the engines */
} PhTaskWorldOptions;

/* What was counted; `doubled` and `overcommitted` must stay 0. */
typedef struct PhTaskWorldCounts {
    uint64_t accepted;
    uint64_t repeated; /* submits of a known key */
    uint64_t refused;  /* not run */
    uint64_t unknown;
    uint64_t starts;  /* of runs on workers */
    uint64_t resumes; /* of them, from a checkpoint */
    uint64_t doubled; /* a task in two places, or a run begun twice */
    uint64_t overcommitted;
    uint64_t lapsed; /* runs that a worker ended for want of renewal */
    uint64_t notes[PH_NOTE_TASK_QUARANTINED + 1];
    uint64_t engine_ns;    /* processor time of all engines, if measured */
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
/* Lets all that happens by `until` happen; tells how many events. */
uint64_t PhTaskWorld_RunUntil(PhTaskWorld *world, PhTime until);
/* Submits a job at an instance; the outcome is counted. */
void PhTaskWorld_Submit(PhTaskWorld *world, uint32_t instance,
                        const PhJobSpec *spec);
/* Cancels the job of a key, as an instance knows it. */
void PhTaskWorld_Cancel(PhTaskWorld *world, uint32_t instance, PhStr key);
/* Ends the process of an instance, or starts it with empty memory. */
void PhTaskWorld_Kill(PhTaskWorld *world, uint32_t instance);
void PhTaskWorld_Replace(PhTaskWorld *world, uint32_t instance);
bool PhTaskWorld_Alive(const PhTaskWorld *world, uint32_t instance);
void PhTaskWorld_PauseInstance(PhTaskWorld *world, uint32_t instance,
                               PhTime by);
void PhTaskWorld_PauseWorker(PhTaskWorld *world, uint32_t worker, PhTime by);
/* Cuts an instance off from the log, both ways, or connects it. */
void PhTaskWorld_CutLog(PhTaskWorld *world, uint32_t instance, bool cut);
/* Cuts an instance off from a worker, both ways, or connects it. */
void PhTaskWorld_CutWorker(PhTaskWorld *world, uint32_t instance,
                           uint32_t worker, bool cut);
/* Sets how long runs that start from now on take, in percent of what was
 * declared; 0 is 100. */
void PhTaskWorld_SetRunPercent(PhTaskWorld *world, uint32_t percent);
/* The worker comes back empty. */
void PhTaskWorld_RestartWorker(PhTaskWorld *world, uint32_t worker);
void PhTaskWorld_FailWorker(PhTaskWorld *world, uint32_t worker, bool failing);
/* The instance that may start tasks now, or -1. */
int PhTaskWorld_Owner(const PhTaskWorld *world);
/* Counts instances that may start tasks now. */
uint32_t PhTaskWorld_Owners(const PhTaskWorld *world);
/* Any live instance that has read the stream, or NULL. */
const PhJobEngine *PhTaskWorld_Engine(const PhTaskWorld *world);
/* Counts accepted jobs whose state is missing though they were not seen to be
 * finished by an earlier call, and tasks of jobs that are
 * neither standing nor cancelled and are not done. */
void PhTaskWorld_Unfinished(PhTaskWorld *world, uint64_t *lost,
                            uint64_t *unfinished);
/* Times from the submit to the start of a first run, PhTime, sorted. */
const GArray *PhTaskWorld_StartTimes(PhTaskWorld *world);
/* Counts the runs that workers hold. */
uint64_t PhTaskWorld_Running(const PhTaskWorld *world);

#endif
