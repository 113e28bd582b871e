/* Tasks that wait to be placed, by job, most urgent job first. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_QUEUE_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_QUEUE_H

#include <glib.h>

#include "peridothill/decide/tasks/job_state.h"

/* A job with waiting tasks. */
typedef struct PhQueuedJob {
    uint64_t number;
    PhJobClass class;
    uint32_t priority;
    int64_t latest_start_ms; /* wall time by which it has to start */
    PhStr team;              /* borrowed from the job */
    GArray *indices;         /* uint32_t, tasks that wait */
    const char *reason;      /* why it waits, or NULL */
} PhQueuedJob;

typedef struct PhJobQueue PhJobQueue;

PhJobQueue *PhJobQueue_Create(void);
void PhJobQueue_Destroy(PhJobQueue *queue);
void PhJobQueue_Clear(PhJobQueue *queue);
/* Adds a waiting task; not before `at`. */
void PhJobQueue_Add(PhJobQueue *queue, const PhJob *job, uint32_t index,
                    PhTime at);
/* Adds all waiting tasks of a job. */
void PhJobQueue_AddJob(PhJobQueue *queue, const PhJob *job);
/* Moves delayed tasks that are due into the queue; tells whether any was. */
bool PhJobQueue_Wake(PhJobQueue *queue, const PhJobState *state, PhTime now);
/* Drops a job. */
void PhJobQueue_Remove(PhJobQueue *queue, uint64_t job);
PhQueuedJob *PhJobQueue_Find(const PhJobQueue *queue, uint64_t job);
/* Walks the jobs in order; NULL starts, NULL ends. */
PhQueuedJob *PhJobQueue_Next(const PhJobQueue *queue,
                             const PhQueuedJob *after);
/* Takes one task of a job; the job is dropped with its last one. */
uint32_t PhJobQueue_Take(PhJobQueue *queue, PhQueuedJob *job);

#endif
