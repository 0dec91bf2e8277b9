/// Tests of the whole daemon with workers that say in their answers that they leave, or when they want the next request.
#include "edge_world.h"

using namespace comfreypier;
using namespace comfreypier::testing;

namespace {

/// Time in which the other VMs must know what a worker has told one of them. The platform allows 2 s.
constexpr milliseconds newsTime { 1000 };

/// Sends plain requests to a VM, all of which must be answered.
/// @param prefix start of the requests' ids.
/// @return number of them that a worker ran.
int countRuns(TestCluster& cluster, const WorkerStandin& worker, int requests, const std::string& prefix, int vm = 0)
{
    auto before = worker.runs.load();
    for (int i = 0; i < requests; i++) {
        auto status = cluster.sendRequest("/order/x", prefix + std::to_string(i), {}, vm).status;
        cr_assert_eq(status, 200U, "%s%d got %u", prefix.c_str(), i, status);
    }
    return worker.runs - before;
}

} // namespace

// Guards against requests to a worker that has said that it leaves, from the VM that it told, from others, from one that has started
// since, and while the store is silent and the worker's entry calls it ready; and against a leave that outlives its worker.
Test(edge, worker_that_says_it_leaves_gets_no_requests_until_it_has_restarted, .timeout = 60)
{
    constexpr int vms = 3;
    auto* cluster = new TestCluster(12500, vms);
    cluster->configureAndWait(vms);
    auto& worker = cluster->app(0);
    // So slow that the VMs prefer the worker that leaves.
    cluster->app(1).responseDelayMs = 50;
    for (int vm = 0; vm < vms; vm++)
        cluster->sendUntilRun(worker, "id-before-" + std::to_string(vm) + "-", vm);
    // The VMs learn of each other from the store.
    std::this_thread::sleep_for(2 * newsTime);
    cluster->store.unresponsive = true;
    worker.leaving = true;
    cluster->sendUntilRun(worker, "id-tells-");
    cr_assert_eq(countRuns(*cluster, worker, 30, "id-told-"), 0, "the VM that the worker told goes on");
    std::this_thread::sleep_for(newsTime);
    for (int vm = 1; vm < vms; vm++)
        cr_assert_eq(countRuns(*cluster, worker, 30, "id-heard-" + std::to_string(vm) + "-", vm), 0, "VM %d has not heard of the leave", vm);
    cluster->store.unresponsive = false;
    worker.publish();
    cluster->startVm(vms);
    cr_assert(cluster->waitUntil([&] { return cluster->isReady(vms); }));
    // The other VMs learn of the new one from the store, before they send it heartbeats.
    std::this_thread::sleep_for(2 * newsTime);
    cr_assert_eq(countRuns(*cluster, worker, 30, "id-new-", vms), 0, "a VM that started since has not heard of the leave");
    worker.crash();
    // The listener is closed on another thread.
    cr_assert(cluster->waitUntil([&] { return worker.restart(); }));
    for (int vm = 0; vm <= vms; vm++)
        cluster->sendUntilRun(worker, "id-back-" + std::to_string(vm) + "-", vm);
    exitProcess();
}

// Guards against streams that are cut by a leave, and requests that go to leaving workers because there are no others.
CLUSTER_TEST(streams_of_leaving_workers_go_on_and_new_requests_are_refused_or_placed_elsewhere, 12600)
{
    cluster.configureAndWait();
    constexpr int events = 60;
    for (int i = 0; i < 2; i++) {
        cluster.llm(i).eventsPerStream = events;
        cluster.llm(i).eventDelayMs = 25;
        cluster.llm(i).leaving = true;
    }
    auto& next = cluster.addWorker("llm2", "llm");
    standins::setModelMemory(next);
    next.publish();
    std::vector<std::thread> callers;
    std::atomic<int> complete { 0 };
    // Both workers say with the head of a stream that they leave.
    for (int i = 0; i < 2; i++) {
        auto before = cluster.llm(0).runs + cluster.llm(1).runs;
        callers.emplace_back([&, i] {
            auto answer = cluster.sendChat("id-" + std::to_string(i));
            complete += answer.status == 200 && answer.body.find("id: " + std::to_string(events) + "\n") != std::string::npos ? 1 : 0;
        });
        cr_assert(cluster.waitUntil([&] { return cluster.llm(0).runs + cluster.llm(1).runs > before; }));
        std::this_thread::sleep_for(milliseconds { 100 });
    }
    cr_assert_eq(cluster.llm(0).runs, 1);
    cr_assert_eq(cluster.llm(1).runs, 1);
    int number = 0;
    cr_assert(cluster.waitUntil([&] { return cluster.sendChat("id-next-" + std::to_string(number++)).status == 200; }), "the model is not loaded on the worker that stays");
    for (int i = 0; i < 10; i++)
        cr_assert_eq(cluster.sendChat("id-after-" + std::to_string(i)).status, 200U);
    cr_assert_eq(cluster.llm(0).runs + cluster.llm(1).runs, 2, "a leaving worker got a new stream");
    for (auto& caller : callers)
        caller.join();
    cr_assert_eq(complete, 2, "a stream that ran when its worker said that it leaves was cut");
    for (int i = 0; i < 2; i++) {
        cluster.app(i).leaving = true;
        cluster.sendUntilRun(cluster.app(i), "id-app-" + std::to_string(i) + "-");
    }
    for (int i = 0; i < 10; i++) {
        auto start = transport::monotonicNow();
        auto answer = cluster.sendRequest("/order/x", "id-none-" + std::to_string(i));
        cr_assert_eq(answer.status, 503U, "all workers of the service leave, got %u", answer.status);
        cr_assert_not(findHeader(answer.headers, "Retry-After").empty());
        cr_assert_lt(transport::monotonicNow() - start, milliseconds { 500 });
    }
}

