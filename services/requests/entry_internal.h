/* What the files of the task "entry" share. */
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

/* Services that the task subscribes to, as bits of `unattached`. */
enum {
    ENTRY_ATTACH_CONFIG = 1,
    ENTRY_ATTACH_LIST = 2,
    ENTRY_ATTACH_MEMBERS = 4,
    ENTRY_ATTACH_PEERS = 8,
    ENTRY_ATTACH_ALL = 15,
};

/* A caller's request, kept until its answer: a retry sends it again. */
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
    GHashTable *calls;   /* id to PhCall */
    GArray *actions;     /* of the event at hand */
    GQueue unsent;       /* attempts that "http" did not take, as pointers */
    unsigned unattached; /* services that were not found yet, as bits */
    const PhHttpReply *reply; /* the one at hand, or NULL */
    bool drained;
    PhTime drained_at;
    PhResult *started; /* set by the first mail, as is `port` */
    uint16_t *port;
} PhEntry;

/* entry.c: hands an event to the decisions and carries out the actions. */
void PhEntry_Decide(PhEntry *entry, const PhRequestsEvent *event);

/* entry_mail.c: other services.  Subscribes to those that have started. */
void PhEntry_Attach(PhEntry *entry);
void PhEntry_Receive(PhEntry *entry, const PhMessage *message);

/* entry_call.c: callers' requests. */
PhCall *PhCall_Create(const PhIncoming *incoming, PhTime now);
void PhCall_Destroy(gpointer call);
/* Reads what the decisions need to know of a request. */
PhArrival PhCall_Arrival(const PhCall *call, PhStr path);
/* Makes the message that sends one attempt of it. */
PhMessage PhCall_Message(const PhCall *call, const PhSend *send,
                         const PhRouter *router, PhTime now);
/* Tells whether a header goes on to the next hop: it is not one that only
 * counts between two hops, nor named by a Connection header beside it. */
bool PhCall_HeaderPasses(const PhHttpHeader *headers, size_t count,
                         PhStr name);

/* entry_answer.c: answers to callers. */
void PhEntry_Refuse(PhEntry *entry, const PhRefuse *refuse);
void PhEntry_PassOn(PhEntry *entry, uint64_t request);
void PhEntry_AnswerReady(PhEntry *entry, uint64_t id);
PhAttemptEnd PhEntry_AttemptEnd(const PhHttpReply *reply);

/* entry_actions.c */
void PhEntry_Act(PhEntry *entry, const PhRequestsAction *action);

/* entry_keys.c: idempotency keys, by way of "peers". */
void PhEntry_SendKey(PhEntry *entry, const PhRequestsAction *action);
void PhEntry_ReceiveKey(PhEntry *entry, PhStr member, PhStr payload);

/* entry_policy.c: reads the policies out of the configuration.  The strings
 * borrow from the state. */
GArray *PhEntry_ReadPolicies(PhEntry *entry, const PhConfigState *state);

#endif
