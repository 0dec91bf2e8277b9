/// Microbenchmarks of what the VMs tell each other: processor time and bytes of one heartbeat or summary, by what it carries, and of what a
/// VM does with it.
#include "fleet.h"

#include <iostream>

using namespace comfreypier;
using namespace comfreypier::edge;

namespace {

/// Size of an installation.
struct Size {
    size_t vms;
    size_t workers;
    size_t dataCentres;
};

/// Number of workers on which one VM has requests at a time.
constexpr size_t busyWorkersPerVm = 5;
/// Number of other VMs whose heartbeats of one interval are applied in turn.
constexpr size_t maxSenders = 100;

void print(const std::string& name, double value, const char* unit)
{
    std::cout << name << "=" << value << " " << unit << "\n";
}

/// Returns the mean time of one call of `operation`, in microseconds.
template <class Operation>
double meanMicroseconds(size_t iterations, Operation&& operation)
{
    auto start = monotonicNow();
    for (size_t i = 0; i < iterations; i++)
        operation(i);
    return std::chrono::duration<double, std::micro>(monotonicNow() - start).count() / static_cast<double>(iterations);
}

std::string workerId(size_t number)
{
    return "worker-" + std::to_string(number);
}

void addWorkers(Fleet& fleet, const Size& size)
{
    routing::Configuration configuration;
    configuration.version = 1;
    configuration.services["s"].name = "s";
    configuration.services["s"].engine = routing::EngineSpec { 64, 200000, 100, 2, 1, false, {} };
    fleet.applyConfiguration(configuration);
    for (size_t i = 0; i < size.workers; i++) {
        routing::WorkerEntry entry;
        entry.id = workerId(i);
        entry.service = "s";
        entry.startedAt = 1;
        entry.models = { { "model-" + std::to_string(i % 40), 1, {} } };
        fleet.applyEntry(entry, { 1, i + 1 }, false, monotonicNow());
    }
}

/// Returns the heartbeat of one VM with the loads of its requests.
/// @param round different rounds put the load on different workers.
Heartbeat makeHeartbeat(const Size& size, size_t vm, size_t round)
{
    Heartbeat heartbeat;
    heartbeat.node = "vm" + std::to_string(vm);
    heartbeat.incarnation = 1234567890123 + vm;
    heartbeat.sequence = round + 1;
    heartbeat.ready = true;
    heartbeat.storeEra = 1;
    heartbeat.configVersion = 5;
    for (size_t i = 0; i < busyWorkersPerVm; i++)
        heartbeat.loads[workerKey(workerId((vm * 7919 + i * 104729 + round) % size.workers))] = { 1000.0 + static_cast<double>(i), 1200, 1 };
    return heartbeat;
}

void measure(const Size& size)
{
    auto name = std::to_string(size.vms) + "x" + std::to_string(size.workers) + "_";
    auto groupSize = size.vms / size.dataCentres;
    auto senders = std::min(maxSenders, groupSize);
    Fleet fleet("vm0", "dc0");
    addWorkers(fleet, size);
    std::vector<Heartbeat> heartbeats;
    for (size_t round = 0; round < 2; round++) {
        for (size_t vm = 1; vm <= senders; vm++)
            heartbeats.push_back(makeHeartbeat(size, vm, round));
    }
    auto encoded = encodeHeartbeat(heartbeats.front());
    auto empty = heartbeats.front();
    empty.loads.clear();
    print(name + "heartbeat_bytes", static_cast<double>(encoded.size()), "B");
    print(name + "heartbeat_bytes_without_loads", static_cast<double>(encodeHeartbeat(empty).size()), "B");
    print(name + "heartbeat_encode", meanMicroseconds(2000, [&](size_t) { encodeHeartbeat(heartbeats.front()); }), "us");
    print(name + "heartbeat_decode", meanMicroseconds(2000, [&](size_t) { decodeHeartbeat(encoded); }), "us");
    print(name + "heartbeat_apply", meanMicroseconds(1000, [&](size_t i) {
        const auto& heartbeat = heartbeats[i % heartbeats.size()];
        fleet.applyHeartbeat(heartbeat.node, heartbeat);
    }),
        "us");
    print(name + "heartbeat_apply_without_loads", meanMicroseconds(1000, [&](size_t) { fleet.applyHeartbeat("far", empty); }), "us");
    print(name + "own_loads", meanMicroseconds(200, [&](size_t) { fleet.ownLoads(); }), "us");
    Heartbeat summary;
    print(name + "summary_make", meanMicroseconds(100, [&](size_t) { summary = fleet.summarizeGroup(monotonicNow()); }), "us");
    summary.node = "vm0";
    summary.summaryOf = "dc1";
    auto encodedSummary = encodeHeartbeat(summary);
    print(name + "summary_workers", static_cast<double>(summary.loads.size()), "workers");
    print(name + "summary_bytes", static_cast<double>(encodedSummary.size()), "B");
    print(name + "summary_encode", meanMicroseconds(200, [&](size_t) { encodeHeartbeat(summary); }), "us");
    print(name + "summary_decode", meanMicroseconds(200, [&](size_t) { decodeHeartbeat(encodedSummary); }), "us");
    print(name + "summary_apply", meanMicroseconds(200, [&](size_t i) {
        summary.sequence = i + 1;
        fleet.applySummary(summary, monotonicNow());
    }),
        "us");
    routing::RequestShape shape;
    shape.model = "model-1";
    shape.parts = { { 1, 500 } };
    shape.promptTokens = 500;
    auto service = fleet.configuration()->services.at("s");
    print(name + "choose_worker", meanMicroseconds(200, [&](size_t) { fleet.chooseWorker(service, shape, routing::hashPrefixes(shape), {}, milliseconds { 800 }, monotonicNow()); }), "us");
}

} // namespace

int main()
{
    measure({ 24, 240, 1 });
    measure({ 100, 1000, 3 });
    measure({ 300, 3000, 3 });
    return 0;
}
