/// Placement: decides which worker holds which models and adapters, and which load or unload order comes next.
///
/// This module uses no fibers, sockets or clocks; the time is passed in. It is designed for demand that shifts from one model
/// to another within seconds, worker memory that can't hold two copies of every model, a weight store that allows about one load
/// a second, and workers that drain and end.
#pragma once

#include <routing/routing.h>

namespace comfreypier::placement {

using routing::Time;

/// Share of a worker's time that one copy of a model may use before another copy is worth a load.
constexpr double maxWorkPerCopy = 0.22;
/// A worker may get another copy of a busy model only if its work is below this share of the average work of the workers that
/// already hold the model. The share that the new copy takes over from each of them is subtracted from this share first.
constexpr double maxReliefWorkShare = 0.85;
/// A copy may be evicted for a busy model only if its model's work per remaining copy stays within this share of the busy
/// model's work per copy.
constexpr double maxEvictWorkShare = 0.5;
/// A model is not evicted earlier than this after its load: a shorter stay would not pay for the load.
constexpr Time minResidence = std::chrono::seconds { 5 };
/// Number of workers that should hold an adapter in use, so that requests for it are still served while one of them loads a model
/// or ends.
constexpr uint32_t prefetchTargetCopies = 2;
/// Adapter slots that prefetching leaves free for an adapter that a request waits for.
constexpr size_t prefetchReservedSlots = 1;
/// Lower bound of `maxConcurrentStoreLoads()`.
constexpr uint32_t minConcurrentStoreLoads = 2;
/// Used share of the concurrent loads that the weight store's rate and load time allow. More loads would share its bandwidth.
constexpr double storeConcurrencyShare = 0.85;
/// Copies in use are evicted for busy models only while fewer than one model order per this number of workers is in progress.
/// Each such eviction takes a copy from other requests, so too many at once do more harm than good.
constexpr uint32_t workersPerReliefOrder = 5;
/// Lower bound of that limit on model orders in progress, for services with few workers.
constexpr uint32_t minReliefOrderLimit = 3;
/// Number of copies that a model should have where memory is free, so that it stays available when a worker ends and a shift of
/// demand does not hit a single copy.
constexpr uint32_t targetModelCopies = 2;
/// Share of the allowed concurrent store loads from which on no spare copy is loaded.
constexpr double maxSpareLoadShare = 0.34;
/// A spare copy is loaded only if the rate limit allows at least this many store loads to start, so that more urgent loads need
/// not wait.
constexpr double minSpareLoadTokens = 1.5;
/// Work per remaining copy, in worker seconds per second, up to which a model counts as unused. Its spare copies may be evicted
/// for a busy model even while too many model orders are in progress to evict copies in use.
constexpr double maxIdleWork = 0.01;
/// Maximum number of model orders in one planning round of a service.
constexpr int maxOrdersPerRound = 12;
/// Used share of the weight store's load rate.
constexpr double storeRateShare = 0.95;
/// Number of loads from the weight store that may start at once after a pause.
constexpr double maxStoreLoadBurst = 3;

/// Models and adapters of one worker, as known to the lease holder.
struct WorkerInventory {
    std::string id;
    std::string dataCentre;
    /// Not draining, synced (see `TrackedWorker`) and without a model order in progress. A worker that could not be reached with
    /// an order is not synced.
    bool acceptsModelOrders = true;
    bool active = true; ///< Not draining. Copies on draining workers don't count.
    std::set<std::string> models; ///< Resident or being loaded.
    std::set<std::string> unloading; ///< Being unloaded; they still use memory.
    std::string reservedModel; ///< Model for which memory is being freed; empty if there is none.
    std::map<std::string, Time> loadedAt; ///< When this VM loaded a model onto the worker, by model.
    std::set<std::string> cachedModels; ///< Models whose weights are on the worker's disk or in its host memory.
    std::map<std::string, Time> adapters; ///< Time of the last use of resident and pending adapters, by `model/adapter`.
};

/// Kinds of orders.
enum class OrderKind {
    Load,
    Unload,
    Count
};

/// Order to a worker to load or unload a model or an adapter.
struct Order {
    std::string worker;
    OrderKind kind = OrderKind::Load;
    std::string model;
    std::string adapter; ///< Empty if the order is for the model itself.
    bool fromStore = false; ///< The load reads from the weight store and counts against its rate.
    std::string reason; ///< For the log.
    std::string freesMemoryFor; ///< For unloads of models: the model that will be loaded instead.
    bool operator==(const Order&) const = default;
};

/// State that a worker reports about itself. It is some hundred milliseconds old.
struct WorkerReport {
    std::vector<routing::ResidentModel> models; ///< Without a model that is still being loaded.
    std::set<std::string> pendingAdapters; ///< Adapters that are still being loaded, as `model/adapter`.
    std::set<std::string> cachedModels; ///< Models whose weights are on the worker's disk or in its host memory.
    bool modelOrderRunning = false; ///< A model order is in progress.
    uint64_t ordersAccepted = 0; ///< Number of orders that the worker has accepted.
};

/// Result of sending an order.
enum class OrderOutcome {
    Accepted,
    AlreadyHolds, ///< The worker is in the state that the order asks for.
    Conflict, ///< Another order is in progress, or the worker's count of accepted orders differs.
    Fenced, ///< The worker has seen a higher fencing token.
    OtherWorker, ///< The address belongs to another worker, or to another version of its software.
    Invalid, ///< The worker does not know such an order.
    NotSent, ///< No byte of the order was sent.
    Unknown, ///< No answer; the worker may still execute the order, even later.
    Count
};

/// Returns the name of an outcome for the log.
const char* name(OrderOutcome outcome);

/// Identifies the sender of an order to the worker.
struct OrderSource {
    std::string holder; ///< Name of the VM that holds the lease.
    uint64_t token = 0; ///< Fencing token of the lease.
    uint64_t ordersAccepted = 0; ///< Expected count of accepted orders; the worker refuses the order if its count differs.
};

/// Maximum age of the state in a worker's report. The report may miss orders sent less than this before it was requested.
constexpr Time maxReportAge = std::chrono::milliseconds { 400 };
/// Pause between two reports of a worker that executes a model order.
constexpr Time busyReportInterval = std::chrono::milliseconds { 250 };

/// State of one worker, derived from its last report and the outcomes of the orders sent since. While it is not synced, no order
/// may be sent to the worker.
struct TrackedWorker {
    WorkerInventory inventory;
    bool synced = false; ///< `inventory` and `ordersAccepted` reflect a report and all orders since.
    uint64_t ordersAccepted = 0; ///< Number of orders that the worker has accepted.
    /// No report is requested before this time. It leaves a pause after the last report or model order. After a failed order it is
    /// so late that the report shows whether the worker executes that order.
    Time nextReportAt { 0 };
    std::optional<Order> modelOrder; ///< Model order in progress or about to be sent.
    bool modelOrderSent = false; ///< `modelOrder` was sent and answered with `Accepted` or `AlreadyHolds`.
    bool foreignOrderRunning = false; ///< The worker executes a model order that this VM did not send.
};

/// Returns whether a model order waits to be sent.
bool hasUnsentModelOrder(const TrackedWorker& tracked);
/// Returns whether a report should be requested now: the worker is not synced or executes a model order, and `nextReportAt` has
/// passed.
bool needsReport(const TrackedWorker& tracked, Time now);
/// Updates the state from a report. @param requestedAt when the report was requested.
/// @return true if the model order in progress is done.
bool applyReport(TrackedWorker& tracked, const WorkerReport& report, Time requestedAt);
/// Records a model order that will be sent. Its memory counts as used from now on.
void scheduleModelOrder(TrackedWorker& tracked, const Order& order);
/// Updates the state with the outcome of an order. @param sentAt when the order was sent.
void applyOrderOutcome(TrackedWorker& tracked, const Order& order, OrderOutcome outcome, Time sentAt);
/// Returns whether a model order may be sent.
bool mayOrderModel(const TrackedWorker& tracked);
/// Returns whether an adapter order may be sent. Workers refuse adapter orders while they execute a model order.
bool mayOrderAdapter(const TrackedWorker& tracked);

/// Input of `planModelOrder()` for one service.
struct ModelPlanInputs {
    const routing::EngineSpec* engine = nullptr;
    Time now { 0 };
    std::vector<WorkerInventory> workers;
    std::map<std::string, double> work; ///< Worker time that the requests of a model use, in seconds per second, by model.
    uint32_t storeLoadsRunning = 0; ///< Loads from the weight store in progress.
    uint32_t modelOrdersRunning = 0; ///< Workers with a model order in progress or with memory being freed for a model.
    double availableStoreLoads = 0; ///< Loads from the weight store that the rate limit allows to start now.
};

/// Returns how many loads from the weight store may run at once: as many as its rate starts during the longest load.
uint32_t maxConcurrentStoreLoads(const routing::EngineSpec& engine);

/// Returns the next model order, if there is one. In order of priority: the next step on workers where memory is being freed
/// for a model, missing models that requests ask for, further copies of busy models, other missing models, spare copies.
std::optional<Order> planModelOrder(const ModelPlanInputs& inputs);

/// Returns the next order that makes an adapter resident on a worker: its load, or first an unload of the least recently used
/// adapter.
/// @param minIdle time since its last use before an adapter may be unloaded.
/// @return nothing if the adapter is resident, its model is not, or all other adapters are in use.
std::optional<Order> planAdapterOrder(const routing::EngineSpec& engine, const WorkerInventory& worker, const std::string& model, const std::string& adapter, Time now, Time minIdle);

/// Time of the last use of each adapter that VMs use, by `model/adapter`.
using AdapterUses = std::map<std::string, Time>;

/// Use and copies of one recently used adapter.
struct AdapterDemand {
    std::string name; ///< Without its model.
    Time lastUsedAt { 0 };
    uint32_t copies = 0; ///< Number of workers that hold the adapter.
};

/// Returns the demand for each recently used adapter, by model. @param workers all workers of the service.
std::map<std::string, std::vector<AdapterDemand>> collectAdapterDemand(const std::vector<const WorkerInventory*>& workers, const AdapterUses& uses);

/// Returns an order that loads an adapter onto a worker before a request needs it there. Candidates are recently used adapters of
/// the worker's models with fewer than `prefetchTargetCopies` copies; those with fewer copies and later use come first. The new
/// copy is counted in `demand`.
/// @return nothing if there is no candidate or no adapter slot to spare.
std::optional<Order> planPrefetchOrder(const routing::EngineSpec& engine, const WorkerInventory& worker, std::map<std::string, std::vector<AdapterDemand>>& demand);

/// Returns the megabytes of a worker's memory that models may use: all but what its adapter slots can use.
double modelMemoryMegabytes(const routing::EngineSpec& engine);

/// Token bucket that limits loads from the weight store to its rate.
class StoreRateLimiter {
public:
    /// Refills the bucket and returns the number of loads that may start at `now`.
    /// @param perSecond load rate of the weight store.
    double availableLoads(double perSecond, Time now);
    /// Takes one token for a load that starts.
    void recordLoad() { this->tokens -= 1; }

private:
    double tokens = 1; ///< Starts below the burst size: a new lease holder can't know which loads the previous one started.
    Time filledAt { 0 };
};

/// Exponentially decaying average of the work of each model.
class WorkAverage {
public:
    /// Adds the work of a request that was sent at `now`. @param seconds worker time.
    void add(const std::string& model, double seconds, Time now);
    /// Returns the worker seconds per second of each model.
    std::map<std::string, double> rates(Time now) const;

private:
    struct DecayedSum {
        double seconds = 0; ///< Value at `updatedAt`.
        Time updatedAt { 0 };
    };
    std::map<std::string, DecayedSum> sums;
};

} // namespace comfreypier::placement
