/// Cap'n Proto RPC between nodes. KJ's event loop has a thread of its own; fibers cross to it and back.
#include "peer.capnp.h"
#include "record_codec_p.h"

#include <boost/fiber/future.hpp>
#include <capnp/ez-rpc.h>
#include <condition_variable>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <thread>

namespace comfreypier::protocol {

namespace {

    uint16_t clamp(uint32_t value)
    {
        return static_cast<uint16_t>(std::min<uint32_t>(value, UINT16_MAX));
    }

    void writeNews(wire::News::Builder to, const PeerUpdate& news)
    {
        to.setKind(static_cast<uint8_t>(news.key.kind));
        to.setName(news.key.name);
        to.setSession(news.version.session);
        to.setCounter(news.version.counter);
        to.setDraining(news.draining);
        to.setConfigOffset(news.configOffset);
        to.setRunning(clamp(news.running));
        to.setWaiting(clamp(news.waiting));
        to.setSlots(clamp(news.slots));
        to.setFirstTokenUs(static_cast<uint32_t>(news.firstTokenTime.count()));
        to.setTokenGapUs(static_cast<uint32_t>(news.tokenGap.count()));
        to.setCount(news.count);
    }

    PeerUpdate readNews(wire::News::Reader in)
    {
        PeerUpdate news;
        news.key = { static_cast<PeerUpdateKind>(in.getKind()), text(in.getName()) };
        news.version = { in.getSession(), in.getCounter() };
        news.draining = in.getDraining();
        news.configOffset = in.getConfigOffset();
        news.running = in.getRunning();
        news.waiting = in.getWaiting();
        news.slots = in.getSlots();
        news.firstTokenTime = std::chrono::microseconds { in.getFirstTokenUs() };
        news.tokenGap = std::chrono::microseconds { in.getTokenGapUs() };
        news.count = in.getCount();
        return news;
    }

    void writeGossip(wire::Gossip::Builder to, const GossipMessage& message)
    {
        to.setFrom(message.from);
        auto list = to.initNews(static_cast<uint32_t>(message.updates.size()));
        for (uint32_t i = 0; i < message.updates.size(); i++)
            writeNews(list[i], message.updates[i]);
    }

    GossipMessage readGossip(wire::Gossip::Reader in)
    {
        GossipMessage message;
        message.from = text(in.getFrom());
        for (auto news : in.getNews()) {
            if (news.getKind() < static_cast<uint8_t>(PeerUpdateKind::Count))
                message.updates.push_back(readNews(news));
        }
        return message;
    }

    class PeerServer final : public wire::Peer::Server {
    public:
        explicit PeerServer(PeerHandlers handlers)
            : handlers(std::move(handlers))
        {
        }

        kj::Promise<void> gossip(GossipContext context) override
        {
            auto reply = this->handlers.gossip(readGossip(context.getParams().getMessage()));
            writeGossip(context.getResults().initReply(), reply);
            return kj::READY_NOW;
        }

        kj::Promise<void> fetchState(FetchStateContext context) override
        {
            auto state = this->handlers.state();
            auto out = context.getResults().initState();
            out.setConfig(toData(state.config));
            out.setRegion(toData(state.region));
            return kj::READY_NOW;
        }

    private:
        PeerHandlers handlers;
    };

    /// A connection to a peer and its bootstrap capability.
    struct PeerClient {
        kj::Own<capnp::EzRpcClient> connection;
        wire::Peer::Client main;
    };

    template <class T>
    using Promise = boost::fibers::promise<Result<T, transport::IoError>>;

} // namespace

struct PeerRpc::Impl : kj::TaskSet::ErrorHandler {
    transport::Endpoint listen;
    PeerHandlers handlers;
    std::thread thread;
    std::mutex mutex;
    std::condition_variable condition;
    bool started = false;
    bool listening = false;
    std::atomic<uint64_t> newsBytes { 0 };
    kj::Maybe<const kj::Executor&> executor;
    kj::PromiseFulfiller<void>* stopper = nullptr;
    kj::Timer* timer = nullptr;
    kj::TaskSet* tasks = nullptr;
    std::map<transport::Endpoint, PeerClient> clients; ///< Used on the RPC thread only.

    void taskFailed(kj::Exception&&) override { }

    void signalStart(bool isListening)
    {
        std::lock_guard lock(this->mutex);
        this->started = true;
        this->listening = isListening;
        this->condition.notify_all();
    }