// Guards against requests to a full worker before the time that it named has passed, while another one takes them.
CLUSTER_TEST(full_worker_gets_no_requests_until_the_time_that_it_named, 12900)
{
    constexpr milliseconds hold { 1500 };
    cluster.configureAndWait();
    auto& worker = cluster.app(0);
    // So slow that the VM prefers the worker that is full.
    cluster.app(1).responseDelayMs = 100;
    cluster.sendUntilRun(worker, "id-before-");
    {
        std::lock_guard lock(worker.mutex);
        worker.arrivals.clear();
    }
    worker.retryAfterSeconds = std::chrono::duration<double>(hold).count();
    worker.fault = WorkerFault::Full;
    auto end = transport::monotonicNow() + 4 * hold;
    for (int i = 0; transport::monotonicNow() < end; i++)
        cr_assert_eq(cluster.sendRequest("/order/x", "id-full-" + std::to_string(i)).status, 200U);
    {
        std::lock_guard lock(worker.mutex);
        cr_assert_geq(worker.arrivals.size(), 3U, "the worker is asked again after the time");
        for (size_t i = 1; i < worker.arrivals.size(); i++) {
            auto gap = std::chrono::duration_cast<milliseconds>(worker.arrivals[i].at - worker.arrivals[i - 1].at);
            cr_assert_geq(gap, hold, "a request came %ld ms after the worker had named %ld ms", gap.count(), hold.count());
        }
    }
    // The worker that is back under the same id has named no time.
    worker.retryAfterSeconds = 1e12;
    std::this_thread::sleep_for(hold);
    for (int i = 0; i < 30; i++)
        cluster.sendRequest("/order/x", "id-huge-" + std::to_string(i));
    worker.fault = WorkerFault::None;
    cr_assert_eq(countRuns(cluster, worker, 20, "id-held-"), 0);
    worker.crash();
    cr_assert(cluster.waitUntil([&] { return worker.restart(); }));
    cluster.sendUntilRun(worker, "id-back-");
}

// Guards against requests that wait, or callers that come back, before any worker wants requests.
CLUSTER_TEST(requests_are_refused_at_once_with_the_time_when_all_workers_have_named_one, 12950)
{
    constexpr double hold = 3;
    cluster.configureAndWait();
    for (int i = 0; i < 2; i++) {
        cluster.app(i).retryAfterSeconds = hold;
        cluster.app(i).fault = WorkerFault::Full;
    }
    auto start = transport::monotonicNow();
    auto sinceStart = [start] { return std::chrono::duration<double>(transport::monotonicNow() - start).count(); };
    auto end = start;
    double lowest = 1000;
    double highest = 0;
    for (int i = 0; i < 30; i++) {
        auto sentAt = sinceStart();
        auto answer = cluster.sendRequest("/order/x", "id-" + std::to_string(i));
        cr_assert_eq(answer.status, 503U, "got %u", answer.status);
        if (i == 0)
            end = transport::monotonicNow();
        else
            cr_assert_lt(sinceStart() - sentAt, 0.3, "refused after %g s", sinceStart() - sentAt);
        auto returnsAt = sinceStart() + std::stod("0" + std::string(findHeader(answer.headers, "Retry-After")));
        // The first of the two workers named its time after `start`.
        cr_assert_geq(returnsAt, hold, "a caller comes back after %g s", returnsAt);
        cr_assert_leq(returnsAt, 2 * hold + 1, "a caller comes back after %g s", returnsAt);
        lowest = std::min(lowest, returnsAt);
        highest = std::max(highest, returnsAt);
    }
    cr_assert_gt(highest - lowest, 0.5, "the callers come back together, after %g to %g s", lowest, highest);
    for (int i = 0; i < 2; i++) {
        std::lock_guard lock(cluster.app(i).mutex);
        cr_assert_leq(cluster.app(i).arrivals.size(), 1U);
    }
    for (int i = 0; i < 2; i++)
        cluster.app(i).fault = WorkerFault::None;
    std::this_thread::sleep_for(std::chrono::duration<double>(hold) - (transport::monotonicNow() - end));
    cr_assert_eq(cluster.sendRequest("/order/x", "id-after").status, 200U);
}
