/// Checks of sent bytes. One fiber of a thread checks all of its connections that have some.
#include "send_watch.h"

namespace comfreypier::transport {

/// Connections of a thread with bytes that were unacknowledged when they were last looked at.
struct WatchTable {
    std::set<SendWatch*, std::less<>> active;
    bool checkerRunning = false; ///< A fiber of this thread runs `checkWatches`.
    int stallReportsLeft = 0; ///< In the current round of checks.

    /// @return false if it was active.
    bool add(SendWatch* watch)
    {
        bool added = this->active.insert(watch).second;
        if (added && watch->count)
            ++*watch->count;
        return added;
    }
    void remove(SendWatch* watch)
    {
        if (this->active.erase(watch) > 0 && watch->count)
            --*watch->count;
    }
};

namespace {

    thread_local const auto threadWatches = std::make_shared<WatchTable>();

    std::array<std::array<std::atomic<uint64_t>, static_cast<size_t>(CutBy::Count)>, static_cast<size_t>(ConnectionSide::Count)> cuts {};

    void checkWatches(WatchTable& table)
    {
        while (!table.active.empty()) {
            sleepFor(sendCheckInterval);
            auto now = monotonicNow();
            table.stallReportsLeft = maxStallReports;
            for (auto* watch : std::vector(table.active.begin(), table.active.end())) {
                if (!watch->check(now))
                    table.remove(watch);
            }
        }
        table.checkerRunning = false;
    }

