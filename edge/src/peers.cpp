#include "peers.h"

#include "heartbeat_split.h"

namespace comfreypier::edge {

namespace {

    /// Minimum gap between two full heartbeats if this VM is alone in its group.
    constexpr milliseconds baseHeartbeatGap { 3 };
    /// Increase of that gap for each further VM of the group.
    constexpr std::chrono::milliseconds heartbeatGapPerMember { 4 };
    /// Minimum time after a change for which every full heartbeat of the lease holder carries the changed worker's models and
    /// adapters.
    constexpr milliseconds residentRepeatTime { 500 };
    /// Maximum age of the changes in a partial heartbeat that is sent at once to VMs with missing items.
    constexpr milliseconds maxUrgentChangeAge { 100 };
    /// Number of workers whose models and adapters each full heartbeat carries in turn, without a change.
    constexpr size_t residentWorkersInTurn = 3;
    /// A VM leaves the lease to a peer with at least this many times its capacity.
    constexpr double strongerCapacityRatio = 1.5;
    /// Minimum demand for a model that is sent to other VMs, in worker seconds per second.
    constexpr double minSentDemand = 0.005;

    /// Maximum size of the worker records in a heartbeat. The rest follows in the next ones: the receive buffers of the other VMs hold a few
    /// datagrams of the largest size only.
    constexpr size_t maxForwardedBytes = 16 * 1024;
    /// Maximum number of missing items that a heartbeat names. They are in each of its parts.
    constexpr size_t maxSentMissingItems = 200;
    /// Minimum interval between two log lines about dropped heartbeats.
    constexpr std::chrono::seconds dropLogInterval { 10 };

    /// Time for which heartbeats of an unknown member come before the members are read on a new connection. Longer than a read usually
    /// takes to learn of it.
    constexpr milliseconds unknownMemberDelay { 1500 };
    /// Maximum number of unknown senders that are remembered.
    constexpr size_t maxUnknownSenders = 512;
    /// Maximum number of former incarnations of VMs that are remembered, and of refused ones.
    constexpr size_t maxFormerIncarnations = 1024;
    /// Number of reads of the members after which a peer without a record is dropped. The first may have begun before it was known.
    constexpr unsigned maxReadsWithoutRecord = 2;
    /// Maximum number of peers without a record.
    constexpr size_t maxUnrecordedPeers = 512;
    /// Delay between two attempts to publish the member record.
    constexpr std::chrono::seconds publishRetryDelay { 1 };

} // namespace

Peers::Peers(Vm& vm, transport::Runtime& runtime, CrashTracker& crashes)
    : vm(vm)
    , crashes(crashes)
    , socket(runtime, vm.settings.inner, [this](std::string_view bytes) { this->receive(bytes); })
    , incarnation(protocol::makeRandomId().high)
{
}

bool Peers::start()
{
    return this->socket.start();
}

std::optional<Member> Peers::newMember() const
{
    bool isNew = this->isPublished && monotonicNow() - this->publishedSince < memberRepeatTime;
    return isNew ? std::optional(this->ownMember()) : std::nullopt;
}

Member Peers::ownMember() const
{
    return { this->incarnation, this->vm.settings.inner, this->vm.settings.front, this->vm.settings.dataCentre, capacityInCores(this->vm.settings) };
}

void Peers::publishMember()
{
    increment(this->vm.counters, CountedEvent::StoreCalls);
    auto result = platform::append(this->vm.store(), platform::Stream::Members, this->vm.settings.node, encodeMember(this->ownMember()));
    if (!result) {
        increment(this->vm.counters, CountedEvent::StoreFailures);
        return;
    }
    this->publishedSince = monotonicNow();
    this->publishedAt = { this->vm.storeEra.resolve(result.value().era), result.value().offset };
    this->isPublished = this->publishedAt.era == this->vm.storeEra.current();
}

void Peers::run()
{
    Time lastPublishAt { -std::chrono::hours { 1 } };
    while (!this->vm.status.stopping) {
        // On its own fiber: the heartbeats must not wait for the store.
        if (!this->isPublished && !this->vm.status.draining && monotonicNow() - lastPublishAt > publishRetryDelay) {
            lastPublishAt = monotonicNow();
            transport::spawnOnCurrentThread([this] { this->publishMember(); });
        }
        this->sendHeartbeat();
        milliseconds interval;
        {
            std::lock_guard lock(this->mutex);
            interval = this->groupInterval();
        }
        this->vm.fleet.setPeerUpdateAge(interval);
        sleepFor(interval);
    }
    // Waits for the publishing fiber.
    while (!this->isPublished && monotonicNow() - lastPublishAt < platform::storeConnectTimeout + platform::storeResponseTimeout)
        sleepFor(heartbeatInterval);
}

void Peers::updateLimitSharers()
{
    if (!this->vm.status.membersKnown)
        return;
    std::vector<std::string> names;
    {
        std::lock_guard lock(this->mutex);
        if (!std::exchange(this->membersChanged, false))
            return;
        for (const auto& [node, peer] : this->peers)
            names.push_back(node);
    }
    if (!this->vm.status.draining)
        names.push_back(this->vm.settings.node);
    this->vm.fleet.setMembers(std::move(names));
}

void Peers::updateGroup()
{
    this->membersChanged = true;
    this->groupPeerCount = 0;
    for (auto& [node, peer] : this->peers) {
        peer.inGroup = this->peers.size() < maxGroupSize || peer.member.dataCentre == this->vm.settings.dataCentre;
        this->groupPeerCount += peer.inGroup ? 1 : 0;
    }
}

milliseconds Peers::groupInterval() const
{
    return std::max(heartbeatInterval, heartbeatIntervalPerMember * static_cast<int>(this->groupPeerCount + 1));
}

milliseconds Peers::timeoutFor(const Peer& peer) const
{
    if (peer.inGroup)
        return std::max(peerTimeout, peerTimeoutHeartbeats * this->groupInterval());
    return peerTimeoutHeartbeats * (peer.leaseToken != 0 ? crossGroupLeaseHolderInterval : crossGroupHeartbeatInterval);
}

bool Peers::isReachable(const Peer& peer, Time now) const
{
    return now - peer.lastHeartbeatAt < this->timeoutFor(peer);
}

bool Peers::isAlive(const Peer& peer, Time now) const
{
    return now - peer.lastHeartbeatAt <= std::max(unreachablePeerInterval, this->timeoutFor(peer));
}

bool Peers::isLeaseHolder(const Peer& peer, Time now) const
{
    return peer.leaseToken != 0 && this->isReachable(peer, now);
}

Time Peers::minHeartbeatGap() const
{
    std::lock_guard lock(this->mutex);
    return baseHeartbeatGap + heartbeatGapPerMember * this->groupPeerCount;
}

void Peers::forwardEntry(const ForwardedEntry& entry)
{
    bool isReader = this->isReader();
    bool hasOthers = false;
    {
        std::lock_guard lock(this->mutex);
        hasOthers = this->hasOtherGroups();
        if (isReader)
            this->forwardQueue.push(entry, hasOthers && entry.isNewWorker ? newWorkerRepeats : forwardRepeats);
        else
            this->forwardQueue.skip();
    }
    if (!isReader)
        return;
    // In a large group a full heartbeat is too much for a record, and would be sent too seldom.
    if (hasOthers)
        this->sendReaderHeartbeat();
    else
        this->sendHeartbeat();
}

size_t Peers::readersBefore(Time silence, const std::function<bool(const Peer&)>& counts) const
{
    auto now = monotonicNow();
    auto ownRank = this->ownDutyRank();
    return static_cast<size_t>(std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& item) {
        const auto& [node, peer] = item;
        bool reads = peer.readsWorkers && !peer.draining && peer.inGroup && now - peer.lastHeartbeatAt < silence && (!counts || counts(peer));
        return reads && dutyRank(node, peer.member.capacity) < ownRank;
    }));
}

