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
    /// Returns whether this node's session owns the snapshot role and its lease is valid.
    bool ownsSnapshotRole() const;
    /// Returns whether `recordsPerSnapshot` records or the time `snapshotInterval` have passed since the last snapshot.
    /// @param next offset of the next record of the stream.
    /// @param lastOffset value of `next` at the last snapshot.
    /// @param lastAt time of the last snapshot.
    bool isSnapshotDue(Offset next, Offset lastOffset, Time lastAt) const;
    /// Queues a snapshot of the region's stream if one is due.
    void snapshotRegion();
    /// Appends a snapshot of the configuration's stream if one is due. If an append fails, the snapshot stays incomplete and the
    /// next one is due as usual.
    void snapshotConfig();
    /// Samples the current offset. The owner of the snapshot role also removes idempotency keys older than `keyRetention`.
    void forgetOldKeys();

    Node& node;
    LogWriter& writer;
    const SessionKeeper& session;
    transport::Log log { "snapshot" };
    Offset regionSnapshotOffset = 0; ///< Offset of the next record at this node's last snapshot of the region; 0 before.
    Offset configSnapshotOffset = 0; ///< The same for the configuration.
    Time regionSnapshotAt = monotonicNow(); ///< Time of this node's last snapshot of the region, or of the node's start.
    Time configSnapshotAt = monotonicNow(); ///< The same for the configuration.
    protocol::RecordId configRecordId = protocol::makeRandomId(); ///< Id of the last record that was appended to `configStream`.
    Offset forgottenBefore = 0; ///< Value of `before` in the newest `ActionsForget` of this node.
    /// Times at which offsets were current, to determine the age of idempotency keys. Oldest first.
    std::deque<std::pair<Time, Offset>> offsetSamples;
};

} // namespace comfreypier::daemon
