#include "slow_caller.h"
#include "raw_peer.h"

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <linux/filter.h>
#include <span>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace comfreypier::standins {

namespace {

    /// Sets which arriving packets a socket keeps.
    void attachFilter(int socket, std::span<sock_filter> code)
    {
        sock_fprog program { static_cast<unsigned short>(code.size()), code.data() };
        if (::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) != 0)
            std::abort();
    }

} // namespace

void makeUnreachable(int socket)
{
    // A filter that accepts 0 bytes of each packet.
    std::array<sock_filter, 1> dropAll { { BPF_STMT(BPF_RET | BPF_K, 0) } };
    attachFilter(socket, dropAll);
}

void dropData(int socket)
{
    std::array<sock_filter, 8> dropLongerThanHeader { {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, 12), // The header's length in words of four bytes, in the upper half of the byte.
        BPF_STMT(BPF_ALU | BPF_RSH | BPF_K, 4),
        BPF_STMT(BPF_ALU | BPF_LSH | BPF_K, 2),
        BPF_STMT(BPF_MISC | BPF_TAX, 0),
        BPF_STMT(BPF_LD | BPF_W | BPF_LEN, 0),
        BPF_JUMP(BPF_JMP | BPF_JGT | BPF_X, 0, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT16_MAX),
    } };
    attachFilter(socket, dropLongerThanHeader);
}

void makeReachable(int socket)
{
    int ignored = 0;
    ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &ignored, sizeof ignored);
}

SlowCaller::SlowCaller(uint16_t port, int receiveBytes)
    : socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    ::setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    if (::connect(this->socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        std::abort();
}

SlowCaller::~SlowCaller()
{
    if (this->socket >= 0)
        ::close(this->socket);
}

void SlowCaller::send(const std::string& bytes) const
{
    RawPeer::write(this->socket, bytes);
}

void SlowCaller::endSending() const
{
    ::shutdown(this->socket, SHUT_WR);
}

std::string SlowCaller::readAll(std::chrono::milliseconds patience, std::chrono::microseconds pause, size_t enough) const
{
    timeval timeout { patience.count() / 1000, patience.count() % 1000 * 1000 };
    ::setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    std::string bytes;
    std::string piece(64 * 1024, '\0');
    while (bytes.size() < enough) {
        auto count = ::recv(this->socket, piece.data(), piece.size(), 0);
        if (count <= 0)
            return bytes;
        bytes.append(piece, 0, static_cast<size_t>(count));
        std::this_thread::sleep_for(pause);
    }
    return bytes;
}

void SlowCaller::reset()
{
    RawPeer::resetOnClose(this->socket);
    ::close(this->socket);
    this->socket = -1;
}

} // namespace comfreypier::standins
