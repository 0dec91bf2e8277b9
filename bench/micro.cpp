/// Microbenchmarks of the decision functions: record sizes, log replay, view changes (a session opens, so that the owners of all
/// workers are computed again), routing, planning, and client accounts.
#include "heartbeat_codec.h"
#include "platform_standin.h"

#include <iostream>
#include <malloc.h>
#include <platform/platform.h>
#include <routing/routing.h>
#include <state/state.h>

using namespace comfreypier;
using namespace comfreypier::protocol;
using transport::monotonicNow;

namespace {

constexpr uint64_t gigabyte = 1'000'000'000;
/// Number of models in the regions whose view change is measured.
constexpr size_t viewChangeModels = 400;

void print(const std::string& name, double value, const char* unit)
{
    std::cout << name << "=" << value << " " << unit << "\n";
}

double microseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::micro>(time).count();
}

/// Returns the mean time of one call of `operation`, in microseconds.
template <class Operation>
double meanMicroseconds(int iterations, Operation&& operation)
{
    auto start = monotonicNow();
    for (int i = 0; i < iterations; i++)
        operation(i);
    return microseconds(monotonicNow() - start) / iterations;
}

void measureRecordSizes()
{
    // Encoded size of a record with one entry. The session number 123456 stands for any.
    auto size = [](Entry entry) { return static_cast<double>(encodeEnvelope({ makeRandomId(), 123456, { std::move(entry) } }).size()); };
    ActionKey key { makeRandomId().low, makeRandomId().low };
    print("bytes_renew", size(SessionRenew {}), "B");
    print("bytes_begin", size(ActionBegin { key, makeRandomId().low, makeRandomId().low }), "B");
    print("bytes_end", size(ActionEnd { key, makeRandomId().low, 200, "application/json", std::string(60, 'x'), true }), "B");
    print("bytes_load_intent", size(LoadIntent { "worker-1234", "draft-large@1", 30 * gigabyte, makeRandomId().low >> 12 }), "B");
    print("bytes_plan_move", size(PlanChange { { { "worker-1234", "draft-large@1" } }, {}, "" }), "B");
    print("bytes_publish", size(ConfigPublish { "front-desk", 5, std::string(500, 'x'), "operator", false }), "B");
}

/// Returns a region with live sessions and with workers that have three loaded models of 20 GB each.
coordination::RegionState makeRegion(size_t nodes, size_t workers, size_t models)
{
    coordination::RegionState state;
    Offset offset = 0;
    for (size_t i = 0; i < nodes; i++)
        coordination::applyRegionRecord(state, offset++, { { i + 1, 1 }, invalidOffset, { SessionOpen { "entry-" + std::to_string(i), "127.0.0.1:1", "127.0.0.1:2", "dc", std::chrono::seconds { 5 } } } });
    for (size_t i = 0; i < workers; i++) {
        auto name = "worker-" + std::to_string(i);
        Envelope envelope { { 1, 2 + i }, 0, { WorkerDeclared { name, "127.0.0.1:9", "dc-" + std::to_string(i % 15), 160 * gigabyte, 1 } } };
        coordination::applyRegionRecord(state, offset++, envelope);
        auto& worker = state.workers[name];
        for (size_t j = 0; j < 3; j++)
            worker.reservations["model-" + std::to_string((i + j * 7) % models) + "@1"] = { 20 * gigabyte, {}, 1, true, false };
    }
    return state;
}

/// Returns a deployment of models of 10 to 29 GB.
DeploymentSpec makeDeployment(size_t models)
{
    DeploymentSpec deployment;
    for (size_t i = 0; i < models; i++) {
        ItemSpec item;
        item.name = "model-" + std::to_string(i);
        item.bytes = (10 + i % 20) * gigabyte;
        deployment.items[item.name] = item;
    }
    return deployment;
}

