/// Passes requests of callers with a stale address on to a peer while this node leaves.
#pragma once

#include "gossip_task.h"

namespace comfreypier::daemon {

/// Relays whole requests to another node.
class PeerForwarder {
public:
    PeerForwarder(Node& node, const GossipTask& gossip);
    /// @return false if no peer took the request; nothing was sent to the caller then.
    bool serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);

private:
    Node& node;
    const GossipTask& gossip;
};

} // namespace comfreypier::daemon
