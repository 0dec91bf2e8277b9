/// Wires the daemon's parts together on the platform.
#include "order_task.h"
#include "relay.h"
#include "store_task.h"

#include <thread>

namespace comfreypier::edge {

namespace {

    constexpr milliseconds drainPoll { 20 };
    /// Time after SIGTERM from which new requests are sent away: a longer one could be cut off at the end.
    constexpr milliseconds refuseAfter { 3000 };
    /// Time after SIGTERM in which callers may still come with an old answer of the directory.
    constexpr milliseconds staleCallers { 6200 };
    /// Part of the grace that is left for the end of the process.
    constexpr milliseconds endTime { 400 };
    /// Shortest suspension of the VM that is worth a log line.
    constexpr milliseconds suspensionLeast { 200 };
    /// Pause between two looks at how late timers fire.
    constexpr milliseconds strainPause { 50 };
    /// Lateness from which callers are sent elsewhere: a good part of what a first token may take.
    constexpr milliseconds strainLeast { 150 };
    /// Looks in which a lateness fades to about a third: some two seconds.
    constexpr int strainFade = 40;
    /// A VM has one core, and what its fibers share is not locked against other threads everywhere.
    constexpr unsigned ioThreads = 1;
    /// Requests that the directory, readiness and metrics listeners take at once.
    constexpr uint32_t sideConnections = 400;

    transport::ServerLimits frontLimits(const Settings& settings, const routing::CallerLimits& limits)
    {
        transport::ServerLimits server;
        server.headerLimit = limits.headerBytes;
        server.bodyLimit = limits.bodyBytes;
        server.readTimeout = limits.headerTimeout + limits.idleTimeout;
        server.idleTimeout = limits.idleTimeout;
        server.connectionLimit = settings.connectionLimit;
        return server;
    }

    transport::ServerLimits sideLimits()
    {
        transport::ServerLimits limits;
        limits.connectionLimit = sideConnections;
        return limits;
    }

} // namespace

struct Edge::Impl {
    explicit Impl(Settings given)
        : settings(std::move(given))
        , runtime(ioThreads)
        , vm(this->settings, this->client)
        , peers(this->vm, this->runtime)
        , store(
              this->vm, [this](const auto& node, const auto& member) { this->peers.onMember(node, member); },
              [this](const auto& worker) { this->noteCrash(worker); },
              [this](const auto& configuration) { this->front.setLimits(frontLimits(this->settings, configuration.limits)); },
              [this](const auto& entry) { this->peers.passOn(entry); }, [this] { return this->peers.othersRead(); })
        , orders(this->vm, this->peers)
        , relay(this->vm, this->peers)
        , front(
              this->runtime, this->settings.front, frontLimits(this->settings, {}), [this](const auto& request, auto& writer) { this->relay.serve(request, writer); },
              Relay::refuseMalformed)
        , directory(
              this->runtime, this->settings.directory, sideLimits(), [this](const auto& request, auto& writer) { this->serveDirectory(request, writer); }, Relay::refuseMalformed)
        , readiness(
              this->runtime, this->settings.readiness, sideLimits(), [this](const auto& request, auto& writer) { this->serveReadiness(request, writer); }, Relay::refuseMalformed)
        , metrics(
              this->runtime, this->settings.metrics, sideLimits(), [this](const auto&, auto& writer) { writer.send({ 200, { { "Content-Type", "text/plain" } }, formatCounters(this->vm.counters) }); }, Relay::refuseMalformed)
    {
    }

    /// Connects what peers say of the store with its follower.
    void connectPeers()
    {
        this->peers.readsWorkers = [this] { return this->store.readsWorkers(); };
        this->peers.onEntries = [this](const auto& entries) { this->store.hearEntries(entries); };
        this->peers.onVersion = [this](uint64_t version) { this->store.hearVersion(version); };
    }

    void noteCrash(const std::string& worker)
    {
        std::lock_guard lock(this->peers.suspectMutex);
        this->peers.suspects.noteCrash(worker, monotonicNow());
    }

    void serveDirectory(const transport::HttpRequest& request, transport::ResponseWriter& writer)
    {
        if (!platform::isDirectoryCall(request.target)) {
            writer.send(platform::makeRefusal(404, "", "unknown_call", std::nullopt));
            return;
        }
        auto query = platform::decodeDirectoryQuery(request.target);
        auto addresses = this->peers.addressesFor(query.dataCentre);
        if (addresses.empty())
            writer.send(platform::makeRefusal(503, "", "no_vm_is_ready", std::nullopt));
        else
            writer.send(platform::makeDirectoryAnswer(addresses, this->settings.directoryKeep));
    }

