/// Tests of what a VM does with statements of workers that come while its entry of the worker is outdated, or in answers that are odd in
/// another way.
#include "edge_world.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace comfreypier;
using namespace comfreypier::testing;
using standins::RawPeer;

namespace {

/// Longer than a worker is avoided after it was full or unreachable once.
constexpr milliseconds backoffTime { 600 };

/// Returns the number of requests of callers that have arrived at a worker.
size_t arrivalsAt(WorkerStandin& worker)
{
    std::lock_guard lock(worker.mutex);
    return worker.arrivals.size();
}

/// Lets a worker refuse a request and name a time in seconds.
void nameTime(TestCluster& cluster, WorkerStandin& worker, double time)
{
    worker.retryAfterSeconds = time;
    worker.fault = WorkerFault::Full;
    auto before = arrivalsAt(worker);
    cr_assert(cluster.waitUntil([&] {
        cluster.sendRequest("/order/x", "id-tells-" + std::to_string(arrivalsAt(worker)));
        return arrivalsAt(worker) > before;
    }),
        "no request reaches %s", worker.id.c_str());
}

/// Restarts a worker whose new entry the VMs can't read, as the store is silent.
void restartUnseen(TestCluster& cluster, WorkerStandin& worker)
{
    cluster.store.unresponsive = true;
    std::this_thread::sleep_for(milliseconds { 100 });
    worker.crash();
    // The listener is closed on another thread.
    cr_assert(cluster.waitUntil([&] { return worker.restart(); }));
    std::this_thread::sleep_for(backoffTime);
}

} // namespace

// Guards against a leave that is kept under the start of an outdated entry and forgotten when the new entry arrives.
Test(edge, leave_said_by_a_start_that_the_vm_does_not_know_yet_holds_when_its_entry_arrives, .timeout = 60)
{
    constexpr int vms = 2;
    auto* cluster = new TestCluster(16100, vms);
    cluster->configureAndWait(vms);
    auto& worker = cluster->app(0);
    // So slow that the VMs prefer the worker that leaves.
    cluster->app(1).responseDelayMs = 50;
    cluster->sendUntilRun(worker, "id-before-");
    std::this_thread::sleep_for(seconds { 2 });
    restartUnseen(*cluster, worker);
    worker.leaving = true;
    cluster->sendUntilRun(worker, "id-tells-");
    std::this_thread::sleep_for(seconds { 1 });
    auto told = arrivalsAt(worker);
    cluster->store.unresponsive = false;
    auto end = transport::monotonicNow() + seconds { 4 };
    for (int i = 0; transport::monotonicNow() < end; i++) {
        worker.publish();
        for (int vm = 0; vm < vms; vm++)
            cr_assert_eq(cluster->sendRequest("/order/x", "id-told-" + std::to_string(i), {}, vm).status, 200U);
        cr_assert_eq(arrivalsAt(worker), told, "a request reached the worker after it had said that it leaves");
    }
    worker.crash();
    cr_assert(cluster->waitUntil([&] { return worker.restart(); }));
    for (int vm = 0; vm < vms; vm++)
        cluster->sendUntilRun(worker, "id-back-" + std::to_string(vm) + "-", vm);
    exitProcess();
}

