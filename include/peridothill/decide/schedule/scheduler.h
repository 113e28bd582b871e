/* The owner's decisions on one model: where tasks start, which orders
 * workers get, and when jobs end.  Inputs are the state, events and the time;
 * the output is a list of actions.
 *
 * A start is sent only after its record is durable, so that the next owner
 * knows every run that may exist.  Each change of a stage is recorded in the
 * batch that is open at the time. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_SCHEDULER_H
#define PERIDOTHILL_DECIDE_SCHEDULE_SCHEDULER_H

#include "peridothill/decide/schedule/predecessors.h"
#include "peridothill/decide/schedule/record.h"

typedef struct PhScheduler PhScheduler;

/* Why a worker's entry is not in the list any more. */
typedef enum PhWorkerRemoval {
    PH_REMOVAL_DELETED,
    PH_REMOVAL_UNREADABLE, /* it was replaced by one that cannot be read */
    PH_REMOVAL_MISSING,    /* all entries were read, and it is not there */
} PhWorkerRemoval;

typedef struct PhSchedulerOptions {
    PhTime lease_limit;    /* longest lease that workers accept */
    PhTime dispatch_delay; /* starts that take longer on average are to be sent
                              by other instances; 0: all */
    PhTime pace_lag; /* from a pace order until samples show its effect */
    PhTime report_interval;    /* workers write their entries about this often;
                                  0: unknown */
    uint64_t active_tasks_max; /* tasks of all jobs that have not ended; 0: no
                                  limit */
    uint64_t room_reserve_percent; /* largest share of the workers' CPU that
                                      new long-running jobs leave for jobs
                                      that end; 0: no job is refused for want
                                      of room */
    PhTime claim_after; /* wait after which a task claims a worker; 0: never */
    /* Earlier owners; borrowed as long as the scheduler exists.  NULL: they
     * are unknown. */
    const PhPredecessors *predecessors;
} PhSchedulerOptions;

typedef enum PhSchedActionTag {
    PH_SCHED_ACTION_HOLD, /* renew leases and query runs and ends */
    PH_SCHED_ACTION_START,
    PH_SCHED_ACTION_STOP,
    PH_SCHED_ACTION_PACE,
} PhSchedActionTag;

/* An order concerning one run. */
typedef struct PhSchedRunOrder {
    PhSchedTaskName task; /* borrowed */
    uint32_t run;
    int64_t deadline_ms; /* of the lease, on the worker's clock; starts only */
    PhStr payload;       /* borrowed; starts only */
    PhStr last_checkpoint; /* borrowed; starts only */
    bool long_running;     /* starts only */
    int percent;           /* pace only */
} PhSchedRunOrder;

/* An order to one incarnation of a worker.  Strings are borrowed from the
 * model and valid until it next changes. */
typedef struct PhSchedAction {
    PhSchedActionTag tag;
    PhStr worker;
    int64_t born_ms;
    PhStr address;
    bool bound;     /* sent only on a connection of that incarnation; see
                       bindings.h */
    PhTime timeout; /* the outcome is unknown without an answer by then, beside
                       the wait of a hold; 0: the longest one */
    union {
        struct {
            uint64_t last_seen;  /* newest end that is acknowledged */
            int64_t deadline_ms; /* of the lease, on the worker's clock; 0: no
                                    lease, query only */
            PhTime wait;         /* the worker waits this long for an end */
        } hold;
        PhSchedRunOrder run; /* of START, STOP and PACE */
    } as;
} PhSchedAction;

typedef enum PhSchedOutcome {
    PH_SCHED_OUTCOME_DONE,
    PH_SCHED_OUTCOME_FENCED,    /* the worker has accepted a higher fence */
    PH_SCHED_OUTCOME_STALE_RUN, /* this run or a later one was stopped or ended
                                 */
    PH_SCHED_OUTCOME_DEADLINE_PASSED, /* the deadline had passed */
    PH_SCHED_OUTCOME_NO_CAPACITY,
    PH_SCHED_OUTCOME_REFUSED, /* not executed: the worker is unhealthy */
    PH_SCHED_OUTCOME_OTHER_INCARNATION, /* not executed: another incarnation */
    PH_SCHED_OUTCOME_NOT_SENT,          /* no byte was sent */
    PH_SCHED_OUTCOME_UNKNOWN, /* may have been executed, or may yet be */
    PH_SCHED_OUTCOME_UNBOUND, /* not sent: the worker closes its connections,
                                 so that none is known to be its own */
    PH_SCHED_OUTCOME_COUNT,
} PhSchedOutcome;

