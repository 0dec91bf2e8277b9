/// Tests of what VMs tell those of other data centres about workers, without a network.
#include "fleet.h"
#include "forward_queue.h"
#include "forward_tracker.h"
#include "resident_news.h"

#include <array>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace comfreypier;
using namespace comfreypier::edge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time now = seconds { 10 };

/// View of a VM that knows two workers with the same model, `a` and `b`, neither in its data centre.
struct KnowingFleet : Fleet {
    KnowingFleet(const std::string& node, const std::string& dataCentre)
        : Fleet(node, dataCentre)
    {
        routing::Configuration configuration;
        configuration.version = 1;
        configuration.services["s"].name = "s";
        configuration.services["s"].engine = routing::EngineSpec { 64, 200000, 100, 2, 1, false, {} };
        this->applyConfiguration(configuration);
        for (const auto* id : { "a", "b" }) {
            routing::WorkerEntry entry;
            entry.id = id;
            entry.service = "s";
            entry.startedAt = 1;
            entry.models = { { "m", 1, {} } };
            this->applyEntry(entry, { 1, 1 }, false, now);
        }
    }

    /// Returns where a request goes and how much of its prompt is cached there, as this VM sees it.
    Selection choose(const routing::RequestShape& shape)
    {
        return this->chooseWorker(this->configuration()->services.at("s"), shape, routing::hashPrefixes(shape), {}, milliseconds { 800 }, now);
    }
};

routing::RequestShape makePrompt(uint32_t sharedTokens)
{
    routing::RequestShape shape;
    shape.model = "m";
    shape.parts = { { sharedTokens, sharedTokens }, { 2, 500 } };
    shape.promptTokens = sharedTokens + 500;
    return shape;
}

} // namespace

// Guards against long prompts that are read anew in each data centre, because its VMs don't know what those of the others have sent.
Test(group_news, long_prefixes_sent_by_one_group_are_used_by_another)
{
    KnowingFleet sender("vm1", "near");
    KnowingFleet leader("vm0", "near");
    KnowingFleet receiver("vm2", "far");
    auto longPrompt = makePrompt(6000);
    auto shortPrompt = makePrompt(100);
    auto other = receiver.choose(longPrompt).id == "a" ? "b" : "a"; // Not where the receiver would send it by itself.
    for (const auto& shape : { longPrompt, shortPrompt })
        sender.reserve(other, shape, routing::hashPrefixes(shape), 0, 200000);
    Heartbeat heartbeat;
    heartbeat.sentPrefixes = sender.takeSentPrefixes();
    cr_assert_eq(heartbeat.sentPrefixes.size(), 2U);
    leader.applyHeartbeat("vm1", heartbeat);
    auto summary = leader.summarizeGroup(now);
    summary.node = "vm0";
    cr_assert_eq(summary.sentPrefixes.size(), 1U, "a prefix that no request crosses for was told to another group");
    summary.summaryOf = "near";
    summary.sequence = 1;
    cr_assert(receiver.applySummary(*decodeHeartbeat(encodeHeartbeat(summary)), now));
    cr_assert_eq(receiver.choose(longPrompt).id, other);
    cr_assert_eq(receiver.choose(longPrompt).choice.cachedTokens, 6000U);
    cr_assert(leader.summarizeGroup(now).sentPrefixes.empty(), "prefixes were told twice");
}

// A summary that a datagram can't hold arrives in parts, of which only the first carries the loads.
Test(group_news, further_parts_of_a_summary_leave_the_loads_as_they_are)
{
    KnowingFleet receiver("vm2", "far");
    auto shape = makePrompt(6000);
    Heartbeat summary;
    summary.summaryOf = "near";
    summary.sequence = 1;
    summary.loads[workerKey("a")] = { 1e6, 1e6, 60 };
    cr_assert(receiver.applySummary(summary, now));
    summary.sequence = 2;
    summary.partial = true;
    summary.loads.clear();
    summary.sentPrefixes = { { workerKey("a"), routing::hashPrefixes(shape).front(), 6000 } };
    cr_assert(receiver.applySummary(summary, now));
    cr_assert_eq(receiver.choose(shape).id, "b");
}

