/// Load generator with open-loop Poisson arrivals. Latency is counted from the scheduled send time, so that a slow target can't
/// hide queueing delay. The order and count of tokens are checked in every stream.
#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <protocol/protocol.h>
#include <random>
#include <thread>

using namespace comfreypier;
using transport::monotonicNow;

namespace {

using Time = std::chrono::nanoseconds;

struct Options {
    std::vector<transport::Endpoint> targets;
    std::string mode; ///< `stream` for completions; `orders` for calls to a plain service with an idempotency key.
    std::string model; ///< Name of the model of the completions.
    std::string item; ///< Item key. Set if the targets are engines instead of daemons.
    double rate = 100; ///< Mean number of requests per second.
    int count = 1000; ///< Number of requests.
    int tokens = 8; ///< Tokens per stream.
    std::string prefix; ///< Prefix of the printed names and of the idempotency keys.
};

/// Results of all requests. The counters are printed under their own names.
struct Results {
    std::mutex mutex;
    /// Times from the scheduled send time to the first token of a stream, or to the complete response of an order. Guarded by
    /// `mutex`.
    std::vector<Time> latencies;
    std::atomic<int> whole { 0 }; ///< Complete responses: all tokens in order, or status 200.
    std::atomic<int> refused { 0 }; ///< Responses with an error status.
    std::atomic<int> broken { 0 }; ///< No response, or an incomplete stream.
    std::atomic<uint64_t> tokens { 0 }; ///< Tokens received by all streams.
    std::atomic<int> openStreams { 0 }; ///< Streams that have started and not ended. Not printed.
};

transport::CallLimits makeCallLimits()
{
    transport::CallLimits callLimits;
    callLimits.response = std::chrono::seconds { 30 };
    callLimits.maxBodyBytes = UINT64_MAX;
    return callLimits;
}

transport::HttpRequest makeCompletionRequest(const Options& options, int index)
{
    auto body = R"({"model":")" + options.model + R"(","prompt":"request )" + std::to_string(index) + R"(","stream":true,"max_tokens":)" + std::to_string(options.tokens) + "}";
    transport::HttpRequest request { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, body };
    // Headers that a daemon would add.
    if (!options.item.empty()) {
        request.headers.push_back({ "X-Item", options.item });
        request.headers.push_back({ "X-Request-Id", "direct-" + std::to_string(index) });
    }
    return request;
}

/// Runs one completion and checks that its stream has all tokens in order.
void runStream(transport::HttpClient& client, const Options& options, Results& results, int index, Time scheduledAt)
{
    const auto& target = options.targets[static_cast<size_t>(index) % options.targets.size()];
    results.openStreams++;
    auto opened = client.open(target, makeCompletionRequest(options, index), makeCallLimits());
    if (!opened || opened.value()->status() != 200) {
        opened ? results.refused++ : results.broken++;
        results.openStreams--;
        return;
    }
    protocol::SseParser parser;
    protocol::SseEvent event;
    uint64_t tokenCount = 0;
    bool done = false;
    bool inOrder = true;
    while (!done) {
        auto bytes = opened.value()->read(std::chrono::seconds { 60 });
        if (!bytes || bytes.value().empty() || !protocol::feedSse(parser, bytes.value()))
            break;
        while (protocol::nextSseEvent(parser, event)) {
            if (event.data == "[DONE]") {
                done = true;
                continue;
            }
            inOrder = inOrder && event.id == ++tokenCount;
            if (tokenCount == 1) {
                std::lock_guard lock(results.mutex);
                results.latencies.push_back(monotonicNow() - scheduledAt);
            }
        }
    }
    bool whole = done && inOrder && tokenCount == static_cast<uint64_t>(options.tokens);
    whole ? results.whole++ : results.broken++;
    results.tokens += tokenCount;
    results.openStreams--;
}

/// Sends one order to the plain service `kiln`. Each order has its own idempotency key.
void runOrder(transport::HttpClient& client, const Options& options, Results& results, int index, Time scheduledAt)
{
    const auto& target = options.targets[static_cast<size_t>(index) % options.targets.size()];
    auto key = options.prefix + std::to_string(index);
    auto response = client.call(target, { "POST", "/services/kiln/orders", { { "Idempotency-Key", key } }, key }, makeCallLimits());
    if (response && response.value().status == 200) {
        results.whole++;
        std::lock_guard lock(results.mutex);
        results.latencies.push_back(monotonicNow() - scheduledAt);
    } else if (response)
        results.refused++;
    else
        results.broken++;
}

double milliseconds(Time time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void printResults(const Options& options, Results& results, Time elapsed)
{
    auto& times = results.latencies;
    std::sort(times.begin(), times.end());
    auto quantile = [&](double q) { return times.empty() ? 0.0 : milliseconds(times[static_cast<size_t>(q * static_cast<double>(times.size() - 1))]); };
    std::cout << options.prefix << "p50=" << quantile(0.5) << " ms\n"
              << options.prefix << "p99=" << quantile(0.99) << " ms\n"
              << options.prefix << "whole=" << results.whole << " requests\n"
              << options.prefix << "refused=" << results.refused << " requests\n"
              << options.prefix << "broken=" << results.broken << " requests\n"
              << options.prefix << "tokens=" << results.tokens << " tokens\n"
              << options.prefix << "took=" << std::chrono::duration<double>(elapsed).count() << " s\n";
}

/// Starts the requests at random times of the given mean rate, whether or not earlier ones have ended, and waits for all. The
/// times are the same in each run, because the generator has a fixed seed. Ends the process, with status 1 if a request broke.
int run(const Options& options)
{
    transport::Runtime runtime(2);
    transport::HttpClient client;
    Results results;
    std::mt19937 generator(1);
    std::exponential_distribution<> arrivalGaps(options.rate);
    auto start = monotonicNow();
    auto scheduledAt = start;
    for (int index = 0; index < options.count; index++) {
        scheduledAt += std::chrono::duration_cast<Time>(std::chrono::duration<double>(arrivalGaps(generator)));
        auto timeToSend = scheduledAt - monotonicNow();
        if (timeToSend > Time { 0 })
            std::this_thread::sleep_for(timeToSend);
        runtime.spawn([&, index, scheduledAt] {
            options.mode == "orders" ? runOrder(client, options, results, index, scheduledAt) : runStream(client, options, results, index, scheduledAt);
        });
    }
    while (runtime.liveFibers() > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds { 2 });
    printResults(options, results, monotonicNow() - start);
    std::cout.flush();
    std::_Exit(results.broken > 0 ? 1 : 0);
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    Options options;
    std::vector<std::string> targets;
    po::options_description description("options");
    description.add_options()("target", po::value(&targets)->composing()->required(), "IP:port")("mode", po::value(&options.mode)->default_value("stream"), "stream or orders");
    description.add_options()("model", po::value(&options.model)->default_value("m"), "model")("item", po::value(&options.item), "item key, if the target is an engine");
    description.add_options()("rate", po::value(&options.rate), "requests per second")("count", po::value(&options.count), "requests")("tokens", po::value(&options.tokens), "tokens per stream");
    description.add_options()("prefix", po::value(&options.prefix), "prefix of printed names and idempotency keys");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\n"
                  << description;
        return 2;
    }
    for (const auto& target : targets)
        options.targets.push_back(transport::parseEndpoint(target).value());
    transport::blockTerminationSignals();
    transport::raiseDescriptorLimit();
    return run(options);
}
