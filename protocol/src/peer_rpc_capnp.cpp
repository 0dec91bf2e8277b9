/// Cap'n Proto RPC between nodes. KJ's event loop runs on its own thread; fibers post calls to it and wait for the results.
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

    /// Converts to the 16-bit type of the schema; larger values become `UINT16_MAX`.
    uint16_t clampToUint16(uint32_t value)
    {
        return static_cast<uint16_t>(std::min<uint32_t>(value, UINT16_MAX));
    }

    void writeUpdate(wire::News::Builder to, const PeerUpdate& update)
    {
        to.setKind(static_cast<uint8_t>(update.key.kind));
        to.setName(update.key.name);
        to.setSession(update.version.session);
        to.setCounter(update.version.counter);
        to.setDraining(update.draining);
        to.setConfigOffset(update.configOffset);
        to.setRunning(clampToUint16(update.running));
        to.setWaiting(clampToUint16(update.waiting));
        to.setSlots(clampToUint16(update.slots));
        to.setFirstTokenUs(static_cast<uint32_t>(update.firstTokenTime.count()));
        to.setTokenGapUs(static_cast<uint32_t>(update.tokenGap.count()));
        to.setCount(update.count);
    }

    PeerUpdate readUpdate(wire::News::Reader in)
    {
        PeerUpdate update;
        update.key = { static_cast<PeerUpdateKind>(in.getKind()), text(in.getName()) };
        update.version = { in.getSession(), in.getCounter() };
        update.draining = in.getDraining();
        update.configOffset = in.getConfigOffset();
        update.running = in.getRunning();
        update.waiting = in.getWaiting();
        update.slots = in.getSlots();
        update.firstTokenTime = std::chrono::microseconds { in.getFirstTokenUs() };
        update.tokenGap = std::chrono::microseconds { in.getTokenGapUs() };
        update.count = in.getCount();
        return update;
    }

    void writeGossip(wire::Gossip::Builder to, const GossipMessage& message)
    {
        to.setFrom(message.from);
        auto list = to.initNews(static_cast<uint32_t>(message.updates.size()));
        for (uint32_t i = 0; i < message.updates.size(); i++)
            writeUpdate(list[i], message.updates[i]);
    }

    /// Skips updates of kinds that this build does not know.
    GossipMessage readGossip(wire::Gossip::Reader in)
    {
        GossipMessage message;
        message.from = text(in.getFrom());
        for (auto update : in.getNews()) {
            if (update.getKind() < static_cast<uint8_t>(PeerUpdateKind::Count))
                message.updates.push_back(readUpdate(update));
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
        wire::Peer::Client bootstrap;
    };

    template <class T>
    using Promise = boost::fibers::promise<Result<T, transport::IoError>>;

} // namespace

struct PeerRpc::Impl : kj::TaskSet::ErrorHandler {
    transport::Endpoint listen;
    PeerHandlers handlers;
    std::thread thread;
    std::mutex mutex; ///< Protects `started` and `listening` while the constructor waits.
    std::condition_variable condition; ///< Notified when `started` is set.
    bool started = false; ///< The server has started or failed to start.
    bool listening = false;
    std::atomic<uint64_t> gossipBytes { 0 }; ///< See `gossipBytesSent`.
    kj::Maybe<const kj::Executor&> executor; ///< Empty if the server did not start.
    // These point to objects of `run` and are used on the RPC thread only.
    kj::PromiseFulfiller<void>* stopFulfiller = nullptr; ///< Ends `run`.
    kj::Timer* timer = nullptr;
    kj::TaskSet* tasks = nullptr; ///< Pending calls.
    std::map<transport::Endpoint, PeerClient> clients; ///< Used on the RPC thread only.

    /// Does nothing, because `startCall` handles the errors of its calls.
    void taskFailed(kj::Exception&&) override { }

    /// Wakes the constructor, which waits until the server has started or failed to start.
    void notifyStarted(bool isListening)
    {
        std::lock_guard lock(this->mutex);
        this->started = true;
        this->listening = isListening;
        this->condition.notify_all();
    }

