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
    mutable std::mutex mutex;
    std::map<std::string, double> values;
    std::mt19937 generator { 1 };
};

/// Append-only log service: streams of records with offsets, limited retention and a limit on appends per second.
///
/// Faults:
/// - `outage`: responds with 503.
/// - `hang`: responds to no call and closes the connection after 30 s.
/// - `slow_ms`: delay before each call is processed.
/// - `lose_answers`: probability that an append takes effect but the connection is closed without a response.
/// - `retention`: maximum number of records per stream, beyond which appends remove the oldest; 0 for no limit.
/// - `appends_per_second`: further appends in the same second are refused with 429.
class LogStandin {
public:
    void serve(const HttpRequest& request, ResponseWriter& writer);

private:
    struct Stream {
        uint64_t firstOffset = 0;
        std::deque<std::string> records;
        uint64_t endOffset() const { return this->firstOffset + this->records.size(); }
    };
    void append(const std::string& streamName, const HttpRequest& request, ResponseWriter& writer);
    void read(const std::string& streamName, const HttpRequest& request, ResponseWriter& writer);
    bool allowAppend();

    Faults faults { { { "outage", 0 }, { "hang", 0 }, { "slow_ms", 0 }, { "lose_answers", 0 }, { "retention", 0 }, { "appends_per_second", 500 } } };
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable appended;
    std::map<std::string, Stream> streams;
    uint64_t appendCount = 0;
    std::chrono::nanoseconds rateWindowStart { 0 };
    uint64_t rateWindowAppends = 0;
};

/// List of the VMs and their states.
///
/// Faults:
/// - `lag_ms`: reads return the list as it was that long ago.
/// - `outage`: responds with 503.
class VmListStandin {
public:
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
    std::map<std::string, Entry> vms;
    std::deque<std::pair<std::chrono::nanoseconds, std::string>> versions; ///< Rendered lists and their times.
};

/// Store of model weights, shared by all engines. Concurrent loads beyond a limit slow each other down.
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
    std::atomic<unsigned> activeModelLoads { 0 };
    std::atomic<unsigned> activeAdapterLoads { 0 };
};

/// Configuration of one engine.
struct EngineConfig {
    std::string name;
    Endpoint endpoint;
    std::string dataCentre;
    uint64_t capacity = 0; ///< Memory for models and adapters, in bytes.
    uint32_t slots = 8; ///< Requests that run concurrently.
    bool fencing = true; ///< Rejects orders with an outdated fence.
    std::chrono::microseconds prefillTime { 20000 }; ///< Time to the first token.
    std::chrono::microseconds tokenGap { 5000 }; ///< Time between tokens.
};

/// Model engine with a streaming OpenAI-compatible interface.
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

    void serveOrder(const HttpRequest& request, ResponseWriter& writer);
    void applyOrder(const protocol::EngineOrder& order);
    void load(const protocol::EngineOrder& order, uint64_t expectedIncarnation);
    void unload(const std::string& item, uint64_t expectedIncarnation);
    void serveReport(ResponseWriter& writer);
    void serveCompletion(const HttpRequest& request, ResponseWriter& writer);
    void runStream(const Stream& stream, ResponseWriter& writer);
    /// Waits until a slot is free and no waiting request has a higher priority, and occupies the slot.
    /// @return false without a slot, if the caller disconnected or the engine crashed.
    bool waitForSlot(int priority, uint64_t expectedIncarnation, ResponseWriter& writer);
    /// Loses the loaded items, the highest fence and all requests, as a crash of the process would, and begins a restart.
    void crash();
    /// Returns whether the engine is restarting after a crash.
    bool isDown();
    std::string makeReport();
    std::string makeStats() const;

    EngineConfig config;
    WeightStore& store;
    Faults faults { { { "report_lag_ms", 0 }, { "lose_orders", 0 }, { "lose_order_answers", 0 }, { "order_delay_ms", 0 }, { "crash", 0 },
        { "restart_ms", 1000 }, { "silence", 0 }, { "cross", 0 }, { "slow_factor", 1 }, { "fencing", 1 } } };
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable slotFreed;
    std::map<std::string, Item> items;
    std::vector<uint64_t> arrivedCopies;
    std::deque<std::pair<std::chrono::nanoseconds, std::string>> reportHistory; ///< Reports and their times, for `report_lag_ms`.
    uint64_t incarnation = 1; ///< Incremented by each crash, which fibers that were started before it detect by this number.
    uint64_t highestFence = 0;
    uint64_t overcommits = 0; ///< Load orders that exceeded the capacity.
    uint64_t staleOrders = 0; ///< Orders that were rejected for an outdated fence.
    uint64_t crashes = 0;
    uint64_t completions = 0;
    uint32_t runningRequests = 0;
    std::multiset<int> waitingPriorities; ///< Priorities of the requests that wait for a slot.
    std::chrono::nanoseconds downUntil { 0 }; ///< End of the restart after a crash.
    std::chrono::nanoseconds silentIfStartedBefore { 0 }; ///< Streams that started earlier send no more tokens.
};

/// Plain service that counts how many times it ran each order, identified by the request body.
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
    std::map<std::string, uint64_t> runsByOrder;
};

/// Returns the text of token `index` (from 1) of the response to a request with this content. It depends on nothing else, so that
/// another engine can resume the stream, and tokens of another request or position almost always differ.
std::string tokenText(uint64_t contentHash, uint64_t index);

/// Sends a response with this body as application/json.
void sendBody(ResponseWriter& writer, unsigned status, const std::string& body);

} // namespace comfreypier::standins
