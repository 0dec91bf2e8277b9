#include "peers.h"

#include <random>

namespace comfreypier::edge {

namespace {

    /// Shortest pause between beats that are sent at once.
    constexpr milliseconds beatNowInterval { 3 };
    /// The same for each member.
    constexpr std::chrono::milliseconds urgentPerMember { 4 };
    /// What the holder announces of a worker is part of every beat for this long after a change.
    constexpr milliseconds residentNewsTime { 500 };
    /// The same for what VMs are told at once that wait for something.
    constexpr milliseconds waitingNewsTime { 100 };
    /// Workers whose models and adapters are part of a beat without a change.
    constexpr size_t residentInTurn = 3;
    /// A VM leaves orders to another with this many times its capacity.
    constexpr double strongerBy = 1.5;
    /// Least work that is worth telling, in worker seconds a second.
    constexpr double demandLeast = 0.005;

    uint64_t drawIncarnation()
    {
        std::random_device device;
        return static_cast<uint64_t>(device()) << 32 | device();
    }

} // namespace

Peers::Peers(Vm& vm, transport::Runtime& runtime)
    : vm(vm)
    , socket(runtime, vm.settings.inner, [this](std::string_view bytes) { this->receive(bytes); })
    , incarnation(drawIncarnation())
{
}

bool Peers::start()
{
    return this->socket.start();
}

bool Peers::publish()
{
    Member member { this->incarnation, this->vm.settings.inner, this->vm.settings.front, this->vm.settings.dataCentre, capacityInCores(this->vm.settings) };
    increment(this->vm.counters, CountedEvent::StoreCalls);
    auto outcome = platform::append(this->vm.store(), platform::Stream::Members, this->vm.settings.node, encodeMember(member));
    if (!outcome)
        increment(this->vm.counters, CountedEvent::StoreFailures);
    return outcome.has_value();
}

void Peers::run()
{
    bool published = false;
    Time triedAt { -std::chrono::hours { 1 } };
    while (!this->vm.status.stopping) {
        if (!published && monotonicNow() - triedAt > std::chrono::seconds { 1 }) {
            triedAt = monotonicNow();
            transport::spawnHere([this, &published] { published = this->publish(); });
        }
        this->sendHeartbeat();
        milliseconds pause;
        {
            std::lock_guard lock(this->mutex);
            pause = this->interval();
        }
        this->vm.fleet.setPeerUpdateAge(pause);
        sleepFor(pause);
    }
    // The publishing fiber refers to this frame.
    while (!published && monotonicNow() - triedAt < platform::storeConnectTime + platform::storeAnswerTime)
        sleepFor(heartbeatInterval);
}

void Peers::regroup()
{
    this->nearCount = 0;
    for (auto& [node, peer] : this->peers) {
        peer.near = this->peers.size() < maxGroupSize || peer.member.dataCentre == this->vm.settings.dataCentre;
        this->nearCount += peer.near ? 1 : 0;
    }
}

milliseconds Peers::interval() const
{
    return std::max(heartbeatInterval, heartbeatIntervalPerMember * static_cast<int>(this->nearCount + 1));
}

milliseconds Peers::silence(const Peer& peer) const
{
    if (peer.near)
        return std::max(peerTimeout, peerTimeoutHeartbeats * this->interval());
    return peerTimeoutHeartbeats * (peer.leaseToken != 0 ? crossGroupLeaseHolderInterval : crossGroupHeartbeatInterval);
}

bool Peers::isHeard(const Peer& peer, Time now) const
{
    return now - peer.heardAt < this->silence(peer);
}

bool Peers::isLive(const Peer& peer, Time now) const
{
    return now - peer.heardAt <= std::max(unreachablePeerInterval, this->silence(peer));
}

bool Peers::isHolder(const Peer& peer, Time now) const
{
    return peer.leaseToken != 0 && this->isHeard(peer, now);
}

Time Peers::urgentInterval() const
{
    std::lock_guard lock(this->mutex);
    return beatNowInterval + urgentPerMember * this->nearCount;
}

void Peers::forwardEntry(const ForwardedEntry& entry)
{
    {
        std::lock_guard lock(this->mutex);
        this->passed.emplace_back(entry, forwardRepeats);
    }
    this->sendHeartbeat();
}

bool Peers::enoughPeersReadWorkers() const
{
    auto now = monotonicNow();
    auto own = routing::hashText(this->vm.settings.node);
    std::lock_guard lock(this->mutex);
    size_t readers = 0;
    for (const auto& [node, peer] : this->peers) {
        bool reads = peer.readsWorkers && !peer.draining && peer.near && this->isHeard(peer, now);
        readers += reads && routing::hashText(node) < own ? 1 : 0;
    }
    return readers >= workerReaderCount;
}

void Peers::unregister()
{
    increment(this->vm.counters, CountedEvent::StoreCalls);
    auto outcome = platform::append(this->vm.store(), platform::Stream::Members, this->vm.settings.node, "");
    this->log.info(std::string("event=resign outcome=") + (outcome ? "done" : platform::name(outcome.error())));
}

Heartbeat Peers::makeBeat(bool partial)
{
    Heartbeat beat;
    beat.partial = partial;
    beat.node = this->vm.settings.node;
    beat.incarnation = this->incarnation;
    beat.sequence = ++this->number;
    beat.ready = this->vm.isReady();
    beat.draining = this->vm.status.draining;
    beat.overloaded = this->vm.status.overloaded;
    auto configuration = this->vm.fleet.configuration();
    beat.readsWorkers = this->readsWorkers && this->readsWorkers();
    beat.configVersion = configuration ? configuration->version : 0;
    if (!partial) {
        beat.loads = this->vm.fleet.ownLoads();
        beat.outcomes = this->vm.fleet.ownFailures(monotonicNow());
        beat.sentPrefixes = this->vm.fleet.takeSentPrefixes();
        std::lock_guard lock(this->poisonRequestsMutex);
        beat.crashesByContent = this->poisonRequests.counts();
    }
    std::lock_guard lock(this->mutex);
    for (const auto& [want, count] : this->wants)
        beat.missingItems.push_back(want);
    beat.leaseToken = this->leaseToken;
    beat.leaseOffset = this->leaseOffset;
    if (partial)
        return beat;
    for (const auto& [model, rate] : this->work.rates(monotonicNow())) {
        if (rate >= demandLeast)
            beat.demand[model] = rate;
    }
    for (auto& [entry, left] : this->passed) {
        beat.forwardedEntries.push_back(entry);
        left--;
    }
    std::erase_if(this->passed, [](const auto& item) { return item.second <= 0; });
    beat.usedAdapters.assign(this->used.begin(), this->used.end());
    this->used.clear();
    this->fillResident(beat);
    return beat;
}

/// Adds the workers whose models or adapters have just changed, and a few others in turn.
void Peers::fillResident(Heartbeat& beat)
{
    auto now = monotonicNow();
    auto pause = this->nearCount < this->peers.size() ? crossGroupLeaseHolderInterval : this->interval();
    auto news = std::max(residentNewsTime, pause + pause / 4);
    for (const auto& [worker, items] : this->resident) {
        if (now - this->residentChangedAt[worker] < news)
            beat.resident[worker] = items;
    }
    auto next = this->resident.upper_bound(this->residentTold);
    for (size_t i = 0; i < residentInTurn && !this->resident.empty(); i++) {
        if (next == this->resident.end())
            next = this->resident.begin();
        beat.resident[next->first] = next->second;
        this->residentTold = next->first;
        ++next;
    }
}

void Peers::notifyLeaseHolder()
{
    std::optional<transport::Endpoint> holder;
    {
        auto now = monotonicNow();
        std::lock_guard lock(this->mutex);
        for (const auto& [node, peer] : this->peers) {
            if (this->isHolder(peer, now))
                holder = peer.member.inner;
        }
    }
    if (!holder)
        return;
    this->sendTo({ *holder }, this->makeBeat(true));
}

void Peers::sendHeartbeat()
{
    auto now = monotonicNow();
    if (now < this->beatenAt + this->urgentInterval()) {
        if (!std::exchange(this->beatPending, true)) {
            transport::spawnHere([this] {
                sleepFor(std::max(Time { 0 }, this->beatenAt + this->urgentInterval() - monotonicNow()));
                this->beatPending = false;
                this->sendHeartbeat();
            });
        }
        return;
    }
    this->beatenAt = now;
    auto targets = this->chooseTargets(now);
    auto beat = this->makeBeat(false);
    this->sendTo(targets.holder, beat);
    // Only the holder plans by demand and by the use of adapters.
    beat.demand.clear();
    beat.usedAdapters.clear();
    this->sendTo(targets.near, beat);
    // Which prompt parts a worker keeps and which records changed matters within the group.
    beat.sentPrefixes.clear();
    beat.forwardedEntries.clear();
    this->sendTo(targets.far, beat);
}

void Peers::sendTo(const std::vector<transport::Endpoint>& targets, const Heartbeat& beat)
{
    if (targets.empty())
        return;
    auto bytes = encodeHeartbeat(beat);
    for (const auto& target : targets)
        this->socket.send(target, bytes);
    increment(this->vm.counters, CountedEvent::BeatsSent, targets.size());
    increment(this->vm.counters, CountedEvent::BeatBytesSent, targets.size() * bytes.size());
}

/// VMs that are told now: the holder, as it plans by the demand, and the group. Those of other groups come in turn, some in each beat.
Peers::Targets Peers::chooseTargets(Time now)
{
    Targets targets;
    std::lock_guard lock(this->mutex);
    std::vector<Peer*> far;
    auto farInterval = this->leaseToken != 0 ? crossGroupLeaseHolderInterval : crossGroupHeartbeatInterval;
    for (auto& [node, peer] : this->peers) {
        bool holds = this->isHolder(peer, now);
        if (!this->isLive(peer, now) && now - peer.toldAt < unreachablePeerInterval)
            continue;
        if (!peer.near && !holds) {
            if (now - peer.toldAt >= farInterval)
                far.push_back(&peer);
            continue;
        }
        peer.toldAt = now;
        (holds ? targets.holder : targets.near).push_back(peer.member.inner);
    }
    std::sort(far.begin(), far.end(), [](const Peer* a, const Peer* b) { return a->toldAt < b->toldAt; });
    auto farCount = this->peers.size() - this->nearCount;
    auto most = 1 + farCount * static_cast<size_t>(this->interval().count()) / static_cast<size_t>(farInterval.count());
    if (far.size() > most)
        far.resize(most);
    for (auto* peer : far) {
        peer->toldAt = now;
        targets.far.push_back(peer->member.inner);
    }
    return targets;
}

void Peers::receive(std::string_view bytes)
{
    auto beat = decodeHeartbeat(bytes);
    if (!beat)
        return;
    increment(this->vm.counters, CountedEvent::BeatsReceived);
    bool wanting = !beat->missingItems.empty();
    {
        std::lock_guard lock(this->mutex);
        auto found = this->peers.find(beat->node);
        if (found == this->peers.end() || found->second.member.incarnation != beat->incarnation)
            return;
        auto& peer = found->second;
        if (beat->sequence <= peer.sequence)
            return;
        if (!this->isHeard(peer, monotonicNow()))
            this->log.info("event=peer_heard node=" + beat->node);
        peer.sequence = beat->sequence;
        peer.heardAt = monotonicNow();
        peer.ready = beat->ready;
        peer.draining = beat->draining;
        peer.overloaded = beat->overloaded;
        peer.readsWorkers = beat->readsWorkers;
        peer.leaseToken = beat->leaseToken;
        // A partial beat carries none.
        if (!beat->partial)
            peer.demand = beat->demand;
        peer.missingItems = std::move(beat->missingItems);
    }
    this->vm.fleet.applyHeartbeat(beat->node, *beat);
    if (beat->leaseToken != 0) {
        this->vm.fleet.applyResident(beat->resident);
        if (this->onLeaseClaim)
            this->onLeaseClaim(beat->leaseOffset);
    }
    if (!beat->crashesByContent.empty()) {
        std::lock_guard lock(this->poisonRequestsMutex);
        for (const auto& [content, crashes] : beat->crashesByContent)
            this->poisonRequests.merge(content, crashes);
    }
    if (wanting && this->onMissingItems)
        this->onMissingItems();
    if (this->onForwardedEntries)
        this->onForwardedEntries(beat->forwardedEntries);
    if (this->onConfigurationVersion)
        this->onConfigurationVersion(beat->configVersion);
    for (const auto& use : beat->usedAdapters) {
        if (this->onAdapterUse)
            this->onAdapterUse(use);
    }
}

void Peers::applyMember(const std::string& node, const std::optional<Member>& member)
{
    if (node == this->vm.settings.node)
        return;
    std::lock_guard lock(this->mutex);
    if (!member) {
        if (this->peers.erase(node) > 0)
            this->log.info("event=member_left node=" + node);
        return this->regroup();
    }
    auto& peer = this->peers[node];
    if (peer.member.incarnation == member->incarnation)
        return;
    peer = {};
    peer.member = *member;
    this->regroup();
    this->log.info("event=member node=" + node + " inner=" + transport::toString(member->inner) + " data_centre=" + member->dataCentre);
}

std::vector<transport::Endpoint> Peers::addressesFor(const std::string& dataCentre) const
{
    std::vector<routing::Candidate> near;
    std::vector<routing::Candidate> far;
    auto place = [&](const std::string& centre, const routing::Candidate& candidate) { (centre == dataCentre ? near : far).push_back(candidate); };
    if (this->vm.isReady())
        place(this->vm.settings.dataCentre, { this->vm.settings.front, this->vm.status.overloaded });
    auto now = monotonicNow();
    {
        std::lock_guard lock(this->mutex);
        for (const auto& [node, peer] : this->peers) {
            if (peer.ready && !peer.draining && this->isHeard(peer, now))
                place(peer.member.dataCentre, { peer.member.front, peer.overloaded });
        }
    }
    return routing::chooseAddresses(near, far);
}

bool Peers::hasStrongerPeer() const
{
    auto least = capacityInCores(this->vm.settings) * strongerBy;
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    return std::any_of(this->peers.begin(), this->peers.end(), [&](const auto& item) {
        const auto& peer = item.second;
        return peer.ready && !peer.draining && !peer.overloaded && peer.member.capacity >= least && this->isHeard(peer, now);
    });
}

void Peers::forgetUnreachablePeers()
{
    std::vector<std::string> silent;
    {
        auto now = monotonicNow();
        std::lock_guard lock(this->mutex);
        for (const auto& [node, peer] : this->peers) {
            if (!this->isHeard(peer, now))
                silent.push_back(node);
        }
    }
    for (const auto& node : silent)
        this->vm.fleet.forgetPeerLoad(node);
}

uint32_t Peers::aliveVmCount() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    uint32_t count = 1;
    for (const auto& [node, peer] : this->peers)
        count += this->isLive(peer, now) ? 1 : 0;
    return count;
}

