/// The HTTP server with malformed requests, and the HTTP client with a peer that drops idle connections.
#include "generators.h"
#include "raw_peer.h"
#include "response_parser.h"

#include <arpa/inet.h>
#include <boost/json.hpp>
#include <criterion/criterion.h>
#include <csignal>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace comfreypier;
using namespace comfreypier::transport;
using namespace comfreypier::testing;

namespace {

constexpr uint16_t defaultPort = 26999;
const std::string validRequest = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";

/// Sends `bytes` on a new connection, and returns everything that the server sends until it closes its sending side, or is silent
/// for some seconds.
/// @param callerCloses whether the sending side is shut down after the bytes.
/// @param pause between two bytes; 0 to send all at once.
std::string sendRaw(const std::string& bytes, uint16_t port = defaultPort, bool callerCloses = true, std::chrono::microseconds pause = {})
{
    int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    constexpr timeval timeout { 3, 0 };
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    std::string response;
    if (::connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        int noDelay = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
        auto pieceBytes = pause.count() > 0 ? 1 : bytes.size();
        for (size_t sent = 0; sent < bytes.size(); sent += pieceBytes) {
            ::send(connection, bytes.data() + sent, pieceBytes, MSG_NOSIGNAL);
            std::this_thread::sleep_for(pause);
        }
        if (callerCloses)
            ::shutdown(connection, SHUT_WR);
        char buffer[4096];
        ssize_t count = 0;
        while ((count = ::recv(connection, buffer, sizeof buffer, 0)) > 0)
            response.append(buffer, static_cast<size_t>(count));
    }
    ::close(connection);
    return response;
}

} // namespace

