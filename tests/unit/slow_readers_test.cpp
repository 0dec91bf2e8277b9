/// Peers that read slowly, beside peers that are unreachable: who ends their connections, when, and what of an answer is lost.
#include "kernel_answers.h"
#include "send_watch.h"
#include "slow_caller.h"

// After the headers of the transport library, whose macros Criterion breaks.
#include "edge_world.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <sys/socket.h>

using namespace comfreypier;
using namespace comfreypier::transport;
using namespace comfreypier::testing;
using standins::KernelAnswers;
using standins::SlowCaller;

namespace {

/// Time from which an unreachable endpoint must be known: `unreachableTimeout`, a check, and the delays of a busy machine.
constexpr milliseconds maxDetectionTime = unreachableTimeout + milliseconds { 1000 };
/// Larger than what the kernel's buffers take.
constexpr size_t largeBytes = 24 * 1024 * 1024;
constexpr size_t smallBytes = 100 * 1024;
/// End of an upload.
const std::string uploadEnd = "end";
/// For which callers and workers here read nothing: longer than an endpoint may answer nothing.
constexpr milliseconds readPause = unreachableTimeout + milliseconds { 1500 };

/// Time that an answer takes which begins only after its caller's path was cut for `readPause`.
constexpr milliseconds longWait = readPause + milliseconds { 500 };

HttpResponse makeError(unsigned status, std::string_view reason)
{
    return { status, {}, std::string(reason) };
}

/// A server that answers `/small` and `/large` with a length, `/late` as `/small` after 300 ms, `/wait` as `/small` after `longWait`, and
/// `/stream` with 100 chunks in a second.
struct SlowReaderServer {
    explicit SlowReaderServer(uint16_t port, const ServerLimits& limits = {}, ConnectionBudget* budget = nullptr)
        : port(port)
        , server(
              this->runtime, loopback(port), limits, [this](const auto& request, auto& writer) { this->serve(request, writer); }, makeError, nullptr, budget)
    {
        signal(SIGPIPE, SIG_IGN);
        cr_assert(this->server.start());
    }
    ~SlowReaderServer()
    {
        this->server.closeAll();
        cr_assert(this->runtime.stop(seconds { 5 }));
    }

    void serve(const HttpRequest& request, ResponseWriter& writer)
    {
        if (request.target == "/late")
            sleepFor(milliseconds { 300 });
        if (request.target == "/wait")
            sleepFor(longWait);
        if (request.target != "/stream") {
            writer.send({ 200, {}, std::string(request.target == "/large" ? largeBytes : smallBytes, 'x') });
            return;
        }
        writer.startStream(200, {});
        for (int i = 0; i < 100 && writer.writeChunk(std::string(smallBytes / 100, 'x')); i++)
            sleepFor(milliseconds { 10 });
        writer.finishStream();
    }

    /// Waits until there are more than `before` such cuts.
    /// @return how long that took; `limit` if there were none.
    static milliseconds awaitCut(CutBy by, milliseconds limit, uint64_t before = 0)
    {
        auto start = monotonicNow();
        while (cutConnections(ConnectionSide::Caller, by) == before && monotonicNow() - start < limit)
            std::this_thread::sleep_for(milliseconds { 10 });
        return std::chrono::duration_cast<milliseconds>(monotonicNow() - start);
    }

    uint16_t port;
    Runtime runtime { 1 };
    HttpServer server;
};

/// Returns the errors of a settings file with this line in its limits; `timeout` becomes the write timeout.
std::string parseLimits(const std::string& line, milliseconds& timeout)
{
    auto settings = edge::parseSettings("node.ini", "[node]\nname = n\nregion = r\ndata_centre = d\n[listen]\nfront = 127.0.0.1:1\ndirectory = 127.0.0.1:2\nreadiness = 127.0.0.1:3\ninner = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:6\n[limits]\n" + line + "\n");
    if (!settings)
        return settings.error().front().message;
    timeout = settings.value().writeTimeout;
    return {};
}

std::string makeGet(const std::string& path, bool last = true)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + (last ? "Connection: close\r\n" : "") + "\r\n";
}

/// A worker with small receive buffers, until the process ends, that answers a `GET` at once, but `/wait` never, and an upload of `largeBytes` once it has read it.
class UploadWorker {
public:
    /// @param beforeReading called with the connection of each upload, when its first bytes have arrived.
    UploadWorker(uint16_t port, std::function<void(int connection)> beforeReading)
        : beforeReading(std::move(beforeReading))
        , peer(
              port, [this](int connection) { this->serve(connection); }, 4096)
    {
        signal(SIGPIPE, SIG_IGN);
    }
    UploadWorker(const UploadWorker&) = delete;
    UploadWorker& operator=(const UploadWorker&) = delete;

    void refuseConnections() { this->peer.stopListening(); }
    /// Makes all of its connections unreachable, and new ones.
    void makeUnreachable() { this->forEachSocket(standins::makeUnreachable); }
    void makeReachable() { this->forEachSocket(standins::makeReachable); }

private:
    void forEachSocket(const std::function<void(int socket)>& apply)
    {
        std::lock_guard lock(this->mutex);
        apply(this->peer.listener());
        for (auto socket : this->sockets)
            apply(socket);
    }