/// Measures the replay of a log in which one session begins an action with a new key in each record: time, memory, and the size of
/// the snapshot of the result.
void measureReplay(size_t records)
{
    std::vector<std::string> log;
    for (size_t i = 0; i < records; i++) {
        ActionKey key { i, i * 7919 };
        log.push_back(encodeEnvelope({ { 1, i + 1 }, i == 0 ? invalidOffset : 0, { i == 0 ? Entry(SessionOpen { "n", "a", "b", "c", std::chrono::seconds { 5 } }) : Entry(ActionBegin { key, i, i }) } }));
    }
    auto before = transport::residentBytes();
    coordination::RegionState state;
    auto start = monotonicNow();
    for (size_t i = 0; i < records; i++)
        coordination::applyRegionRecord(state, i, decodeEnvelope(log[i]).value());
    auto elapsed = monotonicNow() - start;
    auto name = "replay_" + std::to_string(records) + "_";
    print(name + "time", microseconds(elapsed) / 1000, "ms");
    print(name + "per_record", microseconds(elapsed) / static_cast<double>(records), "us");
    print(name + "memory", static_cast<double>(transport::residentBytes() - before) / 1e6, "MB");
    print(name + "snapshot", static_cast<double>(encodeSnapshot(coordination::makeSnapshot(state)).size()) / static_cast<double>(records), "B_per_key");
}

/// Measures the application of a record that opens a session. Each adds a live session to the view, so that the owner of every
/// worker is computed again.
void measureViewChange(size_t nodes, size_t workers)
{
    auto state = makeRegion(nodes, workers, viewChangeModels);
    auto name = "view_change_" + std::to_string(nodes) + "x" + std::to_string(workers);
    Offset offset = state.next;
    uint64_t recordNumber = 1000000;
    print(name, meanMicroseconds(20, [&](int) {
        Envelope envelope { { 999, recordNumber++ }, invalidOffset, { SessionOpen { "joiner", "127.0.0.1:1", "127.0.0.1:2", "dc", std::chrono::seconds { 5 } } } };
        coordination::applyRegionRecord(state, offset++, envelope);
    }),
        "us");
}

/// Measures the choice of the worker for one request among scattered candidates. 7919 and 104729 are primes.
void measureRouting(size_t workers)
{
    std::vector<coordination::WorkerLoad> loads(workers);
    for (size_t i = 0; i < workers; i++)
        loads[i] = { static_cast<uint32_t>(i % 9), 0, 8, 0, std::chrono::microseconds { 20000 }, std::chrono::microseconds { 200000 } };
    size_t checksum = 0; // Keeps the compiler from removing the calls.
    auto time = meanMicroseconds(200000, [&](int i) {
        std::array<coordination::WorkerLoad, coordination::maxRoutingCandidates + 1> candidates;
        for (size_t j = 0; j < candidates.size(); j++)
            candidates[j] = loads[(static_cast<size_t>(i) * 7919 + j * 104729) % workers];
        checksum += static_cast<size_t>(coordination::chooseWorker(candidates));
    });
    print("route_" + std::to_string(workers), time * 1000 + (checksum == 1 ? 1 : 0), "ns");
}

/// Measures one planning round that starts with an empty plan, and one after its additions were made.
void measurePlanning(size_t workers, size_t models)
{
    auto state = makeRegion(8, workers, models);
    auto deployment = makeDeployment(models);
    coordination::PlanInputs inputs;
    inputs.deployment = &deployment;
    inputs.workers = &state.workers;
    inputs.plan = &state.plan;
    auto name = "plan_" + std::to_string(workers) + "x" + std::to_string(models);
    PlanChange change;
    print(name + "_first", meanMicroseconds(1, [&](int) { change = coordination::computePlanChange(inputs); }) / 1000, "ms");
    state.plan.insert(change.adds.begin(), change.adds.end());
    print(name + "_steady", meanMicroseconds(1, [&](int) { change = coordination::computePlanChange(inputs); }) / 1000, "ms");
    print(name + "_steady_moves", static_cast<double>(change.adds.size() + change.drops.size()), "moves");
}

