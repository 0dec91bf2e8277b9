/// Routing: chooses a worker for each completion request.
#pragma once

#include "node_p.h"

namespace comfreypier::daemon {

/// A worker that can serve a route, because it has the route's item loaded.
struct RouteWorker {
    std::string name;
    transport::Endpoint endpoint;
    std::string dataCentre;
    std::string item; ///< Item key of the loaded version.
};

/// The workers that can serve requests for one declared model or adapter.
struct Route {
    protocol::ItemSpec spec;
    std::vector<RouteWorker> workers;
};

/// All routes at one point in time. Immutable after it was published.
struct RouteTable {
    std::map<std::string, Route, std::less<>> routes; ///< By name of the model or adapter.
};

/// Rebuilds the route table when the ledger or the configuration changes, and chooses workers.
class Router {
public:
    explicit Router(Node& node);
    /// Runs until the daemon stops.
    void run();
    /// Requests a rebuild of the route table, after a change of the ledger or the configuration.
    void scheduleRebuild() { this->rebuildRequested.signal(); }
    /// Returns the current route table.
    std::shared_ptr<const RouteTable> table() const;

    /// Chooses a worker of `route` for one request.
    /// @param prefixHash hash of the prompt's prefix. Requests with the same hash prefer the same worker.
    /// @param excluded names of the workers that have already failed this request.
    /// @param preferIdle whether to prefer a worker on which no request is known to be running.
    /// @return nothing if all workers of the route are excluded, or all of those compared are draining.
    std::optional<RouteWorker> chooseWorker(const Route& route, uint64_t prefixHash, const std::set<std::string>& excluded, bool preferIdle) const;
    /// Returns the lowest estimate of the time to the first token among the route's workers, or the maximum value if it has none.
    std::chrono::microseconds minFirstTokenEstimate(const Route& route) const;

    /// Counts the start of a request on a worker.
    void recordRequestStart(const std::string& worker) const;
    /// Counts the end of a request on a worker.
    /// @param duration time since the start of the request. Updates the worker's smoothed request time.
    void recordRequestEnd(const std::string& worker, Time duration) const;
    /// Records a failure of a worker. Other workers are preferred for `failureAvoidanceTime`.
    void recordWorkerFailure(const std::string& worker) const;

private:
    /// Publishes a new route table for the current ledger and configuration.
    void rebuild();
    /// Returns the known load of a worker, with at least the requests that this node is running on it, the assumed network latency
    /// and whether it failed recently.
    coordination::WorkerLoad estimateLoad(const RouteWorker& worker) const;

    Node& node;
    transport::Event rebuildRequested;
    mutable std::mutex mutex;
    std::shared_ptr<const RouteTable> current; ///< Published route table. Guarded by `mutex`.
};

} // namespace comfreypier::daemon