    void serve(int connection)
    {
        {
            std::lock_guard lock(this->mutex);
            this->sockets.insert(connection);
        }
        char first = 0;
        while (::recv(connection, &first, 1, MSG_PEEK) > 0) {
            if (first != 'G')
                this->readUpload(connection);
            else if (standins::RawPeer::readRequest(connection).find("/wait") != std::string::npos)
                continue;
            standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
        std::lock_guard lock(this->mutex);
        this->sockets.erase(connection);
    }

    void readUpload(int connection)
    {
        this->beforeReading(connection);
        std::string piece(64 * 1024, '\0');
        std::string end;
        ssize_t count = 1;
        // Its body holds one character only.
        while (count > 0 && !end.ends_with(uploadEnd)) {
            count = ::recv(connection, piece.data(), piece.size(), 0);
            end.append(piece, 0, static_cast<size_t>(std::max<ssize_t>(count, 0)));
            end.erase(0, end.size() - std::min(end.size(), uploadEnd.size()));
        }
    }

    const std::function<void(int connection)> beforeReading;
    std::mutex mutex;
    std::set<int> sockets; ///< Open connections. Protected by `mutex`.
    standins::RawPeer peer;
};

/// Runs a task with a client on a fiber, until it has ended.
void runCall(const std::function<void(HttpClient& client)>& task)
{
    Runtime runtime(1);
    HttpClient client;
    runtime.spawn([&] { task(client); });
    cr_assert(runtime.stop(seconds { 30 }));
}

/// Sends an upload on a fresh connection, and beside it one on a used one.
/// @return how many are answered.
int sendUploads(uint16_t port)
{
    std::atomic<int> answered { 0 };
    runCall([&](HttpClient& client) {
        const HttpRequest upload { "POST", "/", {}, std::string(largeBytes, 'x') + uploadEnd };
        CallLimits limits;
        cr_assert(client.call(loopback(port), {}, limits).has_value());
        Event fresh;
        spawnOnCurrentThread([&] {
            limits.freshConnection = true;
            answered += client.call(loopback(port), upload, limits).has_value() ? 1 : 0;
            fresh.signal();
        });
        answered += client.call(loopback(port), upload, {}).has_value() ? 1 : 0;
        fresh.waitFor(seconds { 10 });
    });
    for (auto by : { CutBy::Peer, CutBy::Unreachable })
        cr_expect_eq(cutConnections(ConnectionSide::Endpoint, by), 0, "%s", transport::name(by));
    return answered;
}

/// Returns the sum of what the callers of a server have not acknowledged, also on connections that it has closed, as the kernel's table says.
uint64_t unacknowledgedBytesAt(uint16_t port)
{
    std::ifstream table("/proc/net/tcp");
    uint64_t sum = 0;
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream row(line);
        std::string number, local, remote, state, queues;
        row >> number >> local >> remote >> state >> queues;
        if (std::stoi(local.substr(9), nullptr, 16) == port)
            sum += std::stoull(queues.substr(0, 8), nullptr, 16);
    }
    return sum;
}

struct AnswerCase {
    std::string requests;
    size_t minBytes;
};
const std::vector<AnswerCase> answerCases {
    // The answer is in the kernel's buffer, and the connection idle.
    { makeGet("/small", false), smallBytes },
    { makeGet("/large", false), largeBytes },
    { makeGet("/stream", false), smallBytes },
    // A stream that begins while the answer before it waits.
    { makeGet("/small", false) + makeGet("/stream", false), 2 * smallBytes },
};

/// Has a caller for each case run `prepare`, send its requests, run `pause`, and then read. Expects that all get whole answers, and that no
/// connection is cut.
void expectWholeAnswers(
    SlowReaderServer& server, const std::vector<AnswerCase>& cases, const std::function<void(const SlowCaller& caller)>& pause, const std::function<void(const SlowCaller& caller)>& prepare = [](const SlowCaller&) {})
{
    std::vector<std::thread> callers;
    std::vector<size_t> received(cases.size());
    for (size_t i = 0; i < cases.size(); i++) {
        callers.emplace_back([&, i] {
            SlowCaller caller(server.port);
            prepare(caller);
            caller.send(cases[i].requests);
            pause(caller);
            // What was lost meanwhile is sent again after as long a time as it was lost before.
            received[i] = caller.readAll(2 * readPause, {}, cases[i].minBytes).size();
        });
    }
    for (auto& caller : callers)
        caller.join();
    // A handler that still writes would outlive the server.
    while (server.server.stats().activeRequests > 0)
        std::this_thread::sleep_for(milliseconds { 10 });
    for (size_t i = 0; i < cases.size(); i++)
        cr_expect_geq(received[i], cases[i].minBytes, "case %zu: %zu bytes", i, received[i]);
    for (auto by : { CutBy::Unreachable, CutBy::WriteTimeout })
        cr_expect_eq(cutConnections(ConnectionSide::Caller, by), 0, "%s", transport::name(by));
}

} // namespace

// The log and the metrics must say who ended a connection: the peer, this process, or nobody's answer.
Test(send_watch, causes_of_ends_are_told_apart)
{
    cr_assert_eq(causeOfEnd(asio::error::timed_out), CutBy::Unreachable);
    cr_assert_eq(causeOfEnd(asio::error::host_unreachable), CutBy::Unreachable);
    cr_assert_eq(causeOfEnd(asio::error::network_unreachable), CutBy::Unreachable);
    cr_assert_eq(causeOfEnd(asio::error::connection_reset), CutBy::Peer);
    cr_assert_eq(causeOfEnd(asio::error::eof), CutBy::Peer);
    cr_assert_eq(causeOfEnd(asio::error::operation_aborted), CutBy::Self);
    cr_assert_eq(causeOfEnd(beast::error::timeout), CutBy::Self);
}