bool Peers::isReader() const
{
    std::lock_guard lock(this->mutex);
    return !this->hasOtherGroups() || this->readersBefore(maxForwarderSilence) < splitGroupReaderCount;
}

bool Peers::enoughPeersFollowStore() const
{
    std::lock_guard lock(this->mutex);
    return this->hasOtherGroups() && this->readersBefore(maxReaderSilence, [](const Peer& peer) { return peer.readsConfiguration; }) >= splitGroupReaderCount;
}

void Peers::announceConfiguration()
{
    {
        std::lock_guard lock(this->mutex);
        if (!this->hasOtherGroups())
            return;
    }
    if (this->isReader())
        this->sendReaderHeartbeat();
}

void Peers::announceReader()
{
    while (!this->vm.status.stopping) {
        sleepFor(readerHeartbeatInterval);
        bool isDue = false;
        {
            std::lock_guard lock(this->mutex);
            isDue = this->hasOtherGroups() && this->groupInterval() > readerHeartbeatInterval;
        }
        if (isDue && this->readsWorkers && this->readsWorkers() && this->isReader())
            this->sendReaderHeartbeat();
    }
}

void Peers::sendReaderHeartbeat()
{
    if (!this->readerHeartbeatPacer.tryPass(this->minHeartbeatGap(), [this] { this->sendReaderHeartbeat(); }))
        return;
    auto now = monotonicNow();
    auto heartbeat = this->makeHeartbeat(true);
    std::vector<transport::Endpoint> targets;
    bool hasUnsent = false;
    {
        std::lock_guard lock(this->mutex);
        this->forwardQueue.fill(heartbeat, maxForwardedBytes);
        hasUnsent = this->forwardQueue.hasUnsent();
        for (const auto& [node, peer] : this->peers) {
            if (peer.inGroup && this->isAlive(peer, now))
                targets.push_back(peer.member.inner);
        }
    }
    this->sendTo(this->groupOrder.next(std::move(targets)), heartbeat);
    if (hasUnsent)
        this->sendReaderHeartbeat();
}

bool Peers::enoughPeersReadWorkers(Time ownReadAt) const
{
    std::lock_guard lock(this->mutex);
    auto readers = this->readersBefore(maxReaderSilence, [ownReadAt](const Peer& peer) { return peer.forwards.isComplete(ownReadAt); });
    return readers >= (this->hasOtherGroups() ? splitGroupReaderCount : workerReaderCount);
}