    void run()
    {
        auto exception = kj::runCatchingExceptions([this] {
            capnp::EzRpcServer server(kj::heap<PeerServer>(this->handlers), this->listen.address, this->listen.port);
            auto& scope = server.getWaitScope();
            server.getPort().wait(scope);
            kj::TaskSet taskSet(*this);
            auto stop = kj::newPromiseAndFulfiller<void>();
            this->executor = kj::getCurrentThreadExecutor();
            this->stopper = stop.fulfiller.get();
            this->timer = &server.getIoProvider().getTimer();
            this->tasks = &taskSet;
            this->signalStart(true);
            stop.promise.wait(scope);
            this->clients.clear();
        });
        if (exception != nullptr)
            this->signalStart(false);
    }

    /// The bootstrap capability is asked for once: asking over a connection that has died ends the process.
    wire::Peer::Client connect(const transport::Endpoint& peer)
    {
        auto known = this->clients.find(peer);
        if (known == this->clients.end()) {
            auto rpcClient = kj::heap<capnp::EzRpcClient>(peer.address, peer.port);
            auto main = rpcClient->getMain<wire::Peer>();
            known = this->clients.emplace(peer, PeerClient { kj::mv(rpcClient), kj::mv(main) }).first;
        }
        return known->second.main;
    }

    /// Runs `call` on the RPC thread and waits on the calling fiber for its result.
    template <class T>
    Result<T, transport::IoError> cross(const transport::Endpoint& peer, std::chrono::milliseconds timeout, std::function<kj::Promise<T>(wire::Peer::Client)> call)
    {
        auto promise = std::make_shared<Promise<T>>();
        auto future = promise->get_future();
        KJ_IF_MAYBE (rpcThread, this->executor) {
            rpcThread->executeSync([&] { this->start<T>(peer, timeout, std::move(call), promise); });
        } else {
            return transport::IoError::Refused;
        }
        return future.get();
    }

    template <class T>
    void start(const transport::Endpoint& peer, std::chrono::milliseconds timeout, std::function<kj::Promise<T>(wire::Peer::Client)> call, std::shared_ptr<Promise<T>> promise)
    {
        auto answer = kj::evalNow([&] { return call(this->connect(peer)); });
        auto limited = this->timer->timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(answer));
        auto task = limited.then([promise](T&& value) { promise->set_value(std::move(value)); },
            [this, promise, peer](kj::Exception&& exception) {
                this->clients.erase(peer);
                bool overloaded = exception.getType() == kj::Exception::Type::OVERLOADED;
                promise->set_value(overloaded ? transport::IoError::Timeout : transport::IoError::Closed);
            });
        this->tasks->add(kj::mv(task));
    }
};

PeerRpc::PeerRpc(transport::Endpoint listen, PeerHandlers handlers)
    : impl(std::make_unique<Impl>())
{
    this->impl->listen = std::move(listen);
    this->impl->handlers = std::move(handlers);
    this->impl->thread = std::thread([impl = this->impl.get()] { impl->run(); });
    std::unique_lock lock(this->impl->mutex);
    this->impl->condition.wait(lock, [this] { return this->impl->started; });
}

PeerRpc::~PeerRpc()
{
    KJ_IF_MAYBE (rpcThread, this->impl->executor) {
        rpcThread->executeSync([this] { this->impl->stopper->fulfill(); });
    }
    this->impl->thread.join();
}

uint64_t PeerRpc::gossipBytesSent() const
{
    return this->impl->newsBytes;
}

bool PeerRpc::isListening() const
{
    return this->impl->listening;
}

Result<GossipMessage, transport::IoError> PeerRpc::gossip(const transport::Endpoint& peer, const GossipMessage& message, std::chrono::milliseconds timeout)
{
    return this->impl->cross<GossipMessage>(peer, timeout, [this, &message](wire::Peer::Client client) {
        auto request = client.gossipRequest();
        writeGossip(request.initMessage(), message);
        this->impl->newsBytes += request.asReader().totalSize().wordCount * sizeof(capnp::word);
        return request.send().then([](auto&& response) { return readGossip(response.getReply()); });
    });
}

Result<PeerState, transport::IoError> PeerRpc::fetchState(const transport::Endpoint& peer, std::chrono::milliseconds timeout)
{
    return this->impl->cross<PeerState>(peer, timeout, [](wire::Peer::Client client) {
        return client.fetchStateRequest().send().then([](auto&& response) {
            auto state = response.getState();
            return PeerState { bytes(state.getConfig()), bytes(state.getRegion()) };
        });
    });
}

} // namespace comfreypier::protocol