// Guards against progress that is counted by what the kernel has taken, of which a peer that reads nothing has seen nothing.
Test(send_watch, progress_is_what_the_peer_acknowledges)
{
    SendProgress progress;
    auto at = [](int ms) { return std::chrono::nanoseconds(milliseconds { ms }); };
    recordWritten(progress, 1000, at(100));
    cr_assert_not(recordAcknowledged(progress, { 1000 }, at(200)));
    recordWritten(progress, 500, at(300));
    cr_assert_not(recordAcknowledged(progress, { 1500 }, at(400)));
    cr_assert_eq(progress.progressAt, at(100));
    cr_assert(recordAcknowledged(progress, { 1499 }, at(500)));
    cr_assert_eq(progress.progressAt, at(500));
    // The end of the sending side is one byte more in the kernel.
    cr_assert(recordAcknowledged(progress, { 1 }, at(600)));
    cr_assert_not(recordAcknowledged(progress, { 1 }, at(700)));
    cr_assert(recordAcknowledged(progress, { 0 }, at(800)));
    cr_assert_not(recordAcknowledged(progress, {}, at(850)), "nothing is known");
    recordWritten(progress, 10, at(900));
    cr_assert_eq(progress.progressAt, at(900), "nothing was waiting before");
}

// Guards against endpoints that count as gone because they read slowly, or because nothing is known of them, and against a probe for each message.
Test(peer_probe, only_peers_that_answer_nothing_are_unreachable)
{
    constexpr std::array allEvidence { PeerEvidence::None, PeerEvidence::Reachable, PeerEvidence::Unreachable };
    for (auto evidence : allEvidence) {
        // One that is ready for a message acknowledges its beginning.
        cr_assert(isUnreachable({ unreachableTimeout, false }, evidence));
        cr_assert_not(isUnreachable({ unreachableTimeout - milliseconds { 1 }, false }, evidence));
        cr_assert_not(isUnreachable({ unreachableTimeout - milliseconds { 1 }, true }, evidence));
        cr_assert_eq(isUnreachable({ seconds { 100 }, true }, evidence), evidence == PeerEvidence::Unreachable);
    }
    cr_assert_not(needsProbe({ probeDelay - milliseconds { 1 }, true }));
    cr_assert(needsProbe({ probeDelay, true }));
    cr_assert_not(needsProbe({ seconds { 2 }, false }));
}

// Guards against a beginning that is taken for an acknowledgement of the message before, or the other way round.
Test(send_watch, message_is_begun_once_a_part_of_it_is_acknowledged)
{
    SendProgress progress;
    auto at = [](int ms) { return std::chrono::nanoseconds(milliseconds { ms }); };
    recordWritten(progress, 1000, at(0));
    cr_assert_not(stalledMessage(progress, at(100)).begun);
    recordAcknowledged(progress, { 999 }, at(200));
    cr_assert(stalledMessage(progress, at(700)).begun);
    cr_assert_eq(stalledMessage(progress, at(700)).stalledFor, milliseconds { 500 });
    recordAcknowledged(progress, { 0 }, at(800));
    progress.messageStart = progress.writtenBytes;
    recordWritten(progress, 1000, at(900));
    cr_assert_not(stalledMessage(progress, at(1000)).begun);
}

// An answer that waits must leave a trace before anything is cut: what the kernel tells of the peer, as far as it does.
Test(slow_readers, stalled_caller_is_reported_with_what_the_kernel_tells)
{
    for (auto answers : { KernelAnswers::All, KernelAnswers::StateOnly }) {
        standins::setKernelAnswers(answers);
        auto log = captureLog(LogLevel::Info, [&] {
            SlowReaderServer server(26962);
            SlowCaller caller(server.port);
            caller.send(makeGet("/small", false));
            std::this_thread::sleep_for(stallReportTime + 3 * sendCheckInterval);
        });
        cr_assert(log.find("event=peer_stalled with=caller peer=127.0.0.1:") != std::string::npos, "%s", log.c_str());
        auto told = std::string(answers == KernelAnswers::All ? " window_bytes=0 in_flight=0 retransmissions=0 unanswered_probes=0" : " last_ack_ms=- window_bytes=- in_flight=- retransmissions=- unanswered_probes=-");
        cr_assert(log.find(told) != std::string::npos, "%s", log.c_str());
    }
}

// A caller that is gone must not hold its place for ever, whatever it was doing, and the log must say how long nothing was acknowledged and how
// many bytes.
Test(slow_readers, unreachable_caller_is_ended_by_the_write_timeout)
{
    constexpr milliseconds requestTime { 200 }; // The request has arrived; the caller's window is closed if it reads nothing of a stream.
    ServerLimits limits;
    limits.writeTimeout = seconds { 2 };
    auto log = captureLog(LogLevel::Warn, [&] {
        // The last connection is closed behind its answer.
        for (const auto& request : { makeGet("/late", false), makeGet("/stream", false), makeGet("/small") }) {
            SlowReaderServer server(26979, limits);
            SlowCaller caller(server.port);
            caller.send(request);
            std::this_thread::sleep_for(requestTime);
            auto before = cutConnections(ConnectionSide::Caller, CutBy::WriteTimeout);
            caller.makeUnreachable();
            cr_assert_lt(SlowReaderServer::awaitCut(CutBy::WriteTimeout, seconds { 10 }, before), limits.writeTimeout + milliseconds { 1000 }, "%s", request.c_str());
            std::this_thread::sleep_for(2 * sendCheckInterval);
            cr_assert_eq(server.server.stats().connections, 0U, "%s", request.c_str());
        }
    });
    cr_assert(log.find("event=connection_cut with=caller peer=127.0.0.1:") != std::string::npos && log.find(" by=write_timeout unacknowledged_bytes=") != std::string::npos, "%s", log.c_str());
    cr_assert_eq(cutConnections(ConnectionSide::Caller, CutBy::Unreachable), 0);
}

