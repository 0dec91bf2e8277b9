/// Retry budget: a token bucket that is filled by first attempts.
#include <algorithm>
#include <coordination/coordination.h>

namespace comfreypier::coordination {

void recordFirstAttempt(RetryBudget& budget)
{
    budget.tokens = std::min(budget.burst, budget.tokens + budget.share);
}

bool tryConsumeRetry(RetryBudget& budget)
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

} // namespace comfreypier::coordination
