/* Simulates entry instances, workers and callers on one simulated clock, to
 * measure request decisions.  Runs are reproducible from the seed. */
#ifndef PERIDOTHILL_BENCH_REQUESTS_FLEET_H
#define PERIDOTHILL_BENCH_REQUESTS_FLEET_H

#include "peridothill/decide/requests/requests.h"
#include "peridothill/fakes/fake_net.h"
#include "peridothill/fakes/fake_worker.h"

enum {
    PH_FLEET_SERVICES = 3,
    PH_FLEET_DATA_CENTRES = 3,
};

/* A service and the load that its callers generate. */
typedef struct PhFleetService {
    PhServiceClass service_class;
    PhTime service_mean; /* mean service time of a worker */
    PhTime deadline;
    double share;
    double rate;   /* requests per second */
    double unsafe; /* fraction of requests that is not idempotent */
    PhTime hedge_after;
} PhFleetService;

typedef struct PhFleetOptions {
    uint64_t seed;
    uint32_t instances;
    uint32_t workers;
    uint32_t slots;
    uint32_t connections;
    PhTime between_data_centres; /* one-way delay */
    PhFleetService services[PH_FLEET_SERVICES];
    PhRequestsTuning tuning;
} PhFleetOptions;

/* How a worker handles requests. */
typedef enum PhFleetFault {
    PH_FLEET_HEALTHY,
    PH_FLEET_FAILS, /* answers immediately with an error */
    PH_FLEET_HANGS, /* never answers */
} PhFleetFault;

/* Outcome of a request. */
typedef enum PhFleetEnd {
    PH_FLEET_OPEN,
    PH_FLEET_ANSWERED,
    PH_FLEET_FAILED, /* answered with an error */
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
    uint8_t executions; /* times a worker started it */
    PhFleetEnd end;
} PhFleetRequest;

typedef struct PhFleet PhFleet;

PhFleet *PhFleet_Create(const PhFleetOptions *options);
void PhFleet_Destroy(PhFleet *fleet);
/* Runs the simulation until a time; requests arrive at the current rates. */
void PhFleet_Run(PhFleet *fleet, PhTime until);
/* Sets the request rate of a service, per second. */
void PhFleet_SetRate(PhFleet *fleet, uint32_t service, double rate);
void PhFleet_SetFault(PhFleet *fleet, uint32_t worker, PhFleetFault fault);
/* Multiplies a worker's service time by a factor. */
void PhFleet_SetInterference(PhFleet *fleet, uint32_t worker, double factor);
/* Silences each open idle connection permanently with probability `part`. */
void PhFleet_SilenceConnections(PhFleet *fleet, double part);
/* Publishes a worker list in which the worker is leaving or not. */
void PhFleet_SetLeaving(PhFleet *fleet, uint32_t worker, bool leaving);
/* Returns all requests (PhFleetRequest) in order of arrival. */
const GArray *PhFleet_Requests(const PhFleet *fleet);
/* Returns the maximum number of connections open to one worker at a time. */
uint32_t PhFleet_MaxConnections(const PhFleet *fleet);

#endif
