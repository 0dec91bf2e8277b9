/// Load tool: open-loop arrivals, latency counted from the intended send time, every token checked.
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
    std::string mode;
    std::string model;
    std::string item; ///< Set when the target is an engine.
    double rate = 100;
    int count = 1000;
    int tokens = 8;
    std::string prefix;
};

/// Results of all requests.
struct Results {
    std::mutex mutex;
    std::vector<Time> firstTokens;
    std::atomic<int> whole { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> broken { 0 };
    std::atomic<uint64_t> tokens { 0 };
    std::atomic<int> open { 0 };
};

transport::CallLimits limits()
{
    transport::CallLimits value;
    value.response = std::chrono::seconds { 30 };
    value.maxBodyBytes = UINT64_MAX;
    return value;
}

transport::HttpRequest completion(const Options& options, int number)
{
    auto body = R"({"model":")" + options.model + R"(","prompt":"request )" + std::to_string(number) + R"(","stream":true,"max_tokens":)" + std::to_string(options.tokens) + "}";
    transport::HttpRequest request { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, body };
    if (!options.item.empty()) {
        request.headers.push_back({ "X-Item", options.item });
        request.headers.push_back({ "X-Request-Id", "direct-" + std::to_string(number) });
    }
    return request;
}

void runStream(transport::HttpClient& client, const Options& options, Results& results, int number, Time intended)
{
    const auto& target = options.targets[static_cast<size_t>(number) % options.targets.size()];
    results.open++;
    auto opened = client.open(target, completion(options, number), limits());
    if (!opened || opened.value()->status() != 200) {
        opened ? results.refused++ : results.broken++;
        results.open--;
        return;
    }
    protocol::SseParser parser;
    protocol::SseEvent event;
    uint64_t seen = 0;
    bool done = false;
    bool ordered = true;
    while (!done) {
        auto piece = opened.value()->read(std::chrono::seconds { 60 });
        if (!piece || piece.value().empty() || !protocol::feedSse(parser, piece.value()))
            break;
        while (protocol::nextSseEvent(parser, event)) {
            if (event.data == "[DONE]") {
                done = true;
                continue;
            }
            ordered = ordered && event.id == ++seen;
            if (seen == 1) {
                std::lock_guard lock(results.mutex);
                results.firstTokens.push_back(monotonicNow() - intended);
            }
        }
    }
    bool whole = done && ordered && seen == static_cast<uint64_t>(options.tokens);
    whole ? results.whole++ : results.broken++;
    results.tokens += seen;
    results.open--;
}

void runOrder(transport::HttpClient& client, const Options& options, Results& results, int number, Time intended)
{
    const auto& target = options.targets[static_cast<size_t>(number) % options.targets.size()];
    auto key = options.prefix + std::to_string(number);
    auto response = client.call(target, { "POST", "/services/kiln/orders", { { "Idempotency-Key", key } }, key }, limits());
    if (response && response.value().status == 200) {
        results.whole++;
        std::lock_guard lock(results.mutex);
        results.firstTokens.push_back(monotonicNow() - intended);
    } else if (response)
        results.refused++;
    else
        results.broken++;
}

double milliseconds(Time time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void print(const Options& options, Results& results, Time took)
{
    auto& times = results.firstTokens;
    std::sort(times.begin(), times.end());
    auto quantile = [&](double q) { return times.empty() ? 0.0 : milliseconds(times[static_cast<size_t>(q * static_cast<double>(times.size() - 1))]); };
    std::cout << options.prefix << "p50=" << quantile(0.5) << " ms\n"
              << options.prefix << "p99=" << quantile(0.99) << " ms\n"
              << options.prefix << "whole=" << results.whole << " requests\n"
              << options.prefix << "refused=" << results.refused << " requests\n"
              << options.prefix << "broken=" << results.broken << " requests\n"
              << options.prefix << "tokens=" << results.tokens << " tokens\n"
              << options.prefix << "took=" << std::chrono::duration<double>(took).count() << " s\n";
}

int run(const Options& options)
{
    transport::Runtime runtime(2);
    transport::HttpClient client;
    Results results;
    std::mt19937 generator(1);
    std::exponential_distribution<> gaps(options.rate);
    auto start = monotonicNow();
    auto intended = start;
    for (int number = 0; number < options.count; number++) {
        intended += std::chrono::duration_cast<Time>(std::chrono::duration<double>(gaps(generator)));
        auto wait = intended - monotonicNow();
        if (wait > Time { 0 })
            std::this_thread::sleep_for(wait);
        runtime.spawn([&, number, intended] {
            options.mode == "orders" ? runOrder(client, options, results, number, intended) : runStream(client, options, results, number, intended);
        });
    }
    while (runtime.liveFibers() > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds { 2 });
    print(options, results, monotonicNow() - start);
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
    description.add_options()("model", po::value(&options.model)->default_value("m"), "model")("item", po::value(&options.item), "item key, for an engine asked directly");
    description.add_options()("rate", po::value(&options.rate), "requests a second")("count", po::value(&options.count), "requests")("tokens", po::value(&options.tokens), "tokens of each stream");
    description.add_options()("prefix", po::value(&options.prefix), "prefix of the printed names and of keys");
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
