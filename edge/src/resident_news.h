/// What the lease holder tells the other VMs of the models and adapters that workers hold.
#pragma once

#include <map>
#include <routing/routing.h>
#include <set>

namespace comfreypier::edge {

/// Models and adapters by worker, as in `Heartbeat::resident`.
using ResidentItems = std::map<std::string, std::set<std::string>>;

/// The newest items of all workers, and when they changed. The cost of a look at recent changes does not grow with the number of workers.
class ResidentNews {
public:
    /// Replaces the items of all workers.
    /// @return whether a worker is new or its items changed.
    bool update(ResidentItems newItems, routing::Time now);
    /// Adds the items that changed at `since` or later.
    void addChanges(ResidentItems& to, routing::Time since) const;
    /// Adds the items of a few workers, others in each call until all had their turn.
    void addInTurn(ResidentItems& to, size_t count);

private:
    ResidentItems items;
    std::map<std::string, routing::Time> changedAt; ///< For each worker in `items`.
    std::set<std::pair<routing::Time, std::string>> byChange; ///< As `changedAt`, the oldest first.
    std::string lastInTurn; ///< The next turn continues after it.
};

} // namespace comfreypier::edge
