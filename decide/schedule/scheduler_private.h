/* Declarations shared by the files of the scheduler. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_SCHEDULER_PRIVATE_H
#define PERIDOTHILL_DECIDE_SCHEDULE_SCHEDULER_PRIVATE_H

#include "interference.h"
#include "peridothill/decide/schedule/dispatchers.h"
#include "peridothill/decide/schedule/order_window.h"
#include "peridothill/decide/schedule/room.h"
#include "peridothill/decide/schedule/scheduler.h"

enum {
    PH_LATE_ORDER_MS = 12000 + PH_RELAY_AGE_MS, /* an order may be executed
                                                   this long after it was
                                                   sent */
    /* Until an order without an answer is sent again, to a worker that is
     * silent or that has answered others. */
    PH_ORDER_RETRY_MS = 300,
    PH_ORDER_RETRY_ANSWERING_MS = 100,
};

struct PhScheduler {
    PhSchedulerOptions options;
    PhSchedModel *model;
    uint64_t fence; /* 0: not the owner */
    PhTime owner_since;
    PhTime confirmed_at; /* last confirmation of the ownership, 0: unknown */
    PhTime owned_until;  /* it ends then without another one, 0: unknown */
    bool quiesced;       /* no new starts, and holds do not wait */
    PhTime closes_at;    /* quiesced: nothing is noted from then on */
    uint64_t open_batch;
    uint64_t durable_batch;
    GPtrArray *dirty_stages;        /* PhSchedStage */
    GPtrArray *dirty_jobs;          /* PhSchedJob */
    GPtrArray *awaiting_durability; /* PhSchedJob whose state is not durable */
    guint dirty_workers;            /* dirty worker incarnations */
    GQueue restarts;                /* PhSchedTask to start, lasting ones that
                                       have run before */
    GQueue starts;                  /* PhSchedTask to start, all others */
    GQueue stops;                   /* PhSchedTask to stop */
    GQueue orphans;                 /* PhOrphanRun to stop */
    GQueue paces;                   /* PhSchedTask whose pace changed */
    GQueue renewals;                /* PhSchedWorker with runs, hold due */
    GQueue looks;                   /* PhSchedWorker without runs, hold due */
    PhOrderWindow window;           /* of starts */
    uint32_t parked;  /* starts that wait for an answer of their worker, by the
                         last placement */
    uint32_t backlog; /* overload: tasks of accepted jobs that have no run, by
                         the last placement and what was admitted since */
    bool overloaded;  /* as last reported */
    GArray *rooms;    /* PhServiceRoom, empty unless jobs are refused for want
                         of room */
    PhTime rooms_due_at;
    GHashTable *expected_waits; /* PhTime by id of an accepted job */
    GHashTable *admitted; /* PhAdmitted by id: long-running jobs that the model
                             does not contain yet */
    PhTime closed_until; /* an earlier owner refused long-running jobs: so does
                            this one until then */
    uint64_t pending_tasks; /* admitted, and not in the model yet */
    PhTime due;
    bool placement_due;       /* a change may allow a start */
    PhTime next_placement_at; /* no placement before */
    PhTime waits_due_at;      /* long waits are reported next */
    PhTime held_due_at;       /* tasks that are held for long are */
    PhInterference *interference;
    GArray *events;             /* PhSchedEvent */
    GPtrArray *removed_workers; /* PhSchedWorker that events refer to, owned */
    GPtrArray *reservations;    /* PhSchedTask with room reserved elsewhere */
    GPtrArray *claims;          /* PhSchedWorker that are claimed */
    GArray *claim_ends;         /* PhClaimEnd, scratch memory */
    PhTime next_claim_at;       /* no claim before */
    PhTime claim_report_due_at;
    uint32_t claims_made;     /* since the last one that was to be logged */
    PhTime pairs_recorded_at; /* interference factors were last recorded */
    bool pairs_due;
};

