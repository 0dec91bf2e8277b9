#include "router.h"

#include <algorithm>

namespace comfreypier::daemon {

namespace {

    /// Maximum wait for a rebuild request, so that the task notices the end of the daemon.
    constexpr std::chrono::milliseconds maxRebuildWait { 200 };
    /// Time after a failure of a worker during which other workers are preferred.
    constexpr std::chrono::milliseconds failureAvoidanceTime { 1200 };
    /// Assumed one-way network latency between data centres. Within one, it is taken as zero.
    constexpr std::chrono::microseconds crossDataCentreLatency { 1500 };
    /// Assumed request time of a worker that has not completed a request yet.
    constexpr std::chrono::microseconds defaultRequestTime { 200000 };
    /// A new sample has a weight of 1/8 in the smoothed request time.
    constexpr int smoothingDivisor = 8;

    /// Returns whether the worker has loaded the item with the key `item` and is not unloading it.
    bool isResident(const coordination::Worker& worker, const std::string& item)
    {
        auto entry = worker.reservations.find(item);
        return entry != worker.reservations.end() && entry->second.loaded && !entry->second.unloading;
    }

    /// Returns the item key of one version of an item, as `itemKey` does for an `ItemSpec`.
    std::string versionKey(const std::string& name, uint32_t version)
    {
        return name + "@" + std::to_string(version);
    }

    /// Returns the item key of the version of `name` that the worker has loaded: `declaredVersion` if it is loaded, else the
    /// loaded one whose key sorts last. Empty if no version is loaded.
    std::string findResidentVersion(const coordination::Worker& worker, const std::string& name, uint32_t declaredVersion)
    {
        if (isResident(worker, versionKey(name, declaredVersion)))
            return versionKey(name, declaredVersion);
        std::string found;
        auto prefix = name + "@";
        for (auto entry = worker.reservations.lower_bound(prefix); entry != worker.reservations.end() && entry->first.starts_with(prefix); ++entry) {
            if (entry->second.loaded && !entry->second.unloading)
                found = entry->first;
        }
        return found;
    }

    /// Adds the worker to the route if it has loaded the route's item and, for an adapter, its base model.
    void addIfResident(Route& route, const protocol::DeploymentSpec& deployment, const coordination::Worker& worker)
    {
        auto item = findResidentVersion(worker, route.spec.name, route.spec.version);
        if (item.empty())
            return;
        if (!route.spec.base.empty()) {
            const auto& base = deployment.items.at(route.spec.base);
            if (findResidentVersion(worker, base.name, base.version).empty())
                return;
        }
        auto endpoint = transport::parseEndpoint(worker.declared.endpoint);
        if (endpoint)
            route.workers.push_back({ worker.declared.worker, endpoint.value(), worker.declared.dataCentre, item });
    }

    /// Removes workers with other versions if at least one worker has loaded the declared version.
    void preferDeclaredVersion(Route& route)
    {
        auto key = protocol::itemKey(route.spec);
        bool hasCurrent = std::any_of(route.workers.begin(), route.workers.end(), [&](const RouteWorker& worker) { return worker.item == key; });
        if (hasCurrent)
            std::erase_if(route.workers, [&](const RouteWorker& worker) { return worker.item != key; });
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
        if (this->rebuildRequested.waitFor(maxRebuildWait))
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
                addIfResident(route, deployment, worker);
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

coordination::WorkerLoad Router::estimateLoad(const RouteWorker& worker) const
{
    auto status = this->node.loads.get(worker.name);
    auto load = status.load;
    load.running = std::max(load.running, status.inFlight);
    if (load.requestTime.count() == 0)
        load.requestTime = defaultRequestTime;
    bool isLocal = worker.dataCentre == this->node.settings.dataCentre;
    load.oneWayLatency = isLocal ? std::chrono::microseconds { 0 } : crossDataCentreLatency;
    load.suspectedDown = monotonicNow() < status.downUntil;
    return load;
}

std::optional<RouteWorker> Router::chooseWorker(const Route& route, uint64_t prefixHash, const std::set<std::string>& excluded, bool preferIdle) const
{
    std::vector<const RouteWorker*> candidates;
    for (const auto& worker : route.workers) {
        if (!excluded.contains(worker.name))
            candidates.push_back(&worker);
    }
    if (candidates.empty())
        return std::nullopt;
    // Requests with the same prefix prefer the same worker, which has probably cached the prefix. It is compared with a random
    // sample of the others.
    auto preferredIndex = prefixHash % candidates.size();
    std::swap(candidates[0], candidates[preferredIndex]);
    auto comparedCount = std::min(candidates.size(), coordination::maxRoutingCandidates + 1);
    for (size_t i = 1; i < comparedCount; i++)
        std::swap(candidates[i], candidates[i + protocol::makeRandomId().low % (candidates.size() - i)]);
    std::vector<coordination::WorkerLoad> loads;
    for (size_t i = 0; i < comparedCount; i++) {
        loads.push_back(this->estimateLoad(*candidates[i]));
        loads.back().hasPrefix = i == 0;
        // A worker that is suspected to be down is chosen only if all others are too, so idle workers come first.
        if (preferIdle && loads.back().running > 0)
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
    for (const auto& worker : route.workers)
        best = std::min(best, coordination::estimateFirstTokenTime(this->estimateLoad(worker)));
    return best;
}

void Router::recordRequestStart(const std::string& worker) const
{
    this->node.loads.update(worker, [](state::WorkerStatus& status) {
        status.inFlight++;
        status.load.dispatched++;
    });
}

void Router::recordRequestEnd(const std::string& worker, Time duration) const
{
    auto sample = std::chrono::duration_cast<std::chrono::microseconds>(duration);
    this->node.loads.update(worker, [sample](state::WorkerStatus& status) {
        status.inFlight--;
        if (status.load.dispatched > 0)
            status.load.dispatched--;
        auto& smoothed = status.load.requestTime;
        smoothed = smoothed.count() == 0 ? sample : smoothed + (sample - smoothed) / smoothingDivisor;
    });
}

void Router::recordWorkerFailure(const std::string& worker) const
{
    auto until = monotonicNow() + failureAvoidanceTime;
    this->node.loads.update(worker, [until](state::WorkerStatus& status) { status.downUntil = until; });
}

} // namespace comfreypier::daemon
