#include "planner_task.h"

#include <algorithm>

namespace comfreypier::daemon {

namespace {

    constexpr std::chrono::milliseconds roundInterval { 500 };
    /// Time off the VM list after which a worker is removed.
    constexpr std::chrono::seconds goneAfter { 10 };
    constexpr double requestsPerCopy = 8;
    constexpr size_t movesPerRound = 2;
    /// Time between two rounds as a multiple of the last round's time: planning takes at most 1% of a core.
    constexpr int restPerWork = 100;

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
            if (this->isPlanner() && *this->openEntries == 0 && monotonicNow() >= this->nextPlan)
                this->planInBudget();
        }
        sleepFor(roundInterval);
    }
}

bool PlannerTask::isPlanner() const
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
    this->noteLeaving(vms.value());
    if (!this->isPlanner() || *this->openEntries > 0)
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
        this->missingSince.erase(vm.name);
        auto known = declared.find(vm.name);
        bool changed = known == declared.end() || known->second.endpoint != toString(vm.endpoint) || known->second.capacity != vm.capacity;
        if (changed)
            this->declare(vm);
        declared.erase(vm.name);
    }
    for (const auto& [name, worker] : declared) {
        auto [since, first] = this->missingSince.try_emplace(name, monotonicNow());
        if (first || monotonicNow() - since->second < goneAfter)
            continue;
        this->log.info("worker " + name + " is off the VM list");
        this->writer.append(protocol::WorkerGone { name });
    }
}

/// Every node keeps leaving workers out of its routing.
void PlannerTask::noteLeaving(const std::vector<protocol::Vm>& vms)
{
    std::set<std::string> now;
    for (const auto& vm : vms) {
        if (vm.leaving)
            now.insert(vm.name);
    }
    for (const auto& vm : vms) {
        bool isLeaving = now.contains(vm.name);
        if (vm.role == protocol::VmRole::Worker && isLeaving != this->leaving.contains(vm.name))
            this->node.loads.update(vm.name, [isLeaving](state::WorkerStatus& status) { status.load.draining = isLeaving; });
    }
    this->leaving = std::move(now);
}

void PlannerTask::declare(const protocol::Vm& vm)
{
    auto report = this->node.engines.report(vm.endpoint);
    if (!report)
        return;
    this->log.info("worker " + vm.name + " is new or changed");
    ++*this->openEntries;
    protocol::WorkerDeclared declared { vm.name, toString(vm.endpoint), vm.dataCentre, vm.capacity, report.value().incarnation };
    this->writer.append(declared, [open = this->openEntries](const state::AppendOutcome&) { --*open; });
}

/// Rests long enough after each round that planning stays within its share of a core.
void PlannerTask::planInBudget()
{
    auto start = monotonicNow();
    this->plan();
    auto took = monotonicNow() - start;
    this->nextPlan = start + took * restPerWork;
}

void PlannerTask::plan()
{
    auto deployment = this->node.config.read([](const auto& state) { return state.deployment; });
    if (deployment.items.empty())
        return;
    coordination::PlanInputs inputs;
    inputs.deployment = &deployment;
    inputs.demand = this->gossip.demandRates();
    inputs.requestRatePerCopy = requestsPerCopy;
    inputs.maxMoves = movesPerRound;
    inputs.avoidedWorkers = this->leaving;
    auto change = this->node.region.read([&](const coordination::RegionState& state) {
        inputs.workers = &state.workers;
        inputs.plan = &state.plan;
        return coordination::computePlanChange(inputs);
    });
    if (change.adds.empty() && change.drops.empty())
        return;
    add(this->node.counters, state::Counter::PlanChanges);
    this->log.info("plan changes: " + std::to_string(change.adds.size()) + " added, " + std::to_string(change.drops.size()) + " dropped");
    ++*this->openEntries;
    this->writer.append(change, [open = this->openEntries](const state::AppendOutcome&) { --*open; });
}

} // namespace comfreypier::daemon
