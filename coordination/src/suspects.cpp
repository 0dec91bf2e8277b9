/// Suspicion against request contents that were running on endpoints that crashed.
#include <algorithm>
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    void boundTable(PoisonRequests& table)
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
        auto& suspect = table.candidates[content];
        suspect.crashes++;
        suspect.lastCrash = now;
        boundTable(table);
    }
}

void clearPoisonCandidate(PoisonRequests& table, uint64_t contentHash)
{
    table.candidates.erase(contentHash);
}

void mergeCrashCount(PoisonRequests& table, uint64_t contentHash, uint32_t crashes, Time now)
{
    auto& suspect = table.candidates[contentHash];
    suspect.crashes = std::max(suspect.crashes, crashes);
    suspect.lastCrash = std::max(suspect.lastCrash, now);
    boundTable(table);
}

} // namespace comfreypier::coordination
