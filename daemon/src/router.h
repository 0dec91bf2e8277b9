/// Chooses workers for requests.
#pragma once

#include "node_p.h"

namespace comfreypier::daemon {

/// A worker that holds an item.
struct RouteWorker {
    std::string worker;
    transport::Endpoint endpoint;
    std::string dataCentre;
    std::string item; ///< Item key under which the worker holds it.
};

/// Where the requests for one declared name go.
struct Route {
    protocol::ItemSpec spec;
    std::vector<RouteWorker> workers;
};

/// All routes at one moment. Never changed once published.
struct RouteTable {
    std::map<std::string, Route, std::less<>> routes;
};

/// Rebuilds the route table when the ledger or the configuration changes, and picks holders.
class Router {
public:
    explicit Router(Node& node);
    /// Runs until the daemon stops.
    void run();
    /// Tells that the ledger or the configuration has changed.
    void scheduleRebuild() { this->changed.signal(); }
    std::shared_ptr<const RouteTable> table() const;

    /// Picks a holder of `route` for one request.
    /// @param excluded workers that failed this request already.
    /// @param alone prefers a worker on which nothing runs.
    /// @return nothing if no live worker holds it.
    std::optional<RouteWorker> pick(const Route& route, uint64_t prefixHash, const std::set<std::string>& excluded, bool alone) const;
    /// Expected time to the first token at the best holder.
    std::chrono::microseconds minFirstTokenEstimate(const Route& route) const;

    /// Notes the start and the end of a request on a worker.
    void recordRequestStart(const std::string& worker) const;
    void recordRequestEnd(const std::string& worker, Time held) const;
    /// Notes that a worker failed; others are preferred for a while.
    void recordWorkerFailure(const std::string& worker) const;

private:
    void rebuild();
    coordination::WorkerLoad estimateLoad(const RouteWorker& holder) const;

    Node& node;
    transport::Event changed;
    mutable std::mutex mutex;
    std::shared_ptr<const RouteTable> current;
};

} // namespace comfreypier::daemon
