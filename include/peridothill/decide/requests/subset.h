/* Assigns entry instances to workers by rendezvous hashing, with a number of
 * connections each. Every instance computes the same result on its own. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_SUBSET_H
#define PERIDOTHILL_DECIDE_REQUESTS_SUBSET_H

#include "peridothill/common/str.h"

/* One instance's share of a worker's connections. */
typedef struct PhSubsetShare {
    uint32_t
        connections; /* 0 if the instance does not connect to the worker */
    uint32_t
        sharing_instances; /* number of instances that connect to the worker */
} PhSubsetShare;

/* Rendezvous weight of an owner for a name; the owner with the greatest weight
 * is selected. */
uint64_t PhSubset_Weight(PhStr name, PhStr owner);
/* The share of `instances[self]`. Capacity is left for one instance that the
 * others do not know yet. */
PhSubsetShare PhSubset_Share(PhStr worker, uint32_t connection_limit,
                             const PhStr *instances, size_t count,
                             size_t self);

#endif
