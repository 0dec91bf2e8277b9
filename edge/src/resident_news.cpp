#include "resident_news.h"

namespace comfreypier::edge {

bool ResidentNews::update(ResidentItems newItems, routing::Time now)
{
    bool changed = false;
    for (const auto& [worker, held] : newItems) {
        auto known = this->items.find(worker);
        if (known != this->items.end() && known->second == held)
            continue;
        changed = true;
        auto [at, isNew] = this->changedAt.try_emplace(worker, now);
        if (!isNew)
            this->byChange.erase({ at->second, worker });
        at->second = now;
        this->byChange.emplace(now, worker);
    }
    std::erase_if(this->changedAt, [&](const auto& item) { return !newItems.contains(item.first) && this->byChange.erase({ item.second, item.first }) > 0; });
    this->items = std::move(newItems);
    return changed;
}

void ResidentNews::addChanges(ResidentItems& to, routing::Time since) const
{
    for (auto it = this->byChange.lower_bound({ since, "" }); it != this->byChange.end(); ++it)
        to[it->second] = this->items.at(it->second);
}

void ResidentNews::addInTurn(ResidentItems& to, size_t count)
{
    auto next = this->items.upper_bound(this->lastInTurn);
    for (size_t i = 0; i < count && !this->items.empty(); i++) {
        if (next == this->items.end())
            next = this->items.begin();
        to[next->first] = next->second;
        this->lastInTurn = next->first;
        ++next;
    }
}

} // namespace comfreypier::edge
