/// Tests of the whole daemon against workers that close their connection within an answer's head, an interim answer or trailers.
#include "edge_world.h"

using namespace comfreypier;
using namespace comfreypier::testing;
using standins::RawPeer;

namespace {

/// How a worker frames its answer.
struct Framing {
    const char* name;
    std::string interim; ///< Status of an interim answer before the answer; empty for none.
    std::string headers; ///< Headers that frame the body, without that of its length.
    std::string bodySuffix;
    bool endsWithConnection = false; ///< The body ends with the connection, so that its end can't be told from a cut.
};

const std::vector<Framing>& framings()
{
    static const std::vector<Framing> all {
        { "length", "", "", "", false },
        { "chunks and trailers", "", "Transfer-Encoding: chunked\r\n", "\r\n0\r\nChecksum: 1\r\nMore: 2\r\n\r\n", false },
        { "end of the connection", "", "", "", true },
        { "length after an interim answer", "100 Continue", "", "", false },
        { "chunks after an interim answer", "103 Early Hints", "Transfer-Encoding: chunked\r\n", "\r\n0\r\n\r\n", false },
        { "end of the connection after an interim answer", "100 Continue", "", "", true },
    };
    return all;
}

/// An answer's bytes.
struct Answer {
    std::string bytes;
    size_t headLength = 0; ///< Of the interim answer and the head.
};

/// Returns the answer to a request with this id.
Answer makeAnswer(const Framing& framing, const std::string& id, const std::string& contentType, const std::string& body)
{
    Answer answer;
    if (!framing.interim.empty())
        answer.bytes = TestCluster::answerHead(id, framing.interim) + "\r\n";
    answer.bytes += TestCluster::answerHead(id) + "Content-Type: " + contentType + "\r\n" + framing.headers;
    if (framing.headers.empty() && !framing.endsWithConnection)
        answer.bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    answer.bytes += "\r\n";
    answer.headLength = answer.bytes.size();
    std::array<char, 20> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    answer.bytes += framing.headers.empty() ? body : size.data() + body + framing.bodySuffix;
    return answer;
}

const std::string eventsBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A route of the test's configuration.
struct RouteCase {
    const char* path;
    const char* service;
    bool streaming = false;
    int maxRuns = 1; ///< Without those that resume a stream.
};

/// Point at which a worker closes its connection.
struct Cut {
    size_t bytes = SIZE_MAX; ///< Bytes of the answer that are sent.
    bool reset = false; ///< Closes the connection with a TCP reset.
    bool onUsedConnection = false; ///< A request is answered on the connection before.
};

/// Starts the VM with a retry budget that is never used up.
void startVmWithRetries(TestCluster& cluster)
{
    auto settings = cluster.settingsOf(0);
    settings.retrySlack = 1'000'000;
    cluster.vms.push_back(std::make_unique<edge::Edge>(settings));
    cr_assert(cluster.vms.back()->start());
}

/// Sends requests of a route to two workers that cut their answers off after every `step`-th byte, in all framings and ways of closing.
void checkCutAnswers(uint16_t base, const RouteCase& route, size_t step)
{
    auto* cluster = new TestCluster(base, 0);
    std::mutex mutex;
    std::map<std::string, int> runs; // By request id.
    Cut cut;
    size_t framing = 0;
    int usedConnections = 0; // Answers that were cut off on a connection that had been used before.
    auto contentType = route.streaming ? "text/event-stream" : "text/plain";
    auto body = route.streaming ? eventsBody : "done";
    auto serve = [&](int connection) {
        for (bool used = false;; used = true) {
            auto request = RawPeer::readRequest(connection);
            auto id = TestCluster::requestId(request);
            if (id.empty())
                return;
            std::unique_lock lock(mutex);
            // A stream that resumes from its backup copy is still the same run.
            runs[id] += request.find("Last-Event-Id") == std::string::npos ? 1 : 0;
            if (id.starts_with("id-whole")) {
                lock.unlock();
                RawPeer::write(connection, makeAnswer(framings().front(), id, contentType, body).bytes);
                continue;
            }
            usedConnections += used ? 1 : 0;
            auto bytes = makeAnswer(framings()[framing], id, contentType, body).bytes.substr(0, cut.bytes);
            if (cut.reset)
                RawPeer::resetOnClose(connection);
            lock.unlock();
            RawPeer::write(connection, bytes);
            return;
        }
    };
    cluster->useRawWorker(0, route.service, serve);
    cluster->addRawWorker(1, route.service, serve);
    startVmWithRetries(*cluster);
    cluster->configureAndWait();
    auto send = [&](const std::string& id) {
        auto path = route.path + id.substr(3); // Without the prefix by which workers find the id.
        return route.streaming ? cluster->sendChat(id, path) : cluster->sendRequest(path, id);
    };
    int number = 0;
    cr_assert(cluster->waitUntil([&] { return send("id-whole" + std::to_string(number++)).status == 200; }));
    int cutAnswers = 0;
    for (framing = 0; framing < framings().size(); framing++) {
        const auto& item = framings()[framing];
        for (auto [reset, onUsedConnection] : { std::pair(false, false), std::pair(true, false), std::pair(false, true), std::pair(true, true) }) {
            auto whole = makeAnswer(item, "id-00000", contentType, body);
            auto length = item.endsWithConnection ? whole.headLength : whole.bytes.size();
            for (size_t bytes = static_cast<size_t>(number) % step; bytes < length; bytes += step) {
                {
                    std::lock_guard lock(mutex);
                    cut = { bytes, reset, onUsedConnection };
                }
                // At both workers.
                for (int i = 0; onUsedConnection && i < 2; i++)
                    send("id-whole" + std::to_string(number++));
                std::array<char, 16> id {};
                std::snprintf(id.data(), id.size(), "id-%05d", number++);
                auto answer = send(id.data());
                std::lock_guard lock(mutex);
                cr_assert(answer.status == 502 || answer.status == 504 || answer.status == 0, "%s, %s, cut after %zu bytes%s%s: got %u with the body '%s' after %d runs", route.path, item.name, bytes, reset ? ", reset" : "", onUsedConnection ? ", used connection" : "", answer.status, answer.body.c_str(), runs[id.data()]);
                cr_assert_leq(runs[id.data()], route.maxRuns, "%s, %s, cut after %zu bytes: ran %d times", route.path, item.name, bytes, runs[id.data()]);
                cutAnswers += runs[id.data()];
            }
            // The whole answer, so that what is cut off above would have been an answer.
            {
                std::lock_guard lock(mutex);
                cut = {};
            }
            std::array<char, 16> id {};
            std::snprintf(id.data(), id.size(), "id-%05d", number++);
            auto answer = send(id.data());
            cr_assert_eq(answer.status, 200U, "%s, %s, whole: got %u", route.path, item.name, answer.status);
            cr_assert_eq(answer.body, body, "%s, %s, whole: got '%s'", route.path, item.name, answer.body.c_str());
        }
    }
    cr_assert_gt(cutAnswers, 2000 / static_cast<int>(step), "only %d answers were cut off", cutAnswers);
    cr_assert_gt(usedConnections, cutAnswers / 8, "only %d of %d answers were cut off on a connection that had been used", usedConnections, cutAnswers);
    exitProcess();
}

} // namespace

