/* Declarations shared by the source files of the task "entry". */
#ifndef PERIDOTHILL_SERVICES_REQUESTS_ENTRY_INTERNAL_H
#define PERIDOTHILL_SERVICES_REQUESTS_ENTRY_INTERNAL_H

#include "peridothill/decide/requests/requests.h"
#include "peridothill/services/config.h"
#include "peridothill/services/entry.h"
#include "peridothill/services/listener.h"
#include "peridothill/services/members.h"

/* Tokens of the task's timers. */
enum {
    TIMER_DECIDE = 1,
    TIMER_ATTACH = 2,
    TIMER_FLUSH = 3,
};

/* Services that the task subscribes to; bits of `unattached`. */
enum {
    ENTRY_ATTACH_CONFIG = 1,
    ENTRY_ATTACH_LIST = 2,
    ENTRY_ATTACH_MEMBERS = 4,
    ENTRY_ATTACH_PEERS = 8,
    ENTRY_ATTACH_ALL = 15,
};

/* A caller's request, kept until it is answered because a retry sends it
 * again. */
typedef struct PhCall {
    uint64_t id;
    PhStr method;
    PhStr target; /* path and query */
    PhHttpHeader *headers;
    size_t header_count;
    PhStr body;
    PhTime arrived;
} PhCall;

typedef struct PhEntry {
    PhTask *self;
    PhEntryOptions options;
    PhListener *listener;
    PhRequests *requests;
    GHashTable *calls; /* id to PhCall */
    GArray *actions;   /* output of the latest event */
    GQueue
        unsent; /* uint64_t *, attempts that the task "http" did not accept */
    unsigned unattached;      /* services not subscribed to yet */
    const PhHttpReply *reply; /* reply being handled, or NULL */
    bool drained;
    PhTime drained_at;
    PhResult *started; /* set with `port` by the first mail */
    uint16_t *port;
} PhEntry;

/* entry.c: passes an event to the request decisions and performs the resulting
 * actions. */
void PhEntry_Decide(PhEntry *entry, const PhRequestsEvent *event);

/* entry_mail.c: messages of other services. PhEntry_Attach() subscribes to
 * those that have started and retries the others later. */
void PhEntry_Attach(PhEntry *entry);
void PhEntry_Receive(PhEntry *entry, const PhMessage *message);

/* entry_call.c: callers' requests. */
PhCall *PhCall_Create(const PhIncoming *incoming, PhTime now);
void PhCall_Destroy(gpointer call);
/* Describes a request for the decisions. Strings are borrowed from the call
 * and from `path`. */
PhArrival PhCall_Arrival(const PhCall *call, PhStr path);
/* Creates the message to "http" that sends one attempt. */
PhMessage PhCall_Message(const PhCall *call, const PhSend *send,
                         const PhRouter *router, PhTime now);
/* Whether a header is forwarded: neither a hop-by-hop header nor named by a
 * Connection header of the same message. */
bool PhCall_ForwardsHeader(const PhHttpHeader *headers, size_t count,
                           PhStr name);

/* entry_answer.c: responses to callers. */
void PhEntry_Refuse(PhEntry *entry, const PhRefuse *refuse);
void PhEntry_ForwardReply(PhEntry *entry, uint64_t request);
void PhEntry_AnswerReady(PhEntry *entry, uint64_t id);
PhAttemptEnd PhEntry_AttemptEnd(const PhHttpReply *reply);

/* entry_actions.c */
void PhEntry_Act(PhEntry *entry, const PhRequestsAction *action);

/* entry_keys.c: idempotency key messages, sent over "peers". */
void PhEntry_SendKey(PhEntry *entry, const PhRequestsAction *action);
void PhEntry_ReceiveKey(PhEntry *entry, PhStr member, PhStr payload);

/* entry_policy.c: reads the PhServicePolicy rows from the configuration. Their
 * strings are borrowed from `state`; the caller frees the array. */
GArray *PhEntry_ReadPolicies(PhEntry *entry, const PhConfigState *state);

#endif
