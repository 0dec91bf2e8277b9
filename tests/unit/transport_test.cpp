/// The HTTP server under bad input.
#include "generators.h"
#include "raw_peer.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <csignal>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace comfreypier;
using namespace comfreypier::transport;
using namespace comfreypier::testing;

namespace {

constexpr uint16_t port = 26999;
const std::string goodRequest = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";

/// Sends `bytes`, ends the sending side, and returns everything that comes back.
std::string exchange(const std::string& bytes)
{
    int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    std::string answer;
    if (::connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        ::shutdown(connection, SHUT_WR);
        char buffer[4096];
        ssize_t count = 0;
        while ((count = ::recv(connection, buffer, sizeof buffer, 0)) > 0)
            answer.append(buffer, static_cast<size_t>(count));
    }
    ::close(connection);
    return answer;
}

} // namespace

Test(http_server, random_and_cut_off_bytes_get_an_answer_or_an_end)
{
    signal(SIGPIPE, SIG_IGN);
    Runtime runtime(1);
    auto echo = [](const HttpRequest& request, ResponseWriter& writer) { writer.send({ 200, {}, request.body }); };
    auto refuse = [](unsigned status, std::string_view reason) { return HttpResponse { status, {}, std::string(reason) }; };
    HttpServer server(runtime, { "127.0.0.1", port }, {}, echo, refuse);
    cr_assert(server.start());
    cr_assert(rc::check("bad bytes", [] {
        auto answer = exchange(*genDamaged(goodRequest));
        RC_ASSERT(answer.empty() || answer.starts_with("HTTP/1.1 "));
    }));
    auto answer = exchange(goodRequest);
    cr_assert(answer.starts_with("HTTP/1.1 200"));
    cr_assert(answer.ends_with("hello"));
    cr_assert(exchange("GARBAGE\r\n\r\n").starts_with("HTTP/1.1 400"));
    for (int i = 0; i < 200 && server.stats().connections > 0; i++)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert_eq(server.stats().connections, 0U);
    server.closeAll();
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

Test(http_client, idle_connections_that_the_peer_forgets_cost_one_request_only)
{
    signal(SIGPIPE, SIG_IGN);
    constexpr uint16_t peerPort = 26998;
    constexpr std::chrono::milliseconds forgetsAfter { 150 };
    // The peer keeps the connection open, and resets it at the next request if it rested for too long.
    standins::RawPeer peer(peerPort, [forgetsAfter](int connection) {
        auto restedSince = monotonicNow();
        bool first = true;
        while (!standins::RawPeer::readRequest(connection).empty()) {
            if (!std::exchange(first, false) && monotonicNow() - restedSince > forgetsAfter)
                return standins::RawPeer::resetOnClose(connection);
            standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            restedSince = monotonicNow();
        }
    });
    Runtime runtime(1);
    HttpClient client;
    std::atomic<int> lost { 0 };
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        for (int i = 0; i < 8; i++) {
            auto answer = client.call({ "127.0.0.1", peerPort }, { "POST", "/", {}, "b" }, {});
            lost += answer ? 0 : 1;
            sleepFor(2 * forgetsAfter);
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    cr_assert_eq(lost, 1, "%d requests were lost", lost.load());
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}
