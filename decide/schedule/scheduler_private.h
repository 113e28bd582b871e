/* What the files of the scheduler share. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_SCHEDULER_PRIVATE_H
#define PERIDOTHILL_DECIDE_SCHEDULE_SCHEDULER_PRIVATE_H

#include "interference.h"
#include "peridothill/decide/schedule/scheduler.h"

struct PhScheduler {
    PhSchedulerOptions options;
    PhSchedModel *model;
    uint64_t fence; /* 0: not the owner */
    PhTime owner_since;
    PhTime confirmed_at; /* the ownership, 0 for not told */
    bool quiesced;       /* no starts, no waits */
    uint64_t open_batch;
    uint64_t durable_batch;
    GPtrArray *dirty_stages; /* PhSchedStage */
    GPtrArray *dirty_jobs;   /* PhSchedJob */
    GPtrArray
        *awaiting_durability; /* PhSchedJob with a state that is not durable */
    guint dirty_workers;      /* lives of the model that are dirty */
    GQueue starts;            /* PhSchedTask that wait for their batch */
    GQueue stops;             /* PhSchedTask to stop */
    GQueue orphans;           /* PhStray: runs that must not be there */
    GQueue paces;             /* PhSchedTask whose pace has changed */
    GQueue holds;             /* PhSchedWorker whose hold is due */
    PhTime due;
    bool placement_due; /* something has changed that may allow a start */
    PhTime next_placement_at; /* waiting tasks are not tried before */
    PhInterference *interference;
    GArray *events;           /* PhSchedNote */
    GPtrArray *forgotten;     /* PhSchedWorker of notes, owned */
    PhTime pairs_recorded_at; /* what it has learned was last recorded */
    bool pairs_due;
};

/* A run that no task stands behind, to be stopped. */
typedef struct PhOrphanRun {
    PhSchedWorker *worker;
    PhSchedTaskName task; /* owns the job's id */
    uint32_t run;
} PhOrphanRun;

/* Releases a PhStray. */
void PhOrphanRun_Destroy(gpointer orphan);

/* Marks a stage or the state of a job as changed in the open batch. */
void PhScheduler_MarkStageDirty(PhScheduler *scheduler, PhSchedStage *stage);
void PhScheduler_MarkJobDirty(PhScheduler *scheduler, PhSchedJob *job);
/* Marks what is on record of a worker as changed. */
void PhScheduler_MarkWorkerDirty(PhScheduler *scheduler,
                                 PhSchedWorker *worker);
/* Records whether leases are granted to a worker. */
void PhScheduler_SetSuspended(PhScheduler *scheduler, PhSchedWorker *worker,
                              bool suspended, PhTime now);
/* Brings the next decision forward. */
void PhScheduler_WakeBy(PhScheduler *scheduler, PhTime at);

/* Notes that a life has replaced an earlier one under the same id. */
void PhScheduler_InheritLeases(const PhScheduler *scheduler,
                               PhSchedWorker *worker, PhTime now);
/* Tells whether a lease may be granted. */
bool PhScheduler_MayGrant(const PhScheduler *scheduler,
                          const PhSchedWorker *worker, PhTime now);
/* Grants a lease from now on and gives its end on the worker's clock. */
int64_t PhScheduler_Grant(PhScheduler *scheduler, PhSchedWorker *worker,
                          PhTime now);
/* Ends the run of a task: it waits again, or is done. */
void PhScheduler_EndRun(PhScheduler *scheduler, PhSchedTask *task,
                        PhSchedEndKind kind, PhStr saved, PhTime now);
/* Ends a job: its placed tasks are stopped. */
void PhScheduler_EndJob(PhScheduler *scheduler, PhSchedJob *job,
                        PhSchedJobState state);
/* Orders a stop of a placed task. */
void PhScheduler_StopTask(PhScheduler *scheduler, PhSchedTask *task);

/* leases.c: the time by which all leases end that earlier owners granted up to
 * `limit`. */
