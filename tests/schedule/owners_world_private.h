/* What the files of the world of owners share. */
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

/* One instance. */
typedef struct PhMember {
    char name[24]; /* instance-NUMBER.LIFE */
    unsigned life;
    PhScheduler *scheduler;
    PhElection *election;
    bool active;
    uint64_t fence;
    guint read;   /* records of the log that it knows */
    bool reading; /* the owner topic, until the next tick */
    uint64_t read_from;
    bool down;
    uint64_t batch; /* records that have no answer yet, 0 for none */
} PhMember;

/* An order on its way. */
typedef struct PhFlight {
    int member;
    int host;
    uint64_t fence;
    PhSchedAction action;
    int64_t born_ms;    /* of the life that it has reached */
    PhTime run_at;      /* PH_TIME_NEVER: it is lost, or was carried out */
    PhTime answer_at;   /* PH_TIME_NEVER: it was answered */
    PhTime waits_until; /* a hold that has arrived and waits for an end */
    PhTime given_up_at; /* without an answer by then the outcome is unknown */
    bool mute;          /* the answer is lost */
    PhHostReply reply;
} PhFlight;

struct PhOwnersWorld {
    PhTime now;
    PhMember members[PH_OWNERS_INSTANCES];
    PhHost hosts[PH_OWNERS_WORKERS];
    PhHostTasks tasks;
    GArray *log;          /* PhSchedEncoded */
    GArray *elections;    /* PhElectionEntry */
    uint64_t store_epoch; /* of the records */
    PhOwnersFault faults[PH_OWNERS_FAULTS_MAX];
    unsigned fault_count;
    int64_t brief_at;    /* the next job of brief tasks is submitted */
    int64_t brief_until; /* and none from then on */
    unsigned takeovers;
    PhRandom *delays; /* NULL: orders and answers take no time */
    GArray *flights;  /* PhFlight */
};

/* owners_faults.c: time since the start in milliseconds, and what is cut off
 * or stands still at the time; -1 names no instance, or no worker. */
int64_t PhOwnersWorld_Elapsed(const PhOwnersWorld *world);
bool PhOwnersWorld_IsCut(const PhOwnersWorld *world, int member, int host);
bool PhOwnersWorld_AreApart(const PhOwnersWorld *world, int a, int b);
bool PhOwnersWorld_LacksStore(const PhOwnersWorld *world, int member,
                              int host);
bool PhOwnersWorld_IsFrozen(const PhOwnersWorld *world, int member);
/* Tells whether a fault of some kinds, by their bits, strikes. */
bool PhOwnersWorld_IsStruck(const PhOwnersWorld *world, unsigned kinds,
                            int member, int host);
bool PhOwnersWorld_IsBetween(const PhOwnersWorld *world,
                             PhOwnersFaultKind kind, int member, int host);
/* Names the owner in the faults that begin now. */
void PhOwnersWorld_BeginFaults(PhOwnersWorld *world);

/* owners_orders.c: lets an owner give its orders, and those on their way
 * arrive. */
void PhOwnersWorld_GiveOrders(PhOwnersWorld *world, int member);
void PhOwnersWorld_TickOrders(PhOwnersWorld *world);

#endif
