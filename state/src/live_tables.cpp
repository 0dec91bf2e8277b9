/// Tables of worker status and of demand, in shards.
#include <state/state.h>

namespace comfreypier::state {

namespace {

    size_t shardIndex(const std::string& key)
    {
        return std::hash<std::string> {}(key) % shardCount;
    }

} // namespace

LoadTable::Shard& LoadTable::findShard(const std::string& worker)
{
    return this->shards[shardIndex(worker)];
}

const LoadTable::Shard& LoadTable::findShard(const std::string& worker) const
{
    return this->shards[shardIndex(worker)];
}

void LoadTable::update(const std::string& worker, const std::function<void(WorkerStatus&)>& change)
{
    auto& shard = this->findShard(worker);
    std::lock_guard lock(shard.mutex);
    change(shard.workers[worker]);
}

WorkerStatus LoadTable::get(const std::string& worker) const
{
    const auto& shard = this->findShard(worker);
    std::lock_guard lock(shard.mutex);
    auto entry = shard.workers.find(worker);
    return entry == shard.workers.end() ? WorkerStatus {} : entry->second;
}

void LoadTable::erase(const std::string& worker)
{
    auto& shard = this->findShard(worker);
    std::lock_guard lock(shard.mutex);
    shard.workers.erase(worker);
}

void DemandTable::countRequest(const std::string& item)
{
    auto& shard = this->shards[shardIndex(item)];
    std::lock_guard lock(shard.mutex);
    shard.counts[item]++;
}

std::map<std::string, uint32_t> DemandTable::takeCounts()
{
    std::map<std::string, uint32_t> total;
    for (auto& shard : this->shards) {
        std::lock_guard lock(shard.mutex);
        for (const auto& [item, count] : shard.counts)
            total[item] += count;
        shard.counts.clear();
    }
    return total;
}

} // namespace comfreypier::state
