/* The demonstration's world: stand-ins of the platform, workers, and entry
 * instances, all in one process on loopback, each instance on a kernel of its
 * own. */
#ifndef PERIDOTHILL_DEMO_WORLD_H
#define PERIDOTHILL_DEMO_WORLD_H

#include "peridothill/services/instance.h"
#include "peridothill/standin/standin.h"

enum {
    PH_WORLD_INSTANCES = 3,
    PH_WORLD_WORKERS = 6,
    PH_WORLD_DATA_CENTRES = 2,
};

/* What differs between the deployments that are shown. */
typedef struct PhDeployment {
    const char *name;
    const char *data_centres[PH_WORLD_DATA_CENTRES];
    const char *service; /* the one that callers use */
    uint32_t slots;
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
    PhTime service_mean;
} PhDeployment;

typedef struct PhWorld PhWorld;

PhWorld *PhWorld_Create(const PhDeployment *deployment, struct ev_loop *loop,
                        PhClock *clock, uint64_t seed);
void PhWorld_Destroy(PhWorld *world);
/* Starts the stand-ins, the workers and all instances. */
PhResult PhWorld_Start(PhWorld *world);

/* Starts an instance in the place of one that is not running. */
PhResult PhWorld_InstanceStart(PhWorld *world, int index);
/* Ends an instance at once, as a crash would. */
void PhWorld_InstanceKill(PhWorld *world, int index);
/* Begins a graceful stop; the instance is gone once it has ended. */
void PhWorld_InstanceStop(PhWorld *world, int index);
/* What the balancer's check of readiness found. */
void PhWorld_InstanceSetReady(PhWorld *world, int index, bool ready);
/* Tells whether the instance runs, is ready, and was not told to stop. */
bool PhWorld_InstanceTakesWork(const PhWorld *world, int index);
bool PhWorld_InstanceRuns(const PhWorld *world, int index);
/* Addresses of a running instance, borrowed. */
PhStr PhWorld_CallersAddress(const PhWorld *world, int index);
PhStr PhWorld_OperatorsAddress(const PhWorld *world, int index);
PhStr PhWorld_Token(const PhWorld *world);

PhFakeLog *PhWorld_Log(PhWorld *world);
PhStandinWorkerState *PhWorld_Worker(PhWorld *world, int index);
/* Marks a worker as leaving in the platform's list. */
void PhWorld_WorkerLeave(PhWorld *world, int index, PhTime now);

#endif
