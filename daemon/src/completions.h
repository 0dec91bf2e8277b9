/// Completion requests: admission, relay of streams, retries and resumption.
#pragma once

#include "gossip_task.h"
#include "router.h"

namespace comfreypier::daemon {

/// Serves `/v1/completions` and `/v1/chat/completions`.
class CompletionHandler {
public:
    CompletionHandler(Node& node, const Router& router, GossipTask& gossip);
    void serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);

private:
    std::optional<protocol::Refusal> admit(const protocol::CompletionRequest& parsed, const Route& route) const;

    Node& node;
    const Router& router;
    GossipTask& gossip;
    std::mutex budgetMutex;
    std::map<std::string, coordination::RetryBudget> budgets; ///< By model or adapter.

    friend class CompletionRelay;
};

} // namespace comfreypier::daemon
