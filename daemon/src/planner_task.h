/// Planner role: keeps the workers in the ledger up to date with the VM list and plans the placement of items.
#pragma once

#include "gossip_task.h"

namespace comfreypier::daemon {

/// Appends declarations and removals of workers, and plan changes, on the node that owns the planner role. On every node it
/// marks draining workers in the load table.
class PlannerTask {
public:
    PlannerTask(Node& node, LogWriter& writer, const SessionKeeper& session, GossipTask& gossip);
    /// Runs until the daemon stops.
    void run();

private:
    /// Returns whether this node's session owns the planner role and its lease is valid.
    bool ownsPlannerRole() const;
    /// Reads the VM list. The owner of the planner role then declares new and changed workers and removes those that have been
    /// absent for `workerRemovalDelay`.
    void followVmList();
    /// Plans, and sets `nextPlan` so that planning uses at most 1% of a core, see `planningIntervalFactor`.
    void planWithinCpuBudget();
    /// Computes the next change of the plan and appends it if it is not empty.
    void plan();
    /// Appends a declaration of a worker with its engine's incarnation. Does nothing if the engine does not answer.
    void declareWorker(const protocol::Vm& vm);
    /// Marks draining workers in the load table when they start or stop to drain. Runs on every node, because every node excludes
    /// them from its routing. The next update of a worker's load from its owner overwrites the mark.
    void updateDraining(const std::vector<protocol::Vm>& vms);

    Node& node;
    LogWriter& writer;
    const SessionKeeper& session;
    GossipTask& gossip;
    transport::Log log { "planner" };
    std::set<std::string> drainingVms; ///< Names of the VMs that the VM list last marked as leaving.
    std::map<std::string, Time> absentSince; ///< Time since which a declared worker is not on the VM list, by name.
    Time nextPlan { 0 }; ///< Earliest time of the next planning.
    /// Number of appended declarations and plan changes whose verdict is still unknown. No round appends anything until it is
    /// zero. Shared with the callbacks that receive the verdicts.
    std::shared_ptr<std::atomic<int>> pendingEntries = std::make_shared<std::atomic<int>>(0);
};

} // namespace comfreypier::daemon
