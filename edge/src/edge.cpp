/// Creates and connects the parts of the daemon and controls its start, reload and shutdown.
#include "leave_checker.h"
#include "order_task.h"
#include "relay.h"
#include "store_task.h"

#include <thread>

namespace comfreypier::edge {

namespace {

    /// Interval at which a shutdown checks for open requests.
    constexpr milliseconds drainPollInterval { 20 };
    /// Time after SIGTERM during which callers may still connect because of an old directory answer.
    constexpr milliseconds staleDirectoryTime { 6200 };
    /// Shortest suspension of the VM that is logged.
    constexpr milliseconds minSuspension { 200 };
    /// Interval between two checks of how late timers fire.
    constexpr milliseconds timerCheckInterval { 50 };
    /// Timer lateness from which the VM counts as overloaded and callers are directed to other VMs: a large part of the time
    /// that a first token may take.
    constexpr milliseconds minOverloadLateness { 150 };
    /// Number of checks in which the recorded lateness decays to about a third: about two seconds.
    constexpr int latenessDecayChecks = 40;
    /// A VM has one core, and not all state that its fibers share is locked against other threads.
    constexpr unsigned ioThreads = 1;
    /// Maximum number of connections of each of the directory, readiness and metrics servers.
    constexpr uint32_t maxAuxiliaryConnections = 400;

    /// Returns the limits of the callers' server: those of the configuration and the settings' connection limit.
    transport::ServerLimits callerServerLimits(const Settings& settings, const routing::CallerLimits& limits)
    {
        transport::ServerLimits server;
        server.maxHeaderBytes = limits.maxHeaderBytes;
        server.maxBodyBytes = limits.maxBodyBytes;
        server.readTimeout = limits.headerTimeout + limits.idleTimeout;
        server.idleTimeout = limits.idleTimeout;
        server.connectionLimit = settings.connectionLimit;
        server.writeTimeout = settings.writeTimeout;
        return server;
    }

    /// Returns the limits of each of the directory, readiness and metrics servers.
    transport::ServerLimits auxiliaryServerLimits()
    {
        transport::ServerLimits limits;
        limits.connectionLimit = maxAuxiliaryConnections;
        return limits;
    }

} // namespace

struct Edge::Impl {
    explicit Impl(Settings given)
        : settings(std::move(given))
        , runtime(ioThreads)
        , budget(planCallerBudget(this->settings.memoryMegabytes, this->settings.descriptors == 0 ? transport::descriptorLimit() : std::min<uint64_t>(this->settings.descriptors, transport::descriptorLimit())))
        , bufferMemory(this->budget.answerBytes)
        , controlMemory(this->budget.controlBytes)
        , client([this](const auto& answer) { this->recordBrokenAnswer(answer); }, &this->bufferMemory)
        , controlClient(
              [this](const auto& answer) {
                  // The relay records the failures of requests itself.
                  auto now = monotonicNow();
                  this->vm.fleet.updateWorker(this->recordBrokenAnswer(answer), [now](routing::Worker& worker) { routing::recordAnswer(worker, true, Time { 0 }, Time { 0 }, now); });
              },
              &this->controlMemory)
        , vm(this->settings, this->budget, this->bufferMemory, this->client, this->controlClient)
        , crashes(this->vm)
        , peers(this->vm, this->runtime, this->crashes)
        , leaveChecker(this->vm, this->peers)
        , store(
              this->vm, [this](const auto& records) { this->peers.applyMembers(records); },
              [this](const auto& worker) {
                  this->crashes.recordCrash(worker, "entry");
                  this->leaveChecker.checkWorkers();
              },
              [this](const auto& configuration) {
                  this->callerServer.setLimits(callerServerLimits(this->settings, configuration.limits));
                  this->peers.announceConfiguration();
              },
              [this] { this->peers.sendHeartbeat(); },
              [this](const auto& entry) { this->peers.forwardEntry(entry); },
              { [this](Time ownReadAt) { return this->peers.enoughPeersReadWorkers(ownReadAt); }, [this] { return this->peers.enoughPeersFollowStore(); }, [this](uint64_t version) { return this->peers.configurationSources(version); }, { this->settings.node, this->peers.ownIncarnation() } })
        , orders(this->vm, this->peers)
        , quota(this->vm, this->peers)
        , relay(this->vm, this->peers, this->crashes, this->quota, [this] { return this->callerServer.closeSlowReaders(); })
        , callerServer(
              this->runtime, this->settings.front, callerServerLimits(this->settings, {}), [this](const auto& request, auto& writer) { this->relay.serve(request, writer); },
              Relay::refuseMalformed, &this->vm.requestMemory, &this->vm.connections)
        , directoryServer(
              this->runtime, this->settings.directory, auxiliaryServerLimits(), [this](const auto& request, auto& writer) { this->serveDirectory(request, writer); }, Relay::refuseMalformed, &this->vm.requestMemory, &this->vm.connections)
        , readinessServer(
              this->runtime, this->settings.readiness, auxiliaryServerLimits(), [this](const auto& request, auto& writer) { this->serveReadiness(request, writer); }, Relay::refuseMalformed, &this->vm.requestMemory, &this->vm.connections)
        , metricsServer(
              this->runtime, this->settings.metrics, auxiliaryServerLimits(), [this](const auto& request, auto& writer) { this->serveInner(request, writer); }, Relay::refuseMalformed, &this->vm.requestMemory, &this->vm.connections)
    {
    }

