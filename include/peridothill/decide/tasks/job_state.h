/* The state that the stream of a data centre stands for.  Every instance
 * applies the same entries in the same order. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_STATE_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_STATE_H

#include "peridothill/decide/tasks/job_record.h"

enum {
    /* Finished jobs that stay listed, and whose keys stay known. */
    PH_JOBS_FINISHED_MAX = 1024,
    /* Instances that left and whose sequences stay known. */
    PH_INSTANCES_LEFT_MAX = 256,
};

#define PH_WORKER_NONE UINT32_MAX
#define PH_PLACE_NONE UINT64_MAX

/* An accepted job. */
typedef struct PhJob {
    uint64_t number;
    PhJobSpec spec;
    bool cancel_wanted;
    uint32_t evictions;
    uint32_t waiting;
    uint32_t placed;
    uint32_t done;
    uint32_t cancelled;
    PhJobTask *tasks; /* spec.count of them; NULL once all have ended */
} PhJob;

/* A worker that the stream has named. */
typedef struct PhJobWorker {
    PhStr id;
    uint64_t retired;    /* place of RETIRE, PH_PLACE_NONE if not retired */
    PhJobSize committed; /* of the runs placed on it */
    GArray *runs;        /* PhRun placed on it */
} PhJobWorker;

/* An instance that the stream has named. */
typedef struct PhJobRenewer {
    PhStr id;
    uint64_t sequence; /* of its last entry */
    uint64_t through;  /* of its last KEEP */
    bool registered;
} PhJobRenewer;

/* What a record changed, for the engine. */
typedef enum PhJobChangeKind {
    PH_CHANGE_ACCEPTED,  /* a job, or the known job of a repeated key */
    PH_CHANGE_CANCELLED, /* cancel took effect, or no such job */
    PH_CHANGE_OWNER,     /* a claim took effect */
    PH_CHANGE_HELD,      /* the owner showed itself */
    PH_CHANGE_PLACED,
    PH_CHANGE_ENDED,
    PH_CHANGE_SUSPECTED,
    PH_CHANGE_RETIRED,
    PH_CHANGE_RESTORED,
    PH_CHANGE_KEPT,
    PH_CHANGE_LEFT,
    PH_CHANGE_SNAPSHOT, /* a complete snapshot ends here */
    PH_CHANGE_VOID,     /* the record had no effect */
} PhJobChangeKind;

typedef struct PhJobChange {
    PhJobChangeKind kind;
    uint32_t position; /* of the record in its entry */
    uint64_t job;      /* ACCEPTED, CANCELLED; 0 is none */
    bool repeated;     /* ACCEPTED: the key was known */
    uint32_t worker;   /* PLACED, ENDED, SUSPECTED, RETIRED, RESTORED */
    PhRun run;         /* PLACED, ENDED */
    PhRunOutcome outcome;
    PhJobSize size;   /* PLACED, ENDED */
    uint64_t through; /* SNAPSHOT: place to read on from */
} PhJobChange;

typedef struct PhJobState PhJobState;

PhJobState *PhJobState_Create(void);
void PhJobState_Destroy(PhJobState *state);
/* Takes the next entry; false when it is repeated, then none of its records
 * may be applied. */
bool PhJobState_Enter(PhJobState *state, uint64_t place,
                      const PhJobEntry *entry);
/* Applies one record of the entry that was taken last, in order. */
PhJobChange PhJobState_Apply(PhJobState *state, const PhJobEntry *entry,
                             uint32_t position);
/* The place of the next entry. */
uint64_t PhJobState_Next(const PhJobState *state);

uint64_t PhJobState_Epoch(const PhJobState *state);
/* The owner, empty before the first claim. */
PhStr PhJobState_Owner(const PhJobState *state);
/* Place of the owner's last record that took effect, or PH_PLACE_NONE. */
uint64_t PhJobState_OwnerPlace(const PhJobState *state);

PhJob *PhJobState_Job(const PhJobState *state, uint64_t number);
PhJob *PhJobState_JobOfKey(const PhJobState *state, PhStr key);
/* The first job with a number of at least `number`, or NULL. */
PhJob *PhJobState_JobFrom(const PhJobState *state, uint64_t number);
/* The task of a run if the run is placed, or NULL. */
const PhJobTask *PhJobState_Placed(const PhJobState *state, PhRun run);
/* Tells whether the log says that a run is over.  A run that is neither placed
 * nor over starts in records that were not read yet. */
bool PhJobState_IsOver(const PhJobState *state, PhRun run);

uint32_t PhJobState_WorkerCount(const PhJobState *state);
const PhJobWorker *PhJobState_Worker(const PhJobState *state, uint32_t worker);
/* The number of a worker, given one if it is new. */
uint32_t PhJobState_WorkerOf(PhJobState *state, PhStr id);
uint32_t PhJobState_RenewerCount(const PhJobState *state);
const PhJobRenewer *PhJobState_Renewer(const PhJobState *state,
                                       uint32_t renewer);
/* The renewer of an instance, or NULL. */
const PhJobRenewer *PhJobState_RenewerOf(const PhJobState *state,
                                         PhStr instance);

/* Adds the records of a snapshot to `records`, an array of PhJobRecord. */
void PhJobState_Snapshot(const PhJobState *state, uint64_t id,
                         GArray *records);
/* The state that the records of one snapshot stand for, or NULL when they are
 * not a whole snapshot. */
PhJobState *PhJobState_Load(const GArray *records);
/* Number of placed runs on all workers. */
uint64_t PhJobState_PlacedCount(const PhJobState *state);

#endif
