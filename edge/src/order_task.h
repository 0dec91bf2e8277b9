/// Background task that competes for the lease and orders loads and unloads of models and adapters while this VM holds it.
#pragma once

#include "peers.h"

namespace comfreypier::edge {

/// Maintains the lease and sends load and unload orders to workers.
class OrderTask {
public:
    OrderTask(Vm& vm, Peers& peers);

    /// Acquires, renews and monitors the lease until the daemon stops.
    void maintainLease();
    /// Plans and sends orders whenever this VM may issue them, until the daemon stops.
    void run();
    /// Releases the lease if this VM holds it, and stops competing for it.
    void releaseLease();

private:
    /// What the lease holder knows of one worker. Orders to one worker are sent one at a time.
    struct ManagedWorker {
        routing::WorkerEntry entry;
        placement::TrackedWorker tracked;
        bool callInProgress = false; ///< A fiber is calling the worker.
        std::optional<placement::Order> prefetch; ///< Order to load an adapter before it is requested.
        std::map<std::string, Time> adapterReadyAt; ///< Adapters being loaded, with the time at which each should be ready.
    };
    using ManagedWorkerPtr = std::shared_ptr<ManagedWorker>;

    /// Takes the next step that the lease requires: renews it, takes it over, hands it over or reads its record.
    void updateLease();
    /// Renews the lease or takes it over by a conditional append to the store.
    void appendLeaseRecord(bool takeOver);
    /// Releases the lease in favour of a VM with more capacity, then competes for it again.
    void handOverLease();
    /// Returns whether this VM may issue orders now. `mutex` must be held.
    bool mayIssueOrders() const;
    /// Updates `managedWorkers` from the fleet. Restarted workers start anew.
    void updateManagedWorkers();
    /// Plans loads and unloads of models for all engine services.
    void planModels();
    /// Decides which workers load an adapter before it is requested.
    void planPrefetches();
    /// Starts a fiber for each worker with a pending order, a missing adapter, a planned prefetch or a report that is due.
    void startWorkerCalls();
    /// Logs the busiest models of a service, at most once per `planLogInterval`. `mutex` must be held.
    void logPlan(const std::string& service, const placement::ModelPlanInputs& inputs);
    /// Makes an order the next one of its worker and counts it against the rate of loads from the store. `mutex` must be held.
    void recordPlannedOrder(const placement::Order& order);
    /// Calls one worker: fetches its report if that is due, then sends the pending orders.
    void callWorker(const ManagedWorkerPtr& worker, const std::vector<MissingItem>& missingItems);
    /// Fetches the worker's report and applies it.
    void refreshReport(ManagedWorker& worker);
    /// Sends the planned model order. Announces an unload to the other VMs first.
    void sendModelOrder(ManagedWorker& worker);
    /// Sends the orders for the missing adapters, then the planned prefetch.
    void sendAdapterOrders(ManagedWorker& worker, const std::vector<MissingItem>& missingItems);
    /// Sends one adapter order. If the worker accepts a load, the adapter is published as resident once it should be loaded; if it
    /// accepts an unload, `run` is woken.
    void sendAdapterOrder(ManagedWorker& worker, const placement::Order& order);
    /// Sends an order if this VM may issue one.
    /// @return true if the worker accepted it or already holds the item.
    bool trySendOrder(ManagedWorker& worker, const placement::Order& order);
    /// Publishes which models and adapters the workers hold, to this VM's fleet and to the other VMs.
    void publishResidentItems();

    Vm& vm;
    Peers& peers;
    mutable std::mutex mutex;
    ownership::Lease lease;
    ownership::HandoverPolicy handoverPolicy;
    std::map<std::string, ManagedWorkerPtr> managedWorkers; ///< By worker id.
    std::map<std::string, placement::DemandForecast> forecasts; ///< By service.
    placement::StoreRateLimiter storeRate; ///< Limits the rate of loads from the weight store.
    placement::AdapterUses adapterUses; ///< Last use of each adapter, by `model/adapter`.
    std::map<std::string, Time> planLoggedAt; ///< When the load of the models was last logged, by service.
    bool publishDue = false; ///< An order was carried out since the last publication.
    transport::Event wakeUp; ///< Makes `run` go on before its interval ends.
    transport::Log log { "orders" };
};

} // namespace comfreypier::edge
