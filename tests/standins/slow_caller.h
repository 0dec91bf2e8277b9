/// Caller on loopback that decides when it reads, and that can become unreachable.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace comfreypier::standins {

/// Makes a socket drop all packets that arrive, as if its machine had lost its network: its kernel acknowledges nothing any more.
void makeUnreachable(int socket);

/// Makes a socket drop what carries data, and acknowledge the rest, as kernels do whose small receive buffer is full.
void dropData(int socket);

/// Ends the effect of the functions above.
void makeReachable(int socket);

/// One connection. What it doesn't read waits at the server, but for a few kilobytes. Aborts the process if it can't connect.
class SlowCaller {
public:
    /// @param receiveBytes size of its receive buffer; by default the smallest that the kernel takes.
    explicit SlowCaller(uint16_t port, int receiveBytes = 2048);
    ~SlowCaller();
    SlowCaller(const SlowCaller&) = delete;
    SlowCaller& operator=(const SlowCaller&) = delete;

    /// Sends all bytes.
    void send(const std::string& bytes) const;
    /// Ends the sending side.
    void endSending() const;
    /// Reads until the server closes the connection or nothing arrives for `patience`.
    /// @param pause after each read, of what the receive buffer holds.
    /// @param enough number of bytes after which it returns, too.
    /// @return all bytes.
    std::string readAll(std::chrono::milliseconds patience, std::chrono::microseconds pause = {}, size_t enough = SIZE_MAX) const;
    /// Closes the connection with a TCP reset.
    void reset();
    /// See `standins::makeUnreachable`.
    void makeUnreachable() const { standins::makeUnreachable(this->socket); }
    /// See `standins::dropData`.
    void dropData() const { standins::dropData(this->socket); }
    /// See `standins::makeReachable`.
    void makeReachable() const { standins::makeReachable(this->socket); }

private:
    int socket;
};

} // namespace comfreypier::standins
