/// Tests of a whole node against a plain service and an engine whose every byte the tests control.
#include "broken_answers.h"
#include "raw_peer.h"
#include "resident_peak.h"
#include "slow_caller.h"
#include "standins.h"

#include <criterion/criterion.h>
#include <daemon/daemon.h>
#include <sys/socket.h>
#include <thread>

using namespace comfreypier;
using standins::RawPeer;
using std::chrono::milliseconds;
using std::chrono::seconds;
using transport::Endpoint;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

/// How a body is framed.
enum class Framing {
    Length,
    Chunks,
    EndOfConnection, ///< Neither: the body ends with the connection.
    Count
};
constexpr std::array<const char*, static_cast<size_t>(Framing::Count)> framingNames { "length", "chunks", "end of the connection" };

/// Returns an answer with status 200.
std::string makeAnswer(Framing framing, const std::string& contentType, const std::string& body)
{
    auto head = "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n";
    if (framing == Framing::Length)
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (framing == Framing::EndOfConnection)
        return head + "Connection: close\r\n\r\n" + body;
    std::array<char, 20> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return head + "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n" + size.data() + body + "\r\n0\r\n\r\n";
}

Endpoint loopback(int port)
{
    return { "127.0.0.1", static_cast<uint16_t>(port) };
}

/// A node with its log service and VM list, the plain service `kiln` and an engine.
struct NodeCluster {
    /// @param base first of six ports.
    /// @param receiveBytes of the plain service, see `RawPeer`.
    NodeCluster(int base, RawPeer::ConnectionHandler servePlain, std::function<void(int connection, const std::string& request)> serveCompletion, int receiveBytes = 0)
        : base(base)
        , serveCompletion(std::move(serveCompletion))
    {
        transport::raiseDescriptorLimit();
        transport::setUpLogging(transport::LogLevel::Error, {});
        this->listen(base, this->logService);
        this->listen(base + 1, this->vmList);
        this->vmList.add("vm", "entry", loopback(base + 2), "dc", 0);
        this->vmList.add("engine", "worker", loopback(base + 5), "dc", 1'000'000'000'000);
        new RawPeer(static_cast<uint16_t>(base + 4), std::move(servePlain), receiveBytes);
        new RawPeer(static_cast<uint16_t>(base + 5), [this](int connection) { this->serveEngine(connection); });
        protocol::NodeSettings settings;
        settings.node = "vm";
        settings.region = "r";
        settings.dataCentre = "dc";
        settings.http = loopback(base + 2);
        settings.rpc = loopback(base + 3);
        settings.log = loopback(base);
        settings.vmList = loopback(base + 1);
        settings.threads = 1;
        settings.retryShare = 100;
        settings.drainNotice = milliseconds { 100 };
        settings.addressCacheTtl = milliseconds { 100 };
        settings.answerMemory = 16 * 1024 * 1024;
        settings.logLevel = transport::LogLevel::Error;
        this->node = std::make_unique<daemon::Daemon>(settings);
        cr_assert(this->node->start());
        this->publish();
    }

    template <class Standin>
    void listen(int port, Standin& standin)
    {
        auto makeErrorResponse = [](unsigned status, std::string_view) { return HttpResponse { status, {}, {} }; };
        auto serve = [&standin](const HttpRequest& request, transport::ResponseWriter& writer) { standin.serve(request, writer); };
        this->servers.push_back(std::make_unique<transport::HttpServer>(this->runtime, loopback(port), transport::ServerLimits {}, serve, makeErrorResponse));
        cr_assert(this->servers.back()->start());
    }

    /// Publishes the service file and waits until the node serves its plain service and its model.
    void publish()
    {
        auto file = "[service]\nname = studio\n[model chat]\nmemory = 1GB\nurgency = urgent\nfirst_token_target = 300ms\n[plain kiln]\nendpoints = 127.0.0.1:" + std::to_string(this->base + 4)
            + "\nurgency = urgent\ntarget = 2s\nnot_repeatable = POST /orders\n";
        this->runOnFiber([&] {
            protocol::Envelope envelope { { protocol::makeRandomId().high, 1 }, protocol::invalidOffset, { protocol::ConfigPublish { "studio", std::nullopt, file, "test", false } } };
            auto log = protocol::makeHttpLog(this->client, loopback(this->base));
            cr_assert(log.append("config", protocol::encodeEnvelope(envelope)).has_value());
        });
        cr_assert(this->waitUntil([this] { return this->call({ "GET", "/services/kiln/ready", {}, {} }).status == 200; }), "the plain service is not served");
        cr_assert(this->waitUntil([this] { return this->call({ "GET", "/admin/placement", {}, {} }).body.find("\"loaded\"") != std::string::npos; }), "the model is not loaded");
    }

