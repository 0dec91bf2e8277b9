/// Tests of the whole daemon against workers and writers in trouble, whose every byte the tests control: what their bytes may cost
/// the VM, and what callers are told.
#include "edge_world.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace comfreypier;
using namespace comfreypier::testing;
using standins::RawPeer;

namespace {

/// Calls `call` with 0 to `count` - 1 on a thread each, and waits for all.
void callAtOnce(int count, const std::function<void(int)>& call)
{
    std::vector<std::thread> threads;
    for (int i = 0; i < count; i++)
        threads.emplace_back([&call, i] { call(i); });
    for (auto& thread : threads)
        thread.join();
}

/// Sends requests to the sound workers of a service until `stopped`, each on a connection of its own, and checks that each is answered
/// at once.
void checkSoundRequests(TestCluster& cluster, const std::string& path, const std::atomic<bool>& stopped)
{
    constexpr milliseconds limit { 700 };
    for (int i = 0; !stopped; i++) {
        auto start = transport::monotonicNow();
        auto answer = cluster.sendRequest(path, "sound-" + std::to_string(i));
        auto elapsed = transport::monotonicNow() - start;
        cr_assert_eq(answer.status, 200U, "request %d got %u", i, answer.status);
        cr_assert_lt(elapsed, limit, "request %d took %.0f ms", i, std::chrono::duration<double, std::milli>(elapsed).count());
    }
}

/// Answers of workers.
std::string refusal(const std::string& id, const std::string& status = "503 Full")
{
    return "HTTP/1.1 " + status + "\r\nNot-Executed: 1\r\n" + (id.empty() ? "" : "Attempt-Id: " + id + "\r\n") + "Content-Length: 0\r\n\r\n";
}
std::string answer(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

/// Counts by request id.
class Tally {
public:
    int add(const std::string& id)
    {
        std::lock_guard lock(this->mutex);
        return ++this->counts[id];
    }
    int of(const std::string& id)
    {
        std::lock_guard lock(this->mutex);
        return this->counts[id];
    }

private:
    std::mutex mutex;
    std::map<std::string, int> counts;
};

} // namespace

// Guards against a stream that looks complete because its worker's connection ended in order, inside an event.
CLUSTER_TEST(stream_that_ends_inside_an_event_resumes_elsewhere, 12640)
{
    Tally sendings;
    auto serve = [&](int connection) {
        auto id = TestCluster::requestId(RawPeer::readRequest(connection));
        if (id.empty())
            return;
        bool first = sendings.add(id) == 1;
        RawPeer::write(connection, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n" + (first ? "id: 1\ndata: a\n\nid: 2\nda" : "id: 2\ndata: b\n\n"));
    };
    cluster.useRawWorker(0, "llm", serve);
    cluster.addRawWorker(1, "llm", serve);
    cluster.configureAndWait();
    // The VM may read the entries of the two raw workers one after the other.
    int number = 0;
    HttpResponse answer;
    cr_assert(cluster.waitUntil([&] {
        answer = cluster.sendChat("id-draft" + std::to_string(number++), "/draft/x");
        return answer.status == 200;
    }));
    cr_assert_eq(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    // A stream that may run only once resumes from its backup copy.
    answer = cluster.sendChat("id-chat", "/chat/x");
    cr_assert_eq(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert_eq(sendings.of("id-chat"), 2);
}

// Guards against a sound worker that is left out because of an odd value, or of an answer that is not its own, and against a leave that
// is missed because of the kind of the answer.
CLUSTER_TEST(leaves_are_read_from_all_answers_of_the_worker_and_from_no_others, 12800)
{
    struct Case {
        const char* name;
        std::string head; ///< Status line and headers without the id.
        std::string id; ///< Id in the answer; empty for that of the request.
        bool leaves;
    };
    const std::string leaving = "Server-Leaving: 1\r\n";
    const std::string seal = "Server-Seal: s\r\n";
    const std::vector<Case> cases {
        { "other value", "200 OK\r\nServer-Leaving: 0\r\n" + seal, "", false },
        { "answer to another request", "200 OK\r\n" + leaving + seal, "other", false },
        { "unsigned answer", "200 OK\r\n" + leaving, "", false },
        { "rejection of another worker", "421 Misdirected\r\n" + leaving + "Instance-Id: i-other\r\n", "", false },
        { "answer", "200 OK\r\n" + leaving + seal, "", true },
        { "refusal", "503 Full\r\nNot-Executed: 1\r\n" + leaving, "", true },
        { "error", "500 Error\r\n" + leaving + seal, "", true },
    };
    std::vector<std::atomic<int>> requests(cases.size());
    for (size_t i = 0; i < cases.size(); i++) {
        const auto& item = cases[i];
        cluster.useRawWorker(static_cast<int>(i), "app", [&item, &count = requests[i]](int connection) {
            auto id = TestCluster::requestId(RawPeer::readRequest(connection));
            if (id.empty())
                return;
            count++;
            RawPeer::write(connection, "HTTP/1.1 " + item.head + "Attempt-Id: " + (item.id.empty() ? id : item.id) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        });
        if (i == 0)
            cluster.configureAndWait();
        else
            cluster.store.write("keyed.servers", "raw" + std::to_string(i - 1), "");
        int number = 0;
        auto send = [&] { return cluster.sendRequest("/order/x", "id-" + std::to_string(i) + "-" + std::to_string(number++)).status; };
        cr_assert(cluster.waitUntil([&] { return send() != 0 && requests[i] > 0; }), "%s: no request arrives", item.name);
        // Longer than a worker is avoided after it was full or unreachable once.
        std::this_thread::sleep_for(milliseconds { 600 });
        auto before = requests[i].load();
        for (int k = 0; k < 3; k++)
            send();
        cr_assert_eq(requests[i] == before, item.leaves, "%s: %d requests after the first", item.name, requests[i] - before);
    }
}

// A worker's answer may have a body without end, whatever its status and its route. It must be given up long before it fills the VM's
// memory, alone and several at once, and requests to other workers must not notice.
CLUSTER_TEST(answer_without_end_fills_no_memory, 14000)
{
    constexpr size_t sentPerAnswer = 400 * 1024 * 1024;
    constexpr int atOnce = 12;
    struct Case {
        const char* name;
        const char* path;
        const char* status;
        bool chunked;
    };
    const std::vector<Case> cases {
        { "streaming route, error", "/chat/x", "500 Error", true },
        { "streaming route, error of the caller", "/chat/x", "404 Not Found", false },
        { "streaming route, redirect", "/chat/x", "302 Found", true },
        { "streaming route, other success", "/chat/x", "201 Created", true },
        { "streaming route, event without end", "/chat/x", "200 OK", true },
        { "resumable route, error", "/draft/x", "500 Error", false },
        { "plain route, answer", "/order/1", "200 OK", true },
        { "plain route, error", "/order/1", "500 Error", false },
    };
    std::atomic<size_t> current { 0 };
    auto serve = [&](int connection) {
        auto id = TestCluster::requestId(RawPeer::readRequest(connection));
        const auto& item = cases[current];
        auto head = std::string("HTTP/1.1 ") + item.status + "\r\nServer-Seal: s\r\n" + (id.empty() ? "" : "Attempt-Id: " + id + "\r\n");
        RawPeer::write(connection, head + (item.chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
        std::string bytes(64 * 1024, 'a');
        RawPeer::writeWithoutEnd(connection, item.chunked ? "10000\r\n" + bytes + "\r\n" : bytes, sentPerAnswer);
    };
    cluster.useRawWorker(0, "llm", serve);
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendChat("id-first").status != 503; }));
    auto allowed = transport::residentBytes() + static_cast<uint64_t>(edge::Settings {}.memoryMegabytes * 1024 * 1024 / 2);
    std::atomic<bool> stopped { false };
    std::atomic<uint64_t> peak { 0 };
    std::thread monitor([&] {
        for (; !stopped; std::this_thread::sleep_for(milliseconds { 5 }))
            peak = std::max(peak.load(), transport::residentBytes());
    });
    std::thread sound([&] { checkSoundRequests(cluster, "/status/1", stopped); });
    // The first six cases; the sound requests need the workers of the other service.
    for (; std::string(cases[current].path) != "/order/1"; current++) {
        for (int count : { 1, atOnce }) {
            callAtOnce(count, [&](int i) {
                auto answer = cluster.sendChat("id-" + std::to_string(current) + "-" + std::to_string(count) + "-" + std::to_string(i), cases[current].path);
                cr_assert(answer.status == 0 || answer.status >= 500, "%s: got %u", cases[current].name, answer.status);
            });
            cr_assert_lt(peak, allowed, "%s, %d at once: %zu MB resident", cases[current].name, count, static_cast<size_t>(peak / 1024 / 1024));
        }
    }
    stopped = true;
    sound.join();
    monitor.join();
    cluster.useRawWorker(1, "app", serve);
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/order/1", "id-other").status == 502; }));
    for (; current < cases.size(); current++) {
        callAtOnce(atOnce, [&](int i) {
            auto answer = cluster.sendRequest(cases[current].path, "id-" + std::to_string(current) + "-" + std::to_string(i));
            cr_assert_eq(answer.status, 502U, "%s: got %u", cases[current].name, answer.status);
        });
        cr_assert_lt(transport::residentBytes(), allowed, "%s", cases[current].name);
    }
}

// Bounds on buffers must not reject sound answers: whole ones of some megabytes, also several at once, and large errors.
CLUSTER_TEST(large_sound_answers_are_forwarded_whole, 14100)
{
    std::atomic<size_t> size { 0 };
    std::atomic<int> status { 200 };
    auto serve = [&](int connection) {
        while (true) {
            auto id = TestCluster::requestId(RawPeer::readRequest(connection));
            if (id.empty())
                return;
            RawPeer::write(connection, "HTTP/1.1 " + std::to_string(status) + " Status\r\nServer-Seal: s\r\nAttempt-Id: " + id + "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'b'));
        }
    };
    cluster.useRawWorker(0, "app", serve);
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/order/1", "id-first").status == 200; }));
    for (size_t bytes : { size_t { 0 }, size_t { 1 }, size_t { 8192 }, size_t { 100'000 }, size_t { 2'000'000 }, size_t { 3'900'000 } }) {
        size = bytes;
        for (int code : { 200, 404, 500 }) {
            status = code;
            auto answer = cluster.sendRequest("/order/1", "id-" + std::to_string(bytes) + "-" + std::to_string(code));
            cr_assert_eq(answer.status, static_cast<unsigned>(code), "%zu bytes: got %u", bytes, answer.status);
            cr_assert_eq(answer.body.size(), bytes);
        }
    }
    status = 200;
    size = 300'000;
    callAtOnce(20, [&](int i) {
        auto answer = cluster.sendRequest("/order/1", "id-many-" + std::to_string(i));
        cr_assert_eq(answer.status, 200U, "got %u", answer.status);
        cr_assert_eq(answer.body.size(), 300'000U);
    });
}

// A worker may end a chunked answer with trailers of any size, which no head's limit covers. Such an answer must fail alone: the process
// goes on, the caller is told that the request may have run, and requests to other workers are answered at once.
CLUSTER_TEST(answer_with_oversized_trailer_fails_alone, 14200)
{
    std::atomic<size_t> trailerBytes { 0 };
    auto serve = [&](int connection) {
        auto id = TestCluster::requestId(RawPeer::readRequest(connection));
        auto head = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n" + (id.empty() ? "" : "Attempt-Id: " + id + "\r\n") + "Transfer-Encoding: chunked\r\n\r\n";
        std::string chunk = "id: 1\ndata: a\n\n";
        RawPeer::write(connection, head + "f\r\n" + chunk + "\r\n0\r\nChecksum: " + std::string(trailerBytes, 'x') + "\r\n\r\n");
    };
    cluster.useRawWorker(0, "llm", serve);
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendChat("id-first").status == 200; }));
    std::atomic<bool> stopped { false };
    std::thread sound([&] { checkSoundRequests(cluster, "/order/1", stopped); });
    for (size_t bytes : { 10UL, 8'000UL, 60'000UL, 65'536UL, 70'000UL, 300'000UL, 2'000'000UL }) {
        trailerBytes = bytes;
        callAtOnce(6, [&](int i) {
            auto answer = cluster.sendChat("id-" + std::to_string(bytes) + "-" + std::to_string(i), i % 2 == 0 ? "/chat/x" : "/draft/x");
            cr_assert(bytes < transport::maxUnparsedBytes ? answer.status == 200 : answer.status != 200, "trailer of %zu bytes: got %u", bytes, answer.status);
        });
    }
    stopped = true;
    sound.join();
}

// A full worker refuses a request, and sends the refusal once more when the same request comes again, which it then runs. The copy must not
// be taken for the answer to the second sending: the request would run twice, or its caller would be told that it did not run.
CLUSTER_TEST(late_copy_of_a_refusal_makes_no_request_run_twice, 14300)
{
    Tally sendings;
    Tally runs;
    std::mutex mutex;
    std::string status;
    auto serve = [&](int connection) {
        std::string copy; // Sent when the next request arrives.
        while (true) {
            auto id = TestCluster::requestId(RawPeer::readRequest(connection));
            if (id.empty())
                return;
            RawPeer::write(connection, std::exchange(copy, {}));
            if (sendings.add(id) == 1) {
                std::lock_guard lock(mutex);
                copy = refusal(id, status);
                RawPeer::write(connection, copy);
                continue;
            }
            runs.add(id);
            std::this_thread::sleep_for(milliseconds { 20 });
            RawPeer::write(connection, answer(id));
        }
    };
    cluster.useRawWorker(0, "app", serve);
    cluster.configureAndWait();
    for (const auto* code : { "503 Full", "429 Full", "408 Late", "421 Other" }) {
        {
            std::lock_guard lock(mutex);
            status = code;
        }
        for (int count : { 1, 4 }) {
            for (const auto* path : { "/order/1", "/status/1" }) {
                callAtOnce(count, [&](int i) {
                    auto id = std::string("id-") + code[2] + path[1] + std::to_string(count) + std::to_string(i);
                    auto response = cluster.sendRequest(path, id);
                    cr_assert_leq(runs.of(id), 1, "%s: %s ran %d times", code, id.c_str(), runs.of(id));
                    cr_assert(response.status == 200 || runs.of(id) == 0 || response.status == 502, "%s: %s ran and got %u", code, id.c_str(), response.status);
                    cr_assert(count > 1 || response.status == 200, "%s: %s got %u", code, id.c_str(), response.status);
                });
            }
        }
    }
}

// A worker sends a refusal or an answer once more where the answer to another request is due, with or without an id. The other request must
// be answered by its own answer, at once, if the copy can be told from it; else its caller must not be told that it did not run.
CLUSTER_TEST(late_copies_reach_no_other_request, 14400)
{
    enum class Copy { Refusal,
        Answer,
        LongAnswer,
        TwoRefusals,
        RefusalWithoutId,
        Count };
    std::atomic<Copy> kind { Copy::Refusal };
    Tally runs;
    auto copyFor = [&](const std::string& id) -> std::string {
        switch (kind.load()) {
        case Copy::Refusal:
            return refusal(id);
        case Copy::Answer:
            return answer(id);
        case Copy::LongAnswer:
            return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Length: 300000\r\n\r\n" + std::string(300000, 'c');
        case Copy::TwoRefusals:
            return refusal(id) + refusal(id);
        default:
            return refusal("", "503 Full");
        }
    };
    auto serve = [&](int connection) {
        std::string last;
        while (true) {
            auto id = TestCluster::requestId(RawPeer::readRequest(connection));
            if (id.empty())
                return;
            if (!last.empty())
                RawPeer::write(connection, copyFor(last));
            runs.add(id);
            RawPeer::write(connection, answer(id));
            last = id;
        }
    };
    cluster.useRawWorker(0, "app", serve);
    cluster.configureAndWait();
    for (auto current : { Copy::Refusal, Copy::Answer, Copy::LongAnswer, Copy::TwoRefusals, Copy::RefusalWithoutId }) {
        kind = current;
        int answered = 0;
        for (int i = 0; i < 10; i++) {
            auto id = "id-" + std::to_string(static_cast<int>(current)) + "-" + std::to_string(i);
            auto start = transport::monotonicNow();
            auto response = cluster.sendRequest(i % 2 == 0 ? "/order/1" : "/status/1", id);
            auto elapsed = transport::monotonicNow() - start;
            // Without another worker, an idempotent request whose answer can't be told apart waits for one.
            cr_assert(current == Copy::RefusalWithoutId || elapsed < milliseconds { 500 });
            cr_assert(response.status != 200 || response.body == id, "%s got the answer %s", id.c_str(), response.body.c_str());
            cr_assert(response.status == 200 || response.status == 502, "%s ran and got %u", id.c_str(), response.status);
            cr_assert(i % 2 == 1 || runs.of(id) == 1, "%s ran %d times", id.c_str(), runs.of(id));
            answered += response.status == 200 ? 1 : 0;
        }
        cr_assert(current == Copy::RefusalWithoutId || answered == 10, "copy %d: %d of 10 requests were answered", static_cast<int>(current), answered);
    }
}

namespace {

/// Publishes a configuration with a new route and returns how long it takes until all VMs use it.
milliseconds timeToApply(TestCluster& cluster, int version, int vms)
{
    auto path = "/new" + std::to_string(version) + "/";
    cluster.configure(version, standins::makePlatformRoute("new", path));
    auto start = transport::monotonicNow();
    for (int vm = 0; vm < vms; vm++)
        cr_assert(cluster.waitUntil([&] { return cluster.sendRequest(path + "1", "id-" + std::to_string(version), {}, vm).status != 404; }, milliseconds { 20000 }), "VM %d has not applied version %d", vm, version);
    return std::chrono::duration_cast<milliseconds>(transport::monotonicNow() - start);
}

} // namespace

// Guards against a pending read of the configuration whose answer never comes: the VM would be deaf to all configurations until the read
// times out. All VMs begin their next read shortly after a change, so that a store that is silent then makes all of them deaf. The times
// before the silence let it begin before, while and after the next reads arrive.
Test(edge, configurations_are_applied_after_a_silent_store, .timeout = 120)
{
    constexpr int vms = 4;
    constexpr milliseconds silence { 1500 };
    constexpr milliseconds stableTime { 3000 };
    auto* cluster = new TestCluster(14500, vms);
    auto bound = edge::Settings {}.configurationBound;
    cluster->configureAndWait(vms);
    int version = 1;
    for (auto delay : { milliseconds { 0 }, milliseconds { 100 }, milliseconds { 250 }, milliseconds { 600 }, milliseconds { 1500 } }) {
        cluster->configure(++version);
        std::this_thread::sleep_for(delay);
        cluster->store.silent = true;
        std::this_thread::sleep_for(silence);
        cluster->store.silent = false;
        std::this_thread::sleep_for(stableTime);
        // Several in a row: the read that follows a missed change must not be deaf either.
        for (int i = 0; i < 2; i++) {
            auto time = timeToApply(*cluster, ++version, vms);
            cr_assert_lt(time, bound, "silent after %ld ms: version %d took %ld ms, allowed %ld ms", delay.count(), version, time.count(), bound.count());
        }
    }
    exitProcess();
}

// The same for a VM alone, which no other VM tells of a newer version, and for a store that has moved while a read waits at its old
// address.
Test(edge, configurations_are_applied_after_a_lost_read, .timeout = 60)
{
    auto* cluster = new TestCluster(14700);
    auto bound = edge::Settings {}.configurationBound;
    cluster->configureAndWait();
    for (int version = 2; version < 8; version += 2) {
        cluster->configure(version);
        std::this_thread::sleep_for(milliseconds { 100 });
        cluster->store.silent = true;
        std::this_thread::sleep_for(milliseconds { 200 * version });
        cluster->store.silent = false;
        std::this_thread::sleep_for(milliseconds { 3000 });
        auto time = timeToApply(*cluster, version + 1, 1);
        cr_assert_lt(time, bound, "version %d took %ld ms, allowed %ld ms", version + 1, time.count(), bound.count());
    }
    standins::StoreStandin moved(cluster->runtime, loopback(14790));
    cr_assert(moved.start());
    edge::Settings settings = cluster->settingsOf(0);
    settings.store = loopback(14790);
    moved.write("keyed.op", "config", standins::makePlatformConfiguration(8));
    cluster->vms[0]->reload(settings);
    std::this_thread::sleep_for(milliseconds { 500 });
    moved.write("keyed.op", "config", standins::makePlatformConfiguration(9, standins::makePlatformRoute("new", "/moved/")));
    cr_assert(cluster->waitUntil([&] { return cluster->sendRequest("/moved/1", "id-moved").status != 404; }, bound));
    exitProcess();
}

// Another writer's odd entries, there before the VM starts or written while it runs. The VM must go on, follow the workers that come and
// leave after them, and read the whole list again with them in it.
CLUSTER_TEST(odd_entries_end_nothing_and_hide_no_worker, 14800)
{
    constexpr size_t depth = 100'000;
    auto entry = [](const std::string& address, const std::string& extra) {
        return R"({"service":"app","addr":")" + address + R"(","zone":"dc","version":"v1","slots":8,"state":"ready")" + extra + "}";
    };
    const std::vector<std::pair<std::string, std::string>> odd {
        { "nested", std::string(depth, '[') + std::string(depth, ']') },
        { "nested-field", entry("127.0.0.1:1", R"(,"born":1,"models":)" + std::string(depth, '[') + std::string(depth, ']')) },
        { "large-number", entry("127.0.0.1:1", R"(,"born":1e400)") },
        { "large-integer", entry("127.0.0.1:1", R"(,"born":)" + std::string(400, '9')) },
        { "port", entry("127.0.0.1:65536", R"(,"born":1)") },
        { "port-zero", entry("127.0.0.1:0", R"(,"born":1)") },
        { "key\r\nHold: 1", entry("127.0.0.1:1", R"(,"born":1)") },
        { "bytes", "\xff\xfe{" },
        { std::string(255, 'k'), "{}" },
    };
    for (size_t i = 0; i < odd.size(); i += 2)
        cluster.store.write("keyed.servers", odd[i].first, odd[i].second);
    cluster.configureAndWait();
    for (int round = 0; round < 3; round++) {
        for (const auto& [key, value] : odd)
            cluster.store.write("keyed.servers", key, value);
        cluster.store.expireNextRead = round > 0; // The whole list is read again.
        auto& added = cluster.addWorker("late" + std::to_string(round), "app");
        for (int i = 0; i < 2; i++)
            cluster.app(i).unpublish();
        added.publish();
        cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/order/1", "id-" + std::to_string(round) + "-" + std::to_string(added.runs)).status == 200 && added.runs > 0; }, milliseconds { 3000 }), "round %d: the new worker is not used", round);
        for (int i = 0; i < 5; i++)
            cr_assert_eq(cluster.sendRequest("/order/1", "id-more-" + std::to_string(round) + std::to_string(i)).status, 200U);
        added.unpublish();
        for (int i = 0; i < 2; i++)
            cluster.app(i).publish();
        cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/order/1", "id-back-" + std::to_string(cluster.app(0).runs + cluster.app(1).runs)).status == 200; }, milliseconds { 3000 }));
    }
}

// A stream breaks off, and the worker on which it resumes answers with something else: an error under any status, with blank lines or a whole
// head in its text, nothing at all, or events of a run of its own. The caller must get the events that were sent and then a break, not the
// text, a second copy of an event, or an end that looks complete.
CLUSTER_TEST(errors_after_a_break_never_enter_the_stream, 14900)
{
    const std::string eventStream = "Content-Type: text/event-stream\r\n";
    const std::string json = "Content-Type: application/json\r\n";
    struct Case {
        const char* name;
        std::string status;
        std::string headers;
        std::string body;
        bool chunked;
    };
    const std::vector<Case> cases {
        { "error", "500 Error", json, "{\"error\":\"x\"}\n\n", false },
        { "error that looks like events", "500 Error", eventStream, "id: 3\ndata: error\n\n", true },
        { "refusal", "503 Full", "Not-Executed: 1\r\n", "", false },
        { "refusal that may have run", "503 Full", "", "full\n\n", false },
        { "not found", "404 Not Found", "", "no\n\n", true },
        { "success that is no stream", "200 OK", json, "{\"error\":\"x\"}\n\n", false },
        { "other success", "204 No Content", "", "", false },
        { "text in a stream", "200 OK", eventStream, "overloaded, try again\n\n", true },
        { "text after an event", "200 OK", eventStream, "id: 3\ndata: c\n\n{\"error\":\"x\"}\n\n", true },
        { "whole head in a stream", "200 OK", eventStream, "HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno\n\n", true },
        { "nothing", "200 OK", eventStream, "", true },
        { "nothing, with a length", "200 OK", eventStream, "", false },
        { "comments only", "200 OK", eventStream, ": busy\n", true },
        { "first events again", "200 OK", eventStream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", true },
        { "last event again", "200 OK", eventStream, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", true },
    };
    const std::string begin = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    std::atomic<size_t> current { 0 };
    Tally sendings;
    auto serve = [&](int connection) {
        auto id = TestCluster::requestId(RawPeer::readRequest(connection));
        if (id.empty())
            return;
        auto head = "Attempt-Id: " + id + "\r\nServer-Seal: s\r\n";
        if (sendings.add(id) == 1) {
            RawPeer::write(connection, "HTTP/1.1 200 OK\r\n" + head + eventStream + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + begin + "\r\n");
            std::this_thread::sleep_for(milliseconds { 30 });
            return RawPeer::resetOnClose(connection);
        }
        const auto& item = cases[current];
        std::array<char, 20> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", item.body.size());
        auto body = !item.chunked ? "Content-Length: " + std::to_string(item.body.size()) + "\r\n\r\n" + item.body : "Transfer-Encoding: chunked\r\n\r\n" + (item.body.empty() ? "" : size.data() + item.body + "\r\n") + "0\r\n\r\n";
        RawPeer::write(connection, "HTTP/1.1 " + item.status + "\r\n" + head + item.headers + body);
    };
    cluster.useRawWorker(0, "llm", serve);
    cluster.addRawWorker(1, "llm", serve);
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendChat("id-first" + std::to_string(sendings.of("")), "/draft/x").status != 503; }));
    int resumed = 0;
    for (; current < cases.size(); current++) {
        for (const auto* path : { "/draft/x", "/chat/x" }) {
            auto id = "id-" + std::to_string(current) + path[1];
            std::string received;
            bool ended = false;
            cluster.runOnFiber([&] {
                transport::CallLimits limits;
                HttpRequest request { "POST", path, { { "Host", "h.example" }, { "Attempt-Id", id }, { "Deadline-Ms", "3000" }, { "Model", "m1" }, { "Token-Count", "500,100" } }, "x" };
                auto opened = cluster.client.open(cluster.front(), request, limits);
                if (!opened)
                    return;
                while (true) {
                    auto bytes = opened.value()->read(milliseconds { 4000 });
                    ended = bytes && bytes.value().empty();
                    if (!bytes || ended)
                        return;
                    received += bytes.value();
                }
            });
            cr_assert_not(ended, "%s, %s: the stream looks complete", cases[current].name, path);
            auto expected = cases[current].name == std::string("text after an event") && sendings.of(id) > 1 ? begin + "id: 3\ndata: c\n\n" : begin;
            cr_assert_eq(received, expected, "%s, %s: the caller got %s", cases[current].name, path, received.c_str());
            resumed += sendings.of(id) > 1 ? 1 : 0;
        }
    }
    cr_assert_geq(resumed, static_cast<int>(cases.size()), "%d streams were resumed", resumed);
}

// Many callers send large bodies at once. They must not fill the VM's memory: those for which it does not suffice are refused at once, with
// the truth that they did not run and a time to come back, and small requests are served beside them.
CLUSTER_TEST(large_bodies_at_once_fill_no_memory, 15000)
{
    constexpr int atOnce = 60;
    const std::string body(4 * 1024 * 1024 - 1024, 'b');
    cluster.store.write("keyed.op", "config", [] {
        auto text = standins::makePlatformConfiguration(1);
        auto start = text.find("\"max-body-bytes\":");
        return text.replace(start, text.find_first_of(",}", start) - start, "\"max-body-bytes\":4194304");
    }());
    cr_assert(cluster.waitUntil([&] { return cluster.isReady(); }));
    for (int i = 0; i < 2; i++)
        cluster.app(i).responseDelayMs = 200; // The bodies are held for longer.
    std::atomic<bool> stopped { false };
    std::thread sound([&] { checkSoundRequests(cluster, "/status/1", stopped); });
    std::map<std::string, int> statuses;
    std::mutex mutex;
    for (const char* framing : { "length", "chunks" }) {
        callAtOnce(atOnce, [&](int i) {
            auto id = std::string("id-") + framing + std::to_string(i);
            auto head = "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 3000\r\nConnection: close\r\n";
            std::array<char, 20> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
            auto request = framing[0] == 'l' ? head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" : head + "Transfer-Encoding: chunked\r\n\r\n" + size.data();
            auto connection = ::socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(cluster.front().port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            cr_assert_eq(::connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
            RawPeer::write(connection, request);
            RawPeer::write(connection, body);
            RawPeer::write(connection, framing[0] == 'l' ? "" : "\r\n0\r\n\r\n");
            std::string answer;
            std::array<char, 4096> buffer {};
            for (ssize_t count = 0; (count = ::recv(connection, buffer.data(), buffer.size(), 0)) > 0;)
                answer.append(buffer.data(), static_cast<size_t>(count));
            ::close(connection);
            auto status = answer.substr(0, 12);
            cr_assert(status == "HTTP/1.1 200" || status == "HTTP/1.1 503", "%s got %s", id.c_str(), answer.c_str());
            cr_assert(status == "HTTP/1.1 200" || answer.find("Retry-After: 0.") != std::string::npos, "%s got %s", id.c_str(), answer.c_str());
            std::lock_guard lock(mutex);
            statuses[status]++;
        });
    }
    stopped = true;
    sound.join();
    cr_assert_gt(statuses["HTTP/1.1 200"], 5);
    cr_assert_gt(statuses["HTTP/1.1 503"], 10, "%d large bodies were accepted", statuses["HTTP/1.1 200"]);
}

namespace {

/// What a worker that is silent in the middle of a stream answers when it is asked for its report.
enum class ReportAnswer {
    Report, ///< A report without the running requests.
    RunListed, ///< A report that lists the silent run.
    RunMissing, ///< A report in which neither the run nor a waiting request is left.
    OtherProcess, ///< A refusal: another process listens at the address.
    None,
    Held, ///< No answer, also after the silence.
};

/// Two workers of the service `llm`. The one that a stream reaches first sends two events and is silent; the other one is asked to go on
/// with the run, and does so or refuses.
struct SilentWorkers {
    static constexpr int eventCount = 6;
    static constexpr int eventsBeforeSilence = 2;

    SilentWorkers(TestCluster& cluster)
    {
        auto serveConnection = [this](int connection) { this->serve(connection); };
        cluster.useRawWorker(0, "llm", serveConnection);
        cluster.addRawWorker(1, "llm", serveConnection);
    }

    void serve(int connection)
    {
        auto request = RawPeer::readRequest(connection);
        auto id = TestCluster::requestId(request);
        if (id.empty())
            return this->serveReport(connection);
        auto head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (this->sendings.add(id) > 1) {
            this->resumedAt = transport::monotonicNow();
            if (!this->otherGoesOn)
                return RawPeer::write(connection, refusal(id));
            RawPeer::write(connection, head);
            if (!isClosedWithin(connection, this->readingTime))
                sendEvents(connection, id, eventsBeforeSilence + 1);
            return;
        }
        this->currentId = id;
        this->currentPort = portOf(connection);
        RawPeer::write(connection, head);
        sendEvents(connection, id, 1, eventsBeforeSilence);
        for (auto end = transport::monotonicNow() + this->commentTime.load(); transport::monotonicNow() < end;) {
            RawPeer::write(connection, "3\r\n:\n\n\r\n");
            std::this_thread::sleep_for(milliseconds { 100 });
        }
        this->silentSince = transport::monotonicNow();
        this->silent = true;
        bool closed = isClosedWithin(connection, this->silence);
        this->silent = false;
        if (closed)
            this->closedAt = transport::monotonicNow();
        else
            sendEvents(connection, id, eventsBeforeSilence + 1);
    }

    /// Waits until the VM closes a connection, for up to `time`.
    /// @return whether it has.
    static bool isClosedWithin(int connection, milliseconds time)
    {
        std::array<char, 1> byte {};
        bool closed = false;
        for (auto end = transport::monotonicNow() + time; !closed && transport::monotonicNow() < end;) {
            std::this_thread::sleep_for(milliseconds { 5 });
            closed = ::recv(connection, byte.data(), byte.size(), MSG_DONTWAIT) == 0;
        }
        return closed;
    }

    /// Returns the port of the worker that accepted a connection.
    static uint16_t portOf(int connection)
    {
        sockaddr_in address {};
        socklen_t length = sizeof address;
        cr_assert_eq(::getsockname(connection, reinterpret_cast<sockaddr*>(&address), &length), 0);
        return ntohs(address.sin_port);
    }

    void serveReport(int connection)
    {
        auto report = [](const std::string& more) {
            auto body = R"({"stage":"unified","models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0)" + more + "}";
            return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        };
        auto answer = this->silent ? this->reportAnswer.load() : ReportAnswer::Report;
        if (answer == ReportAnswer::Report)
            RawPeer::write(connection, report(""));
        if (answer == ReportAnswer::RunListed)
            RawPeer::write(connection, report(R"(,"runs":[[")" + this->currentId + R"(",500,2,1]])"));
        if (answer == ReportAnswer::RunMissing)
            RawPeer::write(connection, report(R"(,"runs":[])"));
        if (answer == ReportAnswer::OtherProcess)
            RawPeer::write(connection, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
        while (answer == ReportAnswer::None && this->silent)
            std::this_thread::sleep_for(milliseconds { 5 });
        if (answer == ReportAnswer::Held)
            isClosedWithin(connection, milliseconds { 5000 });
    }

    /// Waits until the VM sends the requests of a route to these workers.
    void waitForRequests(TestCluster& cluster, const std::string& path)
    {
        int count = 0;
        auto reached = [&] {
            auto id = "id-first" + std::to_string(++count);
            return cluster.sendChat(id, path).status == 200 && this->sendings.of(id) > 0;
        };
        cr_assert(cluster.waitUntil(reached));
    }

    /// Sends the events from `first` to `last`, and the end of the stream after the last of all.
    static void sendEvents(int connection, const std::string& id, int first, int last = eventCount)
    {
        for (int i = first; i <= last; i++) {
            auto event = standins::streamEvent(i, id);
            std::array<char, 20> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
            RawPeer::write(connection, size.data() + event + "\r\n");
        }
        if (last == eventCount)
            RawPeer::write(connection, "0\r\n\r\n");
    }

    static std::string wholeStream(const std::string& id)
    {
        std::string events;
        for (int i = 1; i <= eventCount; i++)
            events += standins::streamEvent(i, id);
        return events;
    }

    std::atomic<milliseconds> silence { milliseconds { 0 } };
    std::atomic<ReportAnswer> reportAnswer { ReportAnswer::Report };
    std::atomic<bool> otherGoesOn { false };
    std::atomic<milliseconds> readingTime { milliseconds { 0 } }; ///< Between the head of the other worker's answer and its first event.
    std::atomic<milliseconds> commentTime { milliseconds { 0 } }; ///< For which comments follow the events before the silence.
    std::atomic<bool> silent { false };
    std::atomic<std::chrono::nanoseconds> silentSince { std::chrono::nanoseconds { 0 } };
    std::atomic<std::chrono::nanoseconds> resumedAt { std::chrono::nanoseconds { 0 } }; ///< When the other worker was asked to go on.
    std::atomic<std::chrono::nanoseconds> closedAt { std::chrono::nanoseconds { 0 } }; ///< When the VM gave up the silent worker.
    std::string currentId;
    std::atomic<uint16_t> currentPort { 0 }; ///< Port of the worker that the current stream reached first.
    Tally sendings;
};

/// A streaming route that may be resumed and whose callers wait for eight seconds.
constexpr const char* patientRoute = R"(,{"name":"patient","host":"h.example","path-prefix":"/patient/","kind":"streaming","timeout-ms":6000,"target-latency-ms":2000,"priority":0,"service":"llm","max-attempts":2,"sticky":true,"resumable":true,"target-gap-ms":100})";

} // namespace

// A sound worker that is silent for longer than the idle timeout must keep its streams when no other worker can go on with them.
CLUSTER_TEST(stream_at_a_silent_worker_goes_on_there_if_no_other_has_its_run, 15100)
{
    auto* workers = new SilentWorkers(cluster);
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendChat("id-first" + std::to_string(workers->sendings.of(""))).status == 200; }));
    workers->silence = milliseconds { 1700 };
    int version = 1;
    for (auto answer : { ReportAnswer::Report, ReportAnswer::RunListed, ReportAnswer::RunMissing, ReportAnswer::None }) {
        for (const std::string path : { "/chat/x", "/draft/x" }) {
            workers->reportAnswer = answer;
            auto id = "id-" + std::to_string(static_cast<int>(answer)) + path.substr(1, 1);
            std::thread operators([&] {
                std::this_thread::sleep_for(milliseconds { 500 });
                cluster.configure(++version);
            });
            auto response = cluster.sendRequest(path, id, { { "Model", "m1" }, { "Token-Count", "500,100" } }, 0);
            operators.join();
            cr_assert_eq(response.status, 200U, "%s: got %u %s", id.c_str(), response.status, response.body.c_str());
            cr_assert_eq(response.body, SilentWorkers::wholeStream(id), "%s got %s", id.c_str(), response.body.c_str());
        }
    }
}

// A stream must leave a worker that has ended, or that is silent for longer than a sound one, before its caller leaves, and run at one only.
CLUSTER_TEST(stream_leaves_a_dead_worker_once_another_has_its_run, 15200)
{
    constexpr milliseconds callerPatience { 2000 };
    constexpr milliseconds maxOverlap { 400 };
    auto* workers = new SilentWorkers(cluster);
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendChat("id-first" + std::to_string(workers->sendings.of(""))).status == 200; }));
    workers->silence = milliseconds { 6000 };
    workers->otherGoesOn = true;
    for (auto answer : { ReportAnswer::RunMissing, ReportAnswer::OtherProcess, ReportAnswer::None }) {
        for (const std::string path : { "/chat/x", "/draft/x" }) {
            workers->reportAnswer = answer;
            auto id = "id-" + std::to_string(static_cast<int>(answer)) + path.substr(1, 1);
            auto response = cluster.sendRequest(path, id, { { "Model", "m1" }, { "Token-Count", "500,100" } }, 0);
            cr_assert_eq(response.body, SilentWorkers::wholeStream(id), "%s got %u %s", id.c_str(), response.status, response.body.c_str());
            cr_assert(cluster.waitUntil([&] { return workers->closedAt.load() > workers->silentSince.load(); }), "%s: the silent run goes on", id.c_str());
            auto gap = std::chrono::duration_cast<milliseconds>(workers->resumedAt.load() - workers->silentSince.load());
            auto overlap = std::chrono::duration_cast<milliseconds>(workers->closedAt.load() - workers->resumedAt.load());
            cr_assert_lt(gap, callerPatience, "%s: %ld ms", id.c_str(), static_cast<long>(gap.count()));
            cr_assert_lt(overlap, maxOverlap, "%s: %ld ms", id.c_str(), static_cast<long>(overlap.count()));
        }
    }
}

