/* Internal declarations of the scheduler simulation. */
#ifndef PERIDOTHILL_TESTS_SCHEDULE_SIM_PRIVATE_H
#define PERIDOTHILL_TESTS_SCHEDULE_SIM_PRIVATE_H

#include "schedule_sim.h"

enum {
    PH_SCHED_SIM_CAPACITY_MILLI = 8000, /* per worker */
    PH_SCHED_SIM_TASK_MILLI = 2000,
    PH_SCHED_SIM_TASKS = 4, /* per step */
};

typedef struct PhSchedSimRun {
    char *task;
    PhSchedTaskName name; /* job id borrowed from PhSchedSim */
    uint32_t run;
    PhTime ends_at;
    bool fails;
    bool stopping;
    bool broken;     /* another member of its gang has ended */
    PhTime alone_at; /* end of the wait for its gang, 0 once it works */
} PhSchedSimRun;

/* Listed in each answer to a hold until it is acknowledged. */
typedef struct PhSchedSimEnd {
    uint64_t number;
    PhSchedTaskName name;
    uint32_t run;
    PhSchedEndKind kind;
} PhSchedSimEnd;

typedef struct PhSchedSimWorker {
    char *id;
    int64_t born_ms;
    PhTime started_at;
    uint64_t fence;
    int64_t deadline_ms; /* end of the lease on the worker's clock */
    GArray *runs;        /* PhSchedSimRun */
    GArray *ends;        /* PhSchedSimEnd */
    GHashTable *highest; /* task to the highest run stopped or ended */
    uint64_t next_end;
    PhTime unreachable_until;
} PhSchedSimWorker;

struct PhSchedSim {
    PhSchedSimOptions options;
    PhRandom *random;
    PhTime now;
    PhScheduler *owner;
    uint64_t fence;
    GPtrArray *workers;  /* PhSchedSimWorker */
    GPtrArray *events;   /* PhSchedSimEvent */
    GPtrArray *ids;      /* char *, of jobs */
    GArray *log;         /* PhSchedEncoded */
    GHashTable *started; /* "task/run" of durable starts */
    GHashTable *used;    /* "task/run" of executed starts */
    PhTime outage_until;
    PhTime next_fault;
    uint64_t pending_batch;
    bool faulty;   /* faults have been injected */
    bool cordoned; /* the data centre of every other worker is */
    unsigned starts;
    unsigned takeovers;
    unsigned added;
};

/* Returns a copy of a job's id that is valid as long as the simulation. */
PhStr PhSchedSim_Id(PhSchedSim *sim, PhStr id);
/* Returns true at random if the fault is enabled. */
bool PhSchedSim_Chance(PhSchedSim *sim, unsigned fault, double probability);

/* schedule_sim_worker.c: the fake workers. */
void PhSchedSimWorker_Add(PhSchedSim *sim, unsigned number);
void PhSchedSimWorker_Destroy(gpointer worker);
/* Starts a new incarnation of a worker, without runs and ends. */
void PhSchedSimWorker_Reset(PhSchedSim *sim, PhSchedSimWorker *worker);
/* The worker's clock in milliseconds. */
int64_t PhSchedSimWorker_Clock(const PhSchedSim *sim,
                               const PhSchedSimWorker *worker);
PhSchedOutcome PhSchedSimWorker_Start(PhSchedSim *sim,
                                      PhSchedSimWorker *worker,
                                      const PhSchedAction *action);
void PhSchedSimWorker_Stop(PhSchedSim *sim, PhSchedSimWorker *worker,
                           const PhSchedRunOrder *order);
void PhSchedSimWorker_Hold(PhSchedSim *sim, PhSchedSimWorker *worker,
                           const PhSchedAction *action,
                           PhSchedHoldReply *hold);
/* Ends finished runs, and all runs once the lease has expired. */
void PhSchedSimWorker_Tick(PhSchedSim *sim, PhSchedSimWorker *worker);
/* Starts complete gangs, and breaks those in which a member ended early. */
void PhSchedSimWorker_TickGangs(PhSchedSim *sim);

#endif
