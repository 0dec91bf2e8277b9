/// Snapshot role: appends snapshots, so that the state outlives the log's retention of records.
#pragma once

#include "session_keeper.h"

namespace comfreypier::daemon {

/// Appends snapshots of both streams and removes old idempotency keys, on the node that owns the snapshot role.
class SnapshotTask {
public:
    SnapshotTask(Node& node, LogWriter& writer, const SessionKeeper& session);
    /// Runs until the daemon stops.
    void run();

private:
    bool ownsSnapshotRole() const;
    /// Returns whether enough records or enough time have passed since the last snapshot.
    /// @param next offset of the next record of the stream.
    /// @param lastOffset value of `next` at the last snapshot.
    /// @param lastAt time of the last snapshot.
    bool isSnapshotDue(Offset next, Offset lastOffset, Time lastAt) const;
    void snapshotRegion();
    void snapshotConfig();
    /// Removes idempotency keys that are older than the retention time.
    void forgetOldKeys();

    Node& node;
    LogWriter& writer;
    const SessionKeeper& session;
    transport::Log log { "snapshot" };
    Offset regionSnapshotOffset = 0;
    Offset configSnapshotOffset = 0;
    Time regionSnapshotAt = monotonicNow();
    Time configSnapshotAt = monotonicNow();
    protocol::RecordId configRecordId = protocol::makeRandomId(); ///< Id of the last record that was appended to `configStream`.
    Offset forgottenBefore = 0; ///< Value of `before` in the newest `ActionsForget` of this node.
    /// Times at which offsets were current, to determine the age of idempotency keys.
    std::deque<std::pair<Time, Offset>> offsetSamples;
};

} // namespace comfreypier::daemon
