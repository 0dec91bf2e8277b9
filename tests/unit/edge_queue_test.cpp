/// Tests of the whole daemon with requests that wait for a worker with a single place.
#include "edge_world.h"

using namespace comfreypier;
using namespace comfreypier::testing;

namespace {

/// Starts a VM whose queue has an order, and leaves one worker with one place for the model.
TestCluster* startQueue(uint16_t port, bool byUrgency)
{
    auto* cluster = new TestCluster(port, 0);
    auto settings = cluster->settingsOf(0);
    settings.queueByUrgency = byUrgency;
    cluster->vms.push_back(std::make_unique<edge::Edge>(settings));
    cr_assert(cluster->vms.back()->start());
    cluster->llm(1).unpublish();
    cluster->llm(0).eventDelayMs = 200;
    cluster->configureOnePlace();
    cr_assert(cluster->waitUntil([cluster] { return cluster->isReady(); }));
    return cluster;
}

/// Returns whether a number of requests of a priority wait at the VM.
bool hasWaiting(TestCluster& cluster, int priority, int count)
{
    auto metrics = cluster.call(cluster.metrics(), { "GET", "/metrics", {}, {} });
    return metrics && metrics.value().body.find("comfreypier_waiting{priority=\"" + std::to_string(priority) + "\"} " + std::to_string(count) + "\n") != std::string::npos;
}

} // namespace

// Guards against a freed place that goes to whoever looks first.
Test(edge, urgent_request_gets_the_next_place_before_those_that_wait_for_it, .timeout = 40)
{
    auto* cluster = startQueue(31700, true);
    std::atomic<int> answered { 0 };
    auto send = [cluster, &answered](const std::string& id, const std::string& path) {
        return std::thread([cluster, &answered, id, path] { answered += cluster->sendChat(id, path).status == 200 ? 1 : 0; });
    };
    std::vector<std::thread> callers;
    callers.push_back(send("id-running", "/batch/x"));
    cr_assert(cluster->waitUntil([cluster] { return TestCluster::arrivedIds(cluster->llm(0)).size() == 1; }));
    for (int i = 0; i < 3; i++)
        callers.push_back(send("id-batch" + std::to_string(i), "/batch/x"));
    cr_assert(cluster->waitUntil([cluster] { return hasWaiting(*cluster, 2, 3); }));
    callers.push_back(send("id-urgent", "/chat/x"));
    cr_assert(cluster->waitUntil([cluster] { return hasWaiting(*cluster, 0, 1); }));
    cluster->llm(0).eventDelayMs = 5;
    for (auto& caller : callers)
        caller.join();
    cr_assert_eq(answered, 5, "%d answered", answered.load());
    cr_assert_eq(TestCluster::arrivedIds(cluster->llm(0))[1], "id-urgent", "the place went to %s", TestCluster::arrivedIds(cluster->llm(0))[1].c_str());
    exitProcess();
}

// A caller that has gone leaves its place, and the ones behind it are not kept from theirs.
Test(edge, caller_that_leaves_the_queue_holds_nobody_up, .timeout = 40)
{
    auto* cluster = startQueue(31800, true);
    std::thread running([cluster] { cluster->sendChat("id-running"); });
    cr_assert(cluster->waitUntil([cluster] { return TestCluster::arrivedIds(cluster->llm(0)).size() == 1; }));
    transport::CancelToken cancel;
    std::thread gone([cluster, &cancel] { cr_assert_not(cluster->sendCancellableChat("id-gone", cancel)); });
    cr_assert(cluster->waitUntil([cluster] { return hasWaiting(*cluster, 0, 1); }));
    std::atomic<unsigned> status { 0 };
    std::thread next([cluster, &status] { status = cluster->sendChat("id-next", "/batch/x").status; });
    cr_assert(cluster->waitUntil([cluster] { return hasWaiting(*cluster, 2, 1); }));
    cluster->runOnFiber([&cancel] { cancel.cancel(); });
    cr_assert(cluster->waitUntil([cluster] { return hasWaiting(*cluster, 0, 0); }));
    cluster->llm(0).eventDelayMs = 5;
    for (auto* caller : { &running, &gone, &next })
        caller->join();
    cr_assert_eq(status, 200U);
    cr_assert_eq(TestCluster::arrivedIds(cluster->llm(0)), (std::vector<std::string> { "id-running", "id-next" }));
    exitProcess();
}

Test(edge_settings, order_of_the_queue_is_that_of_arrival_unless_set)
{
    auto parse = [](const std::string& queue) {
        return edge::parseSettings("node.ini", "[node]\nname = n\nregion = r\ndata_centre = d\n[listen]\nfront = 127.0.0.1:1\ndirectory = 127.0.0.1:2\nreadiness = 127.0.0.1:3\ninner = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:6\n" + queue);
    };
    cr_assert_not(parse("").value().queueByUrgency);
    cr_assert_not(parse("[queue]\norder = arrival\n").value().queueByUrgency);
    cr_assert(parse("[queue]\norder = urgency\n").value().queueByUrgency);
    cr_assert_not(parse("[queue]\norder = chance\n"));
}
