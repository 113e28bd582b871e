/* Internal declarations of the scheduler simulation. */
#ifndef PERIDOTHILL_TESTS_SCHEDULE_WORLD_PRIVATE_H
#define PERIDOTHILL_TESTS_SCHEDULE_WORLD_PRIVATE_H

#include "schedule_world.h"

enum {
    PH_WORLD_CAPACITY_MILLI = 8000, /* per worker */
    PH_WORLD_TASK_MILLI = 2000,
    PH_WORLD_TASKS = 4, /* per step */
};

typedef struct PhFakeRun {
    char *task;
    PhSchedTaskName name; /* job id borrowed from PhWorld */
    uint32_t run;
    PhTime ends_at;
    bool fails;
    bool stopping;
    bool broken;     /* another member of its gang has ended */
    PhTime alone_at; /* end of the wait for its gang, 0 once it works */
} PhFakeRun;

/* Listed in each answer to a hold until it is acknowledged. */
typedef struct PhFakeEnd {
    uint64_t number;
    PhSchedTaskName name;
    uint32_t run;
    PhSchedEndKind kind;
} PhFakeEnd;

typedef struct PhFakeWorker {
    char *id;
    int64_t born_ms;
    PhTime started_at;
    uint64_t fence;
    int64_t deadline_ms; /* end of the lease on the worker's clock */
    GArray *runs;        /* PhFakeRun */
    GArray *ends;        /* PhFakeEnd */
    GHashTable *highest; /* task to the highest run stopped or ended */
    uint64_t next_end;
    PhTime unreachable_until;
} PhFakeWorker;

struct PhWorld {
    PhWorldOptions options;
    PhRandom *random;
    PhTime now;
    PhScheduler *owner;
    uint64_t fence;
    GPtrArray *workers;  /* PhFakeWorker */
    GPtrArray *events;   /* PhWorldEvent */
    GPtrArray *ids;      /* char *, of jobs */
    GArray *log;         /* PhSchedEncoded */
    GHashTable *started; /* "task/run" of durable starts */
    GHashTable *used;    /* "task/run" of executed starts */
    PhTime outage_until;
    PhTime next_fault;
    uint64_t pending_batch;
    bool faulty; /* faults have been injected */
    unsigned starts;
    unsigned takeovers;
    unsigned added;
};

/* Returns a copy of a job's id that lives as long as the simulation. */
PhStr PhWorld_Id(PhWorld *world, PhStr id);
/* Returns true at random if the fault is enabled. */
bool PhWorld_Chance(PhWorld *world, unsigned fault, double probability);

/* schedule_worker.c: the fake workers. */
void PhFakeWorker_Add(PhWorld *world, unsigned number);
void PhFakeWorker_Destroy(gpointer worker);
/* Starts a new incarnation of a worker, without runs and ends. */
void PhFakeWorker_Reset(PhWorld *world, PhFakeWorker *worker);
/* The worker's clock in milliseconds. */
int64_t PhFakeWorker_Clock(const PhWorld *world, const PhFakeWorker *worker);
PhSchedOutcome PhFakeWorker_Start(PhWorld *world, PhFakeWorker *worker,
                                  const PhSchedAction *action);
void PhFakeWorker_Stop(PhWorld *world, PhFakeWorker *worker,
                       const PhSchedRunOrder *order);
void PhFakeWorker_Hold(PhWorld *world, PhFakeWorker *worker,
                       const PhSchedAction *action, PhSchedHoldReply *hold);
/* Ends finished runs, and all runs once the lease has expired. */
void PhFakeWorker_Tick(PhWorld *world, PhFakeWorker *worker);
/* Starts complete gangs, and breaks those in which a member ended early. */
void PhFakeWorker_TickGangs(PhWorld *world);

#endif