void Peers::unregister()
{
    {
        std::lock_guard lock(this->mutex);
        this->membersChanged = true;
    }
    increment(this->vm.counters, CountedEvent::StoreCalls);
    auto result = platform::append(this->vm.store(), platform::Stream::Members, this->vm.settings.node, "");
    this->log.info(std::string("event=resign outcome=") + (result ? "done" : platform::name(result.error())));
}

Heartbeat Peers::makeHeartbeat(bool partial)
{
    Heartbeat heartbeat;
    heartbeat.partial = partial;
    heartbeat.node = this->vm.settings.node;
    heartbeat.incarnation = this->incarnation;
    heartbeat.sequence = ++this->sequence;
    heartbeat.ready = this->vm.isReady();
    heartbeat.draining = this->vm.status.draining;
    heartbeat.overloaded = this->vm.status.overloaded;
    auto configuration = this->vm.fleet.configuration();
    heartbeat.readsWorkers = this->readsWorkers && this->readsWorkers() && this->isReader();
    heartbeat.readsConfiguration = heartbeat.readsWorkers && this->readsConfiguration && this->readsConfiguration();
    heartbeat.member = this->newMember();
    heartbeat.storeEra = this->vm.storeEra.known();
    heartbeat.configVersion = configuration ? configuration->version : 0;
    if (!partial) {
        heartbeat.loads = this->vm.fleet.ownLoads();
        heartbeat.outcomes = this->vm.fleet.ownFailures(monotonicNow());
        heartbeat.sentPrefixes = this->vm.fleet.takeSentPrefixes();
        heartbeat.crashReports = this->crashes.takeReports();
        this->updateLimitSharers();
        heartbeat.limitReports = this->vm.fleet.takeLimitReports(monotonicNow());
        heartbeat.leaveReports = this->vm.fleet.takeLeaveReports(monotonicNow());
    }
    std::lock_guard lock(this->mutex);
    for (const auto& [item, count] : this->missingItems) {
        if (heartbeat.missingItems.size() < maxSentMissingItems)
            heartbeat.missingItems.push_back(item);
        else
            increment(this->vm.counters, CountedEvent::MissingItemsHeldBack);
    }
    heartbeat.leaseToken = this->leaseToken;
    heartbeat.leasePosition = this->leasePosition;
    if (partial)
        return heartbeat;
    for (const auto& [model, rate] : this->averageWork.rates(monotonicNow())) {
        if (rate >= minSentDemand)
            heartbeat.demand[model] = rate;
    }
    this->forwardQueue.fill(heartbeat, maxForwardedBytes);
    heartbeat.usedAdapters.assign(this->usedAdapters.begin(), this->usedAdapters.end());
    this->usedAdapters.clear();
    this->fillResident(heartbeat);
    return heartbeat;
}

void Peers::fillResident(Heartbeat& heartbeat)
{
    auto now = monotonicNow();
    auto interval = this->groupInterval();
    if (this->hasOtherGroups())
        interval = std::max(interval, crossGroupLeaseHolderInterval);
    // Long enough to include a heartbeat to the VMs that receive them least often.
    auto repeatTime = std::max(residentRepeatTime, interval + interval / 4);
    this->resident.addChanges(heartbeat.resident, now - repeatTime);
    this->resident.addInTurn(heartbeat.resident, residentWorkersInTurn);
}

void Peers::notifyLeaseHolder()
{
    std::optional<transport::Endpoint> leaseHolder;
    {
        auto now = monotonicNow();
        std::lock_guard lock(this->mutex);
        for (const auto& [node, peer] : this->peers) {
            if (this->isLeaseHolder(peer, now))
                leaseHolder = peer.member.inner;
        }
    }
    if (!leaseHolder)
        return;
    this->sendTo({ *leaseHolder }, this->makeHeartbeat(true));
}

void Peers::sendHeartbeat()
{
    if (!this->heartbeatPacer.tryPass(this->minHeartbeatGap(), [this] { this->sendHeartbeat(); }))
        return;
    auto now = monotonicNow();
    auto targets = this->chooseTargets(now);
    auto heartbeat = this->makeHeartbeat(false);
    this->sendTo(targets.leaseHolder, heartbeat);
    // Only the lease holder uses the demand and the use of adapters, for its plans.
    heartbeat.demand.clear();
    heartbeat.usedAdapters.clear();
    this->sendTo(this->groupOrder.next(std::move(targets.group)), heartbeat);
    // The forwarded worker records matter only within the group. The loads and the long prefixes of a whole group reach the others as a
    // summary.
    heartbeat.sentPrefixes.clear();
    heartbeat.forwardedEntries.clear();
    heartbeat.loads.clear();
    heartbeat.outcomes.clear();
    this->sendTo(targets.crossGroup, heartbeat);
    this->sendSummary();
    bool hasUnsent = false;
    {
        std::lock_guard lock(this->mutex);
        hasUnsent = this->forwardQueue.hasUnsent();
    }
    // Sent after the minimum gap.
    if (hasUnsent)
        this->sendHeartbeat();
}

DutyRank Peers::ownDutyRank() const
{
    return dutyRank(this->vm.settings.node, capacityInCores(this->vm.settings));
}