    /// Runs the event loop until `stopFulfiller` is fulfilled.
    void run()
    {
        auto exception = kj::runCatchingExceptions([this] {
            capnp::EzRpcServer server(kj::heap<PeerServer>(this->handlers), this->listen.address, this->listen.port);
            auto& waitScope = server.getWaitScope();
            server.getPort().wait(waitScope); // Throws if the address can't be bound.
            kj::TaskSet taskSet(*this);
            auto stop = kj::newPromiseAndFulfiller<void>();
            this->executor = kj::getCurrentThreadExecutor();
            this->stopFulfiller = stop.fulfiller.get();
            this->timer = &server.getIoProvider().getTimer();
            this->tasks = &taskSet;
            this->notifyStarted(true);
            stop.promise.wait(waitScope);
            this->clients.clear();
        });
        if (exception != nullptr)
            this->notifyStarted(false);
    }

    /// Returns the bootstrap capability of `peer`. It is requested once per connection, because requesting it on a dead
    /// connection terminates the process.
    wire::Peer::Client connect(const transport::Endpoint& peer)
    {
        auto entry = this->clients.find(peer);
        if (entry == this->clients.end()) {
            auto rpcClient = kj::heap<capnp::EzRpcClient>(peer.address, peer.port);
            auto bootstrap = rpcClient->getMain<wire::Peer>();
            entry = this->clients.emplace(peer, PeerClient { kj::mv(rpcClient), kj::mv(bootstrap) }).first;
        }
        return entry->second.bootstrap;
    }

    /// Runs `call` on the RPC thread and blocks the calling fiber until its result arrives.
    /// @return `Refused` if the RPC thread is not running, `Timeout` or `Closed` if the call failed.
    template <class T>
    Result<T, transport::IoError> callPeer(const transport::Endpoint& peer, std::chrono::milliseconds timeout, std::function<kj::Promise<T>(wire::Peer::Client)> call)
    {
        auto promise = std::make_shared<Promise<T>>();
        auto future = promise->get_future();
        KJ_IF_MAYBE (rpcThread, this->executor) {
            // Blocks the I/O thread, but only until the call has been started.
            rpcThread->executeSync([&] { this->startCall<T>(peer, timeout, std::move(call), promise); });
        } else {
            return transport::IoError::Refused;
        }
        return future.get();
    }

    /// Starts `call`, and sets `promise` when it has ended. Runs on the RPC thread. A failed call drops the connection, so that the next
    /// one reconnects.
    template <class T>
    void startCall(const transport::Endpoint& peer, std::chrono::milliseconds timeout, std::function<kj::Promise<T>(wire::Peer::Client)> call, std::shared_ptr<Promise<T>> promise)
    {
        auto response = kj::evalNow([&] { return call(this->connect(peer)); });
        auto responseOrTimeout = this->timer->timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(response));
        auto task = responseOrTimeout.then([promise](T&& value) { promise->set_value(std::move(value)); },
            [this, promise, peer](kj::Exception&& exception) {
                this->clients.erase(peer);
                // KJ reports the timeout as an exception of type OVERLOADED.
                bool timedOut = exception.getType() == kj::Exception::Type::OVERLOADED;
                promise->set_value(timedOut ? transport::IoError::Timeout : transport::IoError::Closed);
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
        rpcThread->executeSync([this] { this->impl->stopFulfiller->fulfill(); });
    }
    this->impl->thread.join();
}

uint64_t PeerRpc::gossipBytesSent() const
{
    return this->impl->gossipBytes;
}

bool PeerRpc::isListening() const
{
    return this->impl->listening;
}

Result<GossipMessage, transport::IoError> PeerRpc::gossip(const transport::Endpoint& peer, const GossipMessage& message, std::chrono::milliseconds timeout)
{
    return this->impl->callPeer<GossipMessage>(peer, timeout, [this, &message](wire::Peer::Client client) {
        auto request = client.gossipRequest();
        writeGossip(request.initMessage(), message);
        this->impl->gossipBytes += request.asReader().totalSize().wordCount * sizeof(capnp::word);
        return request.send().then([](auto&& response) { return readGossip(response.getReply()); });
    });
}

Result<PeerState, transport::IoError> PeerRpc::fetchState(const transport::Endpoint& peer, std::chrono::milliseconds timeout)
{
    return this->impl->callPeer<PeerState>(peer, timeout, [](wire::Peer::Client client) {
        return client.fetchStateRequest().send().then([](auto&& response) {
            auto state = response.getState();
            return PeerState { bytes(state.getConfig()), bytes(state.getRegion()) };
        });
    });
}

} // namespace comfreypier::protocol
