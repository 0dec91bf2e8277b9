#include <daemon/daemon.h>

#include "planner_task.h"
#include "request_dispatcher.h"
#include "snapshot_task.h"
#include "worker_task.h"

#include <algorithm>
#include <thread>

namespace comfreypier::daemon {

namespace {

    constexpr std::chrono::milliseconds catchUpPollInterval { 20 };
    /// Time limit for each of the two calls that fetch a peer's state.
    constexpr std::chrono::milliseconds peerStateTimeout { 1000 };
    /// Time after the start at which a node that has not caught up with the log asks its peers for their state.
    constexpr std::chrono::milliseconds peerStateDelay { 1500 };
    /// Time limit for releasing the session, and again for stopping the runtime.
    constexpr std::chrono::milliseconds shutdownTimeout { 2000 };
    constexpr std::chrono::milliseconds drainPollInterval { 20 };

    /// Connects a replica to the log stream `name`.
    /// @param restore converts a snapshot into the replica's state.
    template <class Replica, class Restore>
    FollowedStream makeFollowedStream(std::string name, Replica& replica, Restore restore)
    {
        FollowedStream stream;
        stream.name = std::move(name);
        stream.next = [&replica] { return replica.next(); };
        stream.apply = [&replica](Offset offset, const protocol::Envelope& envelope) { replica.applyRecord(offset, envelope); };
        stream.skip = [&replica](Offset offset) { replica.skip(offset); };
        stream.restore = [&replica, restore](const protocol::Snapshot& snapshot) { replica.restore(restore(snapshot)); };
        return stream;
    }

    /// Returns whether a record may change which worker serves which item. An intent to load does not: its item is not loaded yet.
    bool mayChangeRoutes(const protocol::Envelope& envelope)
    {
        return std::any_of(envelope.entries.begin(), envelope.entries.end(), [](const protocol::Entry& entry) {
            bool changesWorker = std::holds_alternative<protocol::WorkerDeclared>(entry) || std::holds_alternative<protocol::WorkerGone>(entry) || std::holds_alternative<protocol::WorkerRestarted>(entry);
            bool changesItem = std::holds_alternative<protocol::LoadResolved>(entry) || std::holds_alternative<protocol::UnloadIntent>(entry) || std::holds_alternative<protocol::UnloadResolved>(entry);
            return changesWorker || changesItem;
        });
    }

} // namespace

struct Daemon::Impl {
    explicit Impl(protocol::NodeSettings nodeSettings)
        : settings(std::move(nodeSettings))
        , runtime(this->settings.threads)
        , answerMemory(this->settings.answerMemory)
        , client([this](const auto& answer) { this->recordBrokenAnswer(answer); }, &this->answerMemory)
        , controlClient([this](const auto& answer) { this->recordBrokenAnswer(answer); }, &this->answerMemory)
        , node(this->settings, this->answerMemory, this->client, this->controlClient)
        , regionFollower(this->node, makeFollowedStream(this->node.regionStream, this->node.region, coordination::restoreRegion))
        , configFollower(this->node, makeFollowedStream(this->node.configStream, this->node.config, coordination::restoreConfig))
        , writer(this->node, this->regionFollower)
        , session(this->node, this->writer, this->regionFollower)
        , gossip(this->node, this->session)
        , router(this->node)
        , workers(this->node, this->writer, this->session, this->gossip)
        , planner(this->node, this->writer, this->session, this->gossip)
        , snapshots(this->node, this->writer, this->session)
        , completions(this->node, this->router, this->gossip)
        , plain(this->node, this->writer, this->session)
        , peerForwarder(this->node, this->gossip)
        , admin(this->node, this->router, this->gossip, this->session)
        , dispatcher(this->node, this->completions, this->plain, this->peerForwarder, this->admin)
        , server(
              this->runtime, this->settings.http, this->settings.server, [this](const auto& request, auto& response) { this->dispatcher.serve(request, response); },
              [this](unsigned status, std::string_view reason) { return this->dispatcher.refuseMalformed(status, reason); })
        , rpc(this->settings.rpc, { [this](const auto& message) { return this->gossip.handleMessage(message); }, [this] { return this->makePeerState(); } })
    {
        this->admin.setServer(this->server);
        this->admin.setRpc(this->rpc);
        this->gossip.setRpc(this->rpc);
        this->node.region.setListener([this](const auto& state, Offset offset, const auto& envelope, const auto& verdicts) {
            // Runs under the exclusive lock of the replica.
            this->session.onApplied(state, envelope);
            this->node.queue.confirm(offset, envelope, verdicts);
            if (mayChangeRoutes(envelope))
                this->router.scheduleRebuild();
        });
        this->node.config.setListener([this](const auto&, Offset, const auto&, const auto&) { this->router.scheduleRebuild(); });
    }

