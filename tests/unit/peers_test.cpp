/// Tests of the heartbeats between VMs: a VM in this process among peers that the test simulates.
#include "duty_rank.h"
#include "edge_world.h"
#include "fleet.h"
#include "forward_queue.h"
#include "forward_tracker.h"
#include "heartbeat_split.h"
#include "send_order.h"

#include <cmath>
#include <rapidcheck.h>

using namespace comfreypier;
using namespace comfreypier::testing;

namespace {

/// Interval at which each simulated peer sends a heartbeat.
constexpr milliseconds heartbeatPause { 100 };

/// Simulated peers of the VM in `TestCluster`, all in one data centre. They share one address for heartbeats.
class SimulatedPeers {
public:
    /// Publishes the peers as members and starts to send their heartbeats.
    /// @param port port for heartbeats; the following ports are the peers' addresses for callers, in the order of `names`.
    SimulatedPeers(TestCluster& cluster, uint16_t port, const std::vector<std::string>& names, const std::string& dataCentre)
        : cluster(cluster)
        , names(names)
        , socket(cluster.runtime, loopback(port), [this](std::string_view bytes) { this->receive(bytes); })
    {
        cr_assert(this->socket.start());
        uint16_t front = port;
        for (const auto& name : names) {
            edge::Member member { 1, loopback(port), loopback(++front), dataCentre, edge::capacityInCores(cluster.settingsOf(0)) };
            cluster.store.write("keyed.comfreypier-members", name, edge::encodeMember(member));
        }
        cluster.runtime.spawn([this] { this->run(); });
    }

    /// Changes the heartbeats that one peer sends from now on.
    void changeHeartbeat(const std::string& name, const std::function<void(edge::Heartbeat&)>& change)
    {
        std::lock_guard lock(this->mutex);
        change(this->heartbeats[name]);
    }
    /// Lets the peers send the heartbeats of another start, without a member record of it.
    void setIncarnation(uint64_t value) { this->incarnation = value; }
    /// Returns the number of heartbeats that all peers together received.
    int receivedHeartbeats() const { return this->heartbeatCount; }
    /// Returns the number of worker records that these heartbeats forwarded; one that arrives several times counts each time.
    int receivedEntries() const { return this->entryCount; }
    /// Returns how many workers these records were about.
    size_t receivedWorkers()
    {
        std::lock_guard lock(this->mutex);
        return this->workers.size();
    }

private:
    /// Sends the peers' heartbeats to `vm0`, until the process ends.
    void run()
    {
        for (uint64_t sequence = 1;; sequence++) {
            for (const auto& name : this->names) {
                std::lock_guard lock(this->mutex);
                auto& heartbeat = this->heartbeats[name];
                heartbeat.node = name;
                heartbeat.incarnation = this->incarnation;
                heartbeat.sequence = sequence;
                heartbeat.ready = true;
                (void)this->socket.send(loopback(this->cluster.base + 23), edge::encodeHeartbeat(heartbeat));
            }
            transport::sleepFor(heartbeatPause);
        }
    }

    void receive(std::string_view bytes)
    {
        auto heartbeat = edge::decodeHeartbeat(bytes);
        cr_assert(heartbeat.has_value());
        this->heartbeatCount++;
        this->entryCount += static_cast<int>(heartbeat->forwardedEntries.size());
        std::lock_guard lock(this->mutex);
        for (const auto& entry : heartbeat->forwardedEntries)
            this->workers.insert(entry.worker);
    }

    TestCluster& cluster;
    std::vector<std::string> names;
    std::mutex mutex;
    std::map<std::string, edge::Heartbeat> heartbeats; ///< What each peer sends. Guarded by `mutex`.
    std::set<std::string> workers; ///< Of the records that the heartbeats to these peers forwarded. Guarded by `mutex`.
    std::atomic<uint64_t> incarnation { 1 };
    std::atomic<int> heartbeatCount { 0 };
    std::atomic<int> entryCount { 0 };
    transport::DatagramSocket socket;
};

std::vector<std::string> numberedNames(const std::string& prefix, int count)
{
    std::vector<std::string> names;
    for (int i = 0; i < count; i++)
        names.push_back(prefix + std::to_string(i));
    return names;
}

/// Returns names of VMs that are chosen as readers of the worker stream before the VM under test: their hash is lower.
std::vector<std::string> readerNames()
{
    std::vector<std::string> names;
    for (int i = 0; names.size() < edge::workerReaderCount; i++) {
        auto name = "reader" + std::to_string(i);
        if (routing::hashText(name) < routing::hashText("vm0"))
            names.push_back(name);
    }
    return names;
}

/// Sends requests and returns how many of them ran on a worker.
/// @param app number of the worker, as in `TestCluster::app`.
/// @param prefix start of the request ids.
int countRuns(TestCluster& cluster, int app, int requests, const std::string& prefix)
{
    auto before = cluster.app(app).runs.load();
    for (int i = 0; i < requests; i++)
        cr_assert_eq(cluster.sendRequest("/status/1", prefix + std::to_string(i)).status, 200U);
    return cluster.app(app).runs - before;
}

} // namespace

// Guards against requests to a draining worker. Other VMs read the worker stream and forward its records by datagrams, but
// all of these are lost. A later heartbeat shows that there was a record, so that the VM must read the stream itself in time.
CLUSTER_TEST(leaving_worker_is_detected_when_peer_datagrams_are_lost, 30600)
{
    SimulatedPeers peers(cluster, 30650, readerNames(), "dc");
    for (const auto& name : readerNames())
        peers.changeHeartbeat(name, [](edge::Heartbeat& heartbeat) { heartbeat.readsWorkers = true; });
    cluster.configureAndWait();
    std::this_thread::sleep_for(milliseconds { 1500 });
    auto reads = cluster.store.workerTopicReads.load();
    cluster.app(0).draining = true;
    cluster.app(0).publish();
    // As long as all heartbeats may be lost while a reader still counts as heard.
    std::this_thread::sleep_for(edge::maxReaderSilence);
    cr_assert_eq(cluster.store.workerTopicReads, reads, "the VM does not leave the reads to its peers, so the test proves nothing");
    for (const auto& name : readerNames())
        peers.changeHeartbeat(name, [](edge::Heartbeat& heartbeat) { heartbeat.forwardedCount = 1; });
    // Three seconds after the worker's record, no VM may send to it any more.
    std::this_thread::sleep_for(milliseconds { 3000 } - edge::maxReaderSilence);
    cr_assert_gt(cluster.store.workerTopicReads, reads);
    cr_assert_eq(countRuns(cluster, 0, 12, "after-"), 0);
}

