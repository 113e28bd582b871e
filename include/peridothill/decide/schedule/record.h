/* What the store keeps of jobs: tagged records that every instance applies to
 * its model. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_RECORD_H
#define PERIDOTHILL_DECIDE_SCHEDULE_RECORD_H

#include "peridothill/decide/schedule/model.h"

typedef enum PhSchedRecordTag {
    PH_SCHED_RECORD_JOB,    /* a client's job, accepted */
    PH_SCHED_RECORD_CANCEL, /* a client cancelled a job */
    PH_SCHED_RECORD_STATE,  /* the owner's word on a job */
    PH_SCHED_RECORD_STAGE,  /* the owner's word on the tasks of a stage */
    PH_SCHED_RECORD_WORKER, /* whether the owner grants leases to a worker */
    PH_SCHED_RECORD_PAIRS,  /* what the owner has learned of interference */
} PhSchedRecordTag;

/* A task as recorded.  Strings are owned. */
typedef struct PhSchedTaskRecord {
    PhSchedTaskState state;
    uint32_t run;
    uint32_t failures;
    PhStr worker; /* empty unless it is placed */
    int64_t worker_born_ms;
    PhStr saved;
} PhSchedTaskRecord;

/* What was seen of a pair of images; see interference.h.  Strings are
 * owned. */
typedef struct PhSchedPairRecord {
    PhStr fill;
    PhStr serving;
    double factor;
    double variance;
    uint32_t filter; /* of the serving image's own load, see load.h */
} PhSchedPairRecord;

/* `id` is the job's or the worker's, empty for PAIRS.  Strings are owned. */
typedef struct PhSchedRecord {
    PhSchedRecordTag tag;
    PhStr id;
    union {
        PhSchedSpec job;
        PhSchedJobState state;
        struct {
            uint32_t round;
            uint32_t step;
            PhSchedTaskRecord *tasks;
            uint32_t task_count;
        } stage;
        struct {
            int64_t born_ms;
            bool suspended; /* no lease is granted from this record on */
            PhTime lapse; /* then every lease, whoever granted it, ends within
                             this time; 0: not known */
            bool leaving; /* it has said that it is about to leave */
        } worker;
        struct {
            PhSchedPairRecord *items;
            uint32_t count;
        } pairs;
    } as;
} PhSchedRecord;

void PhSchedRecord_Clear(PhSchedRecord *record);
/* Describes a stage as it stands; the strings are copies. */
PhSchedRecord PhSchedRecord_OfStage(const PhSchedStage *stage);
enum {
    PH_SCHED_EARLY_MAX = 8192 /* records of jobs that are not known, 2 MB */
};

/* Applies a record that was read from the store to the jobs.  Takes over the
 * parts it keeps and clears the rest.  NOT_FOUND: the job is not known yet;
 * the record is kept and applied when the job is added, in order.  FULL: too
 * many are kept, this one is left out and the jobs have to be read anew.
 * INVALID: the record does not fit the job. */
PhStatus PhSchedModel_Apply(PhSchedModel *model, PhSchedRecord *record,
                            PhTime now);
/* Applies the records that were kept for a job that has become known. */
void PhSchedModel_ApplyDeferred(PhSchedModel *model, PhSchedJob *job,
                                PhTime now);
/* Releases records that are kept for one job, a GQueue. */
void PhSchedModel_DestroyDeferred(gpointer records);

#endif
