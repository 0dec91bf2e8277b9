/// Probes of peers by idle connections.
#include "peer_probe.h"

#include <map>

namespace comfreypier::transport {

namespace {

    thread_local std::map<Tcp::endpoint, std::weak_ptr<PeerProbe>> threadProbes;

    bool showsNoAnswer(const ErrorCode& error)
    {
        return error == beast::error::timeout || error == asio::error::timed_out || error == asio::error::host_unreachable || error == asio::error::network_unreachable;
    }

} // namespace

bool needsProbe(const StalledMessage& message)
{
    return message.begun && message.stalledFor >= probeDelay;
}

bool isUnreachable(const StalledMessage& message, PeerEvidence evidence)
{
    return message.stalledFor >= unreachableTimeout && (!message.begun || evidence == PeerEvidence::Unreachable);
}

/// One connection of a probe. Its pending operations keep it alive.
struct PeerProbe::Attempt : std::enable_shared_from_this<Attempt> {
    /// @param place budget of which a place was taken; null if none.
    Attempt(asio::io_context& context, ConnectionBudget* place)
        : stream(Stream::executor_type { context.get_executor() })
        , place(place)
    {
    }
    ~Attempt()
    {
        if (this->place != nullptr)
            this->place->giveClientPlaceBack();
    }
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    void connect(const Tcp::endpoint& peer)
    {
        this->stream.expires_after(unreachableTimeout - probeDelay);
        this->stream.async_connect(peer, [self = this->shared_from_this()](const ErrorCode& error) {
            if (error)
                return self->end(error);
            self->evidence = PeerEvidence::Reachable;
            self->stream.expires_never();
            setTcpKeepAlive(self->stream.socket());
            self->awaitEnd();
        });
    }

    /// Waits until the connection ends, and discards what arrives on it.
    void awaitEnd()
    {
        this->stream.async_read_some(asio::buffer(this->discarded), [self = this->shared_from_this()](const ErrorCode& error, size_t) {
            if (error)
                self->end(error);
            else
                self->awaitEnd();
        });
    }

    /// @param error other ones than `showsNoAnswer` come from the peer's machine, or from this one.
    void end(const ErrorCode& error)
    {
        this->evidence = showsNoAnswer(error) ? PeerEvidence::Unreachable : PeerEvidence::None;
        this->ended = true;
        this->stream.close();
    }

    Stream stream;
    ConnectionBudget* place;
    std::array<char, 512> discarded {};
    PeerEvidence evidence = PeerEvidence::None;
    bool ended = false;
};

std::shared_ptr<PeerProbe> PeerProbe::share(const Tcp::endpoint& peer, ConnectionBudget* budget)
{
    std::erase_if(threadProbes, [](const auto& item) { return item.second.expired(); });
    auto& shared = threadProbes[peer];
    auto probe = shared.lock();
    if (!probe || probe->evidence(monotonicNow()) == PeerEvidence::Unreachable) {
        probe = std::make_shared<PeerProbe>(*currentContext(), peer, budget);
        shared = probe;
    }
    return probe;
}

PeerProbe::PeerProbe(asio::io_context& context, Tcp::endpoint peer, ConnectionBudget* budget)
    : context(context)
    , peer(std::move(peer))
    , budget(budget)
{
    this->start(monotonicNow());
}

PeerProbe::~PeerProbe()
{
    if (this->attempt)
        this->attempt->stream.close();
}

PeerEvidence PeerProbe::evidence(std::chrono::nanoseconds now)
{
    bool shown = this->attempt && (!this->attempt->ended || this->attempt->evidence == PeerEvidence::Unreachable);
    if (!shown && now - this->startedAt >= probeRetryDelay)
        this->start(now);
    return this->attempt ? this->attempt->evidence : PeerEvidence::None;
}

void PeerProbe::start(std::chrono::nanoseconds now)
{
    this->startedAt = now;
    this->attempt = nullptr;
    if (this->budget != nullptr && !this->budget->tryTakeClientPlace())
        return;
    this->attempt = std::make_shared<Attempt>(this->context, this->budget);
    this->attempt->connect(this->peer);
}

} // namespace comfreypier::transport
