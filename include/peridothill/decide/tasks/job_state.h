/* Replicated state machine of a data centre's job log. Every instance applies
 * the same entries in the same order. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_STATE_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_STATE_H

#include "peridothill/decide/tasks/job_record.h"

enum {
    /* Finished jobs kept for listing and for deduplication by key. */
    PH_JOBS_FINISHED_MAX = 1024,
    /* Deregistered instances whose last sequence is kept for deduplication. */
    PH_INSTANCES_LEFT_MAX = 256,
};

#define PH_WORKER_NONE UINT32_MAX
#define PH_OFFSET_NONE UINT64_MAX

typedef struct PhJob {
    uint64_t number;
    PhJobSpec spec;
    bool cancel_wanted;
    uint32_t evictions;
    uint32_t waiting;
    uint32_t placed;
    uint32_t done;
    uint32_t cancelled;
    PhJobTask *tasks; /* spec.count entries; NULL once all have ended */
} PhJob;

/* A worker that a log record has named. */
typedef struct PhJobWorker {
    PhStr id;
    uint64_t retired;    /* log offset of RETIRE, or PH_OFFSET_NONE */
    PhJobSize committed; /* sum over `runs` */
    GArray *runs;        /* PhRun placed on this worker */
} PhJobWorker;

/* An instance that has appended to the log, and may renew leases. */
typedef struct PhJobRenewer {
    PhStr id;
    uint64_t sequence; /* of its last entry */
    uint64_t through;  /* `through` of its last KEEP record */
    bool registered;
} PhJobRenewer;

/* Effect of an applied record. */
typedef enum PhJobChangeKind {
    PH_CHANGE_ACCEPTED,  /* new job, or the existing job of a repeated key */
    PH_CHANGE_CANCELLED, /* cancellation applied, or no such job */
    PH_CHANGE_OWNER,     /* ownership was claimed */
    PH_CHANGE_OWNER_HEARTBEAT, /* owner heartbeat */
    PH_CHANGE_PLACED,
    PH_CHANGE_ENDED,
    PH_CHANGE_SUSPECTED,
    PH_CHANGE_RETIRED,
    PH_CHANGE_RESTORED,
    PH_CHANGE_REGISTERED,
    PH_CHANGE_DEREGISTERED,
    PH_CHANGE_SNAPSHOT, /* end of a complete snapshot */
    PH_CHANGE_NONE,     /* record had no effect */
} PhJobChangeKind;

typedef struct PhJobChange {
    PhJobChangeKind kind;
    uint32_t position; /* index of the record within its entry */
    uint64_t job;      /* ACCEPTED, CANCELLED; 0: none */
    bool repeated;     /* ACCEPTED: the key already existed */
    uint32_t worker;   /* PLACED, ENDED, SUSPECTED, RETIRED, RESTORED */
    PhRun run;         /* PLACED, ENDED */
    PhRunOutcome outcome;
    PhJobSize size;   /* PLACED, ENDED */
    uint64_t through; /* SNAPSHOT: log offset to continue from */
} PhJobChange;

typedef struct PhJobState PhJobState;

PhJobState *PhJobState_Create(void);
void PhJobState_Destroy(PhJobState *state);
/* Begins the entry at log offset `offset`. Returns false for a duplicate, none
 * of whose records may be applied. */
bool PhJobState_BeginEntry(PhJobState *state, uint64_t offset,
                           const PhJobEntry *entry);
/* Applies one record of the entry that was begun last; records are applied in
 * order. */
PhJobChange PhJobState_Apply(PhJobState *state, const PhJobEntry *entry,
                             uint32_t position);
/* Log offset of the next entry to apply. */
uint64_t PhJobState_NextOffset(const PhJobState *state);

/* Number of the owner's term: each claim that takes effect increases it by
 * one; 0 before the first claim. */
uint64_t PhJobState_Epoch(const PhJobState *state);
/* Id of the owning instance; empty before the first claim. */
PhStr PhJobState_Owner(const PhJobState *state);
/* Log offset of the owner's last effective record, or PH_OFFSET_NONE. */
uint64_t PhJobState_OwnerOffset(const PhJobState *state);

PhJob *PhJobState_Job(const PhJobState *state, uint64_t number);
PhJob *PhJobState_FindJobByKey(const PhJobState *state, PhStr key);
/* First job whose number is at least `number`, or NULL. */
PhJob *PhJobState_JobFrom(const PhJobState *state, uint64_t number);
/* Task of a run that is placed, or NULL. */
const PhJobTask *PhJobState_Placed(const PhJobState *state, PhRun run);
/* True if the applied log shows that the run has ended. False for a placed
 * run, and for one whose START record has not been applied yet. */
bool PhJobState_HasEnded(const PhJobState *state, PhRun run);

uint32_t PhJobState_WorkerCount(const PhJobState *state);
const PhJobWorker *PhJobState_Worker(const PhJobState *state, uint32_t worker);
/* Number of the worker with this id; assigns one to a new id. */
uint32_t PhJobState_WorkerNumber(PhJobState *state, PhStr id);
uint32_t PhJobState_RenewerCount(const PhJobState *state);
const PhJobRenewer *PhJobState_Renewer(const PhJobState *state,
                                       uint32_t renewer);
/* Renewer with this instance id, or NULL. */
const PhJobRenewer *PhJobState_FindRenewer(const PhJobState *state,
                                           PhStr instance);

/* Appends the records of a snapshot to `records`, an array of PhJobRecord. */
void PhJobState_Snapshot(const PhJobState *state, uint64_t id,
                         GArray *records);
/* Builds the state from the records of one snapshot. Returns NULL if they are
 * not one complete snapshot. */
PhJobState *PhJobState_Load(const GArray *records);
/* Number of placed runs on all workers. */
uint64_t PhJobState_PlacedCount(const PhJobState *state);

#endif