Test(slow_readers, caller_that_leaves_is_reported_as_such)
{
    SlowReaderServer server(26978);
    SlowCaller caller(server.port);
    caller.send(makeGet("/large", false));
    std::this_thread::sleep_for(milliseconds { 300 });
    caller.reset();
    cr_assert_lt(SlowReaderServer::awaitCut(CutBy::Peer, seconds { 5 }), milliseconds { 500 });
}

Test(slow_readers, write_timeout_is_reported_as_such)
{
    ServerLimits limits;
    limits.writeTimeout = seconds { 1 };
    SlowReaderServer server(26977, limits);
    SlowCaller caller(server.port);
    caller.send(makeGet("/large", false));
    auto duration = SlowReaderServer::awaitCut(CutBy::WriteTimeout, seconds { 10 });
    cr_assert(duration > milliseconds { 900 } && duration < milliseconds { 1800 }, "after %d ms", static_cast<int>(duration.count()));
}

// Guards against a limit on the whole of one write: a large answer in one piece is cut although its caller reads on.
Test(slow_readers, caller_that_reads_steadily_gets_a_large_answer)
{
    ServerLimits limits;
    limits.writeTimeout = seconds { 1 };
    SlowReaderServer server(26976, limits);
    SlowCaller caller(server.port);
    caller.send(makeGet("/large"));
    auto start = monotonicNow();
    auto answer = caller.readAll(seconds { 5 }, std::chrono::microseconds { 300 });
    cr_assert_gt(monotonicNow() - start, 2 * limits.writeTimeout);
    cr_assert_gt(answer.size(), largeBytes, "%zu bytes", answer.size());
}

// Guards against answers cut by the kernel: it ended connections to callers that read nothing for three seconds as if they were unreachable.
Test(slow_readers, callers_that_read_nothing_for_seconds_get_their_answers)
{
    SlowReaderServer server(26975);
    expectWholeAnswers(server, answerCases, [](const SlowCaller&) { std::this_thread::sleep_for(readPause); });
}

// Guards against answers cut because the kernel does not tell whether their callers live: that is no sign that they are gone.
Test(slow_readers, callers_that_read_nothing_get_their_answers_whatever_the_kernel_tells)
{
    standins::setKernelAnswers(KernelAnswers::StateOnly);
    SlowReaderServer server(26966);
    expectWholeAnswers(server, answerCases, [](const SlowCaller&) { std::this_thread::sleep_for(readPause); });
}

// Guards against a connection that is closed, or an answer that counts as read, because nothing at all is known of it.
Test(slow_readers, callers_get_their_answers_where_the_kernel_tells_nothing)
{
    standins::setKernelAnswers(KernelAnswers::Nothing);
    auto cases = answerCases;
    cases.push_back({ makeGet("/small"), smallBytes });
    SlowReaderServer server(26957);
    expectWholeAnswers(server, cases, [](const SlowCaller&) { std::this_thread::sleep_for(readPause); });
    std::this_thread::sleep_for(2 * sendCheckInterval);
    cr_assert_eq(server.server.stats().connections, 0U);
}

// Callers must not hold their places for ever where the kernel tells nothing: neither one that reads nothing, nor one that has read all.
Test(slow_readers, callers_are_ended_in_time_where_the_kernel_tells_nothing)
{
    standins::setKernelAnswers(KernelAnswers::Nothing);
    ServerLimits limits;
    limits.writeTimeout = seconds { 2 };
    limits.idleTimeout = seconds { 1 };
    SlowReaderServer server(26956, limits);
    SlowCaller blocked(server.port);
    SlowCaller reader(server.port);
    blocked.send(makeGet("/large", false));
    reader.send(makeGet("/small", false));
    cr_assert_gt(reader.readAll(milliseconds { 500 }).size(), smallBytes);
    auto duration = SlowReaderServer::awaitCut(CutBy::WriteTimeout, seconds { 10 });
    cr_assert(duration < limits.writeTimeout + milliseconds { 1000 }, "after %d ms", static_cast<int>(duration.count()));
    std::this_thread::sleep_for(2 * limits.idleTimeout);
    cr_assert_eq(cutConnections(ConnectionSide::Caller, CutBy::WriteTimeout), 1);
    cr_assert_eq(server.server.stats().connections, 0U);
    cr_assert_eq(server.server.stats().unreadAnswers, 0U);
}

