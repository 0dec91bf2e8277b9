/// Reconciles the workers that this node owns: reads their reports and sends them orders.
#pragma once

#include "gossip_task.h"
#include "session_keeper.h"

namespace comfreypier::daemon {

/// Polls the reports of owned workers, appends their ledger entries and sends load and unload orders to their engines.
class WorkerTask {
public:
    WorkerTask(Node& node, LogWriter& writer, const SessionKeeper& session, GossipTask& gossip);
    /// Runs until the daemon stops.
    void run();

private:
    /// One reconciliation round of one worker.
    struct WorkerRound {
        std::string name;
        transport::Endpoint endpoint;
        coordination::OrderInputs inputs;
    };
    /// Orders and ledger entries of one worker that are not yet resolved.
    struct WorkerProgress {
        coordination::OrderTracker tracker;
        /// Number of appended entries whose verdict is still unknown. No orders are decided until it is zero.
        std::shared_ptr<std::atomic<int>> pendingEntries = std::make_shared<std::atomic<int>>(0);
        uint64_t failedReports = 0; ///< Consecutive reports that could not be read. Not used for any decision.
    };

    /// Returns one round for each worker that this node owns. The engine's report is not set yet.
    std::vector<WorkerRound> makeRounds() const;
    /// Reads the engine's report and publishes its load. Unless entries are pending, decides what to append and send, and does so.
    void runRound(WorkerRound& round);
    /// Publishes the worker's load to all nodes if it has changed as `hasLoadChanged` requires.
    void publishLoad(const WorkerRound& round, const protocol::EngineReport& report);
    /// Appends the entries and sends the orders of one round.
    void executeOrders(const WorkerRound& round, const coordination::OrderRound& orders, WorkerProgress& progress);
    /// Sends one order, unless this node's lease is no longer valid. Records in the tracker if a load order was not sent or
    /// certainly cannot arrive.
    void sendOrder(const WorkerRound& round, const protocol::EngineOrder& order, WorkerProgress& progress);

    Node& node;
    LogWriter& writer;
    const SessionKeeper& session;
    GossipTask& gossip;
    transport::Log log { "orders" };
    std::map<std::string, WorkerProgress> progressByWorker;
    std::map<std::string, protocol::EngineReport> publishedReports; ///< Last published report of each worker, by name.
};

} // namespace comfreypier::daemon
