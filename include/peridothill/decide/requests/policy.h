/* Policies of the services that callers can reach, from the configuration. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_POLICY_H
#define PERIDOTHILL_DECIDE_REQUESTS_POLICY_H

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

/* Most urgent class first. */
typedef enum PhServiceClass {
    PH_SERVICE_CLASS_LATENCY_CRITICAL,
    PH_SERVICE_CLASS_BATCH,
    PH_SERVICE_CLASS_BACKGROUND,
} PhServiceClass;

typedef struct PhServicePolicy {
    PhStr name;
    PhStr prefix; /* path prefix of the service */
    PhStr team;
    PhStr idempotent_paths; /* path prefixes with idempotent POST, separated by
                               spaces */
    PhServiceClass service_class;
    PhTime deadline;    /* longest time to the complete response */
    PhTime hedge_after; /* delay before a hedge; 0 disables hedging */
    double share;       /* weight among the services of the team */
    double team_share;  /* weight of the team */
    size_t body_limit_bytes;
    uint32_t retry_percent; /* retries allowed per 100 requests */
} PhServicePolicy;

typedef struct PhPolicyTable {
    uint64_t version;
    PhServicePolicy *rows;
    size_t count;
} PhPolicyTable;

const char *PhServiceClass_Name(PhServiceClass service_class);
bool PhServiceClass_Parse(PhStr text, PhServiceClass *service_class);
PhServicePolicy PhServicePolicy_Default(PhStr name);
PhServicePolicy PhServicePolicy_Copy(const PhServicePolicy *policy);
void PhServicePolicy_Clear(PhServicePolicy *policy);
/* Whether the path is the service's prefix itself or lies below it. */
bool PhServicePolicy_Covers(const PhServicePolicy *policy, PhStr path);
bool PhServicePolicy_IsIdempotent(const PhServicePolicy *policy, PhStr method,
                                  PhStr path);

#endif
