/// Asks workers whether they leave when it is not clear which start of them has said so.
#pragma once

#include "peers.h"

namespace comfreypier::edge {

/// Ends the doubts of `routing::LeavingWorkers`. Thread-safe.
class LeaveChecker {
public:
    LeaveChecker(Vm& vm, Peers& peers);

    /// Asks each worker in doubt on a fiber of its own, unless that is under way. Must be called on a fiber of the runtime.
    void checkWorkers();

private:
    /// Asks a worker until it answers, its entry changes or `routing::leaveMemoryTime` is over.
    void check(const routing::WorkerEntry& worker);

    Vm& vm;
    Peers& peers;
    std::mutex mutex;
    std::set<uint64_t> checkedStarts; ///< Starts that are being asked, by `routing::workerStart`. Protected by `mutex`.
    transport::Log log { "leaves" };
};

} // namespace comfreypier::edge