/* The room of a service; owns its name. */
typedef struct PhServiceRoom {
    PhStr service;
    PhRoom room;
    bool reported_closed;
} PhServiceRoom;

/* A long-running job that was accepted: its record may not be durable yet. */
typedef struct PhAdmitted {
    PhStr service; /* owned, as the next */
    PhStr queue;
    double need; /* milli-cores */
    PhTime at;
} PhAdmitted;

void PhAdmitted_Destroy(gpointer admitted);

/* A run that a worker reports and no placed task matches; it is stopped. */
typedef struct PhOrphanRun {
    PhSchedWorker *worker;
    PhSchedTaskName task; /* owns the job's id */
    uint32_t run;
} PhOrphanRun;

void PhOrphanRun_Destroy(gpointer orphan);

/* Adds a stage, or the state of a job, to the records of the open batch. */
void PhScheduler_MarkStageDirty(PhScheduler *scheduler, PhSchedStage *stage);
void PhScheduler_MarkJobDirty(PhScheduler *scheduler, PhSchedJob *job);
void PhScheduler_MarkWorkerDirty(PhScheduler *scheduler,
                                 PhSchedWorker *worker);
/* Records whether leases are granted to a worker. */
void PhScheduler_SetSuspended(PhScheduler *scheduler, PhSchedWorker *worker,
                              bool suspended, PhTime now);
/* Records that orders to a worker are sent on any connection.  The record has
 * to be durable before the next lease. */
void PhScheduler_SetUnbound(PhScheduler *scheduler, PhSchedWorker *worker);
/* Reports whether a release is so close that nothing more is noted. */
bool PhScheduler_IsClosed(const PhScheduler *scheduler, PhTime now);
/* Reports whether what a worker says is left to the next owner. */
bool PhScheduler_IsClosedFor(const PhScheduler *scheduler,
                             const PhSchedWorker *worker, PhTime now);
/* Makes the next decision due by `at`. */
void PhScheduler_WakeBy(PhScheduler *scheduler, PhTime at);

/* Called when an incarnation replaces an earlier one of the same id. */
void PhScheduler_InheritLeases(const PhScheduler *scheduler,
                               PhSchedWorker *worker,
                               const PhSchedWorker *earlier, PhTime now);
/* Notes that the entry of a worker was deleted, if that shows that the worker
 * has left. */
void PhScheduler_NoteDeparture(const PhScheduler *scheduler,
                               PhSchedWorker *worker, PhTime now);
bool PhScheduler_MayGrant(const PhScheduler *scheduler,
                          const PhSchedWorker *worker, PhTime now);
/* Grants a lease from `now`; returns its end on the worker's clock in ms. */
int64_t PhScheduler_Grant(PhScheduler *scheduler, PhSchedWorker *worker,
                          PhTime now);
/* What is left of the newest lease that was granted, on the worker's clock. */
PhTime PhScheduler_LeaseLeft(const PhSchedWorker *worker, PhTime now);
/* Returns the end of the newest lease that was granted, 0 if it has expired.
 * To grant it once more does not change when all leases have expired. */
int64_t PhScheduler_GrantedLease(const PhSchedWorker *worker, PhTime now);
/* Ends the run of a task, which becomes WAITING or DONE. */
void PhScheduler_EndRun(PhScheduler *scheduler, PhSchedTask *task,
                        PhSchedEndKind kind, PhStr last_checkpoint,
                        PhTime now);
/* Ends a run for which no end was reported. */
void PhScheduler_ReleaseRun(PhScheduler *scheduler, PhSchedTask *task,
                            PhSchedRelease reason, PhTime now);
/* Sets the final state of a job and stops its placed tasks. */
void PhScheduler_EndJob(PhScheduler *scheduler, PhSchedJob *job,
                        PhSchedJobState state);
/* Queues a stop of a placed task. */
void PhScheduler_StopTask(PhScheduler *scheduler, PhSchedTask *task);

