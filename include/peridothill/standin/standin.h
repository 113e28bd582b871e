/* Stand-ins of what the platform gives: its log, its list, and workers.  Each
 * is a task with a listener; whoever holds its state sets the faults. */
#ifndef PERIDOTHILL_STANDIN_STANDIN_H
#define PERIDOTHILL_STANDIN_STANDIN_H

#include "peridothill/fakes/fake_log.h"
#include "peridothill/fakes/fake_worker.h"
#include "peridothill/kernel/kernel.h"
#include "peridothill/services/platform_list.h"
#include "peridothill/standin/worker_tasks.h"

/* The log.  `log` stays the caller's and must outlive the task. */
typedef struct PhStandinLogOptions {
    PhStr name; /* of the task */
    PhStr listen;
    PhFakeLog *log;
} PhStandinLogOptions;

PhResult PhStandinLog_Start(PhKernel *kernel,
                            const PhStandinLogOptions *options,
                            uint16_t *port);

/* What the list tells; the owner changes it between requests. */
typedef struct PhStandinListState {
    PhListReading reading;
    bool outage;
} PhStandinListState;

/* The list.  `state` stays the caller's and must outlive the task. */
typedef struct PhStandinListOptions {
    PhStr name;
    PhStr listen;
    PhStandinListState *state;
} PhStandinListOptions;

PhResult PhStandinList_Start(PhKernel *kernel,
                             const PhStandinListOptions *options,
                             uint16_t *port);

/* How a worker treats the requests that it is sent. */
typedef enum PhStandinFault {
    PH_STANDIN_HEALTHY,
    PH_STANDIN_SILENT,     /* takes requests and never answers */
    PH_STANDIN_FAILS_FAST, /* answers 500 at once */
    PH_STANDIN_CUTS,       /* runs the request, then closes without answer */
} PhStandinFault;

/* A worker: a backend server, and a place for tasks under leases. */
typedef struct PhStandinWorkerState {
    PhStr id;
    PhStandinFault fault;
    PhTime service_mean;
    uint32_t slots;
    PhStandinTasks *tasks; /* set while the worker runs */
    GHashTable *runs;      /* PhStr request id to the number of its runs */
    uint64_t requests;
    PhTime leaving_since; /* 0 while it is not leaving */
    PhTime last_request;  /* when the latest request arrived */
} PhStandinWorkerState;

PhStandinWorkerState *PhStandinWorkerState_Create(PhStr id, uint32_t slots,
                                                  PhTime service_mean);
void PhStandinWorkerState_Destroy(PhStandinWorkerState *state);

typedef struct PhStandinWorkerOptions {
    PhStr name;
    PhStr listen;
    uint64_t seed;
    PhFakeSize capacity;
    PhStandinWorkerState *state; /* the caller's, outlives the task */
} PhStandinWorkerOptions;

PhResult PhStandinWorker_Start(PhKernel *kernel,
                               const PhStandinWorkerOptions *options,
                               uint16_t *port);

#endif
