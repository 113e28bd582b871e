/* Watches from outside what runs on the workers of the demonstration. */
#ifndef PERIDOTHILL_DEMO_TASK_WATCH_H
#define PERIDOTHILL_DEMO_TASK_WATCH_H

#include "peridothill/demo/verdict.h"
#include "peridothill/demo/world.h"

typedef struct PhPlacementChecker PhPlacementChecker;

PhPlacementChecker *PhPlacementChecker_Create(PhDemoCluster *cluster,
                                              PhVerdicts *verdicts);
void PhPlacementChecker_Destroy(PhPlacementChecker *checker);
/* Looks at all workers at one moment: no worker is committed beyond its size,
 * no task runs in two places, and each incarnation runs on one worker only,
 * later ones after earlier ones. */
void PhPlacementChecker_Observe(PhPlacementChecker *checker, PhTime now);

#endif
