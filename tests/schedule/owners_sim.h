/* Simulation of instances that elect an owner, of workers and of a store, on
 * simulated time.  Any of them may be cut off from others, so that several
 * instances may believe to be the owner, and an earlier owner may become it
 * again.  Checks at the workers that no task runs twice at a time, or again
 * after an acknowledged end. */
#ifndef PERIDOTHILL_TESTS_OWNERS_SIM_H
#define PERIDOTHILL_TESTS_OWNERS_SIM_H

#include <stdbool.h>
#include <stdint.h>

enum {
    PH_OWNERS_INSTANCES = 3,
    PH_OWNERS_WORKERS = 4, /* unless others are drawn, see owners_rooms.h */
    PH_OWNERS_WORKERS_MAX = 32,
    PH_OWNERS_FAULTS_MAX = 64,
    PH_OWNERS_NOTICE_MS = 2500,
};

typedef enum PhOwnersFaultKind {
    PH_OWNERS_STORE_UNREACHABLE,   /* the store is unreachable; worker entries
                                      expire */
    PH_OWNERS_WORKERS_UNREACHABLE, /* the instances cannot reach the workers */
    PH_OWNERS_PARTITION, /* the named ones can only reach each other */
    PH_OWNERS_SUSPEND,   /* the instances are suspended */
    PH_OWNERS_DRAIN,     /* the workers drain, and exit at the end */
    PH_OWNERS_CRASH,     /* the instances crash, and restart at the end */
    PH_OWNERS_RESTART,   /* the workers stop, and restart under the same id at
                            the end */
    PH_OWNERS_REPLIES_LOST, /* orders are executed, their replies are lost */
    PH_OWNERS_ORDERS_LATE, /* orders are executed 2 to 12 s late, their replies
                              are lost */
    PH_OWNERS_STORE_REPLIES_LOST, /* appends take effect, their replies are
                                     lost */
    PH_OWNERS_STOP, /* the instances are asked to stop, exit after
                       PH_OWNERS_NOTICE_MS, and restart at the end */
    PH_OWNERS_FAULT_KINDS,
} PhOwnersFaultKind;

/* A fault of the instances and workers in the bit masks.  `owner` adds the
 * instance that is the owner when the fault begins. */
typedef struct PhOwnersFault {
    PhOwnersFaultKind kind;
    int64_t at_ms;
    int64_t duration_ms;
    unsigned instances;
    unsigned workers;
    bool owner;
} PhOwnersFault;

/* A share of the orders has no answer from a time on, each order independently
 * of the others.  Queries count as holds. */
typedef struct PhOwnersLosses {
    double share;
    unsigned orders; /* bit mask of PhSchedActionTag */
    bool late;       /* they are executed 2 to 12 s later; otherwise never */
    int64_t from_ms;
} PhOwnersLosses;

/* What drawn jobs have. */
typedef enum PhOwnersJobTrait {
    PH_OWNERS_CHAINS = 1 << 0,   /* up to three steps that follow each other */
    PH_OWNERS_FAILURES = 1 << 1, /* runs that fail */
    PH_OWNERS_CANCELS = 1 << 2,  /* some are cancelled */
    PH_OWNERS_GANGS = 1 << 3,
    PH_OWNERS_SAVES = 1 << 4,    /* saved state */
    PH_OWNERS_HOPELESS = 1 << 5, /* with FAILURES: all runs of some fail */
} PhOwnersJobTrait;

/* A worker restarts under its id and executes late starts of the owner; from
 * then on nobody can reach or list it.  The owner ends and returns. */
typedef struct PhOwnerEnd {
    uint64_t seed;          /* of the delays */
    PhOwnersFaultKind kind; /* CRASH or STOP */
    int64_t up_ms;          /* the worker runs again */
    int64_t at_ms;          /* the owner ends */
    int64_t away_ms;
    unsigned workers;
} PhOwnerEnd;

typedef struct PhOwnersSim PhOwnersSim;