bool Peers::isGroupLeader(Time now) const
{
    auto ownRank = this->ownDutyRank();
    return std::none_of(this->peers.begin(), this->peers.end(), [&](const auto& item) {
        const auto& [node, peer] = item;
        return peer.inGroup && !peer.draining && this->isReachable(peer, now) && dutyRank(node, peer.member.capacity) < ownRank;
    });
}

void Peers::sendSummary()
{
    auto now = monotonicNow();
    std::vector<transport::Endpoint> targets;
    {
        std::lock_guard lock(this->mutex);
        if (this->groupPeerCount == this->peers.size() || !this->isGroupLeader(now))
            return;
        std::map<std::string, std::map<DutyRank, transport::Endpoint>> others; // By data centre and rank.
        for (const auto& [node, peer] : this->peers) {
            if (!peer.inGroup && !peer.draining && this->isReachable(peer, now))
                others[peer.member.dataCentre].emplace(dutyRank(node, peer.member.capacity), peer.member.inner);
        }
        for (const auto& [dataCentre, vms] : others) {
            auto end = std::next(vms.begin(), static_cast<std::ptrdiff_t>(std::min(summaryReceiverCount, vms.size())));
            std::transform(vms.begin(), end, std::back_inserter(targets), [](const auto& vm) { return vm.second; });
        }
    }
    auto heartbeat = this->vm.fleet.summarizeGroup(now);
    heartbeat.node = this->vm.settings.node;
    heartbeat.incarnation = this->incarnation;
    heartbeat.sequence = this->sequence;
    heartbeat.summaryOf = this->vm.settings.dataCentre;
    heartbeat.leaveReports = this->vm.fleet.takeLeaveReports(now);
    this->sendTo(targets, heartbeat);
}

void Peers::recordIgnored(const routing::WorkerEntry& worker, const routing::AnswerSource& source, const std::string& statement)
{
    increment(this->vm.counters, CountedEvent::StatementsIgnored);
    this->log.info("event=statement_ignored worker=" + transport::escapeForLog(worker.id) + " started=" + std::to_string(worker.startedAt) + " " + statement + " status=" + std::to_string(source.status)
        + " matches=" + (source.matchesRequest ? "yes" : "no") + " signed=" + (source.signedByWorker ? "yes" : "no") + " sender=" + (source.worker.empty() ? "-" : transport::escapeForLog(source.worker))
        + " sender_started=" + (source.startedAt ? std::to_string(*source.startedAt) : "-"));
}

std::optional<routing::WorkerEntry> Peers::findSender(const routing::WorkerEntry& called, const routing::AnswerSource& source) const
{
    auto sender = routing::statementSender(source, called);
    if (!sender || *sender == called.id)
        return sender ? std::optional(called) : std::nullopt;
    return this->vm.fleet.entryOf(*sender);
}

void Peers::recordHold(const routing::WorkerEntry& worker, const routing::AnswerSource& source, milliseconds delay, const char* evidence)
{
    auto sender = this->findSender(worker, source);
    if (!sender)
        return this->recordIgnored(worker, source, "ms=" + std::to_string(delay.count()));
    increment(this->vm.counters, CountedEvent::WorkerHolds);
    this->log.info("event=worker_hold worker=" + transport::escapeForLog(sender->id) + " ms=" + std::to_string(delay.count()) + " evidence=" + evidence);
    this->vm.fleet.recordHold(*sender, delay, monotonicNow(), transport::wallNow());
}

void Peers::recordLeaving(const routing::WorkerEntry& worker, const routing::AnswerSource& source, const char* evidence)
{
    auto sender = this->findSender(worker, source);
    if (!sender)
        return this->recordIgnored(worker, source, "leaving=yes");
    if (!this->vm.fleet.recordLeaving(*sender, source.startedAt, monotonicNow()))
        return;
    this->log.info("event=worker_leaving worker=" + transport::escapeForLog(sender->id) + " started=" + std::to_string(sender->startedAt) + " sender_started=" + (source.startedAt ? std::to_string(*source.startedAt) : "-") + " evidence=" + evidence);
    this->sendHeartbeat();
    this->onLeaveNews();
}

void Peers::applyLeaveReports(const Heartbeat& heartbeat)
{
    if (auto news = this->vm.fleet.applyLeaveReports(heartbeat.leaveReports, monotonicNow()); news > 0) {
        this->log.info("event=workers_leaving_heard node=" + heartbeat.node + " workers=" + std::to_string(news));
        this->onLeaveNews();
    }
}

void Peers::receiveSummary(Heartbeat summary)
{
    if (summary.summaryOf == this->vm.settings.dataCentre || !this->vm.fleet.applySummary(summary, monotonicNow()))
        return;
    this->applyLeaveReports(summary);
    if (std::exchange(summary.relayed, true))
        return;
    std::vector<transport::Endpoint> targets;
    {
        auto now = monotonicNow();
        std::lock_guard lock(this->mutex);
        if (!this->isGroupLeader(now))
            return;
        for (const auto& [node, peer] : this->peers) {
            if (peer.inGroup && this->isReachable(peer, now))
                targets.push_back(peer.member.inner);
        }
    }
    this->sendTo(this->relayOrder.next(std::move(targets)), summary);
}

