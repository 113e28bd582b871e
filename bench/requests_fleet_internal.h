/* What requests_fleet.c and requests_fleet_setup.c share. */
#ifndef PERIDOTHILL_BENCH_REQUESTS_FLEET_INTERNAL_H
#define PERIDOTHILL_BENCH_REQUESTS_FLEET_INTERNAL_H

#include "peridothill/bench/requests_fleet.h"

/* An attempt, by its number in its instance. */
typedef struct PhFleetAttempt {
    uint64_t request;
    uint32_t worker;
    bool open;      /* the decisions wait for its reply */
    bool connected; /* it still holds its connection */
    bool silent;    /* its connection has gone silent */
    bool reused;    /* its connection was used before */
} PhFleetAttempt;

/* An entry instance.  Idle connections to a worker are counted; some of them
 * may have gone silent. */
typedef struct PhFleetInstance {
    PhRequests *requests;
    GArray *attempts; /* PhFleetAttempt; number 1 is the first */
    uint32_t *idle;   /* by worker */
    uint32_t *silent; /* of them */
    uint32_t *in_use;
    PhTime armed;
} PhFleetInstance;

struct PhFleet {
    PhFleetOptions options;
    PhFakeNet *net;
    PhRandom *random;
    PhFleetInstance *instances;
    PhFakeWorker **workers;
    PhFleetFault *faults;
    bool *leaving;
    GArray *requests; /* PhFleetRequest; id 1 is the first */
    uint32_t most_connections;
};

/* Endpoint of a worker: instances come first. */
static inline uint32_t
worker_endpoint(const PhFleet *f, uint32_t worker)
{
    return f->options.instances + worker;
}

/* Gives an event to the decisions of an instance and carries out what they
 * say. */
void PhFleet_Decide(PhFleet *fleet, uint32_t number,
                    const PhRequestsEvent *event);
/* Sets the timer of a service's next caller. */
void PhFleet_ArmCaller(PhFleet *fleet, uint32_t service);

#endif
