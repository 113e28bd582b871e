/* Decides for one instance: what it appends, which workers it renews, and,
 * while it owns the data centre, what starts where. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_ENGINE_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_ENGINE_H

#include "peridothill/common/counter.h"
#include "peridothill/decide/tasks/job_state.h"
#include "peridothill/decide/tasks/lease.h"
#include "peridothill/decide/tasks/placement.h"
#include "peridothill/decide/tasks/quota.h"
#include "peridothill/decide/tasks/worker_command.h"

enum {
    /* The engine wants PH_JOB_TICK this often. */
    PH_JOB_TICK_MS = 100,
    PH_JOB_SUBMITS_MAX = 4096,
};

/* A worker as the platform lists it; strings borrowed. */
typedef struct PhListedWorker {
    PhStr id;
    PhStr rack;
    PhJobSize size;
    bool leaving;
} PhListedWorker;

typedef enum PhJobEventKind {
    PH_JOB_TICK,
    PH_JOB_READ,     /* entries that were read */
    PH_JOB_APPENDED, /* answer to PH_ACTION_APPEND */
    PH_JOB_WORKERS,  /* a new reading of the list */
    PH_JOB_MEMBERS,  /* instances of the data centre thought alive */
    PH_JOB_QUOTAS,   /* the quotas of all teams */
    PH_JOB_WORKER_ANSWER,
    PH_JOB_SUBMIT,
    PH_JOB_CANCEL,
    PH_JOB_LEAVE, /* this instance stops: register no more */
} PhJobEventKind;

/* An entry and its place. */
typedef struct PhPlacedEntry {
    uint64_t place;
    const PhJobEntry *entry;
} PhPlacedEntry;

/* What happens to the engine; all is borrowed. */
typedef struct PhJobEvent {
    PhJobEventKind kind;
    union {
        struct {
            PhStatus status; /* OK, EXPIRED (then `first`) or UNAVAILABLE */
            const PhPlacedEntry *entries;
            size_t count;
            uint64_t next; /* place to read from next */
            uint64_t first;
            bool at_end;
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
    PH_ACTION_READ,    /* read from a place; one at a time */
    PH_ACTION_COMMAND, /* command a worker; answer it or say UNKNOWN */
    PH_ACTION_ANSWER,  /* answer a submit or a cancel */
    PH_ACTION_NOTE,    /* log an event */
} PhJobActionKind;

/* What the engine notes in the log of the process. */
typedef enum PhJobNote {
    PH_NOTE_OWNER_GAINED,
    PH_NOTE_OWNER_LOST,
    PH_NOTE_WORKER_RETIRED,
    PH_NOTE_WORKER_RESTORED,
    PH_NOTE_WORKER_LAPSED,
    PH_NOTE_STREAM_LOST, /* retention passed before a snapshot */
    PH_NOTE_WORKER_QUARANTINED,
    PH_NOTE_TASK_QUARANTINED,
} PhJobNote;

/* What the engine wants done.  Entry and strings stay the engine's and are
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

/* `instance` is unique to this run of the process; strings are copied.
 * `counters` may be NULL. */
typedef struct PhJobEngineOptions {
    PhStr instance;
    uint64_t seed;
    PhLeaseTimes times;
    PhPlacementPolicy policy;
    PhCounters *counters;
} PhJobEngineOptions;

typedef struct PhJobEngine PhJobEngine;

PhJobEngine *PhJobEngine_Create(const PhJobEngineOptions *options, PhTime now);
void PhJobEngine_Destroy(PhJobEngine *engine);
/* Handles an event; actions are added to `actions`, an array of
 * PhJobAction. */
void PhJobEngine_Handle(PhJobEngine *engine, const PhJobEvent *event,
                        PhTime now, GArray *actions);
/* The state as read so far, or NULL before the stream was read. */
const PhJobState *PhJobEngine_State(const PhJobEngine *engine);
/* Tells whether this instance may start tasks at `now`. */
bool PhJobEngine_Owns(const PhJobEngine *engine, PhTime now);
/* Why a job waits, as the owner sees it; may be empty. */
PhStr PhJobEngine_Reason(const PhJobEngine *engine, uint64_t job);

#endif
