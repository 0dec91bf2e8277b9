/// Gossip between nodes: the newest version of an update wins, and each version is forwarded a limited number of times.
#include <bit>
#include <state/state.h>

namespace comfreypier::state {

namespace {

    /// Number of peers to which an update is sent in addition to the logarithm of the number of nodes.
    constexpr size_t extraSends = 2;

    /// Returns the number of rounds in which a node forwards an update, with `gossipFanout` peers in each. Gossip reaches nearly all
    /// nodes if each node that learns of an update sends it to a number of peers that grows with the logarithm of `nodes`.
    size_t forwardingRounds(size_t nodes)
    {
        return (std::bit_width(nodes) + extraSends + gossipFanout - 1) / gossipFanout;
    }

} // namespace

bool GossipTable::merge(const protocol::PeerUpdate& update, size_t nodes)
{
    std::lock_guard lock(this->mutex);
    auto [entry, added] = this->entries.try_emplace(update.key);
    if (!added && update.version <= entry->second.update.version)
        return false;
    entry->second = { update, forwardingRounds(nodes) };
    this->toSend.insert(update.key);
    return true;
}

std::vector<protocol::PeerUpdate> GossipTable::takeNextBatch()
{
    std::lock_guard lock(this->mutex);
    std::vector<protocol::PeerUpdate> batch;
    for (auto key = this->toSend.begin(); key != this->toSend.end() && batch.size() < maxUpdatesPerMessage;) {
        auto& known = this->entries[*key];
        batch.push_back(known.update);
        known.remainingRounds--;
        key = known.remainingRounds == 0 ? this->toSend.erase(key) : std::next(key);
    }
    return batch;
}

std::vector<protocol::PeerUpdate> GossipTable::list(protocol::PeerUpdateKind kind) const
{
    std::lock_guard lock(this->mutex);
    std::vector<protocol::PeerUpdate> result;
    for (auto entry = this->entries.lower_bound({ kind, "" }); entry != this->entries.end() && entry->first.kind == kind; ++entry)
        result.push_back(entry->second.update);
    return result;
}

void GossipTable::erase(const protocol::PeerUpdateKey& key)
{
    std::lock_guard lock(this->mutex);
    this->entries.erase(key);
    this->toSend.erase(key);
}

} // namespace comfreypier::state
