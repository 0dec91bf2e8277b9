/// What the kernel knows of the bytes that were written to a connection. Free of Asio, which can't be included together with <linux/tcp.h>.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace comfreypier::transport {

struct SendState {
    std::optional<uint64_t> unacknowledgedBytes; ///< Written and not acknowledged by the peer. Nothing if unknown.
    uint32_t segmentsInFlight = 0; ///< Sent and not acknowledged; further bytes wait for the peer's window. 0 if unknown.
    std::optional<std::chrono::milliseconds> sinceLastAck; ///< Since anything came from the peer. Nothing if unknown.
    std::optional<uint64_t> windowBytes; ///< What the peer is ready to receive. Nothing if unknown.
    bool connected = true; ///< Also if unknown.
    std::optional<uint64_t> retransmissions; ///< Of the oldest segment in flight, one after the other. Nothing if unknown.
    std::optional<uint64_t> unansweredProbes; ///< Of the peer's closed window. Nothing if unknown.
};

/// Returns the state of a socket.
/// @param socket descriptor; a negative one yields the default state.
SendState readSendState(int socket);

/// Returns the bytes that were written to a socket and not acknowledged by its peer. Nothing if unknown.
std::optional<uint64_t> unacknowledgedBytes(int socket);

} // namespace comfreypier::transport