// A VM that leaves the reading of the worker stream to its peers must notice each record that it did not get, and needs no read
// of its own while all heartbeats arrive. Each record is in several heartbeats of its reader, of which any may be lost.
Test(forward_tracker, lost_records_are_noticed_and_received_ones_need_no_read)
{
    cr_assert(rc::check("", [] {
        edge::ForwardTracker tracker;
        std::deque<std::pair<uint64_t, int>> queue; // Numbers of records, with the heartbeats that still carry each.
        uint64_t count = 0; // Records that the peer has forwarded.
        std::set<uint64_t> known; // Records that the VM received, or read itself.
        edge::Time ownReadAt { 0 };
        bool allArrived = false; // Since a heartbeat that came before the VM's last own read.
        bool heard = false;
        for (auto at = edge::Time { seconds { 10 } }; at < edge::Time { seconds { 22 } }; at += milliseconds { 200 }) {
            for (int records = *rc::gen::inRange(0, 3); records > 0; records--)
                queue.emplace_back(++count, edge::forwardRepeats);
            edge::Heartbeat heartbeat;
            heartbeat.forwardedCount = count;
            for (auto& [number, remaining] : queue) {
                heartbeat.forwardedEntries.push_back({ "w", "", number, number });
                remaining--;
            }
            std::erase_if(queue, [](const auto& item) { return item.second <= 0; });
            bool arrives = *rc::gen::weightedElement<bool>({ { 3, true }, { 1, false } });
            allArrived = allArrived && arrives;
            if (arrives) {
                heard = true;
                for (const auto& entry : heartbeat.forwardedEntries)
                    known.insert(entry.number);
                tracker.record(heartbeat, at);
                if (tracker.isComplete(ownReadAt))
                    RC_ASSERT(known.size() == count);
            }
            RC_ASSERT((heard || !tracker.isComplete(ownReadAt)));
            RC_ASSERT((!allArrived || tracker.isComplete(ownReadAt)));
            if (*rc::gen::inRange(0, 8) == 0) {
                ownReadAt = at + milliseconds { 1 };
                for (uint64_t number = 1; number <= count; number++)
                    known.insert(number);
                allArrived = arrives;
            }
        }
    }));
}

// A VM that leaves the worker stream to its peers must read it after the store was restored: the workers write everything again, and what
// the peers know already they do not forward.
CLUSTER_TEST(restoration_makes_a_vm_read_the_worker_stream_that_it_leaves_to_peers, 13400)
{
    SimulatedPeers peers(cluster, 13440, readerNames(), "dc");
    for (const auto& name : readerNames())
        peers.changeHeartbeat(name, [](edge::Heartbeat& heartbeat) { heartbeat.readsWorkers = true; });
    cluster.configureAndWait();
    auto copy = cluster.store.copy();
    cluster.publishWorkers(10);
    std::this_thread::sleep_for(milliseconds { 1500 });
    auto reads = cluster.store.workerTopicReads.load();
    std::this_thread::sleep_for(milliseconds { 1500 });
    cr_assert_eq(cluster.store.workerTopicReads, reads, "the VM does not leave the reads to its peers, so the test proves nothing");
    cluster.store.restore(copy);
    cluster.app(0).draining = true;
    cluster.app(0).publish();
    // The VM learns of the restoration when it renews the lease.
    std::this_thread::sleep_for(milliseconds { 2500 });
    cr_assert_gt(cluster.store.workerTopicReads, reads);
    cr_assert_eq(countRuns(cluster, 0, 12, "after-"), 0);
}

// A VM that neither reads the workers nor holds the lease calls the store seldom. It must hear of the restoration from a peer.
Test(edge, heartbeat_of_a_peer_tells_of_a_restoration, .timeout = 40)
{
    auto& cluster = *new TestCluster(13075, 0);
    cluster.store.write("keyed.comfreypier-lease", "orders", "1 " + readerNames()[0]);
    cluster.configure(1);
    SimulatedPeers peers(cluster, 13125, readerNames(), "dc");
    for (const auto& name : readerNames()) {
        peers.changeHeartbeat(name, [&](edge::Heartbeat& heartbeat) {
            heartbeat.readsWorkers = true;
            heartbeat.storeEra = 1;
            heartbeat.leaseToken = name == readerNames()[0] ? 1 : 0;
        });
    }
    cluster.startVm(0);
    cr_assert(cluster.waitUntil([&] { return cluster.isReady(0); }));
    std::this_thread::sleep_for(milliseconds { 1500 });
    auto copy = cluster.store.copy();
    cluster.publishWorkers(5);
    std::this_thread::sleep_for(milliseconds { 1000 });
    auto reads = cluster.store.workerTopicReads.load();
    cluster.store.restore(copy);
    cluster.app(0).draining = true;
    cluster.app(0).publish();
    std::this_thread::sleep_for(milliseconds { 2000 });
    cr_assert_eq(cluster.store.workerTopicReads, reads, "the VM learned of the restoration itself, so the test proves nothing");
    peers.changeHeartbeat(readerNames()[1], [](edge::Heartbeat& heartbeat) { heartbeat.storeEra = 2; });
    std::this_thread::sleep_for(milliseconds { 1500 });
    cr_assert_gt(cluster.store.workerTopicReads, reads);
    cr_assert_eq(countRuns(cluster, 0, 12, "after-"), 0);
    exitProcess();
}

// The copy holds the record of a peer's start before. If it replaced that of the running one, the VM would be deaf to the peer.
CLUSTER_TEST(restored_record_of_a_former_start_does_not_replace_a_running_peer, 13470)
{
    SimulatedPeers peers(cluster, 13496, { "peer0" }, "dc");
    cluster.configureAndWait();
    auto knowsPeer = [&] {
        auto response = cluster.call(cluster.directory(), { "GET", "/v1/resolve?name=h.example&region=r&zone=dc", {}, {} });
        return response && response.value().body.find("13497") != std::string::npos;
    };
    cr_assert(cluster.waitUntil(knowsPeer));
    auto copy = cluster.store.copy();
    peers.setIncarnation(2);
    cluster.store.write("keyed.comfreypier-members", "peer0", edge::encodeMember({ 2, loopback(13496), loopback(13497), "dc", 0 }));
    std::this_thread::sleep_for(milliseconds { 1500 });
    cr_assert(knowsPeer());
    cluster.store.restore(copy);
    auto end = transport::monotonicNow() + seconds { 4 };
    while (transport::monotonicNow() < end) {
        cr_assert(knowsPeer(), "the peer is heard no more");
        std::this_thread::sleep_for(milliseconds { 50 });
    }
}

Test(heartbeats, eras_survive_the_encoding)
{
    edge::Heartbeat heartbeat;
    heartbeat.node = "vm";
    heartbeat.storeEra = 3;
    heartbeat.leasePosition = { 2, 7 };
    heartbeat.forwardedEntries = { { "w", "value", 5, 1, 3, true } };
    auto decoded = edge::decodeHeartbeat(edge::encodeHeartbeat(heartbeat));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->storeEra, 3U);
    cr_assert(decoded->leasePosition == heartbeat.leasePosition);
    const auto& entry = decoded->forwardedEntries.at(0);
    cr_assert(entry.era == 3 && entry.offset == 5 && entry.fromCopy);
}

