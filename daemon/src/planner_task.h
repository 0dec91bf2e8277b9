/// The planner role: follows the VM list and plans placement, on the node that owns the role.
#pragma once

#include "gossip_task.h"

namespace comfreypier::daemon {

/// Declares workers and appends plan changes.
class PlannerTask {
public:
    PlannerTask(Node& node, LogWriter& writer, const SessionKeeper& session, GossipTask& gossip);
    /// Runs until the daemon stops.
    void run();

private:
    bool isPlanner() const;
    void followVmList();
    void planInBudget();
    void plan();
    void declare(const protocol::Vm& vm);
    void noteLeaving(const std::vector<protocol::Vm>& vms);

    Node& node;
    LogWriter& writer;
    const SessionKeeper& session;
    GossipTask& gossip;
    transport::Log log { "planner" };
    std::set<std::string> leaving;
    std::map<std::string, Time> missingSince;
    Time nextPlan { 0 };
    std::shared_ptr<std::atomic<int>> openEntries = std::make_shared<std::atomic<int>>(0);
};

} // namespace comfreypier::daemon
