#include "crash_tracker.h"

namespace comfreypier::edge {

namespace {

    /// Formats a group of causes for log lines, for example `part:5c1e07a2+part:91bd3f06`.
    std::string formatCauses(const std::set<routing::CrashCause>& causes)
    {
        std::string text;
        for (const auto& cause : causes) {
            std::array<char, 32> item {};
            std::snprintf(item.data(), item.size(), "%s%s:%llx", text.empty() ? "" : "+", cause.kind == routing::CrashCause::Kind::Part ? "part" : "content", static_cast<unsigned long long>(cause.id));
            text += item.data();
        }
        return text;
    }

} // namespace

CrashTracker::CrashTracker(Vm& vm)
    : vm(vm)
{
}

void CrashTracker::recordBroken(const routing::WorkerEntry& worker, const std::set<routing::CrashCause>& causes)
{
    {
        std::lock_guard lock(this->mutex);
        this->poisonRequests.recordBroken(worker, causes, monotonicNow());
        if (!this->probedWorkers.insert(worker.id).second)
            return;
    }
    transport::spawnOnCurrentThread([this, worker] { this->probe(worker); });
}

void CrashTracker::probe(const routing::WorkerEntry& worker)
{
    auto reply = platform::WorkerReply<platform::WorkerState> { platform::WorkerState::Unknown, false, {}, std::nullopt };
    // A worker that has named a time wants no probes either.
    if (!this->vm.fleet.isHeld(worker.id, monotonicNow()))
        reply = platform::probeWorker(this->vm.controlClient, worker);
    auto state = reply.value;
    if (this->onReply)
        this->onReply(worker, reply);
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

void CrashTracker::recordProgress(const std::set<routing::CrashCause>& causes)
{
    std::lock_guard lock(this->mutex);
    this->poisonRequests.recordProgress(causes, monotonicNow());
    this->logHolds();
}

void CrashTracker::recordCrash(const std::string& worker, const char* evidence)
{
    size_t blamed = 0;
    {
        std::lock_guard lock(this->mutex);
        blamed = this->poisonRequests.recordCrash(worker, monotonicNow());
        this->logHolds();
    }
    this->log.info("event=worker_crash worker=" + transport::escapeForLog(worker) + " evidence=" + evidence + " blamed_requests=" + std::to_string(blamed));
    if (blamed == 0)
        return;
    increment(this->vm.counters, CountedEvent::BlamedCrashes);
    if (this->onCrash)
        this->onCrash();
}

bool CrashTracker::isHeldOff(const std::set<routing::CrashCause>& causes) const
{
    std::lock_guard lock(this->mutex);
    return !this->poisonRequests.findPoison(causes, monotonicNow()).empty();
}

std::vector<routing::CrashReport> CrashTracker::takeReports()
{
    std::lock_guard lock(this->mutex);
    auto reports = this->poisonRequests.takeReports(monotonicNow());
    this->logHolds();
    return reports;
}

void CrashTracker::applyReports(const std::vector<routing::CrashReport>& reports, bool relay)
{
    if (reports.empty())
        return;
    std::lock_guard lock(this->mutex);
    this->poisonRequests.merge(reports, relay, monotonicNow());
    this->logHolds();
}

void CrashTracker::logHolds()
{
    auto holds = this->poisonRequests.heldOff(monotonicNow());
    if (holds == this->loggedHolds)
        return;
    auto contains = [](const auto& groups, const auto& group) { return std::find(groups.begin(), groups.end(), group) != groups.end(); };
    for (const auto& group : holds) {
        if (!contains(this->loggedHolds, group))
            this->log.warn("event=held_off causes=" + formatCauses(group));
    }
    for (const auto& group : this->loggedHolds) {
        if (!contains(holds, group))
            this->log.info("event=held_off_end causes=" + formatCauses(group));
    }
    this->loggedHolds = std::move(holds);
}

} // namespace comfreypier::edge
