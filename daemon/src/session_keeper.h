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
    /// Returns this node's session, or `invalidOffset` before the first one was opened. A session that has ended is returned until
    /// the next one was opened.
    SessionId current() const;
    /// Releases the session and stops renewing it. Waits until the release was read back from the log or `timeout` has passed.
    /// Must be called on a fiber.
    void release(std::chrono::milliseconds timeout);

private:
    /// Queues the opening of a new session, unless one is queued already. It becomes the current one once it was read back.
    void open();
    /// Appends a renewal if a third of the TTL has passed since the newest confirmed record of this session was sent, and since
    /// the last renewal, and no other entry is queued.
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
    coordination::Lease lease; ///< Lease of the current session. Guarded by `mutex`.
    coordination::ViewWatch viewWatch;
    uint64_t lastFailureCount = 0; ///< Failed reads and appends as of the last `expireOthers`.
    std::atomic<bool> opening { false }; ///< A new session is queued and was not read back yet.
    std::atomic<bool> releasing { false }; ///< `release` was called.
    Time lastRenewalRequest { 0 }; ///< Last time at which `renewIfDue` found a renewal due.
};

} // namespace comfreypier::daemon
