/// Tests of the HTTP client and of the whole daemon against workers whose answers are no valid HTTP, or end before their end.
#include "broken_answers.h"
#include "edge_world.h"

#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace comfreypier;
using namespace comfreypier::testing;
using standins::RawPeer;

namespace {

/// Runs `task` on a fiber of a runtime of its own and waits until it ends.
template <class Task>
void runWithClient(Task&& task)
{
    signal(SIGPIPE, SIG_IGN);
    transport::Runtime runtime(1);
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        task();
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(milliseconds { 1 });
    cr_assert(runtime.stop(seconds { 5 }));
}

/// Calls a server with each of the answers. Each call must fail as one with a malformed answer, and its connection must not be used again.
void checkClient(uint16_t port, const std::vector<BrokenAnswer>& answers)
{
    std::atomic<size_t> current { 0 };
    std::atomic<int> reused { 0 };
    const RawPeer peer(port, [&](int connection) {
        RawPeer::readRequest(connection);
        RawPeer::write(connection, format(answers[current], "", "done"));
        // Without a valid framing an answer might end with the connection.
        if (!answers[current].framed)
            ::shutdown(connection, SHUT_WR);
        reused += RawPeer::readRequest(connection).empty() ? 0 : 1;
    });
    std::string wrong;
    runWithClient([&] {
        transport::HttpClient client;
        for (; current < answers.size(); current++) {
            transport::CallLimits limits;
            limits.response = milliseconds { 300 };
            auto response = client.call(loopback(port), { "GET", "/", {}, "" }, limits);
            if (response || response.error() != transport::IoError::Malformed)
                wrong += transport::escapeForLog(answers[current].name) + ": " + (response ? "status " + std::to_string(response.value().status) + " '" + response.value().body + "'" : transport::name(response.error())) + "\n";
        }
    });
    cr_assert(wrong.empty(), "not malformed:\n%s", wrong.c_str());
    cr_assert_eq(reused, 0, "%d connections were used again", reused.load());
    exitProcess();
}

/// Returns the number of broken answers that the first VM has counted.
int countBrokenAnswers(TestCluster& cluster)
{
    auto response = cluster.call(cluster.metrics(), { "GET", "/metrics", {}, {} });
    const std::string metric = "events_total{event=\"broken_answers\"} ";
    auto text = response ? response.value().body : "";
    auto start = text.find(metric);
    return start == std::string::npos ? 0 : std::atoi(text.c_str() + start + metric.size());
}

/// A route of the test's configuration.
struct RouteCase {
    const char* path;
    const char* service;
    bool streaming = false;
    int maxRuns = 1;
    bool resumes = false; ///< The answer is to an attempt that resumes a stream.
};

/// Two workers of a service that send the same answer to every request of a caller, and a VM with a retry budget that is never used up.
class BrokenWorkers {
public:
    BrokenWorkers(uint16_t base, const RouteCase& route)
        : route(route)
        , cluster(new TestCluster(base, 0))
    {
        auto serve = [this](int connection) { this->serve(connection); };
        this->cluster->useRawWorker(0, route.service, serve);
        this->cluster->addRawWorker(1, route.service, serve);
        auto settings = this->cluster->settingsOf(0);
        settings.retrySlack = 1'000'000;
        this->cluster->vms.push_back(std::make_unique<edge::Edge>(settings));
        cr_assert(this->cluster->vms.back()->start());
        this->cluster->configureAndWait();
        cr_assert(this->cluster->waitUntil([this] { return this->send("id-first" + std::to_string(this->number++)).status == 200; }));
    }

    HttpResponse send(const std::string& id)
    {
        auto path = this->route.path + id.substr(3); // Without the prefix by which workers find the id.
        return this->route.streaming ? this->cluster->sendChat(id, path) : this->cluster->sendRequest(path, id);
    }

    /// Sends a request that gets a broken answer.
    /// @return what is wrong with what the caller and the workers see; empty if nothing is.
    std::string check(const BrokenAnswer& broken)
    {
        {
            std::lock_guard lock(this->mutex);
            this->answer = broken;
        }
        auto id = "id-" + std::to_string(this->number++);
        std::string wrong;
        auto path = this->route.path + id.substr(3);
        if (this->route.resumes) {
            auto received = this->cluster->receiveChat(id, path);
            if (received.complete || !this->body.starts_with(received.bytes))
                wrong = "a stream '" + received.bytes + (received.complete ? "', complete" : "', cut");
        } else {
            auto received = this->send(id);
            // Only of a stream the caller may have the begin.
            bool cut = this->route.streaming && received.status == 0 && received.body == transport::name(transport::IoError::Closed);
            if (received.status != 502 && received.status != 504 && !cut)
                wrong = "status " + std::to_string(received.status) + " '" + received.body + "'";
        }
        std::lock_guard lock(this->mutex);
        if (this->runs[id] == 0 || this->runs[id] > this->route.maxRuns)
            wrong += ", ran " + std::to_string(this->runs[id]) + " times";
        if (this->reused > 0)
            wrong += ", its connection was used again";
        this->reused = 0;
        return wrong.empty() ? wrong : transport::escapeForLog(broken.name) + ": " + wrong + "\n";
    }

