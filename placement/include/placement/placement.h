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
constexpr double copyWorkLimit = 0.22;
/// A further copy must leave the receiving worker below this share of the busiest worker's work.
constexpr double reliefShare = 0.85;
/// A copy is only dropped for another if its model's work a copy stays below this share of the other's.
constexpr double evictShare = 0.5;
/// Loads from the weight store that run at once; more would share its bandwidth.
constexpr uint32_t storeLoadsAtOnce = 2;
/// Share of the weight store's rate that is used.
constexpr double storeRateUse = 0.95;
/// Loads from the weight store that may begin at once after a pause.
constexpr double storeLoadBurst = 3;

// ---------------------------------------------------------------- inputs

/// What the holder knows of one worker.
struct HeldWorker {
    std::string id;
    bool usable = true; ///< Neither leaving nor unreachable, and no model order is in progress.
    bool alive = true; ///< Not leaving.
    std::set<std::string> models; ///< Resident or being loaded.
    std::set<std::string> unloading; ///< Models on their way out; they still take room.
    std::set<std::string> cached; ///< Models on its disk or in its host memory.
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
    bool operator==(const Order&) const = default;
};

/// Inputs of one planning round.
struct ModelInputs {
    const routing::EngineSpec* engine = nullptr;
    std::vector<HeldWorker> workers;
    std::map<std::string, double> work; ///< By model: worker time that its requests take, in seconds a second.
    uint32_t storeLoadsRunning = 0;
    double storeLoadsAllowed = 0; ///< Loads that may begin now.
};

/// Decides the next model order, if any. A missing model goes before relief of a busy one.
std::optional<Order> planModel(const ModelInputs& inputs);

/// Decides what makes an adapter resident on a worker: its load, or first an unload of the one that was used longest ago.
/// @param minimumIdle time since the last use below which an adapter is not dropped.
/// @return nothing if the adapter is resident, the model is not, or all others are in use.
std::optional<Order> planAdapter(const routing::EngineSpec& engine, const HeldWorker& worker, const std::string& model, const std::string& adapter, Time now, Time minimumIdle);

/// Megabytes of a worker's memory that models may fill: all but what its adapters can take.
double modelRoom(const routing::EngineSpec& engine);

/// Bounds loads from the weight store to its rate.
class StoreRate {
public:
    /// Loads that may begin at `now`.
    double allowed(double perSecond, Time now);
    void noteLoad() { this->tokens -= 1; }

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