/* A run that a worker reports. */
typedef struct PhSchedRunRow {
    PhSchedTaskName task;
    uint32_t run;
    PhStr last_checkpoint;
    int percent;
    /* Tail latency in ms of a serving task, else milli-cores in use; -1 for
     * none. */
    int64_t usage_sample;
} PhSchedRunRow;

/* An ended run that a worker reports. */
typedef struct PhSchedEndRow {
    uint64_t number;
    PhSchedTaskName task;
    uint32_t run;
    PhSchedEndKind kind;
    PhStr last_checkpoint;
} PhSchedEndRow;

/* The reply to a hold.  Runs and ends are set only if the outcome is DONE. */
typedef struct PhSchedHoldReply {
    PhSchedOutcome outcome;
    int64_t clock_ms;    /* the worker's clock */
    int64_t born_ms;     /* incarnation that answered; 0: not stated */
    PhTime connected_at; /* its connection was established; 0: early enough
                            to be that of the incarnation addressed */
    PhSchedRunRow *runs;
    size_t run_count;
    PhSchedEndRow *ends;
    size_t end_count;
    bool more;      /* runs or ends may be missing from the lists */
    PhTime silence; /* the hold has waited so long behind queries without an
                       answer */
} PhSchedHoldReply;

/* The outcome of a start or a stop. */
typedef struct PhSchedRunReply {
    PhSchedTaskName task;
    uint32_t run;
    int64_t born_ms; /* incarnation that the order was meant for */
    PhSchedOutcome outcome;
    int64_t clock_ms;    /* the worker's clock */
    PhTime connected_at; /* as in PhSchedHoldReply */
    bool late; /* the outcome was reported as unknown before; it is an answer
                  to one of the starts or stops of this run */
    bool relayed; /* another instance sent it, and `connected_at` is not
                     known */
    PhTime at_dispatcher; /* relayed: time that the other instance took */
    PhTime silence; /* time until the worker was found not to answer, here or
                       at a dispatcher; 0: it was not */
} PhSchedRunReply;

/* Changes that are reported to the log. */
typedef enum PhSchedEventTag {
    PH_SCHED_EVENT_RUN_ENDED,        /* the end of a run was applied */
    PH_SCHED_EVENT_JOB_ENDED,        /* the final state of a job is durable */
    PH_SCHED_EVENT_WORKER_SUSPENDED, /* a worker does not answer: no more
                                        leases */
    PH_SCHED_EVENT_WORKER_RESUMED,   /* a suspended worker answers again */
    PH_SCHED_EVENT_BOUND_MOVED, /* more has become known of the leases of a
                                   suspended worker */
    PH_SCHED_EVENT_WORKER_LOST, /* a worker's leases expired, or it restarted
                                 */
    PH_SCHED_EVENT_WORKER_REMOVED,  /* a dead worker was removed from the model
                                     */
    PH_SCHED_EVENT_RUN_RELEASED,    /* a run is over without a reported end */
    PH_SCHED_EVENT_START_WITHDRAWN, /* an assigned task must not start any more
                                     */
    PH_SCHED_EVENT_TASK_WAITS, /* a task that is to last has waited for long */
    PH_SCHED_EVENT_RUN_RESUMED, /* one that had run before runs again */
    PH_SCHED_EVENT_OVERLOAD,    /* tasks begin or cease to wait for order
                                   capacity */
    PH_SCHED_EVENT_TASK_HELD,   /* a task that may run has had no run for long
                                 */
    PH_SCHED_EVENT_ROOM,        /* long-running jobs are refused for want of
                                   room from now on, or no longer */
    PH_SCHED_EVENT_CLAIM,       /* a task has claimed a worker */
} PhSchedEventTag;

/* Why the start of an assigned task must not be sent. */
typedef enum PhStartObstacle {
    PH_START_ALLOWED,
    PH_START_JOB_ENDED,
    PH_START_WORKER_LEAVES,
    PH_START_WORKER_CORDONED,   /* its data centre is */
    PH_START_WORKER_UNSUITABLE, /* of another service, or without the label */
    PH_START_WORKER_SILENT,     /* no start was sent, and it does not answer */
    PH_START_UNANSWERED,        /* several starts in a row had no answer */
} PhStartObstacle;

/* Evidence that a run is over although no end of it was reported. */
typedef enum PhSchedRelease {
    PH_SCHED_RELEASE_NOT_SENT, /* no start was sent */
    PH_SCHED_RELEASE_REFUSED,  /* the worker did not execute the start */
    PH_SCHED_RELEASE_MISSING,  /* the worker does not report the run */
    PH_SCHED_RELEASE_LOST,     /* the worker's leases have expired */
    PH_SCHED_RELEASE_REPLACED, /* a later incarnation of the worker answered */
} PhSchedRelease;

