/* What the files of the engine share. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_ENGINE_PRIVATE_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_ENGINE_PRIVATE_H

#include "job_queue.h"
#include "peridothill/decide/tasks/job_engine.h"

/* What this instance knows of a worker, by the state's number of it. */
typedef struct PhContact {
    PhStr id;
    PhStr rack;
    PhJobSize size;
    bool listed;
    bool leaving;
    bool mine;      /* this instance renews it */
    bool known;     /* the clock was read */
    bool suspected; /* the owner waits for its word */
    uint64_t boot;
    int64_t clock_ms; /* its clock, read at `clock_at` at the latest */
    PhTime clock_at;
    uint64_t acked;    /* ends up to this number are in the log */
    uint64_t question; /* token of the question that is open, or 0 */
    PhTime asked_at;
    PhTime next_question;
    uint32_t misses;   /* unanswered questions in a row */
    uint32_t absences; /* answers in a row that lacked a placed run */
    PhTime suspected_at;
    PhTime reported_at; /* when this instance appended SUSPECT */
    PhTime lapse_from;  /* when the last renewer had stopped, or NEVER */
    uint32_t failures;  /* of runs of different tasks, in a row */
    uint64_t failed_job;
    PhTime quarantined_until;
} PhContact;

/* A start of this owner, from its decision to its end. */
typedef struct PhPendingStart {
    PhRun run; /* key */
    uint32_t worker;
    PhJobSize size;
    bool placed; /* the record was read back */
    bool sent;
    PhTime valid_until;
} PhPendingStart;

/* A submit or cancel that waits for its record to be read back. */
typedef struct PhWaiting {
    uint64_t token;
    bool cancel;
    guint position; /* in the queue of records, then in the entry */
} PhWaiting;

/* What was kept of an instance's snapshot while there is no state. */
typedef struct PhLoading {
    uint64_t sequence; /* of the instance's last entry */
    GArray *records;   /* PhJobRecord */
} PhLoading;

/* The entry that is being appended. */
typedef struct PhFlight {
    bool open;
    bool outstanding; /* the append has no answer yet */
    bool uncertain;   /* some append of it may have taken effect */
    bool confirmed;
    PhJobEntry entry;
    GArray *waiting; /* PhWaiting */
    PhTime first_sent;
    PhTime retry_at;
} PhFlight;

struct PhJobEngine {
    PhJobEngineOptions options;
    PhRandom *random;
    PhJobState *state;
    GHashTable *loading; /* PhStr instance to PhLoading */
    uint64_t load_next;  /* place to read from while there is no state */
    uint64_t load_first; /* earliest place kept when loading began */
    bool stream_lost;
    bool read_open;
    bool caught_up; /* the end was reached once */
    PhTime next_read;
    GArray *queue;    /* PhJobRecord to append */
    GArray *waiting;  /* PhWaiting of the queue */
    GArray *snapshot; /* PhJobRecord of a snapshot, from `snapshot_at` on */
    guint snapshot_at;
    PhFlight flight;
    uint64_t sequence;
    bool log_down;
    bool leaving;
    /* Ownership. */
    bool owner;
    bool claiming;
    PhTime claimed_at;
    PhTime right_until;
    PhTime owner_seen;
    PhTime claim_jitter;
    PhTime next_hold;
    PhTime next_snapshot;
    /* Renewal. */
    PhTime renew_until;
    PhTime next_keep;
    GHashTable *kept_at; /* PhStr instance to PhTime, when it was seen */
    GPtrArray *alive;    /* PhStr, as PhStr_KeyCreate */
    GPtrArray *contacts; /* PhContact by the state's number */
    GHashTable *ending;  /* PhRun of END records on their way */
    uint64_t token;
    /* Scheduling. */
    PhPlacement *placement;
    PhQuotas *quotas;
    PhJobQueue *jobs;
    GHashTable *starts; /* PhRun to PhPendingStart */
    GArray *stopping;   /* numbers of jobs to cancel */
    PhTime next_stop;
    bool schedule_wanted;
    PhTime now;
    GArray *actions;
};

