#include "peridothill/decide/requests/subset.h"

enum {
    MIN_CONNECTIONS = 4, /* minimum per instance; fewer instances share the
                              worker rather than going below it */
};

/* Rendezvous hashing. */
uint64_t
PhSubset_Weight(PhStr name, PhStr owner)
{
    return PhStr_Hash(name, PhStr_Hash(owner, 0));
}

/* Ties are broken by instance id. */
static uint32_t
weight_rank(PhStr worker, const PhStr *instances, size_t count, size_t self)
{
    uint64_t own = PhSubset_Weight(worker, instances[self]);
    uint32_t rank = 0;
    for (size_t i = 0; i < count; i++) {
        uint64_t weight = PhSubset_Weight(worker, instances[i]);
        rank +=
            weight > own || (weight == own &&
                             PhStr_Compare(instances[i], instances[self]) < 0);
    }
    return rank;
}

/* Leaves capacity for one instance that the others do not know yet. */
PhSubsetShare
PhSubset_Share(PhStr worker, uint32_t connection_limit, const PhStr *instances,
               size_t count, size_t self)
{
    uint32_t max_sharing = connection_limit / MIN_CONNECTIONS;
    max_sharing = max_sharing > 1 ? max_sharing - 1 : 1;
    uint32_t sharing_instances =
        count < max_sharing ? (uint32_t)count : max_sharing;
    uint32_t connections = connection_limit / (sharing_instances + 1);
    if (connections == 0) {
        connections = connection_limit;
    }
    if (count > max_sharing &&
        weight_rank(worker, instances, count, self) >= sharing_instances) {
        connections = 0;
    }
    return (PhSubsetShare){.connections = connections,
                           .sharing_instances = sharing_instances};
}