std::map<std::string, double> Peers::totalDemand() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    auto total = this->work.rates(now);
    for (const auto& [node, peer] : this->peers) {
        if (!this->isLive(peer, now))
            continue;
        for (const auto& [model, rate] : peer.demand)
            total[model] += rate;
    }
    return total;
}

void Peers::recordWork(const std::string& model, double seconds)
{
    std::lock_guard lock(this->mutex);
    this->work.add(model, seconds, monotonicNow());
}

std::vector<MissingItem> Peers::allMissingItems() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    std::set<MissingItem> all;
    for (const auto& [want, count] : this->wants)
        all.insert(want);
    for (const auto& [node, peer] : this->peers) {
        if (this->isHeard(peer, now))
            all.insert(peer.missingItems.begin(), peer.missingItems.end());
    }
    return { all.begin(), all.end() };
}

void Peers::addMissingItem(const MissingItem& want)
{
    {
        std::lock_guard lock(this->mutex);
        if (this->wants[want]++ > 0)
            return;
    }
    this->notifyLeaseHolder();
    if (this->onMissingItems)
        this->onMissingItems();
}

void Peers::removeMissingItem(const MissingItem& want)
{
    std::lock_guard lock(this->mutex);
    auto found = this->wants.find(want);
    if (found != this->wants.end() && --found->second == 0)
        this->wants.erase(found);
}

