/// Tests of the whole daemon with prompts of which one part crashes each worker that begins to answer them.
#include "edge_world.h"

using namespace comfreypier;
using namespace comfreypier::testing;

namespace {

/// Restarts crashed workers after a short time, until the process ends.
void restartCrashedWorkers(TestCluster& cluster)
{
    static constexpr milliseconds restartTime { 400 };
    std::thread([&cluster] {
        std::map<WorkerStandin*, std::chrono::nanoseconds> downSince;
        while (true) {
            std::this_thread::sleep_for(milliseconds { 10 });
            for (auto& worker : cluster.workers) {
                if (!worker->down)
                    continue;
                auto since = downSince.try_emplace(worker.get(), transport::monotonicNow()).first->second;
                if (transport::monotonicNow() - since >= restartTime && worker->restart())
                    downSince.erase(worker.get());
            }
        }
    }).detach();
}

/// Sends a request whose prompt begins with the part `a1`.
/// @param middle id of the second part; the last part and the body are unique to the request.
HttpResponse sendPrompt(TestCluster& cluster, const std::string& middle, int vm)
{
    static int count = 0;
    auto number = std::to_string(++count);
    return cluster.sendPrompt("p" + number, "a1:300," + middle + ":100,ff" + number + ":100", "body " + number, vm);
}

/// Returns the number of requests with the crashing part that arrived at workers.
int countCrashingRequests(TestCluster& cluster)
{
    int sum = 0;
    for (auto& worker : cluster.workers)
        sum += worker->crashingRequests;
    return sum;
}

} // namespace

// Guards against requests without equal content, but with one part in common, that crash one worker after the other.
Test(edge, part_of_prompts_that_crashes_workers_is_held_off_while_other_requests_are_served, .timeout = 60)
{
    constexpr int vms = 3;
    constexpr int crashesUntilHeldOff = 5;
    constexpr milliseconds settleTime { 3000 };
    auto* cluster = new TestCluster(32000, vms);
    for (int i = 2; i < 6; i++) {
        auto& worker = cluster->addWorker("llm" + std::to_string(i), "llm");
        standins::setModelMemory(worker);
        worker.models = { { "m1", 40 } };
    }
    for (auto& worker : cluster->workers) {
        worker->crashingPart = "dead";
        worker->publish();
    }
    restartCrashedWorkers(*cluster);
    cluster->configureAndWait(vms);
    for (int i = 0; i < crashesUntilHeldOff; i++) {
        sendPrompt(*cluster, "dead", i % vms);
        for (int vm = 0; vm < vms; vm++)
            sendPrompt(*cluster, "b2", vm);
    }
    std::this_thread::sleep_for(settleTime);
    auto before = countCrashingRequests(*cluster);
    int sound = 0;
    int served = 0;
    for (int i = 0; i < 20; i++) {
        sendPrompt(*cluster, "dead", i % vms);
        for (int vm = 0; vm < vms; vm++) {
            sound++;
            served += sendPrompt(*cluster, "b2", vm).status == 200 ? 1 : 0;
        }
    }
    auto later = countCrashingRequests(*cluster) - before;
    cr_assert_leq(before, crashesUntilHeldOff);
    cr_assert_leq(later, 3, "%d requests with the part reached workers after five crashes", later);
    cr_assert_eq(served, sound, "%d of %d sound requests with the same first part were served", served, sound);
    exitProcess();
}
