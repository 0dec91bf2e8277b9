#include "forward_tracker.h"

#include <algorithm>

namespace comfreypier::edge {

void ForwardTracker::record(const Heartbeat& heartbeat, Time now)
{
    auto known = this->forwarded;
    this->forwarded = std::max(known.value_or(0), heartbeat.forwardedCount);
    auto arrived = std::count_if(heartbeat.forwardedEntries.begin(), heartbeat.forwardedEntries.end(), [&known](const auto& entry) { return known && entry.number > *known; });
    bool complete = known && *known + static_cast<uint64_t>(arrived) >= heartbeat.forwardedCount;
    if (!complete)
        this->readNeededSince = now;
}

} // namespace comfreypier::edge
