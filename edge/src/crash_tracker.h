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
    /// @param causes `routing::crashCauses` of the request.
    void recordBroken(const routing::WorkerEntry& worker, const std::set<routing::CrashCause>& causes);
    /// Records that an answer made progress.
    void recordProgress(const std::set<routing::CrashCause>& causes);
    /// Records that a worker crashed or is gone.
    /// @param evidence how it was detected, for the log.
    void recordCrash(const std::string& worker, const char* evidence);
    /// Returns whether requests with these causes are held off because they crash workers.
    bool isHeldOff(const std::set<routing::CrashCause>& causes) const;

    /// Returns the reports for the next heartbeat.
    std::vector<routing::CrashReport> takeReports();
    /// Applies the reports of another VM.
    /// @param relay whether to pass them on in own heartbeats.
    void applyReports(const std::vector<routing::CrashReport>& reports, bool relay);

    /// Called after a crash that requests are blamed for, so that other VMs hear of it soon.
    std::function<void()> onCrash;
    /// Called after a worker was asked whether it still runs.
    std::function<void(const routing::WorkerEntry&, const platform::WorkerReply<platform::WorkerState>&)> onReply;

private:
    /// Asks a worker whether it still runs.
    void probe(const routing::WorkerEntry& worker);
    /// Logs which causes are newly held off and which no longer are. The caller must hold the lock.
    void logHolds();

    Vm& vm;
    mutable std::mutex mutex;
    routing::PoisonRequests poisonRequests; ///< Protected by `mutex`.
    std::set<std::string> probedWorkers; ///< Workers that are being asked. Protected by `mutex`.
    std::vector<std::set<routing::CrashCause>> loggedHolds; ///< As last logged. Protected by `mutex`.
    transport::Log log { "crashes" };
};

} // namespace comfreypier::edge
