/* The scheduling state that every instance rebuilds from the store: jobs with
 * their rounds, stages and tasks, and worker incarnations with the tasks
 * placed on them.  Only the owner changes it by its own decisions.
 */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_MODEL_H
#define PERIDOTHILL_DECIDE_SCHEDULE_MODEL_H

#include "peridothill/decide/schedule/load.h"
#include "peridothill/decide/schedule/queue.h"

typedef enum PhSchedJobState {
    PH_SCHED_JOB_QUEUED, /* no worker has reported the start of a task */
    PH_SCHED_JOB_RUNNING,
    PH_SCHED_JOB_COMPLETED,
    PH_SCHED_JOB_FAILED,
    PH_SCHED_JOB_CANCELLED,
} PhSchedJobState;

typedef enum PhSchedTaskState {
    PH_SCHED_TASK_WAITING,
    PH_SCHED_TASK_ASSIGNED, /* start recorded, not confirmed by the worker */
    PH_SCHED_TASK_RUNNING,  /* confirmed or reported by the worker */
    PH_SCHED_TASK_DONE,
} PhSchedTaskState;

typedef enum PhSchedEndKind {
    PH_SCHED_END_DONE,
    PH_SCHED_END_FAILED,          /* counts as an attempt */
    PH_SCHED_END_STOPPED,         /* on the owner's order */
    PH_SCHED_END_LEASE_EXPIRED,   /* its lease expired */
    PH_SCHED_END_GANG_BROKEN,     /* another member of its gang ended */
    PH_SCHED_END_GANG_INCOMPLETE, /* the other members of its gang never
                                     started */
} PhSchedEndKind;

typedef struct PhSchedJob PhSchedJob;
typedef struct PhSchedStage PhSchedStage;
typedef struct PhSchedWorker PhSchedWorker;

enum {
    PH_SCHED_FAILED_ON_MAX = 3, /* workers remembered of a stage */
};

/* Value of percent_sent while the pace at the worker is not known. */
enum {
    PH_SCHED_PACE_UNKNOWN = -1,
};

/* A task of a stage.  Each start has a run number; `run` is that of the newest
 * start, 0 before the first. */
typedef struct PhSchedTask {
    PhSchedStage *stage;
    uint32_t index;
    PhSchedTaskState state;
    uint32_t run;
    uint32_t failures;
    PhSchedWorker *worker;   /* of the newest run, NULL unless placed */
    PhSchedWorker *reserved; /* its resources are reserved there for the
                                next run, NULL: nowhere */
    PhTime reserved_until;
    PhStr last_checkpoint;      /* newest checkpoint, empty for none */
    PhTime since;               /* last change of the state */
    PhTime confirmed_at;        /* the worker last confirmed the run */
    PhTime ran_until;           /* end of the run before, 0: unknown */
    int64_t confirmed_clock_ms; /* worker's clock at that time */
    uint64_t
        batch; /* batch of records that must be durable before the start */
    uint64_t fence;  /* of the owner that placed it; 0 for an earlier owner */
    PhTime retry_at; /* earliest time of the next start or stop */
    unsigned starts_sent;       /* start orders of this run */
    PhTime start_sent_at;       /* newest start order of this run */
    PhTime unanswered_start_at; /* newest one without an answer, 0 for none */
    bool start_in_flight;
    bool start_unbound;        /* a start of this run was sent on any
                                  connection */
    bool start_unconfirmed;    /* a start of this run may still take effect */
    PhTime start_connected_at; /* newest connection that carried a start of
                                  this run, 0 for none */
    bool stopping;             /* a stop is queued or has been sent */
    bool stop_in_flight;
    PhTime stop_sent_at; /* first stop order of this run, 0: none */
    int percent;         /* pace: share of full speed */
    int percent_sent;    /* pace last sent to the worker */
    PhTime pace_sent_at;
    PhTime late_pace_until; /* an unanswered pace may take effect until then */
    uint32_t paces_in_flight;
    bool pace_overtakable; /* an earlier one may take effect after that pace */
    const PhSchedWorker *failed_on; /* worker of the last failed run; only
                                       compared, never dereferenced */
    double load_error; /* serving task, newest sample: load less prediction */
    PhTime draining_until; /* an overloaded queue drains until then: its tail
                              latency says nothing about the load */
    /* Newest sample: tail latency in ms of a serving task, else milli-cores in
     * use. */
    int64_t usage_sample;
    PhTime usage_sampled_at;
    PhTime over_target_since;   /* tail latency exceeds the target; 0: no */
    PhTime within_target_since; /* 0: the newest sample exceeded the target */
    PhTime stalled_since;       /* pace is near zero; 0: no */
} PhSchedTask;

