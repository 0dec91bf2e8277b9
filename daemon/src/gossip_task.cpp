#include "gossip_task.h"

#include <algorithm>
#include <cmath>

namespace comfreypier::daemon {

namespace {

    constexpr std::chrono::milliseconds roundInterval { 250 };
    constexpr std::chrono::milliseconds nodeNewsInterval { 2000 };
    constexpr std::chrono::milliseconds demandInterval { 2000 };
    constexpr std::chrono::milliseconds nodeSilenceLimit { 4800 };
    constexpr std::chrono::milliseconds callTimeout { 800 };
    /// Share of the old rate that is kept when demand falls.
    constexpr double demandDecay = 0.8;
    /// Rates below this are not passed on, in requests a second.
    constexpr double demandFloor = 0.05;
    /// Scale of rates in news: thousandths of a request a second.
    constexpr double demandScale = 1000;
    constexpr size_t crashTableLimit = 4096;

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

void GossipTask::publish(protocol::News news)
{
    auto current = this->session.current();
    news.version = { current == protocol::invalidOffset ? 0 : current, this->counter++ };
    this->take(news);
}

size_t GossipTask::nodeCount() const
{
    return this->node.region.read([](const auto& state) { return state.sessions.size(); });
}

void GossipTask::publishOwnState()
{
    auto now = monotonicNow();
    bool leaves = this->node.lifecycle.draining && !this->wasDraining;
    if ((now < this->nextNodeNews && !leaves) || this->session.current() == protocol::invalidOffset)
        return;
    this->nextNodeNews = now + nodeNewsInterval;
    protocol::News news;
    news.key = { protocol::NewsKind::Node, this->node.settings.node };
    news.draining = this->node.lifecycle.draining;
    news.configOffset = this->node.config.next();
    this->wasDraining = news.draining;
    this->publish(std::move(news));
}

void GossipTask::publishDemand()
{
    auto now = monotonicNow();
    if (now < this->nextDemandNews)
        return;
    this->nextDemandNews = now + demandInterval;
    auto counts = this->node.demand.takeCounts();
    std::vector<protocol::News> changed;
    {
        std::lock_guard lock(this->mutex);
        for (const auto& [item, count] : counts)
            this->ownDemand.try_emplace(item, 0);
        for (auto& [item, rate] : this->ownDemand) {
            auto fresh = counts.contains(item) ? counts[item] / std::chrono::duration<double>(demandInterval).count() : 0;
            auto next = fresh > rate ? fresh : rate * demandDecay;
            bool isNews = std::abs(next - rate) > demandFloor;
            rate = next;
            if (!isNews)
                continue;
            protocol::News news;
            news.key = { protocol::NewsKind::Demand, this->node.settings.node + "/" + item };
            news.count = static_cast<uint32_t>(next < demandFloor ? 0 : next * demandScale);
            changed.push_back(std::move(news));
        }
    }
    for (auto& news : changed)
        this->publish(std::move(news));
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
    for (size_t i = 0; i < std::min(count, peers.size()); i++)
        std::swap(peers[i], peers[i + protocol::makeRecordId().low % (peers.size() - i)]);
    if (peers.size() > count)
        peers.resize(count);
    return peers;
}

void GossipTask::flush()
{
    auto news = this->node.gossip.takeNextBatch();
    if (news.empty())
        return;
    protocol::GossipMessage message { this->node.settings.node, std::move(news) };
    for (const auto& peer : this->pickPeers(state::gossipFanout))
        transport::spawnHere([this, peer, message] { this->sendTo(peer, message); });
}

void GossipTask::sendTo(const transport::Endpoint& peer, const protocol::GossipMessage& message)
{
    add(this->node.counters, state::Counter::GossipSent);
    auto reply = this->rpc->gossip(peer, message, callTimeout);
    if (!reply) {
        add(this->node.counters, state::Counter::GossipFailed);
        return;
    }
    for (const auto& news : reply.value().news)
        this->take(news);
}

protocol::GossipMessage GossipTask::answer(const protocol::GossipMessage& message)
{
    for (const auto& news : message.news)
        this->take(news);
    return { this->node.settings.node, {} };
}

void GossipTask::take(const protocol::News& news)
{
    if (!this->node.gossip.merge(news, this->nodeCount()))
        return;
    if (news.key.kind == protocol::NewsKind::Node) {
        std::lock_guard lock(this->mutex);
        this->heardAt[news.key.name] = monotonicNow();
    } else if (news.key.kind == protocol::NewsKind::Worker) {
        this->node.loads.update(news.key.name, [&](state::WorkerStatus& status) {
            status.load.running = news.running;
            status.load.waiting = news.waiting;
            status.load.slots = news.slots;
            status.load.firstTokenTime = news.firstTokenTime;
            status.load.dispatched = 0;
            status.load.draining = news.draining;
        });
    } else if (news.key.kind == protocol::NewsKind::Suspect) {
        auto content = std::strtoull(news.key.name.c_str(), nullptr, 16);
        std::lock_guard lock(this->mutex);
        this->crashes[content] = news.count;
        if (this->crashes.size() > crashTableLimit)
            this->crashes.erase(this->crashes.begin());
    }
}

std::vector<LiveNode> GossipTask::liveNodes() const
{
    auto sessions = this->node.region.read([](const coordination::RegionState& state) {
        std::map<std::string, protocol::SessionOpen> live;
        for (const auto& [id, session] : state.sessions)
            live[session.open.node] = session.open;
        return live;
    });
    auto now = monotonicNow();
    std::vector<LiveNode> nodes;
    std::lock_guard lock(this->mutex);
    for (const auto& news : this->node.gossip.list(protocol::NewsKind::Node)) {
        auto heard = this->heardAt.find(news.key.name);
        bool recent = heard != this->heardAt.end() && now - heard->second < nodeSilenceLimit;
        auto session = sessions.find(news.key.name);
        if (recent && !news.draining && session != sessions.end())
            nodes.push_back({ news, session->second });
    }
    return nodes;
}

std::map<std::string, double> GossipTask::demandRates() const
{
    std::map<std::string, double> rates;
    for (const auto& news : this->node.gossip.list(protocol::NewsKind::Demand)) {
        auto slash = news.key.name.find('/');
        if (slash != std::string::npos)
            rates[news.key.name.substr(slash + 1)] += news.count / demandScale;
    }
    return rates;
}

uint32_t GossipTask::crashCount(uint64_t contentHash) const
{
    std::lock_guard lock(this->mutex);
    auto entry = this->crashes.find(contentHash);
    return entry == this->crashes.end() ? 0 : entry->second;
}

namespace {

    protocol::News suspectNews(uint64_t contentHash, uint32_t crashes)
    {
        char name[20];
        std::snprintf(name, sizeof name, "%016llx", static_cast<unsigned long long>(contentHash));
        protocol::News news;
        news.key = { protocol::NewsKind::Suspect, name };
        news.count = crashes;
        return news;
    }

} // namespace

void GossipTask::recordCrash(uint64_t contentHash)
{
    this->publish(suspectNews(contentHash, this->crashCount(contentHash) + 1));
    this->flush();
}

void GossipTask::clearCrashCount(uint64_t contentHash)
{
    if (this->crashCount(contentHash) > 0)
        this->publish(suspectNews(contentHash, 0));
}

} // namespace comfreypier::daemon
