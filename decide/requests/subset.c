#include "peridothill/decide/requests/subset.h"

enum {
    LEAST_CONNECTIONS = 4, /* minimum per instance; fewer instances share the
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
rank_of(PhStr worker, const PhStr *instances, size_t count, size_t self)
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
PhSubsetPart
PhSubset_Part(PhStr worker, uint32_t connection_limit, const PhStr *instances,
              size_t count, size_t self)
{
    uint32_t most = connection_limit / LEAST_CONNECTIONS;
    most = most > 1 ? most - 1 : 1;
    uint32_t sharers = count < most ? (uint32_t)count : most;
    uint32_t connections = connection_limit / (sharers + 1);
    if (connections == 0) {
        connections = connection_limit;
    }
    if (count > most && rank_of(worker, instances, count, self) >= sharers) {
        connections = 0;
    }
    return (PhSubsetPart){.connections = connections, .sharers = sharers};
}