/* How far workers on which runs have failed are trusted with tasks. */
typedef enum PhTrust {
    PH_TRUST_NORMAL,       /* none for a while, then one from time to time */
    PH_TRUST_SPARE_ROOM,   /* under half of the capacity is in use */
    PH_TRUST_MOST_DOUBTED, /* runs have failed on most workers: more likely the
                              tasks are at fault */
} PhTrust;

/* A step within one round of a job. */
struct PhSchedStage {
    PhSchedJob *job;
    uint32_t round;
    uint32_t number;
    PhSchedTask *tasks; /* as many as the step's count */
    uint32_t waiting;
    uint32_t placed; /* assigned or running */
    uint32_t done;
    PhTime longest_run; /* of its tasks, from confirmation to end */
    PhSchedLoad *load;  /* base load of each serving task, NULL before the
                           first sample; owned */
    /* Workers on which runs have failed; only compared, never dereferenced. */
    const PhSchedWorker *failed_on[PH_SCHED_FAILED_ON_MAX];
    uint32_t failed_on_count;
    PhTrust trust;           /* at the newest placement */
    bool dirty;              /* differs from its last record */
    uint32_t recorded_parts; /* a bit for each part, see record.h: its newest
                                record describes it */
    PhSchedWorker *claimed;  /* its waiting tasks have claimed that worker,
                                NULL: none */
    const PhSchedWorker *claim_failed_on; /* did not get free in time; only
                                             compared, never dereferenced */
    PhTime claim_retry_at; /* no claim before: its tasks would fit nowhere */
};

typedef struct PhSchedRound {
    PhSchedStage *stages; /* as many as the job has steps */
    uint32_t done;        /* stages of which all tasks are done */
} PhSchedRound;

struct PhSchedJob {
    PhSchedSpec spec;
    PhSchedJobState state;
    PhSchedJobState durable_state; /* in the store; the one clients see */
    uint64_t batch;                /* batch that records `state` */
    PhTime accepted_at;            /* on this instance's clock */
    PhSchedRound *rounds;
    uint32_t round_count;
    uint32_t rounds_due; /* rounds whose start time has passed */
    uint32_t rounds_done;
    uint32_t tasks_placed;
    uint32_t starts;          /* by this owner */
    uint32_t failures;        /* of runs, seen by this owner */
    PhTime first_start_at;    /* recorded by this owner, 0 for none */
    PhTime max_wait;          /* longest wait of a ready task */
    PhTime run_time;          /* sum of the longest run of each stage */
    bool cancel;              /* cancelled by a client */
    bool dirty;               /* the state differs from its last record */
    bool awaiting_durability; /* a record of the state is not durable yet */
};

/* What a worker advertises about itself.  Strings are owned. */
typedef struct PhSchedWorkerEntry {
    PhStr id;
    int64_t born_ms; /* start of this incarnation, Unix time */
    PhStr address;
    PhStr data_centre;
    PhStr service;
    PhStr labels; /* separated and enclosed by commas */
    PhStr rack;
    PhSchedResources capacity;
    bool draining;
    PhTime remaining;     /* shortest time until a draining worker leaves */
    PhTime written_after; /* the entry was written after this, 0: unknown */
} PhSchedWorkerEntry;

/* CPU use of the backfill tasks of one image, as shares of the worker's CPU.
 */
