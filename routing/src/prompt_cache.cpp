/// Prompt beginnings that workers are believed to keep.
#include <routing/routing.h>

namespace comfreypier::routing {

void PrefixCache::add(uint64_t chain, uint32_t tokens, double capacity)
{
    auto found = this->entries.find(chain);
    if (found != this->entries.end()) {
        this->order.splice(this->order.end(), this->order, found->second.position);
        return;
    }
    this->order.push_back(chain);
    this->entries[chain] = { tokens, std::prev(this->order.end()) };
    this->total += tokens;
    while (this->total > capacity && !this->order.empty()) {
        auto oldest = this->entries.find(this->order.front());
        this->total -= oldest->second.tokens;
        this->entries.erase(oldest);
        this->order.pop_front();
    }
}

void PrefixCache::clear()
{
    this->order.clear();
    this->entries.clear();
    this->total = 0;
}

std::vector<uint64_t> hashPrefixes(const RequestShape& shape)
{
    std::vector<uint64_t> chains;
    chains.reserve(shape.parts.size());
    auto chain = hashText(shape.adapter, hashText(shape.model));
    for (const auto& part : shape.parts) {
        chain = hashText({ reinterpret_cast<const char*>(&part.id), sizeof part.id }, chain);
        chains.push_back(chain);
    }
    return chains;
}

uint32_t cachedTokens(const PrefixCache& cache, const RequestShape& shape, const std::vector<uint64_t>& chains)
{
    uint32_t kept = 0;
    for (size_t i = 0; i < chains.size() && cache.contains(chains[i]); i++)
        kept += shape.parts[i].tokens;
    return std::min(kept, shape.promptTokens);
}

} // namespace comfreypier::routing