/* Whether a task may start on a worker, or what comes first of all that
 * forbids it. */
typedef enum PhFit {
    PH_FIT_YES,
    PH_FIT_SILENT, /* its entry is not known, or it does not answer */
    PH_FIT_LEAVES,
    PH_FIT_CORDONED, /* its data centre is */
    PH_FIT_COOLDOWN, /* it has refused a start, or not answered one */
    PH_FIT_DOUBTED,  /* runs have failed there in a row */
    PH_FIT_SERVICE,  /* of another service, or without the label */
    PH_FIT_MEMORY,
    PH_FIT_GPU,
    PH_FIT_CPU,
    PH_FIT_BLOCKED, /* a serving task stays over its target */
    PH_FIT_LIMIT,   /* as many tasks of the step are there as may be */
    PH_FIT_CLAIMED, /* its room is claimed for another task */
    PH_FIT_COST,    /* it would disturb serving tasks too much */
    PH_FIT_COUNT,
} PhFit;

/* What a task that may run waits for. */
typedef enum PhTaskHold {
    PH_TASK_HOLD_NONE,   /* it runs, or its turn has not come */
    PH_TASK_HOLD_WORKER, /* a worker with room, or order capacity */
    PH_TASK_HOLD_RECORD, /* the record of its start, which is to be durable */
    PH_TASK_HOLD_START,  /* its start is queued, or has no outcome yet */
    PH_TASK_HOLD_STOP,   /* a stop of its run */
    PH_TASK_HOLD_LEASE,  /* the leases of a worker that does not answer */
    PH_TASK_HOLD_REPORT, /* a report of its run, from a worker that answers */
    PH_TASK_HOLD_COUNT,
} PhTaskHold;

/* Strings are borrowed until the model next changes. */
typedef struct PhSchedEvent {
    PhSchedEventTag tag;
    const PhSchedWorker *worker; /* NULL for JOB_ENDED, TASK_WAITS, OVERLOAD,
                                    ROOM and a held task without a worker */
    union {
        struct {
            PhSchedTaskName task;
            uint32_t run;
            PhSchedEndKind kind;
            PhTime run_time;
            uint32_t failures;
            bool long_running;
        } ended;
        struct {
            PhSchedTaskName task;
            uint32_t run;
            PhSchedRelease reason;
            PhTime unanswered;  /* age of the newest start without an answer,
                                   -1 for none */
            PhTime lease_left;  /* of the worker's leases, as far as granted by
                                   this owner */
            bool start_unbound; /* a later incarnation may have executed a
                                   start of the run */
        } released;
        struct {
            PhSchedTaskName task;
            uint32_t run;
            PhStartObstacle obstacle;
            PhTime unanswered; /* as for `released` */
        } withdrawn;
        struct {
            PhSchedTaskName task;
            uint32_t run;
            PhTime gap; /* without a run, as far as this owner knows */
        } resumed;
        const PhSchedJob *over;
        struct {
            PhTime lease_left; /* longest time that a lease may still last */
            PhLeaseEvidence evidence;
        } suspended;
        struct {
            PhTime lease_left;
            PhTime moved; /* negative: they expire earlier than was known */
            PhLeaseEvidence evidence;
        } bound_moved;
        struct {
            guint runs;
            PhTime suspended; /* duration, -1 if it was not suspended */
            PhLeaseEvidence evidence;
        } lost;
        struct {
            PhSchedTaskName task;
            uint32_t run; /* the last one */
            uint32_t failures;
            PhTime waited;
            uint32_t long_waits;  /* of all tasks that are to last */
            uint32_t interrupted; /* of these, tasks that have run before */
            PhSchedResources resources;
            uint32_t workers[PH_FIT_COUNT];
            uint32_t beside_lasting; /* usable workers that would have room if
                                        only lasting tasks were there */
        } waits;
        struct {
            bool began;
            uint32_t limit; /* starts that may be outstanding */
            uint32_t outstanding;
            PhTime delay;     /* of starts, smoothed */
            uint32_t backlog; /* waiting tasks */
            PhTime wait;      /* expected, of the last of them */
        } overload;
        struct {
            PhStr service;
            bool closed;
            double capacity; /* all in milli-cores */
            double lasting;
            double reserve;
        } room;
        struct {
            PhSchedTaskName task;
            uint32_t run; /* the last one */
            bool long_running;
            PhTime held;
            PhTaskHold hold;
            PhLeaseBound lease;             /* LEASE: when it ends */
            uint32_t workers[PH_FIT_COUNT]; /* WORKER */
            bool order_room; /* WORKER: the order path takes its start */
            uint32_t holds[PH_TASK_HOLD_COUNT]; /* all tasks held for long */
        } held;
        struct {
            PhSchedTaskName task;
            uint32_t run; /* the last one */
            PhTime waited;
            PhTime due_in;   /* the task is expected to fit then */
            uint32_t claims; /* in force, with this one */
            uint32_t made;   /* since the last one that was to be logged */
            bool logged;     /* to be logged: one a second is */
        } claim;
    } as;
} PhSchedEvent;

