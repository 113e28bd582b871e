/* A fleet for measuring the decisions on requests: entry instances with their
 * decisions, fake workers, and callers, on one paused time.  One seed gives
 * the same run each time. */
#ifndef PERIDOTHILL_BENCH_REQUESTS_FLEET_H
#define PERIDOTHILL_BENCH_REQUESTS_FLEET_H

#include "peridothill/decide/requests/requests.h"
#include "peridothill/fakes/fake_net.h"
#include "peridothill/fakes/fake_worker.h"

enum {
    PH_FLEET_SERVICES = 3,
    PH_FLEET_DATA_CENTRES = 3,
};

/* A service, and what callers ask of it. */
typedef struct PhFleetService {
    PhServiceClass service_class;
    PhTime service_mean; /* time that a worker takes */
    PhTime deadline;
    double share;
    double rate;   /* requests a second */
    double unsafe; /* part of them that is not idempotent */
    PhTime hedge_after;
} PhFleetService;

typedef struct PhFleetOptions {
    uint64_t seed;
    uint32_t instances;
    uint32_t workers;
    uint32_t slots;
    uint32_t connections;
    PhTime between_data_centres; /* one way */
    PhFleetService services[PH_FLEET_SERVICES];
    PhRequestsTuning tuning;
} PhFleetOptions;

/* What a worker does with requests. */
typedef enum PhFleetFault {
    PH_FLEET_HEALTHY,
    PH_FLEET_FAILS, /* answers at once with an error */
    PH_FLEET_HANGS, /* never answers */
} PhFleetFault;

/* How a request ended. */
typedef enum PhFleetEnd {
    PH_FLEET_OPEN,
    PH_FLEET_ANSWERED,
    PH_FLEET_FAILED, /* an answer that is an error */
    PH_FLEET_NOT_RUN,
    PH_FLEET_UNKNOWN,
} PhFleetEnd;

typedef struct PhFleetRequest {
    PhTime arrived;
    PhTime ended;
    uint32_t instance;
    uint32_t attempts;
    uint8_t service;
    bool idempotent;
    uint8_t executions; /* how often a worker took it up */
    PhFleetEnd end;
} PhFleetRequest;

typedef struct PhFleet PhFleet;

PhFleet *PhFleet_Create(const PhFleetOptions *options);
void PhFleet_Destroy(PhFleet *fleet);
/* Runs until a time; arrivals go on at the rates in force. */
void PhFleet_Run(PhFleet *fleet, PhTime until);
/* Callers of a service from now on. */
void PhFleet_SetRate(PhFleet *fleet, uint32_t service, double rate);
void PhFleet_SetFault(PhFleet *fleet, uint32_t worker, PhFleetFault fault);
/* Slows a worker's service by a factor. */
void PhFleet_SetInterference(PhFleet *fleet, uint32_t worker, double factor);
/* Makes a part of the open idle connections silent for good. */
void PhFleet_SilenceConnections(PhFleet *fleet, double part);
/* Gives a reading of the list in which a worker is leaving or back. */
void PhFleet_SetLeaving(PhFleet *fleet, uint32_t worker, bool leaving);
/* All requests, PhFleetRequest in the order of arrival. */
const GArray *PhFleet_Requests(const PhFleet *fleet);
/* Most connections that were open to one worker at a time. */
uint32_t PhFleet_MostConnections(const PhFleet *fleet);

#endif
