/// Worker records that a VM forwards to the other VMs of its group.
#pragma once

#include "heartbeat_codec.h"

#include <deque>

namespace comfreypier::edge {

/// Records that wait to be sent, or to be sent again because datagrams may be lost.
class ForwardQueue {
public:
    /// Adds a record and numbers it.
    /// @param repeats number of heartbeats that carry it.
    void push(const ForwardedEntry& entry, int repeats = forwardRepeats);
    /// Counts a record as forwarded that is not: who relies on this VM later finds it missing, and reads the stream.
    void skip()
    {
        this->queuedCount++;
        this->sentCount++;
    }
    /// Moves records into a heartbeat, and sets its `forwardedCount` to the number of records that were sent so far. Those that were sent less
    /// often come first; a record leaves the queue with its last repeat.
    /// @param maxBytes bound of the records' size, which a single larger record may exceed.
    void fill(Heartbeat& heartbeat, size_t maxBytes);
    /// Returns whether a record has not been sent yet.
    bool hasUnsent() const { return this->sentCount < this->queuedCount; }

private:
    struct Item {
        ForwardedEntry entry;
        int repeats = forwardRepeats; ///< Number of heartbeats that are to carry it.
        int sends = 0; ///< Number of those that did.
    };
    std::deque<Item> items; ///< In the order of their numbers.
    uint64_t queuedCount = 0;
    uint64_t sentCount = 0; ///< Number of records that were sent at least once.
};

} // namespace comfreypier::edge