typedef struct PhSchedBackfillUse {
    uint32_t image;
    double share;           /* newest sample */
    double full_pace_share; /* declared, at full pace */
    uint32_t tasks;
    int percent; /* pace of the image on this worker */
} PhSchedBackfillUse;

/* Predicted load of a serving task. */
typedef struct PhSchedServing {
    uint32_t image;
    double base_load;     /* peak from its own users in the next seconds */
    double backfill_load; /* added by the backfill tasks beside it, at full
                             pace */
    double sensitivity;   /* mean interference factor of the backfill images
                             seen beside its image */
} PhSchedServing;

enum {
    PH_SCHED_IMAGES_MAX = 64, /* distinguished; further ones share number 0 */
    PH_SCHED_CANCELLED_MAX = 65536, /* ids without a job, of a generation */
};

/* What shows when the last lease of a worker ends. */
typedef enum PhLeaseEvidence {
    PH_LEASE_EVIDENCE_GRANTS, /* the worker has answered this owner, whose
                                 grants are known */
    PH_LEASE_EVIDENCE_RECORD, /* an owner has recorded it */
    PH_LEASE_EVIDENCE_EARLIER_OWNERS, /* the last possible order of any earlier
                                         owner */
    PH_LEASE_EVIDENCE_EARLIER_INCARNATION, /* the last possible order meant for
                                              an earlier incarnation */
    PH_LEASE_EVIDENCE_LEFT, /* the worker deleted its entry when it left */
} PhLeaseEvidence;

/* Upper bound of the time at which the last lease of a worker ends. */
typedef struct PhLeaseBound {
    PhTime until;
    PhLeaseEvidence evidence;
} PhLeaseBound;

/* Failed runs of one stage on a worker. */
typedef struct PhSchedFailure {
    const PhSchedStage *stage;
    uint32_t runs;
} PhSchedFailure;

/* A claim on a worker by the waiting tasks of a stage, see claims.h. */
typedef struct PhSchedClaim {
    PhSchedStage *stage; /* NULL: the worker is not claimed */
    PhTime until;
    PhTime promised; /* one of the tasks is expected to fit from then on; never
                        later than it was expected before */
    PhSchedResources spare; /* what others may take beyond that time; what they
                               have taken is not given back */
} PhSchedClaim;

