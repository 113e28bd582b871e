/* Records of the stream of a data centre; docs/LEASES.md explains them. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_RECORD_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_RECORD_H

#include <glib.h>

#include "peridothill/decide/tasks/job.h"

enum {
    /* Job numbers are offset * this + position in the entry. */
    PH_ENTRY_RECORDS_MAX = 1024,
    /* Tasks in one record of a snapshot. */
    PH_SNAPSHOT_TASKS_MAX = 256,
};

typedef enum PhJobRecordKind {
    PH_RECORD_JOB,     /* a job is accepted */
    PH_RECORD_CANCEL,  /* a job is to be cancelled */
    PH_RECORD_CLAIM,   /* an instance claims ownership */
    PH_RECORD_HOLD,    /* the owner lives */
    PH_RECORD_KEEP,    /* an instance registers as renewer */
    PH_RECORD_LEAVE,   /* an instance renews no more */
    PH_RECORD_START,   /* a run is placed */
    PH_RECORD_END,     /* a run has ended */
    PH_RECORD_SUSPECT, /* a worker does not answer */
    PH_RECORD_RETIRE,  /* nobody renews the worker from here on */
    PH_RECORD_RESTORE, /* a retired worker answered */
    PH_RECORD_SNAPSHOT_BEGIN,
    PH_RECORD_SNAPSHOT_JOB,     /* a job of the snapshot, without tasks */
    PH_RECORD_SNAPSHOT_TASKS,   /* a range of its tasks */
    PH_RECORD_SNAPSHOT_WORKER,  /* a retired worker */
    PH_RECORD_SNAPSHOT_RENEWER, /* an instance with its sequence */
    PH_RECORD_SNAPSHOT_END,
} PhJobRecordKind;

/* A task as the state and the snapshots hold it. */
typedef struct PhJobTask {
    PhJobTaskState state;
    uint32_t incarnation; /* of the last start, 0 before the first */
    uint32_t worker;      /* where it is placed, as the state numbers it */
    uint32_t failures;    /* in a row */
    uint64_t checkpoint;  /* to resume from, 0 is none */
} PhJobTask;

/* A record; strings are owned by the record. */
typedef struct PhJobRecord {
    PhJobRecordKind kind;
    union {
        PhJobSpec job;
        uint64_t cancel;
        struct {
            uint64_t epoch;
            uint64_t after; /* place of the earlier owner's last record */
        } claim;
        uint64_t hold;    /* epoch */
        uint64_t through; /* of KEEP: next place this instance reads */
        struct {
            PhStr instance;
            uint64_t sequence; /* of its last entry that was read */
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
        } retire; /* also of RESTORE */
        struct {
            uint64_t id;
            uint64_t epoch;
            uint64_t owner_place;
            uint64_t through; /* the state is that before this place */
            PhStr owner;
        } snapshot; /* of BEGIN and END */
        struct {
            uint64_t number;
            bool cancel_wanted;
            bool finished; /* no tasks follow */
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
            PhStr *workers; /* of each task; empty unless placed */
        } snapshot_tasks;
        struct {
            PhStr worker;
            uint64_t place;
        } snapshot_worker;
        struct {
            PhStr instance;
            uint64_t sequence;
            uint64_t through;
            bool registered;
        } snapshot_renewer;
    } as;
} PhJobRecord;

/* What one append carries. */
typedef struct PhJobEntry {
    PhStr instance;
    uint64_t sequence;
    GArray *records; /* PhJobRecord, owned */
} PhJobEntry;

void PhJobRecord_Clear(PhJobRecord *record);
/* Copies a record with what it owns. */
PhJobRecord PhJobRecord_Copy(const PhJobRecord *record);
/* An array of PhJobRecord that owns its records. */
GArray *PhJobRecords_Create(void);
PhJobEntry PhJobEntry_Make(PhStr instance, uint64_t sequence);
void PhJobEntry_Clear(PhJobEntry *entry);

#endif
