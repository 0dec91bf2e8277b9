#include "planner_task.h"

#include <algorithm>

namespace comfreypier::daemon {

namespace {

    /// Pause between two reads of the VM list. Planning takes place at most once per read.
    constexpr std::chrono::milliseconds roundInterval { 500 };
    /// Time for which a worker must be absent from the VM list before it is removed.
    constexpr std::chrono::seconds workerRemovalDelay { 10 };
    /// Request rate that one copy is assumed to answer within the latency target.
    constexpr double requestsPerSecondPerCopy = 8;
    /// Maximum number of copies that one planning round adds because of demand.
    constexpr size_t maxMovesPerRound = 2;
    /// Time between the starts of two plannings as a multiple of the first one's duration: planning uses at most 1% of a core.
    constexpr int planningIntervalFactor = 100;

} // namespace

PlannerTask::PlannerTask(Node& node, LogWriter& writer, const SessionKeeper& session, GossipTask& gossip)
    : node(node)
    , writer(writer)
    , session(session)
    , gossip(gossip)
{
}

void PlannerTask::run()
{
    while (!this->node.lifecycle.stopping) {
        if (this->node.lifecycle.caughtUp) {
            this->followVmList();
            if (this->ownsPlannerRole() && *this->pendingEntries == 0 && monotonicNow() >= this->nextPlan)
                this->planWithinCpuBudget();
        }
        sleepFor(roundInterval);
    }
}

bool PlannerTask::ownsPlannerRole() const
{
    auto own = this->session.current();
    auto owner = this->node.region.read([](const auto& state) { return coordination::rendezvousOwner(state.sessions, coordination::plannerRole); });
    return own != protocol::invalidOffset && owner == own && this->session.mayAct();
}

void PlannerTask::followVmList()
{
    auto vms = this->node.vmList.list();
    if (!vms)
        return;
    this->updateDraining(vms.value());
    if (!this->ownsPlannerRole() || *this->pendingEntries > 0)
        return;
    auto declared = this->node.region.read([](const coordination::RegionState& state) {
        std::map<std::string, protocol::WorkerDeclared> workers;
        for (const auto& [name, worker] : state.workers)
            workers[name] = worker.declared;
        return workers;
    });
    for (const auto& vm : vms.value()) {
        if (vm.role != protocol::VmRole::Worker)
            continue;
        this->absentSince.erase(vm.name);
        auto known = declared.find(vm.name);
        bool changed = known == declared.end() || known->second.endpoint != toString(vm.endpoint) || known->second.capacity != vm.capacity;
        if (changed)
            this->declareWorker(vm);
        declared.erase(vm.name);
    }
    // The remaining workers are not on the VM list.
    for (const auto& [name, worker] : declared) {
        auto [since, first] = this->absentSince.try_emplace(name, monotonicNow());
        if (first || monotonicNow() - since->second < workerRemovalDelay)
            continue;
        this->log.info("removing worker " + name + ", which is no longer on the VM list");
        // Not counted in `pendingEntries`, so it is appended again in each round until it was read back.
        this->writer.append(protocol::WorkerGone { name });
    }
}

void PlannerTask::updateDraining(const std::vector<protocol::Vm>& vms)
{
    std::set<std::string> drainingNow;
    for (const auto& vm : vms) {
        if (vm.leaving)
            drainingNow.insert(vm.name);
    }
    for (const auto& vm : vms) {
        bool isDraining = drainingNow.contains(vm.name);
        if (vm.role == protocol::VmRole::Worker && isDraining != this->drainingVms.contains(vm.name))
            this->node.loads.update(vm.name, [isDraining](state::WorkerStatus& status) { status.load.draining = isDraining; });
    }
    this->drainingVms = std::move(drainingNow);
}

void PlannerTask::declareWorker(const protocol::Vm& vm)
{
    auto report = this->node.engines.report(vm.endpoint);
    if (!report)
        return;
    this->log.info("declaring worker " + vm.name + ", which is new or has changed");
    ++*this->pendingEntries;
    protocol::WorkerDeclared declared { vm.name, toString(vm.endpoint), vm.dataCentre, vm.capacity, report.value().incarnation };
    this->writer.append(declared, [counter = this->pendingEntries](const state::AppendOutcome&) { --*counter; });
}

void PlannerTask::planWithinCpuBudget()
{
    auto start = monotonicNow();
    this->plan();
    auto duration = monotonicNow() - start;
    this->nextPlan = start + duration * planningIntervalFactor;
}

void PlannerTask::plan()
{
    auto deployment = this->node.config.read([](const auto& state) { return state.deployment; });
    if (deployment.items.empty())
        return;
    coordination::PlanInputs inputs;
    inputs.deployment = &deployment;
    inputs.demand = this->gossip.demandRates();
    inputs.requestRatePerCopy = requestsPerSecondPerCopy;
    inputs.maxMoves = maxMovesPerRound;
    inputs.avoidedWorkers = this->drainingVms;
    auto change = this->node.region.read([&](const coordination::RegionState& state) {
        inputs.workers = &state.workers;
        inputs.plan = &state.plan;
        return coordination::computePlanChange(inputs);
    });
    if (change.adds.empty() && change.drops.empty())
        return;
    add(this->node.counters, state::Counter::PlanChanges);
    this->log.info("plan changes: " + std::to_string(change.adds.size()) + " copies added, " + std::to_string(change.drops.size()) + " dropped");
    ++*this->pendingEntries;
    this->writer.append(change, [counter = this->pendingEntries](const state::AppendOutcome&) { --*counter; });
}

} // namespace comfreypier::daemon
