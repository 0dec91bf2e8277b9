/// Creates refusals, counts them and sends them to callers.
#pragma once

#include "node_p.h"

namespace comfreypier::daemon {

/// Counts `refusal` under its reason and sends its problem document.
inline void refuse(Node& node, transport::ResponseWriter& writer, const protocol::Refusal& refusal)
{
    add(node.counters, refusal.reason);
    writer.send(protocol::toResponse(refusal));
}

/// Creates the refusal of a request that certainly was not run.
/// @param retryAfter time after which the caller may retry, or zero to give none.
inline protocol::Refusal makeNotRunRefusal(protocol::RefusalReason reason, std::string detail, std::chrono::milliseconds retryAfter = std::chrono::milliseconds { 0 })
{
    return { reason, protocol::RunState::NotRun, retryAfter, std::move(detail) };
}

} // namespace comfreypier::daemon