// Guards against requests that fail, or connections that are not used again, because nothing is known of what their endpoint has received.
Test(slow_readers, endpoints_are_used_where_the_kernel_tells_nothing)
{
    standins::setKernelAnswers(KernelAnswers::Nothing);
    new UploadWorker(26955, [](int) { std::this_thread::sleep_for(readPause); });
    cr_assert_eq(sendUploads(26955), 2);
    new standins::RawPeer(26954, [](int connection) {
        standins::RawPeer::readRequest(connection);
        standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\n\r\nends with the connection");
    });
    runCall([](HttpClient& client) {
        auto first = client.open(loopback(26955), {}, {});
        cr_assert(first.has_value());
        auto number = first.value()->connectionNumber();
        while (!first.value()->read(seconds { 1 }).value().empty()) { }
        first.value() = nullptr;
        auto second = client.open(loopback(26955), {}, {});
        cr_assert(second.has_value());
        cr_assert_eq(second.value()->connectionNumber(), number);
        cr_assert(client.call(loopback(26954), {}, {}).has_value());
    });
}

// Guards against answers cut because the caller's kernel drops data without a word while its small receive buffer is full.
Test(slow_readers, callers_whose_kernel_drops_data_get_their_answers)
{
    SlowReaderServer server(26965);
    auto pause = [](const SlowCaller& caller) {
        std::this_thread::sleep_for(readPause);
        caller.makeReachable();
    };
    expectWholeAnswers(server, answerCases, pause, [](const SlowCaller& caller) { caller.dropData(); });
}

// Guards against answers cut because nothing passes between a caller and its VM for some seconds, while it reads or waits for the answer.
Test(slow_readers, callers_whose_path_is_cut_for_seconds_get_their_answers)
{
    auto cases = answerCases;
    cases.push_back({ makeGet("/wait", false), smallBytes });
    SlowReaderServer server(26964);
    expectWholeAnswers(server, cases, [](const SlowCaller& caller) {
        std::this_thread::sleep_for(milliseconds { 200 });
        caller.makeUnreachable();
        std::this_thread::sleep_for(readPause);
        caller.makeReachable();
    });
}

// Guards against answers cut because the process did not run for some seconds and so kept no limit of the kernel's away from live callers.
Test(slow_readers, callers_keep_their_answers_while_the_process_stands_still)
{
    SlowReaderServer server(26963);
    std::thread standstill([&] {
        std::this_thread::sleep_for(milliseconds { 300 });
        server.runtime.spawnOnEach([] { std::this_thread::sleep_for(readPause); });
    });
    expectWholeAnswers(server, answerCases, [](const SlowCaller&) { std::this_thread::sleep_for(readPause + milliseconds { 500 }); });
    standstill.join();
}

// Guards against requests that are refused or dropped, because their time limit passed while the process did not run and they waited in the kernel.
Test(slow_readers, requests_that_arrive_while_the_process_stands_still_are_answered)
{
    ServerLimits limits;
    limits.readTimeout = seconds { 1 };
    limits.idleTimeout = seconds { 1 };
    SlowReaderServer server(26949, limits);
    SlowCaller idle(server.port);
    SlowCaller sending(server.port);
    auto request = makeGet("/small", false);
    idle.send(request);
    cr_assert_gt(idle.readAll(milliseconds { 300 }).size(), smallBytes);
    sending.send(request.substr(0, request.size() / 2));
    std::this_thread::sleep_for(milliseconds { 100 });
    server.runtime.spawnOnEach([] { std::this_thread::sleep_for(seconds { 3 }); });
    std::this_thread::sleep_for(milliseconds { 300 });
    idle.send(request);
    sending.send(request.substr(request.size() / 2));
    for (auto* caller : { &idle, &sending }) {
        auto answer = caller->readAll(seconds { 4 }, {}, smallBytes);
        cr_expect(answer.starts_with("HTTP/1.1 200") && answer.size() >= smallBytes, "%s", answer.substr(0, 50).c_str());
    }
}

// Guards against answers that count as late, because their time limit passed while the process did not run and they waited in the kernel.
Test(slow_readers, answers_that_arrive_while_the_process_stands_still_are_read)
{
    signal(SIGPIPE, SIG_IGN);
    new standins::RawPeer(26948, [](int connection) {
        auto request = standins::RawPeer::readRequest(connection);
        bool late = request.find("/head") != std::string::npos;
        std::this_thread::sleep_for(milliseconds { late ? 500 : 0 });
        standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo");
        std::this_thread::sleep_for(milliseconds { late ? 0 : 500 });
        standins::RawPeer::write(connection, "dy");
        std::this_thread::sleep_for(seconds { 5 });
    });
    for (const char* part : { "/head", "/body" }) {
        runCall([part](HttpClient& client) {
            spawnOnCurrentThread([] {
                sleepFor(milliseconds { 100 });
                std::this_thread::sleep_for(seconds { 2 });
            });
            CallLimits limits;
            limits.response = seconds { 1 };
            auto stream = client.open(loopback(26948), { "GET", part, {}, {} }, limits);
            cr_assert(stream.has_value(), "%s: %s", part, stream ? "" : transport::name(stream.error()));
            for (std::string body; body.size() < 4;) {
                auto bytes = stream.value()->read(seconds { 1 });
                cr_assert(bytes.has_value(), "%s: %s after %zu bytes", part, bytes ? "" : transport::name(bytes.error()), body.size());
                body.append(bytes.value());
            }
        });
    }
}

