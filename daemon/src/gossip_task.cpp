#include "gossip_task.h"

#include <algorithm>
#include <cmath>

namespace comfreypier::daemon {

namespace {

    constexpr std::chrono::milliseconds roundInterval { 250 };
    /// Interval at which a node publishes its own state.
    constexpr std::chrono::milliseconds nodeUpdateInterval { 2000 };
    /// Interval at which a node publishes its request rates, and over which it counts requests.
    constexpr std::chrono::milliseconds demandInterval { 2000 };
    /// Time since the last update of a node's state after which the node no longer counts as live.
    constexpr std::chrono::milliseconds nodeTimeout { 4800 };
    /// Time limit for the reply of a peer to a message.
    constexpr std::chrono::milliseconds rpcTimeout { 800 };
    /// Factor by which the rate of an item decays per interval while demand falls.
    constexpr double demandDecay = 0.8;
    /// A rate is published if it has changed by more than this, in requests per second. A decaying rate changes by a fifth per
    /// interval, so the last rate published for an item without demand is between 0.2 and 0.25.
    constexpr double minDemandChange = 0.05;
    /// Unit of rates in updates: thousandths of a request per second.
    constexpr double demandScale = 1000;
    /// Maximum number of request contents whose crashes are counted.
    constexpr size_t maxCrashCounts = 4096;

} // namespace

GossipTask::GossipTask(Node& node, const SessionKeeper& session)
    : node(node)
    , session(session)
{
}

void GossipTask::run()
{
    while (!this->node.lifecycle.stopping) {
        this->publishOwnState();
        this->publishDemand();
        this->flush();
        sleepFor(roundInterval);
    }
}

void GossipTask::publish(protocol::PeerUpdate update)
{
    auto current = this->session.current();
    // `invalidOffset` is the largest number and would make this update newer than those of all sessions.
    update.version = { current == protocol::invalidOffset ? 0 : current, this->nextUpdateNumber++ };
    this->merge(update);
}

size_t GossipTask::countNodes() const
{
    return this->node.region.read([](const auto& state) { return state.sessions.size(); });
}

void GossipTask::publishOwnState()
{
    auto now = monotonicNow();
    bool startsDraining = this->node.lifecycle.draining && !this->wasDraining;
    if ((now < this->nextNodeUpdate && !startsDraining) || this->session.current() == protocol::invalidOffset)
        return;
    this->nextNodeUpdate = now + nodeUpdateInterval;
    protocol::PeerUpdate update;
    update.key = { protocol::PeerUpdateKind::Node, this->node.settings.node };
    update.draining = this->node.lifecycle.draining;
    update.configOffset = this->node.config.next();
    this->wasDraining = update.draining;
    this->publish(std::move(update));
}

void GossipTask::publishDemand()
{
    auto now = monotonicNow();
    if (now < this->nextDemandUpdate)
        return;
    this->nextDemandUpdate = now + demandInterval;
    auto counts = this->node.demand.takeCounts();
    std::vector<protocol::PeerUpdate> updates;
    {
        std::lock_guard lock(this->mutex);
        for (const auto& [item, count] : counts)
            this->ownDemand.try_emplace(item, 0);
        for (auto& [item, rate] : this->ownDemand) {
            auto currentRate = counts.contains(item) ? counts[item] / std::chrono::duration<double>(demandInterval).count() : 0;
            // A rate follows rising demand immediately, and decays while demand is lower.
            auto newRate = currentRate > rate ? currentRate : rate * demandDecay;
            bool hasChanged = std::abs(newRate - rate) > minDemandChange;
            rate = newRate;
            if (!hasChanged)
                continue;
            protocol::PeerUpdate update;
            update.key = { protocol::PeerUpdateKind::Demand, this->node.settings.node + "/" + item };
            update.count = static_cast<uint32_t>(newRate < minDemandChange ? 0 : newRate * demandScale);
            updates.push_back(std::move(update));
        }
    }
    for (auto& update : updates)
        this->publish(std::move(update));
}

std::vector<transport::Endpoint> GossipTask::pickPeers(size_t count) const
{
    auto own = this->session.current();
    auto peers = this->node.region.read([own](const coordination::RegionState& state) {
        std::vector<transport::Endpoint> endpoints;
        for (const auto& [id, session] : state.sessions) {
            auto endpoint = transport::parseEndpoint(session.open.rpc);
            if (id != own && endpoint)
                endpoints.push_back(endpoint.value());
        }
        return endpoints;
    });
    // Swaps random peers to the front, as the first steps of a Fisher-Yates shuffle.
    for (size_t i = 0; i < std::min(count, peers.size()); i++)
        std::swap(peers[i], peers[i + protocol::makeRandomId().low % (peers.size() - i)]);
    if (peers.size() > count)
        peers.resize(count);
    return peers;
}

void GossipTask::flush()
{
    auto updates = this->node.gossip.takeNextBatch();
    if (updates.empty())
        return;
    protocol::GossipMessage message { this->node.settings.node, std::move(updates) };
    for (const auto& peer : this->pickPeers(state::gossipFanout))
        transport::spawnOnCurrentThread([this, peer, message] { this->sendTo(peer, message); });
}

void GossipTask::sendTo(const transport::Endpoint& peer, const protocol::GossipMessage& message)
{
    add(this->node.counters, state::Counter::GossipSent);
    auto reply = this->rpc->gossip(peer, message, rpcTimeout);
    if (!reply) {
        add(this->node.counters, state::Counter::GossipFailed);
        return;
    }
    for (const auto& update : reply.value().updates)
        this->merge(update);
}

protocol::GossipMessage GossipTask::handleMessage(const protocol::GossipMessage& message)
{
    for (const auto& update : message.updates)
        this->merge(update);
    return { this->node.settings.node, {} };
}

void GossipTask::merge(const protocol::PeerUpdate& update)
{
    if (!this->node.gossip.merge(update, this->countNodes()))
        return;
    if (update.key.kind == protocol::PeerUpdateKind::Node) {
        std::lock_guard lock(this->mutex);
        this->lastUpdateAt[update.key.name] = monotonicNow();
    } else if (update.key.kind == protocol::PeerUpdateKind::Worker) {
        this->node.loads.update(update.key.name, [&](state::WorkerStatus& status) {
            status.load.running = update.running;
            status.load.waiting = update.waiting;
            status.load.slots = update.slots;
            status.load.firstTokenTime = update.firstTokenTime;
            status.load.dispatched = 0;
            status.load.draining = update.draining;
        });
    } else if (update.key.kind == protocol::PeerUpdateKind::PoisonRequest) {
        // The name is the content's hash in hexadecimal, see `makeCrashUpdate`.
        auto content = transport::parseNumber<uint64_t>(update.key.name, 16);
        if (!content)
            return;
        std::lock_guard lock(this->mutex);
        this->crashCounts[*content] = update.count;
        // Which content is dropped does not depend on its age: it is the one with the smallest hash.
        if (this->crashCounts.size() > maxCrashCounts)
            this->crashCounts.erase(this->crashCounts.begin());
    }
}

std::vector<LiveNode> GossipTask::liveNodes() const
{
    auto sessions = this->node.region.read([](const coordination::RegionState& state) {
        std::map<std::string, protocol::SessionOpen> openEntries;
        for (const auto& [id, session] : state.sessions)
            openEntries[session.open.node] = session.open;
        return openEntries;
    });
    auto now = monotonicNow();
    std::vector<LiveNode> nodes;
    std::lock_guard lock(this->mutex);
    for (const auto& update : this->node.gossip.list(protocol::PeerUpdateKind::Node)) {
        auto lastUpdate = this->lastUpdateAt.find(update.key.name);
        bool isRecent = lastUpdate != this->lastUpdateAt.end() && now - lastUpdate->second < nodeTimeout;
        auto session = sessions.find(update.key.name);
        if (isRecent && !update.draining && session != sessions.end())
            nodes.push_back({ update, session->second });
    }
    return nodes;
}

std::map<std::string, double> GossipTask::demandRates() const
{
    std::map<std::string, double> rates;
    for (const auto& update : this->node.gossip.list(protocol::PeerUpdateKind::Demand)) {
        auto slash = update.key.name.find('/');
        if (slash != std::string::npos)
            rates[update.key.name.substr(slash + 1)] += update.count / demandScale;
    }
    return rates;
}

uint32_t GossipTask::crashCount(uint64_t contentHash) const
{
    std::lock_guard lock(this->mutex);
    auto entry = this->crashCounts.find(contentHash);
    return entry == this->crashCounts.end() ? 0 : entry->second;
}

namespace {

    /// Returns the update that sets the crash count of a request content to `crashes`.
    protocol::PeerUpdate makeCrashUpdate(uint64_t contentHash, uint32_t crashes)
    {
        char name[20];
        std::snprintf(name, sizeof name, "%016llx", static_cast<unsigned long long>(contentHash));
        protocol::PeerUpdate update;
        update.key = { protocol::PeerUpdateKind::PoisonRequest, name };
        update.count = crashes;
        return update;
    }

} // namespace

void GossipTask::recordCrash(uint64_t contentHash)
{
    this->publish(makeCrashUpdate(contentHash, this->crashCount(contentHash) + 1));
    this->flush();
}

void GossipTask::clearCrashCount(uint64_t contentHash)
{
    if (this->crashCount(contentHash) > 0)
        this->publish(makeCrashUpdate(contentHash, 0));
}

} // namespace comfreypier::daemon