    /// Holds every item that it is ordered to load.
    void serveEngine(int connection)
    {
        while (true) {
            auto request = RawPeer::readRequest(connection);
            if (request.starts_with("POST /v1/"))
                return this->serveCompletion(connection, request);
            if (request.empty())
                return;
            std::string body;
            {
                std::lock_guard lock(this->mutex);
                if (auto order = protocol::parseEngineOrder(request.substr(std::min(request.size(), request.find("\r\n\r\n") + 4)))) {
                    this->items.insert(order->item);
                    this->copies.push_back(order->copy);
                }
                body = R"({"incarnation":1,"capacity":1000000000000,"used":0,"running":0,"waiting":0,"slots":100,"first_token_us":1000,"token_gap_us":1000,"items":[)";
                for (const auto& item : this->items)
                    body += R"({"item":")" + item + R"(","loaded":true},)";
                body.erase(body.size() - (this->items.empty() ? 0 : 1));
                body += R"(],"arrived_copies":[)";
                for (auto copy : this->copies)
                    body += std::to_string(copy) + ",";
                body.erase(body.size() - (this->copies.empty() ? 0 : 1));
                body += "]}";
            }
            RawPeer::write(connection, makeAnswer(Framing::Length, "application/json", body));
        }
    }

    template <class Task>
    void runOnFiber(Task&& task)
    {
        std::atomic<bool> done { false };
        this->runtime.spawn([&] {
            task();
            done = true;
        });
        while (!done)
            std::this_thread::sleep_for(milliseconds { 1 });
    }

    /// Sends a request to the node. @return the answer. If there is no complete one, its status is 0 and its body the name of the error.
    HttpResponse call(const HttpRequest& request)
    {
        HttpResponse answer;
        this->runOnFiber([&] {
            auto response = this->client.call(loopback(this->base + 2), request, {});
            answer = response ? response.value() : HttpResponse { 0, {}, transport::name(response.error()) };
        });
        return answer;
    }

    bool waitUntil(const std::function<bool()>& condition)
    {
        for (int i = 0; i < 1000; i++) {
            if (condition())
                return true;
            std::this_thread::sleep_for(milliseconds { 10 });
        }
        return false;
    }

    int base;
    std::function<void(int connection, const std::string& request)> serveCompletion;
    std::mutex mutex;
    std::set<std::string> items; ///< Guarded by `mutex`.
    std::vector<uint64_t> copies; ///< Guarded by `mutex`.
    transport::Runtime runtime { 1 };
    transport::HttpClient client;
    standins::LogStandin logService;
    standins::VmListStandin vmList;
    std::vector<std::unique_ptr<transport::HttpServer>> servers;
    std::unique_ptr<daemon::Daemon> node;
};

/// What a request asks a raw peer to do: the framing of its answer and the number of bytes after which it is cut.
struct Order {
    Framing framing = Framing::Length;
    size_t bytes = SIZE_MAX;
    bool reset = false;
};

/// Returns the text of an order, which requests carry in their path or body.
std::string format(const Order& order)
{
    return "cut-" + std::to_string(static_cast<int>(order.framing)) + "-" + std::to_string(order.bytes) + "-" + (order.reset ? "1" : "0") + ".";
}

/// Returns the order in a request, or that of a whole answer.
Order findOrder(const std::string& request)
{
    Order order;
    int framing = 0;
    int reset = 0;
    auto start = request.find("cut-");
    if (start != std::string::npos && std::sscanf(request.c_str() + start, "cut-%d-%zu-%d", &framing, &order.bytes, &reset) == 3) {
        order.framing = static_cast<Framing>(framing);
        order.reset = reset != 0;
    }
    return order;
}

/// Sends an answer as far as the order says.
void sendOrdered(int connection, const Order& order, const std::string& answer)
{
    if (order.reset)
        RawPeer::resetOnClose(connection);
    RawPeer::write(connection, answer.substr(0, order.bytes));
}

const std::string plainBody = "the whole answer";