// A caller that goes after it had read nothing for long must be found by the same limit as one that only reads nothing.
Test(slow_readers, caller_that_becomes_unreachable_while_it_reads_nothing_is_found)
{
    ServerLimits limits;
    limits.writeTimeout = 2 * readPause + seconds { 2 };
    SlowReaderServer server(26974, limits);
    SlowCaller caller(server.port);
    caller.send(makeGet("/large", false));
    std::this_thread::sleep_for(2 * readPause);
    cr_assert_eq(server.server.stats().connections, 1U);
    caller.makeUnreachable();
    cr_assert_lt(SlowReaderServer::awaitCut(CutBy::WriteTimeout, seconds { 20 }), seconds { 3 });
}

// A caller that never reads must not hold its place for ever: the limit is the server's, not the kernel's.
Test(slow_readers, callers_that_never_read_are_ended_by_the_write_timeout)
{
    ServerLimits limits;
    limits.writeTimeout = readPause;
    SlowReaderServer server(26973, limits);
    SlowCaller blocked(server.port);
    SlowCaller idle(server.port);
    blocked.send(makeGet("/large", false));
    idle.send(makeGet("/small", false));
    SlowReaderServer::awaitCut(CutBy::WriteTimeout, 2 * readPause);
    std::this_thread::sleep_for(2 * sendCheckInterval);
    cr_assert_eq(cutConnections(ConnectionSide::Caller, CutBy::WriteTimeout), 2);
    cr_assert_eq(cutConnections(ConnectionSide::Caller, CutBy::Unreachable), 0);
    cr_assert_eq(server.server.stats().connections, 0U);
}

// Guards against uploads cut by the kernel: a worker that reads nothing for some seconds would get a part of the request, which may then have run.
Test(slow_readers, worker_that_reads_an_upload_slowly_answers_it)
{
    new UploadWorker(26972, [](int) { std::this_thread::sleep_for(readPause); });
    cr_assert_eq(sendUploads(26972), 2);
}

// Guards against uploads cut because the kernel does not tell whether their worker lives.
Test(slow_readers, worker_that_reads_an_upload_slowly_answers_it_whatever_the_kernel_tells)
{
    standins::setKernelAnswers(KernelAnswers::StateOnly);
    new UploadWorker(26961, [](int) { std::this_thread::sleep_for(readPause); });
    cr_assert_eq(sendUploads(26961), 2);
}

// Guards against uploads cut because the worker's kernel drops data without a word while its small receive buffer is full.
Test(slow_readers, worker_whose_kernel_drops_data_answers_an_upload)
{
    new UploadWorker(26960, [](int connection) {
        standins::dropData(connection);
        // Makes the kernel open the window again, for data that it then drops.
        std::string piece(64 * 1024, '\0');
        while (::recv(connection, piece.data(), piece.size(), MSG_DONTWAIT) > 0) { }
        std::this_thread::sleep_for(readPause);
        standins::makeReachable(connection);
    });
    cr_assert_eq(sendUploads(26960), 2);
}

// Guards against uploads cut because their worker takes no further connection, which shows nothing about its network.
Test(slow_readers, slow_worker_that_refuses_connections_answers_an_upload)
{
    UploadWorker* worker = nullptr;
    worker = new UploadWorker(26959, [&](int) {
        std::this_thread::sleep_for(probeDelay / 2); // Both uploads have a connection.
        worker->refuseConnections();
        std::this_thread::sleep_for(readPause);
    });
    cr_assert_eq(sendUploads(26959), 2);
}

// A worker that becomes unreachable while a request waits for its window must be known in time, so that the request can go elsewhere: before
// it is probed, and while it is, whatever the kernel tells.
Test(slow_readers, worker_that_becomes_unreachable_during_an_upload_is_found)
{
    uint16_t port = 26950;
    for (auto answers : { KernelAnswers::All, KernelAnswers::StateOnly }) {
        standins::setKernelAnswers(answers);
        for (auto delay : { probeDelay / 2, readPause }) {
            port++;
            std::atomic<std::chrono::nanoseconds> lostAt { std::chrono::nanoseconds { 0 } };
            UploadWorker* worker = nullptr;
            worker = new UploadWorker(port, [&, delay](int) {
                std::this_thread::sleep_for(delay);
                lostAt = monotonicNow();
                worker->makeUnreachable();
                std::this_thread::sleep_for(seconds { 30 });
            });
            auto before = cutConnections(ConnectionSide::Endpoint, CutBy::Unreachable);
            runCall([&](HttpClient& client) {
                CallLimits limits;
                limits.response = seconds { 20 };
                auto response = client.call(loopback(port), { "POST", "/", {}, std::string(largeBytes, 'x') }, limits);
                cr_assert_not(response.has_value());
                cr_assert_eq(response.error(), IoError::Closed);
                auto duration = std::chrono::duration_cast<milliseconds>(monotonicNow() - lostAt.load());
                cr_assert(duration < maxDetectionTime, "lost after %d ms: %d ms", static_cast<int>(delay.count()), static_cast<int>(duration.count()));
                cr_assert_eq(cutConnections(ConnectionSide::Endpoint, CutBy::Unreachable), before + 1);
            });
        }
    }
}