/* leases.c: upper bound of the end of all leases that earlier owners granted
 * up to `limit`. */
PhTime PhScheduler_EarlierLeasesEnd(const PhScheduler *scheduler,
                                    const PhSchedWorker *worker, PhTime limit);
/* Discards the order state of an earlier ownership for one incarnation. */
void PhScheduler_ResetWorker(const PhScheduler *scheduler,
                             PhSchedWorker *worker, PhTime now);
/* When the lease of a placed task has expired at the latest. */
PhLeaseBound PhScheduler_RunLeaseBound(const PhScheduler *scheduler,
                                       const PhSchedTask *task);
/* Queues the hold of an incarnation, or ends its runs when its leases expired.
 */
void PhScheduler_PlanWorker(PhScheduler *scheduler, PhSchedWorker *worker,
                            PhTime now);
/* Before a release: records how much longer the leases of silent workers may
 * last. */
void PhScheduler_RecordBounds(PhScheduler *scheduler, PhTime now);
/* Appends the records of workers that changed. */
void PhScheduler_TakeWorkerRecords(PhScheduler *scheduler, GArray *records);
/* worker_orders.c: an order to an incarnation, and the effects of replies. */
PhSchedAction PhSchedAction_For(const PhSchedWorker *worker,
                                PhSchedActionTag tag);
PhSchedTask *PhScheduler_PlacedTask(PhScheduler *scheduler,
                                    const PhSchedTaskName *name, uint32_t run);
void PhScheduler_ConfirmRun(PhScheduler *scheduler, PhSchedTask *task,
                            int64_t clock_ms, PhTime now);
void PhScheduler_NoteJobBegins(PhScheduler *scheduler, PhStr id);
/* holds.c: notes that a worker has answered another order than a hold. */
void PhScheduler_NoteAnswer(PhScheduler *scheduler, PhSchedWorker *worker,
                            PhTime now);
/* More batches than `before` are durable: ends may be acknowledged to a
 * worker, or leases be granted. */
void PhScheduler_OnWorkerDurable(const PhScheduler *scheduler,
                                 PhSchedWorker *worker, uint64_t before);
/* Takes the next hold of `due`, one of the queues of the scheduler. */
bool PhScheduler_NextHold(PhScheduler *scheduler, GQueue *due, PhTime now,
                          PhSchedAction *action);
/* incarnations.c: handles a reply from another incarnation than the one
 * addressed; returns the one that replied. */
PhSchedWorker *PhScheduler_SwitchIncarnation(PhScheduler *scheduler,
                                             PhSchedWorker *worker,
                                             const PhSchedHoldReply *reply,
                                             PhTime now);
/* Ends every incarnation before the one that replied. */
void PhScheduler_EndEarlierIncarnations(PhScheduler *scheduler,
                                        PhSchedWorker *worker,
                                        const PhSchedHoldReply *reply,
                                        PhTime now);
/* starts.c: what excludes that a start of a run is executed from now on, in
 * this incarnation of the worker. */
typedef enum PhStartSettlement {
    PH_START_SETTLED,           /* none was sent, or none was executed */
    PH_START_SETTLED_BY_ANSWER, /* one is in flight */
    PH_START_SETTLED_BY_STOP,   /* the worker refuses a run that was stopped
                                   before it began */
} PhStartSettlement;

typedef enum PhStartVerdictTag {
    PH_START_DISCARD, /* no start is due any more */
    PH_START_SEND,
    PH_START_WAIT,
    PH_START_WITHDRAW,
} PhStartVerdictTag;

typedef struct PhStartVerdict {
    PhStartVerdictTag tag;
    union {
        PhTime until;             /* WAIT: PH_TIME_NEVER if an event decides */
        PhStartObstacle obstacle; /* WITHDRAW */
    } as;
} PhStartVerdict;