/// Returns the body of an engine's whole answer to a request: a stream if it asks for one.
std::string makeCompletion(const std::string& request)
{
    const std::string field = "X-Request-Id: ";
    auto start = request.find(field) + field.size();
    auto id = request.substr(start, request.find('\r', start) - start);
    if (request.find("\"stream\":true") != std::string::npos)
        return "id: 1\ndata: {\"id\":\"" + id + "\",\"text\":\"a\"}\n\ndata: [DONE]\n\n";
    return "{\"id\":\"" + id + "\",\"choices\":[{\"text\":\"the whole answer\"}]}";
}

/// Returns all broken answers; requests name one by its index.
const std::vector<testing::BrokenAnswer>& brokenAnswers()
{
    static const auto all = testing::joined({ testing::answersWithBrokenStatus(), testing::answersWithBrokenFields(), testing::answersWithBrokenFraming() });
    return all;
}

/// Returns the broken answer that a request names; null if it names none.
const testing::BrokenAnswer* findBrokenAnswer(const std::string& request)
{
    const std::string_view mark = "broken-";
    auto start = request.find(mark);
    return start == std::string::npos ? nullptr : &brokenAnswers()[std::stoul(request.substr(start + mark.size()))];
}

/// Sends a broken answer. Its connection stays open for further requests if its end can be told.
/// @return whether another request came on the connection.
bool sendBroken(int connection, const testing::BrokenAnswer& answer, const std::string& contentType, const std::string& body)
{
    RawPeer::write(connection, testing::format(answer, "Content-Type: " + contentType + "\r\n", body));
    if (!answer.framed)
        ::shutdown(connection, SHUT_WR);
    return !RawPeer::readRequest(connection).empty();
}

std::atomic<int> reusedConnections { 0 }; ///< On which a request came after a broken answer.

void servePlain(int connection)
{
    while (true) {
        auto request = RawPeer::readRequest(connection);
        if (request.empty())
            return;
        if (const auto* broken = findBrokenAnswer(request)) {
            reusedConnections += sendBroken(connection, *broken, "text/plain", plainBody) ? 1 : 0;
            return;
        }
        auto order = findOrder(request);
        sendOrdered(connection, order, makeAnswer(order.framing, "text/plain", plainBody));
        if (order.bytes != SIZE_MAX || order.framing == Framing::EndOfConnection)
            return;
    }
}

} // namespace

// Guards against an answer of a plain service that is cut anywhere, or framed in another way than by its length, reaching the caller as another
// whole answer.
Test(node, answers_of_plain_services_are_forwarded_whole_or_not_at_all, .timeout = 120)
{
    auto* cluster = new NodeCluster(13925, servePlain, [](int, const std::string&) {});
    int number = 0;
    for (auto framing : { Framing::Length, Framing::Chunks, Framing::EndOfConnection }) {
        const auto* name = framingNames[static_cast<size_t>(framing)];
        auto whole = makeAnswer(framing, "text/plain", plainBody);
        auto headLength = whole.find("\r\n\r\n") + 4;
        for (const char* kind : { "repeatable", "not repeatable", "with a key" }) {
            auto makeRequest = [&](const Order& order) {
                bool repeatable = kind == std::string("repeatable");
                HttpRequest request { repeatable ? "GET" : "POST", "/services/kiln/orders/" + format(order), {}, repeatable ? "" : "x" };
                if (kind == std::string("with a key"))
                    request.headers.push_back({ "Idempotency-Key", "key" + std::to_string(number++) });
                return request;
            };
            for (bool onUsedConnection : { false, true }) {
                auto answer = cluster->call(makeRequest({ framing, SIZE_MAX, false }));
                cr_assert_eq(answer.status, 200U, "%s, %s: got %u %s", kind, name, answer.status, answer.body.c_str());
                cr_assert_eq(answer.body, plainBody, "%s, %s: got '%s'", kind, name, answer.body.c_str());
                for (size_t bytes = 0; bytes < (framing == Framing::EndOfConnection ? headLength : whole.size()); bytes += kind == std::string("with a key") ? 9 : 1) {
                    if (onUsedConnection)
                        cluster->call(makeRequest({}));
                    answer = cluster->call(makeRequest({ framing, bytes, bytes % 2 == 1 }));
                    cr_assert(answer.status >= 400, "%s, %s, cut after %zu bytes: got %u '%s'", kind, name, bytes, answer.status, answer.body.c_str());
                }
            }
        }
    }
    std::_Exit(0);
}