void Peers::sendTo(const std::vector<transport::Endpoint>& targets, const Heartbeat& heartbeat)
{
    if (targets.empty())
        return;
    auto parts = splitHeartbeat(heartbeat, transport::maxDatagramBytes);
    if (parts.size() > 1)
        increment(this->vm.counters, CountedEvent::BeatsSplit);
    for (size_t i = 0; i < parts.size(); i++) {
        if (i > 0)
            parts[i].sequence = ++this->sequence;
        auto bytes = encodeHeartbeat(parts[i]);
        auto sent = std::count_if(targets.begin(), targets.end(), [&](const auto& target) { return this->socket.send(target, bytes); });
        increment(this->vm.counters, CountedEvent::BeatsSent, static_cast<size_t>(sent));
        increment(this->vm.counters, CountedEvent::BeatBytesSent, static_cast<size_t>(sent) * bytes.size());
        if (static_cast<size_t>(sent) == targets.size())
            continue;
        increment(this->vm.counters, CountedEvent::BeatsDropped, targets.size() - static_cast<size_t>(sent));
        if (monotonicNow() - this->dropLoggedAt < dropLogInterval)
            continue;
        this->dropLoggedAt = monotonicNow();
        this->log.warn("event=heartbeats_dropped bytes=" + std::to_string(bytes.size()) + " sent=" + std::to_string(sent) + " dropped=" + std::to_string(targets.size() - static_cast<size_t>(sent)));
    }
}

Peers::Targets Peers::chooseTargets(Time now)
{
    Targets targets;
    std::lock_guard lock(this->mutex);
    std::vector<Peer*> crossGroupPeers;
    auto crossGroupInterval = this->leaseToken != 0 ? crossGroupLeaseHolderInterval : crossGroupHeartbeatInterval;
    for (auto& [node, peer] : this->peers) {
        bool holdsLease = this->isLeaseHolder(peer, now);
        // A peer that is not alive still gets an occasional heartbeat.
        if (!this->isAlive(peer, now) && now - peer.lastSentAt < unreachablePeerInterval)
            continue;
        if (!peer.inGroup && !holdsLease) {
            if (now - peer.lastSentAt >= crossGroupInterval)
                crossGroupPeers.push_back(&peer);
            continue;
        }
        peer.lastSentAt = now;
        (holdsLease ? targets.leaseHolder : targets.group).push_back(peer.member.inner);
    }
    std::sort(crossGroupPeers.begin(), crossGroupPeers.end(), [](const Peer* a, const Peer* b) { return a->lastSentAt < b->lastSentAt; });
    // Spreads the heartbeats to the other groups evenly over their interval. The first are those whose last one is oldest.
    auto crossGroupCount = this->peers.size() - this->groupPeerCount;
    auto maxTargets = 1 + crossGroupCount * static_cast<size_t>(this->groupInterval().count()) / static_cast<size_t>(crossGroupInterval.count());
    if (crossGroupPeers.size() > maxTargets)
        crossGroupPeers.resize(maxTargets);
    for (auto* peer : crossGroupPeers) {
        peer->lastSentAt = now;
        targets.crossGroup.push_back(peer->member.inner);
    }
    return targets;
}

void Peers::receive(std::string_view bytes)
{
    auto heartbeat = decodeHeartbeat(bytes);
    if (!heartbeat)
        return;
    increment(this->vm.counters, CountedEvent::BeatsReceived);
    bool hasMissingItems = !heartbeat->missingItems.empty();
    this->applySenderRecord(*heartbeat);
    std::unique_lock lock(this->mutex);
    auto found = this->peers.find(heartbeat->node);
    if (found == this->peers.end() || found->second.member.incarnation != heartbeat->incarnation) {
        bool membersOutdated = this->recordUnknownSender(*heartbeat, monotonicNow());
        lock.unlock();
        if (membersOutdated && this->onUnknownMember)
            this->onUnknownMember();
        return;
    }
    if (!heartbeat->summaryOf.empty()) {
        bool isOwn = heartbeat->summaryOf == found->second.member.dataCentre;
        lock.unlock();
        if (isOwn)
            this->receiveSummary(std::move(*heartbeat));
        return;
    }
    if (!heartbeat->quota.isEmpty()) {
        lock.unlock();
        if (this->onQuota)
            this->onQuota(heartbeat->node, heartbeat->incarnation, heartbeat->quota);
        return;
    }
    auto& peer = found->second;
    if (heartbeat->sequence <= peer.sequence)
        return;
    if (!this->isReachable(peer, monotonicNow()))
        this->log.info("event=peer_heard node=" + transport::escapeForLog(heartbeat->node));
    peer.sequence = heartbeat->sequence;
    peer.lastHeartbeatAt = monotonicNow();
    peer.ready = heartbeat->ready;
    peer.draining = heartbeat->draining;
    peer.overloaded = heartbeat->overloaded;
    peer.readsWorkers = heartbeat->readsWorkers;
    peer.readsConfiguration = heartbeat->readsConfiguration;
    peer.configVersion = heartbeat->configVersion;
    peer.leaseToken = heartbeat->leaseToken;
    // A partial heartbeat carries no demand.
    if (!heartbeat->partial)
        peer.demand = heartbeat->demand;
    if ((!heartbeat->partial || heartbeat->forwardedCount > 0) && peer.inGroup)
        peer.forwards.record(*heartbeat, monotonicNow());
    bool inGroup = peer.inGroup;
    // VMs of the own group hear from the peer themselves.
    bool relaysReports = !inGroup;
    peer.missingItems = std::move(heartbeat->missingItems);
    lock.unlock();
    // Before the records and the lease that the heartbeat tells of, which may be of the new era.
    this->vm.storeEra.observe(heartbeat->storeEra);
    // The lease holder gets full heartbeats of all VMs. The loads and prefixes of other groups are in their summaries already.
    if (inGroup)
        this->vm.fleet.applyHeartbeat(heartbeat->node, *heartbeat);
    else if (!heartbeat->partial)
        this->vm.fleet.forgetPeerLoad(heartbeat->node);
    if (heartbeat->leaseToken != 0) {
        this->vm.fleet.applyResident(heartbeat->resident);
        if (this->onLeaseClaim)
            this->onLeaseClaim(heartbeat->leasePosition);
    }
    this->crashes.applyReports(heartbeat->crashReports, relaysReports);
    if (auto changed = this->vm.fleet.applyLimitReports(heartbeat->limitReports, relaysReports, monotonicNow()); changed > 0)
        this->log.info("event=worker_limits_heard node=" + transport::escapeForLog(heartbeat->node) + " changed=" + std::to_string(changed));
    this->applyLeaveReports(*heartbeat);
    if (hasMissingItems && this->onMissingItems)
        this->onMissingItems();
    if (this->onForwardedEntries)
        this->onForwardedEntries(heartbeat->forwardedEntries);
    if (this->onConfigurationVersion)
        this->onConfigurationVersion(heartbeat->configVersion);
    for (const auto& use : heartbeat->usedAdapters) {
        if (this->onAdapterUse)
            this->onAdapterUse(use);
    }
}