PhTime PhScheduler_GrantedBy(const PhScheduler *scheduler,
                             const PhSchedWorker *worker, PhTime limit);
/* What a takeover leaves of a life, when it is due to be held or
 * has lapsed, and the records of workers that changed. */
void PhScheduler_ResetWorker(const PhScheduler *scheduler,
                             PhSchedWorker *worker, PhTime now);
void PhScheduler_PlanWorker(PhScheduler *scheduler, PhSchedWorker *worker,
                            PhTime now);
void PhScheduler_TakeWorkerRecords(PhScheduler *scheduler, GArray *records);
/* lives.c: another life has answered than the one that was asked; gives it. */
PhSchedWorker *PhScheduler_SwitchIncarnation(PhScheduler *scheduler,
                                             PhSchedWorker *worker,
                                             const PhSchedHoldReply *reply,
                                             PhTime now);
/* Ends every life before one that has answered. */
void PhScheduler_EndEarlierIncarnations(PhScheduler *scheduler,
                                        PhSchedWorker *worker,
                                        const PhSchedHoldReply *reply,
                                        PhTime now);
/* gang.c: places a whole gang or nothing; false when it has to wait. */
bool PhScheduler_PlaceGang(PhScheduler *scheduler, PhSchedStage *stage,
                           PhTime now);
void PhScheduler_ReplaceMember(PhScheduler *scheduler, PhSchedTask *task,
                               PhTime now);
void PhScheduler_EndGang(PhScheduler *scheduler, PhSchedTask *task,
                         PhSchedEndKind kind);
/* How a job stands to its objective. */
typedef enum PhJobOutlook {
    PH_OUTLOOK_ON_TIME, /* the rest of its chain still fits */
    PH_OUTLOOK_LATE,    /* it is worth less, but still something */
    PH_OUTLOOK_MISSED,
} PhJobOutlook;

/* A stage with waiting tasks and its place in the order. */
typedef struct PhCandidate {
    PhSchedStage *stage;
    bool long_running; /* it has no end to be in time for */
    PhJobOutlook outlook;
    double work; /* what remains of the job, by estimate */
} PhCandidate;

/* order.c: the stages that may start, as PhCandidate, the most urgent first.
 */
GArray *PhScheduler_CollectCandidates(const PhScheduler *scheduler,
                                      PhTime now);
/* fit.c: tells whether a worker may be given starts at all. */
bool PhScheduler_IsUsable(const PhSchedWorker *worker, PhTime now);
/* Rates a usable worker for a task; false when it must not start there. */
bool PhScheduler_RateWorker(const PhScheduler *scheduler,
                            const PhSchedWorker *worker,
                            const PhSchedTask *task, PhTime now,
                            double *score);
/* Tells whether a worker would let a task that fills work undisturbed. */
bool PhScheduler_IsInterferenceFree(const PhScheduler *scheduler,
                                    const PhSchedWorker *worker,
                                    const PhSchedTask *task, PhTime now);
/* Finds the best worker for a task, in a rack if one is named, or NULL. */
PhSchedWorker *PhScheduler_PickWorker(const PhScheduler *scheduler,
                                      const PhSchedTask *task, PhStr rack,
                                      PhTime now);
/* Records the start of a task on a worker. */
void PhScheduler_StartTask(PhScheduler *scheduler, PhSchedTask *task,
                           PhSchedWorker *worker, PhTime now);
/* placement.c: places waiting tasks on workers. */
void PhScheduler_PlaceTasks(PhScheduler *scheduler, PhTime now);
/* Tells whether another worker would let a task that fills work undisturbed,
 * with room to spare. */
bool PhScheduler_HasBetterWorker(const PhScheduler *scheduler,
                                 const PhSchedTask *task, PhTime now);
/* pacing.c: adjusts the tasks that fill beside tasks that serve. */
void PhScheduler_PaceWorker(PhScheduler *scheduler, PhSchedWorker *worker,
                            PhTime now);

#endif