/* Hash and equality of PhRun keys. */
guint PhRun_KeyHash(gconstpointer key);
gboolean PhRun_KeyEqual(gconstpointer a, gconstpointer b);
void PhJobEngine_Count(PhJobEngine *e, PhCounter counter, uint64_t amount);
void PhJobEngine_Act(PhJobEngine *e, PhJobAction action);
void PhJobEngine_Note(PhJobEngine *e, PhJobNote note, PhStr subject,
                      uint64_t number);
/* Queues a record; takes over what it owns. */
void PhJobEngine_Queue(PhJobEngine *e, PhJobRecord record);
/* Queues the end of a run unless it is on its way. */
void PhJobEngine_QueueEnd(PhJobEngine *e, PhRunEnd end);

/* engine_log.c: appending, reading, submits. */
void PhJobEngine_LogTick(PhJobEngine *e);
void PhJobEngine_OnRead(PhJobEngine *e, const PhJobEvent *event);
void PhJobEngine_OnAppended(PhJobEngine *e, PhStatus status);
void PhJobEngine_OnSubmit(PhJobEngine *e, uint64_t token,
                          const PhJobSpec *spec);
void PhJobEngine_OnCancel(PhJobEngine *e, uint64_t token, uint64_t job);
void PhJobEngine_Flush(PhJobEngine *e);

/* engine_owner.c: claims, rights, snapshots. */
void PhJobEngine_OwnerTick(PhJobEngine *e);
/* A record of this instance took effect; it was first sent at `sent`. */
void PhJobEngine_OwnerChange(PhJobEngine *e, const PhJobChange *change,
                             bool own, PhTime sent);
void PhJobEngine_OwnerForget(PhJobEngine *e);
bool PhJobEngine_MayRenew(const PhJobEngine *e);

/* engine_workers.c: questions, renewals, lapses. */
PhContact *PhJobEngine_Contact(const PhJobEngine *e, uint32_t worker);
/* Gives each worker of the state a contact. */
void PhJobEngine_Contacts(PhJobEngine *e);
void PhJobEngine_ContactDestroy(gpointer contact);
/* Numbers the contacts anew for another state. */
void PhJobEngine_Renumber(PhJobEngine *e);
void PhJobEngine_WorkersTick(PhJobEngine *e);
void PhJobEngine_OnWorkers(PhJobEngine *e, const PhListedWorker *workers,
                           size_t count);
void PhJobEngine_OnMembers(PhJobEngine *e, const PhStr *ids, size_t count);
void PhJobEngine_OnAnswer(PhJobEngine *e, const PhWorkerAnswer *answer);
void PhJobEngine_WorkerChange(PhJobEngine *e, const PhJobChange *change);
/* Chooses anew which workers this instance renews. */
void PhJobEngine_Share(PhJobEngine *e);
void PhJobEngine_Ask(PhJobEngine *e, uint32_t worker);
void PhJobEngine_QuestionsTick(PhJobEngine *e);
/* Reports a worker to the owner, by the log. */
void PhJobEngine_Report(PhJobEngine *e, uint32_t worker);
/* Fills in what all commands to a worker carry. */
PhWorkerCommand PhJobEngine_Command(PhJobEngine *e, const PhContact *c,
                                    PhWorkerCommandKind kind,
                                    PhTime valid_until);
/* The worker's clock at a time of this instance, or earlier. */
int64_t PhContact_ClockAt(const PhContact *c, PhTime at);
bool PhContact_ClockFresh(const PhContact *c, PhTime now);

/* engine_schedule.c: what the owner starts and stops. */
void PhJobEngine_ScheduleTick(PhJobEngine *e);
void PhJobEngine_ScheduleChange(PhJobEngine *e, const PhJobChange *change,
                                bool own);
/* Builds queue and commitments anew after a claim. */
void PhJobEngine_ScheduleReset(PhJobEngine *e);
/* Tells the placement whether a worker may be chosen. */
void PhJobEngine_SetUsable(PhJobEngine *e, uint32_t worker);
/* Counts the end of a run for or against its worker and its task; tells how
 * long the task is kept back. */
PhTime PhJobEngine_Blame(PhJobEngine *e, const PhJobChange *change);
/* A start of this owner had no effect. */
void PhJobEngine_StartVoid(PhJobEngine *e, PhRun run);

#endif