// A worker that becomes unreachable while nothing is sent to it must be known in time, too: on a connection that was idle, and while its answer
// is awaited.
Test(slow_readers, worker_that_becomes_unreachable_beside_small_requests_is_found)
{
    std::atomic<std::chrono::nanoseconds> lostAt { std::chrono::nanoseconds { 0 } };
    auto& worker = *new UploadWorker(26958, [](int) {});
    for (bool whileAwaited : { false, true }) {
        runCall([&, whileAwaited](HttpClient& client) {
            CallLimits limits;
            limits.response = seconds { 20 };
            cr_assert(client.call(loopback(26958), {}, limits).has_value());
            auto lose = [&] {
                worker.makeUnreachable();
                lostAt = monotonicNow();
            };
            if (whileAwaited)
                spawnOnCurrentThread([&] { sleepFor(milliseconds { 300 }), lose(); });
            else
                lose();
            auto response = client.call(loopback(26958), { "GET", "/wait", {}, {} }, limits);
            cr_assert_not(response.has_value());
            cr_assert_eq(response.error(), IoError::Closed);
            cr_assert_lt(monotonicNow() - lostAt.load(), maxDetectionTime);
        });
        worker.makeReachable();
    }
}

// Guards against answers that are cut when their connection is closed behind them: at once after the answer, or at a stop.
Test(slow_readers, closed_connections_deliver_their_last_answer)
{
    SlowReaderServer server(26970);
    // The last caller ends its sending side.
    const std::vector<std::string> requests { makeGet("/small"), makeGet("/stream"), makeGet("/small", false), makeGet("/small") + makeGet("/small"), makeGet("/small", false) };
    std::vector<std::thread> callers;
    std::vector<size_t> received(requests.size());
    for (size_t i = 0; i < requests.size(); i++) {
        callers.emplace_back([&, i] {
            SlowCaller caller(server.port);
            caller.send(requests[i]);
            if (i + 1 == requests.size())
                caller.endSending();
            std::this_thread::sleep_for(readPause);
            received[i] = caller.readAll(seconds { 2 }).size();
        });
    }
    std::this_thread::sleep_for(seconds { 2 });
    server.server.stopAccepting();
    cr_expect_eq(server.server.stats().unreadAnswers, requests.size(), "%zu", static_cast<size_t>(server.server.stats().unreadAnswers));
    for (auto& caller : callers)
        caller.join();
    for (size_t i = 0; i < requests.size(); i++)
        cr_expect_geq(received[i], smallBytes, "case %zu: %zu bytes", i, received[i]);
    std::this_thread::sleep_for(2 * sendCheckInterval);
    cr_expect_eq(server.server.stats().unreadAnswers, 0U);
    cr_expect_eq(server.server.stats().connections, 0U);
}

// Guards against a place that is taken from a caller which still reads its answer, as if its connection were idle.
Test(slow_readers, idle_connections_make_room_before_those_with_unread_answers)
{
    ConnectionBudget budget(2, 2, smallBytes);
    SlowReaderServer server(26969, {}, &budget);
    SlowCaller slow(server.port);
    slow.send(makeGet("/small", false));
    std::this_thread::sleep_for(milliseconds { 700 });
    SlowCaller idle(server.port);
    idle.send(makeGet("/small", false));
    cr_assert_gt(idle.readAll(milliseconds { 700 }).size(), smallBytes);
    SlowCaller third(server.port);
    third.send(makeGet("/small", false));
    cr_assert_gt(third.readAll(milliseconds { 700 }).size(), smallBytes);
    std::this_thread::sleep_for(readPause);
    cr_assert_gt(slow.readAll(seconds { 1 }).size(), smallBytes);
    cr_assert_eq(budget.closed[static_cast<size_t>(ClosedFor::Idle)], 1);
    cr_assert_eq(budget.closed[static_cast<size_t>(ClosedFor::SlowReader)], 0);
}

// Callers that vanish leave a window of their answers in the kernel. It must stay within the part for connections, at the cost of those that have
// acknowledged nothing for longest: a caller that reads is served meanwhile.
Test(slow_readers, callers_that_vanish_leave_little_in_the_kernel)
{
    constexpr uint64_t places = 40;
    constexpr uint64_t allowedBytes = places * 20 * 1024;
    ConnectionBudget budget(2 * places, places, 100 * smallBytes);
    SlowReaderServer server(26947, {}, &budget);
    auto leftBefore = unacknowledgedBytesAt(server.port); // By an earlier run.
    SlowCaller reader(server.port);
    reader.send(makeGet("/stream", false) + makeGet("/stream", false) + makeGet("/stream", false));
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (uint64_t i = 0; i + 5 < places; i++) {
        callers.push_back(std::make_unique<SlowCaller>(server.port, 256 * 1024));
        callers.back()->makeUnreachable();
        callers.back()->send(makeGet("/large", false));
    }
    cr_assert_geq(reader.readAll(seconds { 3 }, {}, 3 * smallBytes).size(), 3 * smallBytes);
    auto left = unacknowledgedBytesAt(server.port);
    cr_assert_leq(left, leftBefore + allowedBytes, "%zu KB", static_cast<size_t>((left - leftBefore) / 1024));
    cr_assert_gt(budget.closed[static_cast<size_t>(ClosedFor::SlowReader)], 0);
    cr_assert_eq(cutConnections(ConnectionSide::Caller, CutBy::WriteTimeout), 0);
}

// Guards against a crash at the end of a process: the handlers that a server ends write to what its I/O thread has destroyed already.
Test(slow_readers, server_ends_while_callers_read_nothing)
{
    for (int round = 0; round < 5; round++) {
        std::vector<std::unique_ptr<SlowCaller>> callers;
        SlowReaderServer server(26946);
        for (int i = 0; i < 40; i++) {
            callers.push_back(std::make_unique<SlowCaller>(server.port));
            callers.back()->send(makeGet(i % 2 == 0 ? "/large" : "/stream", false));
        }
        std::this_thread::sleep_for(milliseconds { 500 });
    }
}