void Peers::applySenderRecord(const Heartbeat& heartbeat)
{
    if (!heartbeat.member || heartbeat.draining || heartbeat.member->incarnation != heartbeat.incarnation || !this->vm.status.membersKnown)
        return;
    this->applyMember(heartbeat.node, heartbeat.member, false);
}

bool Peers::recordUnknownSender(const Heartbeat& heartbeat, Time now)
{
    // A VM that shuts down has deleted its record.
    if (heartbeat.draining)
        return false;
    if (this->unknownSenders.size() >= maxUnknownSenders)
        this->unknownSenders.clear();
    auto& sender = this->unknownSenders[heartbeat.node];
    if (sender.incarnation != heartbeat.incarnation)
        sender = { heartbeat.incarnation, now };
    if (now - sender.since < unknownMemberDelay)
        return false;
    sender.since = now;
    return true;
}

void Peers::applyMembers(const MemberRecords& records)
{
    // A later record of a VM replaces the earlier ones of the same read.
    std::map<std::string, const MemberRecord*> newest;
    for (const auto& record : records.records)
        newest[record.node] = &record;
    for (const auto& [node, record] : newest)
        this->applyMember(node, record->member, true);
    this->dropUnrecorded();
    if (this->isPublished && this->isOwnRecordLost(records)) {
        this->log.warn("event=member_record_lost era=" + std::to_string(records.end.era));
        this->isPublished = false; // `run` publishes it again.
    }
}

bool Peers::isOwnRecordLost(const MemberRecords& records) const
{
    if (records.end.era == this->publishedAt.era)
        return false;
    auto own = std::find_if(records.records.rbegin(), records.records.rend(), [this](const auto& record) { return record.node == this->vm.settings.node; });
    if (own == records.records.rend())
        return records.complete;
    return !own->member || own->member->incarnation != this->incarnation;
}

void Peers::recordFormerIncarnation(const std::string& node, uint64_t formerIncarnation)
{
    this->formerIncarnations.emplace_back(node, formerIncarnation);
    if (this->formerIncarnations.size() > maxFormerIncarnations)
        this->formerIncarnations.pop_front();
}

bool Peers::isRefused(const std::string& node, const Member& member) const
{
    if (std::find(this->refusedIncarnations.begin(), this->refusedIncarnations.end(), std::pair(node, member.incarnation)) != this->refusedIncarnations.end())
        return true;
    auto unrecorded = std::count_if(this->peers.begin(), this->peers.end(), [](const auto& item) { return !item.second.isRecorded; });
    return static_cast<size_t>(unrecorded) >= maxUnrecordedPeers;
}

void Peers::dropUnrecorded()
{
    std::lock_guard lock(this->mutex);
    std::vector<std::string> dropped;
    for (auto& [node, peer] : this->peers) {
        if (!peer.isRecorded && ++peer.readsWithoutRecord >= maxReadsWithoutRecord)
            dropped.push_back(node);
    }
    if (dropped.empty())
        return;
    for (const auto& node : dropped) {
        auto peer = std::move(this->peers[node]);
        this->log.warn("event=member_without_record node=" + transport::escapeForLog(node) + " inner=" + transport::toString(peer.member.inner));
        this->refusedIncarnations.emplace_back(node, peer.member.incarnation);
        if (this->refusedIncarnations.size() > maxFormerIncarnations)
            this->refusedIncarnations.pop_front();
        this->peers.erase(node);
        if (!peer.replaced)
            continue;
        std::erase(this->formerIncarnations, std::pair(node, peer.replaced->incarnation));
        this->peers[node].member = *peer.replaced;
        this->peers[node].isRecorded = true;
    }
    this->updateGroup();
}