// Malformed or truncated requests must not crash the server, block it or leak connections: each one gets a response or the
// connection is closed, and a valid request is still served afterwards.
Test(http_server, malformed_requests_get_a_response_or_a_close)
{
    signal(SIGPIPE, SIG_IGN);
    Runtime runtime(1);
    auto echo = [](const HttpRequest& request, ResponseWriter& writer) { writer.send({ 200, {}, request.body }); };
    auto makeErrorResponse = [](unsigned status, std::string_view reason) { return HttpResponse { status, {}, std::string(reason) }; };
    HttpServer server(runtime, { "127.0.0.1", defaultPort }, {}, echo, makeErrorResponse);
    cr_assert(server.start());
    cr_assert(rc::check("bad bytes", [] {
        auto response = sendRaw(*genDamaged(validRequest));
        RC_ASSERT((response.empty() || response.starts_with("HTTP/1.1 ")));
    }));
    auto response = sendRaw(validRequest);
    cr_assert(response.starts_with("HTTP/1.1 200"));
    cr_assert(response.ends_with("hello"));
    cr_assert(sendRaw("GARBAGE\r\n\r\n").starts_with("HTTP/1.1 400"));
    // The server closes its connections shortly after the responses.
    for (int i = 0; i < 200 && server.stats().connections > 0; i++)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert_eq(server.stats().connections, 0U);
    server.closeAll();
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// A peer that drops idle connections without closing them makes the next request on a pooled connection fail. The client must
// learn a shorter idle timeout from the first such failure, so that only one request is lost.
Test(http_client, connections_dropped_while_idle_cost_only_one_request)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t peerPort = 26998;
    constexpr std::chrono::milliseconds peerIdleTimeout { 150 };
    // The peer keeps an idle connection open, but resets it at the next request if it was idle for longer than its timeout.
    standins::RawPeer peer(peerPort, [peerIdleTimeout](int connection) {
        auto idleSince = monotonicNow();
        bool isFirstRequest = true;
        while (!standins::RawPeer::readRequest(connection).empty()) {
            if (!std::exchange(isFirstRequest, false) && monotonicNow() - idleSince > peerIdleTimeout)
                return standins::RawPeer::resetOnClose(connection);
            standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            idleSince = monotonicNow();
        }
    });
    Runtime runtime(1);
    HttpClient client;
    std::atomic<int> failedRequests { 0 };
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        for (int i = 0; i < 8; i++) {
            auto response = client.call({ "127.0.0.1", peerPort }, { "POST", "/", {}, "b" }, {});
            failedRequests += response ? 0 : 1;
            sleepFor(2 * peerIdleTimeout); // Long enough for the peer to reset the connection at the next request.
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert_eq(failedRequests, 1, "%d requests failed instead of 1", failedRequests.load());
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// An unexpected error in the handling of one request or datagram must not take the process, and with it all others, down.
Test(http_server, unexpected_error_ends_one_request_only)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t port = 26990;
    Runtime runtime(1);
    HttpServer server(
        runtime, { "127.0.0.1", port }, {},
        [](const HttpRequest& request, ResponseWriter& writer) {
            if (request.target == "/bad")
                throw std::out_of_range("planted");
            writer.send({ 200, {}, "ok" });
        },
        [](unsigned status, std::string_view) { return HttpResponse { status, {}, {} }; });
    cr_assert(server.start());
    std::atomic<int> datagrams { 0 };
    DatagramSocket socket(runtime, { "127.0.0.1", port }, [&datagrams](std::string_view bytes) {
        datagrams++;
        if (bytes == "bad")
            throw std::out_of_range("planted");
    });
    cr_assert(socket.start());
    HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        cr_assert_not(client.call({ "127.0.0.1", port }, { "GET", "/bad", {}, "" }, {}).has_value());
        cr_assert_eq(client.call({ "127.0.0.1", port }, { "GET", "/good", {}, "" }, {}).value().status, 200U);
        for (const auto* bytes : { "bad", "good" }) {
            cr_assert(socket.send({ "127.0.0.1", port }, bytes));
            sleepFor(std::chrono::milliseconds { 50 });
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert_eq(datagrams, 2);
    std::_Exit(0);
}

namespace {

/// Parts of a message that may be larger than the parser can store, with `%` in the place of the filler bytes.
const std::vector<std::string> oversizedParts {
    "A: %\r\n", // Value of a field.
    "%: a\r\n", // Name of a field.
    "A: a\r\n %\r\n", // Continued value.
    "A:%\r\nB:%\r\n",
};
/// Sizes on both sides of the limits of the parser and of the buffer.
const std::vector<size_t> oversizedLengths { 8'000, 60'000, 65'000, 65'530, 65'536, 70'000, 200'000, 600'000 };

/// Replaces each `%` in `text` by `length` bytes.
std::string fill(const std::string& text, size_t length)
{
    std::string out;
    for (char c : text)
        c == '%' ? out.append(length, 'x') : out.append(1, c);
    return out;
}

} // namespace

// Fields in heads and trailers may be larger than the parser can store, which it reports by an exception. That must fail one answer,
// not end the process.
Test(http_client, oversized_fields_fail_one_answer_only)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t peerPort = 26993;
    std::mutex mutex;
    std::string answer;
    standins::RawPeer peer(peerPort, [&](int connection) {
        standins::RawPeer::readRequest(connection);
        std::string bytes;
        {
            std::lock_guard lock(mutex);
            bytes = answer;
        }
        standins::RawPeer::write(connection, bytes);
    });
    Runtime runtime(1);
    HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        auto call = [&](const std::string& bytes) {
            {
                std::lock_guard lock(mutex);
                answer = bytes;
            }
            return client.call({ "127.0.0.1", peerPort }, { "GET", "/", {}, "" }, {});
        };
        for (const auto& part : oversizedParts) {
            for (auto length : oversizedLengths) {
                auto field = fill(part, length);
                auto inHead = call("HTTP/1.1 200 OK\r\n" + field + "Content-Length: 2\r\n\r\nok");
                cr_assert(!inHead || inHead.value().body == "ok");
                auto inTrailer = call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + field + "\r\n");
                cr_assert(!inTrailer || inTrailer.value().body == "ok");
                cr_assert(length < maxUnparsedBytes || !inTrailer, "a trailer of %zu bytes was accepted", length);
            }
        }
        for (auto length : oversizedLengths)
            cr_assert(!call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=" + std::string(length, 'x') + "\r\nok\r\n0\r\n\r\n") || length < maxUnparsedBytes);
        auto sound = call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: a\r\n\r\n");
        cr_assert(sound && sound.value().body == "ok", "a small trailer is no fault");
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// The same for callers' requests, whatever the limit of a head is set to.
Test(http_server, oversized_fields_fail_one_request_only)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t port = 26992; // Tests run in parallel.
    for (uint32_t maxHeaderBytes : { 16U * 1024, 1024U * 1024 }) {
        Runtime runtime(1);
        ServerLimits limits;
        limits.maxHeaderBytes = maxHeaderBytes;
        auto echo = [](const HttpRequest& request, ResponseWriter& writer) { writer.send({ 200, {}, request.body }); };
        auto makeErrorResponse = [](unsigned status, std::string_view reason) { return HttpResponse { status, {}, std::string(reason) }; };
        HttpServer server(runtime, { "127.0.0.1", port }, limits, echo, makeErrorResponse);
        cr_assert(server.start());
        for (const auto& part : oversizedParts) {
            for (auto length : oversizedLengths) {
                auto field = fill(part, length);
                for (const auto& request : { "POST /echo HTTP/1.1\r\n" + field + "Content-Length: 5\r\nConnection: close\r\n\r\nhello", "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\n" + field + "\r\n" }) {
                    auto response = sendRaw(request, port);
                    bool accepted = response.starts_with("HTTP/1.1 200") && response.ends_with("hello");
                    cr_assert(accepted || response.starts_with("HTTP/1.1 431") || response.starts_with("HTTP/1.1 400"), "%zu bytes: %s", length, response.substr(0, 40).c_str());
                    cr_assert(accepted || length > 2000);
                }
            }
        }
        cr_assert(sendRaw(validRequest, port).ends_with("hello"));
        server.closeAll();
        cr_assert(runtime.stop(std::chrono::seconds { 5 }));
    }
}

// A request whose end two readers see in different places hides another request in its body. It must be refused, the connection closed,
// and nothing that follows on it handled.
Test(http_server, requests_with_ambiguous_framing_are_refused_with_all_that_follows)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t port = 26989;
    constexpr size_t maxHeaderBytes = 4096;
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string chunks = "5\r\nhello\r\n0\r\n";
    const auto withFields = [](const std::string& fields) { return "POST /echo HTTP/1.1\r\nHost: a\r\n" + fields; };
    const std::vector<std::string> ambiguous {
        withFields("Transfer-Encoding: gzip\r\n\r\n"),
        withFields("Transfer-Encoding: xchunked\r\n\r\n") + chunks + "\r\n",
        withFields("Transfer-Encoding: chunked, gzip\r\n\r\n") + chunks + "\r\n",
        withFields("Transfer-Encoding: chunked, identity\r\n\r\n") + chunks + "\r\n",
        withFields("Transfer-Encoding: gzip, chunked\r\n\r\n") + chunks + "\r\n",
        withFields("Transfer-Encoding: chunked, chunked\r\n\r\n") + chunks + "\r\n",
        withFields("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n") + chunks + "\r\n",
        withFields("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n") + chunks + "\r\n",
        withFields("Transfer-Encoding:\r\n\r\n"),
        withFields("Transfer-Encoding: \"chunked\"\r\n\r\n") + chunks + "\r\n",
        withFields("Transfer-Encoding: chunked;a=b\r\n\r\n") + chunks + "\r\n",
        withFields("Transfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\n") + "hello",
        withFields("Content-Length: 5\r\nTransfer-Encoding: gzip\r\n\r\n") + "hello",
        withFields("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n") + chunks + "\r\n",
        withFields("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n") + chunks + "\r\n",
        withFields("Content-Length: 5\r\nContent-Length: 6\r\n\r\n") + "hello",
        withFields("Content-Length: 5\r\nContent-Length: 5\r\n\r\n") + "hello",
        withFields("Content-Length: 5, 5\r\n\r\n") + "hello",
        withFields("Content-Length: 5,\r\n\r\n") + "hello",
        withFields("Content-Length: +5\r\n\r\n") + "hello",
        withFields("Content-Length: -5\r\n\r\n") + "hello",
        withFields("Content-Length: 0x5\r\n\r\n") + "hello",
        withFields("Content-Length: 5 5\r\n\r\n") + "hello",
        withFields("Content-Length:\r\n\r\n") + "hello",
        withFields("Content-Length: 18446744073709551621\r\n\r\n") + "hello",
        withFields("Content-Length : 5\r\n\r\n") + "hello",
        withFields("Content-Length\t: 5\r\n\r\n") + "hello",
        withFields(" Content-Length: 5\r\n\r\n") + "hello",
        withFields("Content-Length: 5\n\r\n") + "hello",
        withFields("Content-Length: 5\r\n\n") + "hello",
        withFields("Content-Length: 5\r\r\n\r\n") + "hello",
        withFields("Content-Length: 5\v\r\n\r\n") + "hello",
        withFields("A: a\nContent-Length: 5\r\n\r\n") + "hello",
        withFields("A: a\rContent-Length: 5\r\n\r\n") + "hello",
        withFields("A: a\r\n Content-Length: 5\r\n\r\n"),
        withFields("Content-Length:\r\n 5\r\n\r\n") + "hello",
        withFields("Transfer-Encoding:\r\n\tchunked\r\n\r\n") + chunks + "\r\n",
        "POST /echo HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
        "POST /echo HTTP/1.1\nHost: a\nContent-Length: 5\n\n"
        "hello",
        "POST  /echo HTTP/1.1\r\nContent-Length: 5\r\n\r\n"
        "hello",
        "POST /echo  HTTP/1.1\r\nContent-Length: 5\r\n\r\n"
        "hello",
        "POST /echo HTTP/1.1 \r\nContent-Length: 5\r\n\r\n"
        "hello",
        "POST\t/echo HTTP/1.1\r\nContent-Length: 5\r\n\r\n"
        "hello",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "5 \r\nhello\r\n0\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + " 5\r\nhello\r\n0\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "0x5\r\nhello\r\n0\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "+5\r\nhello\r\n0\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "10000000000000005\r\nhello\r\n0\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "5\nhello\r\n0\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "5;a\nb\r\nhello\r\n0\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "5\r\nhello0\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "5\r\nhello\n0\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "5\r\nhello\r\n0 \r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + chunks + "A: a\nB: b\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + chunks + "A: a\r\n b\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + chunks + "A : a\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + chunks + "Content-Length: 5\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + chunks + "Transfer-Encoding: gzip\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + chunks + "A: " + std::string(maxHeaderBytes, 'a') + "\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + chunks + fill("A: %\r\nB: %\r\nC: %\r\n", maxHeaderBytes / 2) + "\r\n",
    };
    const std::vector<std::string> sound {
        withFields("Content-Length: 5\r\n\r\n") + "hello",
        withFields("content-length:5\r\n\r\n") + "hello",
        withFields("Content-Length: \t5 \t\r\n\r\n") + "hello",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + chunks + "\r\n",
        withFields("transfer-encoding:CHUNKED\r\n\r\n") + "2\r\nhe\r\n003\r\nllo\r\n000\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "5;a=b;c=\"d \"\r\nhello\r\n0;a\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + chunks + "A: a\r\nId: trailer\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n\r\n") + "5\r\nh\n\r\n \r\n0\r\n\r\n",
    };
    std::mutex mutex;
    std::vector<HttpRequest> handled;
    Runtime runtime(1);
    ServerLimits limits;
    limits.maxHeaderBytes = maxHeaderBytes;
    auto handler = [&](const HttpRequest& request, ResponseWriter& writer) {
        std::lock_guard lock(mutex);
        handled.push_back(request);
        writer.send({ 200, {}, request.body });
    };
    HttpServer server(runtime, { "127.0.0.1", port }, limits, handler, [](unsigned status, std::string_view) { return HttpResponse { status, {}, {} }; });
    cr_assert(server.start());
    auto takeHandled = [&] {
        std::lock_guard lock(mutex);
        return std::exchange(handled, {});
    };
    std::string failures;
    auto expect = [&](bool condition, const std::string& request, const std::string& what) {
        if (!condition)
            failures += "\n" + what + ": " + boost::json::serialize(boost::json::value(request.substr(0, 120)));
    };
    for (const auto& request : ambiguous) {
        for (bool callerCloses : { true, false }) {
            auto response = sendRaw(request + hidden, port, callerCloses);
            expect(takeHandled().empty(), request, "handled");
            expect(response.starts_with("HTTP/1.1 400 ") && response.rfind("HTTP/1.1 ") == 0, request, "no single 400, but " + response.substr(0, 12));
        }
    }
    for (const auto& request : sound) {
        sendRaw(request + validRequest, port);
        auto requests = takeHandled();
        expect(requests.size() == 2, request, "not handled");
        expect(requests.empty() || (requests[0].body.size() == 5 && findHeader(requests[0].headers, "Id").empty()), request, "another body or header");
    }
    cr_assert(failures.empty(), "%s", failures.c_str());
    server.closeAll();
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

namespace {

/// Parses an answer that arrives in pieces, as `readMessage` does.
/// @param cuts whether there is a cut before each byte.
/// @return the first error, or none if the parser takes all bytes or is done before.
ErrorCode parseInPieces(ResponseParser& parser, std::string_view bytes, const std::vector<bool>& cuts)
{
    beast::flat_buffer buffer;
    std::array<char, 16> body {};
    size_t received = 0;
    while (!parser.is_done()) {
        parser.get().body().data = body.data();
        parser.get().body().size = body.size();
        auto error = buffer.size() > 0 ? parseBuffered(buffer, parser) : ErrorCode(http::error::need_more);
        if (error && error != http::error::need_more && error != http::error::need_buffer)
            return error;
        if (error != http::error::need_more)
            continue;
        if (received == bytes.size())
            return {};
        auto end = received + 1;
        while (end < bytes.size() && !cuts[end])
            end++;
        auto piece = bytes.substr(received, end - received);
        asio::buffer_copy(buffer.prepare(piece.size()), asio::buffer(piece.data(), piece.size()));
        buffer.commit(piece.size());
        received = end;
    }
    return {};
}

} // namespace

// Whatever a server sends, and in whatever pieces it arrives, the parser of answers takes it or refuses it.
Test(http_client, answers_in_any_pieces_end_no_process)
{
    const std::string head = "HTTP/1.1 200 OK\r\nA: a\r\nB:\r\n";
    const std::vector<std::string> sound { head + "Content-Length: 4\r\n\r\ndone", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n4;a=\"b\"\r\ndone\r\n00;c\r\nD: d\r\n\r\n", head + "\r\ndone",
        "HTTP/1.1 204 No Content\r\n\r\n" };
    cr_assert(rc::check("pieces", [&] {
        auto whole = *rc::gen::elementOf(sound);
        auto damaged = *rc::gen::arbitrary<bool>();
        auto bytes = damaged ? *genDamaged(whole) : whole;
        auto cuts = *rc::gen::container<std::vector<bool>>(bytes.size(), rc::gen::arbitrary<bool>());
        ResponseParser parser;
        auto error = parseInPieces(parser, bytes, cuts);
        RC_ASSERT((damaged || !error));
    }));
}

// A caller may send its request byte by byte.
Test(http_server, requests_that_trickle_are_served)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t port = 26981;
    constexpr std::chrono::microseconds pause { 300 };
    Runtime runtime(1);
    HttpServer server(
        runtime, { "127.0.0.1", port }, {}, [](const HttpRequest& request, ResponseWriter& writer) { writer.send({ 200, {}, request.body }); }, [](unsigned status, std::string_view) { return HttpResponse { status, {}, {} }; });
    cr_assert(server.start());
    const std::string head = "POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char* body : { "0\r\n\r\n", "0\r\nA: a\r\n\r\n", "000\r\n\r\n", "0;a\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n" }) {
        auto response = sendRaw(head + body, port, true, pause);
        cr_assert(response.starts_with("HTTP/1.1 200 ") && response.ends_with(body[0] == '5' ? "hello" : "\r\n\r\n"), "%s: got %s", body, response.c_str());
    }
    server.closeAll();
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// Servers in trouble send bytes that are no answer, without end, until the caller closes. They must cost the caller neither memory nor
// time without bound, wherever in the answer they come.
Test(http_client, answers_without_end_are_given_up)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t peerPort = 26994;
    constexpr std::chrono::milliseconds limit { 800 };
    constexpr size_t maxBytes = 64 * 1024 * 1024;
    struct Case {
        std::string head;
        std::string repeated;
        std::chrono::milliseconds pause;
    };
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Case> cases {
        { "HTTP/1.1 200 OK\r\nX: ", std::string(4096, 'a'), {} },
        { "", std::string(4096, 'a'), {} },
        { "HTTP/1.1 200 OK\r\n", "X: a\r\n", {} },
        { chunkedHead, std::string(4096, '0'), {} },
        { chunkedHead + "2;", std::string(4096, 'a'), {} },
        { chunkedHead + "2\r\nok\r\n0\r\n", "X: a\r\n", {} },
        { chunkedHead, "2\r\nok\r\n", {} },
        { "HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'a'), {} },
        // A byte now and then is no progress either.
        { chunkedHead, "1\r\na\r\n", std::chrono::milliseconds { 100 } },
        { "HTTP/1.1 200 OK\r\nX: ", "a", std::chrono::milliseconds { 100 } },
    };
    std::atomic<size_t> current { 0 };
    std::atomic<size_t> sent { 0 };
    standins::RawPeer peer(peerPort, [&](int connection) {
        standins::RawPeer::readRequest(connection);
        const auto& item = cases[current];
        standins::RawPeer::write(connection, item.head);
        sent = standins::RawPeer::writeWithoutEnd(connection, item.repeated, maxBytes, item.pause);
    });
    Runtime runtime(1);
    HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        for (; current < cases.size(); current++) {
            sent = 0;
            CallLimits limits;
            limits.response = limit;
            limits.maxBodyBytes = 1024 * 1024;
            auto start = monotonicNow();
            auto response = client.call({ "127.0.0.1", peerPort }, { "GET", "/", {}, "" }, limits);
            auto elapsed = monotonicNow() - start;
            cr_assert_not(response.has_value(), "case %zu", current.load());
            cr_assert_lt(elapsed, 2 * limit + limit / 2, "case %zu", current.load());
            // The peer notices the close when it sends again.
            for (int i = 0; i < 200 && sent == 0; i++)
                sleepFor(std::chrono::milliseconds { 10 });
            cr_assert(sent > 0 && sent < maxBytes, "case %zu: %zu bytes were accepted", current.load(), sent.load());
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// A peer that resets its connection while a request is written must not end the process.
Test(http_client, peers_that_reset_while_a_request_is_written_end_no_process)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t soundPort = 26986;
    constexpr uint16_t resettingPort = 26987;
    constexpr int rounds = 20;
    standins::RawPeer sound(soundPort, [](int connection) {
        standins::RawPeer::readRequest(connection);
        standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
    });
    standins::RawPeer resetting(resettingPort, [](int connection) {
        standins::RawPeer::readRequest(connection, 1000);
        standins::RawPeer::resetOnClose(connection);
    });
    Runtime runtime(1);
    HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        HttpRequest large { "POST", "/", {}, std::string(16 * 1024 * 1024, 'a') };
        for (int i = 0; i < rounds; i++) {
            auto answered = client.call({ "127.0.0.1", soundPort }, { "GET", "/", {}, "" }, {});
            cr_assert(answered.has_value(), "round %d", i);
            auto reset = client.call({ "127.0.0.1", resettingPort }, large, {});
            cr_assert_not(reset.has_value(), "round %d", i);
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// A peer may announce any idle timeout. One that no clock can hold must not wrap around, and so keep its connections from being reused.
Test(http_client, absurd_idle_timeouts_of_peers_are_bounded)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t peerPort = 26983;
    const std::vector<std::pair<std::string, bool>> cases {
        // With whether the connection is reused.
        { "timeout=5", true },
        { "timeout=5, max=100", true },
        { "timeout=9223372036", true },
        { "timeout=9223372037", true },
        { "timeout=18446744074", true },
        { "timeout=9223372036854775807", true },
        { "timeout=99999999999999999999999999", true },
        { "timeout=-9223372036854775808", true }, // No number: as if nothing was announced.
        { "timeout=", true },
        { "timeout=0", false },
    };
    std::atomic<size_t> current { 0 };
    std::atomic<int> connections { 0 };
    standins::RawPeer peer(peerPort, [&](int connection) {
        connections++;
        while (!standins::RawPeer::readRequest(connection).empty())
            standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nKeep-Alive: " + cases[current].first + "\r\nContent-Length: 2\r\n\r\nok");
    });
    Runtime runtime(1);
    HttpClient client;
    std::atomic<bool> done { false };
    std::string failures;
    runtime.spawn([&] {
        for (; current < cases.size(); current++) {
            client.closeIdleConnections({ "127.0.0.1", peerPort });
            connections = 0;
            for (int i = 0; i < 3; i++)
                cr_assert(client.call({ "127.0.0.1", peerPort }, { "GET", "/", {}, "" }, {}).has_value());
            if ((connections == 1) != cases[current].second)
                failures += "\n" + cases[current].first + ": " + std::to_string(connections) + " connections";
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert(failures.empty(), "%s", failures.c_str());
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// Guards against a request that is written although it became unwanted while the connection was opened, and against a connection that is lost by that.
Test(http_client, nothing_is_written_if_the_request_is_unwanted_once_there_is_a_connection)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t peerPort = 26982;
    std::atomic<int> connections { 0 };
    std::atomic<int> requests { 0 };
    standins::RawPeer peer(peerPort, [&](int connection) {
        connections++;
        for (; !standins::RawPeer::readRequest(connection).empty(); requests++)
            standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    Runtime runtime(1);
    HttpClient client;
    std::string results;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        for (bool wanted : { false, true, false, true }) {
            CallLimits limits;
            limits.maySend = [wanted] { return wanted; };
            auto response = client.call({ "127.0.0.1", peerPort }, { "GET", "/", {}, "" }, limits);
            results += response ? "answered " : std::string(name(response.error())) + " ";
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert_str_eq(results.c_str(), "withdrawn answered withdrawn answered ");
    cr_assert_eq(requests, 2);
    cr_assert_eq(connections, 2, "the one that was idle is used again");
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// Guards against a lack of places of the own process that is taken for a fault of the peer.
Test(http_client, lack_of_places_is_no_fault_of_the_peer)
{
    ConnectionBudget budget(1, 1, 0);
    Runtime runtime(1);
    HttpClient client;
    std::atomic<int> result { -1 };
    cr_assert(budget.tryTakeServerPlace());
    runtime.spawn([&] {
        CallLimits limits;
        limits.connections = &budget;
        result = static_cast<int>(client.call({ "127.0.0.1", 26980 }, { "GET", "/", {}, "" }, limits).error());
    });
    while (result < 0)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert_str_eq(name(static_cast<IoError>(result.load())), "no_place");
    cr_assert(isConnectError(static_cast<IoError>(result.load())), "nothing was sent");
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// A connection that is too old to be used must not stay open at the peer until the next request to that peer, which may never come.
Test(http_client, unusable_idle_connections_are_closed_while_others_are_used)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t idlePort = 26985;
    constexpr uint16_t usedPort = 26984;
    std::atomic<int> opened { 0 };
    std::atomic<int> open { 0 };
    const std::string answer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok";
    standins::RawPeer idlePeer(idlePort, [&](int connection) {
        opened++;
        open++;
        while (!standins::RawPeer::readRequest(connection).empty())
            standins::RawPeer::write(connection, answer);
        open--;
    });
    standins::RawPeer usedPeer(usedPort, [&](int connection) {
        while (!standins::RawPeer::readRequest(connection).empty())
            standins::RawPeer::write(connection, answer);
    });
    Runtime runtime(1);
    HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        auto call = [&client](uint16_t port) { return client.call({ "127.0.0.1", port }, { "GET", "/", {}, "" }, {}).has_value(); };
        cr_assert(call(idlePort));
        cr_assert_eq(open, 1);
        for (int i = 0; i < 30 && open > 0; i++) {
            sleepFor(std::chrono::milliseconds { 100 });
            cr_assert(call(usedPort));
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert_eq(opened, 1);
    cr_assert_eq(open, 0, "the connection is still open");
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// Guards against durations of others that overflow, and against names of others that look like further fields or lines of the log.
Test(foreign_values, numbers_are_bounded_and_names_are_one_word)
{
    using namespace std::chrono_literals;
    const std::vector<std::pair<std::string, std::optional<std::chrono::milliseconds>>> durations {
        { "0", 0ms }, { "5", 5s }, { "86400", 24h }, { "86401", 24h }, { "9223372036854775807", 24h }, { "9223372036854775808", 24h },
        { "99999999999999999999999999", 24h }, { "-1", 0ms }, { "-99999999999999999999", 0ms }, { "", std::nullopt }, { "-", std::nullopt },
        { "--1", std::nullopt }, { "1-", std::nullopt }, { "+1", std::nullopt }, { "1.5", std::nullopt }, { "1e3", std::nullopt }, { " 1", std::nullopt }
    };
    for (const auto& [text, expected] : durations)
        cr_assert(parseForeignDuration(text, 1s) == expected, "%s", text.c_str());
    cr_assert_eq(parseNumber<uint16_t>("65536").has_value(), false);
    cr_assert_eq(parseNumber<uint64_t>("-1").has_value(), false);
    cr_assert_eq(parseNumber<uint64_t>("ff", 16).value(), 255U);
    cr_assert_eq(escapeForLog("worker-1/a:b=c"), "worker-1/a:b=c");
    cr_assert_eq(escapeForLog(std::string("a b\n\"\\\x7f\xe9\0", 9)), "a\\x20b\\x0a\\x22\\x5c\\x7f\\xe9\\x00");
    cr_assert_eq(escapeForLog(std::string(100'000, 'a')).size(), maxLoggedNameBytes + 3);
}

// A peer that crashes resets its connections while they are in use. That says nothing about the idle timeout of other peers, whose
// connections must stay in use: opening new ones costs time and slots there.
Test(http_client, crash_of_one_peer_does_not_close_connections_to_others)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t crashingPort = 26996;
    constexpr uint16_t soundPort = 26997;
    constexpr std::chrono::milliseconds pause { 80 }; // Between two requests to the sound peer.
    std::atomic<int> soundConnections { 0 };
    standins::RawPeer sound(soundPort, [&soundConnections](int connection) {
        soundConnections++;
        while (!standins::RawPeer::readRequest(connection).empty())
            standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    standins::RawPeer crashing(crashingPort, [](int connection) {
        standins::RawPeer::readRequest(connection);
        standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        standins::RawPeer::readRequest(connection);
        standins::RawPeer::resetOnClose(connection);
    });
    Runtime runtime(1);
    HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        auto call = [&client](uint16_t port) { return client.call({ "127.0.0.1", port }, { "POST", "/", {}, "b" }, {}).has_value(); };
        for (int i = 0; i < 3; i++) {
            cr_assert(call(soundPort));
            sleepFor(pause);
        }
        cr_assert(call(crashingPort));
        sleepFor(pause / 4);
        cr_assert(call(soundPort));
        cr_assert_not(call(crashingPort));
        for (int i = 0; i < 5; i++) {
            sleepFor(pause);
            cr_assert(call(soundPort));
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert_eq(soundConnections, 1, "%d connections", soundConnections.load());
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// Bodies without end share the buffer memory. However many there are and however long they grow, they must leave room for a sound
// one, and what they held must come back.
Test(buffer_memory, buffers_without_end_leave_room_for_others)
{
    constexpr uint64_t capacity = 32 * 1024 * 1024;
    constexpr uint64_t step = 8 * 1024;
    constexpr uint64_t soundBytes = 100'000;
    for (size_t count : { 1, 2, 12, 30, 100 }) {
        BufferMemory memory(capacity);
        std::vector<uint64_t> held(count, 0);
        uint64_t used = 0;
        for (bool grew = true; grew;) {
            grew = false;
            for (auto& bytes : held) {
                if (!memory.tryResize(bytes, bytes + step))
                    continue;
                bytes += step;
                used += step;
                grew = true;
            }
        }
        cr_assert_lt(used, capacity, "%zu buffers hold %zu bytes", count, static_cast<size_t>(used));
        cr_assert_geq(memory.limit(0), soundBytes, "beside %zu buffers an answer may have %zu bytes", count, static_cast<size_t>(memory.limit(0)));
        cr_assert(memory.tryResize(0, soundBytes));
        cr_assert(memory.tryResize(soundBytes, 0));
        for (auto bytes : held)
            cr_assert(memory.tryResize(bytes, 0));
        cr_assert_eq(memory.limit(0), capacity / 2);
    }
}

// Connections that wait in the listening socket when the server stops carry requests that were sent before. They must be answered: closing
// the socket would reset them.
Test(http_server, connections_that_wait_at_the_stop_are_answered)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t port = 26991;
    constexpr int waiting = 20;
    Runtime runtime(1);
    auto handler = [](const HttpRequest& request, ResponseWriter& writer) {
        // Blocks the only I/O thread, so that nothing is accepted meanwhile.
        if (request.body == "block")
            std::this_thread::sleep_for(std::chrono::milliseconds { 600 });
        writer.send({ 200, {}, request.body });
    };
    HttpServer server(runtime, { "127.0.0.1", port }, {}, handler, [](unsigned status, std::string_view) { return HttpResponse { status, {}, {} }; });
    cr_assert(server.start());
    auto blocking = validRequest;
    blocking.replace(blocking.find("hello"), 5, "block");
    std::vector<std::thread> callers;
    std::atomic<int> answered { 0 };
    callers.emplace_back([&] { answered += sendRaw(blocking, port).ends_with("block") ? 1 : 0; });
    std::this_thread::sleep_for(std::chrono::milliseconds { 150 });
    for (int i = 0; i < waiting; i++)
        callers.emplace_back([&] { answered += sendRaw(validRequest, port).ends_with("hello") ? 1 : 0; });
    std::this_thread::sleep_for(std::chrono::milliseconds { 150 });
    server.stopAccepting();
    for (auto& caller : callers)
        caller.join();
    cr_assert_eq(answered, waiting + 1, "%d of %d requests were answered", answered.load(), waiting + 1);
    server.closeAll();
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// Guards against a wake-up from another thread that is lost while the fiber's thread looks for ready fibers: the fiber waits until some other event.
Test(runtime, fibers_that_other_threads_wake_run_at_once)
{
    constexpr int rounds = 300'000;
    constexpr std::chrono::milliseconds limit { 1000 };
    Event event;
    std::atomic<int> woken { 0 };
    std::atomic<int> late { 0 };
    boost::asio::io_context context(1);
    auto guard = boost::asio::make_work_guard(context);
    std::thread waiter([&] {
        installFiberScheduler(context, 1);
        for (int i = 0; i < rounds; i++) {
            auto begin = monotonicNow();
            event.waitFor(limit);
            late += monotonicNow() - begin < limit / 2 ? 0 : 1;
            woken++;
        }
    });
    for (int i = 0; i < rounds; i++) {
        event.signal();
        while (woken <= i)
            std::this_thread::yield();
        // Varies the moment of the next wake-up.
        for (volatile int spins = i % 1000; spins > 0;)
            spins = spins - 1;
    }
    waiter.join();
    cr_assert_eq(late, 0, "%d of %d wake-ups were lost", late.load(), rounds);
}
