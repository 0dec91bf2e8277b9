/// Poison requests: counts the crashes of endpoints per request content and refuses contents that repeatedly crash them.
#include <algorithm>
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    /// Evicts the candidate with the oldest crash if the table is over its limit.
    void evictIfFull(PoisonRequests& table)
    {
        if (table.candidates.size() <= maxPoisonCandidates)
            return;
        auto oldest = std::min_element(table.candidates.begin(), table.candidates.end(), [](const auto& a, const auto& b) { return a.second.lastCrash < b.second.lastCrash; });
        table.candidates.erase(oldest);
    }

} // namespace

PoisonDecision checkPoisonRequest(const PoisonRequests& table, uint64_t contentHash)
{
    auto entry = table.candidates.find(contentHash);
    if (entry == table.candidates.end() || entry->second.crashes < poisonCrashLimit)
        return PoisonDecision::Allow;
    return PoisonDecision::Refuse;
}

void recordCrash(PoisonRequests& table, std::span<const uint64_t> contents, Time now)
{
    for (auto content : contents) {
        auto& candidate = table.candidates[content];
        candidate.crashes++;
        candidate.lastCrash = now;
        evictIfFull(table);
    }
}

void clearPoisonCandidate(PoisonRequests& table, uint64_t contentHash)
{
    table.candidates.erase(contentHash);
}

void mergeCrashCount(PoisonRequests& table, uint64_t contentHash, uint32_t crashes, Time now)
{
    auto& candidate = table.candidates[contentHash];
    candidate.crashes = std::max(candidate.crashes, crashes);
    candidate.lastCrash = std::max(candidate.lastCrash, now);
    evictIfFull(table);
}

} // namespace comfreypier::coordination
