/* Simulates a cluster of members on the fake network, for benchmarks and
 * tests. */
#ifndef PERIDOTHILL_BENCH_MEMBERS_CLUSTER_H
#define PERIDOTHILL_BENCH_MEMBERS_CLUSTER_H

#include "peridothill/decide/members/membership.h"
#include "peridothill/fakes/fake_net.h"

typedef struct PhMembersCluster PhMembersCluster;

/* Members are spread evenly over the data centres, and data centres over the
 * regions.  With `encode`, each message is encoded and framed as on the wire,
 * and its bytes are counted. */
typedef struct PhMembersClusterOptions {
    uint64_t seed;
    uint32_t members;
    uint32_t data_centres;
    uint32_t regions;
    double loss;
    bool encode;
    /* Called for each report of a member; may be NULL. */
    void (*on_report)(void *user, uint32_t member, PhMembershipReport what,
                      PhStr about, PhTime now);
    void *user;
} PhMembersClusterOptions;

/* Totals over all members. */
typedef struct PhMembersClusterCounts {
    uint64_t messages;
    uint64_t frame_bytes;
    uint64_t wire_bytes; /* including packet headers and link setup */
    uint64_t links_opened;
    uint64_t reports[PH_MEMBERSHIP_PLATFORM_RESTORED + 1];
} PhMembersClusterCounts;

PhMembersCluster *
PhMembersCluster_Create(const PhMembersClusterOptions *options);
void PhMembersCluster_Destroy(PhMembersCluster *cluster);
PhFakeNet *PhMembersCluster_Net(PhMembersCluster *cluster);
PhMembersClusterCounts
PhMembersCluster_Counts(const PhMembersCluster *cluster);
/* Starts a member with empty state; a running one is restarted. */
void PhMembersCluster_Start(PhMembersCluster *cluster, uint32_t member);
/* Starts all members; each knows all others from the start. */
void PhMembersCluster_StartAll(PhMembersCluster *cluster);
/* Stops a member without notice to the others. */
void PhMembersCluster_Crash(PhMembersCluster *cluster, uint32_t member);
/* Passes an event to a member; ignored if it does not run. */
void PhMembersCluster_Apply(PhMembersCluster *cluster, uint32_t member,
                            const PhMembershipEvent *event);
/* Encodes, frames and decodes a message and counts its bytes.  The caller owns
 * the result. */
PhMemberMessage PhMembersCluster_Transfer(PhMembersCluster *cluster,
                                          const PhMemberMessage *message);
/* Runs the simulation until a time. */
void PhMembersCluster_Run(PhMembersCluster *cluster, PhTime until);
/* Returns NULL if the member does not run. */
PhMembership *PhMembersCluster_Membership(const PhMembersCluster *cluster,
                                          uint32_t member);
/* Returns the index of the member with this id, UINT32_MAX if there is
 * none. */
uint32_t PhMembersCluster_Index(const PhMembersCluster *cluster, PhStr id);
PhStr PhMembersCluster_Id(const PhMembersCluster *cluster, uint32_t member);
/* Counts the pairs (a, b) where a runs and sees b in this state. */
size_t PhMembersCluster_CountPairs(const PhMembersCluster *cluster,
                                   PhMemberState state);
/* Returns the average number of links per member that were used within the
 * idle limit. */
double PhMembersCluster_AverageLinks(const PhMembersCluster *cluster);

#endif