void Peers::recordAdapterUse(const MissingItem& adapter)
{
    {
        std::lock_guard lock(this->mutex);
        this->used.insert(adapter);
    }
    if (this->onAdapterUse)
        this->onAdapterUse(adapter);
}

void Peers::setLeaseState(uint64_t token, uint64_t offset, std::map<std::string, std::set<std::string>> adapters)
{
    bool news = false;
    {
        std::lock_guard lock(this->mutex);
        for (const auto& [worker, items] : adapters) {
            auto known = this->resident.find(worker);
            if (known != this->resident.end() && known->second == items)
                continue;
            this->residentChangedAt[worker] = monotonicNow();
            news = true;
        }
        std::erase_if(this->residentChangedAt, [&adapters](const auto& item) { return !adapters.contains(item.first); });
        this->leaseToken = token;
        this->leaseOffset = offset;
        this->resident = std::move(adapters);
    }
    if (news && token != 0)
        this->tellWaiting();
}

void Peers::tellWaiting()
{
    std::vector<transport::Endpoint> targets;
    auto beat = this->makeBeat(true);
    {
        auto now = monotonicNow();
        std::lock_guard lock(this->mutex);
        for (const auto& [node, peer] : this->peers) {
            if (!peer.missingItems.empty() && this->isHeard(peer, now))
                targets.push_back(peer.member.inner);
        }
        for (const auto& [worker, items] : this->resident) {
            if (now - this->residentChangedAt[worker] < waitingNewsTime)
                beat.resident[worker] = items;
        }
    }
    this->sendTo(targets, beat);
}

uint64_t Peers::highestPeerToken() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    uint64_t highest = 0;
    for (const auto& [node, peer] : this->peers) {
        if (this->isHeard(peer, now))
            highest = std::max(highest, peer.leaseToken);
    }
    return highest;
}

bool Peers::reachesMajority() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    size_t heard = 0;
    for (const auto& [node, peer] : this->peers)
        heard += this->isHeard(peer, now) ? 1 : 0;
    return 2 * heard >= this->peers.size();
}

bool Peers::hasReachableLeaseHolder() const
{
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    return std::any_of(this->peers.begin(), this->peers.end(), [this, now](const auto& item) {
        return this->isHolder(item.second, now);
    });
}

} // namespace comfreypier::edge
