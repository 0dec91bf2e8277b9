/// Reads one stream of the log and feeds a replica.
#pragma once

#include "node_p.h"

namespace comfreypier::daemon {

/// The replica side of a followed stream.
struct FollowedStream {
    std::string name;
    std::function<Offset()> next;
    std::function<void(Offset, const protocol::Envelope&)> apply;
    std::function<void(Offset)> skip;
    std::function<void(const protocol::Snapshot&)> restore;
};

/// Follows one stream from its newest snapshot on.
class LogFollower {
public:
    LogFollower(Node& node, FollowedStream stream);
    /// Runs until the daemon stops.
    void run();
    /// Start of the newest read that reached the end of the stream; zero before the first.
    Time caughtUpAt() const { return Time { this->caughtUp.load() }; }
    /// Reads that failed so far.
    uint64_t failures() const { return this->readFailures; }

private:
    bool readOnce(std::chrono::milliseconds wait);
    void applyRecords(const protocol::LogPage& page);
    bool recoverFromSnapshot(Offset first);
    void backOff();

    Node& node;
    FollowedStream stream;
    transport::Log log { "log" };
    std::atomic<int64_t> caughtUp { 0 };
    std::atomic<uint64_t> readFailures { 0 };
    unsigned failuresInRow = 0;
    bool started = false;
};

} // namespace comfreypier::daemon
