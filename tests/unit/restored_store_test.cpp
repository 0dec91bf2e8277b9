/// Tests of the whole daemon with a store that comes back from a copy some seconds old: what it had acknowledged since is gone, and
/// offsets are given out again.
#include "edge_world.h"

using namespace comfreypier;
using namespace comfreypier::testing;

namespace {

/// Longer than a VM takes to read all streams anew.
constexpr milliseconds readTime { 1800 };

/// Sends requests to the service `app`, all at once so that they spread over its workers, and returns how many of them ran on a worker.
/// @param prefix start of the request ids.
int countRuns(TestCluster& cluster, const WorkerStandin& worker, int requests, const std::string& prefix)
{
    for (auto& each : cluster.workers)
        each->responseDelayMs = 30;
    auto before = worker.runs.load();
    std::vector<std::thread> callers;
    for (int i = 0; i < requests; i++)
        callers.emplace_back([&, i] { cr_assert_eq(cluster.sendRequest("/status/1", prefix + std::to_string(i)).status, 200U); });
    for (auto& caller : callers)
        caller.join();
    return worker.runs - before;
}

/// Returns whether a VM serves the path below which `standins::makePlatformRoute` added a route.
bool serves(TestCluster& cluster, const std::string& path)
{
    return cluster.sendRequest(path + "1", "id-" + path.substr(1)).status == 200;
}

} // namespace

// Guards against a VM that waits for configurations at an offset that the restored store has not reached again, here twice.
CLUSTER_TEST(configurations_are_applied_after_offsets_went_back, 13000)
{
    cluster.configureAndWait();
    auto copy = cluster.store.copy();
    for (int round = 0; round < 2; round++) {
        auto version = 10 * (round + 1);
        for (int i = 0; i < 4; i++)
            cluster.configure(version + i, standins::makePlatformRoute("lost", "/lost" + std::to_string(version) + "/"));
        cr_assert(cluster.waitUntil([&] { return serves(cluster, "/lost" + std::to_string(version) + "/"); }, milliseconds { 2000 }));
        // The next read waits at the end.
        std::this_thread::sleep_for(2 * edge::configurationReadInterval);
        cluster.store.restore(copy);
        std::this_thread::sleep_for(milliseconds { 300 });
        // Written again with the version that the VM has, then a new one: both at offsets that the VM has read already.
        cluster.configure(version + 3, standins::makePlatformRoute("lost", "/lost" + std::to_string(version) + "/"));
        cluster.configure(version + 4, standins::makePlatformRoute("new", "/new" + std::to_string(version) + "/"));
        cr_assert(cluster.waitUntil([&] { return serves(cluster, "/new" + std::to_string(version) + "/"); }, milliseconds { 2000 }), "the configuration of round %d is not in force", round);
    }
}

// The copy holds an older configuration; the one that the VM has stays in force.
CLUSTER_TEST(configuration_does_not_go_back_with_the_store, 13050)
{
    cluster.configureAndWait();
    auto copy = cluster.store.copy();
    cluster.configure(2, standins::makePlatformRoute("new", "/new/"));
    cr_assert(cluster.waitUntil([&] { return serves(cluster, "/new/"); }));
    cluster.store.unavailable = true;
    std::this_thread::sleep_for(milliseconds { 500 });
    cluster.store.restore(copy);
    cluster.store.unavailable = false;
    auto end = transport::monotonicNow() + readTime;
    while (transport::monotonicNow() < end)
        cr_assert(serves(cluster, "/new/"));
}

// Guards against a VM that ignores what workers write after the restoration, as their offsets are lower than those before.
CLUSTER_TEST(worker_that_leaves_after_the_store_was_restored_gets_no_requests, 13100)
{
    cluster.configureAndWait();
    auto copy = cluster.store.copy();
    cluster.publishWorkers(10);
    std::this_thread::sleep_for(milliseconds { 1000 });
    for (int round = 0; round < 2; round++) {
        cluster.store.restore(copy);
        cluster.publishWorkers(2);
        std::this_thread::sleep_for(milliseconds { 300 });
        auto& worker = cluster.app(round);
        worker.draining = true;
        worker.publish();
        std::this_thread::sleep_for(readTime);
        cr_assert_eq(countRuns(cluster, worker, 12, "after-" + std::to_string(round)), 0);
        // The next round finds it ready again, as another process.
        worker.draining = false;
        worker.startedAtMs++;
        worker.publish();
        cr_assert(cluster.waitUntil([&] { return countRuns(cluster, worker, 12, "again-") > 0; }));
        copy = cluster.store.copy();
        cluster.publishWorkers(10);
        std::this_thread::sleep_for(milliseconds { 1000 });
    }
}

// What the copy says of a worker must not replace what the VM knew: that it is leaving, or has left. What the workers write afterwards
// counts again.
CLUSTER_TEST(workers_that_left_before_the_store_was_restored_are_not_used_from_the_copy, 13150)
{
    auto& removed = cluster.addWorker("app2", "app");
    removed.publish();
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return countRuns(cluster, removed, 12, "known-") > 0; }));
    auto copy = cluster.store.copy();
    cluster.publishWorkers(10);
    auto& draining = cluster.app(0);
    draining.draining = true;
    draining.publish();
    removed.unpublish();
    std::this_thread::sleep_for(readTime);
    cr_assert_eq(countRuns(cluster, draining, 12, "draining-") + countRuns(cluster, removed, 12, "removed-"), 0);
    cluster.store.restore(copy);
    auto end = transport::monotonicNow() + 2 * readTime;
    for (int i = 0; transport::monotonicNow() < end; i++) {
        auto prefix = "restored-" + std::to_string(i) + "-";
        cr_assert_eq(countRuns(cluster, draining, 12, prefix + "d"), 0, "the draining worker got a request");
        cr_assert_eq(countRuns(cluster, removed, 12, prefix + "r"), 0, "the removed worker got a request");
    }
    removed.publish();
    cr_assert(cluster.waitUntil([&] { return countRuns(cluster, removed, 12, "back-") > 0; }, milliseconds { 2000 }), "a worker that registered again is not used");
}

