/* Instances with the tasks "peers" and "members" on one event loop and one
 * manually advanced clock. A task "inbox" in each stores what it receives. */
#ifndef PERIDOTHILL_TESTS_MEMBERS_PEERS_FIXTURE_H
#define PERIDOTHILL_TESTS_MEMBERS_PEERS_FIXTURE_H

#include <ev.h>

#include "peridothill/services/members.h"
#include "peridothill/services/peers.h"

enum {
    PH_PEERS_NODES = 2,
    PH_PEERS_STEP_MS = 50,        /* of the clock */
    PH_PEERS_INBOX_CAPACITY = 64, /* messages */
};

/* Data centre of all instances. */
#define PH_PEERS_OWN PhStr_LITERAL("unit")

typedef struct PhPeersInbox {
    PhMembersView view;
    size_t payloads; /* received */
    PhStr last;      /* payload */
} PhPeersInbox;

typedef struct PhPeersNode {
    PhCounters *counters;
    PhKernel *kernel;
    PhPeersInbox inbox;
    PhTaskRef task;
    PhStr id;
    PhStr address;
} PhPeersNode;

typedef struct PhPeersFixture {
    struct ev_loop *loop;
    PhClock *clock;
    PhPeersNode nodes[PH_PEERS_NODES];
} PhPeersFixture;

PhPeersFixture PhPeersFixture_Create(void);
void PhPeersFixture_Destroy(PhPeersFixture *fixture);
/* Runs the event loop without advancing the clock. */
void PhPeersFixture_RunLoop(PhPeersFixture *fixture);
/* Advances the clock by `ms` in steps, and runs the event loop after each. */
void PhPeersFixture_Run(PhPeersFixture *fixture, int ms);
/* An empty `seed` means none. */
void PhPeersNode_Start(PhPeersFixture *fixture, int i, PhStr deployment,
                       const PhStr *keys, size_t key_count, PhStr seed);
/* Ends an instance as a crash does, without a message to its peers. */
void PhPeersNode_Destroy(PhPeersNode *node);
/* Sends a payload to a member, or to an address if it is not empty. */
void PhPeersNode_Send(PhPeersNode *node, PhStr member, PhStr address,
                      PhStr payload);
/* State of member `id` in the view of `node`; DEAD if unknown. */
PhMemberState PhPeersNode_Sees(const PhPeersNode *node, PhStr id);

#endif