// A worker that goes on must neither be kept waiting nor run beside the worker that was asked to go on in its place.
CLUSTER_TEST(stream_goes_on_at_its_worker_when_that_wakes_before_the_other_one_sends, 15300)
{
    constexpr milliseconds maxOverlap { 400 };
    auto* workers = new SilentWorkers(cluster);
    cluster.configureAndWait();
    cluster.configure(2, patientRoute);
    workers->waitForRequests(cluster, "/patient/x");
    workers->silence = milliseconds { 1700 };
    workers->otherGoesOn = true;
    workers->readingTime = milliseconds { 1000 };
    workers->reportAnswer = ReportAnswer::None;
    auto startedAt = transport::monotonicNow();
    auto response = cluster.sendRequest("/patient/x", "id-wakes", { { "Model", "m1" }, { "Token-Count", "500,100" } }, 0);
    auto elapsed = std::chrono::duration_cast<milliseconds>(transport::monotonicNow() - startedAt);
    cr_assert_eq(response.body, SilentWorkers::wholeStream("id-wakes"), "got %u %s", response.status, response.body.c_str());
    cr_assert_lt(elapsed, workers->silence.load() + maxOverlap, "the events that followed after %ld ms arrived after %ld ms", static_cast<long>(workers->silence.load().count()), static_cast<long>(elapsed.count()));
}