// A worker whose entry does not come back takes with it what this VM has put on it; requests that still run there may end later.
Test(group_news, a_dropped_worker_has_no_load)
{
    KnowingFleet fleet("vm0", "near");
    auto shape = makePrompt(100);
    std::vector<LoadReservation> requests;
    for (const auto* id : { "a", "a", "b" })
        requests.push_back(fleet.reserve(id, shape, {}, 0, 200000));
    cr_assert_eq(fleet.ownLoads().at(workerKey("a")).requests, 2U);
    cr_assert(fleet.markRemoved("a", { 1, 2 }, now, seconds { 2 }));
    cr_assert(fleet.markRemoved("b", { 1, 2 }, now, seconds { 1 }));
    cr_assert_eq(fleet.nextDropAt().value(), now + seconds { 1 });
    cr_assert(fleet.isOutdated("a", { 1, 2 }));
    cr_assert(!fleet.isOutdated("a", { 1, 3 }));
    auto gone = fleet.dropRemoved(now + seconds { 1 });
    cr_assert_eq(gone.size(), 1U);
    cr_assert_eq(gone.front().id, "b");
    cr_assert(fleet.isOutdated("b", { 1, 2 }), "a record of the worker before it left was not known as old");
    cr_assert(!fleet.isOutdated("b", { 1, 3 }));
    cr_assert(!fleet.isOutdated("c", { 1, 1 }));
    cr_assert_eq(fleet.ownLoads().size(), 1U);
    cr_assert_eq(fleet.nextDropAt().value(), now + seconds { 2 });
    routing::WorkerEntry entry;
    entry.id = "a";
    entry.startedAt = 1;
    fleet.applyEntry(entry, { 1, 3 }, false, now);
    cr_assert(!fleet.nextDropAt());
    cr_assert(fleet.dropRemoved(now + seconds { 9 }).empty(), "a worker that was back was dropped");
    requests.clear();
    cr_assert(fleet.ownLoads().empty());
}

// Heartbeats name the leaving workers that are known, also after a restart, which is none that leaves.
Test(group_news, leaving_workers_are_named_as_long_as_they_are_known)
{
    KnowingFleet fleet("vm0", "near");
    routing::WorkerEntry entry;
    entry.id = "a";
    entry.startedAt = 1;
    cr_assert(fleet.recordLeaving(entry, 1, now));
    cr_assert_eq(fleet.takeLeaveReports(now).size(), 1U);
    entry.startedAt = 2;
    fleet.applyEntry(entry, { 1, 2 }, false, now);
    cr_assert(fleet.takeLeaveReports(now).empty());
    cr_assert(fleet.recordLeaving(entry, 2, now));
    cr_assert_eq(fleet.takeLeaveReports(now).size(), 1U);
    cr_assert(fleet.markRemoved("a", { 1, 3 }, now, Time { 0 }));
    cr_assert_eq(fleet.dropRemoved(now).size(), 1U);
    cr_assert(fleet.takeLeaveReports(now).empty());
    entry.startedAt = 2;
    fleet.applyEntry(entry, { 1, 4 }, false, now);
    cr_assert_eq(fleet.takeLeaveReports(now).size(), 1U, "a leaving worker that is back was not named");
}

// A failure is reported as long as it counts; it fades by itself.
Test(group_news, old_failures_are_not_reported)
{
    KnowingFleet fleet("vm0", "near");
    fleet.updateWorker("a", [](routing::Worker& worker) { worker.outcomes = { 1, 2, now }; });
    fleet.updateWorker("b", [](routing::Worker& worker) { worker.outcomes = { 0.2, 2, now }; });
    auto reported = fleet.ownFailures(now);
    cr_assert_eq(reported.size(), 1U);
    cr_assert_eq(reported.at(workerKey("a")).total, 2);
    cr_assert(fleet.ownFailures(now + 10 * routing::estimateHalfLife).empty());
}

namespace {

/// What VMs have reported about one worker since it became known, by VM.
struct Reported {
    std::map<std::string, routing::WorkerLoad> loads;
    std::set<std::string> failing;
};

/// Workers of the property below that come and go.
const std::vector<std::string> guestIds { "c", "d", "e" };

/// Returns a heartbeat of `vm` with random loads and failures.
Heartbeat makeRandomReports(const std::string& vm)
{
    Heartbeat heartbeat;
    heartbeat.node = vm;
    for (const auto* id : { "a", "b", "c", "d", "e" }) {
        if (*rc::gen::inRange(0, 3) == 0)
            heartbeat.loads[workerKey(id)] = { 1, 2, *rc::gen::inRange(1U, 5U) };
        if (*rc::gen::inRange(0, 3) == 0)
            heartbeat.outcomes[workerKey(id)] = { 1, 2, {} };
    }
    return heartbeat;
}

void replaceReports(std::map<std::string, Reported>& model, const Heartbeat& heartbeat)
{
    for (auto& [id, reported] : model) {
        reported.loads.erase(heartbeat.node);
        reported.failing.erase(heartbeat.node);
        if (auto load = heartbeat.loads.find(workerKey(id)); load != heartbeat.loads.end())
            reported.loads[heartbeat.node] = load->second;
        if (heartbeat.outcomes.contains(workerKey(id)))
            reported.failing.insert(heartbeat.node);
    }
}

} // namespace

