/// Tests of the HTTP client and of the whole daemon against workers whose answers are no valid HTTP, or end before their end.
#include "broken_answers.h"
#include "edge_world.h"
#include "resident_peak.h"

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
        const auto& answer = answers[current];
        RawPeer::write(connection, format(answer, "", "done"));
        // Without a valid framing an answer might end with the connection.
        if (!answer.framed)
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

/// Starts the VM with a retry budget that is never used up.
void startVmWithRetries(TestCluster& cluster)
{
    auto settings = cluster.settingsOf(0);
    settings.retrySlack = 1'000'000;
    cluster.vms.push_back(std::make_unique<edge::Edge>(settings));
    cr_assert(cluster.vms.back()->start());
}

/// Two workers of a service that send the same answer to every request of a caller, and a VM.
class BrokenWorkers {
public:
    BrokenWorkers(uint16_t base, const RouteCase& route)
        : route(route)
        , cluster(new TestCluster(base, 0))
    {
        auto serve = [this](int connection) { this->serve(connection); };
        this->cluster->useRawWorker(0, route.service, serve);
        this->cluster->addRawWorker(1, route.service, serve);
        startVmWithRetries(*this->cluster);
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

/// Receive buffer of workers that answer uploads early: the rest of an upload waits at its sender.
constexpr int smallReceiveBytes = 8 * 1024;

/// How a worker answers an upload before it ends its connection.
struct EarlyAnswer {
    std::string name;
    std::string framing; ///< Fields that frame the body; empty if it ends with the connection.
    std::string body; ///< As sent.
    size_t readBytes = SIZE_MAX; ///< Of the request, before the answer.
    bool reset = false;
    bool closes = false; ///< Its sending side, before the reset.
};

/// Returns answers that are cut by a reset before, while and after the upload is written, in all framings.
/// @param part what is sent of the body, where any is.
std::vector<EarlyAnswer> answersCutByResets(const std::string& part)
{
    std::array<char, 20> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    const std::vector<EarlyAnswer> shapes {
        { "neither length nor chunks", "", part },
        { "neither length nor chunks, no body", "", "" },
        { "length", "Content-Length: 1000\r\n", part },
        { "chunks", "Transfer-Encoding: chunked\r\n", size.data() + part + "\r\n" },
    };
    std::vector<EarlyAnswer> answers;
    for (const auto& [name, framing, body, readBytes, reset, closes] : shapes) {
        for (size_t read : { size_t { 0 }, size_t { 600 }, size_t { 20000 } }) {
            auto when = name + ", after " + std::to_string(read) + " bytes of the request, ";
            answers.push_back({ when + "reset", framing, body, read, true });
            answers.push_back({ when + "closed with the rest unread", framing, body, read });
            answers.push_back({ when + "closed and reset", framing, body, read, true, true });
        }
        answers.push_back({ name + ", after the request, reset", framing, body, SIZE_MAX, true });
    }
    return answers;
}

/// Sends such an answer and ends the connection.
/// @param makeFields returns the fields that the caller expects, each with its line end.
void sendEarly(int connection, const EarlyAnswer& answer, const std::function<std::string(const std::string& request)>& makeFields)
{
    auto request = RawPeer::readRequest(connection, answer.readBytes);
    RawPeer::write(connection, "HTTP/1.1 200 OK\r\n" + makeFields(request) + answer.framing + "\r\n" + answer.body);
    if (answer.closes) {
        ::shutdown(connection, SHUT_WR);
        std::this_thread::sleep_for(milliseconds { 5 });
    }
    if (answer.reset)
        RawPeer::resetOnClose(connection);
}

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

// What a client keeps of one answer is bounded, however long the server goes on and in whatever pieces the bytes arrive.
Test(broken_answers, answers_without_end_fill_no_memory, .timeout = 60)
{
    constexpr uint16_t port = 19408;
    constexpr uint64_t allowedBytes = 8 * 1024 * 1024;
    constexpr size_t sentBytes = 64 * 1024 * 1024;
    struct Case {
        std::string begin;
        std::string repeated;
        bool trickles = false; ///< The client reads each piece by itself.
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Case> cases {
        { "", std::string(4096, 'a') },
        { "HTTP/1.1 200 OK\r\nA: ", std::string(4096, 'a') },
        // Beast's parser limits the head only if more than three bytes of a line are left after a read.
        { "HTTP/1.1 200 OK\r\na", ":\r\na" },
        { "HTTP/1.1 200 OK\r\na", ":\r\na", true },
        { "HTTP/1.1 200 OK\r\n", "A: " + std::string(1000, 'a') + "\r\n" },
        { "HTTP/1.1 200 OK\r\nA: a\r\n", " a\r\n" },
        { "", "HTTP/1.1 100 Continue\r\nA: a\r\n\r\n" },
        { chunked, std::string(4096, '0') },
        { chunked + "1;a=", std::string(4096, 'a') },
        { chunked + "1\r\na\r\n0\r\n", "a:\r\n" },
        { chunked + "1\r\na\r\n0\r\n", "a:\r\n", true },
        { chunked, "1;" + std::string(4096, 'a') + "\r\na\r\n" },
        { chunked, "1\r\na\r\n" },
        { "HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'a') },
        { "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", std::string(4096, 'a') },
    };
    std::atomic<size_t> current { 0 };
    const RawPeer peer(port, [&](int connection) {
        const auto& item = cases[current];
        // Whole lines, so that each read has some to parse.
        std::string bytes;
        while (bytes.size() < (item.trickles ? 400 : 4096))
            bytes += item.repeated;
        int noDelay = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
        RawPeer::readRequest(connection);
        RawPeer::write(connection, item.begin);
        RawPeer::writeWithoutEnd(connection, bytes, sentBytes, milliseconds { item.trickles ? 1 : 0 });
    });
    runWithClient([&] {
        transport::HttpClient client;
        for (; current < cases.size(); current++) {
            transport::CallLimits limits;
            limits.response = seconds { 3 };
            limits.maxBodyBytes = 1024 * 1024;
            const ResidentPeak peak;
            auto answer = client.call(loopback(port), { "GET", "/", {}, "" }, limits);
            cr_expect_not(answer.has_value(), "case %zu", current.load());
            cr_expect_lt(peak.growth(), allowedBytes, "case %zu: %zu MB more", current.load(), static_cast<size_t>(peak.growth() / 1024 / 1024));
        }
    });
    exitProcess();
}

// What a server has sent when it resets a connection on which a request is still written is a part of an answer, however it looks.
Test(broken_answers, client_takes_no_part_of_an_answer_to_an_upload, .timeout = 60)
{
    constexpr uint16_t port = 19405;
    auto answers = answersCutByResets("part");
    std::atomic<size_t> current { 0 };
    auto serve = [&](int connection) { sendEarly(connection, answers[current], [](const auto&) { return ""; }); };
    const RawPeer early(port, serve, smallReceiveBytes);
    const RawPeer late(port + 1, serve);
    const RawPeer sound(port + 2, [&](int connection) { sendEarly(connection, { .body = "whole" }, [](const auto&) { return ""; }); });
    std::string wrong;
    runWithClient([&] {
        transport::HttpClient client;
        // The larger one never fits into the sender's buffer.
        for (size_t uploadBytes : { 90000, 4 * 1024 * 1024 }) {
            for (auto delay : { milliseconds { 0 }, milliseconds { 20 } }) {
                for (current = 0; current < answers.size(); current++) {
                    bool readsAll = answers[current].readBytes == SIZE_MAX;
                    auto opened = client.open(loopback(readsAll ? port + 1 : port), { "POST", "/", {}, std::string(readsAll ? 90000 : uploadBytes, 'u') }, {});
                    transport::sleepFor(delay);
                    auto bytes = opened ? opened.value()->read(milliseconds { 1000 }) : opened.error();
                    while (bytes && !bytes.value().empty())
                        bytes = opened.value()->read(milliseconds { 1000 });
                    if (bytes)
                        wrong += answers[current].name + ", upload of " + std::to_string(uploadBytes) + " bytes, read after " + std::to_string(delay.count()) + " ms\n";
                }
            }
        }
        // Answers that end with their connection are sound as long as the request was received.
        for (int i = 0; i < 20; i++) {
            auto whole = client.call(loopback(port + 2), { "POST", "/", {}, std::string(90000, 'u') }, {});
            cr_assert(whole && whole.value().body == "whole", "%s", whole ? whole.value().body.c_str() : transport::name(whole.error()));
        }
    });
    cr_assert(wrong.empty(), "taken for whole answers:\n%s", wrong.c_str());
    exitProcess();
}

// The same for callers of all routes: the worker may have run the request.
Test(broken_answers, callers_get_no_part_of_an_answer_to_an_upload, .timeout = 120)
{
    std::string wrong;
    uint16_t base = 19910;
    for (const auto& route : { RouteCase { "/order/", "app" }, RouteCase { "/chat/", "llm", true }, RouteCase { "/draft/", "llm", true, 2 } }) {
        auto* cluster = new TestCluster(base, 0);
        base = static_cast<uint16_t>(base + 30);
        struct State {
            std::mutex mutex;
            std::optional<EarlyAnswer> answer; // Nothing at first: the workers answer as they should.
            std::map<std::string, int> runs; // By request id.
        };
        auto* state = new State; // The workers use it until the process ends.
        auto serve = [state, route](int connection) {
            std::unique_lock lock(state->mutex);
            auto current = state->answer.value_or(EarlyAnswer { .body = "id: 1\ndata: a\n\n" });
            lock.unlock();
            sendEarly(connection, current, [&](const std::string& request) {
                auto id = TestCluster::requestId(request);
                lock.lock();
                // A stream that resumes from its backup copy is still the same run.
                state->runs[id] += request.find("Last-Event-Id") == std::string::npos ? 1 : 0;
                lock.unlock();
                auto head = TestCluster::answerHead(id);
                return head.substr(head.find('\n') + 1) + "Content-Type: " + (route.streaming ? "text/event-stream" : "text/plain") + "\r\n";
            });
        };
        cluster->useRawWorker(0, route.service, serve, smallReceiveBytes);
        cluster->addRawWorker(1, route.service, serve, smallReceiveBytes);
        startVmWithRetries(*cluster);
        cluster->configureAndWait();
        int number = 0;
        auto send = [&](const std::string& id, size_t uploadBytes) {
            auto path = route.path + id.substr(3); // Without the prefix by which workers find the id.
            std::string body(uploadBytes, 'u');
            return route.streaming ? cluster->sendPrompt(id, "a1:300,b2:200", body, 0, path) : cluster->sendRequest(path, id, {}, 0, body);
        };
        cr_assert(cluster->waitUntil([&] { return send("id-first" + std::to_string(number++), 10).status == 200; }));
        for (const auto& item : answersCutByResets("id: 1\ndata: a\n\n")) {
            {
                std::lock_guard lock(state->mutex);
                state->answer = item;
            }
            auto id = "id-" + std::to_string(number++);
            auto received = send(id, item.readBytes == SIZE_MAX ? 1000 : 90000);
            bool cut = route.streaming && received.status == 0 && received.body == transport::name(transport::IoError::Closed);
            std::lock_guard lock(state->mutex);
            if ((received.status != 502 && received.status != 504 && !cut) || state->runs[id] > route.maxRuns)
                wrong += std::string(route.path) + ", " + item.name + ": status " + std::to_string(received.status) + " '" + received.body + "', ran " + std::to_string(state->runs[id]) + " times\n";
        }
    }
    cr_assert(wrong.empty(), "taken for whole answers:\n%s", wrong.c_str());
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
    auto text = captureLog(transport::LogLevel::Warn, [&] { cluster.sendRequest("/order/1", "id-logged"); });
    const std::string line = "event=broken_answer worker=raw0 peer=127.0.0.1:19870 call=POST\\x20/order/1 id=id-logged reason=malformed fault=\"bad field\" bytes=Od\\x20d\\x20outcome=forged:\\x20\\x1b[31m\n";
    cr_assert_neq(text.find(line), std::string::npos, "%s", text.c_str());
}
