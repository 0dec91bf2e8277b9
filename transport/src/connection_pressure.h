/// Which connections a server closes when their number or the memory for what they send reaches its limit.
///
/// Load that it answers: crowds of callers that connect and send nothing, stop half-way, or send or read very slowly.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace comfreypier::transport {

/// Time over which the progress of a connection is measured. A younger read or write is not closed.
constexpr std::chrono::milliseconds progressWindow { 500 };

/// What a connection is doing.
enum class ConnectionState {
    Idle, ///< No byte of a request has arrived.
    Reading, ///< A part of a request has arrived.
    Handling, ///< The handler runs.
    Writing, ///< The handler waits for the caller to read.
    Count
};

/// Course of what a connection is doing.
struct ConnectionActivity {
    ConnectionState state = ConnectionState::Idle;
    std::chrono::nanoseconds since { 0 }; ///< When the state began.
    std::chrono::nanoseconds windowStart { 0 };
    uint64_t windowBytes = 0; ///< Bytes sent or received since the start of the window.
    std::optional<double> previousRate; ///< Bytes a second in the window before this one.
};

/// Begins a state. Nothing changes if the connection is in it already.
void beginState(ConnectionActivity& activity, ConnectionState state, std::chrono::nanoseconds now);

/// Records that bytes were sent or received.
void recordProgress(ConnectionActivity& activity, uint64_t bytes, std::chrono::nanoseconds now);

/// Returns the current rate in bytes a second: of this window if it is complete, else of the one before.
/// @return nothing if the state is younger than a window.
std::optional<double> progressRate(const ConnectionActivity& activity, std::chrono::nanoseconds now);

/// Chooses connections to close, in the order of what that costs callers: idle ones, the longest idle first; then reads and then writes without
/// progress, the slowest first.
/// @param minRate bytes a second from which a read or write has progress.
/// @param mayCloseIdle false if idle connections free nothing of what is short.
/// @param count maximum number of connections to choose.
/// @return indices into `connections`.
std::vector<size_t> chooseConnectionsToClose(std::span<const ConnectionActivity> connections, std::chrono::nanoseconds now, double minRate, bool mayCloseIdle, size_t count);

} // namespace comfreypier::transport