// The same for the answers of engines.
Test(node, answers_of_engines_are_forwarded_whole_or_not_at_all, .timeout = 120)
{
    constexpr size_t step = 5;
    std::atomic<int> cutAnswers { 0 };
    auto serve = [&](int connection, const std::string& request) {
        auto order = findOrder(request);
        bool streaming = request.find("\"stream\":true") != std::string::npos;
        auto body = makeCompletion(request);
        auto answer = makeAnswer(order.framing, streaming ? "text/event-stream" : "application/json", body);
        // Counted from the end of the answer, whose length depends on the id.
        order.bytes = order.bytes == SIZE_MAX ? SIZE_MAX : answer.size() - std::min(answer.size(), order.bytes);
        cutAnswers += order.bytes < answer.size() ? 1 : 0;
        sendOrdered(connection, order, answer);
    };
    auto* cluster = new NodeCluster(13935, servePlain, serve);
    auto send = [&](bool streaming, const Order& order) {
        HttpRequest request { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, std::string("{\"model\":\"chat\",\"prompt\":\"") + format(order) + "\",\"max_tokens\":2" + (streaming ? ",\"stream\":true}" : "}") };
        return cluster->call(request);
    };
    std::mutex mutex;
    std::string wrong;
    std::atomic<int> total { 0 };
    for (bool streaming : { false, true }) {
        for (auto framing : { Framing::Length, Framing::Chunks, Framing::EndOfConnection }) {
            cr_assert(cluster->waitUntil([&] { return send(streaming, { framing, SIZE_MAX, false }).status == 200; }), "%s: no whole answer", framingNames[static_cast<size_t>(framing)]);
            // At the same time: an engine that has cut an answer is avoided for a while.
            std::vector<std::thread> callers;
            for (size_t missing = 1; missing < 180; missing += step) {
                callers.emplace_back([&, missing] {
                    auto answer = send(streaming, { framing, missing, missing % 2 == 1 });
                    total++;
                    // The last event tells that the stream is complete.
                    if (answer.status != 200 || (streaming && answer.body.ends_with("data: [DONE]\n\n")))
                        return;
                    std::lock_guard lock(mutex);
                    wrong += std::string(framingNames[static_cast<size_t>(framing)]) + (streaming ? ", stream" : "") + ", the last " + std::to_string(missing) + " bytes cut off: '" + answer.body + "'; ";
                });
            }
            for (auto& caller : callers)
                caller.join();
        }
    }
    cr_assert(wrong.empty(), "%s", wrong.c_str());
    cr_assert_gt(cutAnswers, total / 2, "only %d answers to %d requests were cut off", cutAnswers.load(), total.load());
    std::_Exit(0);
}

// An answer that is no valid HTTP must reach no caller as an answer, and nobody may be told that its request did not run.
Test(node, broken_answers_of_plain_services_reach_no_caller, .timeout = 120)
{
    auto* cluster = new NodeCluster(13945, servePlain, [](int, const std::string&) {});
    std::string wrong;
    int sent = 0;
    for (const char* kind : { "repeatable", "not repeatable", "with a key" }) {
        bool repeatable = kind == std::string("repeatable");
        // The end of each action is written to the log.
        for (size_t i = 0; i < brokenAnswers().size(); i += kind == std::string("with a key") ? 7 : 1) {
            HttpRequest request { repeatable ? "GET" : "POST", "/services/kiln/orders/broken-" + std::to_string(i), {}, repeatable ? "" : "x" };
            if (kind == std::string("with a key"))
                request.headers.push_back({ "Idempotency-Key", "broken" + std::to_string(i) });
            auto answer = cluster->call(request);
            sent++;
            if (answer.status < 400 || answer.body.find("\"unknown\"") == std::string::npos)
                wrong += transport::escapeForLog(brokenAnswers()[i].name) + ", " + kind + ": status " + std::to_string(answer.status) + " '" + answer.body + "'\n";
        }
    }
    cr_assert(wrong.empty(), "%s", wrong.c_str());
    cr_assert_eq(reusedConnections, 0);
    auto counters = cluster->call({ "GET", "/metrics", {}, {} }).body;
    cr_assert_neq(counters.find("comfreypier_broken_answers_total " + std::to_string(sent) + "\n"), std::string::npos, "%s", counters.c_str());
    std::_Exit(0);
}