// What is known of a worker counts against a record of the copy with which an era began, and yields to one that was written afterwards.
Test(fleet, records_of_a_copy_do_not_replace_what_is_known)
{
    constexpr edge::Time now = seconds { 10 };
    routing::WorkerEntry ready;
    ready.id = "w";
    ready.service = "s";
    ready.startedAt = 5;
    auto draining = ready;
    draining.draining = true;
    auto earlier = ready;
    earlier.startedAt = 4;
    auto later = ready;
    later.startedAt = 6;
    auto only = [](const edge::Fleet& fleet) { return fleet.entries().at(0); };

    edge::Fleet known("vm", "dc");
    known.applyEntry(draining, { 1, 90 }, false, now);
    cr_assert_eq(known.applyEntry(ready, { 2, 3 }, true, now), edge::EntryChange::None);
    cr_assert(only(known).draining, "a draining worker is ready again");
    cr_assert_eq(known.applyEntry(earlier, { 2, 4 }, true, now), edge::EntryChange::None, "a record of an earlier start counts as a restart");
    cr_assert_eq(known.applyEntry(ready, { 2, 5 }, false, now), edge::EntryChange::Status);
    cr_assert_eq(known.applyEntry(draining, { 1, 95 }, false, now), edge::EntryChange::None, "a record of the era before arrived late");

    edge::Fleet behind("vm", "dc");
    behind.applyEntry(ready, { 1, 90 }, false, now);
    cr_assert_eq(behind.applyEntry(draining, { 2, 3 }, true, now), edge::EntryChange::Status, "only the copy says that the worker leaves");
    cr_assert(only(behind).draining);
    cr_assert_eq(behind.applyEntry(later, { 2, 4 }, true, now), edge::EntryChange::Status);
    cr_assert_not(only(behind).draining);

    edge::Fleet removed("vm", "dc");
    removed.applyEntry(ready, { 1, 90 }, false, now);
    cr_assert(removed.markRemoved("w", { 1, 91 }, now, edge::Time { 0 }));
    cr_assert_eq(removed.applyEntry(ready, { 2, 3 }, true, now), edge::EntryChange::None, "a removed worker is back");
    cr_assert_eq(removed.dropRemoved(now).size(), 1U);
    cr_assert_eq(removed.applyEntry(ready, { 2, 3 }, true, now), edge::EntryChange::None, "a dropped worker is back");
    cr_assert_eq(removed.applyEntry(earlier, { 2, 3 }, true, now), edge::EntryChange::None, "an earlier start of a dropped worker is back");
    cr_assert(removed.entries().empty());
    cr_assert_eq(removed.applyEntry(ready, { 2, 4 }, false, now), edge::EntryChange::Status);

    // A full read that lacks the worker; the next record may stand at its end.
    edge::Fleet absent("vm", "dc");
    absent.applyEntry(ready, { 1, 90 }, false, now);
    cr_assert_eq(absent.markRemovedExcept({}, { 2, 6 }, now, seconds { 1 }).size(), 1U);
    cr_assert_eq(absent.applyEntry(ready, { 2, 6 }, false, now), edge::EntryChange::Status);
    cr_assert(absent.dropRemoved(now + seconds { 2 }).empty());
}

