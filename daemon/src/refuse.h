/// Sends refusals and counts them.
#pragma once

#include "node_p.h"

namespace comfreypier::daemon {

/// Counts `refusal` and sends its problem document.
inline void refuse(Node& node, transport::ResponseWriter& writer, const protocol::Refusal& refusal)
{
    add(node.counters, refusal.reason);
    writer.send(protocol::toResponse(refusal));
}

/// Makes a refusal of a request that surely was not run.
inline protocol::Refusal notRun(protocol::RefusalReason reason, std::string detail, std::chrono::milliseconds retryAfter = std::chrono::milliseconds { 0 })
{
    return { reason, protocol::RunState::NotRun, retryAfter, std::move(detail) };
}

} // namespace comfreypier::daemon
