/// Completion requests: admission, relay of answers, retries, and resumption of streams on another worker.
#pragma once

#include "gossip_task.h"
#include "router.h"

namespace comfreypier::daemon {

/// Serves `/v1/completions` and `/v1/chat/completions`.
class CompletionHandler {
public:
    CompletionHandler(Node& node, const Router& router, GossipTask& gossip);
    /// Checks and admits a completion request, then relays it to workers until it is answered or refused.
    void serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);

private:
    /// Refuses a poison request, and a request that is not urgent if its first token is expected later than its target.
    /// @return the refusal, or nothing if the request is admitted.
    std::optional<protocol::Refusal> checkAdmission(const protocol::CompletionRequest& parsed, const Route& route) const;

    Node& node;
    const Router& router;
    GossipTask& gossip;
    std::mutex budgetMutex;
    std::map<std::string, coordination::RetryBudget> budgets; ///< By name of the model or adapter. Guarded by `budgetMutex`.

    friend class CompletionRelay;
};

} // namespace comfreypier::daemon
