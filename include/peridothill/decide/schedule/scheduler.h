/* The owner's decisions on one model: where tasks start, what workers are
 * told, when jobs are over.  State, event and time go in; actions come out.
 *
 * A start leaves only after the record of it is durable, so that the next
 * owner knows every run that may exist.  Each change of a stage belongs to the
 * batch of records that is open at the time. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_SCHEDULER_H
#define PERIDOTHILL_DECIDE_SCHEDULE_SCHEDULER_H

#include "peridothill/decide/schedule/predecessors.h"
#include "peridothill/decide/schedule/record.h"

typedef struct PhScheduler PhScheduler;

typedef struct PhSchedulerOptions {
    PhTime lease_limit; /* longest lease that workers grant */
    PhTime pace_lag;    /* from an order to pace until it shows */
    /* Earlier owners; borrowed for the life of the scheduler.  NULL: nothing
     * is known of them. */
    const PhPredecessors *predecessors;
} PhSchedulerOptions;

typedef enum PhSchedActionTag {
    PH_SCHED_ACTION_HOLD, /* renew leases, hear of runs and ends */
    PH_SCHED_ACTION_START,
    PH_SCHED_ACTION_STOP,
    PH_SCHED_ACTION_PACE,
} PhSchedActionTag;

/* An order to a run. */
typedef struct PhSchedRunOrder {
    PhSchedTaskName task; /* borrowed */
    uint32_t run;
    int64_t deadline_ms; /* of the lease, on the worker's clock; starts only */
    PhStr payload;       /* borrowed; starts only */
    PhStr saved;         /* borrowed; starts only */
    int percent;         /* pace only */
} PhSchedRunOrder;

/* An order to one life of a worker.  Strings are borrowed from the model and
 * valid until it next changes. */
typedef struct PhSchedAction {
    PhSchedActionTag tag;
    PhStr worker;
    int64_t born_ms;
    PhStr address;
    union {
        struct {
            uint64_t last_seen;
            int64_t deadline_ms; /* 0: no lease, only a look */
            PhTime wait;
        } hold;
        PhSchedRunOrder run; /* of START, STOP and PACE */
    } as;
} PhSchedAction;

/* How an order ended. */
typedef enum PhSchedOutcome {
    PH_SCHED_OUTCOME_DONE,
    PH_SCHED_OUTCOME_FENCED, /* a higher fence has been seen */
    PH_SCHED_OUTCOME_OLD,    /* a run not lower was stopped or has ended */
    PH_SCHED_OUTCOME_LATE,   /* the deadline had passed */
    PH_SCHED_OUTCOME_NO_ROOM,
    PH_SCHED_OUTCOME_REFUSED,    /* nothing done, the worker is unwell */
    PH_SCHED_OUTCOME_OTHER_LIFE, /* another life answered, nothing done */
    PH_SCHED_OUTCOME_NOT_SENT,   /* no byte left */
    PH_SCHED_OUTCOME_UNKNOWN,    /* done, not done, or done later */
} PhSchedOutcome;

/* A run that a worker lists. */
typedef struct PhSchedRunRow {
    PhSchedTaskName task;
    uint32_t run;
    PhStr saved;
    int percent;
    int64_t figure; /* rough: tail in ms if it serves, else thousandths of a
                       core in use; -1 for none */
} PhSchedRunRow;

/* An end that a worker lists. */
typedef struct PhSchedEndRow {
    uint64_t number;
    PhSchedTaskName task;
    uint32_t run;
    PhSchedEndKind kind;
    PhStr saved;
} PhSchedEndRow;

/* The answer to a hold; rows only when it is DONE. */
typedef struct PhSchedHoldReply {
    PhSchedOutcome outcome;
    int64_t clock_ms; /* the worker's clock */
    int64_t born_ms;  /* the life that answered; 0 if it did not say */
    PhSchedRunRow *runs;
    size_t run_count;
    PhSchedEndRow *ends;
    size_t end_count;
    bool more; /* there may be further ends, to be listed next */
} PhSchedHoldReply;

