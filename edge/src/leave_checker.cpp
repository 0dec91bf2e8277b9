#include "leave_checker.h"

namespace comfreypier::edge {

namespace {

    /// Interval between two calls to a worker that does not answer.
    constexpr milliseconds checkInterval { 250 };

} // namespace

LeaveChecker::LeaveChecker(Vm& vm, Peers& peers)
    : vm(vm)
    , peers(peers)
{
}

void LeaveChecker::checkWorkers()
{
    for (const auto& worker : this->vm.fleet.workersInDoubt()) {
        std::lock_guard lock(this->mutex);
        if (this->checkedStarts.insert(routing::workerStart(worker)).second)
            transport::spawnOnCurrentThread([this, worker] { this->check(worker); });
    }
}

void LeaveChecker::check(const routing::WorkerEntry& worker)
{
    auto begin = monotonicNow();
    while (!this->vm.status.stopping && this->vm.fleet.isInDoubt(worker)) {
        if (this->vm.fleet.isHeld(worker.id, monotonicNow())) {
            sleepFor(checkInterval);
            continue;
        }
        auto reply = platform::probeWorker(this->vm.controlClient, worker);
        this->peers.recordStatements(worker, reply, "probe");
        auto elapsed = monotonicNow() - begin;
        if (reply.value == platform::WorkerState::Running || elapsed > routing::leaveMemoryTime) {
            this->vm.fleet.settleLeave(worker);
            this->log.info("event=leave_checked worker=" + transport::escapeForLog(worker.id) + " started=" + std::to_string(worker.startedAt) + " leaving=" + (reply.leaving ? "yes" : "no") + " ms=" + formatMilliseconds(elapsed));
            break;
        }
        sleepFor(checkInterval);
    }
    std::lock_guard lock(this->mutex);
    this->checkedStarts.erase(routing::workerStart(worker));
}

} // namespace comfreypier::edge