    std::string formatOptional(std::optional<uint64_t> value)
    {
        return value ? std::to_string(*value) : "-";
    }

} // namespace

const char* name(ConnectionSide side)
{
    constexpr std::array<const char*, static_cast<size_t>(ConnectionSide::Count)> names { "caller", "endpoint" };
    return names[static_cast<size_t>(side)];
}

const char* name(CutBy by)
{
    constexpr std::array<const char*, static_cast<size_t>(CutBy::Count)> names { "peer", "unreachable", "write_timeout", "pressure", "self" };
    return names[static_cast<size_t>(by)];
}

uint64_t cutConnections(ConnectionSide side, CutBy by)
{
    return cuts[static_cast<size_t>(side)][static_cast<size_t>(by)];
}

std::string formatCutConnections()
{
    std::string text;
    for (size_t side = 0; side < cuts.size(); side++) {
        for (size_t by = 0; by < cuts[side].size(); by++)
            text += std::string("comfreypier_connections_cut_total{with=\"") + name(static_cast<ConnectionSide>(side)) + "\",by=\"" + name(static_cast<CutBy>(by)) + "\"} " + std::to_string(cuts[side][by]) + "\n";
    }
    return text;
}

void recordWritten(SendProgress& progress, uint64_t bytes, std::chrono::nanoseconds now)
{
    if (progress.writtenBytes == progress.acknowledgedBytes)
        progress.progressAt = now;
    progress.writtenBytes += bytes;
}

bool recordAcknowledged(SendProgress& progress, const SendState& state, std::chrono::nanoseconds now)
{
    // The end of the sending side counts as one more byte in the kernel.
    auto unacknowledged = std::min(progress.writtenBytes, state.unacknowledgedBytes.value_or(progress.writtenBytes));
    auto acknowledged = progress.writtenBytes - unacknowledged;
    if (acknowledged <= progress.acknowledgedBytes)
        return false;
    progress.acknowledgedBytes = acknowledged;
    progress.progressAt = now;
    return true;
}

StalledMessage stalledMessage(const SendProgress& progress, std::chrono::nanoseconds now)
{
    return { now - progress.progressAt, progress.acknowledgedBytes > progress.messageStart };
}

CutBy causeOfEnd(const ErrorCode& error)
{
    if (error == beast::error::timeout || error == asio::error::operation_aborted)
        return CutBy::Self;
    if (error == asio::error::timed_out || error == asio::error::host_unreachable || error == asio::error::network_unreachable)
        return CutBy::Unreachable;
    return CutBy::Peer;
}

SendWatch::SendWatch(Stream::socket_type& socket, ConnectionSide side, Count count)
    : socket(socket)
    , side(side)
    , count(std::move(count))
    , table(threadWatches)
{
}

SendWatch::~SendWatch()
{
    this->table->remove(this);
}

void SendWatch::setLimit(std::chrono::milliseconds limit, std::function<void()> onExpired)
{
    this->limit = limit;
    this->onExpired = std::move(onExpired);
}

void SendWatch::setProbe(std::function<std::shared_ptr<PeerProbe>()> probe, std::function<void()> onUnreachable)
{
    this->makeProbe = std::move(probe);
    this->onUnreachable = std::move(onUnreachable);
}

void SendWatch::recordWritten(size_t bytes)
{
    auto now = monotonicNow();
    transport::recordWritten(this->progress, bytes, now);
    // Where no more is known, the kernel's room for them is progress.
    if (bytes > 0 && !this->lastState.unacknowledgedBytes)
        this->progress.progressAt = now;
    if (this->ended || !this->table->add(this))
        return;
    this->checkedAt = now;
    this->maxCheckGap = {};
    this->stallReported = false;
    if (!std::exchange(this->table->checkerRunning, true))
        spawnOnCurrentThread([table = this->table] { checkWatches(*table); });
}

bool SendWatch::isWaiting() const
{
    if (this->ended || !this->table->active.contains(this) || !this->socket.is_open())
        return false;
    auto state = this->readState();
    // Where nothing is known, an answer may be unread, while a request that is no longer written has been read.
    bool unread = state.unacknowledgedBytes ? *state.unacknowledgedBytes > 0 : this->side == ConnectionSide::Caller;
    return unread && state.connected;
}

uint64_t SendWatch::lastUnacknowledgedBytes() const
{
    return this->ended || !this->table->active.contains(this) ? 0 : this->lastState.unacknowledgedBytes.value_or(0);
}

bool SendWatch::check(std::chrono::nanoseconds now)
{
    if (this->ended || !this->socket.is_open())
        return false;
    auto state = this->readState();
    bool advanced = recordAcknowledged(this->progress, state, now);
    // A connection that has failed no longer tells what it was doing.
    if (state.connected)
        this->lastState = state;
    this->recordCheck(advanced, now);
    // The operation that fails on a connection that has ended reports it.
    bool known = state.unacknowledgedBytes.has_value();
    if (state.unacknowledgedBytes == 0U || !state.connected || (!known && !this->limit)) {
        this->probe = nullptr;
        return false;
    }
    // The address is unknown once the connection has failed.
    if (this->peer.empty())
        this->peer = this->peerAddress();
    this->reportStall(now);
    if (known && this->makeProbe && this->findUnreachable(now)) {
        this->onUnreachable();
        return false;
    }
    if (!this->limit || now - this->progress.progressAt < *this->limit)
        return true;
    if (known || this->writeWaits)
        this->onExpired();
    return false;
}

void SendWatch::recordEnd(CutBy by)
{
    if (std::exchange(this->ended, true))
        return;
    this->probe = nullptr;
    this->report(by, this->currentState());
}

void SendWatch::recordEnd(const ErrorCode& error)
{
    this->recordEnd(causeOfEnd(error));
}

SendState SendWatch::readState() const
{
    auto socket = this->socket.native_handle();
    // Saves the second call for connections in calm.
    return unacknowledgedBytes(socket) == 0U ? SendState { 0 } : readSendState(socket);
}

SendState SendWatch::currentState() const
{
    return this->socket.is_open() ? this->readState() : this->lastState;
}

std::string SendWatch::peerAddress() const
{
    ErrorCode error;
    auto endpoint = this->socket.remote_endpoint(error);
    return error ? "-" : toString(Endpoint { endpoint.address().to_string(), endpoint.port() });
}

bool SendWatch::findUnreachable(std::chrono::nanoseconds now)
{
    auto message = stalledMessage(this->progress, now);
    if (!needsProbe(message))
        this->probe = nullptr;
    else if (!this->probe)
        this->probe = this->makeProbe();
    return isUnreachable(message, this->probe ? this->probe->evidence(now) : PeerEvidence::None);
}

void SendWatch::report(CutBy by, const SendState& state) const
{
    if (state.unacknowledgedBytes.value_or(by == CutBy::WriteTimeout ? 1 : 0) == 0)
        return;
    cuts[static_cast<size_t>(this->side)][static_cast<size_t>(by)]++;
    auto text = std::string("event=connection_cut with=") + name(this->side) + " peer=" + (this->peer.empty() ? this->peerAddress() : this->peer) + " by=" + name(by) + " " + this->formatState(state);
    // Whoever uses the connection reports the others.
    if (by == CutBy::Unreachable || by == CutBy::WriteTimeout)
        Log("http").warn(text);
    else
        Log("http").debug(text);
}

void SendWatch::recordCheck(bool advanced, std::chrono::nanoseconds now)
{
    this->maxCheckGap = advanced ? std::chrono::nanoseconds { 0 } : std::max(this->maxCheckGap, now - this->checkedAt);
    this->checkedAt = now;
    this->stallReported = this->stallReported && !advanced;
}

void SendWatch::reportStall(std::chrono::nanoseconds now)
{
    if (this->stallReported || now - this->progress.progressAt < stallReportTime || this->table->stallReportsLeft == 0)
        return;
    this->stallReported = true;
    this->table->stallReportsLeft--;
    Log("http").info(std::string("event=peer_stalled with=") + name(this->side) + " peer=" + this->peer + " " + this->formatState(this->lastState));
}

std::string SendWatch::formatState(const SendState& state) const
{
    auto milliseconds = [](std::chrono::nanoseconds time) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()); };
    // Once a connection has failed, the last check tells more.
    const auto& detail = state.connected ? state : this->lastState;
    return "unacknowledged_bytes=" + formatOptional(state.unacknowledgedBytes) + " stalled_ms=" + milliseconds(monotonicNow() - this->progress.progressAt) + " last_ack_ms=" + (state.sinceLastAck ? std::to_string(state.sinceLastAck->count()) : "-") + " window_bytes=" + formatOptional(state.windowBytes)
        + " in_flight=" + (detail.windowBytes ? std::to_string(detail.segmentsInFlight) : "-") + " retransmissions=" + formatOptional(detail.retransmissions) + " unanswered_probes=" + formatOptional(detail.unansweredProbes) + " max_check_gap_ms=" + milliseconds(this->maxCheckGap);
}

} // namespace comfreypier::transport
