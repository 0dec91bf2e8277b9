/// TCP peer on loopback whose behaviour a test scripts byte by byte.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace comfreypier::standins {

/// Serves each connection on a thread of its own. Lives until the process ends.
class RawPeer {
public:
    /// Serves one connection; it is closed when the function returns.
    using ConnectionHandler = std::function<void(int connection)>;
    RawPeer(uint16_t port, ConnectionHandler serve);

    /// Reads one request with its body, but at most `limit` bytes.
    /// @return what was read; shorter if the caller ended the connection.
    static std::string readRequest(int connection, size_t limit = SIZE_MAX);
    /// Tells whether `bytes` hold a whole request.
    static bool isCompleteRequest(const std::string& bytes);
    static void write(int connection, const std::string& bytes);
    /// Makes the close of the connection a reset.
    static void resetOnClose(int connection);
};

} // namespace comfreypier::standins