    void serveReadiness(const transport::HttpRequest& request, transport::ResponseWriter& writer) const
    {
        bool ready = platform::isReadinessCall(request.target) && this->vm.isReady();
        writer.send({ ready ? 200U : 503U, {}, "" });
    }

    /// Forgets the loads of peers that fell silent, and notes when this VM was suspended.
    void watchPeers()
    {
        auto suspendedBefore = transport::bootTimeNow() - monotonicNow();
        while (!this->vm.phase.stopping) {
            sleepFor(peerSilence);
            this->peers.forgetSilent();
            auto suspended = transport::bootTimeNow() - monotonicNow();
            if (suspended - suspendedBefore > suspensionLeast)
                this->log.warn("event=suspended ms=" + milliText(suspended - suspendedBefore));
            suspendedBefore = suspended;
        }
    }

    /// Measures by how much timers fire late, which is what callers wait in addition.
    void watchStrain()
    {
        Time late { 0 };
        while (!this->vm.phase.stopping) {
            auto before = monotonicNow();
            sleepFor(strainPause);
            auto now = monotonicNow() - before - strainPause;
            // A rise counts at once, a fall by and by.
            late = std::max<Time>(now, late - late / strainFade);
            bool strained = late > (this->vm.phase.strained ? strainLeast / 2 : strainLeast);
            if (this->vm.phase.strained.exchange(strained) == strained)
                continue;
            this->log.info("event=strain state=" + std::string(strained ? "begin" : "end") + " late_ms=" + milliText(late) + " open_requests=" + std::to_string(this->front.stats().activeRequests));
        }
    }

    void startDuties()
    {
        this->runtime.spawn([this] { this->store.followConfiguration(); });
        this->runtime.spawn([this] { this->store.followWorkers(); });
        this->runtime.spawn([this] { this->store.followMembers(); });
        this->runtime.spawn([this] { this->peers.run(); });
        this->runtime.spawn([this] { this->orders.keepLease(); });
        this->runtime.spawn([this] { this->orders.run(); });
        this->runtime.spawn([this] { this->watchPeers(); });
        this->runtime.spawn([this] { this->watchStrain(); });
    }

    /// Tells the store that this VM leaves; ends by itself if the store does not answer.
    void resign()
    {
        this->runtime.spawn([this] { this->orders.release(); });
        this->runtime.spawn([this] { this->peers.resign(); });
    }

    Settings settings;
    transport::Runtime runtime;
    transport::HttpClient client;
    Vm vm;
    Peers peers;
    StoreTask store;
    OrderTask orders;
    Relay relay;
    transport::HttpServer front;
    transport::HttpServer directory;
    transport::HttpServer readiness;
    transport::HttpServer metrics;
    transport::Log log { "edge" };
};

Edge::Edge(Settings settings)
    : impl(std::make_unique<Impl>(std::move(settings)))
{
}

Edge::~Edge() = default;

bool Edge::start()
{
    auto& self = *this->impl;
    self.connectPeers();
    if (!self.peers.start() || !self.front.start() || !self.directory.start() || !self.readiness.start() || !self.metrics.start())
        return false;
    self.startDuties();
    self.log.info("event=start node=" + self.settings.node + " data_centre=" + self.settings.dataCentre + " front=" + transport::toString(self.settings.front) + " store=" + transport::toString(self.settings.store));
    return true;
}

void Edge::reload(const Settings& settings)
{
    auto& self = *this->impl;
    if (self.vm.store().address != settings.store) {
        self.vm.setStoreAddress(settings.store);
        self.runtime.spawn([&self] { self.store.noteMove(); });
    }
    transport::setUpLogging(settings.logLevel, settings.partLevels);
    self.log.info("event=reload store=" + transport::toString(settings.store));
}

bool Edge::drain()
{
    auto& self = *this->impl;
    auto start = monotonicNow();
    auto end = start + self.settings.grace - endTime;
    self.log.info("event=stop open_requests=" + std::to_string(self.front.stats().activeRequests));
    self.vm.phase.leaving = true;
    self.front.announceClose();
    self.resign();
    while (monotonicNow() < end) {
        auto passed = monotonicNow() - start;
        if (passed > refuseAfter)
            self.vm.phase.refusing = true;
        if (passed > staleCallers && self.front.stats().activeRequests == 0)
            break;
        std::this_thread::sleep_for(drainPoll);
    }
    auto open = self.front.stats().activeRequests;
    self.front.stopAccepting();
    self.vm.phase.stopping = true;
    self.log.info("event=stopped open_requests=" + std::to_string(open));
    return open == 0;
}

} // namespace comfreypier::edge
