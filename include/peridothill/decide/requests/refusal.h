/* Reasons for refusing a request, and whether the request may have run. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_REFUSAL_H
#define PERIDOTHILL_DECIDE_REQUESTS_REFUSAL_H

typedef enum PhRefusal {
#define PH_REFUSAL(NAME, TEXT, STATUS, RETRY_AFTER_S) PH_REFUSAL_##NAME,
#include "peridothill/decide/requests/refusal_list.h"
#undef PH_REFUSAL
    PH_REFUSAL_COUNT,
} PhRefusal;

/* Whether a refused request may have run. */
typedef enum PhOutcome {
    PH_OUTCOME_NOT_RUN, /* proved that no byte of it was sent */
    PH_OUTCOME_UNKNOWN, /* it may have run */
} PhOutcome;

typedef struct PhRefusalInfo {
    const char *name;
    int status;
    unsigned retry_after_s; /* 0 omits the Retry-After header */
} PhRefusalInfo;

const PhRefusalInfo *PhRefusal_Info(PhRefusal refusal);
const char *PhOutcome_Name(PhOutcome outcome);

#endif
