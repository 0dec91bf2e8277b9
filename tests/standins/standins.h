/// Stand-ins (fakes) for the platform, the model engines and plain services, for tests and benchmarks.
///
/// Faults are set with `POST /fault?name=value` on the stand-in's own port.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>
#include <map>
#include <protocol/protocol.h>
#include <random>
#include <set>

namespace comfreypier::standins {

using transport::Endpoint;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::ResponseWriter;

/// Named fault values of a stand-in. A fault is enabled if its value is not 0.
class Faults {
public:
    /// @param defaults all names, with their values at first.
    explicit Faults(std::map<std::string, double> defaults);
    /// Returns the value of a fault. Throws std::out_of_range if the name is unknown.
    double get(const std::string& name) const;
    bool isEnabled(const std::string& name) const { return this->get(name) != 0; }
    /// Draws at random whether the fault occurs, with its value as the probability.
    bool occurs(const std::string& name);
    /// Serves `/fault`: sets the faults named in the query and responds with the values of all. Unknown names are ignored.
    /// @return false for other paths, which it leaves to the caller.
    bool serve(const HttpRequest& request, ResponseWriter& writer);

private:
    mutable std::mutex mutex; ///< Guards the members below.
    std::map<std::string, double> values;
    std::mt19937 generator { 1 }; ///< A fixed seed, so that each process draws the same sequence.
};

/// Append-only log service: streams of records with offsets, limited retention and a limit on appends per second.
///
/// - `POST /streams/NAME` appends the body as a record and responds with its offset.
/// - `GET /streams/NAME?from=OFFSET&wait_ms=MS` waits up to MS for a record at or after the offset and responds with a
///   `protocol::LogPage`.
/// - `GET /stats` responds with the number of appends.
///
/// Faults:
/// - `outage`: responds to calls for streams with 503.
/// - `hang`: responds to no call for streams and closes the connection after 30 s.
/// - `slow_ms`: delay before each call is processed.
/// - `lose_answers`: probability that an append takes effect but the connection is closed without a response.
/// - `retention`: maximum number of records per stream, beyond which appends remove the oldest; 0 for no limit.
/// - `appends_per_second`: further appends in the same second are refused with 429.
class LogStandin {
public:
    void serve(const HttpRequest& request, ResponseWriter& writer);

private:
    struct Stream {
        uint64_t firstOffset = 0; ///< Offset of the oldest retained record.
        std::deque<std::string> records;
        /// Returns the offset of the next record.
        uint64_t endOffset() const { return this->firstOffset + this->records.size(); }
    };
    void append(const std::string& streamName, const HttpRequest& request, ResponseWriter& writer);
    void read(const std::string& streamName, const HttpRequest& request, ResponseWriter& writer);
    /// Counts an append and returns whether it is within `appends_per_second`. The caller must hold `mutex`.
    bool allowAppend();

    Faults faults { { { "outage", 0 }, { "hang", 0 }, { "slow_ms", 0 }, { "lose_answers", 0 }, { "retention", 0 }, { "appends_per_second", 500 } } };
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable appended; ///< Notified after each append; wakes reads that wait for records.
    std::map<std::string, Stream> streams; ///< By name.
    uint64_t appendCount = 0; ///< Appends that took effect.
    std::chrono::nanoseconds rateWindowStart { 0 }; ///< Start of the second for which appends are counted.
    uint64_t rateWindowAppends = 0; ///< Appends in that second, refused ones included.
};

/// List of the VMs and their states. `POST ?name=NAME&state=STATE` changes the state of a VM, `GET` responds with the list.
///
/// Faults:
/// - `lag_ms`: reads return the list as it was that long ago.
/// - `outage`: responds with 503.
class VmListStandin {
public:
    /// Adds a VM in the state `live`.
    /// @param role `entry` (a daemon) or `worker` (an engine).
    /// @param capacity memory of a worker, in bytes; 0 for other roles.
    void add(const std::string& name, const std::string& role, const Endpoint& endpoint, const std::string& dataCentre, uint64_t capacity);
    void serve(const HttpRequest& request, ResponseWriter& writer);

private:
    struct Entry {
        std::string role;
        Endpoint endpoint;
        std::string dataCentre;
        uint64_t capacity = 0;
        std::string state = "live"; ///< Published state; VMs in the state `gone` are not listed.
    };
    /// Returns the list as JSON. The caller must hold `mutex`.
    std::string render() const;