    /// Passes what peers report about the store's streams to the store task, and news of crashes to the peers.
    void connectPeerCallbacks()
    {
        this->peers.readsWorkers = [this] { return this->store.hasReadWorkersRecently(); };
        this->peers.readsConfiguration = [this] { return this->store.hasReadConfigurationRecently(); };
        this->peers.onForwardedEntries = [this](const auto& entries) { this->store.applyForwardedEntries(entries); };
        this->peers.onUnknownMember = [this] { this->store.refreshMembers(); };
        this->peers.onQuota = [this](const auto& node, uint64_t incarnation, const auto& message) { this->quota.receive(node, incarnation, message); };
        this->peers.onLeaveNews = [this] { this->leaveChecker.checkWorkers(); };
        this->crashes.onCrash = [this] { this->peers.sendHeartbeat(); };
        this->crashes.onReply = [this](const auto& worker, const auto& reply) { this->peers.recordStatements(worker, reply, "probe"); };
        this->peers.onConfigurationVersion = [this](uint64_t version) { this->store.refreshIfOlderThan(version); };
    }

    /// Counts and logs an answer that is not valid.
    /// @return the id of the worker that sent it; empty if no worker did.
    std::string recordBrokenAnswer(const transport::BrokenAnswer& answer)
    {
        auto worker = this->vm.fleet.workerAt(answer.peer);
        increment(this->vm.counters, CountedEvent::BrokenAnswers);
        this->log.warn("event=broken_answer worker=" + (worker.empty() ? "-" : transport::escapeForLog(worker)) + " " + transport::formatForLog(answer));
        return worker;
    }

    /// Answers a request for the addresses to which callers may connect; 503 if no VM is ready.
    void serveDirectory(const transport::HttpRequest& request, transport::ResponseWriter& writer)
    {
        if (!platform::isDirectoryRequest(request.target)) {
            writer.send(platform::makeErrorResponse(404, "", "unknown_call", std::nullopt));
            return;
        }
        auto query = platform::decodeDirectoryQuery(request.target);
        auto addresses = this->peers.addressesFor(query.dataCentre);
        if (addresses.empty())
            writer.send(platform::makeErrorResponse(503, "", "no_vm_is_ready", std::nullopt));
        else
            writer.send(platform::makeDirectoryResponse(addresses, this->settings.directoryTtl));
    }

    /// Answers a readiness check of the platform: 200 if this VM can serve callers, else 503.
    void serveReadiness(const transport::HttpRequest& request, transport::ResponseWriter& writer) const
    {
        bool ready = platform::isReadinessRequest(request.target) && this->vm.isReady();
        writer.send({ ready ? 200U : 503U, {}, "" });
    }

