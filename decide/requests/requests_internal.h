/* Declarations shared by the source files of the request decisions. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_REQUESTS_INTERNAL_H
#define PERIDOTHILL_DECIDE_REQUESTS_REQUESTS_INTERNAL_H

#include "peridothill/common/random.h"
#include "peridothill/decide/requests/budget.h"
#include "peridothill/decide/requests/requests.h"

enum {
    MAX_CONCURRENT_ATTEMPTS = 2
};

/* Fair-queueing state of a team. */
typedef struct PhTeamShare {
    PhStr name;
    double virtual_time;
    double service_virtual_time; /* current virtual time among its services */
    uint32_t waiting;
} PhTeamShare;

/* A service: its policy, its queue and its fair-queueing state within its
 * team. */
typedef struct PhService {
    PhServicePolicy policy;
    bool configured;
    uint32_t pool;
    PhTeamShare *team;
    GQueue queue; /* PhRequestRecord, linked through `link` */
    double virtual_time;
    PhBudget budget;
    PhTime dispatched_at;
    double interval_ns; /* smoothed interval between dispatches from a
                           non-empty queue */
} PhService;

typedef enum PhRequestState {
    PH_REQUEST_CLAIMING,  /* waits for the replicas of its idempotency key */
    PH_REQUEST_QUEUED,    /* waits for a free worker */
    PH_REQUEST_IN_FLIGHT, /* at least one attempt is in flight */
    PH_REQUEST_BACKOFF,   /* waits before a retry */
} PhRequestState;

/* A request from arrival to answer or refusal. */
typedef struct PhRequestRecord {
    uint64_t id;
    PhRequestState state;
    PhService *service;
    bool idempotent;
    bool hedged;
    PhTime arrived;
    PhTime deadline;
    PhTime timer_at; /* expiry of `timer` */
    GSequenceIter *timer;
    GList link;        /* node in the queue of the service */
    uint32_t sends;    /* attempts made so far */
    uint32_t not_sent; /* attempts proved not to have sent a byte */
    uint64_t active_attempts[MAX_CONCURRENT_ATTEMPTS]; /* ids of attempts in
                                             flight, 0 for none */
    uint32_t last_worker;
    PhSendCause next_cause;
    PhStr key;
    PhStr replicas[PH_KEY_REPLICAS];
    uint32_t replica_count;
    uint32_t claims_open;
    bool has_confirmation; /* granted by a replica with a complete history */
} PhRequestRecord;

/* An attempt from sending to its reply. */
typedef struct PhAttempt {
    uint64_t id;
    uint64_t request;
    uint32_t worker;
    uint32_t pool;
    PhSendCause cause;
    PhTime sent_at;
    bool overdue; /* cancelled because its deadline passed */
} PhAttempt;

typedef enum PhDrainPhase {
    PH_DRAIN_RUNNING,
    PH_DRAIN_NOTICE,    /* reports not ready, still accepts requests */
    PH_DRAIN_FINISHING, /* accepts no new requests */
    PH_DRAIN_DONE,
} PhDrainPhase;

struct PhRequests {
    PhRequestsOptions options;
    PhRandom *random;
    PhRouter *router;
    PhKeys *keys; /* created on the first event */
    bool has_policies;
    GPtrArray *services;      /* PhService */
    GPtrArray *teams;         /* PhTeamShare */
    double team_virtual_time; /* current virtual time among the teams */
    GHashTable *records;      /* id to PhRequestRecord */
    GHashTable *attempts;
    GSequence *timers; /* PhRequestRecord, by `timer_at` */
    uint64_t next_attempt;
    PhDrainPhase phase;
    PhTime notice_ends;
    GPtrArray *action_strings; /* PhStr keys borrowed by the latest actions */
    GArray *actions;           /* output of the event being handled */
    PhTime now;
};

/* requests.c: records and their timers. */
void PhRequests_Note(PhRequests *r, PhRequestsNote note, uint32_t worker);
void PhRequests_SetTimer(PhRequests *r, PhRequestRecord *record, PhTime at);
void PhRequests_CancelAttempts(PhRequests *r, PhRequestRecord *record,
                               bool overdue);
void PhRequests_Emit(PhRequests *r, PhRequestsAction action);
PhOutcome PhRequests_ProveOutcome(const PhRequestRecord *record);
void PhRequests_Refuse(PhRequests *r, PhRequestRecord *record,
                       PhRefusal reason);
void PhRequests_Finish(PhRequests *r, PhRequestRecord *record);
/* claims.c: idempotency keys. */
void PhClaims_Start(PhRequests *r, PhRequestRecord *record, PhStr key);
void PhClaims_Release(PhRequests *r, const PhRequestRecord *record);
void PhClaims_Replied(PhRequests *r, const PhClaimReply *reply);
void PhClaims_Asked(PhRequests *r, const PhClaimRequest *asked);
void PhClaims_Released(PhRequests *r, const PhClaimRequest *released);

/* events.c */
void PhRequests_Admit(PhRequests *r, PhRequestRecord *record);

/* admission.c: policies, queues and fair sharing. */
bool PhAdmission_Enqueue(PhRequests *r, PhRequestRecord *record, bool first);
void PhAdmission_Dequeue(PhRequests *r, PhRequestRecord *record);
PhTime PhAdmission_ExpectedWait(const PhService *service);
PhRequestRecord *PhAdmission_Next(PhRequests *r);
void PhAdmission_Charge(PhRequests *r, PhService *service);
void PhAdmission_SetPolicies(PhRequests *r, const PhPolicyTable *table);
PhService *PhAdmission_Match(const PhRequests *r, PhStr path);
void PhAdmission_Destroy(PhRequests *r);

/* dispatch.c: sends attempts to workers. */
void PhDispatch_Run(PhRequests *r);
void PhDispatch_Hedge(PhRequests *r, PhRequestRecord *record);

/* reply.c: handles the end of an attempt. */
void PhReply_Handle(PhRequests *r, const PhUpstreamReply *reply);

#endif