    Faults faults { { { "lag_ms", 0 }, { "outage", 0 } } };
    std::mutex mutex;
    std::map<std::string, Entry> vms; ///< By name.
    /// Rendered lists and the times of the changes that led to them, the oldest first. Reads remove those that are outdated even
    /// with the lag.
    std::deque<std::pair<std::chrono::nanoseconds, std::string>> versions;
};

/// Store of model weights, shared by all engines. Concurrent loads beyond a limit slow each other down. It holds no data: a load
/// just takes time, whose length depends on whether it is of a model or an adapter and not on the size.
class WeightStore {
public:
    /// @param loadTime time to load a model at full speed.
    /// @param fullSpeedModelLoads number of concurrent model loads that run at full speed.
    /// @param fullSpeedAdapterLoads the same limit for loads of adapters.
    WeightStore(std::chrono::milliseconds loadTime, unsigned fullSpeedModelLoads, unsigned fullSpeedAdapterLoads);
    /// Blocks the fiber for the time that a load of `bytes` takes under the current load.
    void load(uint64_t bytes);

private:
    std::chrono::milliseconds loadTime;
    unsigned fullSpeedModelLoads;
    unsigned fullSpeedAdapterLoads;
    std::atomic<unsigned> activeModelLoads { 0 }; ///< Loads in progress.
    std::atomic<unsigned> activeAdapterLoads { 0 };
};

/// Configuration of one engine.
struct EngineConfig {
    std::string name; ///< Name in the VM list.
    Endpoint endpoint;
    std::string dataCentre;
    uint64_t capacity = 0; ///< Memory for models and adapters, in bytes.
    uint32_t slots = 8; ///< Requests that run concurrently.
    bool fencing = true; ///< Rejects orders with an outdated fence.
    std::chrono::microseconds prefillTime { 20000 }; ///< Time to the first token; a quarter of it for a resumed stream.
    std::chrono::microseconds tokenGap { 5000 }; ///< Time between tokens.
};

/// Model engine with a streaming OpenAI-compatible interface, `/orders` to load and unload items, `/report` and `/stats`.
///
/// Faults:
/// - `report_lag_ms`: reports show the state of that long ago.
/// - `lose_orders`: probability that an order has no effect and its connection is closed without a response.
/// - `lose_order_answers`: probability that an order takes effect but its connection is closed without a response.
/// - `order_delay_ms`: orders take effect after this time and without a check of their fence; the connection is closed at once.
/// - `crash`: the engine crashes, at once and again at each `/fault` call until the fault is set to 0.
/// - `restart_ms`: time after a crash in which all calls except `/fault` and `/stats` are closed without a response.
/// - `silence`: a `/fault` call that names it stops the tokens of all streams that are open at that time.
/// - `cross`: responses carry the id of another request.
/// - `slow_factor`: factor for the time between tokens.
/// - `fencing`: 0 disables the check of fences, like `EngineConfig::fencing`.
class EngineStandin {
public:
    EngineStandin(EngineConfig config, WeightStore& store);
    void serve(const HttpRequest& request, ResponseWriter& writer);
    const EngineConfig& settings() const { return this->config; }

private:
    /// A model or an adapter in the engine's memory.
    struct Item {
        uint64_t bytes = 0;
        bool loaded = false;
        uint32_t runningRequests = 0;
    };
    struct Stream;

