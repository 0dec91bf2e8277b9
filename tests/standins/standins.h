/// Stand-ins for the platform, the model engines and plain services, for tests and benchmarks.
///
/// Every fault is switched by `POST /fault?name=value` on the stand-in's own port.
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

/// Values of the faults that a stand-in knows, by name. Unknown names are refused.
class Faults {
public:
    explicit Faults(std::map<std::string, double> defaults);
    double get(const std::string& name) const;
    bool on(const std::string& name) const { return this->get(name) != 0; }
    /// Draws whether a fault of probability `name` strikes.
    bool strikes(const std::string& name);
    /// Answers `POST /fault` and `GET /fault`. Returns false for other requests.
    bool serve(const HttpRequest& request, ResponseWriter& writer);

private:
    mutable std::mutex mutex;
    std::map<std::string, double> values;
    std::mt19937 generator { 1 };
};

/// Append-only log with offsets.
class LogStandin {
public:
    void serve(const HttpRequest& request, ResponseWriter& writer);

private:
    struct Stream {
        uint64_t first = 0;
        std::deque<std::string> records;
        uint64_t end() const { return this->first + this->records.size(); }
    };
    void append(const std::string& stream, const HttpRequest& request, ResponseWriter& writer);
    void read(const std::string& stream, const HttpRequest& request, ResponseWriter& writer);
    bool takeAppend();

    Faults faults { { { "outage", 0 }, { "hang", 0 }, { "slow_ms", 0 }, { "lose_answers", 0 }, { "retention", 0 }, { "appends_per_second", 500 } } };
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    std::map<std::string, Stream> streams;
    uint64_t appendCount = 0;
    std::chrono::nanoseconds windowStart { 0 };
    uint64_t windowAppends = 0;
};

/// List of live and leaving VMs that lags.
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
        std::string state = "live";
    };
    std::string render() const;

    Faults faults { { { "lag_ms", 0 }, { "outage", 0 } } };
    std::mutex mutex;
    std::map<std::string, Entry> vms;
    std::deque<std::pair<std::chrono::nanoseconds, std::string>> versions;
};

/// Rate-limited store of weights, shared by all engines.
class WeightStore {
public:
    /// @param loadTime time of one model load at full speed.
    /// @param atOnce loads that run at full speed together.
    WeightStore(std::chrono::milliseconds loadTime, unsigned atOnce, unsigned adaptersAtOnce);
    /// Waits as long as loading `bytes` takes now.
    void load(uint64_t bytes);

private:
    std::chrono::milliseconds loadTime;
    unsigned atOnce;
    unsigned adaptersAtOnce;
    std::atomic<unsigned> models { 0 };
    std::atomic<unsigned> adapters { 0 };
};

/// Properties of one engine.
struct EngineConfig {
    std::string name;
    Endpoint endpoint;
    std::string dataCentre;
    uint64_t capacity = 0;
    uint32_t slots = 8;
    bool fencing = true;
    std::chrono::microseconds prefill { 20000 };
    std::chrono::microseconds tokenGap { 5000 };
};

/// Model engine with a streaming OpenAI-compatible interface.
class EngineStandin {
public:
    EngineStandin(EngineConfig config, WeightStore& store);
    void serve(const HttpRequest& request, ResponseWriter& writer);
    const EngineConfig& settings() const { return this->config; }

private:
    struct Item {
        uint64_t bytes = 0;
        bool loaded = false;
        uint32_t running = 0;
    };
    struct Stream;

    void serveOrder(const HttpRequest& request, ResponseWriter& writer);
    void applyOrder(const protocol::EngineOrder& order);
    void load(const protocol::EngineOrder& order, uint64_t incarnationThen);
    void unload(const std::string& item, uint64_t incarnationThen);
    void serveReport(ResponseWriter& writer);
    void serveCompletion(const HttpRequest& request, ResponseWriter& writer);
    void runStream(const Stream& stream, ResponseWriter& writer);
    bool waitForSlot(int priority, uint64_t incarnationThen, ResponseWriter& writer);
    void crash();
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
    std::deque<std::pair<std::chrono::nanoseconds, std::string>> reports;
    uint64_t incarnation = 1;
    uint64_t newestFence = 0;
    uint64_t overcommits = 0;
    uint64_t staleOrders = 0;
    uint64_t crashes = 0;
    uint64_t completions = 0;
    uint32_t running = 0;
    std::multiset<int> waiting;
    std::chrono::nanoseconds downUntil { 0 };
    std::chrono::nanoseconds silentBefore { 0 };
};

/// Plain service that counts how often each order ran.
class PlainStandin {
public:
    void serve(const HttpRequest& request, ResponseWriter& writer);

private:
    Faults faults { { { "delay_ms", 0 }, { "close_after_run", 0 }, { "silent_after_run", 0 }, { "refuse", 0 } } };
    std::mutex mutex;
    std::map<std::string, uint64_t> runs;
};

/// Text of token `index` (from 1) of the answer to a request with this content.
std::string tokenText(uint64_t contentHash, uint64_t index);

/// Sends a JSON or text body.
void sendBody(ResponseWriter& writer, unsigned status, const std::string& body);

} // namespace comfreypier::standins