// Asking one worker after the other to go on must not exceed the attempts that the route allows.
CLUSTER_TEST(silent_stream_runs_at_no_more_workers_than_its_route_allows, 15400)
{
    constexpr int maxAttempts = 2;
    auto* workers = new SilentWorkers(cluster);
    for (int i = 2; i < 5; i++)
        cluster.addRawWorker(i, "llm", [workers](int connection) { workers->serve(connection); });
    cluster.configureAndWait();
    workers->waitForRequests(cluster, "/chat/x");
    workers->silence = milliseconds { 6000 };
    workers->otherGoesOn = true;
    workers->readingTime = milliseconds { 6000 };
    workers->reportAnswer = ReportAnswer::RunMissing;
    cluster.sendRequest("/draft/x", "id-many", { { "Model", "m1" }, { "Token-Count", "500,100" } }, 0);
    cr_assert_leq(workers->sendings.of("id-many"), maxAttempts, "%d workers were asked to run it", workers->sendings.of("id-many"));
}

// A stream that waits for another worker to go on must still end with its caller's time limit.
CLUSTER_TEST(silent_stream_ends_at_its_time_limit_while_another_worker_is_asked, 15500)
{
    constexpr milliseconds timeLimit { 3000 };
    constexpr milliseconds slack { 250 };
    auto* workers = new SilentWorkers(cluster);
    cluster.configureAndWait();
    cluster.configure(2, patientRoute);
    workers->waitForRequests(cluster, "/patient/x");
    workers->silence = milliseconds { 10000 };
    workers->otherGoesOn = true;
    workers->readingTime = milliseconds { 10000 };
    workers->reportAnswer = ReportAnswer::RunMissing;
    auto startedAt = transport::monotonicNow();
    cluster.sendRequest("/patient/x", "id-late", { { "Model", "m1" }, { "Token-Count", "500,100" } }, 0);
    auto elapsed = std::chrono::duration_cast<milliseconds>(transport::monotonicNow() - startedAt);
    cr_assert_lt(elapsed, timeLimit + slack, "ended after %ld ms", static_cast<long>(elapsed.count()));
}