    /// Checks the fence of an order and applies it, unless a fault loses or delays it.
    void serveOrder(const HttpRequest& request, ResponseWriter& writer);
    /// Starts to load or unload an item and returns at once. A load beyond the capacity has no effect and counts as an overcommit.
    void applyOrder(const protocol::EngineOrder& order);
    /// Loads the order's item, which `items` contains already. Blocks the fiber.
    /// @param expectedIncarnation `incarnation` when the order arrived. After a crash the load has no effect.
    void load(const protocol::EngineOrder& order, uint64_t expectedIncarnation);
    /// Removes an item once it is loaded and no request uses it. Blocks the fiber. The incarnation is as for `load`.
    void unload(const std::string& item, uint64_t expectedIncarnation);
    void serveReport(ResponseWriter& writer);
    void serveCompletion(const HttpRequest& request, ResponseWriter& writer);
    /// Generates and sends the tokens of a completion that has a slot. Closes the connection if the engine crashes meanwhile.
    void runStream(const Stream& stream, ResponseWriter& writer);
    /// Waits until a slot is free and no waiting request has a higher priority, and occupies the slot. Higher numbers are higher
    /// priorities.
    /// @return false without a slot, if the caller disconnected or the engine crashed.
    bool waitForSlot(int priority, uint64_t expectedIncarnation, ResponseWriter& writer);
    /// Loses the loaded items, the highest fence and all requests, as a crash of the process would, and begins a restart.
    void crash();
    /// Returns whether the engine is restarting after a crash.
    bool isDown();
    /// Returns the engine's current state as JSON, for `/report`. The caller must hold `mutex`.
    std::string makeReport();
    /// Returns the counters for `/stats`, as lines `NAME=VALUE`.
    std::string makeStats() const;

    EngineConfig config;
    WeightStore& store;
    Faults faults { { { "report_lag_ms", 0 }, { "lose_orders", 0 }, { "lose_order_answers", 0 }, { "order_delay_ms", 0 }, { "crash", 0 },
        { "restart_ms", 1000 }, { "silence", 0 }, { "cross", 0 }, { "slow_factor", 1 }, { "fencing", 1 } } };
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable slotFreed; ///< Notified when a request ends and by a crash.
    std::map<std::string, Item> items; ///< By name.
    std::vector<uint64_t> arrivedCopies; ///< `EngineOrder::copy` of each load order that arrived since the last crash.
    std::deque<std::pair<std::chrono::nanoseconds, std::string>> reportHistory; ///< Reports and their times, for `report_lag_ms`.
    uint64_t incarnation = 1; ///< Incremented by each crash, which fibers that were started before it detect by this number.
    uint64_t highestFence = 0; ///< Highest fence of an order since the last crash. Orders with a lower one are outdated.
    uint64_t overcommits = 0; ///< Load orders that exceeded the capacity.
    uint64_t staleOrders = 0; ///< Orders that were rejected for an outdated fence.
    uint64_t crashes = 0;
    uint64_t completions = 0; ///< Completions whose model was loaded.
    uint32_t runningRequests = 0; ///< Occupied slots.
    std::multiset<int> waitingPriorities; ///< Priorities of the requests that wait for a slot.
    std::chrono::nanoseconds downUntil { 0 }; ///< End of the restart after a crash.
    std::chrono::nanoseconds silentIfStartedBefore { 0 }; ///< Streams that started earlier send no more tokens.
};

/// Plain service that counts how many times it ran each order, identified by the request body. `/counts` returns the
/// counts.
///
/// Faults:
/// - `delay_ms`: delay between the run and the response.
/// - `close_after_run`: runs the order and closes the connection without a response.
/// - `silent_after_run`: runs the order and responds after another 60 s.
/// - `refuse`: closes the connection without running the order.
class PlainStandin {
public:
    void serve(const HttpRequest& request, ResponseWriter& writer);

private:
    Faults faults { { { "delay_ms", 0 }, { "close_after_run", 0 }, { "silent_after_run", 0 }, { "refuse", 0 } } };
    std::mutex mutex;
    std::map<std::string, uint64_t> runsByOrder; ///< By request body.
};

/// Returns the text of token `index` (from 1) of the response to a request with this content. It depends on nothing else, so that
/// another engine can resume the stream, and tokens of another request or position almost always differ.
std::string tokenText(uint64_t contentHash, uint64_t index);

/// Sends a response with this body as application/json.
void sendBody(ResponseWriter& writer, unsigned status, const std::string& body);

} // namespace comfreypier::standins
