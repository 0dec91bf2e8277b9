/// Retry budget.
#include <algorithm>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    /// Removes the times before `start`. @param times oldest first.
    void removeBefore(std::deque<Time>& times, Time start)
    {
        while (!times.empty() && times.front() < start)
            times.pop_front();
    }

} // namespace

RetryBudget::RetryBudget(double ratio, double slack, Time window, Time slackFrom)
    : ratio(ratio)
    , slack(slack)
    , window(window)
    , slackFrom(slackFrom)
{
}

void RetryBudget::removeExpired(Time now)
{
    removeBefore(this->requestTimes, now - this->window);
    removeBefore(this->retryTimes, now - this->window);
}

void RetryBudget::recordRequest(Time now)
{
    this->removeExpired(now);
    this->requestTimes.push_back(now);
}

uint32_t RetryBudget::highestMemberCount(uint32_t memberCount, Time now)
{
    while (!this->memberCounts.empty() && this->memberCounts.front().at < now - this->window)
        this->memberCounts.pop_front();
    while (!this->memberCounts.empty() && this->memberCounts.back().count <= memberCount)
        this->memberCounts.pop_back();
    this->memberCounts.push_back({ now, memberCount });
    return this->memberCounts.front().count;
}

bool RetryBudget::allowsRetry(Time now, uint32_t memberCount)
{
    this->removeExpired(now);
    auto sharers = this->highestMemberCount(memberCount, now);
    double slackShare = memberCount == 0 || now < this->slackFrom ? 0 : this->slack / sharers;
    auto allowedRetries = retryBudgetShare * (this->ratio * static_cast<double>(this->requestTimes.size()) + slackShare);
    return static_cast<double>(this->retryTimes.size()) + 1 <= allowedRetries;
}

bool RetryBudget::tryAcquire(Time now, uint32_t memberCount)
{
    if (!this->allowsRetry(now, memberCount))
        return false;
    this->retryTimes.push_back(now);
    return true;
}

} // namespace comfreypier::routing