// A backup worker that has begun to leave while a stream runs must not get its request after the drain time.
CLUSTER_TEST(silent_stream_does_not_go_on_at_a_backup_worker_that_has_left, 15600)
{
    constexpr milliseconds drainTime { 3000 };
    auto* workers = new SilentWorkers(cluster);
    cluster.configureAndWait();
    workers->waitForRequests(cluster, "/chat/x");
    workers->silence = milliseconds { 6000 };
    workers->commentTime = drainTime + milliseconds { 500 };
    workers->otherGoesOn = true;
    workers->reportAnswer = ReportAnswer::RunMissing;
    std::atomic<std::chrono::nanoseconds> drainingSince { std::chrono::nanoseconds { 0 } };
    std::thread operators([&] {
        cr_assert(cluster.waitUntil([&] { return workers->sendings.of("id-leaves") == 1; }));
        std::this_thread::sleep_for(milliseconds { 100 });
        int other = workers->currentPort == cluster.base + 10 ? 1 : 0;
        cluster.store.write("keyed.servers", "raw" + std::to_string(other), R"({"service":"llm","addr":"127.0.0.1:)" + std::to_string(cluster.base + 10 + other) + R"(","zone":"dc","version":"v1","slots":8,"state":"draining","born":1,"models":[{"name":"m1","version":1,"adapters":[]}]})");
        drainingSince = transport::monotonicNow();
    });
    HttpRequest request { "POST", "/chat/x", { { "Host", "h.example" }, { "Attempt-Id", "id-leaves" }, { "Deadline-Ms", "6000" }, { "Model", "m1" }, { "Token-Count", "500,100" } }, "the body" };
    static_cast<void>(cluster.call(cluster.front(), request));
    operators.join();
    auto after = std::chrono::duration_cast<milliseconds>(workers->resumedAt.load() - drainingSince.load());
    cr_assert_lt(after, drainTime, "asked to go on %ld ms after it began to leave", static_cast<long>(after.count()));
}