// A heartbeat replaces all that its VM has reported, also of workers that came, left or restarted in between.
Test(group_news, what_a_vm_reports_replaces_what_it_reported_before)
{
    cr_assert(rc::check("", [] {
        KnowingFleet fleet("vm0", "near");
        std::map<std::string, Reported> model { { "a", {} }, { "b", {} } };
        uint64_t offset = 10;
        auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; step++) {
            auto vm = "vm" + std::to_string(*rc::gen::inRange(1, 4));
            auto guest = guestIds[*rc::gen::inRange<size_t>(0, guestIds.size())];
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                fleet.forgetPeerLoad(vm);
                replaceReports(model, { vm });
                break;
            case 1: {
                routing::WorkerEntry entry;
                entry.id = guest;
                entry.startedAt = 1;
                fleet.applyEntry(entry, { 1, ++offset }, false, now);
                model[guest];
                break;
            }
            case 2:
                if (fleet.markRemoved(guest, { 1, ++offset }, now, Time { 0 }))
                    model.erase(guest);
                fleet.dropRemoved(now);
                break;
            default:
                auto heartbeat = makeRandomReports(vm);
                fleet.applyHeartbeat(vm, heartbeat);
                replaceReports(model, heartbeat);
            }
            RC_ASSERT(fleet.entries().size() == model.size());
            for (const auto& [id, reported] : model) {
                fleet.updateWorker(id, [&reported = reported](routing::Worker& worker) {
                    RC_ASSERT(worker.peerLoads == reported.loads);
                    std::set<std::string> failing;
                    for (const auto& [source, outcomes] : worker.peerOutcomes)
                        failing.insert(source);
                    RC_ASSERT(failing == reported.failing);
                });
            }
        }
    }));
}

// The lease holder names each change in time, and every worker in turn, whatever comes and goes.
Test(group_news, the_lease_holder_names_what_changed_since_a_time)
{
    cr_assert(rc::check("", [] {
        ResidentNews news;
        ResidentItems items;
        std::map<std::string, Time> changedAt;
        auto steps = *rc::gen::inRange(1, 30);
        for (int step = 1; step <= steps; step++) {
            Time at = seconds { step };
            bool changed = false;
            for (const auto* worker : { "a", "b", "c", "d" }) {
                switch (*rc::gen::inRange(0, 6)) {
                case 0:
                    items.erase(worker);
                    changedAt.erase(worker);
                    break;
                case 1: {
                    auto held = *rc::gen::elementOf(std::vector<std::set<std::string>> { {}, { "m" }, { "m", "m/x" } });
                    if (items.contains(worker) && items[worker] == held)
                        break;
                    items[worker] = held;
                    changedAt[worker] = at;
                    changed = true;
                    break;
                }
                default:
                    break;
                }
            }
            RC_ASSERT(news.update(items, at) == changed);
            Time since = seconds { *rc::gen::inRange(0, steps + 2) };
            ResidentItems expected;
            for (const auto& [worker, time] : changedAt) {
                if (time >= since)
                    expected[worker] = items[worker];
            }
            ResidentItems told;
            news.addChanges(told, since);
            RC_ASSERT(told == expected);
        }
        ResidentItems told;
        for (size_t i = 0; i < items.size(); i++)
            news.addInTurn(told, 1);
        RC_ASSERT(told == items);
    }));
}

