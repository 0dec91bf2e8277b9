/// Tests of a planned stop of one VM: which requests it still takes, and what those that are open at its end are told.
#include "edge_world.h"
#include "slow_caller.h"

using namespace comfreypier;
using namespace comfreypier::testing;

namespace {

using Time = std::chrono::nanoseconds;

/// Stops the first VM of a cluster on a thread of its own.
class PlannedStop {
public:
    /// Returns when the VM has begun to stop, so that `elapsed` is not longer than the time since it began.
    explicit PlannedStop(TestCluster& cluster)
        : thread([this, &cluster] {
            this->nothingCut = cluster.vms[0]->drain();
            this->ended = true;
        })
    {
        while (cluster.isReady())
            ;
        this->startedAt = transport::monotonicNow();
    }
    ~PlannedStop() { this->wait(); }
    PlannedStop(const PlannedStop&) = delete;
    PlannedStop& operator=(const PlannedStop&) = delete;

    /// Returns the time since the VM has begun to stop.
    Time elapsed() const { return transport::monotonicNow() - this->startedAt; }
    void sleepUntil(milliseconds time) const { std::this_thread::sleep_for(time - this->elapsed()); }
    bool hasEnded() const { return this->ended; }
    /// Waits for the end. @return whether the VM says that it has cut nothing off.
    bool wait()
    {
        if (this->thread.joinable())
            this->thread.join();
        return this->nothingCut;
    }

private:
    std::atomic<bool> ended { false };
    bool nothingCut = false;
    Time startedAt { 0 };
    std::thread thread;
};

/// Returns how often the workers of a cluster have run a request.
int runsOf(TestCluster& cluster, const std::string& id)
{
    int runs = 0;
    for (auto& worker : cluster.workers) {
        std::lock_guard lock(worker->mutex);
        auto found = worker->runsByRequestId.find(id);
        runs += found == worker->runsByRequestId.end() ? 0 : found->second;
    }
    return runs;
}

/// Returns whether the VM sent the caller to another VM at once, without a run.
bool isSentAway(TestCluster& cluster, const std::string& id, const HttpResponse& answer)
{
    auto retryAfter = std::string(findHeader(answer.headers, "Retry-After"));
    return answer.status == 503 && !retryAfter.empty() && std::stod(retryAfter) == 0 && runsOf(cluster, id) == 0;
}

/// Makes each stream of the workers take `events` times `delay`.
void setStreams(TestCluster& cluster, int events, milliseconds delay)
{
    for (int i = 0; i < 2; i++) {
        cluster.llm(i).eventsPerStream = events;
        cluster.llm(i).eventDelayMs = static_cast<int>(delay.count());
    }
}

} // namespace