// Heartbeats that a datagram can't hold were dropped without a word, with all the news that they carry. Every part must fit, the parts must
// carry each item once, and a receiver must notice each part that is lost.
Test(heartbeat_split, parts_fit_a_datagram_and_carry_everything)
{
    constexpr uint64_t firstNumber = 1001;
    edge::Heartbeat heartbeat;
    heartbeat.node = "vm1";
    heartbeat.sequence = 7;
    heartbeat.readsWorkers = true;
    heartbeat.leaseToken = 5;
    for (uint64_t i = 0; i < 700; i++) {
        auto name = "worker-" + std::to_string(i);
        heartbeat.forwardedEntries.push_back({ name, std::string(i % 40 == 0 ? 8000 : 400, 'v'), i, firstNumber + i });
        heartbeat.sentPrefixes.push_back({ edge::workerKey(name), i * 0x9e3779b97f4a7c15, 500 });
        heartbeat.usedAdapters.push_back({ name, "model", "adapter-" + std::to_string(i) });
        heartbeat.limitReports.push_back({ i, 5, milliseconds { 10 } });
        for (int k = 0; k < 20; k++)
            heartbeat.resident[name].insert("model/adapter-" + std::to_string(k));
    }
    heartbeat.forwardedCount = firstNumber + 699;
    for (int i = 0; i < 2000; i++)
        heartbeat.loads[static_cast<edge::WorkerKey>(i)] = { 1000, 20000, 7 };
    heartbeat.demand["model"] = 3;
    heartbeat.missingItems = { { "w", "m", "a" } };
    cr_assert_gt(edge::encodeHeartbeat(heartbeat).size(), transport::maxDatagramBytes, "the heartbeat is small, so the test proves nothing");
    auto parts = edge::splitHeartbeat(heartbeat, transport::maxDatagramBytes);
    cr_assert_lt(parts.size(), 40);
    std::set<uint64_t> numbers;
    std::set<std::string> resident;
    size_t prefixes = 0;
    size_t adapters = 0;
    size_t limits = 0;
    for (size_t i = 0; i < parts.size(); i++) {
        const auto& part = parts[i];
        auto size = edge::encodeHeartbeat(part).size();
        cr_assert_leq(size, transport::maxDatagramBytes, "part %zu has %zu bytes", i, size);
        cr_assert(part.node == "vm1" && part.readsWorkers && part.leaseToken == 5 && part.missingItems.size() == 1);
        cr_assert(part.partial == (i > 0) && part.loads.size() == (i == 0 ? 2000 : 0) && part.demand.size() == (i == 0 ? 1 : 0));
        for (const auto& entry : part.forwardedEntries)
            cr_assert(numbers.insert(entry.number).second && entry.number <= part.forwardedCount);
        for (const auto& [worker, items] : part.resident)
            cr_assert(resident.insert(worker).second && items.size() == 20);
        prefixes += part.sentPrefixes.size();
        adapters += part.usedAdapters.size();
        limits += part.limitReports.size();
    }
    cr_assert(numbers.size() == 700 && resident.size() == 700 && prefixes == 700 && adapters == 700 && limits == 700);
    // `lost` is the part that does not arrive; none for the last value.
    for (size_t lost = 0; lost <= parts.size(); lost++) {
        edge::ForwardTracker tracker;
        edge::Heartbeat before;
        before.forwardedCount = firstNumber - 1;
        tracker.record(before, edge::Time { seconds { 1 } });
        bool carriesEntries = lost < parts.size() && !parts[lost].forwardedEntries.empty();
        for (size_t i = 0; i < parts.size(); i++) {
            if (i != lost)
                tracker.record(parts[i], edge::Time { seconds { 10 } });
        }
        edge::Heartbeat next;
        next.forwardedCount = heartbeat.forwardedCount;
        tracker.record(next, edge::Time { seconds { 10 } });
        cr_assert_eq(tracker.isComplete(edge::Time { seconds { 5 } }), !carriesEntries, "part %zu", lost);
    }
    edge::Heartbeat small;
    small.node = "vm1";
    cr_assert_eq(edge::splitHeartbeat(small, transport::maxDatagramBytes).size(), 1U);
    // A summary has loads only, and must not be followed by an empty one.
    edge::Heartbeat summary;
    summary.summaryOf = "dc";
    for (int i = 0; i < 10'000; i++)
        summary.loads[static_cast<edge::WorkerKey>(i)] = { 1000, 20000, 7 };
    cr_assert_eq(edge::splitHeartbeat(summary, transport::maxDatagramBytes).size(), 1U);
}

// However many records there are at once, each must be sent in as many heartbeats as promised, none may be overtaken by repeated ones, and
// a receiver that gets all heartbeats must need no read of its own.
Test(forward_queue, records_are_sent_in_order_and_within_the_bound)
{
    cr_assert(rc::check("", [] {
        constexpr size_t maxBytes = 1000;
        edge::ForwardQueue queue;
        edge::ForwardTracker tracker;
        tracker.record({}, edge::Time { seconds { 1 } });
        std::map<uint64_t, int> sends; // By number of the record.
        uint64_t pushed = 0;
        for (int round = 0; round < 200; round++) {
            for (int count = round < 30 ? *rc::gen::inRange(0, 12) : 0; count > 0; count--, pushed++)
                queue.push({ "w", std::string(*rc::gen::inRange<size_t>(0, 1300), 'v'), pushed, 0 });
            edge::Heartbeat heartbeat;
            queue.fill(heartbeat, maxBytes);
            tracker.record(heartbeat, edge::Time { seconds { 10 } });
            size_t bytes = 0;
            bool unsentLeft = sends.size() < pushed;
            for (const auto& entry : heartbeat.forwardedEntries) {
                bytes += entry.worker.size() + entry.value.size();
                sends[entry.number]++;
            }
            RC_ASSERT((bytes <= maxBytes || heartbeat.forwardedEntries.size() == 1));
            RC_ASSERT(heartbeat.forwardedCount == sends.size());
            RC_ASSERT((sends.empty() || sends.rbegin()->first == sends.size()));
            RC_ASSERT((!unsentLeft || !heartbeat.forwardedEntries.empty()));
            RC_ASSERT(queue.hasUnsent() == (sends.size() < pushed));
            RC_ASSERT(tracker.isComplete(edge::Time { seconds { 5 } }));
        }
        while (true) {
            edge::Heartbeat heartbeat;
            queue.fill(heartbeat, maxBytes);
            if (heartbeat.forwardedEntries.empty())
                break;
            for (const auto& entry : heartbeat.forwardedEntries)
                sends[entry.number]++;
        }
        RC_ASSERT(sends.size() == pushed);
        for (const auto& [number, count] : sends)
            RC_ASSERT(count == edge::forwardRepeats);
    }));
}

// Guards against VMs that a full link keeps from all news of the workers: it drops the last datagrams of a burst, in whatever order they are.
Test(forward_order, full_link_keeps_no_vm_from_any_record)
{
    cr_assert(rc::check("", [] {
        auto targetCount = *rc::gen::inRange<size_t>(1, 60);
        auto repeats = static_cast<size_t>(edge::forwardRepeats);
        auto delivered = (targetCount + repeats - 1) / repeats; // Datagrams of a burst that the link takes.
        std::vector<transport::Endpoint> targets;
        for (size_t i = 0; i < targetCount; i++)
            targets.push_back(loopback(static_cast<uint16_t>(1000 + i)));
        edge::ForwardQueue queue;
        edge::SendOrder order;
        std::map<uint16_t, std::set<uint64_t>> received; // By target: numbers of the records.
        uint64_t pushed = 0;
        constexpr size_t recordRounds = 20;
        for (size_t round = 0; round < recordRounds + repeats; round++) {
            for (int count = round < recordRounds ? *rc::gen::inRange(0, 3) : 0; count > 0; count--)
                queue.push({ "w", "v", ++pushed, 0 });
            edge::Heartbeat heartbeat;
            queue.fill(heartbeat, 1000);
            auto sent = order.next(targets);
            RC_ASSERT(std::is_permutation(sent.begin(), sent.end(), targets.begin(), targets.end()));
            for (size_t i = 0; i < delivered; i++) {
                for (const auto& entry : heartbeat.forwardedEntries)
                    received[sent[i].port].insert(entry.number);
            }
        }
        for (const auto& target : targets)
            RC_ASSERT(received[target.port].size() == pushed);
    }));
}

// Guards against VMs that disagree about which of them goes first, as a record holds less digits of a capacity than a VM knows of its own.
Test(forward_order, all_vms_agree_who_goes_first_and_weak_ones_go_last)
{
    cr_assert(rc::check("", [] {
        auto count = *rc::gen::inRange<size_t>(2, 30);
        std::vector<edge::DutyRank> own;
        std::vector<edge::DutyRank> fromRecords;
        std::vector<double> capacities;
        for (size_t i = 0; i < count; i++) {
            auto capacity = *rc::gen::element(0.05, 0.12, 0.25, 0.5, 1.0 / 3);
            auto name = "edge-" + std::to_string(i);
            auto record = edge::decodeMember(edge::encodeMember({ i, loopback(1), loopback(2), "dc", capacity }));
            RC_ASSERT(record.has_value());
            own.push_back(edge::dutyRank(name, capacity));
            fromRecords.push_back(edge::dutyRank(name, record->capacity));
            capacities.push_back(capacity);
        }
        for (size_t i = 0; i < count; i++) {
            for (size_t j = 0; j < count; j++) {
                bool goesBefore = own[i] < fromRecords[j];
                RC_ASSERT(goesBefore == (fromRecords[i] < own[j]));
                RC_ASSERT((i == j) == (!goesBefore && !(fromRecords[j] < own[i])));
                RC_ASSERT((capacities[i] >= capacities[j] || !goesBefore));
            }
        }
    }));
}

// The same for a VM that reads the news of hundreds of workers at once: its group must get them all.
CLUSTER_TEST(news_of_hundreds_of_workers_reach_the_group, 12300)
{
    constexpr size_t workerCount = 500;
    SimulatedPeers peers(cluster, 12350, { "near0", "near1" }, "dc");
    cluster.configureAndWait();
    std::this_thread::sleep_for(milliseconds { 1500 });
    for (size_t i = 0; i < workerCount; i++)
        cluster.store.write("keyed.servers", "many" + std::to_string(i), R"({"service":"other","addr":"127.0.0.1:9","zone":"dc","version":")" + std::string(300, 'v') + R"(","slots":8,"state":"draining","born":1,"models":[]})");
    auto complete = [&] { return peers.receivedWorkers() >= workerCount; };
    cr_assert(cluster.waitUntil(complete, milliseconds { 2500 }), "the group got the news of %zu of %zu workers", peers.receivedWorkers(), workerCount);
    auto metrics = cluster.call(cluster.metrics(), { "GET", "/metrics", {}, {} }).value().body;
    cr_assert_neq(metrics.find("event=\"beats_dropped\"} 0\n"), std::string::npos, "heartbeats were dropped: %s", metrics.c_str());
}

// After a restart a VM knows the workers from the store only. A peer may still forward the record of a worker that has left since; the
// worker must not be used again.
Test(edge, worker_that_left_before_a_restart_is_not_used_again, .timeout = 40)
{
    auto& cluster = *new TestCluster(31150, 0);
    std::string staleEntry = R"({"service":"app","addr":"127.0.0.1:)" + std::to_string(cluster.base + 1) + R"(","zone":"dc","version":"v1","slots":8,"state":"ready","born":1,"models":[]})";
    cluster.app(0).unpublish();
    cluster.configure(1);
    SimulatedPeers peers(cluster, 31200, readerNames(), "dc");
    for (const auto& name : readerNames()) {
        peers.changeHeartbeat(name, [&staleEntry](edge::Heartbeat& heartbeat) {
            heartbeat.readsWorkers = true;
            heartbeat.forwardedCount = 1;
            heartbeat.forwardedEntries = { { "app0", staleEntry, 0, 1 } };
        });
    }
    cluster.startVm(0);
    cr_assert(cluster.waitUntil([&] { return cluster.isReady(0); }));
    std::this_thread::sleep_for(milliseconds { 1000 });
    cr_assert_eq(countRuns(cluster, 0, 12, "after-"), 0);
    exitProcess();
}

// Guards against requests to a worker that fails only requests of other VMs: their heartbeats report the failures.
CLUSTER_TEST(worker_failing_for_other_vms_is_avoided, 30700)
{
    // `vm0` is the name of the VM under test, which ignores the peer of this name: three peers remain.
    SimulatedPeers peers(cluster, 30750, numberedNames("vm", 4), "dc");
    cluster.configureAndWait();
    cr_assert_gt(countRuns(cluster, 0, 20, "before-"), 0);
    for (int i = 1; i < 4; i++)
        peers.changeHeartbeat("vm" + std::to_string(i), [](edge::Heartbeat& heartbeat) { heartbeat.outcomes[edge::workerKey("app0")] = { 20, 20, {} }; });
    std::this_thread::sleep_for(milliseconds { 500 });
    cr_assert_eq(countRuns(cluster, 0, 12, "after-"), 0);
}

// Guards against sending callers to an overloaded VM while other VMs of its data centre have capacity.
CLUSTER_TEST(overloaded_vm_is_left_out_of_directory, 30800)
{
    SimulatedPeers peers(cluster, 30850, { "vm1", "vm2", "vm3" }, "dc");
    cluster.configureAndWait();
    auto listsAddress = [&](uint16_t port) {
        auto body = cluster.call(cluster.directory(), { "GET", "/v1/resolve?name=h.example&region=r&zone=dc", {}, {} }).value().body;
        return body.find(transport::toString(loopback(port))) != std::string::npos;
    };
    cr_assert(cluster.waitUntil([&] { return listsAddress(30851) && listsAddress(30852) && listsAddress(30853); }));
    peers.changeHeartbeat("vm2", [](edge::Heartbeat& heartbeat) { heartbeat.overloaded = true; });
    cr_assert(cluster.waitUntil([&] { return !listsAddress(30852); }));
    cr_assert(listsAddress(30851) && listsAddress(30853));
    peers.changeHeartbeat("vm2", [](edge::Heartbeat& heartbeat) { heartbeat.overloaded = false; });
    cr_assert(cluster.waitUntil([&] { return listsAddress(30852); }));
}

// Guards against heartbeat traffic that grows with the square of the number of VMs. There are more VMs than one group may have,
// so those of the other data centre get fewer heartbeats and no forwarded worker records.
CLUSTER_TEST(other_group_receives_fewer_heartbeats, 30900)
{
    constexpr int vmsPerGroup = 15;
    SimulatedPeers group(cluster, 30950, numberedNames("near", vmsPerGroup), "dc");
    SimulatedPeers otherGroup(cluster, 31000, numberedNames("far", vmsPerGroup), "elsewhere");
    cluster.configureAndWait();
    std::this_thread::sleep_for(milliseconds { 3000 });
    auto groupBefore = group.receivedHeartbeats();
    auto otherGroupBefore = otherGroup.receivedHeartbeats();
    cluster.app(0).draining = true;
    cluster.app(0).publish();
    std::this_thread::sleep_for(milliseconds { 4000 });
    auto toGroup = group.receivedHeartbeats() - groupBefore;
    auto toOtherGroup = otherGroup.receivedHeartbeats() - otherGroupBefore;
    // In four seconds each VM of the group should get about 16 heartbeats, each other VM two, or four
    // from the lease holder.
    cr_assert_gt(toGroup, 8 * vmsPerGroup, "the group received %d heartbeats", toGroup);
    cr_assert_gt(toOtherGroup, vmsPerGroup, "the other group received %d heartbeats", toOtherGroup);
    cr_assert_lt(toOtherGroup, 6 * vmsPerGroup, "the other group received %d heartbeats", toOtherGroup);
    cr_assert_gt(group.receivedEntries(), 0);
    cr_assert_eq(otherGroup.receivedEntries(), 0);
}

// A VM of another group counts in the summary of its group. If its own heartbeat counted as well, as the lease holder gets it, its load
// would count twice, and again in the summary of this group.
CLUSTER_TEST(loads_of_other_groups_count_only_in_their_summaries, 31600)
{
    constexpr int vmsPerGroup = 13;
    SimulatedPeers group(cluster, 31650, numberedNames("near", vmsPerGroup), "dc");
    SimulatedPeers otherGroup(cluster, 31700, numberedNames("far", vmsPerGroup), "elsewhere");
    cluster.configureAndWait();
    std::this_thread::sleep_for(milliseconds { 1000 });
    auto loaded = [](edge::Heartbeat& heartbeat) { heartbeat.loads[edge::workerKey("app0")] = { 0, 0, 100 }; };
    otherGroup.changeHeartbeat("far1", loaded);
    std::this_thread::sleep_for(milliseconds { 500 });
    cr_assert_gt(countRuns(cluster, 0, 20, "direct-"), 0);
    otherGroup.changeHeartbeat("far1", [](edge::Heartbeat& heartbeat) { heartbeat.summaryOf = "elsewhere"; });
    std::this_thread::sleep_for(milliseconds { 500 });
    cr_assert_eq(countRuns(cluster, 0, 20, "summary-"), 0);
}

// Guards against VMs of another data centre that learn too late that a worker leaves: their own heartbeats come every two seconds.
CLUSTER_TEST(leaves_are_heard_from_other_groups_in_their_summaries, 12700)
{
    constexpr int vmsPerGroup = 13;
    SimulatedPeers group(cluster, 12750, numberedNames("near", vmsPerGroup), "dc");
    SimulatedPeers otherGroup(cluster, 12770, numberedNames("far", vmsPerGroup), "elsewhere");
    cluster.configureAndWait();
    std::this_thread::sleep_for(milliseconds { 1000 });
    cr_assert_gt(countRuns(cluster, 0, 20, "before-"), 0);
    routing::WorkerEntry worker;
    worker.id = "app0";
    worker.startedAt = cluster.app(0).startedAtMs;
    otherGroup.changeHeartbeat("far1", [&worker](edge::Heartbeat& heartbeat) {
        heartbeat.summaryOf = "elsewhere";
        heartbeat.leaveReports = { routing::workerStart(worker) };
    });
    std::this_thread::sleep_for(milliseconds { 500 });
    cr_assert_eq(countRuns(cluster, 0, 20, "summary-"), 0);
}

// Guards against datagrams of anybody that tell of loads and leaving workers: only a member sums up its own data centre.
CLUSTER_TEST(summaries_of_strangers_and_of_other_data_centres_are_ignored, 17300)
{
    SimulatedPeers group(cluster, 17350, { "near" }, "dc");
    cluster.configureAndWait();
    std::this_thread::sleep_for(milliseconds { 1000 });
    cr_assert_gt(countRuns(cluster, 0, 20, "before-"), 0);
    transport::DatagramSocket socket(cluster.runtime, loopback(17360), [](std::string_view) {});
    cr_assert(socket.start());
    cluster.runtime.spawn([&] {
        // One of nobody, one of an earlier start of a member, and one of a member about a data centre that is not its own.
        for (const auto& [node, incarnation] : { std::pair("stranger", 1), std::pair("near", 2), std::pair("near", 1) }) {
            edge::Heartbeat summary;
            summary.node = node;
            summary.incarnation = static_cast<uint64_t>(incarnation);
            summary.sequence = 1;
            summary.summaryOf = "elsewhere";
            summary.loads[edge::workerKey("app0")] = { 0, 0, 100 };
            (void)socket.send(loopback(cluster.base + 23), edge::encodeHeartbeat(summary));
        }
    });
    std::this_thread::sleep_for(milliseconds { 300 });
    cr_assert_gt(countRuns(cluster, 0, 20, "after-"), 0);
}

// Guards against a model that never gets a second copy. If refused requests did not count as demand, a model whose only worker
// is full would seem to need no more than that worker.
CLUSTER_TEST(refused_requests_count_as_demand, 31050)
{
    for (int i = 0; i < 2; i++) {
        cluster.llm(i).eventsPerStream = 1000;
        cluster.llm(i).eventDelayMs = 20;
    }
    cluster.configureAndWait();
    // Returns the number of workers that hold a model.
    auto copies = [&](const std::string& model) {
        int count = 0;
        for (int i = 0; i < 2; i++) {
            std::lock_guard lock(cluster.llm(i).mutex);
            count += cluster.llm(i).models.contains(model) ? 1 : 0;
        }
        return count;
    };
    cr_assert(cluster.waitUntil([&] { return copies("m2") == 1 && copies("m3") == 1; }, milliseconds { 10000 }));
    // Eight streams use all slots of the only worker with `m2`, so that requests after them are refused.
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; i++)
        callers.emplace_back([&cluster, i] { cluster.sendChat("stream-" + std::to_string(i), "/chat/x", "m2"); });
    std::this_thread::sleep_for(milliseconds { 300 });
    std::atomic<int> refused { 0 };
    for (int i = 0; i < 20; i++)
        callers.emplace_back([&, i] { refused += cluster.sendChat("more-" + std::to_string(i), "/chat/x", "m2").status == 503 ? 1 : 0; });
    cr_assert(cluster.waitUntil([&] { return copies("m2") == 2; }, milliseconds { 8000 }), "%d requests were refused", refused.load());
    for (auto& caller : callers)
        caller.join();
    cr_assert_gt(refused, 0);
    cr_assert_eq(cluster.llm(0).overcommits + cluster.llm(1).overcommits, 0);
}

