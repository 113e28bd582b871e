/* Watches from outside what runs on the workers of the demonstration. */
#ifndef PERIDOTHILL_DEMO_TASK_WATCH_H
#define PERIDOTHILL_DEMO_TASK_WATCH_H

#include "peridothill/demo/verdict.h"
#include "peridothill/demo/world.h"

typedef struct PhTaskWatch PhTaskWatch;

PhTaskWatch *PhTaskWatch_Create(PhWorld *world, PhVerdicts *verdicts);
void PhTaskWatch_Destroy(PhTaskWatch *watch);
/* Looks at all workers at one moment: no worker is committed beyond its size,
 * no task runs in two places, and each incarnation runs on one worker only,
 * later ones after earlier ones. */
void PhTaskWatch_Observe(PhTaskWatch *watch, PhTime now);

#endif