// What a plain service has sent when it resets a connection on which a request is still written is a part of an answer.
Test(node, parts_of_answers_to_uploads_reach_no_caller, .timeout = 120)
{
    constexpr int smallReceiveBytes = 8 * 1024;
    auto serve = [](int connection) {
        auto request = RawPeer::readRequest(connection, 600);
        RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart");
        // The end of its side may hide the reset.
        if (request.find("-closes") != std::string::npos)
            ::shutdown(connection, SHUT_WR);
        if (request.starts_with("POST"))
            RawPeer::resetOnClose(connection);
    };
    auto* cluster = new NodeCluster(
        13965, serve, [](int, const std::string&) {}, smallReceiveBytes);
    int number = 0;
    for (const char* path : { "/services/kiln/orders/x", "/services/kiln/orders/x-closes", "/services/kiln/jobs/x", "/services/kiln/jobs/x-closes" }) {
        for (bool withKey : { false, true }) {
            HttpRequest request { "POST", path, {}, std::string(90000, 'u') };
            if (withKey)
                request.headers.push_back({ "Idempotency-Key", "upload" + std::to_string(number++) });
            auto answer = cluster->call(request);
            cr_assert(answer.status >= 400 && answer.body.find("\"unknown\"") != std::string::npos, "%s: got %u '%s'", path, answer.status, answer.body.c_str());
        }
    }
    std::_Exit(0);
}

// An answer of an engine that is no valid HTTP must reach no caller.
Test(node, broken_answers_of_engines_reach_no_caller, .timeout = 120)
{
    std::mutex mutex;
    std::set<std::string> broken; // Requests that got a broken answer.
    auto serve = [&](int connection, const std::string& request) {
        bool streaming = request.find("\"stream\":true") != std::string::npos;
        auto body = makeCompletion(request);
        if (const auto* answer = findBrokenAnswer(request)) {
            std::unique_lock lock(mutex);
            broken.insert(request.substr(request.find("broken-")));
            lock.unlock();
            reusedConnections += sendBroken(connection, *answer, streaming ? "text/event-stream" : "application/json", body) ? 1 : 0;
        } else
            RawPeer::write(connection, makeAnswer(Framing::Length, "application/json", body));
    };
    auto* cluster = new NodeCluster(13955, servePlain, serve);
    auto send = [&](bool streaming, const std::string& prompt) {
        return cluster->call({ "POST", "/v1/completions", { { "Content-Type", "application/json" } }, R"({"model":"chat","prompt":")" + prompt + R"(","max_tokens":2)" + (streaming ? R"(,"stream":true})" : "}") });
    };
    std::string wrong;
    int sent = 0;
    // An engine that has broken an answer is avoided for a while: many requests at the same time, and the next ones when it is used again.
    constexpr size_t atOnce = 40;
    for (bool streaming : { false, true }) {
        for (size_t begin = 0; begin < brokenAnswers().size(); begin += atOnce) {
            cr_assert(cluster->waitUntil([&] { return send(streaming, "sound").status == 200; }));
            std::vector<std::thread> callers;
            for (size_t i = begin; i < std::min(begin + atOnce, brokenAnswers().size()); i++) {
                // The last event of a stream tells that it is complete, so that its trailers don't matter.
                if (streaming && !brokenAnswers()[i].trailer.empty())
                    continue;
                sent++;
                callers.emplace_back([&, i] {
                    auto answer = send(streaming, "broken-" + std::to_string(i) + ".");
                    std::lock_guard lock(mutex);
                    if (answer.status < 500 && answer.status != 0)
                        wrong += transport::escapeForLog(brokenAnswers()[i].name) + (streaming ? ", stream" : "") + ": status " + std::to_string(answer.status) + " '" + answer.body + "'\n";
                });
            }
            for (auto& caller : callers)
                caller.join();
        }
    }
    cr_assert(wrong.empty(), "%s", wrong.c_str());
    cr_assert_eq(reusedConnections, 0);
    cr_assert_gt(broken.size(), static_cast<size_t>(sent) / 2, "only %zu of %d requests got a broken answer", broken.size(), sent);
    std::_Exit(0);
}