/* One incarnation of a worker. */
struct PhSchedWorker {
    PhSchedWorkerEntry entry;
    bool listed;       /* its entry is in the list of workers */
    bool entry_copied; /* its own has not been read yet: this is that of the
                          incarnation before, which may be of another kind */
    bool leaving;      /* it has announced that it leaves */
    PhTime leaving_at; /* the record of that was read, 0 for none */
    PhTime leaves_by;  /* earliest time at which a draining worker leaves */
    PhTime left_at;    /* it has left, and ended everything it ran; 0: no */
    PhTime evacuation_due; /* no attempt to move its tasks before */
    bool fenced;           /* it has accepted this owner's fence */
    bool suspended;        /* unreachable; recorded, and no lease is granted */
    bool dirty;            /* `suspended` differs from its last record */
    uint64_t grant_batch;  /* batch that must be durable before a lease */
    PhTime suspended_at;   /* the first record of that was read or written */
    PhTime bound_at;       /* the newest one was */
    /* All leases end this long after bound_at; 0: unknown. */
    PhTime lease_expiry_bound;
    bool bound_inherited;  /* by orders meant for an earlier incarnation */
    PhTime reported_until; /* suspended: its leases expire then, as last
                              reported by this owner; 0: it has not */
    bool unbound;  /* it closes its connections, so that orders to it may reach
                      a later incarnation; recorded */
    bool dead;     /* replaced by another incarnation, or its leases expired */
    bool cordoned; /* its data centre is: it gets no starts */
    PhLeaseBound leases;            /* by this owner's clock */
    PhTime inherited_leases_end_by; /* of orders meant for an earlier
                                       incarnation */
    PhTime answered_at;             /* newest answer to a hold, 0: none */
    PhTime heard_at;           /* newest answer to any order of this owner, 0:
                                  none */
    PhTime answered_other_at;  /* the same without the holds that were due:
                                  queries, late answers, starts, stops */
    uint32_t unanswered_holds; /* in a row */
    PhTime hold_failed_at;     /* the newest one without an answer, 0: none */
    PhTime failing_since;      /* the first one since heard_at, 0: none */
    PhTime cooldown_until;     /* no starts before */
    GArray *failures;          /* PhSchedFailure: runs that failed in a row */
    PhTime failing_from;       /* the first of them began */
    PhTime failed_at;          /* the newest ended, 0: none has */
    PhTime doubted_at;         /* they began to speak against the worker */
    PhTime started_at;         /* newest start by this owner */
    int64_t clock_ms;          /* newest reading of its clock */
    PhTime clock_at;
    bool hold_in_flight;
    PhTime hold_sent_at;
    PhTime hold_due_at;   /* its wait is over */
    PhTime alive_at;      /* this incarnation is known to have run then */
    PhTime granted_at;    /* the newest lease was, with its first order */
    int64_t lease_end_ms; /* its end on the worker's clock, 0: none */
    PhTime renewed_at;    /* the newest lease whose order was answered was
                             granted, 0: none */
    PhTime hold_lease_at; /* that of the hold in flight was granted, 0: it has
                             none */
    PhTime next_hold_at;
    uint64_t last_end_seen;  /* newest end that was applied */
    uint64_t last_end_acked; /* newest end that may be acknowledged */
    uint64_t acks_in_flight; /* newest end that a hold acknowledges, 0: none */
    uint64_t acks_answered;  /* newest end that the worker has forgotten */
    uint64_t last_end_batch; /* batch that records last_end_seen */
    bool ends_blocked;       /* it reports the end of an unknown job */
    GPtrArray *tasks;        /* PhSchedTask, not owned */
    PhSchedResources used;   /* declared, without the CPU of backfill tasks */
    int64_t backfill_cpu_milli; /* declared by backfill tasks */
    int64_t serving_cpu_milli;  /* declared by serving tasks */
    int64_t shared_cpu_milli; /* estimated use of serving and backfill tasks */
    GArray *backfill_use;     /* PhSchedBackfillUse at the newest sample */
    PhTime learned_at;        /* newest sample that was learned from */
    PhTime backfill_blocked_until; /* no new backfill tasks: a serving task
                                 stays over its target */
    GArray *serving;               /* PhSchedServing of its serving tasks */
    PhSchedClaim claim;
};

typedef struct PhSchedModel {
    GHashTable *jobs;        /* PhSchedJob by id */
    GHashTable *workers;     /* newest incarnation of each by id */
    GPtrArray *incarnations; /* every PhSchedWorker, owned */
    GPtrArray *active;       /* PhSchedJob that have not ended, not owned */
    uint64_t active_tasks;   /* of these, in all their rounds */
    GHashTable *images;      /* number of each image, from 1 */
    GHashTable *deferred;  /* GQueue of the records of each unknown job, by its
                              id; see record.h */
    guint deferred_count;  /* of those records */
    GHashTable *cancelled; /* set of ids that were cancelled while their jobs
                              were not known */
    GHashTable *old_cancelled; /* the generation before */
    PhSchedConfig *config;
    GHashTable *cordons; /* set of the data centres that are cordoned */
} PhSchedModel;

/* Identifies a task in orders and in lists of runs. */
typedef struct PhSchedTaskName {
    PhStr job;
    uint32_t round;
    uint32_t step;
    uint32_t index;
} PhSchedTaskName;

PhSchedModel *PhSchedModel_Create(void);
void PhSchedModel_Destroy(PhSchedModel *model);
/* Returns 0 for an empty image and for those beyond PH_SCHED_IMAGES_MAX. */
uint32_t PhSchedModel_ImageNumber(PhSchedModel *model, PhStr image);
/* Adds a job and takes over the specification.  If the id is known, returns
 * the existing job and releases the specification. */
PhSchedJob *PhSchedModel_AddJob(PhSchedModel *model, PhSchedSpec *spec,
                                PhTime now);
