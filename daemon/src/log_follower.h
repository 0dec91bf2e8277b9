/// Reads one stream of the log and applies its records to a replica.
#pragma once

#include "node_p.h"

namespace comfreypier::daemon {

/// A stream of the log and the functions that change its replica.
struct FollowedStream {
    std::string name;
    std::function<Offset()> next; ///< Returns the offset of the next record to apply.
    std::function<void(Offset, const protocol::Envelope&)> apply; ///< Applies the record at an offset.
    std::function<void(Offset)> skip; ///< Skips an unreadable record.
    std::function<void(const protocol::Snapshot&)> restore; ///< Replaces the replica's state, unless the snapshot is older.
};

/// Follows one stream. Restores the newest snapshot first if the stream ends beyond the offset `NodeSettings::recordsPerSnapshot`,
/// and also whenever the log has removed records that were not read yet.
class LogFollower {
public:
    LogFollower(Node& node, FollowedStream stream);
    /// Runs until the daemon stops.
    void run();
    /// Returns the start time of the newest read that reached the end of the stream, or zero if none has.
    Time caughtUpAt() const { return Time { this->lastCaughtUp.load() }; }
    /// Returns the number of failed reads of `readOnce` since the start.
    uint64_t failures() const { return this->failedReads; }

private:
    /// Reads one page and applies it. Waits up to `wait` for new records if there are none.
    /// @return false if the read failed or a gap in the stream could not be closed.
    bool readOnce(std::chrono::milliseconds wait);
    void applyRecords(const protocol::LogPage& page);
    /// Reads the whole stream from `firstRetained` on and restores its newest snapshot.
    /// @return false if no complete snapshot reaches `firstRetained`, or a read failed.
    bool recoverFromSnapshot(Offset firstRetained);
    /// Sleeps before the next read. The delay doubles with each consecutive failure up to `maxBackoff`. A random
    /// part of up to half of it is left out.
    void backOff();

    Node& node;
    FollowedStream stream;
    transport::Log log { "log" };
    std::atomic<int64_t> lastCaughtUp { 0 }; ///< Value of `caughtUpAt`, in nanoseconds.
    std::atomic<uint64_t> failedReads { 0 };
    unsigned consecutiveFailures = 0; ///< Calls of `readOnce` that returned false since one returned true.
    bool hasRead = false; ///< At least one read has succeeded.
};

} // namespace comfreypier::daemon
