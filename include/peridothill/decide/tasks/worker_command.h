/* Commands to workers and their answers. All commands are idempotent. */
#ifndef PERIDOTHILL_DECIDE_TASKS_WORKER_COMMAND_H
#define PERIDOTHILL_DECIDE_TASKS_WORKER_COMMAND_H

#include <glib.h>

#include "peridothill/decide/tasks/job.h"

typedef enum PhWorkerCommandKind {
    PH_WORKER_RENEW, /* renews the leases of all its runs and lists them */
    PH_WORKER_START,
    PH_WORKER_STOP,
    PH_WORKER_CHECKPOINT,
    PH_WORKER_THROTTLE,
} PhWorkerCommandKind;

/* Fields ending in _ms are on the worker's clock. */
typedef struct PhWorkerCommand {
    PhWorkerCommandKind kind;
    uint64_t token; /* chosen by the sender, returned in the answer */
    PhStr worker;   /* borrowed */
    uint64_t boot; /* boot id of the worker as known; 0 in the first command */
    /* Of the newest owner that the sender knows, see PhJobState_Epoch. A
     * worker refuses an epoch below the highest one seen, except in RENEW. */
    uint64_t epoch;
    int64_t valid_until_ms; /* refused later; 0 in the first command */
    union {
        struct {
            int64_t lease_until_ms; /* 0: do not renew */
            uint64_t digest; /* PhRuns_Digest() of the runs expected there */
            uint64_t acked;  /* ends up to this number are in the log */
        } renew;
        struct {
            PhRun run;
            int64_t lease_until_ms;
            PhJobSize size;
            int64_t run_ms;
            uint64_t resume_from; /* checkpoint; 0: none */
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

/* The end of a run; the worker reports it until it is acknowledged. */
typedef struct PhWorkerEnd {
    uint64_t number; /* counts from 1 since the worker booted */
    PhRunEnd end;
} PhWorkerEnd;

/* `status` is UNKNOWN if no answer came; then only `worker` and `token` are
 * set. EXPIRED: command too late or epoch too old. CONFLICT: other boot id. */
typedef struct PhWorkerAnswer {
    PhStr worker; /* borrowed */
    uint64_t token;
    PhStatus status;
    uint64_t boot;
    int64_t clock_ms;
    bool listed; /* `running` is complete; false if the digest matched or the
                    command was no RENEW */
    GArray *running; /* PhRun, owned, may be NULL */
    GArray *ended;   /* PhWorkerEnd, owned, may be NULL */
} PhWorkerAnswer;

void PhWorkerAnswer_Clear(PhWorkerAnswer *answer);
uint64_t PhRun_Digest(PhRun run);
/* Digest of a set of runs, independent of their order: the XOR of their
 * digests. */
uint64_t PhRuns_Digest(const GArray *runs);

#endif
