/// Tells whether the records of the worker stream that a peer forwards have all arrived.
#pragma once

#include "heartbeat_codec.h"

namespace comfreypier::edge {

using routing::Time;

/// Follows the worker records that one peer reads and forwards. A heartbeat carries those of the last few ones again; older ones
/// that have not arrived by then are lost, and the worker stream must be read for them.
class ForwardTracker {
public:
    /// Records a heartbeat of the peer that carries records or their number: a full one, or a part of one. Records that it forwarded before the
    /// first one count as lost.
    void record(const Heartbeat& heartbeat, Time now);
    /// Returns whether all records that the peer has read are known.
    /// @param ownReadAt when this VM's last complete read of the worker stream began.
    bool isComplete(Time ownReadAt) const { return ownReadAt > this->readNeededSince; }

private:
    std::optional<uint64_t> forwarded; ///< Number of records that the peer had forwarded by its last heartbeat.
    Time readNeededSince { std::chrono::hours { 24 * 365 } }; ///< Only a read that begins later covers the lost records.
};

} // namespace comfreypier::edge
