/* Which entry instances connect to a worker, and with how many connections,
 * by rendezvous hashing: each instance works it out alone. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_SUBSET_H
#define PERIDOTHILL_DECIDE_REQUESTS_SUBSET_H

#include "peridothill/common/str.h"

/* An instance's part of one worker. */
typedef struct PhSubsetPart {
    uint32_t connections; /* 0 when the instance does not connect to it */
    uint32_t sharers;     /* instances that connect to it */
} PhSubsetPart;

/* Weight of an owner for a name; the greatest weight owns it. */
uint64_t PhSubset_Weight(PhStr name, PhStr owner);
/* The part of `instances[self]`.  One instance that the others do not know
 * yet still finds room within the limit. */
PhSubsetPart PhSubset_Part(PhStr worker, uint32_t connection_limit,
                           const PhStr *instances, size_t count, size_t self);

#endif
