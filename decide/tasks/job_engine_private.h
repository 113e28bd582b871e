#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_ENGINE_PRIVATE_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_ENGINE_PRIVATE_H

#include "job_queue.h"
#include "peridothill/decide/tasks/job_engine.h"

/* What this instance knows of a worker; indexed by the worker's number in the
 * state. */
typedef struct PhWorkerView {
    PhStr id;
    PhStr rack;
    PhJobSize size;
    bool listed;
    bool leaving;
    bool assigned;    /* this instance renews its leases */
    bool clock_known; /* a clock reading was received */
    bool suspected;   /* the owner polls it before retiring it */
    uint64_t boot;    /* boot id */
    int64_t clock_ms; /* its clock, read at or before `clock_at` */
    PhTime clock_at;
    uint64_t acked;      /* ends up to this number are in the log */
    uint64_t poll_token; /* token of the poll in flight, or 0 */
    PhTime polled_at;
    PhTime next_poll;
    uint32_t missed_polls;       /* consecutive unanswered polls */
    uint32_t absent_run_answers; /* consecutive, lacking a placed run */
    PhTime suspected_at;
    PhTime reported_at;       /* when this instance appended SUSPECT */
    PhTime unrenewed_since;   /* when the last renewer had stopped, or NEVER */
    uint32_t failures;        /* consecutive, of different tasks */
    uint64_t last_failed_job; /* of the last failure */
    PhTime quarantined_until;
} PhWorkerView;

/* A start that this owner decided, until the run ends. */
typedef struct PhPendingStart {
    PhRun run; /* key */
    uint32_t worker;
    PhJobSize size;
    bool placed; /* the record was read back from the log */
    bool sent;   /* the command was sent */
    PhTime valid_until;
} PhPendingStart;

/* A submit or cancel whose record has not been read back from the log yet. */
typedef struct PhClientRequest {
    uint64_t token;
    bool cancel;
    guint position; /* of its record: in the queue, then in the entry */
} PhClientRequest;

/* Snapshot records collected from one instance while there is no state. */
typedef struct PhSnapshotBuffer {
    uint64_t sequence; /* of the instance's last entry */
    GArray *records;   /* PhJobRecord */
} PhSnapshotBuffer;

/* The active entry: sent at least once, and not yet read back from the log,
 * refused, or found in a snapshot. */
typedef struct PhPendingAppend {
    bool active;      /* there is such an entry */
    bool outstanding; /* the append has not been answered */
    bool uncertain;   /* an attempt may have taken effect */
    bool confirmed;   /* appended, not read back yet */
    PhJobEntry entry;
    GArray *requests; /* PhClientRequest */
    PhTime first_sent;
    PhTime retry_at;
} PhPendingAppend;

struct PhJobEngine {
    PhJobEngineOptions options;
    PhRandom *random;
    PhJobState *state;
    GHashTable *snapshot_buffers; /* PhStr instance to PhSnapshotBuffer */
    uint64_t load_next;  /* log offset to read from while there is no state */
    uint64_t load_first; /* oldest retained log offset when loading began */
    bool stream_lost;    /* no usable snapshot in the log */
    bool read_outstanding; /* the read has not been answered */
    bool caught_up;        /* the end of the log was reached once */
    PhTime next_read;
    GArray *queue;    /* PhJobRecord to append */
    GArray *requests; /* PhClientRequest, of `queue` */
    GArray *snapshot; /* PhJobRecord to append, from `snapshot_next` on */
    guint snapshot_next;
    PhPendingAppend append;
    uint64_t sequence;
    bool log_down;
    bool leaving;
    /* Ownership. */
    bool owner;
    bool claiming;
    PhTime claimed_at;
    PhTime ownership_until;
    PhTime owner_seen_at;
    PhTime claim_jitter;
    PhTime next_heartbeat;
    PhTime next_snapshot;
    /* Renewal. */
    PhTime renew_until;
    PhTime next_registration;
    GHashTable *last_seen;    /* PhStr instance to PhTime of its last entry */
    GPtrArray *alive;         /* PhStr, as PhStr_KeyCreate */
    GPtrArray *worker_views;  /* PhWorkerView by the state's number */
    GHashTable *pending_ends; /* PhRun, END record not read back yet */
    uint64_t token;
    /* Scheduling. */
    PhPlacement *placement;
    PhQuotas *quotas;
    PhJobQueue *jobs;
    GHashTable *starts;   /* PhRun to PhPendingStart */
    GArray *jobs_to_stop; /* numbers of cancelled jobs with placed tasks */
    PhTime next_stop;
    bool schedule_wanted;
    PhTime now;
    GArray *actions;
};

