/// What VMs tell each other: a VM of this process among others that the test plays.
#include "edge_world.h"
#include "heartbeat_codec.h"

using namespace comfreypier;
using namespace comfreypier::testing;

namespace {

constexpr milliseconds beatPause { 100 };

/// Other VMs of one data centre, as the VM of `TestCluster` sees them. They share one address for beats.
class PlayedVms {
public:
    PlayedVms(TestCluster& cluster, uint16_t port, const std::vector<std::string>& names, const std::string& dataCentre)
        : cluster(cluster)
        , names(names)
        , socket(cluster.runtime, loopback(port), [this](std::string_view bytes) { this->receive(bytes); })
    {
        cr_assert(this->socket.start());
        uint16_t front = port;
        for (const auto& name : names) {
            edge::Member member { 1, loopback(port), loopback(++front), dataCentre, 0 };
            cluster.store.write("keyed.comfreypier-members", name, edge::encodeMember(member));
        }
        cluster.runtime.spawn([this] { this->run(); });
    }

    /// Changes what one of them tells.
    void tell(const std::string& name, const std::function<void(edge::Heartbeat&)>& change)
    {
        std::lock_guard lock(this->mutex);
        change(this->told[name]);
    }
    int heard() const { return this->beats; }
    int heardEntries() const { return this->entries; }

private:
    void run()
    {
        for (uint64_t number = 1;; number++) {
            for (const auto& name : this->names) {
                std::lock_guard lock(this->mutex);
                auto& beat = this->told[name];
                beat.node = name;
                beat.incarnation = 1;
                beat.sequence = number;
                beat.ready = true;
                this->socket.send(loopback(this->cluster.base + 23), edge::encodeHeartbeat(beat));
            }
            transport::sleepFor(beatPause);
        }
    }

    void receive(std::string_view bytes)
    {
        auto beat = edge::decodeHeartbeat(bytes);
        cr_assert(beat.has_value());
        this->beats++;
        this->entries += static_cast<int>(beat->forwardedEntries.size());
    }

    TestCluster& cluster;
    std::vector<std::string> names;
    std::mutex mutex;
    std::map<std::string, edge::Heartbeat> told;
    std::atomic<int> beats { 0 };
    std::atomic<int> entries { 0 };
    transport::DatagramSocket socket;
};

std::vector<std::string> numbered(const std::string& prefix, int count)
{
    std::vector<std::string> names;
    for (int i = 0; i < count; i++)
        names.push_back(prefix + std::to_string(i));
    return names;
}

/// Names that go before the VM's own in the choice of those that read the workers for all.
std::vector<std::string> readers()
{
    std::vector<std::string> names;
    for (int i = 0; names.size() < edge::workerReaderCount; i++) {
        auto name = "reader" + std::to_string(i);
        if (routing::hashText(name) < routing::hashText("vm0"))
            names.push_back(name);
    }
    return names;
}

int runsOf(TestCluster& cluster, int app, int requests, const std::string& prefix)
{
    auto before = cluster.app(app).runs.load();
    for (int i = 0; i < requests; i++)
        cr_assert_eq(cluster.sendRequest("/status/1", prefix + std::to_string(i)).status, 200U);
    return cluster.app(app).runs - before;
}

} // namespace

// Readers pass a leaving worker on by datagrams, all of which are lost here.
CLUSTER_TEST(a_leaving_worker_is_known_in_time_though_no_peer_tells_of_it, 30600)
{
    PlayedVms others(cluster, 30650, readers(), "dc");
    for (const auto& name : readers())
        others.tell(name, [](edge::Heartbeat& beat) { beat.readsWorkers = true; });
    cluster.configureAndWait();
    std::this_thread::sleep_for(milliseconds { 1500 });
    // Right after a read the next one is furthest away.
    auto reads = cluster.store.workerReads.load();
    cr_assert(cluster.waitUntil([&] { return cluster.store.workerReads > reads; }));
    reads = cluster.store.workerReads;
    cluster.app(0).leaving = true;
    cluster.app(0).publish();
    std::this_thread::sleep_for(milliseconds { 900 });
    cr_assert_eq(cluster.store.workerReads, reads, "the VM reads by itself all the time, the test proves nothing");
    std::this_thread::sleep_for(milliseconds { 2100 });
    cr_assert_eq(runsOf(cluster, 0, 12, "after-"), 0);
}

CLUSTER_TEST(a_worker_that_fails_for_other_vms_is_left, 30700)
{
    PlayedVms others(cluster, 30750, numbered("vm", 4), "dc");
    cluster.configureAndWait();
    cr_assert_gt(runsOf(cluster, 0, 20, "before-"), 0);
    for (int i = 1; i < 4; i++)
        others.tell("vm" + std::to_string(i), [](edge::Heartbeat& beat) { beat.outcomes[edge::workerKey("app0")] = { 20, 20, {} }; });
    std::this_thread::sleep_for(milliseconds { 500 });
    cr_assert_eq(runsOf(cluster, 0, 12, "after-"), 0);
}

