/// Appends queued entries to the region's stream, many in one record.
#pragma once

#include "log_follower.h"

namespace comfreypier::daemon {

/// Group commit with one record in flight at a time.
class LogWriter {
public:
    LogWriter(Node& node, const LogFollower& follower);
    /// Runs until the daemon stops.
    void run();
    /// Queues an entry and wakes the writer.
    state::PendingEntryPtr append(protocol::Entry entry, std::function<void(const state::AppendOutcome&)> done = {});
    /// Queues an entry and waits for its verdict.
    /// @return nothing if it was taken back after `limit` and can no longer take effect, or if its fate is open;
    ///         `stillOpen` tells which.
    std::optional<state::AppendOutcome> appendAndWait(protocol::Entry entry, std::chrono::milliseconds limit, state::PendingEntryPtr& pending, bool& stillOpen);
    /// False while appends fail.
    bool isAvailable() const { return this->available; }
    /// Appends that failed or had no answer so far.
    uint64_t failures() const { return this->appendFailures; }
    /// Session under which records are written.
    void setSession(SessionId session) { this->session = session; }
    /// Start of the append of an own record, for the lease.
    std::optional<Time> startOf(const protocol::RecordId& id) const;

private:
    void appendRecord(const protocol::Envelope& envelope);
    bool resolve(const protocol::Envelope& envelope, Time failedAt) const;
    void keepInterval(Time start) const;

    Node& node;
    const LogFollower& follower;
    transport::Log log { "log" };
    transport::Event wake;
    std::atomic<bool> available { true };
    std::atomic<uint64_t> appendFailures { 0 };
    std::atomic<SessionId> session { protocol::invalidOffset };
    mutable std::mutex mutex;
    std::map<protocol::RecordId, Time> starts;
};

} // namespace comfreypier::daemon