/* What the scheduler has come to believe, for the log. */
typedef enum PhSchedEventTag {
    PH_SCHED_NOTE_ENDED,     /* an end was taken in */
    PH_SCHED_NOTE_OVER,      /* the last state of a job is durable */
    PH_SCHED_NOTE_SUSPENDED, /* a worker does not answer: no leases */
    PH_SCHED_NOTE_RESUMED,   /* it answers again */
    PH_SCHED_NOTE_LOST,      /* its leases have lapsed, or it was born anew */
    PH_SCHED_NOTE_FORGOTTEN, /* it has gone and left the model */
} PhSchedEventTag;

/* Strings are borrowed until the model next changes. */
typedef struct PhSchedNote {
    PhSchedEventTag tag;
    const PhSchedWorker *worker; /* NULL for OVER */
    union {
        struct {
            PhSchedTaskName task;
            uint32_t run;
            PhSchedEndKind kind;
            PhTime ran;
            uint32_t failures;
        } ended;
        const PhSchedJob *over;
        struct {
            guint runs;
            PhTime suspended; /* for how long, -1 if it was not */
        } lost;
    } as;
} PhSchedNote;

PhScheduler *PhScheduler_Create(const PhSchedulerOptions *options);
void PhScheduler_Destroy(PhScheduler *scheduler);
PhSchedModel *PhScheduler_Model(PhScheduler *scheduler);

/* Applies a record that was read from the store; see PhSchedModel_Apply.
 * CONFLICT: an owner wrote it, and this is the owner, who knows better. */
PhStatus PhScheduler_Apply(PhScheduler *scheduler, PhSchedRecord *record,
                           PhTime now);
/* Ownership under a fence that no earlier owner had.  The model has to hold
 * every record that an earlier owner has written.  0 ends it: the model is
 * ahead of the records and forgets all of them, to be read anew. */
void PhScheduler_SetFence(PhScheduler *scheduler, uint64_t fence, PhTime now);
/* The ownership was last confirmed then.  Without that nothing depends on it.
 */
void PhScheduler_Confirm(PhScheduler *scheduler, PhTime at);
/* Before a stop: no new starts and no waiting holds. */
void PhScheduler_Quiesce(PhScheduler *scheduler);

/* Decides what is due.  `wall_ms` is Unix time, for jobs with start times. */
void PhScheduler_Plan(PhScheduler *scheduler, PhTime now, int64_t wall_ms);
/* Takes the next order; false when there is none. */
bool PhScheduler_NextAction(PhScheduler *scheduler, PhTime now,
                            PhSchedAction *action);
/* Time of the next decision that no event brings. */
PhTime PhScheduler_Due(const PhScheduler *scheduler);

/* Drops lives of workers that have gone. */
void PhScheduler_ForgetWorkers(PhScheduler *scheduler);

/* Notes since the last call of PhScheduler_ClearNotes. */
const PhSchedNote *PhScheduler_Notes(const PhScheduler *scheduler,
                                     size_t *count);
void PhScheduler_ClearNotes(PhScheduler *scheduler);

/* Closes the open batch: records of all that has changed, as PhSchedRecord.
 * Gives the number of the batch, or 0 when nothing has changed. */
uint64_t PhScheduler_TakeBatch(PhScheduler *scheduler, GArray *records);
/* The records up to this batch are durable: the states in them are shown. */
void PhScheduler_OnDurable(PhScheduler *scheduler, uint64_t batch);

/* Outcomes of orders; false when another owner has a higher fence. */
bool PhScheduler_OnHold(PhScheduler *scheduler, PhStr worker, int64_t born_ms,
                        const PhSchedHoldReply *reply, PhTime now);
bool PhScheduler_OnStart(PhScheduler *scheduler, const PhSchedTaskName *name,
                         uint32_t run, PhSchedOutcome outcome,
                         int64_t clock_ms, PhTime now);
bool PhScheduler_OnStop(PhScheduler *scheduler, const PhSchedTaskName *name,
                        uint32_t run, PhSchedOutcome outcome, int64_t clock_ms,
                        PhTime now);
bool PhScheduler_OnPace(PhScheduler *scheduler, const PhSchedTaskName *name,
                        uint32_t run, PhSchedOutcome outcome);

/* What instances learn from the list of workers: an entry, or that it has
 * gone. */
void PhScheduler_SetWorker(PhScheduler *scheduler, PhSchedWorkerEntry *entry,
                           PhTime now);
void PhScheduler_RemoveWorker(PhScheduler *scheduler, PhStr id, PhTime now);

#endif
