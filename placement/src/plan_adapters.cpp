/// Which adapter goes where next, and the averages that placement rests on.
#include <algorithm>
#include <cmath>
#include <placement/placement.h>

namespace comfreypier::placement {

namespace {

    /// Time over which work is averaged: short enough to follow a shift that takes five seconds.
    constexpr Time workWindow = std::chrono::milliseconds { 2500 };

    double secondsOf(Time time)
    {
        return std::chrono::duration<double>(time).count();
    }

} // namespace

std::optional<Order> planAdapter(const routing::EngineSpec& engine, const HeldWorker& worker, const std::string& model, const std::string& adapter, Time now, Time minimumIdle)
{
    auto key = model + "/" + adapter;
    if (!worker.models.contains(model) || worker.adapters.contains(key) || engine.adapterSlots == 0)
        return std::nullopt;
    if (worker.adapters.size() < engine.adapterSlots)
        return Order { worker.id, OrderKind::Load, model, adapter, false, "wanted", "" };
    auto oldest = std::min_element(worker.adapters.begin(), worker.adapters.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (oldest == worker.adapters.end() || now - oldest->second < minimumIdle)
        return std::nullopt;
    auto slash = oldest->first.find('/');
    return Order { worker.id, OrderKind::Unload, oldest->first.substr(0, slash), oldest->first.substr(slash + 1), false, "room_for_" + key, "" };
}

std::optional<Order> planPrefetch(const routing::EngineSpec& engine, const std::vector<HeldWorker>& workers, const HeldWorker& worker, const AdapterUses& uses)
{
    if (worker.adapters.size() + prefetchFree >= engine.adapterSlots)
        return std::nullopt;
    std::optional<std::string> best;
    std::pair<uint32_t, Time> bestRank;
    for (const auto& [adapter, usedAt] : uses) {
        auto model = adapter.substr(0, adapter.find('/'));
        if (!worker.models.contains(model) || worker.adapters.contains(adapter))
            continue;
        uint32_t copies = 0;
        for (const auto& other : workers)
            copies += other.alive && other.adapters.contains(adapter) ? 1 : 0;
        std::pair<uint32_t, Time> rank { copies, -usedAt };
        if (copies >= prefetchCopies || (best && rank >= bestRank))
            continue;
        best = adapter;
        bestRank = rank;
    }
    if (!best)
        return std::nullopt;
    auto slash = best->find('/');
    return Order { worker.id, OrderKind::Load, best->substr(0, slash), best->substr(slash + 1), false, "prefetch", "" };
}

double StoreRate::allowed(double perSecond, Time now)
{
    if (this->filledAt != Time { 0 })
        this->tokens = std::min(storeLoadBurst, this->tokens + secondsOf(now - this->filledAt) * perSecond * storeRateUse);
    this->filledAt = now;
    return this->tokens;
}

void WorkAverage::add(const std::string& model, double seconds, Time now)
{
    auto& sum = this->sums[model];
    sum.seconds = sum.seconds * std::exp(-secondsOf(now - sum.at) / secondsOf(workWindow)) + seconds;
    sum.at = now;
}

std::map<std::string, double> WorkAverage::rates(Time now) const
{
    std::map<std::string, double> rates;
    for (const auto& [model, sum] : this->sums)
        rates[model] = sum.seconds * std::exp(-secondsOf(now - sum.at) / secondsOf(workWindow)) / secondsOf(workWindow);
    return rates;
}

} // namespace comfreypier::placement
