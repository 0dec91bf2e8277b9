#include <daemon/daemon.h>

#include "planner_task.h"
#include "request_dispatcher.h"
#include "snapshot_task.h"
#include "worker_task.h"

#include <algorithm>
#include <thread>

namespace comfreypier::daemon {

namespace {

    constexpr std::chrono::milliseconds startPoll { 20 };
    constexpr std::chrono::milliseconds peerStateTimeout { 1000 };
    /// Time without the log after which a starting node asks its peers.
    constexpr std::chrono::milliseconds askPeersAfter { 1500 };
    constexpr std::chrono::milliseconds releaseLimit { 2000 };
    constexpr std::chrono::milliseconds drainPoll { 20 };

    template <class Replica, class Restore>
    FollowedStream followedStream(std::string name, Replica& replica, Restore restore)
    {
        FollowedStream stream;
        stream.name = std::move(name);
        stream.next = [&replica] { return replica.next(); };
        stream.apply = [&replica](Offset offset, const protocol::Envelope& envelope) { replica.applyRecord(offset, envelope); };
        stream.skip = [&replica](Offset offset) { replica.skip(offset); };
        stream.restore = [&replica, restore](const protocol::Snapshot& snapshot) { replica.restore(restore(snapshot)); };
        return stream;
    }

    /// Tells whether a record may change who holds what.
    bool changesRoutes(const protocol::Envelope& envelope)
    {
        return std::any_of(envelope.entries.begin(), envelope.entries.end(), [](const protocol::Entry& entry) {
            bool ofWorker = std::holds_alternative<protocol::WorkerDeclared>(entry) || std::holds_alternative<protocol::WorkerGone>(entry) || std::holds_alternative<protocol::WorkerRestarted>(entry);
            bool ofItem = std::holds_alternative<protocol::LoadResolved>(entry) || std::holds_alternative<protocol::UnloadIntent>(entry) || std::holds_alternative<protocol::UnloadResolved>(entry);
            return ofWorker || ofItem;
        });
    }

} // namespace

struct Daemon::Impl {
    explicit Impl(protocol::NodeSettings given)
        : settings(std::move(given))
        , runtime(this->settings.threads)
        , node(this->settings, this->client)
        , regionFollower(this->node, followedStream(this->node.regionStream, this->node.region, coordination::restoreRegion))
        , configFollower(this->node, followedStream(this->node.configStream, this->node.config, coordination::restoreConfig))
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
        , rpc(this->settings.rpc, { [this](const auto& message) { return this->gossip.answer(message); }, [this] { return this->stateForPeers(); } })
    {
        this->admin.setServer(this->server);
        this->admin.setRpc(this->rpc);
        this->gossip.setRpc(this->rpc);
        this->node.region.setListener([this](const auto& state, Offset offset, const auto& envelope, const auto& verdicts) {
            this->session.onApplied(state, envelope);
            this->node.queue.confirm(offset, envelope, verdicts);
            if (changesRoutes(envelope))
                this->router.markChanged();
        });
        this->node.config.setListener([this](const auto&, Offset, const auto&, const auto&) { this->router.markChanged(); });
    }

    protocol::PeerState stateForPeers() const
    {
        if (!this->node.lifecycle.caughtUp)
            return {};
        auto region = this->node.region.read([](const auto& state) { return coordination::makeSnapshot(state); });
        auto config = this->node.config.read([](const auto& state) { return coordination::makeSnapshot(state); });
        return { protocol::encodeSnapshot(config), protocol::encodeSnapshot(region) };
    }

    /// Waits until both streams have been read to their end, or a peer's state stands in for them.
    void catchUp()
    {
        auto start = monotonicNow();
        bool warned = false;
        while (!this->node.lifecycle.stopping) {
            bool read = this->regionFollower.caughtUpAt() > Time { 0 } && this->configFollower.caughtUpAt() > Time { 0 };
            if (read || (monotonicNow() - start > askPeersAfter && this->takePeerState())) {
                this->node.lifecycle.caughtUp = true;
                this->router.markChanged();
                this->log.info("ready with configuration up to offset " + std::to_string(this->node.config.next()));
                return;
            }
            if (!warned && monotonicNow() - start > askPeersAfter) {
                warned = true;
                this->log.warn("the log service does not answer, asking peers for their state");
            }
            sleepFor(startPoll);
        }
    }

    /// Asks the entry VMs of the VM list for their replayed state.
    bool takePeerState()
    {
        auto vms = this->node.vmList.list();
        if (!vms)
            return false;
        for (const auto& vm : vms.value()) {
            if (vm.role != protocol::VmRole::Entry || vm.endpoint == this->settings.http)
                continue;
            auto rpcEndpoint = this->findRpc(vm.endpoint);
            if (!rpcEndpoint)
                continue;
            auto state = this->rpc.fetchState(*rpcEndpoint, peerStateTimeout);
            if (!state || state.value().region.empty())
                continue;
            auto region = protocol::decodeSnapshot(state.value().region);
            auto config = protocol::decodeSnapshot(state.value().config);
            if (!region || !config)
                continue;
            this->node.region.restore(coordination::restoreRegion(region.value()));
            this->node.config.restore(coordination::restoreConfig(config.value()));
            this->log.info("took the state of " + vm.name);
            return true;
        }
        return false;
    }

    std::optional<transport::Endpoint> findRpc(const transport::Endpoint& http)
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

    void startDuties()
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

    /// Runs `task` on a fiber and blocks this thread until it has ended.
    void runOnFiber(const std::function<void()>& task)
    {
        std::atomic<bool> done { false };
        this->runtime.spawn([&] {
            task();
            done = true;
        });
        while (!done)
            std::this_thread::sleep_for(drainPoll);
    }

    bool waitForRequests(Time deadline) const
    {
        while (this->server.stats().activeRequests > 0 && monotonicNow() < deadline)
            std::this_thread::sleep_for(drainPoll);
        return this->server.stats().activeRequests == 0;
    }

    protocol::NodeSettings settings;
    transport::Runtime runtime;
    transport::HttpClient client;
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
    this->impl->startDuties();
    this->impl->log.info("node " + this->impl->settings.node + " listens on " + toString(this->impl->settings.http));
    return true;
}

bool Daemon::drain()
{
    auto& self = *this->impl;
    auto start = monotonicNow();
    auto deadline = start + self.settings.drainLimit;
    self.log.info("draining");
    self.node.lifecycle.draining = true;
    std::this_thread::sleep_for(self.settings.leavingNotice);
    self.node.lifecycle.forwarding = true;
    auto holdEnd = start + std::max(self.settings.leavingNotice, self.settings.addressHold);
    if (monotonicNow() < holdEnd)
        std::this_thread::sleep_for(holdEnd - monotonicNow());
    self.server.stopAccepting();
    bool whole = self.waitForRequests(deadline);
    self.runOnFiber([&] { self.session.release(releaseLimit); });
    self.node.lifecycle.stopping = true;
    self.server.closeAll();
    self.runtime.stop(releaseLimit);
    self.log.info(whole ? "drained, nothing was cut off" : "the drain limit has passed with requests open");
    return whole;
}

} // namespace comfreypier::daemon
