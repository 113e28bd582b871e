/* Memberships of several instances over the shared fake queue, for benches
 * and tests. */
#ifndef PERIDOTHILL_BENCH_MEMBERS_CLUSTER_H
#define PERIDOTHILL_BENCH_MEMBERS_CLUSTER_H

#include "peridothill/decide/members/membership.h"
#include "peridothill/fakes/fake_net.h"

typedef struct PhMembersCluster PhMembersCluster;

/* Members are spread evenly over the data centres, and these over the
 * regions.  With `encode` each message goes through the encoding and the
 * frames, and its bytes are counted. */
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

/* Sums over all members. */
typedef struct PhMembersClusterCounts {
    uint64_t messages;
    uint64_t frame_bytes;
    uint64_t wire_bytes; /* with packet heads and the set-up of links */
    uint64_t links_opened;
    uint64_t reports[PH_MEMBERSHIP_PLATFORM_BACK + 1];
} PhMembersClusterCounts;

PhMembersCluster *
PhMembersCluster_Create(const PhMembersClusterOptions *options);
void PhMembersCluster_Destroy(PhMembersCluster *cluster);
PhFakeNet *PhMembersCluster_Net(PhMembersCluster *cluster);
PhMembersClusterCounts
PhMembersCluster_Counts(const PhMembersCluster *cluster);
/* Starts a member, or starts it again without what it knew. */
void PhMembersCluster_Start(PhMembersCluster *cluster, uint32_t member);
/* Starts all members with full knowledge of each other. */
void PhMembersCluster_StartAll(PhMembersCluster *cluster);
/* Ends a member without a word. */
void PhMembersCluster_Crash(PhMembersCluster *cluster, uint32_t member);
/* Gives an event to a live member. */
void PhMembersCluster_Apply(PhMembersCluster *cluster, uint32_t member,
                            const PhMembershipEvent *event);
/* Sends a message through the encoding and the frames, and counts its bytes;
 * gives the message as the receiver decodes it. */
PhMemberMessage PhMembersCluster_Carry(PhMembersCluster *cluster,
                                       const PhMemberMessage *message);
/* Runs until a time. */
void PhMembersCluster_Run(PhMembersCluster *cluster, PhTime until);
/* NULL when the member does not run. */
PhMembership *PhMembersCluster_Get(const PhMembersCluster *cluster,
                                   uint32_t member);
/* The number of the member with this id. */
uint32_t PhMembersCluster_Index(const PhMembersCluster *cluster, PhStr id);
PhStr PhMembersCluster_Id(const PhMembersCluster *cluster, uint32_t member);
/* Counts pairs of members (a, b) where a runs and sees b in this state. */
size_t PhMembersCluster_Seen(const PhMembersCluster *cluster,
                             PhMemberState state);
/* Counts the links a member has spoken over within the idle limit; the
 * average over all. */
double PhMembersCluster_Links(const PhMembersCluster *cluster);

#endif
