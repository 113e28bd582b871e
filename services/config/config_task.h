/* State of the task "config", shared by its source files. */
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

/* A request of another task that awaits a verdict. */
typedef struct PhConfigWaiter {
    uint64_t number;
    PhTaskRef from;
    uint64_t request; /* the sender's request number */
} PhConfigWaiter;

/* Reassembly of a state that a peer sends in parts. */
typedef struct PhConfigAssembly {
    PhStr member;
    uint64_t covers;
    uint64_t parts;
    PhStr *bytes; /* by part; empty until received */
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
    size_t append_count; /* patches of the append in flight */
    PhTime append_failed_at;
    PhTime
        log_confirmed_at; /* last confirmation seen by log_available_check */
    bool peers_subscribed;
    bool members_subscribed;
} PhConfigTask;

/* Handle an event and execute the resulting actions. */
void PhConfigTask_HandleFollowerEvent(PhConfigTask *t,
                                      const PhConfigEvent *event);
void PhConfigTask_HandleAppenderEvent(PhConfigTask *t,
                                      const PhAppendEvent *event);
/* Executes the follower's actions and releases the list. */
void PhConfigTask_ExecuteActions(PhConfigTask *t, GArray *actions);

/* config_log.c: exchange with the task "log". */
void PhConfigLog_Read(PhConfigTask *t, const PhConfigAction *action);
void PhConfigLog_WriteSnapshot(PhConfigTask *t,
                               const PhConfigSnapshot *snapshot);
void PhConfigLog_Append(PhConfigTask *t, const PhAppendAction *action);
void PhConfigLog_Handle(PhConfigTask *t, const PhLogMessage *message);

/* config_peers.c: exchange with the tasks "peers" and "members". */
void PhConfigPeers_Subscribe(PhConfigTask *t);
void PhConfigPeers_Send(PhConfigTask *t, const PhConfigAction *action);
void PhConfigPeers_Receive(PhConfigTask *t, const PhPeersReceived *received);
void PhConfigPeers_UpdateMembers(PhConfigTask *t, const PhMembersView *view);
void PhConfigAssembly_Clear(PhConfigAssembly *assembly);

/* config_query.c: requests of other tasks. */
void PhConfigQuery_Handle(PhConfigTask *t, PhTaskRef from,
                          const PhConfigMessage *message);
/* Sends an answer of the appender to the submitter of the patch. */
void PhConfigQuery_Answer(PhConfigTask *t, const PhAppendAction *action);
/* Send the state in force to one subscriber, or to all of them. */
void PhConfigQuery_SendState(PhConfigTask *t, PhTaskRef to,
                             PhConfigState *state);
void PhConfigQuery_SendStateToAll(PhConfigTask *t, PhConfigState *state);

#endif
