/// Watches the bytes that were written to a connection until its peer has acknowledged them.
///
/// Load that it answers: peers that read nothing for some time, beside peers that have become unreachable. Neither acknowledges what is sent, and
/// what a kernel knows beyond that differs: a peer's kernel may answer probes of its closed window or drop data in silence, and the own one may not
/// tell. So no decision uses more than the number of unacknowledged bytes.
#pragma once

#include "peer_probe.h"
#include "send_state.h"
#include "transport_p.h"

namespace comfreypier::transport {

/// Interval between two checks of a thread's connections with unacknowledged bytes.
constexpr std::chrono::milliseconds sendCheckInterval { 250 };

/// Time without progress after which a peer is reported as stalled.
constexpr std::chrono::milliseconds stallReportTime { 2500 };

/// Maximum number of stalled peers that are reported in one round of checks; the others follow in the next ones.
constexpr int maxStallReports = 8;

/// Course of the bytes that were written to a connection.
struct SendProgress {
    uint64_t writtenBytes = 0;
    uint64_t acknowledgedBytes = 0;
    uint64_t messageStart = 0; ///< Number of bytes written before the current message.
    std::chrono::nanoseconds progressAt { 0 }; ///< When the peer last acknowledged some, or the first ones were written.
};

/// Records that bytes were passed to the kernel.
void recordWritten(SendProgress& progress, uint64_t bytes, std::chrono::nanoseconds now);

/// Records what the peer has acknowledged.
/// @return whether it has acknowledged more than before, as far as is known.
bool recordAcknowledged(SendProgress& progress, const SendState& state, std::chrono::nanoseconds now);

/// Returns how long the current message has been waiting for its peer.
StalledMessage stalledMessage(const SendProgress& progress, std::chrono::nanoseconds now);

/// Returns who ended a connection with unacknowledged bytes.
/// @param error of the operation that failed first.
CutBy causeOfEnd(const ErrorCode& error);

struct WatchTable;

/// Checks a connection while bytes are unacknowledged, and reports if it ends before they are. Must be used on the I/O thread of the socket.
class SendWatch {
public:
    /// Number of watches whose peers may not have acknowledged all bytes; up to date within `sendCheckInterval`.
    using Count = std::shared_ptr<std::atomic<uint64_t>>;

    /// @param socket must outlive the watch.
    /// @param count includes this watch while bytes are unacknowledged. Null for none.
    SendWatch(Stream::socket_type& socket, ConnectionSide side, Count count);
    ~SendWatch();
    SendWatch(const SendWatch&) = delete;
    SendWatch& operator=(const SendWatch&) = delete;

    /// Calls `onExpired` once the peer has acknowledged nothing for `limit` while bytes for it wait. The connection should then be closed. Where
    /// the kernel does not tell what is acknowledged, `onExpired` is called if a write has been waiting for as long, and the peer otherwise counts
    /// as having read all after that time.
    /// @param onExpired must not suspend.
    void setLimit(std::chrono::milliseconds limit, std::function<void()> onExpired);
    /// Calls `onUnreachable` once the peer is found unreachable, see `isUnreachable`. The connection should then be closed.
    /// @param probe returns the probe of the peer; called once for each time without progress that needs one.
    /// @param onUnreachable must not suspend.
    void setProbe(std::function<std::shared_ptr<PeerProbe>()> probe, std::function<void()> onUnreachable);
    /// Begins a message. The peer has received all before it.
    void beginMessage() { this->progress.messageStart = this->progress.writtenBytes; }
    /// Records bytes that were passed to the kernel. They are checked until the peer has acknowledged them.
    void recordWritten(size_t bytes);
    /// Records whether a write waits for room in the kernel's buffer.
    void setWriteWaiting(bool waiting) { this->writeWaits = waiting; }
    /// Returns whether the peer may not have acknowledged all bytes, and may still do so.
    bool isWaiting() const;
    /// Returns when the peer last acknowledged some, as far as the checks have seen.
    std::chrono::nanoseconds progressAt() const { return this->progress.progressAt; }
    /// Returns the bytes that the peer had not acknowledged at the last check; 0 if unknown.
    uint64_t lastUnacknowledgedBytes() const;
    /// Counts and logs the end of the connection if bytes are unacknowledged. Calls after the first have no effect.
    void recordEnd(CutBy by);
    /// See above.
    /// @param error of the operation that failed.
    void recordEnd(const ErrorCode& error);
    /// Reads the state of the socket, and ends the connection if its limit has passed or its peer is unreachable.
    /// @return whether bytes are still unacknowledged and the connection is open.
    bool check(std::chrono::nanoseconds now);

private:
    friend struct WatchTable;

    /// Returns the state of the open socket; only that there are none if all bytes are acknowledged.
    SendState readState() const;
    /// Returns the current state, or that of the last check if the socket is closed already.
    SendState currentState() const;
    std::string peerAddress() const;
    void report(CutBy by, const SendState& state) const;
    /// Records when the connection was checked, and whether its peer had acknowledged more.
    void recordCheck(bool advanced, std::chrono::nanoseconds now);
    /// Logs once for each time without progress that the peer has acknowledged nothing for `stallReportTime`.
    void reportStall(std::chrono::nanoseconds now);
    /// Formats a state as words of a log line, with what the kernel does not tell as `-`.
    std::string formatState(const SendState& state) const;
    /// Probes the peer while that is needed.
    /// @return whether it is unreachable.
    bool findUnreachable(std::chrono::nanoseconds now);

    Stream::socket_type& socket;
    ConnectionSide side;
    const Count count;
    const std::shared_ptr<WatchTable> table; ///< Of the thread. Fibers and connections that the thread ends last still use it.
    std::string peer; ///< Address and port; empty before the first check that finds unacknowledged bytes.
    std::optional<std::chrono::milliseconds> limit; ///< See `setLimit`.
    std::function<void()> onExpired;
    std::function<std::shared_ptr<PeerProbe>()> makeProbe; ///< Empty if the peer is not probed.
    std::function<void()> onUnreachable;
    std::shared_ptr<PeerProbe> probe; ///< Null while none is needed.
    SendProgress progress;
    SendState lastState; ///< Of the last check.
    std::chrono::nanoseconds checkedAt { 0 }; ///< Time of the last check, or of the first write since all was acknowledged.
    std::chrono::nanoseconds maxCheckGap { 0 }; ///< Longest time between two checks since the last progress.
    bool writeWaits = false; ///< See `setWriteWaiting`.
    bool stallReported = false; ///< Since the last progress.
    bool ended = false; ///< The end was recorded.
};

} // namespace comfreypier::transport
