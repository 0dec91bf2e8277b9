/// Bounds on repeats, and contents that crash workers.
#include <algorithm>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    /// Time within which a worker must prove dead for a broken request to be suspected.
    constexpr Time suspicionTime = std::chrono::seconds { 3 };
    /// Most contents kept under suspicion.
    constexpr size_t suspectLimit = 4096;

    void dropBefore(std::deque<Time>& times, Time start)
    {
        while (!times.empty() && times.front() < start)
            times.pop_front();
    }

} // namespace

RetryBudget::RetryBudget(double ratio, double slack, Time window)
    : ratio(ratio)
    , slack(slack)
    , window(window)
{
}

void RetryBudget::forget(Time now)
{
    dropBefore(this->firsts, now - this->window);
    dropBefore(this->repeats, now - this->window);
}

void RetryBudget::recordRequest(Time now)
{
    this->forget(now);
    this->firsts.push_back(now);
}

bool RetryBudget::allowsRetry(Time now, uint32_t vms)
{
    this->forget(now);
    auto allowed = retryBudgetShare * (this->ratio * static_cast<double>(this->firsts.size()) + this->slack / std::max(1U, vms));
    return static_cast<double>(this->repeats.size()) + 1 <= allowed;
}

bool RetryBudget::tryAcquire(Time now, uint32_t vms)
{
    if (!this->allowsRetry(now, vms))
        return false;
    this->repeats.push_back(now);
    return true;
}

void PoisonRequests::recordBroken(const std::string& worker, uint64_t contentHash, Time now)
{
    while (!this->broken.empty() && this->broken.front().at < now - suspicionTime)
        this->broken.pop_front();
    this->broken.push_back({ worker, contentHash, now });
}

void PoisonRequests::recordCrash(const std::string& worker, Time now)
{
    for (auto& entry : this->broken) {
        if (entry.worker != worker || entry.at < now - suspicionTime)
            continue;
        this->crashes[entry.contentHash]++;
        entry.worker.clear();
    }
    while (this->crashes.size() > suspectLimit)
        this->crashes.erase(this->crashes.begin());
}

void PoisonRequests::merge(uint64_t contentHash, uint32_t count)
{
    auto& known = this->crashes[contentHash];
    known = std::max(known, count);
}

bool PoisonRequests::isPoison(uint64_t contentHash) const
{
    auto found = this->crashes.find(contentHash);
    return found != this->crashes.end() && found->second >= poisonCrashLimit;
}

} // namespace comfreypier::routing