void Peers::applyMember(const std::string& node, const std::optional<Member>& member, bool fromStore)
{
    if (node == this->vm.settings.node)
        return;
    std::lock_guard lock(this->mutex);
    auto known = this->peers.find(node);
    if (known != this->peers.end() && !known->second.isRecorded && fromStore && (!member || known->second.member.incarnation != member->incarnation)) {
        // The record is of an earlier start: that of this one is still to come.
        known->second.replaced = member;
        return;
    }
    if (!member) {
        if (known != this->peers.end()) {
            this->log.info("event=member_left node=" + transport::escapeForLog(node));
            this->recordFormerIncarnation(node, known->second.member.incarnation);
            this->peers.erase(known);
        }
        return this->updateGroup();
    }
    if (known != this->peers.end() && known->second.member.incarnation == member->incarnation) {
        known->second.isRecorded = known->second.isRecorded || fromStore;
        return;
    }
    if (std::find(this->formerIncarnations.begin(), this->formerIncarnations.end(), std::pair(node, member->incarnation)) != this->formerIncarnations.end())
        return;
    if (!fromStore && this->isRefused(node, *member))
        return;
    std::optional<Member> replaced;
    if (known != this->peers.end()) {
        this->recordFormerIncarnation(node, known->second.member.incarnation);
        if (!fromStore)
            replaced = known->second.isRecorded ? std::optional(known->second.member) : known->second.replaced;
    }
    auto& peer = this->peers[node];
    // A new incarnation starts with new sequence numbers.
    peer = {};
    peer.member = *member;
    peer.isRecorded = fromStore;
    peer.replaced = std::move(replaced);
    this->unknownSenders.erase(node);
    this->updateGroup();
    this->log.info("event=member node=" + transport::escapeForLog(node) + " inner=" + transport::toString(member->inner) + " data_centre=" + transport::escapeForLog(member->dataCentre));
}

std::vector<transport::Endpoint> Peers::addressesFor(const std::string& dataCentre) const
{
    std::vector<routing::AddressCandidate> sameDataCentre;
    std::vector<routing::AddressCandidate> otherDataCentres;
    // Adds a VM to the candidates of its data centre.
    auto addCandidate = [&](const std::string& vmDataCentre, const routing::AddressCandidate& candidate) { (vmDataCentre == dataCentre ? sameDataCentre : otherDataCentres).push_back(candidate); };
    if (this->vm.isReady())
        addCandidate(this->vm.settings.dataCentre, { this->vm.settings.front, this->vm.status.overloaded });
    auto now = monotonicNow();
    {
        std::lock_guard lock(this->mutex);
        for (const auto& [node, peer] : this->peers) {
            if (peer.ready && !peer.draining && this->isReachable(peer, now))
                addCandidate(peer.member.dataCentre, { peer.member.front, peer.overloaded });
        }
    }
    return routing::chooseAddresses(sameDataCentre, otherDataCentres);
}

bool Peers::hasStrongerPeer() const
{
    auto minCapacity = capacityInCores(this->vm.settings) * strongerCapacityRatio;
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    return std::any_of(this->peers.begin(), this->peers.end(), [&](const auto& item) {
        const auto& peer = item.second;
        return peer.ready && !peer.draining && !peer.overloaded && peer.member.capacity >= minCapacity && this->isReachable(peer, now);
    });
}

void Peers::forgetUnreachablePeers()
{
    std::vector<std::string> unreachable;
    {
        auto now = monotonicNow();
        std::lock_guard lock(this->mutex);
        for (const auto& [node, peer] : this->peers) {
            if (!this->isReachable(peer, now))
                unreachable.push_back(node);
        }
    }
    for (const auto& node : unreachable)
        this->vm.fleet.forgetPeerLoad(node);
}

uint64_t Peers::newestConfigurationVersion() const
{
    auto now = monotonicNow();
    auto configuration = this->vm.fleet.configuration();
    uint64_t newest = configuration ? configuration->version : 0;
    std::lock_guard lock(this->mutex);
    for (const auto& [node, peer] : this->peers) {
        if (peer.configVersion > newest && this->isAlive(peer, now))
            newest = peer.configVersion;
    }
    return newest;
}

std::vector<ConfigurationSource> Peers::configurationSources(uint64_t version) const
{
    auto now = monotonicNow();
    std::vector<ConfigurationSource> sources;
    {
        std::lock_guard lock(this->mutex);
        for (const auto& [node, peer] : this->peers) {
            // All VMs use the same port for it.
            if (peer.configVersion >= version && this->isReachable(peer, now))
                sources.push_back({ node, peer.member.dataCentre, { peer.member.inner.address, this->vm.settings.metrics.port } });
        }
    }
    return orderConfigurationSources(std::move(sources), this->vm.settings.node, this->vm.settings.dataCentre);
}