// Guards against a weak VM that keeps the lease after a VM with more capacity has started.
// Guards against a VM that hears no other VM for half a minute because its reads of the members and of the configuration hang on silent
// connections while the others restart.
Test(edge, restarted_peers_are_heard_although_the_reads_of_the_members_hang, .timeout = 40)
{
    auto* cluster = new TestCluster(32500);
    cluster->configureAndWait();
    auto* peers = new SimulatedPeers(*cluster, 32560, { "peer0" }, "dc");
    auto knowsPeer = [&] {
        auto response = cluster->call(cluster->directory(), { "GET", "/v1/resolve?name=h.example&region=r&zone=dc", {}, {} });
        return response && response.value().body.find("32561") != std::string::npos;
    };
    cr_assert(cluster->waitUntil(knowsPeer));
    // Reads that wait at this time, as both streams' do soon after their last record, never get a response.
    std::this_thread::sleep_for(milliseconds { 1500 });
    cluster->store.unresponsive = true;
    std::this_thread::sleep_for(milliseconds { 300 });
    cluster->store.unresponsive = false;
    peers->setIncarnation(2);
    cluster->store.write("keyed.comfreypier-members", "peer0", edge::encodeMember({ 2, loopback(32560), loopback(32561), "dc", 0 }));
    cluster->configure(2, standins::makePlatformRoute("late", "/late/"));
    peers->changeHeartbeat("peer0", [](edge::Heartbeat& heartbeat) { heartbeat.configVersion = 2; });
    cr_assert(cluster->waitUntil([&] { return cluster->sendRequest("/late/x", "id-1").status == 200; }, milliseconds { 3000 }), "the configuration that the restarted peer reports was not read");
    cr_assert(cluster->waitUntil(knowsPeer, milliseconds { 3000 }), "the restarted peer is not known");
    exitProcess();
}