    /// Answers a request of another VM for the record of the configuration, which holds keys, any other request with the counters.
    void serveInner(const transport::HttpRequest& request, transport::ResponseWriter& writer)
    {
        if (!isConfigurationRequest(request))
            return this->serveMetrics(writer);
        auto asker = decodeConfigurationAsker(request);
        if (!asker || !this->peers.isMember(*asker))
            return static_cast<void>(writer.send(makeConfigurationDenial()));
        auto record = this->vm.fleet.configurationRecord();
        transport::BufferReservation chunk(this->vm.bufferMemory);
        if (record && !chunk.tryHold(configurationChunkBytes))
            return static_cast<void>(writer.send(makeConfigurationRefusal()));
        // A reader that takes long does not keep a record that was replaced.
        sendConfiguration(record, writer, [&] { return this->vm.fleet.configurationRecord() == record; });
    }

    void serveMetrics(transport::ResponseWriter& writer) const
    {
        auto text = formatCounters(this->vm.counters) + this->quota.formatMetrics() + "comfreypier_caller_connections_total " + std::to_string(this->callerServer.stats().accepted) + "\n";
        const auto& connections = this->vm.connections;
        for (size_t i = 0; i < connections.closed.size(); i++)
            text += std::string("comfreypier_connections_closed_total{reason=\"") + transport::name(static_cast<transport::ClosedFor>(i)) + "\"} " + std::to_string(connections.closed[i]) + "\n";
        text += "comfreypier_worker_connections_refused_total " + std::to_string(connections.refusedClientConnections) + "\n";
        text += "comfreypier_connections{with=\"callers\"} " + std::to_string(connections.serverConnections) + "\ncomfreypier_connections{with=\"workers\"} " + std::to_string(connections.clientConnections) + "\n";
        writer.send({ 200, { { "Content-Type", "text/plain" } }, text });
    }

    /// Removes the loads of peers that have become unreachable, and logs when this VM was suspended.
    void monitorPeers()
    {
        // Boot time includes suspensions, monotonic time does not.
        auto suspendedBefore = transport::bootTimeNow() - monotonicNow();
        while (!this->vm.status.stopping) {
            sleepFor(peerTimeout);
            this->peers.forgetUnreachablePeers();
            this->vm.fleet.forgetOldSummaries(monotonicNow() - summaryTimeout);
            // Also of workers that are back after they were dropped.
            this->leaveChecker.checkWorkers();
            auto suspended = transport::bootTimeNow() - monotonicNow();
            if (suspended - suspendedBefore > minSuspension)
                this->log.warn("event=suspended ms=" + formatMilliseconds(suspended - suspendedBefore));
            suspendedBefore = suspended;
        }
    }

    /// Measures how late timers fire, which is the time that callers wait in addition, and marks this VM as overloaded.
    void monitorOverload()
    {
        Time lateness { 0 };
        while (!this->vm.status.stopping) {
            auto before = monotonicNow();
            sleepFor(timerCheckInterval);
            auto latest = monotonicNow() - before - timerCheckInterval;
            // A rise counts immediately, a fall decays exponentially.
            lateness = std::max<Time>(latest, lateness - lateness / latenessDecayChecks);
            // The overload ends only when the lateness falls to half of the threshold.
            bool overloaded = lateness > (this->vm.status.overloaded ? minOverloadLateness / 2 : minOverloadLateness);
            if (this->vm.status.overloaded.exchange(overloaded) == overloaded)
                continue;
            this->log.info("event=strain state=" + std::string(overloaded ? "begin" : "end") + " late_ms=" + formatMilliseconds(lateness) + " open_requests=" + std::to_string(this->callerServer.stats().activeRequests));
        }
    }

    /// Starts all background tasks, each on its own fiber.
    void startTasks()
    {
        this->runtime.spawn([this] { this->store.followConfiguration(); });
        this->runtime.spawn([this] { this->store.followWorkers(); });
        this->runtime.spawn([this] { this->store.followMembers(); });
        this->runtime.spawn([this] { this->peers.run(); });
        this->runtime.spawn([this] { this->quota.run(); });
        this->runtime.spawn([this] { this->peers.announceReader(); });
        this->runtime.spawn([this] { this->orders.maintainLease(); });
        this->runtime.spawn([this] { this->orders.run(); });
        this->runtime.spawn([this] { this->monitorPeers(); });
        this->runtime.spawn([this] { this->monitorOverload(); });
    }

