#include "broken_peers.h"
#include "raw_peer.h"

#include <algorithm>
#include <sys/socket.h>

using comfreypier::standins::RawPeer;

std::string streamHead(const std::string& request)
{
    const std::string field = "Attempt-Id: ";
    auto start = std::min(request.size(), request.find(field));
    return "HTTP/1.1 200 OK\r\n" + request.substr(start, request.find('\n', start) + 1 - start) + "Server-Seal: s\r\nContent-Type: text/event-stream\r\n";
}

std::string chunkedStreamHead(const std::string& request)
{
    return streamHead(request) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string makeEntryRequest(int worker, int port, int slots)
{
    auto key = "broken" + std::to_string(worker);
    auto value = R"({"service":"llm","addr":"127.0.0.1:)" + std::to_string(port) + R"(","zone":"dc","version":"v1","slots":)" + std::to_string(slots) + R"(,"state":"ready","born":1,"models":[{"name":")" + brokenWorkersModel + R"(","version":1,"adapters":[]}]})";
    // The record's length in four bytes, that of its key in one, then both.
    std::string body;
    auto length = 1 + key.size() + value.size();
    for (int shift = 24; shift >= 0; shift -= 8)
        body.push_back(static_cast<char>(length >> shift));
    body.push_back(static_cast<char>(key.size()));
    body += key + value;
    return "POST /v1/log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void startBrokenPeers(const BrokenPeers& peers, int firstPort)
{
    for (int i = 0; i < (peers.isStore ? 1 : peers.workers); i++) {
        new RawPeer(static_cast<uint16_t>(firstPort + i), [peers](int connection) {
            auto request = RawPeer::readRequest(connection);
            RawPeer::write(connection, peers.makeBegin(request));
            if (!peers.repeated.empty())
                RawPeer::writeWithoutEnd(connection, peers.repeated, peers.repeatedBytes);
            // Until the daemon closes.
            RawPeer::readRequest(connection);
        });
    }
}
