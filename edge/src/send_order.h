/// Order in which a datagram goes to many VMs.
#pragma once

#include <cstddef>
#include <transport/transport.h>
#include <vector>

namespace comfreypier::edge {

/// A link that is full drops the last datagrams of a burst. In a fixed order these would always be those to the same VMs, and repeating the
/// datagram would not help them.
class SendOrder {
public:
    /// Returns the targets of the next burst in the order in which they are sent to. Among any `forwardRepeats` bursts in a row to the same
    /// targets, each target is once in the first `forwardRepeats`th part.
    std::vector<transport::Endpoint> next(std::vector<transport::Endpoint> targets);

private:
    size_t bursts = 0; ///< Number of earlier bursts.
};

} // namespace comfreypier::edge
