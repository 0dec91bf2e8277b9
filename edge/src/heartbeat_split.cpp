#include "heartbeat_split.h"

namespace comfreypier::edge {

namespace {

    /// Moves the second half of a list to the end of another one.
    template <class Item>
    void moveHalf(std::vector<Item>& from, std::vector<Item>& to)
    {
        auto middle = from.begin() + static_cast<std::ptrdiff_t>((from.size() + 1) / 2);
        to.assign(std::make_move_iterator(middle), std::make_move_iterator(from.end()));
        from.erase(middle, from.end());
    }

    template <class Key, class Value>
    void moveHalf(std::map<Key, Value>& from, std::map<Key, Value>& to)
    {
        auto middle = std::next(from.begin(), static_cast<std::ptrdiff_t>((from.size() + 1) / 2));
        for (auto it = middle; it != from.end();)
            to.insert(from.extract(it++));
    }

    /// Returns the number of items of the longest list that parts divide among themselves.
    size_t longestList(const Heartbeat& part)
    {
        return std::max({ part.forwardedEntries.size(), part.sentPrefixes.size(), part.usedAdapters.size(), part.resident.size(), part.limitReports.size(), part.crashReports.size() });
    }

    /// Appends a part to `parts`, in as many halves as needed.
    void appendHalves(Heartbeat part, size_t maxBytes, std::vector<Heartbeat>& parts)
    {
        if (longestList(part) <= 1 || encodeHeartbeat(part).size() <= maxBytes) {
            parts.push_back(std::move(part));
            return;
        }
        auto second = part;
        moveHalf(part.forwardedEntries, second.forwardedEntries);
        moveHalf(part.sentPrefixes, second.sentPrefixes);
        moveHalf(part.usedAdapters, second.usedAdapters);
        second.resident.clear();
        moveHalf(part.resident, second.resident);
        moveHalf(part.limitReports, second.limitReports);
        moveHalf(part.crashReports, second.crashReports);
        if (!part.forwardedEntries.empty())
            part.forwardedCount = part.forwardedEntries.back().number;
        appendHalves(std::move(part), maxBytes, parts);
        appendHalves(std::move(second), maxBytes, parts);
    }

} // namespace

std::vector<Heartbeat> splitHeartbeat(Heartbeat heartbeat, size_t maxBytes)
{
    if (encodeHeartbeat(heartbeat).size() <= maxBytes)
        return { std::move(heartbeat) };
    auto state = heartbeat;
    state.forwardedEntries.clear();
    state.sentPrefixes.clear();
    state.usedAdapters.clear();
    state.resident.clear();
    state.limitReports.clear();
    state.crashReports.clear();
    if (!heartbeat.forwardedEntries.empty())
        state.forwardedCount = heartbeat.forwardedEntries.front().number - 1;
    std::vector<Heartbeat> parts { std::move(state) };
    heartbeat.partial = true;
    heartbeat.loads.clear();
    heartbeat.outcomes.clear();
    heartbeat.demand.clear();
    if (longestList(heartbeat) > 0)
        appendHalves(std::move(heartbeat), maxBytes, parts);
    return parts;
}

} // namespace comfreypier::edge