    int countedAnswers() { return countBrokenAnswers(*this->cluster); }

private:
    void serve(int connection)
    {
        for (bool broken = false;;) {
            auto request = RawPeer::readRequest(connection);
            auto id = TestCluster::requestId(request);
            if (id.empty())
                return;
            std::unique_lock lock(this->mutex);
            this->reused += broken ? 1 : 0;
            auto head = TestCluster::answerHead(id) + "Content-Type: " + (this->route.streaming ? "text/event-stream" : "text/plain") + "\r\n";
            bool begins = this->route.resumes && this->runs[id] == 0;
            // A stream that resumes from its backup copy is still the same run.
            this->runs[id] += request.find("Last-Event-Id") == std::string::npos ? 1 : 0;
            broken = !id.starts_with("id-first");
            auto fields = head.substr(head.find('\n') + 1);
            auto bytes = broken ? format(this->answer, fields, this->body) : format(BrokenAnswer {}, fields, this->body);
            bool framed = this->answer.framed;
            lock.unlock();
            if (broken && begins) {
                RawPeer::write(connection, head + "Content-Length: 1000\r\n\r\n" + this->body.substr(0, this->body.find("id: 2")));
                std::this_thread::sleep_for(milliseconds { 5 }); // Before the first event there is no backup copy.
                return;
            }
            RawPeer::write(connection, bytes);
            if (broken && !framed)
                ::shutdown(connection, SHUT_WR);
        }
    }

    const RouteCase route;
    TestCluster* cluster; ///< Lives until the process ends, as the workers do.
    const std::string body = this->route.streaming ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "done";
    int number = 0;
    std::mutex mutex;
    BrokenAnswer answer; ///< Guarded by `mutex`.
    std::map<std::string, int> runs; ///< By request id. Guarded by `mutex`.
    int reused = 0; ///< Requests on a connection after a broken answer. Guarded by `mutex`.
};

void checkCallers(uint16_t base, const std::vector<BrokenAnswer>& answers)
{
    std::string wrong;
    for (const auto& route : { RouteCase { "/order/", "app" }, RouteCase { "/status/", "app", false, 2 }, RouteCase { "/chat/", "llm", true }, RouteCase { "/draft/", "llm", true, 2 }, RouteCase { "/draft/", "llm", true, 2, true } }) {
        auto* workers = new BrokenWorkers(base, route);
        for (const auto& answer : answers)
            wrong += workers->check(answer);
        cr_expect_geq(workers->countedAnswers(), static_cast<int>(answers.size()), "%s: %d of %zu broken answers were counted", route.path, workers->countedAnswers(), answers.size());
        base = static_cast<uint16_t>(base + 40);
    }
    cr_assert(wrong.empty(), "what callers got:\n%s", wrong.c_str());
    exitProcess();
}

} // namespace

Test(broken_answers, client_takes_no_answer_with_a_broken_status, .timeout = 40)
{
    checkClient(19400, answersWithBrokenStatus());
}

Test(broken_answers, client_takes_no_answer_with_a_broken_field, .timeout = 40)
{
    checkClient(19401, answersWithBrokenFields());
}

Test(broken_answers, client_takes_no_answer_with_a_broken_framing, .timeout = 40)
{
    checkClient(19402, answersWithBrokenFraming());
}

// A sound answer may arrive byte by byte, and so may one that is broken.
Test(broken_answers, client_reads_answers_that_trickle, .timeout = 40)
{
    constexpr uint16_t port = 19403;
    const std::string head = "HTTP/1.1 200 OK\r\nA: \r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct Case {
        std::string bytes;
        std::optional<std::string> body; ///< Nothing if the answer is broken.
    };
    const std::vector<Case> cases {
        { head + "Content-Length: 4\r\n\r\ndone", "done" },
        { chunked + "4\r\ndone\r\n0\r\n\r\n", "done" },
        { chunked + "0\r\n\r\n", "" },
        { chunked + "4;a=\"b\";c\r\ndone\r\n00;d\r\nA: a\r\nB:\r\n\r\n", "done" },
        { chunked + "0;a\r\nA: a\r\n\r\n", "" },
        { head + "\r\ndone", "done" },
        { "HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\ndone", "done" },
        { "HTTP/1.1 000 OK\r\n\r\n", std::nullopt },
        { head + "A b: c\r\nContent-Length: 4\r\n\r\ndone", std::nullopt },
        { chunked + "4\r\ndone\r\n0\r\nA b: c\r\n\r\n", std::nullopt },
        { chunked + "4;\r\ndone\r\n0\r\n\r\n", std::nullopt },
        { chunked + "4;a\x01\r\ndone\r\n0\r\n\r\n", std::nullopt },
        { chunked + "-4\r\ndone\r\n0\r\n\r\n", std::nullopt },
        { chunked + "4\r\ndone0\r\n\r\n", std::nullopt },
        { chunked + "\r\n\r\n", std::nullopt },
    };
    std::atomic<size_t> current { 0 };
    const RawPeer peer(port, [&](int connection) {
        int enabled = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        RawPeer::readRequest(connection);
        for (char byte : cases[current].bytes) {
            RawPeer::write(connection, std::string(1, byte));
            std::this_thread::sleep_for(std::chrono::microseconds { 300 });
        }
    });
    runWithClient([&] {
        transport::HttpClient client;
        for (; current < cases.size(); current++) {
            transport::CallLimits limits;
            limits.freshConnection = true; // The peer closes after each answer.
            auto response = client.call(loopback(port), { "GET", "/", {}, "" }, limits);
            const auto& body = cases[current].body;
            cr_assert_eq(response.has_value(), body.has_value(), "case %zu: %s", current.load(), response ? response.value().body.c_str() : transport::name(response.error()));
            cr_assert(!response || response.value().body == *body, "case %zu: '%s'", current.load(), response.value().body.c_str());
        }
    });
    exitProcess();
}

