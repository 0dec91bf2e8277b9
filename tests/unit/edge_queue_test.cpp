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
    cluster->llm(0).eventDelayMs = 40;
    cluster->configureOnePlace();
    cr_assert(cluster->waitUntil([cluster] { return cluster->isReady(); }));
    return cluster;
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
    std::this_thread::sleep_for(milliseconds { 100 });
    callers.push_back(send("id-urgent", "/chat/x"));
    std::this_thread::sleep_for(milliseconds { 50 });
    auto metrics = cluster->call(cluster->metrics(), { "GET", "/metrics", {}, {} });
    cr_assert(metrics);
    cr_assert_neq(metrics.value().body.find("comfreypier_waiting{priority=\"2\"} 3"), std::string::npos, "%s", metrics.value().body.c_str());
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
    std::this_thread::sleep_for(milliseconds { 60 });
    std::atomic<unsigned> status { 0 };
    std::thread next([cluster, &status] { status = cluster->sendChat("id-next", "/batch/x").status; });
    std::this_thread::sleep_for(milliseconds { 60 });
    cluster->runOnFiber([&cancel] { cancel.cancel(); });
    for (auto* caller : { &running, &gone, &next })
        caller->join();
    cr_assert_eq(status, 200U);
    cr_assert_eq(TestCluster::arrivedIds(cluster->llm(0)), (std::vector<std::string> { "id-running", "id-next" }));
    exitProcess();
}
