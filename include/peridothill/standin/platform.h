/* Stand-ins of the users' platform: its metadata store, and workers that run
 * tasks.  They speak the platform's published protocol. */
#ifndef PERIDOTHILL_STANDIN_PLATFORM_H
#define PERIDOTHILL_STANDIN_PLATFORM_H

#include "peridothill/kernel/kernel.h"

/* How the store treats calls. */
typedef enum PhStandinStoreFault {
    PH_STANDIN_STORE_HEALTHY,
    PH_STANDIN_STORE_DOWN,          /* answers 503, nothing is done */
    PH_STANDIN_STORE_LOSES_ANSWERS, /* appends are done and not answered */
} PhStandinStoreFault;

typedef struct PhStandinStoreState PhStandinStoreState;

PhStandinStoreState *PhStandinStoreState_Create(void);
void PhStandinStoreState_Destroy(PhStandinStoreState *state);
void PhStandinStoreState_SetFault(PhStandinStoreState *state,
                                  PhStandinStoreFault fault);
/* Writes a record of a keyed topic for the operator or a worker. */
void PhStandinStoreState_Put(PhStandinStoreState *state, PhStr topic,
                             PhStr key, PhStr value);

/* Puts a configuration with one queue into the store: host "jobs.example",
 * prefix "/jobs/", run by the workers of a service. */
void PhStandinStoreState_PutQueue(PhStandinStoreState *state, PhStr service);

/* Starts the store; `state` stays the caller's and must outlive the task. */
PhResult PhStandinStore_Start(PhKernel *kernel, PhStr listen,
                              PhStandinStoreState *state, uint16_t *port);

typedef struct PhStandinRunnerOptions {
    PhStr id;
    PhStr service;
    PhTime run_time;            /* of each task that does not last */
    PhStandinStoreState *store; /* gets the worker's entry */
} PhStandinRunnerOptions;

/* Starts a worker on a port of its own and enters it into the store. */
PhResult PhStandinRunner_Start(PhKernel *kernel,
                               const PhStandinRunnerOptions *options);

#endif