    void recordBrokenAnswer(const transport::BrokenAnswer& answer)
    {
        add(this->node.counters, state::Counter::BrokenAnswers);
        this->log.warn("broken answer: " + transport::formatForLog(answer));
    }

    /// Returns the replayed state for a peer that starts while the log is unavailable. Empty until this node has caught up.
    protocol::PeerState makePeerState() const
    {
        if (!this->node.lifecycle.caughtUp)
            return {};
        auto region = this->node.region.read([](const auto& state) { return coordination::makeSnapshot(state); });
        auto config = this->node.config.read([](const auto& state) { return coordination::makeSnapshot(state); });
        return { protocol::encodeSnapshot(config), protocol::encodeSnapshot(region) };
    }

    /// Waits until both streams have been read to their end. After `peerStateDelay`, also tries to restore a peer's
    /// state instead.
    void catchUp()
    {
        auto start = monotonicNow();
        bool hasWarned = false;
        while (!this->node.lifecycle.stopping) {
            bool streamsRead = this->regionFollower.caughtUpAt() > Time { 0 } && this->configFollower.caughtUpAt() > Time { 0 };
            if (streamsRead || (monotonicNow() - start > peerStateDelay && this->restoreFromPeer())) {
                this->node.lifecycle.caughtUp = true;
                this->router.scheduleRebuild();
                this->log.info("ready, configuration replayed up to offset " + std::to_string(this->node.config.next()));
                return;
            }
            if (!hasWarned && monotonicNow() - start > peerStateDelay) {
                hasWarned = true;
                this->log.warn("the log has not been read to its end, asking peers for their state");
            }
            sleepFor(catchUpPollInterval);
        }
    }

    /// Restores the replayed state of the first entry VM on the VM list that returns one.
    /// @return false if no peer returned a usable state.
    bool restoreFromPeer()
    {
        auto vms = this->node.vmList.list();
        if (!vms)
            return false;
        for (const auto& vm : vms.value()) {
            if (vm.role != protocol::VmRole::Entry || vm.endpoint == this->settings.http)
                continue;
            auto rpcEndpoint = this->fetchRpcEndpoint(vm.endpoint);
            if (!rpcEndpoint)
                continue;
            auto state = this->rpc.fetchState(*rpcEndpoint, peerStateTimeout);
            // The state is empty if the peer has not caught up either.
            if (!state || state.value().region.empty())
                continue;
            auto region = protocol::decodeSnapshot(state.value().region);
            auto config = protocol::decodeSnapshot(state.value().config);
            if (!region || !config)
                continue;
            this->node.region.restore(coordination::restoreRegion(region.value()));
            this->node.config.restore(coordination::restoreConfig(config.value()));
            this->log.info("restored the state of peer " + vm.name);
            return true;
        }
        return false;
    }

    /// Asks the node at `http` for the address of its RPC listener.
    /// @return nothing if it does not answer with a valid address.
    std::optional<transport::Endpoint> fetchRpcEndpoint(const transport::Endpoint& http)
    {
        transport::CallLimits limits;
        limits.response = peerStateTimeout;
        auto response = this->client.call(http, { "GET", "/admin/rpc", {}, {} }, limits);
        if (!response || response.value().status != 200)
            return std::nullopt;
        auto text = response.value().body;
        auto endpoint = transport::parseEndpoint(text.substr(0, text.find('\n')));
        return endpoint ? std::optional(endpoint.value()) : std::nullopt;
    }