// Guards against an idle timeout that runs while the caller still reads the last answer.
Test(slow_readers, idle_timeout_begins_when_the_last_answer_is_read)
{
    ServerLimits limits;
    limits.idleTimeout = seconds { 1 };
    SlowReaderServer server(26968, limits);
    SlowCaller slow(server.port);
    SlowCaller idle(server.port);
    slow.send(makeGet("/small", false));
    auto start = monotonicNow();
    idle.send(makeGet("/small", false));
    cr_assert_gt(idle.readAll(seconds { 5 }).size(), smallBytes);
    cr_assert_lt(monotonicNow() - start, 2 * limits.idleTimeout, "the server closes connections that are idle");
    std::this_thread::sleep_for(readPause);
    cr_assert_gt(slow.readAll(seconds { 5 }).size(), smallBytes);
}

// A VM whose callers' limit can't be set would keep or cut slow readers against its operators' wishes.
Test(slow_readers, write_timeout_of_a_vm_is_a_setting)
{
    milliseconds timeout { 0 };
    cr_assert(parseLimits("", timeout).empty());
    cr_assert_eq(timeout, defaultWriteTimeout);
    cr_assert(parseLimits("write_timeout = 5s", timeout).empty());
    cr_assert_eq(timeout, seconds { 5 });
    auto error = parseLimits("write_timeout = 10ms", timeout);
    cr_assert(error.find("write_timeout") != std::string::npos && error.find("100ms") != std::string::npos, "%s", error.c_str());
    TestCluster cluster(32640, 0);
    auto settings = cluster.settingsOf(0);
    settings.writeTimeout = seconds { 1 };
    cluster.vms.push_back(std::make_unique<edge::Edge>(settings));
    cr_assert(cluster.vms[0]->start());
    cluster.configure(1);
    cr_assert(cluster.waitUntil([&] { return cluster.sendChat("first").status == 200; }));
    for (int i = 0; i < 2; i++)
        cluster.llm(i).eventsPerStream = 200;
    SlowCaller caller(cluster.front().port);
    caller.send(TestCluster::chatBytes("slow"));
    auto line = std::string("comfreypier_connections_cut_total{with=\"caller\",by=\"write_timeout\"} 1\n");
    cr_assert(cluster.waitUntil([&] { return cluster.call(cluster.metrics(), {}).value().body.find(line) != std::string::npos; }, seconds { 3 }));
    exitProcess();
}

// A worker that answers early and goes on reading later must not keep the next request waiting behind the last one.
Test(slow_readers, connection_with_an_unread_request_is_not_used_again)
{
    signal(SIGPIPE, SIG_IGN);
    standins::RawPeer worker(
        26967, [](int connection) {
            char byte = 0;
            while (::recv(connection, &byte, 1, 0) > 0) {
                standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                std::this_thread::sleep_for(readPause);
            }
        },
        4096);
    Runtime runtime(1);
    HttpClient client;
    std::atomic<int> answered { 0 };
    runtime.spawn([&] {
        CallLimits limits;
        limits.response = seconds { 1 };
        for (int i = 0; i < 2; i++) {
            answered += client.call(loopback(26967), { "POST", "/", {}, std::string(1024 * 1024, 'x') }, limits).has_value() ? 1 : 0;
            sleepFor(sendCheckInterval);
        }
    });
    cr_assert(runtime.stop(seconds { 5 }));
    cr_assert_eq(answered, 2);
}

// Callers that read nothing hold the memory of answers, also beyond the time after which the kernel cut them. Others must be served meanwhile.
Test(slow_readers, slow_readers_make_room_for_the_answers_of_others)
{
    constexpr size_t answerBytes = 600 * 1024;
    TestCluster cluster(32670, 0);
    auto settings = cluster.settingsOf(0);
    settings.memoryMegabytes = 16; // Of which an eighth is for answers.
    cluster.useRawWorker(0, "app", [](int connection) {
        while (true) {
            auto id = TestCluster::requestId(standins::RawPeer::readRequest(connection));
            if (id.empty())
                return;
            standins::RawPeer::write(connection, TestCluster::answerHead(id) + "Content-Length: " + std::to_string(answerBytes) + "\r\n\r\n" + std::string(answerBytes, 'x'));
        }
    });
    cluster.vms.push_back(std::make_unique<edge::Edge>(settings));
    cr_assert(cluster.vms[0]->start());
    cluster.configure(1);
    cr_assert(cluster.waitUntil([&] { return cluster.sendRequest("/status/x", "id-first").status == 200; }));
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (int i = 0; i < 6; i++) {
        callers.push_back(std::make_unique<SlowCaller>(cluster.front().port));
        callers.back()->send(TestCluster::statusBytes("id-slow-" + std::to_string(i)));
        // Answers that grow at the same time would all find too little.
        std::this_thread::sleep_for(milliseconds { 100 });
    }
    std::this_thread::sleep_for(seconds { 1 });
    for (int i = 0; i < 4; i++) {
        auto answer = cluster.sendRequest("/status/x", "id-ordinary-" + std::to_string(i));
        cr_assert_eq(answer.status, 200U, "request %d: %u %s", i, answer.status, answer.body.c_str());
    }
    exitProcess();
}
