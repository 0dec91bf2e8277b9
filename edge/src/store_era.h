/// Era of the store, which rises each time the store comes back from an earlier copy of itself.
#pragma once

#include <ownership/ownership.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <vector>

namespace comfreypier::edge {

using ownership::LogPosition;

/// Newest era of the store that this VM knows of, from the store's answers and the other VMs' heartbeats.
class StoreEra {
public:
    /// Called with each newer era. `restored`: an earlier one was known, so that the store came back from a copy meanwhile.
    using Listener = std::function<void(uint64_t era, bool restored)>;

    /// Adds a listener. All must be added before the first call of `observe`.
    void subscribe(Listener listener) { this->listeners.push_back(std::move(listener)); }
    /// Returns the newest era, or 0 if none is known.
    uint64_t known() const { return this->newest; }
    /// Returns the newest era, or `ownership::firstEra` if none is known.
    uint64_t current() const { return std::max<uint64_t>(this->newest, ownership::firstEra); }
    /// Returns the era of an answer. @param stated era that it states; 0 if it states none, which counts as the newest.
    uint64_t resolve(uint64_t stated) const { return stated == 0 ? this->current() : stated; }

    /// Records an era that was seen, and calls the listeners if it is newer. Must be called on the I/O thread.
    void observe(uint64_t era)
    {
        auto before = this->newest.load();
        if (era <= before)
            return;
        this->newest = era;
        for (const auto& listener : this->listeners)
            listener(era, before != 0);
    }

private:
    std::atomic<uint64_t> newest { 0 }; ///< 0 if none is known.
    std::vector<Listener> listeners;
};

} // namespace comfreypier::edge