// Guards against the end of the serve time being noticed late: each request is judged by its own time.
CLUSTER_TEST(requests_are_refused_from_the_very_end_of_the_serve_time, 13650)
{
    cluster.configureAndWait();
    std::atomic<int> refused { 0 };
    std::atomic<int> taken { 0 };
    PlannedStop stop(cluster);
    stop.sleepUntil(routing::drainServeTime - milliseconds { 50 });
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; i++) {
        callers.emplace_back([&, i] {
            for (int number = 0; stop.elapsed() < routing::drainServeTime + milliseconds { 100 }; number++) {
                auto id = "id-" + std::to_string(i) + "-" + std::to_string(number);
                auto sentAt = stop.elapsed();
                auto answer = cluster.sendRequest("/order/1", id);
                if (sentAt >= routing::drainServeTime)
                    (isSentAway(cluster, id, answer) ? refused : taken)++;
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    cr_assert_eq(taken, 0, "%d requests were taken after the serve time, %d refused", taken.load(), refused.load());
    cr_assert_gt(refused, 10);
}

// Guards against requests that wait for a worker while refusing begins, and are sent late in the grace and cut off at its end.
CLUSTER_TEST(waiting_request_is_refused_when_refusing_begins, 13675)
{
    cluster.configureAndWait();
    setStreams(cluster, 100, milliseconds { 15 });
    for (int i = 0; i < 2; i++)
        cluster.llm(i).fault = WorkerFault::Full;
    PlannedStop stop(cluster);
    stop.sleepUntil(routing::drainServeTime - milliseconds { 400 });
    HttpResponse answer;
    Time answeredAt { 0 };
    std::thread caller([&] {
        answer = cluster.sendChat("id-1");
        answeredAt = stop.elapsed();
    });
    stop.sleepUntil(routing::drainServeTime + milliseconds { 150 });
    for (int i = 0; i < 2; i++)
        cluster.llm(i).fault = WorkerFault::None;
    caller.join();
    cr_assert(isSentAway(cluster, "id-1", answer), "got %u after %d runs", answer.status, runsOf(cluster, "id-1"));
    cr_assert_lt(answeredAt, routing::drainServeTime + milliseconds { 150 }, "refused after %ld ms", std::chrono::duration_cast<milliseconds>(answeredAt).count());
}

// Guards against streams that the end of the grace is sure to cut off; those that can end before it are served.
CLUSTER_TEST(stream_that_can_not_end_within_the_grace_is_refused, 13750)
{
    cluster.configureAndWait();
    setStreams(cluster, 100, milliseconds { 18 });
    cr_assert_eq(cluster.sendChat("id-before").status, 200U);
    PlannedStop stop(cluster);
    HttpResponse early;
    std::thread caller([&] { early = cluster.sendChat("id-early"); });
    stop.sleepUntil(milliseconds { 2300 });
    auto late = cluster.sendChat("id-late");
    cr_assert(isSentAway(cluster, "id-late", late), "got %u after %d runs", late.status, runsOf(cluster, "id-late"));
    cr_assert_eq(cluster.sendRequest("/order/1", "id-order").status, 200U, "a short request is served");
    caller.join();
    cr_assert_eq(early.status, 200U, "got %u", early.status);
    cr_assert(stop.wait());
}

// Guards against requests whose callers learn nothing at the end of the grace: they must get an answer before the process ends, and one
// that does not promise that the request has not run.
CLUSTER_TEST(open_requests_are_answered_at_the_end_of_the_grace, 13775)
{
    cluster.configureAndWait();
    for (auto& worker : cluster.workers)
        worker->fault = WorkerFault::NoResponse;
    PlannedStop stop(cluster);
    stop.sleepUntil(routing::drainServeTime - milliseconds { 150 });
    struct Call {
        std::string path;
        HttpResponse answer;
        bool beforeEnd = false;
    };
    std::vector<Call> calls { { "/order/1", {}, false }, { "/order/2", {}, false }, { "/chat/1", {}, false }, { "/draft/1", {}, false }, { "/status/1", {}, false } };
    std::vector<std::thread> callers;
    for (auto& call : calls) {
        callers.emplace_back([&] {
            auto id = "id" + call.path;
            call.answer = call.path.starts_with("/order") || call.path.starts_with("/status") ? cluster.sendRequest(call.path, id) : cluster.sendChat(id, call.path);
            call.beforeEnd = !stop.hasEnded();
        });
    }
    for (auto& caller : callers)
        caller.join();
    for (const auto& call : calls) {
        cr_assert(call.beforeEnd, "%s had no answer when the process ended; later it got %u", call.path.c_str(), call.answer.status);
        cr_assert(call.answer.status == 502 || call.answer.status == 504, "%s got %u", call.path.c_str(), call.answer.status);
        cr_assert_geq(runsOf(cluster, "id" + call.path), 1, "%s", call.path.c_str());
    }
    cr_assert_not(stop.wait(), "the VM says that it has cut nothing off");
}

// Requests of all kinds, on kept connections, to the end of the listener. Guards against any that is passed on and then cut off, or refused
// though it has run, in other ways than those above.
CLUSTER_TEST(no_request_is_cut_off_by_a_stop_under_mixed_load, 13850)
{
    cluster.configureAndWait();
    setStreams(cluster, 20, milliseconds { 10 });
    for (int i = 0; i < 2; i++)
        cluster.app(i).responseDelayMs = 20;
    for (int i = 0; i < 5; i++)
        cr_assert_eq(cluster.sendChat("id-before-" + std::to_string(i)).status, 200U);
    constexpr std::array<const char*, 4> paths { "/order/", "/status/", "/chat/", "/draft/" };
    std::atomic<int> answered { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> crossed { 0 }; // Not read before their connection was closed.
    std::atomic<bool> stopped { false };
    std::mutex mutex;
    std::string wrong;
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; i++) {
        callers.emplace_back([&, i] {
            for (int number = 0; !stopped; number++) {
                auto path = paths[static_cast<size_t>(i + number) % paths.size()] + std::to_string(number);
                auto id = "id-" + std::to_string(i) + "-" + std::to_string(number);
                auto answer = path.starts_with("/order") || path.starts_with("/status") ? cluster.sendRequest(path, id) : cluster.sendChat(id, path);
                if (answer.status == 0 && answer.body == transport::name(transport::IoError::Refused))
                    return;
                auto runs = runsOf(cluster, id);
                bool isWrong = answer.status != 200 && (runs > 0 || (answer.status != 503 && answer.status != 0));
                if (isWrong) {
                    std::lock_guard lock(mutex);
                    wrong += path + " got " + std::to_string(answer.status) + " after " + std::to_string(runs) + " runs; ";
                }
                (answer.status == 200 ? answered : answer.status == 503 ? refused
                                                                        : crossed)++;
            }
        });
    }
    PlannedStop stop(cluster);
    cr_assert(stop.wait());
    std::this_thread::sleep_for(milliseconds { 200 });
    stopped = true;
    for (auto& caller : callers)
        caller.join();
    cr_assert(wrong.empty(), "%s", wrong.c_str());
    cr_assert_gt(answered, 100);
    cr_assert_gt(refused, 20);
    cr_assert_lt(crossed, 20);
}

// Guards against answers that are cut because a stop ends early, with no request open, while their callers still read.
Test(edge, stop_waits_for_callers_that_read_slowly)
{
    TestCluster cluster(32600, 0);
    auto settings = cluster.settingsOf(0);
    settings.grace = milliseconds { 9000 };
    cluster.vms.push_back(std::make_unique<edge::Edge>(settings));
    cr_assert(cluster.vms[0]->start());
    cluster.configure(1);
    cr_assert(cluster.waitUntil([&] { return cluster.sendChat("first").status == 200; }));
    for (int i = 0; i < 2; i++)
        cluster.llm(i).eventsPerStream = 100;
    std::vector<std::unique_ptr<standins::SlowCaller>> callers;
    for (const char* close : { "", "Connection: close\r\n" }) {
        callers.push_back(std::make_unique<standins::SlowCaller>(cluster.front().port));
        callers.back()->send(TestCluster::chatBytes("slow-" + std::to_string(callers.size()), close));
    }
    std::this_thread::sleep_for(milliseconds { 300 });
    PlannedStop stop(cluster);
    // Beyond the early end.
    stop.sleepUntil(milliseconds { 8200 });
    cr_assert_not(stop.hasEnded());
    for (auto& caller : callers) {
        auto answer = caller->readAll(seconds { 1 });
        cr_assert(answer.ends_with("0\r\n\r\n"), "%zu bytes", answer.size());
    }
    cr_assert(stop.wait());
    cr_assert_lt(stop.elapsed(), settings.grace);
    exitProcess();
}

// Guards against answers that a stop cuts because nothing is heard of their callers for some seconds: their path is cut, or their kernel drops data
// in silence.
Test(edge, stop_waits_for_callers_of_which_nothing_is_heard)
{
    constexpr milliseconds silence { 4500 };
    TestCluster cluster(32700, 0);
    auto settings = cluster.settingsOf(0);
    settings.grace = milliseconds { 9500 };
    cluster.vms.push_back(std::make_unique<edge::Edge>(settings));
    cr_assert(cluster.vms[0]->start());
    cluster.configure(1);
    cr_assert(cluster.waitUntil([&] { return cluster.sendChat("first").status == 200; }));
    setStreams(cluster, 100, milliseconds { 10 });
    std::vector<std::unique_ptr<standins::SlowCaller>> callers;
    for (auto lose : { &standins::SlowCaller::makeUnreachable, &standins::SlowCaller::dropData }) {
        auto& caller = *callers.emplace_back(std::make_unique<standins::SlowCaller>(cluster.front().port));
        caller.send(TestCluster::chatBytes("silent-" + std::to_string(callers.size()), ""));
        std::this_thread::sleep_for(milliseconds { 100 });
        (caller.*lose)();
    }
    PlannedStop stop(cluster);
    stop.sleepUntil(silence);
    for (auto& caller : callers)
        caller->makeReachable();
    // What was lost is sent again after as long a time as it was lost before.
    for (auto& caller : callers) {
        auto answer = caller->readAll(silence);
        cr_assert(answer.ends_with("0\r\n\r\n"), "%zu bytes", answer.size());
    }
    cr_assert(stop.wait());
    cr_assert_lt(stop.elapsed(), settings.grace);
    exitProcess();
}
