/* What every instance knows of jobs and workers: jobs with their rounds,
 * stages and tasks, and lives of workers with what is placed on them.  The
 * model is rebuilt from the records of the store; only the owner adds to it.
 */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_MODEL_H
#define PERIDOTHILL_DECIDE_SCHEDULE_MODEL_H

#include "peridothill/decide/schedule/load.h"
#include "peridothill/decide/schedule/queue.h"

typedef enum PhSchedJobState {
    PH_SCHED_JOB_QUEUED, /* no task has started */
    PH_SCHED_JOB_RUNNING,
    PH_SCHED_JOB_COMPLETED,
    PH_SCHED_JOB_FAILED,
    PH_SCHED_JOB_CANCELLED,
} PhSchedJobState;

typedef enum PhSchedTaskState {
    PH_SCHED_TASK_WAITING,
    PH_SCHED_TASK_ASSIGNED, /* a start is recorded; no worker confirmed it */
    PH_SCHED_TASK_RUNNING,  /* the worker has listed or confirmed it */
    PH_SCHED_TASK_DONE,
} PhSchedTaskState;

/* How a run ended. */
typedef enum PhSchedEndKind {
    PH_SCHED_END_DONE,
    PH_SCHED_END_FAILED,  /* counts as an attempt */
    PH_SCHED_END_STOPPED, /* by an order */
    PH_SCHED_END_LAPSED,  /* its lease ran out */
    PH_SCHED_END_BROKEN,  /* another member of its gang ended */
    PH_SCHED_END_ALONE,   /* its gang did not come together */
} PhSchedEndKind;

typedef struct PhSchedJob PhSchedJob;
typedef struct PhSchedStage PhSchedStage;
typedef struct PhSchedWorker PhSchedWorker;

/* A task of a stage.  `run` is the number of its newest start, 0 before the
 * first. */
typedef struct PhSchedTask {
    PhSchedStage *stage;
    uint32_t index;
    PhSchedTaskState state;
    uint32_t run;
    uint32_t failures;
    PhSchedWorker *worker;      /* of the newest run, while it may be there */
    PhStr saved;                /* checkpoint, empty for none */
    PhTime since;               /* of the state */
    PhTime confirmed_at;        /* the worker answered the start */
    int64_t confirmed_clock_ms; /* the worker's clock then, milliseconds */
    uint64_t batch;         /* records that must be durable before the start */
    uint64_t fence;         /* of the owner that placed it; 0 if another did */
    PhTime retry_at;        /* next start or stop order, not before */
    bool start_in_flight;   /* a start is on its way */
    bool start_unconfirmed; /* a start of this run got no answer */
    bool stopping;          /* a stop was ordered or is due */
    bool stop_in_flight;    /* and is on its way */
    int percent;            /* share at which it works, as ordered */
    int percent_told;       /* and as the worker was told */
    const PhSchedWorker *failed_on; /* worker of the last failed run; only
                                       compared */
    double load_error;     /* of a serving task at the last look: its load less
                                  what was expected */
    PhTime draining_until; /* a queue that has built up drains until then */
    int64_t figure;        /* last rough figure: tail in ms of a serving task,
                              else thousandths of a core in use */
    PhTime figure_at;
    PhTime over_target_since;   /* the tail is over its target since then, 0 if
                                   not */
    PhTime within_target_since; /* no look said so since then, 0 if the last
                                   did */
    PhTime stalled_since;       /* slowed to little since then, 0 for not */
} PhSchedTask;

/* A step within one round of a job. */
struct PhSchedStage {
    PhSchedJob *job;
    uint32_t round;
    uint32_t number;
    PhSchedTask *tasks; /* as many as the step counts */
    uint32_t waiting;
    uint32_t placed; /* assigned or running */
    uint32_t done;
    PhTime longest_run; /* run of a task, from the worker's word to its end */
    PhSchedLoad *load; /* own load of each of its tasks, if they serve and were
                          looked at; owned */
    bool dirty;        /* differs from its last record */
};

typedef struct PhSchedRound {
    PhSchedStage *stages; /* as many as the job has steps */
    uint32_t done;        /* stages of which all tasks are done */
} PhSchedRound;