// Guards against a leave that is dropped because the worker says it in a rejection of a request for the one that had its address before.
CLUSTER_TEST(leave_in_a_rejection_counts_for_the_worker_that_names_itself, 16175)
{
    std::atomic<bool> leaves { false };
    std::atomic<int> after { 0 }; // Requests for it after it has said so.
    cluster.useRawWorker(0, "app", [&](int connection) {
        auto request = RawPeer::readRequest(connection);
        auto id = TestCluster::requestId(request);
        if (id.empty())
            return;
        if (!TestCluster::isFor(request, "raw0")) {
            leaves = true;
            return RawPeer::write(connection, TestCluster::leavingRejection(id, "raw0"));
        }
        after += leaves ? 1 : 0;
        // So slow that the VM prefers the other one.
        std::this_thread::sleep_for(milliseconds { 50 });
        RawPeer::write(connection, TestCluster::answerHead(id) + "Connection: close\r\nContent-Length: 0\r\n\r\n");
    });
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/order/x", "id-before").status == 200; }));
    cluster.publishRawWorker(0, "app", "former");
    int count = 0;
    cr_assert(cluster.waitUntil([&] {
        cluster.sendRequest("/order/x", "id-tells-" + std::to_string(count++));
        return leaves.load();
    }),
        "no request is sent for the former worker");
    after = 0; // The request that was told may go on there.
    for (int i = 0; i < 20; i++)
        cluster.sendRequest("/order/x", "id-told-" + std::to_string(i));
    cr_assert_eq(after, 0, "%d requests reached the worker after it had said that it leaves", after.load());
}

// Guards against requests to a worker before the time that it named in refusals without an id, on connections used before.
CLUSTER_TEST(time_is_read_from_refusals_without_an_id, 16150)
{
    constexpr milliseconds hold { 3000 };
    std::atomic<bool> full { false };
    std::mutex mutex;
    std::vector<std::chrono::nanoseconds> refusedAt;
    cluster.useRawWorker(0, "app", [&](int connection) {
        while (true) {
            auto id = TestCluster::requestId(RawPeer::readRequest(connection));
            if (id.empty())
                return;
            if (!full) {
                RawPeer::write(connection, TestCluster::answerHead(id) + "Content-Length: 0\r\n\r\n");
                continue;
            }
            {
                std::lock_guard lock(mutex);
                refusedAt.push_back(transport::monotonicNow());
            }
            RawPeer::write(connection, TestCluster::refusal("", "3", true));
        }
    });
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/order/x", "id-before").status == 200; }));
    full = true;
    // The connection was used before, so that the refusal may be that of an earlier request.
    cr_assert_eq(cluster.sendRequest("/order/x", "id-first").status, 502U);
    auto end = transport::monotonicNow() + hold - milliseconds { 500 };
    for (int i = 0; transport::monotonicNow() < end; i++) {
        auto answer = cluster.sendRequest("/order/x", "id-" + std::to_string(i));
        cr_assert_eq(answer.status, 503U, "request %d did not run and got %u", i, answer.status);
        cr_assert_geq(std::stod("0" + std::string(findHeader(answer.headers, "Retry-After"))), 0.2);
        std::this_thread::sleep_for(milliseconds { 20 });
    }
    std::lock_guard lock(mutex);
    cr_assert_eq(refusedAt.size(), 1U, "%zu requests reached the worker within the time that it had named", refusedAt.size());
}

// Guards against a time that is forgotten when the entry of the start that named it arrives.
CLUSTER_TEST(time_named_by_a_start_that_the_vm_does_not_know_yet_holds_when_its_entry_arrives, 16200)
{
    constexpr double hold = 6;
    cluster.configureAndWait();
    auto& worker = cluster.app(0);
    cluster.app(1).responseDelayMs = 50;
    cluster.sendUntilRun(worker, "id-before-");
    restartUnseen(cluster, worker);
    auto before = arrivalsAt(worker);
    nameTime(cluster, worker, hold);
    auto named = transport::monotonicNow();
    cluster.store.unresponsive = false;
    for (int i = 0; transport::monotonicNow() < named + seconds { 4 }; i++) {
        worker.publish();
        cr_assert_eq(cluster.sendRequest("/order/x", "id-held-" + std::to_string(i)).status, 200U);
        cr_assert_eq(arrivalsAt(worker), before + 1, "a request reached the worker within the time that it had named");
    }
}