Test(edge, lease_moves_to_stronger_vm, .timeout = 40)
{
    auto* cluster = new TestCluster(31100, 0);
    // Returns the VM whose newest order has the highest token, or an empty string if no order was sent.
    auto lastHolder = [cluster] {
        std::string holder;
        uint64_t token = 0;
        for (int i = 0; i < 2; i++) {
            std::lock_guard lock(cluster->llm(i).mutex);
            const auto& orders = cluster->llm(i).orders;
            if (!orders.empty() && orders.back().token >= token) {
                token = orders.back().token;
                holder = orders.back().holder;
            }
        }
        return holder;
    };
    cluster->startVm(0, 0.1);
    cluster->configureAndWait();
    cr_assert(cluster->waitUntil([&] { return lastHolder() == "vm0"; }, milliseconds { 10000 }));
    cluster->startVm(1, 1);
    // Enough for `ownership::handOverDelay`, then the release and the take-over of the lease.
    std::this_thread::sleep_for(milliseconds { 9000 });
    // Restarted workers need their adapters again, so the lease holder has orders to send.
    for (int i = 0; i < 2; i++) {
        cluster->llm(i).startedAtMs += 1000;
        {
            std::lock_guard lock(cluster->llm(i).mutex);
            cluster->llm(i).adapters.clear();
        }
        cluster->llm(i).publish();
    }
    int chatsSent = 0;
    cr_assert(cluster->waitUntil([&] {
        cluster->sendChat("chat-" + std::to_string(chatsSent), "/chat/x", "m1/a" + std::to_string(chatsSent % 3 + 1));
        chatsSent++;
        return lastHolder() == "vm1"; }, milliseconds { 15000 }), "vm0 kept the lease");
    cr_assert_eq(cluster->llm(0).overcommits + cluster->llm(1).overcommits, 0);
    exitProcess();
}