/* Age of the newest start of the run without an answer, -1 for none. */
PhTime PhSchedTask_UnansweredFor(const PhSchedTask *task, PhTime now);
/* Reports whether a start of the run that was not bound may yet be executed,
 * by the incarnation of the worker that it names or by a later one. */
bool PhSchedTask_StartMayArrive(const PhSchedTask *task, PhTime now);
/* Reports whether a later incarnation under the worker's id may have executed
 * a start of the run, or may yet do so, without the owner knowing of it. */
bool PhSchedTask_StartIsUnbound(const PhSchedTask *task);
PhStartSettlement PhScheduler_StartSettlement(const PhScheduler *scheduler,
                                              const PhSchedTask *task);
/* Queues the start of a placed task until its batch is durable. */
void PhScheduler_QueueStart(PhScheduler *scheduler, PhSchedTask *task);
PhStartVerdict PhScheduler_JudgeStart(const PhScheduler *scheduler,
                                      const PhSchedTask *task, PhTime now);
/* admission.c: counts the backlog after a placement, and reports the beginning
 * and the end of an overload. */
void PhScheduler_UpdateOverload(PhScheduler *scheduler, PhTime now);
/* room_sample.c: measures what each service has room for, if jobs are refused
 * for want of it. */
void PhScheduler_UpdateRoom(PhScheduler *scheduler, PhTime now);
/* Counts a long-running job that is accepted until the model contains it. */
void PhScheduler_NoteAdmitted(PhScheduler *scheduler, const PhSchedSpec *spec,
                              PhTime now);
/* The estimate for a service, or NULL if there is none yet. */
PhRoom *PhScheduler_Room(const PhScheduler *scheduler, PhStr service);
/* Reports whether the long-running jobs of a queue hold, `need` included, less
 * than an equal share of the room of their service. */
bool PhScheduler_IsBelowShare(const PhScheduler *scheduler, const PhRoom *room,
                              const PhSchedTerms *terms, double need);
/* Work that is placed before a new job, and that of the tasks that run, in
 * milli-cores x ns. */
double PhScheduler_WorkBefore(const PhScheduler *scheduler,
                              const PhSchedSpec *spec, PhTime now);
/* Remembers the expected wait of a job that is accepted, and compares it with
 * the actual one at its first start. */
void PhScheduler_NoteExpectedWait(PhScheduler *scheduler, PhStr id,
                                  PhTime wait);
void PhScheduler_NoteFirstStart(PhScheduler *scheduler, const PhSchedJob *job,
                                PhTime now);
/* gang.c: places a whole gang or nothing; false if it has to wait. */
bool PhScheduler_PlaceGang(PhScheduler *scheduler, PhSchedStage *stage,
                           PhTime now);
/* Starts the run of a refused gang member elsewhere, or stops the gang. */
void PhScheduler_ReplaceMember(PhScheduler *scheduler, PhSchedTask *task,
                               PhTime now);
/* Ends the other members after one of them has ended. */
void PhScheduler_EndGang(PhScheduler *scheduler, PhSchedTask *task,
                         PhSchedEndKind kind);
/* Whether a job can still meet its objective. */
typedef enum PhObjectiveStatus {
    PH_OBJECTIVE_ON_TIME, /* the rest of its critical path still fits */
    PH_OBJECTIVE_LATE,    /* it still has some value when it completes */
    PH_OBJECTIVE_MISSED,
} PhObjectiveStatus;

/* Which waiting tasks of a stage a candidate stands for. */
typedef enum PhCandidateTag {
    PH_CANDIDATE_INTERRUPTED, /* long-running ones that have run before */
    PH_CANDIDATE_LASTING,     /* long-running ones that have never run */
    PH_CANDIDATE_ENDING,      /* all of a stage that comes to an end */
} PhCandidateTag;