// Guards against a time that is forgotten with the entry of its worker, which may be gone while the store is and come back.
CLUSTER_TEST(time_that_a_worker_has_named_outlives_its_entry, 16400)
{
    constexpr double hold = 9;
    cluster.configureAndWait();
    auto& worker = cluster.app(0);
    cluster.app(1).responseDelayMs = 50;
    cluster.sendUntilRun(worker, "id-before-");
    auto before = arrivalsAt(worker);
    nameTime(cluster, worker, hold);
    auto named = transport::monotonicNow();
    worker.unpublish();
    // Longer than the entry has to come back.
    std::this_thread::sleep_for(seconds { 5 });
    for (int i = 0; transport::monotonicNow() < named + seconds { 8 }; i++) {
        worker.publish();
        cr_assert_eq(cluster.sendRequest("/order/x", "id-held-" + std::to_string(i)).status, 200U);
        cr_assert_eq(arrivalsAt(worker), before + 1, "a request reached the worker within the time that it had named");
    }
    worker.fault = WorkerFault::None;
    std::this_thread::sleep_for(seconds { 2 });
    cluster.sendUntilRun(worker, "id-after-");
}

namespace {

/// Worker that accepts connections only when it is told to: meanwhile connections to it take as long as those to a worker in overload.
class SlowListener {
public:
    explicit SlowListener(uint16_t port)
        : listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        this->address.sin_family = AF_INET;
        this->address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &this->address.sin_addr);
        int enabled = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        cr_assert_eq(::bind(this->listener, reinterpret_cast<sockaddr*>(&this->address), sizeof this->address), 0);
        cr_assert_eq(::listen(this->listener, 0), 0);
    }
    /// Opens connections until a further one has to wait.
    void fillQueue()
    {
        for (int i = 0; i < 8; i++) {
            int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            ::connect(connection, reinterpret_cast<sockaddr*>(&this->address), sizeof this->address);
            this->fillers.push_back(connection);
            std::this_thread::sleep_for(milliseconds { 5 });
        }
    }
    /// Closes those connections, so that the ones that wait are accepted.
    void clearQueue()
    {
        for (int connection : this->fillers)
            ::close(connection);
        this->fillers.clear();
    }
    /// Accepts connections until one carries a request of a caller.
    /// @return the connection and the request's id; no connection if none comes before `timeout`.
    std::pair<int, std::string> acceptRequest(milliseconds timeout)
    {
        auto end = transport::monotonicNow() + timeout;
        while (transport::monotonicNow() < end) {
            pollfd ready { this->listener, POLLIN, 0 };
            if (::poll(&ready, 1, 50) <= 0)
                continue;
            int connection = ::accept(this->listener, nullptr, nullptr);
            pollfd readable { connection, POLLIN, 0 };
            auto id = ::poll(&readable, 1, 300) > 0 ? TestCluster::requestId(RawPeer::readRequest(connection)) : "";
            if (!id.empty())
                return { connection, id };
            ::close(connection);
        }
        return { -1, "" };
    }

private:
    int listener;
    sockaddr_in address {};
    std::vector<int> fillers;
};

