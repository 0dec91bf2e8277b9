#include "forward_queue.h"

#include <algorithm>

namespace comfreypier::edge {

void ForwardQueue::push(const ForwardedEntry& entry, int repeats)
{
    this->items.push_back({ entry, repeats });
    this->items.back().entry.number = ++this->queuedCount;
}

void ForwardQueue::fill(Heartbeat& heartbeat, size_t maxBytes)
{
    std::vector<Item*> order;
    for (auto& item : this->items)
        order.push_back(&item);
    std::stable_sort(order.begin(), order.end(), [](const Item* a, const Item* b) { return a->sends < b->sends; });
    size_t bytes = 0;
    for (auto* item : order) {
        bytes += item->entry.worker.size() + item->entry.value.size();
        if (bytes > maxBytes && !heartbeat.forwardedEntries.empty())
            break;
        this->sentCount += item->sends++ == 0 ? 1 : 0;
        heartbeat.forwardedEntries.push_back(item->entry);
    }
    heartbeat.forwardedCount = this->sentCount;
    std::sort(heartbeat.forwardedEntries.begin(), heartbeat.forwardedEntries.end(), [](const auto& a, const auto& b) { return a.number < b.number; });
    std::erase_if(this->items, [](const Item& item) { return item.sends >= item.repeats; });
}

} // namespace comfreypier::edge
