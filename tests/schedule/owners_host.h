/* Workers of the owners simulation, and the state of all tasks as seen by the
 * workers. */
#ifndef PERIDOTHILL_TESTS_OWNERS_HOST_H
#define PERIDOTHILL_TESTS_OWNERS_HOST_H

#include "peridothill/decide/schedule/scheduler.h"

typedef struct PhHostTask {
    unsigned running;  /* current runs on all workers */
    uint64_t started;  /* event number of the last start */
    uint64_t done;     /* event number of the last end `done`, 0 for none */
    bool acknowledged; /* the end `done` was acknowledged */
    PhTime ran_at;     /* last time that it had a run, 0 for never */
} PhHostTask;

typedef struct PhHostJob {
    char id[17];
    bool lasts;
    PhHostTask *tasks;
    unsigned count;
} PhHostJob;

typedef struct PhHostTasks {
    GPtrArray *jobs; /* PhSimJob */
    uint64_t events; /* number of starts and ends so far */
    unsigned doubles;
    PhTime longest_gap; /* longest time without a run of a long-running task */
} PhHostTasks;

/* A worker, possibly with a slow clock. */
typedef struct PhHost {
    char id[16];
    int64_t born_ms;
    bool alive;
    bool draining;
    bool listed;
    PhTime entry_at; /* last write of its entry */
    int64_t entry_born_ms;
    bool reborn; /* it restarts under its id when the fault ends */
    PhTime born_at;
    int64_t slow_percent;
    uint64_t fence;
    int64_t deadline_ms;
    GArray *runs; /* PhSimRun */
    GArray *ends; /* PhSimEnd */
    uint64_t end_number;
    GHashTable *highest; /* task key to the highest run stopped or ended */
} PhHost;

/* The rows are owned. */
typedef struct PhHostReply {
    PhSchedHoldReply hold;
} PhHostReply;

void PhHostTasks_Open(PhHostTasks *tasks);
void PhHostTasks_Close(PhHostTasks *tasks);
/* Adds a job and returns its id. */
const char *PhHostTasks_AddJob(PhHostTasks *tasks, unsigned count, bool lasts);
/* Updates `ran_at` and `longest_gap`. */
void PhHostTasks_Tick(PhHostTasks *tasks, PhTime now);
/* Whether every short task is done and every long-running one has one run. */
bool PhHostTasks_AreServed(const PhHostTasks *tasks);

void PhHost_Open(PhHost *host, int number);
void PhHost_Close(PhHost *host);
/* Returns a copy of a job's id that is valid until PhSimTasks_Close. */
PhStr PhHostTasks_JobId(const PhHostTasks *tasks, PhStr id);
/* Parses the number in a worker's id. */
int PhHost_Number(PhStr id);
/* Stops the worker without a notice; its runs and ends are lost. */
void PhHost_Exit(PhHost *host);
/* Starts a new incarnation under the same id, without state and with a new
 * clock. */
void PhHost_Rebirth(PhHost *host, PhTime now);
/* Ends finished runs, and all runs once the lease has expired. */
void PhHost_Tick(PhHost *host, PhHostTasks *tasks, PhTime now);
/* Executes an order.  A stopped worker leaves `reply` unchanged. */
void PhHost_Call(PhHost *host, PhHostTasks *tasks, uint64_t fence,
                 const PhSchedAction *action, PhTime now, PhHostReply *reply);
void PhHostReply_Clear(PhHostReply *reply);

#endif
