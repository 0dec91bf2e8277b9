#include "router.h"

#include <algorithm>

namespace comfreypier::daemon {

namespace {

    /// Longest sleep before the daemon's end is noticed.
    constexpr std::chrono::milliseconds rebuildWait { 200 };
    constexpr std::chrono::milliseconds failurePenalty { 1200 };
    /// One-way time between data centres.
    constexpr std::chrono::microseconds remoteDistance { 1500 };
    constexpr std::chrono::microseconds defaultRequestTime { 200000 };
    /// Weight of a new sample in the smoothed time of a request.
    constexpr int smoothing = 8;

    bool isResident(const coordination::Worker& worker, const std::string& item)
    {
        auto entry = worker.reservations.find(item);
        return entry != worker.reservations.end() && entry->second.loaded && !entry->second.unloading;
    }

    std::string versionKey(const std::string& name, uint32_t version)
    {
        return name + "@" + std::to_string(version);
    }

    /// Newest version of `name`, at most `newest`, that the worker holds.
    std::string residentVersion(const coordination::Worker& worker, const std::string& name, uint32_t newest)
    {
        if (isResident(worker, versionKey(name, newest)))
            return versionKey(name, newest);
        std::string found;
        auto prefix = name + "@";
        for (auto entry = worker.reservations.lower_bound(prefix); entry != worker.reservations.end() && entry->first.starts_with(prefix); ++entry) {
            if (entry->second.loaded && !entry->second.unloading)
                found = entry->first;
        }
        return found;
    }

    void addHolder(Route& route, const protocol::DeploymentSpec& deployment, const coordination::Worker& worker)
    {
        auto item = residentVersion(worker, route.spec.name, route.spec.version);
        if (item.empty())
            return;
        if (!route.spec.base.empty()) {
            const auto& base = deployment.items.at(route.spec.base);
            if (residentVersion(worker, base.name, base.version).empty())
                return;
        }
        auto endpoint = transport::parseEndpoint(worker.declared.endpoint);
        if (endpoint)
            route.workers.push_back({ worker.declared.worker, endpoint.value(), worker.declared.dataCentre, item });
    }

    /// Keeps only holders of the declared version, once there are any.
    void preferDeclaredVersion(Route& route)
    {
        auto key = protocol::itemKey(route.spec);
        bool hasCurrent = std::any_of(route.workers.begin(), route.workers.end(), [&](const RouteWorker& holder) { return holder.item == key; });
        if (hasCurrent)
            std::erase_if(route.workers, [&](const RouteWorker& holder) { return holder.item != key; });
    }

} // namespace

Router::Router(Node& node)
    : node(node)
    , current(std::make_shared<RouteTable>())
{
}

void Router::run()
{
    while (!this->node.lifecycle.stopping) {
        if (this->changed.waitFor(rebuildWait))
            this->rebuild();
    }
}

void Router::rebuild()
{
    auto table = std::make_shared<RouteTable>();
    auto deployment = this->node.config.read([](const auto& state) { return state.deployment; });
    this->node.region.read([&](const coordination::RegionState& state) {
        for (const auto& [name, spec] : deployment.items) {
            auto& route = table->routes[name];
            route.spec = spec;
            for (const auto& [workerName, worker] : state.workers)
                addHolder(route, deployment, worker);
            preferDeclaredVersion(route);
        }
        return 0;
    });
    std::lock_guard lock(this->mutex);
    this->current = std::move(table);
}

std::shared_ptr<const RouteTable> Router::table() const
{
    std::lock_guard lock(this->mutex);
    return this->current;
}

coordination::WorkerLoad Router::estimateLoad(const RouteWorker& holder) const
{
    auto status = this->node.loads.get(holder.worker);
    auto load = status.load;
    load.running = std::max(load.running, status.inFlight);
    if (load.requestTime.count() == 0)
        load.requestTime = defaultRequestTime;
    bool isLocal = holder.dataCentre == this->node.settings.dataCentre;
    load.oneWayLatency = isLocal ? std::chrono::microseconds { 0 } : remoteDistance;
    load.suspectedDown = monotonicNow() < status.downUntil;
    return load;
}

std::optional<RouteWorker> Router::pick(const Route& route, uint64_t prefixHash, const std::set<std::string>& excluded, bool alone) const
{
    std::vector<const RouteWorker*> candidates;
    for (const auto& holder : route.workers) {
        if (!excluded.contains(holder.worker))
            candidates.push_back(&holder);
    }
    if (candidates.empty())
        return std::nullopt;
    auto affine = prefixHash % candidates.size();
    std::swap(candidates[0], candidates[affine]);
    auto compared = std::min(candidates.size(), coordination::maxRoutingCandidates + 1);
    for (size_t i = 1; i < compared; i++)
        std::swap(candidates[i], candidates[i + protocol::makeRecordId().low % (candidates.size() - i)]);
    std::vector<coordination::WorkerLoad> loads;
    for (size_t i = 0; i < compared; i++) {
        loads.push_back(this->estimateLoad(*candidates[i]));
        loads.back().hasPrefix = i == 0;
        if (alone && loads.back().running > 0)
            loads.back().suspectedDown = true;
    }
    auto index = coordination::chooseWorker(loads);
    if (index < 0)
        return std::nullopt;
    return *candidates[static_cast<size_t>(index)];
}

std::chrono::microseconds Router::minFirstTokenEstimate(const Route& route) const
{
    auto best = std::chrono::microseconds::max();
    for (const auto& holder : route.workers)
        best = std::min(best, coordination::estimateFirstTokenTime(this->estimateLoad(holder)));
    return best;
}

void Router::recordRequestStart(const std::string& worker) const
{
    this->node.loads.update(worker, [](state::WorkerStatus& status) {
        status.inFlight++;
        status.load.dispatched++;
    });
}

void Router::recordRequestEnd(const std::string& worker, Time held) const
{
    auto sample = std::chrono::duration_cast<std::chrono::microseconds>(held);
    this->node.loads.update(worker, [sample](state::WorkerStatus& status) {
        status.inFlight--;
        if (status.load.dispatched > 0)
            status.load.dispatched--;
        auto& smoothed = status.load.requestTime;
        smoothed = smoothed.count() == 0 ? sample : smoothed + (sample - smoothed) / smoothing;
    });
}

void Router::recordWorkerFailure(const std::string& worker) const
{
    auto until = monotonicNow() + failurePenalty;
    this->node.loads.update(worker, [until](state::WorkerStatus& status) { status.downUntil = until; });
}

} // namespace comfreypier::daemon
