/// Estimate of the prompt prefixes that workers have cached.
#include <routing/routing.h>

namespace comfreypier::routing {

void PrefixCache::add(uint64_t prefixHash, uint32_t tokens, double capacity)
{
    auto found = this->entries.find(prefixHash);
    if (found != this->entries.end()) {
        this->lruOrder.splice(this->lruOrder.end(), this->lruOrder, found->second.lruPosition);
        return;
    }
    this->lruOrder.push_back(prefixHash);
    this->entries[prefixHash] = { tokens, std::prev(this->lruOrder.end()) };
    this->totalTokens += tokens;
    while (this->totalTokens > capacity && !this->lruOrder.empty()) {
        auto oldest = this->entries.find(this->lruOrder.front());
        this->totalTokens -= oldest->second.tokens;
        this->entries.erase(oldest);
        this->lruOrder.pop_front();
    }
}

void PrefixCache::clear()
{
    this->lruOrder.clear();
    this->entries.clear();
    this->totalTokens = 0;
}

std::vector<uint64_t> hashPrefixes(const RequestShape& shape)
{
    std::vector<uint64_t> prefixHashes;
    prefixHashes.reserve(shape.parts.size());
    auto prefixHash = hashText(shape.adapter, hashText(shape.model));
    // Each hash seeds the next one and thereby depends on all parts before it.
    for (const auto& part : shape.parts) {
        prefixHash = hashText({ reinterpret_cast<const char*>(&part.id), sizeof part.id }, prefixHash);
        prefixHashes.push_back(prefixHash);
    }
    return prefixHashes;
}

uint32_t cachedTokens(const PrefixCache& cache, const RequestShape& shape, const std::vector<uint64_t>& prefixHashes)
{
    uint32_t cached = 0;
    for (size_t i = 0; i < prefixHashes.size() && cache.contains(prefixHashes[i]); i++)
        cached += shape.parts[i].tokens;
    return std::min(cached, shape.promptTokens);
}

} // namespace comfreypier::routing
