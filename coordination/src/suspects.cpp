/// Suspicion against request contents that were running on endpoints that crashed.
#include <algorithm>
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    void boundTable(SuspectTable& table)
    {
        if (table.suspects.size() <= suspectTableLimit)
            return;
        auto oldest = std::min_element(table.suspects.begin(), table.suspects.end(), [](const auto& a, const auto& b) { return a.second.lastCrash < b.second.lastCrash; });
        table.suspects.erase(oldest);
    }

} // namespace

SuspectAnswer judgeSuspect(const SuspectTable& table, uint64_t contentHash)
{
    auto entry = table.suspects.find(contentHash);
    if (entry == table.suspects.end() || entry->second.crashes < suspectCrashLimit)
        return SuspectAnswer::Free;
    return SuspectAnswer::Refuse;
}

void noteCrash(SuspectTable& table, std::span<const uint64_t> contents, Time now)
{
    for (auto content : contents) {
        auto& suspect = table.suspects[content];
        suspect.crashes++;
        suspect.lastCrash = now;
        boundTable(table);
    }
}

void noteAnswered(SuspectTable& table, uint64_t contentHash)
{
    table.suspects.erase(contentHash);
}

void mergeSuspect(SuspectTable& table, uint64_t contentHash, uint32_t crashes, Time now)
{
    auto& suspect = table.suspects[contentHash];
    suspect.crashes = std::max(suspect.crashes, crashes);
    suspect.lastCrash = std::max(suspect.lastCrash, now);
    boundTable(table);
}

} // namespace comfreypier::coordination