/* Creates `long_tasks` long-running tasks at the start, and jobs of short
 * tasks until a time. */
PhOwnersSim *PhOwnersSim_Create(unsigned long_tasks, int64_t short_until_ms);
void PhOwnersSim_Destroy(PhOwnersSim *sim);
/* Delays orders and replies by random times; they take none by default. */
void PhOwnersSim_SetDelays(PhOwnersSim *sim, uint64_t seed);
/* Each instance has a link that carries so many starts a second, one after the
 * other, and other orders in a tenth of the time.  Replies that come too late
 * are lost, while the orders are executed.  Needs delays. */
void PhOwnersSim_LimitLinks(PhOwnersSim *sim, unsigned starts_per_s);
/* Dispatchers send one start in two, up to 1.5 s later.  Needs delays. */
void PhOwnersSim_RelayStarts(PhOwnersSim *sim);
/* Dispatchers have no connections, so that a query goes before each start. */
void PhOwnersSim_QueryForRelays(PhOwnersSim *sim);
/* Jobs of short tasks are submitted at this interval, 1 s by default. */
void PhOwnersSim_SetInterval(PhOwnersSim *sim, int64_t interval_ms);
/* Workers that drain state that they may leave at any time, so that their
 * lasting tasks are moved. */
void PhOwnersSim_AnnounceDrains(PhOwnersSim *sim);
/* Submits jobs with these traits, drawn from a seed, until a time.  For
 * simulations without rooms. */
void PhOwnersSim_DrawJobs(PhOwnersSim *sim, uint64_t seed, unsigned traits,
                          int64_t until_ms);
void PhOwnersSim_AddFault(PhOwnersSim *sim, const PhOwnersFault *fault);
/* Loses orders until the end.  A connection whose order has no answer is
 * closed.  Needs delays. */
void PhOwnersSim_LoseOrders(PhOwnersSim *sim, const PhOwnersLosses *losses);
/* Adds `count` random faults of the kinds in the bit mask, one every few
 * seconds. */
void PhOwnersSim_DrawFaults(PhOwnersSim *sim, uint64_t seed, unsigned count,
                            unsigned kinds);
/* Runs until a time since the start. */
void PhOwnersSim_Run(PhOwnersSim *sim, int64_t until_ms);
/* Runs this alone.  Returns whether no task ran twice and all are settled. */
bool PhOwnersSim_HoldsAfter(const PhOwnerEnd *end);
/* Number of starts of a task while it had another run, or after its
 * acknowledged end. */
unsigned PhOwnersSim_DuplicateStarts(const PhOwnersSim *sim);
/* Number of starts of a task after an end of it had been listed to an owner
 * for 0.1 s, also if the reply did not reach the owner. */
unsigned PhOwnersSim_RepeatedStarts(const PhOwnersSim *sim);
/* Number of leases that expired with runs, and of those of them whose worker
 * had answered an order that the owner had sent within the length of a lease;
 * number of runs that ended so and were to last. */
unsigned PhOwnersSim_Lapses(const PhOwnersSim *sim);
unsigned PhOwnersSim_FalseLapses(const PhOwnersSim *sim);
unsigned PhOwnersSim_LapsedLasting(const PhOwnersSim *sim);
/* Number of workers, with those that have left. */
unsigned PhOwnersSim_WorkerCount(const PhOwnersSim *sim);
/* Whether every short task is done and every long-running one has one run. */
bool PhOwnersSim_IsSettled(const PhOwnersSim *sim);
/* Longest time in milliseconds that a long-running task was without a run. */
int64_t PhOwnersSim_LongestGap(const PhOwnersSim *sim);
/* Milliseconds from the start to the end of all faults and submissions. */
int64_t PhOwnersSim_CalmFrom(const PhOwnersSim *sim);
/* Number of times that an instance became the owner. */
unsigned PhOwnersSim_Takeovers(const PhOwnersSim *sim);

#endif
