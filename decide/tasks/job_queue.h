/* Queue of tasks that wait for placement, grouped by job. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_QUEUE_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_QUEUE_H

#include <glib.h>

#include "peridothill/decide/tasks/job_state.h"

typedef struct PhQueuedJob {
    uint64_t number;
    PhJobClass class;
    uint32_t priority;
    int64_t latest_start_ms; /* wall-clock time at which it must start to meet
                                its deadline */
    PhStr team;              /* borrowed from the job */
    GArray *indices;         /* uint32_t, waiting tasks */
    const char *reason;      /* why it still waits, or NULL */
} PhQueuedJob;

typedef struct PhJobQueue PhJobQueue;

PhJobQueue *PhJobQueue_Create(void);
void PhJobQueue_Destroy(PhJobQueue *queue);
void PhJobQueue_Clear(PhJobQueue *queue);
/* Adds a waiting task, to be queued once `at` has passed; 0 queues it now. */
void PhJobQueue_Add(PhJobQueue *queue, const PhJob *job, uint32_t index,
                    PhTime at);
/* Adds all waiting tasks of a job; the lowest index is taken first. */
void PhJobQueue_AddJob(PhJobQueue *queue, const PhJob *job);
/* Queues delayed tasks that are due and still wait. Returns true if any was
 * queued. */
bool PhJobQueue_QueueDue(PhJobQueue *queue, const PhJobState *state,
                         PhTime now);
void PhJobQueue_Remove(PhJobQueue *queue, uint64_t number);
/* Returns NULL if no task of the job is queued. */
PhQueuedJob *PhJobQueue_Find(const PhJobQueue *queue, uint64_t number);
/* Iterates over the jobs by class, priority, latest start and age. Begins with
 * NULL and returns NULL at the end. */
PhQueuedJob *PhJobQueue_Next(const PhJobQueue *queue,
                             const PhQueuedJob *after);
/* Removes and returns one task of a job; the job is removed with its last
 * one. */
uint32_t PhJobQueue_PopTask(PhJobQueue *queue, PhQueuedJob *job);

#endif
