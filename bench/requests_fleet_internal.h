/* Shared by requests_fleet.c and requests_fleet_setup.c. */
#ifndef PERIDOTHILL_BENCH_REQUESTS_FLEET_INTERNAL_H
#define PERIDOTHILL_BENCH_REQUESTS_FLEET_INTERNAL_H

#include "peridothill/bench/requests_fleet.h"

/* An attempt; its instance keeps it at index number - 1. */
typedef struct PhFleetAttempt {
    uint64_t request;
    uint32_t worker;
    bool open;      /* its reply is awaited */
    bool connected; /* still holds its connection */
    bool silent;    /* its connection no longer answers */
    bool reused;    /* its connection was used before */
} PhFleetAttempt;

/* An entry instance.  Idle connections are counted per worker; some may no
 * longer answer. */
typedef struct PhEntryInstance {
    PhRequests *requests;
    GArray *attempts; /* PhFleetAttempt; number 1 is the first */
    uint32_t *idle;   /* by worker */
    uint32_t *silent; /* idle connections that are silent */
    uint32_t *in_use;
    PhTime timer_at;
} PhEntryInstance;

struct PhFleet {
    PhFleetOptions options;
    PhFakeNet *net;
    PhRandom *random;
    PhEntryInstance *instances;
    PhFakeWorker **workers;
    PhFleetFault *faults;
    bool *leaving;
    GArray *requests; /* PhFleetRequest; id 1 is the first */
    uint32_t connections_max;
};

/* Worker endpoints follow those of the instances. */
static inline uint32_t
worker_endpoint(const PhFleet *f, uint32_t worker)
{
    return f->options.instances + worker;
}

/* Passes an event to the request decisions of an instance and carries out the
 * resulting actions. */
void PhFleet_HandleEvent(PhFleet *fleet, uint32_t number,
                         const PhRequestsEvent *event);
/* Schedules the next request of a service. */
void PhFleet_ScheduleArrival(PhFleet *fleet, uint32_t service);

#endif