// Guards against a part of an answer's head, an interim answer or a body without its trailers being taken for an answer.
Test(cut_answers, non_idempotent_request_never_gets_a_cut_answer, .timeout = 120)
{
    checkCutAnswers(13500, { "/order/", "app", false, 1 }, 1);
}

Test(cut_answers, idempotent_request_never_gets_a_cut_answer, .timeout = 120)
{
    checkCutAnswers(13600, { "/status/", "app", false, 2 }, 3);
}

Test(cut_answers, stream_never_ends_with_a_cut_answer, .timeout = 120)
{
    checkCutAnswers(13700, { "/chat/", "llm", true, 1 }, 1);
}

Test(cut_answers, resumable_stream_never_ends_with_a_cut_answer, .timeout = 120)
{
    checkCutAnswers(13800, { "/draft/", "llm", true, 2 }, 3);
}

// Guards against bytes of a cut head, or an end that looks complete, in a stream that resumes on another worker or from its backup copy.
Test(cut_answers, resumed_stream_gets_nothing_of_a_cut_head, .timeout = 120)
{
    constexpr size_t step = 2;
    auto* cluster = new TestCluster(13550, 0);
    std::mutex mutex;
    std::map<std::string, int> attempts; // By request id.
    size_t framing = 0;
    Cut cut;
    const std::string begin = "id: 1\ndata: a\n\n";
    auto serve = [&](int connection) {
        auto id = TestCluster::requestId(RawPeer::readRequest(connection));
        if (id.empty())
            return;
        std::unique_lock lock(mutex);
        bool first = attempts[id]++ == 0;
        auto bytes = first ? TestCluster::answerHead(id) + "Content-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n" + begin
                           : makeAnswer(framings()[framing], id, "text/event-stream", "id: 2\ndata: b\n\n").bytes.substr(0, cut.bytes);
        if (!first && cut.reset)
            RawPeer::resetOnClose(connection);
        lock.unlock();
        RawPeer::write(connection, bytes);
        // Before the first event there is no backup copy.
        std::this_thread::sleep_for(milliseconds { first ? 5 : 0 });
    };
    cluster->useRawWorker(0, "llm", serve);
    cluster->addRawWorker(1, "llm", serve);
    startVmWithRetries(*cluster);
    cluster->configureAndWait();
    cr_assert(cluster->waitUntil([&] { return cluster->sendChat("id-first" + std::to_string(attempts.size()), "/draft/x").status != 503; }));
    int number = 0;
    int resumed = 0;
    for (framing = 0; framing < framings().size(); framing++) {
        const auto& item = framings()[framing];
        for (const auto* path : { "/draft/x", "/chat/x" }) {
            auto length = makeAnswer(item, "id-00000", "text/event-stream", "").headLength;
            for (size_t bytes = static_cast<size_t>(number) % step; bytes < length; bytes += step) {
                std::array<char, 16> id {};
                std::snprintf(id.data(), id.size(), "id-%05d", number++);
                {
                    std::lock_guard lock(mutex);
                    cut = { bytes, number % 4 < 2, false };
                }
                auto received = cluster->receiveChat(id.data(), path);
                std::lock_guard lock(mutex);
                cr_assert_not(received.complete, "%s, %s, cut after %zu bytes: looks complete", path, item.name, bytes);
                cr_assert_eq(received.bytes, begin, "%s, %s, cut after %zu bytes: got '%s'", path, item.name, bytes, received.bytes.c_str());
                resumed += attempts[id.data()] > 1 ? 1 : 0;
            }
        }
    }
    cr_assert_gt(resumed, number / 2, "%d of %d streams were resumed", resumed, number);
    exitProcess();
}

