/// What operators and callers can ask of a node: addresses, models, status, metrics.
#pragma once

#include "gossip_task.h"
#include "router.h"

namespace comfreypier::daemon {

/// Serves the read-only interfaces.
class Admin {
public:
    Admin(Node& node, const Router& router, const GossipTask& gossip, const SessionKeeper& session);
    /// @return false if the path is none of its own.
    bool serve(const transport::HttpRequest& request, transport::ResponseWriter& writer) const;
    /// Sets the source of the server's own counters.
    void setServer(const transport::HttpServer& newServer) { this->server = &newServer; }
    /// Sets the source of the RPC's own counters.
    void setRpc(const protocol::PeerRpc& newRpc) { this->rpc = &newRpc; }

private:
    std::string addresses() const;
    std::string models() const;
    std::string status() const;
    std::string placement() const;
    std::string config() const;
    std::string history() const;
    std::string explain(const std::string& model) const;
    std::string metrics() const;
    bool isReady() const;

    Node& node;
    const Router& router;
    const GossipTask& gossip;
    const SessionKeeper& session;
    const transport::HttpServer* server = nullptr;
    const protocol::PeerRpc* rpc = nullptr;
};

} // namespace comfreypier::daemon
