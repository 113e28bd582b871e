/* Queues and services of the active configuration, and the lookup of a queue
 * by host and path. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_QUEUE_H
#define PERIDOTHILL_DECIDE_SCHEDULE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/decide/schedule/spec.h"

/* A queue to which clients submit jobs.  Strings are owned. */
typedef struct PhSchedQueue {
    PhStr host;
    PhStr prefix; /* of the path */
    PhSchedTerms terms;
    bool needs_advice; /* starts need a ticket from the advice service */
} PhSchedQueue;

typedef struct PhSchedService {
    PhStr name;
    bool enforces_capacity; /* its workers refuse tasks that do not fit */
} PhSchedService;

typedef struct PhSchedConfig {
    uint64_t version; /* 0 before the first configuration */
    GArray *queues;   /* PhSchedQueue */
    GArray *services; /* PhSchedService */
} PhSchedConfig;

PhSchedConfig *PhSchedConfig_Create(void);
void PhSchedConfig_Destroy(PhSchedConfig *config);
/* Finds the queue with the host and the longest prefix of the path, or NULL.
 * `rest` receives the path after the prefix.  A port in `host` is ignored. */
const PhSchedQueue *PhSchedConfig_Match(const PhSchedConfig *config,
                                        PhStr host, PhStr path, PhStr *rest);

#endif
