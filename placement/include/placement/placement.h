/// Placement: which worker holds which model and adapter, and which order brings that about next.
///
/// Free of fibers, sockets and clocks. The load it answers: demand that moves from one model to another within seconds,
/// more models than one copy each fits twice, a weight store that allows about one load a second, and workers that leave.
#pragma once

#include <routing/routing.h>

namespace comfreypier::placement {

using routing::Time;

// ---------------------------------------------------------------- limits and defaults

/// Share of a worker's time that one model may take before another copy is worth a load.
constexpr double maxWorkPerCopy = 0.22;
/// A worker that gets a further copy of a model must have less than this share of the work of those that hold it, less the part
/// that it takes over from each.
constexpr double maxReliefWorkShare = 0.85;
/// A copy is only dropped for another if its model's work a copy stays below this share of the other's.
constexpr double maxEvictWorkShare = 0.5;
/// A model stays at least this long where it was loaded: a shorter stay would not pay for the load.
constexpr Time minResidence = std::chrono::seconds { 5 };
/// Workers on which an adapter in use should lie, so that one that loads a model or ends is no obstacle.
constexpr uint32_t prefetchTargetCopies = 2;
/// Places that prefetched adapters leave free for one that a request waits for.
constexpr size_t prefetchReservedSlots = 1;
/// Loads from the weight store that run at once at least; see `maxConcurrentStoreLoads`.
constexpr uint32_t minConcurrentStoreLoads = 2;
/// Part of the loads that the weight store's rate and load time allow at once: more would share its bandwidth.
constexpr double storeConcurrencyShare = 0.85;
/// Workers for each of which one busy model may be given another copy at a time, and such orders that are always allowed:
/// each drops what other requests were using, so that many at once do more harm than good.
constexpr uint32_t workersPerReliefOrder = 5;
constexpr uint32_t minReliefOrderLimit = 3;
/// Copies that a model should have where there is free room, so that the end of a worker leaves it answerable and a shift of
/// demand does not meet a single copy.
constexpr uint32_t targetModelCopies = 2;
/// Share of the loads that the weight store allows at once above which no spare copy is loaded, and loads that are left to
/// more urgent ones.
constexpr double maxSpareLoadShare = 0.34;
constexpr double minSpareLoadTokens = 1.5;
/// Work a copy, in worker seconds a second, below which a model is as good as unused: its spare copy may always be dropped.
constexpr double maxIdleWork = 0.01;
/// Orders of one planning round at most.
constexpr int maxOrdersPerRound = 12;
/// Share of the weight store's rate that is used.
constexpr double storeRateShare = 0.95;
/// Loads from the weight store that may begin at once after a pause.
constexpr double maxStoreLoadBurst = 3;

// ---------------------------------------------------------------- inputs

/// What the holder knows of one worker.
struct WorkerInventory {
    std::string id;
    std::string dataCentre;
    bool acceptsModelOrders = true; ///< Neither leaving nor unreachable, and no model order is in progress.
    bool active = true; ///< Not leaving.
    std::set<std::string> models; ///< Resident or being loaded.
    std::set<std::string> unloading; ///< Models on their way out; they still take room.
    std::string reservedModel; ///< Model for which room is being made; empty if there is none.
    std::map<std::string, Time> loadedAt; ///< When this VM loaded models there.
    std::set<std::string> cachedModels; ///< Models on its disk or in its host memory.
    std::map<std::string, Time> adapters; ///< Resident or pending `model/adapter`, with their last use.
};

/// Kinds of orders.
enum class OrderKind {
    Load,
    Unload,
    Count
};

/// One order to a worker.
struct Order {
    std::string worker;
    OrderKind kind = OrderKind::Load;
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    bool fromStore = false; ///< The load counts against the weight store's rate.
    std::string reason; ///< For the log.
    std::string freesMemoryFor; ///< For unloads: the model that the room is for.
    bool operator==(const Order&) const = default;
};

// ---------------------------------------------------------------- what a worker holds, by its reports and the orders to it

/// A worker's own account of its state, some hundred milliseconds old.
struct WorkerReport {
    std::vector<routing::ResidentModel> models; ///< Without one that is still being loaded.
    std::set<std::string> pendingAdapters; ///< `model/adapter`.
    std::set<std::string> cachedModels; ///< Models on its disk or in its host memory.
    bool modelOrderRunning = false; ///< A model order is in progress.
    uint64_t ordersAccepted = 0;
};

/// What became of an order.
enum class OrderOutcome {
    Accepted,
    AlreadyHolds,
    Conflict, ///< Another order is in progress, or the count of accepted orders differs.
    Fenced, ///< The worker has seen a higher fencing token.
    OtherWorker, ///< The address is another worker's, or its software another version.
    Invalid, ///< The worker does not know such an order.
    NotSent, ///< No byte of it left.
    Unknown, ///< No answer: it may be carried out, also later.
    Count
};

const char* name(OrderOutcome outcome);

/// Who gives an order.
struct OrderSource {
    std::string holder;
    uint64_t token = 0;
    uint64_t ordersAccepted = 0; ///< The worker refuses if its count differs.
};

/// Age that a worker's report may have: orders younger than that may be missing in it.
constexpr Time maxReportAge = std::chrono::milliseconds { 400 };
/// Pause between two reports of a worker that carries out a model order.
constexpr Time busyReportInterval = std::chrono::milliseconds { 250 };

/// Account of one worker. Until a report and all orders since are known, nothing may be ordered.
struct TrackedWorker {
    WorkerInventory inventory;
    bool synced = false; ///< `held` and `ordersAccepted` come from a report and the orders since.
    uint64_t ordersAccepted = 0;
    Time nextReportAt { 0 }; ///< A report asked for before may be too old.
    std::optional<Order> modelOrder; ///< In progress, or about to be sent.
    bool modelOrderSent = false;
    bool foreignOrderRunning = false; ///< The worker carries out a model order that this VM did not give.
};

/// Tells whether a model order waits to be sent.
bool hasUnsentModelOrder(const TrackedWorker& account);
/// Tells whether a report is needed now.
bool needsReport(const TrackedWorker& account, Time now);
/// Takes over a report. @param askedAt when it was asked for.
/// @return true if the model order in progress is done.
bool applyReport(TrackedWorker& account, const WorkerReport& report, Time askedAt);
/// Notes a model order that will be sent: its room is taken from now on.
void scheduleModelOrder(TrackedWorker& account, const Order& order);
/// Takes over what became of an order. @param sentAt when it was sent.
void applyOrderOutcome(TrackedWorker& account, const Order& order, OrderOutcome outcome, Time sentAt);
/// Tells whether a model order may be given.
bool mayOrderModel(const TrackedWorker& account);
/// Tells whether an adapter order may be given: a worker refuses those while it carries out a model order.
bool mayOrderAdapter(const TrackedWorker& account);

// ---------------------------------------------------------------- plans

/// Inputs of one planning round.
struct ModelPlanInputs {
    const routing::EngineSpec* engine = nullptr;
    Time now { 0 };
    std::vector<WorkerInventory> workers;
    std::map<std::string, double> work; ///< By model: worker time that its requests take, in seconds a second.
    uint32_t storeLoadsRunning = 0;
    uint32_t modelOrdersRunning = 0; ///< Model orders in progress, and workers where room is being made.
    double availableStoreLoads = 0; ///< Loads that may begin now.
};

/// Loads from the weight store that may run at once: those that its rate starts in the time of the longest load.
uint32_t maxConcurrentStoreLoads(const routing::EngineSpec& engine);

/// Decides the next model order, if any. A missing model that requests ask for goes before relief of a busy one, that before a
/// missing model nobody asks for, and a spare copy comes last.
std::optional<Order> planModelOrder(const ModelPlanInputs& inputs);

/// Decides what makes an adapter resident on a worker: its load, or first an unload of the one that was used longest ago.
/// @param minIdle time since the last use below which an adapter is not dropped.
/// @return nothing if the adapter is resident, the model is not, or all others are in use.
std::optional<Order> planAdapterOrder(const routing::EngineSpec& engine, const WorkerInventory& worker, const std::string& model, const std::string& adapter, Time now, Time minIdle);

/// Adapters that VMs use, with the time of the last use, by `model/adapter`.
using AdapterUses = std::map<std::string, Time>;

/// One adapter that was used lately.
struct AdapterDemand {
    std::string name; ///< Without its model.
    Time lastUsedAt { 0 };
    uint32_t copies = 0; ///< Workers that hold it.
};

/// The same by model. @param workers all of the service.
std::map<std::string, std::vector<AdapterDemand>> collectAdapterDemand(const std::vector<const WorkerInventory*>& workers, const AdapterUses& uses);

/// Decides which adapter to load ahead of need: one that was used lately and lies on fewer than `prefetchTargetCopies` workers,
/// to a worker with its model and a free place. Fewer copies and later use go first. Its copy is counted in `demand`.
std::optional<Order> planPrefetchOrder(const routing::EngineSpec& engine, const WorkerInventory& worker, std::map<std::string, std::vector<AdapterDemand>>& demand);

/// Megabytes of a worker's memory that models may fill: all but what its adapters can take.
double modelMemoryMegabytes(const routing::EngineSpec& engine);

/// Bounds loads from the weight store to its rate.
class StoreRateLimiter {
public:
    /// Loads that may begin at `now`.
    double availableLoads(double perSecond, Time now);
    void recordLoad() { this->tokens -= 1; }

private:
    double tokens = 1; ///< A new holder can not know which loads the one before began.
    Time filledAt { 0 };
};

/// Moving average of the work that models take.
class WorkAverage {
public:
    /// Adds work that was sent at `now`. @param seconds worker time.
    void add(const std::string& model, double seconds, Time now);
    /// Worker seconds a second of each model.
    std::map<std::string, double> rates(Time now) const;

private:
    struct Sum {
        double seconds = 0;
        Time at { 0 };
    };
    std::map<std::string, Sum> sums;
};

} // namespace comfreypier::placement
