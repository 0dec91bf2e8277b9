/// Tests of the whole daemon with a store that comes back from a copy some seconds old: what it had acknowledged since is gone, and
/// offsets are given out again.
#include "edge_world.h"

using namespace comfreypier;
using namespace comfreypier::testing;

namespace {

/// Longer than a VM takes to read all streams anew.
constexpr milliseconds readTime { 1800 };

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