/* Waiting tasks of a stage and their sort key. */
typedef struct PhCandidate {
    const PhSchedSpec *spec; /* of its job */
    PhSchedStage *stage;     /* NULL for a job that is not accepted yet */
    PhCandidateTag tag;
    PhTime interrupted_at; /* INTERRUPTED: the earliest end of a run, else 0 */
    PhObjectiveStatus objective_status;
    double work; /* estimated remaining work of the job: time x milli-cores */
} PhCandidate;

/* claims.c: ends the claims that are over, and takes the tasks that now are on
 * the claimed workers into account. */
void PhScheduler_UpdateClaims(PhScheduler *scheduler, PhTime now);
void PhScheduler_EndClaims(PhScheduler *scheduler);
/* Ends the claim on a worker, if there is one. */
void PhScheduler_EndClaim(PhScheduler *scheduler, PhSchedWorker *worker);
/* A task has been placed while there are claims. */
void PhScheduler_OnClaimedStart(PhScheduler *scheduler,
                                const PhSchedTask *task, PhTime now);
/* Reports whether workers may be claimed in this pass. */
bool PhScheduler_IsClaimDue(const PhScheduler *scheduler, guint usable_workers,
                            PhTime now);
/* Returns a task of a candidate without room that may claim a worker, or NULL.
 */
PhSchedTask *PhScheduler_Claimant(const PhScheduler *scheduler,
                                  const PhCandidate *candidate, PhTime now);
/* Claims some of the usable workers for tasks that may, which are sorted. */
void PhScheduler_MakeClaims(PhScheduler *scheduler, const GPtrArray *workers,
                            GPtrArray *claimants, PhTime now);
/* order.c: the stages that may start, as PhCandidate, the most urgent first.
 * The array is owned by the caller. */
GArray *PhScheduler_CollectCandidates(const PhScheduler *scheduler,
                                      PhTime now);
/* The same in no particular order. */
GArray *PhScheduler_CollectUnsorted(const PhScheduler *scheduler, PhTime now);
/* The candidate of a job that would be accepted now. */
PhCandidate PhCandidate_ForNew(const PhSchedSpec *spec);
/* Reports whether `a` is placed before `b`. */
bool PhCandidate_Precedes(const PhCandidate *a, const PhCandidate *b);
PhObjectiveStatus PhSchedJob_ObjectiveStatus(const PhSchedJob *job,
                                             uint32_t round, PhTime now);
/* Time from its acceptance until which a job has value. */
PhTime PhSchedSpec_ValueLimit(const PhSchedSpec *spec);
/* failures.c: what the failed runs on a worker say about it. */
typedef enum PhDoubt {
    PH_DOUBT_NONE,
    PH_DOUBT_LIKELY, /* several have failed in a row */
    PH_DOUBT_PROVEN, /* other workers have done the same steps */
} PhDoubt;

PhDoubt PhSchedWorker_Doubt(const PhSchedWorker *worker, PhTime now);
/* Counts the end of a placed task's run.  A worker on which several have
 * failed in a row is in doubt until one is done that began after them. */
void PhScheduler_CountEnd(const PhSchedTask *task, PhSchedEndKind kind,
                          PhTime now);
/* Reports whether a worker in doubt gets no start of the task now.  It gets
 * one from time to time, to try it. */
bool PhScheduler_IsBarred(const PhSchedWorker *worker, const PhSchedTask *task,
                          PhTime now);
/* Before a stage is placed: sets how far workers in doubt are trusted. */
void PhScheduler_SetTrust(const PhScheduler *scheduler, PhSchedStage *stage,
                          PhTime now);
/* fit.c: reports whether a worker may be given starts at all. */
bool PhScheduler_IsUsable(const PhSchedWorker *worker, PhTime now);
/* Whether a task may start on a worker now. */
PhFit PhScheduler_JudgeFit(const PhScheduler *scheduler,
                           const PhSchedWorker *worker,
                           const PhSchedTask *task, PhTime now);