/* Cancels a job, also one that is added later.  Of ids that are never added,
 * at least the last PH_SCHED_CANCELLED_MAX are remembered. */
void PhSchedModel_Cancel(PhSchedModel *model, PhStr id);
/* Returns NULL for an unknown job. */
PhSchedJob *PhSchedModel_Job(const PhSchedModel *model, PhStr id);
/* Drops everything that came from records, which are to be read again: all
 * jobs, the placements, and whether workers are suspended, leaving or dead.
 * The entries of workers stay. */
void PhSchedModel_ClearRecords(PhSchedModel *model);
/* Returns NULL if the job or the task is unknown. */
PhSchedTask *PhSchedModel_Task(const PhSchedModel *model,
                               const PhSchedTaskName *name);
/* The job id is borrowed from the job. */
PhSchedTaskName PhSchedTask_Name(const PhSchedTask *task);
bool PhSchedTaskName_Equal(const PhSchedTaskName *a, const PhSchedTaskName *b);
const PhSchedStep *PhSchedTask_Step(const PhSchedTask *task);
/* Creates the stages of the rounds below `count`. */
void PhSchedJob_OpenRounds(PhSchedJob *job, uint32_t count);
/* Returns NULL for a round that is not open or a step that does not exist. */
PhSchedStage *PhSchedJob_Stage(const PhSchedJob *job, uint32_t round,
                               uint32_t step);
bool PhSchedJob_IsOver(const PhSchedJob *job);
/* A job that has ended is removed from the active jobs. */
void PhSchedModel_SetJobState(PhSchedModel *model, PhSchedJob *job,
                              PhSchedJobState state);
/* Reports whether all steps that the stage depends on are done. */
bool PhSchedStage_IsReady(const PhSchedStage *stage);
/* Serving tasks have a tail latency target. */
bool PhSchedStep_Serves(const PhSchedStep *step);

/* Finds the incarnation of a worker, or adds it; a later one becomes the
 * newest of its id. */
PhSchedWorker *PhSchedModel_Worker(PhSchedModel *model, PhStr id,
                                   int64_t born_ms);
/* Returns NULL for an unknown worker. */
PhSchedWorker *PhSchedModel_NewestIncarnation(const PhSchedModel *model,
                                              PhStr id);
bool PhSchedModel_IsNewest(const PhSchedModel *model,
                           const PhSchedWorker *worker);
/* Replaces the advertised entry; takes over its strings and empties it. */
void PhSchedModel_SetEntry(const PhSchedModel *model, PhSchedWorker *worker,
                           PhSchedWorkerEntry *entry);
/* Cordons a data centre or ends that, for all its workers, those that are
 * listed later too. */
void PhSchedModel_SetCordon(PhSchedModel *model, PhStr data_centre,
                            bool cordoned);
void PhSchedWorkerEntry_Clear(PhSchedWorkerEntry *entry);
/* Removes an incarnation without tasks by its index in `incarnations`; the
 * caller owns it.  The latest earlier incarnation becomes the newest of its
 * id. */
PhSchedWorker *PhSchedModel_DetachIncarnation(PhSchedModel *model,
                                              guint index);
void PhSchedWorker_Destroy(gpointer worker);

/* Assigns a waiting task to a worker, or releases a placed one into `state`
 * (WAITING or DONE); the counts of its stage and the resource accounting of
 * the worker follow. */
void PhSchedTask_Place(PhSchedTask *task, PhSchedWorker *worker);
void PhSchedTask_Unplace(PhSchedTask *task, PhSchedTaskState state);
/* Reserves the resources of a placed task on another worker, or ends that. */
void PhSchedTask_Reserve(PhSchedTask *task, PhSchedWorker *worker,
                         PhTime until);
void PhSchedTask_Unreserve(PhSchedTask *task);
/* Sets the pace that the worker is known to run the task at, or
 * PH_SCHED_PACE_UNKNOWN, with no order under way. */
void PhSchedTask_ResetPace(PhSchedTask *task, int percent_sent);

#endif
