/* Job engine of one instance: decides what to append to the log, which
 * workers' leases to renew and, while it owns the data centre, which task
 * starts on which worker. It does no I/O: events go in, actions come out. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_ENGINE_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_ENGINE_H

#include "peridothill/common/counter.h"
#include "peridothill/decide/tasks/job_state.h"
#include "peridothill/decide/tasks/lease.h"
#include "peridothill/decide/tasks/placement.h"
#include "peridothill/decide/tasks/quota.h"
#include "peridothill/decide/tasks/worker_command.h"

enum {
    /* Interval of PH_JOB_TICK events. */
    PH_JOB_TICK_MS = 100,
    PH_JOB_SUBMITS_MAX = 4096, /* submits and cancels not yet answered */
};

/* A worker in the platform's list. Strings are borrowed. */
typedef struct PhListedWorker {
    PhStr id;
    PhStr rack;
    PhJobSize size;
    bool leaving;
} PhListedWorker;

typedef enum PhJobEventKind {
    PH_JOB_TICK,
    PH_JOB_READ,     /* result of PH_ACTION_READ */
    PH_JOB_APPENDED, /* result of PH_ACTION_APPEND */
    PH_JOB_WORKERS,  /* a new copy of the platform's worker list */
    PH_JOB_MEMBERS,  /* live instances of the data centre */
    PH_JOB_QUOTAS,   /* quotas of all teams */
    PH_JOB_WORKER_ANSWER,
    PH_JOB_SUBMIT,
    PH_JOB_CANCEL,
    PH_JOB_LEAVE, /* this instance shuts down: stop registering as renewer */
} PhJobEventKind;

/* A log entry and its offset. */
typedef struct PhEntryAtOffset {
    uint64_t offset;
    const PhJobEntry *entry;
} PhEntryAtOffset;

/* Input to the engine; everything is borrowed. */
typedef struct PhJobEvent {
    PhJobEventKind kind;
    union {
        struct {
            PhStatus status; /* OK, EXPIRED (`first` is set) or UNAVAILABLE */
            const PhEntryAtOffset *entries;
            size_t count;
            uint64_t next;  /* log offset to read from next */
            uint64_t first; /* oldest log offset still retained */
            bool at_end;    /* nothing follows in the log yet */
        } read;
        PhStatus appended; /* OK, UNAVAILABLE or UNKNOWN */
        struct {
            const PhListedWorker *workers;
            size_t count;
        } workers;
        struct {
            const PhStr *ids;
            size_t count;
        } members;
        struct {
            const PhTeamQuota *teams;
            size_t count;
        } quotas;
        const PhWorkerAnswer *answer;
        struct {
            uint64_t token;
            const PhJobSpec *spec;
        } submit;
        struct {
            uint64_t token;
            uint64_t job;
        } cancel;
    } as;
} PhJobEvent;

typedef enum PhJobActionKind {
    PH_ACTION_APPEND,  /* append this entry; one at a time */
    PH_ACTION_READ,    /* read from a log offset; one at a time */
    PH_ACTION_COMMAND, /* send a command to a worker; report its answer or
                          UNKNOWN */
    PH_ACTION_ANSWER,  /* answer a submit or cancel */
    PH_ACTION_NOTE,    /* log an event */
} PhJobActionKind;

/* Events that the engine reports for the process log. */
typedef enum PhJobNote {
    PH_NOTE_OWNER_GAINED,
    PH_NOTE_OWNER_LOST,
    PH_NOTE_WORKER_RETIRED,
    PH_NOTE_WORKER_RESTORED,
    PH_NOTE_WORKER_LAPSED,
    PH_NOTE_STREAM_LOST, /* entries expired before any snapshot covered them */
    PH_NOTE_WORKER_QUARANTINED,
    PH_NOTE_TASK_QUARANTINED,
} PhJobNote;

/* Output of the engine. The entry and the strings belong to the engine and are
 * valid until its next call. */
typedef struct PhJobAction {
    PhJobActionKind kind;
    union {
        const PhJobEntry *append;
        uint64_t read;
        PhWorkerCommand command;
        struct {
            uint64_t token;
            bool cancel;
            uint64_t job;
            PhResult result;
        } answer;
        struct {
            PhJobNote note;
            PhStr subject;
            uint64_t number;
        } note;
    } as;
} PhJobAction;

typedef struct PhJobEngineOptions {
    PhStr instance; /* unique to this run of the process; copied */
    uint64_t seed;
    PhLeaseTimes times;
    PhPlacementPolicy policy;
    PhCounters *counters; /* may be NULL */
} PhJobEngineOptions;

typedef struct PhJobEngine PhJobEngine;

PhJobEngine *PhJobEngine_Create(const PhJobEngineOptions *options, PhTime now);
void PhJobEngine_Destroy(PhJobEngine *engine);
/* Handles one event and appends the resulting actions to `actions`, an array
 * of PhJobAction. */
void PhJobEngine_Handle(PhJobEngine *engine, const PhJobEvent *event,
                        PhTime now, GArray *actions);
/* State as applied so far, or NULL before the log was read. */
const PhJobState *PhJobEngine_State(const PhJobEngine *engine);
/* True if this instance may start tasks at `now`. */
bool PhJobEngine_Owns(const PhJobEngine *engine, PhTime now);
/* Why a job waits, as the owner sees it; may be empty. */
PhStr PhJobEngine_Reason(const PhJobEngine *engine, uint64_t job);

#endif
