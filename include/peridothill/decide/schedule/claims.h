/* Claims on workers: a task that has waited for claim_after although its turn
 * has come claims the worker on which it is expected to fit first.  Until it
 * starts there, others start on that worker only if they are expected to end
 * before, or fit beside it (EASY backfilling). */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_CLAIMS_H
#define PERIDOTHILL_DECIDE_SCHEDULE_CLAIMS_H

#include "peridothill/decide/schedule/model.h"

/* The expected end of a task, and what it frees. */
typedef struct PhClaimEnd {
    PhTime at;
    PhSchedResources resources;
} PhClaimEnd;

/* The room of a worker. */
typedef struct PhClaimRoom {
    PhSchedResources free;  /* now */
    const PhClaimEnd *ends; /* the earliest first */
    guint count;
} PhClaimRoom;

/* Expected end of a placed task, PH_TIME_NEVER if it is not known. */
PhTime PhClaim_ExpectedEnd(const PhSchedTask *task, PhTime now);
/* From when on a need is expected to fit, PH_TIME_NEVER if these ends don't
 * make enough room. */
PhTime PhClaimRoom_FitsFrom(const PhClaimRoom *room,
                            const PhSchedResources *need, PhTime now);
/* How many workers may be claimed. */
guint PhClaim_Limit(guint usable_workers);
/* Reports whether a task that fits on a claimed worker may start there. */
bool PhClaim_Admits(const PhSchedWorker *worker, const PhSchedTask *task,
                    PhTime now);

#endif
