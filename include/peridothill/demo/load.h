/* Load generator of the demonstration: the task "load" sends callers' requests
 * to the instances in turn and checks every answer. */
#ifndef PERIDOTHILL_DEMO_LOAD_H
#define PERIDOTHILL_DEMO_LOAD_H

#include "peridothill/demo/cluster.h"
#include "peridothill/demo/verdict.h"

#define PH_SERVICE_LOAD PhStr_LITERAL("load")

typedef struct PhLoad PhLoad;

/* Requires the task "http" on the kernel.  Sends nothing until an interval is
 * set; the kernel owns the result. */
PhLoad *PhLoad_Start(PhKernel *kernel, PhDemoCluster *cluster,
                     PhVerdicts *verdicts);
/* Interval between two requests; 0 stops sending. */
void PhLoad_SetInterval(PhLoad *load, PhTime interval);
/* To be called before an instance is killed: its open requests may be lost. */
void PhLoad_InstanceKilled(PhLoad *load, int index);
/* Prints the numbers of requests by outcome. */
void PhLoad_Print(const PhLoad *load, FILE *out);
/* Checks how often each request ran; call it when none is in flight. */
void PhLoad_CheckRuns(PhLoad *load);

#endif