PhScheduler *PhScheduler_Create(const PhSchedulerOptions *options);
void PhScheduler_Destroy(PhScheduler *scheduler);
PhSchedModel *PhScheduler_Model(PhScheduler *scheduler);

/* Applies a record that was read from the store; see PhSchedModel_Apply.
 * Returns CONFLICT for a record that only owners write while this is the
 * owner, whose state is newer. */
PhStatus PhScheduler_Apply(PhScheduler *scheduler, PhSchedRecord *record,
                           PhTime now);
/* Starts ownership under a fence that no earlier owner had.  The model must
 * contain every record that an earlier owner has written.  0 ends the
 * ownership: the model is ahead of the records and drops all of them, to be
 * read again. */
void PhScheduler_SetFence(PhScheduler *scheduler, uint64_t fence, PhTime now);
/* The ownership was last confirmed at `at`, and ends at `owned_until` without
 * another confirmation; no lease lasts longer.  Without a call, no decision
 * depends on it. */
void PhScheduler_Confirm(PhScheduler *scheduler, PhTime at,
                         PhTime owned_until);
/* Before a release: no new starts, holds do not wait, and what a successor
 * needs is recorded.  Workers that leave are listened to for 0.15 s more at
 * most; what others report is left to the next owner, whom they tell again. */
void PhScheduler_Quiesce(PhScheduler *scheduler, PhTime now);
/* Reports whether all that was noted is durable. */
bool PhScheduler_IsHandedOver(const PhScheduler *scheduler);

/* Makes the decisions that are due.  `wall_ms` is Unix time, for jobs with
 * start times. */
void PhScheduler_Plan(PhScheduler *scheduler, PhTime now, int64_t wall_ms);
/* Takes the next action; false when there is none. */
bool PhScheduler_NextAction(PhScheduler *scheduler, PhTime now,
                            PhSchedAction *action);
/* Time of the next decision if no event comes earlier. */
PhTime PhScheduler_Due(const PhScheduler *scheduler);

/* Removes dead incarnations of workers from the model. */
void PhScheduler_RemoveDeadWorkers(PhScheduler *scheduler);

typedef enum PhAdmissionTag {
    PH_ADMISSION_ACCEPTED,
    PH_ADMISSION_ORDERS,   /* its tasks would wait too long for order capacity
                            */
    PH_ADMISSION_ROOM,     /* it would hold room that urgent jobs need */
    PH_ADMISSION_TOO_LATE, /* it would end too late to be of value */
    PH_ADMISSION_TASKS,    /* the jobs that have not ended have too many tasks
                            */
} PhAdmissionTag;

/* What decided on a submission, and when a refused one may return. */
typedef struct PhAdmission {
    PhAdmissionTag tag;
    PhTime retry_after; /* unless it is accepted */
    union {
        struct {
            double capacity; /* all in milli-cores */
            double lasting;  /* held by long-running tasks */
            double reserve;  /* left for urgent jobs */
            double need;
        } room;
        struct {
            PhTime wait;  /* expected, for room */
            PhTime rest;  /* critical path */
            PhTime limit; /* latest end with value */
        } late;
        uint64_t active_tasks;
    } as;
} PhAdmission;

/* The limit from the settings: `active_tasks`, or fewer if they take more than
 * an eighth of the memory, but at least the tasks of one job; 0 tasks: no
 * limit, 0 bytes: not known. */
uint64_t PhScheduler_ActiveTasksMax(uint64_t active_tasks, uint64_t memory);
/* Tasks of submissions that were admitted and are not in the model yet. */
void PhScheduler_SetPendingTasks(PhScheduler *scheduler, uint64_t count);

