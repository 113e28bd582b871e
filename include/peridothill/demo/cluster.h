/* Cluster of the demonstration: stand-ins of the platform, workers and entry
 * instances in one process on loopback.  Each instance has its own kernel. */
#ifndef PERIDOTHILL_DEMO_CLUSTER_H
#define PERIDOTHILL_DEMO_CLUSTER_H

#include "peridothill/services/instance.h"
#include "peridothill/standin/standin.h"

enum {
    PH_DEMO_INSTANCES = 3,
    PH_DEMO_WORKERS = 6,
    PH_DEMO_DATA_CENTRES = 2,
};

/* Parameters that differ between the deployments. */
typedef struct PhDeployment {
    const char *name;
    const char *data_centres[PH_DEMO_DATA_CENTRES];
    const char *service; /* that the callers use */
    uint32_t slots;      /* this and the following: per worker */
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
    PhTime service_mean;
} PhDeployment;

typedef struct PhDemoCluster PhDemoCluster;

PhDemoCluster *PhDemoCluster_Create(const PhDeployment *deployment,
                                    struct ev_loop *loop, PhClock *clock,
                                    uint64_t seed);
void PhDemoCluster_Destroy(PhDemoCluster *cluster);
/* Starts the stand-ins, the workers and all instances. */
PhResult PhDemoCluster_Start(PhDemoCluster *cluster);

/* Starts the instance with a new id; it must not be running. */
PhResult PhDemoCluster_InstanceStart(PhDemoCluster *cluster, int index);
/* Ends an instance without a graceful stop, as a crash does. */
void PhDemoCluster_InstanceKill(PhDemoCluster *cluster, int index);
/* Begins a graceful stop; the instance is released when it has ended. */
void PhDemoCluster_InstanceStop(PhDemoCluster *cluster, int index);
/* Result of the load balancer's readiness check. */
void PhDemoCluster_InstanceSetReady(PhDemoCluster *cluster, int index,
                                    bool ready);
/* True if the load balancer would send requests: the instance runs, is ready
 * and is not stopping. */
bool PhDemoCluster_InstanceTakesWork(const PhDemoCluster *cluster, int index);
bool PhDemoCluster_InstanceRuns(const PhDemoCluster *cluster, int index);
/* Addresses of a running instance, borrowed until it ends. */
PhStr PhDemoCluster_CallersAddress(const PhDemoCluster *cluster, int index);
PhStr PhDemoCluster_OperatorsAddress(const PhDemoCluster *cluster, int index);
PhStr PhDemoCluster_Token(const PhDemoCluster *cluster);

PhFakeLog *PhDemoCluster_Log(PhDemoCluster *cluster);
PhStandinWorkerState *PhDemoCluster_Worker(PhDemoCluster *cluster, int index);
/* Marks a worker as leaving in the platform's list. */
void PhDemoCluster_WorkerLeave(PhDemoCluster *cluster, int index, PhTime now);

#endif