/// Returns the bytes that this process has allocated and not freed, which memory that the allocator keeps does not change.
uint64_t allocatedBytes()
{
    auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Measures keys of client accounts: the memory of the table, the time to build it, to find a key and to find none, and to decode the whole
/// configuration.
/// @param keys a multiple of ten.
void measureKeys(size_t keys)
{
    auto name = "keys_" + std::to_string(keys) + "_";
    std::vector<accounts::ClientAccount> list(keys / 10);
    for (size_t i = 0; i < keys; i++)
        list[i / 10].keys.push_back("0123456789abcdef-" + std::to_string(i));
    for (size_t i = 0; i < list.size(); i++) {
        list[i].name = "account-" + std::to_string(i);
        list[i].quota = { accounts::QuotaUnit::Requests, 50, 100, 0 };
    }
    auto before = allocatedBytes();
    auto start = monotonicNow();
    accounts::KeyTable table(list);
    print(name + "build", microseconds(monotonicNow() - start) / 1000, "ms");
    print(name + "memory", static_cast<double>(allocatedBytes() - before) / 1e6, "MB");
    size_t found = 0; // Keeps the compiler from removing the calls.
    print(name + "lookup", meanMicroseconds(200000, [&](int i) { found += table.find(list[static_cast<size_t>(i) * 7919 % list.size()].keys[static_cast<size_t>(i) % 10]) ? 1 : 0; }) * 1000, "ns");
    print(name + "lookup_of_unknown", meanMicroseconds(200000, [&](int i) { found += table.find("another-" + std::to_string(i)) ? 1 : 0; }) * 1000, "ns");
    print(name + "found", static_cast<double>(found), "keys");
    auto text = standins::makePlatformConfiguration(1, "", list);
    std::string error;
    start = monotonicNow();
    auto configuration = platform::decodeConfiguration(text, error);
    print(name + "decode", microseconds(monotonicNow() - start) / 1000, "ms");
    print(name + "text", static_cast<double>(text.size()) / 1e6, "MB");
}

/// Measures the quotas of one VM of many: memory, the times to apply a configuration, a changed one and a changed list of VMs, and one round of
/// reports with its bytes in datagrams.
void measureQuotas(size_t vms, size_t accounts)
{
    constexpr size_t maxLevelsPerMessage = 200; // As in edge/src/quota_task.cpp.
    auto name = "quotas_" + std::to_string(vms) + "x" + std::to_string(accounts) + "_";
    std::vector<accounts::ClientAccount> list;
    for (size_t i = 0; i < accounts; i++)
        list.push_back({ "account-" + std::to_string(i), {}, std::nullopt, { accounts::QuotaUnit::Requests, 50, 100, 0 } });
    accounts::Time now = std::chrono::seconds { 100 };
    std::vector<accounts::QuotaVm> members;
    for (size_t i = 0; i < vms; i++)
        members.push_back({ "entry-" + std::to_string(i), 1, true, now });
    auto elapsedMs = [](auto&& operation) { return meanMicroseconds(1, [&](int) { operation(); }) / 1000; };
    auto before = allocatedBytes();
    accounts::QuotaLedger ledger("entry-0", 1);
    ledger.setVms(members, now);
    print(name + "apply_first", elapsedMs([&] { ledger.setAccounts(list, now); }), "ms");
    print(name + "memory", static_cast<double>(allocatedBytes() - before) / 1e6, "MB");
    print(name + "apply_next", elapsedMs([&] { ledger.setAccounts(list, now); }), "ms");
    print(name + "vm_leaves", elapsedMs([&] { ledger.setVms({ members.begin(), members.end() - 1 }, now); }), "ms");
    now += accounts::levelReportInterval;
    std::vector<std::pair<std::string, accounts::LevelReport>> reports;
    print(name + "report_round", elapsedMs([&] { reports = ledger.takeReports(now, false); }), "ms");
    std::map<std::string, edge::Heartbeat> messages;
    size_t bytes = 0;
    for (const auto& [vm, report] : reports) {
        auto& message = messages[vm];
        message.node = "entry-0";
        message.quota.levels.push_back(report);
        if (message.quota.levels.size() == maxLevelsPerMessage) {
            bytes += edge::encodeHeartbeat(message).size();
            message.quota.levels.clear();
        }
    }
    for (const auto& [vm, message] : messages)
        bytes += message.quota.levels.empty() ? 0 : edge::encodeHeartbeat(message).size();
    print(name + "reports", static_cast<double>(reports.size()), "levels");
    print(name + "report_receivers", static_cast<double>(messages.size()), "vms");
    print(name + "report_bytes", static_cast<double>(bytes), "B");
}

/// Measures the datagrams that charge one request at another VM: the ask and its answer.
void measureAsk()
{
    edge::Heartbeat ask;
    ask.node = "entry-0";
    auto answer = ask;
    ask.quota.asks.push_back({ "account-1234", makeRandomId().low, 1 });
    answer.quota.answers.push_back({ makeRandomId().low, {} });
    print("quota_ask", static_cast<double>(edge::encodeHeartbeat(ask).size()), "B");
    print("quota_answer", static_cast<double>(edge::encodeHeartbeat(answer).size()), "B");
}

/// Measures the choice of the worker for one prompt with shared parts among the copies of its model, with loads of 32 other VMs.
void measureChoice(size_t workers, size_t copies)
{
    routing::Service service;
    service.name = "s";
    service.engine = routing::EngineSpec { 64, 167000, 200, 8, 1, false, {} };
    routing::RequestShape shape;
    shape.model = "m";
    shape.parts = { { 1, 2520 }, { 2, 3780 }, { 3, 2000 } };
    shape.promptTokens = 8300;
    auto hashes = routing::hashPrefixes(shape);
    std::vector<routing::Worker> fleet(workers);
    std::vector<routing::Worker*> pointers;
    for (size_t i = 0; i < workers; i++) {
        auto& worker = fleet[i];
        worker.entry.id = "worker-" + std::to_string(i);
        worker.entry.service = "s";
        worker.entry.models = { { "x" + std::to_string(i % 30), 1, {} }, { i % (workers / copies) == 0 ? "m" : "y", 1, {} } };
        for (size_t vm = 0; vm < 32; vm++)
            worker.peerLoads["vm-" + std::to_string(vm)] = { static_cast<double>((i * 7919 + vm) % 3000), 1000, 1 };
        if (i % 4 == 0)
            worker.prefixCache.add(hashes[0], 2520, 140000);
        pointers.push_back(&worker);
    }
    routing::ChoiceInputs inputs;
    inputs.service = &service;
    inputs.shape = &shape;
    inputs.prefixHashes = &hashes;
    inputs.targetLatency = std::chrono::milliseconds { 800 };
    inputs.peerUpdateAge = std::chrono::milliseconds { 450 };
    inputs.now = std::chrono::seconds { 100 };
    auto time = meanMicroseconds(2000, [&](int i) {
        inputs.choiceSeed = static_cast<uint64_t>(i);
        routing::chooseWorker(pointers, inputs);
    });
    print("choice_" + std::to_string(copies) + "_of_" + std::to_string(workers), time, "us");
}

/// Measures how long all of a number of waiting requests take to look at their places, which they do every 40 ms.
void measureQueue(size_t waiting)
{
    routing::WaitQueue queue;
    routing::Time now { std::chrono::seconds { 1 } };
    for (uint64_t id = 1; id <= waiting; id++)
        queue.add({ id, "m", "", false, static_cast<uint32_t>(id % 3), "", now, now + std::chrono::milliseconds { 800 }, now + std::chrono::seconds { 12 }, 0.05, 0 }, now);
    auto time = meanMicroseconds(10, [&](int) {
        now += std::chrono::milliseconds { 40 };
        for (uint64_t id = 1; id <= waiting; id++) {
            queue.recordBlocked(id, routing::BlockReason::NoCapacity, std::chrono::milliseconds { 1 }, now);
            queue.decide(id, now);
        }
    });
    print("queue_look_" + std::to_string(waiting), time, "us");
}

} // namespace

int main()
{
    measureRecordSizes();
    for (size_t records : { 1000, 10000, 100000 })
        measureReplay(records);
    measureViewChange(8, 14);
    measureViewChange(70, 520);
    measureViewChange(350, 2600);
    for (size_t workers : { 10, 260, 2600 })
        measureRouting(workers);
    measureChoice(9, 3);
    measureChoice(80, 20);
    measureChoice(2600, 20);
    for (size_t waiting : { 100, 1000, 4000 })
        measureQueue(waiting);
    measurePlanning(14, 13);
    measurePlanning(130, 100);
    measurePlanning(520, 400);
    for (size_t keys : { 10000, 100000, 1000000 })
        measureKeys(keys);
    measureQuotas(8, 10000);
    measureQuotas(80, 10000);
    for (size_t accounts : { 100, 1000, 10000 })
        measureQuotas(350, accounts);
    measureAsk();
    return 0;
}
