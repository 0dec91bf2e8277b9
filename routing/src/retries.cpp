/// Retry budget and detection of poison requests.
#include <algorithm>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    /// A worker crash is attributed to the requests that broke off there within this time before it became known. Workers publish a new
    /// entry when they are back, after some seconds.
    constexpr Time crashAttributionWindow = std::chrono::seconds { 10 };
    /// Number of contents to which `recordCrash` reduces the crash counts. Reports of other VMs may exceed it until then.
    constexpr size_t maxCrashCounts = 4096;

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

void PoisonRequests::recordBroken(const std::string& worker, uint64_t contentHash, Time now)
{
    while (!this->brokenRequests.empty() && this->brokenRequests.front().at < now - crashAttributionWindow)
        this->brokenRequests.pop_front();
    this->brokenRequests.push_back({ worker, contentHash, now });
}

size_t PoisonRequests::recordCrash(const std::string& worker, Time now)
{
    size_t counted = 0;
    for (auto& request : this->brokenRequests) {
        if (request.worker != worker || request.at < now - crashAttributionWindow)
            continue;
        this->crashesByContent[request.contentHash]++;
        counted++;
        request.worker.clear(); // A second report of the same crash must not count again.
    }
    // Counts have no time, so any may go: that of the lowest hash.
    while (this->crashesByContent.size() > maxCrashCounts)
        this->crashesByContent.erase(this->crashesByContent.begin());
    return counted;
}

void PoisonRequests::recordAlive(const std::string& worker)
{
    std::erase_if(this->brokenRequests, [&worker](const auto& request) { return request.worker == worker; });
}

void PoisonRequests::merge(uint64_t contentHash, uint32_t crashes)
{
    auto& knownCount = this->crashesByContent[contentHash];
    knownCount = std::max(knownCount, crashes);
}

bool PoisonRequests::isPoison(uint64_t contentHash) const
{
    auto found = this->crashesByContent.find(contentHash);
    return found != this->crashesByContent.end() && found->second >= poisonCrashLimit;
}

} // namespace comfreypier::routing
