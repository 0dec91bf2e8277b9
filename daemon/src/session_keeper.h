/// Keeps this node's session and watches those of others.
#pragma once

#include "log_writer.h"

namespace comfreypier::daemon {

/// Opens, renews and releases the session; expires silent ones.
class SessionKeeper {
public:
    SessionKeeper(Node& node, LogWriter& writer, const LogFollower& follower);
    /// Runs until the daemon stops.
    void run();
    /// Notes an applied record; called under the replica's lock.
    void onApplied(const coordination::RegionState& state, const protocol::Envelope& envelope);
    /// Tells whether this node may act for its session now.
    bool mayAct() const;
    SessionId current() const;
    /// Ends the session and waits until that is agreed, or `limit` has passed.
    void release(std::chrono::milliseconds limit);

private:
    void open();
    void renewIfDue();
    void checkOwnSession();
    void expireOthers();

    Node& node;
    LogWriter& writer;
    const LogFollower& follower;
    transport::Log log { "session" };
    mutable std::mutex mutex;
    coordination::Lease lease;
    coordination::ViewWatch watch;
    uint64_t failuresSeen = 0;
    std::atomic<bool> opening { false };
    std::atomic<bool> releasing { false };
    Time renewalAsked { 0 };
};

} // namespace comfreypier::daemon
