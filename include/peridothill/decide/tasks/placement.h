/* Worker selection. Workers are indexed by free capacity, so the cost of a
 * choice does not grow with their number. */
#ifndef PERIDOTHILL_DECIDE_TASKS_PLACEMENT_H
#define PERIDOTHILL_DECIDE_TASKS_PLACEMENT_H

#include "peridothill/common/random.h"
#include "peridothill/decide/tasks/job.h"

typedef enum PhPlacementPolicy {
    PH_PLACEMENT_INDEXED,
    PH_PLACEMENT_FIRST_FIT,    /* baseline: first worker that fits */
    PH_PLACEMENT_LEAST_LOADED, /* baseline: worker with most free CPU */
} PhPlacementPolicy;

#define PH_PLACEMENT_NONE UINT32_MAX

typedef struct PhPlacement PhPlacement;

PhPlacement *PhPlacement_Create(PhPlacementPolicy policy);
void PhPlacement_Destroy(PhPlacement *placement);
/* Sets capacity and rack of a worker. The caller numbers workers from 0
 * without large gaps. Only usable workers are chosen. */
void PhPlacement_SetWorker(PhPlacement *placement, uint32_t worker,
                           PhJobSize size, PhStr rack, bool usable);
/* Drops all commitments; the workers stay. */
void PhPlacement_Reset(PhPlacement *placement);
/* Reserves capacity for one task of a job. `checked` asserts that it is
 * free. */
void PhPlacement_Commit(PhPlacement *placement, uint32_t worker, uint64_t job,
                        PhJobSize size, bool checked);
void PhPlacement_Release(PhPlacement *placement, uint32_t worker, uint64_t job,
                         PhJobSize size);
/* Returns the worker for one task, or PH_PLACEMENT_NONE. */
uint32_t PhPlacement_Choose(PhPlacement *placement, uint64_t job,
                            PhJobSize size);
/* True if some worker could hold `size` when empty. */
bool PhPlacement_FitsEmptyWorker(const PhPlacement *placement, PhJobSize size);
PhJobSize PhPlacement_Committed(const PhPlacement *placement, uint32_t worker);
/* Total capacity of the usable workers. */
PhJobSize PhPlacement_Total(const PhPlacement *placement);

#endif
