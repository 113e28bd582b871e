/* Log records of a data centre; docs/LEASES.md describes the protocol. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_RECORD_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_RECORD_H

#include <glib.h>

#include "peridothill/decide/tasks/job.h"

enum {
    /* A job's number is log offset * PH_ENTRY_RECORDS_MAX + index of its
     * record in the entry + 1. */
    PH_ENTRY_RECORDS_MAX = 1024,
    /* Tasks per PH_RECORD_SNAPSHOT_TASKS record. */
    PH_SNAPSHOT_TASKS_MAX = 256,
};

typedef enum PhJobRecordKind {
    PH_RECORD_JOB,     /* accepts a job */
    PH_RECORD_CANCEL,  /* cancels a job */
    PH_RECORD_CLAIM,   /* claims ownership of the data centre */
    PH_RECORD_HOLD,    /* owner heartbeat */
    PH_RECORD_KEEP,    /* registers the instance as a lease renewer */
    PH_RECORD_LEAVE,   /* deregisters a lease renewer */
    PH_RECORD_START,   /* places a run on a worker */
    PH_RECORD_END,     /* ends a run */
    PH_RECORD_SUSPECT, /* reports a worker that does not answer */
    PH_RECORD_RETIRE,  /* forbids renewing the worker's leases from here on */
    PH_RECORD_RESTORE, /* undoes RETIRE after the worker answered */
    PH_RECORD_SNAPSHOT_BEGIN,
    PH_RECORD_SNAPSHOT_JOB,     /* a job without its tasks */
    PH_RECORD_SNAPSHOT_TASKS,   /* a range of its tasks */
    PH_RECORD_SNAPSHOT_WORKER,  /* a retired worker */
    PH_RECORD_SNAPSHOT_RENEWER, /* an instance and its sequence */
    PH_RECORD_SNAPSHOT_END,
} PhJobRecordKind;

typedef struct PhJobTask {
    PhJobTaskState state;
    uint32_t incarnation; /* of the last start; 0 before the first */
    uint32_t worker;   /* number in PhJobState; PH_WORKER_NONE unless placed */
    uint32_t failures; /* consecutive */
    uint64_t checkpoint; /* to resume from; 0: none */
} PhJobTask;

/* A record owns its strings. */
typedef struct PhJobRecord {
    PhJobRecordKind kind;
    union {
        PhJobSpec job;
        uint64_t cancel;
        struct {
            uint64_t epoch; /* one above the previous owner's */
            uint64_t after; /* offset of the previous owner's last record */
        } claim;
        uint64_t hold;    /* epoch */
        uint64_t through; /* of KEEP: next log offset this instance reads */
        struct {
            PhStr instance;
            uint64_t sequence; /* of its last entry that was applied */
        } leave;
        struct {
            uint64_t epoch;
            PhRun run;
            PhStr worker;
        } start;
        PhRunEnd end;
        PhStr suspect; /* the worker */
        struct {
            uint64_t epoch;
            PhStr worker;
        } retire; /* RETIRE and RESTORE */
        struct {
            uint64_t id;
            uint64_t epoch;
            uint64_t owner_offset;
            uint64_t through; /* log offset that the state precedes */
            PhStr owner;
        } snapshot; /* SNAPSHOT_BEGIN and SNAPSHOT_END */
        struct {
            uint64_t number;
            bool cancel_wanted;
            bool finished; /* no task records follow */
            uint32_t evictions;
            uint32_t done;
            uint32_t cancelled;
            PhJobSpec spec;
        } snapshot_job;
        struct {
            uint64_t job;
            uint32_t first;
            uint32_t count;
            PhJobTask *tasks;
            PhStr *workers; /* ids, one per task; empty unless placed */
        } snapshot_tasks;
        struct {
            PhStr worker;
            uint64_t offset;
        } snapshot_worker;
        struct {
            PhStr instance;
            uint64_t sequence;
            uint64_t through;
            bool registered;
        } snapshot_renewer;
    } as;
} PhJobRecord;

/* One log entry: the records of a single append. */
typedef struct PhJobEntry {
    PhStr instance;
    uint64_t sequence;
    GArray *records; /* PhJobRecord, owned */
} PhJobEntry;

void PhJobRecord_Clear(PhJobRecord *record);
/* Deep copy; the caller frees it with PhJobRecord_Clear(). */
PhJobRecord PhJobRecord_Copy(const PhJobRecord *record);
/* Empty array of PhJobRecord that clears its elements when freed. */
GArray *PhJobRecords_Create(void);
PhJobEntry PhJobEntry_Make(PhStr instance, uint64_t sequence);
void PhJobEntry_Clear(PhJobEntry *entry);

#endif
