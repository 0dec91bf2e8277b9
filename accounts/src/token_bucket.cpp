#include <accounts/accounts.h>
#include <algorithm>
#include <cmath>

namespace comfreypier::accounts {

namespace {

    /// Longer waits count as this one, so that they fit the clock.
    constexpr std::chrono::hours maxWait { 24 };

    double toSeconds(Time time)
    {
        return std::chrono::duration<double>(time).count();
    }

} // namespace

void setWeights(std::vector<ClientAccount>& accounts)
{
    bool comparable = std::all_of(accounts.begin(), accounts.end(), [&accounts](const auto& account) { return account.quota.unit == accounts.front().quota.unit && account.quota.ratePerSecond > 0; });
    for (auto& account : accounts)
        account.weight = comparable ? account.quota.ratePerSecond : 0;
}

double quotaCapacity(const Quota& quota)
{
    auto capacity = quota.burst > 0 ? quota.burst : quota.ratePerSecond;
    return quota.unit == QuotaUnit::Requests ? std::max(1.0, capacity) : capacity;
}

Quota quotaWithTolerance(const Quota& quota, const QuotaTolerance& tolerance)
{
    auto result = quota;
    auto allowed = quota.ratePerSecond * toSeconds(tolerance.window) + quota.burst;
    auto tolerated = allowed * tolerance.overage + tolerance.slack;
    result.burst = quotaCapacity(quota) + bucketToleranceShare * tolerated;
    // What a quota without a burst holds beside is within the tolerance as well.
    if (quota.burst <= 0)
        result.burst = std::min(result.burst, tolerated);
    return result;
}

TokenBucket::TokenBucket(const Quota& quota, double level, Time now)
    : quota(quota)
    , levelThen(std::min(level, quotaCapacity(quota)))
    , then(now)
{
}

double TokenBucket::level(Time now) const
{
    return std::min(quotaCapacity(this->quota), this->levelThen + this->quota.ratePerSecond * toSeconds(std::max(now - this->then, Time { 0 })));
}

void TokenBucket::add(double amount, Time now)
{
    this->setLevel(this->level(now) + amount, now);
}

void TokenBucket::setLevel(double level, Time now)
{
    auto capacity = quotaCapacity(this->quota);
    this->levelThen = std::clamp(level, -capacity, capacity);
    this->then = std::max(this->then, now);
}

std::optional<Time> TokenBucket::timeUntil(double cost, Time now) const
{
    auto capacity = quotaCapacity(this->quota);
    if (cost > capacity)
        return std::nullopt;
    auto missing = cost - this->level(now);
    // The level carries rounding errors.
    if (missing <= capacity * 1e-9)
        return Time { 0 };
    auto wait = std::min<std::chrono::duration<double>>(std::chrono::duration<double>(missing / this->quota.ratePerSecond), maxWait);
    return std::chrono::ceil<Time>(wait);
}

void TokenBucket::setQuota(const Quota& newQuota, Time now)
{
    auto level = this->level(now);
    if (newQuota.unit != this->quota.unit)
        level *= quotaCapacity(newQuota) / quotaCapacity(this->quota);
    this->quota = newQuota;
    this->setLevel(level, now);
}

void GrantedRate::record(double cost, bool granted, Time now)
{
    auto decay = std::exp(-toSeconds(now - this->answeredAt) / toSeconds(grantedRateTime));
    this->granted *= decay;
    this->refused *= decay;
    this->answeredAt = now;
    this->level = 0;
    this->levelAt = now;
    if (!granted) {
        this->refused += cost;
        return;
    }
    if (this->firstAt == Time { 0 })
        this->firstAt = now;
    this->granted += cost;
    this->largestCost = std::max(this->largestCost, cost);
}

double GrantedRate::rate() const
{
    if (this->granted <= 0)
        return 0;
    // Shortly after the first request the sum is that of a shorter time, but at least of a second.
    auto covered = 1 - std::exp(-std::max(1.0, toSeconds(this->answeredAt - this->firstAt)) / toSeconds(grantedRateTime));
    // An account at its limit gets the rest of it from the VMs that still reach each other.
    return this->granted / (toSeconds(grantedRateTime) * covered) * this->granted / (this->granted + this->refused);
}

bool GrantedRate::tryGrant(double cost, Time now)
{
    auto rate = this->rate();
    // One request must fit, however low the rate is.
    this->level = std::min(this->level + rate * toSeconds(now - this->levelAt), std::max(rate, this->largestCost));
    this->levelAt = now;
    if (this->level < cost)
        return false;
    this->level -= cost;
    return true;
}

} // namespace comfreypier::accounts
