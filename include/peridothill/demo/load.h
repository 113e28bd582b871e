/* Callers of the demonstration: the task "load" sends requests to the
 * instances in turn and checks every answer. */
#ifndef PERIDOTHILL_DEMO_LOAD_H
#define PERIDOTHILL_DEMO_LOAD_H

#include "peridothill/demo/verdict.h"
#include "peridothill/demo/world.h"

#define PH_SERVICE_LOAD PhStr_LITERAL("load")

typedef struct PhLoad PhLoad;

/* Starts the task; the kernel also needs the task "http". */
PhLoad *PhLoad_Start(PhKernel *kernel, PhDemoCluster *cluster,
                     PhVerdicts *verdicts);
/* Sets the time between two requests; 0 stops sending. */
void PhLoad_SetInterval(PhLoad *load, PhTime interval);
/* Notes that an instance was ended at once: its open requests may be lost. */
void PhLoad_InstanceKilled(PhLoad *load, int index);
/* Prints what the callers have seen. */
void PhLoad_Print(const PhLoad *load, FILE *out);
/* Checks how often each request ran, once nothing is in flight. */
void PhLoad_CheckRuns(PhLoad *load);

#endif