/// Has a worker answer a request while another one is connecting to it, and checks that this one is not sent.
/// @param answerFor returns the answer to the request with an id.
void checkConnectingRequest(TestCluster& cluster, const std::function<std::string(const std::string& id)>& answerFor)
{
    constexpr milliseconds patience { 10000 };
    SlowListener worker(cluster.base + 10);
    cluster.publishRawWorker(0, "app");
    for (int i = 0; i < 2; i++)
        cluster.app(i).unpublish();
    cluster.configure(1, standins::makePlatformRoute("slow", "/slow/", patience));
    cr_assert(cluster.waitUntil([&] { return cluster.isReady(); }));
    std::this_thread::sleep_for(seconds { 1 });
    auto send = [&](const std::string& id) {
        auto request = TestCluster::makeRequest("/slow/x", id, patience);
        transport::Runtime runtime { 1 };
        std::atomic<unsigned> status { 0 };
        std::atomic<bool> done { false };
        runtime.spawn([&] {
            transport::HttpClient client;
            transport::CallLimits limits;
            limits.response = patience;
            auto response = client.call(cluster.front(), request, limits);
            status = response ? response.value().status : 0;
            done = true;
        });
        while (!done)
            std::this_thread::sleep_for(milliseconds { 5 });
        return status.load();
    };
    std::thread first([&] { send("id-first"); });
    auto [connection, id] = worker.acceptRequest(patience);
    cr_assert_eq(id, "id-first");
    worker.fillQueue();
    std::atomic<unsigned> status { 0 };
    std::thread second([&] { status = send("id-second"); });
    std::this_thread::sleep_for(milliseconds { 300 });
    RawPeer::write(connection, answerFor(id));
    ::close(connection);
    std::this_thread::sleep_for(milliseconds { 300 });
    worker.clearQueue();
    // The connection attempt is repeated a second after the first one.
    auto late = worker.acceptRequest(milliseconds { 2500 });
    cr_assert_eq(late.first, -1, "%s was written after the statement", late.second.c_str());
    first.join();
    second.join();
    cr_assert_eq(status, 503U, "the request did not run and got %u", status.load());
}

} // namespace

// Guards against a request that is written to a worker which has said that it leaves while the VM was connecting to it.
CLUSTER_TEST(request_is_not_written_to_a_worker_that_said_that_it_leaves_meanwhile, 16250)
{
    checkConnectingRequest(cluster, [](const auto& id) { return TestCluster::leavingAnswer(id); });
}

// Guards against a request that is written to a worker which has named a time while the VM was connecting to it.
CLUSTER_TEST(request_is_not_written_to_a_worker_that_named_a_time_meanwhile, 16300)
{
    checkConnectingRequest(cluster, [](const auto& id) { return TestCluster::refusal(id, "5"); });
}

// Guards against reports and orders to a worker within the time that it has named, and against times that only they are told.
CLUSTER_TEST(reports_and_orders_obey_the_time_that_a_worker_has_named, 16350)
{
    std::atomic<int> calls { 0 };
    std::atomic<bool> full { false };
    std::atomic<bool> refusesReports { false };
    cluster.configureAndWait();
    cluster.addRawWorker(0, "llm", [&](int connection) {
        auto id = TestCluster::requestId(RawPeer::readRequest(connection));
        calls++;
        // Without a valid report the lease holder asks again and again.
        if (!id.empty())
            RawPeer::write(connection, full ? TestCluster::refusal(id, "3") : TestCluster::answerHead(id, "500 Error") + "Content-Length: 0\r\nConnection: close\r\n\r\n");
        else
            RawPeer::write(connection, refusesReports ? TestCluster::refusal("", "3") : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
    });
    auto callsWithin = [&calls](milliseconds time) {
        auto before = calls.load();
        std::this_thread::sleep_for(time);
        return calls - before;
    };
    cr_assert(cluster.waitUntil([&] { return callsWithin(milliseconds { 500 }) >= 2; }), "the lease holder asks for no reports");
    full = true;
    // A request for the worker's model, which the others no longer hold.
    for (int i = 0; i < 2; i++)
        cluster.llm(i).unpublish();
    int number = 0;
    cr_assert(cluster.waitUntil([&] { return findHeader(cluster.sendChat("id-" + std::to_string(number++)).headers, "Retry-After") > "1"; }), "the time is not read");
    std::this_thread::sleep_for(milliseconds { 200 });
    auto held = callsWithin(milliseconds { 1500 });
    cr_assert_leq(held, 1, "%d calls within the time that the worker had named", held);
    std::this_thread::sleep_for(seconds { 2 });
    full = false;
    refusesReports = true;
    cr_assert(cluster.waitUntil([&] { return callsWithin(milliseconds { 100 }) >= 1; }));
    std::this_thread::sleep_for(milliseconds { 400 });
    held = callsWithin(milliseconds { 1500 });
    cr_assert_leq(held, 1, "%d calls within the time that the worker had named to the lease holder", held);
}