// Events that arrive while the worker is asked about the run must not wait for the answer.
CLUSTER_TEST(events_do_not_wait_until_the_worker_answers_a_probe, 15700)
{
    constexpr milliseconds maxDelay { 250 };
    auto* workers = new SilentWorkers(cluster);
    cluster.configureAndWait();
    workers->waitForRequests(cluster, "/chat/x");
    workers->silence = milliseconds { 800 };
    workers->reportAnswer = ReportAnswer::Held;
    auto startedAt = transport::monotonicNow();
    auto response = cluster.sendRequest("/chat/x", "id-probed", { { "Model", "m1" }, { "Token-Count", "500,100" } }, 0);
    auto elapsed = std::chrono::duration_cast<milliseconds>(transport::monotonicNow() - startedAt);
    cr_assert_eq(response.body, SilentWorkers::wholeStream("id-probed"), "got %u %s", response.status, response.body.c_str());
    cr_assert_lt(elapsed, workers->silence.load() + maxDelay, "events sent after %ld ms arrived after %ld ms", static_cast<long>(workers->silence.load().count()), static_cast<long>(elapsed.count()));
}

// A request must not be taken from a slow worker when no other one can take it.
CLUSTER_TEST(request_stays_at_a_slow_worker_while_no_other_can_take_it, 15450)
{
    constexpr milliseconds answerTime { 600 };
    auto* requests = new Tally;
    cluster.useRawWorker(0, "app", [requests, answerTime](int connection) {
        auto id = TestCluster::requestId(RawPeer::readRequest(connection));
        requests->add(id);
        if (id.starts_with("id-slow"))
            std::this_thread::sleep_for(answerTime);
        RawPeer::write(connection, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok");
    });
    cluster.configureAndWait();
    int count = 0;
    auto reached = [&] {
        auto id = "id-first" + std::to_string(++count);
        return cluster.sendRequest("/status/x", id).status == 200 && requests->of(id) > 0;
    };
    cr_assert(cluster.waitUntil(reached));
    std::this_thread::sleep_for(seconds { 3 }); // The workers that this one replaces are dropped.
    auto response = cluster.sendRequest("/status/x", "id-slow");
    cr_assert_eq(response.status, 200U, "got %u", response.status);
}

// After a change of the store's address, records with lower offsets than those of the store before must count.
CLUSTER_TEST(worker_that_leaves_by_a_new_store_with_lower_offsets_gets_no_requests, 15550)
{
    constexpr int requestCount = 20;
    cluster.configureAndWait();
    for (int i = 0; i < 200; i++)
        cluster.store.write("keyed.servers", "other", "{}");
    for (int i = 0; i < 2; i++)
        cluster.app(i).publish();
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/status/x", "id-first").status == 200; }));
    auto settings = cluster.settingsOf(0);
    settings.store = loopback(static_cast<uint16_t>(cluster.base + 9));
    StoreStandin next(cluster.runtime, settings.store);
    cr_assert(next.start());
    next.write("keyed.op", "config", standins::makePlatformConfiguration(2));
    for (int i = 0; i < 2; i++)
        next.write("keyed.servers", "app" + std::to_string(i), R"({"service":"app","addr":"127.0.0.1:)" + std::to_string(cluster.base + 1 + i) + R"(","zone":"dc","version":"v1","slots":8,"state":")" + (i == 0 ? "draining" : "ready") + R"(","born":)" + std::to_string(cluster.app(i).startedAtMs) + "}");
    cluster.vms[0]->reload(settings);
    std::this_thread::sleep_for(seconds { 4 });
    int before = cluster.app(0).runs;
    for (int i = 0; i < requestCount; i++)
        cluster.sendRequest("/status/x", "id-" + std::to_string(i));
    cr_assert_eq(cluster.app(0).runs, before, "%d requests reached it", cluster.app(0).runs - before);
}

namespace {

/// Sends `bytes` to the VM on a new connection, and returns everything that it sends until it closes, or is silent for some seconds.
std::string sendBytes(const TestCluster& cluster, const std::string& bytes)
{
    int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    constexpr timeval timeout { 3, 0 };
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(cluster.front().port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    std::string received;
    if (::connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        RawPeer::write(connection, bytes);
        char buffer[4096];
        ssize_t count = 0;
        while ((count = ::recv(connection, buffer, sizeof buffer, 0)) > 0)
            received.append(buffer, static_cast<size_t>(count));
    }
    ::close(connection);
    return received;
}

} // namespace

// A worker must not run a request that is hidden in the body of another one.
CLUSTER_TEST(hidden_requests_reach_no_worker, 12000)
{
    cluster.configureAndWait();
    auto runs = [&] { return cluster.app(0).runs + cluster.app(1).runs; };
    auto request = [](const std::string& id, const std::string& fields) { return "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 3000\r\n" + fields + "\r\n"; };
    auto hidden = request("id-hidden", "Content-Length: 1\r\n") + "x";
    cr_assert(cluster.waitUntil([&] { return sendBytes(cluster, request("id-first", "Connection: close\r\nContent-Length: 1\r\n") + "x").starts_with("HTTP/1.1 200"); }));
    auto before = runs();
    for (const auto* fields : { "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n", "A: a\r\n Content-Length: 1000\r\n" }) {
        auto response = sendBytes(cluster, request("id-outer", fields) + hidden);
        cr_assert(response.starts_with("HTTP/1.1 400 ") && response.rfind("HTTP/1.1 ") == 0, "%s: %s", fields, response.substr(0, 60).c_str());
        cr_assert_eq(runs(), before, "%s", fields);
    }
}

// Answers with a status from 100 to 199 announce the worker's answer. They are none, and must not hide it.
CLUSTER_TEST(interim_answers_do_not_hide_the_answer, 12100)
{
    std::atomic<bool> switches { false };
    auto serve = [&](int connection) {
        for (auto bytes = RawPeer::readRequest(connection); !bytes.empty(); bytes = RawPeer::readRequest(connection)) {
            auto id = TestCluster::requestId(bytes);
            RawPeer::write(connection, switches ? "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" : "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
            std::this_thread::sleep_for(milliseconds { 20 });
            RawPeer::write(connection, answer(id));
        }
    };
    cluster.useRawWorker(0, "app", serve);
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/order/1", "id-wait").status != 503; }));
    for (int i = 0; i < 20; i++) {
        auto id = "id-" + std::to_string(i);
        auto response = cluster.sendRequest(i % 2 == 0 ? "/order/1" : "/status/1", id);
        cr_assert(response.status == 200 && response.body == id, "request %d: %u %s", i, response.status, response.body.c_str());
    }
    switches = true;
    auto response = cluster.sendRequest("/order/1", "id-switched");
    cr_assert_eq(response.status, 502U, "%u %s", response.status, response.body.c_str());
}

// A caller's id must not look like further fields of a log line.
CLUSTER_TEST(names_of_others_stand_escaped_in_logs, 12200)
{
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/status/1", "id-first").status == 200; }));
    auto text = captureLog(transport::LogLevel::Info, [&] { cluster.sendRequest("/status/1", "id-odd outcome=forged"); });
    cr_assert_neq(text.find("id=id-odd"), std::string::npos, "the request is not logged: %s", text.c_str());
    cr_assert_eq(text.find(" outcome=forged"), std::string::npos, "%s", text.c_str());
}

// Connections to a worker that is gone hold a slot at whatever comes to its address next, and a descriptor of this VM. They must be closed
// when the worker goes, although the worker doesn't close them.
CLUSTER_TEST(idle_connections_close_when_their_worker_goes, 12400)
{
    std::atomic<int> open { 0 };
    auto serve = [&open](int connection) {
        open++;
        for (auto bytes = RawPeer::readRequest(connection); !bytes.empty(); bytes = RawPeer::readRequest(connection))
            RawPeer::write(connection, answer(TestCluster::requestId(bytes)));
        open--;
    };
    cluster.useRawWorker(0, "app", serve);
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/status/1", "id-first").status == 200; }));
    callAtOnce(6, [&](int i) { cr_assert_eq(cluster.sendRequest("/status/1", "id-" + std::to_string(i)).status, 200U); });
    cr_assert_gt(open, 0, "no connection is kept, so the test proves nothing");
    cluster.store.write("keyed.servers", "raw0", "");
    cr_assert(cluster.waitUntil([&] { return open == 0; }, milliseconds { 3000 }), "%d connections to the worker are open", open.load());
}
