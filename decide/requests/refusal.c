#include "peridothill/decide/requests/refusal.h"

static const PhRefusalInfo refusals[] = {
#define PH_REFUSAL(NAME, TEXT, STATUS, RETRY_AFTER_S)                         \
    {TEXT, STATUS, RETRY_AFTER_S},
#include "peridothill/decide/requests/refusal_list.h"
#undef PH_REFUSAL
};

static const char *const outcome_names[] = {
    [PH_OUTCOME_NOT_RUN] = "not-run",
    [PH_OUTCOME_UNKNOWN] = "unknown",
};

const PhRefusalInfo *
PhRefusal_Info(PhRefusal refusal)
{
    return &refusals[refusal];
}

/* Returns the value sent to callers. */
const char *
PhOutcome_Name(PhOutcome outcome)
{
    return outcome_names[outcome];
}
