/* Queues and services of the configuration in force, and the look-up of a
 * queue by host and path. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_QUEUE_H
#define PERIDOTHILL_DECIDE_SCHEDULE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/decide/schedule/spec.h"

/* A queue that clients hand jobs in at.  Strings are owned. */
typedef struct PhSchedQueue {
    PhStr host;
    PhStr prefix; /* of the path */
    PhSchedTerms terms;
    bool needs_advice; /* starts carry a ticket of the advice service */
} PhSchedQueue;

typedef struct PhSchedService {
    PhStr name;
    bool enforces_capacity; /* its workers refuse what does not fit */
} PhSchedService;

typedef struct PhSchedConfig {
    uint64_t version; /* 0 before the first */
    GArray *queues;   /* PhSchedQueue */
    GArray *services; /* PhSchedService */
} PhSchedConfig;

PhSchedConfig *PhSchedConfig_Create(void);
void PhSchedConfig_Destroy(PhSchedConfig *config);
/* Finds the queue with the host and the longest prefix of the path; `rest`
 * gets what follows the prefix.  NULL when there is none. */
const PhSchedQueue *PhSchedConfig_Match(const PhSchedConfig *config,
                                        PhStr host, PhStr path, PhStr *rest);

#endif