struct PhSchedJob {
    PhSchedSpec spec;
    PhSchedJobState state;
    PhSchedJobState durable_state; /* as the store has it; shown to clients */
    uint64_t batch;                /* records that `state` rests on */
    PhTime accepted_at;            /* on this instance's clock */
    PhSchedRound *rounds;
    uint32_t round_count;
    uint32_t rounds_due; /* rounds whose time has come */
    uint32_t rounds_done;
    uint32_t tasks_placed;
    uint32_t starts;          /* by this owner */
    uint32_t failures;        /* of runs, seen by this owner */
    PhTime first_start_at;    /* recorded by this owner, 0 for not */
    PhTime waited;            /* longest time that a ready task waited */
    PhTime ran;               /* the longest runs of its stages together */
    bool cancel;              /* a client has cancelled it */
    bool dirty;               /* the state differs from its last record */
    bool awaiting_durability; /* a record of the state is not durable yet */
};

/* A worker as its own entry tells of it.  Strings are owned. */
typedef struct PhSchedWorkerEntry {
    PhStr id;
    int64_t born_ms; /* start of this life, Unix time */
    PhStr address;
    PhStr data_centre;
    PhStr service;
    PhStr labels; /* separated and enclosed by commas */
    PhStr rack;
    PhSchedRoom capacity;
    bool draining;
} PhSchedWorkerEntry;

/* CPU that tasks of an image which fills use, as a share of the worker's. */
typedef struct PhSchedFillUse {
    uint32_t image;
    double share;           /* as last seen */
    double full_pace_share; /* if all worked at full pace */
    uint32_t tasks;
    int percent; /* pace of the image here */
} PhSchedFillUse;

/* A task that serves on a worker, and the load that it bears. */
typedef struct PhSchedServing {
    uint32_t image;
    double base_load;     /* load of its own within the next seconds */
    double backfill_load; /* added by all that fills there, at full pace */
    double sensitivity;   /* mean factor of the filling images on it */
} PhSchedServing;

enum {
    PH_SCHED_IMAGES_MAX = 64 /* told apart; further ones share number 0 */
};

/* One life of a worker. */
struct PhSchedWorker {
    PhSchedWorkerEntry entry;
    bool listed;       /* its entry stands in the list */
    bool leaving;      /* it has said that it is about to leave */
    PhTime leaving_at; /* the record of that was read then, 0 for not */
    bool fenced;       /* it has answered to this owner's fence */
    bool suspended;    /* it does not answer; it is recorded that no lease is
                          granted to it */
    bool dirty;        /* `suspended` differs from its last record */
    uint64_t grant_batch; /* records that must be durable before a lease */
    PhTime suspended_at;  /* the record was read or written then */
    PhTime lapse;         /* as recorded then, 0 for not known */
    bool dead; /* another life has its id, or its leases have lapsed */
    PhTime leases_end_by; /* every lease granted to it has ended by then */
    PhTime inherited_leases_end_by; /* and every lease by the clock of an
                                       earlier life */
    PhTime answered_at;
    PhTime failing_since;  /* first of the failures since the last answer */
    PhTime cooldown_until; /* no starts before */
    uint32_t consecutive_failures;
    int64_t clock_ms; /* newest reading of its clock */
    PhTime clock_at;
    bool hold_in_flight;     /* a hold is on its way */
    PhTime next_hold_at;     /* next hold, not before */
    uint64_t last_end_seen;  /* newest end taken in */
    uint64_t last_end_acked; /* newest end that may be acknowledged */
    uint64_t last_end_batch; /* records that `seen` rests on */
    bool ends_blocked;       /* it lists an end of a job that is not known */
    GPtrArray *tasks;        /* PhSchedTask, not owned */
    PhSchedRoom used;        /* declared by tasks that do not fill */
    int64_t backfill_cpu_milli; /* declared by tasks that fill */
    int64_t serving_cpu_milli;  /* declared by serving tasks */
    int64_t shared_cpu_milli;   /* CPU that serving and filling tasks use */
    GArray *fill_use;           /* PhSchedFillUse at the last look */
    PhTime learned_at;          /* last look that was learned from */
    PhTime fill_barred_until;   /* a serving task stays over its target */
    GArray *serving; /* PhSchedServing of the tasks that serve here */
};

