/// The owner's work on its workers: reports and orders.
#pragma once

#include "gossip_task.h"
#include "session_keeper.h"

namespace comfreypier::daemon {

/// Polls reports of owned workers, keeps their ledger and sends orders.
class WorkerTask {
public:
    WorkerTask(Node& node, LogWriter& writer, const SessionKeeper& session, GossipTask& gossip);
    /// Runs until the daemon stops.
    void run();

private:
    struct WorkerRound {
        std::string name;
        transport::Endpoint endpoint;
        coordination::OrderInputs inputs;
    };
    /// Orders and entries of one worker that are under way.
    struct Progress {
        coordination::OrderTracker memory;
        std::shared_ptr<std::atomic<int>> openEntries = std::make_shared<std::atomic<int>>(0);
        uint64_t failedReports = 0;
    };

    std::vector<WorkerRound> ownedWorkers() const;
    void runRound(WorkerRound& round);
    void publishLoad(const WorkerRound& round, const protocol::EngineReport& report);
    void carryOut(const WorkerRound& round, const coordination::OrderRound& orders, Progress& progress);
    void send(const WorkerRound& round, const protocol::EngineOrder& order, Progress& progress);

    Node& node;
    LogWriter& writer;
    const SessionKeeper& session;
    GossipTask& gossip;
    transport::Log log { "orders" };
    std::map<std::string, Progress> progress;
    std::map<std::string, protocol::EngineReport> published;
};

} // namespace comfreypier::daemon
