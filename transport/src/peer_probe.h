/// Finds out whether a peer can still be reached while it acknowledges nothing of what waits for it.
///
/// Load that it answers: endpoints that read a request slowly, beside endpoints that become unreachable during one. Both leave bytes
/// unacknowledged, and on a connection with such bytes the kernel sends no keep-alive probes. On a second connection, on which nothing is sent,
/// it does, and the peer's kernel answers them whatever its process does.
#pragma once

#include "transport_p.h"

namespace comfreypier::transport {

/// Time without progress after which a peer that has acknowledged a part of a message is probed.
constexpr std::chrono::milliseconds probeDelay { 500 };

/// Delay before a probe that has shown nothing is repeated.
constexpr std::chrono::milliseconds probeRetryDelay { 1000 };

/// What a probe has shown of a peer.
enum class PeerEvidence {
    None, ///< The probe has no result yet, could not be made, or the peer has ended its connection.
    Reachable,
    Unreachable, ///< The peer has not answered a connection attempt, or the keep-alive probes on a connection, in time.
    Count
};

/// A message for which the peer has acknowledged nothing for some time.
struct StalledMessage {
    std::chrono::nanoseconds stalledFor { 0 };
    bool begun = false; ///< The peer has acknowledged a part of it.
};

/// Returns whether the peer of a stalled message should be probed.
bool needsProbe(const StalledMessage& message);

/// Returns whether the peer of a stalled message is unreachable. A peer that can be reached acknowledges the beginning of a message, as it
/// has received all before it; later it may be slow to read.
bool isUnreachable(const StalledMessage& message, PeerEvidence evidence);

/// Probes a peer while it exists. Must be used on one I/O thread.
class PeerProbe {
public:
    /// Returns the probe of the calling thread for a peer, a new one if there is none or the peer was found unreachable.
    /// @param budget has places for its connections; null for no limit.
    static std::shared_ptr<PeerProbe> share(const Tcp::endpoint& peer, ConnectionBudget* budget);

    PeerProbe(asio::io_context& context, Tcp::endpoint peer, ConnectionBudget* budget);
    ~PeerProbe();
    PeerProbe(const PeerProbe&) = delete;
    PeerProbe& operator=(const PeerProbe&) = delete;

    /// Returns what the probe has shown. Repeats one that has shown nothing.
    PeerEvidence evidence(std::chrono::nanoseconds now);

private:
    struct Attempt;

    void start(std::chrono::nanoseconds now);

    asio::io_context& context;
    const Tcp::endpoint peer;
    ConnectionBudget* budget;
    std::chrono::nanoseconds startedAt { 0 }; ///< Of the attempt.
    std::shared_ptr<Attempt> attempt; ///< Null if there was no place for its connection.
};

} // namespace comfreypier::transport