// Guards against messages about quotas that arrive changed, and against costs that raise a level.
Test(quota_messages, arrive_as_sent_without_negative_costs)
{
    edge::Heartbeat sent;
    sent.node = "vm0";
    sent.incarnation = 7;
    sent.quota.asks = { { "ann", 11, 2.5 }, { "ann", 12, -1 } };
    sent.quota.answers = { { 13, { accounts::ChargeOutcome::Refused, std::chrono::milliseconds { 250 } } } };
    sent.quota.levels = { { "bob", true, -3.5, 100, accounts::Time { 5 }, 9, 40, accounts::Time { 4 }, true } };
    sent.quota.returns = { 14, 15 };
    auto received = edge::decodeHeartbeat(edge::encodeHeartbeat(sent));
    cr_assert(received.has_value());
    const auto& quota = received->quota;
    cr_assert_eq(quota.asks.size(), 1U, "a negative cost is left out");
    cr_assert(quota.asks[0].account == "ann" && quota.asks[0].number == 11 && quota.asks[0].cost == 2.5);
    cr_assert_eq(quota.answers.size(), 1U);
    cr_assert(quota.answers[0].number == 13 && quota.answers[0].answer.outcome == accounts::ChargeOutcome::Refused && quota.answers[0].answer.retryAfter == std::chrono::milliseconds { 250 });
    cr_assert_eq(quota.levels.size(), 1U);
    const auto& level = quota.levels[0];
    cr_assert(level.account == "bob" && level.known && level.level == -3.5 && level.charged == 100 && level.wantsAnswer);
    cr_assert(level.sentAt == accounts::Time { 5 } && level.receiver == 9 && level.seen == 40 && level.answers == accounts::Time { 4 });
    cr_assert(quota.returns == (std::vector<uint64_t> { 14, 15 }));
    cr_assert(edge::decodeHeartbeat(edge::encodeHeartbeat({ .node = "vm0" }))->quota.isEmpty());
}

// Guards against a datagram of legal size that makes a VM allocate hundreds of megabytes.
Test(heartbeats, that_unpack_to_many_times_their_size_are_refused)
{
    edge::Heartbeat heartbeat;
    heartbeat.node = "stranger";
    heartbeat.quota.returns.assign(4 * 1024 * 1024, 0);
    auto bytes = edge::encodeHeartbeat(heartbeat);
    cr_assert_leq(bytes.size(), transport::maxDatagramBytes);
    cr_assert_not(edge::decodeHeartbeat(bytes).has_value());
    // Full datagrams are read.
    heartbeat.quota.returns.clear();
    for (uint64_t i = 0; edge::encodeHeartbeat(heartbeat).size() < transport::maxDatagramBytes - 1000; i += 100) {
        for (uint64_t j = i; j < i + 100; j++)
            heartbeat.quota.returns.push_back(j);
    }
    auto decoded = edge::decodeHeartbeat(edge::encodeHeartbeat(heartbeat));
    cr_assert(decoded && decoded->quota.returns == heartbeat.quota.returns);
}

// Guards against VMs that can't be ranked: no order of capacities holds with one that is no number.
Test(members, whose_capacity_is_no_number_are_unreadable)
{
    for (double capacity : { std::nan(""), HUGE_VAL, -1.0 }) {
        auto bytes = edge::encodeMember({ 1, loopback(1), loopback(2), "dc", capacity });
        cr_assert_not(edge::decodeMember(bytes).has_value(), "%g", capacity);
    }
}

// Guards against VMs of another deployment, or datagrams that anybody sends, that remain members without a record in the store, and that
// replace one.
CLUSTER_TEST(members_that_the_store_does_not_know_are_forgotten, 17000)
{
    const SimulatedPeers known(cluster, 17060, { "known" }, "dc");
    cluster.configureAndWait();
    auto knows = [&](const char* port) {
        auto response = cluster.call(cluster.directory(), { "GET", "/v1/resolve?name=h.example&region=r&zone=dc", {}, {} });
        return response && response.value().body.find(port) != std::string::npos;
    };
    cr_assert(cluster.waitUntil([&] { return knows("17061"); }));
    transport::DatagramSocket socket(cluster.runtime, loopback(17065), [](std::string_view) {});
    cr_assert(socket.start());
    std::atomic<bool> ended { false };
    std::atomic<bool> sending { true };
    cluster.runtime.spawn([&] {
        for (uint64_t sequence = 1; sending; sequence++) {
            for (const auto* name : { "stranger", "known" }) {
                edge::Heartbeat heartbeat;
                heartbeat.node = name;
                heartbeat.incarnation = 77;
                heartbeat.sequence = sequence;
                heartbeat.ready = true;
                heartbeat.member = edge::Member { 77, loopback(17065), loopback(name == std::string("known") ? 17067 : 17066), "dc", 1 };
                (void)socket.send(loopback(cluster.base + 23), edge::encodeHeartbeat(heartbeat));
            }
            transport::sleepFor(milliseconds { 100 });
        }
        ended = true;
    });
    cr_assert(cluster.waitUntil([&] { return knows("17066") && knows("17067"); }), "a new VM is known by its heartbeats");
    sending = false;
    cr_assert(cluster.waitUntil([&] { return ended.load(); }));
    // Each of these ends a read of the members.
    cr_assert(cluster.waitUntil([&] {
        cluster.store.write("keyed.comfreypier-members", "gone", "");
        std::this_thread::sleep_for(milliseconds { 100 });
        return knows("17061"); }, milliseconds { 6000 }), "the member that the store knows does not come back");
    cr_assert_not(knows("17066"));
    cr_assert_not(knows("17067"));
}

// Guards against a VM that starts again and is known by its heartbeats first: the record that ends its earlier start, read later, must not end
// this one.
CLUSTER_TEST(restarted_vm_that_is_heard_before_its_records_stays_a_member, 17100)
{
    SimulatedPeers peers(cluster, 17160, { "peer0" }, "dc");
    cluster.configureAndWait();
    auto isKnown = [&] {
        auto response = cluster.call(cluster.directory(), { "GET", "/v1/resolve?name=h.example&region=r&zone=dc", {}, {} });
        return response && response.value().body.find("17161") != std::string::npos;
    };
    cr_assert(cluster.waitUntil(isKnown));
    for (uint64_t start = 2; start <= 5; start++) {
        edge::Member member { start, loopback(17160), loopback(17161), "dc", 1 };
        peers.changeHeartbeat("peer0", [&](edge::Heartbeat& heartbeat) { heartbeat.member = member; });
        peers.setIncarnation(start);
        std::this_thread::sleep_for(milliseconds { 400 });
        if (start == 4) // Of a start in between that this VM has not heard.
            cluster.writeMember("peer0", edge::encodeMember({ 99, loopback(17160), loopback(17162), "dc", 1 }));
        cluster.store.write("keyed.comfreypier-members", "peer0", "");
        std::this_thread::sleep_for(milliseconds { start % 2 == 0 ? 300 : 0 });
        cluster.writeMember("peer0", edge::encodeMember(member));
        peers.changeHeartbeat("peer0", [](edge::Heartbeat& heartbeat) { heartbeat.member.reset(); });
        std::this_thread::sleep_for(milliseconds { 1000 });
        cr_assert(isKnown(), "start %d is forgotten", static_cast<int>(start));
    }
}