// The copy lacks the only worker of a service, which registered just before. It writes its entry again a second later.
CLUSTER_TEST(worker_that_registered_just_before_the_restoration_stays_in_use, 13200)
{
    cluster.app(0).unpublish();
    cluster.app(1).unpublish();
    cluster.publishWorkers(0);
    cluster.configure(1);
    cr_assert(cluster.waitUntil([&] { return cluster.isReady(); }));
    std::this_thread::sleep_for(milliseconds { 1000 });
    auto copy = cluster.store.copy();
    cluster.app(0).publish();
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/status/1", "known").status == 200; }));
    cluster.store.restore(copy);
    auto start = transport::monotonicNow();
    for (int i = 0; transport::monotonicNow() < start + seconds { 4 }; i++) {
        if (i == 10)
            cluster.app(0).publish();
        cr_assert_eq(cluster.sendRequest("/status/1", "id-" + std::to_string(i)).status, 200U);
        std::this_thread::sleep_for(milliseconds { 100 });
    }
}

// A VM whose record the store has lost must become a member again, and the lease be held with a token above all before.
CLUSTER_TEST(member_and_lease_are_written_again_after_they_were_lost, 13250)
{
    auto copy = cluster.store.copy();
    for (auto& topic : copy) {
        if (topic.first.find("servers") == std::string::npos)
            topic.second.clear();
    }
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return !cluster.memberRecord().empty() && cluster.leaseToken() != 0; }));
    auto token = cluster.leaseToken();
    for (int round = 0; round < 2; round++) {
        std::this_thread::sleep_for(readTime);
        cluster.store.restore(copy);
        cr_assert(cluster.waitUntil([&] { return !cluster.memberRecord().empty(); }), "the VM is no member any more");
        cr_assert(cluster.waitUntil([&] { return cluster.leaseToken() != 0; }, milliseconds { 8000 }), "nobody holds the lease");
        cr_assert_gt(cluster.leaseToken(), token, "token %llu after %llu", static_cast<unsigned long long>(cluster.leaseToken()), static_cast<unsigned long long>(token));
        token = cluster.leaseToken();
    }
}

// Orders of the lease holder before and after a restoration: no two may share a token, and none may be lower than one before.
CLUSTER_TEST(fencing_tokens_of_orders_grow_over_a_restoration, 13025)
{
    auto empty = cluster.store.copy();
    cluster.configureAndWait();
    auto orders = [&] {
        std::vector<uint64_t> tokens;
        for (int i = 0; i < 2; i++) {
            std::lock_guard lock(cluster.llm(i).mutex);
            for (const auto& order : cluster.llm(i).orders)
                tokens.push_back(order.token);
        }
        return tokens;
    };
    cr_assert(cluster.waitUntil([&] { return orders().size() >= 2; }, milliseconds { 10000 }));
    std::this_thread::sleep_for(readTime);
    auto before = orders();
    cluster.store.restore(empty);
    cluster.configure(2);
    cluster.publishWorkers(1);
    std::this_thread::sleep_for(readTime);
    // The adapter is loaded for the request.
    cr_assert_eq(cluster.sendChat("adapter", "/chat/x", "m1/a1").status, 200U);
    auto after = orders();
    cr_assert_gt(after.size(), before.size());
    cr_assert_gt(*std::max_element(after.begin(), after.end()), *std::max_element(before.begin(), before.end()), "the token is not higher");
}

// A VM that starts after the restoration knows nothing of before. It learns the newer configuration when it is written again.
CLUSTER_TEST(vm_that_starts_while_the_store_is_restored_comes_into_step, 13350)
{
    cluster.configureAndWait();
    auto copy = cluster.store.copy();
    cluster.configure(5, standins::makePlatformRoute("new", "/new/"));
    cr_assert(cluster.waitUntil([&] { return serves(cluster, "/new/"); }));
    cluster.store.readResponseDelayMs = 300;
    cluster.startVm(1);
    std::this_thread::sleep_for(milliseconds { 150 });
    // The answers to the first reads of the new VM, of the time before, arrive after this.
    cluster.store.restore(copy);
    std::this_thread::sleep_for(milliseconds { 600 });
    cluster.store.readResponseDelayMs = 0;
    cluster.configure(5, standins::makePlatformRoute("new", "/new/"));
    cluster.configure(6, standins::makePlatformRoute("newer", "/newer/"));
    cluster.publishWorkers(1);
    for (int vm = 0; vm < 2; vm++)
        cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/newer/1", "id", {}, vm).status == 200; }, milliseconds { 2500 }), "VM %d does not serve the new route", vm);
    cr_assert(cluster.waitUntil([&] { return !cluster.memberRecord(0).empty() && !cluster.memberRecord(1).empty(); }), "a VM is no member any more");
}
