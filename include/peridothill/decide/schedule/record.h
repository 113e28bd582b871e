/* Records of jobs in the store.  Every instance applies them to its model. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_RECORD_H
#define PERIDOTHILL_DECIDE_SCHEDULE_RECORD_H

#include "peridothill/decide/schedule/model.h"

typedef enum PhSchedRecordTag {
    PH_SCHED_RECORD_JOB,    /* a client's job, accepted */
    PH_SCHED_RECORD_CANCEL, /* a client cancelled a job, which may follow */
    PH_SCHED_RECORD_STATE,  /* state of a job, by the owner */
    PH_SCHED_RECORD_STAGE,  /* tasks of a stage or part of it, by the owner */
    PH_SCHED_RECORD_WORKER, /* whether the owner grants leases to a worker */
    PH_SCHED_RECORD_PAIRS,  /* interference factors learned by the owner */
} PhSchedRecordTag;

/* Strings are owned. */
typedef struct PhSchedTaskRecord {
    PhSchedTaskState state;
    uint32_t run;
    uint32_t failures;
    PhStr worker; /* empty unless the task is placed */
    int64_t worker_born_ms;
    PhStr last_checkpoint;
} PhSchedTaskRecord;

/* Estimated interference of a pair of images; see interference.h.  Strings are
 * owned. */
typedef struct PhSchedPairRecord {
    PhStr backfill;
    PhStr serving;
    double factor;
    double variance;
    uint32_t filter; /* best filter of the serving image's load, see load.h */
} PhSchedPairRecord;

/* `id` is that of the job or the worker, empty for PAIRS.  Strings are owned.
 */
typedef struct PhSchedRecord {
    PhSchedRecordTag tag;
    PhStr id;
    union {
        PhSchedSpec job;
        PhSchedJobState state;
        struct {
            uint32_t round;
            uint32_t step;
            uint32_t first;   /* task that tasks[0] describes */
            uint32_t part_of; /* tasks of the stage, if the record holds only
                                 a part of them; else 0 */
            bool continues;   /* the record before is of the same stage */
            PhSchedTaskRecord *tasks;
            uint32_t task_count;
        } stage;
        struct {
            int64_t born_ms;
            bool suspended; /* no lease is granted from this record on */
            /* All leases, also of earlier owners, end within this time of the
             * record; 0: unknown. */
            PhTime lease_expiry_bound;
            bool inherited; /* that covers orders meant for an earlier
                               incarnation */
            bool leaving;   /* it has announced that it leaves */
            bool unbound;   /* orders to it are sent on any connection */
        } worker;
        struct {
            PhSchedPairRecord *items;
            uint32_t count;
        } pairs;
    } as;
} PhSchedRecord;

void PhSchedRecord_Clear(PhSchedRecord *record);
/* Describes the current state of the tasks of a stage from `first` on,
 * PH_SCHED_PART_TASKS at most; the strings are copies.  `first` is a multiple
 * of that number, so that each part keeps its key. */
PhSchedRecord PhSchedRecord_OfStage(const PhSchedStage *stage, uint32_t first);
/* Appends the records of the parts of a stage that have changed, one after the
 * other.  They count as recorded from then on.  In the store are all parts of
 * a stage or none, so that none is missing that has never changed. */
void PhSchedStage_TakeRecords(PhSchedStage *stage, GArray *records);
/* Notes that the newest record of the task's part does not describe it. */
void PhSchedTask_OutdateRecord(const PhSchedTask *task);
enum {
    PH_SCHED_PART_TASKS = 256,   /* of a stage in one record */
    PH_SCHED_DEFERRED_MAX = 8192 /* deferred records of unknown jobs: 2 MB */
};

/* Applies a record that was read from the store, takes over the parts it keeps
 * and clears the rest.  Returns NOT_FOUND if the job is unknown: the record is
 * deferred and applied in order when the job is added.  Returns FULL if too
 * many records are deferred: this one is dropped, and the jobs have to be read
 * again.  Returns INVALID if the record does not match the job. */
PhStatus PhSchedModel_Apply(PhSchedModel *model, PhSchedRecord *record,
                            PhTime now);
/* Applies the records that were deferred until this job became known. */
void PhSchedModel_ApplyDeferred(PhSchedModel *model, PhSchedJob *job,
                                PhTime now);
/* Frees a GQueue of deferred records. */
void PhSchedModel_DestroyDeferred(gpointer records);

#endif