/* All jobs and workers. */
typedef struct PhSchedModel {
    GHashTable *jobs;     /* PhSchedJob by id */
    GHashTable *workers;  /* newest life of each by id */
    GPtrArray *lives;     /* every PhSchedWorker, owned */
    GPtrArray *active;    /* PhSchedJob that are not over, not owned */
    GHashTable *images;   /* number of each image, from 1 */
    GHashTable *deferred; /* GQueue of the records of each job that is not
                          known yet, by its id; see record.h */
    guint deferred_count; /* of those records */
    PhSchedConfig *config;
} PhSchedModel;

/* A name of a task, as orders and lists of runs carry it. */
typedef struct PhSchedTaskName {
    PhStr job;
    uint32_t round;
    uint32_t step;
    uint32_t index;
} PhSchedTaskName;

PhSchedModel *PhSchedModel_Create(void);
void PhSchedModel_Destroy(PhSchedModel *model);
/* Gives the number of an image, 0 for none and for those past the bound. */
uint32_t PhSchedModel_ImageNumber(PhSchedModel *model, PhStr image);
/* Adds a job, taking over the specification; an id that is known gives the
 * job that has it and releases the specification. */
PhSchedJob *PhSchedModel_AddJob(PhSchedModel *model, PhSchedSpec *spec,
                                PhTime now);
PhSchedJob *PhSchedModel_Job(const PhSchedModel *model, PhStr id);
/* Forgets what records say of jobs and workers, which are to be read anew; the
 * entries of workers stay. */
void PhSchedModel_ClearRecords(PhSchedModel *model);
/* Finds a task of a known job, or NULL. */
PhSchedTask *PhSchedModel_Task(const PhSchedModel *model,
                               const PhSchedTaskName *name);
PhSchedTaskName PhSchedTask_Name(const PhSchedTask *task);
bool PhSchedTaskName_Equal(const PhSchedTaskName *a, const PhSchedTaskName *b);
const PhSchedStep *PhSchedTask_Step(const PhSchedTask *task);
/* Creates the rounds up to the number `count`. */
void PhSchedJob_OpenRounds(PhSchedJob *job, uint32_t count);
PhSchedStage *PhSchedJob_Stage(const PhSchedJob *job, uint32_t round,
                               uint32_t step);
bool PhSchedJob_IsOver(const PhSchedJob *job);
/* Sets the state of a job; one that is over leaves the active ones. */
void PhSchedModel_SetJobState(PhSchedModel *model, PhSchedJob *job,
                              PhSchedJobState state);
/* Tells whether all steps that a stage waits for are done. */
bool PhSchedStage_IsReady(const PhSchedStage *stage);
/* Tells whether a task serves users of its own. */
bool PhSchedStep_Serves(const PhSchedStep *step);

/* Finds the life of a worker, or adds it; a later life of the same id becomes
 * the newest. */
PhSchedWorker *PhSchedModel_Worker(PhSchedModel *model, PhStr id,
                                   int64_t born_ms);
/* Finds the newest life, or NULL. */
PhSchedWorker *PhSchedModel_NewestLife(const PhSchedModel *model, PhStr id);
/* Tells whether no later life has the worker's id. */
bool PhSchedModel_IsNewest(const PhSchedModel *model,
                           const PhSchedWorker *worker);
/* Replaces what the worker tells of itself; takes over the strings. */
void PhSchedWorker_SetEntry(PhSchedWorker *worker, PhSchedWorkerEntry *entry);
void PhSchedWorkerEntry_Clear(PhSchedWorkerEntry *entry);
/* Takes a life, which holds no task, out of the model by its index in `lives`;
 * the caller owns it. */
PhSchedWorker *PhSchedModel_DetachIncarnation(PhSchedModel *model,
                                              guint index);
void PhSchedWorker_Destroy(gpointer worker);

/* Moves a task to a worker's books and back; the counts of its stage and of
 * the worker follow. */
void PhSchedTask_Place(PhSchedTask *task, PhSchedWorker *worker);
void PhSchedTask_Unplace(PhSchedTask *task, PhSchedTaskState state);

#endif
