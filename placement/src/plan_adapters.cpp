/// Plans adapter orders, limits the rate of store loads and averages the work of models.
#include <algorithm>
#include <cmath>
#include <placement/placement.h>
#include <unordered_map>

namespace comfreypier::placement {

namespace {

    /// Upper bound of the load time that is planned ahead: a slope seldom lasts longer.
    constexpr std::chrono::milliseconds maxLoadLookahead { 2500 };

    double toSeconds(Time time)
    {
        return std::chrono::duration<double>(time).count();
    }

} // namespace

std::optional<Order> planAdapterOrder(const routing::EngineSpec& engine, const WorkerInventory& worker, const std::string& model, const std::string& adapter, Time now, Time minIdle)
{
    auto key = model + "/" + adapter;
    if (!worker.models.contains(model) || worker.adapters.contains(key) || engine.adapterSlots == 0)
        return std::nullopt;
    if (worker.adapters.size() < engine.adapterSlots)
        return Order { worker.id, OrderKind::Load, model, adapter, false, "wanted", "" };
    // No slot is free: the adapter that was used least recently is unloaded first.
    auto leastRecentlyUsed = std::min_element(worker.adapters.begin(), worker.adapters.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (leastRecentlyUsed == worker.adapters.end() || now - leastRecentlyUsed->second < minIdle)
        return std::nullopt;
    auto slash = leastRecentlyUsed->first.find('/');
    return Order { worker.id, OrderKind::Unload, leastRecentlyUsed->first.substr(0, slash), leastRecentlyUsed->first.substr(slash + 1), false, "room_for_" + key, "" };
}

std::map<std::string, std::vector<AdapterDemand>> collectAdapterDemand(const std::vector<const WorkerInventory*>& workers, const AdapterUses& uses)
{
    std::unordered_map<std::string, uint32_t> copies;
    for (const auto* worker : workers) {
        for (const auto& [adapter, used] : worker->adapters)
            copies[adapter] += worker->active ? 1 : 0;
    }
    std::map<std::string, std::vector<AdapterDemand>> demand;
    for (const auto& [adapter, lastUsedAt] : uses) {
        auto slash = adapter.find('/');
        auto found = copies.find(adapter);
        demand[adapter.substr(0, slash)].push_back({ adapter.substr(slash + 1), lastUsedAt, found == copies.end() ? 0 : found->second });
    }
    return demand;
}

std::optional<Order> planPrefetchOrder(const routing::EngineSpec& engine, const WorkerInventory& worker, std::map<std::string, std::vector<AdapterDemand>>& demand)
{
    if (worker.adapters.size() + prefetchReservedSlots >= engine.adapterSlots)
        return std::nullopt;
    AdapterDemand* best = nullptr;
    const std::string* bestModel = nullptr;
    for (const auto& model : worker.models) {
        auto found = demand.find(model);
        if (found == demand.end())
            continue;
        for (auto& adapter : found->second) {
            if (adapter.copies >= prefetchTargetCopies || worker.adapters.contains(model + "/" + adapter.name))
                continue;
            // Fewer copies come first, then the later use.
            if (best != nullptr && std::pair(adapter.copies, -adapter.lastUsedAt) >= std::pair(best->copies, -best->lastUsedAt))
                continue;
            best = &adapter;
            bestModel = &model;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    // The orders for other workers in this planning round must count this copy.
    best->copies++;
    return Order { worker.id, OrderKind::Load, *bestModel, best->name, false, "prefetch", "" };
}

double StoreRateLimiter::availableLoads(double perSecond, Time now)
{
    // Before the first call it is unknown how long the store was idle.
    if (this->filledAt != Time { 0 })
        this->tokens = std::min(maxStoreLoadBurst, this->tokens + toSeconds(now - this->filledAt) * perSecond * storeRateShare);
    this->filledAt = now;
    return this->tokens;
}

void DemandForecast::record(const std::map<std::string, double>& work, Time now)
{
    auto elapsed = toSeconds(now - std::exchange(this->recordedAt, now));
    bool first = this->trends.empty();
    auto weight = 1 - std::exp(-elapsed / toSeconds(demandSlopeTime));
    for (const auto& [model, rate] : work)
        this->trends.try_emplace(model, Trend { first ? rate : 0, 0 });
    for (auto& [model, trend] : this->trends) {
        auto found = work.find(model);
        auto rate = found == work.end() ? 0 : found->second;
        if (elapsed > 0)
            trend.slope += weight * ((rate - trend.work) / elapsed - trend.slope);
        trend.work = rate;
    }
}

std::map<std::string, double> DemandForecast::after(Time lookahead) const
{
    std::map<std::string, double> work;
    for (const auto& [model, trend] : this->trends) {
        if (trend.work > 0)
            work[model] = std::clamp(trend.work + trend.slope * toSeconds(lookahead), minForecastShare * trend.work, maxForecastShare * trend.work);
    }
    return work;
}

Time planLookahead(const routing::EngineSpec& engine)
{
    Time sum { 0 };
    for (const auto& model : engine.models)
        sum += std::min(model.storeLoadTime, maxLoadLookahead);
    return workAverageTime + sum / std::max<Time::rep>(1, static_cast<Time::rep>(engine.models.size()));
}

void WorkAverage::add(const std::string& model, double seconds, Time now)
{
    auto& sum = this->sums[model];
    sum.seconds = sum.seconds * std::exp(-toSeconds(now - sum.updatedAt) / toSeconds(workAverageTime)) + seconds;
    sum.updatedAt = now;
}

std::map<std::string, double> WorkAverage::rates(Time now) const
{
    std::map<std::string, double> rates;
    // At a constant rate the decayed sum approaches the rate times `workAverageTime`.
    for (const auto& [model, sum] : this->sums)
        rates[model] = sum.seconds * std::exp(-toSeconds(now - sum.updatedAt) / toSeconds(workAverageTime)) / toSeconds(workAverageTime);
    return rates;
}

} // namespace comfreypier::placement
