/* Internal declarations of the owners simulation. */
#ifndef PERIDOTHILL_TESTS_OWNERS_SIM_PRIVATE_H
#define PERIDOTHILL_TESTS_OWNERS_SIM_PRIVATE_H

#include "owners_sim.h"
#include "owners_worker.h"
#include "peridothill/common/random.h"
#include "peridothill/decide/schedule/bindings.h"
#include "peridothill/decide/schedule/election.h"
#include "peridothill/decide/schedule/handover.h"

enum {
    PH_OWNERS_TICK_MS = 20,
    PH_OWNERS_IDLE_MAX = 8, /* connections of an instance to a worker */
};

typedef struct PhSimRooms PhSimRooms;
typedef struct PhSimJobs PhSimJobs;
struct PhRestWatch;

#define PH_OWNERS_START (100 * PH_NS_PER_S)

typedef struct PhSimInstance {
    char name[24]; /* instance-NUMBER.INCARNATION */
    unsigned incarnation;
    PhScheduler *scheduler;
    PhElection *election;
    PhBindings *bindings;
    bool active;
    uint64_t fence;
    guint applied;       /* number of log records applied */
    bool read_in_flight; /* a read of the owner topic, completed at the next
                            tick */
    uint64_t read_from;
    bool down;
    PhTime opened_at;
    PhTime stop_at;      /* it was asked to stop; 0: no */
    PhHandover handover; /* with rooms only */
    uint64_t batch;      /* current batch without a reply, 0 for none */
} PhSimInstance;

/* The connections of an instance to a worker's process; they end with that.
 * While orders are lost each carries one at a time, and one without an answer
 * closes it; otherwise one connection carries all. */
typedef struct PhSimConnection {
    int64_t born_ms; /* 0: none yet */
    PhTime since;
    PhTime idle[PH_OWNERS_IDLE_MAX]; /* since when each is established */
    unsigned idle_count;
} PhSimConnection;

/* An order in flight. */
typedef struct PhSimOrder {
    int instance;
    int worker;
    uint64_t fence;
    PhSchedAction action;
    int64_t born_ms;     /* incarnation of the worker when it was sent */
    PhTime connected_at; /* its connection was established */
    bool query;          /* a query goes first, for want of a connection */
    PhTime began_at;     /* it was given, and may have waited since */
    PhTime silence;      /* as in PhSchedRunReply */
    PhTime sent_at;
    PhTime deliver_at;   /* PH_TIME_NEVER: it is lost or delivered */
    PhTime reply_at;     /* PH_TIME_NEVER: it is answered */
    PhTime hold_until;   /* wait of a delivered hold; 0: none */
    PhTime times_out_at; /* the outcome is unknown without a reply by then */
    bool reply_lost;
    bool relayed;   /* a dispatcher sends it */
    bool late;      /* its outcome has been given as unknown */
    PhTime late_by; /* a hold: its reply comes so long after the time-out */
    PhSimReply reply;
} PhSimOrder;

struct PhOwnersSim {
    PhTime now;
    PhSimInstance instances[PH_OWNERS_INSTANCES];
    PhSimWorker workers[PH_OWNERS_WORKERS_MAX];
    int worker_count;
    PhSimRooms *rooms;        /* NULL: the same workers all the time */
    PhSimJobs *drawn;         /* NULL: no jobs are drawn */
    struct PhRestWatch *rest; /* NULL: the rule at rest is not checked */
    PhSimTasks tasks;
    GArray *log;          /* PhSchedEncoded */
    GArray *elections;    /* PhElectionEntry */
    uint64_t store_epoch; /* fence of the log */
    PhOwnersFault faults[PH_OWNERS_FAULTS_MAX];
    unsigned fault_count;
    PhOwnersLosses losses;
    int64_t next_short_ms;  /* submission of the next job of short tasks */
    int64_t short_until_ms; /* end of submissions */
    int64_t short_interval_ms;
    PhTime start_cost; /* time that a start takes on a link, 0: none */
    PhTime link_free_at[PH_OWNERS_INSTANCES];
    unsigned takeovers;
    bool drains_announced;
    bool relays;       /* dispatchers send one start in two */
    bool relays_query; /* a query goes before each of these */
    PhSimConnection connections[PH_OWNERS_INSTANCES][PH_OWNERS_WORKERS_MAX];
    PhRandom *delays; /* NULL: no delays */
    GArray *orders;   /* PhSimOrder */
};

/* owners_jobs.c: submits a job of one step, and submits and cancels those that
 * are drawn. */
void PhOwnersSim_AddJob(PhOwnersSim *sim, unsigned count,
                        const PhSimTaskKind *kind);
void PhSimJobs_Tick(PhOwnersSim *sim);
/* End of the submissions, 0 for none. */
int64_t PhSimJobs_Until(const PhSimJobs *jobs);
void PhSimJobs_Destroy(PhSimJobs *jobs);

/* owners_sim.c: finds the instance that is the owner, -1 for none. */
int PhOwnersSim_Owner(const PhOwnersSim *sim);

/* owners_rooms.c: submits the jobs that are due, and starts, drains, lists and
 * ends a worker. */
void PhSimRooms_Destroy(PhSimRooms *rooms);
void PhSimRooms_SubmitJobs(PhOwnersSim *sim);
void PhSimRooms_TickWorker(PhOwnersSim *sim, int worker);
/* What a draining worker states as the least time until it leaves. */
PhTime PhSimRooms_Remaining(const PhOwnersSim *sim, int worker);
/* Checks the rule, see room_watch.h. */
void PhSimRooms_Check(PhOwnersSim *sim);

/* owners_faults.c: milliseconds since the start, and the effects of the active
 * faults.  An instance or worker of -1 stands for none. */
int64_t PhOwnersSim_ElapsedMs(const PhOwnersSim *sim);
bool PhOwnersSim_IsUnreachable(const PhOwnersSim *sim, int instance,
                               int worker);
bool PhOwnersSim_ArePartitioned(const PhOwnersSim *sim, int a, int b);
bool PhOwnersSim_IsStoreUnreachable(const PhOwnersSim *sim, int instance,
                                    int worker);
bool PhOwnersSim_IsSuspended(const PhOwnersSim *sim, int instance);
/* `kinds` is a bit mask. */
bool PhOwnersSim_IsAffected(const PhOwnersSim *sim, unsigned kinds,
                            int instance, int worker);
bool PhOwnersSim_AreOrdersAffected(const PhOwnersSim *sim,
                                   PhOwnersFaultKind kind, int instance,
                                   int worker);
/* Whether orders are lost by now. */
bool PhOwnersSim_LosesOrders(const PhOwnersSim *sim);
/* Adds the current owner to the faults that begin now and affect it. */
void PhOwnersSim_BeginFaults(PhOwnersSim *sim);

/* owners_orders.c: sends the orders of an owner, and delivers those in
 * flight. */
void PhOwnersSim_SendOrders(PhOwnersSim *sim, int instance);
void PhOwnersSim_DeliverOrders(PhOwnersSim *sim);

#endif
