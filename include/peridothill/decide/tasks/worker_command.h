/* Commands to workers and their answers.  Every command is idempotent. */
#ifndef PERIDOTHILL_DECIDE_TASKS_WORKER_COMMAND_H
#define PERIDOTHILL_DECIDE_TASKS_WORKER_COMMAND_H

#include <glib.h>

#include "peridothill/decide/tasks/job.h"

typedef enum PhWorkerCommandKind {
    PH_WORKER_RENEW, /* renews all it holds, asks what it holds */
    PH_WORKER_START,
    PH_WORKER_STOP,
    PH_WORKER_CHECKPOINT,
    PH_WORKER_THROTTLE,
} PhWorkerCommandKind;

/* Times ending in _ms are on the worker's clock. */
typedef struct PhWorkerCommand {
    PhWorkerCommandKind kind;
    uint64_t token; /* the sender's own number, returned in the answer */
    PhStr worker;   /* borrowed */
    uint64_t boot;  /* of the worker as known; 0 in a first question */
    uint64_t epoch;
    int64_t valid_until_ms; /* refused later; 0 in a first question */
    union {
        struct {
            int64_t lease_until_ms; /* 0 renews nothing */
            uint64_t digest;        /* of the runs thought to be held */
            uint64_t acked;         /* ends up to this number are in the log */
        } renew;
        struct {
            PhRun run;
            int64_t lease_until_ms;
            PhJobSize size;
            int64_t run_ms;
            uint64_t resume_from; /* checkpoint, 0 is none */
        } start;
        struct {
            PhRun run;
            bool evict; /* checkpoint first, and report EVICTED */
        } stop;
        PhRun checkpoint;
        struct {
            PhRun run;
            uint32_t percent; /* of full speed */
        } throttle;
    } as;
} PhWorkerCommand;

/* An end that the worker reports until it is acked. */
typedef struct PhWorkerEnd {
    uint64_t number; /* counts from 1 since the worker's boot */
    PhRunEnd end;
} PhWorkerEnd;

/* `status` is UNKNOWN when no answer came, and then nothing else is set.
 * EXPIRED: too late or an old epoch; CONFLICT: another boot. */
typedef struct PhWorkerAnswer {
    PhStr worker; /* borrowed */
    uint64_t token;
    PhStatus status;
    uint64_t boot;
    int64_t clock_ms;
    bool listed;     /* `running` holds all runs; else the digest agreed, or
                        the command was no RENEW */
    GArray *running; /* PhRun, owned, may be NULL */
    GArray *ended;   /* PhWorkerEnd, owned, may be NULL */
} PhWorkerAnswer;

void PhWorkerAnswer_Clear(PhWorkerAnswer *answer);
/* What a run adds to a digest, by exclusive or. */
uint64_t PhRun_Digest(PhRun run);
uint64_t PhRuns_Digest(const GArray *runs);

#endif
