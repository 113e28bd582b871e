#include "peridothill/decide/requests/budget.h"

#include "peridothill/common/invariant.h"

enum {
    TOKEN_CENTI = 100,
    MAX_TOKENS = 5, /* largest burst of retries after an idle period */
};

static uint64_t
budget_available(const PhBudget *budget)
{
    return budget->earned_centi - budget->spent_centi - budget->lost_centi;
}

void
PhBudget_Earn(PhBudget *budget, uint32_t percent)
{
    budget->earned_centi += percent;
    uint64_t cap = (uint64_t)MAX_TOKENS * TOKEN_CENTI;
    if (budget_available(budget) > cap) {
        budget->lost_centi += budget_available(budget) - cap;
    }
}

bool
PhBudget_Spend(PhBudget *budget)
{
    if (budget_available(budget) < TOKEN_CENTI) {
        return false;
    }
    budget->spent_centi += TOKEN_CENTI;
    Ph_INVARIANT(PH_INVARIANT_BUDGET,
                 budget->spent_centi + budget->lost_centi <=
                     budget->earned_centi,
                 "spent=%lu earned=%lu", (unsigned long)budget->spent_centi,
                 (unsigned long)budget->earned_centi);
    return true;
}
