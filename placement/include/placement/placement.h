/// Placement: decides which worker holds which models and adapters, and which load or unload order comes next.
///
/// This module uses no fibers, sockets, clocks or locks: the caller passes the time, and guards shared objects with its own mutex
/// (`edge::OrderTask` does). It is designed for demand that shifts from one model to another within seconds, worker memory that
/// can't hold two copies of every model, a weight store that allows about one load a second, and workers that drain and end.
#pragma once

#include <routing/routing.h>

namespace comfreypier::placement {

using routing::Time;

/// Load of the least busy worker with a copy of a model, in worker seconds per second, from which another copy is worth a load.
constexpr double minReliefLevel = 0.22;
/// The same relative to the mean load of all workers: where all are busy, moving work between them gains nothing.
constexpr double minReliefLevelToMean = 1.3;
/// A worker may get another copy of a busy model only if its load is below this share of the load of the workers that hold it.
constexpr double maxReliefLoadShare = 0.75;
/// A copy may be evicted for a busy model only if its model's work per remaining copy stays within this share of the busy
/// model's work per copy, with the new one.
constexpr double maxEvictWorkShare = 0.6;
/// A missing model takes the memory of copies in use only if their work is within this ratio of the least that any worker could
/// give up.
constexpr double maxMissingLossRatio = 1.5;
/// A model that this VM loaded is not evicted earlier than this after the load: a shorter stay would not pay for the load.
constexpr Time minResidence = std::chrono::seconds { 5 };
/// Number of workers that should hold an adapter in use, so that requests for it are still served while one of them loads a model
/// or ends.
constexpr uint32_t prefetchTargetCopies = 2;
/// Adapter slots that prefetching leaves free for an adapter that a request waits for.
constexpr size_t prefetchReservedSlots = 1;
/// Lower bound of `maxConcurrentStoreLoads()`, for services with a low load rate or short loads.
constexpr uint32_t minConcurrentStoreLoads = 2;
/// Copies in use are evicted for busy models only while fewer than one model order per this number of workers is in progress.
/// Each such eviction takes a copy from other requests, so too many at once do more harm than good.
constexpr uint32_t workersPerReliefOrder = 5;
/// Lower bound of that limit on model orders in progress, for services with few workers.
constexpr uint32_t minReliefOrderLimit = 5;
/// Number of copies that a model should have where memory is free, so that it stays available when a worker ends and a shift of
/// demand does not hit a single copy.
constexpr uint32_t targetModelCopies = 2;
/// Share of the allowed concurrent store loads from which on no spare copy is loaded.
constexpr double maxSpareLoadShare = 0.34;
/// A spare copy is loaded only if the rate limit allows at least this many store loads to start (tokens of `StoreRateLimiter`), so
/// that more urgent loads need not wait.
constexpr double minSpareLoadTokens = 1.5;
/// Work per remaining copy, in worker seconds per second, up to which a model counts as unused. Its spare copies may be evicted
/// for a busy model even while too many model orders are in progress to evict copies in use.
constexpr double maxIdleWork = 0.01;
/// Maximum number of model orders in one planning round of a service.
constexpr int maxOrdersPerRound = 12;
/// Share of the weight store's load rate at which `StoreRateLimiter` refills.
constexpr double storeRateShare = 0.95;
/// Number of loads from the weight store that may start at once after a pause.
constexpr double maxStoreLoadBurst = 3;

/// Models and adapters of one worker, as known to the lease holder.
struct WorkerInventory {
    std::string id;
    std::string dataCentre;
    /// Not draining, synced (see `TrackedWorker`) and without a model order in progress, whichever VM sent it. A worker that could
    /// not be reached with an order is not synced. Set by the caller before each planning round.
    bool acceptsModelOrders = true;
    bool active = true; ///< Not draining. Copies on draining workers don't count.
    std::set<std::string> models; ///< Resident or being loaded.
    std::set<std::string> unloading; ///< Being unloaded; they still use memory.
    /// Model for which memory is being freed by unloads; empty if there is none. No other model is planned on the worker meanwhile.
    std::string reservedModel;
    /// When a report showed that a load by this VM was done, by model. Models that other VMs loaded have no entry.
    std::map<std::string, Time> loadedAt;
    std::set<std::string> cachedModels; ///< Models whose weights are on the worker's disk or in its host memory.
    /// Time of the last use of resident and pending adapters, by `model/adapter`; 0 if unknown.
    std::map<std::string, Time> adapters;
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
    bool fromStore = false; ///< The load reads from the weight store and counts against its rate. Only set for loads of models.
    std::string reason; ///< For the log.
    std::string freesMemoryFor; ///< For unloads of models: the model that will be loaded instead. Empty for other orders.
    bool operator==(const Order&) const = default;
};

/// State that a worker reports about itself. It is some hundred milliseconds old.
struct WorkerReport {
    std::vector<routing::ResidentModel> models; ///< Without a model that is still being loaded.
    std::set<std::string> pendingAdapters; ///< Adapters that are still being loaded, as `model/adapter`.
    std::set<std::string> cachedModels; ///< Models whose weights are on the worker's disk or in its host memory.
    bool modelOrderRunning = false; ///< A model order is in progress.
    uint64_t ordersAccepted = 0; ///< Number of orders of all VMs, for models and adapters, that the worker has accepted.
};

/// Result of sending an order.
enum class OrderOutcome {
    Accepted,
    AlreadyDone, ///< The worker is in the state that the order asks for. Also the answer to an adapter unload, which is immediate.
    Conflict, ///< Another order is in progress, or the worker's count of accepted orders differs.
    Fenced, ///< The worker has seen a higher fencing token: another VM has become the lease holder.
    OtherWorker, ///< The address belongs to another worker, or to another version of its software.
    Invalid, ///< The worker does not know such an order.
    NotSent, ///< No byte of the order was sent.
    Unknown, ///< No answer; the worker may still execute the order, even later.
    Count ///< Number of values, for arrays.
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
    std::set<std::string> toldCachedModels; ///< The last list that `updateCachedModels` got.
    bool synced = false; ///< `inventory` and `ordersAccepted` reflect a report and all orders since.
    uint64_t ordersAccepted = 0; ///< Number of orders that the worker has accepted, as in `WorkerReport`. Outdated if not synced.
    /// No report is requested before this time. It leaves a pause after the last report or model order. After a failed order it is
    /// so late that the report shows whether the worker executes that order.
    Time nextReportAt { 0 };
    std::optional<Order> modelOrder; ///< Model order in progress or about to be sent.
    bool modelOrderSent = false; ///< `modelOrder` was sent and answered with `Accepted` or `AlreadyDone`.
    /// The worker executes an order other than `modelOrder`, and refuses further ones: a model order that another VM sent, or the unload of an
    /// adapter that requests still use.
    bool otherOrderRunning = false;
};

/// Replaces what is known of the weights on a worker's disk and in its host memory, if the worker tells something new: it evicts the weights
/// that it has used least recently.
/// @param cachedModels from the worker's entry or report; empty if it tells nothing.
void updateCachedModels(TrackedWorker& tracked, const std::set<std::string>& cachedModels);

/// Returns whether a model order waits to be sent, or its answer is still outstanding.
bool hasUnsentModelOrder(const TrackedWorker& tracked);
/// Returns whether a report should be requested now: the worker is not synced or executes a model order, and `nextReportAt` has
/// passed.
bool needsReport(const TrackedWorker& tracked, Time now);
/// Updates the state from a report. The inventory is replaced only if the worker was not synced or executed a foreign order;
/// otherwise the inventory is newer, and the report only shows whether the model order in progress is done.
/// @param requestedAt when the report was requested.
/// @return true if the model order in progress is done. It is removed from the state then.
bool applyReport(TrackedWorker& tracked, const WorkerReport& report, Time requestedAt);
/// Records a model order that will be sent. The worker must have no other model order. The memory of a model to be loaded counts as
/// used from now on; that of a model to be unloaded still counts until a report shows that it is gone.
void scheduleModelOrder(TrackedWorker& tracked, const Order& order);
/// Updates the state with the outcome of an order. After any outcome but `Accepted` and `AlreadyDone` the worker is not synced.
/// @param sentAt when the order was sent.
void applyOrderOutcome(TrackedWorker& tracked, const Order& order, OrderOutcome outcome, Time sentAt);
/// Returns whether a new model order may be scheduled.
bool mayOrderModel(const TrackedWorker& tracked);
/// Returns whether an adapter order may be sent. Workers refuse adapter orders while they execute a model order.
bool mayOrderAdapter(const TrackedWorker& tracked);

/// Input of `planModelOrder()` for one service.
struct ModelPlanInputs {
    const routing::EngineSpec* engine = nullptr; ///< Engine of the service, not null.
    Time now { 0 };
    std::vector<WorkerInventory> workers; ///< All workers of the service, also those that accept no orders.
    /// Worker time that the requests of a model use, in seconds per second, by model. Above 0 if requests ask for the model.
    std::map<std::string, double> work;
    uint32_t storeLoadsRunning = 0; ///< Loads from the weight store in progress.
    uint32_t modelOrdersRunning = 0; ///< Workers with a model order in progress or with memory being freed for a model.
    double availableStoreLoads = 0; ///< Loads from the weight store that the rate limit allows to start now.
};

/// Returns how many loads from the weight store may run at once: as many as its rate starts during a load of average length, but
/// at least `minConcurrentStoreLoads`. More loads would share its bandwidth.
uint32_t maxConcurrentStoreLoads(const routing::EngineSpec& engine);

/// How busy the copies of a model are.
struct ModelPressure {
    std::string model;
    double work = 0; ///< In worker seconds per second.
    size_t copies = 0; ///< On active workers, including copies for which memory is still being freed.
    double level = 0; ///< Load of the least busy worker with a copy, in worker seconds per second.
};

/// Returns the models that requests ask for, those on the busiest workers first.
std::vector<ModelPressure> modelPressures(const ModelPlanInputs& inputs);

/// Returns the next model order, if there is one. In order of priority: the next step on workers where memory is being freed
/// for a model, missing models that requests ask for, further copies of busy models, other missing models, spare copies.
/// For the next order the caller updates the inputs as if this one was sent, and calls again.
std::optional<Order> planModelOrder(const ModelPlanInputs& inputs);

/// Returns the next order that makes an adapter resident on a worker: its load, or first an unload of the least recently used
/// adapter.
/// @param minIdle time since its last use before an adapter may be unloaded.
/// @return nothing if the adapter is resident or pending, its model is not on the worker, the engine has no adapter slots, or all
/// other adapters were used within `minIdle`.
std::optional<Order> planAdapterOrder(const routing::EngineSpec& engine, const WorkerInventory& worker, const std::string& model, const std::string& adapter, Time now, Time minIdle);

/// Time of the last use of each recently used adapter, by `model/adapter`. The caller removes older ones.
using AdapterUses = std::map<std::string, Time>;

/// Use and copies of one recently used adapter.
struct AdapterDemand {
    std::string name; ///< Without its model.
    Time lastUsedAt { 0 };
    uint32_t copies = 0; ///< Number of active workers that hold or load the adapter.
};

/// Returns the demand for each recently used adapter, by model. @param workers all workers of the service.
std::map<std::string, std::vector<AdapterDemand>> collectAdapterDemand(const std::vector<const WorkerInventory*>& workers, const AdapterUses& uses);

/// Returns an order that loads an adapter onto a worker before a request needs it there. Candidates are recently used adapters of
/// the worker's models with fewer than `prefetchTargetCopies` copies; those with fewer copies and later use come first. The new
/// copy is counted in `demand`.
/// @return nothing if there is no candidate or no adapter slot to spare.
std::optional<Order> planPrefetchOrder(const routing::EngineSpec& engine, const WorkerInventory& worker, std::map<std::string, std::vector<AdapterDemand>>& demand);

/// Returns the megabytes of a worker's memory that models may use: all but what its adapter slots use if each holds an adapter of
/// the largest size.
double modelMemoryMegabytes(const routing::EngineSpec& engine);

/// Token bucket that limits loads from the weight store to its rate.
class StoreRateLimiter {
public:
    /// Refills the bucket for the time since the last call and returns its tokens. A load may start at `now` if there is at least one.
    /// @param perSecond load rate of the weight store.
    double availableLoads(double perSecond, Time now);
    /// Takes one token for a load that starts.
    void recordLoad() { this->tokens -= 1; }

private:
    double tokens = 1; ///< Starts below the burst size: a new lease holder can't know which loads the previous one started.
    Time filledAt { 0 }; ///< Time of the last refill; 0 before the first call, which adds nothing.
};

/// Time constant of `WorkAverage`: short enough to follow a shift of demand that takes five seconds, long enough that a few requests
/// make no model busy.
constexpr Time workAverageTime = std::chrono::milliseconds { 1500 };
/// Time constant with which `DemandForecast` smooths the slope of the demand.
constexpr Time demandSlopeTime = std::chrono::milliseconds { 1000 };
/// Bounds of the forecast, as shares of the current demand. Single bursts of requests give steep slopes that do not last.
constexpr double minForecastShare = 0.2;
constexpr double maxForecastShare = 4;

/// Extrapolates the demand of each model. A new copy of a model is ready only seconds after it was planned; a plan for the current
/// demand would stay behind a shift all the time that it lasts.
class DemandForecast {
public:
    /// Records the demand of all models.
    /// @param work sums of `WorkAverage::rates` of all VMs, in worker seconds per second by model.
    void record(const std::map<std::string, double>& work, Time now);
    /// Returns the expected demand after `lookahead`, from `minForecastShare` to `maxForecastShare` of the recorded one.
    std::map<std::string, double> after(Time lookahead) const;

private:
    struct Trend {
        double work = 0;
        double slope = 0; ///< Per second.
    };
    std::map<std::string, Trend> trends; ///< By model.
    Time recordedAt { 0 }; ///< 0 before the first record, which gives no slope.
};

/// Returns how far ahead model orders are planned: the delay of the demand's average, and the time of a load.
Time planLookahead(const routing::EngineSpec& engine);

/// Exponentially decaying average of the work of each model, as a rate in worker seconds per second.
class WorkAverage {
public:
    /// Adds the work of a request that was sent at `now`. @param seconds worker time that the request takes.
    void add(const std::string& model, double seconds, Time now);
    /// Returns the worker seconds per second of each model.
    std::map<std::string, double> rates(Time now) const;

private:
    struct DecayedSum {
        double seconds = 0; ///< Value at `updatedAt`.
        Time updatedAt { 0 };
    };
    std::map<std::string, DecayedSum> sums; ///< By model.
};

} // namespace comfreypier::placement
