/* A token budget for retries: requests earn tokens, retries spend them. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_BUDGET_H
#define PERIDOTHILL_DECIDE_REQUESTS_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct PhBudget {
    uint64_t earned_centi; /* hundredths of a token, ever */
    uint64_t spent_centi;
    uint64_t lost_centi; /* earned above the cap */
} PhBudget;

/* Earns `percent` hundredths of a token for one request. */
void PhBudget_Earn(PhBudget *budget, uint32_t percent);
/* Spends one token for one retry; false when there is none. */
bool PhBudget_Spend(PhBudget *budget);

#endif
