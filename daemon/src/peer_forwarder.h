/// Forwards requests to a peer while this node drains, because some callers still use its cached address.
#pragma once

#include "gossip_task.h"

namespace comfreypier::daemon {

/// Forwards whole requests to another node and relays the answers.
class PeerForwarder {
public:
    PeerForwarder(Node& node, const GossipTask& gossip);
    /// Forwards a request to the first live peer that can be reached, and relays its response. If the call fails after the
    /// request may have been sent, aborts the response to the caller.
    /// @return false if no peer could be reached or a peer forwarded this request already. Nothing was sent to the caller then.
    bool serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);

private:
    Node& node;
    const GossipTask& gossip;
};

} // namespace comfreypier::daemon