CLUSTER_TEST(a_vm_that_falls_behind_leaves_the_directory, 30800)
{
    PlayedVms others(cluster, 30850, { "vm1", "vm2", "vm3" }, "dc");
    cluster.configureAndWait();
    auto names = [&](uint16_t port) {
        auto body = cluster.call(cluster.directory(), { "GET", "/v1/resolve?name=h.example&region=r&zone=dc", {}, {} }).value().body;
        return body.find(transport::toString(loopback(port))) != std::string::npos;
    };
    cr_assert(cluster.waitUntil([&] { return names(30851) && names(30852) && names(30853); }));
    others.tell("vm2", [](edge::Heartbeat& beat) { beat.overloaded = true; });
    cr_assert(cluster.waitUntil([&] { return !names(30852); }));
    cr_assert(names(30851) && names(30853));
    others.tell("vm2", [](edge::Heartbeat& beat) { beat.overloaded = false; });
    cr_assert(cluster.waitUntil([&] { return names(30852); }));
}

// More VMs than one group: those of other data centres are told less, and nothing of the workers' records.
CLUSTER_TEST(vms_of_other_data_centres_are_told_less, 30900)
{
    constexpr int each = 15;
    PlayedVms near(cluster, 30950, numbered("near", each), "dc");
    PlayedVms far(cluster, 31000, numbered("far", each), "elsewhere");
    cluster.configureAndWait();
    std::this_thread::sleep_for(milliseconds { 3000 });
    auto nearBefore = near.heard();
    auto farBefore = far.heard();
    cluster.app(0).leaving = true;
    cluster.app(0).publish();
    std::this_thread::sleep_for(milliseconds { 4000 });
    auto toNear = near.heard() - nearBefore;
    auto toFar = far.heard() - farBefore;
    cr_assert_gt(toNear, 8 * each, "the group heard %d beats", toNear);
    cr_assert_gt(toFar, each, "the others heard %d beats", toFar);
    cr_assert_lt(toFar, 6 * each, "the others heard %d beats", toFar);
    cr_assert_gt(near.heardEntries(), 0);
    cr_assert_eq(far.heardEntries(), 0);
}

// Without them a model whose only worker is full would look as busy as that worker, and never get another copy.
CLUSTER_TEST(refused_requests_are_demand_for_another_copy, 31050)
{
    for (int i = 0; i < 2; i++) {
        cluster.llm(i).events = 1000;
        cluster.llm(i).eventPauseMs = 20;
    }
    cluster.configureAndWait();
    auto holders = [&](const std::string& model) {
        int count = 0;
        for (int i = 0; i < 2; i++) {
            std::lock_guard lock(cluster.llm(i).mutex);
            count += cluster.llm(i).models.contains(model) ? 1 : 0;
        }
        return count;
    };
    cr_assert(cluster.waitUntil([&] { return holders("m2") == 1 && holders("m3") == 1; }, milliseconds { 10000 }));
    std::vector<std::thread> streams;
    for (int i = 0; i < 8; i++)
        streams.emplace_back([&cluster, i] { cluster.sendChat("stream-" + std::to_string(i), "/chat/x", "m2"); });
    std::this_thread::sleep_for(milliseconds { 300 });
    std::atomic<int> refused { 0 };
    for (int i = 0; i < 20; i++)
        streams.emplace_back([&, i] { refused += cluster.sendChat("more-" + std::to_string(i), "/chat/x", "m2").status == 503 ? 1 : 0; });
    cr_assert(cluster.waitUntil([&] { return holders("m2") == 2; }, milliseconds { 8000 }), "%d were refused", refused.load());
    for (auto& stream : streams)
        stream.join();
    cr_assert_gt(refused, 0);
    cr_assert_eq(cluster.llm(0).overloads + cluster.llm(1).overloads, 0);
}

Test(edge, orders_go_over_to_a_stronger_vm, .timeout = 40)
{
    auto* cluster = new TestCluster(31100, 0);
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
    std::this_thread::sleep_for(milliseconds { 9000 });
    // A worker that has restarted needs its adapters again.
    for (int i = 0; i < 2; i++) {
        cluster->llm(i).startedAt += 1000;
        {
            std::lock_guard lock(cluster->llm(i).mutex);
            cluster->llm(i).adapters.clear();
        }
        cluster->llm(i).publish();
    }
    int asked = 0;
    cr_assert(cluster->waitUntil([&] {
        cluster->sendChat("chat-" + std::to_string(asked), "/chat/x", "m1/a" + std::to_string(asked % 3 + 1));
        asked++;
        return lastHolder() == "vm1"; }, milliseconds { 15000 }), "vm0 kept the lease");
    cr_assert_eq(cluster->llm(0).overloads + cluster->llm(1).overloads, 0);
    exitProcess();
}
