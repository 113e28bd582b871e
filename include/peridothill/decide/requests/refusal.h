/* Typed refusals and what they say about the request. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_REFUSAL_H
#define PERIDOTHILL_DECIDE_REQUESTS_REFUSAL_H

typedef enum PhRefusal {
#define PH_REFUSAL(NAME, TEXT, STATUS, RETRY_AFTER_S) PH_REFUSAL_##NAME,
#include "peridothill/decide/requests/refusal_list.h"
#undef PH_REFUSAL
    PH_REFUSAL_COUNT,
} PhRefusal;

/* What a refusal tells about the request. */
typedef enum PhOutcome {
    PH_OUTCOME_NOT_RUN, /* proved: no byte of it left */
    PH_OUTCOME_UNKNOWN, /* it may have run */
} PhOutcome;

/* One row of the table of refusals. */
typedef struct PhRefusalInfo {
    const char *name;
    int status;
    unsigned retry_after_s; /* 0 gives no Retry-After */
} PhRefusalInfo;

const PhRefusalInfo *PhRefusal_Info(PhRefusal refusal);
const char *PhOutcome_Name(PhOutcome outcome);

#endif
