/* Internal declarations of the owners simulation. */
#ifndef PERIDOTHILL_TESTS_OWNERS_WORLD_PRIVATE_H
#define PERIDOTHILL_TESTS_OWNERS_WORLD_PRIVATE_H

#include "owners_host.h"
#include "owners_world.h"
#include "peridothill/common/random.h"
#include "peridothill/decide/schedule/election.h"

enum {
    PH_OWNERS_TICK_MS = 20,
};

#define PH_OWNERS_START (100 * PH_NS_PER_S)

typedef struct PhMember {
    char name[24]; /* instance-NUMBER.INCARNATION */
    unsigned life;
    PhScheduler *scheduler;
    PhElection *election;
    bool active;
    uint64_t fence;
    guint read;   /* number of log records applied */
    bool reading; /* a read of the owner topic, completed at the next
                            tick */
    uint64_t read_from;
    bool down;
    uint64_t batch; /* current batch without a reply, 0 for none */
} PhMember;

/* An order in flight. */
typedef struct PhFlight {
    int member;
    int host;
    uint64_t fence;
    PhSchedAction action;
    int64_t born_ms;    /* incarnation of the worker when it was sent */
    PhTime run_at;      /* PH_TIME_NEVER: it is lost or delivered */
    PhTime answer_at;   /* PH_TIME_NEVER: it is answered */
    PhTime waits_until; /* wait of a delivered hold; 0: none */
    PhTime given_up_at; /* the outcome is unknown without a reply by then */
    bool mute;
    PhHostReply reply;
} PhFlight;

struct PhOwnersWorld {
    PhTime now;
    PhMember members[PH_OWNERS_INSTANCES];
    PhHost hosts[PH_OWNERS_WORKERS];
    PhHostTasks tasks;
    GArray *log;          /* PhSchedEncoded */
    GArray *elections;    /* PhElectionEntry */
    uint64_t store_epoch; /* fence of the log */
    PhOwnersFault faults[PH_OWNERS_FAULTS_MAX];
    unsigned fault_count;
    int64_t brief_at;    /* submission of the next job of short tasks */
    int64_t brief_until; /* end of submissions */
    unsigned takeovers;
    PhRandom *delays; /* NULL: no delays */
    GArray *flights;  /* PhSimOrder */
};

/* owners_faults.c: milliseconds since the start, and the effects of the active
 * faults.  An instance or worker of -1 stands for none. */
int64_t PhOwnersWorld_Elapsed(const PhOwnersWorld *world);
bool PhOwnersWorld_IsCut(const PhOwnersWorld *world, int member, int host);
bool PhOwnersWorld_AreApart(const PhOwnersWorld *world, int a, int b);
bool PhOwnersWorld_LacksStore(const PhOwnersWorld *world, int member,
                              int host);
bool PhOwnersWorld_IsFrozen(const PhOwnersWorld *world, int member);
/* `kinds` is a bit mask. */
bool PhOwnersWorld_IsStruck(const PhOwnersWorld *world, unsigned kinds,
                            int member, int host);
bool PhOwnersWorld_IsBetween(const PhOwnersWorld *world,
                             PhOwnersFaultKind kind, int member, int host);
/* Adds the current owner to the faults that begin now and affect it. */
void PhOwnersWorld_BeginFaults(PhOwnersWorld *world);

/* owners_orders.c: sends the orders of an owner, and delivers those in
 * flight. */
void PhOwnersWorld_GiveOrders(PhOwnersWorld *world, int member);
void PhOwnersWorld_TickOrders(PhOwnersWorld *world);

#endif