/* Adds the number of workers of each fit to an array of PH_FIT_COUNT. */
void PhScheduler_CountFits(const PhScheduler *scheduler,
                           const PhSchedTask *task, PhTime now,
                           uint32_t *workers);
/* Reports whether a worker is of the task's service and has the label that its
 * step requires. */
bool PhScheduler_IsEligible(const PhSchedWorker *worker,
                            const PhSchedTask *task);
/* Reports whether as many tasks of the step are on the worker as may be. */
bool PhSchedTask_IsAtWorkerLimit(const PhSchedTask *task,
                                 const PhSchedWorker *worker);
/* Rates a usable worker for a task, higher is better; false if the task must
 * not start there. */
bool PhScheduler_RateWorker(const PhScheduler *scheduler,
                            const PhSchedWorker *worker,
                            const PhSchedTask *task, PhTime now,
                            double *score);
/* Reports whether a worker would not have to slow a backfill task, since that
 * would hardly disturb the serving tasks there. */
bool PhScheduler_IsInterferenceFree(const PhScheduler *scheduler,
                                    const PhSchedWorker *worker,
                                    const PhSchedTask *task, PhTime now);
/* placement.c: finds the best worker for a task, in `rack` unless that is
 * empty, or NULL. */
PhSchedWorker *PhScheduler_PickWorker(const PhScheduler *scheduler,
                                      const PhSchedTask *task, PhStr rack,
                                      PhTime now);
/* Places a task on a worker, records and queues its start. */
void PhScheduler_StartTask(PhScheduler *scheduler, PhSchedTask *task,
                           PhSchedWorker *worker, PhTime now);
/* waits.c: since when a task waits.  After an earlier owner's run this is when
 * the record of its end was read, which may precede this ownership. */
PhTime PhSchedTask_WaitsSince(const PhSchedTask *task);
/* Since when a waiting task could have been started by this owner. */
PhTime PhScheduler_WaitsSince(const PhScheduler *scheduler,
                              const PhSchedTask *task);
/* Reports why tasks that are to last wait for long. */
void PhScheduler_ReportWaits(PhScheduler *scheduler, PhTime now);
/* held.c: reports what holds tasks back that may run. */
void PhScheduler_ReportHeld(PhScheduler *scheduler, PhTime now);
/* Reports whether the order path takes another start: of a task that is to
 * last, or of one that comes to an end. */
bool PhScheduler_HasOrderRoom(const PhScheduler *scheduler, bool long_running);
/* Places waiting tasks on workers. */
void PhScheduler_PlaceTasks(PhScheduler *scheduler, PhTime now);
/* The same for any other worker than the task's own. */
bool PhScheduler_HasBetterWorker(const PhScheduler *scheduler,
                                 const PhSchedTask *task, PhTime now);
/* evacuation.c: moves lasting tasks off workers that are about to leave. */
void PhScheduler_Evacuate(PhScheduler *scheduler, PhTime now);
/* Ends the reservation of a waiting task, and places it there unless it no
 * longer suits the worker. */
void PhScheduler_PlaceReserved(PhScheduler *scheduler, PhSchedTask *task,
                               PhTime now);
/* pacing.c: adjusts the pace of a worker's backfill tasks after a sample. */
void PhScheduler_PaceWorker(PhScheduler *scheduler, PhSchedWorker *worker,
                            PhTime now);
/* Reports whether the pace of a task has to be ordered: it changes, or the
 * worker may not run the task at the pace last sent. */
bool PhScheduler_IsPaceDue(const PhSchedTask *task, PhTime now);
/* Notes that the pace of a task is being sent. */
void PhScheduler_SendPace(PhSchedTask *task, PhTime now);
/* Notes the outcome of one of its pace orders, not always the last one. */
void PhScheduler_CompletePace(PhSchedTask *task, PhSchedOutcome outcome,
                              PhTime now);

#endif