// What answers without end hold together is bounded, however many there are.
Test(node, answers_without_end_fill_no_memory, .timeout = 120)
{
    constexpr int atOnce = 80;
    constexpr uint64_t allowedBytes = 96 * 1024 * 1024;
    constexpr size_t sentBytes = 64 * 1024 * 1024;
    auto serveEndless = [](int connection, const std::string& contentType) {
        RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n\r\n");
        RawPeer::writeWithoutEnd(connection, std::string(4096, 'x'), sentBytes);
    };
    auto serve = [&](int connection) {
        if (RawPeer::readRequest(connection).find("ready") == std::string::npos)
            serveEndless(connection, "text/plain");
        else
            RawPeer::write(connection, makeAnswer(Framing::EndOfConnection, "text/plain", plainBody));
    };
    auto* cluster = new NodeCluster(13975, serve, [&](int connection, const std::string&) { serveEndless(connection, "text/event-stream"); });
    const testing::ResidentPeak peak;
    std::vector<std::thread> callers;
    for (int i = 0; i < atOnce; i++) {
        callers.emplace_back([&, i] {
            HttpRequest plain { "GET", "/services/kiln/orders/x", {}, "" };
            HttpRequest stream { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, R"({"model":"chat","prompt":")" + std::to_string(i) + R"(","max_tokens":2,"stream":true})" };
            auto answer = cluster->call(i % 2 == 0 ? plain : stream);
            cr_expect(answer.status == 0 || answer.status >= 400, "got %u", answer.status);
        });
    }
    for (auto& caller : callers)
        caller.join();
    cr_assert_eq(cluster->call({ "GET", "/services/kiln/ready", {}, {} }).status, 200U);
    cr_assert_lt(peak.growth(), allowedBytes, "%zu MB more", static_cast<size_t>(peak.growth() / 1024 / 1024));
    std::_Exit(0);
}

// Guards against answers that are cut because their callers still read them when the node has no open request any more.
Test(node, stop_waits_for_callers_that_read_slowly)
{
    constexpr milliseconds readPause = transport::unreachableTimeout + milliseconds { 1500 };
    const std::string body(100 * 1024, 'x');
    auto serve = [&](int connection) {
        while (!RawPeer::readRequest(connection).empty())
            RawPeer::write(connection, makeAnswer(Framing::Length, "text/plain", body));
    };
    auto* cluster = new NodeCluster(13985, serve, [](int, const std::string&) {});
    standins::SlowCaller caller(static_cast<uint16_t>(cluster->base + 2));
    caller.send("GET /services/kiln/orders/1 HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(milliseconds { 300 });
    auto stoppedAt = transport::monotonicNow();
    std::atomic<bool> complete { false };
    std::thread stop([&] { complete = cluster->node->drain(); });
    std::this_thread::sleep_for(readPause);
    auto answer = caller.readAll(seconds { 2 });
    cr_assert_gt(answer.size(), body.size(), "%zu bytes", answer.size());
    stop.join();
    cr_assert(complete);
    cr_assert_lt(transport::monotonicNow() - stoppedAt, readPause + seconds { 2 });
    std::_Exit(0);
}

// Guards against answers of the node's own front that are cut because nothing passes between a caller and the node for some seconds, while the
// caller reads or the answer is made.
Test(node, callers_whose_path_is_cut_for_seconds_get_their_answers)
{
    constexpr milliseconds silence = transport::unreachableTimeout + milliseconds { 1500 };
    const std::string body(100 * 1024, 'x');
    auto serve = [&](int connection) {
        for (std::string request; !(request = RawPeer::readRequest(connection)).empty();) {
            if (request.find("/late") != std::string::npos)
                std::this_thread::sleep_for(silence + milliseconds { 300 });
            RawPeer::write(connection, makeAnswer(Framing::Length, "text/plain", body));
        }
    };
    auto* cluster = new NodeCluster(13915, serve, [](int, const std::string&) {});
    std::vector<std::unique_ptr<standins::SlowCaller>> callers;
    for (const char* path : { "/services/kiln/orders/1", "/services/kiln/orders/late" }) {
        auto& caller = *callers.emplace_back(std::make_unique<standins::SlowCaller>(static_cast<uint16_t>(cluster->base + 2)));
        caller.send(std::string("GET ") + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(milliseconds { 100 });
        caller.makeUnreachable();
    }
    std::this_thread::sleep_for(silence);
    for (auto& caller : callers)
        caller->makeReachable();
    for (auto& caller : callers) {
        auto answer = caller->readAll(silence, {}, body.size());
        cr_expect_gt(answer.size(), body.size() - 1, "%zu bytes", answer.size());
    }
    std::_Exit(0);
}
