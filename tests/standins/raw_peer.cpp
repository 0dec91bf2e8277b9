#include "raw_peer.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

namespace comfreypier::standins {

RawPeer::RawPeer(uint16_t port, ConnectionHandler serve, int receiveBytes)
    : listenerSocket(::socket(AF_INET, SOCK_STREAM, 0))
{
    int listener = this->listenerSocket;
    int enabled = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (receiveBytes > 0)
        ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(listener, 64) != 0)
        std::abort();
    std::thread([listener, serve = std::move(serve)] {
        while (true) {
            int connection = ::accept(listener, nullptr, nullptr);
            if (connection < 0 && errno == EINVAL) // `stopListening`.
                return;
            if (connection < 0)
                continue;
            std::thread([connection, serve] {
                serve(connection);
                ::close(connection);
            }).detach();
        }
    }).detach();
}

void RawPeer::stopListening() const
{
    ::shutdown(this->listenerSocket, SHUT_RDWR);
}

std::string RawPeer::readRequest(int connection, size_t limit)
{
    std::string bytes;
    while (bytes.size() < limit && !isCompleteRequest(bytes)) {
        char byte = 0;
        if (::recv(connection, &byte, 1, 0) <= 0)
            break;
        bytes.push_back(byte);
    }
    return bytes;
}

bool RawPeer::isCompleteRequest(const std::string& bytes)
{
    auto headerEnd = bytes.find("\r\n\r\n");
    if (headerEnd == std::string::npos)
        return false;
    constexpr std::string_view field = "Content-Length: ";
    auto fieldStart = bytes.find(field);
    size_t bodySize = fieldStart == std::string::npos || fieldStart > headerEnd
        ? 0
        : std::strtoul(bytes.c_str() + fieldStart + field.size(), nullptr, 10);
    return bytes.size() >= headerEnd + 4 + bodySize;
}

void RawPeer::write(int connection, const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        auto count = ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<size_t>(count);
    }
}

size_t RawPeer::writeWithoutEnd(int connection, const std::string& bytes, size_t limit, std::chrono::milliseconds pause)
{
    size_t sum = 0;
    while (sum < limit) {
        auto count = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            break;
        sum += static_cast<size_t>(count);
        if (pause.count() > 0)
            std::this_thread::sleep_for(pause);
    }
    return sum;
}

void RawPeer::resetOnClose(int connection)
{
    linger resetLinger { 1, 0 };
    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &resetLinger, sizeof resetLinger);
}

} // namespace comfreypier::standins
