/// Choice of the connections that are closed under pressure.
#include "connection_pressure.h"

#include <algorithm>
#include <tuple>

namespace comfreypier::transport {

namespace {

    double bytesPerSecond(uint64_t bytes, std::chrono::nanoseconds time)
    {
        return static_cast<double>(bytes) / std::chrono::duration<double>(time).count();
    }

    /// Rank of a connection; the smallest is closed first. The second element orders connections of one state.
    using Rank = std::tuple<ConnectionState, double>;

    /// Returns nothing if the connection must not be closed.
    std::optional<Rank> rank(const ConnectionActivity& activity, std::chrono::nanoseconds now, double minRate, bool mayCloseIdle)
    {
        if (activity.state == ConnectionState::Idle)
            return mayCloseIdle ? std::optional(Rank { activity.state, static_cast<double>(activity.since.count()) }) : std::nullopt;
        if (activity.state == ConnectionState::Handling)
            return std::nullopt;
        auto rate = progressRate(activity, now);
        if (!rate || *rate >= minRate)
            return std::nullopt;
        return Rank { activity.state, *rate };
    }

} // namespace

void beginState(ConnectionActivity& activity, ConnectionState state, std::chrono::nanoseconds now)
{
    if (activity.state != state || activity.since.count() == 0)
        activity = { state, now, now, 0, std::nullopt };
}

void recordProgress(ConnectionActivity& activity, uint64_t bytes, std::chrono::nanoseconds now)
{
    auto elapsed = now - activity.windowStart;
    if (elapsed >= progressWindow) {
        activity.previousRate = bytesPerSecond(activity.windowBytes, elapsed);
        activity.windowStart = now;
        activity.windowBytes = 0;
    }
    activity.windowBytes += bytes;
}

std::optional<double> progressRate(const ConnectionActivity& activity, std::chrono::nanoseconds now)
{
    auto elapsed = now - activity.windowStart;
    if (elapsed >= progressWindow)
        return bytesPerSecond(activity.windowBytes, elapsed);
    return activity.previousRate;
}

std::vector<size_t> chooseConnectionsToClose(std::span<const ConnectionActivity> connections, std::chrono::nanoseconds now, double minRate, bool mayCloseIdle, size_t count)
{
    std::vector<std::pair<Rank, size_t>> ranked;
    for (size_t i = 0; i < connections.size(); i++) {
        if (auto found = rank(connections[i], now, minRate, mayCloseIdle))
            ranked.emplace_back(*found, i);
    }
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<size_t> chosen;
    for (size_t i = 0; i < count; i++)
        chosen.push_back(ranked[i].second);
    return chosen;
}

} // namespace comfreypier::transport
