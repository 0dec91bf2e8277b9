/// Read-only HTTP interfaces of a node for operators and callers: addresses, models, status and metrics.
#pragma once

#include "gossip_task.h"
#include "router.h"

namespace comfreypier::daemon {

/// Serves the read-only HTTP interfaces.
class Admin {
public:
    Admin(Node& node, const Router& router, const GossipTask& gossip, const SessionKeeper& session);
    /// Answers a GET request.
    /// @return false if the path is not one of these interfaces. Nothing was sent then.
    bool serve(const transport::HttpRequest& request, transport::ResponseWriter& writer) const;
    /// Sets the HTTP server whose counters are part of the metrics. Must be called before the server starts.
    void setServer(const transport::HttpServer& newServer) { this->server = &newServer; }
    /// Sets the RPC service whose counters are part of the metrics. Must be called before the server starts.
    void setRpc(const protocol::PeerRpc& newRpc) { this->rpc = &newRpc; }

private:
    // Bodies of the responses: JSON, but for `metrics`.

    std::string addresses() const;
    std::string models() const;
    std::string status() const;
    std::string placement() const;
    std::string config() const;
    std::string history() const;
    /// Returns the recorded changes of the plan that affect the model or adapter `model`, or all of them if it is empty.
    std::string explain(const std::string& model) const;
    /// Returns the metrics in the Prometheus text format. Requires `setServer` and `setRpc`.
    std::string metrics() const;
    /// Returns whether the node has caught up with the log, has a session and is not draining.
    bool isReady() const;

    Node& node;
    const Router& router;
    const GossipTask& gossip;
    const SessionKeeper& session;
    const transport::HttpServer* server = nullptr;
    const protocol::PeerRpc* rpc = nullptr;
};

} // namespace comfreypier::daemon
