/// The snapshot role: appends state anew before records age out.
#pragma once

#include "session_keeper.h"

namespace comfreypier::daemon {

/// Appends snapshots of both streams, and forgets old idempotency keys.
class SnapshotTask {
public:
    SnapshotTask(Node& node, LogWriter& writer, const SessionKeeper& session);
    /// Runs until the daemon stops.
    void run();

private:
    bool isWriter() const;
    bool isDue(Offset next, Offset done, Time doneAt) const;
    void snapshotRegion();
    void snapshotConfig();
    void forgetOldKeys();

    Node& node;
    LogWriter& writer;
    const SessionKeeper& session;
    transport::Log log { "snapshot" };
    Offset regionDone = 0;
    Offset configDone = 0;
    Time regionDoneAt = monotonicNow();
    Time configDoneAt = monotonicNow();
    protocol::RecordId configRecord = protocol::makeRecordId();
    Offset forgotten = 0;
    std::deque<std::pair<Time, Offset>> offsetTimes; ///< When each offset was seen, for the age of keys.
};

} // namespace comfreypier::daemon
