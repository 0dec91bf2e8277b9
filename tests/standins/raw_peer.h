/// TCP server on loopback with which a test controls each byte that is received and sent.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace comfreypier::standins {

/// Accepts connections and serves each on a thread of its own, until the process ends.
class RawPeer {
public:
    /// Serves one connection, given by its file descriptor, which is closed when the function returns.
    using ConnectionHandler = std::function<void(int connection)>;
    /// Listens on the loopback port. Aborts the process if that fails.
    /// @param receiveBytes size of the connections' receive buffers, beyond which bytes wait at their sender; 0 for the system's.
    RawPeer(uint16_t port, ConnectionHandler serve, int receiveBytes = 0);

    /// Returns the listening socket.
    int listener() const { return this->listenerSocket; }
    /// Refuses further connections, and ends the thread that accepts them.
    void stopListening() const;

    /// Reads one request with its body, but at most `limit` bytes.
    /// @return the bytes read; fewer than a whole request if the caller closed the connection.
    static std::string readRequest(int connection, size_t limit = SIZE_MAX);
    /// Returns whether `bytes` contain a complete request: the header and the body of its Content-Length.
    static bool isCompleteRequest(const std::string& bytes);
    /// Sends all bytes. Returns early without an error if the caller closed the connection.
    static void write(int connection, const std::string& bytes);
    /// Sends `bytes` again and again with `pause` between, until the caller closes the connection or `limit` bytes are sent.
    /// @return number of bytes sent.
    static size_t writeWithoutEnd(int connection, const std::string& bytes, size_t limit, std::chrono::milliseconds pause = std::chrono::milliseconds { 0 });
    /// Makes the later close of the connection send a TCP reset, by a linger time of 0.
    static void resetOnClose(int connection);

private:
    int listenerSocket;
};

} // namespace comfreypier::standins
