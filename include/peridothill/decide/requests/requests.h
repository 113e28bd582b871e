/* Decisions on callers' requests: admission, routing, retries, refusals and
 * draining. Takes events and returns actions; does no I/O and knows no message
 * encoding. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_REQUESTS_H
#define PERIDOTHILL_DECIDE_REQUESTS_REQUESTS_H

#include "peridothill/decide/requests/keys.h"
#include "peridothill/decide/requests/policy.h"
#include "peridothill/decide/requests/refusal.h"
#include "peridothill/decide/requests/router.h"

typedef enum PhAdmissionKind {
    PH_ADMISSION_FAIR,   /* weighted fair queueing by team and service */
    PH_ADMISSION_FIFO,   /* order of arrival */
    PH_ADMISSION_STRICT, /* the most urgent class first */
} PhAdmissionKind;

/* Mechanisms that a benchmark can disable one at a time. */
typedef struct PhRequestsTuning {
    PhRoutingKind routing;
    PhAdmissionKind admission;
    bool cooldown;
    bool first_byte_timeout;
    bool adaptive_limit;
    bool connection_limit;
    bool retry_budget;
    bool deadline_aware;
} PhRequestsTuning;

typedef struct PhRequestsOptions {
    PhStr instance;
    PhStr data_centre;
    uint64_t seed;
    PhTime drain_notice; /* time from reporting not ready to refusing new
                            requests */
    PhTime key_window;   /* 0 selects PH_KEY_WINDOW_MS */
    PhRequestsTuning tuning;
} PhRequestsOptions;

/* A caller's request. Strings are borrowed for the call. */
typedef struct PhArrival {
    uint64_t id;
    PhStr method;
    PhStr path;
    PhStr key;     /* Idempotency-Key, or empty */
    PhTime budget; /* time left by the caller's deadline header, or 0 */
    size_t body_bytes;
    bool malformed; /* a header could not be parsed */
} PhArrival;

/* How an attempt ended, as reported by the HTTP client. */
typedef enum PhAttemptEnd {
    PH_ATTEMPT_END_ANSWERED,
    PH_ATTEMPT_END_CONNECT,
    PH_ATTEMPT_END_FIRST_BYTE,
    PH_ATTEMPT_END_DEADLINE,
    PH_ATTEMPT_END_RESET,
    PH_ATTEMPT_END_TRUNCATED,
    PH_ATTEMPT_END_TOO_LARGE,
    PH_ATTEMPT_END_CANCELLED,
} PhAttemptEnd;

typedef struct PhUpstreamReply {
    uint64_t attempt;
    PhAttemptEnd end;
    bool not_sent; /* proved that no byte of the attempt was sent */
    bool reused; /* the connection had been used before and may have been stale
                  */
    int status;
} PhUpstreamReply;

/* The reply of a replica to a claim. */
typedef struct PhClaimReply {
    uint64_t request;
    PhKeyVerdict verdict;
} PhClaimReply;

/* A claim or release of a key, sent by another instance. */
typedef struct PhClaimRequest {
    PhStr member;
    PhStr key;
    uint64_t request;
} PhClaimRequest;

typedef enum PhRequestsEventTag {
    PH_REQUESTS_ARRIVED,
    PH_REQUESTS_REPLIED,
    PH_REQUESTS_CALLER_DISCONNECTED,
    PH_REQUESTS_WORKERS,
    PH_REQUESTS_POLICIES,
    PH_REQUESTS_MEMBERS,
    PH_REQUESTS_CLAIM_REPLIED,
    PH_REQUESTS_CLAIM_RECEIVED,
    PH_REQUESTS_CLAIM_RELEASED,
    PH_REQUESTS_TIMER,
    PH_REQUESTS_STOP,
} PhRequestsEventTag;