    /// Releases the lease and removes this VM from the members in the store, on fibers that end by themselves if the
    /// store does not answer.
    void unregister()
    {
        this->runtime.spawn([this] { this->orders.releaseLease(); });
        this->runtime.spawn([this] { this->peers.unregister(); });
    }

    Settings settings;
    transport::Runtime runtime;
    const CallerBudget budget;
    transport::BufferMemory bufferMemory;
    transport::BufferMemory controlMemory; ///< For answers of workers to reports, orders and probes.
    transport::HttpClient client;
    transport::HttpClient controlClient;
    Vm vm;
    CrashTracker crashes;
    Peers peers;
    LeaveChecker leaveChecker;
    StoreTask store;
    OrderTask orders;
    QuotaTask quota;
    Relay relay;
    transport::HttpServer callerServer;
    transport::HttpServer directoryServer;
    transport::HttpServer readinessServer;
    transport::HttpServer metricsServer;
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
    transport::keepLargeBlocksApart();
    self.connectPeerCallbacks();
    if (!self.peers.start() || !self.callerServer.start() || !self.directoryServer.start() || !self.readinessServer.start() || !self.metricsServer.start())
        return false;
    self.startTasks();
    self.log.info("event=start node=" + self.settings.node + " data_centre=" + self.settings.dataCentre + " front=" + transport::toString(self.settings.front) + " store=" + transport::toString(self.settings.store));
    return true;
}

void Edge::reload(const Settings& settings)
{
    auto& self = *this->impl;
    if (self.vm.store().address != settings.store) {
        self.vm.setStoreAddress(settings.store);
        self.runtime.spawn([&self] { self.store.onStoreAddressChanged(); });
    }
    transport::setUpLogging(settings.logLevel, settings.partLevels);
    self.log.info("event=reload store=" + transport::toString(settings.store));
}

bool Edge::drain()
{
    auto& self = *this->impl;
    auto start = monotonicNow();
    auto schedule = routing::planDrain(start, self.settings.grace);
    self.log.info("event=stop open_requests=" + std::to_string(self.callerServer.stats().activeRequests));
    self.vm.status.drainingSince = start;
    self.vm.status.draining = true;
    self.callerServer.announceClose();
    self.unregister();
    // Ends early only after callers have stopped connecting because of old directory answers.
    auto mayEndEarly = [&] { return monotonicNow() - start > staleDirectoryTime && self.callerServer.stats().activeRequests == 0; };
    while (monotonicNow() < schedule.closeAt && !mayEndEarly())
        std::this_thread::sleep_for(drainPollInterval);
    self.callerServer.stopAccepting();
    // Requests that had just been accepted get their refusal, and open ones the rest of the time.
    auto closedAt = monotonicNow();
    auto waitForAnswers = [&](Time end) {
        while (monotonicNow() < end && self.callerServer.stats().connections > 0)
            std::this_thread::sleep_for(drainPollInterval);
    };
    waitForAnswers(closedAt + (schedule.endAt - schedule.closeAt));
    // Shared, as the fiber may run after this function has returned.
    auto cutOff = std::make_shared<std::atomic<size_t>>(0);
    self.runtime.spawn([&self, cutOff] { *cutOff = self.relay.endOpenRequests(); });
    waitForAnswers(closedAt + (schedule.exitAt - schedule.closeAt));
    // Callers that read slowly get the rest of the grace period also if the stop ended early.
    while (monotonicNow() < schedule.exitAt && self.callerServer.stats().unreadAnswers > 0)
        std::this_thread::sleep_for(drainPollInterval);
    auto unread = self.callerServer.stats().unreadAnswers;
    auto open = self.callerServer.stats().activeRequests;
    self.vm.status.stopping = true;
    self.log.info("event=stopped cut_off=" + std::to_string(*cutOff) + " open_requests=" + std::to_string(open) + " unread_answers=" + std::to_string(unread));
    return *cutOff == 0 && open == 0;
}

} // namespace comfreypier::edge