/* Decides on a new submission.  Jobs whose tasks would wait too long for order
 * capacity are refused, unless they have tasks that are to last: these go
 * first.  With `room_reserve_percent`, long-running jobs leave room for urgent
 * ones, and jobs that would end too late are refused.  Accepts everything
 * but what exceeds the limit of tasks unless this is the owner. */
PhAdmission PhScheduler_Admit(PhScheduler *scheduler, const PhSchedSpec *spec,
                              PhTime now);
/* Refuses a submission if it and all jobs that have not ended have more tasks
 * than the limit.  Part of the decision above; for an instance that is not the
 * owner and has read the jobs recently it is the whole of it. */
PhAdmission PhScheduler_AdmitTasks(const PhScheduler *scheduler,
                                   const PhSchedSpec *spec);
/* Reports whether long-running jobs of all services are refused for want of
 * room. */
bool PhScheduler_IsLastingClosed(const PhScheduler *scheduler, PhTime now);
/* The previous owner refused long-running jobs: so does this one until it has
 * an estimate of its own. */
void PhScheduler_InheritLastingClosed(PhScheduler *scheduler, PhTime now);
/* The limit of outstanding starts, for metrics. */
typedef struct PhOrderLoad {
    uint32_t limit;
    uint32_t outstanding;
    uint32_t backlog; /* overload: tasks without a run */
    PhTime delay;     /* of starts, smoothed */
} PhOrderLoad;

/* Reports whether other instances should send the starts of this owner. */
bool PhScheduler_IsPressed(const PhScheduler *scheduler, PhTime now);
/* Whether other instances send the starts that are taken from now on. */
void PhScheduler_SetRelays(PhScheduler *scheduler, bool usable);
PhOrderLoad PhScheduler_OrderLoad(const PhScheduler *scheduler);

/* Events since the last call of PhScheduler_ClearEvents. */
const PhSchedEvent *PhScheduler_Events(const PhScheduler *scheduler,
                                       size_t *count);
void PhScheduler_ClearEvents(PhScheduler *scheduler);

/* Closes the open batch and appends a PhSchedRecord for everything that
 * changed.  Returns the number of the batch, or 0 if nothing changed. */
uint64_t PhScheduler_TakeBatch(PhScheduler *scheduler, GArray *records);
/* The records up to this batch are durable: the job states in them become
 * visible to clients, and the run ends in them are acknowledged to the
 * workers. */
void PhScheduler_OnDurable(PhScheduler *scheduler, uint64_t batch);

/* Outcomes of orders.  Return false if another owner has a higher fence. */
bool PhScheduler_OnHold(PhScheduler *scheduler, PhStr worker, int64_t born_ms,
                        const PhSchedHoldReply *reply, PhTime now);
/* The reply to a hold whose outcome was given as unknown.  What the worker has
 * stated then still counts. */
bool PhScheduler_OnLateHold(PhScheduler *scheduler, PhStr worker,
                            int64_t born_ms, const PhSchedHoldReply *reply,
                            PhTime now);
/* The reply to a query that was sent for a bound order. */
bool PhScheduler_OnQuery(PhScheduler *scheduler, PhStr worker, int64_t born_ms,
                         const PhSchedHoldReply *reply, PhTime now);
/* Ends that a worker has listed to a dispatcher, which had sent it a query. */
void PhScheduler_OnRelayedEnds(PhScheduler *scheduler, PhStr worker,
                               int64_t born_ms, PhSchedEndRow *ends,
                               size_t end_count, PhTime now);
bool PhScheduler_OnStart(PhScheduler *scheduler, const PhSchedRunReply *reply,
                         PhTime now);
bool PhScheduler_OnStop(PhScheduler *scheduler, const PhSchedRunReply *reply,
                        PhTime now);
bool PhScheduler_OnPace(PhScheduler *scheduler, const PhSchedTaskName *name,
                        uint32_t run, PhSchedOutcome outcome, PhTime now);

/* Changes of the list of workers: a new or changed entry, which is taken over,
 * or a removed one.  An entry is deleted when its worker leaves, and once it
 * has not been written for three report intervals. */
void PhScheduler_SetWorker(PhScheduler *scheduler, PhSchedWorkerEntry *entry,
                           PhTime now);
void PhScheduler_RemoveWorker(PhScheduler *scheduler, PhStr id,
                              PhWorkerRemoval removal, PhTime now);
/* Cordons a data centre or ends that.  Its workers get no starts meanwhile:
 * those that were not sent are withdrawn.  What runs there goes on, and is
 * still renewed, paced and stopped. */
void PhScheduler_SetCordon(PhScheduler *scheduler, PhStr data_centre,
                           bool cordoned, PhTime now);

#endif
