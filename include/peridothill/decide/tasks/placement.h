/* Which worker a task goes to.  Workers are indexed by what is free on them,
 * so that the cost of a choice does not grow with their number. */
#ifndef PERIDOTHILL_DECIDE_TASKS_PLACEMENT_H
#define PERIDOTHILL_DECIDE_TASKS_PLACEMENT_H

#include "peridothill/common/random.h"
#include "peridothill/decide/tasks/job.h"

typedef enum PhPlacementPolicy {
    PH_PLACEMENT_INDEXED,
    PH_PLACEMENT_FIRST_FIT,    /* baseline: the first worker with room */
    PH_PLACEMENT_LEAST_LOADED, /* baseline: the one with most processors free
                                */
} PhPlacementPolicy;

#define PH_PLACEMENT_NONE UINT32_MAX

typedef struct PhPlacement PhPlacement;

PhPlacement *PhPlacement_Create(PhPlacementPolicy policy);
void PhPlacement_Destroy(PhPlacement *placement);
/* Sets size and rack of a worker, numbered by the caller from 0 without large
 * gaps; only a usable one is chosen. */
void PhPlacement_SetWorker(PhPlacement *placement, uint32_t worker,
                           PhJobSize size, PhStr rack, bool usable);
/* Forgets what is committed everywhere. */
void PhPlacement_Reset(PhPlacement *placement);
/* Takes room for a task of a job.  `checked` asserts that it is there. */
void PhPlacement_Commit(PhPlacement *placement, uint32_t worker, uint64_t job,
                        PhJobSize size, bool checked);
void PhPlacement_Release(PhPlacement *placement, uint32_t worker, uint64_t job,
                         PhJobSize size);
/* Gives the worker for a task, or PH_PLACEMENT_NONE. */
uint32_t PhPlacement_Choose(PhPlacement *placement, uint64_t job,
                            PhJobSize size);
/* Tells whether some worker, if it were empty, could hold the size. */
bool PhPlacement_EverFits(const PhPlacement *placement, PhJobSize size);
/* What is committed on a worker. */
PhJobSize PhPlacement_Committed(const PhPlacement *placement, uint32_t worker);
/* The sum of the sizes of all usable workers. */
PhJobSize PhPlacement_Total(const PhPlacement *placement);

#endif