// Guards against a version that only a VM had which is gone: nobody gets it any more, and it says nothing about a key.
CLUSTER_TEST(unknown_keys_are_refused_once_no_vm_has_a_newer_version, 17200)
{
    SimulatedPeers peers(cluster, 17260, { "peer0" }, "dc");
    cluster.configureAccounts(1, "[" + accountJson("ann", "k1", 0, 0) + "]");
    auto statusOf = [&](const char* key) { return cluster.sendRequest("/order/x", "id-" + std::string(key), keyHeader(key)).status; };
    cr_assert(cluster.waitUntil([&] { return cluster.isReady() && statusOf("k1") == 200; }));
    cr_assert_eq(statusOf("k2"), 401U);
    peers.changeHeartbeat("peer0", [](edge::Heartbeat& heartbeat) { heartbeat.configVersion = 2; });
    cr_assert(cluster.waitUntil([&] { return statusOf("k2") == 503; }), "the peer may know the key");
    cluster.store.write("keyed.comfreypier-members", "peer0", "");
    cr_assert(cluster.waitUntil([&] { return statusOf("k2") == 401; }), "the peer has left");
    cr_assert_eq(statusOf("k1"), 200U);
}

namespace {

/// Peers of a deployment with two data centres, so that each forms a group of its own. In that of the VM under test two peers go before it and
/// say that they read the store.
class LargeDeployment {
public:
    LargeDeployment(TestCluster& cluster, uint16_t port)
        : readers(cluster, port, readerPair(), "dc")
        , others(cluster, static_cast<uint16_t>(port + 1 + readerPair().size()), numberedNames("far", edge::maxGroupSize), "elsewhere")
    {
        this->changeReaders([](edge::Heartbeat& heartbeat) {
            heartbeat.readsWorkers = true;
            heartbeat.readsConfiguration = true;
        });
    }

    void changeReaders(const std::function<void(edge::Heartbeat&)>& change)
    {
        for (const auto& name : readerPair())
            this->readers.changeHeartbeat(name, change);
    }

    SimulatedPeers readers;
    SimulatedPeers others;

private:
    static std::vector<std::string> readerPair()
    {
        auto names = readerNames();
        names.resize(edge::splitGroupReaderCount);
        return names;
    }
};

} // namespace

// Each VM followed configuration and members by itself. While two others of a large group do, it reads neither; when these are cut from the
// store, it reads both again in time.
CLUSTER_TEST(vm_of_a_large_group_leaves_the_store_to_its_readers, 16800)
{
    LargeDeployment deployment(cluster, 16860);
    cluster.configureAndWait();
    std::this_thread::sleep_for(milliseconds { 2500 });
    // Ends the reads that wait since before the peers were known.
    cluster.configure(2);
    cluster.store.write("keyed.comfreypier-members", "gone", "");
    std::this_thread::sleep_for(milliseconds { 1000 });
    auto configurationReads = cluster.store.readsOf("keyed.op");
    auto memberReads = cluster.store.readsOf("keyed.comfreypier-members");
    for (int version = 3; version < 8; version++) {
        cluster.configure(version, standins::makePlatformRoute("new", "/new/"));
        cluster.store.write("keyed.comfreypier-members", "gone", "");
        std::this_thread::sleep_for(milliseconds { 500 });
    }
    cr_assert_eq(cluster.store.readsOf("keyed.op"), configurationReads);
    cr_assert_eq(cluster.store.readsOf("keyed.comfreypier-members"), memberReads);
    deployment.changeReaders([](edge::Heartbeat& heartbeat) { heartbeat.readsConfiguration = false; });
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/new/x", "id-new").status == 200; }, milliseconds { 1500 }), "the VM does not read the configuration itself");
    cr_assert(cluster.waitUntil([&] { return cluster.store.readsOf("keyed.comfreypier-members") > memberReads; }, 2 * edge::memberReadInterval));
}

// In a large group a VM reads the worker stream when it has missed something of its readers. If all such VMs forwarded what they read, the
// links would be fuller and more would be missed.
CLUSTER_TEST(only_readers_of_a_large_group_forward_records, 16900)
{
    LargeDeployment deployment(cluster, 16960);
    cluster.configureAndWait();
    std::this_thread::sleep_for(milliseconds { 2500 });
    for (uint64_t round = 1; round < 8; round++) {
        deployment.changeReaders([round](edge::Heartbeat& heartbeat) { heartbeat.forwardedCount = round; });
        if (round == 3) {
            cluster.app(0).draining = true;
            cluster.app(0).publish();
        }
        std::this_thread::sleep_for(milliseconds { 300 });
    }
    cr_assert_eq(countRuns(cluster, 0, 12, "after-"), 0, "the VM has not read the record");
    cr_assert_eq(deployment.readers.receivedEntries(), 0);
    // Both are gone: the VM reads for the group.
    deployment.changeReaders([](edge::Heartbeat& heartbeat) { heartbeat.readsWorkers = false; });
    std::this_thread::sleep_for(milliseconds { 1000 });
    cluster.app(1).startedAtMs++;
    cluster.app(1).publish();
    cr_assert(cluster.waitUntil([&] { return deployment.readers.receivedEntries() > 0; }), "the VM forwards nothing");
}

// What a VM has read and not forwarded is missing for those that rely on it from then on.
Test(forward_queue, skipped_records_are_noticed_as_missing)
{
    edge::ForwardQueue queue;
    edge::ForwardTracker tracker;
    auto send = [&](seconds at) {
        edge::Heartbeat heartbeat;
        queue.fill(heartbeat, 1000);
        tracker.record(heartbeat, at);
    };
    queue.push({ "w0", "value" });
    send(seconds { 1 });
    queue.push({ "w1", "value" });
    send(seconds { 2 });
    cr_assert(tracker.isComplete(seconds { 2 }), "nothing was skipped");
    queue.skip();
    send(seconds { 3 });
    cr_assert_not(tracker.isComplete(seconds { 2 }));
    queue.push({ "w2", "value" });
    send(seconds { 4 });
    cr_assert(tracker.isComplete(seconds { 4 }), "a later read covers what was skipped");
}

// A VM that does not read the members learns of a new one from its heartbeats.
CLUSTER_TEST(new_vm_is_known_by_its_heartbeats, 16600)
{
    cluster.configureAndWait();
    edge::Member member { 7, loopback(16650), loopback(16651), "dc", 1 };
    transport::DatagramSocket socket(cluster.runtime, loopback(16650), [](std::string_view) {});
    cr_assert(socket.start());
    edge::Heartbeat heartbeat;
    heartbeat.node = "new";
    heartbeat.incarnation = 7;
    heartbeat.ready = true;
    auto isNamed = [&] {
        heartbeat.sequence++;
        (void)socket.send(loopback(cluster.base + 23), edge::encodeHeartbeat(heartbeat));
        auto response = cluster.call(cluster.directory(), { "GET", "/v1/resolve?name=h.example&region=r&zone=dc", {}, {} });
        return response && response.value().body.find("16651") != std::string::npos;
    };
    cr_assert_not(cluster.waitUntil(isNamed, milliseconds { 500 }));
    heartbeat.member = member;
    heartbeat.member->incarnation = 6;
    cr_assert_not(cluster.waitUntil(isNamed, milliseconds { 500 }), "the record is of another start");
    heartbeat.member = member;
    cr_assert(cluster.waitUntil(isNamed, milliseconds { 500 }));
}
