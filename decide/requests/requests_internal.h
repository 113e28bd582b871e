/* What the files of the request decisions share. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_REQUESTS_INTERNAL_H
#define PERIDOTHILL_DECIDE_REQUESTS_REQUESTS_INTERNAL_H

#include "peridothill/common/random.h"
#include "peridothill/decide/requests/budget.h"
#include "peridothill/decide/requests/requests.h"

enum {
    MOST_ATTEMPTS_AT_ONCE = 2
};

/* A team's place in the order of fair shares. */
typedef struct PhTeamShare {
    PhStr name;
    double virtual_time;
    double service_time; /* virtual time of its services */
    uint32_t waiting;
} PhTeamShare;

/* A service: its policy, its queue and its place among its team's. */
typedef struct PhService {
    PhServicePolicy policy;
    bool configured;
    uint32_t pool;
    PhTeamShare *team;
    GQueue queue; /* PhRequestRecord, linked through `link` */
    double virtual_time;
    PhBudget budget;
    PhTime dispatched_at;
    double interval_ns; /* between dispatches while requests wait */
} PhService;

typedef enum PhRequestState {
    PH_REQUEST_CLAIMING,  /* waits for the homes of its key */
    PH_REQUEST_QUEUED,    /* waits for a worker */
    PH_REQUEST_IN_FLIGHT, /* an attempt is at a worker */
    PH_REQUEST_BACKOFF,   /* waits before a retry */
} PhRequestState;

/* A request from its arrival to its answer or refusal. */
typedef struct PhRequestRecord {
    uint64_t id;
    PhRequestState state;
    PhService *service;
    bool idempotent;
    bool hedged;
    PhTime arrived;
    PhTime deadline;
    PhTime wake; /* of its timer */
    GSequenceIter *timer;
    GList link;        /* in the queue of the service */
    uint32_t sends;    /* attempts ever */
    uint32_t not_sent; /* of them, proved never to have left */
    uint64_t live[MOST_ATTEMPTS_AT_ONCE]; /* attempts in flight, or 0 */
    uint32_t last_worker;
    PhSendCause next_cause;
    PhStr key;
    PhStr homes[PH_KEY_HOMES];
    uint32_t home_count;
    uint32_t claims_open;
    bool vouched; /* a home that would know of a use granted the key */
} PhRequestRecord;

/* An attempt until its reply. */
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
    PH_DRAIN_NOTICE,    /* readiness fails, requests are still taken */
    PH_DRAIN_FINISHING, /* only requests in flight go on */
    PH_DRAIN_DONE,
} PhDrainPhase;

struct PhRequests {
    PhRequestsOptions options;
    PhRandom *random;
    PhRouter *router;
    PhKeys *keys; /* created with the first event */
    bool has_policies;
    GPtrArray *services; /* PhService */
    GPtrArray *teams;    /* PhTeamShare */
    double team_time;    /* virtual time of the teams */
    GHashTable *records; /* id to PhRequestRecord */
    GHashTable *attempts;
    GSequence *timers; /* PhRequestRecord by `wake` */
    uint64_t next_attempt;
    PhDrainPhase phase;
    PhTime notice_ends;
    GPtrArray *lent; /* PhStr keys that the last actions borrow */
    GArray *actions; /* of the event at hand */
    PhTime now;
};

/* requests.c: the life of records. */
void PhRequests_Note(PhRequests *r, PhRequestsNote note, uint32_t worker);
void PhRequests_SetWake(PhRequests *r, PhRequestRecord *record, PhTime at);
void PhRequests_CancelLive(PhRequests *r, PhRequestRecord *record,
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
void PhClaims_Asked(PhRequests *r, const PhClaimAsked *asked);
void PhClaims_Released(PhRequests *r, const PhClaimAsked *released);

/* events.c */
void PhRequests_Admit(PhRequests *r, PhRequestRecord *record);

/* admission.c: who waits, and who is next. */
bool PhAdmission_Enqueue(PhRequests *r, PhRequestRecord *record, bool first);
void PhAdmission_Dequeue(PhRequests *r, PhRequestRecord *record);
PhTime PhAdmission_ExpectedWait(const PhService *service);
PhRequestRecord *PhAdmission_Next(PhRequests *r);
void PhAdmission_Charge(PhRequests *r, PhService *service);
void PhAdmission_SetPolicies(PhRequests *r, const PhPolicyTable *table);
PhService *PhAdmission_Match(const PhRequests *r, PhStr path);
void PhAdmission_Destroy(PhRequests *r);

/* dispatch.c: sends what may be sent. */
void PhDispatch_Run(PhRequests *r);
void PhDispatch_Hedge(PhRequests *r, PhRequestRecord *record);

/* reply.c: ends of attempts. */
void PhReply_Handle(PhRequests *r, const PhUpstreamReply *reply);

#endif