// Most heartbeats say no more than that a VM is there. At 300 VMs each sends 170 a second, for which 10 KB are meant.
Test(group_news, a_heartbeat_without_news_is_small)
{
    Heartbeat heartbeat;
    heartbeat.node = "edge-north-0123";
    heartbeat.incarnation = 0x0123456789abcdef;
    heartbeat.sequence = 123456;
    heartbeat.ready = true;
    heartbeat.storeEra = 1;
    heartbeat.configVersion = 123456;
    auto bytes = encodeHeartbeat(heartbeat);
    cr_assert_leq(bytes.size(), 10000U / 170U);
    auto decoded = decodeHeartbeat(bytes);
    cr_assert(decoded);
    cr_assert_eq(decoded->node, heartbeat.node);
    cr_assert_eq(decoded->sequence, heartbeat.sequence);
    cr_assert(decoded->summaryOf.empty() && decoded->loads.empty() && decoded->missingItems.empty());
}

// VMs of earlier versions send a list also where it is empty.
Test(group_news, empty_lists_of_earlier_versions_are_understood)
{
    constexpr std::array<unsigned char, 106> earlier { 0x10, 0x2f, 0x50, 0x09, 0x13, 0x01, 0x07, 0x01, 0x09, 0x01, 0x01, 0x00, 0x00, 0x01, 0x05, 0x00, 0x02, 0x01, 0x01, 0x11, 0x49, 0x22, 0x11, 0x4d, 0x07, 0x11, 0x51, 0x07, 0x11, 0x51, 0x07, 0x11, 0x51, 0x1f, 0x11, 0x6d, 0x07, 0x00, 0x00, 0x11, 0x61, 0x07, 0x11, 0x65, 0x07, 0x11, 0x31, 0x07, 0x11, 0x25, 0x0a, 0x11, 0x61, 0x07, 0x11, 0x59, 0x07, 0x11, 0x59, 0x05, 0x00, 0x04, 0x07, 0x76, 0x6d, 0x31, 0x00, 0x00, 0x10, 0x02, 0x10, 0x02, 0x10, 0x02, 0x50, 0x01, 0x01, 0x41, 0x04, 0x03, 0x11, 0x09, 0x0a, 0x11, 0x09, 0x12, 0x11, 0x09, 0x0a, 0x00, 0x00, 0x01, 0x6d, 0x00, 0x00, 0x40, 0x03, 0x40, 0x02, 0x50, 0x04, 0x02, 0x10, 0x03, 0x10, 0x03 };
    auto decoded = decodeHeartbeat({ reinterpret_cast<const char*>(earlier.data()), earlier.size() });
    cr_assert(decoded);
    cr_assert_eq(decoded->node, "vm1");
    cr_assert_eq(decoded->incarnation, 7U);
    cr_assert_eq(decoded->sequence, 9U);
    cr_assert(decoded->ready);
    cr_assert(decoded->summaryOf.empty() && decoded->loads.empty());
    cr_assert_eq(decoded->missingItems.size(), 1U);
    Heartbeat same;
    same.node = "vm1";
    same.incarnation = 7;
    same.sequence = 9;
    same.ready = true;
    same.configVersion = 5;
    same.missingItems = { { "", "m", "" } };
    cr_assert_eq(encodeHeartbeat(*decoded), encodeHeartbeat(same));
}

// A record with fewer repeats leaves the others theirs, and a receiver that misses all of its repeats knows that something is missing.
Test(group_news, records_of_new_workers_are_repeated_less_often)
{
    ForwardQueue queue;
    ForwardTracker heard;
    ForwardTracker missed;
    Heartbeat first;
    queue.fill(first, 1000);
    heard.record(first, seconds { 1 });
    missed.record(first, seconds { 1 });
    queue.push({ "leaving", "v", 1 });
    queue.push({ "new", "v", 2 }, newWorkerRepeats);
    std::map<std::string, int> sends;
    for (int round = 2; round < 10; round++) {
        Heartbeat heartbeat;
        queue.fill(heartbeat, 1000);
        for (const auto& entry : heartbeat.forwardedEntries)
            sends[entry.worker]++;
        // Both get the last heartbeat that names the new worker; the second VM none before it.
        if (sends["new"] == newWorkerRepeats || heartbeat.forwardedEntries.empty())
            heard.record(heartbeat, seconds { round });
        if (sends["new"] == newWorkerRepeats && heartbeat.forwardedEntries.size() == 1)
            missed.record(heartbeat, seconds { round });
    }
    cr_assert_eq(sends["leaving"], forwardRepeats);
    cr_assert_eq(sends["new"], newWorkerRepeats);
    cr_assert(heard.isComplete(seconds { 2 }));
    cr_assert(!missed.isComplete(seconds { 2 }));
}
