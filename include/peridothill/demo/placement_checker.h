/* Checks the placement of tasks by the state of the workers, independently of
 * the instances. */
#ifndef PERIDOTHILL_DEMO_PLACEMENT_CHECKER_H
#define PERIDOTHILL_DEMO_PLACEMENT_CHECKER_H

#include "peridothill/demo/cluster.h"
#include "peridothill/demo/verdict.h"

typedef struct PhPlacementChecker PhPlacementChecker;

PhPlacementChecker *PhPlacementChecker_Create(PhDemoCluster *cluster,
                                              PhVerdicts *verdicts);
void PhPlacementChecker_Destroy(PhPlacementChecker *checker);
/* Compares all workers at time `now`: no worker is committed beyond its
 * capacity, no task runs in two places, and each incarnation of a task runs on
 * one worker only, after the earlier ones. */
void PhPlacementChecker_Observe(PhPlacementChecker *checker, PhTime now);

#endif