guint PhRun_KeyHash(gconstpointer key);
gboolean PhRun_KeyEqual(gconstpointer a, gconstpointer b);
/* Adds to a counter, if there are counters. */
void PhJobEngine_Count(PhJobEngine *e, PhCounter counter, uint64_t amount);
void PhJobEngine_Emit(PhJobEngine *e, PhJobAction action);
void PhJobEngine_Note(PhJobEngine *e, PhJobNote note, PhStr subject,
                      uint64_t number);
/* Queues a record for the next entry; takes ownership of what it owns. */
void PhJobEngine_Queue(PhJobEngine *e, PhJobRecord record);
/* Queues the end of a run unless it is queued or in flight already. */
void PhJobEngine_QueueEnd(PhJobEngine *e, PhRunEnd end);

/* engine_log.c: appends, reads, submits and cancels. */
void PhJobEngine_LogTick(PhJobEngine *e);
void PhJobEngine_OnRead(PhJobEngine *e, const PhJobEvent *event);
void PhJobEngine_OnAppended(PhJobEngine *e, PhStatus status);
void PhJobEngine_OnSubmit(PhJobEngine *e, uint64_t token,
                          const PhJobSpec *spec);
void PhJobEngine_OnCancel(PhJobEngine *e, uint64_t token, uint64_t job);
void PhJobEngine_Flush(PhJobEngine *e);

/* engine_owner.c: ownership, registrations, snapshots. */
void PhJobEngine_OwnerTick(PhJobEngine *e);
/* Follows an applied record. `own`: this instance appended it, first sent at
 * `sent`. */
void PhJobEngine_OwnerChange(PhJobEngine *e, const PhJobChange *change,
                             bool own, PhTime sent);
void PhJobEngine_OwnerForget(PhJobEngine *e);
bool PhJobEngine_MayRenew(const PhJobEngine *e);

/* engine_poll.c, engine_workers.c: polls, renewals, lease expiry. */
PhWorkerView *PhJobEngine_WorkerView(const PhJobEngine *e, uint32_t worker);
/* Adds a view of each new worker of the state. */
void PhJobEngine_AddWorkerViews(PhJobEngine *e);
void PhWorkerView_Destroy(gpointer view);
/* Rebuilds the views after another state was loaded. */
void PhJobEngine_RebuildWorkerViews(PhJobEngine *e);
void PhJobEngine_WorkersTick(PhJobEngine *e);
void PhJobEngine_OnWorkers(PhJobEngine *e, const PhListedWorker *workers,
                           size_t count);
void PhJobEngine_OnMembers(PhJobEngine *e, const PhStr *ids, size_t count);
void PhJobEngine_OnAnswer(PhJobEngine *e, const PhWorkerAnswer *answer);
/* Updates the view of the worker after a SUSPECT, RETIRE or RESTORE record was
 * applied; ignores other changes. */
void PhJobEngine_WorkerChange(PhJobEngine *e, const PhJobChange *change);
/* Reassigns the workers that this instance renews. */
void PhJobEngine_AssignRenewals(PhJobEngine *e);
void PhJobEngine_PollWorker(PhJobEngine *e, uint32_t worker);
void PhJobEngine_PollTick(PhJobEngine *e);
/* Reports a worker to the owner through a SUSPECT record. */
void PhJobEngine_Report(PhJobEngine *e, uint32_t worker);
/* Fills in the fields that all commands to a worker share. */
PhWorkerCommand PhJobEngine_Command(PhJobEngine *e, const PhWorkerView *v,
                                    PhWorkerCommandKind kind,
                                    PhTime valid_until);
/* Lower bound of the worker's clock at local time `at`. */
int64_t PhWorkerView_ClockAt(const PhWorkerView *v, PhTime at);
bool PhWorkerView_ClockIsFresh(const PhWorkerView *v, PhTime now);

/* engine_schedule.c: starts and stops by the owner. */
void PhJobEngine_ScheduleTick(PhJobEngine *e);
/* At the owner: updates queue and pending starts after a JOB, CANCEL, START or
 * END record was applied; ignores other changes. */
void PhJobEngine_ScheduleChange(PhJobEngine *e, const PhJobChange *change,
                                bool own);
/* Rebuilds queue and commitments from the state after a claim. */
void PhJobEngine_ScheduleReset(PhJobEngine *e);
/* Updates whether the placement may choose a worker. */
void PhJobEngine_SetUsable(PhJobEngine *e, uint32_t worker);
/* Attributes the end of a run to its worker or its task. Returns the delay
 * before the task may start again. */
PhTime PhJobEngine_RecordOutcome(PhJobEngine *e, const PhJobChange *change);
/* Undoes a start whose record had no effect. */
void PhJobEngine_StartVoid(PhJobEngine *e, PhRun run);

#endif
