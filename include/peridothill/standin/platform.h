/* Stand-ins for the users' platform: its metadata store and workers, with the
 * platform's published HTTP interfaces. */
#ifndef PERIDOTHILL_STANDIN_PLATFORM_H
#define PERIDOTHILL_STANDIN_PLATFORM_H

#include <stdio.h>

#include "peridothill/kernel/kernel.h"

/* Injected fault of the store. */
typedef enum PhStandinStoreFault {
    PH_STANDIN_STORE_HEALTHY,
    PH_STANDIN_STORE_DOWN,          /* answers 503 without any effect */
    PH_STANDIN_STORE_LOSES_ANSWERS, /* appends take effect, the connection is
                                       closed */
    PH_STANDIN_STORE_SILENT,        /* neither answers nor has an effect */
} PhStandinStoreFault;

typedef struct PhStandinStoreState PhStandinStoreState;

PhStandinStoreState *PhStandinStoreState_Create(void);
void PhStandinStoreState_Destroy(PhStandinStoreState *state);
void PhStandinStoreState_SetFault(PhStandinStoreState *state,
                                  PhStandinStoreFault fault);
/* While set, reads of a topic are answered with 503. */
void PhStandinStoreState_RefuseReads(PhStandinStoreState *state, PhStr topic,
                                     bool refuse);
/* While set, appends to a topic have no effect; the connection is closed. */
void PhStandinStoreState_LoseAppends(PhStandinStoreState *state, PhStr topic,
                                     bool lose);
/* Appends over these sizes are answered with 413; by default the limits are
 * those of the users' store. */
void PhStandinStoreState_SetLimits(PhStandinStoreState *state,
                                   size_t record_bytes, size_t append_bytes);
/* Number of appends that were answered with 413. */
unsigned PhStandinStoreState_TooLarge(const PhStandinStoreState *state);
/* Appends a record to a keyed topic directly, as operators and workers do. */
void PhStandinStoreState_Put(PhStandinStoreState *state, PhStr topic,
                             PhStr key, PhStr value);

/* Stores a configuration with one queue: host "jobs.example", path prefix
 * "/jobs/", executed by the workers of `service`. */
void PhStandinStoreState_PutQueue(PhStandinStoreState *state, PhStr service);

/* `state` is owned by the caller and must outlive the task. */
PhResult PhStandinStore_Start(PhKernel *kernel, PhStr listen,
                              PhStandinStoreState *state, uint16_t *port);

/* Starts a task of this name that serves the same store on a port of its own,
 * for one caller.  Unless it is healthy, `fault` counts there; it is borrowed,
 * as is the name. */
PhResult PhStandinStore_StartAnother(PhKernel *kernel, PhStr name,
                                     PhStr listen, PhStandinStoreState *state,
                                     const PhStandinStoreFault *fault,
                                     uint16_t *port);

typedef struct PhStandinRunnerOptions {
    PhStr id;
    PhStr service;
    PhStr listen;               /* empty: a free port of the loopback */
    PhTime run_time;            /* of a task whose spec is not "lasting" */
    PhStandinStoreState *store; /* receives the worker's entry; NULL: none */
    int64_t born_ms;            /* start of this incarnation, 0 for 1 */
    int clock_percent;          /* speed of the clock of leases, 0 for 100 */
    /* Receives a line for each start, end and acknowledged end, see
     * docs/PROOF.md; borrowed, NULL: none. */
    FILE *events;
    /* While it is true, starts are neither executed nor answered.  Borrowed;
     * NULL: never. */
    const bool *ignores_starts;
    /* Once it is true, each connection is closed after an answer.  Borrowed;
     * NULL: never. */
    const bool *closes_connections;
} PhStandinRunnerOptions;

/* Starts a worker and stores its entry. */
PhResult PhStandinRunner_Start(PhKernel *kernel,
                               const PhStandinRunnerOptions *options);

#endif