bool Peers::isMember(const ConfigurationAsker& asker) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->peers.find(asker.node);
    return found != this->peers.end() && found->second.member.incarnation == asker.incarnation;
}

uint32_t Peers::memberCount() const
{
    if (!this->vm.status.membersKnown)
        return 0;
    std::lock_guard lock(this->mutex);
    return static_cast<uint32_t>(this->peers.size()) + 1;
}

std::vector<PeerView> Peers::peerViews() const
{
    auto now = monotonicNow();
    std::vector<PeerView> views;
    std::lock_guard lock(this->mutex);
    for (const auto& [node, peer] : this->peers)
        views.push_back({ node, peer.member.capacity, peer.sequence == 0 || this->isAlive(peer, now), peer.lastHeartbeatAt });
    return views;
}

void Peers::sendQuota(const std::string& node, QuotaMessage message)
{
    // Its sequence number is that of no heartbeat, so that versions without quotas ignore it.
    Heartbeat heartbeat;
    heartbeat.node = this->vm.settings.node;
    heartbeat.incarnation = this->incarnation;
    heartbeat.draining = this->vm.status.draining;
    // Until the holders of a bucket know each other, neither takes off what the other charges.
    heartbeat.member = this->newMember();
    heartbeat.quota = std::move(message);
    std::vector<transport::Endpoint> target;
    {
        std::lock_guard lock(this->mutex);
        auto found = this->peers.find(node);
        if (found == this->peers.end())
            return;
        target.push_back(found->second.member.inner);
    }
    this->sendTo(target, heartbeat);
}

std::map<std::string, double> Peers::totalDemand() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    auto total = this->averageWork.rates(now);
    for (const auto& [node, peer] : this->peers) {
        if (!this->isAlive(peer, now))
            continue;
        for (const auto& [model, rate] : peer.demand)
            total[model] += rate;
    }
    return total;
}

void Peers::recordWork(const std::string& model, double seconds)
{
    std::lock_guard lock(this->mutex);
    this->averageWork.add(model, seconds, monotonicNow());
}

std::vector<MissingItem> Peers::allMissingItems() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    std::set<MissingItem> all;
    for (const auto& [item, count] : this->missingItems)
        all.insert(item);
    for (const auto& [node, peer] : this->peers) {
        if (this->isReachable(peer, now))
            all.insert(peer.missingItems.begin(), peer.missingItems.end());
    }
    return { all.begin(), all.end() };
}

void Peers::addMissingItem(const MissingItem& item)
{
    {
        std::lock_guard lock(this->mutex);
        if (this->missingItems[item]++ > 0)
            return;
    }
    this->notifyLeaseHolder();
    if (this->onMissingItems)
        this->onMissingItems();
}

void Peers::removeMissingItem(const MissingItem& item)
{
    std::lock_guard lock(this->mutex);
    auto found = this->missingItems.find(item);
    if (found != this->missingItems.end() && --found->second == 0)
        this->missingItems.erase(found);
}

void Peers::recordAdapterUse(const MissingItem& adapter)
{
    {
        std::lock_guard lock(this->mutex);
        this->usedAdapters.insert(adapter);
    }
    if (this->onAdapterUse)
        this->onAdapterUse(adapter);
}

void Peers::setLeaseState(uint64_t token, const LogPosition& position, ResidentItems newResident)
{
    bool changed = false;
    {
        std::lock_guard lock(this->mutex);
        changed = this->resident.update(std::move(newResident), monotonicNow());
        this->leaseToken = token;
        this->leasePosition = position;
    }
    if (changed && token != 0)
        this->notifyWaitingPeers();
}

void Peers::notifyWaitingPeers()
{
    std::map<Time, std::vector<transport::Endpoint>> targets; // By the time from which on the changes are news to them.
    {
        auto now = monotonicNow();
        std::lock_guard lock(this->mutex);
        for (auto& [node, peer] : this->peers) {
            if (peer.missingItems.empty() || !this->isReachable(peer, now))
                continue;
            Time oldest = now - maxUrgentChangeAge;
            targets[this->hasOtherGroups() ? std::max(oldest, peer.notifiedAt) : oldest].push_back(peer.member.inner);
            peer.notifiedAt = now;
        }
    }
    for (const auto& [since, endpoints] : targets) {
        auto heartbeat = this->makeHeartbeat(true); // Takes the lock itself.
        {
            std::lock_guard lock(this->mutex);
            this->resident.addChanges(heartbeat.resident, since);
        }
        this->sendTo(endpoints, heartbeat);
    }
}

uint64_t Peers::highestPeerToken() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    uint64_t highest = 0;
    for (const auto& [node, peer] : this->peers) {
        if (this->isReachable(peer, now))
            highest = std::max(highest, peer.leaseToken);
    }
    return highest;
}

bool Peers::reachesMajority() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    size_t reachable = 0;
    for (const auto& [node, peer] : this->peers)
        reachable += this->isReachable(peer, now) ? 1 : 0;
    return 2 * reachable >= this->peers.size();
}

bool Peers::hasReachableLeaseHolder() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    return std::any_of(this->peers.begin(), this->peers.end(), [this, now](const auto& item) {
        return this->isLeaseHolder(item.second, now);
    });
}

} // namespace comfreypier::edge
