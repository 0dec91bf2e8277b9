/// Keeps this node's session alive and expires silent sessions of other nodes.
#pragma once

#include "log_writer.h"

namespace comfreypier::daemon {

/// Opens, renews and releases this node's session, and watches the sessions of other nodes.
class SessionKeeper {
public:
    SessionKeeper(Node& node, LogWriter& writer, const LogFollower& follower);
    /// Runs until the daemon stops.
    void run();
    /// Extends the lease if `envelope` is a record of this node's live session. Called under the replica's lock.
    void onApplied(const coordination::RegionState& state, const protocol::Envelope& envelope);
    /// Returns whether this node's lease is currently valid, so that it may act on behalf of its session.
    bool mayAct() const;
    /// Returns this node's session, or `invalidOffset` before the first one was opened.
    SessionId current() const;
    /// Releases the session and stops renewing it. Waits until the release was read back from the log or `timeout` has passed.
    void release(std::chrono::milliseconds timeout);

private:
    /// Queues the opening of a new session, unless one is queued already.
    void open();
    void renewIfDue();
    /// Opens a session if this node has none or its session has ended.
    void checkOwnSession();
    /// Appends an expiry for each other session that has been silent for its TTL.
    void expireOthers();

    Node& node;
    LogWriter& writer;
    const LogFollower& follower;
    transport::Log log { "session" };
    mutable std::mutex mutex;
    coordination::Lease lease;
    coordination::ViewWatch viewWatch;
    uint64_t lastFailureCount = 0;
    std::atomic<bool> opening { false };
    std::atomic<bool> releasing { false };
    Time lastRenewalRequest { 0 };
};

} // namespace comfreypier::daemon
