/// Gossip between the nodes of a region: their state, the load of workers, demand and crashes.
#pragma once

#include "session_keeper.h"

namespace comfreypier::daemon {

/// A live node, as this node knows it.
struct LiveNode {
    protocol::PeerUpdate update; ///< Newest update of the node's own state.
    protocol::SessionOpen open; ///< Opening entry of its session, with its addresses.
};

/// Publishes updates, forwards them to a few random peers per round and merges those of other nodes.
class GossipTask {
public:
    GossipTask(Node& node, const SessionKeeper& session);
    /// Sets the RPC service. Must be called before `run`.
    void setRpc(protocol::PeerRpc& newRpc) { this->rpc = &newRpc; }
    /// Runs until the daemon stops.
    void run();
    /// Publishes an update of this node: sets its version, applies it here, and sends it to peers from the next round on.
    void publish(protocol::PeerUpdate update);
    /// Sends pending updates to random peers now, instead of in the next round. Must be called on a fiber. Does not wait for the
    /// replies.
    void flush();
    /// Merges a peer's message and returns the reply, which contains no updates. Runs on the RPC thread.
    protocol::GossipMessage handleMessage(const protocol::GossipMessage& message);

    /// Returns the nodes, including this one, that have a session, are not draining and have sent an update of their state within
    /// `nodeTimeout`.
    std::vector<LiveNode> liveNodes() const;
    /// Returns the demand of the whole region in requests per second, by item name: the sum of the last rates that the nodes have
    /// published.
    std::map<std::string, double> demandRates() const;
    /// Returns the number of endpoint crashes that nodes have counted for a request content, or 0 if it is not known.
    /// @param contentHash see `CompletionRequest::contentHash`.
    uint32_t crashCount(uint64_t contentHash) const;
    /// Counts a crash of an endpoint that ran a request with this content, and sends the count to peers immediately.
    void recordCrash(uint64_t contentHash);
    /// Sets the crash count of a request content to 0 and publishes that, unless it is 0 already.
    void clearCrashCount(uint64_t contentHash);

private:
    /// Publishes this node's state periodically, and immediately when it starts to drain.
    void publishOwnState();
    /// Publishes this node's request rates periodically, as far as they have changed.
    void publishDemand();
    /// Returns the RPC addresses of up to `count` random peers.
    std::vector<transport::Endpoint> pickPeers(size_t count) const;
    /// Sends a message to a peer and merges the updates of its reply. `handleMessage` replies without updates, but the message
    /// format allows them.
    void sendTo(const transport::Endpoint& peer, const protocol::GossipMessage& message);
    /// Merges an update. If it is newer than the known one, applies it to the tables of this node.
    void merge(const protocol::PeerUpdate& update);
    /// Returns the number of sessions in the region, which determines for how many rounds an update is forwarded.
    size_t countNodes() const;

    Node& node;
    const SessionKeeper& session;
    protocol::PeerRpc* rpc = nullptr;
    transport::Log log { "gossip" };
    std::atomic<uint64_t> nextUpdateNumber { 1 }; ///< Counter in the version of this node's next update.
    mutable std::mutex mutex; ///< Guards the three maps below.
    std::map<std::string, Time> lastUpdateAt; ///< Time at which each node's last state update arrived here, by name.
    std::map<std::string, double> ownDemand; ///< Smoothed request rates of this node, by item name.
    std::map<uint64_t, uint32_t> crashCounts; ///< By content hash.
    Time nextNodeUpdate { 0 }; ///< Time at which `publishOwnState` is next due.
    bool wasDraining = false; ///< Value of `draining` in the last update of this node's state.
    Time nextDemandUpdate { 0 }; ///< Time at which `publishDemand` is next due.
};

} // namespace comfreypier::daemon
