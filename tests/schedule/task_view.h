/* What an owner knows of a task and of a worker, for timelines, and the room
 * that a worker really has. */
#ifndef PERIDOTHILL_TESTS_TASK_VIEW_H
#define PERIDOTHILL_TESTS_TASK_VIEW_H

#include "owners_worker.h"

struct PhOwnersSim;

enum {
    PH_TASK_VIEW_SIZE = 160,
};

/* How often a task fits on a worker that may be used. */
int64_t PhTaskView_CountRoom(const PhSimWorker *worker, bool draining,
                             const PhSimTaskKind *kind);
/* Describes what the owner knows of a task and of a worker with room for it,
 * -1 for none.  `text` has PH_TASK_VIEW_SIZE bytes. */
void PhTaskView_Write(char *text, const struct PhOwnersSim *sim,
                      const PhSimJob *job, unsigned index, int room);
/* Adds what the owner knows of the leases of the worker that a task is placed
 * on. */
void PhTaskView_AddLeases(GString *timeline, const struct PhOwnersSim *sim,
                          const PhSimJob *job, unsigned index);
/* Returns NULL if there is no owner or it does not know the task. */
const PhSchedTask *PhTaskView_Task(const struct PhOwnersSim *sim,
                                   const PhSimJob *job, unsigned index);
double PhTaskView_Seconds(PhTime span);

#endif
