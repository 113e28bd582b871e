/* Retry budget: requests earn tokens, retries spend them. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_BUDGET_H
#define PERIDOTHILL_DECIDE_REQUESTS_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct PhBudget {
    uint64_t earned_centi; /* total earned, in hundredths of a token */
    uint64_t spent_centi;
    uint64_t lost_centi; /* total discarded above the cap */
} PhBudget;

/* Adds `percent` hundredths of a token for one request. */
void PhBudget_Earn(PhBudget *budget, uint32_t percent);
/* Spends one token for one retry. Returns false if none is left. */
bool PhBudget_Spend(PhBudget *budget);

#endif
