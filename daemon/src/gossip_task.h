/// Exchanges news with other nodes.
#pragma once

#include "session_keeper.h"

namespace comfreypier::daemon {

/// What this node knows of another.
struct LiveNode {
    protocol::News news;
    protocol::SessionOpen open;
};

/// Spreads news to a few peers at a time.
class GossipTask {
public:
    GossipTask(Node& node, const SessionKeeper& session);
    /// Sets the RPC service. Must be called before `run`.
    void setRpc(protocol::PeerRpc& newRpc) { this->rpc = &newRpc; }
    /// Runs until the daemon stops.
    void run();
    /// Publishes an entry of this node's own; its version is set here.
    void publish(protocol::News news);
    /// Sends what is new to peers at once.
    void flush();
    /// Merges a message and returns what the sender may lack. Runs on the RPC thread.
    protocol::GossipMessage answer(const protocol::GossipMessage& message);

    /// Nodes heard of lately, this one included, that are not leaving.
    std::vector<LiveNode> liveNodes() const;
    /// Demand of the whole region in requests a second, by item name.
    std::map<std::string, double> demandRates() const;
    /// Crashes that nodes have seen with a content.
    uint32_t crashCount(uint64_t contentHash) const;
    /// Notes a crash with a content and tells the peers at once.
    void recordCrash(uint64_t contentHash);
    /// Notes that a content was answered whole.
    void clearCrashCount(uint64_t contentHash);

private:
    void publishOwnState();
    void publishDemand();
    std::vector<transport::Endpoint> pickPeers(size_t count) const;
    void sendTo(const transport::Endpoint& peer, const protocol::GossipMessage& message);
    void take(const protocol::News& news);
    size_t nodeCount() const;

    Node& node;
    const SessionKeeper& session;
    protocol::PeerRpc* rpc = nullptr;
    transport::Log log { "gossip" };
    std::atomic<uint64_t> counter { 1 };
    mutable std::mutex mutex;
    std::map<std::string, Time> heardAt;
    std::map<std::string, double> ownDemand;
    std::map<uint64_t, uint32_t> crashes;
    Time nextNodeNews { 0 };
    bool wasDraining = false;
    Time nextDemandNews { 0 };
};

} // namespace comfreypier::daemon
