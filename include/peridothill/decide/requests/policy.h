/* What the configuration says about the services that callers reach. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_POLICY_H
#define PERIDOTHILL_DECIDE_REQUESTS_POLICY_H

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

/* In the order of urgency. */
typedef enum PhServiceClass {
    PH_SERVICE_CLASS_LATENCY_CRITICAL,
    PH_SERVICE_CLASS_BATCH,
    PH_SERVICE_CLASS_BACKGROUND,
} PhServiceClass;

/* The policy of one service. */
typedef struct PhServicePolicy {
    PhStr name;
    PhStr prefix; /* of the paths that belong to the service */
    PhStr team;
    PhStr idempotent_paths; /* prefixes whose POST is idempotent, by spaces */
    PhServiceClass service_class;
    PhTime deadline;    /* longest time to the whole answer */
    PhTime hedge_after; /* 0 never sends a second attempt early */
    double share;       /* weight among the services of the team */
    double team_share;  /* weight of the team */
    size_t body_limit_bytes;
    uint32_t retry_percent; /* retries allowed for each 100 requests */
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
/* Tells whether the path is the prefix itself or lies below it. */
bool PhServicePolicy_Covers(const PhServicePolicy *policy, PhStr path);
bool PhServicePolicy_IsIdempotent(const PhServicePolicy *policy, PhStr method,
                                  PhStr path);

#endif