// Guards against an interim answer being forwarded as the answer, after which the answer itself would have no request.
Test(cut_answers, interim_answers_are_never_forwarded, .timeout = 40)
{
    auto* cluster = new TestCluster(13900, 0);
    const std::vector<std::string> interim { "100 Continue", "102 Processing", "103 Early Hints", "199 Other" };
    std::atomic<int> count { 0 }; // Interim answers before each answer.
    std::atomic<bool> withId { false };
    auto serve = [&](int connection) {
        while (true) {
            auto id = TestCluster::requestId(RawPeer::readRequest(connection));
            if (id.empty())
                return;
            std::string bytes;
            for (int i = 0; i < count; i++) {
                const auto& status = interim[static_cast<size_t>(i) % interim.size()];
                bytes += withId ? TestCluster::answerHead(id, status) + "\r\n" : "HTTP/1.1 " + status + "\r\n\r\n";
            }
            RawPeer::write(connection, bytes + makeAnswer(framings().front(), id, "text/plain", id).bytes);
        }
    };
    cluster->useRawWorker(0, "app", serve);
    startVmWithRetries(*cluster);
    cluster->configureAndWait();
    cr_assert(cluster->waitUntil([&] { return cluster->sendRequest("/order/1", "id-first").status != 503; }));
    int number = 0;
    for (int interimCount : { 1, 2, 4 }) {
        for (bool id : { false, true }) {
            count = interimCount;
            withId = id;
            for (int i = 0; i < 5; i++) {
                auto name = "id-" + std::to_string(number++);
                auto answer = cluster->sendRequest("/order/1", name);
                cr_assert_eq(answer.status, 200U, "%d interim answers %s id: got %u", interimCount, id ? "with" : "without", answer.status);
                cr_assert_eq(answer.body, name);
            }
        }
    }
    // Without end they are no answer.
    count = 10000;
    cr_assert_eq(cluster->sendRequest("/order/1", "id-endless").status, 502U);
    exitProcess();
}
