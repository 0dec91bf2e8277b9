/// Holds the lease when it can and orders loads and unloads while it does.
#pragma once

#include "peers.h"

namespace comfreypier::edge {

/// Gives orders to workers.
class OrderTask {
public:
    OrderTask(Vm& vm, Peers& peers);

    /// Takes over, renews and watches the lease until the daemon stops.
    void keepLease();
    /// Plans and gives orders until the daemon stops.
    void run();
    /// Gives the lease up.
    void release();

private:
    /// What the holder knows of one worker. Its orders go out one after the other.
    struct Agent {
        routing::WorkerEntry entry;
        placement::WorkerAccount account;
        bool working = false; ///< A fiber talks to the worker.
        std::optional<placement::Order> prefetch; ///< Adapter to load ahead of need.
        std::map<std::string, Time> readyAt; ///< Adapters on their way.
    };
    using AgentPtr = std::shared_ptr<Agent>;

    void stepLease();
    void appendLease(bool takeOver);
    /// Releases the lease for a stronger VM and takes part again.
    void handOver();
    /// Tells whether this VM may give orders now. The lock must be held.
    bool mayOrder() const;
    void syncAgents();
    void planModels();
    void planPrefetches();
    void wakeAgents();
    void assign(const placement::Order& order);
    /// Talks to one worker: reports, then what is to be ordered.
    void serveWorker(const AgentPtr& agent, const std::vector<Want>& wants);
    void sync(Agent& agent);
    void orderModel(Agent& agent);
    void orderAdapters(Agent& agent, const std::vector<Want>& wants);
    void orderAdapter(Agent& agent, const placement::Order& order);
    bool send(Agent& agent, const placement::Order& order);
    void announce();

    Vm& vm;
    Peers& peers;
    mutable std::mutex mutex;
    ownership::Lease lease;
    ownership::Deference deference;
    std::map<std::string, AgentPtr> agents;
    placement::StoreRate storeRate;
    placement::AdapterUses adapterUses;
    bool announceDue = false; ///< An order was carried out since the last announcement.
    transport::Event work;
    transport::Log log { "orders" };
};

} // namespace comfreypier::edge