typedef struct PhRequestsEvent {
    PhRequestsEventTag tag;
    union {
        PhArrival arrived;
        PhUpstreamReply replied;
        uint64_t caller_disconnected;
        struct {
            const PhWorkerRow *rows;
            size_t count;
        } workers;
        PhPolicyTable policies;
        struct {
            const PhKeyMember *rows;
            size_t count;
        } members;
        PhClaimReply claim_replied;
        PhClaimRequest claim;
    } as;
} PhRequestsEvent;

/* Why an attempt was sent. */
typedef enum PhSendCause {
    PH_SEND_FIRST,
    PH_SEND_RETRY_CONNECT,
    PH_SEND_RETRY_FIRST_BYTE,
    PH_SEND_RETRY_RESET,
    PH_SEND_RETRY_TRUNCATED,
    PH_SEND_RETRY_STATUS,
    PH_SEND_HEDGE,
    PH_SEND_CAUSE_COUNT,
} PhSendCause;

typedef struct PhSend {
    uint64_t request;
    uint64_t attempt;
    uint32_t worker;
    PhSendCause cause;
    PhTime deadline;
    PhTime first_byte;
    bool fresh_connection;
} PhSend;

typedef struct PhRefuse {
    uint64_t request;
    PhRefusal reason;
    PhOutcome outcome;
} PhRefuse;

typedef struct PhClaimAction {
    PhStr member;
    PhStr key;
    uint64_t request;
    PhKeyVerdict verdict; /* of a claim answer */
} PhClaimAction;

/* Events that are only counted and logged. */
typedef enum PhRequestsNote {
    PH_NOTE_LATE_ANSWER,
    PH_NOTE_EJECTED,
    PH_NOTE_READMITTED,
    PH_NOTE_RETRY_NO_BUDGET,
    PH_NOTE_RETRY_NO_TIME,
    PH_NOTE_HEDGE_WON,
    PH_NOTE_CALLER_DISCONNECTED,
    PH_NOTE_COUNT,
} PhRequestsNote;

typedef enum PhRequestsActionTag {
    PH_REQUESTS_SEND,
    PH_REQUESTS_ANSWER, /* forward the reply being handled to the caller */
    PH_REQUESTS_REFUSE,
    PH_REQUESTS_CANCEL, /* cancel an attempt; its reply is still delivered */
    PH_REQUESTS_CLAIM,  /* claim a key on another instance */
    PH_REQUESTS_CLAIM_ANSWER,  /* answer another instance's claim */
    PH_REQUESTS_CLAIM_RELEASE, /* release a key on another instance */
    PH_REQUESTS_QUIESCE,       /* stop accepting connections */
    PH_REQUESTS_DRAINED,       /* nothing is in flight; the task may end */
    PH_REQUESTS_NOTE,
} PhRequestsActionTag;

/* Strings are borrowed and valid until the next event. */
typedef struct PhRequestsAction {
    PhRequestsActionTag tag;
    union {
        PhSend send;
        uint64_t answer;
        PhRefuse refuse;
        uint64_t cancel;
        PhClaimAction claim;
        struct {
            PhRequestsNote note;
            uint32_t worker; /* or PH_WORKER_NONE */
        } note;
    } as;
} PhRequestsAction;

typedef struct PhRequests PhRequests;

PhRequestsTuning PhRequestsTuning_Default(void);
PhRequests *PhRequests_Create(const PhRequestsOptions *options);
/* NULL is allowed. */
void PhRequests_Destroy(PhRequests *requests);
/* Handles one event and appends the resulting PhRequestsAction values to
 * `actions`. */
void PhRequests_Handle(PhRequests *requests, const PhRequestsEvent *event,
                       PhTime now, GArray *actions);
/* Time at which PH_REQUESTS_TIMER is next due, or PH_TIME_NEVER. */
PhTime PhRequests_NextTimer(const PhRequests *requests);
/* Whether the load balancer should send requests to this instance. */
bool PhRequests_IsReady(const PhRequests *requests);
/* Number of requests that were neither answered nor refused yet. */
size_t PhRequests_InFlight(const PhRequests *requests);
const PhRouter *PhRequests_Router(const PhRequests *requests);

#endif
