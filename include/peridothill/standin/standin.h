/* Stand-ins for the platform's log, service list and workers.  Each is a task
 * with an HTTP listener; its faults are set through its state. */
#ifndef PERIDOTHILL_STANDIN_STANDIN_H
#define PERIDOTHILL_STANDIN_STANDIN_H

#include "peridothill/fakes/fake_log.h"
#include "peridothill/fakes/fake_worker.h"
#include "peridothill/kernel/kernel.h"
#include "peridothill/services/platform_list.h"
#include "peridothill/standin/worker_tasks.h"

/* `log` is owned by the caller and must outlive the task. */
typedef struct PhStandinLogOptions {
    PhStr name; /* task name */
    PhStr listen;
    PhFakeLog *log;
} PhStandinLogOptions;

PhResult PhStandinLog_Start(PhKernel *kernel,
                            const PhStandinLogOptions *options,
                            uint16_t *port);

/* Content of the list, changed by its owner between requests. */
typedef struct PhStandinListState {
    PhListReading reading;
    bool outage;
} PhStandinListState;

/* `state` is owned by the caller and must outlive the task. */
typedef struct PhStandinListOptions {
    PhStr name;
    PhStr listen;
    PhStandinListState *state;
} PhStandinListOptions;

PhResult PhStandinList_Start(PhKernel *kernel,
                             const PhStandinListOptions *options,
                             uint16_t *port);

/* Injected fault of a worker. */
typedef enum PhStandinFault {
    PH_STANDIN_HEALTHY,
    PH_STANDIN_SILENT,            /* runs requests without answering */
    PH_STANDIN_FAILS_FAST,        /* answers 500 immediately */
    PH_STANDIN_CLOSES_CONNECTION, /* runs the request, then closes the
                                     connection */
} PhStandinFault;

/* State of a worker, which serves requests and runs tasks under leases. */
typedef struct PhStandinWorkerState {
    PhStr id;
    PhStandinFault fault;
    PhTime service_mean;
    uint32_t slots;
    PhStandinTasks *tasks; /* NULL unless the task runs, which owns it */
    GHashTable *runs;      /* request id (PhStr) to the number of executions */
    uint64_t requests;
    PhTime leaving_since; /* 0: not leaving */
    PhTime last_request;  /* arrival of the latest request */
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
