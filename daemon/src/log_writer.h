/// Appends queued entries to the region's stream and combines many of them into one record.
#pragma once

#include "log_follower.h"

namespace comfreypier::daemon {

/// Group commit: only one record is in flight at a time, and entries queued meanwhile go into the next one.
class LogWriter {
public:
    LogWriter(Node& node, const LogFollower& follower);
    /// Runs until the daemon stops.
    void run();
    /// Queues an entry and wakes the writer.
    /// @param done called with the entry's verdict when its record is read back. Runs under the exclusive lock of
    ///        `Node::region`, so it must not read that replica.
    /// @return the queued entry, for `AppendQueue::cancel`.
    state::PendingEntryPtr append(protocol::Entry entry, std::function<void(const state::AppendOutcome&)> done = {});
    /// Queues an entry and waits for its verdict. Must be called on a fiber.
    /// @param timeout maximum wait. When it has passed, the entry is cancelled if it has not been sent yet.
    /// @param[out] pending the queued entry.
    /// @param[out] mayStillApply true if the wait timed out and the entry's record may have been sent, so that the entry may
    ///             still take effect.
    /// @return the outcome, or nothing if the wait timed out.
    std::optional<state::AppendOutcome> appendAndWait(protocol::Entry entry, std::chrono::milliseconds timeout, state::PendingEntryPtr& pending, bool& mayStillApply);
    /// Returns whether the newest append succeeded, or its record was found in the log. True before the first append.
    bool isAvailable() const { return this->available; }
    /// Returns the number of appends since the start that failed or were not answered.
    uint64_t failures() const { return this->failedAppends; }
    /// Sets the session under which further records are written.
    void setSession(SessionId session) { this->session = session; }
    /// Returns the time at which the first attempt to append a record started, or nothing if the record is not among the newest
    /// ones of this writer. The session's lease counts from this time.
    std::optional<Time> findAppendStart(const protocol::RecordId& id) const;

private:
    /// Appends a record. Repeats the append until the record is known to be in the log, the log refuses it, or the daemon stops.
    /// A refused record certainly was not appended. Its entries return to the queue.
    void appendRecord(const protocol::Envelope& envelope);
    /// Waits until it is known whether a record whose append was not answered is in the log.
    /// @param failedAt time at which the append failed.
    /// @return true if it is. False if it is not, or the daemon stops.
    bool findInLog(const protocol::Envelope& envelope, Time failedAt) const;
    /// Sleeps until the append interval since `start` has passed.
    void waitForAppendInterval(Time start) const;

    Node& node;
    const LogFollower& follower;
    transport::Log log { "log" };
    transport::Event wake; ///< Signalled when an entry is queued.
    std::atomic<bool> available { true }; ///< The newest append has not failed, or its record was found in the log.
    std::atomic<uint64_t> failedAppends { 0 };
    std::atomic<SessionId> session { protocol::invalidOffset };
    mutable std::mutex mutex;
    /// Times at which the first attempts to append the newest records started. Guarded by `mutex`.
    std::map<protocol::RecordId, Time> appendStarts;
};

} // namespace comfreypier::daemon