Test(broken_answers, callers_get_no_answer_with_a_broken_status, .timeout = 120)
{
    checkCallers(19410, answersWithBrokenStatus());
}

Test(broken_answers, callers_get_no_answer_with_a_broken_field, .timeout = 120)
{
    checkCallers(19610, answersWithBrokenFields());
}

Test(broken_answers, callers_get_no_answer_with_a_broken_framing, .timeout = 120)
{
    checkCallers(18800, answersWithBrokenFraming());
}

// The lease holder asks for reports. A worker that breaks its answers to them fails, although it still serves requests.
CLUSTER_TEST(worker_with_broken_reports_is_avoided, 19810)
{
    constexpr int requests = 40;
    std::array<std::atomic<int>, 2> served {};
    auto makeServe = [&](size_t worker) {
        return [&served, worker](int connection) {
            auto request = RawPeer::readRequest(connection);
            auto id = TestCluster::requestId(request);
            served[worker] += id.starts_with("id-chat") ? 1 : 0;
            if (!id.empty())
                RawPeer::write(connection, format(BrokenAnswer {}, TestCluster::answerHead(id).substr(17) + "Content-Type: text/event-stream\r\nConnection: close\r\n", "id: 1\ndata: a\n\n"));
            else
                RawPeer::write(connection, format(worker == 0 ? answersWithBrokenStatus().front() : BrokenAnswer {}, "Connection: close\r\n", R"({"seq":1,"models":[{"name":"m1","version":1,"adapters":[]}]})"));
        };
    };
    cluster.useRawWorker(0, "llm", makeServe(0));
    cluster.addRawWorker(1, "llm", makeServe(1));
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendChat("id-first").status == 200; }));
    cr_assert(cluster.waitUntil([&] { return countBrokenAnswers(cluster) >= 6; }, seconds { 10 }), "%d broken reports were counted", countBrokenAnswers(cluster));
    for (int i = 0; i < requests; i++)
        cluster.sendChat("id-chat" + std::to_string(i), "/chat/" + std::to_string(i));
    cr_assert_eq(served[0] + served[1], requests);
    cr_assert_lt(served[0], requests / 5, "the worker with broken reports got %d of %d requests", served[0].load(), requests);
}

// What was wrong must stand in the log, and nothing that the worker sent may look like further fields of the line.
CLUSTER_TEST(broken_answers_are_logged, 19860)
{
    auto serve = [](int connection) {
        auto id = TestCluster::requestId(RawPeer::readRequest(connection));
        RawPeer::write(connection, format({ .firstLine = "Od d outcome=forged: \x1b[31m" }, TestCluster::answerHead(id), "done"));
    };
    cluster.useRawWorker(0, "app", serve);
    cluster.configureAndWait();
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/order/1", "id-first").status == 502; }));
    auto path = "/tmp/comfreypier-log-" + std::to_string(::getpid());
    auto* file = std::fopen(path.c_str(), "w+");
    std::fflush(stdout);
    int standardOutput = ::dup(STDOUT_FILENO);
    ::dup2(::fileno(file), STDOUT_FILENO);
    transport::setUpLogging(transport::LogLevel::Warn, {});
    cluster.sendRequest("/order/1", "id-logged");
    std::this_thread::sleep_for(milliseconds { 100 });
    ::dup2(standardOutput, STDOUT_FILENO);
    std::rewind(file);
    std::string text(64 * 1024, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), file));
    std::fclose(file);
    std::remove(path.c_str());
    const std::string line = "event=broken_answer worker=raw0 peer=127.0.0.1:19870 call=POST\\x20/order/1 id=id-logged reason=malformed fault=\"bad field\" bytes=Od\\x20d\\x20outcome=forged:\\x20\\x1b[31m\n";
    cr_assert_neq(text.find(line), std::string::npos, "%s", text.c_str());
}
