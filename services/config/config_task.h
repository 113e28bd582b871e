/* State of the task "config", shared by the files that make it up. */
#ifndef PERIDOTHILL_SERVICES_CONFIG_TASK_H
#define PERIDOTHILL_SERVICES_CONFIG_TASK_H

#include "peridothill/codec/config_peer.h"
#include "peridothill/common/random.h"
#include "peridothill/decide/config/config_appender.h"
#include "peridothill/decide/config/config_follower.h"
#include "peridothill/services/config.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/members.h"
#include "peridothill/services/peers.h"
#include "peridothill/services/platform_log.h"

/* A request of another task that waits for a verdict. */
typedef struct PhConfigWaiter {
    uint64_t number;
    PhTaskRef from;
    uint64_t request; /* the sender's number */
} PhConfigWaiter;

/* The parts of a state that a peer sends. */
typedef struct PhConfigAssembly {
    PhStr member;
    uint64_t covers;
    uint64_t parts;
    PhStr *bytes; /* by part; empty until it has come */
} PhConfigAssembly;

typedef struct PhConfigTask {
    PhTask *self;
    PhConfigOptions options;
    PhRandom *random;
    PhConfigFollower *follower;
    PhConfigAppender *appender;
    GArray *subscribers; /* PhTaskRef */
    GHashTable *waiters; /* PhConfigWaiter by number */
    uint64_t next_number;
    PhConfigAssembly assembly;
    size_t append_count; /* patches of the append under way */
    PhTime append_failed_at;
    PhTime log_confirmed_at; /* of the follower's last confirmation */
    bool peers_subscribed;
    bool members_subscribed;
} PhConfigTask;

/* Gives an event to the follower or the appender and acts on the answer. */
void PhConfigTask_HandleFollowerEvent(PhConfigTask *t,
                                      const PhConfigEvent *event);
void PhConfigTask_HandleAppenderEvent(PhConfigTask *t,
                                      const PhAppendEvent *event);
/* Acts on the actions of the follower and releases the list. */
void PhConfigTask_ExecuteActions(PhConfigTask *t, GArray *actions);

/* The part that talks to the task "log". */
void PhConfigLog_Read(PhConfigTask *t, const PhConfigAction *action);
void PhConfigLog_WriteSnapshot(PhConfigTask *t,
                               const PhConfigSnapshot *snapshot);
void PhConfigLog_Append(PhConfigTask *t, const PhAppendAction *action);
void PhConfigLog_Handle(PhConfigTask *t, const PhLogMessage *message);

/* The part that talks to the tasks "peers" and "members". */
void PhConfigPeers_Subscribe(PhConfigTask *t);
void PhConfigPeers_Send(PhConfigTask *t, const PhConfigAction *action);
void PhConfigPeers_Receive(PhConfigTask *t, const PhPeersReceived *received);
void PhConfigPeers_UpdateMembers(PhConfigTask *t, const PhMembersView *view);
void PhConfigAssembly_Clear(PhConfigAssembly *assembly);

/* The part that answers other tasks. */
void PhConfigQuery_Handle(PhConfigTask *t, PhTaskRef from,
                          const PhConfigMessage *message);
/* Answers whoever submitted a patch. */
void PhConfigQuery_Answer(PhConfigTask *t, const PhAppendAction *action);
/* Sends the state in force to one subscriber, or to all of them. */
void PhConfigQuery_SendState(PhConfigTask *t, PhTaskRef to,
                             PhConfigState *state);
void PhConfigQuery_SendStateToAll(PhConfigTask *t, PhConfigState *state);

#endif
