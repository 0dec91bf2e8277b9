/// Crashes of workers and the requests that cause them.
#pragma once

#include "vm_p.h"

namespace comfreypier::edge {

/// Detects crashes of workers, and which requests crash them. Shares what it learns with the other VMs through `Peers`. Thread-safe.
class CrashTracker {
public:
    explicit CrashTracker(Vm& vm);

    /// Records that an answer broke off before it made progress, and checks on a fiber whether its worker still runs. Must be called
    /// on a fiber of the runtime.
    /// @param contentHash `routing::RequestShape::contentHash` of the request.
    void recordBroken(const routing::WorkerEntry& worker, uint64_t contentHash);
    /// Records that a worker crashed or is gone.
    /// @param evidence how it was detected, for the log.
    void recordCrash(const std::string& worker, const char* evidence);
    /// Returns whether requests with this content are held off because they crash workers.
    bool isHeldOff(uint64_t contentHash) const;

    /// Returns the number of crashes by content hash, for heartbeats.
    std::map<uint64_t, uint32_t> crashCounts() const;
    /// Applies the counts of another VM.
    void applyCrashCounts(const std::map<uint64_t, uint32_t>& counts);

    /// Called after a crash that requests are blamed for, so that other VMs hear of it soon.
    std::function<void()> onCrash;

private:
    /// Asks a worker whether it still runs.
    void probe(const routing::WorkerEntry& worker);

    Vm& vm;
    mutable std::mutex mutex;
    routing::PoisonRequests poisonRequests; ///< Protected by `mutex`.
    std::set<std::string> probedWorkers; ///< Workers that are being asked. Protected by `mutex`.
    transport::Log log { "crashes" };
};

} // namespace comfreypier::edge
