#include "crash_tracker.h"

namespace comfreypier::edge {

CrashTracker::CrashTracker(Vm& vm)
    : vm(vm)
{
}

void CrashTracker::recordBroken(const routing::WorkerEntry& worker, uint64_t contentHash)
{
    {
        std::lock_guard lock(this->mutex);
        this->poisonRequests.recordBroken(worker.id, contentHash, monotonicNow());
        if (!this->probedWorkers.insert(worker.id).second)
            return;
    }
    transport::spawnOnCurrentThread([this, worker] { this->probe(worker); });
}

void CrashTracker::probe(const routing::WorkerEntry& worker)
{
    auto state = platform::probeWorker(this->vm.client, worker);
    {
        std::lock_guard lock(this->mutex);
        this->probedWorkers.erase(worker.id);
        if (state == platform::WorkerState::Running)
            this->poisonRequests.recordAlive(worker.id);
    }
    if (state != platform::WorkerState::Ended)
        return;
    auto now = monotonicNow();
    this->vm.fleet.updateWorker(worker.id, [now](routing::Worker& known) { routing::recordUnreachable(known, now); });
    this->recordCrash(worker.id, "probe");
}

void CrashTracker::recordCrash(const std::string& worker, const char* evidence)
{
    size_t blamed = 0;
    {
        std::lock_guard lock(this->mutex);
        blamed = this->poisonRequests.recordCrash(worker, monotonicNow());
    }
    this->log.info("event=worker_crash worker=" + worker + " evidence=" + evidence + " blamed_requests=" + std::to_string(blamed));
    if (blamed == 0)
        return;
    increment(this->vm.counters, CountedEvent::BlamedCrashes);
    if (this->onCrash)
        this->onCrash();
}

bool CrashTracker::isHeldOff(uint64_t contentHash) const
{
    std::lock_guard lock(this->mutex);
    return this->poisonRequests.isPoison(contentHash);
}

std::map<uint64_t, uint32_t> CrashTracker::crashCounts() const
{
    std::lock_guard lock(this->mutex);
    return this->poisonRequests.crashCounts();
}

void CrashTracker::applyCrashCounts(const std::map<uint64_t, uint32_t>& counts)
{
    std::lock_guard lock(this->mutex);
    for (const auto& [content, crashes] : counts)
        this->poisonRequests.merge(content, crashes);
}

} // namespace comfreypier::edge