    void startTasks()
    {
        this->runtime.spawn([this] { this->regionFollower.run(); });
        this->runtime.spawn([this] { this->configFollower.run(); });
        this->runtime.spawn([this] { this->writer.run(); });
        this->runtime.spawn([this] { this->catchUp(); });
        this->runtime.spawn([this] { this->session.run(); });
        this->runtime.spawn([this] { this->router.run(); });
        this->runtime.spawn([this] { this->workers.run(); });
        this->runtime.spawn([this] { this->planner.run(); });
        this->runtime.spawn([this] { this->snapshots.run(); });
        this->runtime.spawn([this] { this->gossip.run(); });
    }

    /// Runs `task` on a fiber, which functions that wait for an event require, and blocks this thread until it has returned.
    void runOnFiber(const std::function<void()>& task)
    {
        std::atomic<bool> done { false };
        this->runtime.spawn([&] {
            task();
            done = true;
        });
        while (!done)
            std::this_thread::sleep_for(drainPollInterval);
    }

    /// Waits until no request is open and all answers are read, or the deadline has passed.
    /// @return whether all requests completed.
    bool waitForRequests(Time deadline) const
    {
        auto isDone = [this] {
            auto stats = this->server.stats();
            return stats.activeRequests == 0 && stats.unreadAnswers == 0;
        };
        while (!isDone() && monotonicNow() < deadline)
            std::this_thread::sleep_for(drainPollInterval);
        return isDone();
    }

    protocol::NodeSettings settings;
    transport::Runtime runtime;
    transport::BufferMemory answerMemory;
    transport::HttpClient client;
    transport::HttpClient controlClient;
    Node node;
    LogFollower regionFollower;
    LogFollower configFollower;
    LogWriter writer;
    SessionKeeper session;
    GossipTask gossip;
    Router router;
    WorkerTask workers;
    PlannerTask planner;
    SnapshotTask snapshots;
    CompletionHandler completions;
    PlainCallHandler plain;
    PeerForwarder peerForwarder;
    Admin admin;
    RequestDispatcher dispatcher;
    transport::HttpServer server;
    protocol::PeerRpc rpc;
    transport::Log log { "daemon" };
};

Daemon::Daemon(protocol::NodeSettings settings)
    : impl(std::make_unique<Impl>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

bool Daemon::start()
{
    if (!this->impl->rpc.isListening() || !this->impl->server.start())
        return false;
    this->impl->startTasks();
    this->impl->log.info("node " + this->impl->settings.node + " listens on " + toString(this->impl->settings.http));
    return true;
}

bool Daemon::drain()
{
    auto& self = *this->impl;
    auto start = monotonicNow();
    auto deadline = start + self.settings.drainTimeout;
    self.log.info("draining");
    self.node.lifecycle.draining = true;
    // Peers learn meanwhile that this node drains. It still serves new requests itself.
    std::this_thread::sleep_for(self.settings.drainNotice);
    self.node.lifecycle.forwarding = true;
    // Callers use cached addresses for up to `addressCacheTtl`, so the listener stays open that long and requests are forwarded.
    auto acceptUntil = start + std::max(self.settings.drainNotice, self.settings.addressCacheTtl);
    if (monotonicNow() < acceptUntil)
        std::this_thread::sleep_for(acceptUntil - monotonicNow());
    self.server.stopAccepting();
    bool allCompleted = self.waitForRequests(deadline);
    self.runOnFiber([&] { self.session.release(shutdownTimeout); });
    self.node.lifecycle.stopping = true;
    self.server.closeAll();
    self.runtime.stop(shutdownTimeout);
    self.log.info(allCompleted ? "drained, all requests completed" : "drain limit reached, open requests were cut off");
    return allCompleted;
}

} // namespace comfreypier::daemon
